#include "node/node_internal.h"

#include "base/event_log.h"
#include "directory/catalog_text.h"
#include "directory/member_list.h"

#include <string.h>
#include <xxhash.h>

/* Decides when to request a copy from which peer, and applies the copies. A
   process that starts while the store is unreachable gets everything from a
   peer; later only a newer configuration is taken. */

/* If the store answers a starting process at all, it does within this time; a
   peer is asked afterwards. */
#define STORE_WAIT_MS 150
/* Minimum interval between requests. */
#define REQUEST_INTERVAL_MS 500
/* A newer configuration that a peer announces is requested from it after this
   time; usually the feed of the store has delivered it by then. */
#define NEWER_WAIT_MS 400
/* In a large fleet, requests to the peers are spread over this time, and the
   store is asked only if they have not helped after another. Together with the
   time until a witness knows of a change, less than 5 s. */
#define SPREAD_MS 400
#define STORE_AFTER_MS 1300
/* Number of peers remembered as sources. */
#define SOURCES_MAX 16

struct copy_fetcher {
    struct node *node;
    struct copy_exchange *copies;
    char host[MEMBER_HOST_BYTES]; /* of this proxy */
    uint16_t port;                /* same for all proxies */
    char sources[SOURCES_MAX][MEMBER_HOST_BYTES];
    size_t source_count;
    size_t next_source;
    clock_ms started_at;
    clock_ms requested_at;
    /* The peer with the newest configuration or list of members that this
       proxy lacks. Of several, the one with the lowest hash: proxies have
       different preferences, and each keeps few connections. */
    char newer_host[MEMBER_HOST_BYTES];
    uint64_t newer_version;
    uint64_t newer_members;
    uint64_t newer_hash;        /* of newer_host */
    uint64_t host_members;      /* list that newer_host has said it has */
    uint64_t asked_members;     /* the same when a copy was requested */
    clock_ms newer_since;       /* 0 if none is known */
    clock_ms lacking_since;     /* the same; a failed request leaves it */
    uint64_t refreshed_version; /* for which the store was asked again */
    uint64_t refreshed_members;
    int64_t spread_ms;  /* added to the wait of this proxy in a large fleet */
    uint64_t name_hash; /* of this proxy */
};

/* Remembers a peer as a source. */
static void
add_source(struct copy_fetcher *f, const char *host)
{
    if (f->source_count == SOURCES_MAX || strcmp(f->host, host) == 0) {
        return;
    }
    for (size_t i = 0; i < f->source_count; i++) {
        if (strcmp(f->sources[i], host) == 0) {
            return;
        }
    }
    g_strlcpy(f->sources[f->source_count++], host, MEMBER_HOST_BYTES);
}

/* Returns true until the store has delivered everything. */
static bool
is_incomplete(const struct node *n)
{
    return !n->catalog_from_store || !n->members_from_store ||
           !n->peers_from_store;
}

/* Returns the registered proxies as lines "NAME HOST PORT DOMAIN", freed by
   the caller. */
static char *
format_proxies(const struct node *n)
{
    GString *s = g_string_new(NULL);

    for (guint i = 0; i < n->peers->len; i++) {
        const struct node_peer *p =
            &g_array_index(n->peers, struct node_peer, i);
        g_string_append_printf(s, "%s %s %u %s\n", p->name, p->host, p->port,
                               p->failure_domain);
    }
    return g_string_free(s, FALSE);
}

/* Parses one line of the proxy list. Returns false if it is malformed. */
static bool
parse_proxy(const char *line, struct node_peer *p)
{
    char **w = g_strsplit(line, " ", 5);
    uint64_t port = 0;

    *p = (struct node_peer){0};
    const bool ok =
        g_strv_length(w) == 4 &&
        g_strlcpy(p->name, w[0], sizeof(p->name)) < sizeof(p->name) &&
        g_strlcpy(p->host, w[1], sizeof(p->host)) < sizeof(p->host) &&
        g_ascii_string_to_unsigned(w[2], 10, 1, 65535, &port, NULL) &&
        g_strlcpy(p->failure_domain, w[3], sizeof(p->failure_domain)) <
            sizeof(p->failure_domain);
    p->port = (uint16_t)port;
    g_strfreev(w);
    return ok;
}

/* Applies a proxy list from a peer. An empty list is ignored. */
static void
apply_proxies(struct node *n, const char *text, const char *host)
{
    GArray *list = g_array_new(FALSE, TRUE, sizeof(struct node_peer));
    char **lines = g_strsplit(text, "\n", 0);

    for (int i = 0; lines[i] != NULL; i++) {
        struct node_peer p;
        if (lines[i][0] == '\0') {
            continue;
        }
        if (parse_proxy(lines[i], &p)) {
            g_array_append_val(list, p);
        }
        else {
            event_log(EVENT_STATE, "peer_unreadable", "source=%s line=\"%s\"",
                      host, lines[i]);
        }
    }
    if (list->len > 0) {
        node_apply_peers(n, (const struct node_peer *)(void *)list->data,
                         list->len);
    }
    g_strfreev(lines);
    g_array_free(list, TRUE);
}

/* Applies a member list from a peer. Returns false if it is empty, which is
   ignored. */
static bool
apply_members(struct node *n, const char *text)
{
    GArray *list = member_list_parse(sview_from(text));
    const bool some = list->len > 0;

    if (some) {
        node_apply_members(n, (const struct member_entry *)(void *)list->data,
                           list->len);
    }
    g_array_free(list, TRUE);
    return some;
}

/* Returns true if a peer has a newer list of members, which this proxy takes
   from it. */
static bool
lacks_members(const struct copy_fetcher *f)
{
    return node_follows_peers(f->node) &&
           f->newer_members > f->node->members_version;
}

/* Fills in a copy for a peer. Returns false until this proxy has a
   configuration and the proxy list. */
static bool
provide_copy(void *ctx, struct copy_texts *out)
{
    const struct copy_fetcher *f = ctx;
    const struct node *n = f->node;

    if (n->catalog->version == 0 || n->peers->len == 0) {
        return false;
    }
    GArray *listed = g_array_new(FALSE, TRUE, sizeof(struct member_entry));
    for (guint k = 0; k < n->members->len; k++) {
        const struct known_member *m =
            &g_array_index(n->members, struct known_member, k);
        if (m->unlisted_at == 0) {
            g_array_append_val(listed, m->entry);
        }
    }
    out->catalog = catalog_format(n->catalog);
    out->members = member_list_format(
        (const struct member_entry *)(void *)listed->data, listed->len);
    out->proxies = format_proxies(n);
    g_array_free(listed, TRUE);
    return true;
}

/* Applies the parts of a copy that the store has not delivered. */
static void
copy_received(void *ctx, const char *host, const struct copy_texts *texts)
{
    struct copy_fetcher *f = ctx;
    struct node *n = f->node;

    const uint64_t newer_version = f->newer_version;
    const uint64_t newer_members = f->newer_members;
    /* The next message from a peer that is ahead sets these again. */
    f->newer_since = 0;
    f->newer_version = 0;
    f->newer_members = 0;
    if (texts == NULL) {
        return; /* logged by the exchange; the next tick asks another peer */
    }
    struct catalog *c = catalog_parse(sview_from(texts->catalog));
    if (c == NULL) {
        event_log(EVENT_STATE, "copy_unreadable", "host=%s", host);
        return;
    }
    event_log(EVENT_STATE, "copy_taken",
              "host=%s version=%" G_GUINT64_FORMAT " before=%" G_GUINT64_FORMAT
              " store_gave_members=%d store_gave_proxies=%d",
              host, c->version, n->catalog->version, n->members_from_store,
              n->peers_from_store);
    node_apply_catalog(n, c, "peer");
    catalog_unref(c);
    if (!n->members_from_store) {
        apply_members(n, texts->members);
    }
    else if (node_follows_peers(n) && f->asked_members > n->members_version &&
             apply_members(n, texts->members)) {
        n->members_version = f->asked_members;
    }
    if (n->catalog->version >= newer_version &&
        n->members_version >= newer_members) {
        f->lacking_since = 0;
    }
    if (!n->peers_from_store) {
        apply_proxies(n, texts->proxies, host);
    }
}

/* Starts listening for requests from peers. On failure returns NULL and sets
 error to a text that the caller frees. */
struct copy_fetcher *
copy_fetcher_create(struct node *n, const struct node_config *config,
                    char **error)
{
    struct copy_fetcher *f = g_new0(struct copy_fetcher, 1);
    const struct copy_exchange_config copies = {
        .loop = config->loop,
        .name = config->name,
        .host = config->host,
        .port = config->peer_port,
        .keys = n->keys,
        .provide_copy = provide_copy,
        .copy_received = copy_received,
        .ctx = f,
    };

    f->node = n;
    g_strlcpy(f->host, config->host, sizeof(f->host));
    f->port = config->peer_port;
    f->started_at = clock_boottime_ms();
    f->name_hash = XXH64(config->name, strlen(config->name), 0);
    f->spread_ms = (int64_t)(f->name_hash % SPREAD_MS);
    f->copies = copy_exchange_create(&copies, error);
    if (f->copies == NULL) {
        g_free(f);
        return NULL;
    }
    return f;
}

/* Stops listening. f may be NULL. */
void
copy_fetcher_destroy(struct copy_fetcher *f)
{
    if (f == NULL) {
        return;
    }
    copy_exchange_destroy(f->copies);
    g_free(f);
}

/* Asks the store again for what a peer has and this proxy lacks: the response
   to the feed request may be lost, and a copy has a limited size. In a large
   fleet, copies have been tried before. */
static void
refresh_if_due(struct copy_fetcher *f, clock_ms now)
{
    const struct node *n = f->node;

    if ((f->refreshed_version >= f->newer_version &&
         f->refreshed_members >= f->newer_members) ||
        (node_follows_peers(n) && now - f->lacking_since < STORE_AFTER_MS)) {
        return;
    }
    f->refreshed_version = MAX(f->refreshed_version, f->newer_version);
    f->refreshed_members = MAX(f->refreshed_members, f->newer_members);
    n->platform.refresh_directory(n->platform.ctx);
}

/* Requests a copy if something is missing. If that is a newer configuration or
   list of members, the store may be asked as well. Called on each tick. */
void
copy_fetcher_tick(struct copy_fetcher *f, clock_ms now)
{
    const struct node *n = f->node;

    if (copy_exchange_is_pending(f->copies) ||
        now - f->requested_at < REQUEST_INTERVAL_MS) {
        return;
    }
    if (n->catalog->version >= f->newer_version && !lacks_members(f)) {
        f->newer_since = 0;
    }
    if (is_incomplete(n) && now - f->started_at >= STORE_WAIT_MS &&
        f->source_count > 0) {
        const char *host = f->sources[f->next_source++ % f->source_count];
        f->requested_at = now;
        f->asked_members = 0;
        copy_exchange_request(f->copies, host, f->port);
    }
    else if (f->newer_since != 0 &&
             now - f->newer_since >=
                 NEWER_WAIT_MS + (node_follows_peers(n) ? f->spread_ms : 0)) {
        f->requested_at = now;
        f->asked_members = f->host_members;
        copy_exchange_request(f->copies, f->newer_host, f->port);
        refresh_if_due(f, now);
    }
}

/* Called for each message from a peer, which tells what the peer has. */
void
copy_fetcher_on_message(struct copy_fetcher *f, const char *host,
                        const struct agreement_message *message, clock_ms now)
{
    const struct node *n = f->node;
    const uint64_t catalog = message->catalog_version;
    const uint64_t members =
        node_follows_peers(n) ? message->members_version : 0;

    add_source(f, host);
    if (catalog <= n->catalog->version && members <= n->members_version) {
        if (n->catalog->version >= f->newer_version && !lacks_members(f)) {
            f->lacking_since = 0;
        }
        return;
    }
    if (f->lacking_since == 0) {
        f->lacking_since = now;
    }
    if (catalog > MAX(f->newer_version, n->catalog->version) ||
        members > MAX(f->newer_members, n->members_version)) {
        f->newer_version = MAX(f->newer_version, catalog);
        f->newer_members = MAX(f->newer_members, members);
        f->newer_hash = G_MAXUINT64; /* its host may lack this */
    }
    f->newer_since = f->newer_since == 0 ? now : f->newer_since;
    const uint64_t hash = XXH64(host, strlen(host), f->name_hash);
    if (catalog < f->newer_version || members < f->newer_members ||
        hash >= f->newer_hash) {
        return;
    }
    f->newer_hash = hash;
    f->host_members = members;
    g_strlcpy(f->newer_host, host, sizeof(f->newer_host));
}

#include "node/node.h"

#include "base/event_log.h"
#include "directory/member_list.h"
#include "lead/peer_port.h"
#include "node/inquiry.h"
#include "relay/share.h"

#include <string.h>

#define TICK_MS 25
/* Less than half of the lease, so that a lost datagram does not end it. */
#define NOTE_INTERVAL_MS 400
/* The store is asked for the view when peers have not confirmed it for this
   long, early enough for the answer to come before the lease ends. */
#define CONFIRM_AFTER_MS 500
#define CONFIRM_AGAIN_MS 300
/* A tick that comes this late means that the process was suspended. */
#define SUSPENDED_MS 300
/* A proxy that cannot rely on its view for this long asks for no new
   callers. */
#define UNREADY_AFTER_MS 1500
/* A proxy that cannot reach a primary which the others reach asks for no new
   callers after this time. */
#define APART_AFTER_MS 600
/* The balancer notices within this time; then idle callers are sent away. */
#define BALANCER_MS 2100
#define MEMBERS_MAX 16
/* Members that are no longer listed are remembered for the time in which they
   may still be asked to step down. */
#define REMEMBER_MS 10000
/* Between looks at whether the stored list of members is outdated. */
#define LIST_INTERVAL_MS 1500
#define LOG_INTERVAL_MS 1000

/* A member of the directory and since when it is no longer listed. */
struct known_member {
    struct member_entry entry;
    clock_ms unlisted_at; /* 0 while listed */
};

struct node {
    struct ev_loop *loop;
    char *name;
    char *failure_domain;
    struct node_platform platform;
    uint64_t incarnation;
    struct agreement *agreement;
    struct promoter *promoter;
    struct peer_port *port;
    struct relay *relay;
    struct catalog *catalog;
    GHashTable *services; /* name -> struct service */
    GArray *members;      /* of struct known_member */
    GArray *peers;        /* of struct node_peer */
    ev_timer tick;
    clock_ms last_tick;
    clock_ms noted_at;
    clock_ms asked_at;
    clock_ms valid_at;
    clock_ms apart_since; /* only this proxy misses a primary; 0 if not */
    clock_ms flushed_at;
    clock_ms list_checked_at;
    char *stored_list; /* the list of members that the store holds */
    bool remembered;
    uint64_t acted; /* version reported as acted on */
    bool leaving;
};

static void tick_promoter(struct node *n, clock_ms now);

/* Tells whether this proxy may rely on who leads, for a service. */
static bool
lease_valid(void *ctx, const char *service, clock_ms now)
{
    const struct node *n = ctx;

    (void)service;
    return agreement_valid(n->agreement, now);
}

/* Returns the present time, for the relay. */
static clock_ms
boot_now(void *ctx)
{
    (void)ctx;
    return clock_boot_now();
}

/* Returns which services' primaries do not answer, by index in the view. */
static uint64_t
unreachable_services(const struct node *n, clock_ms now)
{
    const struct view *v = agreement_view(n->agreement);
    uint64_t bits = 0;

    for (int i = 0; i < v->count; i++) {
        const struct service *s =
            g_hash_table_lookup(n->services, v->leads[i].service);
        if (s != NULL && service_primary_unreachable(s, now)) {
            bits |= UINT64_C(1) << i;
        }
    }
    return bits;
}

/* Adds the positions of the primaries that a peer cannot reach, so that it can
   go on to serve reads from replicas. */
static void
add_positions(struct node *n, const char *to, clock_ms now,
              struct agreement_note *note)
{
    const struct view *v = agreement_view(n->agreement);
    const uint64_t wanted = agreement_peer_unreachable(n->agreement, to);

    if (wanted == 0) {
        return;
    }
    note->position_count = v->count;
    for (int i = 0; i < v->count; i++) {
        const struct service *s =
            g_hash_table_lookup(n->services, v->leads[i].service);
        clock_ms at;
        struct token position;
        if ((wanted >> i & 1) != 0 && s != NULL &&
            service_newest_sample(s, &at, &position)) {
            note->positions[i] = (struct agreement_position){
                .known = true,
                .term = position.term,
                .position = position.position,
                .age_ms = now - at,
            };
        }
    }
}

/* Takes the positions that a peer has sent in answer to a note. They held
   after the peer got that note, less their age. */
static void
take_positions(struct node *n, const struct agreement_note *note)
{
    const struct view *v = agreement_view(n->agreement);

    if (note->version != v->version || note->echo_of != n->incarnation) {
        return;
    }
    for (int i = 0; i < note->position_count && i < v->count; i++) {
        struct service *s =
            g_hash_table_lookup(n->services, v->leads[i].service);
        const struct agreement_position *p = &note->positions[i];
        const struct token position = {
            .term = p->term, .position = p->position, .known = true};
        if (p->known && s != NULL) {
            service_add_sample(s, note->echo - p->age_ms, &position);
        }
    }
}

/* Sends a note to one peer. */
static void
send_note(struct node *n, const struct node_peer *p, uint64_t unreachable,
          bool reply, clock_ms now)
{
    struct agreement_note note;

    const bool unable = n->leaving || promoter_is_cut_off(n->promoter, now);
    agreement_compose(n->agreement, p->name, unreachable, unable, now, &note);
    note.reply = reply;
    if (reply) {
        add_positions(n, p->name, now, &note);
    }
    peer_port_send(n->port, p->host, p->port, &note);
}

/* Sends a note to the witnesses, or to all peers when there is news that
   everyone must have and this proxy is a witness itself. */
static void
send_notes(struct node *n, bool news, clock_ms now)
{
    const uint64_t unreachable = unreachable_services(n, now);
    const bool all = news && agreement_is_witness(n->agreement, n->name);

    n->noted_at = now;
    for (guint i = 0; i < n->peers->len; i++) {
        const struct node_peer *p =
            &g_array_index(n->peers, struct node_peer, i);
        if (strcmp(p->name, n->name) != 0 &&
            (all || agreement_is_witness(n->agreement, p->name))) {
            send_note(n, p, unreachable, false, now);
        }
    }
}

/* Answers the note of a peer. */
static void
send_reply(struct node *n, const char *to, clock_ms now)
{
    for (guint i = 0; i < n->peers->len; i++) {
        const struct node_peer *p =
            &g_array_index(n->peers, struct node_peer, i);
        if (strcmp(p->name, to) == 0) {
            send_note(n, p, unreachable_services(n, now), true, now);
            return;
        }
    }
}

/* Reports the view as acted on once nothing is in progress under an earlier
   one. Returns true when that is news. */
static bool
update_acted(struct node *n)
{
    const struct view *v = agreement_view(n->agreement);
    GHashTableIter i;
    void *service;

    if (n->acted == v->version) {
        return false;
    }
    g_hash_table_iter_init(&i, n->services);
    while (g_hash_table_iter_next(&i, NULL, &service)) {
        if (!service_settled(service)) {
            return false;
        }
    }
    n->acted = v->version;
    agreement_set_acted(n->agreement, v->version);
    return true;
}

/* Applies the view to the services and tells the peers. */
static void
apply_view(struct node *n)
{
    const struct view *v = agreement_view(n->agreement);
    const clock_ms now = clock_boot_now();

    for (int i = 0; i < v->count; i++) {
        const struct view_lead *l = &v->leads[i];
        struct service *s = g_hash_table_lookup(n->services, l->service);
        if (s != NULL) {
            service_set_lead(s, l->epoch, l->changing ? "" : l->primary,
                             l->changing, now);
        }
    }
    update_acted(n);
    send_notes(n, true, now);
}

/* A peer's note arrived. */
static void
on_note(void *ctx, const struct agreement_note *note)
{
    struct node *n = ctx;
    const clock_ms now = clock_boot_now();

    if (agreement_take(n->agreement, note, now)) {
        event_log(EVENT_STATE, "view_from_peer", "peer=%s version=%llu",
                  note->from, (unsigned long long)note->version);
        apply_view(n);
    }
    if (note->reply) {
        take_positions(n, note);
    }
    else {
        send_reply(n, note->from, now);
    }
    if (promoter_busy(n->promoter)) {
        tick_promoter(n, now);
    }
}

/* Sets how many connections to a member this proxy may have. */
static void
update_shares(struct node *n)
{
    const int proxies = agreement_peer_count(n->agreement) + 1;
    GHashTableIter i;
    void *name;
    void *service;

    g_hash_table_iter_init(&i, n->services);
    while (g_hash_table_iter_next(&i, &name, &service)) {
        const struct service_limits *l =
            g_hash_table_lookup(n->catalog->services, name);
        if (l != NULL) {
            service_set_share(service,
                              share_connections(l->max_connections, proxies));
        }
    }
}

/* Hands each service its members from the directory. */
static void
update_service_members(struct node *n)
{
    const clock_ms now = clock_boot_now();
    GHashTableIter i;
    void *name;
    void *service;

    g_hash_table_iter_init(&i, n->services);
    while (g_hash_table_iter_next(&i, &name, &service)) {
        struct member_entry list[MEMBERS_MAX];
        size_t count = 0;
        for (guint k = 0; k < n->members->len && count < MEMBERS_MAX; k++) {
            const struct known_member *m =
                &g_array_index(n->members, struct known_member, k);
            if (m->unlisted_at == 0 && strcmp(m->entry.service, name) == 0) {
                list[count++] = m->entry;
            }
        }
        service_set_members(service, list, count, now);
        for (guint k = 0; k < n->members->len; k++) {
            const struct known_member *m =
                &g_array_index(n->members, struct known_member, k);
            if (m->unlisted_at != 0 && strcmp(m->entry.service, name) == 0) {
                service_remember(service, &m->entry, m->unlisted_at, now);
            }
        }
    }
}

/* Takes over a version of the operator's configuration. Older versions are
   ignored. */
void
node_set_catalog(struct node *n, struct catalog *c)
{
    if (n->catalog->version >= c->version) {
        return;
    }
    event_log(EVENT_STATE, "configuration",
              "version=%llu before=%llu routes=%u services=%u",
              (unsigned long long)c->version,
              (unsigned long long)n->catalog->version,
              g_hash_table_size(c->routes), g_hash_table_size(c->services));
    catalog_unref(n->catalog);
    n->catalog = catalog_ref(c);
    GHashTableIter i;
    void *name;
    g_hash_table_iter_init(&i, c->services);
    while (g_hash_table_iter_next(&i, &name, NULL)) {
        if (!g_hash_table_contains(n->services, name)) {
            const struct service_config config = {
                .name = name,
                .failure_domain = n->failure_domain,
                .codec = n->platform.codec,
                .lease_valid = lease_valid,
                .now = boot_now,
                .ctx = n,
            };
            g_hash_table_insert(n->services, g_strdup(name),
                                service_create(&config));
        }
    }
    update_shares(n);
    update_service_members(n);
    apply_view(n);
}

/* Takes over the whole list of members. */
void
node_set_members(struct node *n, const struct member_entry *entries,
                 size_t count)
{
    const clock_ms now = clock_boot_now();
    GArray *next = g_array_new(FALSE, TRUE, sizeof(struct known_member));

    for (size_t i = 0; i < count; i++) {
        const struct known_member m = {.entry = entries[i]};
        g_array_append_val(next, m);
    }
    for (guint k = 0; k < n->members->len; k++) {
        struct known_member m =
            g_array_index(n->members, struct known_member, k);
        bool listed = false;
        for (size_t i = 0; i < count && !listed; i++) {
            listed = strcmp(entries[i].id, m.entry.id) == 0;
        }
        /* Unlisted members are remembered as long as they are in use. */
        if (!listed &&
            (m.unlisted_at == 0 || now - m.unlisted_at < REMEMBER_MS)) {
            m.unlisted_at = m.unlisted_at == 0 ? now : m.unlisted_at;
            g_array_append_val(next, m);
        }
    }
    g_array_free(n->members, TRUE);
    n->members = next;
    update_service_members(n);
}

/* Takes the list of members that the store holds. The first one after the
   start adds those that the directory does not list now: around an outage of
   the store the entries of living members are missing for some seconds. */
void
node_remember_members(struct node *n, const char *text)
{
    const clock_ms now = clock_boot_now();

    g_free(n->stored_list);
    n->stored_list = g_strdup(text);
    if (n->remembered) {
        return;
    }
    n->remembered = true;
    GArray *list = member_list_parse(sview_from(text));
    for (guint i = 0; i < list->len; i++) {
        const struct known_member m = {
            .entry = g_array_index(list, struct member_entry, i),
            .unlisted_at = now,
        };
        bool known = false;
        for (guint k = 0; k < n->members->len && !known; k++) {
            known =
                strcmp(
                    g_array_index(n->members, struct known_member, k).entry.id,
                    m.entry.id) == 0;
        }
        if (!known) {
            g_array_append_val(n->members, m);
        }
    }
    g_array_free(list, TRUE);
    update_service_members(n);
}

/* Stores the list of members when it has changed; the proxy that orders
   promotions does it, or the first one alive in its place. */
static void
store_member_list(struct node *n, clock_ms now)
{
    const struct view *v = agreement_view(n->agreement);
    const bool holder = strcmp(v->holder, n->name) == 0;

    if (!holder && (agreement_alive(n->agreement, v->holder, now) ||
                    agreement_rank(n->agreement, now) != 0)) {
        return;
    }
    GArray *list = g_array_new(FALSE, TRUE, sizeof(struct member_entry));
    for (guint k = 0; k < n->members->len; k++) {
        const struct known_member *m =
            &g_array_index(n->members, struct known_member, k);
        if (m->unlisted_at == 0 || now - m->unlisted_at < REMEMBER_MS) {
            g_array_append_val(list, m->entry);
        }
    }
    char *text = member_list_format(
        (const struct member_entry *)(void *)list->data, list->len);
    if (list->len > 0 && g_strcmp0(text, n->stored_list) != 0) {
        n->platform.write_members(n->platform.ctx, text);
    }
    g_free(text);
    g_array_free(list, TRUE);
}

/* Takes over the registered proxies. */
void
node_set_peers(struct node *n, const struct node_peer *peers, size_t count)
{
    if (count == n->peers->len &&
        (count == 0 ||
         memcmp(peers, n->peers->data, count * sizeof(*peers)) == 0)) {
        return;
    }
    struct agreement_peer *names = g_new0(struct agreement_peer, count + 1);

    g_array_set_size(n->peers, 0);
    g_array_append_vals(n->peers, peers, (guint)count);
    for (size_t i = 0; i < count; i++) {
        names[i].name = peers[i].name;
        names[i].failure_domain = peers[i].failure_domain;
    }
    agreement_set_peers(n->agreement, names, (int)count);
    g_free(names);
    event_log(EVENT_STATE, "peers", "registered=%zu", count);
    update_shares(n);
    send_notes(n, false, clock_boot_now());
}

/* Takes what the store shows as the view, in answer to a question or a write
   sent at asked_at. */
void
node_offer_view(struct node *n, const struct view *v, clock_ms asked_at)
{
    const bool newer = agreement_offer(n->agreement, v);

    agreement_confirm_by_store(n->agreement, v->version, asked_at);
    if (newer) {
        event_log(EVENT_STATE, "view_from_store",
                  "version=%llu holder=%s fence=%llu services=%d",
                  (unsigned long long)v->version, v->holder,
                  (unsigned long long)v->fence, v->count);
        apply_view(n);
    }
}

/* Takes the outcome of a write of the view. */
void
node_view_written(struct node *n, bool done)
{
    promoter_view_written(n->promoter, done);
}

/* Passes a write of the view on. */
static void
on_write_view(void *ctx, const struct view *next)
{
    struct node *n = ctx;

    n->platform.write_view(n->platform.ctx, next);
}

/* Passes an order on. */
static void
on_order(void *ctx, const char *service, const char *member, uint64_t fence)
{
    struct node *n = ctx;

    n->platform.order(n->platform.ctx, service, member, fence);
}

/* A member answered an inquiry. */
static void
on_report(void *ctx, const char *service, const char *member,
          const struct member_report *report)
{
    struct node *n = ctx;
    const clock_ms now = clock_boot_now();

    promoter_status(n->promoter, service, member, report, now);
    tick_promoter(n, now);
}

/* Asks a member for the promoter. */
static void
on_ask(void *ctx, const char *service, const char *member,
       uint64_t demote_term)
{
    struct node *n = ctx;

    for (guint k = 0; k < n->members->len; k++) {
        const struct known_member *m =
            &g_array_index(n->members, struct known_member, k);
        if (strcmp(m->entry.id, member) == 0) {
            inquiry_start(n->loop, n->platform.codec, &m->entry, demote_term,
                          on_report, n);
            return;
        }
    }
    promoter_status(n->promoter, service, member, NULL, clock_boot_now());
}

/* Lets the promoter look at each configured service. */
static void
tick_promoter(struct node *n, clock_ms now)
{
    if (n->leaving) {
        return;
    }
    GHashTableIter i;
    void *name;
    void *service;

    g_hash_table_iter_init(&i, n->services);
    while (g_hash_table_iter_next(&i, &name, &service)) {
        struct candidate list[MEMBERS_MAX];
        size_t count = 0;
        for (guint k = 0; k < n->members->len && count < MEMBERS_MAX; k++) {
            const struct known_member *m =
                &g_array_index(n->members, struct known_member, k);
            if (strcmp(m->entry.service, name) == 0) {
                list[count++] = (struct candidate){
                    .id = m->entry.id,
                    .listed = m->unlisted_at == 0,
                    .draining = m->entry.draining,
                    .says_primary = m->entry.says_primary,
                };
            }
        }
        promoter_tick(n->promoter, name, list, count,
                      service_primary_unreachable(service, now), now);
    }
}

/* Takes the outcome of an order. */
void
node_ordered(struct node *n, const char *service, enum order_result result)
{
    const clock_ms now = clock_boot_now();

    promoter_ordered(n->promoter, service, result, now);
    tick_promoter(n, now);
}

/* Lets the services look at their members, and tells them when the process
   was suspended. */
static void
tick_services(struct node *n, clock_ms now)
{
    const int64_t gap = now - n->last_tick;
    const bool suspended = n->last_tick != 0 && gap > SUSPENDED_MS;
    GHashTableIter i;
    void *service;

    if (suspended) {
        event_log(EVENT_STATE, "suspended", "for_ms=%lld", (long long)gap);
    }
    n->last_tick = now;
    g_hash_table_iter_init(&i, n->services);
    while (g_hash_table_iter_next(&i, NULL, &service)) {
        if (suspended) {
            service_resumed(service, now);
        }
        service_tick(service, now);
    }
}

/* Notes since when this proxy, unlike most others, cannot reach a primary. */
static void
check_apart(struct node *n, clock_ms now)
{
    const struct view *v = agreement_view(n->agreement);
    const uint64_t unreachable = unreachable_services(n, now);
    const int others = agreement_alive_count(n->agreement, now);
    bool apart = false;

    for (int i = 0; i < v->count && !apart; i++) {
        apart = (unreachable >> i & 1) != 0 && others > 0 &&
                agreement_votes(n->agreement, i, now) * 2 <= others;
    }
    if (apart && n->apart_since == 0) {
        n->apart_since = now;
        event_log(EVENT_STATE, "apart", "unreachable=%llx others=%d",
                  (unsigned long long)unreachable, others);
    }
    else if (!apart && n->apart_since != 0) {
        event_log(EVENT_STATE, "apart_over", "after_ms=%lld",
                  (long long)(now - n->apart_since));
        n->apart_since = 0;
    }
}

/* Periodic work. */
static void
on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct node *n = w->data;
    const clock_ms now = clock_boot_now();

    (void)loop;
    (void)revents;
    tick_services(n, now);
    relay_tick(n->relay, now);
    tick_promoter(n, now);
    check_apart(n, now);
    const bool acted = update_acted(n);
    if (acted || now - n->noted_at >= NOTE_INTERVAL_MS) {
        send_notes(n, acted, now);
    }
    const clock_ms evidence = agreement_evidence(n->agreement);
    if (now - evidence >= CONFIRM_AFTER_MS &&
        now - n->asked_at >= CONFIRM_AGAIN_MS) {
        n->asked_at = now;
        n->platform.read_view(n->platform.ctx);
    }
    if (agreement_valid(n->agreement, now)) {
        n->valid_at = now;
    }
    if (!n->leaving && now - n->list_checked_at >= LIST_INTERVAL_MS) {
        n->list_checked_at = now;
        store_member_list(n, now);
    }
    if (now - n->flushed_at >= LOG_INTERVAL_MS) {
        n->flushed_at = now;
        event_log_flush(now);
    }
}

/* Returns the newest configuration, for the relay. */
static struct catalog *
find_catalog(void *ctx)
{
    const struct node *n = ctx;

    return n->catalog;
}

/* Returns a service by name, or NULL. */
static struct service *
find_service(void *ctx, const char *name)
{
    const struct node *n = ctx;

    return g_hash_table_lookup(n->services, name);
}

/* Creates the node and starts its timer. On failure returns NULL and sets
   error to an owned text. */
struct node *
node_create(const struct node_config *config, char **error)
{
    struct node *n = g_new0(struct node, 1);
    const struct promoter_actions actions = {
        .write_view = on_write_view,
        .ask = on_ask,
        .order = on_order,
        .ctx = n,
    };
    const struct relay_config relay = {
        .catalog = find_catalog,
        .service = find_service,
        .now = boot_now,
        .ctx = n,
    };

    n->port = peer_port_create(config->loop, config->host, config->peer_port,
                               on_note, n, error);
    if (n->port == NULL) {
        g_free(n);
        return NULL;
    }
    n->loop = config->loop;
    n->name = g_strdup(config->name);
    n->failure_domain = g_strdup(config->failure_domain);
    n->platform = *config->platform;
    n->incarnation = (uint64_t)clock_wall_now();
    n->agreement = agreement_create(config->name, n->incarnation);
    n->promoter = promoter_create(config->name, n->agreement, &actions);
    n->catalog = catalog_create(0);
    n->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                        (GDestroyNotify)service_destroy);
    n->members = g_array_new(FALSE, TRUE, sizeof(struct known_member));
    n->peers = g_array_new(FALSE, TRUE, sizeof(struct node_peer));
    n->relay = relay_create(&relay);
    ev_timer_init(&n->tick, on_tick, TICK_MS / 1000.0, TICK_MS / 1000.0);
    n->tick.data = n;
    ev_timer_start(n->loop, &n->tick);
    return n;
}

/* Frees the node; all sessions have ended. */
void
node_destroy(struct node *n)
{
    ev_timer_stop(n->loop, &n->tick);
    g_hash_table_destroy(n->services);
    relay_destroy(n->relay);
    peer_port_destroy(n->port);
    promoter_destroy(n->promoter);
    agreement_destroy(n->agreement);
    catalog_unref(n->catalog);
    g_free(n->stored_list);
    g_array_free(n->members, TRUE);
    g_array_free(n->peers, TRUE);
    g_free(n->name);
    g_free(n->failure_domain);
    g_free(n);
}

/* Returns the relay, for the front that serves callers. */
struct relay *
node_relay(struct node *n)
{
    return n->relay;
}

/* Returns the newest configuration. */
struct catalog *
node_catalog(struct node *n)
{
    return n->catalog;
}

/* Returns for how long this proxy could not serve what others can, beyond the
   time in which that is expected to pass; 0 while it can. */
static int64_t
impaired_ms(const struct node *n)
{
    const clock_ms now = clock_boot_now();
    const int64_t lease = now - n->valid_at - UNREADY_AFTER_MS;
    const int64_t apart =
        n->apart_since == 0 ? 0 : now - n->apart_since - APART_AFTER_MS;

    return MAX(MAX(lease, apart), 0);
}

/* Tells whether new callers should be sent here. */
bool
node_is_ready(const struct node *n)
{
    return !n->leaving && n->catalog->version > 0 &&
           agreement_view(n->agreement)->version > 0 && impaired_ms(n) == 0;
}

/* Tells whether this proxy has been impaired for so long that the balancer
   sends its callers elsewhere by now. */
bool
node_is_cut_off(const struct node *n)
{
    return agreement_view(n->agreement)->version > 0 &&
           impaired_ms(n) >= BALANCER_MS;
}

/* The proxy is shutting down: it orders nothing any more and says so. */
void
node_set_leaving(struct node *n)
{
    n->leaving = true;
    send_notes(n, true, clock_boot_now());
}

/* Writes one counter in the text format that scrapers read. */
static void
put_metric(GString *out, const char *name, const char *labels, uint64_t value)
{
    g_string_append_printf(out, "galenastep_%s%s %llu\n", name, labels,
                           (unsigned long long)value);
}

/* Writes all counters and the histogram of statement times. */
void
node_write_metrics(const struct node *n, GString *out)
{
    const struct relay_counters *r = relay_counters(n->relay);
    const struct view *v = agreement_view(n->agreement);
    char labels[160];
    GHashTableIter i;
    void *service;

    put_metric(out, "sessions_total", "", r->sessions);
    put_metric(out, "statements_total", "", r->statements);
    put_metric(out, "statements_succeeded_total", "", r->succeeded);
    put_metric(out, "statements_retried_total", "", r->retried);
    for (int f = 1; f <= FAILURE_UNKNOWN_OUTCOME; f++) {
        g_snprintf(labels, sizeof(labels), "{outcome=\"%s\"}",
                   failure_name((enum failure)f));
        put_metric(out, "failures_total", labels, r->failures[f]);
    }
    uint64_t below = 0;
    for (int b = 0; b < 16; b++) {
        below += r->latency[b];
        g_snprintf(labels, sizeof(labels), "{le=\"%d\"}", 1 << b);
        put_metric(out, "statement_ms_bucket", labels, below);
    }
    put_metric(out, "view_version", "", v->version);
    put_metric(out, "view_fence", "", v->fence);
    put_metric(out, "lease_valid", "",
               agreement_valid(n->agreement, clock_boot_now()));
    g_hash_table_iter_init(&i, n->services);
    while (g_hash_table_iter_next(&i, NULL, &service)) {
        const struct service_counters *c = service_counters(service);
        g_snprintf(labels, sizeof(labels), "{service=\"%s\"}",
                   service_name(service));
        put_metric(out, "granted_total", labels, c->granted);
        put_metric(out, "refused_deadline_total", labels, c->refused_deadline);
        put_metric(out, "refused_queue_total", labels, c->refused_queue);
        put_metric(out, "refused_no_member_total", labels,
                   c->refused_no_member);
        put_metric(out, "links_opened_total", labels, c->links_opened);
        put_metric(out, "links_refused_total", labels, c->links_refused);
        put_metric(out, "links_lost_total", labels, c->links_lost);
        put_metric(out, "queue_length", labels, service_queue_length(service));
    }
}

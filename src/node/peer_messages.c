#include "node/node_internal.h"

#include "base/event_log.h"

#include <string.h>

/* A position that was current longer ago is of no use to reads: staleness
   bounds are one to three seconds, and the exchange takes up to one. */
#define SHARED_POSITION_MAX_AGE_MS 2000

/* Determines the services whose primary this proxy cannot reach. */
void
node_list_unreachable(const struct node *n, clock_ms now,
                      struct service_set *out)
{
    const struct view *v = agreement_view(n->agreement);

    memset(out, 0, sizeof(*out));
    for (int i = 0; i < v->count; i++) {
        const struct service *s =
            g_hash_table_lookup(n->services, v->entries[i].service);
        if (s != NULL && service_primary_unreachable(s, now)) {
            service_set_add(out, i);
        }
    }
}

/* Returns true if this proxy exchanges the positions of all primaries with a
   peer: where proxies keep a connection to one replica only, most of them
   reach a primary too rarely to know a recent position, and would read there
   to learn one. Proxies and witnesses of one failure domain do so, since bytes
   between failure domains cost. */
static bool
shares_positions(const struct node *n, const struct node_peer *with)
{
    return n->shares_positions &&
           strcmp(with->failure_domain, n->failure_domain) == 0;
}

/* Adds the log positions of the primaries that a peer cannot reach, so that it
   can continue to serve reads from replicas. The holder also gets those of the
   services whose primary it replaces: it may have served none of their
   callers, and has to know of the newest commits. With all set, the peer gets
   those of all services that are recent enough for reads. If not all fit, the
   next message starts with the ones left out. */
static void
add_positions(struct node *n, const char *to, bool all, clock_ms now,
              struct agreement_message *message)
{
    const struct view *v = agreement_view(n->agreement);
    const struct service_set *unreachable =
        agreement_peer_unreachable(n->agreement, to);
    const bool holder = strcmp(v->holder, to) == 0;

    if (unreachable == NULL && !holder && !all) {
        return;
    }
    for (int k = 0;
         k < v->count && message->position_count < AGREEMENT_POSITIONS_MAX;
         k++) {
        const int i = (n->next_position_index + k) % v->count;
        clock_ms at;
        struct token position;
        const bool wanted =
            (unreachable != NULL && service_set_has(unreachable, i)) ||
            (holder && v->entries[i].changing);
        const struct service *s =
            wanted || all
                ? g_hash_table_lookup(n->services, v->entries[i].service)
                : NULL;
        if (s != NULL && service_newest_primary_position(s, &at, &position) &&
            (wanted || now - at <= SHARED_POSITION_MAX_AGE_MS)) {
            message->positions[message->position_count++] =
                (struct agreement_position){
                    .index = i,
                    .term = position.term,
                    .position = position.position,
                    .age_ms = now - at,
                };
        }
    }
    if (message->position_count == AGREEMENT_POSITIONS_MAX) {
        n->next_position_index =
            message->positions[AGREEMENT_POSITIONS_MAX - 1].index + 1;
    }
}

/* Applies the log positions in a message. Each was current age_ms before the
   peer received the echoed message, or later. */
static void
receive_positions(struct node *n, const struct agreement_message *message)
{
    const struct view *v = agreement_view(n->agreement);

    if (message->version != v->version ||
        message->echo_incarnation != n->incarnation) {
        return;
    }
    for (int i = 0; i < message->position_count; i++) {
        const struct agreement_position *p = &message->positions[i];
        struct service *s =
            p->index < v->count
                ? g_hash_table_lookup(n->services,
                                      v->entries[p->index].service)
                : NULL;
        const struct token position = {
            .term = p->term, .position = p->position, .known = true};
        if (s != NULL) {
            service_add_primary_position(s, message->echo - p->age_ms,
                                         &position);
        }
    }
}

static void
send_message(struct node *n, const struct node_peer *p,
             const struct service_set *unreachable, bool reply, clock_ms now)
{
    struct agreement_message message;

    const bool unable = n->leaving || promoter_is_blocked(n->promoter, now);
    agreement_compose_message(n->agreement, p->name, unreachable, unable, now,
                              &message);
    message.reply = reply;
    message.store_lost = n->store_lost;
    message.catalog_version = n->catalog->version;
    if (reply) {
        message.catalog_age_ms = node_announced_evidence_age(n, now);
        message.members_version =
            node_is_large_fleet(n) ? n->members_version : 0;
    }
    if (reply || shares_positions(n, p)) {
        add_positions(n, p->name, shares_positions(n, p), now, &message);
    }
    n->traffic->sent[TRAFFIC_AGREEMENT]
                    [traffic_peer_of(n->failure_domain, p->failure_domain)] +=
        peer_socket_send(n->port, p->host, p->port, &message);
}

/* Sends a message to one silent peer that is not a witness, a different one
   each time. The store may have been unreachable since the peer started; the
   message tells it where it can request a copy. If no witness is alive, the
   reply shows that another proxy lists this one. */
static void
probe_silent_peer(struct node *n, const struct service_set *unreachable,
                  clock_ms now)
{
    for (guint k = 0; k < n->peers->len; k++) {
        const struct node_peer *p = &g_array_index(
            n->peers, struct node_peer, n->next_probe++ % n->peers->len);
        if (strcmp(p->name, n->name) != 0 &&
            !agreement_is_witness(n->agreement, p->name) &&
            !agreement_is_alive(n->agreement, p->name, now)) {
            send_message(n, p, unreachable, false, now);
            return;
        }
    }
}

/* Sends a message to the witnesses or, if this proxy is a witness and has a
   change to announce, to all peers. */
void
node_send_messages(struct node *n, bool changed, clock_ms now)
{
    struct service_set unreachable;
    const bool all = changed && agreement_is_witness(n->agreement, n->name);

    n->messages_sent_at = now;
    node_list_unreachable(n, now, &unreachable);
    for (guint i = 0; i < n->peers->len; i++) {
        const struct node_peer *p =
            &g_array_index(n->peers, struct node_peer, i);
        if (strcmp(p->name, n->name) != 0 &&
            (all || agreement_is_witness(n->agreement, p->name))) {
            send_message(n, p, &unreachable, false, now);
        }
    }
    if (!all && (agreement_is_witness(n->agreement, n->name) ||
                 agreement_live_witness_count(n->agreement, now) == 0)) {
        probe_silent_peer(n, &unreachable, now);
    }
}

/* Returns the registered proxy of that name, or NULL. */
static const struct node_peer *
find_peer(const struct node *n, const char *name)
{
    for (guint i = 0; i < n->peers->len; i++) {
        const struct node_peer *p =
            &g_array_index(n->peers, struct node_peer, i);
        if (strcmp(p->name, name) == 0) {
            return p;
        }
    }
    return NULL;
}

/* Answers a message from a peer. */
static void
send_reply(struct node *n, const char *to, clock_ms now)
{
    const struct node_peer *p = find_peer(n, to);
    struct service_set unreachable;

    if (p != NULL) {
        node_list_unreachable(n, now, &unreachable);
        send_message(n, p, &unreachable, true, now);
    }
}

/* Reports the view as applied once no work is in progress under an earlier
   one: neither statements nor orders of an earlier holder. Returns true if
   that was not reported before. */
bool
node_update_applied(struct node *n)
{
    const struct view *v = agreement_view(n->agreement);
    GHashTableIter i;
    void *service;

    if (n->applied == v->version ||
        promoter_order_count(n->promoter, v->fence) > 0) {
        return false;
    }
    g_hash_table_iter_init(&i, n->services);
    while (g_hash_table_iter_next(&i, NULL, &service)) {
        if (!service_old_primary_idle(service)) {
            return false;
        }
    }
    n->applied = v->version;
    agreement_set_applied(n->agreement, v->version);
    return true;
}

/* Applies the view to the services and informs the peers. */
void
node_apply_view(struct node *n)
{
    const struct view *v = agreement_view(n->agreement);
    const clock_ms now = clock_boottime_ms();

    for (int i = 0; i < v->count; i++) {
        const struct view_entry *e = &v->entries[i];
        struct service *s = g_hash_table_lookup(n->services, e->service);
        if (s != NULL) {
            service_set_primary(s, e->epoch, e->changing ? "" : e->primary,
                                e->changing, now);
        }
    }
    node_update_applied(n);
    node_send_messages(n, true, now);
}

/* Processes a message of so many bytes from a peer; host is where it came
   from. */
void
node_on_message(void *ctx, const struct agreement_message *message,
                const char *host, size_t bytes)
{
    struct node *n = ctx;
    const clock_ms now = clock_boottime_ms();
    const struct node_peer *from = find_peer(n, message->from);

    n->traffic->received[TRAFFIC_AGREEMENT][traffic_peer_of(
        n->failure_domain, from != NULL ? from->failure_domain : NULL)] +=
        bytes;

    copy_fetcher_on_message(n->copy_fetcher, host, message, now);
    const bool newer = agreement_receive(n->agreement, message, now);
    node_receive_evidence(n, message, from != NULL, now);
    if (newer) {
        event_log(EVENT_STATE, "view_from_peer", "peer=%s version=%llu",
                  message->from, (unsigned long long)message->version);
        node_apply_view(n);
    }
    if (message->reply || n->shares_positions) {
        receive_positions(n, message);
    }
    if (!message->reply) {
        send_reply(n, message->from, now);
    }
    if (promoter_busy(n->promoter)) {
        node_tick_promoter(n, now);
    }
}

/* Called with the registered proxies from the store. */
void
node_set_peers(struct node *n, const struct node_peer *peers, size_t count)
{
    n->peers_from_store = true;
    node_apply_peers(n, peers, count);
}

/* Replaces the list of registered proxies. */
void
node_apply_peers(struct node *n, const struct node_peer *peers, size_t count)
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
    agreement_set_peers(n->agreement, names, (int)count, clock_boottime_ms());
    g_free(names);
    node_limits_set_peers(n);
    event_log(EVENT_STATE, "peers", "registered=%zu", count);
    node_update_shares(n);
    node_send_messages(n, false, clock_boottime_ms());
}

/* Records whether the store fails to answer this proxy, and informs the
   witnesses, so that one that reaches the store makes the next change of the
   view. */
void
node_set_store_lost(struct node *n, bool lost)
{
    if (n->store_lost == lost) {
        return;
    }
    n->store_lost = lost;
    promoter_set_store_lost(n->promoter, lost);
    node_send_messages(n, true, clock_boottime_ms());
}

/* Called when all other proxies list this one: it was registered before it
   started, or it is the only one. */
void
node_set_known_to_peers(struct node *n)
{
    agreement_set_known_to_peers(n->agreement);
    node_limits_set_registered(n);
}

/* Called when the store names the era that it is in: at its first answer, and
   when it has come back from an older copy. */
void
node_set_store_era(struct node *n, uint64_t era)
{
    agreement_set_store_era(n->agreement, era, clock_boottime_ms());
    catalog_evidence_doubt_store(&n->evidence, clock_boottime_ms());
}

/* Returns true if this proxy may order promotions. */
bool
node_is_holder(const struct node *n)
{
    return strcmp(agreement_view(n->agreement)->holder, n->name) == 0;
}

/* Called when the store has answered that it holds no view. */
void
node_set_no_view(struct node *n)
{
    agreement_recover_by_store(n->agreement);
}

/* Called with the view from the store, in answer to a read or write sent at
   asked_at. registered: the answer shows this proxy as registered. */
void
node_set_view(struct node *n, const struct view *v, clock_ms asked_at,
              bool registered)
{
    const bool newer = agreement_adopt_view(n->agreement, v);

    agreement_confirm_by_store(n->agreement, v->version, asked_at, registered);
    if (newer) {
        event_log(EVENT_STATE, "view_from_store",
                  "version=%llu holder=%s fence=%llu services=%d",
                  (unsigned long long)v->version, v->holder,
                  (unsigned long long)v->fence, v->count);
        node_apply_view(n);
    }
}

#include "node/node_internal.h"

#include "base/event_log.h"

#include <string.h>

/* Finds which services' primaries do not answer. */
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

/* Adds the positions of the primaries that a peer cannot reach, so that it can
   go on to serve reads from replicas. When not all fit, each note begins with
   those that the one before left out. */
static void
add_positions(struct node *n, const char *to, clock_ms now,
              struct agreement_message *message)
{
    const struct view *v = agreement_view(n->agreement);
    const struct service_set *wanted =
        agreement_peer_unreachable(n->agreement, to);

    if (wanted == NULL) {
        return;
    }
    for (int k = 0;
         k < v->count && message->position_count < AGREEMENT_POSITIONS_MAX;
         k++) {
        const int i = (n->positions_next + k) % v->count;
        const struct service *s =
            g_hash_table_lookup(n->services, v->entries[i].service);
        clock_ms at;
        struct token position;
        if (service_set_has(wanted, i) && s != NULL &&
            service_newest_sample(s, &at, &position)) {
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
        n->positions_next =
            message->positions[AGREEMENT_POSITIONS_MAX - 1].index + 1;
    }
}

/* Takes the positions that a peer has sent in answer to a note. They held
   after the peer got that note, less their age. */
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
            service_add_sample(s, message->echo - p->age_ms, &position);
        }
    }
}

/* Sends a note to one peer. */
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
    message.configuration = n->catalog->version;
    if (reply) {
        add_positions(n, p->name, now, &message);
    }
    peer_socket_send(n->port, p->host, p->port, &message);
}

/* Sends a note to one of the proxies that are not heard, another one each
   time: it may have started while the store turns it away, and learns from
   the note whom it can ask. */
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

/* Sends a note to the witnesses, or to all peers when there is news that
   everyone must have and this proxy is a witness itself. */
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
    if (!all && agreement_is_witness(n->agreement, n->name)) {
        probe_silent_peer(n, &unreachable, now);
    }
}

/* Answers the note of a peer. */
static void
send_reply(struct node *n, const char *to, clock_ms now)
{
    struct service_set unreachable;

    for (guint i = 0; i < n->peers->len; i++) {
        const struct node_peer *p =
            &g_array_index(n->peers, struct node_peer, i);
        if (strcmp(p->name, to) == 0) {
            node_list_unreachable(n, now, &unreachable);
            send_message(n, p, &unreachable, true, now);
            return;
        }
    }
}

/* Reports the view as acted on once nothing is in progress under an earlier
   one. Returns true when that is news. */
bool
node_update_applied(struct node *n)
{
    const struct view *v = agreement_view(n->agreement);
    GHashTableIter i;
    void *service;

    if (n->applied == v->version) {
        return false;
    }
    g_hash_table_iter_init(&i, n->services);
    while (g_hash_table_iter_next(&i, NULL, &service)) {
        if (!service_settled(service)) {
            return false;
        }
    }
    n->applied = v->version;
    agreement_set_applied(n->agreement, v->version);
    return true;
}

/* Applies the view to the services and tells the peers. */
void
node_apply_view(struct node *n)
{
    const struct view *v = agreement_view(n->agreement);
    const clock_ms now = clock_boot_now();

    for (int i = 0; i < v->count; i++) {
        const struct view_entry *l = &v->entries[i];
        struct service *s = g_hash_table_lookup(n->services, l->service);
        if (s != NULL) {
            service_set_lead(s, l->epoch, l->changing ? "" : l->primary,
                             l->changing, now);
        }
    }
    node_update_applied(n);
    node_send_messages(n, true, now);
}

/* A peer's note arrived. */
void
node_on_message(void *ctx, const struct agreement_message *message,
                const char *host)
{
    struct node *n = ctx;
    const clock_ms now = clock_boot_now();

    fetch_on_message(n->fetch, host, message->configuration, now);
    if (agreement_receive(n->agreement, message, now)) {
        event_log(EVENT_STATE, "view_from_peer", "peer=%s version=%llu",
                  message->from, (unsigned long long)message->version);
        node_apply_view(n);
    }
    if (message->reply) {
        receive_positions(n, message);
    }
    else {
        send_reply(n, message->from, now);
    }
    if (promoter_busy(n->promoter)) {
        node_tick_promoter(n, now);
    }
}

/* Takes over the registered proxies as the store lists them. */
void
node_set_peers(struct node *n, const struct node_peer *peers, size_t count)
{
    n->peers_from_store = true;
    node_apply_peers(n, peers, count);
}

/* Takes over the registered proxies. */
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
    agreement_set_peers(n->agreement, names, (int)count, clock_boot_now());
    g_free(names);
    event_log(EVENT_STATE, "peers", "registered=%zu", count);
    node_update_shares(n);
    node_send_messages(n, false, clock_boot_now());
}

/* Notes whether the store answers this proxy, and tells the witnesses, so that
   one that it answers changes the view when that is due. */
void
node_set_store_lost(struct node *n, bool lost)
{
    if (n->store_lost == lost) {
        return;
    }
    n->store_lost = lost;
    promoter_set_store_lost(n->promoter, lost);
    node_send_messages(n, true, clock_boot_now());
}

/* This proxy was registered before it started, or it is the only one: all
   others have it in their lists. */
void
node_set_registered(struct node *n)
{
    agreement_set_known_to_peers(n->agreement);
}

/* Takes what the store shows as the view, in answer to a question or a write
   sent at asked_at, and whether the answer shows this proxy as registered. */
void
node_offer_view(struct node *n, const struct view *v, clock_ms asked_at,
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

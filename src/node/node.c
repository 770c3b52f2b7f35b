#include "node/node_internal.h"

#include "base/event_log.h"
#include "node/member_query.h"

#include <string.h>
#include <xxhash.h>

#define TICK_MS 25
/* Less than half of the lease, so that a single lost datagram does not let it
   expire. */
#define MESSAGE_INTERVAL_MS 400
/* The store is asked for the view if the peers have not confirmed it for this
   long; early enough to get the answer before the lease expires. */
#define CONFIRM_AFTER_MS 500
#define CONFIRM_INTERVAL_MS 300
#define FIRST_CONFIRM_INTERVAL_MS 1000
/* A tick that is this late means that the process was suspended. */
#define SUSPENDED_AFTER_MS 300
/* A proxy that has had no valid lease for this long reports not ready, so that
   it gets no new callers. */
#define UNREADY_AFTER_MS 1500
/* A proxy that cannot reach a primary which the other proxies reach reports
   not ready after this time. */
#define ISOLATED_AFTER_MS 600
/* The load balancer notices within this time that a proxy is not ready; then
   idle callers are disconnected. */
#define BALANCER_NOTICE_MS 2100
/* A service without connections and queued requests is checked on every eighth
   tick only, so that the cost of a tick grows with the services in use rather
   than with all of them. */
#define IDLE_TICK_INTERVAL 8
/* Interval between updates of the lists in the store. */
#define LIST_INTERVAL_MS 1500
/* A member that started longer ago has received the log since. */
#define RECENT_MEMBER_START_MS 30000
#define LOG_FLUSH_INTERVAL_MS 1000

/* Returns the time on the clock of the coordination; called by services and
   the relay. */
clock_ms
node_now(void *ctx)
{
    (void)ctx;
    return clock_boottime_ms();
}

/* Called with the outcome of write_view(). */
void
node_view_written(struct node *n, bool done)
{
    promoter_view_written(n->promoter, done);
    node_tick_promoter(n, clock_boottime_ms());
}

static void
on_write_view(void *ctx, const struct view *next)
{
    struct node *n = ctx;

    n->platform.write_view(n->platform.ctx, next);
}

static void
on_order(void *ctx, const char *service, const char *member, uint64_t fence,
         clock_ms valid_until)
{
    struct node *n = ctx;

    n->platform.order(n->platform.ctx, service, member, fence, valid_until);
}

static void
on_report(void *ctx, const char *service, const char *member, uint64_t round,
          const struct member_report *report)
{
    struct node *n = ctx;
    const clock_ms now = clock_boottime_ms();

    promoter_member_answered(n->promoter, service, member, round, report, now);
    node_tick_promoter(n, now);
}

/* Sends the promoter's query to a member; a member that is not known counts as
   not answering. */
static void
on_query(void *ctx, const char *service, const char *member,
         uint64_t demote_term, uint64_t round)
{
    struct node *n = ctx;

    for (guint k = 0; k < n->members->len; k++) {
        const struct known_member *m =
            &g_array_index(n->members, struct known_member, k);
        if (strcmp(m->entry.id, member) == 0) {
            member_query_start(n->loop, n->platform.codec, &m->entry,
                               demote_term, round, on_report, n);
            return;
        }
    }
    promoter_member_answered(n->promoter, service, member, round, NULL,
                             clock_boottime_ms());
}

/* Runs the promoter for each configured service. */
void
node_tick_promoter(struct node *n, clock_ms now)
{
    const char *holder = agreement_view(n->agreement)->holder;

    /* Only witnesses and the holder change the view. */
    if (n->leaving || (!agreement_is_witness(n->agreement, n->name) &&
                       strcmp(holder, n->name) != 0)) {
        return;
    }
    GHashTableIter i;
    void *name;
    void *service;

    g_hash_table_iter_init(&i, n->services);
    while (g_hash_table_iter_next(&i, &name, &service)) {
        struct service_member list[SERVICE_MEMBERS_MAX];
        size_t count = 0;
        const struct member_range r = node_members_of(n, name);
        for (guint k = 0; k < r.count && count < SERVICE_MEMBERS_MAX; k++) {
            const struct known_member *m =
                &g_array_index(n->members, struct known_member, r.first + k);
            list[count++] = (struct service_member){
                .id = m->entry.id,
                .listed = m->unlisted_at == 0,
                .draining = m->entry.draining,
                .says_primary = m->entry.says_primary,
                .replaced = node_is_replaced(n, &r, m),
                .started_at = m->entry.started_at,
                .started_recently = clock_realtime_ms() - m->entry.started_at <
                                    RECENT_MEMBER_START_MS,
            };
        }
        const struct service_limits *limits =
            g_hash_table_lookup(n->catalog->services, name);
        clock_ms at = 0;
        struct token newest = {0};
        const bool known =
            service_newest_primary_position(service, &at, &newest);
        const struct service_state state = {
            .members = list,
            .member_count = count,
            .sync_replicas = limits != NULL ? limits->sync_replicas : 0,
            .newest_commit_term = known ? newest.term : 0,
            .primary_position = newest,
            .primary_position_at = at,
            .primary_unreachable = service_primary_unreachable(service, now),
        };
        promoter_tick(n->promoter, name, &state, now);
    }
    promoter_end_round(n->promoter, now);
}

/* Called with the outcome of order(). */
void
node_order_answered(struct node *n, const char *service,
                    enum order_result result)
{
    const clock_ms now = clock_boottime_ms();

    promoter_order_answered(n->promoter, service, result, now);
    node_tick_promoter(n, now);
}

/* Ticks the services, and informs them if the process was suspended. */
static void
tick_services(struct node *n, clock_ms now)
{
    const int64_t gap = now - n->last_tick;
    const bool suspended = n->last_tick != 0 && gap > SUSPENDED_AFTER_MS;
    GHashTableIter i;
    void *service;

    if (suspended) {
        event_log(EVENT_STATE, "suspended", "for_ms=%lld", (long long)gap);
    }
    n->last_tick = now;
    n->tick_count++;
    g_hash_table_iter_init(&i, n->services);
    while (g_hash_table_iter_next(&i, NULL, &service)) {
        if (suspended) {
            service_resumed(service, now);
        }
        if (n->tick_count % IDLE_TICK_INTERVAL == 0 ||
            !service_is_idle(service)) {
            service_tick(service, now);
        }
    }
}

/* Records since when this proxy has been unable to reach a primary that most
   of the other live proxies reach. */
static void
check_isolation(struct node *n, clock_ms now)
{
    const struct view *v = agreement_view(n->agreement);
    const int others = agreement_alive_count(n->agreement, now);
    struct service_set unreachable;
    bool isolated = false;

    node_list_unreachable(n, now, &unreachable);
    for (int i = 0; i < v->count && !isolated; i++) {
        isolated =
            service_set_has(&unreachable, i) && others > 0 &&
            agreement_unreachable_votes(n->agreement, i, now) * 2 <= others;
    }
    if (isolated && n->isolated_since == 0) {
        n->isolated_since = now;
        event_log(EVENT_STATE, "apart", "unreachable=%llx others=%d",
                  (unsigned long long)unreachable.words[0], others);
    }
    else if (!isolated && n->isolated_since != 0) {
        event_log(EVENT_STATE, "apart_over", "after_ms=%lld",
                  (long long)(now - n->isolated_since));
        n->isolated_since = 0;
    }
}

static void
on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct node *n = w->data;
    const clock_ms now = clock_boottime_ms();

    (void)loop;
    (void)revents;
    tick_services(n, now);
    relay_tick(n->relay, now);
    node_tick_promoter(n, now);
    copy_fetcher_tick(n->copy_fetcher, now);
    node_check_stored_list(n, now);
    node_check_freshness(n, now);
    node_check_registry(n, now);
    if ((n->starting && now - n->started_at >= NODE_STARTUP_MS) ||
        (n->recent_start && now - n->started_at >= NODE_DEAD_CONNECTIONS_MS)) {
        node_update_shares(n);
    }
    check_isolation(n, now);
    const bool applied = node_update_applied(n);
    struct service_set unreachable;
    node_list_unreachable(n, now, &unreachable);
    const bool recovered =
        n->recovering && !agreement_is_recovering(n->agreement);
    const bool changed =
        recovered || !service_set_equal(&unreachable, &n->sent_unreachable);
    n->recovering = n->recovering && !recovered;
    n->sent_unreachable = unreachable;
    if (applied || changed ||
        now - n->messages_sent_at >= MESSAGE_INTERVAL_MS) {
        node_send_messages(n, applied, now);
    }
    const clock_ms confirmed_at = agreement_confirmed_at(n->agreement);
    /* Before its first lease, a proxy of a large fleet loses nothing: it
       serves once the witnesses know it. */
    const int64_t interval = n->lease_valid_at == 0 && node_follows_peers(n)
                                 ? FIRST_CONFIRM_INTERVAL_MS
                                 : CONFIRM_INTERVAL_MS;
    if (now - confirmed_at >= CONFIRM_AFTER_MS &&
        now - n->view_asked_at >= interval) {
        n->view_asked_at = now;
        n->platform.read_view(n->platform.ctx);
    }
    if (agreement_lease_is_valid(n->agreement, now)) {
        n->lease_valid_at = now;
    }
    if (!n->leaving && now - n->list_checked_at >= LIST_INTERVAL_MS) {
        n->list_checked_at = now;
        node_maintain_lists(n, now);
    }
    if (now - n->log_flushed_at >= LOG_FLUSH_INTERVAL_MS) {
        n->log_flushed_at = now;
        event_log_report_dropped();
    }
}

static struct catalog *
find_catalog(void *ctx)
{
    const struct node *n = ctx;

    return n->catalog;
}

static struct service *
find_service(void *ctx, const char *name)
{
    const struct node *n = ctx;

    return g_hash_table_lookup(n->services, name);
}

/* Sets the key and opens the ports for messages and copies. On failure returns
   false and sets error to a text that the caller frees. */
static bool
open_ports(struct node *n, const struct node_config *config, char **error)
{
    const struct sview key = sview_from(config->key);

    if (!rpc_keys_set(n->keys, &key, 1)) {
        *error = g_strdup_printf("[peers] key: %d to %d bytes are required",
                                 RPC_KEY_MIN_BYTES, RPC_KEY_MAX_BYTES);
        return false;
    }
    n->copy_fetcher = copy_fetcher_create(n, config, error);
    if (n->copy_fetcher == NULL) {
        return false;
    }
    n->port = peer_socket_create(config->loop, config->host, config->peer_port,
                                 n->keys, node_on_message, n, error);
    return n->port != NULL && node_limits_open(n, config, error);
}

/* Creates the node and starts its timer. On failure returns NULL and sets
 error to a text that the caller frees. */
struct node *
node_create(const struct node_config *config, char **error)
{
    struct node *n = g_new0(struct node, 1);
    const struct promoter_actions actions = {
        .write_view = on_write_view,
        .query = on_query,
        .order = on_order,
        .ctx = n,
    };
    struct relay_config relay = {
        .catalog = find_catalog,
        .service = find_service,
        .now = node_now,
        .catalog_is_fresh = node_catalog_is_fresh,
        .ctx = n,
    };

    n->incarnation = (uint64_t)clock_realtime_ms();
    n->keys = rpc_keys_create();
    if (!open_ports(n, config, error)) {
        copy_fetcher_destroy(n->copy_fetcher);
        peer_socket_destroy(n->port);
        rpc_keys_destroy(n->keys);
        g_free(n);
        return NULL;
    }
    n->started_at = clock_boottime_ms();
    n->loop = config->loop;
    n->name = g_strdup(config->name);
    n->failure_domain = g_strdup(config->failure_domain);
    n->platform = *config->platform;
    n->traffic = config->traffic;
    n->strict_revocation = config->strict_revocation;
    catalog_evidence_init(&n->evidence, n->incarnation, config->revocation_ms);
    n->agreement =
        agreement_create(config->name, n->incarnation, n->started_at);
    n->recovering = true;
    n->promoter = promoter_create(config->name, n->agreement, &actions);
    n->catalog = catalog_create(0);
    n->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                        (GDestroyNotify)service_destroy);
    n->members = g_array_new(FALSE, TRUE, sizeof(struct known_member));
    n->member_ranges =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    n->peers = g_array_new(FALSE, TRUE, sizeof(struct node_peer));
    relay.rate_client = node_limits_client(n);
    n->relay = relay_create(&relay);
    ev_timer_init(&n->tick, on_tick, TICK_MS / 1000.0, TICK_MS / 1000.0);
    n->tick.data = n;
    ev_timer_start(n->loop, &n->tick);
    return n;
}

/* Frees the node. All sessions must have ended. */
void
node_destroy(struct node *n)
{
    ev_timer_stop(n->loop, &n->tick);
    copy_fetcher_destroy(n->copy_fetcher);
    g_hash_table_destroy(n->services);
    relay_destroy(n->relay);
    node_limits_close(n);
    peer_socket_destroy(n->port);
    rpc_keys_destroy(n->keys);
    promoter_destroy(n->promoter);
    agreement_destroy(n->agreement);
    catalog_unref(n->catalog);
    g_free(n->stored_list);
    g_array_free(n->members, TRUE);
    g_hash_table_destroy(n->member_ranges);
    g_array_free(n->peers, TRUE);
    g_free(n->name);
    g_free(n->failure_domain);
    g_free(n);
}

/* Returns the relay, on which the platform opens the sessions of callers. */
struct relay *
node_relay(struct node *n)
{
    return n->relay;
}

/* Returns the newest configuration; the node keeps its reference. */
struct catalog *
node_catalog(struct node *n)
{
    return n->catalog;
}

/* Returns how long this proxy has been unable to serve what other proxies can,
   less the time in which such a state usually ends; 0 if it is able to. It had
   a valid lease at lease_valid_at. */
static int64_t
impaired_ms(const struct node *n, clock_ms lease_valid_at)
{
    const clock_ms now = clock_boottime_ms();
    const int64_t lease = now - lease_valid_at - UNREADY_AFTER_MS;
    const int64_t isolated = n->isolated_since == 0
                                 ? 0
                                 : now - n->isolated_since - ISOLATED_AFTER_MS;

    return MAX(MAX(lease, isolated), 0);
}

/* Returns true if new callers should be sent to this proxy. */
bool
node_is_ready(const struct node *n)
{
    return !n->leaving && n->catalog->version > 0 &&
           agreement_view(n->agreement)->version > 0 &&
           impaired_ms(n, n->lease_valid_at) == 0;
}

/* Returns true if this proxy has not been ready for so long that the load
   balancer sends its callers to other proxies by now. Without a lease yet,
   that is counted from its start. */
bool
node_should_disconnect_callers(const struct node *n)
{
    return agreement_view(n->agreement)->version > 0 &&
           impaired_ms(n, MAX(n->lease_valid_at, n->started_at)) >=
               BALANCER_NOTICE_MS;
}

/* Called when the proxy shuts down: it orders no more promotions and tells its
   peers. Transactions are ended and requests answered at the times of the
   schedule; see relay_begin_shutdown(). */
void
node_begin_shutdown(struct node *n, const struct shutdown_schedule *s)
{
    const clock_ms now = clock_boottime_ms();

    n->leaving = true;
    relay_begin_shutdown(n->relay, now + s->end_transactions_ms,
                         now + s->answer_all_ms);
    node_send_messages(n, true, now);
}

/* Returns the number of orders that have not been answered. */
size_t
node_order_count(const struct node *n)
{
    return promoter_order_count(n->promoter, UINT64_MAX);
}

/* Answers every request that is still in progress; see relay_answer_all(). */
void
node_answer_all(struct node *n)
{
    relay_answer_all(n->relay, clock_boottime_ms());
}

#include "upstream/lending.h"

#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "lending"
#include "base/log.h"

#define LENDING_TICK_S 0.01

struct lending {
    struct ev_loop *loop;
    const struct settings *settings;
    const struct settings_database *database;
    int database_index; /* in the settings */
    struct group *group;
    struct peers *peers;
    uint32_t proxy_ids[LOAN_MAX_PROXIES]; /* all proxies, ascending */
    int proxies;                          /* number of ids */
    int self;                             /* index of this proxy in ids */
    struct lender *lender;
    struct loan_holder *holder;
    ev_timer tick_timer;
};

/* A loan request that the lender has not answered yet. */
struct pending_request {
    struct lending *lending;
    uint64_t request_id;
};

/* Returns the index of a proxy in proxy_ids, or -1. */
static int
proxy_index(const struct lending *l, uint32_t id)
{
    for (int i = 0; i < l->proxies; i++) {
        if (l->proxy_ids[i] == id) {
            return i;
        }
    }
    return -1;
}

/* Returns the id of the proxy that lends this database's connections. */
static uint32_t
lender_id(const struct lending *l)
{
    return ownership_rank(peers_ownership(l->peers), l->database->name, 0);
}

/* Sets the group's limits to the leases in force. */
static void
refresh_leases(void *ctx)
{
    struct lending *l = ctx;
    const clock_ms now = clock_monotonic_ms();

    for (int m = 0; m < l->database->member_count; m++) {
        const int surplus = loan_holder_usable(l->holder, now, m, false);
        const int batch = loan_holder_usable(l->holder, now, m, true);
        group_set_surplus(l->group, m, surplus + batch, batch);
    }
}

/* Passes the lender's answer to the holder. After a failed call nothing needs
   to be done: the holder repeats unanswered requests. */
static void
on_granted(void *ctx, enum rpc_status status, void *result)
{
    struct pending_request *a = ctx;
    struct lending *l = a->lending;

    if (status == RPC_STATUS_OK) {
        const peer_loan_answer *in = result;
        const struct loan_grant g = {.request_id = a->request_id,
                                     .granted = (int)in->granted,
                                     .lease_ms = in->lease_ms};
        loan_holder_on_grant(l->holder, clock_monotonic_ms(), &g);
        refresh_leases(l);
    }
    g_free(a);
}

/* Sends a request of the holder to the lender, which may be this proxy. */
static void
send_request(void *ctx, const struct loan_request *r)
{
    struct lending *l = ctx;
    const uint32_t owner = lender_id(l);
    char member[16];

    if (owner == (uint32_t)l->settings->id) {
        struct loan_grant g;
        if (lender_request(l->lender, clock_monotonic_ms(), r, &g)) {
            loan_holder_on_grant(l->holder, clock_monotonic_ms(), &g);
        }
        return;
    }
    g_snprintf(member, sizeof(member), "%d", r->member);
    const peer_loan_request out = {
        .request_id = r->request_id,
        .id = (unsigned int)l->settings->id,
        .database = l->database->name,
        .member = member,
        .wanted = (unsigned int)r->wanted,
        .batch = r->batch,
    };
    struct pending_request *a = g_new0(struct pending_request, 1);
    *a = (struct pending_request){.lending = l, .request_id = r->request_id};
    if (!peers_send_loan_request(l->peers, owner, &out, on_granted, a)) {
        g_free(a);
    }
}

/* Returns surplus connections or permits of the holder to the lender. */
static void
send_return(void *ctx, const struct loan_return *r)
{
    struct lending *l = ctx;
    const uint32_t owner = lender_id(l);
    char member[16];

    refresh_leases(l);
    if (owner == (uint32_t)l->settings->id) {
        lender_return(l->lender, clock_monotonic_ms(), r);
        return;
    }
    g_snprintf(member, sizeof(member), "%d", r->member);
    const peer_loan_return out = {
        .request_id = r->request_id,
        .id = (unsigned int)l->settings->id,
        .database = l->database->name,
        .member = member,
        .count = (unsigned int)r->kept,
        .batch = r->batch,
    };
    peers_send_loan_return(l->peers, owner, &out);
}

static void
limit_changed(void *ctx, int member, bool batch, int limit)
{
    struct lending *l = ctx;

    LOG_DEBUG("limit", l->database->name,
              "member %d: %d lent connections usable%s", member, limit,
              batch ? " for batches" : "");
    refresh_leases(l);
}

static const struct loan_holder_ops holder_ops = {
    .send_request = send_request,
    .send_return = send_return,
    .limit_changed = limit_changed,
};

/* Reports to the holder how many requests wait and how many lent connections
   and permits are in use, per member. */
static void
report_demand(struct lending *l, clock_ms now)
{
    struct admission *a = group_admission(l->group);

    for (int m = 0; m < l->database->member_count; m++) {
        const int batches = admission_batch_in_use(a, m);
        const int lent = admission_surplus_in_use(a, m) - batches;
        loan_holder_set_demand(l->holder, now, m, false,
                               admission_waiting(a, m, ADMISSION_SHORT),
                               MAX(lent, 0));
        loan_holder_set_demand(l->holder, now, m, true,
                               admission_waiting(a, m, ADMISSION_BATCH),
                               batches);
    }
}

static void
on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct lending *l = w->data;
    const clock_ms now = clock_monotonic_ms();

    (void)loop;
    (void)revents;
    lender_set_owner(l->lender, now,
                     lender_id(l) == (uint32_t)l->settings->id);
    report_demand(l, now);
    loan_holder_tick(l->holder, now);
    refresh_leases(l);
}

/* Reports the new demand at once instead of with the next tick. */
static void
on_request_queued(void *ctx)
{
    struct lending *l = ctx;

    report_demand(l, clock_monotonic_ms());
}

/* Returns how long a statement may still run under a lease, in milliseconds. A
   short statement may also use a connection that was lent for batches. */
static int64_t
lease_left_ms(void *ctx, int member, bool batch)
{
    const struct lending *l = ctx;

    const clock_ms batches = loan_holder_lease_end(l->holder, member, true);
    const clock_ms until =
        batch ? batches
              : MAX(batches, loan_holder_lease_end(l->holder, member, false));

    return until - clock_monotonic_ms() + LOAN_STATEMENT_GRACE_MS;
}

static int
compare_ids(const void *a, const void *b)
{
    const uint32_t x = *(const uint32_t *)a;
    const uint32_t y = *(const uint32_t *)b;

    return x < y ? -1 : x > y;
}

/* Creates the lending of one database and registers it with the group.
   database_index is the index of the database in the settings. */
struct lending *
lending_create(struct ev_loop *loop, const struct settings *s,
               const struct settings_database *database, int database_index,
               struct group *group, struct peers *peers)
{
    struct lending *l = g_new0(struct lending, 1);
    const clock_ms now = clock_monotonic_ms();

    l->loop = loop;
    l->settings = s;
    l->database = database;
    l->database_index = database_index;
    l->group = group;
    l->peers = peers;
    l->proxy_ids[l->proxies++] = (uint32_t)s->id;
    for (int i = 0; i < s->peer_count && l->proxies < LOAN_MAX_PROXIES; i++) {
        l->proxy_ids[l->proxies++] = s->peers[i].id;
    }
    qsort(l->proxy_ids, (size_t)l->proxies, sizeof(l->proxy_ids[0]),
          compare_ids);
    l->self = proxy_index(l, (uint32_t)s->id);
    ownership_track(peers_ownership(peers), database->name, now);
    l->lender = lender_create(
        &(struct lender_config){
            .database = database_index,
            .cap = database->connections,
            .floor = database->floor,
            .proxies = l->proxies,
            .self = l->self,
            .members = database->member_count,
            .batch_permits = MAX(database->slots - 1, 0),
        },
        now);
    l->holder = loan_holder_create(&holder_ops, l, database_index, l->self,
                                   database->member_count,
                                   (uint64_t)g_get_real_time());
    group_set_lending(group, &(struct group_lending_ops){
                                 .refresh_leases = refresh_leases,
                                 .request_queued = on_request_queued,
                                 .lease_left_ms = lease_left_ms,
                                 .idle_timeout_ms = LOAN_IDLE_SESSION_MS,
                                 .ctx = l,
                             });
    refresh_leases(l);
    ev_timer_init(&l->tick_timer, on_tick, 0.0, LENDING_TICK_S);
    l->tick_timer.data = l;
    ev_timer_start(loop, &l->tick_timer);
    return l;
}

/* Frees the lender and the holder; NULL is allowed. Loan requests in flight
   must have been answered or failed before. */
void
lending_destroy(struct lending *l)
{
    if (l == NULL) {
        return;
    }
    ev_timer_stop(l->loop, &l->tick_timer);
    group_set_lending(l->group, &(struct group_lending_ops){0});
    loan_holder_destroy(l->holder);
    lender_destroy(l->lender);
    g_free(l);
}

/* Parses the member index of a message; returns -1 when it is invalid. */
static int
member_index(const struct lending *l, const char *text)
{
    guint64 m;

    if (!g_ascii_string_to_unsigned(
            text, 10, 0, (guint64)l->database->member_count - 1, &m, NULL)) {
        return -1;
    }
    return (int)m;
}

/* Answers a loan request of another proxy. Leaves answer unchanged, which
   means nothing is granted, if the request is invalid or this proxy is not the
   lender. */
void
lending_serve_request(struct lending *l, const peer_loan_request *in,
                      peer_loan_answer *answer)
{
    const struct loan_request r = {
        .database = l->database_index,
        .member = member_index(l, in->member),
        .wanted = (int)MIN(in->wanted, 100000U),
        .batch = in->batch != 0,
        .request_id = in->request_id,
        .sender = proxy_index(l, in->id),
    };
    struct loan_grant g = {0};

    if (r.member >= 0 && r.sender >= 0 &&
        lender_request(l->lender, clock_monotonic_ms(), &r, &g)) {
        answer->granted = (unsigned int)g.granted;
        answer->lease_ms = (unsigned int)g.lease_ms;
    }
}

/* Handles another proxy's return of lent connections or permits. */
void
lending_serve_return(struct lending *l, const peer_loan_return *in)
{
    const struct loan_return r = {
        .database = l->database_index,
        .member = member_index(l, in->member),
        .kept = (int)MIN(in->count, 100000U),
        .batch = in->batch != 0,
        .request_id = in->request_id,
        .sender = proxy_index(l, in->id),
    };

    if (r.member >= 0 && r.sender >= 0) {
        lender_return(l->lender, clock_monotonic_ms(), &r);
    }
}

/* Called when a peer has confirmed that it has the same view of the fleet, and
   therefore the same lender. as_of is the time on this proxy's clock at which
   the peer was asked. */
void
lending_confirm_lender(struct lending *l, uint32_t peer, clock_ms as_of)
{
    const int index = proxy_index(l, peer);

    if (index >= 0 && lender_id(l) == (uint32_t)l->settings->id) {
        lender_confirm(l->lender, clock_monotonic_ms(), index, as_of);
    }
}

/* Returns all loans; called when this proxy shuts down. */
void
lending_return_all(struct lending *l)
{
    loan_holder_return_all(l->holder, clock_monotonic_ms());
}

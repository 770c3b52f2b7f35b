#include <glib.h>
#include <string.h>

#include "fleet/loan.h"

/* A proxy's demand expires this long after its last request. Holders repeat
   requests every 250 ms, so three may be lost. */
#define DEMAND_EXPIRY_MS 1000
/* A returned connection is not lent again before this time has passed, because
   the return may reach the lender before the holder's close reaches the
   database. */
#define RETURN_GRACE_MS 100
/* Bounds stored per loan; further ones are merged so that nothing is
   undercounted. */
#define BOUNDS_MAX 4

/* Upper bound on what a holder may have, valid until ends_at, the lender's end
   of the lease. */
struct bound {
    int count;
    clock_ms ends_at;
};

/* Since when a proxy has held something from a pool, or has waited for it. */
struct wait_state {
    clock_ms held_since;    /* CLOCK_NEVER: holds nothing */
    clock_ms waiting_since; /* CLOCK_NEVER: wants nothing or holds some */
};

/* What one proxy holds and wants of one class (short work or batches) on one
   member. After a reduction the proxy may not have received the answer, so
   earlier, larger bounds apply until they end or the proxy confirms the
   reduction with a return. */
struct loan {
    struct bound bounds[BOUNDS_MAX]; /* by falling count and rising end */
    int bound_count;
    uint64_t last_request_id;
    clock_ms last_message_at;
    int wanted;
    struct wait_state wait_state;
};

struct proxy {
    /* The first index is the class: 1 for batches. */
    struct loan loans[2][LOAN_MAX_MEMBERS];
    struct wait_state wait_states[2]; /* over all members */
    clock_ms confirmed_as_of;         /* see lender_confirm */
};

struct lender {
    struct lender_config config;
    bool owner;               /* this proxy's own view of the ownership */
    clock_ms authority_since; /* since when it has had the authority to lend */
    struct proxy proxies[];   /* config.proxies of them */
};

/* Returns the number of connections that may be lent: those above the floors
   of all configured proxies. */
int
lender_surplus(const struct lender *l)
{
    const struct lender_config *c = &l->config;

    return MAX(c->cap - c->floor * c->proxies * c->members, 0);
}

static void
loan_drop_expired(struct loan *loan, clock_ms now)
{
    int expired = 0;

    while (expired < loan->bound_count &&
           loan->bounds[expired].ends_at <= now) {
        expired++;
    }
    loan->bound_count -= expired;
    memmove(loan->bounds, loan->bounds + expired,
            (size_t)loan->bound_count * sizeof(struct bound));
}

/* Returns the number that the holder may have now. */
static int
loan_count(const struct loan *loan, clock_ms now)
{
    for (int i = 0; i < loan->bound_count; i++) {
        if (loan->bounds[i].ends_at > now) {
            return loan->bounds[i].count;
        }
    }
    return 0;
}

/* Adds a bound and drops those that it covers. */
static void
loan_add_bound(struct loan *loan, clock_ms now, int count, clock_ms ends_at)
{
    loan_drop_expired(loan, now);
    while (loan->bound_count > 0 &&
           (loan->bounds[loan->bound_count - 1].count <= count ||
            LOAN_BREAK == LOAN_BREAK_BOUNDS)) {
        loan->bound_count--;
    }
    if (count == 0) {
        return;
    }
    if (loan->bound_count == BOUNDS_MAX) {
        /* Merge the last two: the larger count with the later end. */
        loan->bounds[BOUNDS_MAX - 2].ends_at =
            loan->bounds[BOUNDS_MAX - 1].ends_at;
        loan->bound_count--;
    }
    loan->bounds[loan->bound_count++] = (struct bound){count, ends_at};
}

/* Creates the lender of one database on one proxy. It does not lend until
   lender_set_owner makes it the owner. Copies config. */
struct lender *
lender_create(const struct lender_config *config, clock_ms now)
{
    static const struct wait_state none = {CLOCK_NEVER, CLOCK_NEVER};
    struct lender *l;

    g_assert(config->proxies > 0 && config->proxies <= LOAN_MAX_PROXIES);
    g_assert(config->members > 0 && config->members <= LOAN_MAX_MEMBERS);
    l = g_malloc0(sizeof(*l) +
                  (size_t)config->proxies * sizeof(l->proxies[0]));
    l->config = *config;
    l->authority_since = now;
    for (int p = 0; p < config->proxies; p++) {
        l->proxies[p].confirmed_as_of = now - LOAN_CONFIRM_MS;
        for (int batch = 0; batch < 2; batch++) {
            l->proxies[p].wait_states[batch] = none;
            for (int m = 0; m < config->members; m++) {
                l->proxies[p].loans[batch][m].wait_state = none;
            }
        }
    }
    return l;
}

/* Frees the lender; NULL is allowed. */
void
lender_destroy(struct lender *l)
{
    g_free(l);
}

/* Returns until when a majority of the configured proxies, including this one,
   confirms this proxy as the owner. Any two majorities have a proxy in common,
   so two proxies that both believe to own a database cannot both lend,
   however long they disagree. */
static clock_ms
authority_until(const struct lender *l, clock_ms now)
{
    clock_ms newest[LOAN_MAX_PROXIES];
    int needed = l->config.proxies / 2; /* confirmations by others */
    int count = 0;

    if (!l->owner) {
        return now;
    }
    if (needed == 0 || LOAN_BREAK == LOAN_BREAK_MAJORITY) {
        return CLOCK_NEVER;
    }
    for (int p = 0; p < l->config.proxies; p++) {
        int at = count;

        if (p == l->config.self) {
            continue;
        }
        for (; at > 0 && newest[at - 1] < l->proxies[p].confirmed_as_of;
             at--) {
            newest[at] = newest[at - 1];
        }
        newest[at] = l->proxies[p].confirmed_as_of;
        count++;
    }
    return newest[needed - 1] + LOAN_CONFIRM_MS;
}

/* Sets whether this proxy owns the database according to its own view of the
   fleet. */
void
lender_set_owner(struct lender *l, clock_ms now, bool owner)
{
    if (owner != l->owner) {
        l->owner = owner;
        l->authority_since = now;
    }
}

/* Records that another proxy named this one as the owner. The confirmation
   answers a message that this proxy sent at as_of on its own clock. */
void
lender_confirm(struct lender *l, clock_ms now, int proxy, clock_ms as_of)
{
    if (proxy < 0 || proxy >= l->config.proxies) {
        return;
    }
    if (authority_until(l, now) <= now) {
        l->authority_since = now;
    }
    l->proxies[proxy].confirmed_as_of =
        MAX(l->proxies[proxy].confirmed_as_of, as_of);
}

/* Returns the earliest time at which anything of a class may be lent: when the
   last lease of an earlier owner has ended by that owner's clock. That owner
   may have granted it up to LOAN_CONFIRM_MS after a proxy changed its view of
   the owner. */
clock_ms
lender_lending_starts_at(const struct lender *l, bool batch)
{
    if (LOAN_BREAK == LOAN_BREAK_TAKEOVER) {
        return l->authority_since;
    }
    const clock_ms lease = batch ? LOAN_BATCH_LEASE_MS : LOAN_LEASE_MS;
    return l->authority_since + lease + LOAN_MARGIN_MS + LOAN_CONFIRM_MS;
}

/* Returns the number lent of one class on one member, or on all members if
   member is -1, without what the proxy 'except' holds (-1 for none). */
static int
lent_count(const struct lender *l, clock_ms now, bool batch, int member,
           int except)
{
    int sum = 0;

    for (int p = 0; p < l->config.proxies; p++) {
        for (int m = 0; m < l->config.members; m++) {
            if ((member < 0 || m == member) && p != except) {
                sum += loan_count(&l->proxies[p].loans[batch][m], now);
            }
        }
    }
    return sum;
}

/* Returns the number of connections that may be in use at holders. */
int
lender_lent(const struct lender *l, clock_ms now)
{
    return lent_count(l, now, false, -1, -1) +
           lent_count(l, now, true, -1, -1);
}

/* Returns what a proxy wants of a class on one member, or on all if member is
   -1. Demand that the proxy has not repeated in time does not count. */
static int
demand(const struct lender *l, clock_ms now, int p, bool batch, int member)
{
    int sum = 0;

    for (int m = 0; m < l->config.members; m++) {
        const struct loan *loan = &l->proxies[p].loans[batch][m];
        clock_ms lease = batch ? LOAN_BATCH_LEASE_MS : LOAN_LEASE_MS;
        clock_ms stale = loan_count(loan, now) > 0 ? lease : DEMAND_EXPIRY_MS;

        if ((member < 0 || m == member) &&
            now - loan->last_message_at <= stale) {
            sum += loan->wanted;
        }
    }
    return sum;
}

/* Returns a proxy's priority for the remainder of a pool that cannot be
   divided equally; lower values go first. order_time is set to the time that
   orders proxies of equal priority.

   0: holds some and is in its first lease, so that a loan lasts long enough to
   be of use. 1: holds nothing of the class on any member. 2: holds some on
   other members only. 3: has held its share for a lease or longer.

   The priority in a member's pool depends on what the proxy holds on all
   members: with two independent orders, each could favour a proxy that the
   other one makes wait. */
static int
priority_of(const struct lender *l, clock_ms now, int p, bool batch,
            int member, clock_ms *order_time)
{
    clock_ms lease = batch ? LOAN_BATCH_LEASE_MS : LOAN_LEASE_MS;
    const struct wait_state *all = &l->proxies[p].wait_states[batch];
    const struct wait_state *here =
        member < 0 ? all : &l->proxies[p].loans[batch][member].wait_state;

    if (here->held_since != CLOCK_NEVER) {
        *order_time = here->held_since;
        /* The renewal at the end of the first lease may come early, by up to
           the margin. */
        return now - here->held_since < lease - LOAN_MARGIN_MS ? 0 : 3;
    }
    *order_time = all->held_since == CLOCK_NEVER ? all->waiting_since
                                                 : here->waiting_since;
    return all->held_since == CLOCK_NEVER ? 1 : 2;
}

/* Returns true if proxy a gets a part of a pool's remainder before proxy b. */
static bool
precedes(const struct lender *l, clock_ms now, int a, int b, bool batch,
         int member)
{
    clock_ms order_time_a;
    clock_ms order_time_b;
    int priority_a = priority_of(l, now, a, batch, member, &order_time_a);
    int priority_b = priority_of(l, now, b, batch, member, &order_time_b);

    if (priority_a != priority_b) {
        return priority_a < priority_b;
    }
    return order_time_a != order_time_b ? order_time_a < order_time_b : a < b;
}

/* Returns what a proxy holds of a class on all other members. */
static int
held_elsewhere(const struct lender *l, clock_ms now, int p, bool batch,
               int member)
{
    int sum = 0;

    for (int m = 0; m < l->config.members; m++) {
        sum +=
            m == member ? 0 : loan_count(&l->proxies[p].loans[batch][m], now);
    }
    return sum;
}

/* Returns one proxy's share of a pool over all members (member is -1) or of
   the batch permits of one member. Max-min fairness: each proxy may have up to
   a common level, and the remainder goes, one each, to the first in the order
   of precedes() that want more. On a single member, a proxy that already holds
   its share of total_pool elsewhere does not compete. */
static int
fair_share(const struct lender *l, clock_ms now, int self, bool batch,
           int member, int pool, int total_pool)
{
    int wanted[LOAN_MAX_PROXIES];
    int level = 0;
    int remaining = pool;
    int ahead = 0;

    if (LOAN_BREAK == LOAN_BREAK_FAIRNESS) {
        return pool;
    }
    for (int p = 0; p < l->config.proxies; p++) {
        wanted[p] = demand(l, now, p, batch, member);
        if (member >= 0 && p != self && wanted[p] > 0 &&
            held_elsewhere(l, now, p, batch, member) >=
                fair_share(l, now, p, batch, -1, total_pool, total_pool)) {
            wanted[p] = 0;
        }
    }
    for (;;) {
        int takers = 0;

        for (int p = 0; p < l->config.proxies; p++) {
            takers += wanted[p] > level;
        }
        if (takers == 0 || takers > remaining) {
            break;
        }
        remaining -= takers;
        level++;
    }
    for (int p = 0; p < l->config.proxies; p++) {
        ahead += p != self && wanted[p] > level &&
                 precedes(l, now, p, self, batch, member);
    }
    return level + (ahead < remaining ? 1 : 0);
}

/* Returns how much of a request can be granted. Batches take precedence: they
   have no floor, and without this, short work could keep them out
   indefinitely. */
static int
grantable(const struct lender *l, clock_ms now, const struct loan_request *r)
{
    int surplus = lender_surplus(l);
    int permits = l->config.batch_permits;
    int batch_pool = MIN(permits * l->config.members, surplus);
    const struct proxy *own = &l->proxies[r->sender];
    int elsewhere = held_elsewhere(l, now, r->sender, r->batch, r->member);
    int own_batch = loan_count(&own->loans[true][r->member], now);
    int own_short = loan_count(&own->loans[false][r->member], now);
    int free =
        surplus - lender_lent(l, now) + (r->batch ? own_batch : own_short);
    int wanted = MIN(r->wanted, free);

    if (r->batch) {
        if (LOAN_BREAK != LOAN_BREAK_PERMITS) {
            const int others = lent_count(l, now, true, r->member, r->sender);
            wanted = MIN(wanted, permits - others);
        }
        wanted = MIN(wanted, fair_share(l, now, r->sender, true, r->member,
                                        permits, batch_pool));
        wanted = MIN(wanted, fair_share(l, now, r->sender, true, -1,
                                        batch_pool, batch_pool) -
                                 elsewhere);
    }
    else {
        int batches = lent_count(l, now, true, -1, -1);
        int reserved = 0; /* for wanted batches, and for those that an earlier
                             owner may have lent */

        for (int p = 0; p < l->config.proxies; p++) {
            reserved += demand(l, now, p, true, -1);
        }
        reserved = now < lender_lending_starts_at(l, true)
                       ? batch_pool
                       : MIN(reserved, batch_pool);
        reserved = MAX(reserved, batches);
        wanted = MIN(wanted, free - (reserved - batches));
        wanted =
            MIN(wanted, fair_share(l, now, r->sender, false, -1,
                                   surplus - reserved, surplus - reserved) -
                            elsewhere);
    }
    return MAX(wanted, 0);
}

static void
wait_state_update(struct wait_state *t, clock_ms now, int held, int wanted)
{
    bool waits = held == 0 && wanted > 0;

    if (held == 0 || t->held_since == CLOCK_NEVER) {
        t->held_since = held == 0 ? CLOCK_NEVER : now;
    }
    if (!waits || t->waiting_since == CLOCK_NEVER) {
        t->waiting_since = waits ? now : CLOCK_NEVER;
    }
}

/* Updates the wait states of a proxy from what it holds and wants now. */
static void
update_wait_states(struct lender *l, clock_ms now, int p, bool batch)
{
    struct proxy *proxy = &l->proxies[p];
    int sum = 0;

    for (int m = 0; m < l->config.members; m++) {
        int held = loan_count(&proxy->loans[batch][m], now);

        wait_state_update(&proxy->loans[batch][m].wait_state, now, held,
                          demand(l, now, p, batch, m));
        sum += held;
    }
    wait_state_update(&proxy->wait_states[batch], now, sum,
                      demand(l, now, p, batch, -1));
}

/* Returns the loan that a message refers to. Returns NULL if the message is
   meant for another lender, malformed, or older than the last one. Request ids
   are forgotten when nothing is lent and no message has come for a lease, so
   that a proxy that restarts with lower ids is accepted again. */
static struct loan *
find_loan(struct lender *l, clock_ms now, int database, int sender, int member,
          bool batch, uint64_t id)
{
    struct loan *loan;
    clock_ms forget = LOAN_LEASE_MS + LOAN_MARGIN_MS;

    if (database != l->config.database || sender < 0 ||
        sender >= l->config.proxies || member < 0 ||
        member >= l->config.members) {
        return NULL;
    }
    loan = &l->proxies[sender].loans[batch][member];
    if (id <= loan->last_request_id &&
        (loan_count(loan, now) > 0 || now - loan->last_message_at < forget)) {
        return NULL;
    }
    return loan;
}

/* Handles a request. Returns true and sets grant, whose granted may be 0, or
   returns false if no answer is to be sent: this proxy may not lend now, or
   the request is malformed or old. */
bool
lender_request(struct lender *l, clock_ms now,
               const struct loan_request *request, struct loan_grant *grant)
{
    clock_ms lease = request->batch ? LOAN_BATCH_LEASE_MS : LOAN_LEASE_MS;
    struct loan *loan =
        find_loan(l, now, request->database, request->sender, request->member,
                  request->batch, request->request_id);

    if (loan == NULL || request->wanted < 0) {
        return false;
    }
    if (authority_until(l, now) <= now) {
        l->authority_since = now;
        return false;
    }
    for (int p = 0; p < l->config.proxies; p++) {
        update_wait_states(l, now, p, request->batch);
    }
    loan->last_request_id = request->request_id;
    loan->last_message_at = now;
    loan->wanted = request->wanted;
    update_wait_states(l, now, request->sender, request->batch);
    if (now < lender_lending_starts_at(l, request->batch)) {
        return false;
    }
    *grant = (struct loan_grant){
        .request_id = request->request_id,
        .granted = grantable(l, now, request),
        .lease_ms = lease,
    };
    loan_add_bound(loan, now, grant->granted, now + lease + LOAN_MARGIN_MS);
    update_wait_states(l, now, request->sender, request->batch);
    return true;
}

/* Handles a return: what the holder no longer has is available again after
   RETURN_GRACE_MS. */
void
lender_return(struct lender *l, clock_ms now,
              const struct loan_return *returned)
{
    struct loan *loan =
        find_loan(l, now, returned->database, returned->sender,
                  returned->member, returned->batch, returned->request_id);
    clock_ms ends_at;

    if (loan == NULL || returned->kept < 0) {
        return;
    }
    loan_drop_expired(loan, now);
    loan->last_request_id = returned->request_id;
    loan->last_message_at = now;
    loan->wanted = returned->kept;
    ends_at = loan->bound_count == 0
                  ? now
                  : loan->bounds[loan->bound_count - 1].ends_at;
    if (loan_count(loan, now) > returned->kept) {
        int before = loan_count(loan, now);

        loan->bound_count = 0;
        loan_add_bound(loan, now, before, MIN(ends_at, now + RETURN_GRACE_MS));
        loan_add_bound(loan, now, returned->kept, ends_at);
    }
    update_wait_states(l, now, returned->sender, returned->batch);
}

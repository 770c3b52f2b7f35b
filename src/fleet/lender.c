#include <glib.h>
#include <string.h>

#include "fleet/loan.h"

/* A proxy's demand counts until this long after it last asked. Holders ask
   again every 250 ms, so this spans three lost messages. */
#define DEMAND_MS 1000
/* A returned connection is lent again after this time, because the database
   may read the holder's close after the lender reads the return. */
#define RETURN_GRACE_MS 100
/* Steps kept of one loan; further ones are merged on the safe side. */
#define STEPS 4

/* A bound on what a holder may have, until it ends on the lender's count. */
struct step {
    int count;
    clock_ms ends_at;
};

/* When a proxy got, or began to wait for, something of a pool. */
struct turn {
    clock_ms held_since;    /* CLOCK_NEVER: has none */
    clock_ms waiting_since; /* CLOCK_NEVER: wants none or has some */
};

/* What one proxy has and wants of one class on one member. After a reduction
   the proxy may not have read the answer, so earlier and larger steps count
   until they end or the proxy confirms the reduction by a return. */
struct loan {
    struct step steps[STEPS]; /* counts fall, ends rise */
    int step_count;
    uint64_t last_id;
    clock_ms last_at;
    int wanted;
    struct turn turn;
};

struct proxy {
    struct loan loans[2][LOAN_MAX_MEMBERS]; /* by batch */
    struct turn turns[2];                   /* by batch, over all members */
    clock_ms confirmed_as_of;
};

struct lender {
    struct lender_config config;
    bool owner;
    clock_ms since;         /* from when it has had the owner's authority */
    struct proxy proxies[]; /* config.proxies of them */
};

/* Returns what may be lent beyond the floors of all configured proxies. */
int
lender_surplus(const struct lender *l)
{
    const struct lender_config *c = &l->config;

    return MAX(c->cap - c->floor * c->proxies * c->members, 0);
}

/* Drops steps that have ended. */
static void
loan_expire(struct loan *loan, clock_ms now)
{
    int gone = 0;

    while (gone < loan->step_count && loan->steps[gone].ends_at <= now) {
        gone++;
    }
    loan->step_count -= gone;
    memmove(loan->steps, loan->steps + gone,
            (size_t)loan->step_count * sizeof(struct step));
}

/* Returns the number that the holder may have now. */
static int
loan_counted(const struct loan *loan, clock_ms now)
{
    for (int i = 0; i < loan->step_count; i++) {
        if (loan->steps[i].ends_at > now) {
            return loan->steps[i].count;
        }
    }
    return 0;
}

/* Adds a step that replaces those it covers. */
static void
loan_add(struct loan *loan, clock_ms now, int count, clock_ms ends_at)
{
    loan_expire(loan, now);
    while (loan->step_count > 0 &&
           (loan->steps[loan->step_count - 1].count <= count ||
            LOAN_BREAK == LOAN_BREAK_STEPS)) {
        loan->step_count--;
    }
    if (count == 0) {
        return;
    }
    if (loan->step_count == STEPS) {
        /* The larger count with the later end covers both. */
        loan->steps[STEPS - 2].ends_at = loan->steps[STEPS - 1].ends_at;
        loan->step_count--;
    }
    loan->steps[loan->step_count++] = (struct step){count, ends_at};
}

/* Creates the lender of one database on one proxy. It does not lend before it
   is made the owner. */
struct lender *
lender_create(const struct lender_config *config, clock_ms now)
{
    static const struct turn none = {CLOCK_NEVER, CLOCK_NEVER};
    struct lender *l;

    g_assert(config->proxies > 0 && config->proxies <= LOAN_MAX_PROXIES);
    g_assert(config->members > 0 && config->members <= LOAN_MAX_MEMBERS);
    l = g_malloc0(sizeof(*l) +
                  (size_t)config->proxies * sizeof(l->proxies[0]));
    l->config = *config;
    l->since = now;
    for (int p = 0; p < config->proxies; p++) {
        l->proxies[p].confirmed_as_of = now - LOAN_CONFIRM_MS;
        for (int batch = 0; batch < 2; batch++) {
            l->proxies[p].turns[batch] = none;
            for (int m = 0; m < config->members; m++) {
                l->proxies[p].loans[batch][m].turn = none;
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

/* Returns the time until which a majority of the configured proxies has named
   this one as the owner; it counts itself. Two proxies that both believe to
   own a database share at least one proxy of any two majorities, so they can
   not both lend, however long they disagree. */
static clock_ms
authority_until(const struct lender *l, clock_ms now)
{
    clock_ms newest[LOAN_MAX_PROXIES];
    int needed = l->config.proxies / 2; /* besides itself */
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

/* Tells the lender whether this proxy's view of the fleet makes it the owner.
 */
void
lender_set_owner(struct lender *l, clock_ms now, bool owner)
{
    if (owner != l->owner) {
        l->owner = owner;
        l->since = now;
    }
}

/* Notes that a proxy named this one as the owner, in an answer to a message
   which this proxy sent at as_of on its own clock. */
void
lender_confirm(struct lender *l, clock_ms now, int proxy, clock_ms as_of)
{
    if (proxy < 0 || proxy >= l->config.proxies) {
        return;
    }
    if (authority_until(l, now) <= now) {
        l->since = now;
    }
    l->proxies[proxy].confirmed_as_of =
        MAX(l->proxies[proxy].confirmed_as_of, as_of);
}

/* Returns the earliest time at which anything of a class may be lent: when
   the last lease of an earlier owner has ended on that owner's count. The
   earlier owner may have granted it up to LOAN_CONFIRM_MS after a proxy
   changed its mind. */
clock_ms
lender_lends_from(const struct lender *l, bool batch)
{
    if (LOAN_BREAK == LOAN_BREAK_TAKEOVER) {
        return l->since;
    }
    const clock_ms lease = batch ? LOAN_BATCH_LEASE_MS : LOAN_LEASE_MS;
    return l->since + lease + LOAN_MARGIN_MS + LOAN_CONFIRM_MS;
}

/* Returns the number counted of one class on one member, or on all members
   (member -1), except what one proxy has there (except -1: none). */
static int
counted(const struct lender *l, clock_ms now, bool batch, int member,
        int except)
{
    int sum = 0;

    for (int p = 0; p < l->config.proxies; p++) {
        for (int m = 0; m < l->config.members; m++) {
            if ((member < 0 || m == member) && p != except) {
                sum += loan_counted(&l->proxies[p].loans[batch][m], now);
            }
        }
    }
    return sum;
}

/* Returns the number of connections counted as lent. */
int
lender_lent(const struct lender *l, clock_ms now)
{
    return counted(l, now, false, -1, -1) + counted(l, now, true, -1, -1);
}

/* Returns what a proxy wants of a class on a member, or on all (-1); a proxy
   that stopped asking wants nothing. */
static int
demand(const struct lender *l, clock_ms now, int p, bool batch, int member)
{
    int sum = 0;

    for (int m = 0; m < l->config.members; m++) {
        const struct loan *loan = &l->proxies[p].loans[batch][m];
        clock_ms lease = batch ? LOAN_BATCH_LEASE_MS : LOAN_LEASE_MS;
        clock_ms stale = loan_counted(loan, now) > 0 ? lease : DEMAND_MS;

        if ((member < 0 || m == member) && now - loan->last_at <= stale) {
            sum += loan->wanted;
        }
    }
    return sum;
}

/* Returns the place of a proxy in the order in which the rest of a pool is
   given out: 0 in its first lease, so that a loan is worth its start; 1 when
   it has nothing of the class anywhere; 2 when it has some elsewhere; 3 when
   it has had its part for a lease. Sets the time that orders equals. The
   order of a member's pool follows the one over all members: with two
   independent orders each could name a proxy that the other holds back. */
static int
place(const struct lender *l, clock_ms now, int p, bool batch, int member,
      clock_ms *since)
{
    clock_ms lease = batch ? LOAN_BATCH_LEASE_MS : LOAN_LEASE_MS;
    const struct turn *all = &l->proxies[p].turns[batch];
    const struct turn *here =
        member < 0 ? all : &l->proxies[p].loans[batch][member].turn;

    if (here->held_since != CLOCK_NEVER) {
        *since = here->held_since;
        /* The renewal that ends the first lease may come a little early. */
        return now - here->held_since < lease - LOAN_MARGIN_MS ? 0 : 3;
    }
    *since = all->held_since == CLOCK_NEVER ? all->waiting_since
                                            : here->waiting_since;
    return all->held_since == CLOCK_NEVER ? 1 : 2;
}

/* Returns true when proxy a goes before proxy b for the rest of a pool. */
static bool
goes_before(const struct lender *l, clock_ms now, int a, int b, bool batch,
            int member)
{
    clock_ms since_a;
    clock_ms since_b;
    int place_a = place(l, now, a, batch, member, &since_a);
    int place_b = place(l, now, b, batch, member, &since_b);

    if (place_a != place_b) {
        return place_a < place_b;
    }
    return since_a != since_b ? since_a < since_b : a < b;
}

/* Returns the number that one proxy has of a class on all other members. */
static int
held_elsewhere(const struct lender *l, clock_ms now, int p, bool batch,
               int member)
{
    int sum = 0;

    for (int m = 0; m < l->config.members; m++) {
        sum += m == member ? 0
                           : loan_counted(&l->proxies[p].loans[batch][m], now);
    }
    return sum;
}

/* Returns the share of one proxy in a pool over all members (member -1) or in
   the permits of one: the same for all that want it, and one more for those
   that go first when that leaves a rest. A proxy that already has its share
   of total_pool elsewhere does not stand in another's way on a member. */
static int
fair_share(const struct lender *l, clock_ms now, int self, bool batch,
           int member, int pool, int total_pool)
{
    int wanted[LOAN_MAX_PROXIES];
    int level = 0;
    int rest = pool;
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
        if (takers == 0 || takers > rest) {
            break;
        }
        rest -= takers;
        level++;
    }
    for (int p = 0; p < l->config.proxies; p++) {
        ahead += p != self && wanted[p] > level &&
                 goes_before(l, now, p, self, batch, member);
    }
    return level + (ahead < rest ? 1 : 0);
}

/* Returns how much of a request can be granted. Batches come first: they have
   no floor, so without this short work could keep them out for ever. */
static int
decide(const struct lender *l, clock_ms now, const struct loan_request *r)
{
    int surplus = lender_surplus(l);
    int permits = l->config.batch_permits;
    int batch_pool = MIN(permits * l->config.members, surplus);
    const struct proxy *own = &l->proxies[r->sender];
    int elsewhere = held_elsewhere(l, now, r->sender, r->batch, r->member);
    int own_batch = loan_counted(&own->loans[true][r->member], now);
    int own_short = loan_counted(&own->loans[false][r->member], now);
    int free =
        surplus - lender_lent(l, now) + (r->batch ? own_batch : own_short);
    int wanted = MIN(r->wanted, free);

    if (r->batch) {
        if (LOAN_BREAK != LOAN_BREAK_PERMITS) {
            const int others = counted(l, now, true, r->member, r->sender);
            wanted = MIN(wanted, permits - others);
        }
        wanted = MIN(wanted, fair_share(l, now, r->sender, true, r->member,
                                        permits, batch_pool));
        wanted = MIN(wanted, fair_share(l, now, r->sender, true, -1,
                                        batch_pool, batch_pool) -
                                 elsewhere);
    }
    else {
        int batches = counted(l, now, true, -1, -1);
        int kept = 0; /* for batches that an earlier owner may have lent */

        for (int p = 0; p < l->config.proxies; p++) {
            kept += demand(l, now, p, true, -1);
        }
        kept = now < lender_lends_from(l, true) ? batch_pool
                                                : MIN(kept, batch_pool);
        kept = MAX(kept, batches);
        wanted = MIN(wanted, free - (kept - batches));
        wanted = MIN(wanted, fair_share(l, now, r->sender, false, -1,
                                        surplus - kept, surplus - kept) -
                                 elsewhere);
    }
    return MAX(wanted, 0);
}

/* Brings one turn up to date with what is held and wanted. */
static void
turn_update(struct turn *t, clock_ms now, int held, int wanted)
{
    bool waits = held == 0 && wanted > 0;

    if (held == 0 || t->held_since == CLOCK_NEVER) {
        t->held_since = held == 0 ? CLOCK_NEVER : now;
    }
    if (!waits || t->waiting_since == CLOCK_NEVER) {
        t->waiting_since = waits ? now : CLOCK_NEVER;
    }
}

/* Brings the turns of a proxy up to date. */
static void
update_turns(struct lender *l, clock_ms now, int p, bool batch)
{
    struct proxy *proxy = &l->proxies[p];
    int sum = 0;

    for (int m = 0; m < l->config.members; m++) {
        int held = loan_counted(&proxy->loans[batch][m], now);

        turn_update(&proxy->loans[batch][m].turn, now, held,
                    demand(l, now, p, batch, m));
        sum += held;
    }
    turn_update(&proxy->turns[batch], now, sum, demand(l, now, p, batch, -1));
}

/* Returns the loan that a message is about, or NULL when the message is not
   for this lender, malformed, or older than one already seen. Request ids are
   forgotten when nothing is counted any more, so that a proxy which restarts
   with lower ids is heard again. */
static struct loan *
loan_of(struct lender *l, clock_ms now, int database, int sender, int member,
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
    if (id <= loan->last_id &&
        (loan_counted(loan, now) > 0 || now - loan->last_at < forget)) {
        return NULL;
    }
    return loan;
}

/* Answers a request. Returns false when no answer is due: this proxy does not
   lend now, or the request is old. Sets grant otherwise; granted may be 0. */
bool
lender_request(struct lender *l, clock_ms now,
               const struct loan_request *request, struct loan_grant *grant)
{
    clock_ms lease = request->batch ? LOAN_BATCH_LEASE_MS : LOAN_LEASE_MS;
    struct loan *loan =
        loan_of(l, now, request->database, request->sender, request->member,
                request->batch, request->request_id);

    if (loan == NULL || request->wanted < 0) {
        return false;
    }
    if (authority_until(l, now) <= now) {
        l->since = now;
        return false;
    }
    for (int p = 0; p < l->config.proxies; p++) {
        update_turns(l, now, p, request->batch);
    }
    loan->last_id = request->request_id;
    loan->last_at = now;
    loan->wanted = request->wanted;
    update_turns(l, now, request->sender, request->batch);
    if (now < lender_lends_from(l, request->batch)) {
        return false;
    }
    *grant = (struct loan_grant){
        .request_id = request->request_id,
        .granted = decide(l, now, request),
        .lease_ms = lease,
    };
    loan_add(loan, now, grant->granted, now + lease + LOAN_MARGIN_MS);
    update_turns(l, now, request->sender, request->batch);
    return true;
}

/* Takes back what a holder no longer has. */
void
lender_return(struct lender *l, clock_ms now,
              const struct loan_return *returned)
{
    struct loan *loan =
        loan_of(l, now, returned->database, returned->sender, returned->member,
                returned->batch, returned->request_id);
    clock_ms ends_at;

    if (loan == NULL || returned->kept < 0) {
        return;
    }
    loan_expire(loan, now);
    loan->last_id = returned->request_id;
    loan->last_at = now;
    loan->wanted = returned->kept;
    ends_at = loan->step_count == 0
                  ? now
                  : loan->steps[loan->step_count - 1].ends_at;
    if (loan_counted(loan, now) > returned->kept) {
        int before = loan_counted(loan, now);

        loan->step_count = 0;
        loan_add(loan, now, before, MIN(ends_at, now + RETURN_GRACE_MS));
        loan_add(loan, now, returned->kept, ends_at);
    }
    update_turns(l, now, returned->sender, returned->batch);
}

#include <glib.h>

#include "fleet/loan.h"

/* A request that is unanswered or not fully granted is repeated after this
   time. */
#define REQUEST_RETRY_MS 250
/* An unused loan is returned after this time. */
#define IDLE_RETURN_MS 200

/* What is borrowed of one class (short work or batches) on one member. */
struct borrowed {
    int granted;
    clock_ms lease_end; /* by the own clock, less LOAN_MARGIN_MS */
    clock_ms renew_at;
    uint64_t pending_request_id; /* 0: no grant is expected */
    clock_ms requested_at;
    clock_ms next_request_at;
    int waiting;
    int in_use;
    clock_ms idle_since;
    bool return_due; /* a reduction has not been confirmed to the lender */
};

struct loan_holder {
    struct loan_holder_ops ops;
    void *ctx;
    int database;
    int self;
    int member_count;
    uint64_t last_request_id;
    struct borrowed borrowed[2][LOAN_MAX_MEMBERS]; /* [1]: batches */
    bool in_callback; /* a callback may be running */
    uint32_t dirty;   /* entries to advance, one bit per class and member */
};

/* Creates the holder of one database on one proxy. Request ids rise from
   first_id; after a restart it has to be higher than any earlier id (the wall
   clock in microseconds is suitable). Copies ops. */
struct loan_holder *
loan_holder_create(const struct loan_holder_ops *ops, void *ctx, int database,
                   int self, int member_count, uint64_t first_id)
{
    struct loan_holder *h = g_new0(struct loan_holder, 1);

    g_assert(member_count > 0 && member_count <= LOAN_MAX_MEMBERS);
    h->ops = *ops;
    h->ctx = ctx;
    h->database = database;
    h->self = self;
    h->member_count = member_count;
    h->last_request_id = first_id;
    return h;
}

/* Frees the holder without returning anything; NULL is allowed. */
void
loan_holder_destroy(struct loan_holder *h)
{
    g_free(h);
}

static clock_ms
lease_ms_of(bool batch)
{
    return batch ? LOAN_BATCH_LEASE_MS : LOAN_LEASE_MS;
}

/* Sets the granted number and calls limit_changed if it changed. */
static void
set_granted(struct loan_holder *h, int member, bool batch, int granted)
{
    struct borrowed *b = &h->borrowed[batch][member];

    if (b->granted != granted) {
        b->granted = granted;
        h->ops.limit_changed(h->ctx, member, batch, granted);
    }
}

/* Requests as many as are in use and waited for. The lease counts from now,
   the time of sending. */
static void
request_loan(struct loan_holder *h, clock_ms now, int member, bool batch)
{
    struct borrowed *b = &h->borrowed[batch][member];

    b->pending_request_id = ++h->last_request_id;
    b->requested_at = now;
    b->next_request_at = now + REQUEST_RETRY_MS;
    h->ops.send_request(h->ctx, &(struct loan_request){
                                    .database = h->database,
                                    .member = member,
                                    .wanted = b->in_use + b->waiting,
                                    .batch = batch,
                                    .request_id = b->pending_request_id,
                                    .sender = h->self,
                                });
}

/* Sends a return for all but 'kept'. A grant that is still on its way is
   rejected from now on, because the lender treats this message as the newer
   one. */
static void
return_loan(struct loan_holder *h, int member, bool batch, int kept)
{
    struct borrowed *b = &h->borrowed[batch][member];

    b->pending_request_id =
        LOAN_BREAK == LOAN_BREAK_RETURN ? b->pending_request_id : 0;
    b->return_due = false;
    set_granted(h, member, batch, kept);
    h->ops.send_return(h->ctx, &(struct loan_return){
                                   .database = h->database,
                                   .member = member,
                                   .kept = kept,
                                   .batch = batch,
                                   .request_id = ++h->last_request_id,
                                   .sender = h->self,
                               });
}

/* Does what is due for one class on one member. Returns when it has to be
   called again. */
static clock_ms
advance(struct loan_holder *h, clock_ms now, int member, bool batch)
{
    struct borrowed *b = &h->borrowed[batch][member];
    bool needed = b->in_use > 0 || b->waiting > 0;
    clock_ms due = CLOCK_NEVER;

    if (b->granted > 0 && now >= b->lease_end) {
        /* No return is needed: the lease expires at the lender as well. */
        b->return_due = false;
        set_granted(h, member, batch, 0);
    }
    if (b->return_due && b->pending_request_id == 0 &&
        b->in_use <= b->granted) {
        return_loan(h, member, batch, b->granted);
    }
    if (b->granted > 0 && !needed && now - b->idle_since >= IDLE_RETURN_MS) {
        return_loan(h, member, batch, 0);
    }
    if (needed && now >= b->next_request_at &&
        (b->in_use + b->waiting > b->granted || now >= b->renew_at)) {
        request_loan(h, now, member, batch);
    }
    if (b->granted > 0) {
        due = MIN(due, b->lease_end);
        due = needed ? MIN(due, MAX(b->renew_at, b->next_request_at))
                     : MIN(due, b->idle_since + IDLE_RETURN_MS);
    }
    if (b->in_use + b->waiting > b->granted) {
        due = MIN(due, b->next_request_at);
    }
    return due;
}

/* Advances one class on one member and all that the callbacks mark as dirty. A
   nested call only marks its entry, so callbacks may report demand. */
static void
mark_and_advance(struct loan_holder *h, clock_ms now, int member, bool batch)
{
    h->dirty |= 1U << (member + (batch ? LOAN_MAX_MEMBERS : 0));
    if (h->in_callback) {
        return;
    }
    h->in_callback = true;
    while (h->dirty != 0) {
        int next = __builtin_ctz(h->dirty);

        h->dirty &= h->dirty - 1;
        advance(h, now, next % LOAN_MAX_MEMBERS, next >= LOAN_MAX_MEMBERS);
    }
    h->in_callback = false;
}

/* Sets the amount of work that waits for a lent connection or permit of a
   member and the number of lent ones in use. Sends a request at once if more
   is wanted than is held. */
void
loan_holder_set_demand(struct loan_holder *h, clock_ms now, int member,
                       bool batch, int waiting, int in_use)
{
    struct borrowed *b = &h->borrowed[batch][member];
    bool grew = waiting > b->waiting && waiting + in_use > b->granted;

    if (b->in_use + b->waiting > 0 && waiting + in_use == 0) {
        b->idle_since = now;
    }
    b->waiting = waiting;
    b->in_use = in_use;
    if (grew && b->pending_request_id == 0) {
        b->next_request_at = MIN(b->next_request_at, now);
    }
    mark_and_advance(h, now, member, batch);
}

/* Handles a grant. Returns false and changes nothing if it does not answer the
   last request of a class and member or if its lease has already ended. */
bool
loan_holder_on_grant(struct loan_holder *h, clock_ms now,
                     const struct loan_grant *grant)
{
    for (int i = 0; i < 2 * h->member_count; i++) {
        bool batch = i >= h->member_count;
        int member = i % h->member_count;
        struct borrowed *b = &h->borrowed[batch][member];
        clock_ms from =
            LOAN_BREAK == LOAN_BREAK_SEND_TIME ? now : b->requested_at;
        clock_ms lease_end = from + grant->lease_ms - LOAN_MARGIN_MS;

        if (b->pending_request_id == 0 ||
            (grant->request_id != b->pending_request_id &&
             LOAN_BREAK != LOAN_BREAK_OLD_ANSWER)) {
            continue;
        }
        if (now >= lease_end || grant->lease_ms > lease_ms_of(batch) ||
            grant->granted < 0) {
            return false;
        }
        b->pending_request_id = 0;
        b->return_due |= grant->granted < b->granted;
        b->lease_end = lease_end;
        b->renew_at = b->requested_at + grant->lease_ms / 2;
        b->idle_since = now;
        h->in_callback = true;
        set_granted(h, member, batch, grant->granted);
        h->in_callback = false;
        mark_and_advance(h, now, member, batch);
        return true;
    }
    return false;
}

/* Returns how many lent connections or permits may be used now. Has to be
   called before each use, because the process may have been paused since the
   last tick. */
int
loan_holder_usable(const struct loan_holder *h, clock_ms now, int member,
                   bool batch)
{
    const struct borrowed *b = &h->borrowed[batch][member];

    return now < b->lease_end ? b->granted : 0;
}

/* Returns the end of a lease. The timeout of a statement on a lent connection
   must not be later. */
clock_ms
loan_holder_lease_end(const struct loan_holder *h, int member, bool batch)
{
    return h->borrowed[batch][member].lease_end;
}

/* Renews, repeats requests, returns what is idle and drops what has expired.
   Returns when it has to be called again. */
clock_ms
loan_holder_tick(struct loan_holder *h, clock_ms now)
{
    clock_ms due = CLOCK_NEVER;

    for (int i = 0; i < 2 * h->member_count; i++) {
        h->in_callback = true;
        due = MIN(due,
                  advance(h, now, i % h->member_count, i >= h->member_count));
        h->in_callback = false;
    }
    for (; h->dirty != 0;) {
        /* Entries that a callback marked are advanced at once. */
        int next = __builtin_ctz(h->dirty);

        mark_and_advance(h, now, next % LOAN_MAX_MEMBERS,
                         next >= LOAN_MAX_MEMBERS);
        due = MIN(due, now + 1);
    }
    return due;
}

/* Returns everything, when the proxy drains. */
void
loan_holder_return_all(struct loan_holder *h, clock_ms now)
{
    for (int i = 0; i < 2 * h->member_count; i++) {
        bool batch = i >= h->member_count;
        struct borrowed *b = &h->borrowed[batch][i % h->member_count];

        b->waiting = 0;
        if (loan_holder_usable(h, now, i % h->member_count, batch) > 0) {
            h->in_callback = true;
            return_loan(h, i % h->member_count, batch, 0);
            h->in_callback = false;
        }
    }
}

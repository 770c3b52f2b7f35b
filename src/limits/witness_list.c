#include "limits/witness_list.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define NEVER INT64_MIN

struct witness {
    char name[VIEW_NAME_BYTES];
    clock_ms listed_since; /* in this proxy's list; NEVER: at its start */
    /* From its last replies, all on the own clock; 0 if none. */
    clock_ms lists_self_at;    /* it listed this proxy at that time or later */
    clock_ms lists_self_since; /* and since then, or longer */
    clock_ms same_list_at;     /* it had this proxy's list then, or later */
    clock_ms answered_at;      /* when its last answer was requested */
    int count;                 /* of witnesses in its list */
};

struct witness_list {
    char name[VIEW_NAME_BYTES];
    struct witness witnesses[AGREEMENT_WITNESSES_MAX]; /* by name */
    int count;
    int self; /* index of this proxy; -1 if it is not a witness */
    uint64_t hash;
    /* Until when permits may be granted without further confirmation; NEVER if
       this process never could. A process that was registered when it started
       continues for its predecessor. */
    clock_ms valid_until;
    clock_ms started_at;
    bool established;
    clock_ms same_since; /* since when nearly all had this list; 0: not yet */
    int divisor;         /* of the part in use */
};

/* Creates the state of a proxy that knows no witnesses yet. */
struct witness_list *
witness_list_create(const char *name, clock_ms now)
{
    struct witness_list *l = g_new0(struct witness_list, 1);

    g_strlcpy(l->name, name, sizeof(l->name));
    l->self = -1;
    l->started_at = now;
    l->valid_until = NEVER;
    return l;
}

void
witness_list_destroy(struct witness_list *l)
{
    g_free(l);
}

static struct witness *
find_witness(const struct witness_list *l, const char *name)
{
    for (int i = 0; i < l->count; i++) {
        if (strcmp(l->witnesses[i].name, name) == 0) {
            return (struct witness *)&l->witnesses[i];
        }
    }
    return NULL;
}

static int
compare_witnesses(const void *x, const void *y)
{
    const struct witness *a = x;
    const struct witness *b = y;

    return strcmp(a->name, b->name);
}

/* Replaces the list of witnesses. */
void
witness_list_set(struct witness_list *l, const char *const *names, int n,
                 clock_ms now)
{
    struct witness next[AGREEMENT_WITNESSES_MAX] = {0};
    XXH64_state_t *hash = XXH64_createState();
    const uint64_t before = l->hash;

    n = MIN(n, AGREEMENT_WITNESSES_MAX);
    for (int i = 0; i < n; i++) {
        const struct witness *old = find_witness(l, names[i]);
        if (old != NULL) {
            next[i] = *old;
            continue;
        }
        g_strlcpy(next[i].name, names[i], sizeof(next[i].name));
        next[i].listed_since = now;
    }
    qsort(next, (size_t)n, sizeof(next[0]), compare_witnesses);
    XXH64_reset(hash, 0);
    l->self = -1;
    for (int i = 0; i < n; i++) {
        XXH64_update(hash, next[i].name, strlen(next[i].name) + 1);
        if (strcmp(next[i].name, l->name) == 0) {
            l->self = i;
        }
    }
    l->hash = XXH64_digest(hash);
    XXH64_freeState(hash);
    memcpy(l->witnesses, next, sizeof(next));
    l->count = n;
    if (l->hash != before) {
        l->same_since = 0;
        for (int i = 0; i < n; i++) {
            l->witnesses[i].same_list_at = 0;
        }
    }
}

/* Records that this proxy was registered when the process started: the list
   was in force before, and this proxy's part is that of its predecessor. */
void
witness_list_set_registered(struct witness_list *l)
{
    for (int i = 0; i < l->count; i++) {
        l->witnesses[i].listed_since = NEVER;
    }
    if (l->valid_until == NEVER) {
        l->valid_until = l->started_at;
    }
}

/* Processes what a reply to the request sent at asked_at says of the list. */
void
witness_list_answered(struct witness_list *l, const char *from,
                      const struct witness_answer *a, clock_ms asked_at,
                      clock_ms now)
{
    struct witness *w = find_witness(l, from);

    if (w == NULL || asked_at > now || asked_at < w->answered_at) {
        return;
    }
    w->answered_at = asked_at;
    w->count = a->count;
    w->same_list_at = a->witnesses == l->hash ? asked_at : 0;
    w->lists_self_at = a->listed_ms >= 0 ? asked_at : 0;
    w->lists_self_since =
        a->listed_ms >= WITNESS_LISTED_LONG_MS ? NEVER : now - a->listed_ms;
}

uint64_t
witness_list_hash(const struct witness_list *l)
{
    return l->hash;
}

/* Returns for how long the named proxy has been listed; -1 if it is not. */
int64_t
witness_list_listed_ms(const struct witness_list *l, const char *name,
                       clock_ms now)
{
    const struct witness *w = find_witness(l, name);

    if (w == NULL) {
        return -1;
    }
    return w->listed_since == NEVER
               ? WITNESS_LISTED_LONG_MS
               : CLAMP(now - w->listed_since, 0, WITNESS_LISTED_LONG_MS);
}

int
witness_list_count(const struct witness_list *l)
{
    return l->count;
}

const char *
witness_list_name(const struct witness_list *l, int i)
{
    return l->witnesses[i].name;
}

bool
witness_list_has_self(const struct witness_list *l)
{
    return l->self >= 0;
}

/* Returns how many witnesses must list one that goes on granting. */
static int
keep_quorum(const struct witness_list *l)
{
    return (l->count + 1) / 2;
}

/* Returns how many witnesses must have the list of one that begins to grant.
   Together with keep_quorum() more than all names of two lists that differ by
   two of seven names, and of lists of three to five names of which one is a
   part of the other. */
static int
begin_quorum(const struct witness_list *l)
{
    return l->count > 5 ? l->count - 1 : l->count;
}

static bool
is_recent(clock_ms asked_at, clock_ms now)
{
    return asked_at != 0 && now - asked_at < WITNESS_CONFIRM_MS;
}

/* Orders times from latest to earliest. */
static int
compare_times(const void *x, const void *y)
{
    const clock_ms a = *(const clock_ms *)x;
    const clock_ms b = *(const clock_ms *)y;

    return a < b ? 1 : a > b ? -1 : 0;
}

/* Extends valid_until if enough witnesses list this proxy, and have done so
   since a time at which it was valid. */
static void
keep_part(struct witness_list *l, clock_ms now)
{
    clock_ms asked[AGREEMENT_WITNESSES_MAX];
    const clock_ms valid_until = l->valid_until;
    int n = 0;

    for (int i = 0; i < l->count; i++) {
        const struct witness *w = &l->witnesses[i];
        const bool self = i == l->self;
        const clock_ms since = self ? w->listed_since : w->lists_self_since;
        if ((self || is_recent(w->lists_self_at, now)) &&
            (l->established || since <= valid_until)) {
            asked[n++] = self ? now : w->lists_self_at;
        }
    }
    if (n >= keep_quorum(l)) {
        qsort(asked, (size_t)n, sizeof(asked[0]), compare_times);
        l->valid_until = MAX(l->valid_until,
                             asked[keep_quorum(l) - 1] + WITNESS_CONFIRM_MS);
        l->established = true;
    }
}

/* Records since when nearly all witnesses have had this proxy's list. */
static void
check_same_list(struct witness_list *l, clock_ms now)
{
    int n = 1;

    for (int i = 0; i < l->count; i++) {
        n += i != l->self && is_recent(l->witnesses[i].same_list_at, now);
    }
    if (n < begin_quorum(l)) {
        l->same_since = 0;
    }
    else if (l->same_since == 0) {
        l->same_since = now;
    }
}

/* Returns the number of witnesses in the longest list that is known. */
static int
largest_count(const struct witness_list *l, clock_ms now)
{
    int count = l->count;

    for (int i = 0; i < l->count; i++) {
        if (is_recent(l->witnesses[i].answered_at, now)) {
            count = MAX(count, l->witnesses[i].count);
        }
    }
    return count;
}

#if defined(RATE_BREAK_QUORUM) || defined(RATE_BREAK_WAIT)
/* Returns the part without asking the others: after a wait from this proxy's
   own list on, or at once. */
static struct witness_part
unconfirmed_part(struct witness_list *l, clock_ms now)
{
    struct witness_part p = {0};

#ifdef RATE_BREAK_QUORUM
    l->established =
        l->valid_until != NEVER ||
        now - l->witnesses[l->self].listed_since >= WITNESS_WAIT_MS;
#else
    (void)now;
    l->established = true;
#endif
    p.is_new = l->established && l->divisor == 0 && l->valid_until == NEVER;
    l->divisor = p.divisor = l->established ? l->count : 0;
    return p;
}
#endif

/* Returns the part that this proxy may grant from now. */
struct witness_part
witness_list_part(struct witness_list *l, clock_ms now)
{
    struct witness_part p = {0};

    if (l->self < 0) {
        l->established = false;
        l->divisor = 0;
        l->valid_until = NEVER; /* a replacement may grant from now */
        return p;
    }
#if defined(RATE_BREAK_QUORUM) || defined(RATE_BREAK_WAIT)
    return unconfirmed_part(l, now);
#endif
    if (now >= l->valid_until) {
        l->established = false;
    }
    if (l->valid_until != NEVER) {
        keep_part(l, now);
    }
    check_same_list(l, now);
    const bool waited =
        l->same_since != 0 && now - l->same_since >= WITNESS_WAIT_MS;
    if (!l->established && waited) {
        l->established = true;
        l->divisor = 0;
        l->valid_until = now + WITNESS_CONFIRM_MS;
        p.is_new = true;
    }
    if (!l->established) {
        return p;
    }
    /* A smaller part counts at once, also if only another witness knows that
       there are more; a larger one after the wait. A process that continues
       for its predecessor takes the part of the list with which it started. */
    const int count = largest_count(l, now);
    if (l->divisor == 0 || count > l->divisor || waited) {
        l->divisor = count;
    }
    p.divisor = l->divisor;
    return p;
}

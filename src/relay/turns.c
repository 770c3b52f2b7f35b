#include "relay/turns.h"

#include <glib.h>
#include <string.h>

/* More entries than this are searched for those that have no effect any more,
   and more than the maximum are not kept without a queued request. */
#define ENTRIES_SEARCHED 64
#define ENTRIES_MAX 1024

/* An account with requests in the queue, or whose next number is above the one
   that is being served. */
struct turn {
    struct turn_key key; /* with its own copy of the name */
    uint64_t next;
    uint64_t last; /* highest number of a queued request */
    int queued;
};

/* Requests of equal priorities that are queued. */
struct turn_class {
    int priority;
    int account_priority;
    uint64_t serving; /* highest number that was served */
    int queued;
};

struct turns {
    GPtrArray *turns;   /* of struct turn */
    GPtrArray *classes; /* of struct turn_class */
};

static void
turn_free(void *p)
{
    struct turn *t = p;

    g_free((char *)t->key.account);
    g_free(t);
}

struct turns *
turns_create(void)
{
    struct turns *t = g_new0(struct turns, 1);

    t->turns = g_ptr_array_new_with_free_func(turn_free);
    t->classes = g_ptr_array_new_with_free_func(g_free);
    return t;
}

void
turns_destroy(struct turns *t)
{
    g_ptr_array_free(t->turns, TRUE);
    g_ptr_array_free(t->classes, TRUE);
    g_free(t);
}

/* Returns an independent copy. */
struct turns *
turns_copy(const struct turns *t)
{
    struct turns *copy = turns_create();

    for (guint i = 0; i < t->turns->len; i++) {
        struct turn *e = g_memdup2(t->turns->pdata[i], sizeof(struct turn));
        e->key.account = g_strdup(e->key.account);
        g_ptr_array_add(copy->turns, e);
    }
    for (guint i = 0; i < t->classes->len; i++) {
        g_ptr_array_add(copy->classes, g_memdup2(t->classes->pdata[i],
                                                 sizeof(struct turn_class)));
    }
    return copy;
}

static struct turn_class *
find_class(const struct turns *t, const struct turn_key *k)
{
    for (guint i = 0; i < t->classes->len; i++) {
        struct turn_class *c = t->classes->pdata[i];
        if (c->priority == k->priority &&
            c->account_priority == k->account_priority) {
            return c;
        }
    }
    return NULL;
}

static bool
is_in_class(const struct turn *t, const struct turn_class *c)
{
    return t->key.priority == c->priority &&
           t->key.account_priority == c->account_priority;
}

static struct turn *
find_turn(const struct turns *t, const struct turn_key *k)
{
    for (guint i = 0; i < t->turns->len; i++) {
        struct turn *e = t->turns->pdata[i];
        if (e->key.priority == k->priority &&
            e->key.account_priority == k->account_priority &&
            strcmp(e->key.account, k->account) == 0) {
            return e;
        }
    }
    return NULL;
}

/* Returns the number that the next request would get. It is not below that of
   a queued request of the same account, which arrived earlier. */
uint64_t
turns_next(const struct turns *t, const struct turn_key *k)
{
    const struct turn_class *c = find_class(t, k);
    const struct turn *e = find_turn(t, k);
    const uint64_t serving = c != NULL ? c->serving : 0;

    if (e == NULL) {
        return serving;
    }
    const uint64_t least = e->queued > 0 ? MAX(e->last, serving) : serving;
    return MAX(e->next, least);
}

/* Removes the entries that have no effect any more. If there are too many
   others, one with the lowest next number goes too; its account may get one
   turn early. */
static void
remove_unused(struct turns *t)
{
    const struct turn *lowest = NULL;

    for (guint i = t->turns->len; i > 0; i--) {
        struct turn *e = t->turns->pdata[i - 1];
        const struct turn_class *c = find_class(t, &e->key);
        if (e->queued > 0) {
            continue;
        }
        if (c == NULL || e->next <= c->serving) {
            g_ptr_array_remove_index_fast(t->turns, i - 1);
        }
        else if (lowest == NULL || e->next < lowest->next) {
            lowest = e;
        }
    }
    if (t->turns->len >= ENTRIES_MAX && lowest != NULL) {
        g_ptr_array_remove_fast(t->turns, (gpointer)lowest);
    }
}

/* Called when a request is queued. Returns its number. */
uint64_t
turns_add(struct turns *t, const struct turn_key *k)
{
    const uint64_t number = turns_next(t, k);
    struct turn_class *c = find_class(t, k);
    struct turn *e = find_turn(t, k);

    if (c == NULL) {
        c = g_new0(struct turn_class, 1);
        c->priority = k->priority;
        c->account_priority = k->account_priority;
        g_ptr_array_add(t->classes, c);
    }
    if (e == NULL) {
        if (t->turns->len >= ENTRIES_SEARCHED) {
            remove_unused(t);
        }
        e = g_new0(struct turn, 1);
        e->key = *k;
        e->key.account = g_strdup(k->account);
        g_ptr_array_add(t->turns, e);
    }
    c->queued++;
    e->queued++;
    e->next = number + 1;
    e->last = number;
    return number;
}

/* Called when a request with this number has left the queue. One that was not
   served gives its turn back, once no other of its account is queued. Without
   queued requests of the same priorities all accounts start anew. */
void
turns_remove(struct turns *t, const struct turn_key *k, uint64_t number,
             bool served)
{
    struct turn_class *c = find_class(t, k);
    struct turn *e = find_turn(t, k);

    e->queued--;
    c->queued--;
    if (served) {
        c->serving = MAX(c->serving, number);
    }
    else {
        e->next--;
    }
    if (c->queued > 0) {
        return;
    }
    for (guint i = t->turns->len; i > 0; i--) {
        if (is_in_class(t->turns->pdata[i - 1], c)) {
            g_ptr_array_remove_index_fast(t->turns, i - 1);
        }
    }
    g_ptr_array_remove_fast(t->classes, c);
}

/* Returns how many requests of an account are queued with these priorities. */
int
turns_queued(const struct turns *t, const struct turn_key *k)
{
    const struct turn *e = find_turn(t, k);

    return e != NULL ? e->queued : 0;
}

/* Sets *longest to the account with the most queued requests among those that
   are not more urgent than k. Returns their number; 0 if there is none. */
int
turns_find_longest(const struct turns *t, const struct turn_key *k,
                   struct turn_key *longest)
{
    int most = 0;

    for (guint i = 0; i < t->turns->len; i++) {
        const struct turn *e = t->turns->pdata[i];
        const bool more_urgent =
            e->key.priority < k->priority ||
            (e->key.priority == k->priority &&
             e->key.account_priority < k->account_priority);
        if (!more_urgent && e->queued > most) {
            most = e->queued;
            *longest = e->key;
        }
    }
    return most;
}

/* Returns the number of entries, which is bounded by the queue. */
int
turns_count(const struct turns *t)
{
    return (int)t->turns->len;
}

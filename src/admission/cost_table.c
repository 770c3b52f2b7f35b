#include "admission/cost_table.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/* The table is set-associative with least-recently-used replacement within a
   set, so that the cost of a lookup does not grow with the number of
   fingerprints. */
#define SET_WAYS 4
/* A sample has the weight 1 / 2^MEAN_SHIFT in the exponential mean, which then
   follows a change of cost within about ten statements. */
#define MEAN_SHIFT 3

struct entry {
    uint64_t fingerprint; /* 0 when unused */
    int64_t mean_us;
    uint64_t last_used; /* value of cost_table.use_count */
};

struct cost_table {
    struct entry *entries;
    uint32_t sets; /* a power of two */
    uint64_t use_count;
};

/* Returns the first entry of a fingerprint's set. The multiplier is 2^64
   divided by the golden ratio (Fibonacci hashing). */
static struct entry *
set_of(const struct cost_table *t, uint64_t fingerprint)
{
    uint64_t hash = fingerprint * 0x9e3779b97f4a7c15ULL;

    return &t->entries[((hash >> 32) & (t->sets - 1)) * SET_WAYS];
}

/* Returns the entry of a fingerprint and marks it as used, or NULL. */
static struct entry *
find(struct cost_table *t, uint64_t fingerprint)
{
    struct entry *set = set_of(t, fingerprint);

    if (fingerprint == 0) {
        return NULL;
    }
    for (int i = 0; i < SET_WAYS; i++) {
        if (set[i].fingerprint == fingerprint) {
            set[i].last_used = ++t->use_count;
            return &set[i];
        }
    }
    return NULL;
}

/* Returns the entry of a fingerprint. A new fingerprint replaces the least
   recently used entry of its set. */
static struct entry *
find_or_add(struct cost_table *t, uint64_t fingerprint, bool *added)
{
    struct entry *e = find(t, fingerprint);
    struct entry *set = set_of(t, fingerprint);

    *added = e == NULL;
    if (e != NULL) {
        return e;
    }
    e = &set[0];
    for (int i = 1; i < SET_WAYS; i++) {
        if (set[i].last_used < e->last_used) {
            e = &set[i];
        }
    }
    *e = (struct entry){.fingerprint = fingerprint,
                        .last_used = ++t->use_count};
    return e;
}

/* Creates a table with at least the given number of entries. */
struct cost_table *
cost_table_create(uint32_t entries)
{
    struct cost_table *t = g_new0(struct cost_table, 1);

    t->sets = 1;
    while (t->sets * SET_WAYS < entries) {
        t->sets *= 2;
    }
    t->entries = g_new0(struct entry, (size_t)t->sets * SET_WAYS);
    return t;
}

/* Frees the table; NULL is allowed. */
void
cost_table_destroy(struct cost_table *t)
{
    if (t != NULL) {
        g_free(t->entries);
        g_free(t);
    }
}

/* Returns the mean cost of a fingerprint in microseconds, or fallback_us when
   it is not in the table. Fingerprint 0 means unknown and is never stored. */
int64_t
cost_table_mean(struct cost_table *t, uint64_t fingerprint,
                int64_t fallback_us)
{
    struct entry *e = find(t, fingerprint);

    return e == NULL ? fallback_us : e->mean_us;
}

/* Adds one measured cost to the exponential mean of a fingerprint. */
void
cost_table_add(struct cost_table *t, uint64_t fingerprint, int64_t cost_us)
{
    bool added;
    struct entry *e;

    if (fingerprint == 0) {
        return;
    }
    e = find_or_add(t, fingerprint, &added);
    if (added) {
        e->mean_us = cost_us;
    }
    else {
        e->mean_us += (cost_us - e->mean_us) / (1 << MEAN_SHIFT);
    }
}

/* Raises the mean of a fingerprint to at least the given cost. Called while a
   statement is still running beyond its straggler limit. */
void
cost_table_raise(struct cost_table *t, uint64_t fingerprint,
                 int64_t at_least_us)
{
    bool added;
    struct entry *e;

    if (fingerprint == 0) {
        return;
    }
    e = find_or_add(t, fingerprint, &added);
    if (e->mean_us < at_least_us) {
        e->mean_us = at_least_us;
    }
}

/* Lowers the mean by an eighth. Called when a request is refused because of
   its cost alone. A refused fingerprint is not measured again, so without the
   decay one slow period would cause it to be refused forever. */
void
cost_table_decay(struct cost_table *t, uint64_t fingerprint)
{
    struct entry *e = find(t, fingerprint);

    if (e != NULL) {
        e->mean_us -= e->mean_us / (1 << MEAN_SHIFT);
    }
}

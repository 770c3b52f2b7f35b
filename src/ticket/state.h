#ifndef TICKET_STATE_H
#define TICKET_STATE_H

#include "ticket/ticket.h"

/* Summary of a state for comparison between proxies. hash is the XOR of the
   XXH64 of every (object, number) pair, so it does not depend on order. */
struct ticket_digest {
    uint64_t highest; /* highest number of any object, 0 when empty */
    uint64_t count;   /* objects, tombstones included */
    uint64_t hash;
};

/* Called after an object changed. old is NULL for a new object. The removal of
   an object is passed as its tombstone. */
typedef void (*ticket_change_fn)(void *ctx, const struct ticket_object *old,
                                 const struct ticket_object *new_object);

struct ticket_state;

struct ticket_state *ticket_state_create(ticket_change_fn on_change,
                                         void *ctx);
void ticket_state_destroy(struct ticket_state *s);
bool ticket_state_apply_object(struct ticket_state *s,
                               struct ticket_object *o);
size_t ticket_state_apply(struct ticket_state *s, const struct ticket *t);
const struct ticket_object *ticket_state_find(const struct ticket_state *s,
                                              enum ticket_object_type type,
                                              const char *name);
struct ticket_digest ticket_state_digest(const struct ticket_state *s);
bool ticket_digest_equal(const struct ticket_digest *a,
                         const struct ticket_digest *b);
GPtrArray *ticket_state_list_missing(const struct ticket_state *s,
                                     const struct ticket_digest *peer,
                                     uint64_t window);

/* A database that is defined in the settings file instead of by a ticket. */
struct ticket_configured_database {
    const char *name;
    int64_t connections;
};

/* What tickets are validated against besides the current state. */
struct ticket_rules {
    const struct ticket_configured_database *databases;
    size_t n_databases;
    const char *const *kinds; /* NULL-terminated; NULL allows any kind */
};

bool ticket_check(const struct ticket *t, const struct ticket_state *s,
                  const struct ticket_rules *rules, struct ticket_error *err);

#define TICKET_SNAPSHOT_MAX_BYTES ((size_t)1 << 20)

char *ticket_snapshot_write(const GPtrArray *objects, uint64_t complete_to);
bool ticket_snapshot_apply(struct ticket_state *s, const char *text, size_t n,
                           uint64_t *complete_to, size_t *changed,
                           struct ticket_error *err);

#endif

#ifndef FAKES_GROUP_H
#define FAKES_GROUP_H

#include "base/clock.h"
#include "fakes/store.h"

#include <inttypes.h>
#include <stdbool.h>

/* Replication model of one database group: terms, logs, sealing, majority
   commits. It opens no socket and reads no clock; time arrives with each
   call and messages between members stay inside the process. */

#define GROUP_MEMBERS_MAX 7
#define GROUP_HEARTBEAT_MS 50
#define GROUP_FIRST_TERM ((uint64_t)1 << 16)
#define GROUP_STATE_BYTES 160

struct group;

struct group_options {
    unsigned members;
    clock_ms delay_ms; /* one way, between any two members */
    bool auto_follow;  /* accept a higher term without group_follow() */
};

enum group_status {
    GROUP_OK,
    GROUP_NOT_PRIMARY, /* nothing was appended */
    GROUP_DUPLICATE,   /* an INSERT met an existing row; nothing appended */
    GROUP_BAD_NUMBER,  /* arithmetic on text that is no number */
    GROUP_REFUSED,     /* the sealed term forbids the call */
    GROUP_REPLACED,    /* sealed while waiting; the outcome is unknown */
    GROUP_PENDING,     /* the callback follows */
};

typedef void group_done(void *ctx, enum group_status status);

/* Faults that the model saw; all stay 0 when promotions follow the rules. */
struct group_violations {
    uint64_t lost_acknowledged; /* promotions that dropped acknowledged work */
    uint64_t diverged;          /* replication that met other visible data */
    uint64_t double_promotion;  /* two members promoted in one term */
    uint64_t replaced_acks;     /* acknowledgements below a newer commit */
};

struct group *group_create(const struct group_options *options, clock_ms now);
void group_destroy(struct group *g);
unsigned group_members(const struct group *g);

void group_run(struct group *g, clock_ms now);
clock_ms group_next_due(const struct group *g, clock_ms now);

enum group_status group_commit(struct group *g, unsigned member,
                               const struct op *ops, unsigned n_ops,
                               group_done *done, void *ctx);
enum group_status group_confirm(struct group *g, unsigned member,
                                group_done *done, void *ctx);
void group_forget(struct group *g, unsigned member, const void *ctx);

size_t group_state(const struct group *g, unsigned member, clock_ms now,
                   char out[GROUP_STATE_BYTES]);
enum group_status group_seal(struct group *g, unsigned member, uint64_t term,
                             char out[GROUP_STATE_BYTES]);
enum group_status group_promote(struct group *g, unsigned member,
                                uint64_t term, clock_ms now);
enum group_status group_follow(struct group *g, unsigned member, uint64_t term,
                               unsigned primary, clock_ms now);

bool group_is_primary(const struct group *g, unsigned member);
uint64_t group_sealed_term(const struct group *g, unsigned member);
uint64_t group_position(const struct group *g, unsigned member);
uint64_t group_visible_term(const struct group *g, unsigned member);
bool group_holds(const struct group *g, unsigned member, uint64_t position,
                 uint64_t term);
uint64_t group_log_end(const struct group *g, unsigned member);
uint64_t group_log_term(const struct group *g, unsigned member);
int group_current_primary(const struct group *g);
const struct store *group_visible(const struct group *g, unsigned member);
const char *group_tip_value(const struct group *g, unsigned member,
                            const char *key);
const struct group_violations *group_get_violations(const struct group *g);

void group_set_alive(struct group *g, unsigned member, bool alive,
                     clock_ms now);
void group_set_isolated(struct group *g, unsigned member, bool isolated);
void group_set_lag(struct group *g, unsigned member, clock_ms lag_ms);

#endif

#ifndef FAKES_GROUP_H
#define FAKES_GROUP_H

#include "base/clock.h"
#include "fakes/row_map.h"

#include <inttypes.h>
#include <stdbool.h>

/* Replication model of one database group: terms, logs, sealing and majority
   commits. It opens no sockets and reads no clock: the caller passes the
   current time, and messages between members stay in the process. */

#define GROUP_MEMBERS_MAX 7
#define GROUP_HEARTBEAT_MS 50
/* A term has the number of the failover round in its upper bits and the id of
   the proxy that owns it in the lower 16 bits. */
#define GROUP_FIRST_TERM ((uint64_t)1 << 16)
/* Size of the buffer for the answers of group_state() and group_seal(). */
#define GROUP_STATE_BYTES 160

struct fake_group;

struct fake_group_options {
    unsigned members;
    clock_ms delay_ms; /* one way, between any two members */
    bool auto_follow;  /* follow a higher term without group_follow() */
};

enum fake_group_status {
    GROUP_OK,
    GROUP_NOT_PRIMARY, /* nothing was appended */
    GROUP_DUPLICATE,   /* INSERT of an existing row; nothing was appended */
    GROUP_BAD_NUMBER,  /* OP_ADD on a non-number or out of range */
    GROUP_REFUSED,     /* the sealed term forbids the call */
    GROUP_REPLACED,    /* a higher term was sealed; the outcome is unknown */
    GROUP_PENDING,     /* the callback will report the outcome */
};

typedef void fake_group_done(void *ctx, enum fake_group_status status);

/* Violations that the model detected; all stay 0 if promotions follow the
   rules. */
struct fake_group_violations {
    uint64_t lost_acknowledged; /* promoted without all acknowledged commits */
    uint64_t diverged;         /* visible entries that differ from a primary */
    uint64_t double_promotion; /* a second member promoted in one term */
    uint64_t replaced_acks;    /* commits acknowledged in a term lower than
                                  that of an earlier acknowledgement */
};

struct fake_group *fake_group_create(const struct fake_group_options *options,
                                     clock_ms now);
void fake_group_destroy(struct fake_group *g);
unsigned fake_group_members(const struct fake_group *g);

void fake_group_run(struct fake_group *g, clock_ms now);
clock_ms fake_group_next_due(const struct fake_group *g, clock_ms now);

enum fake_group_status fake_group_commit(struct fake_group *g, unsigned member,
                                         const struct op *ops, unsigned n_ops,
                                         fake_group_done *done, void *ctx);
enum fake_group_status fake_group_confirm(struct fake_group *g,
                                          unsigned member,
                                          fake_group_done *done, void *ctx);
void fake_group_drop_waiters(struct fake_group *g, unsigned member,
                             const void *ctx);

size_t fake_group_state(const struct fake_group *g, unsigned member,
                        clock_ms now, char out[GROUP_STATE_BYTES]);
enum fake_group_status fake_group_seal(struct fake_group *g, unsigned member,
                                       uint64_t term,
                                       char out[GROUP_STATE_BYTES]);
enum fake_group_status fake_group_promote(struct fake_group *g,
                                          unsigned member, uint64_t term,
                                          clock_ms now);
enum fake_group_status fake_group_follow(struct fake_group *g, unsigned member,
                                         uint64_t term, unsigned primary,
                                         clock_ms now);

bool fake_group_is_primary(const struct fake_group *g, unsigned member);
uint64_t fake_group_sealed_term(const struct fake_group *g, unsigned member);
uint64_t fake_group_position(const struct fake_group *g, unsigned member);
uint64_t fake_group_visible_term(const struct fake_group *g, unsigned member);
bool fake_group_has_entry(const struct fake_group *g, unsigned member,
                          uint64_t position, uint64_t term);
uint64_t fake_group_log_end(const struct fake_group *g, unsigned member);
uint64_t fake_group_log_term(const struct fake_group *g, unsigned member);
int fake_group_current_primary(const struct fake_group *g);
const struct row_map *fake_group_visible(const struct fake_group *g,
                                         unsigned member);
const char *fake_group_latest_value(const struct fake_group *g,
                                    unsigned member, const char *key);
const struct fake_group_violations *
fake_group_get_violations(const struct fake_group *g);

void fake_group_set_alive(struct fake_group *g, unsigned member, bool alive,
                          clock_ms now);
void fake_group_set_isolated(struct fake_group *g, unsigned member,
                             bool isolated);
void fake_group_set_lag(struct fake_group *g, unsigned member,
                        clock_ms lag_ms);

#endif

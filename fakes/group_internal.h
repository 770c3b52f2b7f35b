#ifndef FAKES_GROUP_INTERNAL_H
#define FAKES_GROUP_INTERNAL_H

#include "fakes/group.h"

#include <glib.h>

/* Shared by the files of the replication model only. */

/* One log entry; members share it by reference count. */
struct entry {
    unsigned refs;
    unsigned n_ops;
    uint64_t term;
    struct op ops[];
};

enum message_kind {
    MESSAGE_APPEND,
    MESSAGE_RECEIPT,
    MESSAGE_MISMATCH, /* the log before the entries differs */
    MESSAGE_REFUSAL,  /* a higher term is sealed */
};

struct message {
    enum message_kind kind;
    unsigned from;
    clock_ms due;
    clock_ms sent_at; /* by the primary; echoed in receipts */
    uint64_t term;
    uint64_t round;    /* numbers the primary's messages; echoed */
    uint64_t position; /* append: before the entries; else the log's end */
    uint64_t prev_term;
    uint64_t commit;
    GPtrArray *entries; /* struct entry, NULL when none */
};

/* A caller that waits for a commit or a confirmation. */
struct waiter {
    uint64_t position; /* must be committed */
    uint64_t round;    /* must be received by a majority; 0 when not needed */
    fake_group_done *done;
    void *ctx;
};

struct member {
    bool alive;
    bool isolated;
    bool primary;
    bool following; /* accepts replication of the sealed term */
    bool dirty;     /* entries or a confirmation wait to be sent */
    clock_ms lag_ms;
    uint64_t sealed;
    GPtrArray *log;
    uint64_t base; /* entries up to here were dropped from the log */
    uint64_t base_term;
    uint64_t commit; /* highest position known to be held by a majority */
    uint64_t visible_term;
    struct store *visible;
    clock_ms heard_at;
    clock_ms fresh_at;

    /* Used by a primary. */
    uint64_t own_first; /* the empty entry that opened the term */
    uint64_t round;
    uint64_t next[GROUP_MEMBERS_MAX];
    uint64_t match[GROUP_MEMBERS_MAX];
    uint64_t received_round[GROUP_MEMBERS_MAX];
    clock_ms received_sent_at[GROUP_MEMBERS_MAX];
    GQueue commits;  /* struct waiter, by position */
    GQueue confirms; /* struct waiter */
    GHashTable *tip; /* key to struct tip_value, entries past commit */
};

struct tip_value {
    uint64_t position;
    char *value;
};

struct fake_group {
    unsigned n;
    clock_ms delay_ms;
    bool auto_follow;
    clock_ms now;
    clock_ms heartbeat_at;
    uint64_t promoted_term;
    unsigned promoted_member;
    uint64_t acked_term;
    uint64_t acked_position;
    struct fake_group_violations violations;
    struct member members[GROUP_MEMBERS_MAX];
    GQueue links[GROUP_MEMBERS_MAX][GROUP_MEMBERS_MAX]; /* [from][to] */
};

void fake_group_step_down(struct fake_group *g, struct member *m);
void fake_group_advance(struct fake_group *g, unsigned member);
void fake_group_append(struct fake_group *g, unsigned member, struct entry *e);
void fake_group_send_all(struct fake_group *g, unsigned member);
void fake_group_deliver(struct fake_group *g, unsigned to,
                        struct message *msg);
void fake_group_message_free(struct message *msg);

struct entry *fake_group_entry_new(uint64_t term, unsigned n_ops);
void fake_group_entry_unref(void *p);
uint64_t fake_group_last(const struct member *m);
uint64_t fake_group_term_at(const struct member *m, uint64_t position);

#endif

#ifndef FAKES_GROUP_INTERNAL_H
#define FAKES_GROUP_INTERNAL_H

#include "fakes/group.h"

#include <glib.h>

/* Internals of the replication model, used by group.c and group_log.c. */

/* One log entry; the members' logs share it by reference count. */
struct entry {
    unsigned refs;
    unsigned n_ops;
    uint64_t term;
    struct op ops[];
};

enum message_kind {
    MESSAGE_APPEND,
    MESSAGE_APPEND_ACK,
    MESSAGE_LOG_MISMATCH, /* the log differs before the sent entries */
    MESSAGE_REFUSAL,      /* another term is sealed, or not following */
};

struct message {
    enum message_kind kind;
    unsigned from;
    clock_ms due;
    clock_ms sent_at; /* when the primary sent it; echoed in replies */
    uint64_t term;
    uint64_t round; /* the primary's send round; echoed in replies */
    /* MESSAGE_APPEND: position before the first entry; MESSAGE_APPEND_ACK:
       position up to which the logs match; MESSAGE_LOG_MISMATCH: position
       after which to send again; MESSAGE_REFUSAL: sealed term. */
    uint64_t position;
    uint64_t prev_term; /* term of the entry at position */
    uint64_t commit_position;
    GPtrArray *entries; /* struct entry; NULL in a heartbeat */
};

/* A call that waits for a commit or a confirmation. */
struct waiter {
    uint64_t position; /* must be committed */
    uint64_t round;    /* must be acknowledged by a majority; 0: none */
    fake_group_done *done;
    void *ctx;
};

struct member {
    bool alive;
    bool isolated;
    bool primary;
    bool following;    /* accepts replication of the sealed term */
    bool send_pending; /* has entries or a heartbeat to send */
    clock_ms lag_ms;   /* extra delay of replication to this member */
    uint64_t sealed_term;
    GPtrArray *log;           /* struct entry, from log_base + 1 on */
    uint64_t log_base;        /* entries up to this position were compacted */
    uint64_t log_base_term;   /* term of the entry at log_base */
    uint64_t commit_position; /* highest position known to be on a majority */
    uint64_t visible_term;    /* term of the entry at commit_position */
    struct row_map *visible;  /* rows as of commit_position */
    clock_ms last_append_at;  /* a replica last received from its primary */
    clock_ms caught_up_at;    /* sent_at of the last message whose commits
                                 are all applied here */

    /* Used while the member is a primary. */
    uint64_t term_start_position; /* the term's first entry, which is empty */
    uint64_t round;               /* of the last messages sent */
    uint64_t next_position[GROUP_MEMBERS_MAX];  /* next entry to send */
    uint64_t match_position[GROUP_MEMBERS_MAX]; /* acknowledged up to here */
    uint64_t acked_round[GROUP_MEMBERS_MAX];
    clock_ms acked_sent_at[GROUP_MEMBERS_MAX]; /* of acknowledged messages */
    GQueue commit_waiters;                     /* struct waiter, by position */
    GQueue confirm_waiters;                    /* struct waiter */
    GHashTable *uncommitted; /* key to struct uncommitted_value */
};

/* Newest value of a row that an uncommitted entry has changed. */
struct uncommitted_value {
    uint64_t position;
    char *value;
};

struct fake_group {
    unsigned n_members;
    clock_ms delay_ms;
    bool auto_follow;
    clock_ms now;
    clock_ms heartbeat_at; /* time of the next heartbeat */
    uint64_t promoted_term;
    unsigned promoted_member;
    uint64_t acked_term; /* of the newest acknowledged commit */
    uint64_t acked_position;
    struct fake_group_violations violations;
    struct member members[GROUP_MEMBERS_MAX];
    GQueue links[GROUP_MEMBERS_MAX][GROUP_MEMBERS_MAX]; /* [from][to] */
};

void fake_group_step_down(struct fake_group *g, struct member *m);
void fake_group_advance_commit(struct fake_group *g, unsigned member);
void fake_group_append(struct fake_group *g, unsigned member, struct entry *e);
void fake_group_send_all(struct fake_group *g, unsigned member);
void fake_group_receive(struct fake_group *g, unsigned to,
                        struct message *msg);
void fake_group_message_free(struct message *msg);

struct entry *fake_group_entry_new(uint64_t term, unsigned n_ops);
void fake_group_entry_unref(void *p);
uint64_t fake_group_last_position(const struct member *m);
uint64_t fake_group_term_at(const struct member *m, uint64_t position);

#endif

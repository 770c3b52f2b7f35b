#ifndef TESTS_FAILOVER_MODEL_H
#define TESTS_FAILOVER_MODEL_H

/* In-memory model of one database group (design section 5) and of the proxies
   that watch it. One step is one millisecond. */

#include <glib.h>

#include "failover/failover.h"

#define MODEL_PROXIES_MAX 5
#define MODEL_NODES (FAILOVER_MEMBERS_MAX + MODEL_PROXIES_MAX)
#define MODEL_FIRST_TERM (UINT64_C(1) << 16)

/* Largest delay of a message, in milliseconds, plus one. */
#define MODEL_SLOTS 1024

enum message_kind {
    PROBE,
    SEAL,
    PROMOTE,
    FOLLOW,
    REPLICATE,
    RECEIPT,
    WRITE,
    ANSWER_PROBE,
    ANSWER_SEAL,
    ANSWER_PROMOTE,
    ANSWER_FOLLOW,
    ANSWER_REFUSED,
    PEER_SWITCHING,
};

struct message {
    int64_t due;
    enum message_kind kind;
    int from;
    int to;
    uint64_t call;
    uint64_t epoch;
    uint64_t term;
    uint64_t index;
    bool ok;
    const struct entry *tip;
    struct failover_probe probe;
};

/* A log is a chain of entries; a member holds its newest one. */
struct entry {
    const struct entry *parent;
    uint64_t term;
    uint64_t index;
};

struct member {
    bool alive;
    enum failover_role role;
    uint64_t term;
    uint64_t sealed;
    uint64_t commit;
    const struct entry *tip;
    bool synced; /* tip belongs to the log of the primary of term */
    int64_t heard;
    uint64_t match[FAILOVER_MEMBERS_MAX]; /* receipts, as primary */
};

struct proxy {
    struct model *model;
    int id;
    int rank;
    bool alive;
    int64_t paused_until;
    uint64_t epoch; /* counts restarts; answers to an earlier one are lost */
    struct failover *f;
    struct rng rng;
    int primary;
    uint64_t term;
    bool hold;
    uint64_t seals;
};

/* What happened in one term; the checks read this. */
struct term_record {
    uint64_t term;
    int primary;
    uint64_t stored[FAILOVER_MEMBERS_MAX];
    uint64_t held;             /* index that a majority stored in this term */
    const struct entry *acked; /* newest acknowledged */
    const struct entry *start; /* log of the primary at its promotion */
};

struct model_options {
    uint64_t seed;
    int members;
    int proxies;
    enum failover_policy policy;
    bool observers; /* the fourth and fifth proxy have no watch rank */
    bool refuse;    /* a dead member refuses connections at once */
    bool trace;
};

struct model {
    struct model_options opt;
    struct rng rng;
    int64_t now;
    struct member member[FAILOVER_MEMBERS_MAX];
    struct proxy proxy[MODEL_PROXIES_MAX];
    bool cut[MODEL_NODES][MODEL_NODES];
    int loss_permille;
    int slow_permille;        /* share of messages delayed by up to 1 s */
    int slow_answer_permille; /* the same for seals and promotions only */
    int dup_permille;
    GArray *slots[MODEL_SLOTS]; /* messages by due time */
    GArray *records;            /* of struct term_record */
    GPtrArray *entries;
    const char *violation; /* name of the first broken invariant */
    uint64_t acks;
    uint64_t refused;   /* writes that reached no primary */
    uint64_t late_acks; /* after a seal majority, stored before it */
    int64_t first_ack;  /* of a client write in a term above ack_floor */
    uint64_t ack_floor;
};

/* group.c: members, logs and what must hold for them. */
struct term_record *group_record(struct model *m, uint64_t term);
void group_append(struct model *m, struct member *me);
void group_stored(struct model *m, int i, uint64_t term);
void group_receive(struct model *m, const struct message *msg);
void group_tick(struct model *m);

/* model.c: network and proxies. */
void model_post(struct model *m, struct message msg);
struct model *model_create(const struct model_options *opt);
void model_destroy(struct model *m);
void model_run(struct model *m, int64_t steps);
int model_node(int proxy);
void model_set_cut(struct model *m, int a, int b, bool cut);
void model_isolate(struct model *m, int node, int from, int to, bool cut);
void model_kill_member(struct model *m, int i);
void model_kill_proxy(struct model *m, int i);
void model_start_proxy(struct model *m, int i);
void model_pause_proxy(struct model *m, int i, int64_t ms);
void model_heal(struct model *m);
int model_acker(const struct model *m);
bool model_settled(const struct model *m);
void model_fail(struct model *m, const char *invariant);

/* scenario.c */
int64_t scenario_random(struct model *m, int64_t *settle_ms);
int64_t scenario_gap(uint64_t seed, enum failover_policy policy,
                     const char **violation);
int64_t scenario_switch(uint64_t seed, enum failover_policy policy,
                        const char **violation);
struct model_options scenario_options(uint64_t seed);

#endif

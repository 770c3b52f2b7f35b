#ifndef TESTS_FAILOVER_MODEL_H
#define TESTS_FAILOVER_MODEL_H

/* Simulation of one database group (design section 5) and of the proxies that
   watch it, with a network that loses, delays and repeats messages. Time is
   simulated: one step is one millisecond. The same seed gives the same run. */

#include <glib.h>

#include "failover/failover.h"

#define MODEL_PROXIES_MAX 5
#define MODEL_NODE_COUNT (FAILOVER_MAX_MEMBERS + MODEL_PROXIES_MAX)
#define MODEL_FIRST_TERM (UINT64_C(1) << 16)

/* Messages are stored by due time modulo this number of milliseconds, which
   must exceed the largest delay. */
#define MODEL_TIME_SLOTS 1024

enum message_kind {
    PROBE,
    SEAL,
    PROMOTE,
    FOLLOW,
    REPLICATE,
    REPLICATION_ACK,
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
    uint64_t call;  /* id, returned with the answer */
    uint64_t epoch; /* of the calling proxy, returned with the answer */
    uint64_t term;
    uint64_t index;
    bool ok; /* answers: the call was granted */
    const struct log_entry *last_entry;
    struct failover_probe_answer probe;
};

/* A log is a linked list of entries, which members share. Each member refers
   to its last entry. */
struct log_entry {
    const struct log_entry *parent;
    uint64_t term;
    uint64_t index;
};

struct member {
    bool alive;
    enum failover_role role;
    uint64_t term;
    uint64_t sealed;
    uint64_t commit_index;
    const struct log_entry *last_entry;
    bool synced; /* the log came from the primary of term */
    int64_t heard_primary_at;
    /* On a primary: index up to which each member has acknowledged its log. */
    uint64_t match_index[FAILOVER_MAX_MEMBERS];
};

struct proxy {
    struct model *model;
    int id;
    int rank;
    bool alive;
    int64_t paused_until;
    uint64_t epoch; /* count of starts; answers to earlier ones are dropped */
    struct failover *f;
    struct rng rng;
    int primary;
    uint64_t term;
    bool hold; /* new writes are held */
    uint64_t seal_calls;
};

/* Events of one term, for the invariant checks. */
struct term_record {
    uint64_t term;
    int primary;
    uint64_t stored_index[FAILOVER_MAX_MEMBERS];
    uint64_t majority_stored_index; /* stored by a majority in this term */
    const struct log_entry *last_acked;
    const struct log_entry *start; /* log of the primary at its promotion */
};

struct model_options {
    uint64_t seed;
    int members;
    int proxies;
    enum failover_policy policy;
    bool observers;           /* the fourth and fifth proxy have rank -1 */
    bool dead_members_refuse; /* connections, instead of not answering */
    bool trace;
};

struct model {
    struct model_options opt;
    struct rng rng;
    int64_t now;
    struct member member[FAILOVER_MAX_MEMBERS];
    struct proxy proxy[MODEL_PROXIES_MAX];
    bool cut[MODEL_NODE_COUNT][MODEL_NODE_COUNT]; /* links, [from][to] */
    int loss_permille;
    int slow_permille;        /* share of messages delayed by up to 1 s */
    int slow_answer_permille; /* the same for seal and promote answers */
    int dup_permille;
    GArray *messages_by_time[MODEL_TIME_SLOTS]; /* of struct message */
    GArray *term_records;                       /* of struct term_record */
    GPtrArray *log_entries;
    const char *violation; /* name of the first broken invariant */
    uint64_t acks;
    uint64_t refused_writes; /* writes sent to a member that is no primary */
    /* Acknowledgements sent after a majority was sealed, of entries stored
       before. */
    uint64_t acks_after_seal;
    /* First acknowledgement of a client write in a term above
       first_ack_above_term, or -1. */
    int64_t first_ack_at;
    uint64_t first_ack_above_term;
};

/* group.c: members, their logs and the invariants. */
struct term_record *group_term_record(struct model *m, uint64_t term);
void group_append_entry(struct model *m, struct member *me);
void group_record_stored(struct model *m, int i, uint64_t term);
void group_receive(struct model *m, const struct message *msg);
void group_tick(struct model *m);

/* model.c: network and proxies. */
void model_send(struct model *m, struct message msg);
struct model *model_create(const struct model_options *opt);
void model_destroy(struct model *m);
void model_run(struct model *m, int64_t steps);
int model_proxy_node(int proxy);
void model_set_cut(struct model *m, int a, int b, bool cut);
void model_isolate(struct model *m, int node, int from, int to, bool cut);
void model_kill_member(struct model *m, int i);
void model_kill_proxy(struct model *m, int i);
void model_start_proxy(struct model *m, int i);
void model_pause_proxy(struct model *m, int i, int64_t ms);
void model_heal(struct model *m);
int model_acknowledging_primary(const struct model *m);
bool model_settled(const struct model *m);
void model_fail(struct model *m, const char *invariant);

/* scenario.c: random cases. */
int64_t scenario_random(struct model *m, int64_t *settle_ms);
int64_t scenario_failover_gap(uint64_t seed, enum failover_policy policy,
                              const char **violation);
int64_t scenario_planned_switch(uint64_t seed, enum failover_policy policy,
                                const char **violation);
struct model_options scenario_options(uint64_t seed);

#endif

#ifndef TESTS_TICKET_MODEL_INTERNAL_H
#define TESTS_TICKET_MODEL_INTERNAL_H

/* Types shared by the files of the simulation; model.h is its interface. */
#include "model.h"

#define AGREEMENT_LIMIT_MS 5000
#define STEP_MS 10
#define HEARTBEAT_MS 500
#define SETTLE_MS 15000
#define OBJECT_COUNT 9 /* three databases, three object types */
#define OPERATOR_MAX_TRIES 6
/* Larger pages of the table are refused, as the real store client does. */
#define ANSWER_MAX_BYTES 3000

struct row {
    char *text;
    clock_ms at; /* when it was inserted */
};

struct proxy {
    struct model *m;
    int id;
    int incarnation;
    bool up;
    clock_ms start_at;
    struct ticket_state *state;
    struct ticket_sync *sync;
    struct rng rng;
    GPtrArray *attempts;
    int group; /* proxies of different groups are partitioned */
};

/* A submission of a ticket by an operator to one proxy. */
struct attempt {
    uint64_t id;
    struct proxy *p;
    struct ticket_submission *submission;
    char *text;
    int tries;
    bool finished;
};

/* An accepted ticket and its arrival on each proxy. */
struct accepted {
    struct ticket *t;
    clock_ms accepted_at;
    bool in_force[MODEL_PROXIES];
    /* Time without the ticket while connected to a proxy that has it. */
    clock_ms missing_ms[MODEL_PROXIES];
};

struct event {
    clock_ms at; /* when run() is called */
    uint64_t seq;
    void (*run)(struct model *m, struct event *e);
    int to;
    int from;
    int incarnation; /* of the receiver; -1: run regardless of restarts */
    bool flag;       /* pull: full; list: answered */
    uint64_t id;
    enum ticket_store_result result;
    enum ticket_list_result list_result;
    int limit;
    size_t bytes;
    struct ticket_digest digest;
    char *key;
    char *text;
    GPtrArray *keys; /* of the listed rows */
    GPtrArray *texts;
};

struct model {
    clock_ms now;
    uint64_t seq;
    struct rng rng;
    struct model_faults faults;
    struct model_result *out;
    GSequence *events;
    GTree *rows;
    GHashTable *contents; /* "NUMBER TYPE NAME" -> canonical object */
    GPtrArray *accepted;
    char *snapshot;
    struct proxy proxies[MODEL_PROXIES];
    bool store_down;
    clock_ms store_change_at, partition_change_at, restart_change_at;
    bool partitioned;
    uint64_t next_number;
    int left;
    clock_ms next_submission;
    bool settling;
};

void report_violation(struct model *m, const char *name, const char *detail);
bool random_fault(struct model *m, int permille);
struct event *post(struct model *m, clock_ms delay,
                   void (*run)(struct model *m, struct event *e),
                   const struct proxy *to);
void free_event(void *p);
bool is_connected(const struct model *m, const struct proxy *a,
                  const struct proxy *b);
bool has_ticket(const struct proxy *p, const struct ticket *t);
void on_change(void *ctx, const struct ticket_object *old,
               const struct ticket_object *o);
void run_digest(struct model *m, struct event *e);
struct event *send_peer(struct proxy *from, uint32_t to,
                        void (*run)(struct model *m, struct event *e));
clock_ms read_time(struct model *m);
void free_attempt(void *p);
void stop_proxy(struct model *m, struct proxy *p);
void start_proxy(struct model *m, struct proxy *p);
void submit(struct model *m, const char *text, int tries);
char *random_ticket(struct model *m);
void free_row(void *p);

#endif

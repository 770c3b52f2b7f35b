#ifndef TESTS_TICKET_WORLD_MODEL_H
#define TESTS_TICKET_WORLD_MODEL_H

/* Inner types of the model; world.h has what tests use. */
#include "world.h"

#define AGREE_MS 5000
#define STEP_MS 10
#define HEARTBEAT_MS 500
#define SETTLE_MS 15000
#define OBJECTS 9
#define OPERATOR_TRIES 6
/* A page of the table over this size is refused, as the client does. */
#define ANSWER_MAX_BYTES 3000

struct row {
    char *text;
    clock_ms at;
};

struct proxy {
    struct world *w;
    int id;
    int incarnation;
    bool up;
    clock_ms up_at;
    struct ticket_state *state;
    struct ticket_sync *sync;
    struct rng rng;
    GPtrArray *subs;
    int group; /* partition side */
};

struct sub {
    uint64_t id;
    struct proxy *p;
    struct ticket_submission *m;
    char *text;
    int tries;
    bool over;
};

/* An accepted ticket and how long each proxy has lacked it. */
struct accepted {
    struct ticket *t;
    clock_ms at;
    bool done[WORLD_PROXIES];
    clock_ms lacking[WORLD_PROXIES]; /* while connected to a holder */
};

struct event {
    clock_ms at;
    uint64_t seq;
    void (*run)(struct world *w, struct event *e);
    int to;
    int from;
    int incarnation;
    bool flag;
    uint64_t id;
    enum ticket_store_result result;
    enum ticket_list_result list_result;
    int limit;
    size_t bytes;
    struct ticket_digest digest;
    char *key;
    char *text;
    GPtrArray *keys; /* rows of a list */
    GPtrArray *texts;
};

struct world {
    clock_ms now;
    uint64_t seq;
    struct rng rng;
    struct world_faults f;
    struct world_result *out;
    GSequence *events;
    GTree *rows;
    GHashTable *contents; /* "NUMBER TYPE NAME" -> canonical object */
    GPtrArray *accepted;
    char *snapshot;
    struct proxy proxies[WORLD_PROXIES];
    bool store_down;
    clock_ms store_change, partition_change, restart_change;
    bool partitioned;
    uint64_t next_number;
    int left;
    clock_ms next_submission;
    bool settling;
};

void violate(struct world *w, const char *name, const char *detail);
bool chance(struct world *w, int per_thousand);
struct event *post(struct world *w, clock_ms delay,
                   void (*run)(struct world *w, struct event *e),
                   const struct proxy *to);
void free_event(void *p);
bool linked(const struct world *w, const struct proxy *a,
            const struct proxy *b);
bool holds(const struct proxy *p, const struct ticket *t);
void on_change(void *ctx, const struct ticket_object *old,
               const struct ticket_object *o);
void run_digest(struct world *w, struct event *e);
struct event *send_peer(struct proxy *from, uint32_t to,
                        void (*run)(struct world *w, struct event *e));
clock_ms read_time(struct world *w);
void free_sub(void *p);
void halt(struct world *w, struct proxy *p);
void boot(struct world *w, struct proxy *p);
void submit(struct world *w, const char *text, int tries);
char *random_ticket(struct world *w);
void free_row(void *p);

#endif

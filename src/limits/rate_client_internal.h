#ifndef LIMITS_RATE_CLIENT_INTERNAL_H
#define LIMITS_RATE_CLIENT_INTERNAL_H

#include "coordination/agreement.h"
#include "limits/rate_client.h"

/* Shared by rate_client.c, rate_replies.c and rate_account.c only. */

#define WITNESSES_MAX AGREEMENT_WITNESSES_MAX
#define STOCK_MAX 16
/* Told to a caller that was refused without knowing when a permit comes. */
#define RETRY_UNKNOWN_MS 200

/* Permits of one request, in order of their expiry. */
struct rate_permits {
    clock_ms expires_at;
    uint32_t count;
};

struct rate_account {
    uint64_t hash;
    GQueue asked_for; /* of struct rate_request in an ask, oldest first */
    GQueue unasked;   /* of struct rate_request in no ask, oldest first */
    struct rate_permits stock[STOCK_MAX];
    int stock_count;
    uint32_t asked; /* permits in asks without a reply yet */
    int current;    /* index of the witness asked last; -1 */
    clock_ms none_until[WITNESSES_MAX]; /* 0: not known to have none */
    clock_ms low_until[WITNESSES_MAX];  /* others are asked first until then */
    bool unable[WITNESSES_MAX]; /* none because the witness may not grant, or
                                   does not know the account */
    clock_ms slot_at;           /* start of the slot of use_in_slot */
    uint32_t use_in_slot;
    uint32_t use_milli_per_s; /* average of the slots before */
    clock_ms used_at;
    GList dirty_node;
    bool dirty; /* in rate_client.dirty */
};

struct client_witness {
    char name[VIEW_NAME_BYTES];
    clock_ms replied_at;
    clock_ms probed_at;
    bool silent; /* an ask has timed out, and no reply has arrived since */
};

/* A request sent to a witness. */
struct ask {
    clock_ms sent_at;
    char witness[VIEW_NAME_BYTES];
    bool timed_out;
    GList node; /* in rate_client.open, or .late once it has timed out */
    struct limit_request request;
};

struct rate_client {
    struct rate_client_config config;
    char name[VIEW_NAME_BYTES];
    struct client_witness witnesses[WITNESSES_MAX]; /* by preference */
    int witness_count;
    GHashTable *accounts; /* hash -> struct rate_account */
    GHashTable *asks;     /* id -> struct ask */
    GQueue open;          /* asks that have not timed out, oldest first */
    GQueue late;          /* asks whose reply is still of use */
    GQueue dirty;         /* accounts to be looked at by flush() */
    size_t waiting;
    uint64_t last_id;
    clock_ms swept_at;
    struct rate_client_counters counters;
};

/* Why no witness can be asked. */
struct refusal {
    bool limited; /* those that reply have no permit */
    int64_t retry_after_ms;
};

/* rate_client.c */
clock_ms rate_client_now(const struct rate_client *c);
struct rate_account *rate_client_find_account(struct rate_client *c,
                                              uint64_t hash);
void rate_client_mark_dirty(struct rate_client *c, struct rate_account *a);
void rate_client_remove_waiting(struct rate_client *c, struct rate_account *a,
                                struct rate_request *r);
void rate_client_refuse(struct rate_client *c, struct rate_request *r,
                        const struct refusal *why);

/* rate_account.c */
void rate_account_update_use(struct rate_account *a, clock_ms now);
uint32_t rate_account_expire(struct rate_account *a, clock_ms now);
uint32_t rate_account_add(struct rate_account *a, clock_ms expires_at,
                          uint32_t count, clock_ms now);
clock_ms rate_account_take(struct rate_account *a);
uint32_t rate_account_wanted(const struct rate_account *a);

#endif

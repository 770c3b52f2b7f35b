#ifndef RELAY_SESSION_INTERNAL_H
#define RELAY_SESSION_INTERNAL_H

#include "relay/session.h"

/* Shared by relay.c, session.c and exchange.c only. */

enum step {
    STEP_IDLE,
    STEP_QUEUED,    /* waits for a connection */
    STEP_SETTINGS,  /* settings and prepared statement are being set */
    STEP_BEGIN,     /* the transaction is being opened at the member */
    STEP_STATEMENT, /* the caller's statement is at the member */
};

struct prepared_shape {
    bool writes;
    char *shape;
};

struct session {
    struct relay *relay;
    const struct session_events *events;
    void *ctx;
    char *database;
    GList link; /* in the relay's list of sessions with a request */
    bool listed;

    struct catalog *catalog; /* keeps route valid */
    const struct database_route *route;
    struct service *service;

    enum transaction_state transaction;
    bool read_only;
    bool wrote;
    bool begun;     /* BEGIN was sent on the pinned link */
    char *begin_id; /* of the caller's BEGIN, sent with the statement */
    char *begin_text;
    bool undone; /* ended by the proxy; the caller does not know yet */
    clock_ms rest_since;

    GHashTable *values; /* setting -> value */
    uint64_t values_hash;
    GHashTable *prepared; /* name -> struct prepared_shape */
    struct token token;

    struct request request; /* in progress; views belong to the codec */
    bool writes;
    enum step step;
    int settings_left;
    int attempts;
    clock_ms arrived;
    clock_ms deadline;
    clock_ms sent_at;
    char member[MEMBER_ID_BYTES]; /* that has, or had, the request */
    struct work work;
    struct pooled_link *pooled;
};

struct relay {
    struct relay_config config;
    GQueue active; /* sessions with a request or an open transaction */
    struct relay_counters counters;
};

/* relay.c */
clock_ms session_now(const struct session *s);
void session_update_listing(struct session *s);

/* session.c */
void session_answer(struct session *s, struct answer *a);
void session_answer_done(struct session *s);
void session_answer_failure(struct session *s, enum failure why,
                            const char *detail);
void session_drop_link(struct session *s);
const struct prepared_shape *session_find_prepared(const struct session *s,
                                                   struct sview name);

/* exchange.c */
void exchange_submit(struct session *s);
void exchange_proceed(struct session *s);
void exchange_check(struct session *s, clock_ms now);
void exchange_granted(void *ctx, struct pooled_link *l);
void exchange_refused(void *ctx, const char *why);

#endif

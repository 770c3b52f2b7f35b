#ifndef RELAY_SESSION_INTERNAL_H
#define RELAY_SESSION_INTERNAL_H

#include "relay/link_setup.h"
#include "relay/session.h"

/* Shared by authorization.c, relay.c, session.c and exchange.c only. */

/* Progress of the request that a session is handling. */
enum step {
    STEP_IDLE,
    STEP_RATE_LIMIT, /* waits for a permit of the account's rate limit */
    STEP_QUEUED,     /* waits for a connection */
    STEP_SETUP,      /* SET, RESET and PREPARE requests are in progress */
    STEP_BEGIN,      /* BEGIN was sent to the member */
    STEP_STATEMENT,  /* the caller's statement was sent to the member */
};

struct prepared_statement {
    bool writes;
    char *statement_text;
};

struct session {
    struct relay *relay;
    const struct session_events *events;
    void *ctx;
    char *database;
    struct account_key key; /* digest of the caller's API key */
    char *account_name;     /* account of the key when it was first known;
                               NULL: not known so far */
    struct catalog *account_catalog; /* keeps connection_request.account
                                        valid */
    struct catalog *permit_catalog;  /* keeps rate_request.account valid */
    GList active_node;               /* in relay.active */
    bool in_active_list;

    struct catalog *catalog; /* keeps route valid */
    const struct database_route *route;
    bool on_public_route; /* as the newest route said */
    struct service *service;

    enum transaction_state transaction;
    bool read_only;
    bool wrote;              /* a statement of the transaction was a write */
    bool may_have_committed; /* the last single statement or transaction */
    bool begun;     /* the member has answered BEGIN on the pooled link */
    char *begin_id; /* of the caller's BEGIN, which goes to the member before
                       the first statement */
    char *begin_text;
    bool aborted_by_proxy; /* between two statements; the caller is told with
                              the next answer */
    clock_ms idle_since;   /* time of the last answer */

    GHashTable *settings; /* name -> value */
    uint64_t settings_hash;
    GHashTable *prepared; /* name -> struct prepared_statement */
    struct token token;

    struct request request; /* in progress; views belong to the codec */
    bool writes;            /* the request is a write */
    enum step step;
    int setup_answers_left;
    int attempts;
    bool may_have_run; /* an earlier attempt was sent and not answered */
    clock_ms arrived_at;
    clock_ms deadline;
    clock_ms sent_at;
    char member[MEMBER_ID_BYTES]; /* that the statement was last sent to */
    int64_t silent_ms; /* how long that member had not answered when the
                          statement was given up; 0 otherwise */
    struct connection_request connection_request;
    struct pooled_link *pooled; /* NULL unless granted */
    struct rate_request rate_request;
    bool has_permit; /* of the account's rate limit, which no attempt has used
                        yet */
    int64_t retry_after_ms; /* for the answer; 0: unknown */
};

struct relay {
    struct relay_config config;
    GQueue active; /* sessions with a request or an open transaction */
    /* Set at a shutdown; 0 before. Transactions end from end_transactions_at
       on, and every request is answered at answer_all_at. */
    clock_ms end_transactions_at;
    clock_ms answer_all_at;
    struct relay_counters counters;
};

/* relay.c */
clock_ms session_now(const struct session *s);
void session_update_active(struct session *s);
bool session_is_answering_all(const struct session *s, clock_ms now);
bool session_must_end_transaction(const struct session *s, clock_ms now);

/* authorization.c */
void session_fix_account(struct session *s, const struct catalog *c);
bool session_authorized(struct session *s);
bool session_refuse_withdrawn(struct session *s);
void session_set_request_account(struct session *s);
bool session_keeps_request_account(const struct session *s);

/* session.c */
void session_answer(struct session *s, struct answer *a);
void session_answer_success(struct session *s);
void session_answer_failure(struct session *s, enum failure why,
                            const char *detail);
void session_release_link(struct session *s);
const struct prepared_statement *session_find_prepared(const struct session *s,
                                                       struct sview name);

/* permit.c */
const struct account *session_limited_account(const struct session *s);
bool session_needs_permit(const struct session *s);
void session_acquire_permit(struct session *s);
void session_drop_permit(struct session *s);
void exchange_start(struct session *s);
void exchange_follow_account(struct session *s);

/* exchange.c */
void exchange_submit(struct session *s);
void exchange_proceed(struct session *s);
void exchange_check_timeouts(struct session *s, clock_ms now);
void exchange_granted(void *ctx, struct pooled_link *l);
void exchange_refused(void *ctx, const char *why);

#endif

#ifndef CALLER_CALLER_H
#define CALLER_CALLER_H

#include "admission/retry_budget.h"
#include "caller/counters.h"
#include "caller/front.h"
#include "caller/prepared.h"
#include "caller/session_settings.h"
#include "session/token.h"
#include "upstream/group.h"
#include "wire/frame.h"

/* Shared by the files of this folder only. */

struct front {
    struct ev_loop *loop;
    const struct settings *settings;
    struct group **groups; /* one for each database, in settings order */
    struct statement_cache *statements;
    struct counters counters;
    struct retry_budget budgets[SETTINGS_MAX_DATABASES];
    struct rng rng;
    GHashTable *callers; /* process id -> struct caller */
    GQueue running;      /* callers with an exchange in flight */
    int listen_fd;
    ev_io accept_io;
    ev_timer deadline_timer;
    uint32_t next_pid;
    bool draining;
    void (*drained)(void *ctx);
    void *drained_ctx;
    void (*forward_cancel)(void *ctx, uint32_t pid, uint32_t secret);
    void *forward_cancel_ctx;
};

enum caller_state {
    CALLER_STARTUP,
    CALLER_READY,   /* between requests, or idle in a transaction */
    CALLER_BACKOFF, /* waits before a retry */
    CALLER_QUEUED,  /* waits for a connection */
    CALLER_RUNNING, /* an exchange is in flight */
    CALLER_CLOSING, /* writes what is queued, then closes */
};

/* One request of a caller: a Query message, or extended-protocol messages up
   to Sync or Flush. The messages stay in the receive buffer until the request
   is over, so that it can be sent again. */
struct batch {
    size_t bytes;
    bool extended;
    bool ends_with_flush; /* ends with Flush: no ReadyForQuery follows */
    bool executes;        /* an Execute is among the messages */
    bool sent;            /* handed to a socket at least once */
    enum statement_class class;
    bool multiple;
    bool ends_transaction; /* a COMMIT or ROLLBACK is among the statements */
    uint64_t fingerprint;
    char *set_name; /* owned; of a SET */
    char *set_value;
    char *set_text;
    bool set_is_reset;
    GPtrArray *references; /* of struct prepared, one for each P, B, D, C */
    const char *refusal_sqlstate; /* SQLSTATE when the proxy refuses it */
    const char *refusal_message;
    enum counter refusal_counter;
};

/* The parts of an exchange, each ended by ReadyForQuery. */
enum section {
    SECTION_SETTINGS,     /* session settings of the caller; dropped */
    SECTION_STATE_BEFORE, /* the member's state before a read */
    SECTION_BODY,         /* the caller's own messages */
    SECTION_STATE_AFTER,  /* the member's state afterwards */
    SECTION_ROLLBACK,     /* undoes a transaction of the proxy; dropped */
    SECTION_KEY_BEGIN,
    SECTION_KEY_CLAIM, /* stores the request key, or finds it stored */
    SECTION_KEY_STORE, /* stores the answer beside the key */
    SECTION_KEY_COMMIT,
};
#define EXCHANGE_MAX_SECTIONS 9

/* What one forwarded or synthesised extended message will be answered with. */
enum reply_kind {
    REPLY_PARSE,
    REPLY_PARSE_INJECTED, /* the caller does not see this one */
    REPLY_BIND,
    REPLY_DESCRIBE,
    REPLY_EXECUTE,
    REPLY_CLOSE,
    REPLY_PARSE_LOCAL, /* answered by the proxy, in its place in the order */
    REPLY_CLOSE_LOCAL,
};

struct expected_reply {
    enum reply_kind kind;
    struct prepared *statement; /* of a parse; a reference */
};

struct exchange {
    enum section sections[EXCHANGE_MAX_SECTIONS];
    int count;
    int current;
    GArray *expected_replies; /* of struct ack; NULL until the extended
                                 protocol is used */
    guint expected_head;
    bool state_verified;
    bool discarding;  /* the answer is dropped: the request runs elsewhere */
    bool forwarded;   /* a byte of the answer went to the caller */
    bool body_failed; /* the database answered with an error */
    bool body_done;   /* the body's ReadyForQuery arrived */
    char tx_status;   /* from the latest ReadyForQuery of the body */
    char tag[32];     /* last CommandComplete */
    bool keyed;       /* runs in a transaction with its request key */
    bool replay;      /* the key was stored: answer what stands there */
    bool commit_failed;
    bool preempted;          /* cancelled by the proxy, to run again later */
    bool timed_out;          /* given up without a sign of life */
    size_t relay_bytes_left; /* bytes left of a large message being relayed */
    clock_ms silence_deadline; /* without a sign of life until then: silent */
};

struct caller {
    struct front *front;
    int fd;
    ev_io rd;
    ev_io wr;
    GString *in;
    size_t in_used;
    size_t scanned_bytes; /* bytes of the next batch that are whole messages */
    GString *out;
    size_t out_sent;
    enum caller_state state;
    bool skip_to_sync; /* after an error in the extended protocol */
    bool cancel_requested;

    uint32_t pid;
    uint32_t secret;
    int database; /* index into settings */
    int kind;
    struct group *group;
    char *session;
    char *request_key;
    struct token token;
    char reported_token[TOKEN_TEXT_BYTES];
    struct session_settings settings;
    struct session_settings tx_settings; /* SET inside the open transaction */
    GHashTable *statements;              /* name -> struct prepared */
    GHashTable *portals;                 /* name -> struct prepared */

    bool has_connection; /* request has a connection: running or in a
                            transaction */
    struct group_request request;
    struct batch batch;
    struct exchange exchange;
    GString *keyed_answer; /* withheld until the key's commit */
    int attempts;          /* retries of the present request */
    ev_timer backoff;
    bool in_running_list;
    GList running_link;
    char peer[64];
};

/* caller.c */
struct caller *caller_create(struct front *f, int fd, const char *peer);
void caller_close(struct caller *c);
void caller_flush(struct caller *c);
void caller_process_input(struct caller *c);
void caller_close_after_flush(struct caller *c);
struct sview caller_input(const struct caller *c);
void caller_count(struct caller *c, enum counter which);

/* startup.c */
bool startup_process(struct caller *c);
bool startup_apply_setting(struct caller *c, struct sview name,
                           struct sview value, const char **error);
void startup_report_token(struct caller *c);

/* batch.c */
enum frame_status batch_scan(struct caller *c);
void batch_clear(struct batch *b);

/* request.c */
void request_begin(struct caller *c);
void request_continue(struct caller *c);
void request_abandon(struct caller *c);
void request_retry(struct caller *c, enum counter why);
void request_retry_after_backoff(struct caller *c, enum counter why);
void request_end(struct caller *c);
void request_fail(struct caller *c, const char *sqlstate, const char *message,
                  const char *outcome);

/* exchange.c */
void exchange_begin(struct caller *c, struct upstream_conn *u);
void exchange_add_section(struct exchange *e, enum section s);
GString *exchange_output(struct caller *c);
void exchange_continue(struct caller *c);
bool exchange_try_preempt(struct caller *c);
void exchange_check_deadline(struct caller *c, clock_ms now);
extern const struct upstream_conn_ops exchange_ops;

/* keyed.c */
bool keyed_applies(const struct caller *c);
void keyed_begin(struct caller *c, struct upstream_conn *u);
void keyed_handle_claim(struct caller *c, const struct frame *f);
void keyed_handle_commit(struct caller *c, const struct frame *f);
void keyed_after_body(struct caller *c);
bool keyed_finish(struct caller *c);

/* body.c */
void body_write(struct caller *c, struct upstream_conn *u);
bool body_match_reply(struct caller *c, char type);
void body_send_local_replies(struct caller *c);
void body_clear_expected_replies(struct caller *c, struct upstream_conn *u);

#endif

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

/* Internal declarations, shared only by the files of this folder. */

struct front {
    struct ev_loop *loop;
    const struct settings *settings;
    struct group **groups; /* indexed like settings->databases */
    struct statement_cache *statements;
    struct counters counters;
    struct retry_budget budgets[SETTINGS_MAX_DATABASES];
    struct rng rng;
    GHashTable *callers; /* process id -> struct caller */
    GQueue running;      /* callers with a running exchange */
    GQueue lingering;    /* callers that have been sent everything */
    int listen_fd;
    ev_io accept_watcher;
    ev_timer deadline_timer;
    uint32_t next_pid;
    bool draining;
    bool ending; /* requests are not retried any more */
    void (*drained)(void *ctx);
    void *drained_ctx;
    void (*forward_cancel)(void *ctx, uint32_t pid, uint32_t secret);
    void *forward_cancel_ctx;
};

enum caller_state {
    CALLER_STARTUP,
    CALLER_READY,   /* between requests, or idle in a transaction */
    CALLER_BACKOFF, /* waiting for the delay before a retry */
    CALLER_QUEUED,  /* waiting for a connection */
    CALLER_RUNNING, /* running an exchange */
    CALLER_CLOSING, /* closed once the output is written and the caller has
                       closed its side */
};

/* The messages of one request of a caller: a Query message, or
   extended-protocol messages up to Sync or Flush. They stay in the receive
   buffer until the request has ended, so that they can be sent again. Not
   related to batch requests, which are requests of a kind with class=batch
   (admission/admission.h). */
struct message_batch {
    size_t bytes;
    bool extended;
    bool ends_with_flush; /* no ReadyForQuery follows */
    bool executes;        /* contains a Query or an Execute message */
    bool sent;            /* passed to a connection at least once */
    enum statement_class class;
    bool multiple;
    bool ends_transaction; /* contains a COMMIT or ROLLBACK */
    uint64_t fingerprint;
    char *set_name; /* of a SET or SHOW, owned like the next two */
    char *set_value;
    char *set_text;
    bool set_is_reset;
    /* One struct prepared, or NULL, for each Parse and Bind and for each
       Describe and Close of a statement. */
    GPtrArray *prepared_refs;
    const char *refusal_sqlstate; /* NULL unless the proxy refuses the batch */
    const char *refusal_message;
    enum counter refusal_counter;
};

/* The sections of an exchange. The member ends each of them with
   ReadyForQuery. Only the answer to the body is forwarded to the caller. */
enum section {
    SECTION_SETTINGS,     /* applies the session settings of the caller */
    SECTION_LEASE_LIMIT,  /* limits the statement to the time of a lease */
    SECTION_STATE_BEFORE, /* queries the member's state before a read */
    SECTION_BODY,         /* the caller's own messages */
    SECTION_STATE_AFTER,  /* queries the member's state after the body */
    SECTION_ROLLBACK,     /* rolls back a transaction that must not commit */
    SECTION_KEY_BEGIN,
    SECTION_KEY_CLAIM, /* stores the request key, fails if it exists */
    SECTION_KEY_STORE, /* stores the answer with the key */
    SECTION_KEY_COMMIT,
};
#define EXCHANGE_MAX_SECTIONS 9

/* The expected reply to an extended-protocol message, in order. The message is
   the caller's or was added by the proxy. */
enum reply_kind {
    REPLY_PARSE,
    REPLY_PARSE_INJECTED, /* added by the proxy, reply not forwarded */
    REPLY_BIND,
    REPLY_DESCRIBE,
    REPLY_EXECUTE,
    REPLY_CLOSE,
    REPLY_PARSE_LOCAL, /* answered by the proxy itself */
    REPLY_CLOSE_LOCAL,
};

struct expected_reply {
    enum reply_kind kind;
    struct prepared *statement; /* owned reference, may be NULL */
};

/* The state of one request on a connection: the sections sent to the member
   and the progress of its answer. */
struct exchange {
    enum section sections[EXCHANGE_MAX_SECTIONS];
    int count;
    int current;
    GArray *expected_replies; /* of struct expected_reply; may be NULL */
    guint expected_head;
    bool discarding;   /* drop the answer; the request will run elsewhere */
    bool forwarded;    /* part of the answer was sent to the caller */
    bool body_failed;  /* the database returned an error */
    bool body_done;    /* the ReadyForQuery of the body has arrived */
    bool awaits_more;  /* the body so far ends with Flush */
    bool body_pending; /* to be sent once the settings are accepted */
    char rejection[6]; /* SQLSTATE of a rejected setting, or empty */
    char rejection_message[160];
    char tx_status; /* from the last ReadyForQuery of the body */
    char tag[32];   /* from the last CommandComplete */
    bool keyed;     /* runs in a transaction with its request key */
    bool replay;    /* the key exists: send the stored answer */
    bool commit_failed;
    bool preempted;            /* cancelled by the proxy, to be run again */
    bool timed_out;            /* aborted because silence_deadline passed */
    size_t relay_bytes_left;   /* rest of a message relayed in pieces */
    clock_ms silence_deadline; /* extended whenever the member sends data */
};

struct caller {
    struct front *front;
    int fd;
    ev_io read_watcher;
    ev_io write_watcher;
    GString *in;
    size_t in_consumed;
    size_t scanned_bytes; /* input scanned for the incomplete message batch */
    GString *out;
    size_t out_sent;
    enum caller_state state;
    bool skip_to_sync;    /* after an error in the extended protocol */
    bool refused_unheard; /* closing, but its first packet may be a cancel
                             request */
    bool cancel_requested;

    uint32_t pid;
    uint32_t secret;
    int database; /* index into settings->databases */
    int kind;     /* index into settings->kinds */
    struct group *group;
    char *session;
    char *request_key;
    struct token token;
    char reported_token[TOKEN_TEXT_BYTES];
    struct session_settings settings;
    struct session_settings tx_settings; /* set in the open transaction */
    GHashTable *statements;              /* name -> struct prepared */
    GHashTable *portals;                 /* name -> struct prepared */

    bool has_connection; /* running or in a transaction */
    struct group_request request;
    struct message_batch message_batch;
    struct exchange exchange;
    GString *keyed_answer; /* held back until the key is committed */
    int attempts;          /* retries of the current request */
    ev_timer backoff;
    bool in_running_list;
    GList running_link;
    clock_ms lingering_since; /* 0 unless in front.lingering */
    GList lingering_link;
    char remote_address[64]; /* "HOST:PORT", for log lines */
};

/* caller.c */
struct caller *caller_create(struct front *f, int fd,
                             const char *remote_address);
void caller_close(struct caller *c);
void caller_flush(struct caller *c);
void caller_process_input(struct caller *c);
void caller_close_after_flush(struct caller *c);
void caller_close_if_drained(struct caller *c);
struct sview caller_input(const struct caller *c);
void caller_count(struct caller *c, enum counter which);

/* startup.c */
bool startup_process(struct caller *c);
void startup_process_refused(struct caller *c);
bool startup_apply_setting(struct caller *c, struct sview name,
                           struct sview value, const char **error);
void startup_report_token(struct caller *c);

/* message_batch.c */
enum frame_status message_batch_scan(struct caller *c);
void message_batch_clear(struct message_batch *b);

/* request.c */
void request_begin(struct caller *c);
bool request_may_continue(const struct caller *c);
bool request_continue(struct caller *c);
void request_abandon(struct caller *c);
void request_retry(struct caller *c, enum counter why);
void request_retry_after_backoff(struct caller *c, enum counter why);
void request_end(struct caller *c);
void request_close_if_draining(struct caller *c);
void request_fail(struct caller *c, const char *sqlstate, const char *message,
                  const char *outcome);

/* exchange_send.c */
void exchange_begin(struct caller *c, struct upstream_conn *u);
void exchange_add_section(struct exchange *e, enum section s);
bool exchange_needs_state_before(enum statement_class class);
void exchange_send_pending(struct caller *c);
void exchange_continue(struct caller *c);

/* exchange.c */
GString *exchange_output(struct caller *c);
bool exchange_takes_more(const struct caller *c);
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

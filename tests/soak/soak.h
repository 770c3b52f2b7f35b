#ifndef TESTS_SOAK_H
#define TESTS_SOAK_H

#include "base/clock.h"
#include "base/rng.h"
#include "base/stream.h"
#include "session/token.h"

#include <ev.h>
#include <glib.h>

/* Soak test of real galenastep-platform processes on loopback. One event loop
   runs stand-ins for the platform's store and for the members of one database
   group, the fault proxies between them and the proxy processes, and the
   callers. Faults are injected into the processes by signals and into their
   connections by the fault proxies. */

#define SOAK_PROXIES 4
#define SOAK_MEMBERS 3
/* Name of the database group, which settings and logs call a service. */
#define SOAK_SERVICE "svc1"
/* The settings of --accounts. */
#define SOAK_REVOCATION_MS 5000
#define SOAK_RATE_WINDOW_MS 5000
#define SOAK_RATE_EXCESS 0.1
#define SOAK_RATE_SLACK 20
/* Of the processes, after SIGTERM. */
#define SOAK_GRACE_MS 3000

struct soak;

/* Prints a VIOLATION line for a broken guarantee and counts it; a violation
   makes the run fail. */
void soak_violation(struct soak *s, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* A TCP proxy on loopback that forwards its connections to another address and
   injects faults. FAULT_SILENT drops the bytes of both directions,
   FAULT_ONE_WAY only those sent back to the client; FAULT_REFUSE resets new
   connections; FAULT_HOLD keeps the bytes of the client until the fault ends,
   or drops them if the client closes the connection before. */
struct fault_proxy;
enum fault {
    FAULT_NONE,
    FAULT_SILENT,
    FAULT_ONE_WAY,
    FAULT_REFUSE,
    FAULT_HOLD
};
struct fault_proxy *fault_proxy_create(struct ev_loop *loop, const char *host,
                                       uint16_t port, const char *to_host,
                                       uint16_t to_port);
void fault_proxy_destroy(struct fault_proxy *p);
void fault_proxy_set_fault(struct fault_proxy *p, enum fault f);
/* Sets a callback for the first bytes that FAULT_HOLD keeps. */
void fault_proxy_on_held(struct fault_proxy *p, void (*held)(void *ctx),
                         void *ctx);
void fault_proxy_silence_connections(struct fault_proxy *p);
void fault_proxy_close_connections(struct fault_proxy *p);

/* Takes a promotion order. Returns the HTTP status of the answer, or 0 if the
   answer is lost. */
typedef int (*standin_promotion_fn)(struct soak *s, const char *holder,
                                    const char *id, uint64_t fence);

/* Stand-in for the HTTP store and the API that takes promotion orders. A value
   of NULL deletes the row. */
struct standin_store;
struct standin_store *standin_store_create(struct soak *s,
                                           struct ev_loop *loop,
                                           const char *host, uint16_t port,
                                           standin_promotion_fn on_promotion);
void standin_store_destroy(struct standin_store *st);
void standin_store_put(struct standin_store *st, const char *table,
                       const char *key, const char *value);
void standin_store_set_down(struct standin_store *st, bool down);
void standin_store_set_silent(struct standin_store *st, bool silent);
void standin_store_lose_answers(struct standin_store *st, bool lose_answers);
void standin_store_discard_history(struct standin_store *st);
void standin_store_restore(struct standin_store *st, clock_ms age_ms);

/* Accounts of --accounts: the keys of the callers, the operator's changes of
   keys and limits, and the checks of what runs under which account. */
struct accounts;
struct accounts *accounts_create(struct soak *s, uint64_t seed, int callers);
void accounts_destroy(struct accounts *a);
void accounts_change(struct accounts *a);
void accounts_keep_keys(struct accounts *a, clock_ms for_ms);
void accounts_withdraw(struct accounts *a, bool whole_account);
void accounts_return_keys(struct accounts *a);
void accounts_change_rate(struct accounts *a);
void accounts_settle(struct accounts *a);
void accounts_append(const struct accounts *a, GString *config);
void accounts_acknowledged(struct accounts *a);
const char *accounts_key(struct accounts *a, int caller, guint *number);
bool accounts_key_changed(struct accounts *a, int caller, guint number);
void accounts_sent(struct accounts *a, const char *id, guint number);
void accounts_served(struct accounts *a, int caller);
void accounts_refused(struct accounts *a, guint number, clock_ms sent_at);
void accounts_check_statement(struct accounts *a, const char *account,
                              const char *id);
void accounts_count_operation(struct accounts *a, const char *account);
void accounts_check_progress(struct accounts *a, clock_ms since);
void accounts_check_log(struct accounts *a, const char *path);
void accounts_report(const struct accounts *a);

/* Stand-in for the members of the database group, with their line protocol. It
   shares nothing with fakes/group.h, which models groups that speak the
   PostgreSQL protocol. A write sets an item to a number; the numbers of an
   item rise with each write. */
struct standin_group;
struct standin_group *standin_group_create(struct soak *s,
                                           struct ev_loop *loop,
                                           struct rng *rng,
                                           guint max_connections);
void standin_group_destroy(struct standin_group *g);
void standin_group_set_accounts(struct standin_group *g, struct accounts *a);
uint16_t standin_group_port(int member);
int standin_group_primary(const struct standin_group *g);
bool standin_group_promote(struct standin_group *g, int member,
                           uint64_t fence);
void standin_group_set_mode(struct standin_group *g,
                            int64_t promotion_delay_ms, bool synchronous);
void standin_group_set_down(struct standin_group *g, int member, bool down);
void standin_group_set_lag(struct standin_group *g, int member,
                           int64_t lag_ms);
void standin_group_set_execution(struct standin_group *g, int64_t max_ms);
void standin_group_lose_answers(struct standin_group *g, int member,
                                int percent);
const char *standin_group_role(const struct standin_group *g, int member);
/* Returns how many entries of the current primary's log hold this write. */
int standin_group_count_write(const struct standin_group *g, const char *item,
                              uint64_t number);
/* Returns true if a member has begun to execute the statement with this ID. */
bool standin_group_has_begun(const struct standin_group *g, const char *id);
bool standin_group_has_discarded(const struct standin_group *g,
                                 const char *item, uint64_t number);
/* Called when the role of a member has changed, so that the directory's
   entries must be rewritten. */
extern void (*standin_group_on_role_change)(struct soak *s);

/* Requests whose connections end, or that are given up, before they are
   answered, or outside state I. state is that of the last READY, or 0 during
   STARTUP. */
struct unanswered;
struct unanswered_request {
    int proxy;
    const char *id;
    const char *text;
    char state;
    bool refused; /* an error without READY goes before the end */
    clock_ms sent_at;
};
struct unanswered *unanswered_create(struct soak *s, struct standin_group *g);
void unanswered_destroy(struct unanswered *u);
void unanswered_signalled(struct unanswered *u, int proxy, int signal);
void unanswered_process_ended(struct unanswered *u, int proxy);
void unanswered_closed(struct unanswered *u,
                       const struct unanswered_request *r);
void unanswered_closed_in_transaction(struct unanswered *u,
                                      const struct unanswered_request *r);
void unanswered_given_up(struct unanswered *u,
                         const struct unanswered_request *r);
void unanswered_check(const struct unanswered *u);
void unanswered_report(const struct unanswered *u);

/* Planned work of --withdrawals, in series that overlap. */
enum withdrawal_kind {
    WITHDRAW_KEY,
    WITHDRAW_ACCOUNT, /* all keys of one account */
    RETURN_KEYS,      /* under new numbers */
    CHANGE_RATE,
    CHANGE_ROUTES,
    TOGGLE_ROUTE, /* that callers use */
    MOVE_ROUTE,   /* to another service, and back */
    CHANGE_CONNECTIONS,
    RELOAD,
    STOP,
    WITHDRAWAL_KINDS
};
struct withdrawals;
struct withdrawals *withdrawals_create(uint64_t seed);
void withdrawals_destroy(struct withdrawals *w);
bool withdrawals_next(struct withdrawals *w, enum withdrawal_kind *kind);

/* Callers that read and write through the proxies and check the answers. Each
   has one item that no other caller writes. */
struct callers;
struct callers *callers_create(struct soak *s, struct ev_loop *loop,
                               struct standin_group *g, struct unanswered *u,
                               uint64_t seed, int count);
/* No acknowledged write may be lost: commits are synchronous. */
void callers_expect_synchronous(struct callers *all);
void callers_use_accounts(struct callers *all, struct accounts *a);
/* Most operations are transactions with several statements and pauses. */
void callers_use_long_transactions(struct callers *all);
void callers_destroy(struct callers *all);
void callers_stop(struct callers *all);
void callers_check(struct callers *all);
void callers_report(const struct callers *all);
long callers_succeeded(const struct callers *all);

/* The operator: adds and removes databases, and checks that every process
   serves or refuses them in time. The calls of operator_change_routes(),
   operator_append_routes() and operator_acknowledged() make up a change. */
struct soak_operator;
struct soak_operator *operator_create(struct soak *s, struct ev_loop *loop,
                                      uint64_t seed);
/* Added databases need no key. */
void operator_make_routes_public(struct soak_operator *o);
void operator_destroy(struct soak_operator *o);
void operator_change_routes(struct soak_operator *o);
void operator_append_routes(const struct soak_operator *o, GString *routes);
void operator_acknowledged(struct soak_operator *o);
void operator_disturbed(struct soak_operator *o, int proxy);
void operator_process_ended(struct soak_operator *o, int proxy);
long operator_answers(const struct soak_operator *o);

/* Addresses of this run. Each run takes a network 127.N, so that several soaks
   can run in parallel. The returned strings are static. */
const char *soak_host(void);
const char *soak_proxy_host(int proxy);
uint16_t soak_proxy_port(void);

#endif

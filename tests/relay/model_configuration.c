#include "base/rng.h"
#include "relay/session_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A model of one proxy whose configuration changes every few milliseconds
   while callers use it. Callers, members, the witness of the rate limits and
   the time are simulated; sessions, queues and connections are those of
   src/relay.

     model_configuration SEED

   Each change withdraws a key, gives it back, moves it to another account,
   removes an account or all of them, changes the limits, or removes a route,
   moves it to another service or makes it public. At times the configuration
   is not recent enough to rely on its keys. Members refuse some statements,
   lose some answers and some connections, and do not answer some statements at
   all. Replicas go and come back, the primary is changed, and the proxy loses
   its lease. Some callers leave, also in the middle of a request. The last
   second is a shutdown.

   Guards against a request without an answer or with two, an untrue answer,
   and a statement that its key does not allow. Fails if
   * a request has no answer one tick after its deadline or after the time at
     which a shutdown answers all, or a second answer;
   * a request that no member can be executing is not answered within two ticks
     although its key is withdrawn;
   * an answer does not fit the state of the session, or ROLLBACK or COMMIT of
     a failed transaction is refused;
   * a request is refused for its key or its database although the newest
     configuration has them, or for a limit of an account that it has lost;
   * a statement or BEGIN is sent although its key is not valid, or on a
     connection of another account or service, or of another transaction;
   * a write is kept of which an answer has said that it is not, or a statement
     is executed of which an answer has said that it was not;
   * a request, a connection or a permit is still in use when all sessions have
     ended. */

#define CALLERS 16
#define KEYS 6
#define ACCOUNTS 3
#define DATABASES 2
#define SERVICES 2
#define MEMBERS 3
#define LINKS_MAX 400
#define PENDING_MAX 16
#define REQUESTS_MAX 200000
#define REPLIES_MAX 64
#define TICK_MS 25
#define WITHDRAWN_MS 50 /* two ticks */
#define TIMEOUT_MS 800
#define RUN_MS 30000
#define SHUTDOWN_MS 1000
#define ANSWER_ALL_MS 700
#define SETTLE_MS 3000
#define NOT_LISTED (-1)

/* A caller's request, and what has become of it. */
struct request_record {
    int operation; /* index of the first request of its operation */
    int caller;
    enum verb verb;
    bool ran;
    bool denied; /* answered as not run, for lack of a valid key */
    /* Of the operation; set in its first request. */
    bool promised; /* that nothing of it is kept */
    int commits;
};

/* A request that a member has not answered yet. */
struct pending {
    enum verb verb;
    int record; /* -1: the proxy's own */
    bool writes;
    clock_ms answer_at; /* 0: never */
    enum failure failure;
};

struct member_link {
    bool used;
    int service;
    bool replica;
    char account[16];
    const struct member_link_events *events;
    void *ctx;
    clock_ms open_at; /* while it is being opened */
    bool refuse;
    struct pending pending[PENDING_MAX];
    int pending_count;
    enum transaction_state transaction;
    int operation; /* of the transaction */
    bool wrote;
};

struct caller {
    struct session *session;
    int index;
    int key;
    int database;
    bool waiting; /* for an answer */
    clock_ms arrived_at;
    clock_ms withdrawn_at; /* the key does not allow the request; 0: it does */
    clock_ms next_at;
    enum transaction_state state;
    int operation;
    int service;     /* of the operation */
    bool was_public; /* route of the operation */
    bool reads;      /* the transaction is read-only */
    int statements;  /* left in the transaction */
    struct request request;
    int record;
    bool writes;
    char id[16];
};

struct reply {
    clock_ms at; /* 0: unused */
    struct limit_request to;
};

static struct {
    uint64_t seed;
    clock_ms now;
    struct rng rng;
    struct catalog *catalog;
    int key_account[KEYS]; /* or NOT_LISTED */
    bool account_exists[ACCOUNTS];
    bool has_accounts;
    bool stale; /* keys cannot be relied on */
    bool no_lease;
    uint64_t epoch[SERVICES];
    bool changing[SERVICES]; /* of the primary */
    clock_ms answer_all_at;  /* 0 before the shutdown */
    bool route_exists[DATABASES];
    bool route_public[DATABASES];
    int route_service[DATABASES];
    int64_t rate_milli_per_s;
    struct service *services[SERVICES];
    struct relay *relay;
    struct rate_client *rate_client;
    struct member_link links[LINKS_MAX];
    struct caller callers[CALLERS];
    struct reply replies[REPLIES_MAX];
    struct request_record *records;
    int record_count;
    bool stopping; /* no more requests */
    int depth;     /* of requests made within an answer */
    int answers[FAILURE_UNKNOWN_OUTCOME + 1];
    int changes;
    int violations;
} model;

static const char *const service_names[SERVICES] = {"db0", "db1"};
static const char *const database_names[DATABASES] = {"boats", "docks"};
static const char *const account_names[ACCOUNTS] = {"cedar", "oak", "pine"};

static uint64_t
draw(uint64_t bound)
{
    return rng_below(&model.rng, bound);
}

static void
fail(const char *what, int record)
{
    model.violations++;
    if (model.violations > 10) {
        return;
    }
    const struct request_record *r =
        record >= 0 ? &model.records[record] : NULL;
    printf("seed=%llu at=%lld request=%d verb=%d caller=%d: %s\n",
           (unsigned long long)model.seed, (long long)model.now, record,
           r != NULL ? (int)r->verb : -1, r != NULL ? r->caller : -1, what);
}

static bool
begins_transaction(enum verb v)
{
    return v == VERB_BEGIN || v == VERB_BEGIN_READ;
}

static struct request_record *
operation_of(int record)
{
    return &model.records[model.records[record].operation];
}

/* Returns the account that holds a key, or NULL. */
static const char *
account_of_key(int key)
{
    const int a = model.key_account[key];

    return model.has_accounts && a != NOT_LISTED && model.account_exists[a]
               ? account_names[a]
               : NULL;
}

/* Returns true if the route of a caller's operation needs no key. A route that
   has been removed is taken as it was. */
static bool
is_public(const struct caller *c)
{
    return model.route_exists[c->database] ? model.route_public[c->database]
                                           : c->was_public;
}

static bool
is_allowed(const struct caller *c)
{
    const char *account = account_of_key(c->key);
    const char *fixed = c->session->account_name;

    return !model.has_accounts ? true
           : account == NULL   ? is_public(c)
                               : fixed == NULL || strcmp(account, fixed) == 0;
}

/* Configurations. */

static void
add_routes(struct catalog *c)
{
    for (int i = 0; i < DATABASES; i++) {
        if (!model.route_exists[i]) {
            continue;
        }
        struct database_route *r = g_new0(struct database_route, 1);
        r->database = g_strdup(database_names[i]);
        r->service = g_strdup(service_names[model.route_service[i]]);
        r->freshness = i == 0 ? FRESHNESS_PRIMARY : FRESHNESS_BOUNDED;
        r->max_staleness_ms = 1500;
        r->statement_timeout_ms = TIMEOUT_MS;
        r->target_ms = 120;
        r->priority = 1;
        r->is_public = model.route_public[i];
        catalog_add_route(c, r);
    }
}

static void
add_accounts(struct catalog *c)
{
    c->has_accounts = model.has_accounts;
    for (int i = 0; i < ACCOUNTS; i++) {
        if (!model.has_accounts || !model.account_exists[i]) {
            continue;
        }
        struct account *a = g_new0(struct account, 1);
        a->name = g_strdup(account_names[i]);
        a->priority = (int)draw(2);
        a->rate_milli_per_s = model.rate_milli_per_s;
        a->burst_milli = model.rate_milli_per_s;
        catalog_add_account(c, a);
    }
    for (int i = 0; i < KEYS; i++) {
        if (account_of_key(i) != NULL) {
            const char text[] = {'k', (char)('0' + i), '\0'};
            const struct account_key key = account_key_of(sview_from(text));
            catalog_add_key(c, &key, account_of_key(i));
        }
    }
}

/* Sets since when the key of a caller does not allow its request. */
static void
update_withdrawn(struct caller *c)
{
    if (!c->waiting || is_allowed(c)) {
        c->withdrawn_at = 0;
    }
    else if (c->withdrawn_at == 0) {
        c->withdrawn_at = model.now;
    }
}

static void
set_connection_limits(void)
{
    const struct fleet_share share = {
        .max_connections = 40, .proxies = 4, .accounts = model.has_accounts};
    const struct connection_limits few = {
        .working = 2, .total = 3, .accounts = model.has_accounts};
    const struct connection_limits on_demand =
        connection_limits_in_fleet(&share);

    for (int i = 0; i < SERVICES; i++) {
        service_set_connection_limits(model.services[i],
                                      model.seed % 2 == 0 ? &few : &on_demand);
    }
}

/* Puts a new version in force. */
static void
apply_configuration(void)
{
    struct catalog *c = catalog_create((uint64_t)++model.changes);

    c->transaction_idle_ms = 400;
    add_routes(c);
    add_accounts(c);
    if (model.catalog != NULL) {
        catalog_unref(model.catalog);
    }
    model.catalog = c;
    for (int i = 0; i < CALLERS; i++) {
        if (model.callers[i].session != NULL) {
            update_withdrawn(&model.callers[i]);
        }
    }
    rate_client_forget_refusals(model.rate_client);
    set_connection_limits();
    relay_configuration_changed(model.relay);
}

/* Gives all keys back, and adds the accounts and routes that were removed. */
static void
restore_configuration(void)
{
    model.has_accounts = true;
    for (int i = 0; i < KEYS; i++) {
        model.key_account[i] = i % ACCOUNTS;
    }
    for (int i = 0; i < ACCOUNTS; i++) {
        model.account_exists[i] = true;
    }
    for (int i = 0; i < DATABASES; i++) {
        model.route_exists[i] = true;
    }
}

static void
change_configuration(void)
{
    const int key = (int)draw(KEYS);
    const int account = (int)draw(ACCOUNTS);
    const int route = (int)draw(DATABASES);

    switch (draw(20)) {
    case 0:
    case 1:
    case 2:
    case 3:
        model.key_account[key] = NOT_LISTED;
        break;
    case 4:
    case 5:
        model.key_account[key] = account;
        break;
    case 6:
    case 7:
        model.account_exists[account] = false;
        break;
    case 8:
        model.has_accounts = false;
        break;
    case 9:
    case 10:
        model.route_exists[route] = false;
        break;
    case 11:
    case 12:
        model.route_service[route] = (int)draw(SERVICES);
        break;
    case 13:
    case 14:
        model.route_public[route] = draw(3) == 0;
        break;
    case 15:
        model.rate_milli_per_s = 1000 * (int64_t)draw(100);
        break;
    default:
        restore_configuration();
        break;
    }
    apply_configuration();
}

/* Members. */

static struct member_link *
open_link(void *codec_ctx, const struct member_entry *e, const char *account,
          const struct member_link_events *events, void *ctx)
{
    (void)codec_ctx;
    for (int i = 0; i < LINKS_MAX; i++) {
        struct member_link *l = &model.links[i];
        if (l->used) {
            continue;
        }
        *l = (struct member_link){
            .used = true,
            .service = e->service[2] - '0',
            .replica = strcmp(e->id, "m1") != 0,
            .events = events,
            .ctx = ctx,
            .open_at = model.now + 2 + (int64_t)draw(draw(10) == 0 ? 500 : 15),
            .refuse = draw(30) == 0,
        };
        g_strlcpy(l->account, account != NULL ? account : "-",
                  sizeof(l->account));
        return l;
    }
    fprintf(stderr, "out of links\n");
    exit(2);
}

/* Checks that a caller's request may be sent on a connection now. */
static void
check_sent(const struct member_link *l, int record)
{
    const struct caller *c = &model.callers[model.records[record].caller];
    const char *account = account_of_key(c->key);
    const bool in_transaction = l->transaction == TRANSACTION_OPEN;

    if (!c->waiting || operation_of(record) != &model.records[c->operation]) {
        fail("sent for no request in progress", record);
        return;
    }
    if (!is_allowed(c) || (model.stale && !is_public(c))) {
        fail("sent without a valid key", record);
    }
    if (model.stale) {
        account = NULL; /* on a public route */
    }
    if (strcmp(l->account, account != NULL ? account : "-") != 0 &&
        !(in_transaction && strcmp(l->account, "-") == 0)) {
        fail("sent on a connection of another account", record);
    }
    if (l->service != c->service) {
        fail("sent to another service", record);
    }
    if (in_transaction != (c->state == TRANSACTION_OPEN &&
                           !begins_transaction(model.records[record].verb)) ||
        (in_transaction && l->operation != c->operation)) {
        fail("sent outside its transaction", record);
    }
}

static void
send_link(struct member_link *l, const struct request *r,
          const struct token *min_position)
{
    struct pending *p = &l->pending[l->pending_count++];
    const uint64_t fate = draw(100);

    if (l->pending_count > PENDING_MAX) {
        fprintf(stderr, "too many requests on a connection\n");
        exit(2);
    }
    *p = (struct pending){
        .verb = r->verb,
        .record = r->id.n > 1 ? atoi(r->id.p + 1) : -1,
        .answer_at = model.now + 2 + (int64_t)draw(draw(8) == 0 ? 400 : 20),
    };
    if (p->record >= 0) {
        check_sent(l, p->record);
        p->writes = model.callers[model.records[p->record].caller].writes &&
                    verb_runs_at_member(r->verb);
    }
    if (l->replica && (p->writes || r->verb == VERB_BEGIN)) {
        fail("write sent to a replica", p->record);
    }
    if (fate == 0) {
        p->answer_at = 0;
    }
    else if (min_position != NULL && fate < 20) {
        p->failure = FAILURE_LAGGING;
    }
    else if (fate < 8 && r->verb != VERB_ROLLBACK) {
        p->failure = FAILURE_BUSY;
    }
    else if (fate < 11 && p->record >= 0 && verb_runs_at_member(r->verb)) {
        p->failure = FAILURE_STATEMENT_FAILED;
    }
}

static void
keep_write(int record)
{
    struct request_record *o = operation_of(record);

    o->commits++;
    if (o->promised) {
        fail("kept although an answer has promised the contrary", record);
    }
    if (o->commits > 1) {
        fail("kept twice", record);
    }
}

/* Executes a request at the member. */
static void
run_request(struct member_link *l, const struct pending *p)
{
    const bool in_transaction = l->transaction == TRANSACTION_OPEN;

    if (failure_means_not_run(p->failure)) {
        return;
    }
    if (p->record >= 0 && verb_runs_at_member(p->verb)) {
        struct request_record *r = &model.records[p->record];
        r->ran = true;
        if (r->denied) {
            fail("executed although it was denied", p->record);
        }
    }
    if (p->failure != FAILURE_NONE) {
        l->transaction = in_transaction && p->verb != VERB_COMMIT
                             ? TRANSACTION_FAILED
                             : TRANSACTION_NONE;
        return;
    }
    switch (p->verb) {
    case VERB_BEGIN:
    case VERB_BEGIN_READ:
        l->transaction = TRANSACTION_OPEN;
        l->operation = model.records[p->record].operation;
        l->wrote = false;
        break;
    case VERB_COMMIT:
        if (in_transaction && l->wrote) {
            keep_write(p->record);
        }
        l->transaction = TRANSACTION_NONE;
        break;
    case VERB_ROLLBACK:
        l->transaction = TRANSACTION_NONE;
        break;
    default:
        if (p->writes && in_transaction) {
            l->wrote = true;
        }
        else if (p->writes) {
            keep_write(p->record);
        }
    }
}

/* A request that was sent may be executed although the connection is closed.
 */
static void
close_link(struct member_link *l)
{
    if (l->pending_count > 0 && draw(2) == 0) {
        run_request(l, &l->pending[0]);
    }
    l->used = false;
}

static const struct member_codec codec = {
    .open = open_link, .send = send_link, .close = close_link};

static void
answer_request(struct member_link *l)
{
    const struct pending p = l->pending[0];
    struct answer a = {
        .failure = p.failure,
        .position = {.term = 1, .position = 1, .known = true},
    };
    char signature[16];

    run_request(l, &p);
    l->pending_count--;
    memmove(&l->pending[0], &l->pending[1],
            sizeof(l->pending[0]) * (size_t)l->pending_count);
    if (draw(60) == 0) {
        l->events->closed(l->ctx, "answer lost");
        return;
    }
    g_snprintf(signature, sizeof(signature), "r%d", p.record);
    a.signature = sview_from(signature);
    a.state = l->transaction;
    l->events->answered(l->ctx, &a);
}

static void
run_link(struct member_link *l)
{
    const struct token position = {.term = 1, .position = 1, .known = true};

    if (l->open_at != 0) {
        if (l->open_at > model.now) {
            return;
        }
        l->open_at = 0;
        if (l->refuse) {
            l->events->refused(l->ctx, FAILURE_CONNECTION_LIMIT);
            return;
        }
        l->events->opened(l->ctx, &position);
        return;
    }
    if (l->pending_count > 0 && l->pending[0].answer_at != 0 &&
        l->pending[0].answer_at <= model.now) {
        answer_request(l);
        return;
    }
    if (draw(4000) == 0) {
        l->events->closed(l->ctx, "reset");
    }
}

static void
set_members(int service, int n)
{
    struct member_entry members[MEMBERS] = {0};

    for (int k = 0; k < n; k++) {
        g_snprintf(members[k].id, sizeof(members[k].id), "m%d", k + 1);
        g_strlcpy(members[k].service, service_names[service],
                  sizeof(members[k].service));
        g_strlcpy(members[k].failure_domain, k == 0 ? "a" : "b",
                  sizeof(members[k].failure_domain));
        members[k].slots = 2;
    }
    service_set_members(model.services[service], members, (size_t)n,
                        model.now);
}

/* Begins or ends a change of the primary, after which it is the same. */
static void
change_primary(int service)
{
    model.changing[service] =
        model.epoch[service] > 0 && !model.changing[service];
    service_set_primary(model.services[service], ++model.epoch[service], "m1",
                        model.changing[service], model.now);
}

/* The witness. */

static void
send_ask(void *ctx, const char *witness, const struct limit_request *q)
{
    (void)ctx;
    (void)witness;
    if (draw(20) == 0) {
        return; /* lost */
    }
    for (int i = 0; i < REPLIES_MAX; i++) {
        if (model.replies[i].at == 0) {
            model.replies[i] = (struct reply){
                .at = model.now + 1 + (int64_t)draw(20), .to = *q};
            return;
        }
    }
}

static bool
has_account(uint64_t hash)
{
    for (int i = 0; i < ACCOUNTS; i++) {
        if (model.account_exists[i] &&
            limit_account_hash(account_names[i]) == hash) {
            return true;
        }
    }
    return false;
}

static void
reply_to_ask(const struct limit_request *q)
{
    struct limit_reply r = {.from = "w",
                            .incarnation = q->incarnation,
                            .id = q->id,
                            .count = q->count};

    for (int i = 0; i < r.count; i++) {
        const bool known = has_account(q->items[i].account);
        const bool none = draw(10) == 0;
        r.items[i].account = q->items[i].account;
        r.items[i].granted = known && !none ? q->items[i].wanted : 0;
        r.items[i].next_ms = known ? 1 + (uint32_t)draw(100) : 0;
    }
    rate_client_receive(model.rate_client, &r);
}

static void
run_witness(void)
{
    for (int i = 0; i < REPLIES_MAX; i++) {
        if (model.replies[i].at != 0 && model.replies[i].at <= model.now) {
            model.replies[i].at = 0;
            reply_to_ask(&model.replies[i].to);
        }
    }
    if (model.now >= rate_client_next_tick(model.rate_client)) {
        rate_client_tick(model.rate_client);
    }
    rate_client_flush(model.rate_client);
}

/* Callers. */

static void make_request(struct caller *c);

static bool
is_promise(enum failure f)
{
    return f == FAILURE_BUSY || f == FAILURE_ABORTED || f == FAILURE_LAGGING ||
           f == FAILURE_READ_ONLY || f == FAILURE_UNAUTHORIZED ||
           f == FAILURE_NO_STATEMENT || f == FAILURE_NO_DATABASE ||
           f == FAILURE_MALFORMED;
}

/* Returns true if an answer is that of a rate limit. */
static bool
is_limited(const struct answer *a)
{
    static const char *const details[] = {"rate_limited", "limit_unknown"};

    for (size_t i = 0; i < G_N_ELEMENTS(details); i++) {
        if (a->detail.n == strlen(details[i]) &&
            memcmp(a->detail.p, details[i], a->detail.n) == 0) {
            return true;
        }
    }
    return false;
}

/* Checks an answer in a failed transaction. */
static void
check_failed_transaction(const struct caller *c, const struct answer *a)
{
    const enum verb v = c->request.verb;

    if (v == VERB_ROLLBACK &&
        (a->failure != FAILURE_NONE || a->state != TRANSACTION_NONE)) {
        fail("ROLLBACK of a failed transaction refused", c->record);
    }
    if (v == VERB_COMMIT &&
        (a->failure != FAILURE_ABORTED || a->state != TRANSACTION_NONE)) {
        fail("COMMIT of a failed transaction not aborted", c->record);
    }
    if (v != VERB_ROLLBACK && v != VERB_COMMIT &&
        (a->failure == FAILURE_NONE || a->state != TRANSACTION_FAILED)) {
        fail("executed in a failed transaction", c->record);
    }
}

/* Checks whether an answer fits the request and what has become of it. */
static void
check_answer(const struct caller *c, const struct answer *a)
{
    const enum verb v = c->request.verb;
    struct request_record *r = &model.records[c->record];
    const bool ok = a->failure == FAILURE_NONE;
    const bool single = c->state == TRANSACTION_NONE;

    if (c->state == TRANSACTION_FAILED) {
        check_failed_transaction(c, a);
    }
    else if (ok && verb_runs_at_member(v) &&
             (!r->ran || a->signature.n != strlen(c->id) ||
              memcmp(a->signature.p, c->id, a->signature.n) != 0)) {
        fail("success without the member's answer", c->record);
    }
    const bool begins = begins_transaction(v) && ok;
    const bool ends = v == VERB_COMMIT || v == VERB_ROLLBACK;
    if (c->state == TRANSACTION_OPEN && !ends &&
        a->state != (ok ? TRANSACTION_OPEN : TRANSACTION_FAILED) &&
        !(ok && a->state == TRANSACTION_FAILED)) {
        fail("statement has ended its transaction", c->record);
    }
    if (a->state != TRANSACTION_NONE && (ends || (single && !begins))) {
        fail("transaction that has not begun or has ended", c->record);
    }
    if (session_is_idle(c->session) != (a->state == TRANSACTION_NONE)) {
        fail("session not ready for the next request", c->record);
    }
    if (a->failure == FAILURE_UNAUTHORIZED && r->ran) {
        fail("denied although it was executed", c->record);
    }
    if (a->failure == FAILURE_UNAUTHORIZED && is_allowed(c)) {
        fail("denied although the key is valid", c->record);
    }
    if (a->failure == FAILURE_NO_DATABASE && model.route_exists[c->database]) {
        fail("refused although the database exists", c->record);
    }
    if (account_of_key(c->key) == NULL && is_limited(a)) {
        fail("refused for the limit of an account that is not its", c->record);
    }
    if (is_promise(a->failure) && operation_of(c->record)->commits > 0) {
        fail("promised to be undone although it is kept", c->record);
    }
}

static void
end_session(struct caller *c)
{
    struct session *s = c->session;

    c->session = NULL;
    c->waiting = false;
    c->withdrawn_at = 0;
    c->state = TRANSACTION_NONE;
    c->statements = 0;
    c->next_at = model.now + (int64_t)draw(20);
    session_end(s);
}

static void
on_answered(void *ctx, const struct answer *a)
{
    struct caller *c = ctx;

    if (!c->waiting) {
        fail("answer to no request", c->record);
        return;
    }
    check_answer(c, a);
    struct request_record *r = &model.records[c->record];
    struct request_record *o = operation_of(c->record);
    r->denied = a->failure == FAILURE_UNAUTHORIZED;
    o->promised = o->promised || is_promise(a->failure);
    model.answers[a->failure]++;
    c->waiting = false;
    c->withdrawn_at = 0;
    c->state = a->state;
    c->next_at = model.now + 1 +
                 (int64_t)draw(draw(40) == 0                ? 600
                               : a->failure != FAILURE_NONE ? 150
                                                            : 15);
    if (draw(300) == 0) {
        end_session(c);
    }
    else if (draw(6) == 0 && model.depth < 3 && !model.stopping) {
        model.depth++;
        make_request(c);
        model.depth--;
    }
}

static const struct session_events events = {.answered = on_answered};

static void
start_session(struct caller *c)
{
    const char key[] = {'k', (char)('0' + c->key), '\0'};

    c->session = session_create(model.relay, database_names[c->database],
                                sview_from(key), &events, c);
}

/* Draws a request that is not in a transaction, or is the next in one. */
static enum verb
draw_verb(struct caller *c)
{
    static const enum verb statements[] = {VERB_READ, VERB_WRITE, VERB_EXECUTE,
                                           VERB_READ, VERB_WRITE, VERB_SET};
    static const enum verb others[] = {VERB_SET, VERB_PREPARE_READ,
                                       VERB_PREPARE_WRITE, VERB_DEALLOCATE};

    if (c->state == TRANSACTION_FAILED) {
        static const enum verb ends[] = {VERB_ROLLBACK, VERB_ROLLBACK,
                                         VERB_COMMIT, VERB_READ, VERB_SET};
        return ends[draw(G_N_ELEMENTS(ends))];
    }
    if (c->state == TRANSACTION_OPEN) {
        if (c->statements-- > 0) {
            return c->reads ? VERB_READ
                            : statements[draw(G_N_ELEMENTS(statements))];
        }
        return draw(4) == 0 ? VERB_ROLLBACK : VERB_COMMIT;
    }
    c->statements = (int)draw(4);
    c->reads = draw(3) == 0;
    return draw(3) == 0   ? (c->reads ? VERB_BEGIN_READ : VERB_BEGIN)
           : draw(5) == 0 ? others[draw(G_N_ELEMENTS(others))]
                          : statements[draw(G_N_ELEMENTS(statements) - 1)];
}

/* Records a request. The first one of an operation decides the route. */
static void
add_record(struct caller *c, enum verb v)
{
    if (model.record_count == REQUESTS_MAX) {
        fprintf(stderr, "out of requests\n");
        exit(2);
    }
    c->record = model.record_count++;
    if (c->state == TRANSACTION_NONE) {
        c->operation = c->record;
        c->service = model.route_service[c->database];
        c->was_public =
            model.route_exists[c->database] && model.route_public[c->database];
    }
    model.records[c->record] = (struct request_record){
        .operation = c->operation, .caller = c->index, .verb = v};
}

static void
make_request(struct caller *c)
{
    const enum verb v = draw_verb(c);
    int statement = (int)draw(2);

    add_record(c, v);
    if (v == VERB_PREPARE_READ || v == VERB_PREPARE_WRITE) {
        statement = v == VERB_PREPARE_WRITE;
    }
    g_snprintf(c->id, sizeof(c->id), "r%d", c->record);
    c->writes = v == VERB_WRITE || (v == VERB_EXECUTE && statement == 1);
    c->request = (struct request){
        .verb = v,
        .id = sview_from(c->id),
        .text = SVIEW("text"),
        .name = statement == 1 ? SVIEW("p1") : SVIEW("p0"),
        .rest = draw(2) == 0 ? SVIEW("u") : SVIEW("v"),
    };
    c->waiting = true;
    c->arrived_at = model.now;
    update_withdrawn(c);
    const int record = c->record;
    session_request(c->session, &c->request);
    if (c->waiting && c->record == record && !verb_runs_at_member(v)) {
        fail("not answered at once", record);
    }
}

/* Returns true if a member may be executing a request. */
static bool
is_at_member(int record)
{
    for (int i = 0; i < LINKS_MAX; i++) {
        const struct member_link *l = &model.links[i];
        for (int k = 0; l->used && k < l->pending_count; k++) {
            if (l->pending[k].record == record) {
                return true;
            }
        }
    }
    return false;
}

static void
check_caller(struct caller *c)
{
    if (!c->waiting) {
        return;
    }
    if (model.now - c->arrived_at > TIMEOUT_MS + TICK_MS) {
        fail("no answer by its deadline", c->record);
        end_session(c);
    }
    else if (model.answer_all_at != 0 &&
             model.now > model.answer_all_at + TICK_MS) {
        fail("not answered at the shutdown", c->record);
        end_session(c);
    }
    else if (c->withdrawn_at != 0 &&
             model.now - c->withdrawn_at > WITHDRAWN_MS &&
             !is_at_member(c->record)) {
        fail("waits although its key is withdrawn", c->record);
        end_session(c);
    }
}

static void
run_caller(struct caller *c)
{
    if (c->session != NULL && draw(5000) == 0) {
        end_session(c);
        return;
    }
    if (c->waiting || model.now < c->next_at || model.stopping) {
        return;
    }
    if (c->session == NULL) {
        start_session(c);
    }
    make_request(c);
}

/* Time. */

static clock_ms
model_now(void *ctx)
{
    (void)ctx;
    return model.now;
}

static bool
lease_valid(void *ctx, const char *service, clock_ms now)
{
    (void)ctx;
    (void)service;
    (void)now;
    return !model.no_lease;
}

static bool
catalog_is_fresh(void *ctx, clock_ms now)
{
    (void)ctx;
    (void)now;
    return !model.stale;
}

static struct catalog *
find_catalog(void *ctx)
{
    (void)ctx;
    return model.catalog;
}

static struct service *
find_service(void *ctx, const char *name)
{
    (void)ctx;
    return model.services[name[2] - '0'];
}

static void
tick(void)
{
    const struct token position = {.term = 1, .position = 1, .known = true};

    for (int i = 0; i < SERVICES; i++) {
        service_tick(model.services[i], model.now);
        if (draw(16) == 0) {
            service_add_primary_position(model.services[i], model.now,
                                         &position);
        }
        if (draw(model.changing[i] ? 10 : 200) == 0) {
            change_primary(i);
        }
        if (draw(100) == 0) {
            set_members(i, 1 + (int)draw(MEMBERS));
        }
    }
    relay_tick(model.relay, model.now);
}

static void
step(void)
{
    model.now++;
    if (!model.stopping && draw(40) == 0) {
        change_configuration();
    }
    if (draw(model.stale ? 100 : 2000) == 0) {
        model.stale = !model.stale;
    }
    if (draw(model.no_lease ? 200 : 5000) == 0) {
        model.no_lease = !model.no_lease;
    }
    for (int i = 0; i < LINKS_MAX; i++) {
        if (model.links[i].used) {
            run_link(&model.links[i]);
        }
    }
    run_witness();
    for (int i = 0; i < CALLERS; i++) {
        run_caller(&model.callers[i]);
    }
    if (model.now % TICK_MS == 0) {
        tick();
    }
    for (int i = 0; i < CALLERS; i++) {
        check_caller(&model.callers[i]);
    }
}

static void
start_services(void)
{
    for (int i = 0; i < SERVICES; i++) {
        const struct service_config config = {
            .name = service_names[i],
            .failure_domain = "a",
            .codec = &codec,
            .lease_valid = lease_valid,
            .now = model_now,
            .seed = rng_next(&model.rng),
        };
        model.services[i] = service_create(&config);
        set_members(i, MEMBERS);
        change_primary(i);
    }
}

static void
start(uint64_t seed)
{
    const struct rate_client_config client = {
        .name = "p", .incarnation = 1, .now = model_now, .send = send_ask};
    const struct rate_witness witness = {.name = "w"};

    model.seed = seed;
    model.now = 100000;
    rng_seed(&model.rng, seed);
    model.records = g_new0(struct request_record, REQUESTS_MAX);
    model.rate_client = rate_client_create(&client);
    rate_client_set_witnesses(model.rate_client, &witness, 1);
    const struct relay_config config = {
        .catalog = find_catalog,
        .service = find_service,
        .now = model_now,
        .catalog_is_fresh = catalog_is_fresh,
        .rate_client = seed % 3 == 0 ? NULL : model.rate_client,
    };
    model.relay = relay_create(&config);
    start_services();
    restore_configuration();
    for (int i = 0; i < DATABASES; i++) {
        model.route_service[i] = i % SERVICES;
    }
    model.rate_milli_per_s = 50000;
    apply_configuration();
    for (int i = 0; i < CALLERS; i++) {
        model.callers[i] = (struct caller){.index = i,
                                           .key = i % KEYS,
                                           .database = i % DATABASES,
                                           .next_at = model.now + i};
    }
}

/* Checks that nothing is in use any more. */
static void
check_end(void)
{
    for (int i = 0; i < CALLERS; i++) {
        if (model.callers[i].session != NULL) {
            end_session(&model.callers[i]);
        }
    }
    if (model.relay->active.length > 0) {
        fail("session still active", -1);
    }
    if (rate_client_waiting(model.rate_client) > 0) {
        fail("still waiting for a permit", -1);
    }
    for (clock_ms end = model.now + SETTLE_MS; model.now < end;) {
        step();
    }
    for (int i = 0; i < LINKS_MAX; i++) {
        const struct member_link *l = &model.links[i];
        if (l->used &&
            (l->transaction != TRANSACTION_NONE || l->pending_count > 0)) {
            fail("connection still in use", -1);
        }
    }
    for (int i = 0; i < SERVICES; i++) {
        if (service_queue_length(model.services[i]) > 0) {
            fail("request still queued", -1);
        }
        service_destroy(model.services[i]);
    }
}

int
main(int argc, char **argv)
{
    start(argc > 1 ? g_ascii_strtoull(argv[1], NULL, 10) : 1);
    for (clock_ms end = model.now + RUN_MS; model.now < end;) {
        step();
    }
    model.answer_all_at = model.now + ANSWER_ALL_MS;
    relay_begin_shutdown(model.relay, model.now, model.answer_all_at);
    for (clock_ms end = model.now + SHUTDOWN_MS; model.now < end;) {
        step();
    }
    model.stopping = true;
    check_end();
    relay_destroy(model.relay);
    rate_client_destroy(model.rate_client);
    catalog_unref(model.catalog);
    g_free(model.records);
    printf("seed=%llu requests=%d changes=%d violations=%d",
           (unsigned long long)model.seed, model.record_count, model.changes,
           model.violations);
    for (int i = 0; i <= FAILURE_UNKNOWN_OUTCOME; i++) {
        if (model.answers[i] > 0) {
            printf(" %s=%d", failure_name((enum failure)i), model.answers[i]);
        }
    }
    printf("\n");
    return model.violations == 0 ? 0 : 1;
}

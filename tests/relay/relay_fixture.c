#include "relay/relay_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* Opens a connection whose member is played by the test. */
static struct member_link *
open_link(void *codec_ctx, const struct member_entry *m, const char *account,
          const struct member_link_events *events, void *ctx)
{
    struct fixture *f = codec_ctx;

    (void)account;
    if (f->refuse_connections) {
        return NULL;
    }
    struct member_link *l = g_new0(struct member_link, 1);
    assert_true(f->link_count < FIXTURE_LINKS);
    g_strlcpy(l->member, m->id, sizeof(l->member));
    l->events = events;
    l->ctx = ctx;
    f->links[f->link_count++] = l;
    return l;
}

static void
send_link(struct member_link *l, const struct request *r,
          const struct token *min_position)
{
    struct fixture_sent *s = &l->sent[l->sent_count++];
    static int sends;

    assert_false(l->closed);
    l->used_at = ++sends;
    s->verb = r->verb;
    g_snprintf(s->text, sizeof(s->text), "%.*s", (int)r->text.n, r->text.p);
    s->has_min_position = min_position != NULL;
    if (min_position != NULL) {
        s->min_position = *min_position;
    }
}

static void
close_link(struct member_link *l)
{
    l->closed = true;
}

static struct catalog *
find_catalog(void *ctx)
{
    const struct fixture *f = ctx;

    return f->catalog;
}

static struct service *
find_service(void *ctx, const char *name)
{
    const struct fixture *f = ctx;

    return strcmp(name, "db") == 0 ? f->service : NULL;
}

static clock_ms
now(void *ctx)
{
    const struct fixture *f = ctx;

    return f->now;
}

static bool
lease_valid(void *ctx, const char *service, clock_ms at)
{
    const struct fixture *f = ctx;

    (void)service;
    (void)at;
    return f->lease;
}

static bool
catalog_is_fresh(void *ctx, clock_ms at)
{
    const struct fixture *f = ctx;

    (void)at;
    return !f->catalog_stale;
}

/* Creates the relay and its three members; m1 is the primary. */
void
fixture_setup(struct fixture *f, enum freshness freshness)
{
    struct member_entry *members = f->members;

    memset(f, 0, sizeof(*f));
    f->now = 100000;
    f->lease = true;
    f->codec = (struct member_codec){
        .open = open_link, .send = send_link, .close = close_link, .ctx = f};
    for (int i = 0; i < 3; i++) {
        g_snprintf(members[i].id, sizeof(members[i].id), "m%d", i + 1);
        g_strlcpy(members[i].service, "db", sizeof(members[i].service));
        g_strlcpy(members[i].failure_domain, i == 0 ? "a" : "b",
                  sizeof(members[i].failure_domain));
        members[i].slots = 2;
    }
    const struct service_config sc = {
        .name = "db",
        .failure_domain = "a",
        .codec = &f->codec,
        .lease_valid = lease_valid,
        .now = now,
        .ctx = f,
    };
    f->service = service_create(&sc);
    const struct connection_limits limits = {.working = 3, .total = 4};
    service_set_connection_limits(f->service, &limits);
    service_set_members(f->service, members, 3, f->now);
    service_set_primary(f->service, 1, "m1", false, f->now);
    f->catalog = catalog_create(1);
    f->catalog->transaction_idle_ms = 3000;
    struct database_route *r = g_new0(struct database_route, 1);
    r->database = g_strdup("boats");
    r->service = g_strdup("db");
    r->freshness = freshness;
    r->max_staleness_ms = 1500;
    r->statement_timeout_ms = 800;
    r->target_ms = 120;
    r->priority = 1;
    catalog_add_route(f->catalog, r);
    const struct relay_config rc = {.catalog = find_catalog,
                                    .service = find_service,
                                    .now = now,
                                    .catalog_is_fresh = catalog_is_fresh,
                                    .ctx = f};
    f->relay = relay_create(&rc);
}

/* Puts the replicas, in place of the primary, into the failure domain of the
   proxy, so that reads prefer them. */
void
fixture_move_replicas_near(struct fixture *f)
{
    for (int i = 0; i < 3; i++) {
        g_strlcpy(f->members[i].failure_domain, i == 0 ? "b" : "a",
                  sizeof(f->members[i].failure_domain));
    }
    service_set_members(f->service, f->members, 3, f->now);
}

void
fixture_teardown(struct fixture *f)
{
    service_destroy(f->service);
    relay_destroy(f->relay);
    catalog_unref(f->catalog);
    for (int i = 0; i < f->link_count; i++) {
        g_free(f->links[i]);
    }
}

/* Records the answer to the caller. */
static void
on_answered(void *ctx, const struct answer *a)
{
    struct fixture *f = ctx;

    f->answers++;
    f->failure = a->failure;
    f->state = a->state;
}

static const struct session_events events = {.answered = on_answered};

/* The session must be ended with session_end() before the teardown. */
struct session *
fixture_session_with_key(struct fixture *f, const char *key)
{
    return session_create(f->relay, "boats", sview_from(key), &events, f);
}

struct session *
fixture_session(struct fixture *f)
{
    return fixture_session_with_key(f, "");
}

/* Makes a caller's request. The text must stay valid until the answer. */
void
fixture_request(struct session *s, enum verb verb, const char *text)
{
    const struct request r = {.verb = verb,
                              .id = SVIEW("q1"),
                              .text = sview_from(text),
                              .name = SVIEW("x"),
                              .rest = SVIEW("v")};

    session_request(s, &r);
}

/* Returns the connection that was opened n-th, counting from 0. */
struct member_link *
fixture_link(struct fixture *f, int n)
{
    assert_true(n < f->link_count);
    return f->links[n];
}

/* Accepts all connections that were not used yet. */
void
fixture_accept_all(struct fixture *f)
{
    const struct token position = {.term = 3, .position = 1, .known = true};

    for (int i = 0; i < f->link_count; i++) {
        struct member_link *l = f->links[i];
        if (!l->closed && l->events != NULL && l->sent_count == 0) {
            l->events->opened(l->ctx, &position);
        }
    }
}

/* Answers the oldest outstanding request of a connection. */
void
fixture_answer(struct member_link *l, enum failure why,
               enum transaction_state state, uint64_t term, uint64_t position)
{
    const struct answer a = {
        .failure = why,
        .state = state,
        .signature = SVIEW("sig"),
        .position = {.term = term, .position = position, .known = true},
    };

    l->events->answered(l->ctx, &a);
}

/* Advances the time in steps of 25 ms, with a tick after each. */
void
fixture_advance_time(struct fixture *f, int64_t ms)
{
    const clock_ms end = f->now + ms;

    while (f->now < end) {
        f->now += 25;
        service_tick(f->service, f->now);
        relay_tick(f->relay, f->now);
    }
}

/* Returns the newest open connection that has been sent a request, or NULL. */
struct member_link *
fixture_last_used_link(struct fixture *f)
{
    struct member_link *last = NULL;

    for (int i = 0; i < f->link_count; i++) {
        struct member_link *l = f->links[i];
        if (!l->closed && l->sent_count > 0 &&
            (last == NULL || l->used_at > last->used_at)) {
            last = l;
        }
    }
    return last;
}

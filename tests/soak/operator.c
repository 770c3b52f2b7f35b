#include "soak/soak.h"

#include <stdio.h>
#include <string.h>

/* The bounds of the promise: a change is in force this long after the store
   has acknowledged it, on every process that has been undisturbed, as the
   store has, for CONTACT_MS. */
#define APPLY_MS 3000
#define CONTACT_MS 4000
/* A process that has served one request under a version does not go back. */
#define DOWNGRADE_SLACK_MS 250
#define PROBE_INTERVAL_S 0.02
#define PROBE_TIMEOUT_MS 1500
/* Probes ask for the databases that changed last, and for others rarely. */
#define RECENT_ROUTES 4
#define OPEN_ROUTES_MAX 6

/* A database that the operator adds and later removes; names are not used
   again. Times are 0 if unset. */
struct extra_route {
    clock_ms added_at;      /* acknowledged */
    clock_ms removed_at;    /* acknowledged */
    clock_ms written_at[2]; /* of the addition and the removal, before */
    /* Newest request of each process that was handled as the addition or the
       removal allows only. */
    clock_ms effect_seen_at[SOAK_PROXIES][2];
};

/* A connection that asks one process for one database. */
struct probe {
    struct soak_operator *owner;
    int proxy;
    guint route;
    struct stream *stream; /* NULL if none is in progress */
    clock_ms sent_at;
    uint64_t incarnation;
};

struct soak_operator {
    struct soak *soak;
    struct ev_loop *loop;
    struct rng rng;
    GArray *routes; /* of struct extra_route */
    struct probe probes[SOAK_PROXIES];
    clock_ms disturbed_at[SOAK_PROXIES];
    uint64_t incarnation[SOAK_PROXIES];
    ev_timer timer;
    bool public_routes;
    long answers;
};

/* Returns the database name of an extra route; static. */
static const char *
route_name(guint route)
{
    static char name[16];

    g_snprintf(name, sizeof(name), "x%u", route);
    return name;
}

static struct extra_route *
get_route(struct soak_operator *o, guint route)
{
    return &g_array_index(o->routes, struct extra_route, route);
}

static void
end_probe(struct probe *p)
{
    if (p->stream != NULL) {
        stream_close(p->stream);
        p->stream = NULL;
    }
}

/* Reports a request that was handled as only an older version allows. kind is
   0 for an addition and 1 for a removal, acknowledged at changed_at. */
static void
check_change(const struct probe *p, int kind, clock_ms changed_at, bool served)
{
    struct soak_operator *o = p->owner;
    struct extra_route *r = get_route(o, p->route);
    const bool in_force = served == (kind == 0);
    const clock_ms seen = r->effect_seen_at[p->proxy][kind];
    const clock_ms disturbed = o->disturbed_at[p->proxy];

    if (in_force) {
        r->effect_seen_at[p->proxy][kind] = MAX(seen, p->sent_at);
        return;
    }
    if (changed_at != 0 && p->sent_at >= changed_at + APPLY_MS &&
        p->sent_at >= disturbed + CONTACT_MS) {
        soak_violation(
            o->soak,
            "proxy %d: %s was %s %lld ms after that was acknowledged, "
            "undisturbed for %lld ms",
            p->proxy, route_name(p->route),
            kind == 0 ? "refused" : "served when removed",
            (long long)(p->sent_at - changed_at),
            (long long)(p->sent_at - disturbed));
    }
    else if (seen != 0 && p->sent_at > seen + DOWNGRADE_SLACK_MS) {
        soak_violation(o->soak, "proxy %d went back on %s after %lld ms",
                       p->proxy, route_name(p->route),
                       (long long)(p->sent_at - seen));
    }
}

static void
on_probe_answered(struct probe *p, bool served)
{
    struct soak_operator *o = p->owner;
    const struct extra_route *r = get_route(o, p->route);

    if (p->incarnation != o->incarnation[p->proxy]) {
        return;
    }
    o->answers++;
    const bool is_removed = r->written_at[1] != 0;
    if (is_removed && p->sent_at >= r->written_at[1]) {
        check_change(p, 1, r->removed_at, served);
    }
    else if (!is_removed || served) {
        /* A request sent before the removal may be handled after it. */
        check_change(p, 0, r->added_at, served);
    }
}

static void
on_readable(void *ctx)
{
    struct probe *p = ctx;
    const struct sview in = stream_input(p->stream);

    if (memchr(in.p, '\n', in.n) == NULL) {
        return;
    }
    if (in.n >= 6 && memcmp(in.p, "READY ", 6) == 0) {
        on_probe_answered(p, true);
    }
    else if (in.n >= 11 && memcmp(in.p, "ERROR NODB ", 11) == 0) {
        on_probe_answered(p, false);
    }
    end_probe(p);
}

static void
on_closed(void *ctx, const char *why)
{
    (void)why;
    end_probe(ctx);
}

static void
on_connected(void *ctx)
{
    struct probe *p = ctx;
    char line[40];

    p->sent_at = clock_monotonic_ms();
    g_snprintf(line, sizeof(line), "STARTUP %s probe\r\n",
               route_name(p->route));
    stream_write(p->stream, line, strlen(line));
}

static const struct stream_callbacks probe_events = {
    .connected = on_connected, .readable = on_readable, .closed = on_closed};

/* Starts a probe of every process that has none in progress. */
static void
on_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct soak_operator *o = w->data;
    const clock_ms now = clock_monotonic_ms();
    const guint n = o->routes->len;

    (void)revents;
    for (int i = 0; i < SOAK_PROXIES && n > 0; i++) {
        struct probe *p = &o->probes[i];
        if (p->stream != NULL && now - p->sent_at < PROBE_TIMEOUT_MS) {
            continue;
        }
        end_probe(p);
        const guint span =
            rng_below(&o->rng, 4) > 0 ? MIN(n, RECENT_ROUTES) : n;
        p->route = n - 1 - (guint)rng_below(&o->rng, span);
        p->sent_at = now;
        p->incarnation = o->incarnation[i];
        p->stream = stream_connect(loop, soak_proxy_host(i), soak_proxy_port(),
                                   &probe_events, p);
    }
}

struct soak_operator *
operator_create(struct soak *s, struct ev_loop *loop, uint64_t seed)
{
    struct soak_operator *o = g_new0(struct soak_operator, 1);

    o->soak = s;
    o->loop = loop;
    rng_seed(&o->rng, seed);
    o->routes = g_array_new(FALSE, TRUE, sizeof(struct extra_route));
    for (int i = 0; i < SOAK_PROXIES; i++) {
        o->probes[i] = (struct probe){.owner = o, .proxy = i};
    }
    ev_timer_init(&o->timer, on_timer, PROBE_INTERVAL_S, PROBE_INTERVAL_S);
    o->timer.data = o;
    ev_timer_start(loop, &o->timer);
    return o;
}

void
operator_make_routes_public(struct soak_operator *o)
{
    o->public_routes = true;
}

void
operator_destroy(struct soak_operator *o)
{
    ev_timer_stop(o->loop, &o->timer);
    for (int i = 0; i < SOAK_PROXIES; i++) {
        end_probe(&o->probes[i]);
    }
    g_array_free(o->routes, TRUE);
    g_free(o);
}

long
operator_answers(const struct soak_operator *o)
{
    return o->answers;
}

/* Adds a database, and removes the oldest one when there are many. The caller
   then writes the configuration. */
void
operator_change_routes(struct soak_operator *o)
{
    const struct extra_route added = {.written_at = {clock_monotonic_ms(), 0}};
    guint open = 0;

    g_array_append_val(o->routes, added);
    for (guint i = o->routes->len; i-- > 0;) {
        struct extra_route *r = get_route(o, i);
        if (r->written_at[1] == 0 && ++open > OPEN_ROUTES_MAX) {
            r->written_at[1] = clock_monotonic_ms();
        }
    }
}

/* Appends the present databases to the routes of a configuration. */
void
operator_append_routes(const struct soak_operator *o, GString *routes)
{
    for (guint i = 0; i < o->routes->len; i++) {
        if (g_array_index(o->routes, struct extra_route, i).written_at[1] ==
            0) {
            g_string_append_printf(
                routes,
                ",{\"name\":\"%s\",\"host\":\"%s\",\"route_type\":"
                "\"primary\",\"timeout_ms\":800,\"target_latency_ms\":200,"
                "\"priority\":1,\"service\":\"%s\",\"max_staleness_ms\":0%s}",
                route_name(i), route_name(i), SOAK_SERVICE,
                o->public_routes ? ",\"public\":true" : "");
        }
    }
}

/* Called when the store has acknowledged the configuration. */
void
operator_acknowledged(struct soak_operator *o)
{
    const clock_ms now = clock_monotonic_ms();

    for (guint i = 0; i < o->routes->len; i++) {
        struct extra_route *r = get_route(o, i);
        r->added_at = r->added_at == 0 ? now : r->added_at;
        if (r->written_at[1] != 0 && r->removed_at == 0) {
            r->removed_at = now;
        }
    }
}

/* Records a disturbance of a process, or of the store if proxy is -1. */
void
operator_disturbed(struct soak_operator *o, int proxy)
{
    const clock_ms now = clock_monotonic_ms();

    for (int i = 0; i < SOAK_PROXIES; i++) {
        if (proxy < 0 || proxy == i) {
            o->disturbed_at[i] = now;
        }
    }
}

/* Records that a process has ended: the next one may know an older version. */
void
operator_process_ended(struct soak_operator *o, int proxy)
{
    o->incarnation[proxy]++;
    for (guint i = 0; i < o->routes->len; i++) {
        struct extra_route *r = get_route(o, i);
        r->effect_seen_at[proxy][0] = 0;
        r->effect_seen_at[proxy][1] = 0;
    }
}

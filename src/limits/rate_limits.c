#include "limits/rate_limits.h"

#include <string.h>

struct rate_limits {
    struct rate_limits_config config;
    char name[VIEW_NAME_BYTES];
    struct rate_client *client;
    struct rate_bucket *bucket;
    struct witness_list *list;
    bool active;       /* the configuration has accounts */
    clock_ms check_at; /* when the other witnesses are asked for their list */
};

static clock_ms
now_of(const struct rate_limits *l)
{
    return l->config.now(l->config.ctx);
}

#ifdef RATE_BREAK_CLOCK
/* Provided by the test: a clock that stops while the process is suspended. */
clock_ms rate_limits_stopping_clock(void *ctx);
#endif

/* Returns the time for the client. */
static clock_ms
client_now(void *ctx)
{
    const struct rate_limits *l = ctx;

#ifdef RATE_BREAK_CLOCK
    return rate_limits_stopping_clock(l->config.ctx);
#endif
    return now_of(l);
}

/* Returns the present part of this proxy, and applies it to the buckets. */
static struct witness_part
update_part(struct rate_limits *l, clock_ms now)
{
    const struct witness_part part = witness_list_part(l->list, now);

    rate_bucket_set_part(l->bucket, part, now);
    return part;
}

/* Answers a request as a witness. */
static void
answer(struct rate_limits *l, const struct limit_request *q,
       struct limit_reply *r)
{
    const clock_ms now = now_of(l);

    memset(r, 0, offsetof(struct limit_reply, items));
    g_strlcpy(r->from, l->name, sizeof(r->from));
    r->witnesses = witness_list_hash(l->list);
    r->witness_count = witness_list_count(l->list);
    r->listed_ms = witness_list_listed_ms(l->list, q->from, now);
    update_part(l, now);
    rate_bucket_answer(l->bucket, q, now, r);
}

/* Called by the client. A request to this proxy itself is answered at once. */
static void
send_request(void *ctx, const char *witness, const struct limit_request *q)
{
    struct rate_limits *l = ctx;
    struct limit_reply r;

    if (strcmp(witness, l->name) != 0) {
        l->config.send_request(l->config.ctx, witness, q);
        return;
    }
    answer(l, q, &r);
    rate_client_receive(l->client, &r);
}

/* Creates the rate limits of a process that has just started. */
struct rate_limits *
rate_limits_create(const struct rate_limits_config *c)
{
    struct rate_limits *l = g_new0(struct rate_limits, 1);
    const struct rate_client_config client = {
        .name = c->name,
        .incarnation = c->incarnation,
        .now = client_now,
        .send = send_request,
        .ctx = l,
    };

    l->config = *c;
    g_strlcpy(l->name, c->name, sizeof(l->name));
    l->client = rate_client_create(&client);
    l->bucket = rate_bucket_create(&c->bounds);
    l->list = witness_list_create(c->name, c->now(c->ctx));
    l->check_at = CLOCK_NEVER;
    return l;
}

/* Frees everything; l may be NULL. No request may be waiting. */
void
rate_limits_destroy(struct rate_limits *l)
{
    if (l == NULL) {
        return;
    }
    rate_client_destroy(l->client);
    rate_bucket_destroy(l->bucket);
    witness_list_destroy(l->list);
    g_free(l);
}

/* Returns the client, from which the relay gets its permits. */
struct rate_client *
rate_limits_client(struct rate_limits *l)
{
    return l->client;
}

const struct rate_bucket_counters *
rate_limits_bucket_counters(const struct rate_limits *l)
{
    return rate_bucket_counters(l->bucket);
}

/* Returns the number of parts of the limits, one of which this proxy grants
   from; 0 if it grants nothing. */
int
rate_limits_divisor(struct rate_limits *l)
{
    return update_part(l, now_of(l)).divisor;
}

/* Sets the witnesses among the registered proxies. */
void
rate_limits_set_witnesses(struct rate_limits *l,
                          const struct rate_witness *witnesses, int n)
{
    const char *names[AGREEMENT_WITNESSES_MAX];
    const uint64_t before = witness_list_hash(l->list);
    const clock_ms now = now_of(l);

    n = MIN(n, AGREEMENT_WITNESSES_MAX);
    for (int i = 0; i < n; i++) {
        names[i] = witnesses[i].name;
    }
    witness_list_set(l->list, names, n, now);
    update_part(l, now);
    if (witness_list_hash(l->list) == before) {
        return;
    }
    rate_client_set_witnesses(l->client, witnesses, n);
    l->check_at = witness_list_has_self(l->list) ? now : CLOCK_NEVER;
}

/* Records that this proxy was registered when the process started. Called
   after the first list of proxies from the store. */
void
rate_limits_set_registered(struct rate_limits *l)
{
    witness_list_set_registered(l->list);
}

/* Applies a new configuration. */
void
rate_limits_set_catalog(struct rate_limits *l, const struct catalog *c)
{
    const clock_ms now = now_of(l);

    if (c->has_accounts && !l->active && witness_list_has_self(l->list)) {
        l->check_at = now;
    }
    l->active = c->has_accounts;
    rate_bucket_set_catalog(l->bucket, c, now);
    rate_client_forget_refusals(l->client);
}

/* Answers a request from a registered proxy. */
void
rate_limits_request(struct rate_limits *l, const struct limit_request *q)
{
    struct limit_reply r;

    answer(l, q, &r);
    l->config.send_reply(l->config.ctx, q->from, &r);
}

/* Processes a reply. What it says of the list counts only if it answers a
   known request, whose time is known. */
void
rate_limits_reply(struct rate_limits *l, const struct limit_reply *r)
{
    clock_ms asked_at = rate_client_receive(l->client, r);

#ifdef RATE_BREAK_CLOCK
    asked_at += asked_at != 0 ? now_of(l) - client_now(l) : 0;
#endif
    if (asked_at != 0) {
        const struct witness_answer a = {.witnesses = r->witnesses,
                                         .count = r->witness_count,
                                         .listed_ms = r->listed_ms};
        witness_list_answered(l->list, r->from, &a, asked_at, now_of(l));
    }
}

/* Sends what has become necessary. Called at the end of each iteration of the
   event loop. */
void
rate_limits_flush(struct rate_limits *l)
{
    rate_client_flush(l->client);
}

/* Handles time-outs, and asks the other witnesses for their list. Called when
   rate_limits_next_tick() is due. */
void
rate_limits_tick(struct rate_limits *l)
{
    const clock_ms now = now_of(l);

    if (now >= l->check_at) {
        l->check_at = now + WITNESS_CHECK_MS;
        for (int i = 0; i < witness_list_count(l->list) && l->active; i++) {
            const char *name = witness_list_name(l->list, i);
            if (strcmp(name, l->name) != 0) {
                rate_client_probe(l->client, name);
            }
        }
        update_part(l, now);
    }
    rate_client_tick(l->client);
}

/* Returns when rate_limits_tick() has to be called. */
clock_ms
rate_limits_next_tick(const struct rate_limits *l)
{
    clock_ms at = rate_client_next_tick(l->client);

#ifdef RATE_BREAK_CLOCK
    at += now_of(l) - client_now((void *)l);
#endif
    return MIN(l->check_at, at);
}

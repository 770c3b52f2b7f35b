#define LOG_MODULE "platform"

#include "cloud/client.h"

#include "base/clock.h"
#include "base/log.h"
#include "cloud/multi.h"
#include "cloud/response.h"

#include <string.h>

#define RATE_DEFAULT_PER_S 20
#define MAX_ATTEMPTS_DEFAULT 3
#define MAX_IN_FLIGHT_DEFAULT 64
#define TIMEOUT_DEFAULT_MS 1000
#define BACKOFF_BASE_MS 50
#define BACKOFF_MAX_MS 2000

struct request {
    struct cloud_client *client;
    uint64_t id;
    CURL *easy; /* NULL between attempts */
    struct curl_slist *headers;
    char *url;
    char *body; /* NULL for reads */
    size_t n_body;
    enum cloud_body expect;
    bool insert;
    int attempts_left;
    int attempt;
    bool in_doubt; /* a write was sent, and its outcome is unknown */
    GString *response;
    bool too_large;
    ev_timer timer;      /* backoff, or reports a refusal from the loop */
    const char *refusal; /* why no attempt was made, or NULL */
    cloud_done_fn done;
    void *ctx;
};

struct cloud_client {
    struct ev_loop *loop;
    struct cloud_multi *multi;
    char *table_url, *object_url, *vms_url;
    int timeout_ms, rate, attempts;
    guint max_in_flight;
    GHashTable *requests; /* id -> struct request */
    uint64_t next_id;
    double tokens;
    clock_ms refilled_at;
    struct rng rng;
    struct cloud_counters counters;
    int callback_depth; /* depth of nested done callbacks */
    bool freed;         /* destroy_later() is scheduled */
};

static void start_attempt(struct request *r);

/* Takes a token from the bucket that limits the request rate. The bucket holds
   the tokens of one second. */
static bool
take_token(struct cloud_client *c)
{
    clock_ms now = clock_monotonic_ms();

    c->tokens += (double)(now - c->refilled_at) * c->rate / 1000.0;
    c->tokens = MIN(c->tokens, (double)c->rate);
    c->refilled_at = now;
    if (c->tokens < 1.0) {
        c->counters.refused_rate++;
        return false;
    }
    c->tokens -= 1.0;
    return true;
}

/* Ends the current attempt, if any. */
static void
remove_easy(struct request *r)
{
    if (r->easy) {
        cloud_multi_remove(r->client->multi, r->easy);
        curl_easy_cleanup(r->easy);
        r->easy = NULL;
    }
}

static void
free_request(void *p)
{
    struct request *r = p;

    remove_easy(r);
    ev_timer_stop(r->client->loop, &r->timer);
    curl_slist_free_all(r->headers);
    g_string_free(r->response, TRUE);
    g_free(r->url);
    g_free(r->body);
    g_free(r);
}

static void
destroy(struct cloud_client *c)
{
    g_hash_table_destroy(c->requests);
    cloud_multi_destroy(c->multi);
    g_free(c->table_url);
    g_free(c->object_url);
    g_free(c->vms_url);
    g_free(c);
}

/* Completes cloud_client_destroy() from the loop when it was called inside a
   callback, where libcurl must not be cleaned up. */
static void
destroy_later(int revents, void *ctx)
{
    (void)revents;
    destroy(ctx);
}

/* Calls done and frees the request. */
static void
finish(struct request *r, struct cloud_result *result)
{
    struct cloud_client *c = r->client;
    cloud_done_fn done = r->done;
    void *ctx = r->ctx;

    if (result->outcome == CLOUD_DONE) {
        c->counters.done++;
    }
    else if (result->outcome == CLOUD_UNKNOWN) {
        c->counters.unknown++;
    }
    else {
        c->counters.not_done++;
    }
    remove_easy(r);
    g_hash_table_steal(c->requests, &r->id);
    if (!c->freed) {
        c->callback_depth++;
        done(ctx, result);
        c->callback_depth--;
    }
    free_request(r);
}

/* Ends a request without a usable response. */
static void
finish_failed(struct request *r, int status, const char *reason)
{
    struct cloud_result result = {
        .outcome = r->in_doubt ? CLOUD_UNKNOWN : CLOUD_NOT_DONE,
        .status = status,
        .reason = reason,
        .too_large = r->too_large,
    };

    LOG_DEBUG("request", r->url, "%s after %d attempts", reason, r->attempt);
    finish(r, &result);
}

/* Reports a refusal, or makes the next attempt after a backoff. */
static void
on_request_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    struct request *r = timer->data;

    (void)loop;
    (void)events;
    if (r->refusal) {
        finish_failed(r, 0, r->refusal);
    }
    else if (!take_token(r->client)) {
        finish_failed(r, 0, "rate");
    }
    else {
        start_attempt(r);
    }
}

static void
start_timer(struct request *r, clock_ms ms)
{
    ev_timer_set(&r->timer, (double)ms / 1000.0, 0.);
    ev_timer_start(r->client->loop, &r->timer);
}

/* Schedules the next attempt after an exponential backoff with full jitter, or
   ends the request when no attempt is left. A write whose outcome is unknown
   is not repeated; its caller must learn that. */
static void
retry_or_finish(struct request *r, uint64_t *counter, int status,
                const char *reason)
{
    clock_ms cap = BACKOFF_BASE_MS;

    remove_easy(r);
    if (r->attempts_left == 0 || r->in_doubt) {
        finish_failed(r, status, reason);
        return;
    }
    for (int i = 1; i < r->attempt && cap < BACKOFF_MAX_MS; i++) {
        cap *= 2;
    }
    (*counter)++;
    start_timer(r,
                1 + (clock_ms)rng_below(&r->client->rng,
                                        (uint64_t)MIN(cap, BACKOFF_MAX_MS)));
}

static void
handle_response(struct request *r, int status)
{
    struct cloud_client *c = r->client;
    bool row_in_place = r->insert && status == 412;
    bool with_body = status == 200 || row_in_place;
    enum cloud_body kind = with_body ? r->expect : CLOUD_BODY_NONE;
    struct cloud_response response;

    if (status == 503 || status == 429) {
        retry_or_finish(r, &c->counters.retry_status, status, "status");
        return;
    }
    if (status >= 500) {
        /* Only 503 and 429 guarantee that a write had no effect. */
        r->in_doubt = r->body != NULL;
        retry_or_finish(r, &c->counters.retry_status, status, "status");
        return;
    }
    if (status < 200 ||
        (status > 299 && !(status == 404 && !r->body) && !row_in_place)) {
        finish_failed(r, status, "status");
        return;
    }
    if (!cloud_response_decode(kind, r->response->str, r->response->len,
                               &response)) {
        c->counters.response_malformed++;
        /* A 412 with a body that cannot be decoded shows that the row exists,
           but not what it holds. */
        r->in_doubt = r->body != NULL;
        finish_failed(r, status, "malformed");
        return;
    }
    struct cloud_result result = {
        .outcome = CLOUD_DONE,
        .status = status,
        .rows = response.rows,
        .n_rows = response.n_rows,
        .vms = response.vms,
        .n_vms = response.n_vms,
        .body = r->response->str,
        .n_body = r->response->len,
    };

    finish(r, &result);
    cloud_response_clear(&response);
}

static void
on_transfer_done(void *ctx, CURL *easy, CURLcode code)
{
    struct cloud_client *c = ctx;
    struct request *r = NULL;
    long status = 0;
    long sent = 0;

    curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&r);
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
    if (code == CURLE_OK) {
        handle_response(r, (int)status);
        return;
    }
    if (r->body && sent > 0) {
        r->in_doubt = true;
    }
    if (r->too_large || code == CURLE_FILESIZE_EXCEEDED) {
        c->counters.response_too_large++;
        r->too_large = true;
        finish_failed(r, (int)status, "answer_too_large");
    }
    else if (code == CURLE_COULDNT_CONNECT) {
        retry_or_finish(r, &c->counters.retry_connect, 0, "connect");
    }
    else if (code == CURLE_OPERATION_TIMEDOUT) {
        retry_or_finish(r, &c->counters.retry_timeout, 0, "timeout");
    }
    else {
        retry_or_finish(r, &c->counters.retry_transport, 0, "transport");
    }
}

/* Collects body data, and aborts the transfer when the body exceeds the
   limit. */
static size_t
on_body_data(char *p, size_t size, size_t n, void *ctx)
{
    struct request *r = ctx;
    size_t bytes = size * n;

    if (r->response->len + bytes > CLOUD_BODY_MAX_BYTES) {
        r->too_large = true;
        return 0;
    }
    g_string_append_len(r->response, p, (gssize)bytes);
    return bytes;
}

static void
start_attempt(struct request *r)
{
    struct cloud_client *c = r->client;
    CURL *easy = curl_easy_init();

    r->easy = easy;
    r->attempt++;
    r->attempts_left--;
    r->too_large = false;
    g_string_truncate(r->response, 0);
    curl_easy_setopt(easy, CURLOPT_URL, r->url);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, r);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)c->timeout_ms);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body_data);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, r);
    curl_easy_setopt(easy, CURLOPT_MAXFILESIZE_LARGE,
                     (curl_off_t)CLOUD_BODY_MAX_BYTES);
    if (r->body) {
        /* libcurl itself would repeat a write when a reused connection closes
           without a response. */
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "PUT");
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, r->body);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)r->n_body);
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, r->headers);
    cloud_multi_add(c->multi, easy);
}

/* Creates a request. Takes ownership of url and body. */
static struct request *
new_request(struct cloud_client *c, char *url, char *body, size_t n_body,
            enum cloud_body expect, int attempts, cloud_done_fn done,
            void *ctx)
{
    struct request *r = g_new0(struct request, 1);

    r->client = c;
    r->id = ++c->next_id;
    r->url = url;
    r->body = body;
    r->n_body = n_body;
    r->expect = expect;
    r->attempts_left = attempts > 0 ? attempts : c->attempts;
    r->done = done;
    r->ctx = ctx;
    r->response = g_string_new(NULL);
    /* Keeps libcurl from waiting for "100 Continue" before larger bodies. */
    r->headers = curl_slist_append(NULL, "Expect:");
    if (body) {
        r->headers = curl_slist_append(
            r->headers, "Content-Type: application/octet-stream");
    }
    ev_timer_init(&r->timer, on_request_timer, 0., 0.);
    r->timer.data = r;
    return r;
}

/* Starts the request, or refuses it; a refusal is reported from the loop. */
static uint64_t
submit(struct request *r)
{
    struct cloud_client *c = r->client;

    c->counters.requests++;
    if (g_hash_table_size(c->requests) >= c->max_in_flight) {
        c->counters.refused_in_flight++;
        r->refusal = "in_flight";
    }
    else if (r->n_body > CLOUD_BODY_MAX_BYTES) {
        c->counters.refused_body++;
        r->refusal = "body_too_large";
    }
    else if (!take_token(c)) {
        r->refusal = "rate";
    }
    g_hash_table_insert(c->requests, &r->id, r);
    if (r->refusal) {
        start_timer(r, 0);
    }
    else {
        start_attempt(r);
    }
    return r->id;
}

/* Returns BASE/PART or BASE/PART/KEY, with PART and KEY escaped. */
static char *
make_url(const char *base, const char *part, const char *key)
{
    char *p = g_uri_escape_string(part, NULL, FALSE);
    char *k = key ? g_uri_escape_string(key, NULL, FALSE) : NULL;
    char *url = g_strconcat(base, "/", p, k ? "/" : "", k ? k : "", NULL);

    g_free(p);
    g_free(k);
    return url;
}

/* Copies the settings. seed is for the jitter of backoffs. */
struct cloud_client *
cloud_client_create(struct ev_loop *loop, const struct cloud_settings *s,
                    uint64_t seed)
{
    struct cloud_client *c = g_new0(struct cloud_client, 1);

    c->loop = loop;
    c->multi = cloud_multi_create(loop, on_transfer_done, c);
    c->table_url = g_strdup(s->table_url);
    c->object_url = g_strdup(s->object_url);
    c->vms_url = g_strdup(s->vms_url);
    c->timeout_ms = s->timeout_ms > 0 ? s->timeout_ms : TIMEOUT_DEFAULT_MS;
    c->rate = s->rate > 0 ? s->rate : RATE_DEFAULT_PER_S;
    c->attempts = s->attempts > 0 ? s->attempts : MAX_ATTEMPTS_DEFAULT;
    c->max_in_flight = (guint)(s->max_in_flight > 0 ? s->max_in_flight
                                                    : MAX_IN_FLIGHT_DEFAULT);
    c->requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_request);
    c->tokens = c->rate;
    c->refilled_at = clock_monotonic_ms();
    rng_seed(&c->rng, seed);
    return c;
}

/* Cancels all requests without calling done, and frees the client; c may be
   NULL. Inside a done callback, the loop frees it later. */
void
cloud_client_destroy(struct cloud_client *c)
{
    if (!c) {
        return;
    }
    if (c->callback_depth == 0) {
        destroy(c);
        return;
    }
    c->freed = true;
    g_hash_table_remove_all(c->requests);
    ev_once(c->loop, -1, 0, 0., destroy_later, c);
}

/* The counters are valid as long as the client. */
const struct cloud_counters *
cloud_client_counters(const struct cloud_client *c)
{
    return &c->counters;
}

/* Cancels a request without calling done. Unknown ids are ignored. */
void
cloud_cancel(struct cloud_client *c, uint64_t id)
{
    g_hash_table_remove(c->requests, &id);
}

/* Reads at most limit rows with keys greater than after, in order of their
   keys. */
uint64_t
cloud_table_list(struct cloud_client *c, const char *table, const char *after,
                 int limit, int attempts, cloud_done_fn done, void *ctx)
{
    char *base = make_url(c->table_url, table, NULL);
    char *key = g_uri_escape_string(after, NULL, FALSE);
    char *url = g_strdup_printf("%s?after=%s&limit=%d", base, key, limit);

    g_free(base);
    g_free(key);
    return submit(
        new_request(c, url, NULL, 0, CLOUD_BODY_ROWS, attempts, done, ctx));
}

/* Reads one row; status is 200 or 404. */
uint64_t
cloud_table_get(struct cloud_client *c, const char *table, const char *key,
                int attempts, cloud_done_fn done, void *ctx)
{
    return submit(new_request(c, make_url(c->table_url, table, key), NULL, 0,
                              CLOUD_BODY_ROW, attempts, done, ctx));
}

/* Creates a table write. value must be UTF-8. */
static struct request *
new_write(struct cloud_client *c, const char *table, const char *key,
          const char *value, int attempts, cloud_done_fn done, void *ctx)
{
    char *body = cloud_value_encode(value);

    g_assert(body);
    return new_request(c, make_url(c->table_url, table, key), body,
                       strlen(body), CLOUD_BODY_NONE, attempts, done, ctx);
}

/* Inserts a row unless its key exists. status is 201, or 412 with the existing
   row as rows[0]. */
uint64_t
cloud_table_insert(struct cloud_client *c, const char *table, const char *key,
                   const char *value, int attempts, cloud_done_fn done,
                   void *ctx)
{
    struct request *r = new_write(c, table, key, value, attempts, done, ctx);

    r->insert = true;
    r->expect = CLOUD_BODY_ROW;
    r->headers = curl_slist_append(r->headers, "If-None-Match: *");
    return submit(r);
}

/* Writes a row whether or not its key exists. */
uint64_t
cloud_table_put(struct cloud_client *c, const char *table, const char *key,
                const char *value, int attempts, cloud_done_fn done, void *ctx)
{
    return submit(new_write(c, table, key, value, attempts, done, ctx));
}

/* Reads an object into body; status is 200 or 404. */
uint64_t
cloud_object_get(struct cloud_client *c, const char *name, int attempts,
                 cloud_done_fn done, void *ctx)
{
    return submit(new_request(c, make_url(c->object_url, name, NULL), NULL, 0,
                              CLOUD_BODY_RAW, attempts, done, ctx));
}

/* Writes an object of n bytes. */
uint64_t
cloud_object_put(struct cloud_client *c, const char *name, const char *body,
                 size_t n, int attempts, cloud_done_fn done, void *ctx)
{
    char *copy = g_malloc(n + 1);

    memcpy(copy, body, n);
    copy[n] = '\0';
    return submit(new_request(c, make_url(c->object_url, name, NULL), copy, n,
                              CLOUD_BODY_NONE, attempts, done, ctx));
}

uint64_t
cloud_vm_list(struct cloud_client *c, int attempts, cloud_done_fn done,
              void *ctx)
{
    return submit(new_request(c, g_strdup(c->vms_url), NULL, 0, CLOUD_BODY_VMS,
                              attempts, done, ctx));
}

/* Stand-in for the platform's HTTP services. Requests:

   GET /table/NAME?after=KEY&limit=N
       the rows after KEY in key order
   GET /table/NAME/KEY
       one row, or 404
   PUT /table/NAME/KEY
       stores {"value": ...}; with "If-None-Match: *", 201 or 412 with the
       existing row
   GET, PUT /object/NAME
       raw bytes
   GET, PUT /vms
       the VM list; PUT replaces it
   PUT /fault, GET /stats
       control of the stand-in by tests; faults do not affect these two */
#include "platform.h"

#include "base/clock.h"
#include "base/rng.h"

#include <arpa/inet.h>
#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define BODY_MAX_BYTES ((size_t)1 << 20)
#define LIST_LIMIT_MAX 1000
#define DELAY_MAX_MS 10000
#define STATUS_NO_ANSWER 0 /* close the connection without a response */

/* One version of the VM list. */
struct vm_list {
    clock_ms stored_at;
    char *json;
};

struct fake_platform {
    struct MHD_Daemon *daemon;
    uint16_t port;
    GMutex mutex;
    GTree *rows; /* "TABLE/KEY" -> value */
    GHashTable *objects;
    GQueue vms; /* struct vm_list, oldest first */
    struct rng rng;
    bool down;
    bool lose_answers; /* requests are executed but not answered */
    int delay_ms;
    int vms_lag_ms;    /* age from which GET /vms returns a list */
    double error_rate; /* 0 to 1 */
    uint64_t reads, writes, lost, errors;
};

/* A request body received so far. */
struct upload {
    GString *body;
    bool too_large;
};

/* The response of a handler; owns body. */
struct reply {
    unsigned status;
    char *body;
    size_t n;
};

static gint
compare_keys(gconstpointer a, gconstpointer b, gpointer ctx)
{
    (void)ctx;
    return strcmp(a, b);
}

/* Builds a JSON response; takes ownership of json. */
static struct reply
reply_json(unsigned status, json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);
    struct reply r = {status, g_strdup(text), strlen(text)};

    free(text);
    json_decref(json);
    return r;
}

/* Builds an error response with the given error code. */
static struct reply
reply_error(unsigned status, const char *code)
{
    return reply_json(status, json_pack("{s:s}", "error", code));
}

static struct reply
reply_row(unsigned status, const char *key, const char *value)
{
    return reply_json(status,
                      json_pack("{s:s,s:s}", "key", key, "value", value));
}

struct list_scan {
    const char *prefix;
    const char *after;
    size_t limit;
    json_t *rows;
};

/* Collects rows with the prefix and a key after s->after. Returns TRUE, which
   ends the iteration, when the limit is reached. */
static gboolean
scan_row(gpointer key, gpointer value, gpointer ctx)
{
    struct list_scan *s = ctx;
    size_t n = strlen(s->prefix);
    const char *name = key;

    if (strncmp(name, s->prefix, n) == 0 && strcmp(name + n, s->after) > 0) {
        json_array_append_new(s->rows, json_pack("{s:s,s:s}", "key", name + n,
                                                 "value", (char *)value));
    }
    return json_array_size(s->rows) >= s->limit;
}

/* Handles GET /table/NAME. */
static struct reply
list_table(struct fake_platform *f, struct MHD_Connection *c, const char *name)
{
    const char *after =
        MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, "after");
    const char *limit =
        MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, "limit");
    char *prefix = g_strconcat(name, "/", NULL);
    guint64 n = LIST_LIMIT_MAX;

    if (limit &&
        !g_ascii_string_to_unsigned(limit, 10, 1, LIST_LIMIT_MAX, &n, NULL)) {
        g_free(prefix);
        return reply_error(400, "limit");
    }
    struct list_scan s = {prefix, after ? after : "", n, json_array()};

    g_tree_foreach(f->rows, scan_row, &s);
    g_free(prefix);
    return reply_json(200, json_pack("{s:o}", "rows", s.rows));
}

/* Handles PUT /table/NAME/KEY. */
static struct reply
put_row(struct fake_platform *f, struct MHD_Connection *c, const char *path,
        const GString *body)
{
    const char *key = strchr(path, '/') + 1;
    const char *old = g_tree_lookup(f->rows, path);
    const char *match =
        MHD_lookup_connection_value(c, MHD_HEADER_KIND, "If-None-Match");
    json_t *json = json_loadb(body->str, body->len, 0, NULL);
    const char *value = json_string_value(json_object_get(json, "value"));
    struct reply r;

    if (!value) {
        r = reply_error(400, "value");
    }
    else if (match && strcmp(match, "*") != 0) {
        r = reply_error(400, "if-none-match");
    }
    else if (match && old) {
        r = reply_row(412, key, old);
    }
    else {
        g_tree_insert(f->rows, g_strdup(path), g_strdup(value));
        r = reply_row(old ? 200 : 201, key, value);
    }
    json_decref(json);
    return r;
}

static struct reply
serve_table(struct fake_platform *f, struct MHD_Connection *c, bool put,
            const char *path, const GString *body)
{
    const char *slash = strchr(path, '/');

    if (!slash) {
        return put ? reply_error(405, "method") : list_table(f, c, path);
    }
    if (put) {
        return put_row(f, c, path, body);
    }
    const char *value = g_tree_lookup(f->rows, path);

    return value ? reply_row(200, slash + 1, value)
                 : reply_error(404, "absent");
}

static struct reply
serve_object(struct fake_platform *f, bool put, const char *name,
             const GString *body)
{
    if (put) {
        g_hash_table_replace(f->objects, g_strdup(name),
                             g_bytes_new(body->str, body->len));
        return reply_json(201, json_object());
    }
    GBytes *bytes = g_hash_table_lookup(f->objects, name);

    if (!bytes) {
        return reply_error(404, "absent");
    }
    gsize n = 0;
    const void *data = g_bytes_get_data(bytes, &n);

    return (struct reply){200, g_memdup2(data, n), n};
}

static void
free_vm_list(void *p)
{
    struct vm_list *v = p;

    g_free(v->json);
    g_free(v);
}

/* Handles /vms. GET returns the newest list that is at least vms_lag_ms old.
 */
static struct reply
serve_vms(struct fake_platform *f, bool put, const GString *body)
{
    clock_ms now = clock_monotonic_ms();

    if (put) {
        struct vm_list *v = g_new0(struct vm_list, 1);

        v->stored_at = now;
        v->json = g_strndup(body->str, body->len);
        g_queue_push_tail(&f->vms, v);
        return reply_json(200, json_object());
    }
    const char *shown = "{\"vms\":[]}";

    for (GList *l = f->vms.head; l; l = l->next) {
        const struct vm_list *v = l->data;

        if (v->stored_at + f->vms_lag_ms <= now) {
            shown = v->json;
        }
    }
    return (struct reply){200, g_strdup(shown), strlen(shown)};
}

/* Handles PUT /fault. Faults missing in the body keep their value. */
static struct reply
set_fault(struct fake_platform *f, const GString *body)
{
    int down = f->down;
    int lose = f->lose_answers;
    json_int_t seed = -1;
    json_t *json = json_loadb(body->str, body->len, 0, NULL);
    int bad = json_unpack(json, "{s?b,s?i,s?b,s?F,s?I,s?i !}", "down", &down,
                          "delay_ms", &f->delay_ms, "lose_answers", &lose,
                          "error_rate", &f->error_rate, "seed", &seed,
                          "vms_lag_ms", &f->vms_lag_ms);

    json_decref(json);
    if (bad) {
        return reply_error(400, "fault");
    }
    f->down = down;
    f->lose_answers = lose;
    f->delay_ms = CLAMP(f->delay_ms, 0, DELAY_MAX_MS);
    if (seed >= 0) {
        rng_seed(&f->rng, (uint64_t)seed);
    }
    return reply_json(200, json_object());
}

static struct reply
get_stats(const struct fake_platform *f)
{
    return reply_json(
        200, json_pack("{s:I,s:I,s:I,s:I,s:i}", "reads", (json_int_t)f->reads,
                       "writes", (json_int_t)f->writes, "lost",
                       (json_int_t)f->lost, "errors", (json_int_t)f->errors,
                       "rows", g_tree_nnodes(f->rows)));
}

/* Handles a request to one of the three services and applies the faults. */
static struct reply
serve_with_faults(struct fake_platform *f, struct MHD_Connection *c, bool put,
                  const char *url, const GString *body)
{
    struct reply r;

    if (f->down || (f->error_rate > 0 && (double)rng_below(&f->rng, 1000000) <
                                             f->error_rate * 1000000)) {
        f->errors++;
        return reply_error(503, "unavailable");
    }
    f->reads += !put;
    f->writes += put;
    if (g_str_has_prefix(url, "/table/")) {
        r = serve_table(f, c, put, url + strlen("/table/"), body);
    }
    else if (g_str_has_prefix(url, "/object/")) {
        r = serve_object(f, put, url + strlen("/object/"), body);
    }
    else if (strcmp(url, "/vms") == 0) {
        r = serve_vms(f, put, body);
    }
    else {
        r = reply_error(404, "path");
    }
    if (f->lose_answers) {
        f->lost++;
        r.status = STATUS_NO_ANSWER;
    }
    return r;
}

/* Handles a completely received request. */
static struct reply
serve(struct fake_platform *f, struct MHD_Connection *c, const char *method,
      const char *url, const struct upload *up)
{
    bool put = strcmp(method, "PUT") == 0;
    struct reply r;
    int delay = 0;

    if (!put && strcmp(method, "GET") != 0) {
        return reply_error(405, "method");
    }
    if (up->too_large) {
        return reply_error(413, "body");
    }
    g_mutex_lock(&f->mutex);
    if (put && strcmp(url, "/fault") == 0) {
        r = set_fault(f, up->body);
    }
    else if (!put && strcmp(url, "/stats") == 0) {
        r = get_stats(f);
    }
    else {
        delay = f->delay_ms;
        r = serve_with_faults(f, c, put, url, up->body);
    }
    g_mutex_unlock(&f->mutex);
    if (delay > 0) {
        g_usleep((gulong)delay * 1000);
    }
    return r;
}

/* Called by libmicrohttpd after the header, for each part of the body and at
   the end of a request. Returning MHD_NO closes the connection. */
static enum MHD_Result
on_request(void *ctx, struct MHD_Connection *c, const char *url,
           const char *method, const char *version, const char *data,
           size_t *n, void **state)
{
    struct upload *up = *state;

    (void)version;
    if (!up) {
        up = g_new0(struct upload, 1);
        up->body = g_string_new(NULL);
        *state = up;
        return MHD_YES;
    }
    if (*n > 0) {
        if (up->body->len + *n > BODY_MAX_BYTES) {
            up->too_large = true;
        }
        else {
            g_string_append_len(up->body, data, (gssize)*n);
        }
        *n = 0;
        return MHD_YES;
    }
    struct reply r = serve(ctx, c, method, url, up);
    enum MHD_Result ok = MHD_NO;

    if (r.status != STATUS_NO_ANSWER) {
        struct MHD_Response *response = MHD_create_response_from_buffer(
            r.n, r.body, MHD_RESPMEM_MUST_COPY);

        ok = MHD_queue_response(c, r.status, response);
        MHD_destroy_response(response);
    }
    g_free(r.body);
    return ok;
}

static void
on_completed(void *ctx, struct MHD_Connection *c, void **state,
             enum MHD_RequestTerminationCode code)
{
    struct upload *up = *state;

    (void)ctx;
    (void)c;
    (void)code;
    if (up) {
        g_string_free(up->body, TRUE);
        g_free(up);
    }
}

struct fake_platform *
fake_platform_start(uint16_t port)
{
    struct fake_platform *f = g_new0(struct fake_platform, 1);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_mutex_init(&f->mutex);
    g_queue_init(&f->vms);
    f->rows = g_tree_new_full(compare_keys, NULL, g_free, g_free);
    f->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                       (GDestroyNotify)g_bytes_unref);
    f->daemon = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION, 0,
        NULL, NULL, on_request, f, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_END);
    if (!f->daemon) {
        fake_platform_stop(f);
        return NULL;
    }
    f->port = MHD_get_daemon_info(f->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    return f;
}

uint16_t
fake_platform_port(const struct fake_platform *f)
{
    return f->port;
}

void
fake_platform_stop(struct fake_platform *f)
{
    if (f->daemon) {
        MHD_stop_daemon(f->daemon);
    }
    g_tree_destroy(f->rows);
    g_hash_table_destroy(f->objects);
    g_queue_clear_full(&f->vms, free_vm_list);
    g_mutex_clear(&f->mutex);
    g_free(f);
}

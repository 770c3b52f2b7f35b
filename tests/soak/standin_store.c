#include "soak/soak.h"

#include "base/deferred_free.h"
#include "base/listener.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A request whose answer is lost is given up 1.2 s after this time. A member
   must be left 7 s after its report or an outage, and a configuration be in
   force 4 s after an outage, of which 0.4 s are for telling it to peers. */
#define FEED_WAIT_MAX_MS 5500
#define OPERATOR_FEED_WAIT_MAX_MS 2400

/* Keys of the proxies' own table. */
#define VIEW_KEY "view"
#define MARKER_PREFIX "store-era/"

#define SNAPSHOT_INTERVAL_MS 100
#define SNAPSHOT_KEEP_MS 10000

struct row {
    char *table;
    char *key;
    char *value; /* base64; NULL when deleted */
    uint64_t version;
};

/* One HTTP connection. waiting is set while a feed request (long poll) has no
   changes to report yet. */
struct client {
    struct standin_store *store;
    struct stream *stream;
    bool muted; /* a response was lost: nothing further is delivered */
    bool waiting;
    char table[64];
    uint64_t after;
    clock_ms feed_deadline;
    GList link;
};

/* The rows at one moment, from which the store may come back. */
struct snapshot {
    clock_ms at;
    uint64_t version;
    GPtrArray *rows;
};

struct standin_store {
    struct soak *soak;
    struct ev_loop *loop;
    int fd;
    ev_io io;
    ev_timer tick;
    GPtrArray *rows;
    uint64_t version;
    uint64_t era; /* rises each time the store comes back from a snapshot */
    GQueue snapshots;      /* of struct snapshot, the newest at the tail */
    uint64_t history_from; /* a feed from an older version gets 410 */
    bool down;
    bool silent;
    bool lose_answers;
    struct deferred_free *deferred_free;
    GQueue clients;
    standin_promotion_fn promote;
};

/* Returns a row, even if it is deleted; NULL if it never existed. */
static struct row *
find_row(const struct standin_store *st, const char *table, const char *key)
{
    for (guint i = 0; i < st->rows->len; i++) {
        struct row *r = st->rows->pdata[i];
        if (strcmp(r->table, table) == 0 && strcmp(r->key, key) == 0) {
            return r;
        }
    }
    return NULL;
}

/* Sets a row at the store's current version. value is base64, NULL deletes. */
static void
set_row(struct standin_store *st, const char *table, const char *key,
        const char *value)
{
    struct row *r = find_row(st, table, key);

    if (r == NULL) {
        r = g_new0(struct row, 1);
        r->table = g_strdup(table);
        r->key = g_strdup(key);
        g_ptr_array_add(st->rows, r);
    }
    g_free(r->value);
    r->value = g_strdup(value);
    r->version = st->version;
}

static json_t *
row_to_json(const struct row *r)
{
    json_t *o =
        json_pack("{ss ss ss sI}", "table", r->table, "part", "", "key",
                  r->key, "row_version", (json_int_t)r->version);

    json_object_set_new(o, r->value != NULL ? "value" : "deleted",
                        r->value != NULL ? json_string(r->value)
                                         : json_true());
    return o;
}

/* Sends an HTTP response. Takes ownership of body. */
static void
respond(struct client *c, int status, json_t *body)
{
    json_object_set_new(body, "row_version",
                        json_integer((json_int_t)c->store->version));
    json_object_set_new(body, "now_ms", json_integer(clock_monotonic_ms()));
    char *text = json_dumps(body, JSON_COMPACT);
    char *out = g_strdup_printf("HTTP/1.1 %d X\r\nContent-Type: "
                                "application/json\r\nStore-Era: %llu\r\n"
                                "Content-Length: %zu\r\n\r\n%s",
                                status, (unsigned long long)c->store->era,
                                strlen(text), text);

    stream_write(c->stream, out, strlen(out));
    c->waiting = false;
    json_decref(body);
    free(text);
    g_free(out);
}

/* Returns the value of a query parameter, or ""; the caller frees it. */
static char *
query_parameter(const char *path, const char *name)
{
    char *key = g_strdup_printf("%s=", name);
    const char *at = strstr(path, key);
    const size_t n = at == NULL ? 0 : strcspn(at + strlen(key), "&");
    char *raw = at == NULL ? g_strdup("") : g_strndup(at + strlen(key), n);
    char *out = g_uri_unescape_string(raw, NULL);

    g_free(raw);
    g_free(key);
    return out != NULL ? out : g_strdup("");
}

static int
compare_keys(const void *a, const void *b)
{
    return strcmp((*(struct row *const *)a)->key,
                  (*(struct row *const *)b)->key);
}

/* Answers rows-get: the rows of a table from key "from" up to but without key
   "target". */
static void
answer_rows_get(struct client *c, const char *path)
{
    char *table = query_parameter(path, "table");
    char *from = query_parameter(path, "from");
    char *target = query_parameter(path, "target");
    json_t *rows = json_array();

    g_ptr_array_sort(c->store->rows, compare_keys);
    for (guint i = 0; i < c->store->rows->len; i++) {
        const struct row *r = c->store->rows->pdata[i];
        if (r->value != NULL && strcmp(r->table, table) == 0 &&
            strcmp(r->key, from) >= 0 &&
            (target[0] == '\0' || strcmp(r->key, target) < 0)) {
            json_array_append_new(rows, row_to_json(r));
        }
    }
    respond(c, 200, json_pack("{so sb}", "rows", rows, "has_more", 0));
    g_free(table);
    g_free(from);
    g_free(target);
}

/* Answers a feed request if there are changes or its wait time is over; 410 if
   its version is older than the kept history, or was given before the store
   came back from a snapshot and has not been given again. */
static void
answer_feed_if_due(struct client *c, clock_ms now)
{
    const struct standin_store *st = c->store;
    json_t *rows = json_array();

    if (c->after < st->history_from || c->after > st->version) {
        json_decref(rows);
        respond(c, 410, json_object());
        return;
    }
    for (guint i = 0; i < st->rows->len; i++) {
        const struct row *r = st->rows->pdata[i];
        if (strcmp(r->table, c->table) == 0 && r->version > c->after) {
            json_array_append_new(rows, row_to_json(r));
        }
    }
    if (json_array_size(rows) == 0 && now < c->feed_deadline) {
        json_decref(rows);
        return;
    }
    if (st->silent) {
        c->muted = true;
        c->waiting = false;
        json_decref(rows);
        return;
    }
    respond(c, 200, json_pack("{so}", "rows", rows));
}

/* Parses a feed request, and answers it at once if there are changes. */
static void
answer_rows_feed(struct client *c, const char *path)
{
    char *table = query_parameter(path, "table");
    char *after = query_parameter(path, "after");
    char *wait = query_parameter(path, "wait_ms");

    g_strlcpy(c->table, table, sizeof(c->table));
    if (strtoll(wait, NULL, 10) > (strcmp(table, "op") == 0
                                       ? OPERATOR_FEED_WAIT_MAX_MS
                                       : FEED_WAIT_MAX_MS)) {
        soak_violation(c->store->soak, "feed of %s may be held for %s ms",
                       table, wait);
    }
    c->after = strtoull(after, NULL, 10);
    c->feed_deadline = clock_monotonic_ms() + strtoll(wait, NULL, 10);
    c->waiting = true;
    answer_feed_if_due(c, clock_monotonic_ms());
    g_free(table);
    g_free(after);
    g_free(wait);
}

static const char *
string_field(const json_t *o, const char *name)
{
    return json_string_value(json_object_get(o, name));
}

/* Returns true if a list of rows has one whose key begins with a prefix. */
static bool
names_key(const json_t *rows, const char *prefix)
{
    size_t i;
    const json_t *o;

    json_array_foreach(rows, i, o)
    {
        if (g_str_has_prefix(string_field(o, "key"), prefix)) {
            return true;
        }
    }
    return false;
}

/* Checks that a write of the view that is carried out has the marker of its
   era in its condition: a late write of an earlier era could else meet a
   version that was given out again. Of two proxies that write the first view,
   the second has read the table before there was a marker; its write is
   refused for the version of the view. */
static void
check_marker(const struct standin_store *st, const json_t *body)
{
    bool has_marker = false;

    for (guint i = 0; i < st->rows->len; i++) {
        const struct row *r = st->rows->pdata[i];
        has_marker = has_marker || (r->value != NULL &&
                                    g_str_has_prefix(r->key, MARKER_PREFIX));
    }
    if (has_marker && names_key(json_object_get(body, "writes"), VIEW_KEY) &&
        !names_key(json_object_get(body, "expected_rev"), MARKER_PREFIX)) {
        soak_violation(st->soak, "the view is written without its marker");
    }
}

/* Executes rows-tx. Answers 412 with the present rows if the version of an
   expected row differs. */
static void
answer_rows_tx(struct client *c, const json_t *body)
{
    struct standin_store *st = c->store;
    json_t *conflicts = json_array();
    size_t i;
    const json_t *o;
    bool ok = true;

    json_array_foreach(json_object_get(body, "expected_rev"), i, o)
    {
        const struct row *r =
            find_row(st, string_field(o, "table"), string_field(o, "key"));
        const uint64_t has = r == NULL || r->value == NULL ? 0 : r->version;
        ok = ok && has == (uint64_t)json_integer_value(
                              json_object_get(o, "row_version"));
        if (has != 0) {
            json_array_append_new(conflicts, row_to_json(r));
        }
    }
    if (!ok) {
        respond(c, 412, json_pack("{so}", "rows", conflicts));
        return;
    }
    json_decref(conflicts);
    check_marker(st, body);
    st->version++;
    json_array_foreach(json_object_get(body, "writes"), i, o)
    {
        set_row(st, string_field(o, "table"), string_field(o, "key"),
                string_field(o, "value"));
    }
    json_array_foreach(json_object_get(body, "deletes"), i, o)
    {
        set_row(st, string_field(o, "table"), string_field(o, "key"), NULL);
    }
    if (st->lose_answers) {
        c->waiting = false;
        return;
    }
    respond(c, 200, json_object());
}

/* Answers a promotion order. */
static void
promote(struct client *c, const char *head, const json_t *body)
{
    const char *fence = strstr(head, "X-Fence-Token: ");
    const char *id = string_field(body, "id");
    const char *holder = strstr(head, "X-Duty-Holder: ");
    const uint64_t f =
        fence == NULL ? 0
                      : strtoull(fence + strlen("X-Fence-Token: "), NULL, 10);

    if (id == NULL || holder == NULL) {
        respond(c, 400, json_object());
        return;
    }
    holder += strlen("X-Duty-Holder: ");
    char *name = g_strndup(holder, strcspn(holder, "\r"));
    const int status = c->store->promote(c->store->soak, name, id, f);
    g_free(name);
    if (status == 0) {
        c->muted = true;
        return;
    }
    respond(c, status, json_object());
}

static void
dispatch(struct client *c, const char *head, const char *text)
{
    json_t *body = json_loads(text, 0, NULL);

    c->muted = c->muted || c->store->silent;
    if (c->muted) {
        json_decref(body);
        return;
    }
    if (c->store->down) {
        respond(c, 503, json_object());
    }
    else if (g_str_has_prefix(head, "GET /galenastep/rows-get")) {
        char **words = g_strsplit(head, " ", 3);
        answer_rows_get(c, words[1]);
        g_strfreev(words);
    }
    else if (g_str_has_prefix(head, "GET /galenastep/rows-feed")) {
        char **words = g_strsplit(head, " ", 3);
        answer_rows_feed(c, words[1]);
        g_strfreev(words);
    }
    else if (g_str_has_prefix(head, "POST /galenastep/rows-tx")) {
        answer_rows_tx(c, body);
    }
    else if (g_str_has_prefix(head, "POST /promotion")) {
        promote(c, head, body);
    }
    else {
        respond(c, 404, json_object());
    }
    json_decref(body);
}

/* Handles a request once its head and body have arrived. */
static void
on_readable(void *ctx)
{
    struct client *c = ctx;
    const struct sview in = stream_input(c->stream);
    const char *end = memmem(in.p, in.n, "\r\n\r\n", 4);

    if (end == NULL) {
        return;
    }
    const size_t head_n = (size_t)(end - in.p) + 4;
    char *head = g_strndup(in.p, head_n);
    const char *length = strstr(head, "Content-Length: ");
    const size_t n =
        length == NULL
            ? 0
            : strtoul(length + strlen("Content-Length: "), NULL, 10);
    if (in.n >= head_n + n) {
        char *body = g_strndup(in.p + head_n, n);
        stream_consume(c->stream, head_n + n);
        dispatch(c, head, body);
        g_free(body);
    }
    g_free(head);
}

static void
on_closed(void *ctx, const char *why)
{
    struct client *c = ctx;

    (void)why;
    g_queue_unlink(&c->store->clients, &c->link);
    stream_close(c->stream);
    deferred_free_add(c->store->deferred_free, c);
}

static const struct stream_callbacks client_events = {.readable = on_readable,
                                                      .closed = on_closed};

static void
on_accept(struct ev_loop *loop, ev_io *w, int revents)
{
    struct standin_store *st = w->data;
    const int fd = accept4(st->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

    (void)revents;
    if (fd < 0) {
        return;
    }
    struct client *c = g_new0(struct client, 1);
    c->store = st;
    c->link.data = c;
    c->stream = stream_from_fd(loop, fd, &client_events, c);
    g_queue_push_tail_link(&st->clients, &c->link);
}

static void
row_free(void *p)
{
    struct row *r = p;

    g_free(r->table);
    g_free(r->key);
    g_free(r->value);
    g_free(r);
}

static GPtrArray *
copy_rows(const GPtrArray *rows)
{
    GPtrArray *copy = g_ptr_array_new_with_free_func(row_free);

    for (guint i = 0; i < rows->len; i++) {
        const struct row *r = rows->pdata[i];
        struct row *n = g_new0(struct row, 1);
        n->table = g_strdup(r->table);
        n->key = g_strdup(r->key);
        n->value = g_strdup(r->value);
        n->version = r->version;
        g_ptr_array_add(copy, n);
    }
    return copy;
}

static void
snapshot_free(void *p)
{
    struct snapshot *s = p;

    g_ptr_array_unref(s->rows);
    g_free(s);
}

/* Takes a snapshot if the last one is old enough, and frees old ones. */
static void
take_snapshot(struct standin_store *st, clock_ms now)
{
    const struct snapshot *last = g_queue_peek_tail(&st->snapshots);
    const struct snapshot *first = g_queue_peek_head(&st->snapshots);

    if (last != NULL && now - last->at < SNAPSHOT_INTERVAL_MS) {
        return;
    }
    struct snapshot *s = g_new0(struct snapshot, 1);
    s->at = now;
    s->version = st->version;
    s->rows = copy_rows(st->rows);
    g_queue_push_tail(&st->snapshots, s);
    if (first != NULL && now - first->at > SNAPSHOT_KEEP_MS) {
        snapshot_free(g_queue_pop_head(&st->snapshots));
    }
}

/* Answers the waiting feed requests that have changes or have timed out. */
static void
on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct standin_store *st = w->data;
    const clock_ms now = clock_monotonic_ms();

    (void)loop;
    (void)revents;
    for (GList *l = st->clients.head; l != NULL; l = l->next) {
        struct client *c = l->data;
        if (c->waiting && !st->down) {
            answer_feed_if_due(c, now);
        }
    }
    take_snapshot(st, now);
}

/* Starts listening; aborts the soak if the port is in use. */
struct standin_store *
standin_store_create(struct soak *s, struct ev_loop *loop, const char *host,
                     uint16_t port, standin_promotion_fn on_promotion)
{
    struct standin_store *st = g_new0(struct standin_store, 1);

    st->soak = s;
    st->loop = loop;
    st->promote = on_promotion;
    st->rows = g_ptr_array_new_with_free_func(row_free);
    st->deferred_free = deferred_free_create(loop, g_free);
    st->version = 1;
    st->era = 1;
    g_queue_init(&st->clients);
    g_queue_init(&st->snapshots);
    st->fd = listener_open(host, port);
    if (st->fd < 0) {
        g_error("store %s:%u cannot listen", host, port);
    }
    ev_io_init(&st->io, on_accept, st->fd, EV_READ);
    st->io.data = st;
    ev_io_start(loop, &st->io);
    ev_timer_init(&st->tick, on_tick, 0.005, 0.005);
    st->tick.data = st;
    ev_timer_start(loop, &st->tick);
    return st;
}

void
standin_store_destroy(struct standin_store *st)
{
    struct client *c;

    ev_io_stop(st->loop, &st->io);
    ev_timer_stop(st->loop, &st->tick);
    close(st->fd);
    while ((c = g_queue_peek_head(&st->clients)) != NULL) {
        on_closed(c, "end");
    }
    deferred_free_destroy(st->deferred_free);
    g_queue_clear_full(&st->snapshots, snapshot_free);
    g_ptr_array_free(st->rows, TRUE);
    g_free(st);
}

/* Writes a row with plain text as value, as the operator or a member does;
   NULL deletes it. */
void
standin_store_put(struct standin_store *st, const char *table, const char *key,
                  const char *value)
{
    char *encoded =
        value == NULL ? NULL
                      : g_base64_encode((const guchar *)value, strlen(value));

    st->version++;
    set_row(st, table, key, encoded);
    g_free(encoded);
}

/* While down, every request gets 503 and feed requests stay open. */
void
standin_store_set_down(struct standin_store *st, bool down)
{
    st->down = down;
}

/* While silent, neither new requests nor feed requests that become due get an
   answer, and their connections deliver nothing further. */
void
standin_store_set_silent(struct standin_store *st, bool silent)
{
    st->silent = silent;
}

/* When set, transactions are executed but not answered. */
void
standin_store_lose_answers(struct standin_store *st, bool lose_answers)
{
    st->lose_answers = lose_answers;
}

/* Discards the history of changes, so that feeds from an older version get
   410. */
void
standin_store_discard_history(struct standin_store *st)
{
    st->history_from = st->version;
}

/* Comes back from the newest snapshot that is at least age_ms old: what was
   written since is lost, and its versions are given out again. */
void
standin_store_restore(struct standin_store *st, clock_ms age_ms)
{
    const clock_ms now = clock_monotonic_ms();
    struct snapshot *s = g_queue_pop_tail(&st->snapshots);

    while (st->snapshots.length > 0 && now - s->at < age_ms) {
        snapshot_free(s);
        s = g_queue_pop_tail(&st->snapshots);
    }
    g_ptr_array_unref(st->rows);
    st->rows = copy_rows(s->rows);
    st->version = s->version;
    st->history_from = MIN(st->history_from, st->version);
    st->era++;
    snapshot_free(s);
}

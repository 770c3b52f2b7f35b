#define LOG_MODULE "ticket"

#include "ticket/sync.h"

#include "base/log.h"
#include "ticket/submission.h"

#include <string.h>

/* The table is read at least once every 5 s, including the time of the answer,
   so a ticket is in force on every proxy in time even if all pushes were lost.
 */
#define POLL_MIN_MS 3500
#define POLL_JITTER_MS 1000
#define LIST_TIMEOUT_MS 3000
/* Every 30th poll, about every two minutes, also reads the next page of a scan
   of the whole table. The scan finds rows that were written too late to be in
   the window of numbers that polls read. */
#define SCAN_EVERY_POLLS 30
/* Limits of the phases of ticket_sync_start(). */
#define START_PEERS_TIMEOUT_MS 1000
#define START_SNAPSHOT_TIMEOUT_MS 2000
#define START_MAX_PULLS 2
/* At most one pull per heartbeat of a peer. */
#define PULL_INTERVAL_MS 400
/* If digests still differ after this time, pulling the newest numbers was not
   enough, and the whole state is pulled. The time covers two heartbeats and
   one exchange. */
#define FULL_PULL_AFTER_MS 1500
#define SNAPSHOT_INTERVAL_MS 30000
/* Peers reject RPC records over 64 KB; this leaves room for the headers. */
#define PUSH_MAX_BYTES 49152

enum phase {
    PHASE_IDLE,
    PHASE_PEERS,    /* waiting for the state of a peer */
    PHASE_SNAPSHOT, /* waiting for the snapshot object */
    PHASE_RUNNING,  /* polling the table */
};

struct peer {
    bool digest_differs;
    clock_ms digest_differs_since;
    clock_ms next_pull;
    clock_ms next_full_pull;
};

struct ticket_sync {
    struct ticket_sync_ops ops;
    void *ctx;
    struct ticket_state *state;
    struct rng *rng;
    GHashTable *peers; /* id -> struct peer */
    enum phase phase;
    clock_ms phase_deadline;
    bool ready;
    uint64_t complete_to;
    clock_ms next_poll;
    clock_ms list_deadline; /* 0: no list request is pending */
    uint64_t list_id;       /* to drop late answers to earlier requests */
    int list_limit; /* rows per page; reduced if a page was too large */
    uint64_t list_after;
    bool list_is_scan;
    uint64_t scan_after;
    uint64_t poll_count;
    bool snapshot_writer;
    clock_ms next_snapshot;
    struct ticket_digest written_digest;
    struct ticket_sync_counters counters;
};

/* ctx is passed to ops. state and rng are borrowed. */
struct ticket_sync *
ticket_sync_create(const struct ticket_sync_ops *ops, void *ctx,
                   struct ticket_state *state, struct rng *rng)
{
    struct ticket_sync *s = g_new0(struct ticket_sync, 1);

    s->ops = *ops;
    s->ctx = ctx;
    s->state = state;
    s->rng = rng;
    s->list_limit = TICKET_LIST_MAX_ROWS;
    s->peers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return s;
}

/* NULL is allowed. */
void
ticket_sync_destroy(struct ticket_sync *s)
{
    if (s) {
        g_hash_table_destroy(s->peers);
        g_free(s);
    }
}

static void
send_pull(struct ticket_sync *s, uint32_t peer, bool full)
{
    struct ticket_digest own = ticket_state_digest(s->state);

    s->counters.pulls_sent++;
    s->counters.full_pulls_sent += full;
    s->ops.pull(s->ctx, peer, &own, full);
}

/* Adds a connected peer. */
void
ticket_sync_peer_up(struct ticket_sync *s, uint32_t peer)
{
    if (!g_hash_table_contains(s->peers, GUINT_TO_POINTER(peer))) {
        g_hash_table_insert(s->peers, GUINT_TO_POINTER(peer),
                            g_new0(struct peer, 1));
        if (s->phase == PHASE_PEERS) {
            send_pull(s, peer, true);
        }
    }
}

/* Removes a peer that is no longer connected. */
void
ticket_sync_peer_down(struct ticket_sync *s, uint32_t peer)
{
    g_hash_table_remove(s->peers, GUINT_TO_POINTER(peer));
}

/* Sets whether this proxy writes the snapshot object. More than one writer at
   a time is safe and only causes redundant writes. */
void
ticket_sync_set_snapshot_writer(struct ticket_sync *s, bool writer)
{
    s->snapshot_writer = writer;
}

/* Requests a page of rows with numbers above after. */
static void
send_list(struct ticket_sync *s, clock_ms now, uint64_t after, bool scan)
{
    char key[TICKET_ROW_KEY_BYTES];

    s->list_after = after;
    s->list_is_scan = scan;
    s->list_deadline = now + LIST_TIMEOUT_MS;
    s->counters.store_reads++;
    ticket_row_key_format(after, key);
    s->ops.list(s->ctx, ++s->list_id, key, s->list_limit);
}

static void
schedule_poll(struct ticket_sync *s, clock_ms now)
{
    s->next_poll =
        now + POLL_MIN_MS + (clock_ms)rng_below(s->rng, POLL_JITTER_MS);
}

/* Starts a poll of the table at complete_to minus the window. It cannot start
   at the highest number in force, because that may have come from a peer while
   rows with lower numbers have not been read yet. */
static void
start_poll(struct ticket_sync *s, clock_ms now)
{
#ifdef TICKET_BREAK_POLL_FROM_HIGHEST
    uint64_t from = ticket_state_digest(s->state).highest;
#else
    uint64_t from = s->complete_to;
#endif
    schedule_poll(s, now);
    s->poll_count++;
    send_list(s, now,
              from > TICKET_NUMBER_WINDOW ? from - TICKET_NUMBER_WINDOW : 0,
              false);
}

static void
enter_snapshot(struct ticket_sync *s, clock_ms now)
{
    s->phase = PHASE_SNAPSHOT;
    s->phase_deadline = now + START_SNAPSHOT_TIMEOUT_MS;
    s->ops.snapshot_read(s->ctx);
}

static void
enter_running(struct ticket_sync *s, clock_ms now)
{
    s->phase = PHASE_RUNNING;
    start_poll(s, now);
}

/* Starts to load the state: from peers, then from the snapshot object unless a
   peer sent its whole state, then from the table. */
void
ticket_sync_start(struct ticket_sync *s, clock_ms now)
{
    GHashTableIter it;
    void *id;
    int asked = 0;

    s->next_snapshot = now + SNAPSHOT_INTERVAL_MS;
    s->phase = PHASE_PEERS;
    s->phase_deadline = now + START_PEERS_TIMEOUT_MS;
    g_hash_table_iter_init(&it, s->peers);
    while (asked < START_MAX_PULLS && g_hash_table_iter_next(&it, &id, NULL)) {
        send_pull(s, GPOINTER_TO_UINT(id), true);
        asked++;
    }
    if (asked == 0) {
        enter_snapshot(s, now);
    }
}

/* Pushes objects to a peer, split into texts below the record limit. Only a
   single text with the whole state may contain complete_to, because one of
   several texts may be lost. Only a ready proxy may send it, because the
   receiver then considers itself ready. */
static void
push_objects(struct ticket_sync *s, uint32_t peer, GPtrArray *objects,
             bool whole)
{
    guint begin = 0;

    do {
        GPtrArray *part = g_ptr_array_new();
        GString *size = g_string_new(NULL);

        for (guint i = begin; i < objects->len; i++) {
            ticket_object_write(objects->pdata[i], true, size);
            if (size->len > PUSH_MAX_BYTES && part->len > 0) {
                break;
            }
            g_ptr_array_add(part, objects->pdata[i]);
        }
        bool all = whole && s->ready && part->len == objects->len;
        char *text = ticket_snapshot_write(part, all ? s->complete_to : 0);

        begin += part->len;
        s->counters.pushes_sent++;
        s->ops.push(s->ctx, peer, text);
        g_free(text);
        g_string_free(size, TRUE);
        g_ptr_array_free(part, TRUE);
    } while (begin < objects->len);
}

/* Merges a ticket that is in the store and pushes it to all peers. */
void
ticket_sync_publish(struct ticket_sync *s, const struct ticket *t)
{
    GPtrArray *objects = g_ptr_array_new();
    GHashTableIter it;
    void *id;

    if (ticket_state_apply(s->state, t) > 0) {
        for (size_t i = 0; i < t->n_objects; i++) {
            g_ptr_array_add(objects, t->objects[i]);
        }
        g_hash_table_iter_init(&it, s->peers);
        while (g_hash_table_iter_next(&it, &id, NULL)) {
            push_objects(s, GPOINTER_TO_UINT(id), objects, false);
        }
    }
    g_ptr_array_free(objects, TRUE);
}

/* Handles the digest in a peer's heartbeat; pulls if it differs from the own
   one. */
void
ticket_sync_on_digest(struct ticket_sync *s, clock_ms now, uint32_t peer,
                      const struct ticket_digest *digest)
{
    struct peer *p = g_hash_table_lookup(s->peers, GUINT_TO_POINTER(peer));
    struct ticket_digest own = ticket_state_digest(s->state);

    if (!p) {
        return;
    }
    if (ticket_digest_equal(&own, digest)) {
        p->digest_differs = false;
        return;
    }
    if (!p->digest_differs) {
        p->digest_differs = true;
        p->digest_differs_since = now;
    }
    if (now < p->next_pull) {
        return;
    }
#ifdef TICKET_BREAK_NO_PULL
    return;
#endif
    bool full = now - p->digest_differs_since >= FULL_PULL_AFTER_MS &&
                now >= p->next_full_pull;

    p->next_pull = now + PULL_INTERVAL_MS;
    if (full) {
        p->next_full_pull = now + FULL_PULL_AFTER_MS;
    }
    send_pull(s, peer, full);
}

/* Answers a pull by a peer. A full pull is answered even if nothing is
   missing, because a starting peer waits for the answer. */
void
ticket_sync_on_pull(struct ticket_sync *s, uint32_t peer,
                    const struct ticket_digest *digest, bool full)
{
    GPtrArray *objects = ticket_state_list_missing(
        s->state, digest, full ? UINT64_MAX : TICKET_NUMBER_WINDOW);

    if (objects->len > 0 || full) {
        push_objects(s, peer, objects, full);
    }
    g_ptr_array_free(objects, TRUE);
}

/* Merges a serialized snapshot; source is named in the log if it is rejected.
   Returns its complete_to, or 0. */
static uint64_t
merge_text(struct ticket_sync *s, const char *text, size_t n,
           const char *source)
{
    struct ticket_error err = {0};
    uint64_t complete_to = 0;
    size_t changed = 0;

    if (!ticket_snapshot_apply(s->state, text, n, &complete_to, &changed,
                               &err)) {
        s->counters.texts_refused++;
        LOG_WARNING("merge", source, "tickets refused: group=[%s] key=%s %s",
                    err.group, err.key, err.reason);
        return 0;
    }
    s->complete_to = MAX(s->complete_to, complete_to);
    return complete_to;
}

/* Handles a snapshot text pushed by a peer. */
void
ticket_sync_on_push(struct ticket_sync *s, clock_ms now, const char *text,
                    size_t n)
{
    uint64_t complete_to = merge_text(s, text, n, "peer");

    /* A text with complete_to has the whole state. After an empty or partial
       text the snapshot object and the table are still needed. */
    if (complete_to > 0) {
        s->ready = true;
        if (s->phase == PHASE_PEERS) {
            enter_running(s, now);
        }
    }
}

/* Handles the snapshot object; text is NULL if it could not be read. */
void
ticket_sync_on_snapshot(struct ticket_sync *s, clock_ms now, const char *text,
                        size_t n)
{
    if (text) {
        merge_text(s, text, n, "snapshot");
    }
    if (s->phase == PHASE_SNAPSHOT) {
        enter_running(s, now);
    }
}

static void
merge_row(struct ticket_sync *s, const struct ticket_row *row, uint64_t number)
{
    struct ticket_error err = {0};
    struct ticket *t = ticket_parse(row->text, strlen(row->text), &err);

    if (!t || t->number != number) {
        s->counters.rows_refused++;
        LOG_WARNING("merge", row->key, "row refused: group=[%s] key=%s %s",
                    err.group, err.key, err.reason);
    }
    else {
        ticket_state_apply(s->state, t);
    }
    ticket_free(t);
}

/* Handles a page of the table. A stale page is harmless, because the higher
   number wins; complete_to only advances over rows that were read. */
void
ticket_sync_on_rows(struct ticket_sync *s, clock_ms now, uint64_t id,
                    enum ticket_list_result result,
                    const struct ticket_row *rows, size_t n)
{
    uint64_t last = s->list_after;

    if (s->list_deadline == 0 || id != s->list_id) {
        return;
    }
    s->list_deadline = 0;
#ifndef TICKET_BREAK_FIXED_PAGE
    if (result == TICKET_LIST_TOO_LARGE && s->list_limit > 1) {
        s->list_limit = MAX(1, s->list_limit / 4);
        send_list(s, now, s->list_after, s->list_is_scan);
        return;
    }
#endif
    if (result != TICKET_LIST_DONE) {
        s->counters.store_failures++;
        return;
    }
    bool full_page = n >= (size_t)s->list_limit;

    s->list_limit = MIN(s->list_limit * 2, TICKET_LIST_MAX_ROWS);
    for (size_t i = 0; i < n; i++) {
        uint64_t number = 0;

        if (!ticket_row_key_parse(rows[i].key, &number)) {
            s->counters.rows_refused++;
            continue;
        }
        merge_row(s, &rows[i], number);
        last = MAX(last, number);
    }
    full_page = full_page && last > s->list_after;
    if (s->list_is_scan) {
        s->scan_after = full_page ? last : 0;
        return;
    }
    s->complete_to = MAX(s->complete_to, last);
    if (full_page) {
        send_list(s, now, last, false);
        return;
    }
    s->ready = true;
    if (s->poll_count % SCAN_EVERY_POLLS == 0) {
        send_list(s, now, s->scan_after, true);
    }
}

/* Writes the snapshot object if it is due, this proxy is a writer and ready,
   and the state changed since the last write. */
static void
write_snapshot(struct ticket_sync *s, clock_ms now)
{
    struct ticket_digest own = ticket_state_digest(s->state);

    if (now < s->next_snapshot) {
        return;
    }
    s->next_snapshot = now + SNAPSHOT_INTERVAL_MS;
    if (!s->snapshot_writer || !s->ready ||
        ticket_digest_equal(&own, &s->written_digest)) {
        return;
    }
    GPtrArray *all = ticket_state_list_missing(
        s->state, &(struct ticket_digest){.highest = 0}, UINT64_MAX);
    char *text = ticket_snapshot_write(all, s->complete_to);

    if (strlen(text) <= TICKET_SNAPSHOT_MAX_BYTES) {
        s->written_digest = own;
        s->counters.snapshots_written++;
        s->ops.snapshot_write(s->ctx, text);
    }
    else {
        LOG_ERROR("snapshot", NULL, "snapshot of %zu bytes exceeds the limit",
                  strlen(text));
    }
    g_free(text);
    g_ptr_array_free(all, TRUE);
}

/* Handles timeouts, and starts polls and snapshot writes that are due. */
void
ticket_sync_tick(struct ticket_sync *s, clock_ms now)
{
    if (s->phase == PHASE_PEERS && now >= s->phase_deadline) {
        enter_snapshot(s, now);
    }
    else if (s->phase == PHASE_SNAPSHOT && now >= s->phase_deadline) {
        enter_running(s, now);
    }
    if (s->phase != PHASE_RUNNING) {
        return;
    }
    if (s->list_deadline != 0 && now >= s->list_deadline) {
        s->list_deadline = 0;
        s->counters.store_failures++;
    }
    if (now >= s->next_poll && s->list_deadline == 0) {
        start_poll(s, now);
    }
    write_snapshot(s, now);
}

/* Returns when ticket_sync_tick() must be called next. */
clock_ms
ticket_sync_deadline(const struct ticket_sync *s)
{
    if (s->phase == PHASE_IDLE) {
        return CLOCK_NEVER;
    }
    if (s->phase != PHASE_RUNNING) {
        return s->phase_deadline;
    }
    clock_ms poll = s->list_deadline != 0 ? s->list_deadline : s->next_poll;

    return MIN(poll, s->next_snapshot);
}

/* Returns true once the state has all tickets that were accepted before
   ticket_sync_start(): the table was read to its end, or a ready peer sent its
   whole state. */
bool
ticket_sync_ready(const struct ticket_sync *s)
{
    return s->ready;
}

/* Returns the number up to which every row of the table is known. */
uint64_t
ticket_sync_complete_to(const struct ticket_sync *s)
{
    return s->complete_to;
}

/* Returns the counters; they are valid until ticket_sync_destroy(). */
const struct ticket_sync_counters *
ticket_sync_counters(const struct ticket_sync *s)
{
    return &s->counters;
}

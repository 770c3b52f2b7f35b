#define LOG_MODULE "ticket"

#include "ticket/sync.h"

#include "base/log.h"
#include "ticket/submission.h"

#include <string.h>

/* The store is read once in 5 s at most, answer included, so a ticket whose
   pushes were all lost is still in force everywhere in time. */
#define POLL_MIN_MS 3500
#define POLL_JITTER_MS 1000
#define LIST_TIMEOUT_MS 3000
/* Every 30th poll also reads one page of the whole table, about once in two
   minutes, for rows that arrive later than the window allows for. */
#define SWEEP_EVERY_POLLS 30
#define BOOT_PEERS_MS 1000
#define BOOT_SNAPSHOT_MS 2000
#define BOOT_PEERS_ASKED 2
/* One pull for each heartbeat at most. */
#define PULL_INTERVAL_MS 400
/* A digest that still differs after this time needs more than the newest
   numbers. Two heartbeats and an exchange fit in. */
#define FULL_PULL_AFTER_MS 1500
#define SNAPSHOT_INTERVAL_MS 30000
/* Peers refuse records over 64 KB; this leaves room for the envelope. */
#define PUSH_MAX_BYTES 49152

enum phase {
    PHASE_IDLE,
    PHASE_PEERS,
    PHASE_SNAPSHOT,
    PHASE_RUNNING,
};

struct peer {
    bool differs;
    clock_ms differs_since;
    clock_ms next_pull;
    clock_ms next_full;
};

struct ticket_sync {
    struct ticket_sync_ops ops;
    void *ctx;
    struct ticket_state *state;
    struct rng *rng;
    GHashTable *peers; /* id -> struct peer */
    enum phase phase;
    clock_ms phase_until;
    bool ready;
    uint64_t complete_to;
    clock_ms next_poll;
    clock_ms list_until; /* 0 when no list is in flight */
    uint64_t list_id;    /* a late answer to an earlier list is dropped */
    int list_limit;      /* rows asked for; smaller after a page too large */
    uint64_t list_after;
    bool list_is_sweep;
    uint64_t sweep_after;
    uint64_t polls;
    bool snapshot_writer;
    clock_ms next_snapshot;
    struct ticket_digest written;
    struct ticket_sync_counters counters;
};

/* Creates the machine; state and rng are borrowed. */
struct ticket_sync *
ticket_sync_new(const struct ticket_sync_ops *ops, void *ctx,
                struct ticket_state *state, struct rng *rng)
{
    struct ticket_sync *s = g_new0(struct ticket_sync, 1);

    s->ops = *ops;
    s->ctx = ctx;
    s->state = state;
    s->rng = rng;
    s->list_limit = TICKET_LIST_LIMIT;
    s->peers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return s;
}

/* Frees the machine; NULL is allowed. */
void
ticket_sync_free(struct ticket_sync *s)
{
    if (s) {
        g_hash_table_destroy(s->peers);
        g_free(s);
    }
}

/* Sends one pull. */
static void
send_pull(struct ticket_sync *s, uint32_t peer, bool full)
{
    struct ticket_digest own = ticket_state_digest(s->state);

    s->counters.pulls_sent++;
    s->counters.full_pulls_sent += full;
    s->ops.pull(s->ctx, peer, &own, full);
}

/* Adds a peer that pushes and pulls go to. */
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

/* Drops a peer. */
void
ticket_sync_peer_down(struct ticket_sync *s, uint32_t peer)
{
    g_hash_table_remove(s->peers, GUINT_TO_POINTER(peer));
}

/* Makes this proxy the one that writes the snapshot object. More than one
   writer at a time is safe and only costs writes. */
void
ticket_sync_set_snapshot_writer(struct ticket_sync *s, bool writer)
{
    s->snapshot_writer = writer;
}

/* Asks the table service for the rows above number after. */
static void
send_list(struct ticket_sync *s, clock_ms now, uint64_t after, bool sweep)
{
    char key[TICKET_KEY_BYTES];

    s->list_after = after;
    s->list_is_sweep = sweep;
    s->list_until = now + LIST_TIMEOUT_MS;
    s->counters.store_reads++;
    ticket_key(after, key);
    s->ops.list(s->ctx, ++s->list_id, key, s->list_limit);
}

/* Draws the time of the next poll. */
static void
plan_poll(struct ticket_sync *s, clock_ms now)
{
    s->next_poll =
        now + POLL_MIN_MS + (clock_ms)rng_below(s->rng, POLL_JITTER_MS);
}

/* Begins a poll of the table. It starts below complete_to by the window. It
   does not start at the highest number in force, which may have come from a
   peer while lower rows were not read yet. */
static void
start_poll(struct ticket_sync *s, clock_ms now)
{
#ifdef TICKET_BREAK_POLL_FROM_HIGHEST
    uint64_t from = ticket_state_digest(s->state).highest;
#else
    uint64_t from = s->complete_to;
#endif
    plan_poll(s, now);
    s->polls++;
    send_list(s, now, from > TICKET_WINDOW ? from - TICKET_WINDOW : 0, false);
}

/* Goes on to reading the snapshot object. */
static void
enter_snapshot(struct ticket_sync *s, clock_ms now)
{
    s->phase = PHASE_SNAPSHOT;
    s->phase_until = now + BOOT_SNAPSHOT_MS;
    s->ops.snapshot_read(s->ctx);
}

/* Ends the boot; from here on the table is polled. */
static void
enter_running(struct ticket_sync *s, clock_ms now)
{
    s->phase = PHASE_RUNNING;
    start_poll(s, now);
}

/* Starts to load tickets: from peers first, then from the snapshot object
   unless a peer gave the whole state, then from the table. */
void
ticket_sync_start(struct ticket_sync *s, clock_ms now)
{
    GHashTableIter it;
    void *id;
    int asked = 0;

    s->next_snapshot = now + SNAPSHOT_INTERVAL_MS;
    s->phase = PHASE_PEERS;
    s->phase_until = now + BOOT_PEERS_MS;
    g_hash_table_iter_init(&it, s->peers);
    while (asked < BOOT_PEERS_ASKED &&
           g_hash_table_iter_next(&it, &id, NULL)) {
        send_pull(s, GPOINTER_TO_UINT(id), true);
        asked++;
    }
    if (asked == 0) {
        enter_snapshot(s, now);
    }
}

/* Sends objects to a peer in texts below the record limit. Only a single
   text that holds the whole state may carry complete_to, as one of several
   texts can be lost on the way; and only a proxy that is ready gives it, as
   its receiver takes itself to be ready then. */
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

/* Merges a ticket that the store has taken and pushes it to all peers. */
void
ticket_sync_accepted(struct ticket_sync *s, const struct ticket *t)
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

/* Takes a peer's digest from a heartbeat and pulls when it differs. */
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
        p->differs = false;
        return;
    }
    if (!p->differs) {
        p->differs = true;
        p->differs_since = now;
    }
    if (now < p->next_pull) {
        return;
    }
#ifdef TICKET_BREAK_NO_PULL
    return;
#endif
    bool full =
        now - p->differs_since >= FULL_PULL_AFTER_MS && now >= p->next_full;

    p->next_pull = now + PULL_INTERVAL_MS;
    if (full) {
        p->next_full = now + FULL_PULL_AFTER_MS;
    }
    send_pull(s, peer, full);
}

/* Answers a peer's pull. A full pull is answered even when nothing is
   missing, because a booting peer waits for it. */
void
ticket_sync_on_pull(struct ticket_sync *s, uint32_t peer,
                    const struct ticket_digest *digest, bool full)
{
    GPtrArray *objects = ticket_state_missing(
        s->state, digest, full ? UINT64_MAX : TICKET_WINDOW);

    if (objects->len > 0 || full) {
        push_objects(s, peer, objects, full);
    }
    g_ptr_array_free(objects, TRUE);
}

/* Merges snapshot text; a refused text is logged and counted. Returns its
   complete_to, or 0. */
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
        LOG_WARNING("merge", source, "group=[%s] key=%s %s", err.group,
                    err.key, err.reason);
        return 0;
    }
    s->complete_to = MAX(s->complete_to, complete_to);
    return complete_to;
}

/* Takes text that a peer pushed. */
void
ticket_sync_on_push(struct ticket_sync *s, clock_ms now, const char *text,
                    size_t n)
{
    uint64_t complete_to = merge_text(s, text, n, "peer");

    /* A peer that has read the table itself gives the whole state. An empty
       or partial answer leaves the other sources to be asked. */
    if (complete_to > 0) {
        s->ready = true;
        if (s->phase == PHASE_PEERS) {
            enter_running(s, now);
        }
    }
}

/* Takes the snapshot object; text is NULL when it could not be read. */
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

/* Merges one row. */
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

/* Takes a page of the table. Rows are merged by number, so a stale page
   lowers nothing; complete_to follows only rows that were seen. */
void
ticket_sync_on_rows(struct ticket_sync *s, clock_ms now, uint64_t id,
                    enum ticket_list_result result,
                    const struct ticket_row *rows, size_t n)
{
    uint64_t last = s->list_after;

    if (s->list_until == 0 || id != s->list_id) {
        return;
    }
    s->list_until = 0;
#ifndef TICKET_BREAK_FIXED_PAGE
    if (result == TICKET_LIST_TOO_LARGE && s->list_limit > 1) {
        s->list_limit = MAX(1, s->list_limit / 4);
        send_list(s, now, s->list_after, s->list_is_sweep);
        return;
    }
#endif
    if (result != TICKET_LIST_DONE) {
        s->counters.store_failures++;
        return;
    }
    bool full_page = n >= (size_t)s->list_limit;

    s->list_limit = MIN(s->list_limit * 2, TICKET_LIST_LIMIT);
    for (size_t i = 0; i < n; i++) {
        uint64_t number = 0;

        if (!ticket_key_number(rows[i].key, &number)) {
            s->counters.rows_refused++;
            continue;
        }
        merge_row(s, &rows[i], number);
        last = MAX(last, number);
    }
    full_page = full_page && last > s->list_after;
    if (s->list_is_sweep) {
        s->sweep_after = full_page ? last : 0;
        return;
    }
    s->complete_to = MAX(s->complete_to, last);
    if (full_page) {
        send_list(s, now, last, false);
        return;
    }
    s->ready = true;
    if (s->polls % SWEEP_EVERY_POLLS == 0) {
        send_list(s, now, s->sweep_after, true);
    }
}

/* Writes the snapshot object when this proxy is its writer, has read the
   table, and the state differs from the last one written. */
static void
write_snapshot(struct ticket_sync *s, clock_ms now)
{
    struct ticket_digest own = ticket_state_digest(s->state);

    if (now < s->next_snapshot) {
        return;
    }
    s->next_snapshot = now + SNAPSHOT_INTERVAL_MS;
    if (!s->snapshot_writer || !s->ready ||
        ticket_digest_equal(&own, &s->written)) {
        return;
    }
    GPtrArray *all = ticket_state_missing(
        s->state, &(struct ticket_digest){.highest = 0}, UINT64_MAX);
    char *text = ticket_snapshot_write(all, s->complete_to);

    if (strlen(text) <= TICKET_SNAPSHOT_MAX_BYTES) {
        s->written = own;
        s->counters.snapshots_written++;
        s->ops.snapshot_write(s->ctx, text);
    }
    else {
        LOG_ERROR("snapshot", NULL, "text of %zu bytes is over the limit",
                  strlen(text));
    }
    g_free(text);
    g_ptr_array_free(all, TRUE);
}

/* Does what is due. */
void
ticket_sync_tick(struct ticket_sync *s, clock_ms now)
{
    if (s->phase == PHASE_PEERS && now >= s->phase_until) {
        enter_snapshot(s, now);
    }
    else if (s->phase == PHASE_SNAPSHOT && now >= s->phase_until) {
        enter_running(s, now);
    }
    if (s->phase != PHASE_RUNNING) {
        return;
    }
    if (s->list_until != 0 && now >= s->list_until) {
        s->list_until = 0;
        s->counters.store_failures++;
    }
    if (now >= s->next_poll && s->list_until == 0) {
        start_poll(s, now);
    }
    write_snapshot(s, now);
}

/* Returns when ticket_sync_tick() is due next. */
clock_ms
ticket_sync_deadline(const struct ticket_sync *s)
{
    if (s->phase == PHASE_IDLE) {
        return CLOCK_NEVER;
    }
    if (s->phase != PHASE_RUNNING) {
        return s->phase_until;
    }
    clock_ms poll = s->list_until != 0 ? s->list_until : s->next_poll;

    return MIN(poll, s->next_snapshot);
}

/* Tells whether the state holds all tickets that were accepted before the
   boot: the table was read to its end, or a peer that had done so gave its
   whole state. Before that the state may miss tickets. */
bool
ticket_sync_ready(const struct ticket_sync *s)
{
    return s->ready;
}

/* Returns up to which number all rows of the table are known. */
uint64_t
ticket_sync_complete_to(const struct ticket_sync *s)
{
    return s->complete_to;
}

/* Returns the counters, which live as long as the machine. */
const struct ticket_sync_counters *
ticket_sync_counters(const struct ticket_sync *s)
{
    return &s->counters;
}

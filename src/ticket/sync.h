#ifndef TICKET_SYNC_H
#define TICKET_SYNC_H

#include "base/clock.h"
#include "base/rng.h"
#include "ticket/state.h"

/* Maximum rows per page. */
#define TICKET_LIST_MAX_ROWS 100

/* One row of the tickets table. */
struct ticket_row {
    const char *key;
    const char *text;
};

/* Result of a list request. */
enum ticket_list_result {
    TICKET_LIST_DONE,
    TICKET_LIST_FAILED,
    TICKET_LIST_TOO_LARGE, /* the page exceeds the size limit of answers */
};

/* Callbacks of the synchronization. */
struct ticket_sync_ops {
    /* Sends text to a peer, which passes it to ticket_sync_on_push(). */
    void (*push)(void *ctx, uint32_t peer, const char *text);
    /* Requests the objects that this proxy is missing; the peer passes the
       request to ticket_sync_on_pull(). */
    void (*pull)(void *ctx, uint32_t peer, const struct ticket_digest *own,
                 bool full);
    /* Lists at most limit rows with keys above after; the result is passed to
       ticket_sync_on_rows() with the same id. */
    void (*list)(void *ctx, uint64_t id, const char *after, int limit);
    /* Reads the snapshot object; the result is passed to
       ticket_sync_on_snapshot(). */
    void (*snapshot_read)(void *ctx);
    /* Writes the snapshot object; the result is not reported. */
    void (*snapshot_write)(void *ctx, const char *text);
};

struct ticket_sync_counters {
    uint64_t pushes_sent;
    uint64_t pulls_sent;
    uint64_t full_pulls_sent;
    uint64_t texts_refused;
    uint64_t rows_refused;
    uint64_t store_reads;
    uint64_t store_failures;
    uint64_t snapshots_written;
};

/* State machine that keeps the tickets of this proxy in step with the tickets
   table and with its peers. */
struct ticket_sync;

struct ticket_sync *ticket_sync_create(const struct ticket_sync_ops *ops,
                                       void *ctx, struct ticket_state *state,
                                       struct rng *rng);
void ticket_sync_destroy(struct ticket_sync *s);
void ticket_sync_peer_up(struct ticket_sync *s, uint32_t peer);
void ticket_sync_peer_down(struct ticket_sync *s, uint32_t peer);
void ticket_sync_set_snapshot_writer(struct ticket_sync *s, bool writer);
void ticket_sync_start(struct ticket_sync *s, clock_ms now);
void ticket_sync_publish(struct ticket_sync *s, const struct ticket *t);
void ticket_sync_on_digest(struct ticket_sync *s, clock_ms now, uint32_t peer,
                           const struct ticket_digest *digest);
void ticket_sync_on_push(struct ticket_sync *s, clock_ms now, const char *text,
                         size_t n);
void ticket_sync_on_pull(struct ticket_sync *s, uint32_t peer,
                         const struct ticket_digest *digest, bool full);
void ticket_sync_on_rows(struct ticket_sync *s, clock_ms now, uint64_t id,
                         enum ticket_list_result result,
                         const struct ticket_row *rows, size_t n);
void ticket_sync_on_snapshot(struct ticket_sync *s, clock_ms now,
                             const char *text, size_t n);
void ticket_sync_tick(struct ticket_sync *s, clock_ms now);
clock_ms ticket_sync_deadline(const struct ticket_sync *s);
bool ticket_sync_ready(const struct ticket_sync *s);
uint64_t ticket_sync_complete_to(const struct ticket_sync *s);
const struct ticket_sync_counters *
ticket_sync_counters(const struct ticket_sync *s);

#endif

#include "capacity/process_usage.h"

#include "fleet/peer_xdr.h"
#include "fleet/rpc_codec.h"
#include "ticket/state.h"

#include <stdio.h>
#include <string.h>

/* Measures memory, CPU time and message sizes of the ticket state for several
   numbers of databases with three objects (database, shares, staleness) each.
   Prints key=value lines. */

#define DIGEST_RUNS 1000000
#define APPLY_RUNS 2000

/* Returns a ticket that sets the three objects of one database; the caller
   frees it. */
static struct ticket *
make_ticket(unsigned database, uint64_t number)
{
    struct ticket_error err = {0};
    char *text = g_strdup_printf(
        "[ticket]\nnumber=%lu\nauthor=amina\ncomment=measurement\n\n"
        "[database db-%05u]\n"
        "members=10.20.1.11:5432,10.20.2.11:5432,10.20.3.11:5432\n"
        "domains=mombasa-1,mombasa-2,lamu-1\nslots=2\nconnections=16\n"
        "user=registry\nconnect_timeout_ms=500\n\n"
        "[shares db-%05u]\nfiling=5:4\nlookup=5:2\nrenewal=0:1\n\n"
        "[staleness db-%05u]\nfiling=0\nlookup=2000\nrenewal=5000\n",
        (unsigned long)number, database, database, database);
    struct ticket *t = ticket_parse(text, strlen(text), &err);

    if (!t) {
        g_error("ticket refused: %s %s", err.key, err.reason);
    }
    g_free(text);
    return t;
}

/* Returns the size on the wire of one push and its answer. */
static size_t
push_bytes(const struct ticket *t)
{
    GPtrArray *objects = g_ptr_array_new();
    GByteArray *body = g_byte_array_new();

    for (size_t i = 0; i < t->n_objects; i++) {
        g_ptr_array_add(objects, t->objects[i]);
    }
    char *text = ticket_snapshot_write(objects, 0);
    peer_ticket push = {.id = 1, .text = text};
    if (!rpc_encode_body(body, RPC_XDR(xdr_peer_ticket), &push)) {
        g_error("push does not encode");
    }
    size_t n = RPC_CALL_OVERHEAD_BYTES + body->len + RPC_REPLY_OVERHEAD_BYTES +
               sizeof(uint32_t);
    g_free(text);
    g_byte_array_free(body, TRUE);
    g_ptr_array_free(objects, TRUE);
    return n;
}

/* Measures writing the whole state as a snapshot and reading it into an empty
   state. */
static void
measure_snapshot(const struct ticket_state *s, unsigned databases)
{
    const struct ticket_digest empty = {0};
    struct ticket_state *copy = ticket_state_create(NULL, NULL);
    struct ticket_error err = {0};
    uint64_t complete_to = 0;
    size_t changed = 0;
    double start = process_cpu_us();
    GPtrArray *all = ticket_state_list_missing(s, &empty, UINT64_MAX);
    char *text = ticket_snapshot_write(all, databases);
    size_t n = strlen(text);

    printf("databases_%u_snapshot_bytes=%zu\n", databases, n);
    printf("databases_%u_snapshot_write_ms=%.1f\n", databases,
           (process_cpu_us() - start) / 1000);
    printf("databases_%u_snapshot_within_limit=%d\n", databases,
           n <= TICKET_SNAPSHOT_MAX_BYTES);
    start = process_cpu_us();
    bool read =
        ticket_snapshot_apply(copy, text, n, &complete_to, &changed, &err);
    printf("databases_%u_snapshot_read=%d\n", databases, read);
    printf("databases_%u_snapshot_read_ms=%.1f\n", databases,
           (process_cpu_us() - start) / 1000);
    g_free(text);
    g_ptr_array_free(all, TRUE);
    ticket_state_destroy(copy);
}

static void
measure(unsigned databases)
{
    double heap = process_heap_bytes();
    struct ticket_state *s = ticket_state_create(NULL, NULL);
    uint64_t sum = 0;

    for (unsigned i = 0; i < databases; i++) {
        struct ticket *t = make_ticket(i, i + 1);

        ticket_state_apply(s, t);
        ticket_free(t);
    }
    heap = process_heap_bytes() - heap;
    printf("databases_%u_state_bytes=%.0f\n", databases, heap);
    printf("databases_%u_bytes_per_object=%.0f\n", databases,
           heap / databases / 3);

    double parse = process_cpu_us();
    struct ticket **more = g_new0(struct ticket *, APPLY_RUNS);
    for (unsigned i = 0; i < APPLY_RUNS; i++) {
        more[i] = make_ticket((i * 7919) % databases, databases + 1 + i);
    }
    double apply = process_cpu_us();
    for (unsigned i = 0; i < APPLY_RUNS; i++) {
        ticket_state_apply(s, more[i]);
    }
    double end = process_cpu_us();
    printf("databases_%u_parse_us_per_ticket=%.1f\n", databases,
           (apply - parse) / APPLY_RUNS);
    printf("databases_%u_apply_us_per_ticket=%.1f\n", databases,
           (end - apply) / APPLY_RUNS);
    printf("databases_%u_push_bytes_per_peer=%zu\n", databases,
           push_bytes(more[0]));
    for (unsigned i = 0; i < APPLY_RUNS; i++) {
        ticket_free(more[i]);
    }
    g_free(more);

    double digest = process_cpu_us();
    for (unsigned i = 0; i < DIGEST_RUNS; i++) {
        sum += ticket_state_digest(s).hash + i;
    }
    printf("databases_%u_digest_ns=%.1f\n", databases,
           (process_cpu_us() - digest) * 1000 / DIGEST_RUNS);
    struct ticket_digest behind = {.highest = databases + APPLY_RUNS - 20,
                                   .hash = sum};
    digest = process_cpu_us();
    GPtrArray *missing = ticket_state_list_missing(s, &behind, 8);
    printf("databases_%u_pull_us=%.0f\n", databases,
           process_cpu_us() - digest);
    printf("databases_%u_pull_objects=%u\n", databases, missing->len);
    g_ptr_array_free(missing, TRUE);
    measure_snapshot(s, databases);
    fflush(stdout);
    ticket_state_destroy(s);
}

int
main(void)
{
    measure(1000);
    measure(6000);
    measure(18000);
    return 0;
}

#include "capacity/process_usage.h"

#include "fleet/loan.h"
#include "fleet/peer_xdr.h"
#include "fleet/rpc_codec.h"

#include <glib.h>
#include <stdio.h>

/* Measures the lending of connections between proxies: the lender of one
   database for several numbers of proxies that share it, and several numbers
   of holders. Prints key=value lines. */

#define LENDERS 200
#define ROUNDS 2000
#define MEMBERS 3
#define ROUND_MS 250

/* Measures the lender's memory, and its CPU time when every proxy requests one
   connection on one member in each round. */
static void
measure_lender(int proxies)
{
    const struct lender_config config = {
        .cap = 28, .proxies = proxies, .members = MEMBERS, .batch_permits = 1};
    struct lender *lenders[LENDERS];
    double heap = process_heap_bytes();
    clock_ms now = 100000;
    uint64_t id = 0;
    long granted = 0;

    for (int i = 0; i < LENDERS; i++) {
        lenders[i] = lender_create(&config, 0);
    }
    printf("proxies_%d_lender_bytes=%.0f\n", proxies,
           (process_heap_bytes() - heap) / LENDERS);
    lender_set_owner(lenders[0], 0, true);
    double cpu = process_cpu_us();
    for (int r = 0; r < ROUNDS; r++) {
        now += ROUND_MS;
        for (int p = 0; p < proxies; p++) {
            lender_confirm(lenders[0], now, p, now);
        }
        for (int p = 0; p < proxies; p++) {
            const struct loan_request q = {.member = r % MEMBERS,
                                           .wanted = 1,
                                           .request_id = ++id,
                                           .sender = p};
            struct loan_grant g = {0};

            lender_request(lenders[0], now, &q, &g);
            granted += g.granted;
        }
    }
    cpu = process_cpu_us() - cpu;
    printf("proxies_%d_request_us=%.2f\n", proxies, cpu / ROUNDS / proxies);
    printf("proxies_%d_requests_granted_permille=%ld\n", proxies,
           granted * 1000 / ROUNDS / proxies);
    for (int i = 0; i < LENDERS; i++) {
        lender_destroy(lenders[i]);
    }
}

static struct loan_request last_request;

/* Stores the request, which measure_holder() answers. */
static void
on_request(void *ctx, const struct loan_request *r)
{
    (void)ctx;
    last_request = *r;
}

static void
on_return(void *ctx, const struct loan_return *r)
{
    (void)ctx;
    (void)r;
}

static void
on_limit(void *ctx, int member, bool batch, int limit)
{
    (void)ctx;
    (void)member;
    (void)batch;
    (void)limit;
}

/* Measures the memory of holders, and the CPU time to renew a lease (demand,
   tick and answer) and of a tick alone. */
static void
measure_holder(int count)
{
    static const struct loan_holder_ops ops = {on_request, on_return,
                                               on_limit};
    struct loan_holder **h = g_new0(struct loan_holder *, count);
    double heap = process_heap_bytes();
    clock_ms now = 100000;

    for (int i = 0; i < count; i++) {
        h[i] = loan_holder_create(&ops, NULL, i, 0, MEMBERS, 1);
    }
    printf("holders_%d_bytes_each=%.0f\n", count,
           (process_heap_bytes() - heap) / count);
    double cpu = process_cpu_us();
    for (int r = 0; r < 100; r++) {
        now += 600;
        for (int i = 0; i < count; i++) {
            last_request = (struct loan_request){0};
            loan_holder_set_demand(h[i], now, r % MEMBERS, false, 1, 1);
            loan_holder_tick(h[i], now);
            loan_holder_on_grant(
                h[i], now,
                &(struct loan_grant){.request_id = last_request.request_id,
                                     .granted = 1,
                                     .lease_ms = LOAN_LEASE_MS});
        }
    }
    printf("holders_%d_renewal_us=%.3f\n", count,
           (process_cpu_us() - cpu) / 100 / count);
    cpu = process_cpu_us();
    for (int r = 0; r < 1000; r++) {
        for (int i = 0; i < count; i++) {
            loan_holder_tick(h[i], now);
        }
    }
    printf("holders_%d_tick_ns=%.1f\n", count,
           (process_cpu_us() - cpu) / count);
    for (int i = 0; i < count; i++) {
        loan_holder_destroy(h[i]);
    }
    g_free(h);
}

/* Prints the size of a request and of its answer on the wire. */
static void
measure_messages(void)
{
    char database[] = "db-00001";
    char member[] = "1";
    peer_loan_request q = {.database = database, .member = member};
    peer_loan_answer a = {0};
    GByteArray *out = g_byte_array_new();

    rpc_encode_body(out, RPC_XDR(xdr_peer_loan_request), &q);
    printf("request_bytes=%u\n", RPC_CALL_OVERHEAD_BYTES + out->len);
    g_byte_array_set_size(out, 0);
    rpc_encode_body(out, RPC_XDR(xdr_peer_loan_answer), &a);
    printf("answer_bytes=%u\n", RPC_REPLY_OVERHEAD_BYTES + out->len);
    g_byte_array_free(out, TRUE);
}

int
main(void)
{
    measure_lender(5);
    measure_lender(16);
    measure_lender(LOAN_MAX_PROXIES);
    measure_holder(100);
    measure_holder(1000);
    measure_messages();
    return 0;
}

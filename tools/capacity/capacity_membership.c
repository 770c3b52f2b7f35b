#include "capacity/fleet_sim.h"

#include "fleet/rpc_auth.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

/* Measures the membership protocol in simulated fleets of several sizes and
   prints key=value lines. CPU figures include the simulated network and the
   XDR encoding, but no signatures, which are measured separately. */

#define WARM_UP_MS 10000
#define STEADY_MS 30000
#define LIMIT_MS 120000
#define SIGN_RUNS 20000

static double
cpu_us(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

static double
heap_bytes(void)
{
    struct mallinfo2 i = mallinfo2();

    return (double)i.uordblks + (double)i.hblkhd;
}

/* Returns the CPU time to sign a message of 200 bytes. */
static double
sign_us(void)
{
    struct rpc_keys *k = rpc_keys_create();
    struct sview key = SVIEW("0123456789abcdef0123456789abcdef");
    char body[200] = {0};
    struct rpc_signed message = {.body = {body, sizeof(body)}};
    uint8_t mac[RPC_MAC_BYTES];

    rpc_keys_set(k, &key, 1);
    double before = cpu_us();
    for (unsigned i = 0; i < SIGN_RUNS; i++) {
        rpc_auth_sign(k, &message, 0, mac);
        body[0] = (char)mac[0];
    }
    double each = (cpu_us() - before) / SIGN_RUNS;
    rpc_keys_destroy(k);
    return each;
}

/* Runs until every other running node sees the node in the phase. Returns the
   simulated time taken, or -1 after LIMIT_MS. Sets *first to the time until
   the first node saw it, or -1. */
static clock_ms
run_until_seen(struct sim *s, unsigned node, enum member_phase phase,
               clock_ms *first)
{
    clock_ms start = s->now;

    *first = -1;
    while (s->now - start < LIMIT_MS) {
        unsigned missing = 0;
        unsigned seen = 0;

        sim_run(s, s->now + 100);
        for (unsigned i = 0; i < s->options.nodes; i++) {
            if (i != node && s->nodes[i].state == SIM_RUNNING) {
                bool sees = sim_node_sees(s, i, node, phase);

                missing += !sees;
                seen += sees;
            }
        }
        if (seen > 0 && *first < 0) {
            *first = s->now - start;
        }
        if (missing == 0) {
            return s->now - start;
        }
    }
    return -1;
}

/* Measures a fleet: traffic, CPU time and memory in steady state, then the
   time until all nodes have learned of a death, a return and a departure. */
static void
measure(unsigned nodes, uint64_t seed)
{
    const struct sim_options options = {
        .nodes = nodes,
        .domains = MIN(nodes, 20),
        .seed = seed,
        .delay_min_ms = 1,
        .delay_max_ms = 60,
    };
    double heap = heap_bytes();
    struct sim *s = sim_create(&options);
    clock_ms first;
    uint64_t bytes = 0;
    uint32_t most_bytes = 0;
    uint64_t not_sent = 0;

    double memory = (heap_bytes() - heap) / nodes;
    sim_run(s, s->now + WARM_UP_MS);
    for (unsigned i = 0; i < nodes; i++) {
        bytes -= s->nodes[i].bytes;
    }
    double cpu = cpu_us();
    sim_run(s, s->now + STEADY_MS);
    cpu = (cpu_us() - cpu) / nodes / (STEADY_MS / 1000.0);
    for (unsigned i = 0; i < nodes; i++) {
        bytes += s->nodes[i].bytes;
    }
    printf("nodes=%u seed=%lu\n", nodes, (unsigned long)seed);
    printf("nodes_%u_control_bytes_per_second=%.0f\n", nodes,
           (double)bytes / nodes / (STEADY_MS / 1000.0));
    printf("nodes_%u_cpu_us_per_second=%.1f\n", nodes, cpu);
    printf("nodes_%u_memory_bytes_per_node=%.0f\n", nodes, memory);
    printf("nodes_%u_memory_bytes_per_member=%.0f\n", nodes, memory / nodes);
    printf("nodes_%u_false_deaths=%lu\n", nodes,
           (unsigned long)s->deaths_seen);

    sim_stop(s, 1);
    clock_ms all = run_until_seen(s, 1, MEMBER_DEAD, &first);
    printf("nodes_%u_death_first_ms=%ld\n", nodes, (long)first);
    printf("nodes_%u_death_everywhere_ms=%ld\n", nodes, (long)all);
    sim_start(s, 1);
    all = run_until_seen(s, 1, MEMBER_LIVE, &first);
    printf("nodes_%u_return_everywhere_ms=%ld\n", nodes, (long)all);
    membership_leave(s->nodes[2].m, s->now);
    all = run_until_seen(s, 2, MEMBER_LEAVING, &first);
    printf("nodes_%u_update_everywhere_ms=%ld\n", nodes, (long)all);

    for (unsigned i = 0; i < nodes; i++) {
        most_bytes = MAX(most_bytes, s->nodes[i].max_bytes_per_second);
        not_sent += membership_counters(s->nodes[i].m)->over_budget;
    }
    printf("nodes_%u_most_bytes_in_a_second=%u\n", nodes, most_bytes);
    printf("nodes_%u_over_budget=%lu\n", nodes, (unsigned long)not_sent);
    fflush(stdout);
    sim_destroy(s);
}

/* Usage: capacity_membership [SEED [NODES...]] */
int
main(int argc, char **argv)
{
    uint64_t seed = argc > 1 ? g_ascii_strtoull(argv[1], NULL, 10) : 1;

    printf("sign_us_per_message=%.2f\n", sign_us());
    if (argc > 2) {
        for (int i = 2; i < argc; i++) {
            guint64 nodes = g_ascii_strtoull(argv[i], NULL, 10);

            if (nodes < 3 || nodes > 10000) {
                fprintf(stderr, "NODES must be from 3 to 10000\n");
                return 2;
            }
            measure((unsigned)nodes, seed);
        }
        return 0;
    }
    measure(5, seed);
    measure(100, seed);
    measure(1000, seed);
    measure(3300, seed);
    return 0;
}

/* Runs the simulation with one seed. Exits with 1 if an invariant is violated;
   with --expect NAME, for the deliberately broken builds, only if it is the
   invariant NAME. */
#include "model.h"

#include <stdio.h>
#include <string.h>

static int seed = 1;
static int submissions = 200;
static char *expect;
static gboolean no_links;
static const GOptionEntry entries[] = {
    {"seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed of the run", "N"},
    {"submissions", 0, 0, G_OPTION_ARG_INT, &submissions, "Tickets", "N"},
    {"expect", 0, 0, G_OPTION_ARG_STRING, &expect, "Invariant", "NAME"},
    {"no-links", 0, 0, G_OPTION_ARG_NONE, &no_links,
     "Proxies reach only the store, which has no faults", NULL},
    {0},
};

static int
compare_ms(const void *a, const void *b)
{
    const clock_ms x = *(const clock_ms *)a;
    const clock_ms y = *(const clock_ms *)b;

    return x < y ? -1 : x > y;
}

/* Returns the 99th percentile of an array of clock_ms, or -1 if it is empty.
   Sorts the array. */
static int
p99(GArray *a)
{
    if (a->len == 0) {
        return -1;
    }
    qsort(a->data, a->len, sizeof(clock_ms), compare_ms);
    return (int)g_array_index(a, clock_ms, (a->len * 99 + 99) / 100 - 1);
}

int
main(int argc, char **argv)
{
    static const struct model_faults all_faults = {.message_lost = 50,
                                                   .answer_lost = 50,
                                                   .request_late = 30,
                                                   .store_error = 50,
                                                   .stale_read = 100,
                                                   .outages = true,
                                                   .partitions = true,
                                                   .restarts = true};
    static const struct model_faults no_links_only = {.no_peer_links = true};
    GOptionContext *options = g_option_context_new(NULL);
    struct model_result r;

    g_option_context_add_main_entries(options, entries, NULL);
    if (!g_option_context_parse(options, &argc, &argv, NULL)) {
        return 2;
    }
    g_option_context_free(options);
    model_run((uint64_t)seed, submissions,
              no_links ? &no_links_only : &all_faults, &r);
    printf("seed=%d\nsubmissions=%d\n", seed, r.submissions);
    for (int i = 0; i < 6; i++) {
        printf("outcome_%s=%d\n", ticket_outcome_name(i), r.outcomes[i]);
    }
    printf("ticket_in_force_ms_p99=%d\n", p99(r.in_force_ms));
    printf("ticket_in_force_wall_ms_p99=%d\n", p99(r.in_force_wall_ms));
    printf("ticket_reverts=%d\n", r.reverts);
    printf("violation=%s\n", r.violation ? r.violation : "none");
    if (r.violation) {
        printf("violation_detail=%s\n", r.detail);
    }
    g_array_free(r.in_force_ms, TRUE);
    g_array_free(r.in_force_wall_ms, TRUE);
    if (expect) {
        return r.violation && strcmp(r.violation, expect) == 0;
    }
    return r.violation != NULL || r.outcomes[TICKET_ACCEPTED] == 0;
}

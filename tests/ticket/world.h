#ifndef TESTS_TICKET_WORLD_H
#define TESTS_TICKET_WORLD_H

#include "ticket/submission.h"
#include "ticket/sync.h"

#define WORLD_PROXIES 5

/* What goes wrong in a run; chances are per thousand. */
struct world_faults {
    int message_lost;   /* messages between proxies */
    int answer_lost;    /* store took effect, answer lost */
    int request_late;   /* answer lost, effect up to 3 s later */
    int store_error;    /* refused without effect */
    int stale_read;     /* reads show the table up to 3 s ago */
    bool outages;       /* store down for up to 16 s at a time */
    bool partitions;    /* proxies cut from each other for up to 8 s */
    bool restarts;      /* of one proxy or of all */
    bool no_peer_links; /* proxies never reach each other */
};

/* What a run found. violation names the first broken invariant. */
struct world_result {
    const char *violation;
    char detail[160];
    int submissions;
    int outcomes[6];
    int reverts;
    GArray *in_force_ms;      /* connected time, one for ticket and proxy */
    GArray *in_force_wall_ms; /* all time */
};

void world_run(uint64_t seed, int submissions, const struct world_faults *f,
               struct world_result *out);

#endif

#ifndef TESTS_TICKET_MODEL_H
#define TESTS_TICKET_MODEL_H

#include "ticket/submission.h"
#include "ticket/sync.h"

#define MODEL_PROXIES 5

/* Faults of a run. Integers are probabilities per thousand. */
struct model_faults {
    int message_lost;   /* a message between proxies is lost */
    int answer_lost;    /* a store request has effect, its answer is lost */
    int request_late;   /* as above, and the effect is up to 3 s late */
    int store_error;    /* a store request fails without effect */
    int stale_read;     /* a read returns the table of up to 3 s ago */
    bool outages;       /* of the store, for up to 16 s */
    bool partitions;    /* of the proxies in two groups, for up to 8 s */
    bool restarts;      /* of one proxy or of all */
    bool no_peer_links; /* proxies are never connected to each other */
};

/* Result of a run. violation is the first violated invariant, or NULL. */
struct model_result {
    const char *violation;
    char detail[160];
    int submissions;
    int outcomes[6];
    int reverts;
    /* Times from the acceptance of a ticket until it is in force on a proxy,
       one element (clock_ms) per ticket and proxy. in_force_ms counts only the
       time in which the proxy is connected to one that has the ticket. */
    GArray *in_force_ms;
    GArray *in_force_wall_ms;
};

void model_run(uint64_t seed, int submissions,
               const struct model_faults *faults, struct model_result *out);

#endif

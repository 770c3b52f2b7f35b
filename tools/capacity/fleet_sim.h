#ifndef CAPACITY_FLEET_SIM_H
#define CAPACITY_FLEET_SIM_H

#include "fleet/membership.h"
#include "fleet/ownership.h"

#include <glib.h>

/* Simulates a fleet in one process: memberships exchange encoded messages over
   a simulated network in simulated time. Used by capacity_membership and by
   the membership tests. */

enum sim_state {
    SIM_RUNNING,
    SIM_PAUSED,
    SIM_STOPPED,
};

struct sim;

struct sim_node {
    struct sim *sim;
    struct membership *m;
    struct ownership *o; /* NULL unless options.objects > 0 */
    uint32_t id;
    uint32_t incarnation;
    enum sim_state state;
    unsigned epoch; /* raised at every start and stop; events of an older epoch
                       are dropped */
    unsigned group; /* group for network partitions, see sim.cut */
    uint64_t bytes;
    uint32_t max_bytes_per_second; /* largest number of bytes sent within one
                                      second */
    struct {
        clock_ms at;
        uint32_t bytes;
    } sent[64];
    unsigned sent_count;
    GString *trace; /* log of phase changes; NULL unless tracing */
};

struct sim_options {
    unsigned nodes;
    unsigned domains;
    uint64_t seed;
    unsigned loss_permille;
    unsigned delay_min_ms;
    unsigned delay_max_ms;
    unsigned objects; /* number of objects whose owners are tracked */
};

struct sim {
    struct sim_options options;
    struct rng rng;
    clock_ms now;
    uint64_t seq;
    struct sim_node *nodes;
    GArray *heap;
    bool cut[8][8];     /* [from group][to group]: messages are lost */
    uint8_t *cut_links; /* cut links, at from * nodes + to; may be NULL */
    uint64_t deaths_seen;
};

struct sim *sim_create(const struct sim_options *options);
void sim_destroy(struct sim *s);
void sim_run(struct sim *s, clock_ms until);
void sim_stop(struct sim *s, unsigned i);
void sim_start(struct sim *s, unsigned i);
void sim_pause(struct sim *s, unsigned i, bool paused);
void sim_set_link_cut(struct sim *s, unsigned from, unsigned to, bool cut);
bool sim_node_sees(const struct sim *s, unsigned i, unsigned other,
                   enum member_phase phase);
const char *sim_object_name(unsigned k);

#endif

#ifndef UPSTREAM_WATCH_H
#define UPSTREAM_WATCH_H

#include "failover/failover.h"
#include "settings/settings.h"
#include "upstream/group_sql.h"

#include <ev.h>

/* Runs the failover decisions of one database group: carries their probes and
   calls over the members' control connections. */
struct watch;

struct watch_ops {
    void (*state)(void *ctx, int member, const struct group_state *s);
    void (*silent)(void *ctx, int member, const char *why);
    /* member is FAILOVER_NOBODY while there is no primary. */
    void (*primary)(void *ctx, int member, uint64_t term);
    void (*hold)(void *ctx, bool hold);
    /* This proxy begins a planned switch. */
    void (*switching)(void *ctx);
};

struct watch_config {
    struct ev_loop *loop;
    const struct settings_database *database;
    uint32_t proxy_id;
    int rank; /* order in which proxies start a failover */
    enum failover_policy policy;
    uint64_t seed;
    const struct watch_ops *ops;
    void *ctx;
};

struct watch *watch_create(const struct watch_config *config);
void watch_destroy(struct watch *w);
struct failover *watch_failover(struct watch *w);
const char *watch_parameter(const struct watch *w, const char *name);
const char *watch_peer(const struct watch *w, int member);
void watch_cancel_backend(struct watch *w, int member, int pid);

#endif

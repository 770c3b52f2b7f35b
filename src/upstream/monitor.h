#ifndef UPSTREAM_MONITOR_H
#define UPSTREAM_MONITOR_H

#include "failover/failover.h"
#include "settings/settings.h"
#include "upstream/group_sql.h"

#include <ev.h>

/* Monitors the members of one database group: runs the failover state machine
   (failover/failover.h) and carries its probes and calls over the members'
   control connections. */
struct monitor;

struct monitor_ops {
    void (*probe_answered)(void *ctx, int member, const struct group_state *s);
    void (*probe_failed)(void *ctx, int member, const char *why);
    /* member is FAILOVER_NO_MEMBER while there is no primary. */
    void (*primary_changed)(void *ctx, int member, uint64_t term);
    /* Called with true when new requests for the primary, writes and reads,
       have to wait, and with false when they may run again. */
    void (*hold_writes)(void *ctx, bool hold_writes);
    /* This proxy has started a planned switch. */
    void (*switch_started)(void *ctx);
};

struct monitor_config {
    struct ev_loop *loop;
    const struct settings_database *database;
    uint32_t proxy_id;
    int rank; /* order in which proxies start a failover; -1: only observes */
    enum failover_policy policy;
    uint64_t seed;                 /* of the failover's random delays */
    const struct monitor_ops *ops; /* must outlive the monitor */
    void *ctx;
};

struct monitor *monitor_create(const struct monitor_config *config);
void monitor_destroy(struct monitor *m);
struct failover *monitor_failover(struct monitor *m);
const char *monitor_parameter(const struct monitor *m, const char *name);
const char *monitor_member_address(const struct monitor *m, int member);
void monitor_cancel_backend(struct monitor *m, int member, int pid);

#endif

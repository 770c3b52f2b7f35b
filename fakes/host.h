#ifndef FAKES_HOST_H
#define FAKES_HOST_H

#include "fakes/group.h"

#include <ev.h>
#include <glib.h>

/* The server: databases and their members, connection limits, statement slots,
   locks and injected faults. Connections are in conn.h. */

#define HOST_CONTROL_USER "galenastep_control"
#define HOST_CONTROL_CONNECTIONS 8

struct conn;
struct host;

struct host_options {
    int connections;      /* limit per database, without control connections */
    int slots;            /* statements executed concurrently per member */
    int connect_delay_ms; /* before the authentication response */
    int replication_delay_ms; /* one way, between members */
    int short_cost_ms;        /* execution time on the table entries */
    int long_cost_ms;         /* execution time on the table renewals */
    gboolean auto_follow;     /* see struct fake_group_options */
};

struct host_member {
    struct host_database *db;
    unsigned index;
    int port;
    int listen_fd; /* -1 while killed */
    ev_io listener;
    unsigned slowdown_factor; /* multiplies execution times */
    int running;              /* statements that hold a slot */
    int running_long;
    int max_running_long;
    int control_connections;
    GQueue slot_queue; /* struct conn waiting for a slot */
    GQueue lock_queue; /* struct conn waiting for a lock */
    GHashTable *locks; /* key to the struct conn that holds its lock */
    GQueue conns;      /* struct conn */
};

struct host_database {
    struct host *host;
    char *name;
    struct fake_group *group;
    unsigned n; /* members */
    struct host_member members[GROUP_MEMBERS_MAX];
    int connections;
    int max_connections;
    uint64_t statements;
    uint64_t reads_primary; /* SELECTs on tables, by the member's role */
    uint64_t reads_replica;
    uint64_t refused_connections;
    uint64_t refused_control_connections;
    uint64_t slots_full_of_long; /* times long statements held all slots */
    uint64_t mixed_statements;   /* on a connection of another owner */
};

struct host {
    struct ev_loop *loop;
    struct host_options options;
    GPtrArray *databases;
    GHashTable *conns_by_pid; /* process ID to struct conn */
    uint32_t last_pid;
    GQueue ready_queue; /* struct conn whose wait is over */
    ev_prepare prepare_watcher;
    ev_timer next_due_timer; /* next message or heartbeat of a group */
};

struct host *host_create(struct ev_loop *loop,
                         const struct host_options *options);
bool host_add_database(struct host *h, const char *spec, GError **error);
void host_destroy(struct host *h);

bool host_admit_conn(struct conn *c);
void host_uncount_conn(struct conn *c);
bool host_acquire_slot(struct host_member *m, struct conn *c, bool is_long);
void host_release_slot(struct host_member *m, bool is_long);
bool host_lock(struct host_member *m, struct conn *c, const char *key,
               bool *deadlock);
void host_unlock_all(struct host_member *m, struct conn *c);
void host_queue_ready_conn(struct host *h, struct conn *c);

bool host_inject_fault(struct conn *c, const char *kind, const char *args,
                       GString *answer);
void host_write_stats(const struct host_database *db, GString *out);

#endif

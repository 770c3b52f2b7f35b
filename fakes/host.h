#ifndef FAKES_HOST_H
#define FAKES_HOST_H

#include "fakes/group.h"

#include <ev.h>
#include <glib.h>

/* Databases, their members, statement slots and faults. */

#define HOST_CONTROL_USER "galenastep_control"
#define HOST_CONTROL_CONNECTIONS 8

struct conn;
struct host;

struct host_options {
    int connections; /* ordinary ones per database, over all members */
    int slots;       /* statements executed at once by a member */
    int connect_delay_ms;
    int replication_delay_ms;
    int short_cost_ms;
    int long_cost_ms;
    gboolean auto_follow;
};

struct host_member {
    struct host_database *db;
    unsigned index;
    int port;
    int listen_fd; /* -1 while killed */
    ev_io listener;
    unsigned slow; /* factor on execution times */
    int running;
    int running_long;
    int max_running_long;
    int control_connections;
    GQueue slot_queue; /* struct conn */
    GQueue lock_queue; /* struct conn */
    GHashTable *locks; /* key to struct conn */
    GQueue conns;      /* struct conn */
};

struct host_database {
    struct host *host;
    char *name;
    struct fake_group *group;
    unsigned n;
    struct host_member members[GROUP_MEMBERS_MAX];
    int connections;
    int max_connections;
    uint64_t statements;
    uint64_t reads_primary; /* SELECTs on tables, by the member's role */
    uint64_t reads_replica;
    uint64_t refused;
    uint64_t refused_control;
    uint64_t slots_full_of_long;
    uint64_t mixed_statements;
};

struct host {
    struct ev_loop *loop;
    struct host_options options;
    GPtrArray *databases;
    GHashTable *by_pid; /* struct conn */
    uint32_t last_pid;
    GQueue ready; /* struct conn whose wait is over */
    ev_prepare pump;
    ev_timer wake;
};

struct host *host_create(struct ev_loop *loop,
                         const struct host_options *options);
bool host_add_database(struct host *h, const char *spec, GError **error);
void host_destroy(struct host *h);

bool host_admit(struct conn *c);
void host_leave(struct conn *c);
bool host_take_slot(struct host_member *m, struct conn *c, bool is_long);
void host_give_slot(struct host_member *m, bool is_long);
bool host_lock(struct host_member *m, struct conn *c, const char *key,
               bool *deadlock);
void host_unlock_all(struct host_member *m, struct conn *c);
void host_ready(struct host *h, struct conn *c);

bool host_fault(struct conn *c, const char *kind, const char *args,
                GString *answer);
void host_stats(const struct host_database *db, GString *out);

#endif

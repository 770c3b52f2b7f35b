#ifndef SETTINGS_SETTINGS_H
#define SETTINGS_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SETTINGS_MAX_MEMBERS 9
#define SETTINGS_MAX_KINDS 16
#define SETTINGS_MAX_DATABASES 64

/* A numeric IP address and a port. */
struct settings_address {
    char *host;
    uint16_t port;
};

struct settings_member {
    struct settings_address address;
    char *domain; /* failure domain */
};

struct settings_database {
    char *name;
    struct settings_member members[SETTINGS_MAX_MEMBERS];
    int member_count;
    int slots;       /* concurrent statements per member */
    int connections; /* limit for all proxies and members together */
    int floor;       /* guaranteed connections per proxy and member */
    char *user;
    char *password; /* must not be logged; NULL if there is none */
    int64_t connect_timeout_ms;
};

/* Expected length of the statements of a caller kind. */
enum settings_class { SETTINGS_CLASS_SHORT, SETTINGS_CLASS_BATCH };

struct settings_kind {
    char *name;
    enum settings_class class;
    int priority;             /* 0 is served first */
    int queue;                /* maximum number of queued requests */
    int64_t deadline_ms;      /* limit of the wait in the queue, and of the
                                 time without output from the member */
    int64_t max_staleness_ms; /* of reads; 0: primary only */
    int64_t straggler_ms;     /* run time from which a short statement
                                 counts as a straggler */
};

struct settings_peer {
    uint32_t id;
    struct settings_address address; /* its control_listen */
    char *domain;                    /* its failure domain */
};

struct settings {
    int64_t id; /* 1 to 65535, unique in the fleet */
    char *name;
    char *failure_domain;
    struct settings_address listen;
    struct settings_address health_listen;  /* port 0: disabled */
    struct settings_address control_listen; /* port 0: disabled */
    char *log_level;
    int64_t drain_limit_ms;
    int64_t max_callers;
    int64_t max_message_bytes;
    int64_t caller_buffer_bytes;

    char *table_url; /* NULL if not set, like the next two */
    char *object_url;
    char *vms_url;
    int64_t platform_timeout_ms;

    struct settings_peer *peers;
    int peer_count;
    char *key_file;

    int64_t cache_entries;
    char **read_only_functions; /* NULL-terminated; NULL if not set */

    struct settings_kind kinds[SETTINGS_MAX_KINDS];
    int kind_count;
    struct settings_database databases[SETTINGS_MAX_DATABASES];
    int database_count;
};

struct settings *settings_load(const char *path, char **error);
void settings_free(struct settings *s);
bool settings_parse_address(const char *text, struct settings_address *out);

#endif

#ifndef NODE_SETTINGS_H
#define NODE_SETTINGS_H

#include "directory/member_entry.h"

#include <stdint.h>

#define NODE_KEY_BYTES 257

struct endpoint {
    char host[MEMBER_HOST_BYTES];
    uint16_t port;
};

/* The settings of one galenastep-platform process. */
struct node_settings {
    char name[MEMBER_NAME_BYTES];
    char failure_domain[MEMBER_NAME_BYTES];
    char host[MEMBER_HOST_BYTES];
    struct endpoint listen;       /* for callers */
    struct endpoint ready_listen; /* for readiness checks */
    struct endpoint store;
    struct endpoint orders;   /* of the service that carries out promotions */
    char key[NODE_KEY_BYTES]; /* shared by all proxies */
    uint16_t peer_port;       /* for messages and copies between proxies */
    uint16_t metrics_port;
    int64_t grace_ms;     /* from SIGTERM to SIGKILL */
    uint16_t limits_port; /* for rate limits; 0: they are not enforced */
    int64_t rate_window_ms;
    int rate_excess_permille;
    int rate_slack; /* operations */
};

bool endpoint_parse(const char *text, struct endpoint *out);
bool node_settings_load(const char *path, struct node_settings *out,
                        char **error);

#endif

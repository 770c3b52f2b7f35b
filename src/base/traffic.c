#include "base/traffic.h"

#include <string.h>

/* Returns the name of a cause in metrics. */
const char *
traffic_cause_name(enum traffic_cause c)
{
    static const char *const names[TRAFFIC_CAUSES] = {
        [TRAFFIC_STATEMENT] = "statement", [TRAFFIC_CONNECT] = "connect",
        [TRAFFIC_QUERY] = "query",         [TRAFFIC_AGREEMENT] = "agreement",
        [TRAFFIC_LIMITS] = "limits",       [TRAFFIC_STORE] = "store",
    };

    return names[c];
}

/* Returns the name of the kind of peer in metrics. */
const char *
traffic_peer_name(enum traffic_peer p)
{
    static const char *const names[TRAFFIC_PEERS] = {
        [TRAFFIC_SAME_DOMAIN] = "same",
        [TRAFFIC_OTHER_DOMAIN] = "other",
        [TRAFFIC_NO_DOMAIN] = "none",
    };

    return names[p];
}

/* Compares the failure domain of a peer with that of this VM. */
enum traffic_peer
traffic_peer_of(const char *own_domain, const char *domain)
{
    if (domain == NULL || domain[0] == '\0') {
        return TRAFFIC_NO_DOMAIN;
    }
    return strcmp(own_domain, domain) == 0 ? TRAFFIC_SAME_DOMAIN
                                           : TRAFFIC_OTHER_DOMAIN;
}

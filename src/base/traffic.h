#ifndef BASE_TRAFFIC_H
#define BASE_TRAFFIC_H

#include <stdint.h>

/* Counters of the bytes that this process exchanges over the network, without
   TCP/IP headers. */

enum traffic_cause {
    TRAFFIC_STATEMENT, /* statements and their answers */
    TRAFFIC_CONNECT,   /* opening connections to members */
    TRAFFIC_QUERY,     /* role and position of members, for a change of
                          primary */
    TRAFFIC_AGREEMENT, /* messages between proxies about the view */
    TRAFFIC_LIMITS,    /* requests for permits of rate limits */
    TRAFFIC_STORE,     /* requests to the store and for orders */
    TRAFFIC_CAUSES,
};

enum traffic_peer {
    TRAFFIC_SAME_DOMAIN,  /* the peer is in the failure domain of this VM */
    TRAFFIC_OTHER_DOMAIN, /* it is in another one */
    TRAFFIC_NO_DOMAIN,    /* it is outside the failure domains, or unknown */
    TRAFFIC_PEERS,
};

struct traffic {
    uint64_t sent[TRAFFIC_CAUSES][TRAFFIC_PEERS];
    uint64_t received[TRAFFIC_CAUSES][TRAFFIC_PEERS];
};

const char *traffic_cause_name(enum traffic_cause c);
const char *traffic_peer_name(enum traffic_peer p);
enum traffic_peer traffic_peer_of(const char *own_domain, const char *domain);

#endif

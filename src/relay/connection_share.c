#include "relay/connection_share.h"

#include <glib.h>

/* Connections to each member that are reserved for status requests outside the
   pool. */
#define RESERVED_CONNECTIONS 1
/* With two connections, a proxy can run a statement while a transaction is
   open on the other. */
#define PREFERRED_SHARE 2
/* A member with two slots does not get faster with more than three statements
   of one proxy. */
#define MAX_SHARE 3
/* Limits of a proxy that has no connections of its own, because there are too
   many proxies. The proxies use a member at different times, so each may open
   several at once: more than transactions usually are open at one database. */
#define ON_DEMAND_WORKING 4
#define ON_DEMAND_TOTAL 6
/* The same where each connection serves one account. 36 proxies with 70
   connections have 1.9 each, but use 0.15 on average, with 88 accounts and
   transactions that rest up to 3 s; one account's transactions may occupy half
   of them. A proxy that could have more on average may have these at once. */
#define ACCOUNTS_TOTAL 8
/* Part of a member's connections, in thousandths, that the proxies together
   keep open on average while they open them on demand. The rest is for peaks,
   and for dead connections that the member still counts. */
#define ON_DEMAND_OPEN_PERMILLE 750
/* The same while a proxy has just started. If all proxies have lost power, the
   members still count their dead connections, and the few that are left have
   to pass from proxy to proxy. */
#define RECENT_START_OPEN_PERMILLE 50
/* Part of a replica's connections, in thousandths, that proxies keep open to
   it. The rest is for transactions that occupy a kept connection, for proxies
   without one, and for dead connections. */
#define HOMES_PERMILLE 800

/* Returns how many connections each proxy may have to a member that accepts
   max_connections in total. The proxies together leave half of them unused:
   after a power loss the member counts the dead connections for seconds, and
   the proxies must still be able to reconnect at once. If half would give less
   than two connections to each proxy, two are allowed as long as all fit. */
int
connection_share(int max_connections, int proxies)
{
    const int usable = MAX(max_connections - RESERVED_CONNECTIONS, 1);
    const int whole = usable / MAX(proxies, 1);
    const int half = usable / 2 / MAX(proxies, 1);

    return CLAMP(half, MAX(MIN(PREFERRED_SHARE, whole), 1), MAX_SHARE);
}

/* Returns how many connections a proxy may have to one member when those with
   an overdue answer are counted too: an equal part of all connections. */
int
connection_share_max(int max_connections, int proxies)
{
    return MAX((max_connections - RESERVED_CONNECTIONS) / MAX(proxies, 1),
               connection_share(max_connections, proxies));
}

/* Returns how many connections a proxy may have to one member right after its
   start. If all proxies have lost power, the member may still count their dead
   connections. The rest of its limit is divided equally, so that the first
   proxies to start do not leave the others without a connection. */
int
connection_share_at_start(int max_connections, int proxies)
{
    const int share = connection_share(max_connections, proxies);
    const int left = max_connections - RESERVED_CONNECTIONS - share * proxies;

    return CLAMP(left / MAX(proxies, 1), 1, share);
}

/* Returns the limits where connections are opened on demand. With a place in
   the fleet, each proxy also keeps a connection to one replica. */
static struct connection_limits
limits_on_demand(const struct fleet_share *f, int usable, int count)
{
    const bool keeps_home = usable < count && f->place.domain_count > 0;
    struct connection_limits l = {
        .working = ON_DEMAND_WORKING,
        .total = f->accounts ? MAX(ACCOUNTS_TOTAL, usable / count)
                             : ON_DEMAND_TOTAL,
        .idle_permille = MAX(usable * ON_DEMAND_OPEN_PERMILLE / count, 1),
        .accounts = f->accounts,
    };

    if (f->recent_start && (f->accounts || keeps_home)) {
        l.idle_permille = MAX(usable * RECENT_START_OPEN_PERMILLE / count, 1);
        l.replica_idle_permille = l.idle_permille;
        return l;
    }

    l.replica_idle_permille = l.idle_permille;
    if (keeps_home) {
        l.max_homes = f->max_connections * HOMES_PERMILLE / 1000;
        const int others = MAX(usable - l.max_homes, 1);
        l.replica_idle_permille =
            MAX(others * ON_DEMAND_OPEN_PERMILLE / count, 1);
        l.place = f->place;
    }
    return l;
}

/* Returns the limits for one of so many proxies. If a member accepts a
   connection of each proxy, these stay open. Otherwise connections are opened
   on demand and closed so that the average of all proxies stays below what the
   member accepts: some proxies would have none if the others kept theirs. They
   are also opened on demand where a connection serves one account only, and a
   proxy cannot keep one for each. */
struct connection_limits
connection_limits_in_fleet(const struct fleet_share *f)
{
    const int usable = MAX(f->max_connections - RESERVED_CONNECTIONS, 1);
    const int count = MAX(f->proxies, 1);

    if (usable < count || f->accounts) {
        return limits_on_demand(f, usable, count);
    }
    if (f->starting) {
        const int share =
            connection_share_at_start(f->max_connections, f->proxies);
        return (struct connection_limits){.working = share, .total = share};
    }
    return (struct connection_limits){
        .working = connection_share(f->max_connections, f->proxies),
        .total = connection_share_max(f->max_connections, f->proxies),
    };
}

/* Returns the limits of a proxy without a place in the fleet and without
   accounts. */
struct connection_limits
connection_limits(int max_connections, int proxies, bool starting)
{
    const struct fleet_share f = {.max_connections = max_connections,
                                  .proxies = proxies,
                                  .starting = starting};

    return connection_limits_in_fleet(&f);
}

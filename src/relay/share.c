#include "relay/share.h"

#include <glib.h>

/* Connections to a member that stay free for questions outside the pool. */
#define SPARE 1
/* With two a proxy can run a statement beside an open transaction. */
#define WANTED 2
/* More than this many statements of one proxy do not make a member with two
   slots faster. */
#define MOST 3

/* Returns how many connections to one member each of `proxies` proxies may
   keep, when the member takes max_connections in all. After a loss of power a
   member counts the dead connections for seconds, so the proxies together
   keep half of them free and can connect again at once. Two are granted
   beyond that half as long as the sum fits. */
int
share_connections(int max_connections, int proxies)
{
    const int usable = MAX(max_connections - SPARE, 1);
    const int whole = usable / MAX(proxies, 1);
    const int half = usable / 2 / MAX(proxies, 1);

    return CLAMP(half, MAX(MIN(WANTED, whole), 1), MOST);
}

/* Returns how many connections to one member a proxy may have while some of
   its own wait for an answer that seems lost: its part of all that the member
   takes. */
int
share_most(int max_connections, int proxies)
{
    return MAX((max_connections - SPARE) / MAX(proxies, 1),
               share_connections(max_connections, proxies));
}

/* Returns how many connections to one member a proxy may keep right after its
   start. All proxies may have lost power, and the member may still count their
   dead connections; what is left of its limit is divided, so that the first
   ones to start do not take it all and leave the others without any. */
int
share_at_start(int max_connections, int proxies)
{
    const int share = share_connections(max_connections, proxies);
    const int left = max_connections - SPARE - share * proxies;

    return CLAMP(left / MAX(proxies, 1), 1, share);
}

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

#include "relay/home.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Counts one proxy of a failure domain. The domains stay in order of name. The
   proxies of domains beyond HOME_DOMAINS_MAX are counted in the last one. */
void
home_place_add(struct home_place *p, const char *failure_domain)
{
    int i = 0;

    while (i < p->domain_count &&
           strcmp(p->domains[i].name, failure_domain) < 0) {
        i++;
    }
    if (i < p->domain_count &&
        strcmp(p->domains[i].name, failure_domain) == 0) {
        p->domains[i].proxies++;
        return;
    }
    if (p->domain_count == HOME_DOMAINS_MAX) {
        p->domains[HOME_DOMAINS_MAX - 1].proxies++;
        return;
    }
    memmove(&p->domains[i + 1], &p->domains[i],
            sizeof(p->domains[0]) * (size_t)(p->domain_count - i));
    p->domain_count++;
    p->domains[i] = (struct home_domain){.proxies = 1};
    g_strlcpy(p->domains[i].name, failure_domain, sizeof(p->domains[i].name));
}

/* Sets this proxy's own place, after all proxies have been counted. */
void
home_place_set_own(struct home_place *p, const char *failure_domain, int rank)
{
    p->rank = rank;
    p->domain = MAX(p->domain_count - 1, 0);
    for (int i = 0; i < p->domain_count; i++) {
        if (strcmp(p->domains[i].name, failure_domain) == 0) {
            p->domain = i;
        }
    }
}

int
home_place_proxies(const struct home_place *p)
{
    int n = 0;

    for (int i = 0; i < p->domain_count; i++) {
        n += p->domains[i].proxies;
    }
    return n;
}

static int
compare_replicas(const void *a, const void *b)
{
    const struct home_replica *x = a;
    const struct home_replica *y = b;

    return strcmp(x->id, y->id);
}

/* Returns how many replicas a failure domain has. */
static int
count_replicas(const struct home_replica *r, int n, const char *domain)
{
    int count = 0;

    for (int i = 0; i < n; i++) {
        count += strcmp(r[i].failure_domain, domain) == 0;
    }
    return count;
}

/* Returns the replica that this proxy keeps a connection to, as an index into
   r, which is sorted by id; -1 if there is none for it. Every replica gets an
   equal part of the proxies, and at most max_homes. The proxies of a replica's
   own failure domain come first; the others fill up what is left, in order of
   domain and rank. */
int
home_choose(struct home_replica *r, int n, const struct home_place *p,
            int max_homes)
{
    int left[HOME_REPLICAS_MAX];
    int before = 0; /* proxies without a replica in their domain, ahead */

    if (n < 1 || n > HOME_REPLICAS_MAX || p->domain_count < 1) {
        return -1;
    }
    qsort(r, (size_t)n, sizeof(*r), compare_replicas);
    const int part = MIN((home_place_proxies(p) + n - 1) / n, max_homes);
    for (int i = 0; i < n; i++) {
        left[i] = part;
    }
    for (int d = 0; d < p->domain_count; d++) {
        const char *domain = p->domains[d].name;
        const int near = count_replicas(r, n, domain);
        const int parts = MAX(near, 1);
        const int placed = MIN(p->domains[d].proxies, near * part);
        int k = 0;
        for (int i = 0; i < n; i++) {
            if (strcmp(r[i].failure_domain, domain) != 0) {
                continue;
            }
            if (d == p->domain && p->rank < placed && p->rank % parts == k) {
                return i;
            }
            left[i] -= (placed - k + parts - 1) / parts;
            k++;
        }
        if (d < p->domain) {
            before += p->domains[d].proxies - placed;
        }
        else if (d == p->domain) {
            before += p->rank - placed;
        }
    }
    for (int i = 0; i < n; i++) {
        if (before < left[i]) {
            return i;
        }
        before -= MAX(left[i], 0);
    }
    return -1;
}

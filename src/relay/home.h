#ifndef RELAY_HOME_H
#define RELAY_HOME_H

#include "directory/member_entry.h"

/* Which replica of a service each proxy keeps a connection to, where a member
   accepts fewer connections than there are proxies. All proxies compute the
   same assignment from the same lists. */

/* Failure domains that are told apart; the proxies of further ones are
   assigned like those of a domain without replicas. */
#define HOME_DOMAINS_MAX 16
#define HOME_REPLICAS_MAX 32

/* A proxy's place in the fleet. */
struct home_place {
    int rank;   /* among the proxies of its failure domain, by name, from 0 */
    int domain; /* index of that domain */
    int domain_count;
    /* All failure domains, in order of name. */
    struct home_domain {
        char name[MEMBER_NAME_BYTES];
        int proxies;
    } domains[HOME_DOMAINS_MAX];
};

struct home_replica {
    const char *id;
    const char *failure_domain;
};

void home_place_add(struct home_place *p, const char *failure_domain);
void home_place_set_own(struct home_place *p, const char *failure_domain,
                        int rank);
int home_place_proxies(const struct home_place *p);
int home_choose(struct home_replica *r, int n, const struct home_place *p,
                int max_homes);

#endif

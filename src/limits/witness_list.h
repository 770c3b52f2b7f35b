#ifndef LIMITS_WITNESS_LIST_H
#define LIMITS_WITNESS_LIST_H

#include "base/clock.h"
#include "coordination/agreement.h"

/* Decides when this proxy, as a witness, may grant permits, and from which
   part of the limits.

   Proxies may know different lists of witnesses for a time, and one that is
   cut off from the store for long. If a witness that others have replaced went
   on granting, the parts would add up to more than the limit. Witnesses
   therefore ask each other who is listed. One that has granted before goes on
   while about half of the witnesses still list it; a new one waits until
   nearly all have the same list as it has. Two such groups have a proxy in
   common as long as the lists differ by at most two names, and the wait is
   longer than a confirmation counts. */
struct witness_list;

/* Interval of the requests to the other witnesses. */
#define WITNESS_CHECK_MS 600
/* A reply confirms the receiver for this time after its request was sent. */
#define WITNESS_CONFIRM_MS 2200
/* Wait of a new witness and of a part that grows. Longer than
   WITNESS_CONFIRM_MS and the time in which a permit is used. */
#define WITNESS_WAIT_MS 3000
/* Value of listed_ms for a witness in the list with which a process starts. */
#define WITNESS_LISTED_LONG_MS 3600000

struct witness_list *witness_list_create(const char *name, clock_ms now);
void witness_list_destroy(struct witness_list *l);
void witness_list_set(struct witness_list *l, const char *const *names, int n,
                      clock_ms now);
void witness_list_set_registered(struct witness_list *l);

/* What a reply says of the sender's list. */
struct witness_answer {
    uint64_t witnesses; /* hash of the names */
    int count;
    int64_t listed_ms; /* how long it has listed this proxy; -1: it does not */
};

void witness_list_answered(struct witness_list *l, const char *from,
                           const struct witness_answer *a, clock_ms asked_at,
                           clock_ms now);

uint64_t witness_list_hash(const struct witness_list *l);
int64_t witness_list_listed_ms(const struct witness_list *l, const char *name,
                               clock_ms now);
int witness_list_count(const struct witness_list *l);
const char *witness_list_name(const struct witness_list *l, int i);
bool witness_list_has_self(const struct witness_list *l);

/* The part of each limit that this proxy grants from. */
struct witness_part {
    int divisor; /* a part is 1 / divisor; 0: no permits are granted */
    bool is_new; /* counts from now, with empty buckets */
};

struct witness_part witness_list_part(struct witness_list *l, clock_ms now);

#endif

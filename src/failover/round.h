#ifndef FAILOVER_ROUND_H
#define FAILOVER_ROUND_H

#include <stdbool.h>
#include <stdint.h>

#include "failover/members.h"

/* Proxy ids take the low 16 bits of a term, so that no two proxies ever use
   the same term. */
#define FAILOVER_ID_BITS 16

/* A granted seal: term and position of the last log entry of the member. */
struct grant {
    bool granted;
    uint64_t term;
    uint64_t position;
};

/* One attempt to replace the primary, under one new term. */
struct round {
    uint64_t term;
    int preferred;  /* chosen among equals, or FAILOVER_NOBODY */
    int seal_first; /* sealed ahead of the others, or FAILOVER_NOBODY */
    int lost;       /* the primary being replaced, or FAILOVER_NOBODY */
    int excluded;   /* sealed but neither counted nor chosen, or NOBODY */
    int chosen;     /* the only member ever promoted in this term */
    bool checking;  /* the answer of promote was lost; asking the member */
    int promotes;   /* promote calls sent */
    clock_ms started;
    clock_ms deadline;
    clock_ms majority_at;                     /* or -1 */
    uint64_t seal_call[FAILOVER_MEMBERS_MAX]; /* 0: none in flight */
    uint64_t promote_call;
    struct grant grants[FAILOVER_MEMBERS_MAX];
};

uint64_t round_next_term(uint64_t highest, uint32_t proxy_id);
void round_start(struct round *r, uint64_t term, clock_ms now,
                 int64_t timeout_ms);
bool round_take_seal(struct round *r, int member, uint64_t call);
bool round_take_promote(struct round *r, uint64_t call);
void round_grant(struct round *r, int member, uint64_t term,
                 uint64_t position);
int round_grants(const struct round *r, const struct members *m);
bool round_has_majority(const struct round *r, const struct members *m);
bool round_waits(const struct round *r, const struct members *m);
int round_choose(const struct round *r, const struct members *m);

#endif

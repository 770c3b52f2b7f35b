#ifndef FAILOVER_ROUND_H
#define FAILOVER_ROUND_H

#include <stdbool.h>
#include <stdint.h>

#include "failover/members.h"

/* The low 16 bits of a term are the id of the proxy that created it, so that
   two proxies never use the same term. */
#define FAILOVER_PROXY_ID_BITS 16

/* Answer of a member that granted its seal: term and position of the last
   entry in its log. */
struct seal_grant {
    bool granted;
    uint64_t term;
    uint64_t position;
};

/* One attempt to replace the primary, under one new term. Members are indexes
   and may be FAILOVER_NO_MEMBER. */
struct round {
    uint64_t term;
    int preferred;        /* wins among equally advanced members */
    int seal_first;       /* sealed before the others; reset afterwards */
    int replaced_primary; /* may be promoted again */
    int excluded;         /* sealed, but neither counted nor promoted */
    int chosen;           /* the only member promoted in this term */
    /* The promote call was not answered; a probe of the chosen member shows
       whether it took effect. */
    bool checking_promotion;
    int promote_calls_sent;
    clock_ms started_at;
    clock_ms deadline;                           /* of the pending calls */
    clock_ms majority_at;                        /* or -1 */
    uint64_t seal_call_id[FAILOVER_MAX_MEMBERS]; /* 0: none in flight */
    uint64_t promote_call_id;                    /* 0: none in flight */
    struct seal_grant grants[FAILOVER_MAX_MEMBERS];
};

uint64_t round_next_term(uint64_t highest, uint32_t proxy_id);
void round_start(struct round *r, uint64_t term, clock_ms now,
                 int64_t timeout_ms);
bool round_match_seal_answer(struct round *r, int member, uint64_t call_id);
bool round_match_promote_answer(struct round *r, uint64_t call_id);
void round_record_grant(struct round *r, int member, uint64_t term,
                        uint64_t position);
int round_count_grants(const struct round *r, const struct members *m);
bool round_has_majority(const struct round *r, const struct members *m);
bool round_awaits_seal_answer(const struct round *r, const struct members *m);
int round_choose_primary(const struct round *r, const struct members *m);

#endif

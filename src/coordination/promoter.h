#ifndef COORDINATION_PROMOTER_H
#define COORDINATION_PROMOTER_H

#include "coordination/agreement.h"
#include "relay/request.h"

#include <stddef.h>

/* Decides when a service needs a new primary and carries out the change: waits
   until no proxy uses the old primary, selects the replica with the most
   complete log, orders its promotion and publishes the result in the view. */
struct promoter;

enum order_result {
    ORDER_DONE,
    ORDER_NOT_RUNNING, /* the member does not run */
    ORDER_FAILED,      /* not carried out, or the outcome is unknown */
};

/* Requests to the node. Each one is answered later, exactly once, by the
   function named beside it. */
struct promoter_actions {
    /* Answered by promoter_view_written(). */
    void (*write_view)(void *ctx, const struct view *next);
    /* Asks a member for its state, or to step down if demote_term is not 0.
       Answered by promoter_member_answered() with the same round. */
    void (*query)(void *ctx, const char *service, const char *member,
                  uint64_t demote_term, uint64_t round);
    /* Orders a promotion, unless valid_until (clock of promoter_tick()) has
       passed when the order could be sent. Answered by
       promoter_order_answered(). */
    void (*order)(void *ctx, const char *service, const char *member,
                  uint64_t fence, clock_ms valid_until);
    void *ctx;
};

/* A member of a service as the directory and this proxy know it. */
struct service_member {
    const char *id;
    bool listed;
    bool draining;
    bool says_primary;
    bool replaced; /* another listed member has its address, and its log if it
                      has left in order */
    int64_t started_at; /* changes when it starts again, with an empty log; 0
                           if unknown */
    bool started_recently; /* its log may still be empty */
};

/* What this proxy knows of a service. */
struct service_state {
    const struct service_member *members;
    size_t member_count;
    /* Replicas that have received a commit before it is acknowledged. */
    int sync_replicas;
    /* Term of the newest commit that this proxy has seen; 0 if unknown. */
    uint64_t newest_commit_term;
    /* A position that the primary had reached at primary_position_at (clock
       of promoter_tick()) or later. */
    struct token primary_position;
    clock_ms primary_position_at;
    bool primary_unreachable; /* from this proxy */
};

struct promoter *promoter_create(const char *name, struct agreement *a,
                                 const struct promoter_actions *actions);
void promoter_destroy(struct promoter *p);
void promoter_tick(struct promoter *p, const char *service,
                   const struct service_state *state, clock_ms now);
void promoter_end_round(struct promoter *p, clock_ms now);
void promoter_view_written(struct promoter *p, bool done);
void promoter_member_answered(struct promoter *p, const char *service,
                              const char *member, uint64_t round,
                              const struct member_report *report,
                              clock_ms now);
void promoter_order_answered(struct promoter *p, const char *service,
                             enum order_result result, clock_ms now);
void promoter_set_store_lost(struct promoter *p, bool lost);
bool promoter_busy(const struct promoter *p);
size_t promoter_order_count(const struct promoter *p, uint64_t fence);
bool promoter_is_blocked(const struct promoter *p, clock_ms now);

#endif

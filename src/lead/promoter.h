#ifndef LEAD_PROMOTER_H
#define LEAD_PROMOTER_H

#include "lead/agreement.h"
#include "relay/request.h"

#include <stddef.h>

/* Decides when a service needs another primary and carries the change out:
   it fences the old primary off at all proxies, picks the replica that has
   received most, orders its promotion and publishes the result. */
struct promoter;

enum order_result {
    ORDER_DONE,
    ORDER_NOT_RUNNING, /* the named member does not run */
    ORDER_FAILED,      /* not carried out, or not known */
};

/* Each action is answered by the function beside it, later and once. */
struct promoter_actions {
    /* promoter_view_written() */
    void (*write_view)(void *ctx, const struct view *next);
    /* promoter_status(); demote when term is not 0 */
    void (*query)(void *ctx, const char *service, const char *member,
                  uint64_t demote_term);
    /* promoter_ordered() */
    void (*order)(void *ctx, const char *service, const char *member,
                  uint64_t fence);
    void *ctx;
};

/* One member of a service as the directory and this proxy see it. */
struct service_member {
    const char *id;
    bool listed;
    bool draining;
    bool says_primary;
};

struct promoter *promoter_create(const char *name, struct agreement *a,
                                 const struct promoter_actions *actions);
void promoter_destroy(struct promoter *p);
void promoter_tick(struct promoter *p, const char *service,
                   const struct service_member *members, size_t n,
                   bool unreachable, clock_ms now);
void promoter_end_round(struct promoter *p, clock_ms now);
void promoter_view_written(struct promoter *p, bool done);
void promoter_member_answered(struct promoter *p, const char *service,
                              const char *member,
                              const struct member_report *status,
                              clock_ms now);
void promoter_order_answered(struct promoter *p, const char *service,
                             enum order_result result, clock_ms now);
void promoter_set_store_lost(struct promoter *p, bool lost);
bool promoter_busy(const struct promoter *p);
bool promoter_is_blocked(const struct promoter *p, clock_ms now);

#endif

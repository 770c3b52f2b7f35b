#ifndef COORDINATION_PROMOTER_INTERNAL_H
#define COORDINATION_PROMOTER_INTERNAL_H

#include "coordination/promoter.h"

#include <glib.h>

/* Shared by promoter.c, which decides when a primary is replaced,
   primary_change.c, which carries out the change, and successor.c, which
   chooses the member to promote. */

/* Further members of a service are ignored. */
#define SERVICE_MEMBERS_MAX 16

enum phase {
    PHASE_NONE,
    PHASE_EXPIRE_VIEWS, /* wait until no proxy relies on an older view, and so
                           none uses the old primary */
    PHASE_SURVEY,       /* ask all members for their state */
    PHASE_DEMOTE,       /* ask a member that is still a primary to step down */
    PHASE_CATCH_UP,     /* wait for a replica with the demoted primary's log */
    PHASE_AWAIT_LOG,    /* wait for a replica that may have more of the log */
    PHASE_ORDER,        /* order the promotion */
    PHASE_CONFIRM,      /* wait until the new primary reports its role */
    PHASE_PUBLISH,      /* write the new primary into the view */
};

/* What is known of a member, and the query to it that is in progress. */
struct member_state {
    char id[MEMBER_ID_BYTES];
    bool listed;
    bool draining;
    bool replaced;
    bool says_primary;
    bool query_pending;
    bool answered;
    struct member_report report;
    clock_ms queried_at;
    clock_ms excluded_until;
    clock_ms demote_sent_at;
    int64_t started_at;
    /* It has started again, and may have confirmed commits that it does not
       hold any more; 0 once it is known to have received them again. */
    clock_ms emptied_at;
    struct token emptied_position; /* no commit that it may lack is beyond it;
                                      known once a primary has answered */
};

/* The change of one service's primary: since when each reason for it has
   held, and its progress once it has begun. Times are 0 if unset. */
struct primary_change {
    char service[VIEW_NAME_BYTES];
    int index;           /* in the view, if the service is there */
    bool add_pending;    /* add the service to the view with new_primary */
    bool record_pending; /* write to the view that new_primary is ordered */
    enum phase phase;
    clock_ms phase_since; /* when the phase began */
    uint64_t round;       /* of queries; answers to those of an earlier one are
                             ignored */
    uint64_t version;     /* view version at which the change began */
    uint64_t claim_version; /* view version when this proxy took it over */
    bool ordered_before;    /* an earlier holder may have given an order */
    clock_ms started_at;
    char new_primary[MEMBER_ID_BYTES];
    /* An order without an answer, perhaps of an earlier change: the platform
       may receive it after a later one, so there is none meanwhile. */
    bool order_pending;
    uint64_t order_version; /* version of the change that it belongs to */
    uint64_t order_fence;
    clock_ms order_sent_at;
    /* The demoted primary's log. No commit was acknowledged beyond it. */
    struct member_report target;
    bool has_target;
    char demoted[MEMBER_ID_BYTES]; /* the member asked to step down */
    enum phase after_demote;       /* the phase that follows */
    bool demote_sent;
    clock_ms awaited_since;   /* when PHASE_AWAIT_LOG was entered first */
    bool primary_unreachable; /* most proxies cannot reach the old primary */
    uint64_t base_term; /* a promotion of this change leads to a later one */
    clock_ms unreachable_since;
    clock_ms unlisted_since;
    clock_ms not_primary_since;
    clock_ms draining_since;
    clock_ms not_in_view_since;
    clock_ms changing_since;
    uint64_t changing_fence; /* of the holder that carries out the change */
    struct member_state members[SERVICE_MEMBERS_MAX];
    int count;
    int sync_replicas;
    bool order_unknown;  /* the store may have lost an order */
    clock_ms expired_at; /* when older views had expired; 0 if not yet */
    uint64_t newest_commit_term;  /* known here; 0 if unknown */
    struct token newest_position; /* of a primary, known here */
};

struct promoter {
    char name[VIEW_NAME_BYTES];
    struct agreement *agreement;
    struct promoter_actions actions;
    bool write_pending;
    clock_ms write_started_at;
    int64_t write_pause_ms;
    GHashTable *primary_changes; /* service name -> struct primary_change */
    bool busy;                   /* this proxy is carrying out a change */
    bool store_lost;             /* this proxy cannot reach the store */
};

/* promoter.c */
bool promoter_write_view(struct promoter *p, struct view *next, clock_ms now);
struct primary_change *promoter_get_primary_change(struct promoter *p,
                                                   const char *service);
uint64_t promoter_next_version(const struct promoter *p, const struct view *v);
int64_t promoter_action_delay_ms(const struct promoter *p,
                                 const struct view *v, clock_ms now);

/* restoration.c */
void restoration_run(struct promoter *p, clock_ms now);

/* primary_change.c */
struct member_state *primary_change_find_member(struct primary_change *c,
                                                const char *id);
void primary_change_enter_phase(struct primary_change *c, enum phase phase,
                                clock_ms now);
void primary_change_query_member(struct promoter *p, struct primary_change *c,
                                 struct member_state *m, uint64_t demote_term,
                                 clock_ms now);
void primary_change_query_members(struct promoter *p, struct primary_change *c,
                                  const char *primary, int64_t pause_ms,
                                  clock_ms now);
void primary_change_run(struct promoter *p, struct primary_change *c,
                        const struct view_entry *e, int index, clock_ms now);

/* successor.c */
bool successor_is_ahead(const struct member_report *a,
                        const struct member_report *b);
bool successor_is_candidate(const struct member_state *m, bool draining,
                            clock_ms now);
struct member_state *successor_preferred(struct primary_change *c,
                                         const char *old, clock_ms now);
struct member_state *successor_choose(struct primary_change *c,
                                      const struct view_entry *e,
                                      clock_ms now);
struct member_state *successor_current_primary(struct primary_change *c,
                                               const struct view_entry *e);
int64_t successor_wait_ms(const struct primary_change *c,
                          const struct view_entry *e,
                          const struct member_state *candidate);
void successor_check_refilled(struct member_state *m);
bool successor_orders_settled(const struct primary_change *c, clock_ms now);
bool successor_may_adopt(const struct primary_change *c,
                         const struct member_state *m,
                         const struct view_entry *e);
uint64_t successor_base_term(const struct primary_change *c,
                             const struct view_entry *e);
bool successor_is_superseded(const struct primary_change *c,
                             const struct view_entry *e);
bool successor_order_took_effect(struct primary_change *c,
                                 const struct view_entry *e);

#endif

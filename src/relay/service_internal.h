#ifndef RELAY_SERVICE_INTERNAL_H
#define RELAY_SERVICE_INTERNAL_H

#include "relay/samples.h"
#include "relay/service.h"

/* Shared by service.c, links.c, upkeep.c and dispatch.c only. */

/* An entry that disappears may come back within 2 s when the store was away;
   afterwards the member counts as gone. */
#define GONE_AFTER_MS 2500

enum link_state {
    LINK_OPENING,
    LINK_IDLE,
    LINK_GRANTED,
    LINK_ABANDONED, /* its user gave up waiting for the answer */
    LINK_CLEANING,  /* a rollback by the proxy is in progress */
};

struct member {
    struct service *service;
    struct member_entry entry;
    GPtrArray *links; /* of struct pooled_link */
    clock_ms gone_at; /* 0 while listed */
    clock_ms last_heard;
    clock_ms unreachable_since; /* 0 while it answers */
    clock_ms retry_at;
    clock_ms full_until;
    clock_ms not_primary_until;
    struct token position; /* newest that it was seen to have */
    struct token missing;  /* lowest that it was found to lack */
    clock_ms lag_until;    /* until then it is not tried for `missing` */
    int64_t lag_pause_ms;
    int failures;
    int64_t statement_us;
};

struct pooled_link {
    struct member *member;
    struct member_link *link;
    enum link_state state;
    bool as_primary;
    uint64_t epoch; /* of the lead when it was granted */
    bool active;    /* counts against the limit of statements */
    int outstanding;
    bool timed; /* the outstanding request is a statement */
    clock_ms sent_at;
    clock_ms changed_at;
    bool lease_at_send;
    struct token after; /* position that the last request asked for */
    GHashTable *values;
    uint64_t values_hash;
    GHashTable *prepared;
    const struct pooled_user *user;
    void *ctx;
};

struct service {
    char *name;
    char *failure_domain;
    const struct member_codec *codec;
    bool (*lease_valid)(void *ctx, const char *service, clock_ms now);
    clock_ms (*now)(void *ctx);
    void *ctx;
    GPtrArray *members; /* of struct member */
    GQueue queue;       /* of struct work, by priority, then arrival */
    int share;          /* connections to a member */
    int share_most;     /* with those whose answer seems lost */
    uint64_t epoch;
    char primary[MEMBER_ID_BYTES];
    bool changing;
    clock_ms fenced_at;
    clock_ms resumed_at;
    clock_ms lease_lost_at; /* 0 while it is valid */
    struct samples samples;
    bool dispatching;
    bool dispatch_again;
    struct service_counters counters;
};

/* service.c */
clock_ms service_now(const struct service *s);
clock_ms clock_later(clock_ms a, clock_ms b);
struct member *service_find_member(const struct service *s, const char *id);

/* links.c */
void member_heard(struct member *m, clock_ms now);
void member_failed(struct member *m, const char *why, clock_ms now);
void link_drop(struct pooled_link *l, const char *why);
void link_idle(struct pooled_link *l, clock_ms now);
void link_open(struct member *m, clock_ms now);
void member_free(struct member *m, const char *why);
bool link_is_outdated(const struct pooled_link *l);

int64_t link_waited_ms(const struct pooled_link *l, clock_ms now);

/* dispatch.c */
void service_dispatch(struct service *s);

#endif

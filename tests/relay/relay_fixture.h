#ifndef TESTS_RELAY_FIXTURE_H
#define TESTS_RELAY_FIXTURE_H

#include "relay/session.h"

/* A relay with one service, whose members are the primary "m1" and the
   replicas "m2" and "m3". The test takes the role of the members: it accepts
   the connections and sends the answers. It also sets the time. */

#define FIXTURE_LINKS 64

/* A request that the relay has sent to a member. */
struct fixture_sent {
    enum verb verb;
    char text[128];
    bool has_min_position; /* min_position was not NULL */
    struct token min_position;
};

/* The member's end of a connection. */
struct member_link {
    char member[MEMBER_ID_BYTES];
    const struct member_link_events *events;
    void *ctx;
    bool closed;
    int sent_count;
    int used_at;         /* rises with each request sent on any link */
    clock_ms busy_until; /* used by tests only: end of the statement */
    int answered;        /* used by tests only: requests answered */
    struct fixture_sent sent[64];
};

struct fixture {
    clock_ms now;
    bool lease;         /* result of lease_valid() */
    bool catalog_stale; /* negated result of catalog_is_fresh() */
    struct catalog *catalog;
    struct member_entry members[3];
    struct service *service;
    struct relay *relay;
    struct member_codec codec;
    struct member_link *links[FIXTURE_LINKS];
    int link_count;
    bool refuse_connections;
    /* Number of answers to callers, and the last one. */
    int answers;
    enum failure failure;
    enum transaction_state state;
};

void fixture_setup(struct fixture *f, enum freshness freshness);
void fixture_teardown(struct fixture *f);
void fixture_move_replicas_near(struct fixture *f);
struct session *fixture_session(struct fixture *f);
struct session *fixture_session_with_key(struct fixture *f, const char *key);
void fixture_request(struct session *s, enum verb verb, const char *text);
struct member_link *fixture_link(struct fixture *f, int n);
void fixture_accept_all(struct fixture *f);
void fixture_answer(struct member_link *l, enum failure why,
                    enum transaction_state state, uint64_t term,
                    uint64_t position);
void fixture_advance_time(struct fixture *f, int64_t ms);
struct member_link *fixture_last_used_link(struct fixture *f);

#endif

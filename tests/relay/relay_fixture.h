#ifndef TESTS_RELAY_FIXTURE_H
#define TESTS_RELAY_FIXTURE_H

#include "relay/session.h"

/* A relay with one service of a primary "m1" and replicas "m2" and "m3", whose
   connections the test plays by hand, under a clock that the test sets. */

#define FIXTURE_LINKS 64

struct fixture_sent {
    enum verb verb;
    char text[128];
    bool has_min_position; /* a position was asked for */
    struct token min_position;
};

/* A connection as its member sees it. */
struct member_link {
    char member[MEMBER_ID_BYTES];
    const struct member_link_events *events;
    void *ctx;
    bool closed;
    int sent_count;
    clock_ms busy_until; /* kept by tests that play a load */
    int answered;        /* kept by tests that play several connections */
    struct fixture_sent sent[64];
};

struct fixture {
    clock_ms now;
    bool lease;
    struct catalog *catalog;
    struct service *service;
    struct relay *relay;
    struct member_codec codec;
    struct member_link *links[FIXTURE_LINKS];
    int link_count;
    bool refuse_connections;
    /* The last answer to the caller. */
    int answers;
    enum failure failure;
    enum transaction_state state;
};

void fixture_setup(struct fixture *f, enum freshness freshness);
void fixture_teardown(struct fixture *f);
struct session *fixture_session(struct fixture *f);
void fixture_request(struct session *s, enum verb verb, const char *text);
struct member_link *fixture_link(struct fixture *f, int n);
void fixture_accept_all(struct fixture *f);
void fixture_answer(struct member_link *l, enum failure why,
                    enum transaction_state state, uint64_t term,
                    uint64_t position);
void fixture_advance_time(struct fixture *f, int64_t ms);
struct member_link *fixture_last_used_link(struct fixture *f);

#endif

#ifndef LOAD_SESSION_H
#define LOAD_SESSION_H

#include "base/rng.h"
#include "load/checker.h"
#include "load/options.h"

#include <ev.h>

/* A session of the consistency experiment. It writes, reads its writes back,
   and moves between proxies. The checker examines the answers. */
struct session;

/* State and counters shared by all sessions. */
struct session_shared {
    struct ev_loop *loop;
    const struct load_options *options;
    struct checker *checker;
    struct checked_row *pair; /* two rows, KEY-a and KEY-b, which each
                                 transaction increments together */
    int64_t statements;
    int64_t acked;
    int64_t unknown;
    int64_t not_run;
    int64_t roams;
    int64_t lost_connections;
};

struct session *session_create(struct session_shared *state, int number,
                               uint64_t seed);
void session_start(struct session *s);
void session_stop(struct session *s);
bool session_is_stopped(const struct session *s);
void session_destroy(struct session *s);

#endif

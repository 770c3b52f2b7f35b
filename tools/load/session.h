#ifndef LOAD_SESSION_H
#define LOAD_SESSION_H

#include "base/rng.h"
#include "load/checker.h"
#include "load/options.h"

#include <ev.h>

/* A session of the consistency experiment: it writes, reads back what it
   wrote, and roams between proxies. */
struct session;

/* Shared by all sessions. */
struct session_world {
    struct ev_loop *loop;
    const struct load_options *options;
    struct checker *checker;
    struct checked_row *pair; /* shared; its two rows are raised together */
    int64_t statements;
    int64_t acked;
    int64_t unknown;
    int64_t not_run;
    int64_t roams;
    int64_t lost_connections;
};

struct session *session_create(struct session_world *w, int number,
                               uint64_t seed);
void session_start(struct session *s);
void session_stop(struct session *s);
bool session_is_stopped(const struct session *s);
void session_destroy(struct session *s);

#endif

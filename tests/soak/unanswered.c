#include "soak/soak.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

/* A request that a process has not read may be lost with an idle connection
   that the process is closing. So much later it must have read the request. */
#define LOSS_SLACK_MS 200
/* A process counts as disturbed for this long after a fault. */
#define AFTER_FAULT_MS 1000
/* The last part of the grace period, in which a process breaks off what is
   still in progress. */
#define GRACE_END_PART 6

struct process {
    bool frozen;
    clock_ms disturbed_at; /* last time */
    clock_ms stopping_at;  /* SIGTERM; 0: not stopping */
};

struct unanswered {
    struct soak *soak;
    struct standin_group *group;
    struct process processes[SOAK_PROXIES];
    GPtrArray *crossed; /* IDs of requests; no member may have run them */
    long refused;       /* how many of them */
    long startups;
    long excused;
};

struct unanswered *
unanswered_create(struct soak *s, struct standin_group *g)
{
    struct unanswered *u = g_new0(struct unanswered, 1);

    u->soak = s;
    u->group = g;
    u->crossed = g_ptr_array_new_with_free_func(g_free);
    for (int i = 0; i < SOAK_PROXIES; i++) {
        u->processes[i].disturbed_at = -AFTER_FAULT_MS;
    }
    return u;
}

void
unanswered_destroy(struct unanswered *u)
{
    g_ptr_array_free(u->crossed, TRUE);
    g_free(u);
}

/* Records that a process is sent a signal. The grace period of a frozen
   process begins when it runs again. */
void
unanswered_signalled(struct unanswered *u, int proxy, int signal)
{
    struct process *p = &u->processes[proxy];
    const clock_ms now = clock_monotonic_ms();

    if (signal == SIGTERM) {
        p->stopping_at = p->stopping_at == 0 ? now : p->stopping_at;
    }
    else if (signal != SIGHUP) {
        p->frozen = signal == SIGSTOP;
        p->disturbed_at = now;
        p->stopping_at = p->stopping_at == 0 ? 0 : now;
    }
}

/* Records that a process has ended. */
void
unanswered_process_ended(struct unanswered *u, int proxy)
{
    struct process *p = &u->processes[proxy];

    p->frozen = false;
    p->stopping_at = 0;
}

/* Returns true if a process cannot be expected to have answered a request that
   is lost now. */
static bool
is_excused(const struct process *p, const struct unanswered_request *r)
{
    const clock_ms grace_end =
        p->stopping_at + SOAK_GRACE_MS - SOAK_GRACE_MS / GRACE_END_PART;

    return p->frozen || r->sent_at < p->disturbed_at + AFTER_FAULT_MS ||
           (p->stopping_at != 0 && clock_monotonic_ms() >= grace_end);
}

static void
report_violation(const struct unanswered *u,
                 const struct unanswered_request *r, const char *what)
{
    const struct process *p = &u->processes[r->proxy];
    const clock_ms now = clock_monotonic_ms();

    soak_violation(u->soak,
                   "proxy %d, %s: %s %lld ms after \"%s\" was sent, state %c, "
                   "%s, %s",
                   r->proxy, r->id, what, (long long)(now - r->sent_at),
                   r->text, r->state == '\0' ? '-' : r->state,
                   standin_group_has_begun(u->group, r->id)
                       ? "run by a member"
                       : "not run by a member",
                   p->stopping_at == 0 ? "no stop" : "during a stop");
}

/* Called when a connection has ended while a request was outstanding. A
   request that is not part of a transaction may cross the end of an idle
   connection. Guards against a process that ends a connection without an
   answer to what the caller has sent. */
void
unanswered_closed(struct unanswered *u, const struct unanswered_request *r)
{
    if (is_excused(&u->processes[r->proxy], r)) {
        u->excused++;
        return;
    }
    if (r->state != 'T' && r->state != 'E' &&
        !standin_group_has_begun(u->group, r->id) &&
        clock_monotonic_ms() - r->sent_at <= LOSS_SLACK_MS) {
        if (r->state == 'I') {
            g_ptr_array_add(u->crossed, g_strdup(r->id));
            u->refused += r->refused;
        }
        else {
            u->startups++;
        }
        return;
    }
    report_violation(u, r, "closed without an answer");
}

/* Called when a connection has ended during a pause in state T or E; state is
   that of the answer to the last request. Pauses are much shorter than the
   time after which an idle transaction may be ended. */
void
unanswered_closed_in_transaction(struct unanswered *u,
                                 const struct unanswered_request *r)
{
    if (is_excused(&u->processes[r->proxy], r)) {
        u->excused++;
        return;
    }
    report_violation(u, r, "closed in a transaction");
}

/* Called when a caller gives up a request. Its connection is still open, and
   the timeout of the statement is long over. */
void
unanswered_given_up(struct unanswered *u, const struct unanswered_request *r)
{
    if (is_excused(&u->processes[r->proxy], r)) {
        u->excused++;
        return;
    }
    report_violation(u, r, "no answer");
}

/* Checks, after the run, that no request which crossed the end of its
   connection had been passed on to a member. */
void
unanswered_check(const struct unanswered *u)
{
    for (guint i = 0; i < u->crossed->len; i++) {
        const char *id = u->crossed->pdata[i];
        if (standin_group_has_begun(u->group, id)) {
            soak_violation(
                u->soak, "%s: closed without an answer, run by a member", id);
        }
    }
}

/* Prints how many requests crossed the end of their connections, how many of
   these have an error that went before it for an answer, and how many were
   lost with processes that a fault had disturbed. */
void
unanswered_report(const struct unanswered *u)
{
    printf("crossed=%u crossed_refused=%ld startups_crossed=%ld "
           "lost_by_faults=%ld\n",
           u->crossed->len, u->refused, u->startups, u->excused);
}

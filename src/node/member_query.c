#include "node/member_query.h"

#include <glib.h>

/* A member that has not answered within this time counts as unreachable; the
   promoter asks again if necessary. */
#define QUERY_TIMEOUT_MS 280

struct member_query {
    struct ev_loop *loop;
    const struct member_codec *codec;
    struct member_link *link;
    struct member_entry member;
    uint64_t demote_term;
    uint64_t round;
    ev_timer timer;
    member_query_fn done;
    void *ctx;
};

/* Reports the outcome and frees the query. */
static void
finish(struct member_query *q, const struct member_report *report)
{
    ev_timer_stop(q->loop, &q->timer);
    if (q->link != NULL) {
        q->codec->close(q->link);
    }
    q->done(q->ctx, q->member.service, q->member.id, q->round, report);
    g_free(q);
}

/* Sends the request on the new connection. */
static void
on_opened(void *ctx, const struct token *position)
{
    struct member_query *q = ctx;
    char term[24];
    struct request r = {.verb = VERB_STATUS};

    (void)position;
    if (q->demote_term > 0) {
        g_snprintf(term, sizeof(term), "%" G_GUINT64_FORMAT, q->demote_term);
        r.verb = VERB_DEMOTE;
        r.name = sview_from(term);
    }
    q->codec->send(q->link, &r, NULL);
}

static void
on_refused(void *ctx, enum failure why)
{
    (void)why;
    finish(ctx, NULL);
}

static void
on_answered(void *ctx, const struct answer *a)
{
    finish(ctx, a->has_report ? &a->report : NULL);
}

static void
on_closed(void *ctx, const char *why)
{
    (void)why;
    finish(ctx, NULL);
}

static void
on_timeout(struct ev_loop *loop, ev_timer *w, int revents)
{
    (void)loop;
    (void)revents;
    finish(w->data, NULL);
}

static const struct member_link_events query_events = {
    .opened = on_opened,
    .refused = on_refused,
    .answered = on_answered,
    .closed = on_closed,
};

/* Asks a member for its state on a new connection or, if demote_term is not 0,
   asks it to step down if it is the primary in a lower term. done is called
   once from the event loop, with the round. */
void
member_query_start(struct ev_loop *loop, const struct member_codec *codec,
                   const struct member_entry *m, uint64_t demote_term,
                   uint64_t round, member_query_fn done, void *ctx)
{
    struct member_query *q = g_new0(struct member_query, 1);

    q->loop = loop;
    q->codec = codec;
    q->member = *m;
    q->demote_term = demote_term;
    q->round = round;
    q->done = done;
    q->ctx = ctx;
    q->link = codec->open(codec->ctx, m, NULL, &query_events, q);
    ev_timer_init(&q->timer, on_timeout,
                  q->link == NULL ? 0.0 : QUERY_TIMEOUT_MS / 1000.0, 0.0);
    q->timer.data = q;
    ev_timer_start(loop, &q->timer);
}

/* Operators, and the store requests of struct ticket_submission. */
#include "model_internal.h"

#include <string.h>

void
free_attempt(void *p)
{
    struct attempt *s = p;

    ticket_submission_destroy(s->submission);
    g_free(s->text);
    g_free(s);
}

void
stop_proxy(struct model *m, struct proxy *p)
{
    GPtrArray *attempts = p->attempts;

    p->up = false;
    p->incarnation++;
    p->attempts = g_ptr_array_new_with_free_func(free_attempt);
    ticket_sync_destroy(p->sync);
    ticket_state_destroy(p->state);
    p->sync = NULL;
    p->state = NULL;
    /* Operators submit the same text to another proxy. */
    for (guint i = 0; i < attempts->len; i++) {
        struct attempt *s = attempts->pdata[i];

        if (!s->finished && s->tries < OPERATOR_MAX_TRIES) {
            submit(m, s->text, s->tries + 1);
        }
    }
    g_ptr_array_free(attempts, TRUE);
}

/* Applies a conditional insert and returns its result. */
static enum ticket_store_result
insert_row(struct model *m, const char *key, const char *text)
{
    if (g_tree_lookup(m->rows, key)) {
        return TICKET_STORE_EXISTS;
    }
    struct row *row = g_new0(struct row, 1);

    row->text = g_strdup(text);
    row->at = m->now;
    g_tree_insert(m->rows, g_strdup(key), row);
    return TICKET_STORE_DONE;
}

void
free_row(void *p)
{
    g_free(((struct row *)p)->text);
    g_free(p);
}

/* Returns the attempt that a store answer belongs to, or NULL. */
static struct attempt *
find_attempt(const struct model *m, const struct event *e)
{
    const GPtrArray *attempts = m->proxies[e->to].attempts;

    for (guint i = 0; i < attempts->len; i++) {
        struct attempt *s = attempts->pdata[i];

        if (s->id == e->id) {
            return s;
        }
    }
    return NULL;
}

static void
run_insert_answer(struct model *m, struct event *e)
{
    struct attempt *s = find_attempt(m, e);

    if (s) {
        ticket_submission_on_insert(s->submission, m->now, e->result, e->text);
    }
}

static void
run_read_answer(struct model *m, struct event *e)
{
    struct attempt *s = find_attempt(m, e);

    if (s) {
        ticket_submission_on_read(s->submission, m->now, e->result, e->text);
    }
}

static void
run_late_insert(struct model *m, struct event *e)
{
    insert_row(m, e->key, e->text);
}

static void
op_insert(void *ctx, const char *key, const char *text)
{
    struct attempt *s = ctx;
    struct model *m = s->p->m;
    struct event *e = post(m, 5, run_insert_answer, s->p);

    e->id = s->id;
    if (m->store_down || random_fault(m, m->faults.store_error)) {
        e->result = TICKET_STORE_NOT_DONE;
        return;
    }
    if (random_fault(m, m->faults.request_late)) {
        struct event *late =
            post(m, (clock_ms)rng_below(&m->rng, 3000), run_late_insert, s->p);

        late->incarnation = -1; /* has effect even if the proxy restarts */
        late->key = g_strdup(key);
        late->text = g_strdup(text);
        e->result = TICKET_STORE_UNANSWERED;
        return;
    }
    e->result = insert_row(m, key, text);
    e->text = g_strdup(((struct row *)g_tree_lookup(m->rows, key))->text);
    if (random_fault(m, m->faults.answer_lost)) {
        e->result = TICKET_STORE_UNANSWERED;
    }
}

static void
op_read(void *ctx, const char *key)
{
    struct attempt *s = ctx;
    struct model *m = s->p->m;
    struct event *e = post(m, 5, run_read_answer, s->p);
    const struct row *row = g_tree_lookup(m->rows, key);

    e->id = s->id;
    e->result = TICKET_STORE_NOT_DONE;
    if (!m->store_down && !random_fault(m, m->faults.answer_lost)) {
        bool seen = row && row->at <= read_time(m);

        e->result = seen ? TICKET_STORE_DONE : TICKET_STORE_ABSENT;
        e->text = seen ? g_strdup(row->text) : NULL;
    }
}

static void
op_accepted(void *ctx, const struct ticket *t)
{
    struct attempt *s = ctx;

    ticket_sync_publish(s->p->sync, t);
}

/* Returns a random ticket. There are few objects, so that tickets often change
   the same ones. */
char *
random_ticket(struct model *m)
{
    GString *s = g_string_new(NULL);
    uint64_t number = m->next_number;

    if (rng_below(&m->rng, 100) < 25 && number > 6) {
        number -= rng_below(&m->rng, 6); /* probably used already */
    }
    m->next_number += rng_below(&m->rng, 10) < 8;
    /* The evaluation order of arguments is unspecified. Random numbers are
       drawn in separate statements, so that a seed gives the same run in every
       build. */
    int author = (int)rng_below(&m->rng, 2);
    int comment = (int)rng_below(&m->rng, 1000);

    g_string_append_printf(s, "[ticket]\nnumber=%d\nauthor=op%d\ncomment=%d\n",
                           (int)number, author, comment);
    unsigned mask = 1 + (unsigned)rng_below(&m->rng, (1 << OBJECT_COUNT) - 1);

    unsigned kept = (unsigned)rng_next(&m->rng);

    mask &= kept | (1U << rng_below(&m->rng, OBJECT_COUNT));
    mask = mask ? mask : 1;
    for (int i = 0; i < OBJECT_COUNT; i++) {
        int v = 1 + (int)rng_below(&m->rng, 60);

        if (!(mask & (1U << i))) {
            continue;
        }
        if (i / 3 == 0) {
            g_string_append_printf(
                s,
                "[database %c]\nmembers=10.0.0.%d:5432\ndomains=d\n"
                "slots=2\nconnections=64\nuser=u\n",
                'a' + i % 3, v);
        }
        else if (i / 3 == 1) {
            g_string_append_printf(s, "[shares %c]\nfiling=%d:1\n",
                                   'a' + i % 3, v);
        }
        else {
            g_string_append_printf(s, "[staleness %c]\n%s=%s\n", 'a' + i % 3,
                                   v < 10 ? "removed" : "filing",
                                   v < 10 ? "true" : "500");
        }
    }
    return g_string_free(s, FALSE);
}

/* Records an accepted ticket. Checks that it equals the stored row, and that
   no other ticket was accepted with the same number. */
static void
record_accepted(struct model *m, const struct attempt *s, uint64_t number)
{
    struct ticket_error err;
    char key[TICKET_ROW_KEY_BYTES];

    ticket_row_key_format(number, key);
    const struct row *row = g_tree_lookup(m->rows, key);
    struct ticket *t = ticket_parse(s->text, strlen(s->text), &err);

    if (!row) {
        report_violation(m, "accepted_kept", "accepted, but not in the store");
    }
    else if (strcmp(row->text, t->text) != 0) {
        report_violation(m, "one_content",
                         "accepted, but the store has another row");
    }
    for (guint i = 0; i < m->accepted->len; i++) {
        const struct accepted *a = m->accepted->pdata[i];

        if (a->t->number == number) {
            if (a->t->hash != t->hash) {
                report_violation(m, "one_content",
                                 "two tickets accepted with one number");
            }
            ticket_free(t);
            return;
        }
    }
    struct accepted *a = g_new0(struct accepted, 1);

    a->t = t;
    a->accepted_at = m->now;
    g_ptr_array_add(m->accepted, a);
}

static void
op_answer(void *ctx, const struct ticket_answer *answer)
{
    struct attempt *s = ctx;
    struct model *m = s->p->m;

    s->finished = true;
    m->out->outcomes[answer->outcome]++;
    if (answer->outcome == TICKET_ACCEPTED ||
        answer->outcome == TICKET_ALREADY_ACCEPTED) {
        record_accepted(m, s, answer->number);
    }
    else if (answer->outcome == TICKET_INVALID &&
             s->tries < OPERATOR_MAX_TRIES) {
        char *text = random_ticket(m); /* under a new number */

        submit(m, text, s->tries + 1);
        g_free(text);
    }
    else if ((answer->outcome == TICKET_UNKNOWN ||
              answer->outcome == TICKET_NOT_ACCEPTED) &&
             s->tries < OPERATOR_MAX_TRIES) {
        submit(m, s->text, s->tries + 1);
    }
}

static const struct ticket_submission_ops submission_ops = {
    op_insert, op_read, op_accepted, op_answer};
static const struct ticket_configured_database configured[] = {
    {"a", 64}, {"b", 64}, {"c", 64}};
static const struct ticket_rules rules = {configured, 3, NULL};

static void
run_submit(struct model *m, struct event *e)
{
    struct proxy *p = &m->proxies[rng_below(&m->rng, MODEL_PROXIES)];

    for (int i = 0; !p->up && i < MODEL_PROXIES; i++) {
        p = &m->proxies[i];
    }
    if (!p->up) {
        submit(m, e->text, (int)e->id);
        return;
    }
    struct attempt *s = g_new0(struct attempt, 1);

    s->p = p;
    s->id = m->seq++;
    s->text = g_strdup(e->text);
    s->tries = (int)e->id;
    s->submission = ticket_submission_create(&submission_ops, s, p->state,
                                             &rules, &p->rng);
    g_ptr_array_add(p->attempts, s);
    ticket_submission_start(s->submission, m->now, s->text, strlen(s->text));
}

void
submit(struct model *m, const char *text, int tries)
{
    struct event *e = post(m, 1 + (clock_ms)rng_below(&m->rng, 500),
                           run_submit, &m->proxies[0]);

    e->incarnation = -1;
    e->text = g_strdup(text);
    e->id = (uint64_t)tries;
}

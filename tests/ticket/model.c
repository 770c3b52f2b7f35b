/* Simulation of five proxies, the table service and the object store, with
   virtual time and one event queue. A seed always gives the same run. */
#include "model_internal.h"

#include <string.h>

/* Starts and ends outages, partitions and restarts that are due. */
static void
update_faults(struct model *m)
{
    if (m->faults.outages && m->now >= m->store_change_at) {
        m->store_down = !m->store_down && !m->settling;
        m->store_change_at =
            m->now + 2000 + (clock_ms)rng_below(&m->rng, 14000);
    }
    if (m->faults.partitions && m->now >= m->partition_change_at) {
        m->partitioned = !m->partitioned && !m->settling;
        for (int i = 0; i < MODEL_PROXIES; i++) {
            m->proxies[i].group =
                m->partitioned ? (int)rng_below(&m->rng, 2) : 0;
        }
        m->partition_change_at =
            m->now + 2000 + (clock_ms)rng_below(&m->rng, 6000);
    }
    for (int i = 0; i < MODEL_PROXIES; i++) {
        struct proxy *p = &m->proxies[i];

        if (!p->up && m->now >= p->start_at) {
            start_proxy(m, p);
        }
    }
    if (m->faults.restarts && !m->settling && m->now >= m->restart_change_at) {
        bool all = rng_below(&m->rng, 10) == 0;
        int one = (int)rng_below(&m->rng, MODEL_PROXIES);

        for (int i = 0; i < MODEL_PROXIES; i++) {
            if ((all || i == one) && m->proxies[i].up) {
                stop_proxy(m, &m->proxies[i]);
                m->proxies[i].start_at =
                    m->now + 200 + (clock_ms)rng_below(&m->rng, 2000);
            }
        }
        m->restart_change_at =
            m->now + 3000 + (clock_ms)rng_below(&m->rng, 8000);
    }
}

/* Checks that no proxy misses an accepted ticket for more than
   AGREEMENT_LIMIT_MS. Only the time in which it is connected to a proxy that
   has the ticket counts; in runs without links between proxies, all time. */
static void
check_agreement(struct model *m)
{
    for (guint i = 0; i < m->accepted->len; i++) {
        struct accepted *a = m->accepted->pdata[i];

        for (int j = 0; j < MODEL_PROXIES; j++) {
            struct proxy *p = &m->proxies[j];

            if (a->in_force[j] || !p->up) {
                continue;
            }
            if (has_ticket(p, a->t)) {
                clock_ms wall = m->now - a->accepted_at;

                a->in_force[j] = true;
                g_array_append_val(m->out->in_force_ms, a->missing_ms[j]);
                g_array_append_val(m->out->in_force_wall_ms, wall);
                continue;
            }
            bool reachable = m->faults.no_peer_links;

            for (int k = 0; !reachable && k < MODEL_PROXIES; k++) {
                reachable = is_connected(m, p, &m->proxies[k]) &&
                            has_ticket(&m->proxies[k], a->t);
            }
            if (reachable) {
                a->missing_ms[j] += STEP_MS;
            }
            if (a->missing_ms[j] > AGREEMENT_LIMIT_MS) {
                report_violation(m, "agree_5s",
                                 "a connected proxy does not have a ticket");
            }
        }
    }
}

static void
tick_proxies(struct model *m)
{
    for (int i = 0; i < MODEL_PROXIES; i++) {
        struct proxy *p = &m->proxies[i];

        if (!p->up) {
            continue;
        }
        ticket_sync_tick(p->sync, m->now);
        for (guint j = p->attempts->len; j-- > 0;) {
            struct attempt *s = p->attempts->pdata[j];

            ticket_submission_tick(s->submission, m->now);
            if (s->finished) {
                g_ptr_array_remove_index(p->attempts, j);
            }
        }
        if ((m->now + 100L * i) % HEARTBEAT_MS != 0) {
            continue;
        }
        for (int j = 0; j < MODEL_PROXIES; j++) {
            struct event *e =
                j == i ? NULL : send_peer(p, (uint32_t)j, run_digest);

            if (e) {
                e->digest = ticket_state_digest(p->state);
            }
        }
    }
}

static void
run_due_events(struct model *m, clock_ms until)
{
    while (!g_sequence_is_empty(m->events)) {
        GSequenceIter *it = g_sequence_get_begin_iter(m->events);
        struct event *e = g_sequence_get(it);

        if (e->at > until) {
            break;
        }
        m->now = MAX(m->now, e->at);
        const struct proxy *p = &m->proxies[e->to];

        if (e->incarnation < 0 ||
            (p->up && e->incarnation == p->incarnation)) {
            e->run(m, e);
        }
        g_sequence_remove(it);
    }
    m->now = until;
}

/* Checks that, some time after the last fault, every proxy has every accepted
   ticket and all digests are equal. */
static void
check_end(struct model *m)
{
    struct ticket_digest first = ticket_state_digest(m->proxies[0].state);

    for (int i = 0; i < MODEL_PROXIES; i++) {
        struct ticket_digest d = ticket_state_digest(m->proxies[i].state);

        if (!ticket_digest_equal(&d, &first)) {
            report_violation(m, "agree_5s", "digests differ at the end");
        }
        for (guint j = 0; j < m->accepted->len; j++) {
            const struct accepted *a = m->accepted->pdata[j];

            if (!has_ticket(&m->proxies[i], a->t)) {
                report_violation(m, "accepted_kept", "lost at the end");
            }
        }
    }
}

static gint
compare_keys(gconstpointer a, gconstpointer b, gpointer ctx)
{
    (void)ctx;
    return strcmp(a, b);
}

/* Runs a simulation: submissions with faults, then SETTLE_MS without faults.
   The caller frees the arrays of out. */
void
model_run(uint64_t seed, int submissions, const struct model_faults *faults,
          struct model_result *out)
{
    struct model m = {
        .now = 10000, .faults = *faults, .out = out, .next_number = 100};

    memset(out, 0, sizeof(*out));
    out->in_force_ms = g_array_new(FALSE, FALSE, sizeof(clock_ms));
    out->in_force_wall_ms = g_array_new(FALSE, FALSE, sizeof(clock_ms));
    rng_seed(&m.rng, seed);
    m.events = g_sequence_new(free_event);
    m.rows = g_tree_new_full(compare_keys, NULL, g_free, free_row);
    m.contents =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    m.accepted = g_ptr_array_new();
    m.store_change_at = m.partition_change_at = m.restart_change_at = 12000;
    m.next_submission = 12000;
    for (int i = 0; i < MODEL_PROXIES; i++) {
        m.proxies[i] = (struct proxy){.m = &m, .id = i, .start_at = m.now};
        m.proxies[i].attempts = g_ptr_array_new_with_free_func(free_attempt);
    }
    clock_ms end = CLOCK_NEVER;

    while (m.now < end && !out->violation) {
        if (!m.settling && out->submissions == submissions &&
            m.now >= m.next_submission + 15000) {
            m.settling = true;
            m.store_change_at = m.partition_change_at = m.now;
            m.store_down = m.partitioned = true; /* turned off below */
            end = m.now + SETTLE_MS;
        }
        update_faults(&m);
        if (out->submissions < submissions && m.now >= m.next_submission) {
            char *text = random_ticket(&m);

            out->submissions++;
            submit(&m, text, 0);
            g_free(text);
            m.next_submission = m.now + (clock_ms)rng_below(&m.rng, 600);
        }
        tick_proxies(&m);
        run_due_events(&m, m.now + STEP_MS);
        check_agreement(&m);
    }
    if (!out->violation) {
        check_end(&m);
    }
    for (int i = 0; i < MODEL_PROXIES; i++) {
        ticket_sync_destroy(m.proxies[i].sync);
        ticket_state_destroy(m.proxies[i].state);
        g_ptr_array_free(m.proxies[i].attempts, TRUE);
    }
    for (guint i = 0; i < m.accepted->len; i++) {
        ticket_free(((struct accepted *)m.accepted->pdata[i])->t);
        g_free(m.accepted->pdata[i]);
    }
    g_ptr_array_free(m.accepted, TRUE);
    g_sequence_free(m.events);
    g_tree_destroy(m.rows);
    g_hash_table_destroy(m.contents);
    g_free(m.snapshot);
}

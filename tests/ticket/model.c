/* Simulation of five proxies, the table service and the object store, with
   virtual time and one event queue. A seed always gives the same run. */
#include "model_internal.h"

#include <string.h>

/* Starts and ends outages, partitions and restarts that are due. */
static void
update_faults(struct model *w)
{
    if (w->faults.outages && w->now >= w->store_change) {
        w->store_down = !w->store_down && !w->settling;
        w->store_change = w->now + 2000 + (clock_ms)rng_below(&w->rng, 14000);
    }
    if (w->faults.partitions && w->now >= w->partition_change) {
        w->partitioned = !w->partitioned && !w->settling;
        for (int i = 0; i < MODEL_PROXIES; i++) {
            w->proxies[i].group =
                w->partitioned ? (int)rng_below(&w->rng, 2) : 0;
        }
        w->partition_change =
            w->now + 2000 + (clock_ms)rng_below(&w->rng, 6000);
    }
    for (int i = 0; i < MODEL_PROXIES; i++) {
        struct proxy *p = &w->proxies[i];

        if (!p->up && w->now >= p->start_at) {
            start_proxy(w, p);
        }
    }
    if (w->faults.restarts && !w->settling && w->now >= w->restart_change) {
        bool all = rng_below(&w->rng, 10) == 0;
        int one = (int)rng_below(&w->rng, MODEL_PROXIES);

        for (int i = 0; i < MODEL_PROXIES; i++) {
            if ((all || i == one) && w->proxies[i].up) {
                stop_proxy(w, &w->proxies[i]);
                w->proxies[i].start_at =
                    w->now + 200 + (clock_ms)rng_below(&w->rng, 2000);
            }
        }
        w->restart_change = w->now + 3000 + (clock_ms)rng_below(&w->rng, 8000);
    }
}

/* Checks that no proxy misses an accepted ticket for more than
   AGREEMENT_LIMIT_MS. Only the time in which it is connected to a proxy that
   has the ticket counts; in runs without links between proxies, all time. */
static void
check_agreement(struct model *w)
{
    for (guint i = 0; i < w->accepted->len; i++) {
        struct accepted *a = w->accepted->pdata[i];

        for (int j = 0; j < MODEL_PROXIES; j++) {
            struct proxy *p = &w->proxies[j];

            if (a->in_force[j] || !p->up) {
                continue;
            }
            if (has_ticket(p, a->t)) {
                clock_ms wall = w->now - a->at;

                a->in_force[j] = true;
                g_array_append_val(w->out->in_force_ms, a->missing_ms[j]);
                g_array_append_val(w->out->in_force_wall_ms, wall);
                continue;
            }
            bool reachable = w->faults.no_peer_links;

            for (int k = 0; !reachable && k < MODEL_PROXIES; k++) {
                reachable = is_connected(w, p, &w->proxies[k]) &&
                            has_ticket(&w->proxies[k], a->t);
            }
            if (reachable) {
                a->missing_ms[j] += STEP_MS;
            }
            if (a->missing_ms[j] > AGREEMENT_LIMIT_MS) {
                report_violation(w, "agree_5s",
                                 "a connected proxy does not have a ticket");
            }
        }
    }
}

static void
tick_proxies(struct model *w)
{
    for (int i = 0; i < MODEL_PROXIES; i++) {
        struct proxy *p = &w->proxies[i];

        if (!p->up) {
            continue;
        }
        ticket_sync_tick(p->sync, w->now);
        for (guint j = p->attempts->len; j-- > 0;) {
            struct attempt *s = p->attempts->pdata[j];

            ticket_submission_tick(s->submission, w->now);
            if (s->finished) {
                g_ptr_array_remove_index(p->attempts, j);
            }
        }
        if ((w->now + 100L * i) % HEARTBEAT_MS != 0) {
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
run_due_events(struct model *w, clock_ms until)
{
    while (!g_sequence_is_empty(w->events)) {
        GSequenceIter *it = g_sequence_get_begin_iter(w->events);
        struct event *e = g_sequence_get(it);

        if (e->at > until) {
            break;
        }
        w->now = MAX(w->now, e->at);
        const struct proxy *p = &w->proxies[e->to];

        if (e->incarnation < 0 ||
            (p->up && e->incarnation == p->incarnation)) {
            e->run(w, e);
        }
        g_sequence_remove(it);
    }
    w->now = until;
}

/* Checks that, some time after the last fault, every proxy has every accepted
   ticket and all digests are equal. */
static void
check_end(struct model *w)
{
    struct ticket_digest first = ticket_state_digest(w->proxies[0].state);

    for (int i = 0; i < MODEL_PROXIES; i++) {
        struct ticket_digest d = ticket_state_digest(w->proxies[i].state);

        if (!ticket_digest_equal(&d, &first)) {
            report_violation(w, "agree_5s", "digests differ at the end");
        }
        for (guint j = 0; j < w->accepted->len; j++) {
            const struct accepted *a = w->accepted->pdata[j];

            if (!has_ticket(&w->proxies[i], a->t)) {
                report_violation(w, "accepted_kept", "lost at the end");
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
    struct model w = {
        .now = 10000, .faults = *faults, .out = out, .next_number = 100};

    memset(out, 0, sizeof(*out));
    out->in_force_ms = g_array_new(FALSE, FALSE, sizeof(clock_ms));
    out->in_force_wall_ms = g_array_new(FALSE, FALSE, sizeof(clock_ms));
    rng_seed(&w.rng, seed);
    w.events = g_sequence_new(free_event);
    w.rows = g_tree_new_full(compare_keys, NULL, g_free, free_row);
    w.contents =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    w.accepted = g_ptr_array_new();
    w.store_change = w.partition_change = w.restart_change = 12000;
    w.next_submission = 12000;
    for (int i = 0; i < MODEL_PROXIES; i++) {
        w.proxies[i] = (struct proxy){.w = &w, .id = i, .start_at = w.now};
        w.proxies[i].attempts = g_ptr_array_new_with_free_func(free_attempt);
    }
    clock_ms end = CLOCK_NEVER;

    while (w.now < end && !out->violation) {
        if (!w.settling && out->submissions == submissions &&
            w.now >= w.next_submission + 15000) {
            w.settling = true;
            w.store_change = w.partition_change = w.now;
            w.store_down = w.partitioned = true; /* turned off below */
            end = w.now + SETTLE_MS;
        }
        update_faults(&w);
        if (out->submissions < submissions && w.now >= w.next_submission) {
            char *text = random_ticket(&w);

            out->submissions++;
            submit(&w, text, 0);
            g_free(text);
            w.next_submission = w.now + (clock_ms)rng_below(&w.rng, 600);
        }
        tick_proxies(&w);
        run_due_events(&w, w.now + STEP_MS);
        check_agreement(&w);
    }
    if (!out->violation) {
        check_end(&w);
    }
    for (int i = 0; i < MODEL_PROXIES; i++) {
        ticket_sync_free(w.proxies[i].sync);
        ticket_state_free(w.proxies[i].state);
        g_ptr_array_free(w.proxies[i].attempts, TRUE);
    }
    for (guint i = 0; i < w.accepted->len; i++) {
        ticket_free(((struct accepted *)w.accepted->pdata[i])->t);
        g_free(w.accepted->pdata[i]);
    }
    g_ptr_array_free(w.accepted, TRUE);
    g_sequence_free(w.events);
    g_tree_destroy(w.rows);
    g_hash_table_destroy(w.contents);
    g_free(w.snapshot);
}

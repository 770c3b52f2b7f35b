/* A model of five proxies, the table service and the object store, driven by
   one seeded event queue. */
#include "world_model.h"

#include <string.h>

/* Changes outages, partitions and restarts when they are due. */
static void
change_faults(struct world *w)
{
    if (w->f.outages && w->now >= w->store_change) {
        w->store_down = !w->store_down && !w->settling;
        w->store_change = w->now + 2000 + (clock_ms)rng_below(&w->rng, 14000);
    }
    if (w->f.partitions && w->now >= w->partition_change) {
        w->partitioned = !w->partitioned && !w->settling;
        for (int i = 0; i < WORLD_PROXIES; i++) {
            w->proxies[i].group =
                w->partitioned ? (int)rng_below(&w->rng, 2) : 0;
        }
        w->partition_change =
            w->now + 2000 + (clock_ms)rng_below(&w->rng, 6000);
    }
    for (int i = 0; i < WORLD_PROXIES; i++) {
        struct proxy *p = &w->proxies[i];

        if (!p->up && w->now >= p->up_at) {
            boot(w, p);
        }
    }
    if (w->f.restarts && !w->settling && w->now >= w->restart_change) {
        bool all = rng_below(&w->rng, 10) == 0;
        int one = (int)rng_below(&w->rng, WORLD_PROXIES);

        for (int i = 0; i < WORLD_PROXIES; i++) {
            if ((all || i == one) && w->proxies[i].up) {
                halt(w, &w->proxies[i]);
                w->proxies[i].up_at =
                    w->now + 200 + (clock_ms)rng_below(&w->rng, 2000);
            }
        }
        w->restart_change = w->now + 3000 + (clock_ms)rng_below(&w->rng, 8000);
    }
}

/* Adds up how long each proxy lacks each accepted ticket. Time counts while
   the proxy is linked to one that holds the ticket or, in runs without
   links, at all times. */
static void
check_agreement(struct world *w)
{
    for (guint i = 0; i < w->accepted->len; i++) {
        struct accepted *a = w->accepted->pdata[i];

        for (int j = 0; j < WORLD_PROXIES; j++) {
            struct proxy *p = &w->proxies[j];

            if (a->done[j] || !p->up) {
                continue;
            }
            if (holds(p, a->t)) {
                clock_ms wall = w->now - a->at;

                a->done[j] = true;
                g_array_append_val(w->out->in_force_ms, a->lacking[j]);
                g_array_append_val(w->out->in_force_wall_ms, wall);
                continue;
            }
            bool reachable = w->f.no_peer_links;

            for (int k = 0; !reachable && k < WORLD_PROXIES; k++) {
                reachable = linked(w, p, &w->proxies[k]) &&
                            holds(&w->proxies[k], a->t);
            }
            if (reachable) {
                a->lacking[j] += STEP_MS;
            }
            if (a->lacking[j] > AGREE_MS) {
                violate(w, "agree_5s", "a linked proxy lacks a ticket");
            }
        }
    }
}

static void
tick_proxies(struct world *w)
{
    for (int i = 0; i < WORLD_PROXIES; i++) {
        struct proxy *p = &w->proxies[i];

        if (!p->up) {
            continue;
        }
        ticket_sync_tick(p->sync, w->now);
        for (guint j = p->subs->len; j-- > 0;) {
            struct sub *s = p->subs->pdata[j];

            ticket_submission_tick(s->m, w->now);
            if (s->over) {
                g_ptr_array_remove_index(p->subs, j);
            }
        }
        if ((w->now + 100L * i) % HEARTBEAT_MS != 0) {
            continue;
        }
        for (int j = 0; j < WORLD_PROXIES; j++) {
            struct event *e =
                j == i ? NULL : send_peer(p, (uint32_t)j, run_digest);

            if (e) {
                e->digest = ticket_state_digest(p->state);
            }
        }
    }
}

static void
run_due(struct world *w, clock_ms until)
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

/* After the faults every proxy holds every accepted ticket and all digests
   are equal. */
static void
check_end(struct world *w)
{
    struct ticket_digest first = ticket_state_digest(w->proxies[0].state);

    for (int i = 0; i < WORLD_PROXIES; i++) {
        struct ticket_digest d = ticket_state_digest(w->proxies[i].state);

        if (!ticket_digest_equal(&d, &first)) {
            violate(w, "agree_5s", "digests differ at the end");
        }
        for (guint j = 0; j < w->accepted->len; j++) {
            const struct accepted *a = w->accepted->pdata[j];

            if (!holds(&w->proxies[i], a->t)) {
                violate(w, "accepted_kept", "lost at the end");
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

/* Runs one model: submissions with faults, then a calm time. */
void
world_run(uint64_t seed, int submissions, const struct world_faults *f,
          struct world_result *out)
{
    struct world w = {.now = 10000, .f = *f, .out = out, .next_number = 100};

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
    for (int i = 0; i < WORLD_PROXIES; i++) {
        w.proxies[i] = (struct proxy){.w = &w, .id = i, .up_at = w.now};
        w.proxies[i].subs = g_ptr_array_new_with_free_func(free_sub);
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
        change_faults(&w);
        if (out->submissions < submissions && w.now >= w.next_submission) {
            char *text = random_ticket(&w);

            out->submissions++;
            submit(&w, text, 0);
            g_free(text);
            w.next_submission = w.now + (clock_ms)rng_below(&w.rng, 600);
        }
        tick_proxies(&w);
        run_due(&w, w.now + STEP_MS);
        check_agreement(&w);
    }
    if (!out->violation) {
        check_end(&w);
    }
    for (int i = 0; i < WORLD_PROXIES; i++) {
        ticket_sync_free(w.proxies[i].sync);
        ticket_state_free(w.proxies[i].state);
        g_ptr_array_free(w.proxies[i].subs, TRUE);
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

/* Messages between proxies, and the store requests of struct ticket_sync. */
#include "model_internal.h"

#include <string.h>

/* Records a violation unless there was one before. */
void
report_violation(struct model *m, const char *name, const char *detail)
{
    if (!m->out->violation) {
        m->out->violation = name;
        (void)g_snprintf(m->out->detail, sizeof(m->out->detail), "t=%d %s",
                         (int)m->now, detail);
    }
}

bool
random_fault(struct model *m, int permille)
{
    return !m->settling && (int)rng_below(&m->rng, 1000) < permille;
}

static gint
compare_events(gconstpointer a, gconstpointer b, gpointer ctx)
{
    const struct event *x = a;
    const struct event *y = b;

    (void)ctx;
    if (x->at != y->at) {
        return x->at < y->at ? -1 : 1;
    }
    return x->seq < y->seq ? -1 : 1;
}

struct event *
post(struct model *m, clock_ms delay,
     void (*run)(struct model *m, struct event *e), const struct proxy *to)
{
    struct event *e = g_new0(struct event, 1);

    e->at = m->now + delay;
    e->seq = m->seq++;
    e->run = run;
    e->to = to->id;
    e->incarnation = to->incarnation;
    g_sequence_insert_sorted(m->events, e, compare_events, NULL);
    return e;
}

void
free_event(void *p)
{
    struct event *e = p;

    g_free(e->key);
    g_free(e->text);
    if (e->keys) {
        g_ptr_array_free(e->keys, TRUE);
        g_ptr_array_free(e->texts, TRUE);
    }
    g_free(e);
}

bool
is_connected(const struct model *m, const struct proxy *a,
             const struct proxy *b)
{
    return a->up && b->up && !m->faults.no_peer_links && a->group == b->group;
}

/* Returns true if p has every object of t with its number or a higher one. */
bool
has_ticket(const struct proxy *p, const struct ticket *t)
{
    for (size_t i = 0; i < t->n_objects; i++) {
        const struct ticket_object *o = ticket_state_find(
            p->state, t->objects[i]->type, t->objects[i]->name);

        if (!o || o->number < t->number) {
            return false;
        }
    }
    return true;
}

/* Change callback: checks that numbers of objects never decrease, and that
   each number has the same content on all proxies. */
void
on_change(void *ctx, const struct ticket_object *old,
          const struct ticket_object *o)
{
    struct proxy *p = ctx;
    char *key = g_strdup_printf("%d %s %s", (int)o->number,
                                ticket_type_name(o->type), o->name);
    GString *text = g_string_new(NULL);
    const char *known = g_hash_table_lookup(p->m->contents, key);

    if (old && old->number > o->number) {
        p->m->out->reverts++;
        report_violation(p->m, "accepted_kept",
                         "an object went to a lower number");
    }
    ticket_object_write(o, true, text);
    if (known && strcmp(known, text->str) != 0) {
        report_violation(p->m, "one_content",
                         "a number is in force with two contents");
    }
    if (known) {
        g_free(key);
        g_string_free(text, TRUE);
    }
    else {
        g_hash_table_insert(p->m->contents, key, g_string_free(text, FALSE));
    }
}

static void
run_push(struct model *m, struct event *e)
{
    ticket_sync_on_push(m->proxies[e->to].sync, m->now, e->text,
                        strlen(e->text));
}

static void
run_pull(struct model *m, struct event *e)
{
    ticket_sync_on_pull(m->proxies[e->to].sync, (uint32_t)e->from, &e->digest,
                        e->flag);
}

void
run_digest(struct model *m, struct event *e)
{
    ticket_sync_on_digest(m->proxies[e->to].sync, m->now, (uint32_t)e->from,
                          &e->digest);
}

/* Sends a message between proxies. Returns NULL if it is lost. */
struct event *
send_peer(struct proxy *from, uint32_t to,
          void (*run)(struct model *m, struct event *e))
{
    struct model *m = from->m;

    if (!is_connected(m, from, &m->proxies[to]) ||
        random_fault(m, m->faults.message_lost)) {
        return NULL;
    }
    struct event *e =
        post(m, 1 + (clock_ms)rng_below(&m->rng, 5), run, &m->proxies[to]);

    e->from = from->id;
    return e;
}

static void
op_push(void *ctx, uint32_t peer, const char *text)
{
    struct event *e = send_peer(ctx, peer, run_push);

    if (e) {
        e->text = g_strdup(text);
    }
}

static void
op_pull(void *ctx, uint32_t peer, const struct ticket_digest *own, bool full)
{
    struct event *e = send_peer(ctx, peer, run_pull);

    if (e) {
        e->digest = *own;
        e->flag = full;
    }
}

static void
run_rows(struct model *m, struct event *e)
{
    struct ticket_row *rows = g_new0(struct ticket_row, e->keys->len + 1);

    for (guint i = 0; i < e->keys->len; i++) {
        rows[i].key = e->keys->pdata[i];
        rows[i].text = e->texts->pdata[i];
    }
    ticket_sync_on_rows(m->proxies[e->to].sync, m->now, e->id, e->list_result,
                        rows, e->keys->len);
    g_free(rows);
}

static gboolean
collect_row(gpointer key, gpointer value, gpointer ctx)
{
    struct event *e = ctx;
    const struct row *row = value;

    /* While rows are collected, e->at is the time of the state to read. */
    if (row->at <= e->at && strcmp(key, e->key) > 0 &&
        (int)e->keys->len < e->limit) {
        e->bytes += strlen(row->text);
        g_ptr_array_add(e->keys, g_strdup(key));
        g_ptr_array_add(e->texts, g_strdup(row->text));
    }
    return FALSE;
}

/* Returns the time of the state that a read sees: now or up to 3 s ago. */
clock_ms
read_time(struct model *m)
{
    return random_fault(m, m->faults.stale_read)
               ? m->now - (clock_ms)rng_below(&m->rng, 3000)
               : m->now;
}

static void
op_list(void *ctx, uint64_t id, const char *after, int limit)
{
    struct proxy *p = ctx;
    struct model *m = p->m;
    struct event *e = post(m, 5, run_rows, p);
    clock_ms at = e->at;

    e->limit = limit;
    e->list_result = TICKET_LIST_FAILED;
    e->id = id;
    e->keys = g_ptr_array_new_with_free_func(g_free);
    e->texts = g_ptr_array_new_with_free_func(g_free);
    e->key = g_strdup(after);
    e->flag = !m->store_down && !random_fault(m, m->faults.store_error) &&
              !random_fault(m, m->faults.answer_lost);
    if (e->flag) {
        e->at = read_time(m);
        g_tree_foreach(m->rows, collect_row, e);
        e->at = at;
        e->list_result = e->bytes > ANSWER_MAX_BYTES ? TICKET_LIST_TOO_LARGE
                                                     : TICKET_LIST_DONE;
    }
}

static void
run_snapshot(struct model *m, struct event *e)
{
    ticket_sync_on_snapshot(m->proxies[e->to].sync, m->now, e->text,
                            e->text ? strlen(e->text) : 0);
}

static void
op_snapshot_read(void *ctx)
{
    struct proxy *p = ctx;
    struct event *e = post(p->m, 5, run_snapshot, p);

    e->text = p->m->store_down ? NULL : g_strdup(p->m->snapshot);
}

static void
op_snapshot_write(void *ctx, const char *text)
{
    struct proxy *p = ctx;

    if (!p->m->store_down) {
        g_free(p->m->snapshot);
        p->m->snapshot = g_strdup(text);
    }
}

static const struct ticket_sync_ops sync_ops = {
    op_push, op_pull, op_list, op_snapshot_read, op_snapshot_write};

void
start_proxy(struct model *m, struct proxy *p)
{
    p->up = true;
    p->start_at = m->now;
    rng_seed(&p->rng, rng_next(&m->rng));
    p->state = ticket_state_create(on_change, p);
    p->sync = ticket_sync_create(&sync_ops, p, p->state, &p->rng);
    for (int i = 0; i < MODEL_PROXIES; i++) {
        if (i != p->id) {
            ticket_sync_peer_up(p->sync, (uint32_t)i);
        }
    }
    ticket_sync_set_snapshot_writer(p->sync, p->id < 2);
    ticket_sync_start(p->sync, m->now);
}

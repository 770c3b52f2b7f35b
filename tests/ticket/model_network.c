/* Messages between proxies, and the store requests of struct ticket_sync. */
#include "model_internal.h"

#include <string.h>

/* Records a violation unless there was one before. */
void
report_violation(struct model *w, const char *name, const char *detail)
{
    if (!w->out->violation) {
        w->out->violation = name;
        (void)g_snprintf(w->out->detail, sizeof(w->out->detail), "t=%d %s",
                         (int)w->now, detail);
    }
}

bool
random_fault(struct model *w, int per_thousand)
{
    return !w->settling && (int)rng_below(&w->rng, 1000) < per_thousand;
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
post(struct model *w, clock_ms delay,
     void (*run)(struct model *w, struct event *e), const struct proxy *to)
{
    struct event *e = g_new0(struct event, 1);

    e->at = w->now + delay;
    e->seq = w->seq++;
    e->run = run;
    e->to = to->id;
    e->incarnation = to->incarnation;
    g_sequence_insert_sorted(w->events, e, compare_events, NULL);
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
is_connected(const struct model *w, const struct proxy *a,
             const struct proxy *b)
{
    return a->up && b->up && !w->faults.no_peer_links && a->group == b->group;
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
    const char *known = g_hash_table_lookup(p->w->contents, key);

    if (old && old->number > o->number) {
        p->w->out->reverts++;
        report_violation(p->w, "accepted_kept",
                         "an object went to a lower number");
    }
    ticket_object_write(o, true, text);
    if (known && strcmp(known, text->str) != 0) {
        report_violation(p->w, "one_content",
                         "a number is in force with two contents");
    }
    if (known) {
        g_free(key);
        g_string_free(text, TRUE);
    }
    else {
        g_hash_table_insert(p->w->contents, key, g_string_free(text, FALSE));
    }
}

static void
run_push(struct model *w, struct event *e)
{
    ticket_sync_on_push(w->proxies[e->to].sync, w->now, e->text,
                        strlen(e->text));
}

static void
run_pull(struct model *w, struct event *e)
{
    ticket_sync_on_pull(w->proxies[e->to].sync, (uint32_t)e->from, &e->digest,
                        e->flag);
}

void
run_digest(struct model *w, struct event *e)
{
    ticket_sync_on_digest(w->proxies[e->to].sync, w->now, (uint32_t)e->from,
                          &e->digest);
}

/* Sends a message between proxies. Returns NULL if it is lost. */
struct event *
send_peer(struct proxy *from, uint32_t to,
          void (*run)(struct model *w, struct event *e))
{
    struct model *w = from->w;

    if (!is_connected(w, from, &w->proxies[to]) ||
        random_fault(w, w->faults.message_lost)) {
        return NULL;
    }
    struct event *e =
        post(w, 1 + (clock_ms)rng_below(&w->rng, 5), run, &w->proxies[to]);

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
run_rows(struct model *w, struct event *e)
{
    struct ticket_row *rows = g_new0(struct ticket_row, e->keys->len + 1);

    for (guint i = 0; i < e->keys->len; i++) {
        rows[i].key = e->keys->pdata[i];
        rows[i].text = e->texts->pdata[i];
    }
    ticket_sync_on_rows(w->proxies[e->to].sync, w->now, e->id, e->list_result,
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
read_time(struct model *w)
{
    return random_fault(w, w->faults.stale_read)
               ? w->now - (clock_ms)rng_below(&w->rng, 3000)
               : w->now;
}

static void
op_list(void *ctx, uint64_t id, const char *after, int limit)
{
    struct proxy *p = ctx;
    struct model *w = p->w;
    struct event *e = post(w, 5, run_rows, p);
    clock_ms at = e->at;

    e->limit = limit;
    e->list_result = TICKET_LIST_FAILED;
    e->id = id;
    e->keys = g_ptr_array_new_with_free_func(g_free);
    e->texts = g_ptr_array_new_with_free_func(g_free);
    e->key = g_strdup(after);
    e->flag = !w->store_down && !random_fault(w, w->faults.store_error) &&
              !random_fault(w, w->faults.answer_lost);
    if (e->flag) {
        e->at = read_time(w);
        g_tree_foreach(w->rows, collect_row, e);
        e->at = at;
        e->list_result = e->bytes > ANSWER_MAX_BYTES ? TICKET_LIST_TOO_LARGE
                                                     : TICKET_LIST_DONE;
    }
}

static void
run_snapshot(struct model *w, struct event *e)
{
    ticket_sync_on_snapshot(w->proxies[e->to].sync, w->now, e->text,
                            e->text ? strlen(e->text) : 0);
}

static void
op_snapshot_read(void *ctx)
{
    struct proxy *p = ctx;
    struct event *e = post(p->w, 5, run_snapshot, p);

    e->text = p->w->store_down ? NULL : g_strdup(p->w->snapshot);
}

static void
op_snapshot_write(void *ctx, const char *text)
{
    struct proxy *p = ctx;

    if (!p->w->store_down) {
        g_free(p->w->snapshot);
        p->w->snapshot = g_strdup(text);
    }
}

static const struct ticket_sync_ops sync_ops = {
    op_push, op_pull, op_list, op_snapshot_read, op_snapshot_write};

void
start_proxy(struct model *w, struct proxy *p)
{
    p->up = true;
    p->start_at = w->now;
    rng_seed(&p->rng, rng_next(&w->rng));
    p->state = ticket_state_new(on_change, p);
    p->sync = ticket_sync_new(&sync_ops, p, p->state, &p->rng);
    for (int i = 0; i < MODEL_PROXIES; i++) {
        if (i != p->id) {
            ticket_sync_peer_up(p->sync, (uint32_t)i);
        }
    }
    ticket_sync_set_snapshot_writer(p->sync, p->id < 2);
    ticket_sync_start(p->sync, w->now);
}

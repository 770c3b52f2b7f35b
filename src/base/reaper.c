#include "base/reaper.h"

#include <glib.h>

struct reaper {
    struct ev_loop *loop;
    ev_prepare prepare; /* runs when no callback is on the stack */
    GPtrArray *records;
};

/* Frees what was added since the last time. */
static void
on_prepare(struct ev_loop *loop, ev_prepare *w, int revents)
{
    struct reaper *r = w->data;

    (void)revents;
    g_ptr_array_set_size(r->records, 0);
    ev_prepare_stop(loop, w);
}

/* Creates a reaper; release frees one record. */
struct reaper *
reaper_create(struct ev_loop *loop, void (*release)(void *p))
{
    struct reaper *r = g_new0(struct reaper, 1);

    r->loop = loop;
    r->records = g_ptr_array_new_with_free_func(release);
    ev_prepare_init(&r->prepare, on_prepare);
    r->prepare.data = r;
    return r;
}

/* Frees the reaper and all that was added. */
void
reaper_destroy(struct reaper *r)
{
    ev_prepare_stop(r->loop, &r->prepare);
    g_ptr_array_free(r->records, TRUE);
    g_free(r);
}

/* Leaves a record to be freed. */
void
reaper_add(struct reaper *r, void *p)
{
    g_ptr_array_add(r->records, p);
    ev_prepare_start(r->loop, &r->prepare);
}

#include "base/deferred_free.h"

#include <glib.h>

struct deferred_free {
    struct ev_loop *loop;
    ev_prepare prepare; /* called by the loop outside of other callbacks */
    GPtrArray *pending;
};

static void
on_prepare(struct ev_loop *loop, ev_prepare *w, int revents)
{
    struct deferred_free *d = w->data;

    (void)revents;
    g_ptr_array_set_size(d->pending, 0);
    ev_prepare_stop(loop, w);
}

/* free_record is called once for each record. */
struct deferred_free *
deferred_free_create(struct ev_loop *loop, void (*free_record)(void *p))
{
    struct deferred_free *d = g_new0(struct deferred_free, 1);

    d->loop = loop;
    d->pending = g_ptr_array_new_with_free_func(free_record);
    ev_prepare_init(&d->prepare, on_prepare);
    d->prepare.data = d;
    return d;
}

/* Frees all records that were added, then the list itself. */
void
deferred_free_destroy(struct deferred_free *d)
{
    ev_prepare_stop(d->loop, &d->prepare);
    g_ptr_array_free(d->pending, TRUE);
    g_free(d);
}

/* Takes ownership of a record and frees it before the event loop next waits
   for events. */
void
deferred_free_add(struct deferred_free *d, void *p)
{
    g_ptr_array_add(d->pending, p);
    ev_prepare_start(d->loop, &d->prepare);
}

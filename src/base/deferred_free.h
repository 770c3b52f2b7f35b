#ifndef BASE_DEFERRED_FREE_H
#define BASE_DEFERRED_FREE_H

#include <ev.h>

/* Defers the release of records until all event loop callbacks have returned,
   because a callback may still use the record that it closes. */
struct deferred_free;

struct deferred_free *deferred_free_create(struct ev_loop *loop,
                                           void (*free_record)(void *p));
void deferred_free_destroy(struct deferred_free *d);
void deferred_free_add(struct deferred_free *d, void *p);

#endif

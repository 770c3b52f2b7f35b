#ifndef BASE_REAPER_H
#define BASE_REAPER_H

#include <ev.h>

/* Defers the release of records until all event loop callbacks have returned,
   because a callback may still use the record that it closes. */
struct reaper;

struct reaper *reaper_create(struct ev_loop *loop,
                             void (*free_record)(void *p));
void reaper_destroy(struct reaper *r);
void reaper_add(struct reaper *r, void *p);

#endif

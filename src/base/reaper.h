#ifndef BASE_REAPER_H
#define BASE_REAPER_H

#include <ev.h>

/* Frees records after the callbacks that may still use them have returned. */
struct reaper;

struct reaper *reaper_create(struct ev_loop *loop, void (*release)(void *p));
void reaper_destroy(struct reaper *r);
void reaper_add(struct reaper *r, void *p);

#endif

#ifndef FLEET_OWNERSHIP_H
#define FLEET_OWNERSHIP_H

#include "base/clock.h"
#include "fleet/membership.h"

#include <stdbool.h>
#include <stdint.h>

/* Determines which proxy owns an object, by rendezvous hashing over the
   members that are live or suspect. */

#define OWNERSHIP_RANKS 3
#define OWNERSHIP_NONE UINT32_MAX
/* A new owner has to wait for OWNERSHIP_TAKEOVER_MS: for the longest lease
   that the previous owner may still count (2 s and a margin of 500 ms), and
   for the age up to which a member's report of its view counts for the
   previous owner's quorum. */
#define OWNERSHIP_LEASE_MS 2500
#define OWNERSHIP_TAKEOVER_MS (OWNERSHIP_LEASE_MS + MEMBERSHIP_SUSPECT_MS)

struct ownership;

/* Called when the owner of a tracked object changed. before is OWNERSHIP_NONE
   if the object had no owner. */
typedef void (*ownership_changed)(void *ctx, const char *object,
                                  uint32_t before, uint32_t owner,
                                  clock_ms now);

struct ownership *ownership_create(const struct membership *m,
                                   ownership_changed cb, void *ctx);
void ownership_destroy(struct ownership *o);
void ownership_track(struct ownership *o, const char *object, clock_ms now);
void ownership_member_changed(struct ownership *o, const struct member_info *m,
                              clock_ms now);
uint32_t ownership_rank(const struct ownership *o, const char *object,
                        unsigned n);
uint64_t ownership_version(const struct ownership *o);
clock_ms ownership_since(const struct ownership *o, const char *object);
bool ownership_may_lend(const struct ownership *o, const char *object,
                        clock_ms now);

#endif

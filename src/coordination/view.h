#ifndef COORDINATION_VIEW_H
#define COORDINATION_VIEW_H

#include "base/sview.h"
#include "directory/member_entry.h"

#include <stdbool.h>
#include <stdint.h>

/* The text form of this many services fits in a row of 64 KB. */
#define VIEW_SERVICES_MAX 1024
#define VIEW_NAME_BYTES 64

/* In place of a member in view_entry.ordered: the store may have lost whether
   a promotion was ordered, and of which member. */
#define VIEW_ORDERED_UNKNOWN "?"

/* The primary of one service. epoch is the version of the view in which the
   other fields last changed. While changing is set, no proxy uses any primary
   of the service. ordered is written before the promotion is ordered and stays
   until the change is over, so that every later holder knows that the order
   may still take effect. */
struct view_entry {
    char service[VIEW_NAME_BYTES];
    char primary[MEMBER_ID_BYTES];
    uint64_t epoch;
    uint64_t term; /* of the primary's log; 0 if unknown */
    bool changing;
    char ordered[MEMBER_ID_BYTES]; /* named by the last order of this change;
                                      empty if none was given */
    uint64_t ordered_set; /* view_member_bit() of all members that this change
                             may have ordered */
};

/* The state that all proxies agree on: the primary of each service, and which
   proxy may order promotions. It is one row of the store, replaced as a whole
   by a compare-and-swap; each write increments version. */
struct view {
    uint64_t version;
    char holder[VIEW_NAME_BYTES]; /* the proxy that may order promotions */
    uint64_t fence; /* fencing token; incremented when the holder changes */
    int count;
    struct view_entry entries[VIEW_SERVICES_MAX];
};

char *view_format(const struct view *v);
bool view_parse(struct sview text, struct view *out);
struct view_entry *view_find(struct view *v, const char *service);
struct view_entry *view_add(struct view *v, const char *service);
int view_changes(const struct view *v, uint64_t since, struct view_entry *out,
                 int max);
bool view_apply(struct view *v, const struct view_entry *changes, int n);
uint64_t view_member_bit(const char *member);

#endif

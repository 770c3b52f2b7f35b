#ifndef RELAY_LINK_SETUP_H
#define RELAY_LINK_SETUP_H

#include "relay/request.h"

#include <glib.h>

/* The settings and prepared statements in effect on a connection to a member.
   They change when the member has acknowledged a SET, RESET or PREPARE, not
   when that is sent: a member may refuse it. */
struct link_setup;

struct link_setup *link_setup_create(void);
struct link_setup *link_setup_copy_hash(const struct link_setup *from);
void link_setup_destroy(struct link_setup *l);

void link_setup_sent(struct link_setup *l, const struct request *r);
void link_setup_answered(struct link_setup *l, enum failure f);
bool link_setup_is_known(const struct link_setup *l);

GHashTable *link_setup_settings(const struct link_setup *l);
uint64_t link_setup_settings_hash(const struct link_setup *l);
bool link_setup_has_setting(const struct link_setup *l, const char *name,
                            const char *value);
bool link_setup_has_name(const struct link_setup *l, const char *name);
void link_setup_forget_names(struct link_setup *l);

uint64_t settings_hash(GHashTable *settings);

#endif

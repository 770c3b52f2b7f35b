#ifndef DAEMON_TICKETS_H
#define DAEMON_TICKETS_H

#include "control/control.h"
#include "fleet/peers.h"
#include "settings/settings.h"
#include "ticket/state.h"

#include <ev.h>

/* Change tickets on one proxy: keeps their state in sync with the platform's
   store and with the other proxies, and handles submissions by operators. */
struct tickets;

struct tickets_config {
    struct ev_loop *loop;
    const struct settings *settings;
    struct peers *peers; /* NULL without peers */
    /* Puts the new state of an object in force; returns false when it could
       not. */
    bool (*apply)(void *ctx, const struct ticket_object *o);
    void *ctx;
};

struct tickets *tickets_create(const struct tickets_config *config);
void tickets_destroy(struct tickets *t);
void tickets_register(struct tickets *t, struct control *c);
void tickets_on_push(struct tickets *t, const peer_ticket *in);
void tickets_on_pull(struct tickets *t, const peer_ticket_pull *in);
void tickets_on_digest(struct tickets *t, uint32_t peer,
                       const peer_digest *in);
void tickets_on_member(struct tickets *t, const struct member_info *m);

#endif

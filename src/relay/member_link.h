#ifndef RELAY_MEMBER_LINK_H
#define RELAY_MEMBER_LINK_H

#include "directory/member_entry.h"
#include "relay/request.h"

/* A connection to a member, implemented by a codec. Requests are answered in
   the order in which they were sent. */
struct member_link;

/* opened() is called when the member has accepted the connection. refused() or
   closed() is the last callback; the owner must then call the codec's
   close(). */
struct member_link_events {
    void (*opened)(void *ctx, const struct token *position);
    void (*refused)(void *ctx, enum failure why);
    void (*answered)(void *ctx, const struct answer *a);
    void (*closed)(void *ctx, const char *why);
};

/* Implementation of the protocol that members speak. open() is given the
   codec's ctx, and the ctx that it passes to events; it returns NULL if the
   connection attempt fails immediately. account is the name of the client
   account whose requests the connection will carry, which cannot be changed
   later; NULL for the proxy's own. A request sent with a min_position
   is executed only if the member's log has reached it; NULL requires
   nothing. */
struct member_codec {
    struct member_link *(*open)(void *codec_ctx, const struct member_entry *m,
                                const char *account,
                                const struct member_link_events *events,
                                void *ctx);
    void (*send)(struct member_link *l, const struct request *r,
                 const struct token *min_position);
    void (*close)(struct member_link *l);
    void *ctx;
};

#endif

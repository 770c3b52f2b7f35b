#ifndef RELAY_MEMBER_LINK_H
#define RELAY_MEMBER_LINK_H

#include "directory/member_entry.h"
#include "relay/request.h"

/* A connection to a member, as a codec offers it. Requests are answered in
   the order in which they were sent. */
struct member_link;

/* opened is called once the member has accepted the connection. refused or
   closed is the last call for a link; the owner then calls close(). */
struct member_link_events {
    void (*opened)(void *ctx, const struct token *position);
    void (*refused)(void *ctx, enum failure why);
    void (*answered)(void *ctx, const struct answer *a);
    void (*closed)(void *ctx, const char *why);
};

/* The codec towards members. after is the position that the member's log must
   have for the request to run, or NULL. */
struct member_codec {
    struct member_link *(*open)(void *codec, const struct member_entry *m,
                                const struct member_link_events *events,
                                void *ctx);
    void (*send)(struct member_link *l, const struct request *r,
                 const struct token *after);
    void (*close)(struct member_link *l);
    void *ctx;
};

#endif

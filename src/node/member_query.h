#ifndef NODE_MEMBER_QUERY_H
#define NODE_MEMBER_QUERY_H

#include "relay/member_link.h"

#include <ev.h>

/* Called with the outcome; report is NULL if the member did not answer. */
typedef void (*member_query_fn)(void *ctx, const char *service,
                                const char *member, uint64_t round,
                                const struct member_report *report);

void member_query_start(struct ev_loop *loop, const struct member_codec *codec,
                        const struct member_entry *m, uint64_t demote_term,
                        uint64_t round, member_query_fn done, void *ctx);

#endif

#ifndef BASE_ACCEPTOR_H
#define BASE_ACCEPTOR_H

#include <ev.h>

/* Accepts the connections of a listening socket on the event loop. */
struct acceptor;

/* Called for each connection with a non-blocking descriptor, which the callee
   owns. */
typedef void (*acceptor_fn)(void *ctx, int fd);

struct acceptor *acceptor_create(struct ev_loop *loop, int listen_fd,
                                 const char *name, acceptor_fn accepted,
                                 void *ctx);
void acceptor_destroy(struct acceptor *a);

#endif

#ifndef BASE_STREAM_H
#define BASE_STREAM_H

#include "base/sview.h"

#include <ev.h>
#include <stdint.h>

/* A non-blocking TCP connection with an input and an output buffer. */
struct stream;

/* connected and flushed may be NULL. readable is called after input was
   received, flushed when all data has been sent after some had to wait. closed
   is called once, when the peer closed the connection or it failed; the owner
   must then call stream_close(). The owner may call stream_close() inside any
   callback. */
struct stream_callbacks {
    void (*connected)(void *ctx);
    void (*readable)(void *ctx);
    void (*flushed)(void *ctx);
    void (*closed)(void *ctx, const char *why);
};

struct stream *stream_from_fd(struct ev_loop *loop, int fd,
                              const struct stream_callbacks *callbacks,
                              void *ctx);
struct stream *stream_connect(struct ev_loop *loop, const char *host,
                              uint16_t port,
                              const struct stream_callbacks *callbacks,
                              void *ctx);
void stream_finish(struct stream *s);
void stream_disconnect(struct stream *s);
void stream_close(struct stream *s);
struct sview stream_input(const struct stream *s);
void stream_consume(struct stream *s, size_t n);
void stream_write(struct stream *s, const char *p, size_t n);
size_t stream_unsent(const struct stream *s);
void stream_receive(struct stream *s);
bool stream_has_unread(const struct stream *s);
void stream_set_input_limit(struct stream *s, size_t bytes);

#endif

#ifndef CLOUD_MULTI_H
#define CLOUD_MULTI_H

#include <curl/curl.h>
#include <ev.h>

/* A libcurl multi handle driven by a libev loop. */
struct cloud_multi;

/* Called from the loop for each finished transfer. It may remove the easy
   handle and must not free the multi handle. */
typedef void (*cloud_multi_done_fn)(void *ctx, CURL *easy, CURLcode code);

struct cloud_multi *cloud_multi_create(struct ev_loop *loop,
                                       cloud_multi_done_fn done, void *ctx);
void cloud_multi_destroy(struct cloud_multi *m);
void cloud_multi_add(struct cloud_multi *m, CURL *easy);
void cloud_multi_remove(struct cloud_multi *m, CURL *easy);

#endif

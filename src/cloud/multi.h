#ifndef PLATFORM_MULTI_H
#define PLATFORM_MULTI_H

#include <curl/curl.h>
#include <ev.h>

/* A libcurl multi handle that is driven by a libev loop. */
struct platform_multi;

/* Called from the loop for each transfer that ended; it may remove the easy
   handle and must not free the multi. */
typedef void (*platform_multi_fn)(void *ctx, CURL *easy, CURLcode code);

struct platform_multi *platform_multi_new(struct ev_loop *loop,
                                          platform_multi_fn ended, void *ctx);
void platform_multi_free(struct platform_multi *m);
void platform_multi_add(struct platform_multi *m, CURL *easy);
void platform_multi_remove(struct platform_multi *m, CURL *easy);

#endif

#include "daemon/health.h"

#include "base/http_server.h"

struct health {
    struct http_server *server;
    bool serving;
};

/* Answers every request alike, whatever its path. */
static int
on_request(void *ctx, const char *path, GString *body)
{
    const struct health *h = ctx;

    (void)path;
    g_string_assign(body, h->serving ? "ok\n" : "draining\n");
    return h->serving ? 200 : 503;
}

/* Opens the listening socket. On failure returns NULL and sets error to a text
   to be freed. */
struct health *
health_create(struct ev_loop *loop, const struct settings_address *a,
              char **error)
{
    struct health *h = g_new0(struct health, 1);

    h->serving = true;
    h->server =
        http_server_create(loop, a->host, a->port, on_request, h, error);
    if (h->server == NULL) {
        g_free(h);
        return NULL;
    }
    return h;
}

/* Closes the socket and all connections; h may be NULL. */
void
health_destroy(struct health *h)
{
    if (h == NULL) {
        return;
    }
    http_server_destroy(h->server);
    g_free(h);
}

/* Sets whether the health check succeeds; h may be NULL. */
void
health_set_serving(struct health *h, bool serving)
{
    if (h != NULL) {
        h->serving = serving;
    }
}

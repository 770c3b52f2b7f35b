#include "node/copy_exchange.h"

#include "base/event_log.h"
#include "fleet/rpc_client.h"
#include "fleet/rpc_server.h"
#include "node/copy_xdr.h"

#include <string.h>

/* A peer answers in a few milliseconds; after this time another one is
   asked. */
#define REQUEST_TIMEOUT_MS 300
/* Peers connected at the same time; others have to retry later. */
#define CONNECTIONS_MAX 64

struct copy_exchange {
    struct copy_exchange_config config;
    char *name;
    struct rpc_procedure procedure;
    struct rpc_server *server;
    GHashTable *clients; /* "HOST:PORT" -> struct rpc_client */
    char *pending_host;  /* the peer being asked, or NULL */
};

static void
texts_clear(struct copy_texts *t)
{
    g_free(t->catalog);
    g_free(t->members);
    g_free(t->proxies);
}

/* Answers a request from a peer. */
static void
on_request(void *ctx, struct rpc_call *call, void *args)
{
    struct copy_exchange *p = ctx;
    const copy_request *q = args;
    struct copy_texts t = {0};

    if (!p->config.provide_copy(p->config.ctx, &t)) {
        event_log(EVENT_STATE, "copy_refused", "peer=%s", q->from);
        rpc_call_fail(call);
        return;
    }
    const copy_reply a = {
        .catalog = t.catalog, .members = t.members, .proxies = t.proxies};
    event_log(EVENT_STATE, "copy_given", "peer=%s bytes=%zu", q->from,
              strlen(t.catalog) + strlen(t.members) + strlen(t.proxies));
    rpc_call_reply(call, RPC_XDR(xdr_copy_reply), &a);
    texts_clear(&t);
}

/* Reports the outcome of a request. */
static void
on_reply(void *ctx, enum rpc_status status, void *result)
{
    struct copy_exchange *p = ctx;
    const copy_reply *a = result;
    char *host = g_steal_pointer(&p->pending_host);

    if (host == NULL) {
        return; /* copy_exchange_destroy() cancelled the request */
    }
    if (status != RPC_STATUS_OK) {
        event_log(EVENT_STATE, "copy_not_taken", "host=%s status=%s", host,
                  rpc_status_name(status));
        p->config.copy_received(p->config.ctx, host, NULL);
    }
    else {
        const struct copy_texts t = {.catalog = a->catalog,
                                     .members = a->members,
                                     .proxies = a->proxies};
        p->config.copy_received(p->config.ctx, host, &t);
    }
    g_free(host);
}

static void
client_free(void *c)
{
    rpc_client_destroy(c);
}

/* Starts listening for requests. On failure returns NULL and sets error to a
   text that the caller frees. */
struct copy_exchange *
copy_exchange_create(const struct copy_exchange_config *config, char **error)
{
    static const struct rpc_server_limits limits = {.max_connections =
                                                        CONNECTIONS_MAX};
    struct copy_exchange *p = g_new0(struct copy_exchange, 1);

    p->config = *config;
    p->name = g_strdup(config->name);
    p->clients =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, client_free);
    p->procedure = (struct rpc_procedure){
        .program = COPY_PROGRAM,
        .version = COPY_VERSION,
        .procedure = COPY_READ,
        .args_proc = RPC_XDR(xdr_copy_request),
        .args_bytes = sizeof(copy_request),
        .handler = on_request,
        .ctx = p,
    };
    p->server =
        rpc_server_create(config->loop, config->host, config->port,
                          p->config.keys, &p->procedure, 1, &limits, error);
    if (p->server == NULL) {
        copy_exchange_destroy(p);
        return NULL;
    }
    return p;
}

/* Stops listening and cancels a pending request without reporting it. p may be
   NULL. */
void
copy_exchange_destroy(struct copy_exchange *p)
{
    if (p == NULL) {
        return;
    }
    if (p->server != NULL) {
        rpc_server_destroy(p->server);
    }
    g_clear_pointer(&p->pending_host, g_free);
    g_hash_table_destroy(p->clients);
    g_free(p->name);
    g_free(p);
}

/* Returns true while a request is pending. */
bool
copy_exchange_is_pending(const struct copy_exchange *p)
{
    return p->pending_host != NULL;
}

/* Requests a copy from a peer; copy_received() is called once with the
   outcome. Does nothing while another request is pending. */
void
copy_exchange_request(struct copy_exchange *p, const char *host, uint16_t port)
{
    static const struct rpc_procedure_type read = {
        .program = COPY_PROGRAM,
        .version = COPY_VERSION,
        .procedure = COPY_READ,
        .args_proc = RPC_XDR(xdr_copy_request),
        .result_proc = RPC_XDR(xdr_copy_reply),
        .result_bytes = sizeof(copy_reply),
    };
    static const struct rpc_client_limits limits = {
        .connect_ms = REQUEST_TIMEOUT_MS, .fail_fast = true};

    if (p->pending_host != NULL) {
        return;
    }
    char *address = g_strdup_printf("%s:%u", host, port);
    struct rpc_client *c = g_hash_table_lookup(p->clients, address);
    if (c == NULL) {
        c = rpc_client_create(p->config.loop, host, port, p->config.keys,
                              (uint64_t)clock_realtime_ms(), &limits);
        g_hash_table_insert(p->clients, g_strdup(address), c);
    }
    g_free(address);
    p->pending_host = g_strdup(host);
    const copy_request q = {.from = p->name};
    rpc_client_call(c, &read, &q, REQUEST_TIMEOUT_MS, on_reply, p);
}

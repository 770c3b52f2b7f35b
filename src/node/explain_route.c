#include "node/node_internal.h"

#include "relay/explain_route.h"

#include <jansson.h>
#include <string.h>

/* Answers /explain-route of the metrics server: where a statement would go
   now, and why. Accounts are named; API keys are neither taken nor shown. */

#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404

static struct service *
find_service(void *ctx, const char *name)
{
    const struct node *n = ctx;

    return g_hash_table_lookup(n->services, name);
}

static int
count_permits(void *ctx, const char *account)
{
    const struct node *n = ctx;

    return rate_client_stock(node_limits_client(n), account);
}

static int
refuse(GString *body, int status, const char *why)
{
    json_t *o = json_pack("{s:s}", "error", why);
    char *text = json_dumps(o, JSON_COMPACT);

    g_string_append_printf(body, "%s\n", text);
    free(text);
    json_decref(o);
    return status;
}

/* Sets *q, whose strings stay owned by the parameters. Returns NULL or what is
   wrong. A parameter that is not known, such as a key, is not repeated. */
static const char *
read_query(GHashTable *parameters, struct route_query *q)
{
    static const char *const known[] = {"database", "account", "kind"};
    const char *kind = g_hash_table_lookup(parameters, "kind");
    guint found = 0;

    *q = (struct route_query){
        .database = g_hash_table_lookup(parameters, "database"),
        .account = g_hash_table_lookup(parameters, "account"),
        .kind = ROUTE_READ};
    for (size_t i = 0; i < G_N_ELEMENTS(known); i++) {
        found += g_hash_table_contains(parameters, known[i]);
    }
    if (found != g_hash_table_size(parameters)) {
        return "parameters are database, account and kind";
    }
    if (q->database == NULL || q->database[0] == '\0') {
        return "database is missing";
    }
    if (kind != NULL && !route_kind_from_name(kind, &q->kind)) {
        return "kind must be read, write or transaction";
    }
    return NULL;
}

/* Appends the explanation as JSON, or an object with the text "error". query
   is what follows the question mark of the request. Returns the HTTP
   status. */
int
node_explain_route(const struct node *n, const char *query, GString *body)
{
    GHashTable *parameters =
        g_uri_parse_params(query, -1, "&", G_URI_PARAMS_NONE, NULL);
    struct route_query q;
    const char *error =
        parameters != NULL ? read_query(parameters, &q) : "malformed query";
    int status = STATUS_OK;

    if (error != NULL) {
        status = refuse(body, STATUS_BAD_REQUEST, error);
    }
    else {
        const clock_ms now = clock_boottime_ms();
        const struct route_state state = {
            .catalog = n->catalog,
            .service = find_service,
            .ctx = (void *)n,
            .now = now,
            .catalog_age_ms = node_catalog_age_ms(n),
            .evidence_age_ms = catalog_evidence_age_ms(&n->evidence, now),
            .catalog_fresh = node_catalog_is_fresh((void *)n, now),
            .limits_enforced = node_limits_client(n) != NULL,
            .shutting_down = relay_is_answering_all(n->relay, now),
            .permits = count_permits};
        struct route_explanation *e = g_new(struct route_explanation, 1);
        if (explain_route(e, &q, &state, &error)) {
            explain_route_write_json(e, body);
        }
        else {
            status = refuse(body, STATUS_NOT_FOUND, error);
        }
        g_free(e);
    }
    if (parameters != NULL) {
        g_hash_table_destroy(parameters);
    }
    return status;
}

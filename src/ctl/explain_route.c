#include "ctl/explain_route.h"

#include "ctl/ctl.h"
#include "ctl/ctl_output.h"
#include "fleet/rpc_net.h"

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdint.h>
#include <string.h>

/* Asks a proxy where a statement would go now, and prints its answer. */

/* The proxy describes at most 32 members, in less than 1 KB each. */
#define ANSWER_MAX_BYTES ((size_t)1 << 18)

static size_t
on_body(char *data, size_t size, size_t n, void *ctx)
{
    GString *body = ctx;

    if (body->len + size * n > ANSWER_MAX_BYTES) {
        return 0;
    }
    g_string_append_len(body, data, (gssize)(size * n));
    return size * n;
}

static void
append_parameter(GString *url, const char *name, const char *value)
{
    char *escaped = g_uri_escape_string(value, NULL, FALSE);

    g_string_append_printf(url, "%s=%s", name, escaped);
    g_free(escaped);
}

/* Sets *status to the HTTP status and appends the body. Returns an exit
   code. */
static int
fetch(const struct explain_route_options *o, GString *body, long *status,
      FILE *err)
{
    GString *url = g_string_new(NULL);
    CURL *easy = curl_easy_init();
    int code = CTL_OK;

    g_string_append_printf(url, "http://%s/explain-route?", o->address);
    append_parameter(url, "database", o->database);
    append_parameter(url, "&kind", o->kind);
    if (o->account != NULL) {
        append_parameter(url, "&account", o->account);
    }
    curl_easy_setopt(easy, CURLOPT_URL, url->str);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)o->timeout_ms);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, body);
    const CURLcode result = curl_easy_perform(easy);
    if (result != CURLE_OK) {
        fprintf(err, "galenastepctl: step=explain-route peer=%s %s\n",
                o->address, curl_easy_strerror(result));
        code =
            result == CURLE_COULDNT_CONNECT ? CTL_NO_CONNECTION : CTL_FAILED;
    }
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, status);
    curl_easy_cleanup(easy);
    g_string_free(url, TRUE);
    return code;
}

static GPtrArray *
new_rows(void)
{
    return g_ptr_array_new_with_free_func((GDestroyNotify)g_ptr_array_unref);
}

/* Takes ownership of the cells; the last argument is NULL. */
static void
add_row(GPtrArray *rows, char *first, ...)
{
    GPtrArray *row = g_ptr_array_new_with_free_func(g_free);
    va_list args;

    va_start(args, first);
    for (char *cell = first; cell != NULL; cell = va_arg(args, char *)) {
        g_ptr_array_add(row, cell);
    }
    va_end(args);
    g_ptr_array_add(rows, row);
}

/* Fields of the answer; a missing one is shown as "-" or 0. */
static const char *
text_of(const json_t *o, const char *key)
{
    const char *text = json_string_value(json_object_get(o, key));

    return text != NULL && text[0] != '\0' ? text : "-";
}

static long long
integer_of(const json_t *o, const char *key)
{
    return json_integer_value(json_object_get(o, key));
}

static bool
is_true(const json_t *o, const char *key)
{
    return json_is_true(json_object_get(o, key));
}

static char *
join(const json_t *list)
{
    GString *s = g_string_new(NULL);

    for (size_t i = 0; i < json_array_size(list); i++) {
        const char *text = json_string_value(json_array_get(list, i));
        g_string_append_printf(s, "%s%s", i > 0 ? ", " : "",
                               text != NULL ? text : "?");
    }
    if (s->len == 0) {
        g_string_append_c(s, '-');
    }
    return g_string_free(s, FALSE);
}

static char *
describe_account(const json_t *a)
{
    if (!json_is_object(a)) {
        return g_strdup("none");
    }
    return g_strdup_printf(
        "%s, priority %lld, limit %g/s, burst %g; %s", text_of(a, "name"),
        integer_of(a, "priority"),
        json_number_value(json_object_get(a, "rate_per_s")),
        json_number_value(json_object_get(a, "burst")),
        !is_true(a, "limit_enforced")  ? "limits are not enforced"
        : is_true(a, "permit_at_hand") ? "a permit is at hand"
                                       : "no permit at hand, a witness is "
                                         "asked first");
}

static char *
describe_route(const json_t *r)
{
    return g_strdup_printf(
        "service %s, reads %s, staleness bound %lld ms, timeout %lld ms, "
        "target %lld ms, priority %lld%s",
        text_of(r, "service"), text_of(r, "freshness"),
        integer_of(r, "max_staleness_ms"),
        integer_of(r, "statement_timeout_ms"), integer_of(r, "target_ms"),
        integer_of(r, "priority"), is_true(r, "public") ? ", public" : "");
}

static char *
describe_outcome(const json_t *o)
{
    const char *result = text_of(o, "result");
    const char *permit =
        is_true(o, "asks_for_permit") ? " once a witness grants a permit" : "";

    if (strcmp(result, "refused") == 0) {
        return g_strdup_printf("refused with %s: %s", text_of(o, "answer"),
                               text_of(o, "why"));
    }
    if (strcmp(result, "sent") == 0) {
        return g_strdup_printf("sent to %s%s", text_of(o, "member"), permit);
    }
    char *later = json_object_get(o, "refused_after_ms") == NULL
                      ? g_strdup("")
                      : g_strdup_printf("; refused after %lld ms with %s: %s",
                                        integer_of(o, "refused_after_ms"),
                                        text_of(o, "then_answer"),
                                        text_of(o, "then_why"));
    char *text =
        g_strdup_printf("queued for member %s%s: %s%s", text_of(o, "member"),
                        permit, text_of(o, "why"), later);
    g_free(later);
    return text;
}

static void
print_summary(const struct explain_route_options *o, const json_t *a,
              FILE *out)
{
    const json_t *c = json_object_get(a, "configuration");
    const json_t *p = json_object_get(a, "primary");
    const json_t *q = json_object_get(a, "queue");
    GPtrArray *rows = new_rows();

    add_row(rows, g_strdup("statement"),
            g_strdup_printf("%s of database %s", o->kind, o->database), NULL);
    add_row(rows, g_strdup("configuration"),
            g_strdup_printf("version %lld, %lld ms old, %s",
                            integer_of(c, "version"), integer_of(c, "age_ms"),
                            is_true(c, "fresh") ? "fresh" : "not fresh"),
            NULL);
    add_row(rows, g_strdup("route"),
            describe_route(json_object_get(a, "route")), NULL);
    add_row(rows, g_strdup("account"),
            describe_account(json_object_get(a, "account")), NULL);
    add_row(rows, g_strdup("primary"),
            g_strdup_printf("%s, epoch %lld, %s%s", text_of(p, "member"),
                            integer_of(p, "epoch"),
                            is_true(p, "lease") ? "lease valid" : "no lease",
                            is_true(p, "changing") ? ", changing" : ""),
            NULL);
    add_row(rows, g_strdup("queue"),
            g_strdup_printf("%lld requests, %lld ahead, expected wait %lld ms",
                            integer_of(q, "length"), integer_of(q, "ahead"),
                            integer_of(q, "expected_wait_ms")),
            NULL);
    add_row(rows, g_strdup("outcome"),
            describe_outcome(json_object_get(a, "outcome")), NULL);
    ctl_print_table(out, rows);
    g_ptr_array_unref(rows);
}

static void
print_members(const json_t *members, FILE *out)
{
    GPtrArray *rows = new_rows();

    add_row(rows, g_strdup("member"), g_strdup("role"), g_strdup("chosen"),
            g_strdup("suitable"), g_strdup("in_progress"), g_strdup("idle"),
            g_strdup("expected_ms"), g_strdup("for"), g_strdup("against"),
            NULL);
    for (size_t i = 0; i < json_array_size(members); i++) {
        const json_t *m = json_array_get(members, i);
        add_row(rows, g_strdup(text_of(m, "member")),
                g_strdup(is_true(m, "primary") ? "primary" : "replica"),
                g_strdup(is_true(m, "chosen") ? "yes" : "no"),
                g_strdup(is_true(m, "suitable") ? "yes" : "no"),
                g_strdup_printf("%lld/%lld", integer_of(m, "in_progress"),
                                integer_of(m, "in_progress_limit")),
                g_strdup_printf("%lld/%lld", integer_of(m, "idle_connections"),
                                integer_of(m, "connections")),
                g_strdup_printf("%lld", integer_of(m, "expected_us") / 1000),
                join(json_object_get(m, "for")),
                join(json_object_get(m, "against")), NULL);
    }
    ctl_print_table(out, rows);
    g_ptr_array_unref(rows);
}

/* Prints an answer of the proxy. Returns an exit code. */
static int
print_answer(const struct explain_route_options *o, const GString *body,
             long status, FILE *out, FILE *err)
{
    json_t *a = json_loadb(body->str, body->len, 0, NULL);
    int code = CTL_OK;

    if (status != 200 || !json_is_object(json_object_get(a, "outcome")) ||
        !json_is_array(json_object_get(a, "members"))) {
        const char *error = json_string_value(json_object_get(a, "error"));
        fprintf(err, "galenastepctl: step=explain-route peer=%s ", o->address);
        if (error != NULL) {
            fprintf(err, "%s (database %s, account %s)\n", error, o->database,
                    o->account != NULL ? o->account : "-");
        }
        else {
            fprintf(err,
                    "is not the metrics address of a proxy that explains "
                    "routes: HTTP status %ld\n",
                    status);
        }
        code = CTL_FAILED;
    }
    else if (o->json) {
        fwrite(body->str, 1, body->len, out);
    }
    else {
        print_summary(o, a, out);
        fputc('\n', out);
        print_members(json_object_get(a, "members"), out);
    }
    json_decref(a);
    return code;
}

/* Returns an exit code (enum ctl_exit): CTL_FAILED if the proxy does not know
   the database or the account. */
int
explain_route_run(const struct explain_route_options *o, FILE *out, FILE *err)
{
    char host[RPC_ADDRESS_BYTES];
    uint16_t port;
    long status = 0;

    if (!rpc_net_split(o->address, host, &port)) {
        fprintf(err,
                "galenastepctl: step=usage %s: expected IP:PORT of a proxy's "
                "metrics server\n",
                o->address);
        return CTL_USAGE;
    }
    if (o->database[0] == '\0') {
        fprintf(err, "galenastepctl: step=usage the database has no name\n");
        return CTL_USAGE;
    }
    GString *body = g_string_new(NULL);
    int code = fetch(o, body, &status, err);
    if (code == CTL_OK) {
        code = print_answer(o, body, status, out, err);
    }
    g_string_free(body, TRUE);
    return code;
}

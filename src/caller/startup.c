#include "caller/caller.h"

#include <stdio.h>
#include <string.h>

#define LOG_MODULE "caller"
#include "base/log.h"

#define STARTUP_SETTING_BYTES 256

/* Sends a FATAL error and closes the connection. */
static void
refuse(struct caller *c, const char *sqlstate, const char *message)
{
    LOG_INFO("startup", c->remote_address, "refused: %s", message);
    frame_put_error(c->out, "FATAL", sqlstate, message, NULL,
                    "outcome=not_run");
    caller_close_after_flush(c);
}

/* Returns the index of a caller kind, or -1. */
static int
find_kind(const struct settings *s, struct sview name)
{
    for (int i = 0; i < s->kind_count; i++) {
        if (sview_equal(sview_from(s->kinds[i].name), name)) {
            return i;
        }
    }
    return -1;
}

/* Returns the index of a database, or -1. */
static int
find_database(const struct settings *s, struct sview name)
{
    for (int i = 0; i < s->database_count; i++) {
        if (sview_equal(sview_from(s->databases[i].name), name)) {
            return i;
        }
    }
    return -1;
}

/* Applies a setting addressed to the proxy: galenastep.kind, .session, .token
   or .request_key. Returns false if the name is none of these (*error is NULL)
   or the value is invalid (*error is a constant message). */
bool
startup_apply_setting(struct caller *c, struct sview name, struct sview value,
                      const char **error)
{
    const struct settings *s = c->front->settings;

    *error = NULL;
    if (sview_equal(name, SVIEW("galenastep.kind"))) {
        const int kind = find_kind(s, value);
        if (kind < 0) {
            *error = "unknown caller kind";
            return false;
        }
        c->kind = kind;
        return true;
    }
    if (sview_equal(name, SVIEW("galenastep.session"))) {
        g_free(c->session);
        c->session = g_strndup(value.p, value.n);
        return true;
    }
    if (sview_equal(name, SVIEW("galenastep.request_key"))) {
        g_free(c->request_key);
        c->request_key = value.n == 0 ? NULL : g_strndup(value.p, value.n);
        return true;
    }
    if (sview_equal(name, SVIEW("galenastep.token"))) {
        struct token t;
        if (!token_parse(value, s->databases[c->database].name, &t)) {
            *error = "malformed token";
            return false;
        }
        if (t.known && c->token.known) {
            token_raise(&c->token, t.term, t.position);
        }
        else {
            c->token = t;
        }
        return true;
    }
    return false;
}

/* Reports the session's token to the caller with ParameterStatus if it has
   changed since the last report. */
void
startup_report_token(struct caller *c)
{
    char text[TOKEN_TEXT_BYTES];

    token_format(&c->token, group_name(c->group), text);
    if (strcmp(text, c->reported_token) != 0) {
        memcpy(c->reported_token, text, sizeof(text));
        frame_put_parameter(c->out, "galenastep.token", text);
    }
}

/* Stores a start-up parameter as a session setting. Returns false if its name
   is invalid or there are too many settings. */
static bool
store_parameter(struct caller *c, struct sview name, struct sview value)
{
    char *key = g_ascii_strdown(name.p, (gssize)name.n);
    char *raw = g_strndup(value.p, value.n);
    char **parts = g_strsplit(raw, "'", -1);
    char *quoted = g_strjoinv("''", parts);
    bool ok = true;

    for (const char *p = key; *p != '\0'; p++) {
        ok = ok && (g_ascii_isalnum(*p) || *p == '_' || *p == '.');
    }
    if (ok) {
        char *sql = g_strdup_printf("SET %s = '%s'", key, quoted);
        ok = session_settings_put(&c->settings, key, sql);
        g_free(sql);
    }
    g_strfreev(parts);
    g_free(quoted);
    g_free(raw);
    g_free(key);
    return ok;
}

/* Applies one parameter of the start-up packet. application_name is ignored:
   it differs between nearly all callers, and a connection must be reset
   whenever it passes to a caller with different settings. */
static bool
apply_parameter(struct caller *c, struct sview name, struct sview value)
{
    const char *error;

    if (startup_apply_setting(c, name, value, &error)) {
        return true;
    }
    if (error != NULL) {
        refuse(c, "22023", error);
        return false;
    }
    if (sview_equal(name, SVIEW("application_name")) ||
        sview_equal(name, SVIEW("replication")) ||
        sview_has_prefix_nocase(name, SVIEW("_pq_.")) ||
        (sview_equal(name, SVIEW("client_encoding")) && value.n == 4 &&
         sview_has_prefix_nocase(value, SVIEW("UTF8")))) {
        return true;
    }
    if (!store_parameter(c, name, value)) {
        refuse(c, "22023", "start-up parameter cannot be used");
        return false;
    }
    return true;
}

/* Applies the "-c name=value" items of the options parameter. */
static bool
apply_options(struct caller *c, struct sview options)
{
    char *text = g_strndup(options.p, options.n);
    char **word = g_strsplit_set(text, " ", -1);
    bool ok = true;

    for (int i = 0; ok && word[i] != NULL; i++) {
        const char *w = word[i];
        if (strcmp(w, "-c") == 0 || w[0] == '\0') {
            continue;
        }
        if (g_str_has_prefix(w, "-c") || g_str_has_prefix(w, "--")) {
            w += 2;
        }
        const char *equal = strchr(w, '=');
        if (equal == NULL) {
            refuse(c, "22023",
                   "options holds something else than -c settings");
            ok = false;
            break;
        }
        ok = apply_parameter(c,
                             (struct sview){.p = w, .n = (size_t)(equal - w)},
                             sview_from(equal + 1));
    }
    g_strfreev(word);
    g_free(text);
    return ok;
}

/* Completes the start-up with the parameters that a member has reported. None
   are sent if no member has been reached yet. */
static void
send_startup_response(struct caller *c)
{
    static const char *const parameters[] = {
        "server_version",    "server_encoding",
        "client_encoding",   "DateStyle",
        "TimeZone",          "IntervalStyle",
        "integer_datetimes", "standard_conforming_strings",
    };

    size_t at = frame_begin(c->out, 'R');
    frame_put_u32(c->out, 0);
    frame_end(c->out, at);
    for (size_t i = 0; i < G_N_ELEMENTS(parameters); i++) {
        const char *value = group_parameter(c->group, parameters[i]);
        if (value != NULL) {
            frame_put_parameter(c->out, parameters[i], value);
        }
    }
    at = frame_begin(c->out, 'K');
    frame_put_u32(c->out, c->pid);
    frame_put_u32(c->out, c->secret);
    frame_end(c->out, at);
    frame_put_ready(c->out, 'I');
    c->state = CALLER_READY;
}

/* Applies the parameters of a start-up packet. The database is looked up first
   because a token is valid for one database. */
static void
start_session(struct caller *c, struct frame_reader r)
{
    const struct settings *s = c->front->settings;
    struct sview name;
    struct sview user = {.p = "", .n = 0};
    struct sview database = {.p = "", .n = 0};
    struct frame_reader second_pass = r;

    while ((name = frame_read_cstring(&r)).n > 0) {
        const struct sview value = frame_read_cstring(&r);
        if (sview_equal(name, SVIEW("user"))) {
            user = value;
        }
        if (sview_equal(name, SVIEW("database"))) {
            database = value;
        }
    }
    if (r.failed || user.n == 0) {
        refuse(c, "08P01", "malformed start-up packet");
        return;
    }
    if (c->front->draining) {
        refuse(c, "57P01", "the proxy is shutting down");
        return;
    }
    c->database = find_database(s, database.n == 0 ? user : database);
    if (c->database < 0) {
        c->database = 0;
        refuse(c, "3D000", "database is not known to this proxy");
        return;
    }
    c->group = c->front->groups[c->database];
    while ((name = frame_read_cstring(&second_pass)).n > 0) {
        const struct sview value = frame_read_cstring(&second_pass);
        if (sview_equal(name, SVIEW("user")) ||
            sview_equal(name, SVIEW("database"))) {
            continue;
        }
        const bool ok = sview_equal(name, SVIEW("options"))
                            ? apply_options(c, value)
                            : apply_parameter(c, name, value);
        if (!ok) {
            return;
        }
    }
    send_startup_response(c);
}

/* Cancels the request that the rest of a cancel request names, here or at
   another proxy. */
static void
serve_cancel(struct caller *c, struct frame_reader *r)
{
    const uint32_t pid = frame_read_u32(r);
    const uint32_t secret = frame_read_u32(r);

    if (!front_cancel(c->front, pid, secret) &&
        c->front->forward_cancel != NULL) {
        c->front->forward_cancel(c->front->forward_cancel_ctx, pid, secret);
    }
}

/* Handles input of a caller that was refused before its first packet had
   arrived. A cancel request is served nevertheless, since it ends work. */
void
startup_process_refused(struct caller *c)
{
    struct frame f;
    const enum frame_status status = frame_next_startup(caller_input(c), &f);

    if (status == FRAME_INCOMPLETE) {
        return;
    }
    c->refused_unheard = false;
    if (status == FRAME_COMPLETE) {
        struct frame_reader r = {.rest = f.body};
        if (frame_read_u32(&r) == FRAME_CANCEL_CODE) {
            serve_cancel(c, &r);
        }
    }
}

/* Handles one packet of the start-up phase: an SSL or GSS request, a cancel
   request or a start-up packet. Returns true if another packet may follow. */
bool
startup_process(struct caller *c)
{
    struct frame f;
    const enum frame_status status = frame_next_startup(caller_input(c), &f);

    if (status == FRAME_INCOMPLETE) {
        return false;
    }
    if (status != FRAME_COMPLETE) {
        refuse(c, "08P01", "malformed start-up packet");
        return false;
    }
    struct frame_reader r = {.rest = f.body};
    const uint32_t code = frame_read_u32(&r);
    if (code == FRAME_SSL_CODE || code == FRAME_GSS_CODE) {
        g_string_append_c(c->out, 'N');
    }
    else if (code == FRAME_CANCEL_CODE) {
        serve_cancel(c, &r);
        caller_close_after_flush(c);
    }
    else if (code >> 16 != FRAME_STARTUP_VERSION >> 16) {
        refuse(c, "0A000", "unsupported protocol version");
    }
    else {
        start_session(c, r);
    }
    c->in_consumed += f.total_bytes;
    return c->state == CALLER_STARTUP;
}

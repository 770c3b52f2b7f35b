#include "node/settings.h"

#include "directory/catalog_evidence.h"
#include "node/shutdown.h"

#include <glib.h>
#include <string.h>

#define GRACE_MAX_MS 3600000
#define REVOCATION_DEFAULT_MS 5000
#define REVOCATION_MAX_MS 3600000
#define RATE_WINDOW_DEFAULT_S 5
#define RATE_WINDOW_MAX_S 3600
#define RATE_EXCESS_MAX 10
#define RATE_SLACK_MAX 1000000

/* Parses "IP:PORT". Returns false if it is malformed. */
bool
endpoint_parse(const char *text, struct endpoint *out)
{
    const char *colon = strrchr(text, ':');
    uint64_t port;

    if (colon == NULL || (size_t)(colon - text) >= sizeof(out->host) ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL)) {
        return false;
    }
    memcpy(out->host, text, (size_t)(colon - text));
    out->host[colon - text] = '\0';
    out->port = (uint16_t)port;
    return true;
}

/* Reads a non-empty text that fits into size bytes, including the NUL. */
static bool
read_text(GKeyFile *f, const char *group, const char *key, char *out,
          size_t size, char **error)
{
    char *value = g_key_file_get_string(f, group, key, NULL);

    if (value == NULL || value[0] == '\0' ||
        g_strlcpy(out, value, size) >= size) {
        *error = g_strdup_printf("[%s] %s: missing or too long", group, key);
        g_free(value);
        return false;
    }
    g_free(value);
    return true;
}

static bool
read_endpoint(GKeyFile *f, const char *group, const char *key,
              struct endpoint *out, char **error)
{
    char text[80];

    if (!read_text(f, group, key, text, sizeof(text), error)) {
        return false;
    }
    if (!endpoint_parse(text, out)) {
        *error =
            g_strdup_printf("[%s] %s: '%s' is not IP:PORT", group, key, text);
        return false;
    }
    return true;
}

/* Reads a number from min to max. */
static bool
read_number(GKeyFile *f, const char *group, const char *key, uint64_t min,
            uint64_t max, uint64_t *out, char **error)
{
    char text[32];

    if (!read_text(f, group, key, text, sizeof(text), error)) {
        return false;
    }
    if (!g_ascii_string_to_unsigned(text, 10, min, max, out, NULL)) {
        *error = g_strdup_printf("[%s] %s: '%s' is not a number from "
                                 "%" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT,
                                 group, key, text, min, max);
        return false;
    }
    return true;
}

/* Reads the grace period, which is given as either grace_ms, a whole number,
   or grace_s, which may have a fraction. */
static bool
read_grace(GKeyFile *f, uint64_t *ms, char **error)
{
    char text[32];
    char *end;

    if (!g_key_file_has_key(f, "limits", "grace_s", NULL)) {
        return read_number(f, "limits", "grace_ms", SHUTDOWN_GRACE_MIN_MS,
                           GRACE_MAX_MS, ms, error);
    }
    if (g_key_file_has_key(f, "limits", "grace_ms", NULL)) {
        *error = g_strdup("[limits] grace_s: grace_ms is set as well");
        return false;
    }
    if (!read_text(f, "limits", "grace_s", text, sizeof(text), error)) {
        return false;
    }
    const double s = g_ascii_strtod(text, &end);
    if (*end != '\0' ||
        !(s >= SHUTDOWN_GRACE_MIN_MS / 1000.0 && s <= GRACE_MAX_MS / 1000.0)) {
        *error = g_strdup_printf("[limits] grace_s: '%s' is not a number of "
                                 "seconds from %g to %d",
                                 text, SHUTDOWN_GRACE_MIN_MS / 1000.0,
                                 GRACE_MAX_MS / 1000);
        return false;
    }
    *ms = (uint64_t)(s * 1000.0 + 0.5);
    return true;
}

/* Returns the value of a key that may be missing or empty, freed by the
   caller; NULL then. The platform renders a value that it does not provide as
   nothing. */
static char *
optional_text(GKeyFile *f, const char *group, const char *key)
{
    char *value = g_key_file_get_string(f, group, key, NULL);

    if (value != NULL && g_strstrip(value)[0] == '\0') {
        g_clear_pointer(&value, g_free);
    }
    return value;
}

/* Reads true or false, in upper or lower case. */
static bool
read_flag(GKeyFile *f, const char *group, const char *key, bool missing,
          bool *out, char **error)
{
    char *text = optional_text(f, group, key);
    const bool is_true = text != NULL && g_ascii_strcasecmp(text, "true") == 0;
    const bool ok =
        text == NULL || is_true || g_ascii_strcasecmp(text, "false") == 0;

    *out = text == NULL ? missing : is_true;
    if (!ok) {
        *error = g_strdup_printf("[%s] %s: '%s' is neither true nor false",
                                 group, key, text);
    }
    g_free(text);
    return ok;
}

/* A number that may have a fraction. */
struct optional_number {
    const char *group;
    const char *key;
    double min;
    double max;
    double missing; /* the value of a missing or empty key */
};

/* Reads an optional number and returns it in units of 1 / scale, rounded
   down: a smaller bound keeps a larger one. */
static bool
read_optional_number(GKeyFile *f, const struct optional_number *n,
                     double scale, int64_t *out, char **error)
{
    char *text = optional_text(f, n->group, n->key);
    char *end = NULL;
    const double value =
        text == NULL ? n->missing : g_ascii_strtod(text, &end);
    const bool ok =
        text == NULL || (*end == '\0' && value >= n->min && value <= n->max);

    /* 0.1 x 1000 may be slightly below 100. */
    *out = ok ? (int64_t)(value * scale + 1e-6) : 0;
    if (!ok) {
        *error = g_strdup_printf("[%s] %s: '%s' is not a number from %g to %g",
                                 n->group, n->key, text, n->min, n->max);
    }
    g_free(text);
    return ok;
}

/* Reads the group [accounts] and the port of rate limits, all of which are
   optional. */
static bool
read_accounts(GKeyFile *f, struct node_settings *out, char **error)
{
    static const struct optional_number revocation = {
        "accounts", "revocation_ms", CATALOG_EVIDENCE_REVOCATION_MIN_MS,
        REVOCATION_MAX_MS, REVOCATION_DEFAULT_MS};
    static const struct optional_number window = {"accounts", "rate_window_s",
                                                  0.001, RATE_WINDOW_MAX_S,
                                                  RATE_WINDOW_DEFAULT_S};
    static const struct optional_number excess = {"accounts", "rate_excess", 0,
                                                  RATE_EXCESS_MAX, 0};
    static const struct optional_number slack = {"accounts", "rate_slack", 0,
                                                 RATE_SLACK_MAX, 0};
    int64_t excess_permille = 0;
    int64_t slack_operations = 0;
    uint64_t port = 0;
    char *port_text = optional_text(f, "proxy", "limits_port");
    const bool has_port = port_text != NULL;

    g_free(port_text);
    const bool ok =
        read_flag(f, "accounts", "strict_revocation", false,
                  &out->strict_revocation, error) &&
        read_optional_number(f, &revocation, 1, &out->revocation_ms, error) &&
        read_optional_number(f, &window, 1000, &out->rate_window_ms, error) &&
        read_optional_number(f, &excess, 1000, &excess_permille, error) &&
        read_optional_number(f, &slack, 1, &slack_operations, error) &&
        (!has_port ||
         read_number(f, "proxy", "limits_port", 1, 65535, &port, error));
    out->rate_excess_permille = (int)excess_permille;
    out->rate_slack = (int)slack_operations;
    out->limits_port = (uint16_t)port;
    return ok;
}

/* Reads the settings file. On failure returns false and sets error to a text
   that names the group and the key; the caller frees it. */
bool
node_settings_load(const char *path, struct node_settings *out, char **error)
{
    GKeyFile *f = g_key_file_new();
    GError *e = NULL;
    uint64_t peer = 0;
    uint64_t metrics = 0;
    uint64_t grace = 0;

    memset(out, 0, sizeof(*out));
    if (!g_key_file_load_from_file(f, path, G_KEY_FILE_NONE, &e)) {
        *error = g_strdup_printf("%s: %s", path, e->message);
        g_error_free(e);
        g_key_file_free(f);
        return false;
    }
    const bool ok =
        read_text(f, "proxy", "name", out->name, sizeof(out->name), error) &&
        read_text(f, "proxy", "failure_domain", out->failure_domain,
                  sizeof(out->failure_domain), error) &&
        read_text(f, "proxy", "host", out->host, sizeof(out->host), error) &&
        read_endpoint(f, "proxy", "listen", &out->listen, error) &&
        read_endpoint(f, "proxy", "ready_listen", &out->ready_listen, error) &&
        read_number(f, "proxy", "peer_port", 1, 65535, &peer, error) &&
        read_number(f, "proxy", "metrics_port", 1, 65535, &metrics, error) &&
        read_text(f, "peers", "key", out->key, sizeof(out->key), error) &&
        read_endpoint(f, "store", "address", &out->store, error) &&
        read_endpoint(f, "orders", "address", &out->orders, error) &&
        read_grace(f, &grace, error) && read_accounts(f, out, error);
    out->peer_port = (uint16_t)peer;
    out->metrics_port = (uint16_t)metrics;
    out->grace_ms = (int64_t)grace;
    g_key_file_free(f);
    return ok;
}

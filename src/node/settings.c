#include "node/settings.h"

#include "node/shutdown.h"

#include <glib.h>
#include <string.h>

#define GRACE_MAX_MS 3600000

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
        read_grace(f, &grace, error);
    out->peer_port = (uint16_t)peer;
    out->metrics_port = (uint16_t)metrics;
    out->grace_ms = (int64_t)grace;
    g_key_file_free(f);
    return ok;
}

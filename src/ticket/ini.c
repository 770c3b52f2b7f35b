#include "ticket/object.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* Fills err. group and key may be NULL. */
void
ticket_error_set(struct ticket_error *err, const char *group, const char *key,
                 const char *fmt, ...)
{
    va_list ap;

    g_strlcpy(err->group, group ? group : "", sizeof(err->group));
    g_strlcpy(err->key, key ? key : "", sizeof(err->key));
    va_start(ap, fmt);
    (void)g_vsnprintf(err->reason, sizeof(err->reason), fmt, ap);
    va_end(ap);
}

/* Returns true if name consists of 1 to 63 ASCII letters, digits, '-' or '_'.
 */
bool
ticket_name_valid(const char *name)
{
    size_t n = strlen(name);

    if (n == 0 || n > TICKET_NAME_MAX_BYTES) {
        return false;
    }
    for (size_t i = 0; i < n; i++) {
        if (!g_ascii_isalnum(name[i]) && name[i] != '-' && name[i] != '_') {
            return false;
        }
    }
    return true;
}

/* Adds s to a set and takes ownership of it. Returns false for a duplicate. */
static bool
add_unique(GHashTable *seen, char *s)
{
    return g_hash_table_add(seen, s);
}

/* Rejects duplicate groups and keys. GKeyFile silently merges such groups and
   uses the last of such keys, so a block that was copied by mistake could
   change an object without an error. */
static bool
reject_duplicates(const char *text, struct ticket_error *err)
{
    GHashTable *seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    char **lines = g_strsplit(text, "\n", -1);
    char *group = NULL;
    bool ok = true;

    for (size_t i = 0; ok && lines[i]; i++) {
        char *line = g_strstrip(lines[i]);

        if (line[0] == '[') {
            char *end = strchr(line, ']');

            g_free(group);
            group = g_strndup(line + 1, end ? (gsize)(end - line - 1)
                                            : strlen(line + 1));
            if (!add_unique(seen, g_strdup_printf("[%s", group))) {
                ticket_error_set(err, group, NULL, "group appears twice");
                ok = false;
            }
        }
        else if (line[0] != '\0' && line[0] != '#' && strchr(line, '=')) {
            char *key = g_strndup(line, (gsize)(strchr(line, '=') - line));

            g_strchomp(key);
            if (!add_unique(
                    seen, g_strdup_printf("%s]%s", group ? group : "", key))) {
                ticket_error_set(err, group, key, "key appears twice");
                ok = false;
            }
            g_free(key);
        }
    }
    g_free(group);
    g_strfreev(lines);
    g_hash_table_destroy(seen);
    return ok;
}

/* Parses INI text of n bytes into *out, which the caller frees. Rejects text
   of more than max_bytes, invalid UTF-8, NUL bytes, and duplicate groups or
   keys; false is returned then and err is filled. */
bool
ticket_ini_parse(const char *text, size_t n, size_t max_bytes, GKeyFile **out,
                 struct ticket_error *err)
{
    GError *error = NULL;

    if (n > max_bytes) {
        ticket_error_set(err, NULL, NULL,
                         "text of %zu bytes exceeds the limit of %zu", n,
                         max_bytes);
        return false;
    }
    if (!g_utf8_validate_len(text, n, NULL)) {
        ticket_error_set(err, NULL, NULL, "text is not UTF-8");
        return false;
    }
    char *copy = g_strndup(text, n);
    GKeyFile *file = g_key_file_new();
    bool ok = reject_duplicates(copy, err);

    g_free(copy);
    if (ok &&
        !g_key_file_load_from_data(file, text, n, G_KEY_FILE_NONE, &error)) {
        ticket_error_set(err, NULL, NULL, "%s",
                         error ? error->message : "text cannot be read");
        g_clear_error(&error);
        ok = false;
    }
    if (!ok) {
        g_key_file_free(file);
        return false;
    }
    *out = file;
    return true;
}

/* Reads a required integer in [min, max]. Returns false and fills err if it is
   missing or invalid. */
bool
ticket_ini_read_int(GKeyFile *file, const char *group, const char *key,
                    int64_t min, int64_t max, int64_t *out,
                    struct ticket_error *err)
{
    char *s = g_key_file_get_value(file, group, key, NULL);
    gint64 value = 0;

    if (!s) {
        ticket_error_set(err, group, key, "is missing");
        return false;
    }
    bool ok = g_ascii_string_to_signed(s, 10, min, max, &value, NULL);

    if (!ok) {
        ticket_error_set(err, group, key,
                         "must be a number from %" G_GINT64_FORMAT
                         " to %" G_GINT64_FORMAT,
                         (gint64)min, (gint64)max);
    }
    g_free(s);
    *out = value;
    return ok;
}

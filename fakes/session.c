#include "fakes/session.h"

#include <stdlib.h>
#include <string.h>

/* Default values of settings. The first SESSION_REPORTED_COUNT are reported to
   clients. */
static const struct {
    const char *name;
    const char *value;
} defaults[] = {
    {"server_version", "15.0"},
    {"client_encoding", "UTF8"},
    {"standard_conforming_strings", "on"},
    {"DateStyle", "ISO, MDY"},
    {"integer_datetimes", "on"},
    {"TimeZone", "UTC"},
    {"application_name", ""},
    {"idle_session_timeout", "0"},
    {"statement_timeout", "0"},
    {"lock_timeout", "0"},
    {"search_path", "\"$user\", public"},
    {"default_transaction_read_only", "off"},
    {"transaction_isolation", "read committed"},
    {"extra_float_digits", "1"},
    {"work_mem", "4MB"},
};

static GHashTable *
settings_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static GHashTable *
settings_copy(GHashTable *from)
{
    GHashTable *to = settings_new();
    GHashTableIter it;
    gpointer k = NULL;
    gpointer v = NULL;

    g_hash_table_iter_init(&it, from);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        g_hash_table_insert(to, g_strdup(k), g_strdup(v));
    }
    return to;
}

void
session_init(struct session *s)
{
    memset(s, 0, sizeof *s);
    s->ops = g_array_new(FALSE, FALSE, sizeof(struct op));
    g_array_set_clear_func(s->ops, (GDestroyNotify)op_clear);
    s->changed_settings = settings_new();
    s->startup_settings = settings_new();
}

/* Ends the transaction and frees all that the session owns. */
void
session_clear(struct session *s)
{
    session_end_transaction(s, false);
    g_array_free(s->ops, TRUE);
    g_hash_table_destroy(s->changed_settings);
    g_hash_table_destroy(s->startup_settings);
}

/* Returns the name of a reported setting; i < SESSION_REPORTED_COUNT. */
const char *
session_reported_name(unsigned i)
{
    return defaults[i].name;
}

/* Returns the current value of a setting, NULL if it is unknown. */
const char *
session_setting(const struct session *s, const char *name)
{
    const char *v = NULL;

    if (s->local != NULL) {
        v = g_hash_table_lookup(s->local, name);
    }
    if (v == NULL) {
        v = g_hash_table_lookup(s->changed_settings, name);
    }
    if (v == NULL) {
        v = g_hash_table_lookup(s->startup_settings, name);
    }
    for (size_t i = 0; v == NULL && i < G_N_ELEMENTS(defaults); i++) {
        if (g_ascii_strcasecmp(defaults[i].name, name) == 0) {
            v = defaults[i].value;
        }
    }
    return v;
}

/* Returns a time setting in ms; units ms (default), s and min as in
   PostgreSQL. */
static int64_t
read_time_setting_ms(const struct session *s, const char *name)
{
    const char *v = session_setting(s, name);
    char *unit = NULL;
    const int64_t n = g_ascii_strtoll(v, &unit, 10);

    if (strcmp(unit, "s") == 0) {
        return n * 1000;
    }
    return strcmp(unit, "min") == 0 ? n * 60000 : n;
}

/* Re-reads the settings that the server itself uses, after any change. */
static void
refresh_settings(struct session *s)
{
    s->report_pending = true;
    s->statement_timeout_ms = read_time_setting_ms(s, "statement_timeout");
    s->idle_timeout_ms = read_time_setting_ms(s, "idle_session_timeout");
}

/* Sets a setting from the start-up packet, the value that RESET restores. */
void
session_set_startup(struct session *s, const char *name, const char *value)
{
    g_hash_table_replace(s->startup_settings, g_ascii_strdown(name, -1),
                         g_strdup(value));
    refresh_settings(s);
}

/* Saves the settings for a rollback, once per transaction. */
static void
save_settings(struct session *s)
{
    if (s->tx != SESSION_IDLE && s->saved_settings == NULL) {
        s->saved_settings = settings_copy(s->changed_settings);
    }
}

/* Changes a setting; with local, until the end of the transaction. */
void
session_set(struct session *s, const char *name, const char *value, bool local)
{
    if (local) {
        if (s->tx != SESSION_IDLE) {
            if (s->local == NULL) {
                s->local = settings_new();
            }
            g_hash_table_replace(s->local, g_strdup(name), g_strdup(value));
        }
    }
    else {
        save_settings(s);
        g_hash_table_replace(s->changed_settings, g_strdup(name),
                             g_strdup(value));
    }
    refresh_settings(s);
}

void
session_reset(struct session *s, const char *name)
{
    save_settings(s);
    g_hash_table_remove(s->changed_settings, name);
    refresh_settings(s);
}

void
session_reset_all(struct session *s)
{
    save_settings(s);
    g_hash_table_remove_all(s->changed_settings);
    refresh_settings(s);
}

/* Appends the settings changed by SET as `name=value `, sorted by name. */
void
session_describe(const struct session *s, GString *out)
{
    GList *names = g_list_sort(g_hash_table_get_keys(s->changed_settings),
                               (GCompareFunc)strcmp);

    for (GList *l = names; l != NULL; l = l->next) {
        g_string_append_printf(
            out, "%s=%s ", (char *)l->data,
            (char *)g_hash_table_lookup(s->changed_settings, l->data));
    }
    g_list_free(names);
}

/* Ends the transaction. A rollback restores the settings. */
void
session_end_transaction(struct session *s, bool committed)
{
    if (s->saved_settings != NULL) {
        if (!committed) {
            g_hash_table_destroy(s->changed_settings);
            s->changed_settings = g_steal_pointer(&s->saved_settings);
        }
        else {
            g_hash_table_destroy(s->saved_settings);
            s->saved_settings = NULL;
        }
        refresh_settings(s);
    }
    if (s->local != NULL) {
        g_hash_table_destroy(s->local);
        s->local = NULL;
        refresh_settings(s);
    }
    g_clear_pointer(&s->tx_owner, g_free);
    g_array_set_size(s->ops, 0);
    s->tx = SESSION_IDLE;
    s->failed = false;
    s->read_only = false;
    s->has_writes = false;
}

/* Buffers an operation until the commit. */
void
session_add_op(struct session *s, enum op_kind kind, const char *key,
               const char *value)
{
    const struct op o = {
        .kind = kind, .key = g_strdup(key), .value = g_strdup(value)};

    g_array_append_val(s->ops, o);
    s->has_writes = true;
}

/* Drops all buffered operations after the first keep ones. */
void
session_drop_ops(struct session *s, unsigned keep)
{
    g_array_set_size(s->ops, keep);
}

/* Applies the transaction's buffered operations to a row with the value base
   (NULL: no row). *out is the result, to be freed, or NULL if there is no row.
   Returns false for arithmetic on a non-number or out of range. */
bool
session_apply_ops(const struct session *s, const char *key, const char *base,
                  char **out)
{
    char *current = g_strdup(base);

    for (unsigned i = 0; i < s->ops->len; i++) {
        const struct op *o = &g_array_index(s->ops, struct op, i);
        char *next = NULL;
        if (strcmp(o->key, key) != 0) {
            continue;
        }
        if (!op_apply(o, current, &next)) {
            g_free(current);
            *out = NULL;
            return false;
        }
        if (next != NULL) {
            g_free(current);
            current = next;
        }
    }
    *out = current;
    return true;
}

/* Returns the transaction status byte of ReadyForQuery. */
char
session_status(const struct session *s)
{
    if (s->tx != SESSION_BLOCK) {
        return 'I';
    }
    return s->failed ? 'E' : 'T';
}

#include "caller/session_settings.h"

#include <string.h>
#include <xxhash.h>

/* One SET statement; text is the whole statement, or NULL for a RESET of the
   name. */
struct session_setting {
    char *name;
    char *text;
};

static void
setting_free(void *p)
{
    struct session_setting *s = p;

    g_free(s->name);
    g_free(s->text);
    g_free(s);
}

/* Recomputes the hash that identifies connections with the same settings. */
static void
update_hash(struct session_settings *s)
{
    s->hash = 0;
    for (guint i = 0; s->items != NULL && i < s->items->len; i++) {
        const struct session_setting *e = g_ptr_array_index(s->items, i);
        if (e->text != NULL) {
            s->hash =
                XXH3_64bits_withSeed(e->text, strlen(e->text), s->hash + 1);
        }
    }
}

static struct session_setting *
find_setting(const struct session_settings *s, const char *name)
{
    for (guint i = 0; s->items != NULL && i < s->items->len; i++) {
        struct session_setting *e = g_ptr_array_index(s->items, i);
        if (strcmp(e->name, name) == 0) {
            return e;
        }
    }
    return NULL;
}

/* Stores a SET statement, or a RESET if text is NULL. Returns false if the
   session already has SESSION_SETTINGS_MAX settings. */
bool
session_settings_put(struct session_settings *s, const char *name,
                     const char *text)
{
    struct session_setting *e = find_setting(s, name);

    if (e == NULL) {
        if (s->items == NULL) {
            s->items = g_ptr_array_new_with_free_func(setting_free);
        }
        if (s->items->len >= SESSION_SETTINGS_MAX) {
            return false;
        }
        e = g_new0(struct session_setting, 1);
        e->name = g_strdup(name);
        g_ptr_array_add(s->items, e);
    }
    g_free(e->text);
    e->text = g_strdup(text);
    update_hash(s);
    return true;
}

/* Removes a setting, if it is there. */
void
session_settings_remove(struct session_settings *s, const char *name)
{
    struct session_setting *e = find_setting(s, name);

    if (e != NULL) {
        g_ptr_array_remove(s->items, e);
        update_hash(s);
    }
}

/* Removes all settings. */
void
session_settings_clear(struct session_settings *s)
{
    if (s->items != NULL) {
        g_ptr_array_free(s->items, TRUE);
    }
    s->items = NULL;
    s->hash = 0;
}

/* Moves the settings of a committed transaction to those of the session.
   Returns false if one of them did not fit. */
bool
session_settings_merge(struct session_settings *into,
                       struct session_settings *from)
{
    bool ok = true;

    for (guint i = 0; from->items != NULL && i < from->items->len; i++) {
        const struct session_setting *e = g_ptr_array_index(from->items, i);
        if (e->text == NULL) {
            session_settings_remove(into, e->name);
        }
        else {
            ok = session_settings_put(into, e->name, e->text) && ok;
        }
    }
    session_settings_clear(from);
    return ok;
}

/* Appends SQL that brings a connection from any state to these settings. */
void
session_settings_append_sql(const struct session_settings *s, GString *out)
{
    g_string_append(out, "RESET ALL");
    for (guint i = 0; s->items != NULL && i < s->items->len; i++) {
        const struct session_setting *e = g_ptr_array_index(s->items, i);
        if (e->text != NULL) {
            g_string_append_printf(out, ";%s", e->text);
        }
    }
}

#include "ticket/state.h"

#include <string.h>

#define SNAPSHOT_VERSION 1

/* Serializes objects for peers or for the object store. complete_to is the
   number up to which the writer has read every row of the tickets table, so
   the reader needs to read only the rows above it. The caller frees the text
   with g_free(). */
char *
ticket_snapshot_write(const GPtrArray *objects, uint64_t complete_to)
{
    GString *out = g_string_new(NULL);

    g_string_append_printf(
        out,
        "[snapshot]\nversion=%d\ncomplete_to=%" G_GUINT64_FORMAT
        "\nobjects=%u\n",
        SNAPSHOT_VERSION, (guint64)complete_to, objects->len);
    for (guint i = 0; i < objects->len; i++) {
        g_string_append_c(out, '\n');
        ticket_object_write(objects->pdata[i], true, out);
    }
    return g_string_free(out, FALSE);
}

/* Reads the group [snapshot]; other versions are rejected. */
static bool
read_header(GKeyFile *file, uint64_t *complete_to, int64_t *count,
            struct ticket_error *err)
{
    int64_t version = 0;
    int64_t number = 0;

    if (!ticket_ini_read_int(file, "snapshot", "version", SNAPSHOT_VERSION,
                             SNAPSHOT_VERSION, &version, err) ||
        !ticket_ini_read_int(file, "snapshot", "complete_to", 0,
                             (int64_t)TICKET_NUMBER_MAX, &number, err) ||
        !ticket_ini_read_int(file, "snapshot", "objects", 0, INT32_MAX, count,
                             err)) {
        return false;
    }
    *complete_to = (uint64_t)number;
    return true;
}

/* Merges a serialized snapshot into s and sets *changed to the number of
   objects that changed. The text is parsed completely first, so invalid text
   changes nothing; false is returned then and err is filled. */
bool
ticket_snapshot_apply(struct ticket_state *s, const char *text, size_t n,
                      uint64_t *complete_to, size_t *changed,
                      struct ticket_error *err)
{
    GKeyFile *file = NULL;

    *changed = 0;
    if (!ticket_ini_parse(text, n, TICKET_SNAPSHOT_MAX_BYTES, &file, err)) {
        return false;
    }
    char **groups = g_key_file_get_groups(file, NULL);
    GPtrArray *objects = g_ptr_array_new();
    int64_t count = 0;
    bool ok = read_header(file, complete_to, &count, err);

    for (size_t i = 0; ok && groups[i]; i++) {
        if (strcmp(groups[i], "snapshot") == 0) {
            continue;
        }
        struct ticket_object *o =
            ticket_object_read(file, groups[i], true, 0, err);

        ok = o != NULL;
        if (ok) {
            g_ptr_array_add(objects, o);
        }
    }
    if (ok && objects->len != count) {
        /* Text truncated between two groups is still valid INI. */
        ticket_error_set(err, "snapshot", "objects", "text holds %u objects",
                         objects->len);
        ok = false;
    }
    for (guint i = 0; i < objects->len; i++) {
        if (ok) {
            *changed += ticket_state_apply_object(s, objects->pdata[i]);
        }
        ticket_object_unref(objects->pdata[i]);
    }
    g_ptr_array_free(objects, TRUE);
    g_strfreev(groups);
    g_key_file_free(file);
    return ok;
}

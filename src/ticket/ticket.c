#include "ticket/ticket.h"

#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#define OBJECTS_MAX 256
#define AUTHOR_MAX_BYTES 64
#define COMMENT_MAX_BYTES 256

/* NULL is allowed. */
void
ticket_free(struct ticket *t)
{
    if (!t) {
        return;
    }
    for (size_t i = 0; i < t->n_objects; i++) {
        ticket_object_unref(t->objects[i]);
    }
    g_free(t->objects);
    g_free(t->author);
    g_free(t->comment);
    g_free(t->text);
    g_free(t);
}

/* Writes the row key of a ticket number: 20 digits, zero-padded, so that keys
   sort in the order of numbers. */
void
ticket_row_key_format(uint64_t number, char key[TICKET_ROW_KEY_BYTES])
{
    (void)g_snprintf(key, TICKET_ROW_KEY_BYTES, "%020" G_GINT64_MODIFIER "u",
                     number);
}

/* Parses a row key. Returns false if it is not valid. */
bool
ticket_row_key_parse(const char *key, uint64_t *number)
{
    guint64 n = 0;

    if (strlen(key) != TICKET_ROW_KEY_BYTES - 1 ||
        !g_ascii_string_to_unsigned(key, 10, 1, TICKET_NUMBER_MAX, &n, NULL)) {
        return false;
    }
    *number = n;
    return true;
}

/* Reads a single line of free text of at most max bytes. Control characters
   are rejected. */
static char *
read_line(GKeyFile *file, const char *key, size_t max, bool required,
          struct ticket_error *err)
{
    char *s = g_key_file_get_string(file, "ticket", key, NULL);

    if (!s && !required && !g_key_file_has_key(file, "ticket", key, NULL)) {
        return g_strdup("");
    }
    if (s) {
        g_strstrip(s);
    }
    if (!s || (required && s[0] == '\0')) {
        ticket_error_set(err, "ticket", key, "is missing or not valid");
        g_free(s);
        return NULL;
    }
    bool ok = strlen(s) <= max;

    for (const char *p = s; ok && *p; p++) {
        ok = !g_ascii_iscntrl(*p);
    }
    if (!ok) {
        ticket_error_set(err, "ticket", key,
                         "must be one line of at most %zu bytes", max);
        g_free(s);
        return NULL;
    }
    return s;
}

static bool
read_header(GKeyFile *file, struct ticket *t, struct ticket_error *err)
{
    static const char *const known[] = {"number", "author", "comment", NULL};
    int64_t number = 0;
    char **keys = g_key_file_get_keys(file, "ticket", NULL, NULL);
    bool ok = keys != NULL;

    if (!ok) {
        ticket_error_set(err, "ticket", NULL, "group is missing");
    }
    for (size_t i = 0; ok && keys[i]; i++) {
        if (!g_strv_contains(known, keys[i])) {
            ticket_error_set(err, "ticket", keys[i], "unknown key");
            ok = false;
        }
    }
    g_strfreev(keys);
    if (!ok ||
        !ticket_ini_read_int(file, "ticket", "number", 1,
                             (int64_t)TICKET_NUMBER_MAX, &number, err)) {
        return false;
    }
    t->number = (uint64_t)number;
    t->author = read_line(file, "author", AUTHOR_MAX_BYTES, true, err);
    if (!t->author) {
        return false;
    }
    t->comment = read_line(file, "comment", COMMENT_MAX_BYTES, false, err);
    return t->comment != NULL;
}

static int
compare_objects(const void *a, const void *b)
{
    return ticket_object_compare(*(struct ticket_object *const *)a,
                                 *(struct ticket_object *const *)b);
}

/* Appends s with backslashes escaped for GKeyFile. */
static void
append_escaped(GString *out, const char *s)
{
    for (; *s; s++) {
        if (*s == '\\') {
            g_string_append_c(out, '\\');
        }
        g_string_append_c(out, *s);
    }
}

/* Sets text and hash from the parsed fields. */
static void
write_canonical(struct ticket *t)
{
    GString *out = g_string_new(NULL);

    g_string_append_printf(
        out,
        "[ticket]\nnumber=%" G_GUINT64_FORMAT "\nauthor=", (guint64)t->number);
    append_escaped(out, t->author);
    g_string_append(out, "\ncomment=");
    append_escaped(out, t->comment);
    g_string_append_c(out, '\n');
    for (size_t i = 0; i < t->n_objects; i++) {
        g_string_append_c(out, '\n');
        ticket_object_write(t->objects[i], false, out);
    }
    t->hash = XXH3_64bits(out->str, out->len);
    t->text = g_string_free(out, FALSE);
}

/* Reads the object groups and sorts the objects. */
static bool
read_objects(GKeyFile *file, struct ticket *t, struct ticket_error *err)
{
    gsize n = 0;
    char **groups = g_key_file_get_groups(file, &n);
    bool ok = n <= OBJECTS_MAX + 1;

    if (!ok) {
        ticket_error_set(err, NULL, NULL, "more than %d objects", OBJECTS_MAX);
    }
    t->objects = g_new0(struct ticket_object *, n + 1);
    for (gsize i = 0; ok && i < n; i++) {
        if (strcmp(groups[i], "ticket") == 0) {
            continue;
        }
        struct ticket_object *o =
            ticket_object_read(file, groups[i], false, t->number, err);

        ok = o != NULL;
        if (ok) {
            t->objects[t->n_objects++] = o;
        }
    }
    g_strfreev(groups);
    if (ok && t->n_objects == 0) {
        ticket_error_set(err, "ticket", NULL, "ticket changes no object");
        ok = false;
    }
    if (ok) {
        qsort(t->objects, t->n_objects, sizeof(void *), compare_objects);
    }
    return ok;
}

/* Parses the text of a ticket. Returns NULL and fills err if a group, key or
   value is invalid. Rules that involve other objects are checked by
   ticket_check(). */
struct ticket *
ticket_parse(const char *text, size_t n, struct ticket_error *err)
{
    GKeyFile *file = NULL;

    if (!ticket_ini_parse(text, n, TICKET_TEXT_MAX_BYTES, &file, err)) {
        return NULL;
    }
    struct ticket *t = g_new0(struct ticket, 1);
    bool ok = read_header(file, t, err) && read_objects(file, t, err);

    g_key_file_free(file);
    if (!ok) {
        ticket_free(t);
        return NULL;
    }
    write_canonical(t);
    return t;
}

#include "coordination/view.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* Returns the text form, which the caller frees with g_free(): a line "view
   VERSION FENCE HOLDER", then one line "lead SERVICE EPOCH TERM CHANGING
   PRIMARY ORDERED ORDERED_SET" per service. "-" stands for an empty holder or
   member. */
char *
view_format(const struct view *v)
{
    GString *s = g_string_new(NULL);

    g_string_printf(s, "view %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %s\n",
                    v->version, v->fence,
                    v->holder[0] != '\0' ? v->holder : "-");
    for (int i = 0; i < v->count; i++) {
        const struct view_entry *e = &v->entries[i];
        g_string_append_printf(
            s,
            "lead %s %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT
            " %d %s %s %" G_GUINT64_FORMAT "\n",
            e->service, e->epoch, e->term, e->changing,
            e->primary[0] != '\0' ? e->primary : "-",
            e->ordered[0] != '\0' ? e->ordered : "-", e->ordered_set);
    }
    return g_string_free(s, FALSE);
}

/* Copies a word; "-" yields "". Returns false if it does not fit. */
static bool
copy_word(const char *word, char *out, size_t size)
{
    if (strcmp(word, "-") == 0) {
        word = "";
    }
    return g_strlcpy(out, word, size) < size;
}

static bool
read_number(const char *word, uint64_t *out)
{
    return g_ascii_string_to_unsigned(word, 10, 0, G_MAXUINT64, out, NULL);
}

/* Parses one line of the text form. ORDERED and ORDERED_SET are missing in
   rows that an earlier version wrote. */
static bool
parse_line(const char *line, struct view *v)
{
    char **w = g_strsplit(line, " ", 9);
    const guint n = g_strv_length(w);
    bool ok = false;

    if (n == 4 && strcmp(w[0], "view") == 0) {
        ok = read_number(w[1], &v->version) && read_number(w[2], &v->fence) &&
             copy_word(w[3], v->holder, sizeof(v->holder));
    }
    else if ((n == 6 || n == 8) && strcmp(w[0], "lead") == 0 &&
             v->count < VIEW_SERVICES_MAX) {
        struct view_entry *e = &v->entries[v->count++];
        ok = copy_word(w[1], e->service, sizeof(e->service)) &&
             read_number(w[2], &e->epoch) && read_number(w[3], &e->term) &&
             copy_word(w[5], e->primary, sizeof(e->primary)) &&
             (n == 6 || (copy_word(w[6], e->ordered, sizeof(e->ordered)) &&
                         read_number(w[7], &e->ordered_set)));
        e->changing = strcmp(w[4], "1") == 0;
    }
    g_strfreev(w);
    return ok;
}

/* Parses the text form. Returns false if it is malformed. */
bool
view_parse(struct sview text, struct view *out)
{
    char *copy = sview_dup(text);
    char **lines = g_strsplit(copy, "\n", 0);
    bool ok = text.n > 0;

    memset(out, 0, sizeof(*out));
    for (int i = 0; ok && lines[i] != NULL; i++) {
        ok = lines[i][0] == '\0' || parse_line(lines[i], out);
    }
    g_strfreev(lines);
    g_free(copy);
    return ok && out->version > 0;
}

/* Returns a set with one element, a member. Two members may share it. */
uint64_t
view_member_bit(const char *member)
{
    return 1ULL << (XXH64(member, strlen(member), 0) % 64);
}

/* Returns the entry of a service, or NULL. */
struct view_entry *
view_find(struct view *v, const char *service)
{
    for (int i = 0; i < v->count; i++) {
        if (strcmp(v->entries[i].service, service) == 0) {
            return &v->entries[i];
        }
    }
    return NULL;
}

/* Adds a service without a primary. Returns NULL if the view is full or the
   name is too long. */
struct view_entry *
view_add(struct view *v, const char *service)
{
    if (v->count == VIEW_SERVICES_MAX ||
        strlen(service) >= sizeof(v->entries[0].service)) {
        return NULL;
    }
    struct view_entry *e = &v->entries[v->count++];
    memset(e, 0, sizeof(*e));
    g_strlcpy(e->service, service, sizeof(e->service));
    return e;
}

/* Copies the entries that changed after version since, at most max of them.
   Returns the total number of changed entries, which may exceed max. */
int
view_changes(const struct view *v, uint64_t since, struct view_entry *out,
             int max)
{
    int n = 0;

    for (int i = 0; i < v->count; i++) {
        if (v->entries[i].epoch > since) {
            if (n < max) {
                out[n] = v->entries[i];
            }
            n++;
        }
    }
    return n;
}

/* Replaces the entries of changed services and appends new ones in the given
   order. Returns false if the view is full; it may then have taken part of the
   changes. */
bool
view_apply(struct view *v, const struct view_entry *changes, int n)
{
    for (int i = 0; i < n; i++) {
        struct view_entry *e = view_find(v, changes[i].service);
        e = e != NULL ? e : view_add(v, changes[i].service);
        if (e == NULL) {
            return false;
        }
        *e = changes[i];
    }
    return true;
}

#include "directory/member_list.h"

static int
compare_ids(const void *a, const void *b)
{
    const struct member_entry *x = *(const struct member_entry *const *)a;
    const struct member_entry *y = *(const struct member_entry *const *)b;

    return g_strcmp0(x->id, y->id);
}

/* Formats one line for each member:

     "ID SERVICE HOST PORT DOMAIN SLOTS ROLE STATE STARTED_AT"

   ROLE is "primary" or "replica", STATE is "ready" or "draining". The lines
   are sorted by id, so that the same members always give the same text. The
   text must be freed by the caller with g_free(). */
char *
member_list_format(const struct member_entry *entries, size_t n)
{
    GPtrArray *sorted = g_ptr_array_new();
    GString *s = g_string_new(NULL);

    for (size_t i = 0; i < n; i++) {
        g_ptr_array_add(sorted, (void *)&entries[i]);
    }
    g_ptr_array_sort(sorted, compare_ids);
    for (guint i = 0; i < sorted->len; i++) {
        const struct member_entry *m = sorted->pdata[i];
        g_string_append_printf(
            s, "%s %s %s %u %s %d %s %s %lld\n", m->id, m->service, m->host,
            m->port, m->failure_domain, m->slots,
            m->says_primary ? "primary" : "replica",
            m->draining ? "draining" : "ready", (long long)m->started_at);
    }
    g_ptr_array_free(sorted, TRUE);
    return g_string_free(s, FALSE);
}

static bool
parse_line(const char *line, struct member_entry *m)
{
    char **fields = g_strsplit(line, " ", 10);
    uint64_t port = 0;
    uint64_t slots = 0;
    uint64_t started_at = 0;

    *m = (struct member_entry){0};
    const bool ok =
        g_strv_length(fields) == 9 &&
        g_strlcpy(m->id, fields[0], sizeof(m->id)) < sizeof(m->id) &&
        g_strlcpy(m->service, fields[1], sizeof(m->service)) <
            sizeof(m->service) &&
        g_strlcpy(m->host, fields[2], sizeof(m->host)) < sizeof(m->host) &&
        g_ascii_string_to_unsigned(fields[3], 10, 1, 65535, &port, NULL) &&
        g_strlcpy(m->failure_domain, fields[4], sizeof(m->failure_domain)) <
            sizeof(m->failure_domain) &&
        g_ascii_string_to_unsigned(fields[5], 10, 1, 1024, &slots, NULL) &&
        g_ascii_string_to_unsigned(fields[8], 10, 0, G_MAXINT64, &started_at,
                                   NULL);
    if (ok) {
        m->port = (uint16_t)port;
        m->slots = (int)slots;
        m->says_primary = g_str_equal(fields[6], "primary");
        m->draining = g_str_equal(fields[7], "draining");
        m->started_at = (int64_t)started_at;
    }
    g_strfreev(fields);
    return ok;
}

/* Returns an array of struct member_entry, owned by the caller. Invalid lines
   are skipped. */
GArray *
member_list_parse(struct sview text)
{
    GArray *list = g_array_new(FALSE, TRUE, sizeof(struct member_entry));
    char *copy = sview_dup(text);
    char **lines = g_strsplit(copy, "\n", 0);

    for (int i = 0; lines[i] != NULL; i++) {
        struct member_entry m;
        if (parse_line(lines[i], &m)) {
            g_array_append_val(list, m);
        }
    }
    g_strfreev(lines);
    g_free(copy);
    return list;
}

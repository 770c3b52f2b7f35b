#include "ctl/explain.h"

#include "ctl/ctl.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

/* Changes of belief this long before a request's first line can have decided
   its fate: a change of primary takes about a second. */
#define BEFORE_MS 2000
#define AFTER_MS 300
#define WORD_BYTES 128

/* One line of a log. */
struct line {
    int64_t at;
    const char *file;
    char *text; /* from "t=" on */
};

/* Lines about beliefs, by the beginning of the event's name. */
static const char *const belief_events[] = {
    "member_",  "lead",    "change_",   "promotion_",
    "view_",    "store_",  "suspended", "configuration",
    "stopping", "started", "peers",     "callers_sent"};

/* What a failure's detail means. */
static const struct {
    const char *outcome; /* NULL for any */
    const char *detail;
    const char *cause;
} causes[] = {
    {NULL, "queue_deadline",
     "refused under load: no member had room before the statement timeout; "
     "it did not run"},
    {NULL, "queue_full",
     "refused under load: the wait in front of it was longer than its "
     "statement timeout; it did not run"},
    {NULL, "no_lease",
     "the proxy could not confirm who leads: it was cut off from the store "
     "and from the witnesses; it did not run"},
    {NULL, "primary_changing",
     "the primary was being replaced for longer than the statement could "
     "wait; it did not run"},
    {NULL, "no_member",
     "no member that could serve it answered; it did not "
     "run"},
    {"unknown_outcome", "primary replaced",
     "in doubt across a change of primary: it was at the old primary when the "
     "lead was taken from it"},
    {"aborted", "primary chang",
     "its transaction was open at a primary that "
     "was replaced; nothing is kept"},
    {"unknown_outcome", "",
     "its member's connection ended after it was sent "
     "and before an answer; it may have run"},
    {"timeout", "",
     "its member did not answer before the statement timeout; "
     "it may have run"},
    {"aborted", "",
     "the connection of its transaction ended before the "
     "commit was sent; nothing is kept"},
};

/* Frees a line. */
static void
line_free(void *p)
{
    struct line *l = p;

    g_free(l->text);
    g_free(l);
}

/* Copies the value of a key of a line; quotes are taken off. Returns false
   when the line does not have the key. */
static bool
value_of(const char *text, const char *key, char *out)
{
    char *start = g_strdup_printf(" %s=", key);
    const char *at = strstr(text, start);

    out[0] = '\0';
    if (at != NULL) {
        at += strlen(start);
        const char *stops = at[0] == '"' ? "\"" : " \n";
        at += at[0] == '"';
        g_strlcpy(out, at, MIN(strcspn(at, stops) + 1, WORD_BYTES));
    }
    g_free(start);
    return at != NULL;
}

/* Reads the lines of a file; text before "t=" is left out. */
static bool
read_file(const char *file, GPtrArray *lines, FILE *err)
{
    char *text = NULL;
    GError *e = NULL;

    if (!g_file_get_contents(file, &text, NULL, &e)) {
        fprintf(err, "galenastepctl: step=explain %s\n", e->message);
        g_error_free(e);
        return false;
    }
    char **all = g_strsplit(text, "\n", 0);
    for (int i = 0; all[i] != NULL; i++) {
        const char *at = strstr(all[i], "t=");
        if (at == NULL || strstr(at, " event=") == NULL) {
            continue;
        }
        struct line *l = g_new0(struct line, 1);
        l->at = g_ascii_strtoll(at + 2, NULL, 10);
        l->file = file;
        l->text = g_strdup(at);
        g_ptr_array_add(lines, l);
    }
    g_strfreev(all);
    g_free(text);
    return true;
}

/* Orders lines by time. */
static int
by_time(const void *a, const void *b)
{
    const struct line *x = *(const struct line *const *)a;
    const struct line *y = *(const struct line *const *)b;

    return x->at < y->at ? -1 : x->at > y->at ? 1 : 0;
}

/* Tells whether a line is about a belief that concerns a service. */
static bool
is_belief(const struct line *l, const char *service)
{
    char event[WORD_BYTES];
    char about[WORD_BYTES];

    value_of(l->text, "event", event);
    if (value_of(l->text, "service", about) && strcmp(about, service) != 0) {
        return false;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(belief_events); i++) {
        if (g_str_has_prefix(event, belief_events[i])) {
            return true;
        }
    }
    return false;
}

/* Returns what the last line of a request says about its cause. */
static const char *
cause_of(const char *text)
{
    char outcome[WORD_BYTES];
    char detail[WORD_BYTES];

    if (strstr(text, "event=statement_late") != NULL) {
        return "answered later than its target: see waited_ms for the wait "
               "before it was sent, attempts for members that did not answer";
    }
    value_of(text, "outcome", outcome);
    value_of(text, "detail", detail);
    for (size_t i = 0; i < G_N_ELEMENTS(causes); i++) {
        if ((causes[i].outcome == NULL ||
             strcmp(causes[i].outcome, outcome) == 0) &&
            g_str_has_prefix(detail, causes[i].detail)) {
            return causes[i].cause;
        }
    }
    return "the member answered with this failure";
}

/* Prints the beliefs that changed around the request. */
static void
print_beliefs(const GPtrArray *lines, const struct line *first,
              const struct line *last, const char *service, FILE *out)
{
    fprintf(out, "\nBeliefs from %d ms before:\n", BEFORE_MS);
    for (guint i = 0; i < lines->len; i++) {
        const struct line *l = lines->pdata[i];
        if (l->at >= first->at - BEFORE_MS && l->at <= last->at + AFTER_MS &&
            is_belief(l, service)) {
            fprintf(out, "  %+6lld ms %s: %s\n",
                    (long long)(l->at - first->at), l->file,
                    strstr(l->text, "event="));
        }
    }
}

/* Walks from a request's id to its cause over collected logs. Returns an exit
   code of galenastepctl; CTL_FAILED when no line has the id. */
int
explain_run(const char *id, char *const *files, FILE *out, FILE *err)
{
    GPtrArray *lines = g_ptr_array_new_with_free_func(line_free);
    const struct line *first = NULL;
    const struct line *last = NULL;
    char word[WORD_BYTES];
    char service[WORD_BYTES] = "";
    int code = CTL_OK;

    for (int i = 0; files[i] != NULL; i++) {
        if (!read_file(files[i], lines, err)) {
            code = CTL_FAILED;
        }
    }
    g_ptr_array_sort(lines, by_time);
    for (guint i = 0; i < lines->len; i++) {
        const struct line *l = lines->pdata[i];
        if (!value_of(l->text, "id", word) || strcmp(word, id) != 0) {
            continue;
        }
        if (first == NULL) {
            fprintf(out, "Request %s:\n", id);
            first = l;
        }
        last = l;
        fprintf(out, "  %+6lld ms %s: %s\n", (long long)(l->at - first->at),
                l->file, strstr(l->text, "event="));
        if (value_of(l->text, "service", word)) {
            g_strlcpy(service, word, sizeof(service));
        }
    }
    if (first == NULL) {
        fprintf(err,
                "galenastepctl: step=explain no line has id=%s; successes in "
                "time are not logged, and log_lines_left_out tells when lines "
                "are missing\n",
                id);
        code = CTL_FAILED;
    }
    else {
        print_beliefs(lines, first, last, service, out);
        fprintf(out, "\nCause: %s.\n", cause_of(last->text));
    }
    g_ptr_array_free(lines, TRUE);
    return code;
}

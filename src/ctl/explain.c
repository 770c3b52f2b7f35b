#include "ctl/explain.h"

#include "ctl/ctl.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

/* State changes from this long before the first line of a request until this
   long after its last one are shown as possible causes. A change of primary
   takes about a second. */
#define WINDOW_BEFORE_MS 2000
#define WINDOW_AFTER_MS 300
#define VALUE_MAX_BYTES 128

struct log_line {
    int64_t at; /* Unix milliseconds */
    const char *file;
    char *text; /* starts at "t=" */
};

/* Prefixes of the names of events that report a change of state. */
static const char *const state_event_prefixes[] = {
    "member_",  "lead",    "change_",   "promotion_",
    "view_",    "store_",  "suspended", "configuration",
    "stopping", "started", "peers",     "callers_sent"};

/* Explanations of failures; the first match is used. */
static const struct {
    const char *outcome; /* NULL: any */
    const char *detail;  /* prefix */
    const char *cause;
} causes[] = {
    {NULL, "queue_deadline",
     "refused under load: no member had free capacity before the statement "
     "timeout; it did not run"},
    {NULL, "queue_full",
     "refused under load: the queue in front of it would have made it wait "
     "longer than its statement timeout; it did not run"},
    {NULL, "no_lease",
     "the proxy could not confirm which member is the primary: it was cut off "
     "from the store and from the witness proxies; it did not run"},
    {NULL, "primary_changing",
     "the change of primary took longer than the statement could wait; it did "
     "not run"},
    {NULL, "no_member", "no eligible member answered; it did not run"},
    {"unknown_outcome", "primary replaced",
     "in doubt across a change of primary: it had been sent to the old "
     "primary when that was replaced; it may have run"},
    {"aborted", "primary chang",
     "its transaction was open on a primary that was replaced; the "
     "transaction was rolled back"},
    {"unknown_outcome", "",
     "the connection to the member was lost after the statement was sent and "
     "before an answer; it may have run"},
    {"aborted", "statement timeout",
     "the member did not answer what its transaction needed before the "
     "statement; the transaction was rolled back"},
    {"timeout", "",
     "the member did not answer before the statement timeout; it may have "
     "run"},
    {"aborted", "",
     "the connection of its transaction ended before the commit was sent; "
     "the transaction was rolled back"},
};

static void
log_line_free(void *p)
{
    struct log_line *l = p;

    g_free(l->text);
    g_free(l);
}

/* Copies the value of a key without quotes to out, which has VALUE_MAX_BYTES.
   Returns false and an empty string if the line does not have the key. */
static bool
get_value(const char *text, const char *key, char *out)
{
    char *pattern = g_strdup_printf(" %s=", key);
    const char *value = strstr(text, pattern);

    out[0] = '\0';
    if (value != NULL) {
        value += strlen(pattern);
        const char *delimiters = value[0] == '"' ? "\"" : " \n";
        value += value[0] == '"';
        g_strlcpy(out, value,
                  MIN(strcspn(value, delimiters) + 1, VALUE_MAX_BYTES));
    }
    g_free(pattern);
    return value != NULL;
}

/* Appends the event lines of a file. Other lines, and any text before "t=",
   are skipped. */
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
        struct log_line *l = g_new0(struct log_line, 1);
        l->at = g_ascii_strtoll(at + 2, NULL, 10);
        l->file = file;
        l->text = g_strdup(at);
        g_ptr_array_add(lines, l);
    }
    g_strfreev(all);
    g_free(text);
    return true;
}

static int
compare_time(const void *a, const void *b)
{
    const struct log_line *x = *(const struct log_line *const *)a;
    const struct log_line *y = *(const struct log_line *const *)b;

    return x->at < y->at ? -1 : x->at > y->at ? 1 : 0;
}

/* Returns true for a state change of the service or of the whole proxy. A
   service is a database group; the log uses the relay's name for it. */
static bool
is_state_event(const struct log_line *l, const char *service)
{
    char event[VALUE_MAX_BYTES];
    char line_service[VALUE_MAX_BYTES];

    get_value(l->text, "event", event);
    if (get_value(l->text, "service", line_service) &&
        strcmp(line_service, service) != 0) {
        return false;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(state_event_prefixes); i++) {
        if (g_str_has_prefix(event, state_event_prefixes[i])) {
            return true;
        }
    }
    return false;
}

/* Derives the cause from the last line of a request. */
static const char *
find_cause(const char *text)
{
    char outcome[VALUE_MAX_BYTES];
    char detail[VALUE_MAX_BYTES];

    if (strstr(text, "event=statement_late") != NULL) {
        return "answered later than its target: see waited_ms for the wait "
               "before it was sent, and attempts for members that did not "
               "answer";
    }
    get_value(text, "outcome", outcome);
    get_value(text, "detail", detail);
    for (size_t i = 0; i < G_N_ELEMENTS(causes); i++) {
        if ((causes[i].outcome == NULL ||
             strcmp(causes[i].outcome, outcome) == 0) &&
            g_str_has_prefix(detail, causes[i].detail)) {
            return causes[i].cause;
        }
    }
    return "the member returned this error";
}

static void
print_state_events(const GPtrArray *lines, const struct log_line *first,
                   const struct log_line *last, const char *service, FILE *out)
{
    fprintf(out, "\nState changes from %d ms before the request:\n",
            WINDOW_BEFORE_MS);
    for (guint i = 0; i < lines->len; i++) {
        const struct log_line *l = lines->pdata[i];
        if (l->at >= first->at - WINDOW_BEFORE_MS &&
            l->at <= last->at + WINDOW_AFTER_MS &&
            is_state_event(l, service)) {
            fprintf(out, "  %+6lld ms %s: %s\n",
                    (long long)(l->at - first->at), l->file,
                    strstr(l->text, "event="));
        }
    }
}

/* Prints what is known about members that did not answer: the one that the
   request waited for, and those that became unreachable around it. */
static void
print_silent_members(const GPtrArray *lines, const struct log_line *first,
                     const struct log_line *last, const char *service,
                     FILE *out)
{
    char member[VALUE_MAX_BYTES];
    char value[VALUE_MAX_BYTES];
    const char *separator = "";

    if (get_value(last->text, "silent_ms", value) && strcmp(value, "0") != 0 &&
        get_value(last->text, "member", member)) {
        fprintf(out, "Member %s had not answered for %s ms.\n", member, value);
    }
    GHashTable *seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (guint i = 0; i < lines->len; i++) {
        const struct log_line *l = lines->pdata[i];
        if (l->at < first->at - WINDOW_BEFORE_MS || l->at > last->at ||
            strstr(l->text, "event=member_unreachable ") == NULL ||
            !is_state_event(l, service) ||
            !get_value(l->text, "member", member) ||
            !g_hash_table_add(seen, g_strdup(member))) {
            continue;
        }
        get_value(l->text, "why", value);
        if (separator[0] == '\0') {
            fprintf(out, "Unreachable members of %s: ", service);
        }
        fprintf(out, "%s%s (%s)", separator, member, value);
        separator = ", ";
    }
    if (separator[0] != '\0') {
        fprintf(out, ".\n");
    }
    g_hash_table_destroy(seen);
}

/* Prints the log lines of a request, the state changes around it, and its
   cause. files is a NULL-terminated list of logs. Returns an exit code (enum
   ctl_exit): CTL_FAILED if no line has the id or a file cannot be read. */
int
explain_run(const char *id, char *const *files, FILE *out, FILE *err)
{
    GPtrArray *lines = g_ptr_array_new_with_free_func(log_line_free);
    const struct log_line *first = NULL;
    const struct log_line *last = NULL;
    char word[VALUE_MAX_BYTES];
    char service[VALUE_MAX_BYTES] = "";
    int code = CTL_OK;

    for (int i = 0; files[i] != NULL; i++) {
        if (!read_file(files[i], lines, err)) {
            code = CTL_FAILED;
        }
    }
    g_ptr_array_sort(lines, compare_time);
    for (guint i = 0; i < lines->len; i++) {
        const struct log_line *l = lines->pdata[i];
        if (!get_value(l->text, "id", word) || strcmp(word, id) != 0) {
            continue;
        }
        if (first == NULL) {
            fprintf(out, "Request %s:\n", id);
            first = l;
        }
        last = l;
        fprintf(out, "  %+6lld ms %s: %s\n", (long long)(l->at - first->at),
                l->file, strstr(l->text, "event="));
        if (get_value(l->text, "service", word)) {
            g_strlcpy(service, word, sizeof(service));
        }
    }
    if (first == NULL) {
        fprintf(
            err,
            "galenastepctl: step=explain no line has id=%s; requests that "
            "succeed in time are not logged, and log_lines_left_out events "
            "report dropped lines\n",
            id);
        code = CTL_FAILED;
    }
    else {
        print_state_events(lines, first, last, service, out);
        fprintf(out, "\nCause: %s.\n", find_cause(last->text));
        print_silent_members(lines, first, last, service, out);
    }
    g_ptr_array_free(lines, TRUE);
    return code;
}

#include "ctl/ctl.h"

#include "base/clock.h"
#include "ctl/ctl_call.h"
#include "ctl/ctl_output.h"
#include "ctl/explain.h"
#include "ctl/explain_route.h"
#include "fleet/rpc_codec.h"

#include <string.h>

/* Longer than the 10 s for which a proxy retries a ticket submission. */
#define DEFAULT_TIMEOUT_MS 12000
#define TIMEOUT_MAX_MS 600000
#define WAIT_POLL_MS 200

static const char help_text[] =
    "Commands:\n"
    "  status                    members of databases as the proxy sees them\n"
    "  members                   proxies of the fleet\n"
    "  counters                  counters since the start\n"
    "  cost                      usage and cost by database and caller kind\n"
    "  ticket submit FILE        submit a change ticket\n"
    "  ticket show N             show ticket N\n"
    "  ticket list               list accepted tickets\n"
    "  ticket status [--wait]    show which proxies have received all "
    "tickets\n"
    "  drain                     stop the proxy gracefully\n"
    "  explain ID FILE...        trace a request by its id to its cause, "
    "from logs\n"
    "  explain-route ADDRESS DATABASE\n"
    "                            where a statement would go now, and why; "
    "ADDRESS is the\n"
    "                            metrics address of a galenastep-platform\n"
    "  log-level LEVEL           error, warning, notice, info or debug\n"
    "\n"
    "Environment:\n"
    "  GALENASTEP_CONTROL        comma-separated addresses, used without\n"
    "                            --connect\n";

struct options {
    char **connect;
    char *key_file;
    char *author;
    int timeout_ms;
    gboolean csv;
    gboolean wait;
    gboolean version;
    char *account;
    gboolean read;
    gboolean write;
    gboolean transaction;
    gboolean json;
};

/* Commands without further arguments that print a table. */
static const struct {
    const char *first;
    const char *second; /* NULL if the command is a single word */
    uint32_t procedure;
    const char *argument;
    const char *step; /* for error messages */
} table_commands[] = {
    {"status", NULL, CONTROL_STATUS, "", "status"},
    {"members", NULL, CONTROL_MEMBERS, "", "members"},
    {"counters", NULL, CONTROL_COUNTERS, "", "counters"},
    {"cost", NULL, CONTROL_COST, "", "cost"},
    {"ticket", "list", CONTROL_TICKET_LIST, "", "ticket-list"},
    {"ticket", "status", CONTROL_TICKET_LIST, "status", "ticket-status"},
};

static int
usage_error(FILE *err, const char *text)
{
    fprintf(err, "galenastepctl: step=usage %s; see --help\n", text);
    return CTL_USAGE;
}

/* Checks that the last column of the ticket status is "yes" for each proxy. */
static bool
all_in_force(const GPtrArray *rows)
{
    for (guint i = 1; i < rows->len; i++) {
        const GPtrArray *row = rows->pdata[i];

        if (row->len == 0 || strcmp(row->pdata[row->len - 1], "yes") != 0) {
            return false;
        }
    }
    return rows->len > 1;
}

/* Fetches and prints a table. With --wait, ticket status is fetched repeatedly
   until every proxy has received all tickets or the timeout expires. */
static int
run_table(const struct ctl_target *t, const struct options *o,
          uint32_t procedure, const char *argument, FILE *out)
{
    clock_ms until = clock_monotonic_ms() + (clock_ms)t->timeout_ms;
    GPtrArray *rows = NULL;
    bool waiting = o->wait && strcmp(argument, "status") == 0;
    int code;

    for (;;) {
        code = ctl_call_table(t, procedure, argument, &rows);
        if (code != CTL_OK) {
            return code;
        }
        if (!waiting || all_in_force(rows)) {
            break;
        }
        if (clock_monotonic_ms() >= until) {
            fprintf(t->err,
                    "galenastepctl: step=%s not in force on every proxy "
                    "within %u ms\n",
                    t->step, t->timeout_ms);
            code = CTL_FAILED;
            break;
        }
        g_ptr_array_unref(rows);
        g_usleep(WAIT_POLL_MS * 1000UL);
    }
    if (o->csv) {
        ctl_print_csv(out, rows);
    }
    else {
        ctl_print_table(out, rows);
    }
    g_ptr_array_unref(rows);
    return code;
}

/* Runs a command whose answer is an exit code and a message. */
static int
run_command(const struct ctl_target *t, uint32_t procedure,
            xdrproc_t args_proc, const void *args, FILE *out)
{
    char *message;
    int code = ctl_call_command(t, procedure, args_proc, args, &message);

    if (message && code == CTL_OK) {
        fprintf(out, "%s\n", message);
    }
    else if (message) {
        fprintf(t->err, "galenastepctl: step=%s %s\n", t->step, message);
    }
    g_free(message);
    return code;
}

static int
run_submit(const struct ctl_target *t, const struct options *o,
           const char *path, FILE *out)
{
    char *text = NULL;
    gsize n = 0;
    GError *error = NULL;
    int code;

    if (!g_file_get_contents(path, &text, &n, &error)) {
        fprintf(t->err, "galenastepctl: step=ticket-submit %s\n",
                error->message);
        g_error_free(error);
        return CTL_FAILED;
    }
    if (n > CONTROL_TEXT_MAX || strlen(text) != n) {
        fprintf(t->err,
                "galenastepctl: step=ticket-submit %s: must be text of at "
                "most %d bytes without NUL bytes\n",
                path, CONTROL_TEXT_MAX);
        g_free(text);
        return CTL_FAILED;
    }
    char author[CONTROL_NAME_MAX + 1];
    g_strlcpy(author, o->author ? o->author : g_get_user_name(),
              sizeof(author));
    control_ticket_submission s = {.author = author, .text = text};
    code = run_command(t, CONTROL_TICKET_SUBMIT,
                       RPC_XDR(xdr_control_ticket_submission), &s, out);
    g_free(text);
    return code;
}

/* words is NULL-terminated and not empty. */
static int
dispatch_command(struct ctl_target *t, const struct options *o, char **words,
                 FILE *out)
{
    guint n = g_strv_length(words);
    const char *first = words[0];
    const char *second = n > 1 ? words[1] : NULL;

    t->step = first;
    for (size_t i = 0; i < G_N_ELEMENTS(table_commands); i++) {
        if (strcmp(first, table_commands[i].first) == 0 &&
            g_strcmp0(second, table_commands[i].second) == 0 && n <= 2) {
            t->step = table_commands[i].step;
            return run_table(t, o, table_commands[i].procedure,
                             table_commands[i].argument, out);
        }
    }
    if (n == 1 && strcmp(first, "drain") == 0) {
        return run_command(t, CONTROL_DRAIN, ctl_xdr_empty, NULL, out);
    }
    if (n == 2 && strcmp(first, "log-level") == 0) {
        control_log_level l = {.level = words[1]};

        if (strlen(words[1]) > CONTROL_NAME_MAX) {
            return usage_error(t->err, "unknown log level");
        }
        return run_command(t, CONTROL_LOG_LEVEL,
                           RPC_XDR(xdr_control_log_level), &l, out);
    }
    if (n == 3 && strcmp(first, "ticket") == 0) {
        if (strcmp(second, "submit") == 0) {
            t->step = "ticket-submit";
            return run_submit(t, o, words[2], out);
        }
        if (strcmp(second, "show") == 0) {
            guint64 number;

            t->step = "ticket-show";
            if (!g_ascii_string_to_unsigned(words[2], 10, 0, G_MAXUINT64,
                                            &number, NULL)) {
                return usage_error(t->err,
                                   "the ticket number must be a number");
            }
            return run_table(t, o, CONTROL_TICKET_SHOW, words[2], out);
        }
    }
    return usage_error(t->err, "unknown command or wrong number of arguments");
}

static int
run_explain_route(const struct options *o, char **words, FILE *out, FILE *err)
{
    struct explain_route_options e = {.account = o->account,
                                      .kind = o->write         ? "write"
                                              : o->transaction ? "transaction"
                                                               : "read",
                                      .json = o->json,
                                      .timeout_ms = o->timeout_ms};

    if (g_strv_length(words) != 3) {
        return usage_error(
            err, "explain-route needs a metrics address and a database");
    }
    if (o->read + o->write + o->transaction > 1) {
        return usage_error(
            err, "--read, --write and --transaction exclude each other");
    }
    if (o->csv) {
        return usage_error(err, "explain-route has --json and no --csv");
    }
    e.address = words[1];
    e.database = words[2];
    return explain_route_run(&e, out, err);
}

static int
run_with_options(const struct options *o, char **words, FILE *out, FILE *err)
{
    struct ctl_target t = {.err = err, .timeout_ms = (unsigned)o->timeout_ms};
    const char *env = g_getenv("GALENASTEP_CONTROL");
    char **from_env = NULL;
    char *error = NULL;
    int code;

    if (o->timeout_ms < 1 || o->timeout_ms > TIMEOUT_MAX_MS) {
        return usage_error(err, "--timeout-ms must be from 1 to 600000");
    }
    if (!words || !words[0]) {
        return usage_error(err, "no command given");
    }
    if (strcmp(words[0], "explain") == 0) {
        return words[1] != NULL && words[2] != NULL
                   ? explain_run(words[1], words + 2, out, err)
                   : usage_error(err,
                                 "explain needs a request id and log files");
    }
    if (strcmp(words[0], "explain-route") == 0) {
        return run_explain_route(o, words, out, err);
    }
    if (!o->connect && (!env || !*env)) {
        return usage_error(
            err, "no address given: use --connect or GALENASTEP_CONTROL");
    }
    if (!o->key_file) {
        return usage_error(err, "no key given: use --key-file");
    }
    struct rpc_keys *keys = rpc_keys_create();
    if (!rpc_keys_load(keys, o->key_file, &error)) {
        fprintf(err, "galenastepctl: step=key-file %s\n", error);
        g_free(error);
        rpc_keys_destroy(keys);
        return CTL_USAGE;
    }
    if (!o->connect) {
        from_env = g_strsplit(env, ",", -1);
    }
    t.addresses = o->connect ? o->connect : from_env;
    t.keys = keys;
    code = dispatch_command(&t, o, words, out);
    g_strfreev(from_env);
    rpc_keys_destroy(keys);
    return code;
}

/* Runs galenastepctl. Returns its exit code (enum ctl_exit). */
int
ctl_run(int argc, char **argv, FILE *out, FILE *err)
{
    struct options o = {.timeout_ms = DEFAULT_TIMEOUT_MS};
    char **words = NULL;
    const GOptionEntry entries[] = {
        {"connect", 'c', 0, G_OPTION_ARG_STRING_ARRAY, &o.connect,
         "Control address of a proxy; repeat it to name others as "
         "alternatives",
         "HOST:PORT"},
        {"key-file", 'k', 0, G_OPTION_ARG_FILENAME, &o.key_file,
         "File with the shared key", "FILE"},
        {"timeout-ms", 't', 0, G_OPTION_ARG_INT, &o.timeout_ms,
         "Timeout of a call or of --wait", "MS"},
        {"author", 0, 0, G_OPTION_ARG_STRING, &o.author,
         "Author of a ticket; default: the name of the user", "NAME"},
        {"csv", 0, 0, G_OPTION_ARG_NONE, &o.csv,
         "Print a table as comma-separated values", NULL},
        {"wait", 0, 0, G_OPTION_ARG_NONE, &o.wait,
         "Wait until every proxy has received all tickets", NULL},
        {"account", 0, 0, G_OPTION_ARG_STRING, &o.account,
         "With explain-route: name of the client account", "NAME"},
        {"read", 0, 0, G_OPTION_ARG_NONE, &o.read,
         "With explain-route: a single read (default)", NULL},
        {"write", 0, 0, G_OPTION_ARG_NONE, &o.write,
         "With explain-route: a single write", NULL},
        {"transaction", 0, 0, G_OPTION_ARG_NONE, &o.transaction,
         "With explain-route: the first statement of a transaction", NULL},
        {"json", 0, 0, G_OPTION_ARG_NONE, &o.json,
         "With explain-route: print JSON", NULL},
        {"version", 0, 0, G_OPTION_ARG_NONE, &o.version, "Print the version",
         NULL},
        {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &words, NULL,
         "COMMAND"},
        {0},
    };
    GOptionContext *context = g_option_context_new(NULL);
    char **args = g_new0(char *, argc + 1);
    GError *error = NULL;
    int code;

    for (int i = 0; i < argc; i++) {
        args[i] = g_strdup(argv[i]);
    }
    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_set_description(context, help_text);
    if (!g_option_context_parse_strv(context, &args, &error)) {
        code = usage_error(err, error->message);
        g_error_free(error);
    }
    else if (o.version) {
        fprintf(out, "galenastepctl %s\n", GALENASTEP_VERSION);
        code = CTL_OK;
    }
    else {
        code = run_with_options(&o, words, out, err);
    }
    g_option_context_free(context);
    g_strfreev(args);
    g_strfreev(words);
    g_strfreev(o.connect);
    g_free(o.key_file);
    g_free(o.author);
    g_free(o.account);
    return code;
}

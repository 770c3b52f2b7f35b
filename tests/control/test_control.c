#include "control/control.h"
#include "ctl/ctl.h"
#include "fleet/rpc_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define KEY_A "0123456789abcdef0123456789abcdef"
#define KEY_B "fedcba9876543210fedcba9876543210"
#define LARGE_ROWS 5000

/* A control port that is served by this thread while galenastepctl runs in
   another one. */
struct control_fixture {
    struct rpc_fixture f;
    struct control *control;
    GArray *procedures;
    char key_path[64];
    char ticket_path[64];
    unsigned status_calls;
    unsigned submits;
};

/* A run of galenastepctl. */
struct ctl_job {
    char **argv;
    char *out;
    char *err;
    int code;
    gint done;
};

/* Adds a cell that CSV must quote and one with a control character. */
static void
on_cost(void *ctx, const char *argument, struct control_table *out)
{
    (void)ctx;
    (void)argument;
    control_table_add(out, "database", "cost", NULL);
    control_table_add(out, "names, \"old\"", "1", NULL);
    control_table_add(out, "x\033y", "22", NULL);
}

/* Adds more rows than fit into one record. */
static void
on_members(void *ctx, const char *argument, struct control_table *out)
{
    (void)ctx;
    (void)argument;
    control_table_add(out, "id", "address", NULL);
    for (unsigned i = 0; i < LARGE_ROWS; i++) {
        char id[16];

        g_snprintf(id, sizeof(id), "%u", i);
        control_table_add(out, id, "10.0.0.1:7000 with some padding", NULL);
    }
}

/* Returns "yes" from the third call on. */
static void
on_ticket_status(void *ctx, const char *argument, struct control_table *out)
{
    struct control_fixture *c = ctx;

    (void)argument;
    control_table_add(out, "proxy", "in_force", NULL);
    control_table_add(out, "p1", ++c->status_calls < 3 ? "no" : "yes", NULL);
}

/* Accepts the first submission and rejects later ones as conflicts. */
static void
on_submit(void *ctx, struct control_reply *r, const char *author,
          const char *text)
{
    struct control_fixture *c = ctx;

    assert_string_equal(author, "amina");
    assert_string_equal(text, "[ticket]\nnumber=7\n");
    if (c->submits++ == 0) {
        control_reply_send(r, CONTROL_OK, "accepted 7");
    }
    else {
        control_reply_send(r, CONTROL_CONFLICT, "7 is taken by juma");
    }
}

/* Replaces the server of the RPC fixture by one that serves the control
   protocol. */
static void
fixture_start(struct control_fixture *c)
{
    char *error = NULL;

    memset(c, 0, sizeof(*c));
    rpc_fixture_start(&c->f, NULL);
    rpc_server_destroy(c->f.server);
    c->control = control_create();
    assert_true(control_register_table(c->control, "cost", on_cost, c));
    assert_true(control_register_table(c->control, "members", on_members, c));
    assert_true(control_register_table(c->control, "ticket-status",
                                       on_ticket_status, c));
    assert_false(control_register_table(c->control, "nothing", on_cost, c));
    control_register_submit(c->control, on_submit, c);
    c->procedures = g_array_new(FALSE, FALSE, sizeof(struct rpc_procedure));
    control_append_procedures(c->control, c->procedures);
    c->f.server =
        rpc_server_create(c->f.loop, RPC_FIXTURE_HOST, 0, c->f.keys,
                          (const struct rpc_procedure *)c->procedures->data,
                          c->procedures->len, NULL, &error);
    assert_non_null(c->f.server);
    g_snprintf(c->key_path, sizeof(c->key_path), "/tmp/gs-key-%d", getpid());
    g_snprintf(c->ticket_path, sizeof(c->ticket_path), "/tmp/gs-ticket-%d",
               getpid());
    assert_true(
        g_file_set_contents(c->key_path, "# test\n" KEY_A "\n", -1, NULL));
    assert_true(
        g_file_set_contents(c->ticket_path, "[ticket]\nnumber=7\n", -1, NULL));
}

static void
fixture_stop(struct control_fixture *c)
{
    unlink(c->key_path);
    unlink(c->ticket_path);
    rpc_fixture_stop(&c->f);
    control_destroy(c->control);
    g_array_free(c->procedures, TRUE);
}

static gpointer
ctl_thread(gpointer data)
{
    struct ctl_job *j = data;
    size_t n;
    FILE *out = open_memstream(&j->out, &n);
    FILE *err = open_memstream(&j->err, &n);

    j->code = ctl_run((int)g_strv_length(j->argv), j->argv, out, err);
    fclose(out);
    fclose(err);
    g_atomic_int_set(&j->done, 1);
    return NULL;
}

static bool
ctl_is_done(void *ctx)
{
    return g_atomic_int_get(&((struct ctl_job *)ctx)->done) != 0;
}

/* Runs galenastepctl with the arguments in line, where %K, %C and %T stand for
   the key file, the address and the ticket file. */
static void
run_ctl(struct control_fixture *c, const char *line, struct ctl_job *j)
{
    char address[64];

    memset(j, 0, sizeof(*j));
    g_snprintf(address, sizeof(address), "%s:%u", RPC_FIXTURE_HOST,
               rpc_server_port(c->f.server));
    j->argv = g_strsplit(line, " ", -1);
    for (char **a = j->argv; *a; a++) {
        const char *s = strcmp(*a, "%K") == 0   ? c->key_path
                        : strcmp(*a, "%C") == 0 ? address
                        : strcmp(*a, "%T") == 0 ? c->ticket_path
                                                : NULL;
        if (s) {
            g_free(*a);
            *a = g_strdup(s);
        }
    }
    GThread *thread = g_thread_new("ctl", ctl_thread, j);
    rpc_fixture_run_until(&c->f, ctl_is_done, j);
    g_thread_join(thread);
}

static void
ctl_job_clear(struct ctl_job *j)
{
    g_strfreev(j->argv);
    free(j->out);
    free(j->err);
}

/* Guards against tables that are truncated at the record limit, misaligned or
   wrongly quoted, and against control characters printed to the terminal. */
static void
test_tables(void **state)
{
    (void)state;
    struct control_fixture c;
    struct ctl_job j;

    fixture_start(&c);
    run_ctl(&c, "galenastepctl -k %K -c %C cost", &j);
    assert_int_equal(j.code, CTL_OK);
    assert_string_equal(j.out, "database      cost\n"
                               "names, \"old\"  1\n"
                               "x?y           22\n");
    ctl_job_clear(&j);
    run_ctl(&c, "galenastepctl -k %K -c %C cost --csv", &j);
    assert_string_equal(j.out, "database,cost\r\n"
                               "\"names, \"\"old\"\"\",1\r\n"
                               "x\033y,22\r\n");
    ctl_job_clear(&j);
    run_ctl(&c, "galenastepctl -k %K -c %C members", &j);
    assert_int_equal(j.code, CTL_OK);
    unsigned lines = 0;
    for (const char *s = j.out; *s; s++) {
        lines += *s == '\n';
    }
    assert_int_equal(lines, LARGE_ROWS + 1);
    assert_non_null(strstr(j.out, "\n4999  "));
    ctl_job_clear(&j);
    fixture_stop(&c);
}

/* Guards against wrong exit codes and misleading messages. */
static void
test_exit_codes(void **state)
{
    (void)state;
    static const struct {
        const char *line;
        int code;
        const char *text; /* part of standard error or output */
    } cases[] = {
        {"galenastepctl --version", CTL_OK, "galenastepctl 0."},
        {"galenastepctl -k %K -c %C", CTL_USAGE, "no command"},
        {"galenastepctl -k %K -c %C nonsense", CTL_USAGE, "unknown command"},
        {"galenastepctl -k %K -c %C ticket show x", CTL_USAGE, "number"},
        {"galenastepctl -c %C status", CTL_USAGE, "--key-file"},
        {"galenastepctl -k /nonexistent -c %C status", CTL_USAGE, "key-file"},
        {"galenastepctl -k %K -c localhost:1 status", CTL_USAGE, "IP number"},
        {"galenastepctl -k %K -c 127.83.17.5:1 drain", CTL_NO_CONNECTION,
         "step=drain peer=127.83.17.5:1 cannot connect"},
        {"galenastepctl -k %K -c 127.83.17.5:1 ticket list", CTL_NO_CONNECTION,
         "step=ticket-list peer"},
        {"galenastepctl -k %K -c 127.83.17.5:1 ticket status",
         CTL_NO_CONNECTION, "step=ticket-status peer"},
        {"galenastepctl -k %K -c 127.83.17.5:1 -c %C cost", CTL_OK, "x?y"},
        {"galenastepctl -k %K -c %C status", CTL_FAILED, "not offered"},
        {"galenastepctl -k %K -c %C drain", CTL_FAILED, "not offered"},
        {"galenastepctl -k %K -c %C log-level loud", CTL_USAGE, "level must"},
        {"galenastepctl -k %K -c %C log-level info", CTL_OK, "info"},
        {"galenastepctl -k %K -c %C --author amina ticket submit %T", CTL_OK,
         "accepted 7"},
        {"galenastepctl -k %K -c %C --author amina ticket submit %T",
         CTL_CONFLICT, "taken by juma"},
        {"galenastepctl -k %K -c %C ticket status", CTL_OK, "no"},
        {"galenastepctl -k %K -c %C -t 60000 ticket status --wait", CTL_OK,
         "p1     yes"},
    };
    struct control_fixture c;
    struct ctl_job j;

    fixture_start(&c);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        run_ctl(&c, cases[i].line, &j);
        if (j.code != cases[i].code ||
            (!strstr(j.out, cases[i].text) && !strstr(j.err, cases[i].text))) {
            fail_msg("%s: exit %d, output '%s', error '%s'", cases[i].line,
                     j.code, j.out, j.err);
        }
        ctl_job_clear(&j);
    }
    /* The message for a wrong key says so. */
    assert_true(g_file_set_contents(c.key_path, KEY_B "\n", -1, NULL));
    run_ctl(&c, "galenastepctl -k %K -c %C cost", &j);
    assert_int_equal(j.code, CTL_FAILED);
    assert_non_null(strstr(j.err, "denied (check the key file"));
    ctl_job_clear(&j);
    fixture_stop(&c);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_tables),
        cmocka_unit_test(test_exit_codes),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

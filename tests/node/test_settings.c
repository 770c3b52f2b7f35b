#include "node/settings.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

static const char good[] =
    "[proxy]\nname = n1\nfailure_domain = a\nhost = 10.1.0.8\n"
    "listen = 10.1.0.8:8784\nready_listen = 10.1.0.8:8785\n"
    "peer_port = 7440\nmetrics_port = 7455\n[peers]\n"
    "key = 0123456789abcdef0123456789abcdef\n[store]\n"
    "address = 10.200.1.7:8783\n[orders]\naddress = 10.200.0.160:8783\n"
    "[limits]\ngrace_ms = 6000\n";

/* Loads settings from a text. Returns NULL or an error, which the caller
   frees. */
static char *
load(const char *text, struct node_settings *out)
{
    char *error = NULL;
    char *path = NULL;
    const int fd = g_file_open_tmp("settings.XXXXXX", &path, NULL);

    close(fd);
    g_file_set_contents(path, text, -1, NULL);
    const bool ok = node_settings_load(path, out, &error);
    assert_int_equal(ok, error == NULL);
    unlink(path);
    g_free(path);
    return error;
}

/* Guards against values that are read wrongly or into the wrong field. */
static void
test_good_settings(void **state)
{
    struct node_settings s;

    (void)state;
    assert_null(load(good, &s));
    assert_string_equal(s.name, "n1");
    assert_string_equal(s.store.host, "10.200.1.7");
    assert_int_equal(s.store.port, 8783);
    assert_int_equal(s.peer_port, 7440);
    assert_string_equal(s.key, "0123456789abcdef0123456789abcdef");
    assert_int_equal(s.grace_ms, 6000);
}

/* Guards against a grace period with a fraction, which the platform may set,
   that keeps the process from starting. */
static void
test_grace_in_seconds(void **state)
{
    static const struct {
        const char *line;
        int64_t ms; /* 0 if it is refused */
    } cases[] = {
        {"grace_s = 6", 6000},    {"grace_s = 2.5", 2500},
        {"grace_s = 0.75", 750},  {"grace_s = 6.0", 6000},
        {"grace_s = 0.5", 500},   {"grace_s = 0.499", 0},
        {"grace_ms = 500", 500},  {"grace_ms = 499", 0},
        {"grace_s = 0", 0},       {"grace_s = -1", 0},
        {"grace_s = 1e9", 0},     {"grace_s = nan", 0},
        {"grace_s = 6s", 0},      {"grace_s =", 0},
        {"grace_ms = 2.5000", 0}, {"grace_s = 6\ngrace_ms = 6000", 0},
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct node_settings s;
        char **parts = g_strsplit(good, "grace_ms = 6000", 2);
        char *text = g_strconcat(parts[0], cases[i].line, parts[1], NULL);
        char *error = load(text, &s);
        assert_int_equal(error == NULL, cases[i].ms != 0);
        if (error == NULL) {
            assert_int_equal(s.grace_ms, cases[i].ms);
        }
        else {
            assert_non_null(strstr(error, "grace_"));
        }
        g_free(error);
        g_free(text);
        g_strfreev(parts);
    }
}

/* Guards against accepting a file with a missing or invalid key, and against
   an error message that does not name the key. */
static void
test_bad_settings(void **state)
{
    static const struct {
        const char *from;
        const char *to;
        const char *named;
    } changes[] = {
        {"name = n1\n", "", "[proxy] name"},
        {"listen = 10.1.0.8:8784", "listen = 10.1.0.8", "[proxy] listen"},
        {"peer_port = 7440", "peer_port = 0", "[proxy] peer_port"},
        {"peer_port = 7440", "peer_port = 70000", "[proxy] peer_port"},
        {"metrics_port = 7455", "metrics_port = x", "[proxy] metrics_port"},
        {"key = 0123456789abcdef0123456789abcdef", "", "[peers] key"},
        {"address = 10.200.1.7:8783", "address =", "[store] address"},
        {"grace_ms = 6000", "grace_ms = -1", "[limits] grace_ms"},
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(changes); i++) {
        struct node_settings s;
        char **parts = g_strsplit(good, changes[i].from, 2);
        char *text = g_strconcat(parts[0], changes[i].to, parts[1], NULL);
        char *error = load(text, &s);
        assert_non_null(error);
        assert_non_null(strstr(error, changes[i].named));
        g_free(error);
        g_free(text);
        g_strfreev(parts);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_good_settings),
        cmocka_unit_test(test_grace_in_seconds),
        cmocka_unit_test(test_bad_settings),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

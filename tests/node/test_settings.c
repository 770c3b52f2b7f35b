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

/* Loads the good settings with lines added to the group [proxy] and a group
   [accounts] with lines. Returns NULL or an error, which the caller frees. */
static char *
load_with(const char *proxy, const char *accounts, struct node_settings *out)
{
    char **parts = g_strsplit(good, "[peers]", 2);
    char *text = g_strconcat(parts[0], proxy, "\n[peers]", parts[1],
                             "[accounts]\n", accounts, "\n", NULL);
    char *error = load(text, out);

    g_free(text);
    g_strfreev(parts);
    return error;
}

/* Guards against a file of an earlier build, which lacks the keys, or one with
   values that the platform does not provide, that keeps the process from
   starting or changes what it does. */
static void
test_missing_and_empty_account_settings(void **state)
{
    struct node_settings s;

    (void)state;
    for (int i = 0; i < 2; i++) {
        if (i == 0) {
            assert_null(load(good, &s));
        }
        else {
            assert_null(load_with("limits_port = ",
                                  "strict_revocation =\nrevocation_ms =\n"
                                  "rate_window_s = \nrate_excess =\n"
                                  "rate_slack =",
                                  &s));
        }
        assert_false(s.strict_revocation);
        assert_int_equal(s.revocation_ms, 5000);
        assert_int_equal(s.rate_window_ms, 5000);
        assert_int_equal(s.rate_excess_permille, 0);
        assert_int_equal(s.rate_slack, 0);
        assert_int_equal(s.limits_port, 0);
    }
}

/* Guards against values that are read in another unit or into the wrong
   field. */
static void
test_account_settings(void **state)
{
    struct node_settings s;

    (void)state;
    assert_null(load_with("limits_port = 7662",
                          "strict_revocation = true\nrevocation_ms = 6000\n"
                          "rate_window_s = 2.5\nrate_excess = 0.1\n"
                          "rate_slack = 20",
                          &s));
    assert_true(s.strict_revocation);
    assert_int_equal(s.revocation_ms, 6000);
    assert_int_equal(s.rate_window_ms, 2500);
    assert_int_equal(s.rate_excess_permille, 100);
    assert_int_equal(s.rate_slack, 20);
    assert_int_equal(s.limits_port, 7662);
    assert_null(load_with("", "strict_revocation = False", &s));
    assert_false(s.strict_revocation);
    assert_null(load_with("", "strict_revocation = True", &s));
    assert_true(s.strict_revocation);
}

/* Guards against an invalid value that is replaced by the default, which would
   silently disable a guarantee, and against an error that does not name the
   key. */
static void
test_bad_account_settings(void **state)
{
    static const struct {
        const char *proxy;
        const char *accounts;
        const char *named;
    } cases[] = {
        {"", "strict_revocation = maybe", "[accounts] strict_revocation"},
        {"", "revocation_ms = 3999", "[accounts] revocation_ms"},
        {"", "revocation_ms = 5s", "[accounts] revocation_ms"},
        {"", "revocation_ms = nan", "[accounts] revocation_ms"},
        {"", "rate_window_s = 0", "[accounts] rate_window_s"},
        {"", "rate_window_s = -1", "[accounts] rate_window_s"},
        {"", "rate_excess = -0.1", "[accounts] rate_excess"},
        {"", "rate_excess = 1e9", "[accounts] rate_excess"},
        {"", "rate_slack = x", "[accounts] rate_slack"},
        {"", "rate_slack = -1", "[accounts] rate_slack"},
        {"limits_port = 70000", "", "[proxy] limits_port"},
        {"limits_port = x", "", "[proxy] limits_port"},
    };

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct node_settings s;
        char *error = load_with(cases[i].proxy, cases[i].accounts, &s);
        assert_non_null(error);
        assert_non_null(strstr(error, cases[i].named));
        g_free(error);
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
        cmocka_unit_test(test_missing_and_empty_account_settings),
        cmocka_unit_test(test_account_settings),
        cmocka_unit_test(test_bad_account_settings),
        cmocka_unit_test(test_bad_settings),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

#include "settings/settings.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <unistd.h>

#include <cmocka.h>

/* Loads settings with one database of three members and 16 connections, a
   floor of 1 and the given number of peers; returns the error or NULL. */
static char *
load_with_peers(int peers)
{
    GString *text = g_string_new(NULL);
    char *key = NULL;
    char *path = NULL;
    char *error = NULL;
    int fd = g_file_open_tmp("galenastep-key-XXXXXX", &key, NULL);

    assert_true(fd >= 0);
    close(fd);
    assert_true(g_file_set_contents(key, "0123456789abcdef0123456789abcdef\n",
                                    -1, NULL));
    fd = g_file_open_tmp("galenastep-settings-XXXXXX", &path, NULL);
    assert_true(fd >= 0);
    close(fd);
    g_string_append_printf(
        text,
        "[proxy]\nid=1\nname=proxy-1\nfailure_domain=d0\n"
        "listen=127.0.0.1:6000\ncontrol_listen=127.0.0.1:7000\n\n"
        "[kind lookup]\nclass=short\npriority=1\n\n"
        "[database names]\n"
        "members=127.0.0.1:5401,127.0.0.1:5402,127.0.0.1:5403\n"
        "domains=d0,d1,d2\nconnections=16\nfloor=1\n\n"
        "[peers]\nkey_file=%s\n",
        key);
    for (int i = 0; i < peers; i++) {
        g_string_append_printf(text, "%d=127.0.0.1:%d d%d\n", i + 2, 7001 + i,
                               i % 3);
    }
    assert_true(g_file_set_contents(path, text->str, -1, NULL));
    settings_free(settings_load(path, &error));
    g_unlink(path);
    g_unlink(key);
    g_free(path);
    g_free(key);
    g_string_free(text, TRUE);
    return error;
}

/* Guards against floors of all proxies that together exceed the connections of
   a database. With 3 members and 16 connections, 5 proxies (15) are accepted
   and 6 (18) are refused with an error that names the database. */
static void
test_floors_of_all_proxies(void **state)
{
    (void)state;
    char *error = load_with_peers(4);

    if (error) {
        fail_msg("%s", error);
    }
    error = load_with_peers(5);
    assert_non_null(error);
    assert_non_null(g_strrstr(error, "[database names] floor: "));
    g_free(error);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_floors_of_all_proxies),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

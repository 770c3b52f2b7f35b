#include "base/http_server.h"
#include "member_rows.h"
#include "table_cache.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

/* The table of members, read from a store on the loopback interface, with
   entries that another writer has left there. */

#define HOST "127.0.0.1"
/* Ends a run that hangs; the results do not depend on it otherwise. */
#define WATCHDOG_S 30.0
#define NESTED_LEVELS 100000
#define LATER_MEMBER "i-later"
#define MEMBER_JSON                                                           \
    "{\"service\":\"s1\",\"addr\":\"127.0.0.9:1\",\"zone\":\"z\","            \
    "\"slots\":2,\"state\":\"ready\",\"db_role\":\"replica\"%s}"

struct fixture {
    struct ev_loop *loop;
    struct http_server *server;
    struct store *store;
    struct table_cache *table;
    struct member_rows *rows;
    struct traffic traffic;
    GString *page;       /* rows of the first read, as JSON */
    GString *changes;    /* rows of the feed */
    GString *later_page; /* rows of reads after a feed request, if any */
    GArray *members;     /* after the last change */
    ev_timer watchdog;
};

/* Appends a row. key is part of a JSON text, value is any text. */
static void
add_row(GString *rows, const char *key, const char *value, size_t n)
{
    char *encoded = g_base64_encode((const guchar *)value, n);

    g_string_append_printf(rows,
                           "%s{\"table\":\"servers\",\"part\":\"\","
                           "\"key\":\"%s\",\"value\":\"%s\","
                           "\"row_version\":%u}",
                           rows->len > 0 ? "," : "", key, encoded,
                           (unsigned)rows->len + 1);
    g_free(encoded);
}

/* Appends the row of a member, with further fields. */
static void
add_member(GString *rows, const char *key, const char *fields)
{
    char *value = g_strdup_printf(MEMBER_JSON, fields);

    add_row(rows, key, value, strlen(value));
    g_free(value);
}

/* Appends an entry for each kind of mistake that was reported, and more. */
static void
add_odd_rows(GString *rows)
{
    static const char *const odd_fields[] = {
        ",\"cold_left_ms\":1e999",
        ",\"cold_left_ms\":-1e999",
        ",\"seq\":123456789012345678901234567890",
        ",\"seq\":-123456789012345678901234567890",
        ",\"slots\":1.5",
        ",\"slots\":0",
        ",\"slots\":-1",
        ",\"slots\":9223372036854775807",
        ",\"addr\":\"127.0.0.9:65536\"",
        ",\"addr\":\"127.0.0.9:0\"",
        ",\"addr\":\"127.0.0.9:-1\"",
        ",\"addr\":\"127.0.0.9:1e3\"",
        ",\"addr\":\"127.0.0.9\"",
        ",\"addr\":\"localhost:80\"",
        ",\"addr\":\"127.0.0.999:80\"",
        ",\"addr\":\":80\"",
        ",\"addr\":7",
        ",\"state\":\"asleep\"",
        ",\"db_role\":\"witness\"",
        ",\"db_role\":null",
        ",\"service\":\"\"",
        ",\"zone\":\"a b\"",
        ",\"zone\":\"\\u0000\"",
    };
    const size_t opening = strlen("{\"a\":");
    GString *nested = g_string_new(NULL);
    char key[32];

    for (size_t i = 0; i < G_N_ELEMENTS(odd_fields); i++) {
        g_snprintf(key, sizeof(key), "odd-%zu", i);
        add_member(rows, key, odd_fields[i]);
    }
    g_string_set_size(nested, NESTED_LEVELS);
    memset(nested->str, '[', NESTED_LEVELS);
    add_row(rows, "nested-array", nested->str, nested->len);
    g_string_truncate(nested, 0);
    for (size_t i = 0; i < NESTED_LEVELS / opening; i++) {
        g_string_append(nested, "{\"a\":");
    }
    add_row(rows, "nested-object", nested->str, nested->len);
    g_string_free(nested, TRUE);
    add_row(rows, "not-utf8", "{\"service\":\"\xff\xfe\"}", 17);
    add_row(rows, "zeros", "\0\0\0", 3);
    add_row(rows, "empty", "", 0);
    add_row(rows, "list", "[1,2]", 5);
    add_row(rows, "line\\nend", "{}", 2);
    add_row(rows, "", "{}", 2);
    add_member(rows, "zero\\u0000inside", "");
    g_string_append(rows, ",{\"table\":\"servers\",\"part\":\"\"}"
                          ",{\"key\":7,\"row_version\":1},7,null"
                          ",{\"key\":\"no-value\",\"row_version\":2}");
}

/* Answers reads with the page, the first feed request with the changes, and
   later ones with 503. */
static int
on_request(void *ctx, const char *path, GString *body)
{
    struct fixture *f = ctx;
    const bool feed = strstr(path, "rows-feed") != NULL;

    if (feed && f->changes->len == 0) {
        return 503;
    }
    g_string_printf(body,
                    "{\"rows\":[%s],\"has_more\":false,\"row_version\":%d}",
                    feed ? f->changes->str : f->page->str, feed ? 999999 : 1);
    if (feed) {
        g_string_truncate(f->changes, 0);
        if (f->later_page->len > 0) {
            g_string_assign(f->page, f->later_page->str);
        }
    }
    return 200;
}

static bool
has_member(const struct fixture *f, const char *id)
{
    for (guint i = 0; f->members != NULL && i < f->members->len; i++) {
        if (strcmp(g_array_index(f->members, struct member_entry, i).id, id) ==
            0) {
            return true;
        }
    }
    return false;
}

static void
on_changed(void *ctx)
{
    struct fixture *f = ctx;

    if (f->members != NULL) {
        g_array_free(f->members, TRUE);
    }
    f->members = member_rows_decode(f->rows, f->table);
    if (has_member(f, LATER_MEMBER)) {
        ev_break(f->loop, EVBREAK_ALL);
    }
}

static void
on_watchdog(struct ev_loop *loop, ev_timer *w, int revents)
{
    (void)w;
    (void)revents;
    ev_break(loop, EVBREAK_ALL);
}

static uint16_t
free_port(void)
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    socklen_t size = sizeof(at);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);

    assert_int_equal(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&at, &size), 0);
    close(fd);
    return ntohs(at.sin_port);
}

static void
setup(struct fixture *f)
{
    struct endpoint at = {.host = HOST, .port = free_port()};
    char *error = NULL;

    memset(f, 0, sizeof(*f));
    f->loop = ev_loop_new(EVFLAG_AUTO);
    f->page = g_string_new(NULL);
    f->changes = g_string_new(NULL);
    f->later_page = g_string_new(NULL);
    f->rows = member_rows_create();
    f->server =
        http_server_create(f->loop, HOST, at.port, on_request, f, &error);
    assert_null(error);
    f->store = store_create(f->loop, &at, &at, &f->traffic);
}

static void
teardown(struct fixture *f)
{
    store_destroy(f->store);
    table_cache_destroy(f->table);
    http_server_destroy(f->server);
    member_rows_destroy(f->rows);
    if (f->members != NULL) {
        g_array_free(f->members, TRUE);
    }
    g_string_free(f->page, TRUE);
    g_string_free(f->changes, TRUE);
    g_string_free(f->later_page, TRUE);
    ev_loop_destroy(f->loop);
}

/* Reads the table and follows it until the later member is there. */
static void
run(struct fixture *f)
{
    const struct table_cache_config config = {
        .table = "servers",
        .feed_wait_ms = 1000,
        .batch_delay_ms = 10,
        .batch_delay_max_ms = 10,
        .changed = on_changed,
        .ctx = f,
    };

    f->table = table_cache_create(f->loop, f->store, &config);
    ev_timer_init(&f->watchdog, on_watchdog, WATCHDOG_S, 0.0);
    ev_timer_start(f->loop, &f->watchdog);
    ev_run(f->loop, 0);
    ev_timer_stop(f->loop, &f->watchdog);
}

/* Guards against an odd entry that ends the process, or hides the members
   whose entries are in order, at the start. */
static void
test_odd_entries_in_the_first_read(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    add_member(f.page, "i-first", "");
    add_odd_rows(f.page);
    add_member(f.page, "i-last", "");
    add_member(f.changes, LATER_MEMBER, "");
    run(&f);
    assert_non_null(f.members);
    assert_int_equal(f.members->len, 3);
    assert_true(has_member(&f, "i-first"));
    assert_true(has_member(&f, "i-last"));
    assert_true(has_member(&f, LATER_MEMBER));
    teardown(&f);
}

/* Guards against odd entries after which the list is followed no longer. */
static void
test_odd_entries_in_the_feed(void **state)
{
    struct fixture f;

    (void)state;
    setup(&f);
    add_member(f.page, "i-first", "");
    add_odd_rows(f.changes);
    add_member(f.changes, LATER_MEMBER, "");
    run(&f);
    assert_non_null(f.members);
    assert_int_equal(f.members->len, 2);
    assert_true(has_member(&f, "i-first"));
    assert_true(has_member(&f, LATER_MEMBER));
    teardown(&f);
}

/* Guards against changes that exceed the size limit of a response, after which
   the same feed request would be repeated for ever. */
static void
test_feed_over_the_size_limit(void **state)
{
    struct fixture f;
    char *large = g_malloc0(65536);

    (void)state;
    setup(&f);
    add_member(f.page, "i-first", "");
    for (int i = 0; i < 9; i++) {
        add_row(f.changes, "large", large, 65536);
    }
    add_member(f.later_page, LATER_MEMBER, "");
    run(&f);
    assert_true(has_member(&f, LATER_MEMBER));
    g_free(large);
    teardown(&f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_odd_entries_in_the_first_read),
        cmocka_unit_test(test_odd_entries_in_the_feed),
        cmocka_unit_test(test_feed_over_the_size_limit),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

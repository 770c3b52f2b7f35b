#include "cloud/client.h"

#include "base/clock.h"
#include "platform.h"

#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <curl/curl.h>

/* Ends a run that got stuck; no assertion depends on it. */
#define GUARD_S 60.

static struct ev_loop *loop;
static struct fake_platform *fake;
static struct cloud_client *client;
static char base[64];

/* The last result, copied. */
static struct {
    int calls;
    int refused; /* with reason "rate" */
    enum cloud_outcome outcome;
    int status;
    char reason[32];
    size_t n_rows, n_vms, n_body;
    char key[64], value[64];
    bool leaving, too_large;
    bool free_client;
} got;

static void
on_done(void *ctx, const struct cloud_result *r)
{
    (void)ctx;
    got.calls++;
    got.outcome = r->outcome;
    got.status = r->status;
    g_strlcpy(got.reason, r->reason ? r->reason : "", sizeof(got.reason));
    got.refused += strcmp(got.reason, "rate") == 0;
    got.n_rows = r->n_rows;
    got.n_vms = r->n_vms;
    got.n_body = r->n_body;
    got.key[0] = got.value[0] = '\0';
    if (r->n_rows > 0) {
        g_strlcpy(got.key, r->rows[0].key, sizeof(got.key));
        g_strlcpy(got.value, r->rows[0].value, sizeof(got.value));
    }
    got.too_large = r->too_large;
    got.leaving = r->n_vms > 0 && r->vms[0].leaving;
    if (got.free_client) {
        cloud_client_free(client);
        client = NULL;
    }
    ev_break(loop, EVBREAK_ONE);
}

static void
on_guard(struct ev_loop *l, ev_timer *timer, int events)
{
    (void)timer;
    (void)events;
    ev_break(l, EVBREAK_ONE);
}

/* Runs the loop until n results were seen in all. */
static void
wait_calls(int n)
{
    ev_timer guard;

    ev_timer_init(&guard, on_guard, GUARD_S, 0.);
    ev_timer_start(loop, &guard);
    while (got.calls < n && ev_is_active(&guard)) {
        ev_run(loop, 0);
    }
    ev_timer_stop(loop, &guard);
    assert_int_equal(got.calls, n);
}

/* Runs the loop until the next result. */
static void
wait_done(void)
{
    wait_calls(got.calls + 1);
}

/* Creates a client for the stand-in at base. */
static struct cloud_client *
connect_client(int timeout_ms, int rate)
{
    char *table = g_strconcat(base, "/table", NULL);
    char *object = g_strconcat(base, "/object", NULL);
    char *vms = g_strconcat(base, "/vms", NULL);
    const struct platform_settings s = {.table_url = table,
                                        .object_url = object,
                                        .vms_url = vms,
                                        .timeout_ms = timeout_ms,
                                        .rate = rate};
    struct cloud_client *c = cloud_client_new(loop, &s, 1);

    g_free(table);
    g_free(object);
    g_free(vms);
    return c;
}

static int
setup(void **state)
{
    (void)state;
    memset(&got, 0, sizeof(got));
    loop = ev_loop_new(0);
    fake = fake_platform_start(0);
    (void)g_snprintf(base, sizeof(base), "http://127.0.0.1:%d",
                     fake_platform_port(fake));
    client = connect_client(5000, 1000);
    return 0;
}

static int
teardown(void **state)
{
    (void)state;
    cloud_client_free(client);
    fake_platform_stop(fake);
    ev_loop_destroy(loop);
    return 0;
}

/* Sends a PUT outside of the client under test. */
static void
put(const char *path, const char *body)
{
    CURL *easy = curl_easy_init();
    char *url = g_strconcat(base, path, NULL);
    FILE *null = fopen("/dev/null", "w");

    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "PUT");
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, null);
    assert_int_equal(curl_easy_perform(easy), CURLE_OK);
    curl_easy_cleanup(easy);
    (void)fclose(null);
    g_free(url);
}

/* Guards against a conditional insert that overwrites, and against keys and
   values that change on the way. */
static void
test_insert_get_list(void **state)
{
    (void)state;
    cloud_table_insert(client, "t", "k 1", "a\n\"b\"", 0, on_done, NULL);
    wait_done();
    assert_int_equal(got.status, 201);
    cloud_table_insert(client, "t", "k 1", "other", 0, on_done, NULL);
    wait_done();
    assert_int_equal(got.outcome, CLOUD_DONE);
    assert_int_equal(got.status, 412);
    assert_string_equal(got.value, "a\n\"b\"");
    cloud_table_get(client, "t", "k 2", 0, on_done, NULL);
    wait_done();
    assert_int_equal(got.status, 404);
    cloud_table_put(client, "t", "k 2", "x", 0, on_done, NULL);
    wait_done();
    cloud_table_put(client, "u", "k 3", "x", 0, on_done, NULL);
    wait_done();
    cloud_table_list(client, "t", "", 10, 0, on_done, NULL);
    wait_done();
    assert_int_equal(got.n_rows, 2);
    assert_string_equal(got.key, "k 1");
    cloud_table_list(client, "t", "k 1", 10, 0, on_done, NULL);
    wait_done();
    assert_int_equal(got.n_rows, 1);
    assert_string_equal(got.key, "k 2");
}

/* Guards against a lost answer to a write that is reported as not done, and
   against an unknown outcome for a read, which has no effect. */
static void
test_lost_answer_is_unknown(void **state)
{
    (void)state;
    put("/fault", "{\"lose_answers\":true}");
    cloud_table_insert(client, "t", "k", "v", 0, on_done, NULL);
    wait_done();
    assert_int_equal(got.outcome, CLOUD_UNKNOWN);
    cloud_table_get(client, "t", "k", 0, on_done, NULL);
    wait_done();
    assert_int_equal(got.outcome, CLOUD_NOT_DONE);
    assert_int_equal(cloud_client_counters(client)->retry_transport, 2);
    put("/fault", "{\"lose_answers\":false}");
    cloud_table_get(client, "t", "k", 0, on_done, NULL);
    wait_done();
    assert_string_equal(got.value, "v");
}

/* Guards against an outage that is not retried, not counted, or reported as
   anything but not done. */
static void
test_outage_is_not_done(void **state)
{
    (void)state;
    put("/fault", "{\"down\":true}");
    cloud_table_insert(client, "t", "k", "v", 0, on_done, NULL);
    wait_done();
    assert_int_equal(got.outcome, CLOUD_NOT_DONE);
    assert_int_equal(got.status, 503);
    assert_int_equal(cloud_client_counters(client)->retry_status, 2);
    put("/fault", "{\"down\":false}");
    /* A port that is bound without a listener: nothing is sent. Holding it
       keeps other programs from taking it meanwhile. */
    struct sockaddr_in a = {.sin_family = AF_INET};
    socklen_t n = sizeof(a);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    assert_int_equal(bind(fd, (struct sockaddr *)&a, sizeof(a)), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&a, &n), 0);
    (void)g_snprintf(base, sizeof(base), "http://127.0.0.1:%d",
                     ntohs(a.sin_port));
    cloud_client_free(client);
    client = connect_client(5000, 1000);
    cloud_table_insert(client, "t", "k", "v", 2, on_done, NULL);
    wait_done();
    assert_int_equal(got.outcome, CLOUD_NOT_DONE);
    assert_string_equal(got.reason, "connect");
    close(fd);
}

/* Guards against waiting for ever on a service that does not answer, and
   against calling that "not done" for a write. */
static void
test_silent_service_times_out(void **state)
{
    (void)state;
    cloud_client_free(client);
    client = connect_client(1000, 1000);
    put("/fault", "{\"delay_ms\":3000}");
    cloud_table_insert(client, "t", "k", "v", 0, on_done, NULL);
    wait_done();
    assert_int_equal(got.outcome, CLOUD_UNKNOWN);
    assert_string_equal(got.reason, "timeout");
}

/* Guards against answers that take memory without a bound. */
static void
test_answer_is_bounded(void **state)
{
    (void)state;
    char *value = g_strnfill(900000, 'x');

    cloud_table_put(client, "t", "a", value, 0, on_done, NULL);
    wait_done();
    cloud_table_put(client, "t", "b", value, 0, on_done, NULL);
    wait_done();
    cloud_table_list(client, "t", "", 2, 0, on_done, NULL);
    wait_done();
    assert_int_equal(got.outcome, CLOUD_NOT_DONE);
    assert_true(got.too_large);
    assert_int_equal(cloud_client_counters(client)->answer_too_large, 1);
    cloud_object_put(client, "o", value, 900000, 0, on_done, NULL);
    wait_done();
    cloud_object_get(client, "o", 0, on_done, NULL);
    wait_done();
    assert_int_equal(got.n_body, 900000);
    g_free(value);
}

/* Guards against a proxy that exceeds its share of the store's requests. The
   bucket of two holds two requests; later ones are refused and counted. */
static void
test_rate_is_limited(void **state)
{
    (void)state;
    cloud_client_free(client);
    client = connect_client(5000, 2);
    for (int i = 0; i < 50; i++) {
        cloud_table_get(client, "t", "k", 0, on_done, NULL);
    }
    wait_calls(50);
    assert_true(got.refused > 0);
    assert_int_equal(cloud_client_counters(client)->refused_rate, got.refused);
}

/* Guards against callbacks after a cancel or a free, and against leaks when
   the client is freed with requests in flight or inside a callback. */
static void
test_cancel_and_free(void **state)
{
    (void)state;
    uint64_t id = cloud_table_get(client, "t", "a", 0, on_done, NULL);

    cloud_cancel(client, id);
    cloud_cancel(client, id);
    cloud_table_get(client, "t", "b", 0, on_done, NULL);
    wait_done();
    cloud_table_get(client, "t", "c", 0, on_done, NULL);
    cloud_client_free(client);
    client = connect_client(5000, 1000);
    got.free_client = true;
    cloud_table_get(client, "t", "d", 0, on_done, NULL);
    cloud_table_get(client, "t", "e", 0, on_done, NULL);
    wait_done();
    assert_null(client);
    ev_run(loop, 0); /* completes the free; nothing else is left */
    assert_int_equal(got.calls, 2);
}

/* Guards against a leaving VM that is read as live, and against a list that
   is taken although an entry cannot be read. */
static void
test_vm_list(void **state)
{
    (void)state;
    put("/vms", "{\"vms\":[{\"name\":\"p1\",\"address\":\"127.0.0.1\","
                "\"failure_domain\":\"d1\",\"state\":\"leaving\"}]}");
    cloud_vms(client, 0, on_done, NULL);
    wait_done();
    assert_int_equal(got.n_vms, 1);
    assert_true(got.leaving);
    /* With a lag the newer list is not shown yet. */
    put("/fault", "{\"vms_lag_ms\":10000000}");
    cloud_vms(client, 0, on_done, NULL);
    wait_done();
    assert_int_equal(got.n_vms, 0);
    put("/fault", "{\"vms_lag_ms\":0}");
    put("/vms", "{\"vms\":[{\"name\":\"p1\",\"state\":\"live\"}]}");
    cloud_vms(client, 0, on_done, NULL);
    wait_done();
    assert_int_equal(got.outcome, CLOUD_NOT_DONE);
    assert_string_equal(got.reason, "malformed");
}

#define CASE(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        CASE(test_insert_get_list),    CASE(test_lost_answer_is_unknown),
        CASE(test_outage_is_not_done), CASE(test_silent_service_times_out),
        CASE(test_answer_is_bounded),  CASE(test_rate_is_limited),
        CASE(test_cancel_and_free),    CASE(test_vm_list),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

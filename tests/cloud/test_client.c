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

/* Time limit of a wait; no assertion depends on it. */
#define WAIT_LIMIT_S 60.

static struct ev_loop *loop;
static struct fake_platform *fake;
static struct cloud_client *client;
static char base[64];

/* The last result, and counts of all results. */
static struct {
    int calls;
    int refused; /* results with reason "rate" */
    enum cloud_outcome outcome;
    int status;
    char reason[32];
    size_t n_rows, n_vms, n_body;
    char key[64], value[64];
    bool leaving, too_large;
    bool free_client;
} last_result;

static void
on_done(void *ctx, const struct cloud_result *r)
{
    (void)ctx;
    last_result.calls++;
    last_result.outcome = r->outcome;
    last_result.status = r->status;
    g_strlcpy(last_result.reason, r->reason ? r->reason : "",
              sizeof(last_result.reason));
    last_result.refused += strcmp(last_result.reason, "rate") == 0;
    last_result.n_rows = r->n_rows;
    last_result.n_vms = r->n_vms;
    last_result.n_body = r->n_body;
    last_result.key[0] = last_result.value[0] = '\0';
    if (r->n_rows > 0) {
        g_strlcpy(last_result.key, r->rows[0].key, sizeof(last_result.key));
        g_strlcpy(last_result.value, r->rows[0].value,
                  sizeof(last_result.value));
    }
    last_result.too_large = r->too_large;
    last_result.leaving = r->n_vms > 0 && r->vms[0].leaving;
    if (last_result.free_client) {
        cloud_client_destroy(client);
        client = NULL;
    }
    ev_break(loop, EVBREAK_ONE);
}

static void
on_time_limit(struct ev_loop *l, ev_timer *timer, int events)
{
    (void)timer;
    (void)events;
    ev_break(l, EVBREAK_ONE);
}

/* Runs the loop until done has been called n times in total. */
static void
wait_for_calls(int n)
{
    ev_timer time_limit;

    ev_timer_init(&time_limit, on_time_limit, WAIT_LIMIT_S, 0.);
    ev_timer_start(loop, &time_limit);
    while (last_result.calls < n && ev_is_active(&time_limit)) {
        ev_run(loop, 0);
    }
    ev_timer_stop(loop, &time_limit);
    assert_int_equal(last_result.calls, n);
}

/* Runs the loop until done is called again. */
static void
wait_for_result(void)
{
    wait_for_calls(last_result.calls + 1);
}

/* Creates a client of the fake platform, whose URL is base. */
static struct cloud_client *
connect_client(int timeout_ms, int rate)
{
    char *table = g_strconcat(base, "/table", NULL);
    char *object = g_strconcat(base, "/object", NULL);
    char *vms = g_strconcat(base, "/vms", NULL);
    const struct cloud_settings s = {.table_url = table,
                                     .object_url = object,
                                     .vms_url = vms,
                                     .timeout_ms = timeout_ms,
                                     .rate = rate};
    struct cloud_client *c = cloud_client_create(loop, &s, 1);

    g_free(table);
    g_free(object);
    g_free(vms);
    return c;
}

static int
setup(void **state)
{
    (void)state;
    memset(&last_result, 0, sizeof(last_result));
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
    cloud_client_destroy(client);
    fake_platform_stop(fake);
    ev_loop_destroy(loop);
    return 0;
}

/* Sends a PUT to the fake platform without the client under test. */
static void
send_put(const char *path, const char *body)
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

/* Guards against a conditional insert that overwrites a row, and against keys
   and values altered by encoding or escaping. */
static void
test_insert_get_list(void **state)
{
    (void)state;
    cloud_table_insert(client, "t", "k 1", "a\n\"b\"", 0, on_done, NULL);
    wait_for_result();
    assert_int_equal(last_result.status, 201);
    cloud_table_insert(client, "t", "k 1", "other", 0, on_done, NULL);
    wait_for_result();
    assert_int_equal(last_result.outcome, CLOUD_DONE);
    assert_int_equal(last_result.status, 412);
    assert_string_equal(last_result.value, "a\n\"b\"");
    cloud_table_get(client, "t", "k 2", 0, on_done, NULL);
    wait_for_result();
    assert_int_equal(last_result.status, 404);
    cloud_table_put(client, "t", "k 2", "x", 0, on_done, NULL);
    wait_for_result();
    cloud_table_put(client, "u", "k 3", "x", 0, on_done, NULL);
    wait_for_result();
    cloud_table_list(client, "t", "", 10, 0, on_done, NULL);
    wait_for_result();
    assert_int_equal(last_result.n_rows, 2);
    assert_string_equal(last_result.key, "k 1");
    cloud_table_list(client, "t", "k 1", 10, 0, on_done, NULL);
    wait_for_result();
    assert_int_equal(last_result.n_rows, 1);
    assert_string_equal(last_result.key, "k 2");
}

/* Guards against reporting a write with a lost response as not done, and a
   read, which has no effect, as unknown. */
static void
test_lost_response_is_unknown(void **state)
{
    (void)state;
    send_put("/fault", "{\"lose_answers\":true}");
    cloud_table_insert(client, "t", "k", "v", 0, on_done, NULL);
    wait_for_result();
    assert_int_equal(last_result.outcome, CLOUD_UNKNOWN);
    cloud_table_get(client, "t", "k", 0, on_done, NULL);
    wait_for_result();
    assert_int_equal(last_result.outcome, CLOUD_NOT_DONE);
    assert_int_equal(cloud_client_counters(client)->retry_transport, 2);
    send_put("/fault", "{\"lose_answers\":false}");
    cloud_table_get(client, "t", "k", 0, on_done, NULL);
    wait_for_result();
    assert_string_equal(last_result.value, "v");
}

/* Guards against an outage that is not retried or counted, or whose requests
   are not reported as not done. */
static void
test_outage_is_not_done(void **state)
{
    (void)state;
    send_put("/fault", "{\"down\":true}");
    cloud_table_insert(client, "t", "k", "v", 0, on_done, NULL);
    wait_for_result();
    assert_int_equal(last_result.outcome, CLOUD_NOT_DONE);
    assert_int_equal(last_result.status, 503);
    assert_int_equal(cloud_client_counters(client)->retry_status, 2);
    send_put("/fault", "{\"down\":false}");
    /* Connecting to a port that is bound but does not listen is refused, so
       nothing is sent. Binding it keeps other programs from using it. */
    struct sockaddr_in a = {.sin_family = AF_INET};
    socklen_t n = sizeof(a);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    assert_int_equal(bind(fd, (struct sockaddr *)&a, sizeof(a)), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&a, &n), 0);
    (void)g_snprintf(base, sizeof(base), "http://127.0.0.1:%d",
                     ntohs(a.sin_port));
    cloud_client_destroy(client);
    client = connect_client(5000, 1000);
    cloud_table_insert(client, "t", "k", "v", 2, on_done, NULL);
    wait_for_result();
    assert_int_equal(last_result.outcome, CLOUD_NOT_DONE);
    assert_string_equal(last_result.reason, "connect");
    close(fd);
}

/* Guards against waiting forever for a service that does not respond, and
   against reporting a timed-out write as not done. */
static void
test_silent_service_times_out(void **state)
{
    (void)state;
    cloud_client_destroy(client);
    client = connect_client(1000, 1000);
    send_put("/fault", "{\"delay_ms\":3000}");
    cloud_table_insert(client, "t", "k", "v", 0, on_done, NULL);
    wait_for_result();
    assert_int_equal(last_result.outcome, CLOUD_UNKNOWN);
    assert_string_equal(last_result.reason, "timeout");
}

/* Guards against unbounded memory for responses. */
static void
test_response_size_is_limited(void **state)
{
    (void)state;
    char *value = g_strnfill(900000, 'x');

    cloud_table_put(client, "t", "a", value, 0, on_done, NULL);
    wait_for_result();
    cloud_table_put(client, "t", "b", value, 0, on_done, NULL);
    wait_for_result();
    cloud_table_list(client, "t", "", 2, 0, on_done, NULL);
    wait_for_result();
    assert_int_equal(last_result.outcome, CLOUD_NOT_DONE);
    assert_true(last_result.too_large);
    assert_int_equal(cloud_client_counters(client)->response_too_large, 1);
    cloud_object_put(client, "o", value, 900000, 0, on_done, NULL);
    wait_for_result();
    cloud_object_get(client, "o", 0, on_done, NULL);
    wait_for_result();
    assert_int_equal(last_result.n_body, 900000);
    g_free(value);
}

/* Guards against exceeding the proxy's share of requests to the store. The
   bucket holds two tokens, so later requests are refused and counted. */
static void
test_rate_is_limited(void **state)
{
    (void)state;
    cloud_client_destroy(client);
    client = connect_client(5000, 2);
    for (int i = 0; i < 50; i++) {
        cloud_table_get(client, "t", "k", 0, on_done, NULL);
    }
    wait_for_calls(50);
    assert_true(last_result.refused > 0);
    assert_int_equal(cloud_client_counters(client)->refused_rate,
                     last_result.refused);
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
    wait_for_result();
    cloud_table_get(client, "t", "c", 0, on_done, NULL);
    cloud_client_destroy(client);
    client = connect_client(5000, 1000);
    last_result.free_client = true;
    cloud_table_get(client, "t", "d", 0, on_done, NULL);
    cloud_table_get(client, "t", "e", 0, on_done, NULL);
    wait_for_result();
    assert_null(client);
    ev_run(loop,
           0); /* completes the free and returns, since no watcher is left */
    assert_int_equal(last_result.calls, 2);
}

/* Guards against reading a leaving VM as live, and against accepting a list
   with an entry that cannot be decoded. */
static void
test_vm_list(void **state)
{
    (void)state;
    send_put("/vms", "{\"vms\":[{\"name\":\"p1\",\"address\":\"127.0.0.1\","
                     "\"failure_domain\":\"d1\",\"state\":\"leaving\"}]}");
    cloud_vm_list(client, 0, on_done, NULL);
    wait_for_result();
    assert_int_equal(last_result.n_vms, 1);
    assert_true(last_result.leaving);
    /* With a lag, the newer list is not visible yet. */
    send_put("/fault", "{\"vms_lag_ms\":10000000}");
    cloud_vm_list(client, 0, on_done, NULL);
    wait_for_result();
    assert_int_equal(last_result.n_vms, 0);
    send_put("/fault", "{\"vms_lag_ms\":0}");
    send_put("/vms", "{\"vms\":[{\"name\":\"p1\",\"state\":\"live\"}]}");
    cloud_vm_list(client, 0, on_done, NULL);
    wait_for_result();
    assert_int_equal(last_result.outcome, CLOUD_NOT_DONE);
    assert_string_equal(last_result.reason, "malformed");
}

#define CASE(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        CASE(test_insert_get_list),
        CASE(test_lost_response_is_unknown),
        CASE(test_outage_is_not_done),
        CASE(test_silent_service_times_out),
        CASE(test_response_size_is_limited),
        CASE(test_rate_is_limited),
        CASE(test_cancel_and_free),
        CASE(test_vm_list),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

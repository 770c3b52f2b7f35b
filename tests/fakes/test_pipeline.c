/* Guards against pipelined statements that are never answered: if the socket
   accepted a large result at once, the Query after it was handled only when
   more input arrived. */
#include "fakes/host.h"
#include "wire/frame.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define FIRST_PORT 21970
#define LAST_PORT 21998
/* Ends a run in which an answer is missing. */
#define RUN_TIMEOUT_S 20.0

/* A client that counts ReadyForQuery messages. */
struct reader {
    struct ev_loop *loop;
    ev_io rd;
    GString *in;
    int ready;  /* ReadyForQuery messages received */
    int wanted; /* value of ready that ends the loop */
};

static void
on_readable(struct ev_loop *loop, ev_io *w, int revents)
{
    struct reader *r = w->data;
    static char buffer[1 << 20];
    struct frame f;
    size_t used = 0;

    (void)revents;
    const ssize_t n = recv(w->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (n <= 0) {
        return;
    }
    g_string_append_len(r->in, buffer, n);
    while (frame_next((struct sview){r->in->str + used, r->in->len - used},
                      1 << 20, &f) == FRAME_COMPLETE) {
        r->ready += f.type == 'Z';
        used += f.total_bytes;
    }
    g_string_erase(r->in, 0, (gssize)used);
    if (r->ready >= r->wanted) {
        ev_break(loop, EVBREAK_ALL);
    }
}

static void
on_run_timeout(struct ev_loop *loop, ev_timer *w, int revents)
{
    (void)w;
    (void)revents;
    ev_break(loop, EVBREAK_ALL);
}

/* Runs the loop until wanted ReadyForQuery messages were received in total. */
static void
run_until(struct reader *r, int wanted)
{
    ev_timer timeout;

    r->wanted = wanted;
    ev_timer_init(&timeout, on_run_timeout, RUN_TIMEOUT_S, 0.0);
    ev_timer_start(r->loop, &timeout);
    if (r->ready < wanted) {
        ev_run(r->loop, 0);
    }
    ev_timer_stop(r->loop, &timeout);
}

/* Starts a group on three consecutive free ports; returns the first one. */
static int
start_group(struct host *h)
{
    for (int port = FIRST_PORT; port + 2 <= LAST_PORT; port += 3) {
        char spec[64];
        g_autoptr(GError) error = NULL;
        g_snprintf(spec, sizeof(spec), "boats=%d,%d,%d", port, port + 1,
                   port + 2);
        if (host_add_database(h, spec, &error)) {
            return port;
        }
    }
    fail_msg("no free ports");
    return 0;
}

/* Both statements sent in one write must be answered, whatever the size of the
   first result. */
static void
test_query_behind_large_answer(void **state)
{
    const struct host_options options = {.connections = 16, .slots = 2};
    struct reader r = {.loop = ev_default_loop(EVFLAG_AUTO),
                       .in = g_string_new(NULL)};
    struct host *h = host_create(r.loop, &options);
    const int port = start_group(h);
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)port),
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    const int buffer_bytes = 1 << 22;
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    GString *out = g_string_new(NULL);

    (void)state;
    /* The fault occurs only if the socket accepts the whole result at once. */
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
    assert_int_equal(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
    ev_io_init(&r.rd, on_readable, fd, EV_READ);
    r.rd.data = &r;
    ev_io_start(r.loop, &r.rd);
    static const char startup[] = "\0\3\0\0user\0load\0database\0boats\0";
    frame_put_u32(out, (uint32_t)sizeof(startup) + 4);
    g_string_append_len(out, startup, sizeof(startup));
    assert_int_equal(send(fd, out->str, out->len, 0), out->len);
    run_until(&r, 1);
    assert_int_equal(r.ready, 1);
    for (int rows = 80; rows < 110; rows++) {
        const int before = r.ready;
        char sql[64];
        g_string_truncate(out, 0);
        g_snprintf(sql, sizeof(sql), "SELECT fake_rows(%d, 3000)", rows);
        frame_put_query(out, sql);
        frame_put_query(out, "SELECT group_state()");
        assert_int_equal(send(fd, out->str, out->len, 0), out->len);
        run_until(&r, before + 2);
        assert_int_equal(r.ready, before + 2);
    }
    ev_io_stop(r.loop, &r.rd);
    close(fd);
    g_string_free(out, TRUE);
    g_string_free(r.in, TRUE);
    host_destroy(h);
    ev_loop_destroy(r.loop);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_query_behind_large_answer),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

#include "base/acceptor.h"
#include "base/event_log.h"
#include "base/listener.h"
#include "base/stream.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define CHUNK_BYTES 65536
#define INPUT_LIMIT_BYTES ((size_t)1 << 20)
/* Ends a loop that hangs; the results do not depend on it otherwise. */
#define WATCHDOG_S 10.0

struct fixture {
    struct ev_loop *loop;
    struct stream *stream;
    int peer;
    size_t read;
    int flushed;
    int accepted;
    int last_fd;
};

static void
on_readable(void *ctx)
{
    struct fixture *f = ctx;

    f->read = stream_input(f->stream).n;
}

static void
on_flushed(void *ctx)
{
    struct fixture *f = ctx;

    f->flushed++;
    ev_break(f->loop, EVBREAK_ALL);
}

static void
on_closed(void *ctx, const char *why)
{
    (void)ctx;
    (void)why;
}

static const struct stream_callbacks callbacks = {
    .readable = on_readable,
    .flushed = on_flushed,
    .closed = on_closed,
};

static void
begin(struct fixture *f)
{
    int fds[2];

    memset(f, 0, sizeof(*f));
    f->loop = ev_loop_new(EVFLAG_AUTO);
    assert_int_equal(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds),
                     0);
    f->peer = fds[1];
    f->stream = stream_from_fd(f->loop, fds[0], &callbacks, f);
}

static void
end(struct fixture *f)
{
    stream_close(f->stream);
    close(f->peer);
    ev_loop_destroy(f->loop);
}

/* Writes as much as the peer's socket accepts, up to a limit. */
static size_t
flood(struct fixture *f, size_t limit)
{
    static char chunk[CHUNK_BYTES];
    size_t sent = 0;

    for (int idle = 0; sent < limit && idle < 64;) {
        const ssize_t n = write(f->peer, chunk, sizeof(chunk));
        idle = n > 0 ? 0 : idle + 1;
        sent += n > 0 ? (size_t)n : 0;
        ev_run(f->loop, EVRUN_NOWAIT);
    }
    return sent;
}

/* Guards against a caller that takes all memory by sending requests ahead, and
   against a connection that is not read again once there is room. */
static void
test_input_is_bounded(void **state)
{
    struct fixture f;

    (void)state;
    begin(&f);
    stream_set_input_limit(f.stream, INPUT_LIMIT_BYTES);
    const size_t sent = flood(&f, 64 * INPUT_LIMIT_BYTES);
    assert_true(sent < 64 * INPUT_LIMIT_BYTES);
    assert_true(f.read >= INPUT_LIMIT_BYTES);
    assert_true(f.read < INPUT_LIMIT_BYTES + CHUNK_BYTES);
    assert_true(stream_has_unread(f.stream));
    size_t total = 0;
    while (stream_input(f.stream).n > 0) {
        total += stream_input(f.stream).n;
        stream_consume(f.stream, stream_input(f.stream).n);
        for (int i = 0; i < 32; i++) {
            ev_run(f.loop, EVRUN_NOWAIT);
        }
    }
    assert_int_equal(total, sent);
    assert_false(stream_has_unread(f.stream));
    end(&f);
}

/* Guards against answers that are cut off because the owner takes data that
   the peer has not read yet for sent. */
static void
test_unsent_data_is_reported(void **state)
{
    static char answer[CHUNK_BYTES];
    struct fixture f;
    size_t received = 0;

    (void)state;
    begin(&f);
    for (int i = 0; i < 64; i++) {
        stream_write(f.stream, answer, sizeof(answer));
    }
    assert_true(stream_unsent(f.stream) > 0);
    assert_int_equal(f.flushed, 0);
    while (f.flushed == 0 && received < 64 * sizeof(answer)) {
        const ssize_t n = read(f.peer, answer, sizeof(answer));
        received += n > 0 ? (size_t)n : 0;
        ev_run(f.loop, EVRUN_NOWAIT);
    }
    assert_int_equal(f.flushed, 1);
    assert_int_equal(stream_unsent(f.stream), 0);
    end(&f);
}

static void
on_accepted(void *ctx, int fd)
{
    struct fixture *f = ctx;

    f->accepted++;
    f->last_fd = fd;
    ev_break(f->loop, EVBREAK_ALL);
}

static void
on_watchdog(struct ev_loop *loop, ev_timer *w, int revents)
{
    (void)w;
    (void)revents;
    ev_break(loop, EVBREAK_ALL);
}

/* Guards against a process that uses all of its processor time, and serves
   nobody, while no descriptor is free for the next caller. */
static void
test_no_free_descriptor(void **state)
{
    struct fixture f = {.loop = ev_loop_new(EVFLAG_AUTO)};
    struct sockaddr_in at = {.sin_family = AF_INET};
    socklen_t size = sizeof(at);
    struct rlimit before;
    ev_timer watchdog;

    (void)state;
    const int listen_fd = listener_open("127.0.0.1", 0);
    assert_true(listen_fd >= 0);
    assert_int_equal(getsockname(listen_fd, (struct sockaddr *)&at, &size), 0);
    struct acceptor *a =
        acceptor_create(f.loop, listen_fd, "test", on_accepted, &f);
    const int client = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(getrlimit(RLIMIT_NOFILE, &before), 0);
    const struct rlimit none = {.rlim_cur = (rlim_t)client + 1,
                                .rlim_max = before.rlim_max};
    assert_int_equal(setrlimit(RLIMIT_NOFILE, &none), 0);
    assert_int_equal(connect(client, (struct sockaddr *)&at, size), 0);
    for (int i = 0; i < 1000; i++) {
        ev_run(f.loop, EVRUN_NOWAIT);
    }
    assert_int_equal(f.accepted, 0);
    /* The loop has nothing to do until the next attempt. */
    assert_int_equal(ev_pending_count(f.loop), 0);
    const unsigned iterations = ev_iteration(f.loop);
    ev_timer_init(&watchdog, on_watchdog, 0.05, 0.0);
    ev_timer_start(f.loop, &watchdog);
    ev_run(f.loop, 0);
    ev_timer_stop(f.loop, &watchdog);
    assert_true(ev_iteration(f.loop) - iterations < 20);
    assert_int_equal(setrlimit(RLIMIT_NOFILE, &before), 0);
    ev_timer_set(&watchdog, WATCHDOG_S, 0.0);
    ev_timer_start(f.loop, &watchdog);
    ev_run(f.loop, 0);
    ev_timer_stop(f.loop, &watchdog);
    assert_int_equal(f.accepted, 1);
    close(f.last_fd);
    close(client);
    acceptor_destroy(a);
    ev_loop_destroy(f.loop);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_input_is_bounded),
        cmocka_unit_test(test_unsent_data_is_reported),
        cmocka_unit_test(test_no_free_descriptor),
    };

    event_log_init();
    return cmocka_run_group_tests(tests, NULL, NULL);
}

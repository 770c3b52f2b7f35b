#include "store.h"

#include "base/listener.h"

#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

/* The connection of an order, seen by the platform. */

#define HOST "127.252.0.1"
#define PORT 26020
/* Limit for each wait, far above what it takes. */
#define WAIT_S 5.0

struct fixture {
    struct ev_loop *loop;
    struct store *store;
    struct traffic traffic;
    int listener;
    int status;
    bool done;
};

static void
on_done(void *ctx, int status, const json_t *body)
{
    struct fixture *f = ctx;

    (void)body;
    f->status = status;
    f->done = true;
    ev_break(f->loop, EVBREAK_ONE);
}

static void
on_event(struct ev_loop *loop, ev_io *w, int revents)
{
    (void)w;
    (void)revents;
    ev_break(loop, EVBREAK_ONE);
}

static void
on_timeout(struct ev_loop *loop, ev_timer *w, int revents)
{
    (void)loop;
    (void)w;
    (void)revents;
    fail_msg("timeout");
}

/* Runs the loop until a descriptor is readable or the order is done. */
static void
wait_for(struct fixture *f, int fd)
{
    ev_io io;
    ev_timer timer;

    ev_io_init(&io, on_event, fd, EV_READ);
    ev_io_start(f->loop, &io);
    ev_timer_init(&timer, on_timeout, WAIT_S, 0.0);
    ev_timer_start(f->loop, &timer);
    ev_run(f->loop, 0);
    ev_timer_stop(f->loop, &timer);
    ev_io_stop(f->loop, &io);
}

/* Orders a promotion and returns the accepted connection. */
static int
order(struct fixture *f, clock_ms valid_until)
{
    const struct endpoint address = {.host = HOST, .port = PORT};

    memset(f, 0, sizeof(*f));
    f->loop = ev_default_loop(EVFLAG_AUTO);
    f->listener = listener_open(HOST, PORT);
    assert_true(f->listener >= 0);
    f->store = store_create(f->loop, &address, &address, &f->traffic);
    store_promote(f->store, "n0", 3, "db", "m1", valid_until, on_done, f);
    wait_for(f, f->listener);
    const int fd = accept4(f->listener, NULL, NULL, SOCK_NONBLOCK);
    assert_true(fd >= 0);
    return fd;
}

/* Guards against an order that is sent after its holder's lease: the process
   may have been suspended while it connected. */
static void
test_late_order_is_not_sent(void **state)
{
    struct fixture f;
    char byte;

    (void)state;
    const int fd = order(&f, clock_boottime_ms());
    while (!f.done) {
        wait_for(&f, f.listener);
    }
    assert_int_equal(f.status, 0);
    assert_true(recv(fd, &byte, 1, 0) <= 0);
    assert_true(errno != EAGAIN);
    close(fd);
    close(f.listener);
    store_destroy(f.store);
}

/* Guards against an order that the kernel goes on sending after its process
   has ended. */
static void
test_order_connection_is_reset(void **state)
{
    struct fixture f;
    char request[1024];

    (void)state;
    const int fd = order(&f, clock_boottime_ms() + 60000);
    wait_for(&f, fd);
    assert_true(recv(fd, request, sizeof(request), 0) > 0);
    store_destroy(f.store);
    wait_for(&f, fd);
    assert_int_equal(recv(fd, request, sizeof(request), 0), -1);
    assert_int_equal(errno, ECONNRESET);
    close(fd);
    close(f.listener);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_late_order_is_not_sent),
        cmocka_unit_test(test_order_connection_is_reset),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

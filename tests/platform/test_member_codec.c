#include "member_codec.h"

#include "base/listener.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define HOST "127.251.0.2"
#define PORT 26020
/* Limit for a wait, far above what it takes. */
#define WAIT_MAX_STEPS 2000
#define STEP_US 1000

struct fixture {
    struct ev_loop *loop;
    struct member_codec codec;
    struct traffic traffic;
    struct member_link *link;
    int listener;
    int member; /* the member's side of the connection */
    bool opened;
    char row[32];
    char signature[32];
};

static void
on_opened(void *ctx, const struct token *position)
{
    struct fixture *f = ctx;

    (void)position;
    f->opened = true;
}

static void
on_refused(void *ctx, enum failure why)
{
    (void)ctx;
    fail_msg("refused: %s", failure_name(why));
}

/* Copies a view as a string. Reads each byte itself, which the sanitizer
   checks. */
static void
copy_view(char *out, size_t size, struct sview v)
{
    assert_true(v.n < size);
    for (size_t i = 0; i < v.n; i++) {
        out[i] = v.p[i];
    }
    out[v.n] = '\0';
}

/* Closes the connection before it reads the answer, as the pool does when the
   answer makes room for a connection of another account. */
static void
on_answered(void *ctx, const struct answer *a)
{
    struct fixture *f = ctx;

    f->codec.close(f->link);
    assert_int_equal(a->n_rows, 1);
    copy_view(f->row, sizeof(f->row), a->rows[0]);
    copy_view(f->signature, sizeof(f->signature), a->signature);
}

static void
on_closed(void *ctx, const char *why)
{
    (void)ctx;
    fail_msg("closed: %s", why);
}

static const struct member_link_events events = {
    .opened = on_opened,
    .refused = on_refused,
    .answered = on_answered,
    .closed = on_closed,
};

static void
send_text(const struct fixture *f, const char *text)
{
    assert_int_equal(send(f->member, text, strlen(text), 0),
                     (ssize_t)strlen(text));
}

/* Guards against an answer whose rows are read after they were freed, because
   the connection was closed while the answer was passed on. */
static void
test_answer_outlives_close(void **state)
{
    struct fixture f = {.member = -1};
    const struct member_entry m = {
        .id = "m1", .service = "db", .host = HOST, .port = PORT, .slots = 1};
    char startup[64] = "";

    (void)state;
    f.loop = ev_default_loop(EVFLAG_AUTO);
    f.listener = listener_open(HOST, PORT);
    assert_true(f.listener >= 0);
    member_codec_init(&f.codec, f.loop, "z", &f.traffic);
    f.link = f.codec.open(f.codec.ctx, &m, "cedar", &events, &f);
    for (int i = 0; i < WAIT_MAX_STEPS && f.row[0] == '\0'; i++) {
        ev_run(f.loop, EVRUN_NOWAIT);
        usleep(STEP_US);
        if (f.member < 0) {
            f.member = accept(f.listener, NULL, NULL);
            if (f.member >= 0) {
                send_text(&f, "READY I 3.7\r\n");
            }
        }
        else if (f.opened) {
            send_text(&f, "DATAROW qhzkwmtrbelo\r\nCOMPLETE 7.1f3\r\n"
                          "READY I 3.8\r\n");
            f.opened = false;
        }
    }
    assert_string_equal(f.row, "qhzkwmtrbelo");
    assert_string_equal(f.signature, "7.1f3");
    /* The account is told to the member. */
    assert_true(recv(f.member, startup, sizeof(startup) - 1, 0) > 0);
    assert_string_equal(startup, "STARTUP db cedar m1\r\n");
    member_codec_destroy(&f.codec);
    close(f.member);
    close(f.listener);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_answer_outlives_close),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

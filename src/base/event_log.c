#include "base/event_log.h"

#include "base/clock.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <unistd.h>

#define LINE_BYTES 1024
/* Lines per second and class; one second's worth may come at once. Sized so
   that logging stays a few percent of a quarter of a core. */
#define STATE_LINES_PER_S 100
#define REQUEST_LINES_PER_S 60

struct budget {
    int64_t per_s;
    int64_t left;
    clock_ms filled_at;
    uint64_t suppressed;
};

static struct budget budgets[EVENT_CLASSES] = {
    [EVENT_STATE] = {.per_s = STATE_LINES_PER_S, .left = STATE_LINES_PER_S},
    [EVENT_REQUEST] = {.per_s = REQUEST_LINES_PER_S,
                       .left = REQUEST_LINES_PER_S},
};
static uint64_t unwritten;

/* Makes standard output non-blocking, so that a reader that stops costs lines
   and not service. */
void
event_log_open(void)
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);

    if (flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

/* Takes one line from a class's budget. */
static bool
take(struct budget *b, clock_ms now)
{
    const int64_t earned = (now - b->filled_at) * b->per_s / 1000;

    if (earned > 0) {
        b->left = b->left + earned > b->per_s ? b->per_s : b->left + earned;
        b->filled_at = now;
    }
    if (b->left == 0) {
        b->suppressed++;
        return false;
    }
    b->left--;
    return true;
}

/* Writes one finished line; counts it when the reader does not keep up. */
static void
put(const char *line, size_t n)
{
    if (write(STDOUT_FILENO, line, n) != (ssize_t)n) {
        unwritten++;
    }
}

/* Writes one line. fmt gives the key=value pairs. A line is cut at 1024
   bytes, and control characters become '?'. */
void
event_log(enum event_class class, const char *event, const char *fmt, ...)
{
    char line[LINE_BYTES];
    va_list ap;

    if (!take(&budgets[class], clock_now())) {
        return;
    }
    int n = snprintf(line, sizeof(line), "t=%lld event=%s ",
                     (long long)clock_wall_now(), event);
    va_start(ap, fmt);
    const int m = vsnprintf(line + n, sizeof(line) - (size_t)n - 1, fmt, ap);
    va_end(ap);
    if (m < 0) {
        return;
    }
    n = n + m > LINE_BYTES - 2 ? LINE_BYTES - 2 : n + m;
    for (int i = 0; i < n; i++) {
        if ((unsigned char)line[i] < ' ') {
            line[i] = '?';
        }
    }
    line[n++] = '\n';
    put(line, (size_t)n);
}

/* Reports how many lines were left out since the last call. Called about once
   a second. */
void
event_log_flush(void)
{
    if (budgets[EVENT_STATE].suppressed == 0 &&
        budgets[EVENT_REQUEST].suppressed == 0 && unwritten == 0) {
        return;
    }
    event_log(EVENT_STATE, "log_lines_left_out",
              "state=%llu request=%llu unwritten=%llu",
              (unsigned long long)budgets[EVENT_STATE].suppressed,
              (unsigned long long)budgets[EVENT_REQUEST].suppressed,
              (unsigned long long)unwritten);
    budgets[EVENT_STATE].suppressed = 0;
    budgets[EVENT_REQUEST].suppressed = 0;
    unwritten = 0;
}

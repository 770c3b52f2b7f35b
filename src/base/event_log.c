#include "base/event_log.h"

#include "base/clock.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <unistd.h>

#define LINE_MAX_BYTES 1024
/* Rate limits of the two event classes; the burst is the limit of one second.
   At these rates logging uses a few percent of a quarter of a core. */
#define STATE_LINES_PER_S 100
#define REQUEST_LINES_PER_S 60

/* A token bucket; each line takes one token. */
struct token_bucket {
    int64_t rate_per_s; /* also the capacity */
    int64_t tokens;
    clock_ms refilled_at;
    uint64_t suppressed;
};

static struct token_bucket buckets[EVENT_CLASS_COUNT] = {
    [EVENT_STATE] = {.rate_per_s = STATE_LINES_PER_S,
                     .tokens = STATE_LINES_PER_S},
    [EVENT_REQUEST] = {.rate_per_s = REQUEST_LINES_PER_S,
                       .tokens = REQUEST_LINES_PER_S},
};
static uint64_t write_failures; /* lines that write() did not take whole */

/* Makes standard output non-blocking: when the reader stalls, lines are
   dropped instead of blocking the event loop. */
void
event_log_init(void)
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);

    if (flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

static bool
take_token(struct token_bucket *b, clock_ms now)
{
    const int64_t earned = (now - b->refilled_at) * b->rate_per_s / 1000;

    if (earned > 0) {
        b->tokens = b->tokens + earned > b->rate_per_s ? b->rate_per_s
                                                       : b->tokens + earned;
        b->refilled_at = now;
    }
    if (b->tokens == 0) {
        b->suppressed++;
        return false;
    }
    b->tokens--;
    return true;
}

static void
write_line(const char *line, size_t n)
{
    if (write(STDOUT_FILENO, line, n) != (ssize_t)n) {
        write_failures++;
    }
}

/* Writes one line to standard output, unless the rate limit of its class is
   exceeded. fmt formats the key=value pairs. Lines are truncated to 1024 bytes
   and control characters are replaced by '?'. */
void
event_log(enum event_class class, const char *event, const char *fmt, ...)
{
    char line[LINE_MAX_BYTES];
    va_list ap;

    if (!take_token(&buckets[class], clock_monotonic_ms())) {
        return;
    }
    int n = snprintf(line, sizeof(line), "t=%lld event=%s ",
                     (long long)clock_realtime_ms(), event);
    va_start(ap, fmt);
    const int m = vsnprintf(line + n, sizeof(line) - (size_t)n - 1, fmt, ap);
    va_end(ap);
    if (m < 0) {
        return;
    }
    n = n + m > LINE_MAX_BYTES - 2 ? LINE_MAX_BYTES - 2 : n + m;
    for (int i = 0; i < n; i++) {
        if ((unsigned char)line[i] < ' ') {
            line[i] = '?';
        }
    }
    line[n++] = '\n';
    write_line(line, (size_t)n);
}

/* Logs how many lines were dropped since the last call, if any. Called about
   once a second. */
void
event_log_report_dropped(void)
{
    if (buckets[EVENT_STATE].suppressed == 0 &&
        buckets[EVENT_REQUEST].suppressed == 0 && write_failures == 0) {
        return;
    }
    event_log(EVENT_STATE, "log_lines_left_out",
              "state=%llu request=%llu unwritten=%llu",
              (unsigned long long)buckets[EVENT_STATE].suppressed,
              (unsigned long long)buckets[EVENT_REQUEST].suppressed,
              (unsigned long long)write_failures);
    buckets[EVENT_STATE].suppressed = 0;
    buckets[EVENT_REQUEST].suppressed = 0;
    write_failures = 0;
}

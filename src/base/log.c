#include "base/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* The syslog facility "daemon" (3) as part of the priority value. */
#define LOG_FACILITY_DAEMON (3 << 3)
#define LOG_LINE_MAX_BYTES 1024

static const char *log_program = "galenastep";
static enum log_level log_threshold = LOG_LEVEL_INFO;

/* Sets the program name for log lines; the string is borrowed. */
void
log_set_program(const char *program)
{
    log_program = program;
}

/* Sets the least severe level that is written. */
void
log_set_level(enum log_level level)
{
    log_threshold = level;
}

enum log_level
log_get_level(void)
{
    return log_threshold;
}

/* Parses error, warning, notice, info or debug. Returns false for any other
   name. */
bool
log_level_parse(const char *name, enum log_level *out)
{
    static const char *const names[] = {"error", "warning", "notice", "info",
                                        "debug"};

    for (int i = 0; i < 5; i++) {
        if (strcmp(name, names[i]) == 0) {
            *out = (enum log_level)(LOG_LEVEL_ERROR + i);
            return true;
        }
    }
    return false;
}

/* Writes one line to standard error:
   <PRI>program[pid]: module: step=... peer=... message
   Lines are truncated to 1024 bytes and control characters are replaced by
   '?'. */
void
log_write(enum log_level level, const char *module, const char *step,
          const char *peer, const char *fmt, ...)
{
    char line[LOG_LINE_MAX_BYTES];
    va_list ap;
    int n =
        snprintf(line, sizeof(line), "<%d>%s[%d]: %s: step=%s%s%s ",
                 LOG_FACILITY_DAEMON | (int)level, log_program, (int)getpid(),
                 module, step, peer ? " peer=" : "", peer ? peer : "");
    if (n < 0 || n >= (int)sizeof(line)) {
        return;
    }
    va_start(ap, fmt);
    int m = vsnprintf(line + n, sizeof(line) - (size_t)n, fmt, ap);
    va_end(ap);
    if (m < 0) {
        return;
    }
    size_t len = strlen(line);
    for (size_t i = 0; i < len; i++) {
        if ((unsigned char)line[i] < ' ') {
            line[i] = '?';
        }
    }
    if (len == sizeof(line) - 1) {
        len--;
    }
    line[len++] = '\n';
    /* Without standard error there is no place to report the failure. */
    ssize_t ignored = write(STDERR_FILENO, line, len);
    (void)ignored;
}

#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdbool.h>

/* Diagnostic messages on standard error, with syslog priorities. Structured
   events go to standard output, see event_log.h. */

/* Severity levels with the values of syslog(3). */
enum log_level {
    LOG_LEVEL_ERROR = 3,
    LOG_LEVEL_WARNING = 4,
    LOG_LEVEL_NOTICE = 5,
    LOG_LEVEL_INFO = 6,
    LOG_LEVEL_DEBUG = 7,
};

void log_set_program(const char *program);
void log_set_level(enum log_level level);
enum log_level log_get_level(void);
bool log_level_parse(const char *name, enum log_level *out);
void log_write(enum log_level level, const char *module, const char *step,
               const char *peer, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));

/* Files that log define LOG_MODULE before they include this header. step is
   the operation in progress; peer is the remote address or name, or NULL. */
#define LOG_AT(level, step, peer, ...)                                        \
    do {                                                                      \
        if ((level) <= log_get_level()) {                                     \
            log_write(level, LOG_MODULE, step, peer, __VA_ARGS__);            \
        }                                                                     \
    } while (0)
#define LOG_ERROR(step, peer, ...)                                            \
    LOG_AT(LOG_LEVEL_ERROR, step, peer, __VA_ARGS__)
#define LOG_WARNING(step, peer, ...)                                          \
    LOG_AT(LOG_LEVEL_WARNING, step, peer, __VA_ARGS__)
#define LOG_NOTICE(step, peer, ...)                                           \
    LOG_AT(LOG_LEVEL_NOTICE, step, peer, __VA_ARGS__)
#define LOG_INFO(step, peer, ...)                                             \
    LOG_AT(LOG_LEVEL_INFO, step, peer, __VA_ARGS__)
#define LOG_DEBUG(step, peer, ...)                                            \
    LOG_AT(LOG_LEVEL_DEBUG, step, peer, __VA_ARGS__)

#endif

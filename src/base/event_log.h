#ifndef BASE_EVENT_LOG_H
#define BASE_EVENT_LOG_H

/* Structured log on standard output: "t=... event=... key=value ...".
   EVENT_STATE is for changes of the proxy's state (start, stop, members,
   primaries, dependencies), EVENT_REQUEST for single requests. Each class has
   its own rate limit, so a burst of failed requests does not suppress lines
   about state. */
enum event_class {
    EVENT_STATE,
    EVENT_REQUEST,
    EVENT_CLASS_COUNT,
};

void event_log_init(void);
void event_log(enum event_class class, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
void event_log_report_dropped(void);

#endif

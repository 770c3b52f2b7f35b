#ifndef BASE_EVENT_LOG_H
#define BASE_EVENT_LOG_H

/* Structured lines on standard output: "t=... event=... key=value ...".
   EVENT_STATE lines (start, stop, beliefs, dependencies) and EVENT_REQUEST
   lines (decisions about one request) have separate budgets, so that failures
   under load never suppress the lines about state. */
enum event_class {
    EVENT_STATE,
    EVENT_REQUEST,
    EVENT_CLASSES,
};

void event_log_open(void);
void event_log(enum event_class class, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
void event_log_flush(void);

#endif

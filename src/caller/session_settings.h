#ifndef CALLER_SESSION_SETTINGS_H
#define CALLER_SESSION_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SESSION_SETTINGS_MAX 64

/* The SET statements of a session by name, applied to each connection that
   serves the session. items is NULL while there are none. */
struct session_settings {
    GPtrArray *items; /* of struct session_setting */
    uint64_t hash;    /* 0 while there are none */
};

bool session_settings_put(struct session_settings *s, const char *name,
                          const char *text);
void session_settings_remove(struct session_settings *s, const char *name);
void session_settings_clear(struct session_settings *s);
bool session_settings_merge(struct session_settings *into,
                            struct session_settings *from);
void session_settings_append_sql(const struct session_settings *s,
                                 GString *out);

#endif

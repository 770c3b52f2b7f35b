#include "load/pid_usage.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Returns the resident memory of a process in bytes; -1 if unknown. */
int64_t
pid_resident_bytes(int pid)
{
    char *path = g_strdup_printf("/proc/%d/statm", pid);
    char *text = NULL;
    int64_t bytes = -1;

    if (g_file_get_contents(path, &text, NULL, NULL)) {
        char **field = g_strsplit(text, " ", 3);
        if (g_strv_length(field) == 3) {
            bytes = g_ascii_strtoll(field[1], NULL, 10) *
                    (int64_t)sysconf(_SC_PAGESIZE);
        }
        g_strfreev(field);
    }
    g_free(text);
    g_free(path);
    return bytes;
}

/* Returns the user and system CPU time of a process in microseconds; -1 if it
   cannot be read. The kernel counts it in ticks, usually of 10 ms. */
int64_t
pid_cpu_us(int pid)
{
    char *path = g_strdup_printf("/proc/%d/stat", pid);
    char *text = NULL;
    int64_t us = -1;

    if (g_file_get_contents(path, &text, NULL, NULL)) {
        /* The program's name may contain spaces; it ends at the last ')'. */
        const char *rest = strrchr(text, ')');
        char **field = g_strsplit(rest == NULL ? "" : rest, " ", 15);
        if (g_strv_length(field) == 15) {
            const int64_t ticks = g_ascii_strtoll(field[12], NULL, 10) +
                                  g_ascii_strtoll(field[13], NULL, 10);
            us = ticks * 1000000 / sysconf(_SC_CLK_TCK);
        }
        g_strfreev(field);
    }
    g_free(text);
    g_free(path);
    return us;
}

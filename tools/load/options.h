#ifndef LOAD_OPTIONS_H
#define LOAD_OPTIONS_H

#include <glib.h>
#include <stdbool.h>

/* Command-line options, shared by every experiment. */
struct load_options {
    char **proxies; /* HOST:PORT, ends with NULL */
    char **members; /* HOST:PORT of the database's members, ends with NULL */
    char *database;
    char *site; /* registry or guild */
    gint64 seed;
    double seconds;
    int clients;
    int proxy_pid; /* 0: not known */
    int megabytes;
    int cases;
};

/* Each experiment returns false when the tool itself could not do its work;
   a bad measured value is no such failure. */
bool latency_run(const struct load_options *o);
bool throughput_run(const struct load_options *o);
bool idle_run(const struct load_options *o);
bool answer_run(const struct load_options *o);
bool consistency_run(const struct load_options *o);
bool batches_run(const struct load_options *o);
bool crest_run(const struct load_options *o);
bool failover_run(const struct load_options *o);

#endif

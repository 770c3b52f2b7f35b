#ifndef LOAD_OPTIONS_H
#define LOAD_OPTIONS_H

#include <glib.h>
#include <stdbool.h>

/* Command-line options, shared by every experiment. */
struct load_options {
    char **proxies; /* HOST:PORT, NULL-terminated */
    char **members; /* HOST:PORT of the database's members, NULL-terminated */
    char *database;
    char *site; /* "registry" or "guild": selects the caller kinds */
    gint64 seed;
    double seconds; /* length of the measurement */
    int clients;    /* connections */
    int proxy_pid;  /* 0: not given */
    int megabytes;  /* size of the large answer */
    int cases;      /* repetitions of the failover */
};

/* Experiments. Each prints its results as key=value lines, and returns false
   only if it could not be carried out; a bad result is not an error. */
bool latency_run(const struct load_options *o);
bool throughput_run(const struct load_options *o);
bool idle_run(const struct load_options *o);
bool answer_run(const struct load_options *o);
bool consistency_run(const struct load_options *o);
bool batches_run(const struct load_options *o);
/* Measures a peak in demand. */
bool crest_run(const struct load_options *o);
bool failover_run(const struct load_options *o);

#endif

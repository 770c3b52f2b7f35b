#ifndef CTL_EXPLAIN_ROUTE_H
#define CTL_EXPLAIN_ROUTE_H

#include <stdbool.h>
#include <stdio.h>

struct explain_route_options {
    const char *address; /* IP:PORT of the metrics server of a proxy */
    const char *database;
    const char *account; /* NULL: none */
    const char *kind;    /* "read", "write" or "transaction" */
    bool json;
    int timeout_ms;
};

int explain_route_run(const struct explain_route_options *o, FILE *out,
                      FILE *err);

#endif

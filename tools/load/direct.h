#ifndef LOAD_DIRECT_H
#define LOAD_DIRECT_H

#include "load/options.h"

#include <libpq-fe.h>
#include <stdint.h>

/* Blocking access to the members without a proxy, on the connections that they
   reserve for control. Members are indexes into options.members. */

#define DIRECT_NO_PRIMARY (-1)

PGconn *direct_open(const struct load_options *o, int member);
char *direct_query(PGconn *conn, const char *sql);
int direct_find_primary(const struct load_options *o);
PGconn *direct_open_primary(const struct load_options *o);
int64_t direct_read_counter(PGconn *conn, const char *key);
bool direct_inject_fault(const struct load_options *o, int member,
                         const char *fault);
int direct_member_count(const struct load_options *o);

#endif

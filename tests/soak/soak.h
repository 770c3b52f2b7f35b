#ifndef TESTS_SOAK_H
#define TESTS_SOAK_H

#include "base/clock.h"
#include "base/rng.h"
#include "base/stream.h"
#include "session/token.h"

#include <ev.h>
#include <glib.h>

/* A soak of real galenastep-platform processes on loopback. One loop plays the
   platform's store, the members of one database group, fault proxies and the
   callers; the processes are disturbed from outside. */

#define SOAK_NODES 4
#define SOAK_MEMBERS 3
#define SOAK_SERVICE "svc1"

struct soak;

/* Reports a broken promise and counts it. */
void soak_violation(struct soak *s, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* A listening socket on loopback whose connections are passed on to another
   address, with faults. */
struct fault_proxy;
enum fault { FAULT_NONE, FAULT_SILENT, FAULT_ONE_WAY, FAULT_REFUSE };
struct fault_proxy *fault_proxy_create(struct ev_loop *loop, const char *host,
                                       uint16_t port, const char *to_host,
                                       uint16_t to_port);
void fault_proxy_destroy(struct fault_proxy *p);
void fault_proxy_set(struct fault_proxy *p, enum fault f);
void fault_proxy_silence_open(struct fault_proxy *p);
void fault_proxy_reset_open(struct fault_proxy *p);

/* The store and the orders. */
struct standin_store;
struct standin_store *standin_store_create(
    struct soak *s, struct ev_loop *loop, const char *host, uint16_t port,
    int (*promote)(struct soak *s, const char *id, uint64_t fence));
void standin_store_destroy(struct standin_store *st);
void standin_store_put(struct standin_store *st, const char *table,
                       const char *key, const char *value);
void standin_store_set_down(struct standin_store *st, bool down);
void standin_store_lose_answers(struct standin_store *st, bool lose);
void standin_store_forget(struct standin_store *st);

/* The members of the group. A write is an item with a number. */
struct standin_group;
struct standin_group *
standin_group_create(struct soak *s, struct ev_loop *loop, struct rng *rng);
void standin_group_destroy(struct standin_group *g);
uint16_t standin_group_port(int member);
int standin_group_primary(const struct standin_group *g);
bool standin_group_promote(struct standin_group *g, int member,
                           uint64_t fence);
void standin_group_crash(struct standin_group *g, int member, bool down);
void standin_group_lag(struct standin_group *g, int member, int64_t lag_ms);
void standin_group_lose_answers(struct standin_group *g, int member,
                                int percent);
const char *standin_group_role(const struct standin_group *g, int member);
/* How often a write is in force, and whether a promotion undid it. */
int standin_group_count(const struct standin_group *g, const char *item,
                        uint64_t number);
bool standin_group_undone(const struct standin_group *g, const char *item,
                          uint64_t number);
/* The members' entries in the directory have to be written again. */
extern void (*standin_group_changed)(struct soak *s);

/* The callers. */
struct callers;
struct callers *callers_create(struct soak *s, struct ev_loop *loop,
                               struct standin_group *g, uint64_t seed,
                               int count);
void callers_destroy(struct callers *all);
void callers_stop(struct callers *all);
void callers_check(struct callers *all);
void callers_report(const struct callers *all);
long callers_served(const struct callers *all);

/* Several soaks run beside each other on networks 127.N of their own. */
const char *soak_host(void);
const char *soak_front_host(int node);
uint16_t soak_front_port(void);

#endif

#include "soak/soak.h"

#include "base/listener.h"

#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

/* Runs galenastep-platform processes against stand-ins for the store and the
   database group, injects faults for SECONDS, removes them and waits for
   recovery, and then checks what callers and members saw.

     soak [--late-orders] [--held-orders] [--sync-replicas]
          [--config-changes] [--restored-store] [--accounts] [--withdrawals]
          PROGRAM SEED SECONDS [MAX_CONNECTIONS [LOG_FOLDER]]

   With --late-orders, promotions take up to 1.2 s, and the process that orders
   one is often stopped, killed, suspended or cut off from the store before it
   takes effect. With --held-orders, orders are held up on their way, and the
   process that has sent one is often stopped, killed or suspended meanwhile,
   while a member does not answer. With --sync-replicas, commits are
   synchronous, members report that they are draining, and no acknowledged
   write may be lost. With
   --config-changes, faults are few and the operator makes changes around
   them. With --restored-store, the store often loses the last seconds before
   an outage; the operator and the members write again what they wrote there.
   With --accounts, callers have keys of accounts with limits, which the
   operator changes while faults run; not with --restored-store. With
   --withdrawals, which includes --accounts, there are no faults: keys are
   withdrawn and returned in quick succession beside other changes, SIGHUP and
   SIGTERM, while callers are in long transactions.

   In all runs a process that is not disturbed by a fault must answer what
   callers send; see unanswered.c.

   Exit status 0: no guarantee was broken. 1: at least one was. 2: wrong usage
   or no temporary folder. */

#define CALLER_PORT 26000
#define READY_PORT 26001
#define PEER_PORT 26002
#define METRICS_PORT 26003
#define LIMITS_PORT 26004
#define STORE_PORT 26010
#define ORDERS_PORT 26011
#define MEMBER_FAULT_PROXY_PORT 26200
#define NETWORKS 250
#define CALLERS 24
#define FAULT_STEP_S 0.25
#define SETTLE_S 6
/* With --accounts: a caller has to be served in the last PROGRESS_MS. A caller
   gives up an answer after 4 s, and a witness that is new waits for 3 s. */
#define SETTLE_ACCOUNTS_S 8
#define PROGRESS_MS 3000
/* The outage of the store with --accounts begins within this time. */
#define LONG_OUTAGE_WITHIN_MS 2500
/* Of the replica that is behind with --sync-replicas. */
#define LAG_MS 1200
/* A replica with the newest commits that stops together with the primary is
   away for longer than a change that does not wait for it takes. */
#define AHEAD_DOWN_MIN_MS 1500
#define PROMOTION_MIN_MS 100
#define PROMOTION_MAX_MS 1200
/* With --late-orders, the faults of members end this long after an order, so
   that the old primary answers again. */
#define RETURN_AFTER_ORDER_MS 250
#define FAULT_MAX_MS 3500
/* Of --held-orders: how long an order is held up, and how long a member is
   silent meanwhile. */
#define HELD_MIN_MS 100
#define HELD_MAX_MS 1400
#define MEMBER_SILENT_MS 800
#define VIOLATIONS_MAX 20
/* Of --config-changes. Longer than the time that the operator grants after the
   last fault. */
/* What was lost is written again this long after the store is back. */
#define CONFIG_REWRITE_MAX_MS 800
#define MEMBERS_REWRITE_MAX_MS 1900
/* A store that comes back loses up to so much. */
#define LOST_MAX_MS 9000
#define EPISODE_MS 14000
#define EPISODE_CHANGES 7
#define EPISODE_STEP_S 0.05
/* Of --withdrawals. Callers use a withdrawn key for longer than the processes
   wait between two readings of the configuration. */
#define WITHDRAWALS_STEP_S 0.01
#define KEEP_WITHDRAWN_KEY_MS 1000
/* The first primary is known about 4 s after the start; a stop before that
   makes it take much longer. */
#define FIRST_STOP_MS 5000
#define STOP_GAP_MS 1500
/* A service without members, listed while a route leads to it. */
#define EMPTY_SERVICE "svc2"

/* Depth of the arrays in an odd entry of the directory. */
#define ODD_NESTING_LEVELS 40000

/* Connections that a member accepts, by default. */
#define MAX_CONNECTIONS 16

struct proxy_process {
    struct soak *soak;
    int index;
    pid_t pid;
    ev_child child;
    ev_timer restart_timer;
    bool leaving;
    off_t log_bytes_at_start;
    char settings[128];
    struct fault_proxy *store_fault_proxy;
    struct fault_proxy *orders_fault_proxy;
    clock_ms orders_held_until;  /* 0: nothing is held */
    clock_ms sigcont_at;         /* when to send SIGCONT; 0: not stopped */
    clock_ms store_fault_end_at; /* when the fault ends; 0: none is set */
};

struct soak {
    struct ev_loop *loop;
    struct rng rng;
    const char *program;
    const char *log_folder;
    char folder[64];
    struct standin_store *store;
    struct standin_group *group;
    struct callers *callers;
    struct soak_operator *operator;
    struct accounts *accounts;       /* NULL without --accounts */
    struct withdrawals *withdrawals; /* NULL without --withdrawals */
    struct unanswered *unanswered;
    struct proxy_process proxies[SOAK_PROXIES];
    guint max_connections; /* that a member accepts */
    struct fault_proxy *member_fault_proxies[SOAK_MEMBERS];
    clock_ms member_start_at[SOAK_MEMBERS];
    clock_ms member_fault_end_at[SOAK_MEMBERS];
    clock_ms store_restore_at;
    bool settling;
    clock_ms phase_end_at;
    ev_timer step_timer;
    struct rng order_rng; /* of the options' faults */
    gboolean late_orders;
    gboolean held_orders;
    gboolean synchronous;
    gboolean config_changes;
    gboolean restored_store;
    gboolean with_accounts;
    gboolean with_withdrawals;
    bool route_hidden;        /* the last one of those that callers use */
    bool route_moved;         /* the same one, to a service without members */
    guint listed_connections; /* in the configuration */
    clock_ms next_stop_at;
    clock_ms long_outage_at; /* of the store; 0: not drawn yet */
    clock_ms lost_ms;        /* that the present outage ends with; or 0 */
    clock_ms rewrite_config_at;
    clock_ms rewrite_members_at;
    clock_ms episode_at; /* when the present episode began */
    clock_ms fail_store_at;
    clock_ms fail_store_ms;
    clock_ms fail_proxy_at;
    clock_ms config_at[EPISODE_CHANGES];
    int draining;             /* member that reports to be draining, or -1 */
    clock_ms primary_stop_at; /* 0: not scheduled */
    int ahead;                /* the replica that is not behind by then */
    int violations;
    int config_version;
    long faults;
    int outages;       /* of the store for all proxies */
    guint odd_entries; /* written so far */
};

static int network = 1;

/* Returns the address of the stand-ins. */
const char *
soak_host(void)
{
    static char host[20];

    g_snprintf(host, sizeof(host), "127.%d.0.1", network);
    return host;
}

const char *
soak_proxy_host(int proxy)
{
    static char host[SOAK_PROXIES][20];

    g_snprintf(host[proxy], sizeof(host[proxy]), "127.%d.1.%d", network,
               proxy + 1);
    return host[proxy];
}

uint16_t
soak_proxy_port(void)
{
    return CALLER_PORT;
}

void
soak_violation(struct soak *s, const char *fmt, ...)
{
    va_list ap;

    s->violations++;
    if (s->violations > VIOLATIONS_MAX) {
        return;
    }
    printf("VIOLATION at %lld: ", (long long)clock_realtime_ms());
    va_start(ap, fmt);
    vprintf(fmt, ap);
    va_end(ap);
    printf("\n");
    fflush(stdout);
}

/* Leaves an entry among those of the members that another writer got wrong, a
   different one each time. */
static void
write_odd_entry(struct soak *s)
{
    static const char *const fields[] = {
        "\"slots\":2,\"addr\":\"127.0.0.9:65536\"",
        "\"slots\":2,\"addr\":\"127.0.0.9:0\"",
        "\"slots\":2,\"addr\":\"nowhere:80\"",
        "\"slots\":99999999999999999999999,\"addr\":\"127.0.0.9:80\"",
        "\"slots\":2,\"cold_left_ms\":1e999,\"addr\":\"127.0.0.9:80\"",
        "\"slots\":2,\"addr\":",
    };
    const guint n = s->odd_entries++ % (G_N_ELEMENTS(fields) + 1);
    char *value = g_malloc0(ODD_NESTING_LEVELS + 1);

    if (n == G_N_ELEMENTS(fields)) {
        memset(value, '[', ODD_NESTING_LEVELS);
    }
    else {
        g_free(value);
        value = g_strdup_printf(
            "{\"service\":\"%s\",\"zone\":\"z0\",\"state\":\"ready\","
            "\"db_role\":\"primary\",%s}",
            SOAK_SERVICE, fields[n]);
    }
    standin_store_put(s->store, "servers", "odd", value);
    g_free(value);
}

/* Writes the members' entries to the servers table. */
static void
write_directory(struct soak *s)
{
    write_odd_entry(s);

    for (int i = 0; i < SOAK_MEMBERS; i++) {
        char key[8];
        g_snprintf(key, sizeof(key), "m%d", i);
        char *value = g_strdup_printf(
            "{\"service\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"z%d\","
            "\"version\":\"1\",\"slots\":2,\"state\":\"%s\","
            "\"cold_left_ms\":0,\"db_role\":\"%s\",\"seq\":1}",
            SOAK_SERVICE, soak_host(), MEMBER_FAULT_PROXY_PORT + i, i,
            s->draining == i ? "draining" : "ready",
            standin_group_role(s->group, i));
        standin_store_put(s->store, "servers", key, value);
        g_free(value);
    }
}

/* Writes the operator's newest configuration to the store. */
static void
put_config(struct soak *s)
{
    static const char *const types[][2] = {{"primary", "primary"},
                                           {"bounded", "bounded_staleness"},
                                           {"own", "read_your_writes"}};
    GString *o = g_string_new(NULL);

    g_string_printf(o, "{\"version\":%d,\"routes\":[", s->config_version);
    for (int i = 0; i < (s->route_hidden ? 2 : 3); i++) {
        g_string_append_printf(
            o,
            "%s{\"name\":\"r%d\",\"host\":\"%s\",\"route_type\":\"%s\","
            "\"timeout_ms\":800,\"target_latency_ms\":200,\"priority\":1,"
            "\"service\":\"%s\",\"max_staleness_ms\":1500}",
            i > 0 ? "," : "", i, types[i][0], types[i][1],
            i == 2 && s->route_moved ? EMPTY_SERVICE : SOAK_SERVICE);
    }
    operator_append_routes(s->operator, o);
    g_string_append_printf(o,
                           "],\"services\":[{\"name\":\"%s\",\"max_conns\":%u,"
                           "\"sync_replicas\":%d}",
                           SOAK_SERVICE, s->listed_connections,
                           s->synchronous);
    if (s->route_moved) {
        g_string_append(o, ",{\"name\":\"" EMPTY_SERVICE
                           "\",\"max_conns\":8,\"sync_replicas\":0}");
    }
    g_string_append(o, "],\"limits\":{\"tx_idle_ms\":3000}");
    if (s->accounts != NULL) {
        accounts_append(s->accounts, o);
    }
    g_string_append_c(o, '}');
    standin_store_put(s->store, "op", "config", o->str);
    operator_acknowledged(s->operator);
    if (s->accounts != NULL) {
        accounts_acknowledged(s->accounts);
    }
    g_string_free(o, TRUE);
}

/* Sends a signal to a process that is running. */
static void
send_signal(struct proxy_process *p, int signal)
{
    p->leaving = p->leaving || signal == SIGTERM;
    unanswered_signalled(p->soak->unanswered, p->index, signal);
    kill(p->pid, signal);
}

/* Writes a configuration with a new version. */
static void
write_config(struct soak *s)
{
    s->config_version += 2;
    operator_change_routes(s->operator);
    if (s->accounts != NULL) {
        accounts_change(s->accounts);
    }
    put_config(s);
}

/* Returns the path of a process's log file, to be freed by the caller. */
static char *
log_path(const struct proxy_process *p)
{
    const struct soak *s = p->soak;

    return g_strdup_printf("%s/node%d.log",
                           s->log_folder != NULL ? s->log_folder : s->folder,
                           p->index);
}

/* Returns the size of a process's log file, 0 if there is none yet. */
static off_t
log_bytes(const struct proxy_process *p)
{
    char *path = log_path(p);
    struct stat st;
    const off_t size = stat(path, &st) == 0 ? st.st_size : 0;

    g_free(path);
    return size;
}

/* Returns true if a signal ended a process before it had logged its start. A
   program holds SIGHUP and SIGTERM from main() until its handlers are
   installed, but while the kernel and the dynamic linker load it the default
   action applies. */
static bool
ended_while_loading(const struct proxy_process *p, int status)
{
    return WIFSIGNALED(status) &&
           (WTERMSIG(status) == SIGTERM || WTERMSIG(status) == SIGHUP) &&
           log_bytes(p) == p->log_bytes_at_start;
}

/* Starts the process; its output is appended to its log file. */
static void
start_proxy(struct proxy_process *p)
{
    struct soak *s = p->soak;
    char *log = log_path(p);

    p->leaving = false;
    operator_disturbed(s->operator, p->index);
    p->log_bytes_at_start = log_bytes(p);
    p->pid = fork();
    if (p->pid == 0) {
        setenv("GALENASTEP_SETTINGS", p->settings, 1);
        if (freopen(log, "a", stdout) == NULL ||
            dup2(STDOUT_FILENO, STDERR_FILENO) < 0) {
            _exit(126);
        }
        execl(s->program, s->program, (char *)NULL);
        _exit(127);
    }
    g_free(log);
    ev_child_set(&p->child, p->pid, 0);
    ev_child_start(s->loop, &p->child);
}

/* Schedules the restart of a process that ended. Only SIGKILL, which this test
   sends, exit status 0, and a signal while the program was being loaded are
   expected. */
static void
on_child_exit(struct ev_loop *loop, ev_child *w, int revents)
{
    struct proxy_process *p = w->data;
    const int status = w->rstatus;

    (void)revents;
    ev_child_stop(loop, w);
    p->pid = 0;
    p->sigcont_at = 0;
    operator_process_ended(p->soak->operator, p->index);
    unanswered_process_ended(p->soak->unanswered, p->index);
    if (WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL &&
        !ended_while_loading(p, status)) {
        soak_violation(p->soak, "proxy %d was terminated by signal %d",
                       p->index, WTERMSIG(status));
    }
    if (WIFEXITED(status) && WEXITSTATUS(status) != 0) {
        soak_violation(p->soak, "proxy %d exited with status %d", p->index,
                       WEXITSTATUS(status));
    }
    ev_timer_set(&p->restart_timer, 0.2, 0.0);
    ev_timer_start(loop, &p->restart_timer);
}

/* Restarts the process unless the run is over. */
static void
on_restart_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct proxy_process *p = w->data;

    (void)loop;
    (void)revents;
    if (!p->soak->settling || clock_monotonic_ms() < p->soak->phase_end_at) {
        start_proxy(p);
    }
}

static void
write_settings(struct proxy_process *p)
{
    const struct soak *s = p->soak;
    char *text = g_strdup_printf(
        "[proxy]\nname = n%d\nfailure_domain = z%d\nhost = %s\n"
        "listen = %s:%d\nready_listen = %s:%d\npeer_port = %d\n"
        "metrics_port = %d\n[peers]\nkey = galenastep-soak-0123456789abcdef0\n"
        "[store]\naddress = %s:%d\n[orders]\n"
        "address = %s:%d\n[limits]\ngrace_ms = %d\n",
        p->index, p->index % SOAK_MEMBERS, soak_proxy_host(p->index),
        soak_proxy_host(p->index), CALLER_PORT, soak_proxy_host(p->index),
        READY_PORT, PEER_PORT, METRICS_PORT, soak_proxy_host(p->index),
        STORE_PORT, soak_proxy_host(p->index), ORDERS_PORT, SOAK_GRACE_MS);

    if (s->accounts != NULL) {
        char *accounts = g_strdup_printf(
            "%s[accounts]\nstrict_revocation = true\nrevocation_ms = %d\n"
            "rate_window_s = %d\nrate_excess = %g\nrate_slack = %d\n"
            "[proxy]\nlimits_port = %d\n",
            text, SOAK_REVOCATION_MS, SOAK_RATE_WINDOW_MS / 1000,
            SOAK_RATE_EXCESS, SOAK_RATE_SLACK, LIMITS_PORT);
        g_free(text);
        text = accounts;
    }
    g_snprintf(p->settings, sizeof(p->settings), "%s/n%d.ini", s->folder,
               p->index);
    g_file_set_contents(p->settings, text, -1, NULL);
    g_free(text);
}

/* Returns a random end time for a fault that begins now. */
static clock_ms
random_fault_end_of(struct rng *r)
{
    return clock_monotonic_ms() + 200 + (clock_ms)rng_below(r, FAULT_MAX_MS);
}

static clock_ms
random_fault_end(struct soak *s)
{
    return random_fault_end_of(&s->rng);
}

/* Disturbs the process that has just ordered a promotion. Returns true if the
   answer to the order is lost as well. */
static bool
disturb_holder(struct soak *s, struct proxy_process *p)
{
    const clock_ms now = clock_monotonic_ms();
    /* A replica that was promoted too early could still catch up. */
    const bool end_member_faults =
        !s->synchronous || rng_below(&s->order_rng, 4) == 0;

    for (int i = 0; i < SOAK_MEMBERS && end_member_faults; i++) {
        if (s->member_start_at[i] != 0) {
            s->member_start_at[i] = now + RETURN_AFTER_ORDER_MS;
        }
        if (s->member_fault_end_at[i] != 0) {
            s->member_fault_end_at[i] = now + RETURN_AFTER_ORDER_MS;
        }
    }
    if (p->pid != 0) {
        switch (rng_below(&s->order_rng, 6)) {
        case 0:
            send_signal(p, SIGTERM);
            break;
        case 1:
            send_signal(p, SIGKILL);
            break;
        case 2:
            send_signal(p, SIGSTOP);
            p->sigcont_at =
                now + 1000 + (clock_ms)rng_below(&s->order_rng, FAULT_MAX_MS);
            break;
        case 3:
            fault_proxy_set_fault(
                p->store_fault_proxy,
                (enum fault)(FAULT_SILENT + rng_below(&s->order_rng, 3)));
            p->store_fault_end_at =
                now + 1000 + (clock_ms)rng_below(&s->order_rng, FAULT_MAX_MS);
            break;
        default:
            break;
        }
    }
    return rng_below(&s->order_rng, 5) == 0;
}

/* Called when an order of a process is held up on its way: disturbs the
   process and a member. */
static void
on_order_held(void *ctx)
{
    struct proxy_process *p = ctx;
    struct soak *s = p->soak;
    struct rng *r = &s->order_rng;
    const clock_ms now = clock_monotonic_ms();
    const int member = (int)rng_below(r, SOAK_MEMBERS);

    p->orders_held_until =
        now + HELD_MIN_MS + (clock_ms)rng_below(r, HELD_MAX_MS - HELD_MIN_MS);
    if (rng_below(r, 2) == 0) {
        fault_proxy_set_fault(s->member_fault_proxies[member], FAULT_SILENT);
        s->member_fault_end_at[member] = now + MEMBER_SILENT_MS;
    }
    if (p->pid == 0) {
        return;
    }
    switch (rng_below(r, 5)) {
    case 0:
        send_signal(p, SIGKILL);
        break;
    case 1:
        send_signal(p, SIGSTOP);
        p->sigcont_at = random_fault_end_of(r);
        break;
    case 2:
    case 3:
        send_signal(p, SIGTERM);
        break;
    default:
        break;
    }
}

/* Takes a promotion order; answers 200, or 409 when the member is down. */
static int
on_promote(struct soak *s, const char *holder, const char *id, uint64_t fence)
{
    const int proxy = atoi(holder + 1);
    const bool accepted = standin_group_promote(s->group, atoi(id + 1), fence);

    if (s->late_orders && !s->settling && proxy >= 0 && proxy < SOAK_PROXIES &&
        disturb_holder(s, &s->proxies[proxy])) {
        return 0;
    }
    return accepted ? 200 : 409;
}

/* With --accounts, makes half of the faults longer than the time after which
   a withdrawn key must not be used any more. */
static clock_ms
lengthen_fault(struct soak *s, clock_ms end)
{
    if (s->accounts == NULL || rng_below(&s->order_rng, 2) == 0) {
        return end;
    }
    return end + SOAK_REVOCATION_MS;
}

/* Injects a fault into one proxy process or its connection to the store. */
static void
inject_proxy_fault(struct soak *s, struct rng *r)
{
    struct proxy_process *p = &s->proxies[rng_below(r, SOAK_PROXIES)];

    if (p->pid == 0) {
        return;
    }
    operator_disturbed(s->operator, p->index);
    switch (rng_below(r, 5)) {
    case 0:
        send_signal(p, SIGKILL);
        break;
    case 1:
        send_signal(p, SIGTERM);
        break;
    case 2:
        send_signal(p, SIGSTOP);
        p->sigcont_at = lengthen_fault(s, random_fault_end_of(r));
        break;
    case 3:
        send_signal(p, SIGHUP);
        break;
    default:
        fault_proxy_set_fault(p->store_fault_proxy,
                              (enum fault)(FAULT_SILENT + rng_below(r, 3)));
        p->store_fault_end_at = lengthen_fault(s, random_fault_end_of(r));
    }
}

/* Injects a fault into one member or its connections: into the primary in half
   of the cases, else into a randomly chosen member. */
static void
inject_member_fault(struct soak *s)
{
    const int i = (int)rng_below(&s->rng, SOAK_MEMBERS);
    const int target =
        rng_below(&s->rng, 2) == 0 ? standin_group_primary(s->group) : i;

    switch (s->held_orders ? 0 : rng_below(&s->rng, 6)) {
    case 0:
        standin_group_set_down(s->group, target, true);
        s->member_start_at[target] = random_fault_end(s);
        break;
    case 1:
        fault_proxy_set_fault(
            s->member_fault_proxies[target],
            (enum fault)(FAULT_SILENT + rng_below(&s->rng, 3)));
        s->member_fault_end_at[target] = random_fault_end(s);
        break;
    case 2:
        fault_proxy_silence_connections(s->member_fault_proxies[target]);
        break;
    case 3:
        fault_proxy_close_connections(s->member_fault_proxies[target]);
        break;
    case 4:
        standin_group_set_lag(s->group, target,
                              (int64_t)rng_below(&s->rng, 1200));
        s->member_fault_end_at[target] = random_fault_end(s);
        break;
    default:
        standin_group_lose_answers(s->group, target,
                                   (int)rng_below(&s->rng, 20));
        s->member_fault_end_at[target] = random_fault_end(s);
    }
}

/* With --restored-store, lets most outages end with a loss of the last
   seconds. */
static void
draw_loss(struct soak *s)
{
    if (s->restored_store && rng_below(&s->order_rng, 4) > 0) {
        s->lost_ms = 1 + (clock_ms)rng_below(&s->order_rng, LOST_MAX_MS);
    }
}

/* Injects a fault into the store, or rewrites the configuration. */
static void
inject_store_fault(struct soak *s)
{
    switch (rng_below(&s->rng, 4)) {
    case 0:
        /* Not drawn, so that earlier seeds play the same faults. */
        if (s->outages++ % 2 == 0) {
            standin_store_set_down(s->store, true);
        }
        else {
            standin_store_set_silent(s->store, true);
        }
        s->store_restore_at = lengthen_fault(s, random_fault_end(s));
        draw_loss(s);
        break;
    case 1:
        standin_store_lose_answers(s->store, true);
        s->store_restore_at = random_fault_end(s);
        break;
    case 2:
        standin_store_discard_history(s->store);
        break;
    default:
        write_config(s);
    }
}

/* Makes the store fail for a while, in one of the ways. */
static void
fail_store(struct soak *s, clock_ms for_ms)
{
    switch (rng_below(&s->order_rng, 4)) {
    case 0:
        standin_store_set_down(s->store, true);
        break;
    case 1:
        standin_store_lose_answers(s->store, true);
        break;
    default:
        standin_store_set_silent(s->store, true);
    }
    s->store_restore_at = clock_monotonic_ms() + for_ms;
    draw_loss(s);
}

/* Plays one step of an episode of --config-changes, which lasts EPISODE_MS: a
   change, a fault of the store soon after it, more changes around the end of
   the fault and, in half of the episodes, a fault of one process. Then nothing
   disturbs the system for longer than the operator grants it. */
static void
step_episode(struct soak *s)
{
    const clock_ms now = clock_monotonic_ms();

    if (now >= s->episode_at + EPISODE_MS) {
        struct rng *r = &s->order_rng;
        s->episode_at = now;
        s->faults++;
        s->fail_store_at = now + (clock_ms)rng_below(r, 1200);
        s->fail_store_ms = 200 + (clock_ms)rng_below(r, 1800);
        const clock_ms end = s->fail_store_at + s->fail_store_ms;
        s->fail_proxy_at = rng_below(r, 2) == 0
                               ? now + (clock_ms)rng_below(r, 4000)
                               : CLOCK_NEVER;
        s->config_at[0] = now;
        s->config_at[1] = end + (clock_ms)rng_below(r, 1500);
        s->config_at[2] = rng_below(r, 2) == 0
                              ? end + 1500 + (clock_ms)rng_below(r, 2500)
                              : CLOCK_NEVER;
        for (int i = 3; i < EPISODE_CHANGES; i++) {
            s->config_at[i] = s->restored_store
                                  ? now + (clock_ms)rng_below(r, 1200)
                                  : CLOCK_NEVER;
        }
    }
    for (int i = 0; i < EPISODE_CHANGES; i++) {
        if (now >= s->config_at[i] && s->store_restore_at == 0) {
            s->config_at[i] = CLOCK_NEVER;
            write_config(s);
        }
    }
    if (now >= s->fail_store_at) {
        s->fail_store_at = CLOCK_NEVER;
        fail_store(s, s->fail_store_ms);
    }
    if (now >= s->fail_proxy_at) {
        s->fail_proxy_at = CLOCK_NEVER;
        inject_proxy_fault(s, &s->order_rng);
    }
}

/* Makes one replica the only one with the newest commits, often a draining
   one, and stops the primary some time later, often together with that
   replica. */
static void
inject_synchronous_fault(struct soak *s)
{
    const clock_ms now = clock_monotonic_ms();
    const int primary = standin_group_primary(s->group);

    if (s->primary_stop_at != 0 && now >= s->primary_stop_at) {
        s->primary_stop_at = 0;
        standin_group_set_down(s->group, primary, true);
        s->member_start_at[primary] = random_fault_end_of(&s->order_rng);
        if (s->ahead != primary && rng_below(&s->order_rng, 3) > 0) {
            standin_group_set_down(s->group, s->ahead, true);
            s->member_start_at[s->ahead] =
                now + AHEAD_DOWN_MIN_MS +
                (clock_ms)rng_below(&s->order_rng,
                                    FAULT_MAX_MS - AHEAD_DOWN_MIN_MS);
        }
    }
    else if (s->primary_stop_at == 0 && rng_below(&s->order_rng, 5) == 0) {
        const int ahead =
            (primary + 1 + (int)rng_below(&s->order_rng, SOAK_MEMBERS - 1)) %
            SOAK_MEMBERS;
        const int behind = SOAK_MEMBERS - primary - ahead;
        s->ahead = ahead;
        s->draining = rng_below(&s->order_rng, 3) == 0 ? -1 : ahead;
        standin_group_set_lag(s->group, behind, LAG_MS);
        s->member_fault_end_at[behind] = random_fault_end_of(&s->order_rng);
        s->primary_stop_at = now + LAG_MS / 2;
        write_directory(s);
    }
}

/* Changes keys and limits, and lets the store fail once in half of the runs
   for longer than a withdrawn key may be used. */
static void
step_accounts(struct soak *s)
{
    const clock_ms now = clock_monotonic_ms();

    if (s->long_outage_at == 0) {
        s->long_outage_at =
            rng_below(&s->order_rng, 2) == 0
                ? CLOCK_NEVER
                : now + (clock_ms)rng_below(&s->order_rng,
                                            LONG_OUTAGE_WITHIN_MS);
    }
    if (now >= s->long_outage_at) {
        s->long_outage_at = CLOCK_NEVER;
        s->faults++;
        fail_store(s, SOAK_REVOCATION_MS + 1000 +
                          (clock_ms)rng_below(&s->order_rng, FAULT_MAX_MS));
    }
    if (rng_below(&s->order_rng, 2) == 0) {
        write_config(s);
    }
}

/* Stops a process, unless the last stop was a short time ago. */
static void
stop_process(struct proxy_process *p)
{
    struct soak *s = p->soak;
    const clock_ms now = clock_monotonic_ms();

    if (now >= s->next_stop_at && p->pid != 0 && !p->leaving) {
        s->next_stop_at = now + STOP_GAP_MS;
        s->faults++;
        operator_disturbed(s->operator, p->index);
        send_signal(p, SIGTERM);
    }
}

/* Does one piece of the planned work of --withdrawals. */
static void
apply_withdrawal(struct soak *s, enum withdrawal_kind kind)
{
    struct proxy_process *p =
        &s->proxies[rng_below(&s->order_rng, SOAK_PROXIES)];

    switch (kind) {
    case RELOAD:
        if (p->pid != 0) {
            send_signal(p, SIGHUP);
        }
        return;
    case STOP:
        stop_process(p);
        return;
    case WITHDRAW_KEY:
    case WITHDRAW_ACCOUNT:
        accounts_withdraw(s->accounts, kind == WITHDRAW_ACCOUNT);
        break;
    case RETURN_KEYS:
        accounts_return_keys(s->accounts);
        break;
    case CHANGE_RATE:
        accounts_change_rate(s->accounts);
        break;
    case CHANGE_ROUTES:
        operator_change_routes(s->operator);
        break;
    case TOGGLE_ROUTE:
        s->route_hidden = !s->route_hidden;
        break;
    case MOVE_ROUTE:
        s->route_moved = !s->route_moved;
        break;
    default:
        s->listed_connections =
            s->listed_connections == s->max_connections
                ? s->max_connections - s->max_connections / 4
                : s->max_connections;
    }
    s->config_version += 1 + (int)rng_below(&s->order_rng, 3);
    put_config(s);
}

static void
step_withdrawals(struct soak *s)
{
    enum withdrawal_kind kind;

    while (withdrawals_next(s->withdrawals, &kind)) {
        apply_withdrawal(s, kind);
    }
}

/* Records which processes are disturbed by a fault in progress. */
static void
record_disturbances(struct soak *s)
{
    for (int i = 0; i < SOAK_PROXIES; i++) {
        const struct proxy_process *p = &s->proxies[i];
        if (p->pid == 0 || p->sigcont_at != 0 || p->store_fault_end_at != 0) {
            operator_disturbed(s->operator, i);
        }
    }
    if (s->store_restore_at != 0) {
        operator_disturbed(s->operator, - 1);
    }
}

/* Ends the faults that are due, or all of them. */
static void
end_faults(struct soak *s, bool all)
{
    const clock_ms now = all ? CLOCK_NEVER : clock_monotonic_ms();

    for (int i = 0; i < SOAK_PROXIES; i++) {
        struct proxy_process *p = &s->proxies[i];
        if (p->sigcont_at != 0 && now >= p->sigcont_at) {
            p->sigcont_at = 0;
            send_signal(p, SIGCONT);
        }
        if (s->settling ||
            (p->orders_held_until != 0 && now >= p->orders_held_until)) {
            p->orders_held_until = 0;
            fault_proxy_set_fault(p->orders_fault_proxy, FAULT_NONE);
            if (s->held_orders && !s->settling) {
                fault_proxy_set_fault(p->orders_fault_proxy, FAULT_HOLD);
            }
        }
        if (p->store_fault_end_at != 0 && now >= p->store_fault_end_at) {
            p->store_fault_end_at = 0;
            fault_proxy_set_fault(p->store_fault_proxy, FAULT_NONE);
        }
    }
    for (int i = 0; i < SOAK_MEMBERS; i++) {
        if (s->member_start_at[i] != 0 && now >= s->member_start_at[i]) {
            s->member_start_at[i] = 0;
            standin_group_set_down(s->group, i, false);
        }
        if (s->member_fault_end_at[i] != 0 &&
            now >= s->member_fault_end_at[i]) {
            s->member_fault_end_at[i] = 0;
            fault_proxy_set_fault(s->member_fault_proxies[i], FAULT_NONE);
            standin_group_set_lag(s->group, i, 0);
            standin_group_lose_answers(s->group, i, 0);
        }
    }
    if (s->store_restore_at != 0 && now >= s->store_restore_at) {
        s->store_restore_at = 0;
        if (s->lost_ms != 0) {
            standin_store_restore(s->store, s->lost_ms);
            s->lost_ms = 0;
            s->rewrite_config_at =
                clock_monotonic_ms() +
                (clock_ms)rng_below(&s->order_rng, CONFIG_REWRITE_MAX_MS);
            s->rewrite_members_at =
                clock_monotonic_ms() +
                (clock_ms)rng_below(&s->order_rng, MEMBERS_REWRITE_MAX_MS);
        }
        standin_store_set_down(s->store, false);
        standin_store_set_silent(s->store, false);
        standin_store_lose_answers(s->store, false);
    }
    if (s->rewrite_config_at != 0 && now >= s->rewrite_config_at) {
        s->rewrite_config_at = 0;
        put_config(s);
    }
    if (s->rewrite_members_at != 0 && now >= s->rewrite_members_at) {
        s->rewrite_members_at = 0;
        write_directory(s);
    }
}

/* Ends due faults and injects the next one at random. After the given time no
   fault is injected any more; the run ends SETTLE_S later. */
static void
on_step(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct soak *s = w->data;

    (void)revents;
    record_disturbances(s);
    end_faults(s, s->settling);
    if (s->settling) {
        if (clock_monotonic_ms() >= s->phase_end_at) {
            ev_break(loop, EVBREAK_ALL);
        }
        return;
    }
    if (clock_monotonic_ms() >= s->phase_end_at) {
        s->settling = true;
        s->draining = -1;
        write_directory(s);
        s->phase_end_at =
            clock_monotonic_ms() +
            (clock_ms)(s->accounts != NULL ? SETTLE_ACCOUNTS_S : SETTLE_S) *
                1000;
        s->route_hidden = false;
        s->route_moved = false;
        s->listed_connections = s->max_connections;
        if (s->accounts != NULL) {
            accounts_settle(s->accounts);
            s->config_version += 2;
            put_config(s);
        }
        return;
    }
    if (s->config_changes) {
        step_episode(s);
        return;
    }
    if (s->withdrawals != NULL) {
        step_withdrawals(s);
        return;
    }
    if (s->synchronous) {
        inject_synchronous_fault(s);
    }
    if (s->accounts != NULL) {
        step_accounts(s);
    }
    const uint64_t draw = rng_below(&s->rng, 20);
    s->faults += draw < 9;
    if (draw < 3) {
        inject_proxy_fault(s, &s->rng);
    }
    else if (draw < 8) {
        inject_member_fault(s);
    }
    else if (draw < 9 && (s->accounts == NULL || s->store_restore_at == 0)) {
        inject_store_fault(s);
    }
}

/* Starts the stand-ins, the fault proxies, the proxy processes and the
   callers. */
static void
start_all(struct soak *s, uint64_t seed)
{
    standin_group_on_role_change = write_directory;
    s->group = standin_group_create(s, s->loop, &s->rng, s->max_connections);
    standin_group_set_mode(
        s->group,
        s->late_orders
            ? PROMOTION_MIN_MS +
                  (int64_t)rng_below(&s->order_rng,
                                     PROMOTION_MAX_MS - PROMOTION_MIN_MS)
            : PROMOTION_MIN_MS,
        s->synchronous);
    s->store =
        standin_store_create(s, s->loop, soak_host(), STORE_PORT, on_promote);
    for (int i = 0; i < SOAK_MEMBERS; i++) {
        s->member_fault_proxies[i] = fault_proxy_create(
            s->loop, soak_host(), (uint16_t)(MEMBER_FAULT_PROXY_PORT + i),
            soak_host(), standin_group_port(i));
    }
    s->unanswered = unanswered_create(s, s->group);
    s->operator= operator_create(s, s->loop, seed + 3);
    if (s->with_accounts) {
        s->accounts = accounts_create(s, seed + 4, CALLERS);
        standin_group_set_accounts(s->group, s->accounts);
        operator_make_routes_public(s->operator);
    }
    if (s->with_withdrawals) {
        s->withdrawals = withdrawals_create(seed + 5);
        s->next_stop_at = clock_monotonic_ms() + FIRST_STOP_MS;
        accounts_keep_keys(s->accounts, KEEP_WITHDRAWN_KEY_MS);
    }
    write_directory(s);
    write_config(s);
    for (int i = 0; i < SOAK_PROXIES; i++) {
        struct proxy_process *p = &s->proxies[i];
        p->soak = s;
        p->index = i;
        p->store_fault_proxy = fault_proxy_create(
            s->loop, soak_proxy_host(i), STORE_PORT, soak_host(), STORE_PORT);
        p->orders_fault_proxy = fault_proxy_create(
            s->loop, soak_proxy_host(i), ORDERS_PORT, soak_host(), STORE_PORT);
        fault_proxy_on_held(p->orders_fault_proxy, on_order_held, p);
        if (s->held_orders) {
            fault_proxy_set_fault(p->orders_fault_proxy, FAULT_HOLD);
        }
        write_settings(p);
        ev_child_init(&p->child, on_child_exit, 0, 0);
        p->child.data = p;
        ev_timer_init(&p->restart_timer, on_restart_timer, 0.0, 0.0);
        p->restart_timer.data = p;
        start_proxy(p);
    }
    s->callers =
        callers_create(s, s->loop, s->group, s->unanswered, seed + 1, CALLERS);
    if (s->synchronous) {
        callers_expect_synchronous(s->callers);
    }
    if (s->accounts != NULL) {
        callers_use_accounts(s->callers, s->accounts);
    }
    if (s->withdrawals != NULL) {
        callers_use_long_transactions(s->callers);
    }
}

/* Kills the processes that this run started and frees everything. */
static void
stop_all(struct soak *s)
{
    for (int i = 0; i < SOAK_PROXIES; i++) {
        struct proxy_process *p = &s->proxies[i];
        ev_child_stop(s->loop, &p->child);
        ev_timer_stop(s->loop, &p->restart_timer);
        if (p->pid != 0) {
            kill(p->pid, SIGKILL);
            waitpid(p->pid, NULL, 0);
        }
        fault_proxy_destroy(p->store_fault_proxy);
        fault_proxy_destroy(p->orders_fault_proxy);
        unlink(p->settings);
        if (s->accounts != NULL) {
            char *path = log_path(p);
            accounts_check_log(s->accounts, path);
            g_free(path);
        }
        char *log = g_strdup_printf("%s/node%d.log", s->folder, i);
        unlink(log);
        g_free(log);
    }
    for (int i = 0; i < SOAK_MEMBERS; i++) {
        fault_proxy_destroy(s->member_fault_proxies[i]);
    }
    callers_destroy(s->callers);
    operator_destroy(s->operator);
    standin_store_destroy(s->store);
    standin_group_destroy(s->group);
    if (s->accounts != NULL) {
        accounts_destroy(s->accounts);
    }
    if (s->withdrawals != NULL) {
        withdrawals_destroy(s->withdrawals);
    }
    unanswered_destroy(s->unanswered);
    rmdir(s->folder);
}

/* Chooses a network 127.N that no other soak on this machine uses. The search
   starts at the pid, so that parallel runs rarely collide. */
static void
choose_network(void)
{
    for (int i = 0; i < NETWORKS; i++) {
        network = 1 + (getpid() + i) % NETWORKS;
        const int fd = listener_open(soak_host(), STORE_PORT);
        if (fd >= 0) {
            close(fd);
            return;
        }
    }
}

int
main(int argc, char **argv)
{
    static struct soak s = {.draining = -1};
    const GOptionEntry options[] = {
        {"late-orders", 0, 0, G_OPTION_ARG_NONE, &s.late_orders,
         "Disturb the process that orders a promotion", NULL},
        {"held-orders", 0, 0, G_OPTION_ARG_NONE, &s.held_orders,
         "Hold orders of promotions up on their way", NULL},
        {"sync-replicas", 0, 0, G_OPTION_ARG_NONE, &s.synchronous,
         "Make commits synchronous", NULL},
        {"config-changes", 0, 0, G_OPTION_ARG_NONE, &s.config_changes,
         "Change the configuration around few faults", NULL},
        {"restored-store", 0, 0, G_OPTION_ARG_NONE, &s.restored_store,
         "Let the store come back from an older copy", NULL},
        {"accounts", 0, 0, G_OPTION_ARG_NONE, &s.with_accounts,
         "Give the callers keys of accounts with limits", NULL},
        {"withdrawals", 0, 0, G_OPTION_ARG_NONE, &s.with_withdrawals,
         "Withdraw keys in series, beside other planned work", NULL},
        {0},
    };
    GOptionContext *context = g_option_context_new(
        "PROGRAM SEED SECONDS [MAX_CONNECTIONS [LOG_FOLDER]]");
    GError *error = NULL;

    g_option_context_add_main_entries(context, options, NULL);
    const bool parsed = g_option_context_parse(context, &argc, &argv, &error);
    g_option_context_free(context);
    s.with_accounts = s.with_accounts || s.with_withdrawals;
    if (!parsed || argc < 4 || (s.with_accounts && s.restored_store)) {
        fprintf(stderr, "soak: %s\n",
                !parsed    ? error->message
                : argc < 4 ? "PROGRAM, SEED and SECONDS are required"
                           : "--accounts excludes --restored-store");
        g_clear_error(&error);
        return 2;
    }
    const uint64_t seed = strtoull(argv[2], NULL, 10);
    const int64_t seconds = strtoll(argv[3], NULL, 10);
    choose_network();
    s.program = argv[1];
    s.max_connections = argc > 4 ? (guint)atoi(argv[4]) : MAX_CONNECTIONS;
    s.listed_connections = s.max_connections;
    s.log_folder = argc > 5 ? argv[5] : NULL;
    s.loop = ev_default_loop(EVFLAG_AUTO);
    s.phase_end_at = clock_monotonic_ms() + seconds * 1000;
    signal(SIGPIPE, SIG_IGN);
    rng_seed(&s.rng, seed);
    rng_seed(&s.order_rng, seed + 2);
    g_strlcpy(s.folder, "/tmp/galenastep-soak.XXXXXX", sizeof(s.folder));
    if (mkdtemp(s.folder) == NULL) {
        perror("mkdtemp");
        return 2;
    }
    start_all(&s, seed);
    s.episode_at = -EPISODE_MS;
    ev_timer_init(&s.step_timer, on_step, 2.0,
                  s.config_changes     ? EPISODE_STEP_S
                  : s.with_withdrawals ? WITHDRAWALS_STEP_S
                                       : FAULT_STEP_S);
    s.step_timer.data = &s;
    ev_timer_start(s.loop, &s.step_timer);
    ev_run(s.loop, 0);
    const long served = callers_succeeded(s.callers);
    if (s.accounts != NULL) {
        accounts_check_progress(s.accounts,
                                clock_monotonic_ms() - PROGRESS_MS);
    }
    callers_stop(s.callers);
    s.phase_end_at = clock_monotonic_ms() + 1500;
    ev_run(s.loop, 0);
    callers_check(s.callers);
    unanswered_check(s.unanswered);
    printf("seed=%llu faults=%ld ", (unsigned long long)seed, s.faults);
    callers_report(s.callers);
    unanswered_report(s.unanswered);
    if (s.accounts != NULL) {
        accounts_report(s.accounts);
    }
    if (served == 0) {
        soak_violation(&s, "no statement succeeded");
    }
    const long probes = operator_answers(s.operator);
    stop_all(&s);
    printf("probes=%ld violations=%d\n", probes, s.violations);
    return s.violations == 0 ? 0 : 1;
}

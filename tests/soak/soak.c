#include "soak/soak.h"

#include "base/listener.h"

#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/* Runs galenastep-platform processes against stand-ins, disturbs them for a
   while, lets them recover, and checks what callers and members saw.

     soak PROGRAM SEED SECONDS [LOG_FOLDER]

   Exit 0 when no promise was broken. */

#define FRONT_PORT 26000
#define READY_PORT 26001
#define PEER_PORT 26002
#define METRICS_PORT 26003
#define STORE_PORT 26010
#define ORDERS_PORT 26011
#define MEMBER_PROXY_PORT 26200
#define NETWORKS 250
#define CALLERS 24
#define STEP_S 0.25
#define SETTLE_S 6
#define FAULT_MAX_MS 3500
#define VIOLATIONS_MAX 20

struct node {
    struct soak *soak;
    int index;
    pid_t pid;
    ev_child child;
    ev_timer restart;
    bool leaving;
    char settings[128];
    struct fault_proxy *store_proxy;
    clock_ms resume_at;  /* SIGCONT is due, 0 if not */
    clock_ms connect_at; /* the store is reachable again, 0 if it is */
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
    struct node nodes[SOAK_NODES];
    struct fault_proxy *member_proxies[SOAK_MEMBERS];
    clock_ms member_back[SOAK_MEMBERS];
    clock_ms member_heal[SOAK_MEMBERS];
    clock_ms store_back;
    bool ending;
    clock_ms end_at;
    ev_timer step;
    int violations;
    int config_version;
    long faults;
};

static int network = 1;

/* Returns the address of the store and the members. */
const char *
soak_host(void)
{
    static char host[20];

    g_snprintf(host, sizeof(host), "127.%d.0.1", network);
    return host;
}

/* Returns a proxy's address. */
const char *
soak_front_host(int node)
{
    static char host[SOAK_NODES][20];

    g_snprintf(host[node], sizeof(host[node]), "127.%d.1.%d", network,
               node + 1);
    return host[node];
}

/* Returns the port on which proxies serve callers. */
uint16_t
soak_front_port(void)
{
    return FRONT_PORT;
}

/* Reports a broken promise. */
void
soak_violation(struct soak *s, const char *fmt, ...)
{
    va_list ap;

    s->violations++;
    if (s->violations > VIOLATIONS_MAX) {
        return;
    }
    printf("VIOLATION at %lld: ", (long long)clock_wall_now());
    va_start(ap, fmt);
    vprintf(fmt, ap);
    va_end(ap);
    printf("\n");
    fflush(stdout);
}

/* Writes the members' entries. */
static void
write_directory(struct soak *s)
{
    for (int i = 0; i < SOAK_MEMBERS; i++) {
        char key[8];
        g_snprintf(key, sizeof(key), "m%d", i);
        char *value = g_strdup_printf(
            "{\"service\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"z%d\","
            "\"version\":\"1\",\"slots\":2,\"state\":\"ready\","
            "\"cold_left_ms\":0,\"db_role\":\"%s\",\"seq\":1}",
            SOAK_SERVICE, soak_host(), MEMBER_PROXY_PORT + i, i,
            standin_group_role(s->group, i));
        standin_store_put(s->store, "servers", key, value);
        g_free(value);
    }
}

/* Writes the operator's configuration. */
static void
write_config(struct soak *s)
{
    static const char *const types[][2] = {{"primary", "primary"},
                                           {"bounded", "bounded_staleness"},
                                           {"own", "read_your_writes"}};
    GString *o = g_string_new(NULL);

    s->config_version += 2;
    g_string_printf(o, "{\"version\":%d,\"routes\":[", s->config_version);
    for (int i = 0; i < 3; i++) {
        g_string_append_printf(
            o,
            "%s{\"name\":\"r%d\",\"host\":\"%s\",\"route_type\":\"%s\","
            "\"timeout_ms\":800,\"target_latency_ms\":200,\"priority\":1,"
            "\"service\":\"%s\",\"max_staleness_ms\":1500}",
            i > 0 ? "," : "", i, types[i][0], types[i][1], SOAK_SERVICE);
    }
    g_string_append_printf(o,
                           "],\"services\":[{\"name\":\"%s\",\"max_conns\":16,"
                           "\"sync_replicas\":0}],\"limits\":{\"tx_idle_ms\":"
                           "3000}}",
                           SOAK_SERVICE);
    standin_store_put(s->store, "op", "config", o->str);
    g_string_free(o, TRUE);
}

/* Takes an order: 200, or 409 when the member does not run. */
static int
on_promote(struct soak *s, const char *id, uint64_t fence)
{
    return standin_group_promote(s->group, atoi(id + 1), fence) ? 200 : 409;
}

/* Starts a proxy process. */
static void
start_node(struct node *n)
{
    struct soak *s = n->soak;
    char *log = g_strdup_printf(
        "%s/node%d.log", s->log_folder != NULL ? s->log_folder : s->folder,
        n->index);

    n->leaving = false;
    n->pid = fork();
    if (n->pid == 0) {
        setenv("GALENASTEP_SETTINGS", n->settings, 1);
        if (freopen(log, "a", stdout) == NULL ||
            dup2(STDOUT_FILENO, STDERR_FILENO) < 0) {
            _exit(126);
        }
        execl(s->program, s->program, (char *)NULL);
        _exit(127);
    }
    g_free(log);
    ev_child_set(&n->child, n->pid, 0);
    ev_child_start(s->loop, &n->child);
}

/* A process ended: starts it again after a moment. */
static void
on_child(struct ev_loop *loop, ev_child *w, int revents)
{
    struct node *n = w->data;
    const int status = w->rstatus;

    (void)revents;
    ev_child_stop(loop, w);
    n->pid = 0;
    n->resume_at = 0;
    if (WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL) {
        soak_violation(n->soak, "node %d ended by signal %d", n->index,
                       WTERMSIG(status));
    }
    if (WIFEXITED(status) && WEXITSTATUS(status) != 0) {
        soak_violation(n->soak, "node %d exited with %d", n->index,
                       WEXITSTATUS(status));
    }
    ev_timer_set(&n->restart, 0.2, 0.0);
    ev_timer_start(loop, &n->restart);
}

/* The moment is over. */
static void
on_restart(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct node *n = w->data;

    (void)loop;
    (void)revents;
    if (!n->soak->ending || clock_now() < n->soak->end_at) {
        start_node(n);
    }
}

/* Writes a proxy's settings. */
static void
write_settings(struct node *n)
{
    const struct soak *s = n->soak;
    char *text = g_strdup_printf(
        "[proxy]\nname = n%d\nfailure_domain = z%d\nhost = %s\n"
        "listen = %s:%d\nready_listen = %s:%d\npeer_port = %d\n"
        "metrics_port = %d\n[peers]\nkey = galenastep-soak-0123456789abcdef0\n"
        "[store]\naddress = %s:%d\n[orders]\n"
        "address = %s:%d\n[limits]\ngrace_ms = 3000\n",
        n->index, n->index % SOAK_MEMBERS, soak_front_host(n->index),
        soak_front_host(n->index), FRONT_PORT, soak_front_host(n->index),
        READY_PORT, PEER_PORT, METRICS_PORT, soak_front_host(n->index),
        STORE_PORT, soak_host(), STORE_PORT);

    g_snprintf(n->settings, sizeof(n->settings), "%s/n%d.ini", s->folder,
               n->index);
    g_file_set_contents(n->settings, text, -1, NULL);
    g_free(text);
}

/* Returns a moment at which a fault that begins now ends. */
static clock_ms
fault_end(struct soak *s)
{
    return clock_now() + 200 + (clock_ms)rng_below(&s->rng, FAULT_MAX_MS);
}

/* Disturbs one process. */
static void
disturb_node(struct soak *s)
{
    struct node *n = &s->nodes[rng_below(&s->rng, SOAK_NODES)];

    if (n->pid == 0) {
        return;
    }
    switch (rng_below(&s->rng, 5)) {
    case 0:
        kill(n->pid, SIGKILL);
        break;
    case 1:
        kill(n->pid, SIGTERM);
        break;
    case 2:
        kill(n->pid, SIGSTOP);
        n->resume_at = fault_end(s);
        break;
    case 3:
        kill(n->pid, SIGHUP);
        break;
    default:
        fault_proxy_set(n->store_proxy,
                        (enum fault)(FAULT_SILENT + rng_below(&s->rng, 3)));
        n->connect_at = fault_end(s);
    }
}

/* Disturbs one member or its connections. */
static void
disturb_member(struct soak *s)
{
    const int i = (int)rng_below(&s->rng, SOAK_MEMBERS);
    const int target =
        rng_below(&s->rng, 2) == 0 ? standin_group_primary(s->group) : i;

    switch (rng_below(&s->rng, 6)) {
    case 0:
        standin_group_crash(s->group, target, true);
        s->member_back[target] = fault_end(s);
        break;
    case 1:
        fault_proxy_set(s->member_proxies[target],
                        (enum fault)(FAULT_SILENT + rng_below(&s->rng, 3)));
        s->member_heal[target] = fault_end(s);
        break;
    case 2:
        fault_proxy_silence_open(s->member_proxies[target]);
        break;
    case 3:
        fault_proxy_reset_open(s->member_proxies[target]);
        break;
    case 4:
        standin_group_lag(s->group, target, (int64_t)rng_below(&s->rng, 1200));
        s->member_heal[target] = fault_end(s);
        break;
    default:
        standin_group_lose_answers(s->group, target,
                                   (int)rng_below(&s->rng, 20));
        s->member_heal[target] = fault_end(s);
    }
}

/* Disturbs the store. */
static void
disturb_store(struct soak *s)
{
    switch (rng_below(&s->rng, 4)) {
    case 0:
        standin_store_set_down(s->store, true);
        s->store_back = fault_end(s);
        break;
    case 1:
        standin_store_lose_answers(s->store, true);
        s->store_back = fault_end(s);
        break;
    case 2:
        standin_store_forget(s->store);
        break;
    default:
        write_config(s);
    }
}

/* Ends the faults whose time is over, or all of them. */
static void
heal(struct soak *s, bool all)
{
    const clock_ms now = all ? CLOCK_NEVER : clock_now();

    for (int i = 0; i < SOAK_NODES; i++) {
        struct node *n = &s->nodes[i];
        if (n->resume_at != 0 && now >= n->resume_at) {
            n->resume_at = 0;
            kill(n->pid, SIGCONT);
        }
        if (n->connect_at != 0 && now >= n->connect_at) {
            n->connect_at = 0;
            fault_proxy_set(n->store_proxy, FAULT_NONE);
        }
    }
    for (int i = 0; i < SOAK_MEMBERS; i++) {
        if (s->member_back[i] != 0 && now >= s->member_back[i]) {
            s->member_back[i] = 0;
            standin_group_crash(s->group, i, false);
        }
        if (s->member_heal[i] != 0 && now >= s->member_heal[i]) {
            s->member_heal[i] = 0;
            fault_proxy_set(s->member_proxies[i], FAULT_NONE);
            standin_group_lag(s->group, i, 0);
            standin_group_lose_answers(s->group, i, 0);
        }
    }
    if (s->store_back != 0 && now >= s->store_back) {
        s->store_back = 0;
        standin_store_set_down(s->store, false);
        standin_store_lose_answers(s->store, false);
    }
}

/* One step of the schedule. */
static void
on_step(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct soak *s = w->data;

    (void)revents;
    heal(s, s->ending);
    if (s->ending) {
        if (clock_now() >= s->end_at) {
            ev_break(loop, EVBREAK_ALL);
        }
        return;
    }
    if (clock_now() >= s->end_at) {
        s->ending = true;
        s->end_at = clock_now() + (clock_ms)SETTLE_S * 1000;
        return;
    }
    const uint64_t what = rng_below(&s->rng, 20);
    s->faults += what < 9;
    if (what < 3) {
        disturb_node(s);
    }
    else if (what < 8) {
        disturb_member(s);
    }
    else if (what < 9) {
        disturb_store(s);
    }
}

/* Starts the stand-ins, the proxies between, and the processes. */
static void
start_all(struct soak *s, uint64_t seed)
{
    standin_group_changed = write_directory;
    s->group = standin_group_create(s, s->loop, &s->rng);
    s->store =
        standin_store_create(s, s->loop, soak_host(), STORE_PORT, on_promote);
    for (int i = 0; i < SOAK_MEMBERS; i++) {
        s->member_proxies[i] = fault_proxy_create(
            s->loop, soak_host(), (uint16_t)(MEMBER_PROXY_PORT + i),
            soak_host(), standin_group_port(i));
    }
    write_directory(s);
    write_config(s);
    for (int i = 0; i < SOAK_NODES; i++) {
        struct node *n = &s->nodes[i];
        n->soak = s;
        n->index = i;
        n->store_proxy = fault_proxy_create(
            s->loop, soak_front_host(i), STORE_PORT, soak_host(), STORE_PORT);
        write_settings(n);
        ev_child_init(&n->child, on_child, 0, 0);
        n->child.data = n;
        ev_timer_init(&n->restart, on_restart, 0.0, 0.0);
        n->restart.data = n;
        start_node(n);
    }
    s->callers = callers_create(s, s->loop, s->group, seed + 1, CALLERS);
}

/* Ends the processes that were started, and only these. */
static void
stop_all(struct soak *s)
{
    for (int i = 0; i < SOAK_NODES; i++) {
        struct node *n = &s->nodes[i];
        ev_child_stop(s->loop, &n->child);
        ev_timer_stop(s->loop, &n->restart);
        if (n->pid != 0) {
            kill(n->pid, SIGKILL);
            waitpid(n->pid, NULL, 0);
        }
        fault_proxy_destroy(n->store_proxy);
        unlink(n->settings);
        char *log = g_strdup_printf("%s/node%d.log", s->folder, i);
        unlink(log);
        g_free(log);
    }
    for (int i = 0; i < SOAK_MEMBERS; i++) {
        fault_proxy_destroy(s->member_proxies[i]);
    }
    callers_destroy(s->callers);
    standin_store_destroy(s->store);
    standin_group_destroy(s->group);
    rmdir(s->folder);
}

/* Chooses a network that no other soak uses now. */
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
    struct soak s = {0};

    if (argc < 4) {
        fprintf(stderr, "usage: soak PROGRAM SEED SECONDS [LOG_FOLDER]\n");
        return 2;
    }
    const uint64_t seed = strtoull(argv[2], NULL, 10);
    const int64_t seconds = strtoll(argv[3], NULL, 10);
    choose_network();
    s.program = argv[1];
    s.log_folder = argc > 4 ? argv[4] : NULL;
    s.loop = ev_default_loop(EVFLAG_AUTO);
    s.end_at = clock_now() + seconds * 1000;
    signal(SIGPIPE, SIG_IGN);
    rng_seed(&s.rng, seed);
    g_strlcpy(s.folder, "/tmp/galenastep-soak.XXXXXX", sizeof(s.folder));
    if (mkdtemp(s.folder) == NULL) {
        perror("mkdtemp");
        return 2;
    }
    start_all(&s, seed);
    ev_timer_init(&s.step, on_step, 2.0, STEP_S);
    s.step.data = &s;
    ev_timer_start(s.loop, &s.step);
    ev_run(s.loop, 0);
    const long served = callers_served(s.callers);
    callers_stop(s.callers);
    s.end_at = clock_now() + 1500;
    ev_run(s.loop, 0);
    callers_check(s.callers);
    printf("seed=%llu faults=%ld ", (unsigned long long)seed, s.faults);
    callers_report(s.callers);
    if (served == 0) {
        soak_violation(&s, "nothing was served");
    }
    printf("violations=%d\n", s.violations);
    stop_all(&s);
    return s.violations == 0 ? 0 : 1;
}

#include "soak/soak.h"

#include "base/listener.h"

#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/* Stops a galenastep-platform process with SIGTERM while its callers are in
   transactions, send several requests in one packet or do not read their
   answers, and keep their connections open until the process is gone. Every
   request that a member has begun to execute must be answered, and the answer
   must be true.

     planned_stop PROGRAM SEED GRACE_MS TIMEOUT_MS EXECUTION_MS

   TIMEOUT_MS is the route's timeout of a statement; statements take up to
   EXECUTION_MS. Exit status 0: no guarantee was broken. 1: at least one was.
   2: wrong usage or the process did not become ready. */

#define CALLER_PORT 27000
#define READY_PORT 27001
#define PEER_PORT 27002
#define METRICS_PORT 27003
#define STORE_PORT 27010
#define NETWORKS 250
#define MAX_CONNECTIONS 64
#define CALLERS 18
#define STATEMENTS 8 /* of a transaction, without BEGIN and COMMIT */
#define PAUSE_MAX_MS 40
#define RECONNECT_MS 20
#define RUN_BEFORE_STOP_MS 1500
#define READY_MAX_MS 10000
#define STEP_S 0.05
/* Callers that read late do so this long after the process is gone. */
#define LATE_MS 100

enum behaviour {
    PAUSES,  /* transactions with pauses */
    SINGLES, /* single writes */
    PACKETS, /* a whole transaction in one packet */
    LATE,    /* the same, and the answers are read when the process is gone */
};

enum outcome { PENDING, DONE, PROMISED, UNKNOWN };

struct request {
    char id[24];
    bool commits; /* a COMMIT or a single write */
    uint64_t number;
    enum outcome outcome;
};

struct caller {
    struct soak *soak;
    int index;
    enum behaviour behaviour;
    bool reads; /* only, and at any member */
    char name[16];
    char item[16];
    struct stream *stream;
    ev_timer timer;
    GArray *requests; /* of struct request; all that were sent */
    guint answered;   /* how many of them */
    guint answers_wanted;
    int statement; /* of the transaction; 0 before it begins */
    bool started;
    bool failed; /* the transaction; it is rolled back next */
    uint64_t number;
};

struct soak {
    struct ev_loop *loop;
    struct rng rng;
    struct standin_store *store;
    struct standin_group *group;
    struct caller callers[CALLERS];
    char folder[64];
    pid_t pid;
    ev_child child;
    ev_timer step;
    clock_ms started_at;
    clock_ms ready_at;
    clock_ms sigterm_at;
    clock_ms gone_at;
    int64_t grace_ms;
    int64_t timeout_ms;
    int violations;
};

static int network = 1;

static void connect_caller(struct caller *c);

const char *
soak_host(void)
{
    static char host[20];

    g_snprintf(host, sizeof(host), "127.%d.0.1", network);
    return host;
}

static const char *
process_host(void)
{
    static char host[20];

    g_snprintf(host, sizeof(host), "127.%d.1.1", network);
    return host;
}

void
soak_violation(struct soak *s, const char *fmt, ...)
{
    va_list ap;

    s->violations++;
    printf("VIOLATION: ");
    va_start(ap, fmt);
    vprintf(fmt, ap);
    va_end(ap);
    printf("\n");
}

static void
start_timer(struct caller *c, uint64_t ms)
{
    ev_timer_stop(c->soak->loop, &c->timer);
    ev_timer_set(&c->timer, (double)ms / 1000.0, 0.0);
    ev_timer_start(c->soak->loop, &c->timer);
}

/* Appends a QUERY line and records the request. */
static void
append_query(struct caller *c, GString *out, bool commits, const char *fmt,
             ...)
{
    struct request r = {.commits = commits, .number = c->number};
    va_list ap;

    g_snprintf(r.id, sizeof(r.id), "%s-%u", c->name, c->requests->len + 1);
    g_string_append_printf(out, "QUERY %s ", r.id);
    va_start(ap, fmt);
    g_string_append_vprintf(out, fmt, ap);
    va_end(ap);
    g_string_append(out, "\r\n");
    g_array_append_val(c->requests, r);
}

/* Appends the next request of a transaction. */
static void
append_next(struct caller *c, GString *out)
{
    if (c->failed) {
        append_query(c, out, false, "ROLLBACK");
        c->failed = false;
        c->statement = 0;
    }
    else if (c->behaviour == SINGLES) {
        c->number++;
        append_query(c, out, true, "WRITE %s %lu", c->item,
                     (unsigned long)c->number);
    }
    else if (c->statement == 0) {
        c->number++;
        append_query(c, out, false, c->reads ? "BEGIN READ" : "BEGIN");
        c->statement = 1;
    }
    else if (c->statement > STATEMENTS) {
        append_query(c, out, true, "COMMIT");
        c->statement = 0;
    }
    else {
        /* One write, so that its number is in the log at most once. */
        if (c->reads || c->statement > 1) {
            append_query(c, out, false, "READ %s", c->item);
        }
        else {
            append_query(c, out, false, "WRITE %s %lu", c->item,
                         (unsigned long)c->number);
        }
        c->statement++;
    }
}

/* Sends the next request, or a whole transaction in one packet. */
static void
send_next(struct caller *c)
{
    GString *out = g_string_new(NULL);

    append_next(c, out);
    while ((c->behaviour == PACKETS || c->behaviour == LATE) &&
           c->statement > 0) {
        append_next(c, out);
    }
    c->answers_wanted = c->requests->len;
    stream_write(c->stream, out->str, out->len);
    g_string_free(out, TRUE);
}

/* Records an answer: the line ERROR or COMPLETE, and then READY. */
static void
record_answer(struct caller *c, const char *text)
{
    static const char *const promises[] = {"BUSY", "ABORTED", "LAGGING",
                                           "READONLY", "MALFORMED"};
    struct request *r =
        &g_array_index(c->requests, struct request, c->answered);
    const char *error = strstr(text, "ERROR ");
    const char *ready = strstr(text, "READY ");

    r->outcome = error == NULL ? DONE : UNKNOWN;
    for (size_t i = 0; error != NULL && i < G_N_ELEMENTS(promises); i++) {
        if (g_str_has_prefix(error + strlen("ERROR "), promises[i])) {
            r->outcome = PROMISED;
        }
    }
    c->answered++;
    c->failed = ready[strlen("READY ")] == 'E';
}

static void
on_readable(void *ctx)
{
    struct caller *c = ctx;

    if (c->behaviour == LATE && c->started && c->soak->gone_at == 0) {
        return;
    }
    for (;;) {
        const struct sview in = stream_input(c->stream);
        const char *ready = memmem(in.p, in.n, "READY ", 6);
        const char *end =
            ready == NULL ? NULL
                          : memchr(ready, '\n', in.n - (size_t)(ready - in.p));
        if (end == NULL) {
            return;
        }
        const size_t n = (size_t)(end - in.p) + 1;
        char *text = g_strndup(in.p, n);
        stream_consume(c->stream, n);
        if (!c->started) {
            GString *out = g_string_new(NULL);
            c->started = true;
            append_query(c, out, false, "SET who %s", c->name);
            c->answers_wanted = c->requests->len;
            stream_write(c->stream, out->str, out->len);
            g_string_free(out, TRUE);
        }
        else if (c->answered < c->requests->len) {
            record_answer(c, text);
            if (c->answered == c->answers_wanted) {
                start_timer(c, rng_below(&c->soak->rng, PAUSE_MAX_MS));
            }
        }
        g_free(text);
    }
}

/* Called when the process has closed the connection or is gone. Requests
   without an answer are looked at when the run is over. */
static void
on_closed(void *ctx, const char *why)
{
    struct caller *c = ctx;

    (void)why;
    on_readable(c);
    stream_close(c->stream);
    c->stream = NULL;
    c->answered = c->requests->len;
    c->statement = 0;
    c->failed = false;
    start_timer(c, RECONNECT_MS);
}

static const struct stream_callbacks caller_events = {.readable = on_readable,
                                                      .closed = on_closed};

static void
connect_caller(struct caller *c)
{
    char *text = g_strdup_printf("STARTUP %s %s\r\n",
                                 c->reads ? "reads" : "boats", c->name);

    c->started = false;
    c->stream = stream_connect(c->soak->loop, process_host(), CALLER_PORT,
                               &caller_events, c);
    if (c->stream == NULL) {
        start_timer(c, RECONNECT_MS);
    }
    else {
        stream_write(c->stream, text, strlen(text));
    }
    g_free(text);
}

/* Ends a pause: sends the next request, or connects. */
static void
on_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct caller *c = w->data;

    (void)loop;
    (void)revents;
    if (c->stream != NULL) {
        send_next(c);
    }
    else if (c->soak->gone_at == 0) {
        connect_caller(c);
    }
}

static void
write_directory(struct soak *s)
{
    for (int i = 0; i < SOAK_MEMBERS; i++) {
        char key[8];
        g_snprintf(key, sizeof(key), "m%d", i);
        char *value = g_strdup_printf(
            "{\"service\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"z%d\","
            "\"version\":\"1\",\"slots\":%d,\"state\":\"ready\","
            "\"cold_left_ms\":0,\"db_role\":\"%s\",\"seq\":1}",
            SOAK_SERVICE, soak_host(), standin_group_port(i), i, CALLERS,
            standin_group_role(s->group, i));
        standin_store_put(s->store, "servers", key, value);
        g_free(value);
    }
}

static void
write_config(struct soak *s)
{
    static const char *const routes[][2] = {{"boats", "primary"},
                                            {"reads", "bounded_staleness"}};
    GString *o = g_string_new("{\"version\":7,\"routes\":[");

    for (int i = 0; i < 2; i++) {
        g_string_append_printf(
            o,
            "%s{\"name\":\"r%d\",\"host\":\"%s\",\"route_type\":\"%s\","
            "\"timeout_ms\":%lld,\"target_latency_ms\":400,\"priority\":1,"
            "\"service\":\"%s\",\"max_staleness_ms\":1500}",
            i > 0 ? "," : "", i, routes[i][0], routes[i][1],
            (long long)s->timeout_ms, SOAK_SERVICE);
    }
    g_string_append_printf(
        o,
        "],\"services\":[{\"name\":\"%s\",\"max_conns\":%d,"
        "\"sync_replicas\":0}],\"limits\":{\"tx_idle_ms\":3000}}",
        SOAK_SERVICE, MAX_CONNECTIONS);
    standin_store_put(s->store, "op", "config", o->str);
    g_string_free(o, TRUE);
}

static void
start_process(struct soak *s, const char *program)
{
    char *path = g_strconcat(s->folder, "/settings.ini", NULL);
    char *log = g_strconcat(s->folder, "/log", NULL);
    char *text = g_strdup_printf(
        "[proxy]\nname = n0\nfailure_domain = z0\nhost = %s\n"
        "listen = %s:%d\nready_listen = %s:%d\npeer_port = %d\n"
        "metrics_port = %d\n[peers]\nkey = galenastep-soak-0123456789abcdef0\n"
        "[store]\naddress = %s:%d\n[orders]\naddress = %s:%d\n"
        "[limits]\ngrace_ms = %lld\n",
        process_host(), process_host(), CALLER_PORT, process_host(),
        READY_PORT, PEER_PORT, METRICS_PORT, soak_host(), STORE_PORT,
        soak_host(), STORE_PORT, (long long)s->grace_ms);

    g_file_set_contents(path, text, -1, NULL);
    s->pid = fork();
    if (s->pid == 0) {
        setenv("GALENASTEP_SETTINGS", path, 1);
        if (freopen(log, "a", stdout) == NULL ||
            dup2(STDOUT_FILENO, STDERR_FILENO) < 0) {
            _exit(126);
        }
        execl(program, program, (char *)NULL);
        _exit(127);
    }
    g_free(text);
    g_free(log);
    g_free(path);
}

static void
on_child_exit(struct ev_loop *loop, ev_child *w, int revents)
{
    struct soak *s = w->data;

    (void)revents;
    ev_child_stop(loop, w);
    s->pid = 0;
    s->gone_at = clock_monotonic_ms();
    printf("the process ended with status %x, %lld ms after SIGTERM\n",
           (unsigned)w->rstatus, (long long)(s->gone_at - s->sigterm_at));
    if (s->sigterm_at == 0 || w->rstatus != 0) {
        soak_violation(s, "the process ended with status %x",
                       (unsigned)w->rstatus);
    }
}

/* Returns true if late callers have had time to read, or the process did not
   become ready. */
static bool
is_over(const struct soak *s, clock_ms now)
{
    if (s->gone_at != 0) {
        return now - s->gone_at >= LATE_MS;
    }
    return s->ready_at == 0 && now - s->started_at >= READY_MAX_MS;
}

/* Sends the signals when they are due, and ends the run. */
static void
on_step(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct soak *s = w->data;
    const clock_ms now = clock_monotonic_ms();

    (void)revents;
    for (int i = 0; i < CALLERS && s->ready_at == 0; i++) {
        if (s->callers[i].answered > 1) {
            s->ready_at = now;
        }
    }
    if (is_over(s, now)) {
        ev_break(loop, EVBREAK_ALL);
    }
    else if (s->pid != 0 && s->sigterm_at != 0 &&
             now - s->sigterm_at >= s->grace_ms) {
        kill(s->pid, SIGKILL);
    }
    else if (s->pid != 0 && s->sigterm_at == 0 && s->ready_at != 0 &&
             now - s->ready_at >= RUN_BEFORE_STOP_MS) {
        s->sigterm_at = now;
        kill(s->pid, SIGHUP);
        kill(s->pid, SIGTERM);
        kill(s->pid, SIGTERM);
    }
}

/* Checks what became of the requests of a caller. */
static void
check_caller(struct caller *c)
{
    for (guint i = 0; i < c->requests->len; i++) {
        const struct request *r =
            &g_array_index(c->requests, struct request, i);
        const bool begun = standin_group_has_begun(c->soak->group, r->id);
        const int count =
            standin_group_count_write(c->soak->group, c->item, r->number);
        if (r->outcome == PENDING && begun) {
            soak_violation(c->soak,
                           "%s was executed by a member and not answered",
                           r->id);
        }
        if (!r->commits || c->reads) {
            continue;
        }
        if (r->outcome == PROMISED && count > 0) {
            soak_violation(c->soak, "%s took effect in spite of a promise",
                           r->id);
        }
        if (r->outcome == DONE && count != 1) {
            soak_violation(c->soak, "%s took effect %d times", r->id, count);
        }
    }
}

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

static int
refuse_promotion(struct soak *s, const char *holder, const char *id,
                 uint64_t fence)
{
    (void)s;
    (void)holder;
    (void)id;
    (void)fence;
    return 409;
}

static void
start_callers(struct soak *s)
{
    static const enum behaviour behaviours[] = {PAUSES, PAUSES, SINGLES,
                                                PACKETS, LATE};

    for (int i = 0; i < CALLERS; i++) {
        struct caller *c = &s->callers[i];
        c->soak = s;
        c->index = i;
        c->behaviour = behaviours[i % G_N_ELEMENTS(behaviours)];
        c->reads = c->behaviour != SINGLES && i % 4 != 0;
        c->requests = g_array_new(FALSE, TRUE, sizeof(struct request));
        g_snprintf(c->name, sizeof(c->name), "c%d", i);
        g_snprintf(c->item, sizeof(c->item), "i%d", i);
        ev_timer_init(&c->timer, on_timer, 0.0, 0.0);
        c->timer.data = c;
        start_timer(c, rng_below(&s->rng, PAUSE_MAX_MS));
    }
}

/* Frees everything and removes the folder, unless a guarantee was broken. */
static void
stop_all(struct soak *s)
{
    char *path = g_strconcat(s->folder, "/settings.ini", NULL);
    char *log = g_strconcat(s->folder, "/log", NULL);

    if (s->pid != 0) {
        kill(s->pid, SIGKILL);
        waitpid(s->pid, NULL, 0);
    }
    for (int i = 0; i < CALLERS; i++) {
        ev_timer_stop(s->loop, &s->callers[i].timer);
        stream_close(s->callers[i].stream);
        g_array_free(s->callers[i].requests, TRUE);
    }
    standin_store_destroy(s->store);
    standin_group_destroy(s->group);
    if (s->violations == 0) {
        unlink(path);
        unlink(log);
        rmdir(s->folder);
    }
    else {
        printf("log: %s\n", log);
    }
    g_free(path);
    g_free(log);
}

int
main(int argc, char **argv)
{
    static struct soak s;
    guint answered = 0;

    if (argc != 6) {
        fprintf(stderr, "usage: planned_stop PROGRAM SEED GRACE_MS TIMEOUT_MS "
                        "EXECUTION_MS\n");
        return 2;
    }
    s.grace_ms = strtoll(argv[3], NULL, 10);
    s.timeout_ms = strtoll(argv[4], NULL, 10);
    rng_seed(&s.rng, strtoull(argv[2], NULL, 10));
    choose_network();
    signal(SIGPIPE, SIG_IGN);
    s.loop = ev_default_loop(EVFLAG_AUTO);
    g_strlcpy(s.folder, "/tmp/galenastep-stop.XXXXXX", sizeof(s.folder));
    if (mkdtemp(s.folder) == NULL) {
        perror("mkdtemp");
        return 2;
    }
    standin_group_on_role_change = write_directory;
    s.group = standin_group_create(&s, s.loop, &s.rng, MAX_CONNECTIONS);
    standin_group_set_execution(s.group, strtoll(argv[5], NULL, 10));
    s.store = standin_store_create(&s, s.loop, soak_host(), STORE_PORT,
                                   refuse_promotion);
    write_directory(&s);
    write_config(&s);
    s.started_at = clock_monotonic_ms();
    start_process(&s, argv[1]);
    ev_child_init(&s.child, on_child_exit, s.pid, 0);
    s.child.data = &s;
    ev_child_start(s.loop, &s.child);
    start_callers(&s);
    ev_timer_init(&s.step, on_step, STEP_S, STEP_S);
    s.step.data = &s;
    ev_timer_start(s.loop, &s.step);
    ev_run(s.loop, 0);
    for (int i = 0; i < CALLERS; i++) {
        check_caller(&s.callers[i]);
        answered += s.callers[i].answered;
    }
    printf("seed=%s answered=%u violations=%d\n", argv[2], answered,
           s.violations);
    const bool ready = s.ready_at != 0;
    stop_all(&s);
    return !ready ? 2 : s.violations == 0 ? 0 : 1;
}

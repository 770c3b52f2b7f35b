#include "caller/front_fixture.h"

#include "fakes/conn.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

/* Limit for a whole test, far above the time that any answer takes. */
#define WATCHDOG_S 30.0

/* Fails a test that hangs. */
static void
on_watchdog(struct ev_loop *loop, ev_timer *w, int revents)
{
    (void)loop;
    (void)w;
    (void)revents;
    fail_msg("no answer within the time limit of the test");
}

/* Returns a loopback port that is currently free. */
static uint16_t
free_port(void)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t n = sizeof(a);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);

    assert_int_equal(bind(fd, (struct sockaddr *)&a, sizeof(a)), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&a, &n), 0);
    close(fd);
    return ntohs(a.sin_port);
}

/* Writes a settings file for the proxy and loads it. */
static struct settings *
load_settings(const struct fixture *s)
{
    char path[] = "/tmp/galenastep-test-XXXXXX";
    char *error = NULL;
    const int fd = mkstemp(path);

    assert_true(fd >= 0);
    dprintf(
        fd,
        "[proxy]\nid=1\nname=p\nfailure_domain=a\nlisten=127.0.0.1:%u\n"
        "max_message_bytes=65536\n"
        "[kind filing]\nmax_staleness_ms=0\n"
        "[kind lookup]\npriority=1\nmax_staleness_ms=10000\n"
        "[kind renewal]\nclass=batch\npriority=2\ndeadline_ms=60000\n"
        "[database boats]\nmembers=127.0.0.1:%d,127.0.0.1:%d,127.0.0.1:%d\n"
        "connections=3\n",
        s->port, s->db->members[0].port, s->db->members[1].port,
        s->db->members[2].port);
    close(fd);
    struct settings *settings = settings_load(path, &error);
    unlink(path);
    assert_null(error);
    return settings;
}

/* Starts a group of three members and a proxy, and waits until the proxy knows
   the primary and sees both replicas alive. */
void
front_fixture_start(struct fixture *s)
{
    const struct host_options options = {.connections = 3, .slots = 2};
    char *error = NULL;

    *s = (struct fixture){.loop = ev_loop_new(EVFLAG_AUTO)};
    s->host = host_create(s->loop, &options);
    assert_true(host_add_database(s->host, "boats=0,0,0", NULL));
    s->db = g_ptr_array_index(s->host->databases, 0);
    s->port = free_port();
    s->settings = load_settings(s);
    s->groups[0] = group_create(&(struct group_config){
        .loop = s->loop,
        .database = &s->settings->databases[0],
        .kinds = s->settings->kinds,
        .kind_count = s->settings->kind_count,
        .proxy_count = 1,
        .proxy_id = 1,
        .seed = 1,
    });
    s->front = front_create(s->loop, s->settings, s->groups, &error);
    assert_null(error);
    ev_timer_init(&s->watchdog, on_watchdog, WATCHDOG_S, 0.0);
    ev_timer_start(s->loop, &s->watchdog);
    while (group_primary(s->groups[0]) == ROUTE_NO_PRIMARY ||
           !group_member_state(s->groups[0], 1)->alive ||
           !group_member_state(s->groups[0], 2)->alive) {
        ev_run(s->loop, EVRUN_ONCE);
    }
}

void
front_fixture_stop(struct fixture *s)
{
    ev_timer_stop(s->loop, &s->watchdog);
    front_destroy(s->front);
    group_destroy(s->groups[0]);
    settings_free(s->settings);
    host_destroy(s->host);
    ev_loop_destroy(s->loop);
}

/* Makes the connections that are open to member 0 answer nothing more. */
void
front_fixture_silence_primary(struct fixture *s)
{
    for (GList *l = s->db->members[0].conns.head; l != NULL; l = l->next) {
        conn_set_silent(l->data);
    }
}

/* Records one message from the proxy. */
static void
client_handle_message(struct client *c, const struct frame *f)
{
    g_string_append_c(c->types, f->type);
    if (f->type == 'Z') {
        c->ready++;
        c->status = f->body.p[0];
    }
    if (f->type == 'E') {
        const struct sview state = frame_error_field(f->body, 'C');
        const struct sview hint = frame_error_field(f->body, 'H');
        snprintf(c->sqlstate, sizeof(c->sqlstate), "%.*s", (int)state.n,
                 state.p);
        snprintf(c->hint, sizeof(c->hint), "%.*s", (int)hint.n, hint.p);
        g_string_append_printf(c->errors, "%s %s;", c->sqlstate, c->hint);
    }
    if (f->type == 'D') {
        const struct sview v = frame_first_column(f->body);
        snprintf(c->column, sizeof(c->column), "%.*s", (int)v.n, v.p);
    }
    if (f->type == 'K') {
        struct frame_reader r = {.rest = f->body};
        c->pid = frame_read_u32(&r);
        c->secret = frame_read_u32(&r);
    }
    if (f->type == 'S' && strcmp(f->body.p, "server_version") == 0) {
        snprintf(c->version, sizeof(c->version), "%s",
                 f->body.p + sizeof("server_version"));
    }
    if (f->type == 'S' && strcmp(f->body.p, "galenastep.token") == 0) {
        snprintf(c->token, sizeof(c->token), "%s",
                 f->body.p + sizeof("galenastep.token"));
    }
}

/* Handles the messages that have arrived, without blocking. */
void
client_poll(struct client *c)
{
    char buffer[65536];
    struct frame f;
    const ssize_t n = recv(c->fd, buffer, sizeof(buffer), MSG_DONTWAIT);

    if (n == 0) {
        c->closed = true;
    }
    if (n < 0) {
        assert_int_equal(errno, EAGAIN);
    }
    if (n > 0) {
        g_string_append_len(c->in, buffer, n);
    }
    while (frame_next((struct sview){c->in->str, c->in->len}, 1 << 20, &f) ==
           FRAME_COMPLETE) {
        client_handle_message(c, &f);
        g_string_erase(c->in, 0, (gssize)f.total_bytes);
    }
}

/* Runs the event loop until the client has received the given total number of
   ReadyForQuery messages or the connection is closed. */
void
client_wait(struct client *c, unsigned ready)
{
    while (c->ready < ready && !c->closed) {
        ev_run(c->fixture->loop, EVRUN_ONCE);
        client_poll(c);
    }
}

/* Sends and frees a buffer, and clears the record of the last answer. */
void
client_send(struct client *c, GString *out)
{
    assert_int_equal(send(c->fd, out->str, out->len, MSG_NOSIGNAL),
                     (ssize_t)out->len);
    g_string_free(out, TRUE);
    g_string_truncate(c->types, 0);
    g_string_truncate(c->errors, 0);
    c->sqlstate[0] = '\0';
    c->hint[0] = '\0';
    c->column[0] = '\0';
}

/* Connects as a caller of the given kind; token may be NULL. Waits for
   ReadyForQuery. */
void
client_open(struct client *c, struct fixture *s, const char *kind,
            const char *token)
{
    const struct sockaddr_in a = {
        .sin_family = AF_INET,
        .sin_port = htons(s->port),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    GString *out = g_string_new(NULL);

    *c = (struct client){.fixture = s,
                         .fd = socket(AF_INET, SOCK_STREAM, 0),
                         .in = g_string_new(NULL),
                         .types = g_string_new(NULL),
                         .errors = g_string_new(NULL)};
    assert_int_equal(connect(c->fd, (const struct sockaddr *)&a, sizeof(a)),
                     0);
    frame_put_u32(out, 0);
    frame_put_u32(out, FRAME_STARTUP_VERSION);
    frame_put_cstring(out, "user");
    frame_put_cstring(out, "clerk");
    frame_put_cstring(out, "database");
    frame_put_cstring(out, "boats");
    frame_put_cstring(out, "galenastep.kind");
    frame_put_cstring(out, kind);
    if (token != NULL) {
        frame_put_cstring(out, "galenastep.token");
        frame_put_cstring(out, token);
    }
    g_string_append_c(out, '\0');
    frame_end(out, 0);
    client_send(c, out);
    client_wait(c, 1);
}

void
client_close(struct client *c)
{
    close(c->fd);
    g_string_free(c->in, TRUE);
    g_string_free(c->types, TRUE);
    g_string_free(c->errors, TRUE);
}

/* Sends a Query without waiting for its answer. */
void
client_start(struct client *c, const char *sql)
{
    GString *out = g_string_new(NULL);

    frame_put_query(out, sql);
    client_send(c, out);
}

/* Sends a Query and waits for ReadyForQuery. */
void
client_query(struct client *c, const char *sql)
{
    client_start(c, sql);
    client_wait(c, c->ready + 1);
}

void
put_parse(GString *out, const char *name, const char *sql)
{
    const size_t at = frame_begin(out, 'P');

    frame_put_cstring(out, name);
    frame_put_cstring(out, sql);
    frame_put_u16(out, 0);
    frame_end(out, at);
}

/* Appends Bind with one text parameter, Execute and Sync. */
void
put_bind_execute_sync(GString *out, const char *name, const char *value)
{
    size_t at = frame_begin(out, 'B');

    frame_put_cstring(out, "");
    frame_put_cstring(out, name);
    frame_put_u16(out, 0);
    frame_put_u16(out, 1);
    frame_put_u32(out, (uint32_t)strlen(value));
    g_string_append(out, value);
    frame_put_u16(out, 0);
    frame_end(out, at);
    at = frame_begin(out, 'E');
    frame_put_cstring(out, "");
    frame_put_u32(out, 0);
    frame_end(out, at);
    frame_end(out, frame_begin(out, 'S'));
}

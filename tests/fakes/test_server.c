#include "fakes/host.h"

#include "wire/frame.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define CONNECTIONS 3
#define LOOP_TURNS_MAX 100000 /* then a missing answer fails the test */

/* A server that runs in this process. */
struct server {
    struct ev_loop *loop;
    struct host *host;
    struct host_database *db;
};

/* A client connection that sends and receives raw messages. */
struct client {
    int fd;
    GString *in;
};

/* Starts a server with a group of three members on free ports. */
static struct server
server_start(void)
{
    const struct host_options options = {.connections = CONNECTIONS,
                                         .slots = 2};
    struct server s = {.loop = ev_loop_new(EVFLAG_AUTO)};

    s.host = host_create(s.loop, &options);
    assert_true(host_add_database(s.host, "boats=0,0,0", NULL));
    s.db = g_ptr_array_index(s.host->databases, 0);
    return s;
}

static void
server_stop(struct server *s)
{
    host_destroy(s->host);
    ev_loop_destroy(s->loop);
}

/* Receives until ready ReadyForQuery messages have arrived or the server
   closes the connection. Writes the types of all messages to types. */
static void
receive(struct server *s, struct client *c, unsigned ready, GString *types)
{
    char buffer[4096];
    struct frame f;
    unsigned seen = 0;

    g_string_truncate(types, 0);
    for (unsigned i = 0; i < LOOP_TURNS_MAX && seen < ready; i++) {
        ev_run(s->loop, EVRUN_NOWAIT);
        const ssize_t n = recv(c->fd, buffer, sizeof buffer, MSG_DONTWAIT);
        if (n == 0) {
            return;
        }
        if (n > 0) {
            g_string_append_len(c->in, buffer, n);
        }
        while (seen < ready &&
               frame_next((struct sview){c->in->str, c->in->len}, 1 << 20,
                          &f) == FRAME_COMPLETE) {
            g_string_append_c(types, f.type);
            seen += f.type == 'Z';
            g_string_erase(c->in, 0, (gssize)f.total_bytes);
        }
    }
    assert_int_equal(seen, ready);
}

/* Sends the contents of out and empties it. */
static void
send_all(struct client *c, GString *out)
{
    assert_int_equal(send(c->fd, out->str, out->len, MSG_NOSIGNAL),
                     (ssize_t)out->len);
    g_string_truncate(out, 0);
}

/* Connects to member 0. */
static struct client
client_connect(struct server *s)
{
    struct client c = {.fd = socket(AF_INET, SOCK_STREAM, 0),
                       .in = g_string_new(NULL)};
    const struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons((uint16_t)s->db->members[0].port),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };

    assert_int_equal(
        connect(c.fd, (const struct sockaddr *)&address, sizeof address), 0);
    return c;
}

static void
client_start(struct client *c)
{
    GString *out = g_string_new(NULL);

    frame_put_u32(out, 18);
    frame_put_u32(out, FRAME_STARTUP_VERSION);
    frame_put_cstring(out, "user");
    frame_put_cstring(out, "app");
    g_string_append_c(out, '\0');
    out->str[3] = (char)out->len;
    send_all(c, out);
    g_string_free(out, TRUE);
}

/* Connects and completes start-up. */
static struct client
client_open(struct server *s, GString *types)
{
    struct client c = client_connect(s);

    client_start(&c);
    receive(s, &c, 1, types);
    return c;
}

/* Sends Terminate and closes. */
static void
client_close(struct client *c)
{
    GString *out = g_string_new(NULL);

    frame_end(out, frame_begin(out, 'X'));
    send_all(c, out);
    close(c->fd);
    g_string_free(c->in, TRUE);
    g_string_free(out, TRUE);
}

/* Appends a message of the extended protocol. */
static void
put_message(GString *out, char type, const char *body, size_t n)
{
    const size_t at = frame_begin(out, type);

    g_string_append_len(out, body, (gssize)n);
    frame_end(out, at);
}

#define PUT_MESSAGE(out, type, body)                                          \
    put_message(out, type, body, sizeof(body) - 1)

/* Guards against crashes on Sync before any statement and on messages whose
   body is too short. */
static void
test_sync_without_a_statement(void **state)
{
    (void)state;
    struct server s = server_start();
    GString *types = g_string_new(NULL);
    GString *out = g_string_new(NULL);
    struct client c = client_open(&s, types);
    const char messages[] = "PBDEC";

    PUT_MESSAGE(out, 'S', "");
    send_all(&c, out);
    receive(&s, &c, 1, types);
    assert_string_equal(types->str, "Z");
    for (size_t i = 0; messages[i] != '\0'; i++) {
        PUT_MESSAGE(out, 'S', "");
        put_message(out, messages[i], "", 0);
        PUT_MESSAGE(out, 'S', "");
        send_all(&c, out);
        receive(&s, &c, 2, types);
        assert_string_equal(types->str, "ZEZ");
    }
    client_close(&c);
    g_string_free(types, TRUE);
    g_string_free(out, TRUE);
    server_stop(&s);
}

/* Guards against more rows than the limit of Execute and against rows lost or
   repeated between two Executes of a portal. */
static void
test_portal_stops_at_its_row_limit(void **state)
{
    (void)state;
    struct server s = server_start();
    GString *types = g_string_new(NULL);
    GString *out = g_string_new(NULL);
    struct client c = client_open(&s, types);

    PUT_MESSAGE(out, 'P', "\0select fake_rows(5, 8)\0\0\0");
    PUT_MESSAGE(out, 'B', "\0\0\0\0\0\0\0\0");
    PUT_MESSAGE(out, 'E', "\0\0\0\0\2");
    PUT_MESSAGE(out, 'E', "\0\0\0\0\2");
    PUT_MESSAGE(out, 'E', "\0\0\0\0\0");
    PUT_MESSAGE(out, 'S', "");
    send_all(&c, out);
    receive(&s, &c, 1, types);
    assert_string_equal(types->str, "12DDsDDsDCZ");
    client_close(&c);
    g_string_free(types, TRUE);
    g_string_free(out, TRUE);
    server_stop(&s);
}

/* Guards against statements of a Query that take effect although a later one
   fails, and against a write answered before its commit. */
static void
test_query_is_one_transaction(void **state)
{
    (void)state;
    struct server s = server_start();
    GString *types = g_string_new(NULL);
    GString *out = g_string_new(NULL);
    struct client c = client_open(&s, types);
    const struct row_map *rows = fake_group_visible(s.db->group, 0);

    frame_put_query(out, "insert into entries (id, value) values ('a', '1');"
                         "nonsense");
    send_all(&c, out);
    receive(&s, &c, 1, types);
    assert_string_equal(types->str, "EZ");
    frame_put_query(out, "insert into entries (id, value) values ('a', '1');"
                         "insert into entries (id, value) values ('a', '2')");
    send_all(&c, out);
    receive(&s, &c, 1, types);
    assert_string_equal(types->str, "CEZ");
    assert_null(row_map_get(rows, "ea"));
    frame_put_query(out, "insert into entries (id, value) values ('a', '3')");
    send_all(&c, out);
    receive(&s, &c, 1, types);
    assert_string_equal(types->str, "CZ");
    assert_string_equal(row_map_get(rows, "ea"), "3");
    client_close(&c);
    g_string_free(types, TRUE);
    g_string_free(out, TRUE);
    server_stop(&s);
}

/* Guards against refusing a connection while one that its client has closed is
   still counted, which would look like a violated connection limit. */
static void
test_closed_client_frees_its_connection(void **state)
{
    (void)state;
    struct server s = server_start();
    GString *types = g_string_new(NULL);
    struct client c[CONNECTIONS];

    for (unsigned i = 0; i < CONNECTIONS; i++) {
        c[i] = client_open(&s, types);
    }
    for (unsigned round = 0; round < 100; round++) {
        struct client next = client_connect(&s);
        for (unsigned i = 0; i < 10; i++) {
            ev_run(s.loop, EVRUN_NOWAIT);
        }
        /* The close and the start-up arrive in the same turn of the loop. */
        client_close(&c[round % CONNECTIONS]);
        client_start(&next);
        receive(&s, &next, 1, types);
        c[round % CONNECTIONS] = next;
    }
    assert_int_equal(s.db->refused_connections, 0);
    assert_int_equal(s.db->connections, CONNECTIONS);
    assert_int_equal(s.db->max_connections, CONNECTIONS);
    for (unsigned i = 0; i < CONNECTIONS; i++) {
        client_close(&c[i]);
    }
    g_string_free(types, TRUE);
    server_stop(&s);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_sync_without_a_statement),
        cmocka_unit_test(test_portal_stops_at_its_row_limit),
        cmocka_unit_test(test_query_is_one_transaction),
        cmocka_unit_test(test_closed_client_frees_its_connection),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

#include "coordination/agreement_internal.h"
#include "node/node_internal.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

/* One node of a fleet with more proxies than witnesses. The test sends it the
   messages of the others, and sees which registrations it deletes. */

#define KEY "0123456789abcdef0123456789abcdef"
#define PROXIES 12

struct fixture {
    struct ev_loop *loop;
    struct node *node;
    struct node_peer peers[PROXIES];
    struct traffic traffic;
    clock_ms now;
};

static char unregistered[VIEW_NAME_BYTES];
static int deletions;

static void
on_unregister(void *ctx, const char *name)
{
    (void)ctx;
    g_strlcpy(unregistered, name, sizeof(unregistered));
    deletions++;
}

static void
ignore_view(void *ctx, const struct view *next)
{
    (void)ctx;
    (void)next;
}

static void
ignore(void *ctx)
{
    (void)ctx;
}

static void
ignore_order(void *ctx, const char *service, const char *member,
             uint64_t fence, clock_ms valid_until)
{
    (void)ctx;
    (void)service;
    (void)member;
    (void)fence;
    (void)valid_until;
}

static void
ignore_text(void *ctx, const char *text)
{
    (void)ctx;
    (void)text;
}

/* Returns a port that is free. The node binds it for UDP and TCP; for TCP, the
   connections of other processes hold many ports for a while. */
static uint16_t
free_port(void)
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    socklen_t size = sizeof(at);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);

    assert_int_equal(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&at, &size), 0);
    close(fd);
    return ntohs(at.sin_port);
}

/* Starts the node of that name. Messages go to a port that nobody uses. */
static void
begin(struct fixture *f, const char *name)
{
    static const struct node_platform platform = {
        .write_view = ignore_view,
        .read_view = ignore,
        .order = ignore_order,
        .write_members = ignore_text,
        .unregister_proxy = on_unregister,
        .refresh_directory = ignore,
        .refresh_configuration = ignore,
        .refresh_proxies = ignore,
    };
    char *error = NULL;

    memset(f, 0, sizeof(*f));
    deletions = 0;
    f->loop = ev_loop_new(EVFLAG_AUTO);
    const struct node_config config = {
        .loop = f->loop,
        .name = name,
        .failure_domain = "x",
        .host = "127.0.0.1",
        .peer_port = free_port(),
        .key = KEY,
        .platform = &platform,
        .traffic = &f->traffic,
    };
    f->node = node_create(&config, &error);
    assert_null(error);
    for (int i = 0; i < PROXIES; i++) {
        struct node_peer *p = &f->peers[i];
        g_snprintf(p->name, sizeof(p->name), "n%d", i);
        g_strlcpy(p->host, "127.0.0.3", sizeof(p->host));
        g_strlcpy(p->failure_domain, "x", sizeof(p->failure_domain));
        p->port = config.peer_port;
    }
    node_set_peers(f->node, f->peers, PROXIES);
    f->now = clock_boottime_ms() + AGREEMENT_SILENT_MS;
}

static void
end(struct fixture *f)
{
    node_destroy(f->node);
    ev_loop_destroy(f->loop);
}

/* Returns the name of the n-th proxy that is, or is not, a witness. */
static const char *
find_proxy(const struct fixture *f, bool witness, int n)
{
    for (int i = 0; i < PROXIES; i++) {
        const char *name = f->peers[i].name;
        if (agreement_is_witness(f->node->agreement, name) == witness &&
            n-- == 0) {
            return name;
        }
    }
    return NULL;
}

/* Delivers a message from a proxy that has had none from `silent`, and that
   reaches the store or not. */
static void
receive_from(struct fixture *f, const char *name, const char *silent,
             bool store_lost)
{
    struct agreement_message own;
    struct agreement_message m = {.incarnation = 1,
                                  .sent_at = f->now,
                                  .reply = true,
                                  .store_lost = store_lost};

    agreement_compose_message(f->node->agreement, name, NULL, false, f->now,
                              &own);
    m.registry_hash = own.registry_hash; /* all list the same proxies */
    m.silent[m.silent_count++] = agreement_name_hash(silent);
    g_strlcpy(m.from, name, sizeof(m.from));
    agreement_receive(f->node->agreement, &m, f->now);
}

static void
set_holder(struct fixture *f, const char *name)
{
    struct view v = *agreement_view(f->node->agreement);

    v.version++;
    g_strlcpy(v.holder, name, sizeof(v.holder));
    node_set_view(f->node, &v, f->now, true);
}

/* Returns the witness whose name sorts first: it acts if the holder does
   not. */
static const char *
first_witness(struct fixture *f)
{
    const char *first = NULL;

    for (int i = 0; i < PROXIES; i++) {
        const char *name = f->peers[i].name;
        if (agreement_is_witness(f->node->agreement, name) &&
            (first == NULL || strcmp(name, first) < 0)) {
            first = name;
        }
    }
    return first;
}

/* Guards against registrations that nobody deletes while the holder is alive
   but no witness, so that it does not learn who is lost, or does not reach the
   store. */
static void
test_holder_that_cannot_delete(void **state)
{
    struct fixture f;
    char name[VIEW_NAME_BYTES];

    (void)state;
    begin(&f, "n0");
    g_strlcpy(name, first_witness(&f), sizeof(name));
    end(&f);
    begin(&f, name);
    const char *holder = find_proxy(&f, false, 0);
    const char *lost = find_proxy(&f, false, 1);
    set_holder(&f, holder);
    for (int i = 0; i < PROXIES; i++) {
        if (strcmp(f.peers[i].name, lost) != 0) {
            receive_from(&f, f.peers[i].name, lost, false);
        }
    }
    node_maintain_lists(f.node, f.now);
    assert_int_equal(deletions, 1);
    assert_string_equal(unregistered, lost);
    /* A holder that is a witness is left to act itself. */
    holder = find_proxy(&f, true, 0);
    holder = strcmp(holder, name) != 0 ? holder : find_proxy(&f, true, 1);
    set_holder(&f, holder);
    node_maintain_lists(f.node, f.now);
    assert_int_equal(deletions, 1);
    receive_from(&f, holder, lost, true);
    node_maintain_lists(f.node, f.now);
    assert_int_equal(deletions, 2);
    end(&f);
}

/* Guards against registrations that nobody deletes because no witness is
   alive, and against deletions by a proxy that does not reach the store. */
static void
test_no_witness_is_alive(void **state)
{
    struct fixture f;
    char name[VIEW_NAME_BYTES];

    (void)state;
    begin(&f, "n0");
    g_strlcpy(name, find_proxy(&f, false, 0), sizeof(name));
    end(&f);
    begin(&f, name);
    f.now += 10000; /* others, which sort before it, act first */
    node_maintain_lists(f.node, f.now);
    assert_int_equal(deletions, 0);
    set_holder(&f, find_proxy(&f, true, 0));
    node_maintain_lists(f.node, f.now);
    assert_int_equal(deletions, 1);
    assert_true(agreement_is_witness(f.node->agreement, unregistered));
    end(&f);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_holder_that_cannot_delete),
        cmocka_unit_test(test_no_witness_is_alive),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

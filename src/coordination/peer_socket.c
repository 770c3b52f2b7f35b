#include "coordination/peer_socket.h"

#include "base/event_log.h"
#include "coordination/peer_message_xdr.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MESSAGE_MAX_BYTES 10240
/* Part of the signed data, so that the signature of a message is never valid
   for an RPC. */
#define SIGNATURE_PROGRAM 0x20673704
#define SIGNATURE_VERSION 3
/* HMAC-SHA256 truncated to half its length, as RFC 2104 allows. */
#define SIGNATURE_BYTES 16
/* Size of struct wire_trailer on the wire. */
#define TRAILER_BYTES 12

struct peer_socket {
    struct ev_loop *loop;
    int fd;
    ev_io io;
    const struct rpc_keys *keys;
    peer_socket_fn received;
    void *ctx;
};

static void
read_details(const wire_details *w, struct agreement_message *m)
{
    for (u_int i = 0; i < w->unreachable.unreachable_len; i++) {
        m->unreachable.words[i] = w->unreachable.unreachable_val[i];
    }
    m->silent_count = (int)w->silent.silent_len;
    for (int i = 0; i < m->silent_count; i++) {
        m->silent[i] = w->silent.silent_val[i];
    }
    for (u_int i = 0; i < w->positions.positions_len; i++) {
        const wire_position *x = &w->positions.positions_val[i];
        if (x->index < VIEW_SERVICES_MAX) {
            m->positions[m->position_count++] = (struct agreement_position){
                .index = (int)x->index,
                .term = x->term,
                .position = x->log_position,
                .age_ms = x->age_ms,
            };
        }
    }
}

static void
read_changes(const wire_changes *w, struct agreement_message *m)
{
    m->has_changes = true;
    m->base_version = w->base_version;
    m->fence = w->fence;
    g_strlcpy(m->holder, w->holder, sizeof(m->holder));
    m->change_count = (int)w->entries.entries_len;
    for (int i = 0; i < m->change_count; i++) {
        const wire_entry *x = &w->entries.entries_val[i];
        struct view_entry *e = &m->changes[i];
        g_strlcpy(e->service, x->service, sizeof(e->service));
        g_strlcpy(e->primary, x->primary, sizeof(e->primary));
        g_strlcpy(e->ordered, x->ordered, sizeof(e->ordered));
        e->ordered_set = x->ordered_set;
        e->epoch = x->epoch;
        e->term = x->term;
        e->changing = x->changing;
    }
}

/* Copies a decoded message. The array lengths have been checked by the XDR
   decoder. */
static void
read_message(const wire_message *w, struct agreement_message *m)
{
    g_strlcpy(m->from, w->from, sizeof(m->from));
    m->incarnation = w->incarnation;
    m->sent_at = w->sent_at;
    m->echo = w->echo;
    m->echo_incarnation = w->echo_incarnation;
    m->applied = w->applied;
    m->version = w->view_version;
    m->catalog_version = w->catalog_version;
    m->registry_hash = w->registry_hash;
    m->leaving = (w->flags & WIRE_LEAVING) != 0;
    m->store_lost = (w->flags & WIRE_STORE_LOST) != 0;
    m->reply = (w->flags & WIRE_REPLY) != 0;
    if (w->details != NULL) {
        read_details(w->details, m);
    }
    if (w->changes != NULL) {
        read_changes(w->changes, m);
    }
}

/* Returns the data that the signature of a message covers. */
static struct rpc_signed
signed_data(const char *bytes, size_t size)
{
    return (struct rpc_signed){
        .program = SIGNATURE_PROGRAM,
        .version = SIGNATURE_VERSION,
        .body = {.p = bytes, .n = size},
    };
}

/* Returns true if a datagram ends with a valid signature. */
static bool
has_valid_signature(const struct peer_socket *p, const char *bytes,
                    size_t size)
{
    if (size <= SIGNATURE_BYTES) {
        return false;
    }
    const struct rpc_signed what = signed_data(bytes, size - SIGNATURE_BYTES);
    const char *mac = bytes + size - SIGNATURE_BYTES;

    return rpc_auth_verify_truncated(p->keys, &what, (const uint8_t *)mac,
                                     SIGNATURE_BYTES) >= 0;
}

/* Reads what follows a message, if anything does. A part with a length that
   does not fit is ignored, as earlier builds do. */
static void
read_trailer(XDR *x, size_t size, struct agreement_message *m)
{
    const size_t at = xdr_getpos(x);
    wire_trailer t = {0};
    wire_members members = {0};

    m->catalog_age_ms = -1;
    if (size - at < TRAILER_BYTES || !xdr_wire_trailer(x, &t) ||
        t.length < TRAILER_BYTES - sizeof(t.length) ||
        t.length > size - at - sizeof(t.length) ||
        t.format < WIRE_TRAILER_FORMAT) {
        return;
    }
    if (t.catalog_age_ms != G_MAXUINT32) {
        m->catalog_age_ms = t.catalog_age_ms;
    }
    if (t.length >= TRAILER_BYTES - sizeof(t.length) + sizeof(members) &&
        xdr_wire_members(x, &members)) {
        m->members_version = members.members_version;
    }
}

/* Encodes what follows a message. Returns false if it does not fit. */
static bool
write_trailer(XDR *x, const struct agreement_message *m)
{
    wire_members members = {.members_version = m->members_version};
    wire_trailer t = {
        .length = TRAILER_BYTES - sizeof(t.length),
        .format = WIRE_TRAILER_FORMAT,
        .catalog_age_ms = G_MAXUINT32,
    };

    if (m->catalog_age_ms < 0 && m->members_version == 0) {
        return true;
    }
    if (m->catalog_age_ms >= 0) {
        t.catalog_age_ms = (u_int)MIN(m->catalog_age_ms, G_MAXUINT32 - 1);
    }
    if (m->members_version == 0) {
        return xdr_wire_trailer(x, &t);
    }
    t.length += sizeof(members);
    return xdr_wire_trailer(x, &t) && xdr_wire_members(x, &members);
}

/* Decodes a datagram. Returns false if it is not a valid message. */
static bool
decode(char *bytes, size_t size, struct agreement_message *m)
{
    wire_message w = {0};
    XDR x;

    memset(m, 0, sizeof(*m));
    xdrmem_create(&x, bytes, (u_int)size, XDR_DECODE);
    const bool ok = xdr_wire_message(&x, &w);
    if (ok) {
        read_message(&w, m);
        read_trailer(&x, size, m);
    }
    xdr_destroy(&x);
    xdr_free((xdrproc_t)xdr_wire_message, (char *)&w);
    return ok;
}

/* Reads and delivers all pending datagrams. */
static void
on_readable(struct ev_loop *loop, ev_io *w, int revents)
{
    struct peer_socket *p = w->data;
    char bytes[MESSAGE_MAX_BYTES];
    char host[INET_ADDRSTRLEN];
    struct agreement_message m;

    (void)loop;
    (void)revents;
    for (;;) {
        struct sockaddr_in from = {0};
        socklen_t from_size = sizeof(from);
        const ssize_t size = recvfrom(p->fd, bytes, sizeof(bytes), 0,
                                      (struct sockaddr *)&from, &from_size);
        if (size < 0) {
            return;
        }
        if (!has_valid_signature(p, bytes, (size_t)size)) {
            inet_ntop(AF_INET, &from.sin_addr, host, sizeof(host));
            event_log(EVENT_STATE, "note_unsigned", "host=%s bytes=%zd", host,
                      size);
        }
        else if (decode(bytes, (size_t)size - SIGNATURE_BYTES, &m)) {
            inet_ntop(AF_INET, &from.sin_addr, host, sizeof(host));
            p->received(p->ctx, &m, host, (size_t)size);
        }
        else {
            event_log(EVENT_STATE, "note_malformed", "bytes=%zd", size);
        }
    }
}

/* Opens the socket. keys is borrowed. On failure returns NULL and sets error
   to a text that the caller frees. */
struct peer_socket *
peer_socket_create(struct ev_loop *loop, const char *host, uint16_t port,
                   const struct rpc_keys *keys, peer_socket_fn received,
                   void *ctx, char **error)
{
    struct sockaddr_in at = {.sin_family = AF_INET, .sin_port = htons(port)};
    const int fd =
        socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd < 0 || inet_pton(AF_INET, host, &at.sin_addr) != 1 ||
        bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0) {
        *error = g_strdup_printf("peer port %s:%u: %s", host, port,
                                 g_strerror(errno));
        if (fd >= 0) {
            close(fd);
        }
        return NULL;
    }
    struct peer_socket *p = g_new0(struct peer_socket, 1);
    p->loop = loop;
    p->fd = fd;
    p->keys = keys;
    p->received = received;
    p->ctx = ctx;
    ev_io_init(&p->io, on_readable, fd, EV_READ);
    p->io.data = p;
    ev_io_start(loop, &p->io);
    return p;
}

/* Closes the socket. p may be NULL. */
void
peer_socket_destroy(struct peer_socket *p)
{
    if (p == NULL) {
        return;
    }
    ev_io_stop(p->loop, &p->io);
    close(p->fd);
    g_free(p);
}

/* Signs and sends a message. Delivery is not guaranteed: a lost datagram is
   made up for by the next one. Returns the size of the datagram, 0 if it could
   not be sent. */
size_t
peer_socket_send(struct peer_socket *p, const char *host, uint16_t port,
                 const struct agreement_message *m)
{
    struct sockaddr_in to = {.sin_family = AF_INET, .sin_port = htons(port)};
    char bytes[MESSAGE_MAX_BYTES];
    uint8_t mac[RPC_MAC_BYTES];
    wire_position positions[AGREEMENT_POSITIONS_MAX];
    wire_entry changes[AGREEMENT_CHANGES_MAX];
    XDR x;

    for (int i = 0; i < m->position_count; i++) {
        positions[i] = (wire_position){
            .index = (u_int)m->positions[i].index,
            .term = m->positions[i].term,
            .log_position = m->positions[i].position,
            .age_ms = m->positions[i].age_ms,
        };
    }
    for (int i = 0; i < m->change_count; i++) {
        changes[i] = (wire_entry){
            .service = (char *)m->changes[i].service,
            .primary = (char *)m->changes[i].primary,
            .ordered = (char *)m->changes[i].ordered,
            .ordered_set = m->changes[i].ordered_set,
            .epoch = m->changes[i].epoch,
            .term = m->changes[i].term,
            .changing = m->changes[i].changing,
        };
    }
    wire_details details = {
        .unreachable = {.unreachable_len =
                            (u_int)service_set_word_count(&m->unreachable),
                        .unreachable_val = (u_quad_t *)m->unreachable.words},
        .silent = {.silent_len = (u_int)m->silent_count,
                   .silent_val = (u_quad_t *)m->silent},
        .positions = {.positions_len = (u_int)m->position_count,
                      .positions_val = positions},
    };
    wire_changes view_changes = {
        .base_version = m->base_version,
        .holder = (char *)m->holder,
        .fence = m->fence,
        .entries = {.entries_len = (u_int)m->change_count,
                    .entries_val = changes},
    };
    const bool has_details = details.unreachable.unreachable_len > 0 ||
                             m->silent_count > 0 || m->position_count > 0;
    wire_message w = {
        .from = (char *)m->from,
        .incarnation = m->incarnation,
        .sent_at = m->sent_at,
        .echo = m->echo,
        .echo_incarnation = m->echo_incarnation,
        .applied = m->applied,
        .view_version = m->version,
        .catalog_version = m->catalog_version,
        .registry_hash = m->registry_hash,
        .flags = (m->leaving ? WIRE_LEAVING : 0U) |
                 (m->store_lost ? WIRE_STORE_LOST : 0U) |
                 (m->reply ? WIRE_REPLY : 0U),
        .details = has_details ? &details : NULL,
        .changes = m->has_changes ? &view_changes : NULL,
    };
    xdrmem_create(&x, bytes, sizeof(bytes), XDR_ENCODE);
    const bool ok = xdr_wire_message(&x, &w) && write_trailer(&x, m);
    const u_int size = xdr_getpos(&x);
    xdr_destroy(&x);
    const struct rpc_signed what = signed_data(bytes, size);
    if (!ok || size + SIGNATURE_BYTES > sizeof(bytes) ||
        !rpc_auth_sign(p->keys, &what, 0, mac) ||
        inet_pton(AF_INET, host, &to.sin_addr) != 1) {
        event_log(EVENT_STATE, "note_not_sent", "to=%s:%u", host, port);
        return 0;
    }
    memcpy(bytes + size, mac, SIGNATURE_BYTES);
    const ssize_t sent = sendto(p->fd, bytes, size + SIGNATURE_BYTES, 0,
                                (struct sockaddr *)&to, sizeof(to));
    return sent < 0 ? 0 : (size_t)sent;
}

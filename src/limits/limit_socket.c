#include "limits/limit_socket.h"

#include "base/event_log.h"
#include "coordination/agreement.h"
#include "limits/limit_message_xdr.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A message with LIMIT_ITEMS_MAX items has less than 1,200 bytes. A datagram
   that is longer than this is cut off and fails the check of its signature. */
#define MESSAGE_MAX_BYTES 2048
/* Part of the signed data, so that the signature of a message is never valid
   for an RPC or for a message about the view. */
#define SIGNATURE_PROGRAM 0x20673705
#define SIGNATURE_VERSION 1
/* HMAC-SHA256 truncated to half its length, as RFC 2104 allows. */
#define SIGNATURE_BYTES 16
/* At most so many datagrams are read before other events are handled. */
#define READ_BATCH_MAX 256

struct limit_socket {
    struct ev_loop *loop;
    int fd;
    ev_io io;
    const struct rpc_keys *keys;
    struct limit_socket_events events;
    void *ctx;
};

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
has_valid_signature(const struct limit_socket *p, const char *bytes,
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

/* Copies a decoded request. Returns false if a field is out of range; the
   length of the array has been checked by the XDR decoder. */
static bool
read_request(const limit_wire_request *w, struct limit_request *q)
{
    g_strlcpy(q->from, w->from, sizeof(q->from));
    q->incarnation = w->incarnation;
    q->id = w->id;
    q->count = (int)w->items.items_len;
    for (int i = 0; i < q->count; i++) {
        const limit_wire_wanted *x = &w->items.items_val[i];
        q->items[i].account = x->account;
        q->items[i].wanted = x->wanted;
        if (x->wanted == 0 || x->wanted > LIMIT_WANTED_MAX) {
            return false;
        }
    }
    return q->from[0] != '\0' && q->id != 0;
}

/* Copies a decoded reply. Returns false if a field is out of range. */
static bool
read_reply(const limit_wire_reply *w, struct limit_reply *r)
{
    g_strlcpy(r->from, w->from, sizeof(r->from));
    r->incarnation = w->incarnation;
    r->id = w->id;
    r->witnesses = w->witnesses;
    r->witness_count = (int)w->witness_count;
    r->listed_ms = w->listed_ms;
    r->count = (int)w->items.items_len;
    for (int i = 0; i < r->count; i++) {
        const limit_wire_granted *x = &w->items.items_val[i];
        r->items[i].account = x->account;
        r->items[i].granted = x->granted;
        r->items[i].next_ms = x->next_ms;
        if (x->granted > LIMIT_WANTED_MAX) {
            return false;
        }
    }
    return r->from[0] != '\0' && r->id != 0 && r->listed_ms >= -1 &&
           w->witness_count <= AGREEMENT_WITNESSES_MAX;
}

/* Decodes a datagram without its signature into *q or *r. */
enum limit_content
limit_message_decode(char *bytes, size_t size, struct limit_request *q,
                     struct limit_reply *r)
{
    limit_wire_message w = {0};
    enum limit_content content = LIMIT_CONTENT_MALFORMED;
    u_int version;
    XDR x;

    xdrmem_create(&x, bytes, (u_int)size, XDR_DECODE);
    if (!xdr_u_int(&x, &version) || version != LIMIT_WIRE_VERSION) {
        xdr_destroy(&x);
        return size < sizeof(uint32_t) ? LIMIT_CONTENT_MALFORMED
                                       : LIMIT_CONTENT_OTHER_VERSION;
    }
    xdr_destroy(&x);
    xdrmem_create(&x, bytes, (u_int)size, XDR_DECODE);
    if (xdr_limit_wire_message(&x, &w)) {
        memset(q, 0, sizeof(*q));
        memset(r, 0, sizeof(*r));
        if (w.body.kind == LIMIT_WIRE_REQUEST &&
            read_request(&w.body.limit_wire_body_u.request, q)) {
            content = LIMIT_CONTENT_REQUEST;
        }
        if (w.body.kind == LIMIT_WIRE_REPLY &&
            read_reply(&w.body.limit_wire_body_u.reply, r)) {
            content = LIMIT_CONTENT_REPLY;
        }
    }
    xdr_destroy(&x);
    xdr_free((xdrproc_t)xdr_limit_wire_message, (char *)&w);
    return content;
}

/* Handles one datagram whose signature is valid. */
static void
deliver(struct limit_socket *p, char *bytes, size_t size, const char *host)
{
    struct limit_request q;
    struct limit_reply r;

    switch (limit_message_decode(bytes, size - SIGNATURE_BYTES, &q, &r)) {
    case LIMIT_CONTENT_REQUEST:
        p->events.request(p->ctx, &q, size);
        break;
    case LIMIT_CONTENT_REPLY:
        p->events.reply(p->ctx, &r, size);
        break;
    case LIMIT_CONTENT_OTHER_VERSION:
        event_log(EVENT_STATE, "limit_message_version", "host=%s bytes=%zu",
                  host, size);
        break;
    case LIMIT_CONTENT_MALFORMED:
        event_log(EVENT_STATE, "limit_message_malformed", "host=%s bytes=%zu",
                  host, size);
        break;
    }
}

/* Reads and delivers pending datagrams. */
static void
on_readable(struct ev_loop *loop, ev_io *w, int revents)
{
    struct limit_socket *p = w->data;
    char bytes[MESSAGE_MAX_BYTES];
    char host[INET_ADDRSTRLEN];

    (void)loop;
    (void)revents;
    for (int i = 0; i < READ_BATCH_MAX; i++) {
        struct sockaddr_in from = {0};
        socklen_t from_size = sizeof(from);
        const ssize_t size = recvfrom(p->fd, bytes, sizeof(bytes), 0,
                                      (struct sockaddr *)&from, &from_size);
        if (size < 0) {
            return;
        }
        inet_ntop(AF_INET, &from.sin_addr, host, sizeof(host));
        if (!has_valid_signature(p, bytes, (size_t)size)) {
            event_log(EVENT_STATE, "limit_message_unsigned",
                      "host=%s bytes=%zd", host, size);
            continue;
        }
        deliver(p, bytes, (size_t)size, host);
    }
}

/* Opens the socket. keys is borrowed. On failure returns NULL and sets error
   to a text that the caller frees. */
struct limit_socket *
limit_socket_create(struct ev_loop *loop, const char *host, uint16_t port,
                    const struct rpc_keys *keys,
                    const struct limit_socket_events *events, void *ctx,
                    char **error)
{
    struct sockaddr_in at = {.sin_family = AF_INET, .sin_port = htons(port)};
    const int fd =
        socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd < 0 || inet_pton(AF_INET, host, &at.sin_addr) != 1 ||
        bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0) {
        *error = g_strdup_printf("limits port %s:%u: %s", host, port,
                                 g_strerror(errno));
        if (fd >= 0) {
            close(fd);
        }
        return NULL;
    }
    struct limit_socket *p = g_new0(struct limit_socket, 1);
    p->loop = loop;
    p->fd = fd;
    p->keys = keys;
    p->events = *events;
    p->ctx = ctx;
    ev_io_init(&p->io, on_readable, fd, EV_READ);
    p->io.data = p;
    ev_io_start(loop, &p->io);
    return p;
}

/* Closes the socket. p may be NULL. */
void
limit_socket_destroy(struct limit_socket *p)
{
    if (p == NULL) {
        return;
    }
    ev_io_stop(p->loop, &p->io);
    close(p->fd);
    g_free(p);
}

/* Encodes, signs and sends a message. Returns the size of the datagram, 0 if
   it could not be sent. */
static size_t
send_message(struct limit_socket *p, const char *host, uint16_t port,
             limit_wire_message *w)
{
    struct sockaddr_in to = {.sin_family = AF_INET, .sin_port = htons(port)};
    char bytes[MESSAGE_MAX_BYTES];
    uint8_t mac[RPC_MAC_BYTES];
    XDR x;

    w->wire_version = LIMIT_WIRE_VERSION;
    xdrmem_create(&x, bytes, sizeof(bytes), XDR_ENCODE);
    const bool ok = xdr_limit_wire_message(&x, w);
    const u_int size = xdr_getpos(&x);
    xdr_destroy(&x);
    const struct rpc_signed what = signed_data(bytes, size);
    if (!ok || size + SIGNATURE_BYTES > sizeof(bytes) ||
        !rpc_auth_sign(p->keys, &what, 0, mac) ||
        inet_pton(AF_INET, host, &to.sin_addr) != 1) {
        event_log(EVENT_STATE, "limit_message_not_sent", "to=%s:%u", host,
                  port);
        return 0;
    }
    memcpy(bytes + size, mac, SIGNATURE_BYTES);
    const ssize_t sent = sendto(p->fd, bytes, size + SIGNATURE_BYTES, 0,
                                (struct sockaddr *)&to, sizeof(to));
    return sent < 0 ? 0 : (size_t)sent;
}

/* Sends a request. Delivery is not guaranteed. Returns the size of the
   datagram, 0 if it could not be sent. */
size_t
limit_socket_send_request(struct limit_socket *p, const char *host,
                          uint16_t port, const struct limit_request *q)
{
    limit_wire_wanted items[LIMIT_ITEMS_MAX];
    limit_wire_message w = {.body.kind = LIMIT_WIRE_REQUEST};

    for (int i = 0; i < q->count; i++) {
        items[i] = (limit_wire_wanted){.account = q->items[i].account,
                                       .wanted = q->items[i].wanted};
    }
    w.body.limit_wire_body_u.request = (limit_wire_request){
        .from = (char *)q->from,
        .incarnation = q->incarnation,
        .id = q->id,
        .items = {.items_len = (u_int)q->count, .items_val = items},
    };
    return send_message(p, host, port, &w);
}

/* Sends a reply. Returns the size of the datagram, 0 if it could not be sent.
 */
size_t
limit_socket_send_reply(struct limit_socket *p, const char *host,
                        uint16_t port, const struct limit_reply *r)
{
    limit_wire_granted items[LIMIT_ITEMS_MAX];
    limit_wire_message w = {.body.kind = LIMIT_WIRE_REPLY};

    for (int i = 0; i < r->count; i++) {
        items[i] = (limit_wire_granted){.account = r->items[i].account,
                                        .granted = r->items[i].granted,
                                        .next_ms = r->items[i].next_ms};
    }
    w.body.limit_wire_body_u.reply = (limit_wire_reply){
        .from = (char *)r->from,
        .incarnation = r->incarnation,
        .id = r->id,
        .witnesses = r->witnesses,
        .witness_count = (u_int)r->witness_count,
        .listed_ms = (int)r->listed_ms,
        .items = {.items_len = (u_int)r->count, .items_val = items},
    };
    return send_message(p, host, port, &w);
}

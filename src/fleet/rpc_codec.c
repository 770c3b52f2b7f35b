#include "fleet/rpc_codec.h"

#include <string.h>

/* Flavor numbers of this project's credential and verifier. RFC 5531 leaves
   numbers above 400000 to local use. */
#define AUTH_GALENASTEP_CALL 0x67737401
#define AUTH_GALENASTEP_MAC 0x67737402
#define CRED_BYTES (RPC_NONCE_BYTES + 8)
#define HEAD_MAX_BYTES 256
#define LAST_FRAGMENT_FLAG 0x80000000U

/* Returns the name of a status, for logs and messages. */
const char *
rpc_status_name(enum rpc_status s)
{
    static const char *const names[] = {
        "ok",     "not sent",  "timed out",   "lost",
        "denied", "bad reply", "unavailable", "bad arguments",
        "failed", "too large", "busy",
    };

    return (unsigned)s < G_N_ELEMENTS(names) ? names[s] : "unknown";
}

/* Returns the counter name of a refusal reason. */
const char *
rpc_refusal_name(enum rpc_refusal r)
{
    static const char *const names[] = {
        "oversized", "malformed", "unsigned", "signature",   "time",
        "replay",    "nonces",    "stalled",  "connections",
    };

    return (unsigned)r < G_N_ELEMENTS(names) ? names[r] : "unknown";
}

/* Encodes or decodes nothing: the results follow the header as a separate
   body. */
static bool_t
xdr_no_results(XDR *x, ...)
{
    (void)x;
    return TRUE;
}

/* Decodes a call header. libtirpc is given buffers for the credential and the
   verifier, so that it allocates no memory. */
enum rpc_decoded
rpc_decode_call(struct sview record, struct rpc_call_head *out)
{
    char cred[MAX_AUTH_BYTES];
    char verf[MAX_AUTH_BYTES];
    struct rpc_msg m = {0};
    XDR x;

    memset(out, 0, sizeof(*out));
    m.rm_call.cb_cred.oa_base = cred;
    m.rm_call.cb_verf.oa_base = verf;
    xdrmem_create(&x, (char *)record.p, (u_int)record.n, XDR_DECODE);
    if (!xdr_callmsg(&x, &m)) {
        return RPC_DECODE_MALFORMED;
    }
    size_t used = xdr_getpos(&x);
    out->msg.xid = m.rm_xid;
    out->msg.program = (uint32_t)m.rm_call.cb_prog;
    out->msg.version = (uint32_t)m.rm_call.cb_vers;
    out->msg.procedure = (uint32_t)m.rm_call.cb_proc;
    out->msg.body = (struct sview){record.p + used, record.n - used};
    if (m.rm_call.cb_cred.oa_flavor != AUTH_GALENASTEP_CALL ||
        m.rm_call.cb_cred.oa_length != CRED_BYTES ||
        m.rm_call.cb_verf.oa_flavor != AUTH_GALENASTEP_MAC ||
        m.rm_call.cb_verf.oa_length != RPC_MAC_BYTES) {
        return RPC_DECODE_UNSIGNED;
    }
    memcpy(out->msg.nonce, cred, RPC_NONCE_BYTES);
    for (int i = 0; i < 8; i++) {
        out->msg.sent_ms =
            out->msg.sent_ms << 8 | (uint8_t)cred[RPC_NONCE_BYTES + i];
    }
    memcpy(out->mac, verf, RPC_MAC_BYTES);
    return RPC_DECODED;
}

/* Decodes a reply header. A denied reply has no signature. */
enum rpc_decoded
rpc_decode_reply(struct sview record, struct rpc_reply_head *out)
{
    char verf[MAX_AUTH_BYTES];
    struct rpc_msg m = {0};
    XDR x;

    memset(out, 0, sizeof(*out));
    m.acpted_rply.ar_verf.oa_base = verf;
    m.acpted_rply.ar_results.where = NULL;
    m.acpted_rply.ar_results.proc = xdr_no_results;
    /* xdr_replymsg fails if the message is a call. */
    xdrmem_create(&x, (char *)record.p, (u_int)record.n, XDR_DECODE);
    if (!xdr_replymsg(&x, &m)) {
        return RPC_DECODE_MALFORMED;
    }
    size_t used = xdr_getpos(&x);
    out->xid = m.rm_xid;
    if (m.rm_reply.rp_stat != MSG_ACCEPTED) {
        out->denied = true;
        return RPC_DECODED;
    }
    if (m.acpted_rply.ar_verf.oa_flavor != AUTH_GALENASTEP_MAC ||
        m.acpted_rply.ar_verf.oa_length != RPC_MAC_BYTES) {
        return RPC_DECODE_UNSIGNED;
    }
    out->accept_stat = (uint32_t)m.acpted_rply.ar_stat;
    memcpy(out->mac, verf, RPC_MAC_BYTES);
    out->body = (struct sview){record.p + used, record.n - used};
    return RPC_DECODED;
}

/* Appends a record of one fragment. Returns false if it exceeds the size
   limit. */
static bool
put_record(GByteArray *out, const char *head, size_t head_n, struct sview body)
{
    if (head_n + body.n > RPC_RECORD_MAX_BYTES) {
        return false;
    }
    uint32_t mark =
        GUINT32_TO_BE(LAST_FRAGMENT_FLAG | (uint32_t)(head_n + body.n));
    g_byte_array_append(out, (const guint8 *)&mark, sizeof(mark));
    g_byte_array_append(out, (const guint8 *)head, (guint)head_n);
    if (body.n > 0) {
        g_byte_array_append(out, (const guint8 *)body.p, (guint)body.n);
    }
    return true;
}

/* Appends a call record. Returns false if it is too large. */
bool
rpc_encode_call(GByteArray *out, const struct rpc_signed *msg,
                const uint8_t mac[RPC_MAC_BYTES])
{
    char head[HEAD_MAX_BYTES];
    char cred[CRED_BYTES];
    char verf[RPC_MAC_BYTES];
    struct rpc_msg m = {.rm_xid = msg->xid, .rm_direction = CALL};
    XDR x;

    memcpy(cred, msg->nonce, RPC_NONCE_BYTES);
    for (int i = 0; i < 8; i++) {
        cred[RPC_NONCE_BYTES + i] = (char)(msg->sent_ms >> (56 - 8 * i));
    }
    memcpy(verf, mac, RPC_MAC_BYTES);
    m.rm_call.cb_rpcvers = RPC_MSG_VERSION;
    m.rm_call.cb_prog = msg->program;
    m.rm_call.cb_vers = msg->version;
    m.rm_call.cb_proc = msg->procedure;
    m.rm_call.cb_cred = (struct opaque_auth){
        .oa_flavor = AUTH_GALENASTEP_CALL,
        .oa_base = cred,
        .oa_length = CRED_BYTES,
    };
    m.rm_call.cb_verf = (struct opaque_auth){
        .oa_flavor = AUTH_GALENASTEP_MAC,
        .oa_base = verf,
        .oa_length = RPC_MAC_BYTES,
    };
    xdrmem_create(&x, head, sizeof(head), XDR_ENCODE);
    if (!xdr_callmsg(&x, &m)) {
        return false;
    }
    return put_record(out, head, xdr_getpos(&x), msg->body);
}

/* Appends the record of an accepted reply. Returns false if it is too
   large. */
bool
rpc_encode_reply(GByteArray *out, const struct rpc_signed *msg,
                 const uint8_t mac[RPC_MAC_BYTES])
{
    char head[HEAD_MAX_BYTES];
    char verf[RPC_MAC_BYTES];
    struct rpc_msg m = {.rm_xid = msg->xid, .rm_direction = REPLY};
    XDR x;

    memcpy(verf, mac, RPC_MAC_BYTES);
    m.rm_reply.rp_stat = MSG_ACCEPTED;
    m.acpted_rply.ar_verf = (struct opaque_auth){
        .oa_flavor = AUTH_GALENASTEP_MAC,
        .oa_base = verf,
        .oa_length = RPC_MAC_BYTES,
    };
    m.acpted_rply.ar_stat = (enum accept_stat)msg->accept_stat;
    m.acpted_rply.ar_results.where = NULL;
    m.acpted_rply.ar_results.proc = xdr_no_results;
    xdrmem_create(&x, head, sizeof(head), XDR_ENCODE);
    if (!xdr_replymsg(&x, &m)) {
        return false;
    }
    return put_record(out, head, xdr_getpos(&x), msg->body);
}

/* Appends an unsigned denial, which the caller can only use as a hint. */
void
rpc_encode_denied(GByteArray *out, uint32_t xid)
{
    char head[HEAD_MAX_BYTES];
    struct rpc_msg m = {.rm_xid = xid, .rm_direction = REPLY};
    XDR x;

    m.rm_reply.rp_stat = MSG_DENIED;
    m.rjcted_rply.rj_stat = AUTH_ERROR;
    m.rjcted_rply.rj_why = AUTH_REJECTEDCRED;
    xdrmem_create(&x, head, sizeof(head), XDR_ENCODE);
    if (xdr_replymsg(&x, &m)) {
        put_record(out, head, xdr_getpos(&x), (struct sview){0});
    }
}

/* Appends the XDR form of value, without a header. Returns false if the value
   exceeds a limit of its type or of a record. */
bool
rpc_encode_body(GByteArray *out, xdrproc_t proc, const void *value)
{
    char *buffer = g_malloc(RPC_RECORD_MAX_BYTES);
    XDR x;

    xdrmem_create(&x, buffer, RPC_RECORD_MAX_BYTES, XDR_ENCODE);
    bool ok = proc(&x, (void *)value) != 0;
    if (ok) {
        g_byte_array_append(out, (const guint8 *)buffer, xdr_getpos(&x));
    }
    g_free(buffer);
    return ok;
}

/* Decodes a body into zeroed memory. Returns false on errors, also if bytes
   remain. The caller frees the contents of value with xdr_free in either
   case. */
bool
rpc_decode_body(struct sview body, xdrproc_t proc, void *value)
{
    XDR x;

    xdrmem_create(&x, (char *)body.p, (u_int)body.n, XDR_DECODE);
    return proc(&x, value) && xdr_getpos(&x) == body.n;
}

void
rpc_reader_init(struct rpc_reader *r)
{
    memset(r, 0, sizeof(*r));
    r->record = g_byte_array_new();
}

void
rpc_reader_clear(struct rpc_reader *r)
{
    g_byte_array_free(r->record, TRUE);
    r->record = NULL;
}

/* Drops a complete record, so that the next one can be read. */
void
rpc_reader_reset(struct rpc_reader *r)
{
    g_byte_array_set_size(r->record, 0);
    r->mark_len = 0;
    r->fragment_left = 0;
    r->last_fragment = false;
}

/* Returns true if a record has begun but is not complete. */
bool
rpc_reader_in_record(const struct rpc_reader *r)
{
    return r->mark_len > 0 || r->record->len > 0;
}

/* Consumes bytes of in until a record is complete. The length is checked as
   soon as the fragment header is complete; memory is allocated only for bytes
   received. */
enum rpc_read_status
rpc_reader_feed(struct rpc_reader *r, struct sview *in)
{
    while (in->n > 0) {
        if (r->mark_len < sizeof(r->mark)) {
            r->mark[r->mark_len++] = (uint8_t)*in->p++;
            in->n--;
            if (r->mark_len < sizeof(r->mark)) {
                continue;
            }
            uint32_t mark;
            memcpy(&mark, r->mark, sizeof(mark));
            mark = GUINT32_FROM_BE(mark);
            r->last_fragment = (mark & LAST_FRAGMENT_FLAG) != 0;
            r->fragment_left = mark & ~LAST_FRAGMENT_FLAG;
            if (r->fragment_left > RPC_RECORD_MAX_BYTES - r->record->len) {
                return RPC_READ_OVERSIZED;
            }
            /* With empty fragments, a peer could keep the event loop busy
               without ever completing a record. */
            if (r->fragment_left == 0) {
                return RPC_READ_MALFORMED;
            }
        }
        size_t n = in->n < r->fragment_left ? in->n : r->fragment_left;
        g_byte_array_append(r->record, (const guint8 *)in->p, (guint)n);
        in->p += n;
        in->n -= n;
        r->fragment_left -= (uint32_t)n;
        if (r->fragment_left == 0) {
            if (r->last_fragment) {
                return RPC_READ_RECORD;
            }
            r->mark_len = 0;
        }
    }
    return RPC_READ_MORE;
}

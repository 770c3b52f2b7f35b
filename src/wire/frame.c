#include "wire/frame.h"

/* Reads a big-endian 32-bit integer at p. */
static uint32_t
peek_u32(const char *p)
{
    const unsigned char *u = (const unsigned char *)p;

    return (uint32_t)u[0] << 24 | (uint32_t)u[1] << 16 | (uint32_t)u[2] << 8 |
           (uint32_t)u[3];
}

/* Parses the first typed message in a buffer. The length of the body is
   checked against max_bytes as soon as the header is complete. If
   FRAME_INCOMPLETE is returned for a complete header, *out is filled in as
   well. */
enum frame_status
frame_next(struct sview in, size_t max_bytes, struct frame *out)
{
    if (in.n < FRAME_HEADER_BYTES) {
        return FRAME_INCOMPLETE;
    }
    const uint32_t len = peek_u32(in.p + 1);
    if (len < 4) {
        return FRAME_MALFORMED;
    }
    if (len - 4 > max_bytes) {
        return FRAME_TOO_LARGE;
    }
    out->type = in.p[0];
    out->body = (struct sview){.p = in.p + FRAME_HEADER_BYTES, .n = len - 4};
    out->total_bytes = (size_t)len + 1;
    return in.n < out->total_bytes ? FRAME_INCOMPLETE : FRAME_COMPLETE;
}

/* Parses a start-up packet, which has no type byte. Its body begins with the
   protocol version or request code. */
enum frame_status
frame_next_startup(struct sview in, struct frame *out)
{
    if (in.n < 4) {
        return FRAME_INCOMPLETE;
    }
    const uint32_t len = peek_u32(in.p);
    if (len < 8) {
        return FRAME_MALFORMED;
    }
    if (len > FRAME_STARTUP_MAX_BYTES) {
        return FRAME_TOO_LARGE;
    }
    out->type = 0;
    out->body = (struct sview){.p = in.p + 4, .n = len - 4};
    out->total_bytes = len;
    return in.n < len ? FRAME_INCOMPLETE : FRAME_COMPLETE;
}

/* Returns the next n bytes. Sets failed and returns an empty view if fewer are
   left. */
struct sview
frame_read_bytes(struct frame_reader *r, size_t n)
{
    if (r->failed || r->rest.n < n) {
        r->failed = true;
        return (struct sview){.p = "", .n = 0};
    }
    const struct sview v = {.p = r->rest.p, .n = n};
    r->rest.p += n;
    r->rest.n -= n;
    return v;
}

/* Reads a big-endian 16-bit integer; returns 0 and sets failed if the body is
   too short. */
uint16_t
frame_read_u16(struct frame_reader *r)
{
    const struct sview v = frame_read_bytes(r, 2);

    if (v.n == 0) {
        return 0;
    }
    const unsigned char *u = (const unsigned char *)v.p;
    return (uint16_t)(u[0] << 8 | u[1]);
}

/* Reads a big-endian 32-bit integer; returns 0 and sets failed if the body is
   too short. */
uint32_t
frame_read_u32(struct frame_reader *r)
{
    const struct sview v = frame_read_bytes(r, 4);

    return v.n == 0 ? 0 : peek_u32(v.p);
}

/* Reads a NUL-terminated string; the view excludes the NUL. Sets failed and
   returns an empty view if the terminator is missing. */
struct sview
frame_read_cstring(struct frame_reader *r)
{
    const char *z =
        r->failed || r->rest.n == 0 ? NULL : memchr(r->rest.p, 0, r->rest.n);

    if (z == NULL) {
        r->failed = true;
        return (struct sview){.p = "", .n = 0};
    }
    const struct sview v = frame_read_bytes(r, (size_t)(z - r->rest.p));
    frame_read_bytes(r, 1);
    return v;
}

/* Starts a message and returns the position of its length field, which
   frame_end() fills in. */
size_t
frame_begin(GString *out, char type)
{
    g_string_append_c(out, type);
    const size_t start = out->len;
    frame_put_u32(out, 0);
    return start;
}

/* Fills in the length of the message that frame_begin() started. */
void
frame_end(GString *out, size_t start)
{
    const uint32_t len = (uint32_t)(out->len - start);

    for (int i = 0; i < 4; i++) {
        out->str[start + (size_t)i] = (char)(len >> (24 - 8 * i));
    }
}

/* Appends a big-endian 16-bit integer. */
void
frame_put_u16(GString *out, uint16_t v)
{
    const char b[2] = {(char)(v >> 8), (char)v};

    g_string_append_len(out, b, 2);
}

/* Appends a big-endian 32-bit integer. */
void
frame_put_u32(GString *out, uint32_t v)
{
    const char b[4] = {(char)(v >> 24), (char)(v >> 16), (char)(v >> 8),
                       (char)v};

    g_string_append_len(out, b, 4);
}

/* Appends a string with its terminating NUL. */
void
frame_put_cstring(GString *out, const char *s)
{
    g_string_append_len(out, s, (gssize)strlen(s) + 1);
}

/* Appends a view as a NUL-terminated string. */
void
frame_put_cstring_view(GString *out, struct sview s)
{
    g_string_append_len(out, s.p, (gssize)s.n);
    g_string_append_c(out, '\0');
}

/* Appends a simple Query message. */
void
frame_put_query(GString *out, const char *sql)
{
    const size_t at = frame_begin(out, 'Q');

    frame_put_cstring(out, sql);
    frame_end(out, at);
}

/* Appends ReadyForQuery; tx_status is 'I', 'T' or 'E'. */
void
frame_put_ready(GString *out, char tx_status)
{
    const size_t at = frame_begin(out, 'Z');

    g_string_append_c(out, tx_status);
    frame_end(out, at);
}

/* Appends ParameterStatus. */
void
frame_put_parameter(GString *out, const char *name, const char *value)
{
    const size_t at = frame_begin(out, 'S');

    frame_put_cstring(out, name);
    frame_put_cstring(out, value);
    frame_end(out, at);
}

/* Appends one field of an ErrorResponse unless value is NULL. */
static void
put_error_field(GString *out, char field, const char *value)
{
    if (value != NULL) {
        g_string_append_c(out, field);
        frame_put_cstring(out, value);
    }
}

/* Appends ErrorResponse; detail and hint may be NULL. */
void
frame_put_error(GString *out, const char *severity, const char *sqlstate,
                const char *message, const char *detail, const char *hint)
{
    const size_t at = frame_begin(out, 'E');

    put_error_field(out, 'S', severity);
    put_error_field(out, 'V', severity);
    put_error_field(out, 'C', sqlstate);
    put_error_field(out, 'M', message);
    put_error_field(out, 'D', detail);
    put_error_field(out, 'H', hint);
    g_string_append_c(out, '\0');
    frame_end(out, at);
}

/* Returns the value of a field in an ErrorResponse body, for example 'C' for
   the SQLSTATE; empty if the field is missing. */
struct sview
frame_error_field(struct sview body, char field)
{
    struct frame_reader r = {.rest = body};

    while (!r.failed && r.rest.n > 0 && r.rest.p[0] != '\0') {
        const char f = frame_read_bytes(&r, 1).p[0];
        const struct sview v = frame_read_cstring(&r);
        if (f == field && !r.failed) {
            return v;
        }
    }
    return (struct sview){.p = "", .n = 0};
}

/* Returns the first column of a DataRow body; empty if it is NULL or the body
   is malformed. */
struct sview
frame_first_column(struct sview body)
{
    struct frame_reader r = {.rest = body};

    if (frame_read_u16(&r) == 0) {
        return (struct sview){.p = "", .n = 0};
    }
    const uint32_t n = frame_read_u32(&r);
    if (n == UINT32_MAX) {
        return (struct sview){.p = "", .n = 0};
    }
    return frame_read_bytes(&r, n);
}

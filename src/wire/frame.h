#ifndef WIRE_FRAME_H
#define WIRE_FRAME_H

#include "base/sview.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Message framing of the PostgreSQL protocol, version 3, for connections to
   callers and to members. */

#define FRAME_HEADER_BYTES 5 /* type and length */

/* Codes at the beginning of a start-up packet; the version is 3.0. */
#define FRAME_STARTUP_VERSION 196608
#define FRAME_CANCEL_CODE 80877102
#define FRAME_SSL_CODE 80877103
#define FRAME_GSS_CODE 80877104

#define FRAME_STARTUP_MAX_BYTES 10000

enum frame_status {
    FRAME_INCOMPLETE,
    FRAME_COMPLETE,
    FRAME_TOO_LARGE,
    FRAME_MALFORMED,
};

/* One message in a receive buffer, which must outlive it. */
struct frame {
    char type;          /* 0 for a start-up packet */
    struct sview body;  /* without type and length field */
    size_t total_bytes; /* including type and length field */
};

/* Reads the fields of a message body in order. After a read past the end,
   failed is set and all further reads return empty values. */
struct frame_reader {
    struct sview rest;
    bool failed;
};

enum frame_status frame_next(struct sview in, size_t max_bytes,
                             struct frame *out);
enum frame_status frame_next_startup(struct sview in, struct frame *out);

uint16_t frame_read_u16(struct frame_reader *r);
uint32_t frame_read_u32(struct frame_reader *r);
struct sview frame_read_cstring(struct frame_reader *r);
struct sview frame_read_bytes(struct frame_reader *r, size_t n);

size_t frame_begin(GString *out, char type);
void frame_end(GString *out, size_t start);
void frame_put_u16(GString *out, uint16_t v);
void frame_put_u32(GString *out, uint32_t v);
void frame_put_cstring(GString *out, const char *s);
void frame_put_cstring_view(GString *out, struct sview s);

void frame_put_query(GString *out, const char *sql);
void frame_put_ready(GString *out, char tx_status);
void frame_put_parameter(GString *out, const char *name, const char *value);
void frame_put_error(GString *out, const char *severity, const char *sqlstate,
                     const char *message, const char *detail,
                     const char *hint);
struct sview frame_error_field(struct sview body, char field);
struct sview frame_first_column(struct sview body);

#endif

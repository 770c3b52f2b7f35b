#include "base/rng.h"
#include "coordination/peer_message_xdr.h"
#include "coordination/view.h"
#include "directory/catalog_text.h"
#include "directory/member_list.h"
#include "limits/limit_socket.h"
#include "line_protocol.h"
#include "node/copy_xdr.h"
#include "node/settings.h"
#include "row_decode.h"
#include "session/token.h"
#include "wire/frame.h"

#include <glib/gstdio.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Feeds mutated inputs to the decoders of everything that a proxy receives.

     fuzz_decoders CORPUS SEED COUNT

   CORPUS holds one file for each decoder and example: DECODER-ANYTHING. The
   sanitizers end the program at the first error; it prints the seed and the
   number of the input before. Each input has a buffer of exactly its size. */

#define INPUT_MAX_BYTES 4096
#define MUTATIONS_MAX 6

static void
fuzz_line(const char *p, size_t n)
{
    struct sview input = {.p = p, .n = n};
    struct sview line;
    size_t used;
    struct request r;
    struct token t;
    struct member_report report;
    enum transaction_state state;

    while (line_next(input, &line, &used) == LINE_COMPLETE) {
        struct sview rest = line;
        line_is_valid(line);
        line_take_word(&rest);
        if (line_parse_query(rest, &r)) {
            GString *out = g_string_new(NULL);
            line_append_query(out, &r, NULL);
            g_string_free(out, TRUE);
        }
        line_parse_failure(rest);
        line_parse_position(rest, &t);
        line_parse_state(rest, &state);
        line_parse_report(rest, &report);
        input.p += used;
        input.n -= used;
    }
}

static void
fuzz_member(const char *p, size_t n)
{
    char *text = g_strndup(p, n);
    struct member_entry m;
    const char *error;

    decode_member("i-1", text, &m, &error);
    decode_member(text, text, &m, &error);
    g_free(text);
}

static void
fuzz_config(const char *p, size_t n)
{
    char *text = g_strndup(p, n);
    const char *error;
    struct catalog *c = decode_catalog(text, &error);

    if (c != NULL) {
        char *copy = catalog_format(c);
        catalog_unref(catalog_parse(sview_from(copy)));
        g_free(copy);
        catalog_unref(c);
    }
    g_free(text);
}

static void
fuzz_catalog(const char *p, size_t n)
{
    struct catalog *c = catalog_parse((struct sview){.p = p, .n = n});

    if (c != NULL) {
        catalog_unref(c);
    }
}

static void
fuzz_members(const char *p, size_t n)
{
    g_array_free(member_list_parse((struct sview){.p = p, .n = n}), TRUE);
}

static void
fuzz_view(const char *p, size_t n)
{
    static struct view v;

    view_parse((struct sview){.p = p, .n = n}, &v);
}

static void
fuzz_message(const char *p, size_t n)
{
    wire_message w = {0};
    XDR x;

    xdrmem_create(&x, (char *)p, (u_int)n, XDR_DECODE);
    xdr_wire_message(&x, &w);
    xdr_destroy(&x);
    xdr_free((xdrproc_t)xdr_wire_message, (char *)&w);
}

static void
fuzz_limits(const char *p, size_t n)
{
    static struct limit_request q;
    static struct limit_reply r;

    limit_message_decode((char *)p, n, &q, &r);
}

static void
fuzz_copy(const char *p, size_t n)
{
    copy_reply r = {0};
    XDR x;

    xdrmem_create(&x, (char *)p, (u_int)n, XDR_DECODE);
    xdr_copy_reply(&x, &r);
    xdr_destroy(&x);
    xdr_free((xdrproc_t)xdr_copy_reply, (char *)&r);
}

static void
fuzz_settings(const char *p, size_t n)
{
    static char path[] = "/tmp/fuzz-settings-XXXXXX";
    static int fd = -1;
    struct node_settings s;
    char *error = NULL;

    if (fd < 0) {
        fd = g_mkstemp(path);
    }
    if (fd < 0 || ftruncate(fd, 0) != 0 || pwrite(fd, p, n, 0) != (ssize_t)n) {
        fprintf(stderr, "cannot write %s\n", path);
        exit(2);
    }
    node_settings_load(path, &s, &error);
    g_free(error);
}

static void
fuzz_frame(const char *p, size_t n)
{
    struct sview input = {.p = p, .n = n};
    struct frame f;

    frame_next_startup(input, &f);
    if (frame_next(input, INPUT_MAX_BYTES, &f) == FRAME_COMPLETE) {
        frame_error_field(f.body, 'M');
        frame_first_column(f.body);
    }
}

static void
fuzz_token(const char *p, size_t n)
{
    struct token t;

    token_parse((struct sview){.p = p, .n = n}, "boats", &t);
}

static const struct {
    const char *name;
    void (*run)(const char *p, size_t n);
    int one_in; /* slow decoders get fewer inputs */
} decoders[] = {
    {"line", fuzz_line, 1},         {"member", fuzz_member, 1},
    {"config", fuzz_config, 1},     {"catalog", fuzz_catalog, 1},
    {"members", fuzz_members, 1},   {"view", fuzz_view, 4},
    {"message", fuzz_message, 1},   {"copy", fuzz_copy, 1},
    {"settings", fuzz_settings, 8}, {"frame", fuzz_frame, 1},
    {"token", fuzz_token, 1},       {"limits", fuzz_limits, 1},
};

struct example {
    size_t decoder;
    char *bytes;
    size_t size;
};

static int
compare_names(const void *a, const void *b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Reads the corpus. Files of no known decoder are an error. */
static GArray *
read_corpus(const char *folder)
{
    GArray *examples = g_array_new(FALSE, FALSE, sizeof(struct example));
    GDir *dir = g_dir_open(folder, 0, NULL);
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    const char *entry;

    while (dir != NULL && (entry = g_dir_read_name(dir)) != NULL) {
        g_ptr_array_add(names, g_strdup(entry));
    }
    g_ptr_array_sort(names, compare_names);
    for (guint i = 0; i < names->len; i++) {
        const char *name = names->pdata[i];
        char *path = g_build_filename(folder, name, NULL);
        struct example e = {.decoder = G_N_ELEMENTS(decoders)};
        for (size_t d = 0; d < G_N_ELEMENTS(decoders); d++) {
            const size_t n = strlen(decoders[d].name);
            if (strncmp(name, decoders[d].name, n) == 0 && name[n] == '-') {
                e.decoder = d;
            }
        }
        if (e.decoder == G_N_ELEMENTS(decoders) ||
            !g_file_get_contents(path, &e.bytes, &e.size, NULL)) {
            fprintf(stderr, "cannot use %s\n", path);
            exit(2);
        }
        e.size = MIN(e.size, INPUT_MAX_BYTES / 2);
        g_array_append_val(examples, e);
        g_free(path);
    }
    if (dir != NULL) {
        g_dir_close(dir);
    }
    g_ptr_array_free(names, TRUE);
    return examples;
}

/* Changes an input in place, by one step. Returns its new size. */
static size_t
mutate(struct rng *r, char *p, size_t n, const struct example *other)
{
    static const char *const tokens[] = {"-1",
                                         "18446744073709551616",
                                         "-9223372036854775809",
                                         "4294967296",
                                         "\r\n",
                                         " ",
                                         "\"",
                                         "{",
                                         "[",
                                         ".",
                                         "\xff\xff\xff\xff"};
    const size_t at = n == 0 ? 0 : rng_below(r, n);

    switch (rng_below(r, 6)) {
    case 0:
        if (n > 0) {
            p[at] = (char)rng_below(r, 256);
        }
        return n;
    case 1:
        if (n > 0) {
            p[at] = (char)(p[at] ^ (1 << rng_below(r, 8)));
        }
        return n;
    case 2:
        return at;
    case 3: {
        const char *t = tokens[rng_below(r, G_N_ELEMENTS(tokens))];
        size_t size = 0;
        while (t[size] != '\0' && at + size < INPUT_MAX_BYTES) {
            p[at + size] = t[size];
            size++;
        }
        return MAX(n, at + size);
    }
    case 4: {
        const size_t size = MIN(n - at, INPUT_MAX_BYTES - n);
        memmove(p + at + size, p + at, n - at);
        return n + size;
    }
    default: {
        if (other->size == 0) {
            return n;
        }
        const size_t from = rng_below(r, other->size);
        const size_t size = MIN(other->size - from, INPUT_MAX_BYTES - at);
        memcpy(p + at, other->bytes + from, size);
        return at + size;
    }
    }
}

int
main(int argc, char **argv)
{
    if (argc != 4) {
        fprintf(stderr, "usage: fuzz_decoders CORPUS SEED COUNT\n");
        return 2;
    }
    GArray *examples = read_corpus(argv[1]);
    const uint64_t seed = g_ascii_strtoull(argv[2], NULL, 10);
    const uint64_t count = g_ascii_strtoull(argv[3], NULL, 10);
    char input[INPUT_MAX_BYTES];
    struct rng r;

    if (examples->len == 0) {
        fprintf(stderr, "%s is empty\n", argv[1]);
        return 2;
    }
    rng_seed(&r, seed);
    for (uint64_t i = 0; i < count; i++) {
        const struct example *e = &g_array_index(examples, struct example,
                                                 rng_below(&r, examples->len));
        const struct example *other = &g_array_index(
            examples, struct example, rng_below(&r, examples->len));
        if (rng_below(&r, (uint64_t)decoders[e->decoder].one_in) != 0) {
            continue;
        }
        memcpy(input, e->bytes, e->size);
        size_t n = e->size;
        for (uint64_t k = rng_below(&r, MUTATIONS_MAX); k > 0; k--) {
            n = mutate(&r, input, n, other);
        }
        char *exact = g_memdup2(input, n);
        if (i % 65536 == 0) {
            fprintf(stderr, "seed=%llu input=%llu\n", (unsigned long long)seed,
                    (unsigned long long)i);
        }
        decoders[e->decoder].run(exact, n);
        g_free(exact);
    }
    printf("seed=%llu inputs=%llu\n", (unsigned long long)seed,
           (unsigned long long)count);
    return 0;
}

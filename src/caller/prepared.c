#include "caller/prepared.h"

#include <inttypes.h>
#include <stdio.h>
#include <xxhash.h>

/* Creates a prepared statement with one reference. definition is the body of
   the Parse message after the statement name. */
struct prepared *
prepared_create(struct sview text, struct sview definition,
                const struct statement_info *info)
{
    struct prepared *p = g_new0(struct prepared, 1);
    const XXH128_hash_t h = XXH3_128bits(definition.p, definition.n);

    p->refs = 1;
    p->definition = g_bytes_new(definition.p, definition.n);
    p->text = g_strndup(text.p, text.n);
    p->class = info->class;
    p->multiple = info->multiple;
    p->ends_transaction = info->ends_transaction;
    p->fingerprint = info->fingerprint;
    p->set_name = g_strdup(info->set_name);
    p->set_value = g_strdup(info->set_value);
    p->set_is_reset = info->is_reset;
    snprintf(p->upstream_name, sizeof(p->upstream_name),
             "gs_%016" PRIx64 "%016" PRIx64, (uint64_t)h.high64,
             (uint64_t)h.low64);
    return p;
}

struct prepared *
prepared_ref(struct prepared *p)
{
    p->refs++;
    return p;
}

/* Drops a reference and frees the statement with the last one. data may be
   NULL. */
void
prepared_unref(void *data)
{
    struct prepared *p = data;

    if (p == NULL || --p->refs > 0) {
        return;
    }
    g_bytes_unref(p->definition);
    g_free(p->text);
    g_free(p->set_name);
    g_free(p->set_value);
    g_free(p);
}

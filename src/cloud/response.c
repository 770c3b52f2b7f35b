#include "cloud/response.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Frees the contents of a response. */
void
cloud_response_clear(struct cloud_response *r)
{
    for (size_t i = 0; i < r->n_rows; i++) {
        g_free(r->rows[i].key);
        g_free(r->rows[i].value);
    }
    for (size_t i = 0; i < r->n_vms; i++) {
        g_free(r->vms[i].name);
        g_free(r->vms[i].address);
        g_free(r->vms[i].failure_domain);
    }
    g_free(r->rows);
    g_free(r->vms);
    memset(r, 0, sizeof(*r));
}

/* Decodes {"key": ..., "value": ...}. */
static bool
decode_row(const json_t *json, struct cloud_row *row)
{
    const char *key = json_string_value(json_object_get(json, "key"));
    const char *value = json_string_value(json_object_get(json, "value"));

    if (!key || !value) {
        return false;
    }
    row->key = g_strdup(key);
    row->value = g_strdup(value);
    return true;
}

/* Decodes one entry of the VM list. Its state must be "live" or "leaving". */
static bool
decode_vm(const json_t *json, struct cloud_vm *vm)
{
    const char *name = json_string_value(json_object_get(json, "name"));
    const char *address = json_string_value(json_object_get(json, "address"));
    const char *domain =
        json_string_value(json_object_get(json, "failure_domain"));
    const char *state = json_string_value(json_object_get(json, "state"));

    if (!name || !address || !domain || !state ||
        (strcmp(state, "live") != 0 && strcmp(state, "leaving") != 0)) {
        return false;
    }
    vm->name = g_strdup(name);
    vm->address = g_strdup(address);
    vm->failure_domain = g_strdup(domain);
    vm->leaving = strcmp(state, "leaving") == 0;
    return true;
}

/* Decodes {"rows": [...]} or {"vms": [...]}. One invalid entry makes the whole
   list invalid. */
static bool
decode_list(enum cloud_body kind, const json_t *json,
            struct cloud_response *out)
{
    bool vms = kind == CLOUD_BODY_VMS;
    const json_t *list = json_object_get(json, vms ? "vms" : "rows");
    size_t n = json_array_size(list);

    if (!json_is_array(list)) {
        return false;
    }
    if (vms) {
        out->vms = g_new0(struct cloud_vm, n + 1);
        while (out->n_vms < n) {
            if (!decode_vm(json_array_get(list, out->n_vms),
                           &out->vms[out->n_vms])) {
                return false;
            }
            out->n_vms++;
        }
        return true;
    }
    out->rows = g_new0(struct cloud_row, n + 1);
    while (out->n_rows < n) {
        if (!decode_row(json_array_get(list, out->n_rows),
                        &out->rows[out->n_rows])) {
            return false;
        }
        out->n_rows++;
    }
    return true;
}

/* Decodes a body of n bytes, at most CLOUD_BODY_MAX_BYTES. Returns false and
   leaves out empty when the body is not what kind says. */
bool
cloud_response_decode(enum cloud_body kind, const char *body, size_t n,
                      struct cloud_response *out)
{
    memset(out, 0, sizeof(*out));
    if (kind == CLOUD_BODY_RAW || kind == CLOUD_BODY_NONE) {
        return true;
    }
    json_t *json = json_loadb(body, n, JSON_REJECT_DUPLICATES, NULL);
    bool ok = json != NULL;

    if (ok && kind == CLOUD_BODY_ROW) {
        out->rows = g_new0(struct cloud_row, 1);
        ok = decode_row(json, out->rows);
        out->n_rows = ok;
    }
    else if (ok) {
        ok = decode_list(kind, json, out);
    }
    json_decref(json);
    if (!ok) {
        cloud_response_clear(out);
    }
    return ok;
}

/* Returns the body of a table write, {"value": VALUE}, to be freed with
   g_free(), or NULL when value is not UTF-8. */
char *
cloud_value_encode(const char *value)
{
    json_t *json = json_pack("{s:s}", "value", value);
    char *text = json ? json_dumps(json, JSON_COMPACT) : NULL;
    char *copy = g_strdup(text);

    free(text);
    json_decref(json);
    return copy;
}

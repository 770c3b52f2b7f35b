#include "cost/report.h"

#include <string.h>

#define DECIMALS 9
#define PRICE_MAX_WHOLE 1000000 /* in units of the currency */
#define VMS_MAX 100000

/* Parses a decimal number such as 0.0425 with at most nine decimals. */
static bool
read_decimal(const char *s, cost_nano *out)
{
    char **parts = g_strsplit(s, ".", 3);
    guint n = g_strv_length(parts);
    guint64 whole = 0;
    guint64 fraction = 0;
    size_t digits = n == 2 ? strlen(parts[1]) : 0;
    bool ok = (n == 1 || (n == 2 && digits > 0 && digits <= DECIMALS)) &&
              g_ascii_string_to_unsigned(parts[0], 10, 0, PRICE_MAX_WHOLE,
                                         &whole, NULL) &&
              (n == 1 || g_ascii_string_to_unsigned(
                             parts[1], 10, 0, G_MAXUINT64, &fraction, NULL));

    for (size_t i = digits; i < DECIMALS; i++) {
        fraction *= 10;
    }
    g_strfreev(parts);
    *out = (cost_nano)(whole * 1000000000 + fraction);
    return ok;
}

/* Reads the group [prices]. All keys are required and unknown keys are
   rejected. On failure returns false and writes a message with the key to
   reason, a buffer of n_reason bytes. */
bool
cost_prices_read(GKeyFile *file, struct cost_prices *out, char *reason,
                 size_t n_reason)
{
    const struct {
        const char *key;
        cost_nano *price;
    } fields[] = {
        {"vm_hour", &out->vm_hour},
        {"connection_hour", &out->connection_hour},
        {"store_read", &out->store_read},
        {"store_write", &out->store_write},
        {"gb", &out->gb},
    };
    static const char *const known[] = {
        "vm_hour", "vms", "connection_hour", "store_read", "store_write",
        "gb",      NULL};
    char **keys = g_key_file_get_keys(file, "prices", NULL, NULL);

    for (size_t i = 0; keys && keys[i]; i++) {
        if (!g_strv_contains(known, keys[i])) {
            (void)g_snprintf(reason, n_reason, "[prices] %s: unknown key",
                             keys[i]);
            g_strfreev(keys);
            return false;
        }
    }
    g_strfreev(keys);
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        char *s = g_key_file_get_value(file, "prices", fields[i].key, NULL);
        bool ok = s && read_decimal(s, fields[i].price);

        g_free(s);
        if (!ok) {
            (void)g_snprintf(reason, n_reason,
                             "[prices] %s: must be a price with at most %d "
                             "decimals",
                             fields[i].key, DECIMALS);
            return false;
        }
    }
    char *s = g_key_file_get_value(file, "prices", "vms", NULL);
    gint64 vms = 0;
    bool ok = s && g_ascii_string_to_signed(s, 10, 1, VMS_MAX, &vms, NULL);

    g_free(s);
    out->vms = vms;
    if (!ok) {
        (void)g_snprintf(reason, n_reason, "[prices] vms: must be 1 to %d",
                         VMS_MAX);
    }
    return ok;
}

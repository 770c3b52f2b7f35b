#include "upstream/group_sql.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

/* Takes the next field, which a space ends; empty when there is none. */
static struct sview
take_field(struct sview *rest)
{
    const char *space = rest->n == 0 ? NULL : memchr(rest->p, ' ', rest->n);
    const struct sview field = {
        .p = rest->p,
        .n = space == NULL ? rest->n : (size_t)(space - rest->p),
    };
    const size_t used = field.n + (space != NULL);

    rest->p += used;
    rest->n -= used;
    return field;
}

/* Takes a field of decimal digits. Returns false when it is none or does not
   fit. */
static bool
take_number(struct sview *rest, uint64_t *out)
{
    const struct sview f = take_field(rest);
    uint64_t value = 0;

    for (size_t i = 0; i < f.n; i++) {
        const unsigned digit = (unsigned char)f.p[i] - (unsigned char)'0';
        if (digit > 9 || value > (UINT64_MAX - digit) / 10) {
            return false;
        }
        value = value * 10 + digit;
    }
    *out = value;
    return f.n > 0;
}

/* Takes a field of milliseconds, which may be negative. */
static bool
take_ms(struct sview *rest, int64_t *out)
{
    const bool negative = rest->n > 0 && rest->p[0] == '-';
    uint64_t value;

    if (negative) {
        rest->p++;
        rest->n--;
    }
    if (!take_number(rest, &value) || value > INT64_MAX) {
        return false;
    }
    *out = negative ? -(int64_t)value : (int64_t)value;
    return true;
}

/* Parses "TERM POSITION ROLE STALENESS_MS SILENCE_MS SEALED". Every read
   carries two of these texts; sscanf() took 5 % of the daemon's
   processor time under short reads. */
bool
group_state_parse(struct sview text, struct group_state *out)
{
    if (!take_number(&text, &out->term) ||
        !take_number(&text, &out->position)) {
        return false;
    }
    const struct sview role = take_field(&text);
    out->role = sview_equal(role, SVIEW("primary")) ? GROUP_ROLE_PRIMARY
                                                    : GROUP_ROLE_REPLICA;
    return role.n > 0 && take_ms(&text, &out->staleness_ms) &&
           take_ms(&text, &out->silence_ms) &&
           take_number(&text, &out->sealed);
}

/* Writes the statement that seals a term on a member. */
void
group_sql_seal(GString *out, uint64_t term)
{
    g_string_printf(out, "SELECT group_seal(%" PRIu64 ")", term);
}

/* Writes the statement that makes a member the primary of a term. */
void
group_sql_promote(GString *out, uint64_t term)
{
    g_string_printf(out, "SELECT group_promote(%" PRIu64 ")", term);
}

/* Writes the statement that makes a member follow a primary. */
void
group_sql_follow(GString *out, uint64_t term, const char *host, uint16_t port)
{
    g_string_printf(out, "SELECT group_follow(%" PRIu64 ", '%s', %u)", term,
                    host, port);
}

/* Writes the statement that cancels what a connection runs. A statement on a
   control connection is used in place of a cancel packet, since libpq's
   cancel call blocks and since the answer tells when the cancel is over. */
void
group_sql_cancel(GString *out, int pid)
{
    g_string_printf(out, "SELECT pg_cancel_backend(%d)", pid);
}

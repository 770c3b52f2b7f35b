#include "upstream/group_sql.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

/* Removes and returns the next field, up to a space or the end of the text;
   empty at the end of the text. */
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

/* Parses the next field as a decimal number. Returns false when it is not one
   or exceeds 64 bits. */
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

/* Parses the next field as milliseconds, which may be negative. */
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

/* Parses "TERM POSITION ROLE STALENESS_MS SILENCE_MS SEALED"; returns false
   when the text is malformed. Written by hand because every read carries two
   of these texts and sscanf() took 5 % of the daemon's CPU time under short
   reads. */
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

/* Formats the statement that seals a term on a member. */
void
group_sql_seal(GString *out, uint64_t term)
{
    g_string_printf(out, "SELECT group_seal(%" PRIu64 ")", term);
}

/* Formats the statement that makes a member the primary of a term. */
void
group_sql_promote(GString *out, uint64_t term)
{
    g_string_printf(out, "SELECT group_promote(%" PRIu64 ")", term);
}

/* Formats the statement that makes a member follow the primary at an
   address. */
void
group_sql_follow(GString *out, uint64_t term, const char *host, uint16_t port)
{
    g_string_printf(out, "SELECT group_follow(%" PRIu64 ", '%s', %u)", term,
                    host, port);
}

/* Formats the statement that cancels the running statement of the backend with
   the given process id. It is sent on a control connection instead of a cancel
   packet, because libpq's cancel call blocks and because its answer shows when
   the cancel is complete. */
void
group_sql_cancel(GString *out, int pid)
{
    g_string_printf(out, "SELECT pg_cancel_backend(%d)", pid);
}

#include "upstream/group_sql.h"

#include <inttypes.h>
#include <stdio.h>

#define STATE_TEXT_BYTES 256

/* Parses "TERM POSITION ROLE STALENESS_MS SILENCE_MS SEALED". */
bool
group_state_parse(struct sview text, struct group_state *out)
{
    char copy[STATE_TEXT_BYTES];
    char role[16];

    if (text.n >= sizeof(copy)) {
        return false;
    }
    memcpy(copy, text.p, text.n);
    copy[text.n] = '\0';
    const int n = sscanf(
        copy, "%" SCNu64 " %" SCNu64 " %15s %" SCNd64 " %" SCNd64 " %" SCNu64,
        &out->term, &out->position, role, &out->staleness_ms, &out->silence_ms,
        &out->sealed);
    if (n != 6) {
        return false;
    }
    out->role =
        strcmp(role, "primary") == 0 ? GROUP_ROLE_PRIMARY : GROUP_ROLE_REPLICA;
    return true;
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

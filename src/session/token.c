#include "session/token.h"

#include <glib.h>
#include <stdio.h>

/* Compares by term first, since the log may be shorter in a new term. Returns
   a number less than, equal to or greater than zero. */
int
token_compare(uint64_t term_a, uint64_t position_a, uint64_t term_b,
              uint64_t position_b)
{
    if (term_a != term_b) {
        return term_a < term_b ? -1 : 1;
    }
    if (position_a != position_b) {
        return position_a < position_b ? -1 : 1;
    }
    return 0;
}

/* Raises the token to a state that the session has seen. Never lowers it. */
void
token_raise(struct token *t, uint64_t term, uint64_t position)
{
    if (!t->known || token_compare(t->term, t->position, term, position) < 0) {
        t->term = term;
        t->position = position;
    }
    t->known = true;
}

/* Returns true if the session may see a member that is at this term and
   position. No member satisfies an unknown token; it requires a confirmed read
   on the primary. */
bool
token_is_satisfied(const struct token *t, uint64_t term, uint64_t position)
{
    return t->known &&
           token_compare(t->term, t->position, term, position) <= 0;
}

/* Writes the text form to out, which must have TOKEN_TEXT_BYTES. An unknown
   token is written as an empty string. */
void
token_format(const struct token *t, const char *database, char *out)
{
    if (!t->known) {
        out[0] = '\0';
        return;
    }
    snprintf(out, TOKEN_TEXT_BYTES,
             "v1:%.64s:%" G_GUINT64_FORMAT ":%" G_GUINT64_FORMAT, database,
             t->term, t->position);
}

/* Parses "v1:DATABASE:TERM:POSITION", "none" for a session without history, or
   an empty text for an unknown token. A token of another database says nothing
   about this one and gives an unknown token. Returns false if the text has
   none of these forms. */
bool
token_parse(struct sview text, const char *database, struct token *out)
{
    *out = (struct token){.known = false};
    if (text.n == 0) {
        return true;
    }
    if (sview_equal(text, SVIEW("none"))) {
        out->known = true;
        return true;
    }
    if (text.n >= TOKEN_TEXT_BYTES) {
        return false;
    }
    char *copy = g_strndup(text.p, text.n);
    char **parts = g_strsplit(copy, ":", 5);
    struct token t = {.known = true};
    const bool ok = g_strv_length(parts) == 4 && strcmp(parts[0], "v1") == 0 &&
                    g_ascii_string_to_unsigned(parts[2], 10, 0, G_MAXUINT64,
                                               &t.term, NULL) &&
                    g_ascii_string_to_unsigned(parts[3], 10, 0, G_MAXUINT64,
                                               &t.position, NULL);
    if (ok && strcmp(parts[1], database) == 0) {
        *out = t;
    }
    g_strfreev(parts);
    g_free(copy);
    return ok;
}

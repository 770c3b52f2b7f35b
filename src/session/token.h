#ifndef SESSION_TOKEN_H
#define SESSION_TOKEN_H

#include "base/sview.h"

#include <stdbool.h>
#include <stdint.h>

/* The causal token of a session for one database group: the least state that
   the session may be shown. known is false when the session's history is not
   known, which is not the same as having none. */
struct token {
    uint64_t term;
    uint64_t position;
    bool known;
};

#define TOKEN_TEXT_BYTES 192

int token_compare(uint64_t term_a, uint64_t position_a, uint64_t term_b,
                  uint64_t position_b);
void token_raise(struct token *t, uint64_t term, uint64_t position);
bool token_is_met(const struct token *t, uint64_t term, uint64_t position);
void token_format(const struct token *t, const char *database, char *out);
bool token_parse(struct sview text, const char *database, struct token *out);

#endif

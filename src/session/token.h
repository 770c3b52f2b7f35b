#ifndef SESSION_TOKEN_H
#define SESSION_TOKEN_H

#include "base/sview.h"

#include <stdbool.h>
#include <stdint.h>

/* Causal token of a session for one database group: the lowest term and
   position that the session may see. known is false if the session's history
   is unknown. A session without history has a known token with term and
   position 0. */
struct token {
    uint64_t term;
    uint64_t position;
    bool known;
};

/* Maximum size of the text form, with the terminating zero. */
#define TOKEN_TEXT_BYTES 192

int token_compare(uint64_t term_a, uint64_t position_a, uint64_t term_b,
                  uint64_t position_b);
void token_raise(struct token *t, uint64_t term, uint64_t position);
bool token_is_satisfied(const struct token *t, uint64_t term,
                        uint64_t position);
void token_format(const struct token *t, const char *database, char *out);
bool token_parse(struct sview text, const char *database, struct token *out);

#endif

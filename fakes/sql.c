#include "fakes/sql.h"

#include <stdlib.h>

enum sql_token_kind {
    TOKEN_END, /* end of input or a semicolon */
    TOKEN_WORD,
    TOKEN_NUMBER,
    TOKEN_STRING,
    TOKEN_PARAM,
    TOKEN_SYMBOL,
    TOKEN_BAD,
};

struct sql_token {
    enum sql_token_kind kind;
    struct sview text;
};

struct parser {
    struct sview rest;
    struct sql_token current;
    struct sql_statement *out;
};

static const struct {
    const char *name;
    enum sql_function function;
    unsigned n_args;
} functions[] = {
    {"group_state", SQL_GROUP_STATE, 0},
    {"group_confirm", SQL_GROUP_CONFIRM, 0},
    {"group_seal", SQL_GROUP_SEAL, 1},
    {"group_promote", SQL_GROUP_PROMOTE, 1},
    {"group_follow", SQL_GROUP_FOLLOW, 3},
    {"group_request_claim", SQL_REQUEST_CLAIM, 1},
    {"group_request_store", SQL_REQUEST_STORE, 2},
    {"group_request_lookup", SQL_REQUEST_LOOKUP, 1},
    {"current_setting", SQL_CURRENT_SETTING, 1},
    {"fake_rows", SQL_FAKE_ROWS, 2},
    {"fake_sleep", SQL_FAKE_SLEEP, 1},
    {"fake_fault", SQL_FAKE_FAULT, 2},
    {"fake_stats", SQL_FAKE_STATS, 0},
    {"pg_cancel_backend", SQL_CANCEL_BACKEND, 1},
    {"fake_session", SQL_FAKE_SESSION, 0},
};

/* Stores the name after owner= in a comment; the first one counts. */
static void
read_owner_comment(struct parser *p, struct sview comment)
{
    const char *at = g_strstr_len(comment.p, (gssize)comment.n, "owner=");

    if (at != NULL && p->out->owner == NULL) {
        const char *from = at + strlen("owner=");
        const char *end = from;
        while (end < comment.p + comment.n && !g_ascii_isspace(*end)) {
            end++;
        }
        p->out->owner = g_strndup(from, (gsize)(end - from));
    }
}

/* Skips white space and comments. */
static void
skip_space(struct parser *p)
{
    struct sview *r = &p->rest;

    while (r->n > 0) {
        size_t n = 0;
        if (g_ascii_isspace(r->p[0])) {
            n = 1;
        }
        else if (r->n >= 2 && r->p[0] == '/' && r->p[1] == '*') {
            const char *end = g_strstr_len(r->p + 2, (gssize)r->n - 2, "*/");
            n = end == NULL ? r->n : (size_t)(end - r->p) + 2;
            read_owner_comment(p, (struct sview){r->p + 2, n > 4 ? n - 4 : 0});
        }
        else if (r->n >= 2 && r->p[0] == '-' && r->p[1] == '-') {
            const char *end = memchr(r->p, '\n', r->n);
            n = end == NULL ? r->n : (size_t)(end - r->p);
        }
        else {
            return;
        }
        r->p += n;
        r->n -= n;
    }
}

/* Returns the length of a quoted string including its quotes; 0 if it is
   unterminated. */
static size_t
quoted_length(struct sview r)
{
    const char quote = r.p[0];

    for (size_t i = 1; i < r.n; i++) {
        if (r.p[i] == quote) {
            if (i + 1 < r.n && r.p[i + 1] == quote) {
                i++;
                continue;
            }
            return i + 1;
        }
    }
    return 0;
}

static bool
is_word_char(char c)
{
    return g_ascii_isalnum(c) || c == '_' || c == '.';
}

static void
advance(struct parser *p)
{
    struct sql_token *t = &p->current;
    size_t n = 1;

    skip_space(p);
    if (p->rest.n == 0 || p->rest.p[0] == ';') {
        *t = (struct sql_token){.kind = TOKEN_END};
        return;
    }
    const struct sview r = p->rest;
    if (g_ascii_isalpha(r.p[0]) || r.p[0] == '_') {
        t->kind = TOKEN_WORD;
        while (n < r.n && is_word_char(r.p[n])) {
            n++;
        }
    }
    else if (g_ascii_isdigit(r.p[0])) {
        t->kind = TOKEN_NUMBER;
        while (n < r.n && (g_ascii_isdigit(r.p[n]) || r.p[n] == '.')) {
            n++;
        }
    }
    else if (r.p[0] == '$') {
        t->kind = TOKEN_PARAM;
        while (n < r.n && g_ascii_isdigit(r.p[n])) {
            n++;
        }
    }
    else if (r.p[0] == '\'' || r.p[0] == '"') {
        n = quoted_length(r);
        t->kind = n == 0           ? TOKEN_BAD
                  : r.p[0] == '\'' ? TOKEN_STRING
                                   : TOKEN_WORD;
        n = MAX(n, 1);
    }
    else {
        t->kind = TOKEN_SYMBOL;
    }
    t->text = (struct sview){r.p, n};
    p->rest.p += n;
    p->rest.n -= n;
}

/* Consumes the current token if it is this word, ignoring case. */
static bool
accept_word(struct parser *p, const char *word)
{
    const size_t n = strlen(word);

    if (p->current.kind != TOKEN_WORD || p->current.text.n != n ||
        g_ascii_strncasecmp(p->current.text.p, word, n) != 0) {
        return false;
    }
    advance(p);
    return true;
}

/* Consumes the current token if it is this symbol. */
static bool
accept_symbol(struct parser *p, char symbol)
{
    if (p->current.kind != TOKEN_SYMBOL || p->current.text.p[0] != symbol) {
        return false;
    }
    advance(p);
    return true;
}

/* Copies a string without its quotes; doubled quotes become single ones. */
static char *
unquote(struct sview s)
{
    const char quote = s.p[0];
    GString *out = g_string_sized_new(s.n);

    for (size_t i = 1; i + 1 < s.n; i++) {
        g_string_append_c(out, s.p[i]);
        i += s.p[i] == quote;
    }
    return g_string_free(out, FALSE);
}

/* Parses a literal or a parameter as the next argument. */
static bool
parse_arg(struct parser *p)
{
    struct sql_statement *st = p->out;
    struct sql_arg *a = &st->args[st->n_args];
    const bool negative = accept_symbol(p, '-');
    const struct sql_token t = p->current;

    if (t.kind == TOKEN_NUMBER) {
        a->text = g_strdup_printf("%s%.*s", negative ? "-" : "", (int)t.text.n,
                                  t.text.p);
    }
    else if (t.kind == TOKEN_STRING && !negative) {
        a->text = unquote(t.text);
    }
    else if (t.kind == TOKEN_PARAM && !negative) {
        a->param = (unsigned)g_ascii_strtoull(t.text.p + 1, NULL, 10);
        if (a->param == 0 || a->param > SQL_PARAMS_MAX) {
            return false;
        }
        st->n_params = MAX(st->n_params, a->param);
    }
    else {
        return false;
    }
    st->n_args++;
    advance(p);
    return true;
}

/* Parses the name of a setting or savepoint as the next argument, in lower
   case unless it is quoted. */
static bool
parse_name(struct parser *p)
{
    struct sql_statement *st = p->out;

    if (p->current.kind != TOKEN_WORD) {
        return false;
    }
    const struct sview s = p->current.text;
    st->args[st->n_args++].text =
        s.p[0] == '"' ? unquote(s) : g_ascii_strdown(s.p, (gssize)s.n);
    advance(p);
    return true;
}

static bool
parse_table(struct parser *p)
{
    if (accept_word(p, "entries")) {
        p->out->table = TABLE_ENTRIES;
        return true;
    }
    p->out->table = TABLE_RENEWALS;
    return accept_word(p, "renewals");
}

/* Parses WHERE id = argument. */
static bool
parse_where(struct parser *p)
{
    return accept_word(p, "where") && accept_word(p, "id") &&
           accept_symbol(p, '=') && parse_arg(p);
}

/* Parses a function call; the current token is the function's name. */
static bool
parse_call(struct parser *p)
{
    for (size_t i = 0; i < G_N_ELEMENTS(functions); i++) {
        if (!accept_word(p, functions[i].name)) {
            continue;
        }
        p->out->kind = SQL_CALL;
        p->out->function = functions[i].function;
        if (!accept_symbol(p, '(')) {
            return false;
        }
        for (unsigned k = 0; k < functions[i].n_args; k++) {
            if ((k > 0 && !accept_symbol(p, ',')) || !parse_arg(p)) {
                return false;
            }
        }
        return accept_symbol(p, ')');
    }
    return false;
}

/* Parses the rest of SELECT. */
static bool
parse_select(struct parser *p)
{
    if (p->current.kind == TOKEN_NUMBER) {
        p->out->kind = SQL_SELECT_CONSTANT;
        return parse_arg(p);
    }
    if (accept_word(p, "value")) {
        p->out->kind = SQL_SELECT_VALUE;
        return accept_word(p, "from") && parse_table(p) && parse_where(p);
    }
    if (accept_word(p, "id")) {
        p->out->kind = SQL_SELECT_ROW;
        return accept_symbol(p, ',') && accept_word(p, "value") &&
               accept_word(p, "from") && parse_table(p) && parse_where(p);
    }
    if (accept_word(p, "count")) {
        p->out->kind = SQL_SELECT_COUNT;
        return accept_symbol(p, '(') && accept_symbol(p, '*') &&
               accept_symbol(p, ')') && accept_word(p, "from") &&
               parse_table(p);
    }
    return parse_call(p);
}

/* Parses the rest of INSERT. */
static bool
parse_insert(struct parser *p)
{
    p->out->kind = SQL_INSERT;
    return accept_word(p, "into") && parse_table(p) && accept_symbol(p, '(') &&
           accept_word(p, "id") && accept_symbol(p, ',') &&
           accept_word(p, "value") && accept_symbol(p, ')') &&
           accept_word(p, "values") && accept_symbol(p, '(') && parse_arg(p) &&
           accept_symbol(p, ',') && parse_arg(p) && accept_symbol(p, ')');
}

/* Parses the rest of UPDATE. */
static bool
parse_update(struct parser *p)
{
    struct sql_statement *st = p->out;

    if (!parse_table(p) || !accept_word(p, "set") ||
        !accept_word(p, "value") || !accept_symbol(p, '=')) {
        return false;
    }
    st->kind = SQL_UPDATE_SET;
    if (accept_word(p, "value")) {
        st->kind = SQL_UPDATE_ADD;
        st->subtract = accept_symbol(p, '-');
        if (!st->subtract && !accept_symbol(p, '+')) {
            return false;
        }
    }
    return parse_arg(p) && parse_where(p);
}

/* Parses the rest of BEGIN or START. */
static bool
parse_begin(struct parser *p)
{
    p->out->kind = SQL_BEGIN;
    if (!accept_word(p, "transaction")) {
        accept_word(p, "work");
    }
    if (!accept_word(p, "read")) {
        return true;
    }
    p->out->read_only = accept_word(p, "only");
    return p->out->read_only || accept_word(p, "write");
}

/* Parses the rest of SET. A value is a literal or a list of words. */
static bool
parse_set(struct parser *p)
{
    p->out->kind = accept_word(p, "local") ? SQL_SET_LOCAL : SQL_SET;
    if (p->out->kind == SQL_SET) {
        accept_word(p, "session");
    }
    if (!parse_name(p) || (!accept_symbol(p, '=') && !accept_word(p, "to"))) {
        return false;
    }
    if (accept_word(p, "default")) {
        p->out->kind = SQL_RESET;
        return true;
    }
    if (p->current.kind != TOKEN_WORD) {
        return p->current.kind != TOKEN_PARAM && parse_arg(p);
    }
    GString *value = g_string_new(NULL);
    do {
        if (p->current.kind != TOKEN_WORD) {
            g_string_free(value, TRUE);
            return false;
        }
        g_string_append_printf(value, "%s%.*s", value->len > 0 ? ", " : "",
                               (int)p->current.text.n, p->current.text.p);
        advance(p);
    } while (accept_symbol(p, ','));
    p->out->args[p->out->n_args++].text = g_string_free(value, FALSE);
    return true;
}

/* Parses the rest of COMMIT, END or ROLLBACK. */
static bool
parse_end(struct parser *p, enum sql_kind kind)
{
    p->out->kind = kind;
    if (!accept_word(p, "transaction")) {
        accept_word(p, "work");
    }
    return true;
}

static bool
parse_statement(struct parser *p)
{
    if (p->current.kind == TOKEN_END) {
        p->out->kind = SQL_EMPTY;
        return true;
    }
    if (accept_word(p, "select")) {
        return parse_select(p);
    }
    if (accept_word(p, "insert")) {
        return parse_insert(p);
    }
    if (accept_word(p, "update")) {
        return parse_update(p);
    }
    if (accept_word(p, "begin")) {
        return parse_begin(p);
    }
    if (accept_word(p, "start")) {
        return p->current.kind == TOKEN_WORD && p->current.text.n == 11 &&
               parse_begin(p);
    }
    if (accept_word(p, "commit") || accept_word(p, "end")) {
        return parse_end(p, SQL_COMMIT);
    }
    if (accept_word(p, "rollback")) {
        return parse_end(p, SQL_ROLLBACK);
    }
    if (accept_word(p, "savepoint")) {
        p->out->kind = SQL_SAVEPOINT;
        return parse_name(p);
    }
    if (accept_word(p, "release")) {
        p->out->kind = SQL_RELEASE;
        accept_word(p, "savepoint");
        return parse_name(p);
    }
    if (accept_word(p, "set")) {
        return parse_set(p);
    }
    if (accept_word(p, "reset")) {
        p->out->kind = SQL_RESET_ALL;
        if (accept_word(p, "all")) {
            return true;
        }
        p->out->kind = SQL_RESET;
        return parse_name(p);
    }
    if (accept_word(p, "show")) {
        p->out->kind = SQL_SHOW;
        return parse_name(p);
    }
    if (accept_word(p, "discard")) {
        p->out->kind = SQL_DISCARD_ALL;
        return accept_word(p, "all");
    }
    return false;
}

/* Parses the first statement of *rest and advances *rest past it and its
   semicolon. Returns false for an unsupported statement; out then needs no
   sql_clear(). */
bool
sql_parse(struct sview *rest, struct sql_statement *out)
{
    struct parser p = {.rest = *rest, .out = out};

    memset(out, 0, sizeof *out);
    advance(&p);
    if (!parse_statement(&p) || p.current.kind != TOKEN_END) {
        sql_clear(out);
        return false;
    }
    *rest = p.rest;
    if (rest->n > 0 && rest->p[0] == ';') {
        rest->p++;
        rest->n--;
    }
    return true;
}

void
sql_clear(struct sql_statement *st)
{
    for (unsigned i = 0; i < SQL_ARGS_MAX; i++) {
        g_clear_pointer(&st->args[i].text, g_free);
    }
    g_clear_pointer(&st->owner, g_free);
}

/* Returns true if the statement changes rows or request keys. */
bool
sql_is_write(const struct sql_statement *st)
{
    return st->kind == SQL_INSERT || st->kind == SQL_UPDATE_SET ||
           st->kind == SQL_UPDATE_ADD ||
           (st->kind == SQL_CALL && (st->function == SQL_REQUEST_CLAIM ||
                                     st->function == SQL_REQUEST_STORE));
}

/* Returns true if the statement's result has rows, possibly none. */
bool
sql_returns_rows(const struct sql_statement *st)
{
    switch (st->kind) {
    case SQL_SELECT_VALUE:
    case SQL_SELECT_ROW:
    case SQL_SELECT_COUNT:
    case SQL_SELECT_CONSTANT:
    case SQL_CALL:
    case SQL_SHOW:
        return true;
    default:
        return false;
    }
}

/* Returns the name of the result's last column. */
const char *
sql_column_name(const struct sql_statement *st)
{
    switch (st->kind) {
    case SQL_SELECT_VALUE:
    case SQL_SELECT_ROW:
        return "value";
    case SQL_SELECT_COUNT:
        return "count";
    case SQL_SHOW:
        return st->args[0].text;
    case SQL_CALL:
        for (size_t i = 0; i < G_N_ELEMENTS(functions); i++) {
            if (functions[i].function == st->function) {
                return functions[i].name;
            }
        }
        return "?column?";
    default:
        return "?column?";
    }
}

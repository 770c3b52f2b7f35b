#include "statement/classify.h"

#include <jansson.h>
#include <pg_query.h>
#include <string.h>

/* Value of CURSOR_OPT_HOLD in the parse tree of DECLARE CURSOR. */
#define CURSOR_OPTION_HOLD 0x0020

/* Functions that neither change data nor depend on session state. A call of
   any other function makes the statement a write, since the function may have
   side effects. */
static const char *const default_read_only_functions[] = {
    "abs",
    "age",
    "array_agg",
    "array_length",
    "array_to_string",
    "avg",
    "bit_length",
    "bool_and",
    "bool_or",
    "btrim",
    "cardinality",
    "ceil",
    "ceiling",
    "char_length",
    "character_length",
    "coalesce",
    "concat",
    "concat_ws",
    "count",
    "cume_dist",
    "current_database",
    "current_schema",
    "current_setting",
    "date_part",
    "date_trunc",
    "decode",
    "dense_rank",
    "encode",
    "every",
    "exp",
    "extract",
    "first_value",
    "floor",
    "format",
    "generate_series",
    "greatest",
    "initcap",
    "json_agg",
    "json_build_object",
    "json_object_agg",
    "jsonb_agg",
    "jsonb_build_object",
    "lag",
    "last_value",
    "lead",
    "least",
    "left",
    "length",
    "ln",
    "log",
    "lower",
    "lpad",
    "ltrim",
    "max",
    "md5",
    "min",
    "mod",
    "now",
    "ntile",
    "nullif",
    "octet_length",
    "overlay",
    "percent_rank",
    "position",
    "power",
    "rank",
    "regexp_match",
    "regexp_matches",
    "regexp_replace",
    "repeat",
    "replace",
    "reverse",
    "right",
    "round",
    "row_number",
    "row_to_json",
    "rpad",
    "rtrim",
    "sign",
    "split_part",
    "sqrt",
    "stddev",
    "strpos",
    "string_agg",
    "substr",
    "substring",
    "sum",
    "to_char",
    "to_date",
    "to_json",
    "to_jsonb",
    "to_number",
    "to_timestamp",
    "translate",
    "trim",
    "trunc",
    "unnest",
    "upper",
    "variance",
    "version",
    NULL,
};

/* Functions whose effect outlasts the transaction on the connection. */
static const char *const session_functions[] = {
    "pg_advisory_lock",
    "pg_advisory_lock_shared",
    "pg_try_advisory_lock",
    "pg_try_advisory_lock_shared",
    "pg_advisory_unlock",
    "pg_advisory_unlock_shared",
    "pg_advisory_unlock_all",
    "setseed",
    "set_config",
    NULL,
};

/* Input and result of walking the parse tree of one statement. */
struct walk_context {
    GHashTable *read_only;
    bool writes;
    bool session_state;
};

/* Adds the default read-only functions to a set of names. */
void
classify_add_default_functions(GHashTable *functions)
{
    for (int i = 0; default_read_only_functions[i] != NULL; i++) {
        g_hash_table_add(functions, g_strdup(default_read_only_functions[i]));
    }
}

static bool
list_contains(const char *const *list, const char *name)
{
    for (int i = 0; list[i] != NULL; i++) {
        if (strcmp(list[i], name) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the last part of a qualified name, or "". */
static const char *
last_name(const json_t *names)
{
    const size_t n = json_array_size(names);

    if (n == 0) {
        return "";
    }
    const json_t *s = json_object_get(json_array_get(names, n - 1), "String");
    const char *name = json_string_value(json_object_get(s, "sval"));
    return name == NULL ? "" : name;
}

/* Records the effect of one function call. A function of a schema other than
   pg_catalog may shadow a built-in one, so it counts as unknown. */
static void
check_function_call(struct walk_context *w, const json_t *call)
{
    const json_t *names = json_object_get(call, "funcname");
    const char *name = last_name(names);

    if (list_contains(session_functions, name)) {
        w->session_state = true;
        return;
    }
    bool qualified = json_array_size(names) > 1;
    if (qualified) {
        const json_t *s = json_object_get(json_array_get(names, 0), "String");
        const char *schema = json_string_value(json_object_get(s, "sval"));
        qualified = schema == NULL || strcmp(schema, "pg_catalog") != 0;
    }
    if (qualified || !g_hash_table_contains(w->read_only, name)) {
        w->writes = true;
    }
}

/* Walks a parse tree and records everything that makes a SELECT more than a
   read. */
static void
walk_tree(struct walk_context *w, const json_t *node)
{
    static const char *const write_nodes[] = {
        "InsertStmt", "UpdateStmt",    "DeleteStmt", "MergeStmt",
        "IntoClause", "LockingClause", "intoClause", NULL};
    const char *key;
    const json_t *value;

    if (json_is_array(node)) {
        for (size_t i = 0; i < json_array_size(node); i++) {
            walk_tree(w, json_array_get(node, i));
        }
        return;
    }
    if (!json_is_object(node)) {
        return;
    }
    /* The macro's parameter is not const, but the tree is not changed. */
    json_object_foreach((json_t *)node, key, value)
    {
        if (list_contains(write_nodes, key)) {
            w->writes = true;
        }
        if (strcmp(key, "FuncCall") == 0) {
            check_function_call(w, value);
        }
        if (strcmp(key, "relpersistence") == 0 && json_is_string(value) &&
            strcmp(json_string_value(value), "t") == 0) {
            w->session_state = true;
        }
        walk_tree(w, value);
    }
}

/* Returns true for BEGIN READ ONLY. */
static bool
begin_is_read_only(const json_t *options)
{
    for (size_t i = 0; i < json_array_size(options); i++) {
        const json_t *e =
            json_object_get(json_array_get(options, i), "DefElem");
        const char *name = json_string_value(json_object_get(e, "defname"));
        if (name == NULL || strcmp(name, "transaction_read_only") != 0) {
            continue;
        }
        const json_t *value =
            json_object_get(json_object_get(e, "arg"), "A_Const");
        return json_integer_value(json_object_get(
                   json_object_get(value, "ival"), "ival")) == 1;
    }
    return false;
}

/* Classifies a transaction control statement. */
static enum statement_class
classify_transaction(const json_t *s)
{
    const char *kind = json_string_value(json_object_get(s, "kind"));

    if (kind == NULL) {
        return STATEMENT_WRITE;
    }
    if (strcmp(kind, "TRANS_STMT_BEGIN") == 0 ||
        strcmp(kind, "TRANS_STMT_START") == 0) {
        return begin_is_read_only(json_object_get(s, "options"))
                   ? STATEMENT_BEGIN_READ_ONLY
                   : STATEMENT_BEGIN;
    }
    if (strcmp(kind, "TRANS_STMT_COMMIT") == 0 ||
        strcmp(kind, "TRANS_STMT_ROLLBACK") == 0) {
        return json_is_true(json_object_get(s, "chain")) ? STATEMENT_TX_CONTROL
                                                         : STATEMENT_END;
    }
    if (strcmp(kind, "TRANS_STMT_PREPARE") == 0 ||
        strcmp(kind, "TRANS_STMT_COMMIT_PREPARED") == 0 ||
        strcmp(kind, "TRANS_STMT_ROLLBACK_PREPARED") == 0) {
        return STATEMENT_SESSION_STATE;
    }
    return STATEMENT_TX_CONTROL;
}

/* Returns the text of the constant in a SET argument list as a newly allocated
   string. */
static char *
constant_text(const json_t *args)
{
    const json_t *c = json_object_get(json_array_get(args, 0), "A_Const");
    const json_t *s = json_object_get(json_object_get(c, "sval"), "sval");
    const json_t *i = json_object_get(json_object_get(c, "ival"), "ival");
    const json_t *f = json_object_get(json_object_get(c, "fval"), "fval");

    if (json_is_string(s)) {
        return g_strdup(json_string_value(s));
    }
    if (json_is_string(f)) {
        return g_strdup(json_string_value(f));
    }
    if (json_is_integer(i)) {
        return g_strdup_printf("%lld", (long long)json_integer_value(i));
    }
    return g_strdup(json_object_get(c, "ival") != NULL ? "0" : "");
}

/* Classifies SET and RESET; for SET and RESET of one name also stores its name
   and value in out. */
static enum statement_class
classify_set(const json_t *s, struct statement_info *out)
{
    const char *kind = json_string_value(json_object_get(s, "kind"));
    const char *name = json_string_value(json_object_get(s, "name"));

    if (kind != NULL && strcmp(kind, "VAR_RESET_ALL") == 0) {
        return STATEMENT_RESET_ALL;
    }
    if (json_is_true(json_object_get(s, "is_local")) ||
        (name != NULL && strcmp(name, "TRANSACTION") == 0)) {
        return STATEMENT_TX_CONTROL;
    }
    if (kind == NULL || name == NULL || strcmp(kind, "VAR_SET_MULTI") == 0) {
        return STATEMENT_SESSION_STATE;
    }
    g_free(out->set_name);
    g_free(out->set_value);
    out->set_name = g_ascii_strdown(name, -1);
    out->set_value = constant_text(json_object_get(s, "args"));
    out->is_reset =
        strcmp(kind, "VAR_SET_DEFAULT") == 0 || strcmp(kind, "VAR_RESET") == 0;
    return STATEMENT_SET;
}

/* Classifies a statement by the contents of its parse tree. */
static enum statement_class
classify_query(const json_t *s, GHashTable *read_only)
{
    struct walk_context w = {.read_only = read_only};

    walk_tree(&w, s);
    if (w.session_state) {
        return STATEMENT_SESSION_STATE;
    }
    return w.writes ? STATEMENT_WRITE : STATEMENT_READ;
}

/* Classifies one statement. node is the name of its parse tree node. */
static enum statement_class
classify_statement(const char *node, const json_t *s, GHashTable *read_only,
                   struct statement_info *out)
{
    static const char *const session_nodes[] = {
        "PrepareStmt", "ExecuteStmt",  "DeallocateStmt",
        "ListenStmt",  "UnlistenStmt", "LoadStmt",
        NULL};

    if (strcmp(node, "SelectStmt") == 0 || strcmp(node, "ExplainStmt") == 0) {
        return classify_query(s, read_only);
    }
    if (strcmp(node, "TransactionStmt") == 0) {
        return classify_transaction(s);
    }
    if (strcmp(node, "VariableSetStmt") == 0) {
        return classify_set(s, out);
    }
    if (strcmp(node, "VariableShowStmt") == 0) {
        const char *name = json_string_value(json_object_get(s, "name"));
        g_free(out->set_name);
        out->set_name = g_ascii_strdown(name == NULL ? "" : name, -1);
        return STATEMENT_SHOW;
    }
    if (strcmp(node, "DiscardStmt") == 0) {
        const char *t = json_string_value(json_object_get(s, "target"));
        return t != NULL && strcmp(t, "DISCARD_ALL") == 0
                   ? STATEMENT_RESET_ALL
                   : STATEMENT_SESSION_STATE;
    }
    if (strcmp(node, "CopyStmt") == 0) {
        return STATEMENT_COPY;
    }
    if (strcmp(node, "DeclareCursorStmt") == 0) {
        const json_int_t o = json_integer_value(json_object_get(s, "options"));
        return o & CURSOR_OPTION_HOLD ? STATEMENT_SESSION_STATE
                                      : STATEMENT_TX_CONTROL;
    }
    if (strcmp(node, "FetchStmt") == 0 ||
        strcmp(node, "ClosePortalStmt") == 0) {
        return STATEMENT_TX_CONTROL;
    }
    if (list_contains(session_nodes, node)) {
        return STATEMENT_SESSION_STATE;
    }
    /* Data and schema changes. Temporary tables belong to a session. */
    return classify_query(s, read_only) == STATEMENT_SESSION_STATE
               ? STATEMENT_SESSION_STATE
               : STATEMENT_WRITE;
}

/* Combines the classes of the statements of one message. Session settings
   among other statements are refused: they are replayed on other connections,
   where their position between the other statements would be lost. */
static enum statement_class
combine_classes(enum statement_class a, enum statement_class b)
{
    if (a == STATEMENT_EMPTY) {
        return b;
    }
    if (a == STATEMENT_COPY || b == STATEMENT_COPY) {
        return STATEMENT_COPY;
    }
    if (a == STATEMENT_SET || b == STATEMENT_SET || a == STATEMENT_SHOW ||
        b == STATEMENT_SHOW || a == STATEMENT_RESET_ALL ||
        b == STATEMENT_RESET_ALL || a == STATEMENT_SESSION_STATE ||
        b == STATEMENT_SESSION_STATE) {
        return STATEMENT_SESSION_STATE;
    }
    return a == STATEMENT_READ && b == STATEMENT_READ ? STATEMENT_READ
                                                      : STATEMENT_WRITE;
}

/* Parses text and fills in *out except for the fingerprint. A text that does
   not parse is STATEMENT_INVALID. */
void
classify_text(const char *text, GHashTable *read_only_functions,
              struct statement_info *out)
{
    PgQueryParseResult r = pg_query_parse(text);
    json_t *root = NULL;
    const char *node;
    json_t *body;

    out->class = STATEMENT_INVALID;
    if (r.error != NULL) {
        goto done;
    }
    root = json_loads(r.parse_tree, 0, NULL);
    if (root == NULL) {
        goto done;
    }
    const json_t *list = json_object_get(root, "stmts");
    out->class = STATEMENT_EMPTY;
    out->multiple = json_array_size(list) > 1;
    for (size_t i = 0; i < json_array_size(list); i++) {
        json_t *s = json_object_get(json_array_get(list, i), "stmt");
        json_object_foreach(s, node, body)
        {
            const enum statement_class c =
                classify_statement(node, body, read_only_functions, out);
            out->ends_transaction =
                out->ends_transaction || c == STATEMENT_END;
            out->class = combine_classes(out->class, c);
        }
    }
done:
    json_decref(root);
    pg_query_free_parse_result(r);
}

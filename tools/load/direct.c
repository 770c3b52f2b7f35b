#include "load/direct.h"

#include "load/client.h"

#define LOG_MODULE "direct"
#include "base/log.h"

#include <stdio.h>
#include <string.h>

#define PRIMARY_ATTEMPTS 100
#define PRIMARY_RETRY_US 100000

/* Returns the number of members given by --member. */
int
direct_member_count(const struct load_options *o)
{
    return o->members == NULL ? 0 : (int)g_strv_length(o->members);
}

/* Opens a control connection to a member; NULL if that fails. The caller
   closes it with PQfinish(). */
PGconn *
direct_open(const struct load_options *o, int member)
{
    const struct client_target t = {
        .address = o->members[member],
        .database = o->database,
        .user = CLIENT_CONTROL_USER,
    };
    PGconn *conn = client_open(&t, true);

    if (PQstatus(conn) == CONNECTION_OK) {
        return conn;
    }
    LOG_INFO("connect", t.address, "%s", PQerrorMessage(conn));
    PQfinish(conn);
    return NULL;
}

/* Executes a statement and returns the first column of the first row, to be
   freed by the caller; NULL if the statement failed or returned no row. */
char *
direct_query(PGconn *conn, const char *sql)
{
    PGresult *r = PQexec(conn, sql);
    char *text = NULL;

    if (PQresultStatus(r) == PGRES_TUPLES_OK && PQntuples(r) > 0) {
        text = g_strdup(PQgetvalue(r, 0, 0));
    }
    else if (PQresultStatus(r) != PGRES_TUPLES_OK &&
             PQresultStatus(r) != PGRES_COMMAND_OK) {
        LOG_INFO("query", NULL, "%s: %s", sql, PQresultErrorMessage(r));
    }
    PQclear(r);
    return text;
}

/* Returns the member that reports to be primary of the highest term, or
   DIRECT_NO_PRIMARY. Terms are compared because a replaced primary may still
   report to be one. */
static int
find_primary_once(const struct load_options *o)
{
    int best = DIRECT_NO_PRIMARY;
    guint64 best_term = 0;

    for (int i = 0; i < direct_member_count(o); i++) {
        PGconn *conn = direct_open(o, i);
        char *text =
            conn == NULL ? NULL : direct_query(conn, "SELECT group_state()");
        char **field = g_strsplit(text == NULL ? "" : text, " ", 0);
        LOG_INFO("state", o->members[i], "%s", text == NULL ? "-" : text);
        if (g_strv_length(field) >= 3 && strcmp(field[2], "primary") == 0) {
            const guint64 term = g_ascii_strtoull(field[0], NULL, 10);
            if (best == DIRECT_NO_PRIMARY || term > best_term) {
                best = i;
                best_term = term;
            }
        }
        g_strfreev(field);
        g_free(text);
        PQfinish(conn);
    }
    return best;
}

/* Returns the primary, waiting up to 10 s for one; DIRECT_NO_PRIMARY if there
   is none. */
int
direct_find_primary(const struct load_options *o)
{
    int member = find_primary_once(o);

    for (int i = 0; member == DIRECT_NO_PRIMARY && i < PRIMARY_ATTEMPTS; i++) {
        g_usleep(PRIMARY_RETRY_US);
        member = find_primary_once(o);
    }
    if (member == DIRECT_NO_PRIMARY) {
        /* Query the states again with log level info, so that the log shows
           why no member qualifies. */
        log_set_level(LOG_LEVEL_INFO);
        find_primary_once(o);
        LOG_ERROR("primary", NULL, "no member of database %s is primary",
                  o->database);
    }
    return member;
}

/* Opens a control connection to the primary; NULL if that fails. */
PGconn *
direct_open_primary(const struct load_options *o)
{
    const int member = direct_find_primary(o);

    return member == DIRECT_NO_PRIMARY ? NULL : direct_open(o, member);
}

/* Returns a counter of the stand-in's fake_stats(); -1 if there is none. */
int64_t
direct_read_counter(PGconn *conn, const char *key)
{
    char *text = direct_query(conn, "SELECT fake_stats()");
    char **word = g_strsplit(text == NULL ? "" : text, " ", -1);
    const size_t n = strlen(key);
    int64_t value = -1;

    for (int i = 0; word[i] != NULL; i++) {
        if (strncmp(word[i], key, n) == 0 && word[i][n] == '=') {
            value = g_ascii_strtoll(word[i] + n + 1, NULL, 10);
        }
    }
    g_strfreev(word);
    g_free(text);
    return value;
}

/* Injects a fault into a member, by a statement on any member that answers.
   Returns false and logs an error if none accepts it. */
bool
direct_inject_fault(const struct load_options *o, int member,
                    const char *fault)
{
    char sql[128];
    char *answer = NULL;

    snprintf(sql, sizeof(sql), "SELECT fake_fault('%s', '%d')", fault, member);
    for (int i = 0; answer == NULL && i < direct_member_count(o); i++) {
        PGconn *conn = direct_open(o, i);
        if (conn != NULL) {
            answer = direct_query(conn, sql);
            PQfinish(conn);
        }
    }
    const bool ok = answer != NULL;
    if (!ok) {
        LOG_ERROR("fault", NULL,
                  "fault %s of member %d was refused by every member", fault,
                  member);
    }
    g_free(answer);
    return ok;
}

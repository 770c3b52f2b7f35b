#include "cloud/ticket_result.h"

/* Translates the result of cloud_table_insert() for
   ticket_submission_on_insert(). *row is the existing row, or NULL. Inserts
   are sent with one attempt, because the submission itself retries. */
enum ticket_store_result
cloud_ticket_insert_result(const struct cloud_result *r, const char **row)
{
    *row = NULL;
    if (r->outcome == CLOUD_UNKNOWN) {
        return TICKET_STORE_UNANSWERED;
    }
    if (r->outcome == CLOUD_NOT_DONE) {
        return TICKET_STORE_NOT_DONE;
    }
    if (r->status == 412 && r->n_rows == 1) {
        *row = r->rows[0].value;
        return TICKET_STORE_EXISTS;
    }
    /* The protocol allows no other success than 201. Reading the row back
       shows what happened. */
    return r->status == 201 ? TICKET_STORE_DONE : TICKET_STORE_UNANSWERED;
}

/* Translates the result of cloud_table_get() for ticket_submission_on_read().
 *row is the row, or NULL. */
enum ticket_store_result
cloud_ticket_read_result(const struct cloud_result *r, const char **row)
{
    *row = NULL;
    if (r->outcome != CLOUD_DONE) {
        return TICKET_STORE_NOT_DONE;
    }
    if (r->status == 404) {
        return TICKET_STORE_ABSENT;
    }
    if (r->n_rows != 1) {
        return TICKET_STORE_NOT_DONE;
    }
    *row = r->rows[0].value;
    return TICKET_STORE_DONE;
}

/* Translates the result of cloud_table_list() for ticket_sync_on_rows(). */
enum ticket_list_result
cloud_ticket_list_result(const struct cloud_result *r)
{
    if (r->outcome == CLOUD_DONE && r->status == 200) {
        return TICKET_LIST_DONE;
    }
    return r->too_large ? TICKET_LIST_TOO_LARGE : TICKET_LIST_FAILED;
}

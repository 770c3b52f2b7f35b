#ifndef CLOUD_TICKET_RESULT_H
#define CLOUD_TICKET_RESULT_H

#include "cloud/client.h"
#include "ticket/submission.h"
#include "ticket/sync.h"

/* Names of the table of tickets and of the snapshot object. */
#define CLOUD_TICKET_TABLE "tickets"
#define CLOUD_TICKET_SNAPSHOT "tickets-snapshot"

enum ticket_store_result
cloud_ticket_insert_result(const struct cloud_result *r, const char **row);
enum ticket_store_result cloud_ticket_read_result(const struct cloud_result *r,
                                                  const char **row);
enum ticket_list_result cloud_ticket_list_result(const struct cloud_result *r);

#endif

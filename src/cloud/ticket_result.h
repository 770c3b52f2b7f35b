#ifndef PLATFORM_TICKET_RESULT_H
#define PLATFORM_TICKET_RESULT_H

#include "platform/client.h"
#include "ticket/submission.h"
#include "ticket/sync.h"

/* Name of the table that holds tickets and of the snapshot object. */
#define PLATFORM_TICKET_TABLE "tickets"
#define PLATFORM_TICKET_SNAPSHOT "tickets-snapshot"

enum ticket_store_result
platform_ticket_insert_result(const struct platform_result *r,
                              const char **row);
enum ticket_store_result
platform_ticket_read_result(const struct platform_result *r, const char **row);
enum ticket_list_result
platform_ticket_list_result(const struct platform_result *r);

#endif

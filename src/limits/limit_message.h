#ifndef LIMITS_LIMIT_MESSAGE_H
#define LIMITS_LIMIT_MESSAGE_H

#include "coordination/view.h"

#include <stdint.h>

/* Messages by which proxies request permits from witnesses. */

#define LIMIT_ITEMS_MAX 64
#define LIMIT_WANTED_MAX 1000

/* A request without items asks only for what each reply says of the list of
   witnesses. */
struct limit_request {
    char from[VIEW_NAME_BYTES];
    uint64_t incarnation;
    uint64_t id;
    int count;
    struct limit_request_item {
        uint64_t account; /* limit_account_hash() */
        uint32_t wanted;
    } items[LIMIT_ITEMS_MAX];
};

struct limit_reply {
    char from[VIEW_NAME_BYTES];
    uint64_t incarnation; /* of the process that sent the request */
    uint64_t id;
    uint64_t witnesses; /* hash of the names of the sender's witnesses */
    int witness_count;
    int64_t listed_ms; /* how long the receiver has been one of them; -1: it
                          is not */
    int count;
    struct limit_reply_item {
        uint64_t account;
        uint32_t granted;
        /* If fewer were granted than wanted: when to return; 0: the witness
           may not grant or does not know the account. Otherwise for how long
           to prefer other witnesses. */
        uint32_t next_ms;
    } items[LIMIT_ITEMS_MAX];
};

uint64_t limit_account_hash(const char *name);

#endif

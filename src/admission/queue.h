#ifndef ADMISSION_QUEUE_H
#define ADMISSION_QUEUE_H

#include "admission/admission.h"

/* Queued requests of one kind in the order in which they are served, with
   totals per member. The list is circular around head, so that a request can
   be unlinked without its list. */
struct queue {
    struct admission_request head;
    uint32_t count;
    int waiting[ADMISSION_MAX_MEMBERS]; /* requests that accept it */
    /* Cost of these requests, each split evenly over its members. */
    int64_t queued_cost_us[ADMISSION_MAX_MEMBERS];
};

void request_list_init(struct admission_request *head);
void request_list_append(struct admission_request *head,
                         struct admission_request *req);
void request_list_unlink(struct admission_request *req);

void queue_init(struct queue *q);
void queue_insert(struct queue *q, struct admission_request *req,
                  int64_t overtaken_us[ADMISSION_MAX_MEMBERS]);
void queue_remove(struct queue *q, struct admission_request *req);
struct admission_request *queue_first(const struct queue *q, uint32_t members);

#endif

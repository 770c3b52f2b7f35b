#include "admission/queue.h"

void
request_list_init(struct admission_request *head)
{
    head->next = head;
    head->prev = head;
}

static void
link_before(struct admission_request *position, struct admission_request *req)
{
    req->prev = position->prev;
    req->next = position;
    position->prev->next = req;
    position->prev = req;
}

/* Appends a request, which must not be on a list. */
void
request_list_append(struct admission_request *head,
                    struct admission_request *req)
{
    link_before(head, req);
}

/* Removes a request from the list that it is on. */
void
request_list_unlink(struct admission_request *req)
{
    req->prev->next = req->next;
    req->next->prev = req->prev;
    req->next = NULL;
    req->prev = NULL;
}

/* Adds a request to the totals of its members (sign 1), or subtracts it
   (sign -1). */
static void
adjust_member_totals(struct queue *q, const struct admission_request *req,
                     int sign)
{
    int members = __builtin_popcount(req->members);
    int64_t share = members == 0 ? 0 : req->cost_us / members;

    for (uint32_t remaining = req->members; remaining != 0;
         remaining &= remaining - 1) {
        int member = __builtin_ctz(remaining);

        q->waiting[member] += sign;
        q->queued_cost_us[member] += sign * share;
    }
}

void
queue_init(struct queue *q)
{
    *q = (struct queue){.count = 0};
    request_list_init(&q->head);
}

/* Inserts a request by its sort key, after requests with an equal key. Adds
   the cost per member of the requests that it overtakes to overtaken_us, which
   the caller zeroes. The search starts at the tail, where nearly all
   requests belong. */
void
queue_insert(struct queue *q, struct admission_request *req,
             int64_t overtaken_us[ADMISSION_MAX_MEMBERS])
{
    struct admission_request *position = &q->head;

    while (position->prev != &q->head &&
           position->prev->sort_key > req->sort_key) {
        position = position->prev;
        if (position->members != 0) {
            int64_t share =
                position->cost_us / __builtin_popcount(position->members);

            for (uint32_t remaining = position->members; remaining != 0;
                 remaining &= remaining - 1) {
                overtaken_us[__builtin_ctz(remaining)] += share;
            }
        }
    }
    link_before(position, req);
    adjust_member_totals(q, req, 1);
    q->count++;
}

void
queue_remove(struct queue *q, struct admission_request *req)
{
    request_list_unlink(req);
    adjust_member_totals(q, req, -1);
    q->count--;
}

/* Returns the first request that accepts one of the members (a bit set), or
   NULL. */
struct admission_request *
queue_first(const struct queue *q, uint32_t members)
{
    uint32_t wanted = 0;

    for (uint32_t remaining = members; remaining != 0;
         remaining &= remaining - 1) {
        int member = __builtin_ctz(remaining);

        wanted |= q->waiting[member] > 0 ? 1U << member : 0;
    }
    if (wanted == 0) {
        return NULL;
    }
    for (struct admission_request *req = q->head.next; req != &q->head;
         req = req->next) {
        if ((req->members & wanted) != 0) {
            return req;
        }
    }
    return NULL;
}

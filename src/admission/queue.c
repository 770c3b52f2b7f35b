#include "admission/queue.h"

/* Makes an empty list. */
void
request_list_init(struct admission_request *head)
{
    head->next = head;
    head->prev = head;
}

/* Links req before position. */
static void
link_before(struct admission_request *position, struct admission_request *req)
{
    req->prev = position->prev;
    req->next = position;
    position->prev->next = req;
    position->prev = req;
}

/* Appends a request that is on no list. */
void
request_list_append(struct admission_request *head,
                    struct admission_request *req)
{
    link_before(head, req);
}

/* Takes a request off whichever list it is on. */
void
request_list_unlink(struct admission_request *req)
{
    req->prev->next = req->next;
    req->next->prev = req->prev;
    req->next = NULL;
    req->prev = NULL;
}

/* Adds a request to the account of its members, or takes it off (sign -1). */
static void
account(struct queue *q, const struct admission_request *req, int sign)
{
    int members = __builtin_popcount(req->members);
    int64_t share = members == 0 ? 0 : req->cost_us / members;

    for (uint32_t rest = req->members; rest != 0; rest &= rest - 1) {
        int member = __builtin_ctz(rest);

        q->waiting[member] += sign;
        q->load_us[member] += sign * share;
    }
}

/* Makes an empty queue. */
void
queue_init(struct queue *q)
{
    *q = (struct queue){.count = 0};
    request_list_init(&q->head);
}

/* Inserts a request by its order, after its equals. Adds to behind_us, which
   the caller zeroes, the cost per member of the requests that it overtakes.
   The search starts at the tail, where nearly all requests belong. */
void
queue_insert(struct queue *q, struct admission_request *req,
             int64_t behind_us[ADMISSION_MAX_MEMBERS])
{
    struct admission_request *position = &q->head;

    while (position->prev != &q->head && position->prev->order > req->order) {
        position = position->prev;
        if (position->members != 0) {
            int64_t share =
                position->cost_us / __builtin_popcount(position->members);

            for (uint32_t rest = position->members; rest != 0;
                 rest &= rest - 1) {
                behind_us[__builtin_ctz(rest)] += share;
            }
        }
    }
    link_before(position, req);
    account(q, req, 1);
    q->count++;
}

/* Takes a request off its queue. */
void
queue_remove(struct queue *q, struct admission_request *req)
{
    request_list_unlink(req);
    account(q, req, -1);
    q->count--;
}

/* Returns the first request that accepts one of the members, or NULL. */
struct admission_request *
queue_first(const struct queue *q, uint32_t members)
{
    uint32_t wanted = 0;

    for (uint32_t rest = members; rest != 0; rest &= rest - 1) {
        int member = __builtin_ctz(rest);

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

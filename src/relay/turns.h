#ifndef RELAY_TURNS_H
#define RELAY_TURNS_H

#include <stdbool.h>
#include <stdint.h>

/* Turns between accounts in a queue (start-time fair queueing): a request gets
   a number, and those with the lowest number are served first. Requests of one
   account are numbered one after another, from the number that is being
   served on, so that accounts with requests in the queue are served equally
   often. Numbers are compared only between requests of equal priorities. */
struct turns;

/* Who takes turns, and with whom. */
struct turn_key {
    int priority;         /* of the route */
    int account_priority; /* of the account */
    const char *account;  /* its name; "": of no account */
};

struct turns *turns_create(void);
struct turns *turns_copy(const struct turns *t);
void turns_destroy(struct turns *t);
uint64_t turns_next(const struct turns *t, const struct turn_key *k);
uint64_t turns_add(struct turns *t, const struct turn_key *k);
void turns_remove(struct turns *t, const struct turn_key *k, uint64_t number,
                  bool served);
int turns_queued(const struct turns *t, const struct turn_key *k);
int turns_find_longest(const struct turns *t, const struct turn_key *k,
                       struct turn_key *longest);
int turns_count(const struct turns *t);

#endif

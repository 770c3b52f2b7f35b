#ifndef BASE_RNG_H
#define BASE_RNG_H

#include <stdint.h>

/* A seeded pseudo-random number generator (splitmix64). It is not
   cryptographically secure. */
struct rng {
    uint64_t state;
};

void rng_seed(struct rng *r, uint64_t seed);
uint64_t rng_next(struct rng *r);
uint64_t rng_below(struct rng *r, uint64_t bound);

#endif

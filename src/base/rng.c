#include "base/rng.h"

void
rng_seed(struct rng *r, uint64_t seed)
{
    r->state = seed;
}

uint64_t
rng_next(struct rng *r)
{
    uint64_t z = (r->state += 0x9e3779b97f4a7c15ULL);

    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

/* Returns a uniform number in [0, bound), or 0 if bound is 0. The modulo bias
   is below 2^-40 for the bounds in use. */
uint64_t
rng_below(struct rng *r, uint64_t bound)
{
    return bound == 0 ? 0 : rng_next(r) % bound;
}

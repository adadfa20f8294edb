/* A seeded pseudo-random number generator (xorshift64*). The caller provides the generator, so
 * that runs can be repeated. */
#ifndef FL_MISC_RNG_H
#define FL_MISC_RNG_H

#include <stdint.h>

struct rn_rng {
    uint64_t s;
};

static inline struct rn_rng rn_seed(uint64_t seed)
{
    return (struct rn_rng){seed * 0x9E3779B97F4A7C15ull + 0x1234567ull};
}

static inline uint64_t rn_next(struct rn_rng *r)
{
    r->s ^= r->s >> 12;
    r->s ^= r->s << 25;
    r->s ^= r->s >> 27;
    return r->s * 0x2545F4914F6CDD1Dull;
}

/* A nearly uniform number in 0..n-1; n must be greater than 0. */
static inline uint64_t rn_below(struct rn_rng *r, uint64_t n)
{
    return (rn_next(r) >> 11) % n;
}

#endif

#include "misc/hist.h"

static unsigned bucket_of(uint64_t v)
{
    if (v < HI_SUB)
        return (unsigned)v;
    unsigned top = 63u - (unsigned)__builtin_clzll(v);
    unsigned b = (top - 3) * HI_SUB + (unsigned)((v >> (top - 4)) & (HI_SUB - 1));
    return b < HI_BUCKETS ? b : HI_BUCKETS - 1;
}

static int64_t upper_edge(unsigned b)
{
    if (b < HI_SUB)
        return b;
    unsigned top = b / HI_SUB + 3;
    return (int64_t)(((uint64_t)(b % HI_SUB + HI_SUB + 1) << (top - 4)) - 1);
}

void hi_add(struct hi_hist *h, int64_t us)
{
    uint64_t v = us > 0 ? (uint64_t)us : 0;
    h->count++;
    h->sum += v;
    if (v > h->max)
        h->max = v;
    h->bucket[bucket_of(v)]++;
}

int64_t hi_quantile(const struct hi_hist *h, double q)
{
    uint64_t want = (uint64_t)(q * (double)h->count);
    uint64_t seen = 0;
    for (unsigned b = 0; b < HI_BUCKETS; b++) {
        seen += h->bucket[b];
        if (seen > want)
            return upper_edge(b);
    }
    return (int64_t)h->max;
}

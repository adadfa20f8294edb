/* Log-linear histogram of durations in microseconds: 16 buckets per power of two, so the
 * relative error is under 6.25%. */
#ifndef FL_MISC_HIST_H
#define FL_MISC_HIST_H

#include <stdint.h>

#define HI_SUB 16
#define HI_BUCKETS (40 * HI_SUB)

struct hi_hist {
    uint64_t count, sum, max;
    uint32_t bucket[HI_BUCKETS];
};

void hi_add(struct hi_hist *h, int64_t us);

/* Upper edge of the bucket that holds quantile q (0..1), in microseconds; 0 if empty. */
int64_t hi_quantile(const struct hi_hist *h, double q);

#endif

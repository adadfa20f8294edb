#include "proxy/outlier.h"

#include <math.h>

/* Weights halve in this time. A node sends an instance a few statements a second with 13
 * holders per group, so that about ten results count. */
enum { HALF_LIFE_US = 2000000 };

/* An instance is failing if its failures weigh at least MIN_FAILURES and are more than
 * MAX_FAILURE_RATE of all results. An instance that loses one answer in forty, or refuses while
 * it restarts, stays below both; one that fails two in five is detected within some ten
 * results. */
#define MIN_FAILURES 2.0
#define MAX_FAILURE_RATE 0.2
/* Successes without which an instance is not known to be sound. */
#define MIN_SUCCESSES 2.0
/* Limit of the sum of all weights, so that a busy past loses its effect soon. */
#define MAX_WEIGHT 40.0
/* Successes added to the counted ones in px_outlier_failure_rate. */
#define PRIOR_SUCCESSES 2.0

/* The factor by which weights have decayed since o->updated_at. */
static double decay(const struct px_outlier *o, int64_t now)
{
    return exp2(-(double)(now - o->updated_at) / HALF_LIFE_US);
}

void px_outlier_record(struct px_outlier *o, bool good, int64_t now)
{
    double w = decay(o, now);
    o->good = o->good * w + good;
    o->bad = o->bad * w + !good;
    o->updated_at = now;
    double scale = MAX_WEIGHT / (o->good + o->bad);
    if (scale < 1) {
        o->good *= scale;
        o->bad *= scale;
    }
}

double px_outlier_failure_rate(const struct px_outlier *o, int64_t now)
{
    double w = decay(o, now);
    return o->bad * w / ((o->good + o->bad) * w + PRIOR_SUCCESSES);
}

bool px_outlier_failing(const struct px_outlier *o, int64_t now)
{
    double w = decay(o, now);
    return o->bad * w >= MIN_FAILURES && o->bad > (o->bad + o->good) * MAX_FAILURE_RATE;
}

bool px_outlier_sound(const struct px_outlier *o, int64_t now)
{
    return o->good * decay(o, now) >= MIN_SUCCESSES && !px_outlier_failing(o, now);
}

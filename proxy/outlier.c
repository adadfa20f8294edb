#include "proxy/outlier.h"

#include <math.h>

/* Weights halve in so long. Origin: a node at an instance asks it a few times a second on the
 * grown deployments (13 holders a group), so that some ten answers count. */
enum { HALF_LIFE_US = 2000000 };

/* Failing is a weight of failures of LEAST_BAD at least that is above FAILING_RATE of all.
 * Origin: an instance that loses one answer in forty (the users' pages) or refuses while it is
 * restarted stays below both; one that fails two in five is found within some ten answers. */
#define MIN_FAILURES 2.0
#define MAX_FAILURE_RATE 0.2
/* The weight of answers without which an instance is not known to be sound. */
#define MIN_SUCCESSES 2.0
/* The most that all weights add up to: a busy past is soon forgotten. */
#define MAX_WEIGHT 40.0
/* The weight of answers that an instance is credited with when its rate is asked for. */
#define PRIOR_SUCCESSES 2.0

/* What a count of o->at weighs now. */
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

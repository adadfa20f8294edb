#include "proxy/pace.h"

#include <xxhash.h>

/* Weights of one answer. A node has some ten answers a second of a kind, spread over the
 * instances of a group: the usual time follows within seconds, an instance's factor within one
 * or two, as queues come and go faster than work changes. */
#define USUAL_WEIGHT (1.0 / 64)
#define FACTOR_WEIGHT (1.0 / 8)
/* One answer that hung for seconds is forgotten after thirty others. */
#define FACTOR_MOST 50.0
/* Before any answer: of the order of a short statement and its way. */
#define FIRST_US 15000.0

unsigned px_pace_kind(struct sr_str database, bool writes)
{
    return (unsigned)(XXH64(database.p, database.len, writes) % PX_PACE_KINDS);
}

void px_pace_note(struct px_pace *p, unsigned kind, double *factor, int64_t us)
{
    double *usual = &p->usual_us[kind];
    if (*usual <= 0)
        *usual = (double)us;
    else
        *usual += ((double)us - *usual) * USUAL_WEIGHT;
    double times = *usual > 0 ? (double)us / *usual : 1;
    if (times > FACTOR_MOST)
        times = FACTOR_MOST;
    *factor += (times - *factor) * FACTOR_WEIGHT;
}

int64_t px_pace_expect(const struct px_pace *p, unsigned kind, double factor)
{
    double usual = p->usual_us[kind] > 0 ? p->usual_us[kind] : FIRST_US;
    return (int64_t)(usual * factor);
}

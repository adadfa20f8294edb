#include "proxy/service_time.h"

#include <xxhash.h>

/* Weights of one answer. A node gets some ten answers a second of each kind, spread over the
 * instances of a group: the typical time adapts within seconds, an instance's factor within one
 * or two, since queues change faster than the work of statements. */
#define TYPICAL_WEIGHT (1.0 / 64)
#define FACTOR_WEIGHT (1.0 / 8)
/* Limits the effect of an answer that took seconds to about thirty later answers. */
#define MAX_FACTOR 50.0
/* Assumed before any answer: about a short statement and its round trip. */
#define INITIAL_US 15000.0

unsigned px_statement_kind(struct sr_str database, bool writes)
{
    return (unsigned)(XXH64(database.p, database.len, writes) % PX_STATEMENT_KINDS);
}

void px_service_time_record(struct px_service_times *p, unsigned kind, double *factor,
                            int64_t us)
{
    double *typical = &p->typical_us[kind];
    if (*typical <= 0)
        *typical = (double)us;
    else
        *typical += ((double)us - *typical) * TYPICAL_WEIGHT;
    double ratio = *typical > 0 ? (double)us / *typical : 1;
    if (ratio > MAX_FACTOR)
        ratio = MAX_FACTOR;
    *factor += (ratio - *factor) * FACTOR_WEIGHT;
}

int64_t px_service_time_expect(const struct px_service_times *p, unsigned kind, double factor)
{
    double typical = p->typical_us[kind] > 0 ? p->typical_us[kind] : INITIAL_US;
    return (int64_t)(typical * factor);
}

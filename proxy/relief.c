#include "proxy/relief.h"

enum {
    /* It has to last so long. Origin: replicas are tens of milliseconds behind in calm times,
     * and callers that a full primary refuses lose more in a second than by the change of
     * primary, 0.4 to 0.8 s (docs/design/platform.md). */
    LASTING_US = 500000,
    REFUSED_US = 700000, /* callers are refused now: the last refusal is no older */
    /* A primary leads at least so long: what made the last one hand over may not have been its
     * replicas. */
    TERM_US = 8000000,
};

bool px_relief_alone(const struct px_relief_view *v)
{
    return v->replicas > 0 && v->behind == v->replicas;
}

bool px_relief_due(struct px_relief *r, const struct px_relief_view *v, int64_t now)
{
    bool refused = v->refused_at && now - v->refused_at < REFUSED_US;
    if (!px_relief_alone(v) || !refused) {
        r->since = 0;
        return false;
    }
    if (!r->since)
        r->since = now;
    return now - r->since >= LASTING_US && now - v->term_since >= TERM_US;
}

#include "proxy/handover.h"

enum {
    /* The conditions must hold for this long: replicas are normally tens of milliseconds
     * behind, and callers refused by an overloaded primary lose more in a second than by the
     * change of primary, which takes 0.4 to 0.8 s. */
    CONDITION_MIN_US = 500000,
    /* A refusal no older than this means that callers are refused now. */
    REFUSAL_RECENT_US = 700000,
    /* A primary keeps its role for at least this long: the cause of the last handover may not
     * have been its replicas. */
    MIN_TERM_US = 8000000,
};

bool px_primary_serves_alone(const struct px_handover_view *v)
{
    return v->replicas > 0 && v->behind == v->replicas;
}

bool px_handover_due(struct px_handover *r, const struct px_handover_view *v, int64_t now)
{
    bool refusing = v->wait_failed_at && now - v->wait_failed_at < REFUSAL_RECENT_US;
    if (!px_primary_serves_alone(v) || !refusing) {
        r->condition_since = 0;
        return false;
    }
    if (!r->condition_since)
        r->condition_since = now;
    return now - r->condition_since >= CONDITION_MIN_US &&
           now - v->term_began_at >= MIN_TERM_US;
}

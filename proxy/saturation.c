#include "proxy/saturation.h"

enum {
    /* Interval between attempts, short enough that a freed connection is used soon. */
    TRY_INTERVAL_US = 60000,
    /* A refusal counts for this long. Instances drop the connections of lost VMs within 3 s,
     * and an instance that stays saturated is still tried now and then. */
    REFUSAL_LIFE_US = 3500000,
};

static bool is_saturated(const struct px_saturation *f, const struct px_saturation_common *all,
                         int64_t now)
{
    return f->refused_at && f->refused_at >= all->freed_at &&
           now - f->refused_at < REFUSAL_LIFE_US;
}

bool px_saturation_may_open(const struct px_saturation *f,
                            const struct px_saturation_common *all, int conns, int64_t now)
{
    return !is_saturated(f, all, now) || conns < f->open_conns || now >= all->next_try_at;
}

void px_saturation_opening(const struct px_saturation *f, struct px_saturation_common *all,
                           int conns, int64_t now)
{
    if (is_saturated(f, all, now) && conns >= f->open_conns)
        all->next_try_at = now + TRY_INTERVAL_US;
}

void px_saturation_refused(struct px_saturation *f, struct px_saturation_common *all, int open,
                           int64_t now)
{
    *f = (struct px_saturation){.refused_at = now, .open_conns = open};
    all->next_try_at = now + TRY_INTERVAL_US;
}

void px_saturation_accepted(struct px_saturation *f, struct px_saturation_common *all, int open,
                            int64_t now)
{
    if (!is_saturated(f, all, now) || open <= f->open_conns)
        return;
    f->refused_at = 0;
    all->freed_at = now;
}

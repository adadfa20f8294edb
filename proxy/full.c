#include "proxy/full.h"

enum {
    /* One instance is tried so often: what comes free should not lie idle. */
    TRY_EVERY_US = 60000,
    /* A refusal is forgotten after this: dark connections are dropped within 3 s, and an
     * instance that is full for long is tried now and then. */
    FORGET_US = 3500000,
};

static bool is_full(const struct px_full *f, const struct px_fulls *all, int64_t now)
{
    return f->at && f->at >= all->free_at && now - f->at < FORGET_US;
}

bool px_full_may_open(const struct px_full *f, const struct px_fulls *all, int conns,
                      int64_t now)
{
    return !is_full(f, all, now) || conns < f->most || now >= all->try_at;
}

void px_full_opening(const struct px_full *f, struct px_fulls *all, int conns, int64_t now)
{
    if (is_full(f, all, now) && conns >= f->most)
        all->try_at = now + TRY_EVERY_US;
}

void px_full_refused(struct px_full *f, struct px_fulls *all, int open, int64_t now)
{
    *f = (struct px_full){.at = now, .most = open};
    all->try_at = now + TRY_EVERY_US;
}

void px_full_accepted(struct px_full *f, struct px_fulls *all, int open, int64_t now)
{
    if (!is_full(f, all, now) || open <= f->most)
        return;
    f->at = 0;
    all->free_at = now;
}

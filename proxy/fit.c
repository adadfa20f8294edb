#include "proxy/fit.h"

enum {
    /* A statement whose account has a connection in use waits so long before another account's
     * is closed for it. Origin: an opening takes 12 ms of a slot and two trips (users' pages),
     * and statements of 3 to 15 ms give theirs back sooner. */
    PATIENCE_US = 20000,
};

enum px_fit px_fit(const struct px_fit_view *v)
{
    if (v->idle)
        return PX_FIT_RUN;
    if (v->coming >= v->waiting)
        return PX_FIT_WAIT; /* one is being opened for each that waits */
    if (v->room)
        return PX_FIT_OPEN;
    bool worth_it = v->own == 0 || v->waited > PATIENCE_US;
    return worth_it && v->replaces ? PX_FIT_REPLACE : PX_FIT_WAIT;
}

int px_fit_spare(const struct px_spare *s, int n)
{
    int best = -1;
    for (int i = 0; i < n; i++) {
        bool several = s[i].same > 1;
        bool has_several = best >= 0 && s[best].same > 1;
        bool better =
            best < 0 || (several != has_several ? several : s[i].used_at < s[best].used_at);
        if (better)
            best = i;
    }
    return best;
}

#include "proxy/conn_choice.h"

enum {
    /* A statement whose account already has a connection waits this long before a connection of
     * another account is closed for it: opening one takes 12 ms of an instance's slot and two
     * round trips, while statements of 3 to 15 ms release their connection sooner. */
    REPLACE_AFTER_US = 20000,
};

enum px_conn_choice px_choose_conn(const struct px_choice_view *v)
{
    if (v->idle)
        return PX_CHOICE_RUN;
    if (v->own_opening >= v->own_waiting)
        return PX_CHOICE_WAIT; /* a connection is being opened for each waiting statement */
    if (v->share_has_room)
        return PX_CHOICE_OPEN;
    bool may_replace = v->own_conns == 0 || v->waited_us > REPLACE_AFTER_US;
    return may_replace && v->can_replace ? PX_CHOICE_REPLACE : PX_CHOICE_WAIT;
}

int px_choose_spare(const struct px_spare *s, int n)
{
    int best = -1;
    for (int i = 0; i < n; i++) {
        bool i_has_several = s[i].idle_of_account > 1;
        bool best_has_several = best >= 0 && s[best].idle_of_account > 1;
        bool better = best < 0 || (i_has_several != best_has_several
                                       ? i_has_several
                                       : s[i].last_used_at < s[best].last_used_at);
        if (better)
            best = i;
    }
    return best;
}

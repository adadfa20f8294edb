#include "proxy/neighbor.h"

enum {
    /* Silence while something is asked before a trial: what a caller in a hurry waits for its
     * whole operation. */
    DOUBT_US = 150000,
    /* For the trial's answer: both together leave a caller with a second's time another try. */
    TRIAL_US = 200000,
    FIRST_PAUSE_US = 250000,
    LONGEST_PAUSE_US = 2000000,
    FLAP_US = 5000000, /* silent again within: the pause goes on growing */
};

void nb_heard(struct nb_neighbor *n, int64_t now)
{
    if (n->state == NB_SILENT)
        return; /* what was on its way; a trial tells */
    n->heard_at = now;
    n->state = NB_GOOD;
}

void nb_doubt(struct nb_neighbor *n, int64_t now)
{
    if (n->state != NB_GOOD)
        return;
    n->state = NB_DOUBTED;
    n->next_trial = now;
}

void nb_waits(struct nb_neighbor *n, int64_t since, int64_t heard)
{
    int64_t from = since > n->heard_at ? since : n->heard_at;
    if (heard - from >= DOUBT_US)
        nb_doubt(n, heard);
}

void nb_refused(struct nb_neighbor *n, int64_t for_us, int64_t now)
{
    n->refuses_til = now + for_us;
}

bool nb_trial_due(const struct nb_neighbor *n, int64_t now)
{
    return n->state != NB_GOOD && !n->trying && now >= n->next_trial;
}

void nb_tried(struct nb_neighbor *n, int64_t now)
{
    n->trying = true;
    n->tried_at = now;
}

bool nb_trial_late(const struct nb_neighbor *n, int64_t heard)
{
    return n->trying && heard - n->tried_at >= TRIAL_US;
}

static int64_t doubled(int64_t pause_us)
{
    int64_t us = pause_us > 0 ? 2 * pause_us : FIRST_PAUSE_US;
    return us < LONGEST_PAUSE_US ? us : LONGEST_PAUSE_US;
}

void nb_trial_over(struct nb_neighbor *n, bool answered, int64_t now)
{
    n->trying = false;
    if (answered) {
        if (n->state == NB_SILENT)
            n->back_at = now;
        n->state = NB_GOOD;
        n->heard_at = now;
        return;
    }
    if (n->state == NB_GOOD)
        return; /* it was heard meanwhile */
    bool anew = n->state == NB_DOUBTED && (!n->back_at || now - n->back_at > FLAP_US);
    n->pause_us = anew ? FIRST_PAUSE_US : doubled(n->pause_us);
    if (n->state == NB_DOUBTED)
        n->silent_at = now;
    n->state = NB_SILENT;
    n->next_trial = now + n->pause_us;
}

enum nb_rank nb_rank(const struct nb_neighbor *n, int64_t now)
{
    if (n->state == NB_SILENT)
        return NB_NEVER;
    if (now < n->refuses_til)
        return NB_LAST;
    return n->state == NB_GOOD ? NB_FIRST : NB_SECOND;
}

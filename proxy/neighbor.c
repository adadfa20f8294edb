#include "proxy/neighbor.h"

enum {
    /* A pending request that is unanswered for this long causes a trial. Callers with short
     * deadlines wait about this long for a whole operation. */
    DOUBT_AFTER_US = 150000,
    /* Timeout of a trial. Together with DOUBT_AFTER_US it leaves a caller with a deadline of
     * one second time for another try. */
    TRIAL_TIMEOUT_US = 200000,
    MIN_TRIAL_PAUSE_US = 250000,
    MAX_TRIAL_PAUSE_US = 2000000,
    /* Silent again within this time after recovering: the pause keeps growing. */
    FLAP_US = 5000000,
};

void nb_received(struct nb_neighbor *n, int64_t now)
{
    if (n->state == NB_SILENT)
        return; /* these bytes may have been in flight; only a trial decides */
    n->last_received = now;
    n->state = NB_GOOD;
}

void nb_doubt(struct nb_neighbor *n, int64_t now)
{
    if (n->state != NB_GOOD)
        return;
    n->state = NB_DOUBTED;
    n->next_trial_at = now;
}

void nb_unanswered(struct nb_neighbor *n, int64_t since, int64_t received_until)
{
    int64_t from = since > n->last_received ? since : n->last_received;
    if (received_until - from >= DOUBT_AFTER_US)
        nb_doubt(n, received_until);
}

void nb_session_refused(struct nb_neighbor *n, int64_t for_us, int64_t now)
{
    n->refuses_until = now + for_us;
}

bool nb_trial_due(const struct nb_neighbor *n, int64_t now)
{
    return n->state != NB_GOOD && !n->trial_pending && now >= n->next_trial_at;
}

void nb_trial_began(struct nb_neighbor *n, int64_t now)
{
    n->trial_pending = true;
    n->trial_began_at = now;
}

bool nb_trial_late(const struct nb_neighbor *n, int64_t received_until)
{
    return n->trial_pending && received_until - n->trial_began_at >= TRIAL_TIMEOUT_US;
}

static int64_t next_pause(int64_t pause_us)
{
    int64_t us = pause_us > 0 ? 2 * pause_us : MIN_TRIAL_PAUSE_US;
    return us < MAX_TRIAL_PAUSE_US ? us : MAX_TRIAL_PAUSE_US;
}

void nb_trial_ended(struct nb_neighbor *n, bool answered, int64_t now)
{
    n->trial_pending = false;
    if (answered) {
        if (n->state == NB_SILENT)
            n->recovered_at = now;
        n->state = NB_GOOD;
        n->last_received = now;
        return;
    }
    if (n->state == NB_GOOD)
        return; /* bytes arrived from it in the meantime */
    bool first_failure =
        n->state == NB_DOUBTED && (!n->recovered_at || now - n->recovered_at > FLAP_US);
    n->trial_pause_us = first_failure ? MIN_TRIAL_PAUSE_US : next_pause(n->trial_pause_us);
    if (n->state == NB_DOUBTED)
        n->silent_since = now;
    n->state = NB_SILENT;
    n->next_trial_at = now + n->trial_pause_us;
}

enum nb_rank nb_rank(const struct nb_neighbor *n, int64_t now)
{
    if (n->state == NB_SILENT)
        return NB_NEVER;
    if (now < n->refuses_until)
        return NB_LAST;
    return n->state == NB_GOOD ? NB_FIRST : NB_SECOND;
}

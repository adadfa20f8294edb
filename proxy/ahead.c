/* Messages that a caller sent before the answer to its last one.
 *
 * A session may have a few of them. One that goes on sending ahead gets turns, one message a
 * turn, and only some of these statements are at work at once: otherwise a few connections with
 * full buffers would occupy the instances, while ordinary callers wait for each answer. */
#include "proxy/priv.h"

enum {
    BURST = 2,           /* messages of a session before it needs turns */
    TURNS_PER_TICK = 32, /* bounds the time of a tick, as many messages are answered here */
};

static void enqueue(struct px_session *s)
{
    struct px_proxy *p = s->p;
    if (s->waits_for_turn)
        return;
    s->waits_for_turn = true;
    s->next_turn = NULL;
    s->prev_turn = p->last_turn;
    *(p->last_turn ? &p->last_turn->next_turn : &p->first_turn) = s;
    p->last_turn = s;
    p->c.sent_ahead++;
}

void px_ahead_dequeue(struct px_session *s)
{
    struct px_proxy *p = s->p;
    if (!s->waits_for_turn)
        return;
    *(s->prev_turn ? &s->prev_turn->next_turn : &p->first_turn) = s->next_turn;
    *(s->next_turn ? &s->next_turn->prev_turn : &p->last_turn) = s->prev_turn;
    s->prev_turn = s->next_turn = NULL;
    s->waits_for_turn = false;
}

bool px_ahead_allow(struct px_session *s)
{
    if (s->p->ends)
        return true; /* it is refused */
    if (s->n_ahead < BURST) {
        s->n_ahead++;
        return true;
    }
    if (s->has_turn) {
        s->has_turn = false;
        return true;
    }
    enqueue(s);
    return false;
}

void px_ahead_none(struct px_session *s)
{
    s->n_ahead = 0;
}

void px_ahead_begun(struct px_session *s)
{
    if (s->n_ahead < BURST)
        return;
    s->runs_ahead = true;
    s->p->n_running_ahead++;
}

void px_ahead_ended(struct px_session *s)
{
    s->p->n_running_ahead -= s->runs_ahead;
    s->runs_ahead = false;
}

void px_ahead_tick(struct px_proxy *p)
{
    for (int k = 0; k < TURNS_PER_TICK && p->first_turn; k++) {
        struct px_session *s = p->first_turn;
        if (p->n_running_ahead >= p->cfg.max_ahead)
            return;
        px_ahead_dequeue(s);
        s->has_turn = true;
        px_session_resume(s);
    }
}

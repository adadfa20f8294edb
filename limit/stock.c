/* A node's side of limits. */
#include <math.h>

#include "limit/limit.h"

/* Seconds of an account's operations that a node keeps permits for; it asks for each operation
 * of an account that begins less than one in two seconds, which takes a trip to the leader.
 * Origin: nearly as long as permits live; what the depth of a limit of 1.6 times the use, as
 * the users set theirs, has room for. */
#define COVER_S 1.1
#define SMOOTH_S 1.0 /* the pace follows over so long */

/* The pace as it has fallen since the last operation. */
static double pace_now(const struct lm_stock *s, int64_t now)
{
    double dt = (double)(now - s->at) / 1e6;
    return s->pace * exp(-dt / SMOOTH_S);
}

static void note(struct lm_stock *s, int64_t now)
{
    s->pace = pace_now(s, now) + 1 / SMOOTH_S;
    s->at = now;
}

enum lm_verdict lm_take(struct lm_stock *s, int64_t now)
{
    if (s->held > 0) {
        s->held--;
        note(s, now);
        return LM_GO;
    }
    if (now < s->over_until)
        return LM_OVER;
    s->waiting++;
    return LM_WAIT;
}

void lm_extra(struct lm_stock *s)
{
    s->held--;
}

static int wanted(const struct lm_stock *s, int64_t now)
{
    return (int)(pace_now(s, now) * COVER_S + 0.5) + s->waiting;
}

/* What was used is told with the next renewal: permits that the leader takes to be out keep it
 * from giving others. */
bool lm_wants(struct lm_stock *s, int64_t now, struct lm_report *out)
{
    int want = wanted(s, now), held = s->held > 0 ? s->held : 0;
    bool low = s->held < want && held * 2 <= want;
    bool high = held > want * 2;
    if (!low && !high && s->believed == held)
        return false;
    *out = (struct lm_report){.held = held, .want = want};
    if (s->held < 0)
        out->want -= s->held; /* what ran without a permit is paid first */
    if (high) {
        out->returned = held - want;
        out->held = s->held = want;
    }
    s->believed = out->held;
    return true;
}

void lm_answered(struct lm_stock *s, const struct lm_answer *a, int64_t now)
{
    s->held += a->given;
    s->believed += a->given;
    s->waiting = 0;
    s->over_until = a->over_us ? now + a->over_us : 0;
}

void lm_void(struct lm_stock *s)
{
    if (s->held > 0)
        s->held = 0;
}

void lm_tell_anew(struct lm_stock *s)
{
    s->believed = -1;
}

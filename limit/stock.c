/* A node's side of limits. */
#include <math.h>

#include "limit/limit.h"

/* Seconds of an account's operations that a node keeps permits for; it asks for each operation
 * of an account that begins less than one in two seconds, which takes a trip to the leader.
 * Origin: nearly as long as permits live; what the depth of a limit of 1.6 times the use, as
 * the users set theirs, has room for. */
#define COVER_S 1.1
#define SMOOTH_S 1.0 /* the pace follows over so long */
/* Permits are kept for classes that go first for so long ahead: a renewal's pause. */
#define AHEAD_S 0.2
#define IDLE_OPERATIONS                                                                        \
    0.1 /* of an operation in that time: a class that is asked for less is idle                \
         */

enum {
    SCARCE_US = 1000000, /* an account counts as over its limit so long after it was */
    /* What is refused while permits are kept for others comes back after a renewal or two. */
    SCARCE_RETRY_US = 300000,
    MAX_REFUSALS = 12, /* refusals of a class until it takes a permit that is kept for others */
    SHORT_PAUSE_US = 100000, /* until the next permit; what goes first waits for it */
};

/* The pace as it has fallen since the last operation. */
static double rate_now(const struct lm_stock *s, int64_t now)
{
    double dt = (double)(now - s->at) / 1e6;
    return s->rate * exp(-dt / SMOOTH_S);
}

static void note_operation(struct lm_stock *s, int64_t now)
{
    s->rate = rate_now(s, now) + 1 / SMOOTH_S;
    s->at = now;
}

/* ---- classes ---- */

static double demand_now(const struct lm_asked *a, int64_t now)
{
    return a->rate * exp(-(double)(now - a->at) / 1e6 / SMOOTH_S);
}

static void note_demand(struct lm_asked *a, int64_t now)
{
    a->rate = demand_now(a, now) + 1 / SMOOTH_S;
    a->at = now;
}

static int class_of(int priority)
{
    return priority < 0 ? 0 : priority >= LM_CLASSES ? LM_CLASSES - 1 : priority;
}

/* Permits that the classes before this one ask for until the next renewal's have come. */
static double reserved_for_others(const struct lm_stock *s, int class, int64_t now)
{
    double sum = 0;
    if (s->demand[class].n_refused >= MAX_REFUSALS)
        return 0; /* no class starves */
    for (int i = 0; i < class && now < s->scarce_until; i++)
        sum += demand_now(&s->demand[i], now) * AHEAD_S;
    return sum;
}

/* Whether permits are kept for this class: none before it is asked for, one after it is. */
static bool is_first_class(const struct lm_stock *s, int class, int64_t now)
{
    bool later = false;
    for (int i = 0; i < LM_CLASSES; i++) {
        bool active = demand_now(&s->demand[i], now) * AHEAD_S > IDLE_OPERATIONS;
        if (active && i < class)
            return false;
        later = later || (active && i > class);
    }
    return later;
}

/* It has none: whether it waits for the next permits, or is refused. What is served first waits
 * through a short pause, as the next ones are kept for it. */
static enum lm_verdict verdict_without_permit(struct lm_stock *s, int class, int64_t now)
{
    bool pause = now < s->over_until;
    if (pause && (s->over_until - now > SHORT_PAUSE_US || !is_first_class(s, class, now)))
        return LM_OVER;
    if (!pause)
        s->waiting++;
    return LM_WAIT;
}

enum lm_verdict lm_take(struct lm_stock *s, int priority, int64_t now)
{
    int class = class_of(priority);
    double reserved = reserved_for_others(s, class, now);
    note_demand(&s->demand[class], now);
    if (s->held > reserved) {
        s->held--;
        s->demand[class].n_refused = 0;
        note_operation(s, now);
        return LM_GO;
    }
    enum lm_verdict v = s->held > 0 ? LM_OVER : verdict_without_permit(s, class, now);
    s->demand[class].n_refused += v == LM_OVER;
    return v;
}

int64_t lm_retry_us(const struct lm_stock *s, int64_t now)
{
    int64_t us = s->over_until - now;
    return now < s->scarce_until && us < SCARCE_RETRY_US ? SCARCE_RETRY_US : us;
}

void lm_extra(struct lm_stock *s)
{
    s->held--;
}

static int target_size(const struct lm_stock *s, int64_t now)
{
    return (int)(rate_now(s, now) * COVER_S + 0.5) + s->waiting;
}

/* What was used is told with the next renewal: permits that the leader takes to be out keep it
 * from giving others. */
bool lm_wants(struct lm_stock *s, int64_t now, struct lm_report *out)
{
    int want = target_size(s, now), held = s->held > 0 ? s->held : 0;
    bool low = s->held < want && held * 2 <= want;
    bool high = held > want * 2;
    if (!low && !high && s->reported_held == held)
        return false;
    *out = (struct lm_report){.held = held, .want = want};
    if (s->held < 0)
        out->want -= s->held; /* what ran without a permit is paid first */
    if (high) {
        out->returned = held - want;
        out->held = s->held = want;
    }
    s->reported_held = out->held;
    s->n_requested = out->want > out->held ? out->want - out->held : 0;
    return true;
}

void lm_answered(struct lm_stock *s, const struct lm_answer *a, int64_t now)
{
    s->held += a->given;
    s->reported_held += a->given;
    s->waiting = 0;
    s->over_until = a->over_us ? now + a->over_us : 0;
    if (a->over_us || a->given * 2 < s->n_requested)
        s->scarce_until = now + SCARCE_US;
    s->n_requested = 0;
}

void lm_void(struct lm_stock *s)
{
    if (s->held > 0)
        s->held = 0;
}

void lm_tell_anew(struct lm_stock *s)
{
    s->reported_held = -1;
}

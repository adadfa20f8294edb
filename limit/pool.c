/* The permit pool: a node's side of limits. */
#include <math.h>

#include "limit/limit.h"

/* A node keeps permits for this many seconds of an account's operations. For an account with
 * less than one operation in 2 s the node requests a permit for each operation, which takes a
 * round trip to the leader. The value is nearly the lifetime of permits, and the depth has room
 * for so many permits if the limit is 1.6 times the actual use, as users set it. */
#define COVER_S 1.1
#define SMOOTH_S 1.0 /* time constant of the smoothed rates */
/* Permits are reserved for the operations that the classes served first are expected to begin
 * in this time, which is the interval between two renewals. */
#define AHEAD_S 0.2
/* A class with an expected demand of at most this many operations in AHEAD_S is idle. */
#define IDLE_OPERATIONS 0.1

enum {
    SCARCE_US = 1000000, /* permits count as scarce this long after the last sign of scarcity */
    /* An operation that is refused while permits are reserved for other classes is retried
     * after one or two renewals. */
    SCARCE_RETRY_US = 300000,
    MAX_REFUSALS = 12, /* then the class may take a permit that is reserved for others */
    /* The class that is served first waits for a permit that is expected within this time. */
    SHORT_PAUSE_US = 100000,
};

/* The smoothed rate, decayed since the last operation. */
static double rate_now(const struct lm_pool *s, int64_t now)
{
    double dt = (double)(now - s->at) / 1e6;
    return s->rate * exp(-dt / SMOOTH_S);
}

static void note_operation(struct lm_pool *s, int64_t now)
{
    s->rate = rate_now(s, now) + 1 / SMOOTH_S;
    s->at = now;
}

/* ---- classes ---- */

static double demand_now(const struct lm_demand *a, int64_t now)
{
    return a->rate * exp(-(double)(now - a->at) / 1e6 / SMOOTH_S);
}

static void note_demand(struct lm_demand *a, int64_t now)
{
    a->rate = demand_now(a, now) + 1 / SMOOTH_S;
    a->at = now;
}

static int class_of(int priority)
{
    return priority < 0 ? 0 : priority >= LM_CLASSES ? LM_CLASSES - 1 : priority;
}

/* Permits that the classes before this one are expected to need before the next renewal. */
static double reserved_for_others(const struct lm_pool *s, int class, int64_t now)
{
    double sum = 0;
    if (s->demand[class].n_refused >= MAX_REFUSALS)
        return 0; /* no class starves */
    for (int i = 0; i < class && now < s->scarce_until; i++)
        sum += demand_now(&s->demand[i], now) * AHEAD_S;
    return sum;
}

/* Whether permits are reserved for this class: all classes before it are idle, and a class
 * after it is not. */
static bool is_first_class(const struct lm_pool *s, int class, int64_t now)
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

/* The verdict if there is no permit: the operation waits for the next grant or is refused. The
 * class that is served first waits through a short pause, since the next permits are reserved
 * for it. */
static enum lm_verdict verdict_without_permit(struct lm_pool *s, int class, int64_t now)
{
    bool pause = now < s->over_until;
    if (pause && (s->over_until - now > SHORT_PAUSE_US || !is_first_class(s, class, now)))
        return LM_REFUSE;
    if (!pause)
        s->waiting++;
    return LM_WAIT;
}

enum lm_verdict lm_take(struct lm_pool *s, int priority, int64_t now)
{
    int class = class_of(priority);
    double reserved = reserved_for_others(s, class, now);
    note_demand(&s->demand[class], now);
    if (s->held > reserved) {
        s->held--;
        s->demand[class].n_refused = 0;
        note_operation(s, now);
        return LM_ADMIT;
    }
    enum lm_verdict v = s->held > 0 ? LM_REFUSE : verdict_without_permit(s, class, now);
    s->demand[class].n_refused += v == LM_REFUSE;
    return v;
}

int64_t lm_retry_us(const struct lm_pool *s, int64_t now)
{
    int64_t us = s->over_until - now;
    return now < s->scarce_until && us < SCARCE_RETRY_US ? SCARCE_RETRY_US : us;
}

void lm_charge_retry(struct lm_pool *s)
{
    s->held--;
}

static int target_size(const struct lm_pool *s, int64_t now)
{
    return (int)(rate_now(s, now) * COVER_S + 0.5) + s->waiting;
}

/* Used permits are reported with the next renewal: as long as the leader counts them as
 * outstanding, it can't grant others. */
bool lm_make_report(struct lm_pool *s, int64_t now, struct lm_report *out)
{
    int want = target_size(s, now), held = s->held > 0 ? s->held : 0;
    bool low = s->held < want && held * 2 <= want;
    bool high = held > want * 2;
    if (!low && !high && s->reported_held == held)
        return false;
    *out = (struct lm_report){.held = held, .want = want};
    if (s->held < 0)
        out->want -= s->held; /* first cover the attempts that ran without a permit */
    if (high) {
        out->returned = held - want;
        out->held = s->held = want;
    }
    s->reported_held = out->held;
    s->n_requested = out->want > out->held ? out->want - out->held : 0;
    return true;
}

void lm_apply_grant(struct lm_pool *s, const struct lm_grant *a, int64_t now)
{
    s->held += a->given;
    s->reported_held += a->given;
    s->waiting = 0;
    s->over_until = a->over_us ? now + a->over_us : 0;
    if (a->over_us || a->given * 2 < s->n_requested)
        s->scarce_until = now + SCARCE_US;
    s->n_requested = 0;
}

void lm_expire(struct lm_pool *s)
{
    if (s->held > 0)
        s->held = 0;
}

void lm_forget_reported(struct lm_pool *s)
{
    s->reported_held = -1;
}

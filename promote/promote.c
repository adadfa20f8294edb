#include "promote/promote.h"

#include "promote/evidence.h"

#include <stdio.h>
#include <string.h>

enum {
    MAX_PROMOTE_LIMIT_US = 8000000,
    MAX_BACKOFF_US = 10000000,
    BACKOFF_RESET_US = 60000000, /* the backoff is reset after this long without a change */
    MIN_RECHECK_US = 20000,
    MAX_RECHECK_US = 1000000,
    HAND_FENCE_INTERVAL_US = 2000
};

void pr_begin(struct pr_group *p, const struct pr_config *cfg, int64_t now)
{
    memset(p, 0, sizeof(*p));
    p->cfg = *cfg;
    p->backoff_us = cfg->hold_us;
    p->promote_limit_us = cfg->attempt_us;
    p->recheck_delay_us = MIN_RECHECK_US;
    p->last_change_at = now - cfg->hold_us;
    p->chosen = -1;
}

int pr_fences_needed(const struct vw_group *g)
{
    return g->n - g->copies + 1;
}

/* ---- actions ---- */

static void add_action(struct pr_actions *out, enum pr_action_kind kind, int inst,
                       uint64_t term, uint64_t pos)
{
    if (out->n < PR_MAX_ACTIONS)
        out->a[out->n++] = (struct pr_action){kind, inst, term, pos};
}

static void set_step(struct pr_group *p, enum pr_step step, int64_t now)
{
    p->step = step;
    p->step_at = now;
}

/* A term above the view's and above every term that an instance has reported or confirmed. */
static uint64_t next_term(const struct pr_group *p, const struct vw_group *g)
{
    uint64_t t = g->term;
    for (int i = 0; i < p->n; i++) {
        if (p->inst[i].term > t)
            t = p->inst[i].term;
        if (p->inst[i].fence_term > t)
            t = p->inst[i].fence_term;
    }
    return t + 1;
}

static void propose_replace(struct pr_group *p, const struct vw_group *g, int64_t now,
                            struct pr_actions *out)
{
    p->proposed_term = next_term(p, g);
    p->proposed_at = now;
    set_step(p, PR_PROPOSED, now);
    add_action(out, PR_DO_REPLACE, g->primary, p->proposed_term, 0);
}

/* ---- serving: monitor the primary, keep the replicas following ---- */

/* Whether it is too early for another replacement. An instance that refuses connections is
 * dead, so only the minimum time applies. Silence may come from a flapping network, so that
 * time doubles while replacements repeat. */
static bool in_hold_down(const struct pr_group *p, bool refused, int64_t now)
{
    return now - p->last_change_at < (refused ? p->cfg.hold_us : p->backoff_us);
}

static void begin_check(struct pr_group *p, const struct vw_group *g, int64_t now,
                        struct pr_actions *out)
{
    struct pe_verdict v = pe_evaluate(&p->inst[g->primary], now);
    snprintf(p->why, sizeof(p->why), "%s %s from %d failure domains", g->inst[g->primary].id,
             v.refused ? "refuses" : "is silent", v.down_domains);
    p->nonce++;
    p->checks_pending = p->checks_up = p->checks_down = 0;
    p->attempt_began = now;
    set_step(p, PR_CHECKING, now);
    add_action(out, PR_DO_CHECK, g->primary, p->nonce, 0);
}

static void check_tick(struct pr_group *p, const struct vw_group *g, int64_t now,
                       struct pr_actions *out)
{
    if (p->checks_up > 0 || !pe_inst_is_down(&p->inst[g->primary], now)) {
        /* Entry nodes still get replies: the primary serves although control can't reach it, or
         * an entry node has not noticed yet that its connection broke. The check is repeated,
         * after a short delay at first. */
        if (now - p->step_at > p->recheck_delay_us) {
            p->recheck_delay_us *= 2;
            if (p->recheck_delay_us > MAX_RECHECK_US)
                p->recheck_delay_us = MAX_RECHECK_US;
            set_step(p, PR_IDLE, now);
        }
        return;
    }
    if (p->checks_pending > 0 && now - p->step_at < p->cfg.check_us)
        return;
    propose_replace(p, g, now, out);
}

static void keep_following(struct pr_group *p, const struct vw_group *g, int64_t now,
                           struct pr_actions *out)
{
    for (int i = 0; i < g->n; i++) {
        struct pr_inst *in = &p->inst[i];
        bool right = i == g->primary ? in->primary && in->term == g->term
                                     : !in->primary && in->following == g->term;
        if (right || i == g->primary || now - in->order_sent_at < p->cfg.resend_us)
            continue;
        in->order_sent_at = now;
        add_action(out, PR_DO_FOLLOW, i, g->term, 0);
    }
}

/* Whether the primary is reachable but not primary of the view's term: it restarted without
 * its role. */
static bool lost_role(const struct pr_group *p, const struct vw_group *g, int64_t now)
{
    const struct pr_inst *in = &p->inst[g->primary];
    bool settled = now - p->last_change_at > p->cfg.silence_us;
    bool has_status = in->said_at > p->last_change_at + p->cfg.silence_us / 2;
    return settled && has_status && (!in->primary || in->term != g->term);
}

static void change_ended(struct pr_group *p, int64_t now)
{
    bool calm = now - p->last_change_at > BACKOFF_RESET_US;
    p->backoff_us = calm ? p->cfg.hold_us : p->backoff_us * 2;
    if (p->backoff_us > MAX_BACKOFF_US)
        p->backoff_us = MAX_BACKOFF_US;
    p->last_change_at = now;
    p->promote_limit_us = p->cfg.attempt_us;
    for (int i = 0; i < p->n; i++)
        p->inst[i].order_sent_at =
            now - p->cfg.resend_us; /* so that the replicas are told to follow at once */
    set_step(p, PR_IDLE, now);
}

static void serving_tick(struct pr_group *p, const struct vw_group *g, int64_t now,
                         struct pr_actions *out)
{
    if (p->step == PR_CHECKING) {
        check_tick(p, g, now, out);
        return;
    }
    if (p->step == PR_PROPOSED) {
        /* The proposal is not committed yet, or was lost with an earlier leader. */
        if (now - p->step_at >= p->cfg.attempt_us)
            set_step(p, PR_IDLE, now);
        return;
    }
    if (p->step != PR_IDLE)
        change_ended(p, now);
    keep_following(p, g, now, out);
    struct pe_verdict v = pe_evaluate(&p->inst[g->primary], now);
    if (!pe_is_down(&v))
        p->recheck_delay_us = MIN_RECHECK_US;
    if (in_hold_down(p, v.refused, now))
        return;
    if (pe_is_down(&v)) {
        begin_check(p, g, now, out);
    } else if (lost_role(p, g, now)) {
        snprintf(p->why, sizeof(p->why), "%s lost its role", g->inst[g->primary].id);
        propose_replace(p, g, now, out);
    }
}

/* ---- replacing ---- */

static void send_fences(struct pr_group *p, const struct vw_group *g, int64_t now,
                        struct pr_actions *out)
{
    for (int i = 0; i < g->n; i++) {
        struct pr_inst *in = &p->inst[i];
        if (in->fence_term >= p->term || now - in->order_sent_at < p->cfg.resend_us)
            continue;
        in->order_sent_at = now;
        add_action(out, PR_DO_FENCE, i, p->term, 0);
    }
}

static int count_fenced(const struct pr_group *p)
{
    int n = 0;
    for (int i = 0; i < p->n; i++)
        n += p->inst[i].fence_term == p->term;
    return n;
}

/* The fenced instance with the highest (term, position); between equals one that is not
 * draining. */
static int best_fenced(const struct pr_group *p, const struct vw_group *g)
{
    int best = -1;
    for (int i = 0; i < p->n; i++) {
        if (p->inst[i].fence_term != p->term)
            continue;
        if (best < 0) {
            best = i;
            continue;
        }
        if (p->cfg.fault.any_replica)
            break;
        int c = ps_cmp(p->inst[i].fenced_pos, p->inst[best].fenced_pos);
        if (c > 0 || (c == 0 && g->inst[best].draining && !g->inst[i].draining))
            best = i;
    }
    return best;
}

static void begin_promotion(struct pr_group *p, int i, int64_t now, struct pr_actions *out)
{
    p->chosen = i;
    set_step(p, PR_PROMOTING, now);
    p->inst[i].order_sent_at = now;
    add_action(out, PR_DO_PROMOTE, i, p->term, 0);
}

static void fencing_tick(struct pr_group *p, const struct vw_group *g, bool dropped,
                         int64_t now, struct pr_actions *out)
{
    send_fences(p, g, now, out);
    bool wait_nodes = !p->cfg.fenced_endpoints || p->cfg.fault.wait_leases;
    if (wait_nodes && !dropped)
        return;
    if (count_fenced(p) >= pr_fences_needed(g))
        begin_promotion(p, best_fenced(p, g), now, out);
}

static void promoting_tick(struct pr_group *p, int64_t now, struct pr_actions *out)
{
    struct pr_inst *in = &p->inst[p->chosen];
    if (now - in->order_sent_at < p->cfg.resend_us)
        return;
    in->order_sent_at = now;
    add_action(out, PR_DO_PROMOTE, p->chosen, p->term, 0);
}

static void concluding_tick(struct pr_group *p, int64_t now, struct pr_actions *out)
{
    if (p->step_at && now - p->step_at < p->cfg.attempt_us)
        return;
    p->step_at = now;
    add_action(out, PR_DO_PRIMARY, p->chosen, p->term, p->inst[p->chosen].fenced_pos.pos);
}

/* The steps after enough instances are fenced, the same for planned and unplanned changes. */
static void promotion_tick(struct pr_group *p, int64_t now, struct pr_actions *out)
{
    if (p->step == PR_PROMOTING)
        promoting_tick(p, now, out);
    else if (p->step == PR_CONCLUDING)
        concluding_tick(p, now, out);
}

/* Doubles the time limit: with a fixed limit every attempt would be abandoned before a slow
 * instance has become primary. */
static void extend_promote_limit(struct pr_group *p)
{
    p->promote_limit_us *= 2;
    if (p->promote_limit_us > MAX_PROMOTE_LIMIT_US)
        p->promote_limit_us = MAX_PROMOTE_LIMIT_US;
}

static void begin_attempt(struct pr_group *p, uint64_t term, int64_t now)
{
    p->term = term;
    p->chosen = -1;
    p->attempt_began = now;
    for (int i = 0; i < p->n; i++)
        p->inst[i].order_sent_at = now - p->cfg.resend_us;
    set_step(p, PR_FENCING, now);
}

/* Whether an instance follows a higher term already, so that this attempt can't succeed. */
static bool is_superseded(const struct pr_group *p)
{
    for (int i = 0; i < p->n; i++) {
        if (p->inst[i].term > p->term)
            return true;
    }
    return false;
}

/* Whether the attempt at the view's term is this leader's own and continues. An attempt that an
 * earlier leader began, that is stuck or that is superseded starts again under a higher term:
 * an instance may have been promoted without the leader's knowledge. */
static bool attempt_continues(struct pr_group *p, const struct vw_group *g, int64_t now,
                              struct pr_actions *out)
{
    bool running = p->term == g->term && p->step >= PR_FENCING;
    if (!running && p->proposed_term && p->proposed_term == g->term) {
        begin_attempt(p, g->term, now);
        return true;
    }
    bool stuck = p->step == PR_PROMOTING && now - p->step_at > p->promote_limit_us;
    if (running && !stuck && !is_superseded(p))
        return true;
    if (running && stuck)
        extend_promote_limit(p);
    bool proposed = p->proposed_term > g->term && now - p->proposed_at < p->cfg.attempt_us;
    if (!proposed)
        propose_replace(p, g, now, out);
    return false;
}

static void replacing_tick(struct pr_group *p, const struct vw_group *g, bool dropped,
                           int64_t now, struct pr_actions *out)
{
    if (!attempt_continues(p, g, now, out))
        return;
    if (p->step == PR_FENCING)
        fencing_tick(p, g, dropped, now, out);
    else
        promotion_tick(p, now, out);
}

/* ---- handing: planned change ---- */

static void resend_fence(struct pr_group *p, int i, int64_t every, int64_t now,
                         struct pr_actions *out)
{
    struct pr_inst *in = &p->inst[i];
    if (now - in->order_sent_at < every)
        return;
    in->order_sent_at = now;
    add_action(out, PR_DO_FENCE, i, p->term, 0);
}

static void handing_fence_tick(struct pr_group *p, const struct vw_group *g, bool dropped,
                               int64_t now, struct pr_actions *out)
{
    const struct pr_inst *old = &p->inst[g->primary], *to = &p->inst[g->target];
    if (!dropped)
        return; /* statements may still be running on the old primary */
    if (old->fence_term != p->term) {
        resend_fence(p, g->primary, p->cfg.resend_us, now, out);
        return;
    }
    if (to->fence_term == p->term && ps_cmp(to->fenced_pos, old->fenced_pos) >= 0) {
        if (count_fenced(p) >= pr_fences_needed(g))
            begin_promotion(p, g->target, now, out);
        else
            send_fences(p, g, now, out);
        return;
    }
    /* The successor is fenced only when its status shows that it has the whole log of the old
     * primary, because a fenced instance accepts no more log of the old term. */
    if (ps_cmp(to->held, old->fenced_pos) >= 0 || to->fence_term == p->term)
        resend_fence(p, g->target, HAND_FENCE_INTERVAL_US, now, out);
    else
        add_action(out, PR_DO_PROBE, g->target, 0, 0);
}

static void handing_tick(struct pr_group *p, const struct vw_group *g, bool dropped,
                         int64_t now, struct pr_actions *out)
{
    if (p->term != g->term || p->step < PR_FENCING)
        begin_attempt(p, g->term, now);
    if (now - p->attempt_began > p->cfg.hand_us && p->step != PR_CONCLUDING) {
        p->attempt_began = now;
        add_action(out, PR_DO_ABANDON, g->target, g->term, 0);
        return;
    }
    if (p->step == PR_FENCING)
        handing_fence_tick(p, g, dropped, now, out);
    else
        promotion_tick(p, now, out);
}

void pr_tick(struct pr_group *p, const struct vw_group *g, bool dropped, int64_t now,
             struct pr_actions *out)
{
    out->n = 0;
    pe_sync_instances(p, g);
    switch (g->phase) {
    case VW_SERVING:
        serving_tick(p, g, now, out);
        break;
    case VW_REPLACING:
        replacing_tick(p, g, dropped, now, out);
        break;
    case VW_HANDING:
        handing_tick(p, g, dropped, now, out);
        break;
    }
}

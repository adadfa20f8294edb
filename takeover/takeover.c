#include "takeover/takeover.h"

#include <stdio.h>
#include <string.h>

enum {
    AVOID_US = 2000000,   /* an instance that could not be named is not named again so long */
    PROPOSAL_US = 500000, /* a proposal that was not committed by then is made anew */
    FRESH_US = 300000,   /* how long all instances that are up may take to say where they are */
    DEMOTED_US = 400000, /* a new primary may take so long to say that it is one */
};

/* ---- bookkeeping ---- */

static struct tk_inst *inst_of(struct tk_group *t, const char *id)
{
    for (int i = 0; i < t->n; i++) {
        if (strcmp(t->inst[i].id, id) == 0)
            return &t->inst[i];
    }
    return NULL;
}

/* Let our list follow the view's order, keeping what is known. */
static void sync(struct tk_group *t, const struct vw_group *g)
{
    struct tk_inst next[VW_MAX_INSTANCES] = {0};
    for (int i = 0; i < g->n; i++) {
        const struct tk_inst *has = inst_of(t, g->inst[i].id);
        if (has)
            next[i] = *has;
        else
            sr_copy(next[i].id, sizeof(next[i].id), sr_from(g->inst[i].id));
    }
    memcpy(t->inst, next, sizeof(next));
    t->n = g->n;
}

static void enter(struct tk_group *t, enum tk_step step, int64_t now)
{
    t->step = step;
    t->step_at = now;
}

void tk_begin(struct tk_group *t, const struct tk_config *cfg, int64_t now)
{
    memset(t, 0, sizeof(*t));
    t->cfg = *cfg;
    t->target = -1;
    t->step_at = now;
    t->serving_since = now;
    /* Calls of earlier leaders may be out, for whom can't be known. */
    t->open_mixed = true;
}

void tk_set_health(struct tk_group *t, const char *id, enum tk_health health)
{
    struct tk_inst *in = inst_of(t, id);
    if (in)
        in->health = health;
}

void tk_set_status(struct tk_group *t, const char *id, bool primary, struct ps_pos received,
                   int64_t now)
{
    struct tk_inst *in = inst_of(t, id);
    if (!in)
        return;
    in->says_primary = primary;
    in->received = received;
    in->said_at = now;
}

void tk_suspected(struct tk_group *t, const char *id)
{
    if (inst_of(t, id))
        t->suspects++;
}

void tk_checks_sent(struct tk_group *t, int n)
{
    t->checks_out = n;
}

void tk_check_reply(struct tk_group *t, uint64_t nonce, enum tk_health health)
{
    if (nonce != t->nonce || t->step != TK_ASKING)
        return;
    t->checks_out--;
    t->checks_up += health == TK_UP;
    t->checks_down += health == TK_SILENT || health == TK_REFUSED;
    t->checks_unfit += health == TK_UNFIT;
}

static void act(struct tk_actions *out, enum tk_action_kind kind, int inst, uint64_t term)
{
    if (out->n < TK_MAX_ACTIONS)
        out->a[out->n++] = (struct tk_action){kind, inst, term};
}

/* ---- judging ---- */

static bool down(const struct tk_inst *in)
{
    return in->health == TK_SILENT || in->health == TK_REFUSED;
}

static bool can_take_over(const struct tk_group *t, const struct vw_group *g, int i,
                          int64_t now)
{
    const struct tk_inst *in = &t->inst[i];
    if (g->phase == VW_HANDING && i == g->primary)
        return false; /* it is to be another */
    return in->health == TK_UP && in->said_at && !g->inst[i].draining && now >= in->avoid_until;
}

/* Among those that can: the one that received most; of equals the one that leads already, so
 * that nothing changes where nothing need change. */
static int best(const struct tk_group *t, const struct vw_group *g, int64_t now)
{
    int b = -1;
    for (int i = 0; i < t->n; i++) {
        if (!can_take_over(t, g, i, now))
            continue;
        int c = b < 0 ? 1 : ps_cmp(t->inst[i].received, t->inst[b].received);
        if (c > 0 || (c == 0 && t->inst[i].says_primary))
            b = i;
    }
    return b;
}

/* The same among those that are not the view's primary. */
static int best_other(const struct tk_group *t, const struct vw_group *g, int64_t now)
{
    struct vw_group handing = *g;
    handing.phase = VW_HANDING;
    return best(t, &handing, now);
}

/* ---- steps ---- */

static void replace(struct tk_group *t, const struct vw_group *g, int64_t now,
                    struct tk_actions *out)
{
    t->term = g->term + 1;
    t->answered = false;
    t->target = -1;
    act(out, TK_DO_REPLACE, -1, t->term);
    enter(t, TK_PROPOSED, now);
}

/* The primary is there: whatever it has acknowledged, the successor is to have first. */
static void hand_over(struct tk_group *t, const struct vw_group *g, int next, int64_t now,
                      struct tk_actions *out)
{
    t->term = g->term + 1;
    t->answered = false;
    t->target = -1;
    act(out, TK_DO_HAND, next, t->term);
    enter(t, TK_PROPOSED, now);
}

static void ask(struct tk_group *t, const struct vw_group *g, int64_t now,
                struct tk_actions *out)
{
    t->nonce++;
    t->checks_out = t->checks_up = t->checks_down = t->checks_unfit = 0;
    t->suspects = 0;
    enter(t, TK_ASKING, now);
    act(out, TK_DO_CHECK, g->primary, 0);
}

/* The view's primary does not lead any more: a call that was late, or somebody else's. */
static bool was_demoted(const struct tk_group *t, const struct tk_inst *p)
{
    return p->health == TK_UP && p->said_at > t->serving_since + DEMOTED_US && !p->says_primary;
}

static void idle(struct tk_group *t, const struct vw_group *g, int64_t now,
                 struct tk_actions *out)
{
    const struct tk_inst *p = &t->inst[g->primary];
    int next = best(t, g, now);
    if (was_demoted(t, p)) {
        snprintf(t->why, sizeof(t->why), "%.48s says that it is no primary", p->id);
        replace(t, g, now, out);
    } else if (g->inst[g->primary].draining && next >= 0) {
        snprintf(t->why, sizeof(t->why), "%.48s is draining", p->id);
        hand_over(t, g, next, now, out);
    } else if ((down(p) || t->suspects > 0) && next >= 0 && now >= t->ask_after) {
        ask(t, g, now, out);
    }
}

/* A primary that is there and unfit hands over what it has; otherwise it stays. */
static bool should_hand_over(struct tk_group *t, const struct vw_group *g, int64_t now,
                             struct tk_actions *out)
{
    const struct tk_inst *p = &t->inst[g->primary];
    int next = best_other(t, g, now);
    if (p->health != TK_UP || next < 0)
        return false;
    snprintf(t->why, sizeof(t->why), "%.40s: unfit for %d nodes", p->id, t->checks_unfit);
    hand_over(t, g, next, now, out);
    return true;
}

static void asking(struct tk_group *t, const struct vw_group *g, int64_t now,
                   struct tk_actions *out)
{
    const struct tk_inst *p = &t->inst[g->primary];
    if (t->checks_out > 0 && now - t->step_at < t->cfg.check_us)
        return;
    int up = t->checks_up + (p->health == TK_UP), dead = t->checks_down + down(p);
    if (dead > up) {
        snprintf(t->why, sizeof(t->why), "%.40s: down for %d nodes, up for %d", p->id, dead,
                 up);
        int next = best_other(t, g, now);
        if (p->health == TK_UP && next >= 0)
            hand_over(t, g, next, now, out);
        else
            replace(t, g, now, out);
        return;
    }
    if (t->checks_unfit > up && should_hand_over(t, g, now, out))
        return;
    t->ask_after = now + t->cfg.recheck_us;
    enter(t, TK_IDLE, now);
}

/* Instances that are up say where they are after the old term was dropped. */
static bool all_fresh(const struct tk_group *t)
{
    for (int i = 0; i < t->n; i++) {
        if (t->inst[i].health == TK_UP && t->inst[i].said_at < t->step_at)
            return false;
    }
    return true;
}

static void probe_all(const struct tk_group *t, struct tk_actions *out)
{
    for (int i = 0; i < t->n; i++)
        act(out, TK_DO_PROBE, i, 0);
}

/* A draining primary that is up is followed until the successor has received all of it. */
static bool successor_lacks(const struct tk_group *t, const struct vw_group *g, int i)
{
    if (g->phase != VW_HANDING || g->primary < 0 || t->inst[g->primary].health != TK_UP)
        return false;
    return ps_cmp(t->inst[i].received, t->inst[g->primary].received) < 0;
}

static void call(struct tk_group *t, int i, int64_t now, struct tk_actions *out)
{
    const char *id = t->inst[i].id;
    if (t->open_call[0] && strcmp(t->open_call, id) != 0)
        t->open_mixed = true;
    sr_copy(t->open_call, sizeof(t->open_call), sr_from(id));
    t->target = i;
    act(out, TK_DO_CALL, i, t->term);
    enter(t, TK_CALLED, now);
}

static void choosing(struct tk_group *t, const struct vw_group *g, int64_t now,
                     struct tk_actions *out)
{
    int64_t waited = now - t->step_at;
    int i = best(t, g, now);
    bool wait = i < 0 || (!all_fresh(t) && waited < FRESH_US) ||
                (successor_lacks(t, g, i) && waited < t->cfg.settle_us);
    if (!wait) {
        call(t, i, now, out);
        return;
    }
    probe_all(t, out);
}

/* Nothing can make another instance the primary any more: every call that may be out is fenced
 * by the one that was carried out, or names the same instance. */
static bool conclusive(const struct tk_group *t)
{
    return t->answered || !t->open_mixed;
}

static void called(struct tk_group *t, const struct vw_group *g, int64_t now,
                   struct tk_actions *out)
{
    const struct tk_inst *in = &t->inst[t->target];
    int64_t waited = now - t->step_at;
    if (in->says_primary && in->said_at > t->step_at && conclusive(t)) {
        t->open_call[0] = 0;
        t->open_mixed = false;
        act(out, TK_DO_PRIMARY, t->target, t->term);
        enter(t, TK_CONCLUDING, now);
        return;
    }
    bool late = waited > (t->answered ? t->cfg.lead_us : t->cfg.answer_us);
    if (late || in->health == TK_REFUSED) {
        replace(t, g, now, out);
        return;
    }
    act(out, TK_DO_PROBE, t->target, 0);
}

void tk_called(struct tk_group *t, uint64_t term, enum tk_outcome what, int64_t now)
{
    if (term != t->term || t->step != TK_CALLED)
        return;
    if (what == TK_DONE) {
        t->answered = true;
        t->open_mixed = false;
    } else if (what == TK_REFUSED_CALL) {
        if (t->target >= 0 && t->target < t->n)
            t->inst[t->target].avoid_until = now + AVOID_US;
        t->step_at = now - t->cfg.answer_us; /* the next attempt begins at once */
    }
}

static void changing(struct tk_group *t, const struct vw_group *g, bool dropped, int64_t now,
                     struct tk_actions *out)
{
    if (g->term != t->term) { /* begun by an earlier leader, or a primary that left */
        if (t->step != TK_PROPOSED || now - t->step_at > PROPOSAL_US)
            replace(t, g, now, out);
        return;
    }
    if (t->step == TK_IDLE || t->step == TK_ASKING || t->step == TK_PROPOSED)
        enter(t, TK_DROPPING, now);
    if (t->step == TK_DROPPING && dropped) {
        enter(t, TK_CHOOSING, now);
        probe_all(t, out);
    } else if (t->step == TK_CHOOSING) {
        choosing(t, g, now, out);
    } else if (t->step == TK_CALLED) {
        called(t, g, now, out);
    } else if (t->step == TK_CONCLUDING && now - t->step_at > PROPOSAL_US) {
        replace(t, g, now, out);
    }
}

/* The instance that was named left, or the list moved under it. */
static bool target_moved(const struct tk_group *t, const struct vw_group *g)
{
    if (t->target < 0)
        return false;
    if (t->target >= g->n || t->target >= t->n)
        return true;
    return strcmp(t->inst[t->target].id, g->inst[t->target].id) != 0;
}

void tk_tick(struct tk_group *t, const struct vw_group *g, bool dropped, int64_t now,
             struct tk_actions *out)
{
    out->n = 0;
    if (target_moved(t, g)) {
        t->target = -1;
        if (t->step == TK_CALLED)
            enter(t, TK_CHOOSING, now);
    }
    sync(t, g);
    if (g->phase != VW_SERVING) {
        changing(t, g, dropped, now, out);
        return;
    }
    if (t->step >= TK_DROPPING) {
        t->serving_since = now;
        t->suspects = 0;
        enter(t, TK_IDLE, now);
    }
    if (g->primary < 0)
        return; /* none was ever named */
    if (t->step == TK_PROPOSED && now - t->step_at > PROPOSAL_US)
        enter(t, TK_IDLE, now);
    if (t->step == TK_IDLE)
        idle(t, g, now, out);
    else if (t->step == TK_ASKING)
        asking(t, g, now, out);
}

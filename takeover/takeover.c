#include "takeover/takeover.h"

#include <stdio.h>
#include <string.h>

enum {
    REFUSED_AVOID_US = 2000000,   /* how long an instance is skipped after a refused call */
    PROPOSAL_TIMEOUT_US = 500000, /* a proposal not committed within this is made again */
    STATUS_WAIT_US =
        300000, /* how long the reachable instances may take to report their positions */
    PRIMARY_REPORT_GRACE_US =
        400000, /* how long a new primary may take to report that it is primary */
};

/* ---- state of the instances ---- */

static struct tk_inst *find_inst(struct tk_group *t, const char *id)
{
    for (int i = 0; i < t->n; i++) {
        if (strcmp(t->inst[i].id, id) == 0)
            return &t->inst[i];
    }
    return NULL;
}

/* Puts the instances in the order of the view and keeps what is known of them. */
static void sync_instances(struct tk_group *t, const struct vw_group *g)
{
    struct tk_inst next[VW_MAX_INSTANCES] = {0};
    for (int i = 0; i < g->n; i++) {
        const struct tk_inst *has = find_inst(t, g->inst[i].id);
        if (has)
            next[i] = *has;
        else
            sr_copy(next[i].id, sizeof(next[i].id), sr_from(g->inst[i].id));
    }
    memcpy(t->inst, next, sizeof(next));
    t->n = g->n;
}

static void set_step(struct tk_group *t, enum tk_step step, int64_t now)
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
    /* Calls of earlier leaders may be open, for instances that can't be known. */
    t->open_calls_differ = true;
}

void tk_set_health(struct tk_group *t, const char *id, enum tk_health health)
{
    struct tk_inst *in = find_inst(t, id);
    if (in)
        in->health = health;
}

void tk_set_status(struct tk_group *t, const char *id, bool primary, struct ps_pos received,
                   int64_t now)
{
    struct tk_inst *in = find_inst(t, id);
    if (!in)
        return;
    in->reports_primary = primary;
    in->received = received;
    in->status_at = now;
}

void tk_suspected(struct tk_group *t, const char *id)
{
    if (find_inst(t, id))
        t->suspect_reports++;
}

void tk_checks_sent(struct tk_group *t, int n)
{
    t->checks_pending = n;
}

void tk_check_reply(struct tk_group *t, uint64_t nonce, enum tk_health health)
{
    if (nonce != t->nonce || t->step != TK_CHECKING)
        return;
    t->checks_pending--;
    t->checks_up += health == TK_UP;
    t->checks_down += health == TK_SILENT || health == TK_REFUSED;
    t->checks_unfit += health == TK_UNFIT;
}

static void add_action(struct tk_actions *out, enum tk_action_kind kind, int inst,
                       uint64_t term)
{
    if (out->n < TK_MAX_ACTIONS)
        out->a[out->n++] = (struct tk_action){kind, inst, term};
}

/* ---- choice of the successor ---- */

static bool is_down(const struct tk_inst *in)
{
    return in->health == TK_SILENT || in->health == TK_REFUSED;
}

static bool can_take_over(const struct tk_group *t, const struct vw_group *g, int i,
                          int64_t now)
{
    const struct tk_inst *in = &t->inst[i];
    if (g->phase == VW_HANDING && i == g->primary)
        return false; /* the successor must be another instance */
    return in->health == TK_UP && in->status_at && !g->inst[i].draining &&
           now >= in->avoid_until;
}

/* The instance that received most among those that can take over; among equals the one that is
 * primary already, so that no instance changes its role without need. */
static int best_candidate(const struct tk_group *t, const struct vw_group *g, int64_t now)
{
    int b = -1;
    for (int i = 0; i < t->n; i++) {
        if (!can_take_over(t, g, i, now))
            continue;
        int c = b < 0 ? 1 : ps_cmp(t->inst[i].received, t->inst[b].received);
        if (c > 0 || (c == 0 && t->inst[i].reports_primary))
            b = i;
    }
    return b;
}

/* The best candidate among the instances that are not the view's primary. */
static int best_successor(const struct tk_group *t, const struct vw_group *g, int64_t now)
{
    struct vw_group handing = *g;
    handing.phase = VW_HANDING;
    return best_candidate(t, &handing, now);
}

/* ---- steps ---- */

static void propose_replace(struct tk_group *t, const struct vw_group *g, int64_t now,
                            struct tk_actions *out)
{
    t->term = g->term + 1;
    t->call_done = false;
    t->target = -1;
    add_action(out, TK_DO_REPLACE, -1, t->term);
    set_step(t, TK_PROPOSED, now);
}

/* The primary is alive: the successor must first receive every write that the primary has
 * acknowledged. */
static void propose_hand_over(struct tk_group *t, const struct vw_group *g, int next,
                              int64_t now, struct tk_actions *out)
{
    t->term = g->term + 1;
    t->call_done = false;
    t->target = -1;
    add_action(out, TK_DO_HAND, next, t->term);
    set_step(t, TK_PROPOSED, now);
}

static void begin_check(struct tk_group *t, const struct vw_group *g, int64_t now,
                        struct tk_actions *out)
{
    t->nonce++;
    t->checks_pending = t->checks_up = t->checks_down = t->checks_unfit = 0;
    t->suspect_reports = 0;
    set_step(t, TK_CHECKING, now);
    add_action(out, TK_DO_CHECK, g->primary, 0);
}

/* Whether the view's primary reports that it is not primary any more. An earlier call may have
 * been carried out late, or somebody else may have made one. */
static bool was_demoted(const struct tk_group *t, const struct tk_inst *p)
{
    return p->health == TK_UP && p->status_at > t->serving_since + PRIMARY_REPORT_GRACE_US &&
           !p->reports_primary;
}

static void idle_tick(struct tk_group *t, const struct vw_group *g, int64_t now,
                      struct tk_actions *out)
{
    const struct tk_inst *p = &t->inst[g->primary];
    int next = best_candidate(t, g, now);
    if (was_demoted(t, p)) {
        snprintf(t->why, sizeof(t->why), "%.48s reports that it is not the primary", p->id);
        propose_replace(t, g, now, out);
    } else if (g->inst[g->primary].draining && next >= 0) {
        snprintf(t->why, sizeof(t->why), "%.48s is draining", p->id);
        propose_hand_over(t, g, next, now, out);
    } else if ((is_down(p) || t->suspect_reports > 0) && next >= 0 && now >= t->recheck_at) {
        begin_check(t, g, now, out);
    }
}

/* Hands over from a primary that is alive but unfit. Without a successor the primary stays. */
static bool should_hand_over(struct tk_group *t, const struct vw_group *g, int64_t now,
                             struct tk_actions *out)
{
    const struct tk_inst *p = &t->inst[g->primary];
    int next = best_successor(t, g, now);
    if (p->health != TK_UP || next < 0)
        return false;
    snprintf(t->why, sizeof(t->why), "%.40s: unfit for %d nodes", p->id, t->checks_unfit);
    propose_hand_over(t, g, next, now, out);
    return true;
}

static void check_tick(struct tk_group *t, const struct vw_group *g, int64_t now,
                       struct tk_actions *out)
{
    const struct tk_inst *p = &t->inst[g->primary];
    if (t->checks_pending > 0 && now - t->step_at < t->cfg.check_us)
        return;
    int up = t->checks_up + (p->health == TK_UP), down = t->checks_down + is_down(p);
    if (down > up) {
        snprintf(t->why, sizeof(t->why), "%.40s: down for %d nodes, up for %d", p->id, down,
                 up);
        int next = best_successor(t, g, now);
        if (p->health == TK_UP && next >= 0)
            propose_hand_over(t, g, next, now, out);
        else
            propose_replace(t, g, now, out);
        return;
    }
    if (t->checks_unfit > up && should_hand_over(t, g, now, out))
        return;
    t->recheck_at = now + t->cfg.recheck_us;
    set_step(t, TK_IDLE, now);
}

/* Whether every reachable instance has reported its position since the old term was dropped. */
static bool all_status_recent(const struct tk_group *t)
{
    for (int i = 0; i < t->n; i++) {
        if (t->inst[i].health == TK_UP && t->inst[i].status_at < t->step_at)
            return false;
    }
    return true;
}

static void probe_all(const struct tk_group *t, struct tk_actions *out)
{
    for (int i = 0; i < t->n; i++)
        add_action(out, TK_DO_PROBE, i, 0);
}

/* Whether the successor still lacks writes of a draining primary that is up. The call waits
 * until the successor has received all of them. */
static bool successor_is_behind(const struct tk_group *t, const struct vw_group *g, int i)
{
    if (g->phase != VW_HANDING || g->primary < 0 || t->inst[g->primary].health != TK_UP)
        return false;
    return ps_cmp(t->inst[i].received, t->inst[g->primary].received) < 0;
}

static void send_call(struct tk_group *t, int i, int64_t now, struct tk_actions *out)
{
    const char *id = t->inst[i].id;
    if (t->open_call_inst[0] && strcmp(t->open_call_inst, id) != 0)
        t->open_calls_differ = true;
    sr_copy(t->open_call_inst, sizeof(t->open_call_inst), sr_from(id));
    t->target = i;
    add_action(out, TK_DO_CALL, i, t->term);
    set_step(t, TK_CALLED, now);
}

static void choose_tick(struct tk_group *t, const struct vw_group *g, int64_t now,
                        struct tk_actions *out)
{
    int64_t waited = now - t->step_at;
    int i = best_candidate(t, g, now);
    bool wait = i < 0 || (!all_status_recent(t) && waited < STATUS_WAIT_US) ||
                (successor_is_behind(t, g, i) && waited < t->cfg.settle_us);
    if (!wait) {
        send_call(t, i, now, out);
        return;
    }
    probe_all(t, out);
}

/* Whether no open call can make another instance the primary: every call that may be open is
 * fenced by the one that was carried out, or names the same instance. */
static bool outcome_is_certain(const struct tk_group *t)
{
    return t->call_done || !t->open_calls_differ;
}

static void call_tick(struct tk_group *t, const struct vw_group *g, int64_t now,
                      struct tk_actions *out)
{
    const struct tk_inst *in = &t->inst[t->target];
    int64_t waited = now - t->step_at;
    if (in->reports_primary && in->status_at > t->step_at && outcome_is_certain(t)) {
        t->open_call_inst[0] = 0;
        t->open_calls_differ = false;
        add_action(out, TK_DO_PRIMARY, t->target, t->term);
        set_step(t, TK_CONCLUDING, now);
        return;
    }
    bool late = waited > (t->call_done ? t->cfg.lead_us : t->cfg.answer_us);
    if (late || in->health == TK_REFUSED) {
        propose_replace(t, g, now, out);
        return;
    }
    add_action(out, TK_DO_PROBE, t->target, 0);
}

void tk_call_result(struct tk_group *t, uint64_t term, enum tk_outcome what, int64_t now)
{
    if (term != t->term || t->step != TK_CALLED)
        return;
    if (what == TK_DONE) {
        t->call_done = true;
        t->open_calls_differ = false;
    } else if (what == TK_REFUSED_CALL) {
        if (t->target >= 0 && t->target < t->n)
            t->inst[t->target].avoid_until = now + REFUSED_AVOID_US;
        t->step_at = now - t->cfg.answer_us; /* makes the next attempt begin at once */
    }
}

static void change_tick(struct tk_group *t, const struct vw_group *g, bool dropped, int64_t now,
                        struct tk_actions *out)
{
    if (g->term != t->term) { /* begun by an earlier leader, or by a primary that left */
        if (t->step != TK_PROPOSED || now - t->step_at > PROPOSAL_TIMEOUT_US)
            propose_replace(t, g, now, out);
        return;
    }
    if (t->step == TK_IDLE || t->step == TK_CHECKING || t->step == TK_PROPOSED)
        set_step(t, TK_DROPPING, now);
    if (t->step == TK_DROPPING && dropped) {
        set_step(t, TK_CHOOSING, now);
        probe_all(t, out);
    } else if (t->step == TK_CHOOSING) {
        choose_tick(t, g, now, out);
    } else if (t->step == TK_CALLED) {
        call_tick(t, g, now, out);
    } else if (t->step == TK_CONCLUDING && now - t->step_at > PROPOSAL_TIMEOUT_US) {
        propose_replace(t, g, now, out);
    }
}

/* Whether the instance that was called has left, or its index names another instance now. */
static bool target_has_changed(const struct tk_group *t, const struct vw_group *g)
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
    if (target_has_changed(t, g)) {
        t->target = -1;
        if (t->step == TK_CALLED)
            set_step(t, TK_CHOOSING, now);
    }
    sync_instances(t, g);
    if (g->phase != VW_SERVING) {
        change_tick(t, g, dropped, now, out);
        return;
    }
    if (t->step >= TK_DROPPING) {
        t->serving_since = now;
        t->suspect_reports = 0;
        set_step(t, TK_IDLE, now);
    }
    if (g->primary < 0)
        return; /* the group never had a primary */
    if (t->step == TK_PROPOSED && now - t->step_at > PROPOSAL_TIMEOUT_US)
        set_step(t, TK_IDLE, now);
    if (t->step == TK_IDLE)
        idle_tick(t, g, now, out);
    else if (t->step == TK_CHECKING)
        check_tick(t, g, now, out);
}

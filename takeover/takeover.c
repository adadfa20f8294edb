#include "takeover/takeover.h"

#include <stdio.h>
#include <string.h>

enum {
    REFUSED_AVOID_US = 2000000,   /* how long an instance is skipped after a refused call */
    PROPOSAL_TIMEOUT_US = 500000, /* a proposal not committed within this is made again */
    STATUS_WAIT_US =
        300000, /* how long the reachable instances may take to report their positions */
    PRIMARY_REPORT_GRACE_US =
        400000,              /* how long a new primary may take to report that it is primary */
    HAND_RETRY_US = 2000000, /* after an abandoned planned change, before the next one */
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

static void set_absent(struct tk_bound *b, bool absent, int64_t now)
{
    if (!absent)
        *b = (struct tk_bound){0};
    else if (!b->since)
        b->since = now;
}

/* An instance is not in the view any more. A successor at its address need not have its log. If
 * the primary left, there is none to bound what it had. */
static void note_left(struct tk_group *t, const struct vw_group *g, int64_t now)
{
    if (g->primary < 0)
        return;
    t->left = (struct tk_bound){.since = now};
    t->has_left = true;
}

/* Puts the instances in the order of the view and keeps what is known of them. */
static void sync_instances(struct tk_group *t, const struct vw_group *g, int64_t now)
{
    struct tk_inst next[VW_MAX_INSTANCES] = {0};
    for (int i = 0; i < t->n; i++) {
        if (vw_instance(g, t->inst[i].id) < 0)
            note_left(t, g, now);
    }
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
    t->left.since = now;
    /* Calls of earlier leaders may be open, for instances that can't be known. */
    t->open_calls_differ = true;
}

void tk_set_health(struct tk_group *t, const char *id, enum tk_health health, int64_t now)
{
    struct tk_inst *in = find_inst(t, id);
    if (!in)
        return;
    in->health = health;
    set_absent(&in->bound, health == TK_REFUSED, now);
}

void tk_set_status(struct tk_group *t, const char *id, bool primary, struct ps_pos received,
                   int64_t asked_at, int64_t now)
{
    struct tk_inst *in = find_inst(t, id);
    if (!in)
        return;
    in->reports_primary = primary;
    in->received = received;
    in->status_at = now;
    in->asked_at = asked_at;
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
        out->a[out->n++] = (struct tk_action){kind, inst, term, 0};
}

static void probe(struct tk_actions *out, int inst, int64_t since)
{
    if (out->n < TK_MAX_ACTIONS)
        out->a[out->n++] = (struct tk_action){TK_DO_PROBE, inst, 0, since};
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
    return in->health == TK_UP && in->status_at && now >= in->avoid_until;
}

/* The instance that received most among those that can take over, with or without draining
 * ones; among equals the one that is primary already, so that no instance changes its role
 * without need. */
static int most_received(const struct tk_group *t, const struct vw_group *g, bool with_draining,
                         int64_t now)
{
    int b = -1;
    for (int i = 0; i < t->n; i++) {
        if (!can_take_over(t, g, i, now) || (g->inst[i].draining && !with_draining))
            continue;
        int c = b < 0 ? 1 : ps_cmp(t->inst[i].received, t->inst[b].received);
        if (c > 0 || (c == 0 && t->inst[i].reports_primary))
            b = i;
    }
    return b;
}

static int best_candidate(const struct tk_group *t, const struct vw_group *g, int64_t now)
{
    return most_received(t, g, false, now);
}

/* The best candidate among the instances that are not the view's primary. */
static int best_successor(const struct tk_group *t, const struct vw_group *g, int64_t now)
{
    struct vw_group handing = *g;
    handing.phase = VW_HANDING;
    return best_candidate(t, &handing, now);
}

/* Whether an instance could take over if the primary were gone. A draining one is the last
 * resort where it alone may hold acknowledged commits. */
static bool has_successor(const struct tk_group *t, const struct vw_group *g, int64_t now)
{
    return most_received(t, g, t->copies > 0, now) >= 0;
}

/* Whether the primary that is to hand over still leads, so that it can stay. */
static bool primary_can_stay(const struct tk_group *t, const struct vw_group *g)
{
    const struct tk_inst *p = g->primary >= 0 ? &t->inst[g->primary] : NULL;
    return p && p->health == TK_UP && p->reports_primary && p->asked_at >= t->step_at;
}

/* The instance to call for; -1: none yet. */
static int choose_successor(const struct tk_group *t, const struct vw_group *g, int64_t now)
{
    int i = best_candidate(t, g, now);
    if (t->copies == 0 || (i >= 0 && tk_holds_acknowledged(t, g, i)))
        return i;
    i = most_received(t, g, true, now);
    if (i >= 0 && tk_holds_acknowledged(t, g, i))
        return i;
    bool late = now - t->step_at >= t->cfg.catch_up_timeout_us;
    if (g->phase == VW_HANDING && late && primary_can_stay(t, g))
        return g->primary;
    return -1;
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

/* Whether a planned change to the instance may begin. While it runs, no statement is served, so
 * none begins that could only be abandoned. */
static bool may_hand_over(const struct tk_group *t, const struct vw_group *g, int next,
                          int64_t now)
{
    if (next < 0)
        return false;
    return t->copies == 0 || (now >= t->hand_retry_at && tk_can_hand_over_to(t, g, next));
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

/* When the view's primary should have reported its role. */
static int64_t role_since(const struct tk_group *t)
{
    return t->serving_since + PRIMARY_REPORT_GRACE_US;
}

/* Whether the view's primary reports that it is not primary any more. An earlier call may have
 * been carried out late, or somebody else may have made one. */
static bool was_demoted(const struct tk_group *t, const struct tk_inst *p)
{
    return p->health == TK_UP && p->asked_at > role_since(t) && !p->reports_primary;
}

/* Requests the status of the serving primary if the last one may be too old for what it is
 * needed for. */
static void renew_primary_status(const struct tk_group *t, const struct vw_group *g,
                                 struct tk_actions *out)
{
    const struct tk_inst *p = &t->inst[g->primary];
    int64_t since = t->copies > 0 ? tk_primary_pos_since(t, g) : 0;
    if (!p->reports_primary && role_since(t) >= since)
        since = role_since(t) + 1;
    if (p->health == TK_UP && p->status_at > since && p->asked_at < since)
        probe(out, g->primary, since);
}

static void idle_tick(struct tk_group *t, const struct vw_group *g, int64_t now,
                      struct tk_actions *out)
{
    const struct tk_inst *p = &t->inst[g->primary];
    int next = best_successor(t, g, now);
    if (was_demoted(t, p)) {
        snprintf(t->why, sizeof(t->why), "%.48s reports that it is not the primary", p->id);
        propose_replace(t, g, now, out);
    } else if (g->inst[g->primary].draining && may_hand_over(t, g, next, now)) {
        snprintf(t->why, sizeof(t->why), "%.48s is draining", p->id);
        propose_hand_over(t, g, next, now, out);
    } else if ((is_down(p) || t->suspect_reports > 0) && has_successor(t, g, now) &&
               now >= t->recheck_at) {
        begin_check(t, g, now, out);
    }
}

/* Hands over from a primary that is alive but unfit. Without a successor the primary stays. */
static bool should_hand_over(struct tk_group *t, const struct vw_group *g, int64_t now,
                             struct tk_actions *out)
{
    const struct tk_inst *p = &t->inst[g->primary];
    int next = best_successor(t, g, now);
    if (p->health != TK_UP || !may_hand_over(t, g, next, now))
        return false;
    snprintf(t->why, sizeof(t->why), "%.40s: unfit for %d nodes", p->id, t->checks_unfit);
    propose_hand_over(t, g, next, now, out);
    return true;
}

/* Replaces a primary that is down for most. If this leader reaches it, it hands over what it
 * has; with copies it stays if nobody can take that over. Returns whether a change began. */
static bool replace_down_primary(struct tk_group *t, const struct vw_group *g, int64_t now,
                                 struct tk_actions *out)
{
    int next = best_successor(t, g, now);
    if (t->inst[g->primary].health != TK_UP || next < 0) {
        propose_replace(t, g, now, out);
        return true;
    }
    if (!may_hand_over(t, g, next, now))
        return false;
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
    bool is_down_for_most = down > up;
    if (is_down_for_most)
        snprintf(t->why, sizeof(t->why), "%.40s: down for %d nodes, up for %d", p->id, down,
                 up);
    if (is_down_for_most && replace_down_primary(t, g, now, out))
        return;
    if (!is_down_for_most && t->checks_unfit > up && should_hand_over(t, g, now, out))
        return;
    t->recheck_at = now + t->cfg.recheck_delay_us;
    set_step(t, TK_IDLE, now);
}

/* Whether every reachable instance has reported its position since the old term was dropped. */
static bool all_status_recent(const struct tk_group *t)
{
    for (int i = 0; i < t->n; i++) {
        if (t->inst[i].health == TK_UP && t->inst[i].asked_at < t->step_at)
            return false;
    }
    return true;
}

static void probe_all(const struct tk_group *t, struct tk_actions *out)
{
    for (int i = 0; i < t->n; i++)
        probe(out, i, t->step_at);
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
    int i = choose_successor(t, g, now);
    bool wait = i < 0 || (!all_status_recent(t) && waited < STATUS_WAIT_US) ||
                (successor_is_behind(t, g, i) && waited < t->cfg.catch_up_timeout_us);
    t->waits_for_copies = t->copies > 0 && i < 0 && waited >= STATUS_WAIT_US;
    if (wait) {
        probe_all(t, out);
        return;
    }
    if (g->phase == VW_HANDING && i == g->primary)
        t->hand_retry_at = now + HAND_RETRY_US;
    send_call(t, i, now, out);
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
    if (in->reports_primary && in->asked_at > t->step_at && outcome_is_certain(t)) {
        t->open_call_inst[0] = 0;
        t->open_calls_differ = false;
        add_action(out, TK_DO_PRIMARY, t->target, t->term);
        set_step(t, TK_CONCLUDING, now);
        return;
    }
    bool late = waited > (t->call_done ? t->cfg.lead_timeout_us : t->cfg.call_timeout_us);
    if (late || in->health == TK_REFUSED) {
        propose_replace(t, g, now, out);
        return;
    }
    probe(out, t->target, t->step_at + 1);
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
        t->step_at = now - t->cfg.call_timeout_us; /* makes the next attempt begin at once */
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

void tk_tick(struct tk_group *t, const struct vw_group *g, int copies, bool dropped,
             int64_t now, struct tk_actions *out)
{
    out->n = 0;
    t->copies = copies;
    t->waits_for_copies = false;
    if (target_has_changed(t, g)) {
        t->target = -1;
        if (t->step == TK_CALLED)
            set_step(t, TK_CHOOSING, now);
    }
    sync_instances(t, g, now);
    if (g->phase != VW_SERVING) {
        change_tick(t, g, dropped, now, out);
        return;
    }
    if (t->step >= TK_DROPPING) {
        t->serving_since = now;
        t->suspect_reports = 0;
        t->marks.n = 0;
        set_step(t, TK_IDLE, now);
    }
    if (g->primary < 0)
        return; /* the group never had a primary */
    tk_note_primary_pos(t, g, now);
    renew_primary_status(t, g, out);
    if (t->step == TK_PROPOSED && now - t->step_at > PROPOSAL_TIMEOUT_US)
        set_step(t, TK_IDLE, now);
    if (t->step == TK_IDLE)
        idle_tick(t, g, now, out);
    else if (t->step == TK_CHECKING)
        check_tick(t, g, now, out);
}

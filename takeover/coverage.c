/* Where commits are acknowledged once `copies` replicas have received them: which instances
 * hold every acknowledged commit of a group.
 *
 * A commit that was acknowledged is at the primary of its term and at `copies` of the r
 * replicas. So it is in one of any r - copies + 1 of them, and the one of these that received
 * most has all of them. A replica that receives nothing any more counts as one of them with an
 * upper bound: whatever was acknowledged before is at or below each position that the primary
 * reported since. That is so for one that left, and for one whose connections are refused: its
 * port is dead, as an instance that is dark or cut off says nothing. A replica that does not
 * answer, but may receive, is not known: the change waits for it, or for the primary.
 *
 * The primary of an earlier term is a replica in this count. Its successor was chosen by the
 * same rule, so it holds what was acknowledged in earlier terms. */
#include "takeover/takeover.h"

/* Whether the instance answers, by a status that was requested at `since` or later. */
static bool is_known_since(const struct tk_inst *in, int64_t since)
{
    return in->health == TK_UP && in->status_at && in->asked_at >= since;
}

static bool reaches(const struct tk_inst *in, struct ps_pos pos)
{
    return ps_cmp(in->received, pos) >= 0;
}

/* The fewest replicas that can't all lack an acknowledged commit. */
static int replicas_needed(const struct tk_group *t, const struct vw_group *g)
{
    int replicas = g->n - (g->primary >= 0) + g->n_left;
    int k = replicas - t->copies + 1;
    return k > 0 ? k : 0;
}

/* Whether instance `i` has all that the primary has, which still leads. */
static bool holds_all_of_primary(const struct tk_group *t, const struct vw_group *g, int i,
                                 int64_t since)
{
    const struct tk_inst *p = g->primary >= 0 ? &t->inst[g->primary] : NULL;
    if (!p || !is_known_since(p, since) || !p->reports_primary)
        return false;
    return i == g->primary || reaches(&t->inst[i], p->received);
}

/* Whether instance `i` has all that enough replicas have, by statuses requested at `since` or
 * later. */
static bool holds_all_of_replicas(const struct tk_group *t, const struct vw_group *g, int i,
                                  int64_t since)
{
    const struct tk_inst *in = &t->inst[i];
    int known = 0;
    if (t->left.known) {
        if ((g->n_left > 0 || t->has_left) && !reaches(in, t->left.pos))
            return false;
        known += g->n_left;
    }
    for (int k = 0; k < t->n; k++) {
        const struct tk_inst *r = &t->inst[k];
        bool answers = is_known_since(r, since);
        if (k == g->primary || (!answers && !r->bound.known))
            continue;
        if (!reaches(in, answers ? r->received : r->bound.pos))
            return false;
        known++;
    }
    return known >= replicas_needed(t, g);
}

bool tk_holds_acknowledged(const struct tk_group *t, const struct vw_group *g, int i)
{
    int64_t since = t->step_at; /* the old term was dropped then */
    if (t->copies == 0)
        return true;
    if (!is_known_since(&t->inst[i], since))
        return false;
    return holds_all_of_primary(t, g, i, since) || holds_all_of_replicas(t, g, i, since);
}

/* ---- planned changes ---- */

/* Whether the replica has what the primary had a while ago. */
static bool keeps_up(const struct tk_group *t, int i)
{
    return t->marks.n < 2 || reaches(&t->inst[i], t->marks.older);
}

bool tk_can_hand_over_to(const struct tk_group *t, const struct vw_group *g, int i)
{
    return keeps_up(t, i) || holds_all_of_replicas(t, g, i, 0);
}

/* ---- positions of the primary ---- */

static void set_bound(struct tk_bound *b, const struct tk_inst *primary)
{
    if (!b->since || b->known || primary->asked_at < b->since)
        return;
    b->known = true;
    b->pos = primary->received;
}

static int64_t bound_since(const struct tk_bound *b)
{
    return b->known ? 0 : b->since;
}

int64_t tk_primary_pos_since(const struct tk_group *t, const struct vw_group *g)
{
    int64_t since = bound_since(&t->left);
    for (int i = 0; i < t->n; i++) {
        int64_t at = i == g->primary ? 0 : bound_since(&t->inst[i].bound);
        since = at > since ? at : since;
    }
    return since > t->serving_since ? since : t->serving_since;
}

void tk_note_primary_pos(struct tk_group *t, const struct vw_group *g, int64_t now)
{
    const struct tk_inst *p = &t->inst[g->primary];
    struct tk_marks *m = &t->marks;
    if (p->health != TK_UP || !p->reports_primary || p->asked_at < t->serving_since)
        return;
    set_bound(&t->left, p);
    for (int i = 0; i < t->n; i++) {
        if (i != g->primary)
            set_bound(&t->inst[i].bound, p);
    }
    if (m->n > 0 && now - m->at < t->cfg.catch_up_timeout_us)
        return;
    m->older = m->newer;
    m->newer = p->received;
    m->at = now;
    m->n++;
}

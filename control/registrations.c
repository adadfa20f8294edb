/* Instances that register themselves. A call that changes the view is acknowledged only after
 * the change is committed. */
#include "control/control.h"
#include "misc/clock.h"

/* The newest call of an instance that this node accepted. It is not replicated: another leader
 * starts without it, and the states that matter (draining, left) are in the view. When the
 * table is full, it is emptied. */
static struct ct_last_call *last_call_of(struct ct_node *n, const char *id)
{
    int i = ix_get(&n->last_call_index, id);
    if (i != IX_NONE)
        return &n->last_calls[i];
    if (n->n_last_calls == CT_MAX_LAST_CALLS) {
        ix_free(&n->last_call_index);
        n->last_call_index = (struct ix_index){0};
        n->n_last_calls = 0;
    }
    struct ct_last_call *s = &n->last_calls[n->n_last_calls];
    *s = (struct ct_last_call){0};
    sr_copy(s->id, sizeof(s->id), sr_from(id));
    ix_set(&n->last_call_index, id, n->n_last_calls++);
    return s;
}

static bool propose_change(
    struct ct_node *n, enum rg_result result, const struct vw_change *ch, struct nt_conn *c,
    void (*done)(struct ct_node *, struct nt_conn *, const struct er_err *), struct er_err *err)
{
    uint64_t index;
    if (result == RG_UNCHANGED || result == RG_STALE)
        return true;
    if (result == RG_REFUSE || !ct_propose(n, ch, &index, err))
        return false;
    FL_EVENT(&n->log, LG_INFO, "instance_changed", "instance=%s group=%s change=%s",
             ch->instance, ch->group, vw_change_name(ch->kind));
    ct_await_commit(n, c, index, done);
    return false;
}

bool ct_register(struct ct_node *n, const struct rg_heartbeat *b, struct nt_conn *c,
                 void (*done)(struct ct_node *, struct nt_conn *, const struct er_err *),
                 struct er_err *err)
{
    struct vw_change ch;
    struct er_err refused = {0};
    struct ct_last_call *s = last_call_of(n, b->inst.id);
    enum rg_result result = rg_on_heartbeat(&n->view, b, &s->last, &ch, &refused);
    if (!rg_needs_no_leader(result) && !ct_may_answer(n, err))
        return false;
    if (result == RG_REFUSE)
        *err = refused;
    /* Only for a call that is acknowledged now: one whose change is not committed may be
     * repeated. */
    if (result == RG_UNCHANGED)
        s->last = (struct rg_last_call){b->inst.born, b->seq};
    return propose_change(n, result, &ch, c, done, err);
}

bool ct_deregister(struct ct_node *n, const char *id, struct nt_conn *c,
                   void (*done)(struct ct_node *, struct nt_conn *, const struct er_err *),
                   struct er_err *err)
{
    struct vw_change ch;
    if (!ct_may_answer(n, err))
        return false;
    return propose_change(n, rg_on_leave(&n->view, id, &ch), &ch, c, done, err);
}

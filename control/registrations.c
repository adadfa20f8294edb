/* Instances that register themselves. What they tell is agreed before it is acknowledged. */
#include "control/control.h"
#include "misc/clock.h"

/* The newest call that this node took of an instance. Soft: another leader starts
 * without it, and what matters (drained, left) is in the view. */
static struct ct_last_call *seq_of(struct ct_node *n, const char *id)
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

static bool take(struct ct_node *n, enum rg_need need, const struct vw_change *ch,
                 struct nt_conn *c,
                 void (*done)(struct ct_node *, struct nt_conn *, const struct er_err *),
                 struct er_err *err)
{
    uint64_t index;
    if (need == RG_NOTHING || need == RG_LATE)
        return true;
    if (need == RG_REFUSE || !ct_propose(n, ch, &index, err))
        return false;
    FL_EVENT(&n->log, LG_INFO, "instance_changed", "instance=%s group=%s change=%s",
             ch->instance, ch->group, vw_change_name(ch->kind));
    ct_await_commit(n, c, index, done);
    return false;
}

bool ct_register(struct ct_node *n, const struct rg_beat *b, struct nt_conn *c,
                 void (*done)(struct ct_node *, struct nt_conn *, const struct er_err *),
                 struct er_err *err)
{
    struct vw_change ch;
    struct er_err refused = {0};
    struct ct_last_call *s = seq_of(n, b->inst.id);
    enum rg_need need = rg_beat(&n->view, b, &s->last, &ch, &refused);
    if (!rg_may_end(need) && !ct_may_answer(n, err))
        return false;
    if (need == RG_REFUSE)
        *err = refused;
    /* Only of a call that is acknowledged now: one whose change is not committed may come
     * again. */
    if (need == RG_NOTHING)
        s->last = (struct rg_last){b->inst.born, b->seq};
    return take(n, need, &ch, c, done, err);
}

bool ct_deregister(struct ct_node *n, const char *id, struct nt_conn *c,
                   void (*done)(struct ct_node *, struct nt_conn *, const struct er_err *),
                   struct er_err *err)
{
    struct vw_change ch;
    if (!ct_may_answer(n, err))
        return false;
    return take(n, rg_leave(&n->view, id, &ch), &ch, c, done, err);
}

#include "registry/registry.h"

#include <string.h>

static void name_change(struct vw_change *ch, enum vw_change_kind kind, const char *group,
                        const char *id)
{
    *ch = (struct vw_change){.kind = kind};
    sr_copy(ch->group, sizeof(ch->group), sr_from(group));
    sr_copy(ch->instance, sizeof(ch->instance), sr_from(id));
}

static bool moved(const struct vw_instance *a, const struct vw_instance *b)
{
    return strcmp(a->ip, b->ip) != 0 || a->port != b->port || strcmp(a->domain, b->domain) != 0;
}

/* A drained instance is not undrained by a call: what is planned to end, ends. One that has
 * started again is another. */
static enum rg_need known(const struct vw_group *g, int i, const struct rg_beat *b,
                          struct vw_change *ch)
{
    const struct vw_instance *has = &g->inst[i];
    if (b->inst.draining && !has->draining && b->inst.born <= has->born) {
        name_change(ch, VW_CH_DRAIN, g->name, has->id);
        ch->flag = true;
        return RG_CHANGE;
    }
    bool first_primary = b->primary && g->term == 0, again = b->inst.born > has->born;
    if (!moved(has, &b->inst) && !first_primary && !again)
        return RG_NOTHING;
    name_change(ch, VW_CH_JOIN, g->name, has->id);
    ch->inst = b->inst;
    ch->inst.draining = b->inst.draining || (has->draining && !again);
    ch->flag = b->primary;
    return RG_CHANGE;
}

/* An instance whose start is later has the address: a call of the one that had it before came
 * late. */
static bool succeeded(const struct vw_group *g, const struct rg_beat *b)
{
    for (int i = 0; b->inst.born && i < g->n; i++) {
        const struct vw_instance *has = &g->inst[i];
        bool same = strcmp(has->ip, b->inst.ip) == 0 && has->port == b->inst.port;
        if (same && strcmp(has->id, b->inst.id) != 0 && has->born > b->inst.born)
            return true;
    }
    return false;
}

/* A call of an earlier life, or an earlier call of this one. */
static bool is_old(const struct rg_beat *b, const struct rg_last *last)
{
    if (b->inst.born != last->born)
        return b->inst.born < last->born;
    return last->seq && b->seq <= last->seq;
}

enum rg_need rg_beat(const struct vw_view *v, const struct rg_beat *b,
                     const struct rg_last *last, struct vw_change *ch, struct er_err *err)
{
    const struct vw_group *g = vw_group(v, b->group);
    if (is_old(b, last))
        return RG_LATE;
    int i = g ? vw_instance(g, b->inst.id) : -1;
    if (i >= 0)
        return b->inst.born < g->inst[i].born ? RG_LATE : known(g, i, b, ch);
    if (vw_start_has_left(v, b->inst.id, b->inst.born) || (g && succeeded(g, b)))
        return RG_LATE;
    name_change(ch, VW_CH_JOIN, b->group, b->inst.id);
    ch->inst = b->inst;
    ch->flag = b->primary;
    return vw_check(v, ch, err) ? RG_CHANGE : RG_REFUSE;
}

bool rg_may_end(enum rg_need need)
{
    return need == RG_NOTHING;
}

enum rg_need rg_leave(const struct vw_view *v, const char *id, struct vw_change *ch)
{
    const struct vw_group *g = vw_owner(v, id);
    if (!g)
        return RG_LATE;
    name_change(ch, VW_CH_LEAVE, g->name, id);
    return RG_CHANGE;
}

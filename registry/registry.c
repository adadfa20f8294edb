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

/* A drained instance is not undrained by a call: what is planned to end, ends. */
static enum rg_need known(const struct vw_group *g, int i, const struct rg_beat *b,
                          struct vw_change *ch)
{
    const struct vw_instance *has = &g->inst[i];
    if (b->inst.draining && !has->draining) {
        name_change(ch, VW_CH_DRAIN, g->name, has->id);
        ch->flag = true;
        return RG_CHANGE;
    }
    bool first_primary = b->primary && g->term == 0;
    if (!moved(has, &b->inst) && !first_primary)
        return RG_NOTHING;
    name_change(ch, VW_CH_JOIN, g->name, has->id);
    ch->inst = b->inst;
    ch->inst.draining = has->draining;
    ch->flag = b->primary;
    return RG_CHANGE;
}

enum rg_need rg_beat(const struct vw_view *v, const struct rg_beat *b, uint64_t last_seq,
                     struct vw_change *ch, struct er_err *err)
{
    const struct vw_group *g = vw_group(v, b->group);
    if (last_seq && b->seq <= last_seq)
        return RG_LATE;
    int i = g ? vw_instance(g, b->inst.id) : -1;
    if (i >= 0)
        return known(g, i, b, ch);
    if (vw_has_left(v, b->inst.id))
        return RG_LATE;
    name_change(ch, VW_CH_JOIN, b->group, b->inst.id);
    ch->inst = b->inst;
    ch->flag = b->primary;
    return vw_check(v, ch, err) ? RG_CHANGE : RG_REFUSE;
}

enum rg_need rg_leave(const struct vw_view *v, const char *id, struct vw_change *ch)
{
    const struct vw_group *g = vw_owner(v, id);
    if (!g)
        return RG_LATE;
    name_change(ch, VW_CH_LEAVE, g->name, id);
    return RG_CHANGE;
}

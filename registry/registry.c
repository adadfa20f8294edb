#include "registry/registry.h"

#include <string.h>

static void init_change(struct vw_change *ch, enum vw_change_kind kind, const char *group,
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

/* Handles a heartbeat of an instance that the view has. A heartbeat does not end draining, as a
 * planned stop stays planned; only an instance that has restarted is not draining any more. */
static enum rg_result on_known_instance(const struct vw_group *g, int i,
                                        const struct rg_heartbeat *b, struct vw_change *ch)
{
    const struct vw_instance *stored = &g->inst[i];
    if (b->inst.draining && !stored->draining && b->inst.born <= stored->born) {
        init_change(ch, VW_CH_DRAIN, g->name, stored->id);
        ch->flag = true;
        return RG_CHANGE;
    }
    bool first_primary = b->primary && g->term == 0, restarted = b->inst.born > stored->born;
    if (!moved(stored, &b->inst) && !first_primary && !restarted)
        return RG_UNCHANGED;
    init_change(ch, VW_CH_JOIN, g->name, stored->id);
    ch->inst = b->inst;
    ch->inst.draining = b->inst.draining || (stored->draining && !restarted);
    ch->flag = b->primary;
    return RG_CHANGE;
}

/* Whether an instance that started later has the address: then this is a late call of the
 * instance that had the address before. */
static bool address_taken(const struct vw_group *g, const struct rg_heartbeat *b)
{
    for (int i = 0; b->inst.born && i < g->n; i++) {
        const struct vw_instance *stored = &g->inst[i];
        bool same = strcmp(stored->ip, b->inst.ip) == 0 && stored->port == b->inst.port;
        if (same && strcmp(stored->id, b->inst.id) != 0 && stored->born > b->inst.born)
            return true;
    }
    return false;
}

/* Whether the call is of an earlier process of the instance, or an earlier call of this one. */
static bool is_old(const struct rg_heartbeat *b, const struct rg_last_call *last)
{
    if (b->inst.born != last->born)
        return b->inst.born < last->born;
    return last->seq && b->seq <= last->seq;
}

enum rg_result rg_on_heartbeat(const struct vw_view *v, const struct rg_heartbeat *b,
                               const struct rg_last_call *last, struct vw_change *ch,
                               struct er_err *err)
{
    const struct vw_group *g = vw_group(v, b->group);
    if (is_old(b, last))
        return RG_STALE;
    int i = g ? vw_instance(g, b->inst.id) : -1;
    if (i >= 0)
        return b->inst.born < g->inst[i].born ? RG_STALE : on_known_instance(g, i, b, ch);
    if (vw_is_late(v, b->inst.id, b->inst.born) || (g && address_taken(g, b)))
        return RG_STALE;
    init_change(ch, VW_CH_JOIN, b->group, b->inst.id);
    ch->inst = b->inst;
    ch->flag = b->primary;
    return vw_check(v, ch, err) ? RG_CHANGE : RG_REFUSE;
}

bool rg_needs_no_leader(enum rg_result result)
{
    return result == RG_UNCHANGED;
}

enum rg_result rg_on_leave(const struct vw_view *v, const char *id, struct vw_change *ch)
{
    const struct vw_group *g = vw_owner(v, id);
    if (!g)
        return RG_STALE;
    init_change(ch, VW_CH_LEAVE, g->name, id);
    return RG_CHANGE;
}

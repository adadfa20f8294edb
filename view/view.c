#include "view/view.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void vw_init(struct vw_view *v)
{
    memset(v, 0, sizeof(*v));
}

void vw_free(struct vw_view *v)
{
    free(v->groups);
    free(v->intents);
    free(v->doc.text);
    vw_init(v);
}

/* First index whose name is not below `name`. */
static int lower_bound(const struct vw_view *v, const char *name)
{
    int lo = 0, hi = v->n;
    while (lo < hi) {
        int mid = (lo + hi) / 2;
        if (strcmp(v->groups[mid].name, name) < 0)
            lo = mid + 1;
        else
            hi = mid;
    }
    return lo;
}

struct vw_group *vw_group(const struct vw_view *v, const char *name)
{
    int i = lower_bound(v, name);
    if (i < v->n && strcmp(v->groups[i].name, name) == 0)
        return &v->groups[i];
    return NULL;
}

int vw_instance(const struct vw_group *g, const char *id)
{
    for (int i = 0; i < g->n; i++) {
        if (strcmp(g->inst[i].id, id) == 0)
            return i;
    }
    return -1;
}

/* Index of the newest entry with this id in the ring of departed instances, or -1. */
static int find_departed(const struct vw_view *v, const char *id)
{
    int n = v->n_departed < VW_MAX_DEPARTED ? v->n_departed : VW_MAX_DEPARTED;
    for (int k = 1; k <= n; k++) {
        int i = (v->n_departed - k) % VW_MAX_DEPARTED;
        if (strcmp(v->departed[i], id) == 0)
            return i;
    }
    return -1;
}

bool vw_has_left(const struct vw_view *v, const char *id)
{
    return find_departed(v, id) >= 0;
}

bool vw_start_has_left(const struct vw_view *v, const char *id, int64_t born)
{
    int i = find_departed(v, id);
    return i >= 0 && born <= v->departed_born[i];
}

const struct vw_group *vw_owner(const struct vw_view *v, const char *id)
{
    for (int i = 0; i < v->n; i++) {
        if (vw_instance(&v->groups[i], id) >= 0)
            return &v->groups[i];
    }
    return NULL;
}

const struct vw_intent *vw_intent(const struct vw_view *v, const char *id)
{
    for (int i = 0; i < v->n_intents; i++) {
        if (strcmp(v->intents[i].id, id) == 0)
            return &v->intents[i];
    }
    return NULL;
}

/* ---- checks ---- */

static bool check_group_def(const struct vw_view *v, const struct vw_group *d,
                            struct er_err *err)
{
    if (vw_group(v, d->name))
        return er_set(err, ER_CONFLICT, "group %s exists already", d->name);
    if (v->n >= VW_MAX_GROUPS)
        return er_set(err, ER_TOO_LARGE, "%d groups exist, the maximum", VW_MAX_GROUPS);
    if (d->n < 1)
        return er_set(err, ER_BAD_INPUT, "group %s has no instance", d->name);
    if (d->copies < 1 || d->copies > d->n)
        return er_set(err, ER_BAD_INPUT, "group %s: copies %d, expected 1..%d", d->name,
                      d->copies, d->n);
    for (int i = 0; i < d->n; i++) {
        const char *id = d->inst[i].id;
        const struct vw_group *owner = vw_owner(v, id);
        if (owner || vw_instance(d, id) != i)
            return er_set(err, ER_CONFLICT, "instance %s is in group %s already", id,
                          owner ? owner->name : d->name);
    }
    return true;
}

static bool check_term(const struct vw_group *g, const struct vw_change *ch, struct er_err *err)
{
    if (ch->term <= g->term)
        return er_set(err, ER_STALE_PLAN, "group %s: term %llu, expected above %llu", g->name,
                      (unsigned long long)ch->term, (unsigned long long)g->term);
    return true;
}

static bool check_pending(const struct vw_group *g, const struct vw_change *ch,
                          struct er_err *err)
{
    if (g->phase == VW_SERVING || ch->term != g->term)
        return er_set(err, ER_STALE_PLAN, "group %s: no pending change of primary to term %llu",
                      g->name, (unsigned long long)ch->term);
    return true;
}

static bool check_remove(const struct vw_group *g, int i, struct er_err *err)
{
    if (i == g->primary)
        return er_set(err, ER_BAD_INPUT, "%s is the primary of %s", g->inst[i].id, g->name);
    if (g->n - 1 < g->copies)
        return er_set(err, ER_BAD_INPUT, "group %s needs %d instances", g->name, g->copies);
    return true;
}

static bool check_intent(const struct vw_view *v, const struct vw_intent *it,
                         struct er_err *err)
{
    for (int i = 0; i < v->n_intents; i++) {
        const struct vw_intent *o = &v->intents[i];
        if (strcmp(o->id, it->id) == 0)
            return er_set(err, ER_CONFLICT, "intent %s exists already", it->id);
        if (o->number == it->number)
            return er_set(err, ER_CONFLICT,
                          "number %llu is used by %s for intent %s; plan again with the next",
                          (unsigned long long)it->number, o->who, o->id);
        if (o->state == VW_RUNNING && it->kind != VW_IT_RULE && o->kind != VW_IT_RULE &&
            strcmp(o->args, it->args) == 0)
            return er_set(err, ER_CONFLICT, "intent %s by %s already does the same", o->id,
                          o->who);
    }
    return true;
}

static bool check_document(const struct vw_view *v, const struct vw_change *ch,
                           struct er_err *err)
{
    if (ch->version <= v->doc.version)
        return er_set(err, ER_STALE_PLAN, "document version %llu, expected above %llu",
                      (unsigned long long)ch->version, (unsigned long long)v->doc.version);
    if (ch->text.len > VW_MAX_DOCUMENT_BYTES)
        return er_set(err, ER_TOO_LARGE, "document of %zu bytes, expected at most %d",
                      ch->text.len, VW_MAX_DOCUMENT_BYTES);
    return true;
}

/* Index of the instance at the same address, which a joining instance replaces, or -1. */
static int find_by_address(const struct vw_group *g, const struct vw_instance *in)
{
    for (int i = 0; i < g->n; i++) {
        if (g->inst[i].port == in->port && strcmp(g->inst[i].ip, in->ip) == 0)
            return i;
    }
    return -1;
}

static bool check_join(const struct vw_view *v, const struct vw_change *ch, struct er_err *err)
{
    const struct vw_group *g = vw_group(v, ch->group), *owner = vw_owner(v, ch->inst.id);
    if (owner && owner != g)
        return er_set(err, ER_CONFLICT, "instance %s is in group %s already", ch->inst.id,
                      owner->name);
    if (!ch->group[0] || (!g && v->n >= VW_MAX_GROUPS))
        return er_set(err, ER_TOO_LARGE, "group \"%s\": empty name, or %d groups exist",
                      ch->group, VW_MAX_GROUPS);
    if (vw_start_has_left(v, ch->inst.id, ch->inst.born))
        return er_set(err, ER_STALE_PLAN, "instance %s has left", ch->inst.id);
    if (g && !owner && g->n >= VW_MAX_INSTANCES && find_by_address(g, &ch->inst) < 0)
        return er_set(err, ER_CONFLICT, "group %s has %d instances, the maximum", g->name,
                      g->n);
    return true;
}

static bool check_add(const struct vw_view *v, const struct vw_group *g,
                      const struct vw_instance *in, struct er_err *err)
{
    const struct vw_group *owner = vw_owner(v, in->id);
    if (g->n >= VW_MAX_INSTANCES || vw_instance(g, in->id) >= 0)
        return er_set(err, ER_CONFLICT, "group %s: %s exists or %d instances are the maximum",
                      g->name, in->id, VW_MAX_INSTANCES);
    if (owner)
        return er_set(err, ER_CONFLICT, "instance %s is in group %s already", in->id,
                      owner->name);
    return true;
}

/* Whether the change names an instance that must be in the group. */
static bool needs_instance(enum vw_change_kind kind)
{
    return kind == VW_CH_HAND || kind == VW_CH_PRIMARY || kind == VW_CH_DRAIN ||
           kind == VW_CH_REMOVE || kind == VW_CH_LEAVE;
}

static bool check_on_group(const struct vw_view *v, const struct vw_change *ch,
                           struct er_err *err)
{
    const struct vw_group *g = vw_group(v, ch->group);
    if (!g)
        return er_set(err, ER_NO_DATABASE, "no group %s", ch->group);
    int i = vw_instance(g, ch->instance);
    if (needs_instance(ch->kind) && i < 0)
        return er_set(err, ER_BAD_INPUT, "group %s has no instance %s", ch->group,
                      ch->instance);
    switch (ch->kind) {
    case VW_CH_REPLACE:
        return check_term(g, ch, err);
    case VW_CH_HAND:
        if (g->phase != VW_SERVING)
            return er_set(err, ER_STALE_PLAN, "group %s is changing its primary", g->name);
        return check_term(g, ch, err);
    case VW_CH_ABANDON:
        if (g->phase != VW_HANDING)
            return er_set(err, ER_STALE_PLAN, "group %s: no planned change to abandon",
                          g->name);
        return check_pending(g, ch, err);
    case VW_CH_PRIMARY:
        return check_pending(g, ch, err);
    case VW_CH_RULE:
        if (ch->max_age_ms < 0)
            return er_set(err, ER_BAD_INPUT, "max_age_ms %lld, expected 0 or more",
                          (long long)ch->max_age_ms);
        return true;
    case VW_CH_ADD:
        return check_add(v, g, &ch->inst, err);
    case VW_CH_REMOVE:
        return check_remove(g, i, err);
    default:
        return true;
    }
}

bool vw_check(const struct vw_view *v, const struct vw_change *ch, struct er_err *err)
{
    switch (ch->kind) {
    case VW_CH_GROUP:
        return check_group_def(v, &ch->def, err);
    case VW_CH_DOCUMENT:
        return check_document(v, ch, err);
    case VW_CH_JOIN:
        return check_join(v, ch, err);
    case VW_CH_INTENT:
        return check_intent(v, &ch->intent, err);
    case VW_CH_PROGRESS: {
        const struct vw_intent *it = vw_intent(v, ch->intent.id);
        if (!it || it->state != VW_RUNNING || ch->intent.step < it->step)
            return er_set(err, ER_STALE_PLAN, "intent %s is not at step %d", ch->intent.id,
                          ch->intent.step);
        return true;
    }
    default:
        return check_on_group(v, ch, err);
    }
}

/* ---- applying ---- */

static void insert_group(struct vw_view *v, const struct vw_group *d)
{
    int at = lower_bound(v, d->name);
    v->groups = sr_realloc(v->groups, sizeof(*v->groups) * (size_t)(v->n + 1));
    memmove(&v->groups[at + 1], &v->groups[at], sizeof(*v->groups) * (size_t)(v->n - at));
    v->groups[at] = *d;
    v->n++;
}

/* When the list is full, the oldest finished intent is dropped, or the newest if all are
 * running. */
static void insert_intent(struct vw_view *v, const struct vw_intent *it, uint64_t index)
{
    if (v->n_intents >= VW_MAX_INTENTS) {
        int evicted = 0;
        while (evicted < v->n_intents - 1 && v->intents[evicted].state == VW_RUNNING)
            evicted++;
        memmove(&v->intents[evicted], &v->intents[evicted + 1],
                sizeof(*v->intents) * (size_t)(v->n_intents - evicted - 1));
        v->n_intents--;
    }
    v->intents = sr_realloc(v->intents, sizeof(*v->intents) * (size_t)(v->n_intents + 1));
    v->intents[v->n_intents] = *it;
    v->intents[v->n_intents].confirmed_at = index;
    v->n_intents++;
}

static void add_start(struct vw_group *g, struct ps_start s)
{
    if (g->n_starts == VW_MAX_STARTS) {
        memmove(&g->starts[0], &g->starts[1], sizeof(g->starts[0]) * (VW_MAX_STARTS - 1));
        g->n_starts--;
    }
    g->starts[g->n_starts++] = s;
}

static void remove_instance(struct vw_group *g, int i)
{
    memmove(&g->inst[i], &g->inst[i + 1], sizeof(g->inst[0]) * (size_t)(g->n - i - 1));
    g->n--;
    if (g->primary > i)
        g->primary--;
    if (g->target > i)
        g->target--;
}

static void set_primary(struct vw_group *g, int i, uint64_t term, uint64_t pos)
{
    g->phase = VW_SERVING;
    g->primary = i;
    g->target = -1;
    g->term = term;
    add_start(g, (struct ps_start){term, pos});
}

/* Replicas that left stand at the end of inst[], the newest last. */
static struct vw_instance *left_slot(struct vw_group *g, int k)
{
    return &g->inst[VW_MAX_INSTANCES - 1 - k];
}

const struct vw_instance *vw_left(const struct vw_group *g, int k)
{
    return left_slot((struct vw_group *)g, k);
}

/* Drops the oldest of them, so that `n` instances have room. */
static void make_room(struct vw_group *g, int n)
{
    if (g->n_left > VW_MAX_INSTANCES - n)
        g->n_left = (uint8_t)(VW_MAX_INSTANCES - n);
}

void vw_add_left(struct vw_group *g, const char *ip, int port)
{
    make_room(g, g->n + 1);
    for (int k = g->n_left; k > 0; k--)
        *left_slot(g, k) = *left_slot(g, k - 1);
    *left_slot(g, 0) = (struct vw_instance){.port = port};
    sr_copy(left_slot(g, 0)->ip, sizeof(left_slot(g, 0)->ip), sr_from(ip));
    g->n_left++;
}

/* An instance has registered at the address. */
static void remove_left(struct vw_group *g, const struct vw_instance *in)
{
    int kept = 0;
    for (int k = 0; k < g->n_left; k++) {
        const struct vw_instance *o = vw_left(g, k);
        if (o->port != in->port || strcmp(o->ip, in->ip) != 0)
            *left_slot(g, kept++) = *o;
    }
    g->n_left = (uint8_t)kept;
}

/* Removes the instance. If it was the primary, the group has no primary until one is chosen
 * under the next term. */
static void apply_leave(struct vw_view *v, struct vw_group *g, const char *leaving_id)
{
    char id[VW_NAME]; /* copied, as `leaving_id` may point into the group */
    sr_copy(id, sizeof(id), sr_from(leaving_id));
    int i = vw_instance(g, id);
    bool was_primary = i == g->primary;
    int at = v->n_departed++ % VW_MAX_DEPARTED;
    sr_copy(v->departed[at], VW_NAME, sr_from(id));
    v->departed_born[at] = g->inst[i].born;
    struct vw_instance left = g->inst[i];
    remove_instance(g, i);
    if (!was_primary) {
        vw_add_left(g, left.ip, left.port);
        return;
    }
    g->primary = -1;
    g->target = -1;
    g->phase = VW_REPLACING;
    g->term++;
}

static void apply_on_group(struct vw_view *v, const struct vw_change *ch)
{
    struct vw_group *g = vw_group(v, ch->group);
    int i = vw_instance(g, ch->instance);
    switch (ch->kind) {
    case VW_CH_REPLACE:
        g->phase = VW_REPLACING;
        g->term = ch->term;
        break;
    case VW_CH_HAND:
        g->phase = VW_HANDING;
        g->term = ch->term;
        g->target = i;
        break;
    case VW_CH_ABANDON:
        /* The old primary is promoted under the new term, because terms never decrease. */
        g->phase = VW_REPLACING;
        break;
    case VW_CH_PRIMARY:
        set_primary(g, i, ch->term, ch->pos);
        break;
    case VW_CH_DRAIN:
        g->inst[i].draining = ch->flag;
        break;
    case VW_CH_RULE:
        g->max_age_ms = ch->max_age_ms;
        break;
    case VW_CH_ADD:
        make_room(g, g->n + 1);
        g->inst[g->n++] = ch->inst;
        break;
    case VW_CH_REMOVE:
        remove_instance(g, i);
        break;
    case VW_CH_LEAVE:
        apply_leave(v, g, ch->instance);
        break;
    default:
        break;
    }
}

static void apply_join(struct vw_view *v, const struct vw_change *ch)
{
    struct vw_group *g = vw_group(v, ch->group);
    if (!g) {
        struct vw_group fresh = {.phase = VW_SERVING, .primary = -1, .target = -1, .copies = 1};
        sr_copy(fresh.name, sizeof(fresh.name), sr_from(ch->group));
        insert_group(v, &fresh);
        g = vw_group(v, ch->group);
    }
    int other = find_by_address(g, &ch->inst);
    if (other >= 0 && strcmp(g->inst[other].id, ch->inst.id) != 0)
        apply_leave(v, g, g->inst[other].id);
    int i = vw_instance(g, ch->inst.id);
    remove_left(g, &ch->inst);
    if (i < 0) {
        make_room(g, g->n + 1);
        i = g->n++;
    }
    g->inst[i] = ch->inst;
    /* An instance's own report makes it the primary only in a group that never had one. */
    if (ch->flag && g->term == 0)
        set_primary(g, i, 1, 0);
}

static void apply_document(struct vw_view *v, const struct vw_change *ch)
{
    char *text = sr_alloc(ch->text.len + 1);
    memcpy(text, ch->text.p, ch->text.len);
    free(v->doc.text);
    v->doc = (struct vw_document){ch->version, text, ch->text.len};
}

static void apply_progress(struct vw_view *v, const struct vw_intent *from)
{
    for (int i = 0; i < v->n_intents; i++) {
        struct vw_intent *it = &v->intents[i];
        if (strcmp(it->id, from->id) != 0)
            continue;
        it->step = from->step;
        it->state = from->state;
        memcpy(it->note, from->note, sizeof(it->note));
    }
}

bool vw_apply(struct vw_view *v, uint64_t index, const struct vw_change *ch, struct er_err *err)
{
    if (index <= v->generation)
        return er_set(err, ER_STALE_PLAN, "change index %llu, expected above generation %llu",
                      (unsigned long long)index, (unsigned long long)v->generation);
    if (!vw_check(v, ch, err))
        return false;
    switch (ch->kind) {
    case VW_CH_GROUP:
        insert_group(v, &ch->def);
        break;
    case VW_CH_DOCUMENT:
        apply_document(v, ch);
        break;
    case VW_CH_JOIN:
        apply_join(v, ch);
        break;
    case VW_CH_INTENT:
        insert_intent(v, &ch->intent, index);
        break;
    case VW_CH_PROGRESS:
        apply_progress(v, &ch->intent);
        break;
    default:
        apply_on_group(v, ch);
        break;
    }
    v->generation = index;
    return true;
}

#include "intent/intent.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

/* ---- parsing ---- */

static bool get_text(const json_t *o, const char *key, char *dst, size_t cap,
                     struct er_err *err)
{
    const json_t *v = json_object_get(o, key);
    struct sr_str s = {json_string_value(v), json_string_length(v)};
    if (!s.p || s.len == 0 || !sr_copy(dst, cap, s))
        return er_set(err, ER_BAD_INPUT, "%s: expected a string of 1 to %zu bytes", key,
                      cap - 1);
    return true;
}

static bool parse_instances(const json_t *o, struct it_request *r, struct er_err *err)
{
    struct vw_group g;
    json_t *group_json =
        json_pack("{s:s,s:O}", "name", r->group, "instances", json_object_get(o, "instances"));
    if (!group_json)
        return er_set(err, ER_BAD_INPUT, "instances: expected an array");
    bool ok = vw_group_parse(group_json, &g, err);
    json_decref(group_json);
    if (!ok)
        return false;
    r->n = g.n;
    memcpy(r->inst, g.inst, sizeof(g.inst));
    return true;
}

static bool parse_hex_id(const json_t *v, uint64_t *id)
{
    const char *s = json_string_value(v);
    char *end = NULL;
    *id = s ? strtoull(s, &end, 16) : 0;
    return s && *s && !*end && *id;
}

static bool parse_member(const json_t *o, struct it_request *r, struct er_err *err)
{
    const json_t *m = json_object_get(o, "new");
    if (!parse_hex_id(json_object_get(o, "old"), &r->old_id))
        return er_set(err, ER_BAD_INPUT, "old: expected a member id in hexadecimal");
    if (!parse_hex_id(json_object_get(m, "id"), &r->new_member.id))
        return er_set(err, ER_BAD_INPUT,
                      "new.id: expected a member id in hexadecimal "
                      "(ferryctl status of the new node shows it)");
    r->new_member.port = (int)json_integer_value(json_object_get(m, "port"));
    if (r->new_member.port < 1 || r->new_member.port > 65535)
        return er_set(err, ER_BAD_INPUT, "new.port: expected 1..65535");
    return get_text(m, "name", r->new_member.name, sizeof(r->new_member.name), err) &&
           get_text(m, "ip", r->new_member.ip, sizeof(r->new_member.ip), err) &&
           get_text(m, "domain", r->new_member.domain, sizeof(r->new_member.domain), err);
}

static bool parse_kind(const json_t *o, enum vw_intent_kind *kind, struct er_err *err)
{
    const char *s = json_string_value(json_object_get(o, "kind"));
    for (int k = VW_IT_MOVE; s && k < VW_IT_COUNT; k++) {
        if (strcmp(s, vw_intent_name(k)) == 0) {
            *kind = (enum vw_intent_kind)k;
            return true;
        }
    }
    return er_set(err, ER_BAD_INPUT, "kind: expected move, drain, undrain, rule or replace");
}

bool it_parse(const json_t *o, struct it_request *r, struct er_err *err)
{
    memset(r, 0, sizeof(*r));
    if (!parse_kind(o, &r->kind, err))
        return false;
    if (r->kind == VW_IT_REPLACE)
        return parse_member(o, r, err);
    if (!get_text(o, "group", r->group, sizeof(r->group), err))
        return false;
    if (r->kind == VW_IT_DRAIN || r->kind == VW_IT_UNDRAIN)
        return get_text(o, "instance", r->instance, sizeof(r->instance), err);
    if (r->kind == VW_IT_MOVE)
        return parse_instances(o, r, err);
    const json_t *age = json_object_get(o, "max_age_ms");
    if (!json_is_integer(age) || json_integer_value(age) < 0)
        return er_set(err, ER_BAD_INPUT, "max_age_ms: expected a whole number, 0 or more");
    r->max_age_ms = json_integer_value(age);
    return true;
}

/* ---- planning ---- */

static void step(struct it_plan *p, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

static void step(struct it_plan *p, const char *fmt, ...)
{
    if (p->n == VW_MAX_STEPS)
        return;
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(p->step[p->n++], IT_MAX_STEP_BYTES, fmt, ap);
    va_end(ap);
}

static bool is_in_new_set(const struct it_request *r, const char *id)
{
    for (int i = 0; i < r->n; i++) {
        if (strcmp(r->inst[i].id, id) == 0)
            return true;
    }
    return false;
}

static bool plan_drain(const struct vw_group *g, const struct it_request *r, struct it_plan *p,
                       struct er_err *err)
{
    int i = vw_instance(g, r->instance);
    if (i < 0)
        return er_set(err, ER_BAD_INPUT, "group %s has no instance %s", g->name, r->instance);
    int others = 0;
    for (int k = 0; k < g->n; k++)
        others += k != i && !g->inst[k].draining;
    if (others < g->copies)
        return er_set(err, ER_BAD_INPUT,
                      "draining %s leaves %d instances, writes need %d: add one first",
                      r->instance, others, g->copies);
    step(p, "no new work goes to %s", r->instance);
    if (i == g->primary)
        step(p, "writes of %s are parked, the primary moves off %s, writes go on", g->name,
             r->instance);
    step(p, "what runs there ends; %s may be stopped", r->instance);
    return true;
}

static bool plan_undrain(const struct vw_group *g, const struct it_request *r,
                         struct it_plan *p, struct er_err *err)
{
    int i = vw_instance(g, r->instance);
    if (i < 0)
        return er_set(err, ER_BAD_INPUT, "group %s has no instance %s", g->name, r->instance);
    if (!g->inst[i].draining)
        return er_set(err, ER_BAD_INPUT, "%s is not drained", r->instance);
    step(p, "%s gets work again, as a replica", r->instance);
    return true;
}

static bool plan_move(const struct vw_view *v, const struct vw_group *g,
                      const struct it_request *r, struct it_plan *p, struct er_err *err)
{
    int added = 0, n_old = 0;
    if (r->n < g->copies)
        return er_set(err, ER_BAD_INPUT, "%d instances, expected at least %d", r->n, g->copies);
    for (int i = 0; i < r->n; i++) {
        if (vw_instance(g, r->inst[i].id) >= 0)
            continue;
        const struct vw_group *owner = vw_owner(v, r->inst[i].id);
        if (owner)
            return er_set(err, ER_CONFLICT, "instance %s is in group %s already", r->inst[i].id,
                          owner->name);
        added++;
        step(p, "add %s (%s:%d, %s) as a replica", r->inst[i].id, r->inst[i].ip,
             r->inst[i].port, r->inst[i].domain);
    }
    if (g->n + added > VW_MAX_INSTANCES)
        return er_set(err, ER_TOO_LARGE, "%d instances during the move, expected at most %d",
                      g->n + added, VW_MAX_INSTANCES);
    step(p, "wait until the new instances hold everything");
    for (int i = 0; i < g->n; i++)
        n_old += !is_in_new_set(r, g->inst[i].id);
    if (n_old)
        step(p, "drain %d old instances; the primary moves with writes parked", n_old);
    if (n_old)
        step(p, "remove them once every entry node acts on that");
    return true;
}

static bool plan_replace(const struct qr_members *m, const struct it_request *r,
                         struct it_plan *p, struct er_err *err)
{
    const struct qr_member *old = NULL;
    for (uint32_t i = 0; i < m->n; i++) {
        if (m->m[i].id == r->old_id)
            old = &m->m[i];
        if (m->m[i].id == r->new_member.id)
            return er_set(err, ER_CONFLICT, "%s is a member already", m->m[i].name);
    }
    if (!old)
        return er_set(err, ER_BAD_INPUT, "no control member %llx",
                      (unsigned long long)r->old_id);
    step(p, "%s (%s:%d) joins as a learner", r->new_member.name, r->new_member.ip,
         r->new_member.port);
    step(p, "wait until it holds everything, then it votes");
    step(p, "%s is removed", old->name);
    return true;
}

/* Digest over the request, the steps, and the state that the plan depends on. */
static void digest(const struct vw_group *g, const struct qr_members *m,
                   const struct it_request *r, struct it_plan *p)
{
    XXH64_state_t *st = XXH64_createState();
    XXH64_reset(st, 1);
    XXH64_update(st, r, sizeof(*r));
    if (g)
        XXH64_update(st, g, sizeof(*g));
    else
        XXH64_update(st, m, sizeof(*m));
    for (int i = 0; i < p->n; i++)
        XXH64_update(st, p->step[i], strlen(p->step[i]));
    snprintf(p->digest, sizeof(p->digest), "%016llx", (unsigned long long)XXH64_digest(st));
    XXH64_freeState(st);
}

static uint64_t next_number(const struct vw_view *v)
{
    uint64_t n = 0;
    for (int i = 0; i < v->n_intents; i++) {
        if (v->intents[i].number > n)
            n = v->intents[i].number;
    }
    return n + 1;
}

bool it_plan(const struct vw_view *v, const struct qr_members *m, const struct it_request *r,
             struct it_plan *p, struct er_err *err)
{
    memset(p, 0, sizeof(*p));
    p->generation = v->generation;
    p->number = next_number(v);
    const struct vw_group *g = NULL;
    bool ok;
    if (r->kind == VW_IT_REPLACE) {
        ok = plan_replace(m, r, p, err);
    } else {
        g = vw_group(v, r->group);
        if (!g)
            return er_set(err, ER_NO_DATABASE, "no group %s", r->group);
        if (r->kind == VW_IT_DRAIN) {
            ok = plan_drain(g, r, p, err);
        } else if (r->kind == VW_IT_UNDRAIN) {
            ok = plan_undrain(g, r, p, err);
        } else if (r->kind == VW_IT_MOVE) {
            ok = plan_move(v, g, r, p, err);
        } else {
            step(p, "reads of %s may accept an age of up to %lld ms (now %lld)", g->name,
                 (long long)r->max_age_ms, (long long)g->max_age_ms);
            ok = true;
        }
    }
    if (ok)
        digest(g, m, r, p);
    return ok;
}

/* ---- the next action ---- */

static void wait_for(struct it_action *a, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void wait_for(struct it_action *a, const char *fmt, ...)
{
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(a->note, sizeof(a->note), fmt, ap);
    va_end(ap);
    a->kind = IT_WAIT;
}

static void change(struct it_action *a, enum vw_change_kind kind, const struct vw_group *g,
                   const char *inst)
{
    a->kind = IT_CHANGE;
    a->change.kind = kind;
    snprintf(a->change.group, sizeof(a->change.group), "%s", g->name);
    snprintf(a->change.instance, sizeof(a->change.instance), "%s", inst ? inst : "");
}

/* Hands the primary's role to an instance that stays in the group and is caught up. */
static void next_hand_over(const struct vw_group *g, const struct it_request *r,
                           const struct it_facts *f, struct it_action *a)
{
    if (!f->settled) {
        wait_for(a, "a new leader deals out no connections yet; %s can wait", g->name);
        return;
    }
    for (int i = 0; i < g->n; i++) {
        const struct vw_instance *in = &g->inst[i];
        bool wanted = r->kind != VW_IT_MOVE || is_in_new_set(r, in->id);
        if (i == g->primary || in->draining || !wanted || !f->caught_up(f->ud, g->name, in->id))
            continue;
        change(a, VW_CH_HAND, g, in->id);
        a->change.term = g->term + 1;
        return;
    }
    wait_for(a, "no instance of %s holds enough to take over", g->name);
}

static void next_drain(const struct vw_group *g, const struct it_request *r,
                       const struct it_facts *f, struct it_action *a)
{
    int i = vw_instance(g, r->instance);
    if (i < 0) {
        a->kind = IT_DONE;
    } else if (!g->inst[i].draining) {
        change(a, VW_CH_DRAIN, g, r->instance);
        a->change.flag = true;
    } else if (g->phase != VW_SERVING) {
        wait_for(a, "%s is changing its primary", g->name);
    } else if (i == g->primary) {
        next_hand_over(g, r, f, a);
    } else if (!f->in_force) {
        wait_for(a, "not every entry node acts on it yet");
    } else {
        a->kind = IT_DONE;
    }
}

static void next_undrain(const struct vw_group *g, const struct it_request *r,
                         struct it_action *a)
{
    int i = vw_instance(g, r->instance);
    a->kind = IT_DONE;
    if (i >= 0 && g->inst[i].draining)
        change(a, VW_CH_DRAIN, g, r->instance); /* flag not set: draining ends */
}

static bool next_addition(const struct vw_group *g, const struct it_request *r,
                          struct it_action *a)
{
    for (int i = 0; i < r->n; i++) {
        if (vw_instance(g, r->inst[i].id) >= 0)
            continue;
        change(a, VW_CH_ADD, g, NULL);
        a->change.inst = r->inst[i];
        return true;
    }
    return false;
}

static bool all_caught_up(const struct vw_group *g, const struct it_request *r,
                          const struct it_facts *f)
{
    for (int i = 0; i < g->n; i++) {
        if (i != g->primary && is_in_new_set(r, g->inst[i].id) &&
            !f->caught_up(f->ud, g->name, g->inst[i].id))
            return false;
    }
    return true;
}

static int find_old(const struct vw_group *g, const struct it_request *r, bool draining)
{
    for (int i = 0; i < g->n; i++) {
        if (!is_in_new_set(r, g->inst[i].id) && g->inst[i].draining == draining &&
            i != g->primary)
            return i;
    }
    return -1;
}

static void next_move(const struct vw_group *g, const struct it_request *r,
                      const struct it_facts *f, struct it_action *a)
{
    int i;
    if (g->phase != VW_SERVING) {
        wait_for(a, "%s is changing its primary", g->name);
    } else if (next_addition(g, r, a)) {
        return;
    } else if (!all_caught_up(g, r, f)) {
        wait_for(a, "the new instances of %s are catching up", g->name);
    } else if (!is_in_new_set(r, g->inst[g->primary].id)) {
        next_hand_over(g, r, f, a);
    } else if ((i = find_old(g, r, false)) >= 0) {
        change(a, VW_CH_DRAIN, g, g->inst[i].id);
        a->change.flag = true;
    } else if ((i = find_old(g, r, true)) < 0) {
        a->kind = IT_DONE;
    } else if (!f->in_force) {
        /* Until then a node may count the leaving instance as a copy of a write. */
        wait_for(a, "not every entry node acts on the drain yet");
    } else {
        change(a, VW_CH_REMOVE, g, g->inst[i].id);
    }
}

static void next_rule(const struct vw_group *g, const struct it_request *r, struct it_action *a)
{
    if (g->max_age_ms == r->max_age_ms) {
        a->kind = IT_DONE;
        return;
    }
    change(a, VW_CH_RULE, g, NULL);
    a->change.max_age_ms = r->max_age_ms;
}

static void next_replace(const struct it_request *r, const struct it_facts *f,
                         struct it_action *a)
{
    const struct qr_member *fresh = NULL;
    bool old = false;
    for (uint32_t i = 0; i < f->members->n; i++) {
        if (f->members->m[i].id == r->new_member.id)
            fresh = &f->members->m[i];
        old = old || f->members->m[i].id == r->old_id;
    }
    a->member = r->new_member;
    if (!fresh) {
        a->kind = old ? IT_ADD : IT_DONE;
    } else if (!fresh->voter && !f->learner_ready(f->ud, fresh->id)) {
        wait_for(a, "learner %s is catching up", fresh->name);
    } else if (!fresh->voter) {
        a->kind = IT_VOTER;
    } else if (old) {
        a->kind = IT_REMOVE;
        a->member.id = r->old_id;
    } else {
        a->kind = IT_DONE;
    }
}

void it_next(const struct vw_view *v, const struct it_request *r, const struct it_facts *f,
             struct it_action *a)
{
    memset(a, 0, sizeof(*a));
    if (r->kind == VW_IT_REPLACE) {
        next_replace(r, f, a);
        return;
    }
    const struct vw_group *g = vw_group(v, r->group);
    if (!g) {
        a->kind = IT_FAIL;
        snprintf(a->note, sizeof(a->note), "group %s is gone", r->group);
    } else if (r->kind == VW_IT_DRAIN) {
        next_drain(g, r, f, a);
    } else if (r->kind == VW_IT_UNDRAIN) {
        next_undrain(g, r, a);
    } else if (r->kind == VW_IT_MOVE) {
        next_move(g, r, f, a);
    } else {
        next_rule(g, r, a);
    }
}

/* The view and its changes as JSON text. */
#include <stdio.h>
#include <string.h>

#include "view/view.h"

static const char *const phase_names[] = {"serving", "replacing", "handing"};
static const char *const change_names[VW_CH_COUNT] = {
    "group", "replace", "hand",   "abandon",  "primary",  "drain", "rule",
    "add",   "remove",  "intent", "progress", "document", "join",  "leave"};
static const char *const intent_names[VW_IT_COUNT] = {"move", "drain", "rule", "replace",
                                                      "undrain"};
static const char *const state_names[] = {"running", "done", "failed"};

const char *vw_phase_name(enum vw_phase p)
{
    return phase_names[p];
}

const char *vw_change_name(enum vw_change_kind k)
{
    return change_names[k];
}

const char *vw_intent_name(enum vw_intent_kind k)
{
    return intent_names[k];
}

const char *vw_state_name(enum vw_intent_state s)
{
    return state_names[s];
}

/* ---- reading fields, with the key and what was expected in the error ---- */

static bool get_str(const json_t *j, const char *key, char *dst, size_t cap, bool required,
                    struct er_err *err)
{
    const json_t *v = json_object_get(j, key);
    if (!v && !required)
        return true;
    if (!json_is_string(v))
        return er_set(err, ER_BAD_INPUT, "%s: expected a string", key);
    struct sr_str s = {json_string_value(v), json_string_length(v)};
    if (!sr_copy(dst, cap, s))
        return er_set(err, ER_TOO_LARGE, "%s: %zu bytes, expected under %zu", key, s.len, cap);
    return true;
}

static bool get_int(const json_t *j, const char *key, int64_t lo, int64_t hi, int64_t *out,
                    struct er_err *err)
{
    const json_t *v = json_object_get(j, key);
    if (!v)
        return true;
    if (!json_is_integer(v))
        return er_set(err, ER_BAD_INPUT, "%s: expected a whole number", key);
    int64_t n = json_integer_value(v);
    if (n < lo || n > hi)
        return er_set(err, ER_BAD_INPUT, "%s: %lld, expected %lld..%lld", key, (long long)n,
                      (long long)lo, (long long)hi);
    *out = n;
    return true;
}

static bool get_enum(const json_t *j, const char *key, const char *const *names, int n,
                     int *out, struct er_err *err)
{
    const char *s = json_string_value(json_object_get(j, key));
    for (int i = 0; s && i < n; i++) {
        if (strcmp(s, names[i]) == 0) {
            *out = i;
            return true;
        }
    }
    return er_set(err, ER_BAD_INPUT, "%s: unknown value '%s'", key, s ? s : "");
}

/* ---- instances and groups ---- */

static json_t *instance_json(const struct vw_instance *in)
{
    json_t *o = json_pack("{s:s,s:s,s:i,s:s,s:b,s:i,s:i}", "id", in->id, "ip", in->ip, "port",
                          in->port, "domain", in->domain, "draining", in->draining, "max_conns",
                          in->max_conns, "slots", in->slots);
    if (in->born)
        json_object_set_new(o, "born", json_integer(in->born));
    return o;
}

static bool instance_parse(const json_t *j, struct vw_instance *in, struct er_err *err)
{
    int64_t port = 0, conns = 25, slots = 3, born = 0;
    memset(in, 0, sizeof(*in));
    if (!get_str(j, "id", in->id, sizeof(in->id), true, err) ||
        !get_str(j, "ip", in->ip, sizeof(in->ip), true, err) ||
        !get_str(j, "domain", in->domain, sizeof(in->domain), false, err) ||
        !get_int(j, "port", 1, 65535, &port, err) ||
        !get_int(j, "max_conns", 1, 100000, &conns, err) ||
        !get_int(j, "slots", 1, 10000, &slots, err) ||
        !get_int(j, "born", 0, INT64_MAX, &born, err))
        return false;
    in->born = born;
    in->port = (int)port;
    in->max_conns = (int)conns;
    in->slots = (int)slots;
    in->draining = json_is_true(json_object_get(j, "draining"));
    return true;
}

/* The departed instances, oldest first: an id, or a pair of id and start. */
static json_t *departed_json(const struct vw_view *v)
{
    json_t *a = json_array();
    int n = v->n_departed < VW_MAX_DEPARTED ? v->n_departed : VW_MAX_DEPARTED;
    for (int i = 0; i < n; i++) {
        int at = (v->n_departed - n + i) % VW_MAX_DEPARTED;
        json_t *name = json_string(v->departed[at]);
        if (v->departed_born[at])
            name = json_pack("[o,I]", name, (json_int_t)v->departed_born[at]);
        json_array_append_new(a, name);
    }
    return a;
}

static bool departed_parse(const json_t *a, struct vw_view *v, struct er_err *err)
{
    size_t i;
    json_t *x;
    json_array_foreach(a, i, x)
    {
        const json_t *name = json_is_array(x) ? json_array_get(x, 0) : x;
        struct sr_str s = {json_string_value(name), json_string_length(name)};
        if (i >= VW_MAX_DEPARTED || !s.p || !sr_copy(v->departed[i], VW_NAME, s))
            return er_set(err, ER_BAD_INPUT, "left: expected at most %d names",
                          VW_MAX_DEPARTED);
        v->departed_born[i] = json_integer_value(json_array_get(x, 1));
        v->n_departed++;
    }
    return true;
}

static json_t *left_json(const struct vw_group *g)
{
    json_t *a = json_array();
    for (int k = g->n_left - 1; k >= 0; k--)
        json_array_append_new(a, json_pack("[s,i]", vw_left(g, k)->ip, vw_left(g, k)->port));
    return a;
}

json_t *vw_group_json(const struct vw_group *g)
{
    json_t *inst = json_array();
    for (int i = 0; i < g->n; i++)
        json_array_append_new(inst, instance_json(&g->inst[i]));
    json_t *starts = json_array();
    for (int i = 0; i < g->n_starts; i++)
        json_array_append_new(starts, json_pack("[I,I]", (json_int_t)g->starts[i].term,
                                                (json_int_t)g->starts[i].pos));
    json_t *j =
        json_pack("{s:s,s:s,s:I,s:i,s:i,s:o,s:o,s:I,s:i,s:b}", "name", g->name, "phase",
                  phase_names[g->phase], "term", (json_int_t)g->term, "primary", g->primary,
                  "target", g->target, "instances", inst, "starts", starts, "max_age_ms",
                  (json_int_t)g->max_age_ms, "copies", g->copies, "degraded", g->degraded);
    if (g->n_left > 0)
        json_object_set_new(j, "left", left_json(g));
    return j;
}

/* Oldest first. */
static bool left_parse(const json_t *a, struct vw_group *g, struct er_err *err)
{
    size_t n = json_array_size(a);
    if (n > (size_t)(VW_MAX_INSTANCES - g->n))
        return er_set(err, ER_TOO_LARGE, "left: %zu, expected at most %d", n,
                      VW_MAX_INSTANCES - g->n);
    for (size_t i = 0; i < n; i++) {
        const json_t *pair = json_array_get(a, i);
        const char *ip = json_string_value(json_array_get(pair, 0));
        if (!ip)
            return er_set(err, ER_BAD_INPUT, "left: expected pairs of address and port");
        vw_add_left(g, ip, (int)json_integer_value(json_array_get(pair, 1)));
    }
    return true;
}

static bool starts_parse(const json_t *a, struct vw_group *g, struct er_err *err)
{
    size_t n = json_array_size(a);
    if (n > VW_MAX_STARTS)
        return er_set(err, ER_TOO_LARGE, "starts: %zu, expected at most %d", n, VW_MAX_STARTS);
    for (size_t i = 0; i < n; i++) {
        const json_t *p = json_array_get(a, i);
        g->starts[i].term = (uint64_t)json_integer_value(json_array_get(p, 0));
        g->starts[i].pos = (uint64_t)json_integer_value(json_array_get(p, 1));
    }
    g->n_starts = (int)n;
    return true;
}

/* A group in a view may have no instance, if all of them left; a new group needs one. */
static bool group_parse(const json_t *j, size_t min_instances, struct vw_group *g,
                        struct er_err *err)
{
    memset(g, 0, sizeof(*g));
    const json_t *inst = json_object_get(j, "instances");
    size_t n = json_array_size(inst);
    int64_t term = 0, primary = -1, target = -1, age = 60000, copies = (int64_t)n / 2 + 1;
    int phase = VW_REPLACING;
    if (!get_str(j, "name", g->name, sizeof(g->name), true, err))
        return false;
    if (n < min_instances || n > VW_MAX_INSTANCES)
        return er_set(err, ER_BAD_INPUT, "instances: %zu, expected %zu..%d", n, min_instances,
                      VW_MAX_INSTANCES);
    if (!get_int(j, "term", 0, INT64_MAX, &term, err) ||
        !get_int(j, "primary", -1, (int64_t)n - 1, &primary, err) ||
        !get_int(j, "target", -1, (int64_t)n - 1, &target, err) ||
        !get_int(j, "max_age_ms", 0, INT64_MAX, &age, err) ||
        !get_int(j, "copies", 1, n ? (int64_t)n : 1, &copies, err))
        return false;
    if (json_object_get(j, "phase") && !get_enum(j, "phase", phase_names, 3, &phase, err))
        return false;
    for (size_t i = 0; i < n; i++) {
        if (!instance_parse(json_array_get(inst, i), &g->inst[i], err))
            return false;
    }
    g->n = (int)n;
    g->term = (uint64_t)term;
    g->primary = (int)primary;
    g->target = (int)target;
    g->max_age_ms = age;
    g->copies = (int)copies;
    g->phase = (enum vw_phase)phase;
    g->degraded = json_is_true(json_object_get(j, "degraded"));
    return starts_parse(json_object_get(j, "starts"), g, err) &&
           left_parse(json_object_get(j, "left"), g, err);
}

bool vw_group_parse(const json_t *j, struct vw_group *g, struct er_err *err)
{
    return group_parse(j, 1, g, err);
}

/* ---- intents ---- */

static json_t *intent_json(const struct vw_intent *it)
{
    return json_pack("{s:s,s:s,s:I,s:s,s:s,s:i,s:i,s:I,s:s,s:s,s:s}", "id", it->id, "who",
                     it->who, "number", (json_int_t)it->number, "kind", intent_names[it->kind],
                     "state", state_names[it->state], "step", it->step, "steps", it->n_steps,
                     "confirmed_at", (json_int_t)it->confirmed_at, "digest", it->digest, "args",
                     it->args, "note", it->note);
}

static bool intent_parse(const json_t *j, struct vw_intent *it, struct er_err *err)
{
    int64_t number = 0, step = 0, steps = 0, at = 0;
    int kind = 0, state = 0;
    memset(it, 0, sizeof(*it));
    if (!get_str(j, "id", it->id, sizeof(it->id), true, err) ||
        !get_str(j, "who", it->who, sizeof(it->who), false, err) ||
        !get_str(j, "digest", it->digest, sizeof(it->digest), false, err) ||
        !get_str(j, "args", it->args, sizeof(it->args), false, err) ||
        !get_str(j, "note", it->note, sizeof(it->note), false, err) ||
        !get_int(j, "number", 0, INT64_MAX, &number, err) ||
        !get_int(j, "step", 0, VW_MAX_STEPS, &step, err) ||
        !get_int(j, "steps", 0, VW_MAX_STEPS, &steps, err) ||
        !get_int(j, "confirmed_at", 0, INT64_MAX, &at, err) ||
        !get_enum(j, "kind", intent_names, VW_IT_COUNT, &kind, err) ||
        !get_enum(j, "state", state_names, 3, &state, err))
        return false;
    it->number = (uint64_t)number;
    it->step = (int)step;
    it->n_steps = (int)steps;
    it->confirmed_at = (uint64_t)at;
    it->kind = (enum vw_intent_kind)kind;
    it->state = (enum vw_intent_state)state;
    return true;
}

/* ---- the document ---- */

static void document_put(json_t *j, uint64_t version, struct sr_str text)
{
    json_object_set_new(j, "version", json_integer((json_int_t)version));
    json_object_set_new(j, "text", json_stringn(text.p, text.len));
}

/* On success `text` points into `j`. */
static bool document_parse(const json_t *j, uint64_t *version, struct sr_str *text,
                           struct er_err *err)
{
    const json_t *t = json_object_get(j, "text");
    int64_t v = 0;
    if (!get_int(j, "version", 1, INT64_MAX, &v, err))
        return false;
    if (!json_is_string(t) || v == 0)
        return er_set(err, ER_BAD_INPUT, "document: expected a version and a text");
    *version = (uint64_t)v;
    *text = (struct sr_str){json_string_value(t), json_string_length(t)};
    return true;
}

/* ---- changes ---- */

json_t *vw_change_json(const struct vw_change *ch)
{
    json_t *j = json_pack("{s:s}", "kind", change_names[ch->kind]);
    if (ch->group[0])
        json_object_set_new(j, "group", json_string(ch->group));
    if (ch->instance[0])
        json_object_set_new(j, "instance", json_string(ch->instance));
    if (ch->term)
        json_object_set_new(j, "term", json_integer((json_int_t)ch->term));
    if (ch->pos)
        json_object_set_new(j, "pos", json_integer((json_int_t)ch->pos));
    if (ch->flag)
        json_object_set_new(j, "flag", json_true());
    if (ch->kind == VW_CH_RULE)
        json_object_set_new(j, "max_age_ms", json_integer(ch->max_age_ms));
    if (ch->kind == VW_CH_GROUP)
        json_object_set_new(j, "def", vw_group_json(&ch->def));
    if (ch->kind == VW_CH_ADD || ch->kind == VW_CH_JOIN)
        json_object_set_new(j, "inst", instance_json(&ch->inst));
    if (ch->kind == VW_CH_DOCUMENT)
        document_put(j, ch->version, ch->text);
    if (ch->kind == VW_CH_INTENT || ch->kind == VW_CH_PROGRESS)
        json_object_set_new(j, "intent", intent_json(&ch->intent));
    return j;
}

bool vw_change_parse(const json_t *j, struct vw_change *ch, struct er_err *err)
{
    int kind = 0;
    int64_t term = 0, pos = 0, age = 0;
    memset(ch, 0, sizeof(*ch));
    if (!get_enum(j, "kind", change_names, VW_CH_COUNT, &kind, err) ||
        !get_str(j, "group", ch->group, sizeof(ch->group), false, err) ||
        !get_str(j, "instance", ch->instance, sizeof(ch->instance), false, err) ||
        !get_int(j, "term", 0, INT64_MAX, &term, err) ||
        !get_int(j, "pos", 0, INT64_MAX, &pos, err) ||
        !get_int(j, "max_age_ms", INT64_MIN, INT64_MAX, &age, err))
        return false;
    ch->kind = (enum vw_change_kind)kind;
    ch->term = (uint64_t)term;
    ch->pos = (uint64_t)pos;
    ch->max_age_ms = age;
    ch->flag = json_is_true(json_object_get(j, "flag"));
    if (ch->kind == VW_CH_GROUP)
        return vw_group_parse(json_object_get(j, "def"), &ch->def, err);
    if (ch->kind == VW_CH_DOCUMENT)
        return document_parse(j, &ch->version, &ch->text, err);
    if (ch->kind == VW_CH_ADD || ch->kind == VW_CH_JOIN)
        return instance_parse(json_object_get(j, "inst"), &ch->inst, err);
    if (ch->kind == VW_CH_INTENT || ch->kind == VW_CH_PROGRESS)
        return intent_parse(json_object_get(j, "intent"), &ch->intent, err);
    return true;
}

/* ---- the whole view ---- */

json_t *vw_view_json(const struct vw_view *v)
{
    json_t *groups = json_array(), *intents = json_array();
    for (int i = 0; i < v->n; i++)
        json_array_append_new(groups, vw_group_json(&v->groups[i]));
    for (int i = 0; i < v->n_intents; i++)
        json_array_append_new(intents, intent_json(&v->intents[i]));
    json_t *j = json_pack("{s:I,s:o,s:o}", "generation", (json_int_t)v->generation, "groups",
                          groups, "intents", intents);
    if (v->doc.version) {
        json_t *doc = json_object();
        document_put(doc, v->doc.version, (struct sr_str){v->doc.text, v->doc.len});
        json_object_set_new(j, "document", doc);
    }
    if (v->n_departed)
        json_object_set_new(j, "left", departed_json(v));
    return j;
}

/* Copies the text of the document, which the view owns. A view may have no document. */
static bool copy_document(const json_t *j, struct vw_document *d, struct er_err *err)
{
    struct sr_str text;
    if (!j)
        return true;
    if (!document_parse(j, &d->version, &text, err))
        return false;
    d->text = sr_alloc(text.len + 1);
    memcpy(d->text, text.p, text.len);
    d->len = text.len;
    return true;
}

/* Inserts the groups sorted by name; the input may be in any order. */
static bool groups_parse(const json_t *a, struct vw_view *v, struct er_err *err)
{
    for (size_t i = 0; i < json_array_size(a); i++) {
        struct vw_group g;
        if (!group_parse(json_array_get(a, i), 0, &g, err))
            return false;
        int at = v->n;
        v->groups = sr_realloc(v->groups, sizeof(g) * (size_t)(v->n + 1));
        while (at > 0 && strcmp(v->groups[at - 1].name, g.name) > 0) {
            v->groups[at] = v->groups[at - 1];
            at--;
        }
        v->groups[at] = g;
        v->n++;
    }
    return true;
}

bool vw_view_parse(const json_t *j, struct vw_view *v, struct er_err *err)
{
    int64_t gen = 0;
    const json_t *groups = json_object_get(j, "groups");
    const json_t *intents = json_object_get(j, "intents");
    if (!json_is_object(j) || !get_int(j, "generation", 0, INT64_MAX, &gen, err))
        return er_set(err, ER_BAD_INPUT, "view: expected an object with a generation");
    if (json_array_size(groups) > VW_MAX_GROUPS || json_array_size(intents) > VW_MAX_INTENTS)
        return er_set(err, ER_TOO_LARGE, "view: too many groups or intents");
    vw_free(v);
    if (!copy_document(json_object_get(j, "document"), &v->doc, err))
        return false;
    if (!groups_parse(groups, v, err))
        return false;
    v->n_intents = (int)json_array_size(intents);
    v->intents = sr_alloc(sizeof(*v->intents) * (size_t)v->n_intents);
    for (int i = 0; i < v->n_intents; i++) {
        if (!intent_parse(json_array_get(intents, (size_t)i), &v->intents[i], err))
            return false;
    }
    v->generation = (uint64_t)gen;
    return departed_parse(json_object_get(j, "left"), v, err);
}

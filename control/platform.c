/* Polls the platform's list of VMs. The list lags behind and is only a hint: an instance in
 * state "leaving" is drained by an intent of operator `platform`, which is visible and
 * reversible. No other state has an effect. */
#include <stdio.h>
#include <stdlib.h>

#include "control/control.h"
#include "misc/clock.h"

enum { POLL_INTERVAL_US = 1000000, WARN_INTERVAL_US = 60000000 };

static bool drain_running(const struct ct_node *n, const char *args)
{
    for (int i = 0; i < n->view.n_intents; i++) {
        const struct vw_intent *it = &n->view.intents[i];
        if (it->state == VW_RUNNING && strcmp(it->args, args) == 0)
            return true;
    }
    return false;
}

static void warn_not_drained(struct ct_node *n, const char *inst, const char *why)
{
    int64_t now = ck_now();
    if (now < n->next_drain_warning)
        return;
    n->next_drain_warning = now + WARN_INTERVAL_US;
    FL_WARN(&n->log, "%s is leaving in the platform's list but can't be drained: %s", inst,
            why);
}

static void propose_drain(struct ct_node *n, const struct vw_group *g, const char *inst)
{
    struct vw_change ch = {.kind = VW_CH_INTENT};
    struct it_request r;
    struct it_plan p;
    struct er_err err = {0};
    json_t *j = json_pack("{s:s,s:s,s:s}", "group", g->name, "instance", inst, "kind", "drain");
    char *args = json_dumps(j, JSON_COMPACT | JSON_SORT_KEYS);
    bool ok = it_parse(j, &r, &err) && it_plan(&n->view, qr_members(n->q), &r, &p, &err);
    json_decref(j);
    if (ok && !drain_running(n, args)) {
        struct vw_intent *it = &ch.intent;
        snprintf(it->id, sizeof(it->id), "platform-%llu",
                 (unsigned long long)n->view.generation);
        sr_copy(it->who, sizeof(it->who), SR_LIT("platform"));
        sr_copy(it->args, sizeof(it->args), sr_from(args));
        memcpy(it->digest, p.digest, sizeof(it->digest));
        it->kind = VW_IT_DRAIN;
        it->number = p.number;
        it->n_steps = p.n;
        ok = ct_propose(n, &ch, &n->step_index, &err);
    }
    if (!ok)
        warn_not_drained(n, inst, err.text);
    free(args);
}

static void drain_at(struct ct_node *n, const char *ip, int port)
{
    for (int g = 0; g < n->view.n; g++) {
        const struct vw_group *v = &n->view.groups[g];
        for (int i = 0; i < v->n; i++) {
            const struct vw_instance *in = &v->inst[i];
            bool matches = strcmp(in->ip, ip) == 0 && (port == 0 || in->port == port);
            if (!matches || in->draining)
                continue;
            propose_drain(n, v, in->id);
            return; /* the proposal may change the view; the next poll handles the rest */
        }
    }
}

static void on_vm_list(void *ud, int status, const char *body, size_t len)
{
    struct ct_node *n = ud;
    size_t i;
    json_t *vm;
    json_t *list = status == 200 ? json_loadb(body, len, 0, NULL) : NULL;
    bool may_propose = n->leading && ct_quorum_confirmed(n) && qr_commit(n->q) >= n->step_index;
    n->platform_polled = false;
    if (status != 200)
        n->counters.platform_failures++;
    json_array_foreach(list, i, vm)
    {
        const char *state = json_string_value(json_object_get(vm, "state"));
        const char *ip = json_string_value(json_object_get(vm, "ip"));
        int port = (int)json_integer_value(json_object_get(vm, "port"));
        if (may_propose && state && ip && strcmp(state, "leaving") == 0)
            drain_at(n, ip, port);
    }
    json_decref(list);
}

void ct_platform_tick(struct ct_node *n, int64_t now)
{
    if (!n->s->platform_port || !n->leading || n->platform_polled ||
        now < n->next_platform_poll)
        return;
    n->next_platform_poll = now + POLL_INTERVAL_US;
    n->platform_polled = true;
    nt_http_get(n->loop, n->s->platform_ip, n->s->platform_port, "GET", "/vms", NULL,
                on_vm_list, n);
}

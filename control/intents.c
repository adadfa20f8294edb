/* Intents: the leader carries out the next action of each running intent. */
#include "control/control.h"
#include "misc/clock.h"

enum { INTENT_INTERVAL_US = 50000 };

static bool learner_ready(void *ud, uint64_t id)
{
    struct ct_node *n = ud;
    uint64_t match = qr_match(n->q, id);
    return match > 0 && match >= qr_commit(n->q);
}

static void end_intent(struct ct_node *n, const struct vw_intent *it,
                       enum vw_intent_state state, const char *note)
{
    struct vw_change ch = {.kind = VW_CH_PROGRESS, .intent = *it};
    struct er_err err = {0};
    ch.intent.state = state;
    ch.intent.step = it->n_steps;
    sr_copy(ch.intent.note, sizeof(ch.intent.note), sr_from(note));
    if (!ct_propose(n, &ch, &n->step_index, &err))
        FL_WARN(&n->log, "intent %s: %s", it->id, err.text);
}

static void perform(struct ct_node *n, const struct vw_intent *it, const struct it_action *a)
{
    struct er_err err = {0};
    int64_t now = ck_now();
    bool ok = true;
    switch (a->kind) {
    case IT_WAIT:
        FL_DBG(&n->log, "intent %s is waiting: %s", it->id, a->note);
        break;
    case IT_CHANGE:
        ok = ct_propose(n, &a->change, &n->step_index, &err);
        break;
    case IT_ADD:
        ok = qr_add_learner(n->q, &a->member, now, &err);
        break;
    case IT_VOTER:
        ok = qr_promote_learner(n->q, a->member.id, now, &err);
        break;
    case IT_REMOVE:
        ok = qr_remove(n->q, a->member.id, now, &err);
        break;
    case IT_DONE:
        end_intent(n, it, VW_DONE, "");
        break;
    case IT_FAIL:
        end_intent(n, it, VW_FAILED, a->note);
        break;
    }
    if (!ok)
        FL_VERBOSE(&n->log, "intent %s: %s; will be retried", it->id, err.text);
}

static void advance(struct ct_node *n, const struct vw_intent *it, const struct it_facts *f)
{
    struct it_request r;
    struct it_action a;
    struct er_err err = {0};
    json_t *args = json_loads(it->args, 0, NULL);
    bool ok = args && it_parse(args, &r, &err);
    json_decref(args);
    if (!ok) {
        end_intent(n, it, VW_FAILED, err.text);
        return;
    }
    it_next(&n->view, &r, f, &a);
    perform(n, it, &a);
}

/* Whether every entry node has acted on the current view for more than four probe intervals:
 * only the results of probes since then are used. */
static bool in_force_settled(struct ct_node *n, int64_t now)
{
    if (!ct_in_force(n, n->view.generation)) {
        n->in_force_since = 0;
        return false;
    }
    if (!n->in_force_since)
        n->in_force_since = now;
    return now - n->in_force_since > 4 * CK_MS(n->s->probe_ms);
}

void ct_intents_tick(struct ct_node *n, int64_t now)
{
    if (!n->leading || !ct_quorum_confirmed(n))
        return;
    struct it_facts f = {.caught_up = ct_replica_caught_up,
                         .in_force = in_force_settled(n, now),
                         .settled = now >= n->shares.no_grants_until,
                         .members = qr_members(n->q),
                         .learner_ready = learner_ready,
                         .ud = n};
    if (now < n->next_intent || qr_commit(n->q) < n->step_index)
        return;
    n->next_intent = now + INTENT_INTERVAL_US;
    for (int i = 0; i < n->view.n_intents; i++) {
        if (n->view.intents[i].state != VW_RUNNING)
            continue;
        struct vw_intent it = n->view.intents[i]; /* a copy: a proposal may change the view */
        advance(n, &it, &f);
        if (qr_commit(n->q) < n->step_index)
            return; /* one proposal at a time */
    }
}

/* Changes of primary that the platform carries out: sends the orders that takeover/ decides on.
 */
#include <stdio.h>

#include "control/control.h"
#include "misc/clock.h"

enum {
    ANSWER_TIMEOUT_US = 1000000, /* the platform answers in milliseconds or not at all */
    LEAD_TIMEOUT_US = 3000000,   /* an ordered instance is primary after 300 to 600 ms */
    SETTLE_US = 800000, /* a working replica receives within one network trip, a failing one not
                         * for seconds */
    RECHECK_US = 250000, /* until entry nodes that reported the primary up are asked again */
};

static void begin(struct ct_node *n, struct ct_group *g)
{
    const struct st_settings *s = n->s;
    struct tk_config cfg = {.check_us = CK_MS(s->check_ms),
                            .call_timeout_us = ANSWER_TIMEOUT_US,
                            .lead_timeout_us = LEAD_TIMEOUT_US,
                            .catch_up_timeout_us = SETTLE_US,
                            .recheck_delay_us = RECHECK_US};
    tk_begin(&g->tk, &cfg, ck_now());
}

static const char *const health_names[] = {[TK_UNKNOWN] = "unknown",
                                           [TK_UP] = "up",
                                           [TK_SILENT] = "silent",
                                           [TK_REFUSED] = "refused",
                                           [TK_UNFIT] = "unfit"};

static enum tk_health health_of(enum pr_health h)
{
    static const enum tk_health map[] = {[PR_UNKNOWN] = TK_UNKNOWN,
                                         [PR_UP] = TK_UP,
                                         [PR_SILENT] = TK_SILENT,
                                         [PR_REFUSED] = TK_REFUSED,
                                         [PR_UNFIT] = TK_UNFIT};
    return map[h];
}

/* Only this node's own probes count as evidence; a report of an entry node makes the leader
 * request checks from all entry nodes. */
static void probed(struct ct_group *g, const char *inst, uint64_t vantage, const char *domain,
                   enum pr_health health)
{
    (void)domain;
    bool primary = g->primary >= 0 && strcmp(g->inst[g->primary]->id, inst) == 0;
    if (vantage == g->inst[0]->node->id)
        tk_set_health(&g->tk, inst, health_of(health), ck_now());
    else if (primary && health >= PR_SILENT)
        tk_suspected(&g->tk, inst);
}

static void replied(struct ct_group *g, const char *inst, const struct ep_reply *r,
                    int64_t asked_at)
{
    tk_set_status(&g->tk, inst, r->primary, r->held, asked_at, ck_now());
}

static void connected(struct ct_group *g, const char *inst)
{
    tk_set_health(&g->tk, inst, TK_UP, ck_now());
}

static void checked(struct ct_group *g, uint64_t nonce, enum pr_health health)
{
    tk_check_reply(&g->tk, nonce, health_of(health));
}

static bool busy(const struct ct_group *g)
{
    return g->tk.step != TK_IDLE;
}

/* ---- acting ---- */

static void propose(struct ct_node *n, struct ct_group *g, enum vw_change_kind kind,
                    const struct tk_action *a)
{
    struct vw_change ch = {.kind = kind, .term = a->term};
    if (kind != VW_CH_PRIMARY) {
        tl_add(n->tl, TL_DOWN, g->name, a->term, "%s", g->tk.why);
        FL_EVENT(&n->log, LG_INFO, "change_of_primary", "group=%s term=%llu kind=%s why=%s",
                 g->name, (unsigned long long)a->term, vw_change_name(kind),
                 g->tk.why[0] ? g->tk.why : "retry");
    }
    ct_propose_for_group(n, g, a->inst, &ch);
}

static void on_order_answered(struct ct_node *n, const char *group, uint64_t token,
                              enum tk_outcome what)
{
    static const char *const names[] = {"carried out", "refused", "no answer"};
    struct ct_group *g = ct_group_of(n, group);
    if (!g)
        return;
    tl_add(n->tl, TL_PROMOTED, group, token, "order %s", names[what]);
    FL_EVENT(&n->log, LG_INFO, "order_answered", "group=%s term=%llu outcome=%s", group,
             (unsigned long long)token, names[what]);
    tk_call_result(&g->tk, token, what, ck_now());
    ct_group_tick(n, g);
}

static void send_order(struct ct_node *n, struct ct_group *g, const struct tk_action *a)
{
    const char *id = g->inst[a->inst]->id;
    n->counters.promotions++;
    tl_add(n->tl, TL_FENCED, g->name, a->term, "%s is ordered to take over", id);
    FL_EVENT(&n->log, LG_INFO, "order_sent", "group=%s term=%llu instance=%s", g->name,
             (unsigned long long)a->term, id);
    n->platform->promote(n, g->name, id, a->term, on_order_answered);
}

static void do_action(struct ct_node *n, struct ct_group *g, const struct tk_action *a)
{
    switch (a->kind) {
    case TK_DO_CHECK:
        tk_checks_sent(&g->tk, ct_request_checks(n, g->tk.nonce, g->inst[a->inst]->id));
        break;
    case TK_DO_REPLACE:
        propose(n, g, VW_CH_REPLACE, a);
        break;
    case TK_DO_HAND:
        propose(n, g, VW_CH_HAND, a);
        break;
    case TK_DO_PRIMARY:
        propose(n, g, VW_CH_PRIMARY, a);
        break;
    case TK_DO_CALL:
        send_order(n, g, a);
        break;
    case TK_DO_PROBE:
        ct_probe(g->inst[a->inst], a->since, ck_now());
        break;
    }
}

/* While the document in force is not loaded yet, one replica is assumed. */
static int copies_of(const struct ct_node *n, const struct ct_group *g)
{
    return n->catalog.version == n->view.doc.version ? g->sync_copies : 1;
}

/* Logs when a change begins and ends to wait for an instance that holds every acknowledged
 * commit. */
static void log_wait(struct ct_node *n, struct ct_group *g, bool waited)
{
    char text[512] = "";
    size_t len = 0;
    if (g->tk.waits_for_copies == waited)
        return;
    n->counters.waits_for_copies += !waited;
    for (int i = 0; i < g->tk.n && len < sizeof(text); i++) {
        const struct tk_inst *in = &g->tk.inst[i];
        len += (size_t)snprintf(text + len, sizeof(text) - len, "%s%s:%s:%llu.%llu",
                                i ? "," : "", in->id, health_names[in->health],
                                (unsigned long long)in->received.term,
                                (unsigned long long)in->received.pos);
    }
    FL_EVENT(&n->log, waited ? LG_INFO : LG_WARN, "change_waits_for_copies",
             "group=%s term=%llu waits=%d copies=%d left=%d instances=%s", g->name,
             (unsigned long long)g->tk.term, !waited, g->tk.copies,
             vw_group(&n->view, g->name)->n_left, text);
}

static void decide(struct ct_node *n, struct ct_group *g)
{
    const struct vw_group *v = vw_group(&n->view, g->name);
    struct tk_actions acts;
    bool waited = g->tk.waits_for_copies;
    tk_tick(&g->tk, v, copies_of(n, g),
            ls_all_applied(&n->leases, g->phase_generation, ck_now()), ck_now(), &acts);
    log_wait(n, g, waited);
    for (int i = 0; i < acts.n; i++)
        do_action(n, g, &acts.a[i]);
}

const struct ct_failover_ops ct_failover_takeover = {begin,   probed, replied, connected,
                                                     checked, decide, busy};

/* Limits of client accounts: the leader assigns permits to entry nodes with the answers to
 * their renewals (limit/). */
#include "control/control.h"
#include "misc/clock.h"

void ct_limits_begin(struct ct_node *n, bool first, int64_t now)
{
    const struct lm_tolerance t = {.window_s = n->s->limit_window_ms / 1e3,
                                   .overrun = n->s->limit_overrun_permille / 1e3,
                                   .slack = n->s->limit_slack};
    lm_begin(&n->limits, &t, first, now);
    ct_limits_changed(n);
}

void ct_limits_changed(struct ct_node *n)
{
    const struct ac_table *t = &n->catalog.accounts;
    int64_t now = ck_now();
    for (int i = 0; i < t->n; i++) {
        const struct ac_account *a = &t->accounts[i];
        if (a->limited)
            lm_set(&n->limits, a->name, a->rate, a->burst, now);
    }
    lm_sweep(&n->limits);
}

uint32_t ct_limits_on_renew(struct ct_node *n, uint64_t node, const struct wr_renew *r,
                            uint64_t seq, struct wr_permit *out)
{
    int64_t now = ck_now();
    uint32_t k = 0;
    lm_renewed(&n->limits, node, !r->stopping, now);
    for (uint32_t i = 0; i < r->n_permits && !r->stopping; i++) {
        const struct wr_permit_ask *a = &r->permits[i];
        struct lm_report report = {(int)a->held, (int)a->want, (int)a->returned};
        struct lm_grant answer;
        char name[LM_NAME];
        if (!sr_copy(name, sizeof(name), a->account) || !name[0] ||
            !lm_handle_report(&n->limits, name, node, &report, r->shares_seq, seq, now,
                              &answer))
            continue;
        out[k++] = (struct wr_permit){.account = a->account,
                                      .given = (uint32_t)answer.given,
                                      .over_ms = (uint32_t)(answer.over_us + 999) / 1000};
    }
    return k;
}

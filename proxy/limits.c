/* Limits of client accounts: an operation needs a permit to start (limit/). */
#include <stdio.h>
#include <stdlib.h>

#include "proxy/priv.h"

enum { MIN_RETRY_MS = 20 };

/* ---- accounts ---- */

static struct px_account *get_account(struct px_proxy *p, const char *name)
{
    int i = ix_get(&p->account_at, name);
    if (i == IX_NONE) {
        i = p->n_accounts++;
        p->accounts = sr_realloc(p->accounts, sizeof(*p->accounts) * (size_t)p->n_accounts);
        p->accounts[i] = (struct px_account){0};
        sr_copy(p->accounts[i].name, sizeof(p->accounts[i].name), sr_from(name));
        ix_set(&p->account_at, name, i);
    }
    return &p->accounts[i];
}

static bool has_limit(const struct px_proxy *p, const char *name)
{
    const struct ac_account *a = ac_by_name(&p->catalog.accounts, name);
    return a && a->limited;
}

/* ---- expiry of permits ---- */

static void discard_permits(struct px_proxy *p)
{
    for (int i = 0; i < p->n_accounts; i++)
        lm_expire(&p->accounts[i].permits);
}

static void discard_if_expired(struct px_proxy *p, int64_t now)
{
    if (now >= p->permits_expire_at)
        discard_permits(p);
}

void px_permits_renewed(struct px_proxy *p, int64_t sent)
{
    int64_t now = ck_now(), until = sent + LM_PERMIT_LIFE_US;
    discard_if_expired(p, now);
    if (until > now && until > p->permits_expire_at)
        p->permits_expire_at = until;
}

void px_permits_discard(struct px_proxy *p)
{
    discard_permits(p);
    p->permits_expire_at = 0;
}

/* ---- operations ---- */

void px_permit_begin(struct px_session *s)
{
    s->permit = has_limit(s->p, s->account) ? PX_PERMIT_NEEDED : PX_PERMIT_NONE;
}

enum lm_verdict px_permit_take(struct px_session *s)
{
    if (s->permit != PX_PERMIT_NEEDED)
        return LM_ADMIT;
    discard_if_expired(s->p, ck_now());
    struct px_account *a = get_account(s->p, s->account);
    enum lm_verdict v = lm_take(&a->permits, s->route.priority, ck_now());
    if (v == LM_ADMIT) {
        s->permit = PX_PERMIT_TAKEN;
        px_stage_done(s, PX_T_PERMIT);
        a->begun++;
    } else if (v == LM_WAIT) {
        s->p->has_changes = true; /* the next renewal is sent early and requests permits */
    }
    return v;
}

void px_permit_charge_retry(struct px_session *s)
{
    if (s->permit == PX_PERMIT_TAKEN)
        lm_charge_retry(&get_account(s->p, s->account)->permits);
}

void px_refuse_over_limit(struct px_session *s)
{
    char detail[96];
    struct px_account *a = get_account(s->p, s->account);
    int64_t ms = lm_retry_us(&a->permits, ck_now()) / 1000;
    a->refused++;
    snprintf(detail, sizeof(detail), "the account is over its limit; retry in %lld ms",
             (long long)(ms > MIN_RETRY_MS ? ms : MIN_RETRY_MS));
    px_refuse(s, ER_LIMIT, detail);
}

/* ---- renewals ---- */

void px_permit_requests(struct px_proxy *p, struct wr_renew *r)
{
    struct wr_permit_ask *out = sr_alloc(sizeof(*out) * (size_t)(p->n_accounts + 1));
    discard_if_expired(p, ck_now());
    r->permits = out;
    r->n_permits = 0;
    r->permits_complete = p->permits_unreported;
    for (int i = 0; i < p->n_accounts; i++) {
        struct px_account *a = &p->accounts[i];
        struct lm_report m;
        if (!has_limit(p, a->name))
            continue;
        if (p->permits_unreported)
            lm_forget_reported(&a->permits);
        if (lm_make_report(&a->permits, ck_now(), &m))
            out[r->n_permits++] = (struct wr_permit_ask){
                sr_from(a->name), (uint32_t)m.held, (uint32_t)m.want, (uint32_t)m.returned};
    }
    p->permits_unreported = false;
}

/* Routes the statements that wait for a permit of the account. */
static void wake_waiting(struct px_proxy *p, const char *account)
{
    for (struct px_session *s = p->active, *next; s; s = next) {
        next = s->next_active;
        bool waits = s->stage == PX_S_PARKED && s->permit == PX_PERMIT_NEEDED;
        if (waits && strcmp(s->account, account) == 0)
            px_route_work(s);
    }
}

void px_permits_granted(struct px_proxy *p, int64_t sent, const struct wr_permit *permits,
                        uint32_t n)
{
    if (sent + LM_PERMIT_LIFE_US <= ck_now())
        return; /* the VM was frozen; the leader has already expired these permits */
    px_permits_renewed(p, sent);
    for (uint32_t i = 0; i < n; i++) {
        char name[AC_NAME];
        struct lm_grant a = {(int)permits[i].given, CK_MS((int64_t)permits[i].over_ms)};
        if (!sr_copy(name, sizeof(name), permits[i].account) || !name[0])
            continue;
        lm_apply_grant(&get_account(p, name)->permits, &a, ck_now());
        /* Otherwise the waiting statements request permits again later. */
        if (a.given > 0 || a.over_us > 0) /* else the next request follows later */
            wake_waiting(p, name);
    }
}

void px_permits_report_all(struct px_proxy *p)
{
    p->permits_unreported = true;
}

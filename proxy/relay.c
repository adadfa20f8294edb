/* Sessions that another entry node serves: their bytes go there and back as they are.
 *
 * Where an instance has fewer connections than there are entry nodes, a few nodes hold each
 * group (route/holders); a node that is cut off from control has neighbours that are not. A
 * relayed session lives at the other node with its values, prepared names and transactions;
 * here only its bytes pass. It ends when either end does, so nothing has to be moved. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "proxy/priv.h"

enum {
    /* A holder that does not greet by then is passed over: a caller waits 2 s for its greeting.
     */
    GREET_US = 500000,
    /* Holders are asked one after the other for so long: most refuse at once, as they are down
     * or cut off, and their caller has half a second left for the greeting then. */
    TRY_FOR_US = 1500000,
    /* A node that is cut off from control and did not reach another node either asks none for
     * so long: its callers are told at once. */
    ISOLATED_US = 1000000,
    MAX_QUEUED = 256 * 1024, /* bytes on their way to a side that does not read */
};

/* Who opens a relayed session, before the version of its document: it is not relayed once more.
 * The caller's key follows as the last field. */
static const char relayed_by[] = "~ferry";

struct px_relay {
    struct px_session *s;
    struct nt_conn *net; /* to the other node; NULL: none */
    int tries;
    bool greeted;     /* by the other node */
    bool spoke;       /* the caller got something: another greeting would be one too many */
    bool rests;       /* there, after the last answer */
    bool asked;       /* a whole message went there since */
    int64_t asked_at; /* the first of them */
    enum px_txn txn;  /* after the last answer */
    struct sr_buf in; /* a line from the other node that is not whole yet */
    int64_t began;    /* this try */
};

bool px_is_relayed(const struct px_msg *open, uint64_t *document)
{
    size_t n = sizeof(relayed_by) - 1;
    *document = 0;
    if (open->who.len < n || memcmp(open->who.p, relayed_by, n) != 0)
        return false;
    if (open->who.len > n && open->who.p[n] != '.')
        return false;
    for (size_t i = n + 1; i < open->who.len; i++) {
        char c = open->who.p[i];
        if (c < '0' || c > '9')
            return false;
        *document = *document * 10 + (uint64_t)(c - '0');
    }
    return true;
}

bool px_asked_elsewhere(const struct px_session *s)
{
    return s->relay && s->relay->asked;
}

bool px_rests_elsewhere(const struct px_session *s)
{
    return s->relay && s->relay->greeted && s->relay->rests;
}

/* ---- where ---- */

/* A holder of the group but for ourselves, from a place of the session's own on, so that
 * sessions spread over them; the nearest of those that can be reached, if there are any. A near
 * one costs a shorter trip and no bytes between failure domains or regions; after the first try
 * this node's own domain is as good as any other of its region: it may be in trouble. -1: none.
 */
static int pick_holder(const struct px_session *s, const struct px_group *g, int try)
{
    const struct px_proxy *p = s->p;
    uint64_t n = (uint64_t)g->n_holders;
    int best = -1, best_rank = 0;
    for (uint64_t k = 0; k < n; k++) {
        int i = g->holders[(s->state.session + (uint64_t)try + k) % n];
        const struct ho_node *x = &p->nodes[i];
        int far = rt_distance(p->cfg.domain, x->domain);
        int rank = try > 0 && far == 0 ? 1 : try > 1 ? 1 : far;
        rank += px_out_of_reach(p, x) ? PX_DISTANCES : 0;
        if (strcmp(x->name, p->cfg.name) == 0 || (best >= 0 && rank >= best_rank))
            continue;
        best = i;
        best_rank = rank;
    }
    return best;
}

/* Where connections belong to accounts, an account's sessions meet where its connections are,
 * near or not: of 78 accounts on three connections each node would open one for nearly each
 * statement otherwise. -1: none is left. */
static int pick_for_account(const struct px_session *s, struct px_group *g, int try)
{
    const struct px_proxy *p = s->p;
    int order[HO_MAX_HOLDERS], n = px_holders_for(s, g, order), others = 0;
    for (int k = 0; k < 2 * n; k++) { /* those that are out of reach come last */
        const struct ho_node *x = &p->nodes[order[k % n]];
        bool other = strcmp(x->name, p->cfg.name) != 0;
        if (other && px_out_of_reach(p, x) == (k >= n) && others++ == try)
            return order[k % n];
    }
    return -1;
}

static int pick_target(struct px_session *s, struct px_group *g, int try)
{
    int i = px_has_accounts(s->p) ? pick_for_account(s, g, try) : pick_holder(s, g, try);
    if (i >= 0)
        px_served_by(s, &s->p->nodes[i]);
    return i;
}

/* The group of the session's database: a relayed session takes no route here. */
static struct px_group *wanted_group(const struct px_session *s)
{
    const struct cg_route *r = cg_route(&s->p->catalog, sr_from(s->database));
    return r ? px_group(s->p, r->group) : NULL;
}

static int next_target(struct px_session *s, int try)
{
    struct px_group *g = wanted_group(s);
    return g && g->n_holders > 0 ? pick_target(s, g, try) : -1;
}

/* A node that is cut off from control can prove nothing by itself, but others may have a lease:
 * where most nodes of a failure domain are cut off the balancer goes on using them. If it
 * reaches none, its callers are told with the greeting: a session that was opened here would
 * bring each of its tries here again, and has to be closed when the lease is back. */
bool px_should_relay(const struct px_session *s)
{
    struct px_group *g = wanted_group(s);
    int64_t now = ck_now();
    if (!g || s->p->n_nodes < 2 || s->came_relayed)
        return false;
    if (px_cut_off(s->p, now))
        return true;
    if (g->held && px_has_accounts(s->p))
        return !px_serves_account(s, g);
    return !g->held || (!g->first && !px_reaches(g));
}

/* ---- the other node ---- */

static void connect_next(struct px_relay *r);

static void relay_free(struct px_relay *r)
{
    sr_buf_free(&r->in);
    free(r);
}

static void on_open(struct nt_conn *net, void *ud)
{
    struct px_relay *r = ud;
    struct sr_buf b = {0};
    char who[sizeof(relayed_by) + 24];
    snprintf(who, sizeof(who), "%s.%llu", relayed_by,
             (unsigned long long)r->s->p->catalog.version);
    struct px_msg m = {.kind = PX_OPEN,
                       .database = sr_from(r->s->database),
                       .who = sr_from(who),
                       .expect = sr_from(r->s->key)};
    r->s->p->cfg.codec->put(&b, &m);
    nt_send(net, b.p, b.len);
    sr_buf_free(&b);
}

static void send_there(struct px_relay *r, const char *data, size_t len)
{
    r->rests = false;
    if (!r->asked)
        r->asked_at = ck_now();
    r->asked = r->asked || memchr(data, '\n', len) != NULL;
    nt_send(r->net, data, len);
}

/* What the caller said before it was greeted. */
static void send_early(struct px_relay *r)
{
    struct px_session *s = r->s;
    if (s->in.len == 0)
        return;
    send_there(r, s->in.p, s->in.len);
    s->in.len = 0;
}

/* The other node ends the session while it rests there, so what was asked meanwhile ran
 * nowhere, and the caller is told so. */
static void ended_there(struct px_relay *r)
{
    struct px_session *s = r->s;
    if (!s->net)
        return;
    if (r->asked) {
        s->txn = r->txn;
        px_refuse_relayed(s, r->txn == PX_IDLE ? ER_STOPPING : ER_ABORTED,
                          "the node that serves the session stops; retry at once");
        r->asked = false;
    }
    px_close(s, PX_END_HOLDER_ENDS, false);
}

/* Pass the first `n` bytes of what came on; they are whole lines. */
static void pass_on(struct px_relay *r, size_t n)
{
    r->spoke = true;
    if (r->s->net)
        nt_send(r->s->net, r->in.p, n);
    px_consume(&r->in, n);
}

/* Note what the last of these whole lines says of the session; false: it is an end. */
static bool note_last(struct px_relay *r, struct sr_str last)
{
    struct px_msg m;
    r->s->p->cfg.codec->parse(last, &m);
    if (m.kind != PX_READY)
        return m.kind != PX_END;
    r->txn = m.txn;
    r->rests = m.txn == PX_IDLE;
    if (r->asked)
        px_stage(&r->s->p->stages, PX_T_RELAY, ck_now() - r->asked_at);
    r->asked = false;
    return true;
}

/* The other node greeted: what the caller said meanwhile goes there. */
static void greeted(struct px_relay *r)
{
    r->greeted = true;
    r->s->p->c.relayed++;
    send_early(r);
}

static void on_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    struct px_relay *r = ud;
    struct sr_str last;
    sr_buf_add(&r->in, data, len);
    size_t n = px_whole_lines(&r->in, &last);
    if (n == 0) {
        if (r->in.len > PX_MAX_LINE)
            nt_close(net, true);
        return;
    }
    bool ended = !note_last(r, last);
    if (ended) { /* for us, not for the caller */
        struct sr_buf before = {.p = r->in.p, .len = (size_t)(last.p - r->in.p)};
        n = px_whole_lines(&before, &last);
        if (n > 0)
            note_last(r, last);
    }
    bool greets = !r->greeted && r->rests;
    if (n > 0)
        pass_on(r, n);
    if (greets)
        greeted(r);
    if (ended)
        ended_there(r);
}

static void on_close(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    struct px_relay *r = ud;
    (void)net;
    (void)opened;
    (void)refused;
    r->net = NULL;
    if (!r->s) {
        relay_free(r);
    } else if (!r->spoke) {
        connect_next(r);
    } else if (r->s->net) {
        px_close(r->s, PX_END_HOLDER_LOST, false); /* it is gone with its node */
    }
}

static const struct nt_ops ops = {on_open, on_message, on_close};

/* Nobody opens the session. */
static void give_up(struct px_relay *r)
{
    if (!r->s->net)
        return;
    if (px_cut_off(r->s->p, ck_now()))
        px_fail_cut_off(r->s);
    else
        px_close(r->s, PX_END_NO_HOLDER, false);
}

static bool may_try(const struct px_relay *r)
{
    const struct px_group *g = wanted_group(r->s);
    int64_t now = ck_now();
    bool isolated = px_cut_off(r->s->p, now) && now < r->s->p->isolated_until;
    return g && !isolated && r->tries < g->n_holders && now - r->s->since < TRY_FOR_US;
}

static void connect_next(struct px_relay *r)
{
    struct px_proxy *p = r->s->p;
    int i = may_try(r) ? next_target(r->s, r->tries++) : -1;
    if (i < 0) {
        give_up(r);
        return;
    }
    r->in.len = 0;
    r->began = ck_now();
    r->net = nt_connect_stream(p->loop, p->nodes[i].ip, p->nodes[i].port, &ops, r);
    px_meter(p, r->net, PX_TO_NODE, p->nodes[i].domain);
}

/* ---- the session's side ---- */

void px_relay_start(struct px_session *s)
{
    struct px_relay *r = sr_alloc(sizeof(*r));
    r->s = s;
    s->relay = r;
    connect_next(r);
}

void px_relay_bytes(struct px_session *s, const char *data, size_t len)
{
    struct px_relay *r = s->relay;
    if (!r->greeted && s->in.len + len <= MAX_QUEUED) {
        sr_buf_add(&s->in, data, len);
        return;
    }
    if (!r->net || !r->greeted || nt_queued(r->net) > MAX_QUEUED) {
        px_close(s, PX_END_NOT_READ, true);
        return;
    }
    send_there(r, data, len);
}

void px_relay_end(struct px_session *s)
{
    struct px_relay *r = s->relay;
    if (!r)
        return;
    s->relay = NULL;
    r->s = NULL;
    if (r->net)
        nt_close(r->net, true); /* on_close frees it */
    else
        relay_free(r);
}

/* The other node refuses it as soon as it has the same document, but may be cut off from it. */
static bool key_is_gone(struct px_session *s)
{
    const struct cg_route *r = cg_route(&s->p->catalog, sr_from(s->database));
    return r && !px_identify(s, r);
}

void px_relay_tick(struct px_session *s, int64_t now)
{
    struct px_relay *r = s->relay;
    if (r && r->greeted && s->net && px_rests_elsewhere(s) && !r->asked && key_is_gone(s)) {
        px_close(s, PX_END_REFUSED, false);
        return;
    }
    if (!r || !r->net || r->greeted || now - r->began <= GREET_US)
        return;
    if (px_cut_off(s->p, now))
        s->p->isolated_until = now + ISOLATED_US;
    nt_close(r->net, true);
}

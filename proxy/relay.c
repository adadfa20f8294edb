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
    MAX_QUEUED = 256 * 1024,   /* bytes on their way to a side that does not read */
    REFUSED_US = 300000,       /* who said no to a session is asked last for so long */
    NO_WAY_US = 1000000,       /* the same of one that was to pass it on and reached nobody */
    MOVE_OVER_US = 300000,     /* sessions at rest at a silent node end, spread over so long */
    REST_OF_LINE_US = 1000000, /* the rest of a question that is partly here is waited for */
};

/* Who opens a relayed session, before the version of its document. It is not relayed once more,
 * but where `pass_on` follows. The caller's key follows as the last field. */
static const char relayed_by[] = "~ferry";
static const char pass_on_mark = '+';

struct px_relay {
    struct px_session *s;
    struct nt_conn *net; /* to the other node; NULL: none */
    struct px_tried_nodes tried;
    struct px_neighbor *nb; /* the last of these */
    bool by_other;          /* it is no holder, and passes the session on */
    bool late;              /* it did not greet in time */
    bool greeted;           /* by the other node */
    bool spoke;             /* the caller got something: another greeting would be too many */
    bool left;              /* the caller is being sent away, for this reason */
    enum px_end_reason why;
    int64_t left_at;
    bool rests;          /* there, after the last answer */
    bool asked;          /* a whole message went there since */
    int64_t asked_at;    /* the first of them */
    struct px_pending q; /* what was asked */
    enum px_txn txn;     /* after the last answer */
    struct sr_buf in;    /* a line from the other node that is not whole yet */
    int64_t began;       /* this try, and what it waits for: to be open, to be greeted */
};

bool px_parse_relayed(const struct px_msg *open, uint64_t *document, bool *pass_on)
{
    size_t n = sizeof(relayed_by) - 1;
    *document = 0;
    *pass_on = false;
    if (open->identity.len < n || memcmp(open->identity.p, relayed_by, n) != 0)
        return false;
    if (open->identity.len > n && open->identity.p[n] == pass_on_mark) {
        *pass_on = true;
        n++;
    }
    if (open->identity.len > n && open->identity.p[n] != '.')
        return false;
    for (size_t i = n + 1; i < open->identity.len; i++) {
        char c = open->identity.p[i];
        if (c < '0' || c > '9')
            return false;
        *document = *document * 10 + (uint64_t)(c - '0');
    }
    return true;
}

bool px_relay_pending(const struct px_session *s)
{
    return s->relay && s->relay->asked;
}

bool px_relay_idle(const struct px_session *s)
{
    return s->relay && s->relay->greeted && s->relay->rests;
}

/* ---- where ---- */

/* A node that is cut off from control can prove nothing by itself, but others may have a lease:
 * where most nodes of a failure domain are cut off the balancer goes on using them. If it
 * reaches none, its callers are told with the greeting: a session that was opened here would
 * bring each of its tries here again, and has to be closed when the lease is back. */
bool px_should_relay(const struct px_session *s)
{
    struct px_group *g = px_database_group(s);
    if (!g || s->p->n_nodes < 2 || (s->relayed_to_us && (!s->may_pass_on || g->held)))
        return false;
    if (px_disconnected(s->p))
        return true;
    if (g->held && px_has_accounts(s->p))
        return !px_serves_account(s, g);
    return !g->held || (!g->connects_first && !px_reaches_primary(g));
}

/* ---- the other node ---- */

static void connect_next(struct px_relay *r);

static void drop_tries(struct px_relay *r)
{
    for (int k = 0; k < r->tried.n; k++)
        px_neighbor_unref(r->tried.nb[k]);
    r->tried.n = 0;
}

static void relay_free(struct px_relay *r)
{
    drop_tries(r);
    sr_buf_free(&r->in);
    free(r);
}

void px_relay_hello(struct px_proxy *p, struct nt_conn *net, const char *database,
                    const char *key, enum px_hello why)
{
    struct sr_buf b = {0};
    char who[sizeof(relayed_by) + 24];
    int n = snprintf(who, sizeof(who), "%s", relayed_by);
    if (why == PX_HELLO_PASS_ON)
        who[n++] = pass_on_mark;
    if (why != PX_HELLO_TRIAL)
        n += snprintf(who + n, sizeof(who) - (size_t)n, ".%llu",
                      (unsigned long long)p->catalog.version);
    struct px_msg m = {.kind = PX_OPEN,
                       .database = sr_from(database),
                       .identity = {who, (size_t)n},
                       .expect = sr_from(key)};
    p->cfg.codec->put(&b, &m);
    nt_send(net, b.p, b.len);
    sr_buf_free(&b);
}

static void on_open(struct nt_conn *net, void *ud)
{
    struct px_relay *r = ud;
    r->began = ck_now();
    px_relay_hello(r->s->p, net, r->s->database, r->s->key,
                   r->by_other ? PX_HELLO_PASS_ON : PX_HELLO_SERVE);
}

static void send_there(struct px_relay *r, const char *data, size_t len)
{
    r->rests = false;
    if (!r->asked)
        r->asked_at = ck_now();
    px_pending_add(&r->q, r->s->p->cfg.codec, r->txn, data, len);
    r->asked = r->q.open > 0;
    nt_send(r->net, data, len);
}

/* Close the session, but not in the middle of a question. */
static void end_left(struct px_relay *r, int64_t now)
{
    if (r->q.len == 0 || r->s->relayed_to_us || now - r->left_at > REST_OF_LINE_US)
        px_end_idle(r->s, r->why);
}

/* The caller is sent away; what it says before it learns of it is refused. */
static void leave(struct px_relay *r, enum px_end_reason why)
{
    r->left = true;
    r->why = why;
    r->left_at = ck_now();
    end_left(r, r->left_at);
}

/* What is open is answered here with a failure. */
static void refuse_open(struct px_relay *r, enum er_kind kind, const char *detail)
{
    struct px_session *s = r->s;
    s->txn = r->txn != PX_IDLE && !r->q.ends_txn ? PX_TXN_FAILED : PX_IDLE;
    px_refuse_relayed(s, kind, detail);
    r->txn = s->txn;
    px_pending_answered(&r->q, r->txn);
    r->asked = false;
}

/* What the caller asked went nowhere, or to a node that had ended the session. */
static void tell_not_run(struct px_relay *r)
{
    refuse_open(r, r->txn == PX_IDLE ? ER_STOPPING : ER_ABORTED,
                "the node that serves the session stops; retry at once");
}

/* What is open there has no answer, and will have none that the caller gets: say what is true
 * of it, and send the caller away. `sent`: it went out. */
static void tell_unanswered(struct px_relay *r, bool sent, enum px_end_reason why)
{
    struct px_session *s = r->s;
    bool harmless = !sent || px_pending_harmless(&r->q);
    bool in_txn = r->txn != PX_IDLE;
    s->arrived = r->asked_at;
    s->p->c.silent_told++;
    refuse_open(r,
                !harmless ? ER_LOST
                : in_txn  ? ER_ABORTED
                          : ER_OVERLOAD,
                harmless ? "the node that serves the session is silent; nothing is kept, "
                           "retry at once"
                         : "the node that serves the session is silent since it was asked");
    leave(r, why);
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
    if (!r->s->net)
        return;
    if (!r->spoke) {
        nt_close(r->net, true); /* it opened no session: another may */
        return;
    }
    if (r->asked)
        tell_not_run(r);
    leave(r, PX_END_HOLDER_CLOSED);
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
    if (r->asked && r->greeted) {
        px_stages_add(&r->s->p->stages, PX_T_RELAY, ck_now() - r->asked_at);
        r->s->p->c.statements_relayed++;
    }
    r->asked = false;
    px_pending_answered(&r->q, m.txn);
    return true;
}

/* The other node greeted: what the caller said meanwhile goes there. */
static void greeted(struct px_relay *r)
{
    struct px_proxy *p = r->s->p;
    r->greeted = true;
    p->c.relayed++;
    p->c.relayed_by_others += r->by_other;
    p->c.passed_on += r->s->relayed_to_us;
    if (r->by_other)
        r->nb->passed_on_at = ck_now();
    send_early(r);
}

static void on_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    struct px_relay *r = ud;
    struct sr_str last;
    nb_received(&r->nb->status, ck_now());
    if (r->left)
        return; /* what it answers now the caller was told of already */
    sr_buf_add(&r->in, data, len);
    size_t n = px_complete_lines(&r->in, &last);
    if (n == 0) {
        if (r->in.len > PX_MAX_LINE)
            nt_close(net, true);
        return;
    }
    bool ended = !note_last(r, last);
    if (ended) { /* for us, not for the caller */
        struct sr_buf before = {.p = r->in.p, .len = (size_t)(last.p - r->in.p)};
        n = px_complete_lines(&before, &last);
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

/* It opened no session: what that says of it. Of one that is no holder, that it knows no way.
 */
static void note_no_greeting(struct px_relay *r, bool opened)
{
    int64_t now = ck_now();
    if (r->by_other)
        nb_session_refused(&r->nb->status, NO_WAY_US, now);
    else if (!opened || r->late)
        nb_doubt(&r->nb->status, now);
    else
        nb_session_refused(&r->nb->status, REFUSED_US, now);
}

/* The connection is gone, and the session there with it. */
static void lost(struct px_relay *r)
{
    nb_doubt(&r->nb->status, ck_now());
    if (r->left || !r->s->net || r->s->end_sent_at)
        return;
    if (r->asked) {
        tell_unanswered(r, true, PX_END_HOLDER_LOST);
        return;
    }
    leave(r, PX_END_HOLDER_LOST);
}

static void on_close(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    struct px_relay *r = ud;
    (void)net;
    (void)refused;
    r->net = NULL;
    if (!r->s) {
        relay_free(r);
    } else if (!r->spoke) {
        note_no_greeting(r, opened);
        connect_next(r);
    } else {
        lost(r);
    }
}

static const struct nt_ops ops = {on_open, on_message, on_close};

/* Nobody opens the session. */
static void give_up(struct px_relay *r)
{
    struct px_session *s = r->s;
    if (!s->net)
        return;
    if (s->relayed_to_us)
        px_close(s, PX_END_NO_HOLDER, true);
    else if (px_disconnected(s->p))
        px_fail_disconnected(s);
    else
        px_fail_and_close(s, ER_NO_LEASE,
                          "no node that serves it answers; another may, at once");
}

static bool may_try(const struct px_relay *r, int64_t now)
{
    const struct px_proxy *p = r->s->p;
    bool isolated = px_disconnected(p) && now < p->isolated_until;
    return !isolated && now - r->s->idle_since < TRY_FOR_US;
}

static void connect_next(struct px_relay *r)
{
    struct px_session *s = r->s;
    struct px_proxy *p = s->p;
    int64_t now = ck_now();
    struct px_target to = {-1, false};
    if (s->net && may_try(r, now))
        to = px_next_target(s, &r->tried, r->by_other, now);
    if (to.node < 0) {
        give_up(r);
        return;
    }
    const struct ho_node *node = &p->nodes[to.node];
    r->nb = px_neighbor_ref(p, node);
    r->tried.nb[r->tried.n++] = r->nb;
    r->by_other = to.passes_on;
    r->late = false;
    sr_copy(r->nb->database, sizeof(r->nb->database), sr_from(s->database));
    sr_copy(r->nb->key, sizeof(r->nb->key), sr_from(s->key));
    r->in.len = 0;
    r->began = now;
    r->net = nt_connect_stream(p->loop, node->ip, node->port, &ops, r);
    px_meter(p, r->net, PX_PEER_NODE, node->domain);
}

/* ---- the session's side ---- */

void px_relay_start(struct px_session *s)
{
    struct px_relay *r = sr_alloc(sizeof(*r));
    r->s = s;
    s->relay = r;
    connect_next(r);
}

/* It would go to a silent node: nothing of it ran. */
static void unsent(struct px_relay *r, const char *data, size_t len)
{
    r->rests = false;
    r->asked_at = ck_now();
    px_pending_add(&r->q, r->s->p->cfg.codec, r->txn, data, len);
    if (r->q.open > 0)
        tell_unanswered(r, false, PX_END_HOLDER_SILENT);
}

/* The session there is over. */
static void said_too_late(struct px_relay *r, const char *data, size_t len)
{
    struct px_session *s = r->s;
    s->arrived = ck_now();
    px_pending_add(&r->q, s->p->cfg.codec, r->txn, data, len);
    if (r->q.open == 0)
        return; /* not whole yet */
    tell_not_run(r);
    end_left(r, ck_now());
}

void px_relay_input(struct px_session *s, const char *data, size_t len)
{
    struct px_relay *r = s->relay;
    if (r->left) {
        said_too_late(r, data, len);
        return;
    }
    if (!r->greeted && s->in.len + len <= MAX_QUEUED) {
        sr_buf_add(&s->in, data, len);
        return;
    }
    if (r->greeted && r->nb->status.state == NB_SILENT && !r->asked) {
        unsent(r, data, len);
        return;
    }
    if (!r->net || !r->greeted || nt_queued(r->net) > MAX_QUEUED) {
        px_close(s, PX_END_QUEUE_FULL, true);
        return;
    }
    send_there(r, data, len);
}

void px_relay_stop(struct px_session *s)
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

/* What may be kept can't be told before its time is over: an answer may come still. */
static int64_t longest_wait(const struct px_session *s)
{
    const struct cg_route *route = cg_route(&s->p->catalog, sr_from(s->database));
    return route ? route->limit_us : 0;
}

/* The session is at a node that is silent. */
static void leave_silent(struct px_relay *r, int64_t now)
{
    struct px_session *s = r->s;
    if (r->asked) {
        if (px_pending_harmless(&r->q) ||
            px_received_until(s->p) - r->asked_at > longest_wait(s))
            tell_unanswered(r, true, PX_END_HOLDER_SILENT);
    } else if (r->rests && now - r->nb->status.silent_since > px_stagger_us(s, MOVE_OVER_US)) {
        leave(r, PX_END_HOLDER_SILENT);
    }
}

static void watch(struct px_relay *r, int64_t now)
{
    if (r->left || !r->s->net)
        return;
    if (r->asked)
        nb_unanswered(&r->nb->status, r->asked_at, px_received_until(r->s->p));
    if (r->nb->status.state == NB_SILENT)
        leave_silent(r, now);
}

static void greeting_late(struct px_relay *r, int64_t now)
{
    struct px_proxy *p = r->s->p;
    if (px_disconnected(p) && !px_any_neighbor_passes_on(p, now))
        p->isolated_until = now + ISOLATED_US;
    r->late = true;
    nt_close(r->net, true);
}

void px_relay_tick(struct px_session *s, int64_t now)
{
    struct px_relay *r = s->relay;
    if (r && r->greeted && s->net && px_relay_idle(s) && !r->asked && key_is_gone(s)) {
        px_end_idle(s, PX_END_REFUSED);
        return;
    }
    if (r && r->left && s->net && !s->end_sent_at)
        end_left(r, now);
    if (!r || !r->net)
        return;
    if (r->greeted) {
        watch(r, now);
        return;
    }
    int64_t heard = px_received_until(s->p);
    if (!r->by_other)
        nb_unanswered(&r->nb->status, r->began, heard);
    if (heard - r->began > GREET_US || r->nb->status.state == NB_SILENT)
        greeting_late(r, now);
}

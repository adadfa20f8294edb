/* Forwards requests for groups whose instances this node holds no connections to. The requests
 * go to a holder: an entry node that has connections to the group.
 *
 * This node acts as a caller of the holder. One shared connection per holder carries the
 * statements of all callers of this node. A tag identifies each request, because callers choose
 * their request ids themselves and these may collide. Transactions use a separate connection
 * per caller and group, so that they end when the caller disconnects. The holder's answers are
 * passed on unchanged. A request that was forwarded once is never forwarded again. */
#include <stdlib.h>

#include "entry/entry.h"
#include "misc/clock.h"

/* A connection to a holder (upstream). */
struct en_upstream {
    struct en_upstream *next; /* in the node's list */
    struct en_node *node;
    bool shared; /* by all callers; otherwise for one caller's transactions of a group */
    struct en_caller *caller; /* NULL: shared, or the caller has disconnected */
    struct en_group *group;   /* NULL: shared */
    struct nt_conn *net;
    char holder[32];
    bool open, draining;          /* draining: no new requests; closes after the last answer */
    int txns;                     /* transactions open at the holder */
    struct en_req *sent, *unsent; /* linked by `chain` */
};

/* ---- lists ---- */

static void append_request(struct en_req **list, struct en_req *r)
{
    while (*list)
        list = &(*list)->next_waiting;
    r->next_waiting = NULL;
    *list = r;
}

static struct en_req *remove_by_tag(struct en_req **list, uint64_t tag)
{
    while (*list && (*list)->upstream_tag != tag)
        list = &(*list)->next_waiting;
    struct en_req *r = *list;
    if (r)
        *list = r->next_waiting;
    return r;
}

void en_upstream_forget(struct en_req *r)
{
    struct en_req **lists[] = {&r->upstream->sent, &r->upstream->unsent};
    for (int k = 0; k < 2; k++) {
        struct en_req **at = lists[k];
        while (*at && *at != r)
            at = &(*at)->next_waiting;
        if (*at)
            *at = r->next_waiting;
    }
    r->next_waiting = NULL;
    r->upstream = NULL;
}

/* ---- sending ---- */

static void send_request(struct en_upstream *up, struct en_req *r)
{
    struct sr_buf b = {0};
    struct cl_request q = r->req;
    int64_t left = (r->deadline - ck_now()) / 1000;
    q.tag = r->upstream_tag = ++up->node->upstream_tags;
    cl_write_request(&b, &q, left > 1 ? left : 1);
    up->node->c.forwarded++;
    bool sent = nt_send(up->net, b.p, b.len);
    sr_buf_free(&b);
    append_request(sent ? &up->sent : &up->unsent, r);
}

static void update_txn_count(struct en_upstream *up, const struct en_req *r, enum er_kind kind)
{
    if (r->req.kind == CL_BEGIN && kind == ER_NONE)
        up->txns++;
    bool ended = r->req.kind == CL_COMMIT || r->req.kind == CL_ROLLBACK || kind == ER_BAD_TXN;
    if (ended && up->txns > 0)
        up->txns--;
}

static void on_open(struct nt_conn *net, void *ud)
{
    struct en_upstream *up = ud;
    (void)net;
    up->open = true;
    while (up->unsent) {
        struct en_req *r = up->unsent;
        up->unsent = r->next_waiting;
        send_request(up, r);
    }
}

static enum er_kind error_kind_of(const json_t *a)
{
    const char *reason = json_string_value(json_object_get(a, "reason"));
    for (int k = 1; reason && k < ER_COUNT; k++) {
        if (strcmp(reason, er_name((enum er_kind)k)) == 0)
            return (enum er_kind)k;
    }
    return ER_NONE;
}

/* Whether another holder may run the request: this one stops or does not hold the group, and
 * has certainly not run the request. */
static bool may_try_another_holder(const struct en_req *r, enum er_kind kind)
{
    return !r->req.txn[0] && (kind == ER_STOPPING || kind == ER_ENDPOINT);
}

static void handle_answer(struct en_upstream *up, struct en_req *r, const char *data,
                          size_t len, enum er_kind kind)
{
    update_txn_count(up, r, kind);
    if (may_try_another_holder(r, kind)) {
        /* A holder that released one group still serves its other groups, so a shared
         * connection stays in use unless the holder stops. */
        up->draining = up->draining || !up->shared || kind == ER_STOPPING;
        r->forwards++;
        en_defer(r, ER_NONE, 0);
        return;
    }
    en_relay(r, data, len, kind);
}

static void on_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    struct en_upstream *up = ud;
    json_t *a = json_loadb(data, len, 0, NULL);
    size_t rest = len;
    uint64_t tag = cl_strip_tag(data, &rest);
    if (json_object_get(a, "notice"))
        up->draining = true;
    struct en_req *r = a && tag ? remove_by_tag(&up->sent, tag) : NULL;
    if (r) {
        r->upstream = NULL;
        r->next_waiting = NULL;
        handle_answer(up, r, data, rest, error_kind_of(a));
    } else if (tag) {
        up->node->c.late_replies++; /* the request was abandoned */
    }
    json_decref(a);
    if (up->draining && !up->sent && !up->unsent && !up->txns)
        nt_close(net, false);
}

/* Requests that were not sent are routed again; requests that were sent may have run. */
static void fail_requests(struct en_upstream *up)
{
    struct en_req *r;
    while ((r = up->unsent)) {
        up->unsent = r->next_waiting;
        r->upstream = NULL;
        r->forwards++;
        en_defer(r, ER_NONE, 0);
    }
    while ((r = up->sent)) {
        FL_VERBOSE(&up->node->log, "holder %s closed the connection before it answered %s %s%s",
                   up->holder, cl_kind_name(r->req.kind), r->req.id,
                   up->draining ? ", draining" : "");
        up->sent = r->next_waiting;
        r->upstream = NULL;
        r->next_waiting = NULL;
        r->forwards++;
        if (r->req.txn[0] && r->req.kind != CL_COMMIT)
            en_fail(r, ER_BAD_TXN, 0, "the transaction was lost: its holder disconnected");
        else
            en_connection_lost(r);
    }
}

static void on_close(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    struct en_upstream *up = ud, **at = &up->node->upstreams;
    (void)net;
    (void)opened;
    (void)refused;
    while (*at != up)
        at = &(*at)->next;
    *at = up->next;
    up->net = NULL;
    fail_requests(up);
    free(up);
}

static const struct nt_ops up_ops = {on_open, on_message, on_close};

/* ---- choosing a holder ---- */

/* The holder for this attempt. Holders in this node's failure domain come first. */
static const struct ho_node *choose_holder(const struct en_node *n, const struct en_group *g,
                                           int attempt)
{
    int order[HO_MAX_HOLDERS], k = 0;
    for (int same_domain = 1; same_domain >= 0; same_domain--) {
        for (int i = 0; i < g->n_holders; i++) {
            const struct ho_node *x = &n->nodes[g->holders[i]];
            if ((strcmp(x->domain, n->s->domain) == 0) == same_domain &&
                strcmp(x->name, n->s->name) != 0)
                order[k++] = g->holders[i];
        }
    }
    return k ? &n->nodes[order[attempt % k]] : NULL;
}

/* Shared connections come first in the list: each statement searches for one, and callers'
 * transactions may have thousands of connections. */
static void insert_upstream(struct en_node *n, struct en_upstream *up)
{
    struct en_upstream **at = &n->upstreams;
    while (!up->shared && *at)
        at = &(*at)->next;
    up->next = *at;
    *at = up;
}

static struct en_upstream *upstream_for(struct en_req *r)
{
    struct en_node *n = r->caller->node;
    bool pinned = r->req.txn[0] != 0, needs_own = pinned || r->req.kind == CL_BEGIN;
    const struct ho_node *h = choose_holder(n, r->group, r->forwards);
    for (struct en_upstream *up = n->upstreams; up; up = up->next) {
        bool own_match = needs_own && up->caller == r->caller && up->group == r->group;
        bool shared_match = !needs_own && up->shared && h && strcmp(up->holder, h->name) == 0;
        if ((own_match || shared_match) && (!up->draining || pinned))
            return up;
    }
    if (!h)
        return NULL;
    struct en_upstream *up = sr_alloc(sizeof(*up));
    up->node = n;
    up->shared = !needs_own;
    up->caller = needs_own ? r->caller : NULL;
    up->group = needs_own ? r->group : NULL;
    sr_copy(up->holder, sizeof(up->holder), sr_from(h->name));
    insert_upstream(n, up);
    up->net = nt_connect(n->loop, h->ip, h->port, false, &up_ops, up);
    return up;
}

void en_forward(struct en_req *r)
{
    enum { MAX_FORWARDS = 4 };
    if (r->req.hop || r->forwards >= MAX_FORWARDS) {
        en_fail(r, ER_ENDPOINT, 50, "this node holds no connections to the group");
        return;
    }
    struct en_upstream *up = upstream_for(r);
    if (!up) {
        en_fail(r, ER_ENDPOINT, 200, "no holder of the group is known");
        return;
    }
    r->state = EN_FORWARDED;
    r->upstream = up;
    if (up->open)
        send_request(up, r);
    else
        append_request(&up->unsent, r);
}

void en_upstreams_caller_closed(struct en_caller *c)
{
    for (struct en_upstream *up = c->node->upstreams; up; up = up->next) {
        if (up->caller != c)
            continue;
        up->caller = NULL; /* another caller may get the same address */
        nt_close(up->net, true);
    }
}

/* Instances and this node's connections to them, within its share: waiting sessions, suspicions
 * and health of instances. */
#include <stdlib.h>

#include "proxy/priv.h"

enum {
    FIRST_SERVICE_US = 15000,       /* service time assumed before any was measured */
    SUSPICION_INTERVAL_US = 100000, /* minimum interval between two reports about an instance */
    /* A statement outstanding for this many service times has probably lost its answer. */
    LOST_SERVICE_TIMES = 5,
    /* A statement unanswered for this long while nothing else was received. */
    NO_ANSWER_US = 300000,
    NO_GREETING_US = 400000, /* a connection without a greeting for this long */
    /* Minimum interval between requests for a share outside of regular renewals. */
    SHARE_REQUEST_INTERVAL_US = 100000,
    /* An instance from which something was received within this time counts as healthy. */
    HEALTH_FRESH_US = 400000,
    /* An instance that fails while others of its group do not is reported after this time, when
     * each of the group has had enough statements to tell. */
    OUTLIER_CONFIRM_US = 1000000,
    /* If all nodes connect at once, those that serve the sessions relayed by the others connect
     * earlier by this. Leases of nodes that start together are granted within some 50 ms. */
    FIRST_CONN_DELAY_US = 100000,
    /* A replica counts as behind if it lacked a position and served no read within this time.
     * It is retried 250 ms after it lacked a position, if there are reads. */
    BEHIND_RECENT_US = 500000,
};

struct px_inst *px_inst_new(struct px_group *g, const struct vw_instance *cfg)
{
    struct px_inst *in = sr_alloc(sizeof(*in));
    in->p = g->p;
    in->group = g;
    in->cfg = *cfg;
    in->service_us = FIRST_SERVICE_US;
    in->service_factor = 1;
    px_window_init(&in->window);
    sr_copy(in->last_account, sizeof(in->last_account), sr_from(g->p->cfg.name));
    return in;
}

bool px_inst_has_room(const struct px_inst *in, int64_t now)
{
    bool may_open = now >= in->next_open_at && !in->cfg.draining && !in->removed;
    return may_open && in->n_conns < in->share &&
           px_saturation_may_open(&in->saturation, &in->p->saturation, in->n_conns, now);
}

void px_inst_want_first_conn(struct px_inst *in, int64_t now)
{
    if (in->n_conns > 0 || in->share == 0 || in->wants_first_conn || px_has_accounts(in->p))
        return; /* the account of the first statement is not known */
    in->wants_first_conn = true;
    if (!in->group->connects_first && in->next_open_at < now + FIRST_CONN_DELAY_US)
        in->next_open_at = now + FIRST_CONN_DELAY_US;
    else if (px_inst_has_room(in, now))
        px_conn_open(in, in->p->cfg.name);
}

void px_inst_request_share(struct px_inst *in, int64_t now)
{
    if (in->share > 0 || in->n_conns > 0 || in->cfg.draining || in->removed)
        return;
    if (in->peak_demand == 0)
        in->peak_demand = 1;
    if (now - in->share_requested_at < SHARE_REQUEST_INTERVAL_US)
        return;
    in->share_requested_at = now;
    in->p->has_changes = true; /* causes an extra renewal */
}

static struct px_conn *idle_conn(const struct px_inst *in, const struct px_session *s)
{
    struct px_conn *best = NULL;
    int best_rank = 3;
    for (struct px_conn *c = in->conns; c; c = c->next) {
        if (c->phase != PX_C_IDLE || c->closing || strcmp(c->account, s->account) != 0)
            continue;
        /* A connection with the session's values is preferred, then one without any. */
        int rank = c->applied.session == s->state.session ? 0 : c->applied.session ? 2 : 1;
        if (rank < best_rank) {
            best = c;
            best_rank = rank;
        }
    }
    return best;
}

bool px_inst_has_idle_conn(const struct px_inst *in, const struct px_session *s)
{
    return idle_conn(in, s) != NULL;
}

bool px_inst_has_free_conn(const struct px_inst *in)
{
    for (const struct px_conn *c = in->conns; c; c = c->next) {
        if (!c->closing && (c->phase == PX_C_IDLE || c->phase == PX_C_OPENING))
            return true;
    }
    return false;
}

bool px_inst_usable(const struct px_inst *in, int64_t now)
{
    if (in->cfg.draining || in->removed)
        return false;
    if (in->n_conns > 0)
        return !in->connect_failed_at;
    return in->share > 0 && now >= in->next_open_at;
}

/* ---- waiting for a connection ---- */

/* Sorts by priority, then by the time at which a session's target is missed, so that sessions
 * that can wait longer do. In order of arrival, long reads with twice the target were served
 * before short ones, which then missed theirs. */
static bool goes_before(const struct px_session *a, const struct px_session *b)
{
    if (a->route.priority != b->route.priority)
        return a->route.priority < b->route.priority;
    return a->arrived + a->route.target_us < b->arrived + b->route.target_us;
}

/* A session that goes behind all others, as most do, is linked in without a search. */
static void enqueue(struct px_inst *in, struct px_session *s)
{
    struct px_session **at = &in->waiters;
    if (in->last_waiter && !goes_before(s, in->last_waiter))
        at = &in->last_waiter->wait_next;
    while (*at && !goes_before(s, *at))
        at = &(*at)->wait_next;
    s->wait_next = *at;
    *at = s;
    if (!s->wait_next)
        in->last_waiter = s;
    in->n_waiters++;
    s->inst = in;
    s->stage = PX_S_WAITING;
    s->waiting_since = ck_now();
}

void px_inst_dequeue(struct px_inst *in, struct px_session *s)
{
    struct px_session **at = &in->waiters, *before = NULL;
    while (*at && *at != s) {
        before = *at;
        at = &before->wait_next;
    }
    if (!*at)
        return;
    *at = s->wait_next;
    if (in->last_waiter == s)
        in->last_waiter = before;
    s->wait_next = NULL;
    in->n_waiters--;
}

static void note_demand(struct px_inst *in)
{
    int want = in->busy + in->n_waiters;
    if (want > in->peak_demand)
        in->peak_demand = want;
}

static int count_opening(const struct px_inst *in)
{
    int n = 0;
    for (const struct px_conn *c = in->conns; c; c = c->next)
        n += c->phase == PX_C_OPENING;
    return n;
}

/* A statement that is outstanding for much longer than statements take has probably lost its
 * answer and must not block the others. */
int px_inst_running(const struct px_inst *in)
{
    int64_t since = px_received_until(in->p) - in->service_us * LOST_SERVICE_TIMES;
    int k = 0;
    for (const struct px_conn *c = in->conns; c; c = c->next) {
        bool out = c->phase == PX_C_SETUP || c->phase == PX_C_RUNNING;
        k += out && c->sent_at > since;
    }
    return k;
}

/* ---- connections of accounts ---- */

/* The number of idle connections of the account. The list is short: the node's share of an
 * instance. */
static int count_idle_of(const struct px_inst *in, const char *account)
{
    int k = 0;
    for (const struct px_conn *c = in->conns; c; c = c->next)
        k += c->phase == PX_C_IDLE && !c->closing && strcmp(c->account, account) == 0;
    return k;
}

/* Whether a session waits for a connection of that account. */
static bool has_waiter_of(const struct px_inst *in, const char *account)
{
    for (const struct px_session *s = in->waiters; s; s = s->wait_next) {
        if (strcmp(s->account, account) == 0)
            return true;
    }
    return false;
}

/* The connection to close if another account needs one; NULL: none may be closed. */
static struct px_conn *replaceable_conn(const struct px_inst *in, const char *account)
{
    enum { MAX_CONSIDERED = 64 }; /* a node's share of an instance's connections is smaller */
    struct px_spare spare[MAX_CONSIDERED];
    struct px_conn *conns[MAX_CONSIDERED];
    int n = 0;
    for (struct px_conn *c = in->conns; c && n < MAX_CONSIDERED; c = c->next) {
        bool idle = c->phase == PX_C_IDLE && !c->closing;
        if (!idle || strcmp(c->account, account) == 0 || has_waiter_of(in, c->account))
            continue;
        spare[n] = (struct px_spare){c->last_used_at, count_idle_of(in, c->account)};
        conns[n++] = c;
    }
    int i = px_choose_spare(spare, n);
    return i < 0 ? NULL : conns[i];
}

/* Views of the node's connections for the accounts of waiting sessions. Each is made once a
 * pass over them: with thousands of waiting sessions it takes longer than a statement. */
enum { MAX_VIEWS = 16 };
struct choice_views {
    int n, next;
    const char *account[MAX_VIEWS];
    struct px_choice_view v[MAX_VIEWS];
};

static struct px_choice_view make_view(const struct px_inst *in, const struct px_session *s,
                                       bool share_has_room, int64_t now)
{
    struct px_choice_view v = {.share_has_room = share_has_room,
                               .idle = idle_conn(in, s) != NULL};
    for (const struct px_conn *c = in->conns; c; c = c->next) {
        bool own = !c->closing && strcmp(c->account, s->account) == 0;
        v.own_conns += own;
        v.own_opening += own && c->phase == PX_C_OPENING;
    }
    for (const struct px_session *w = in->waiters; w != s; w = w->wait_next)
        v.own_waiting += strcmp(w->account, s->account) == 0;
    v.can_replace = !v.share_has_room && now >= in->next_open_at &&
                    replaceable_conn(in, s->account) != NULL;
    return v;
}

/* The node's connections at the instance, as seen for a waiting session. Where there are more
 * accounts than views, the oldest view is replaced. */
static const struct px_choice_view *choice_view(struct choice_views *views,
                                                const struct px_inst *in,
                                                const struct px_session *s, bool share_has_room,
                                                int64_t now)
{
    int i = 0;
    while (i < views->n && strcmp(views->account[i], s->account) != 0)
        i++;
    if (i == views->n) {
        i = views->next;
        views->next = (i + 1) % MAX_VIEWS;
        if (views->n < MAX_VIEWS)
            views->n++;
        views->account[i] = s->account;
        views->v[i] = make_view(in, s, share_has_room, now);
    }
    views->v[i].own_waiting++;
    views->v[i].waited_us = now - s->waiting_since;
    return &views->v[i];
}

static bool has_idle(const struct px_inst *in)
{
    for (const struct px_conn *c = in->conns; c; c = c->next) {
        if (c->phase == PX_C_IDLE && !c->closing)
            return true;
    }
    return false;
}

/* The number of connections that are being closed, each of which makes room for one waiting
 * session soon. */
static int count_closing(const struct px_inst *in)
{
    int k = 0;
    for (const struct px_conn *c = in->conns; c; c = c->next)
        k += c->closing;
    return k;
}

static void replace_conn(struct px_inst *in, const char *account)
{
    struct px_conn *c = replaceable_conn(in, account);
    if (!c || count_closing(in) > count_opening(in))
        return; /* the room of the last closed connection is not used yet */
    in->replaced++;
    in->p->c.replaced_conns++;
    px_conn_close(c);
}

/* Opens a connection for the first waiting session that needs one. A connection that is being
 * opened takes a slot of the instance for as long as a statement, so it counts as one in the
 * window. When sixteen nodes opened eight each at once after a loss of all power, they filled
 * an instance's queue, and 1,300 statements in 0.2 s were refused as busy. */
static void open_for_waiters(struct px_inst *in, int64_t now)
{
    int out = count_opening(in);
    if (out >= in->n_waiters || !px_window_open(&in->window, px_inst_running(in) + out, now))
        return;
    bool share_has_room = px_inst_has_room(in, now);
    if (!share_has_room && (now < in->next_open_at || !has_idle(in)))
        return; /* no account may open a connection, or have one closed for it */
    struct choice_views views = {0};
    for (const struct px_session *s = in->waiters; s; s = s->wait_next) {
        enum px_conn_choice choice =
            px_choose_conn(choice_view(&views, in, s, share_has_room, now));
        if (choice == PX_CHOICE_OPEN)
            px_conn_open(in, s->account);
        else if (choice == PX_CHOICE_REPLACE)
            replace_conn(in, s->account);
        if (choice == PX_CHOICE_OPEN || choice == PX_CHOICE_REPLACE)
            return;
    }
}

void px_inst_submit(struct px_inst *in, struct px_session *s)
{
    bool open = px_window_open(&in->window, px_inst_running(in), ck_now());
    struct px_conn *c = open ? idle_conn(in, s) : NULL;
    if (c) {
        px_conn_run(c, s);
        note_demand(in);
        return;
    }
    enqueue(in, s);
    note_demand(in);
    open_for_waiters(in, ck_now());
}

/* The first waiting session whose account has an idle connection, and that connection in *c. */
static struct px_session *next_to_serve(const struct px_inst *in, struct px_conn **c)
{
    for (struct px_session *s = in->waiters; s; s = s->wait_next) {
        *c = idle_conn(in, s);
        if (*c)
            return s;
    }
    return NULL;
}

void px_inst_serve_waiters(struct px_inst *in)
{
    while (in->waiters && px_window_open(&in->window, px_inst_running(in), ck_now())) {
        struct px_conn *c;
        struct px_session *s = next_to_serve(in, &c);
        if (!s)
            break;
        px_inst_dequeue(in, s);
        px_conn_run(c, s);
    }
    if (in->waiters)
        open_for_waiters(in, ck_now());
}

/* ---- suspicion ---- */

void px_inst_report_suspicion(struct px_inst *in, enum wr_health health)
{
    int64_t now = ck_now();
    bool primary = in->index == in->group->cfg.primary;
    if (in->removed || !primary || now - in->suspicion_sent_at < SUSPICION_INTERVAL_US)
        return;
    in->suspicion_sent_at = now;
    FL_EVENT(&in->p->log, LG_INFO, "instance_suspected", "instance=%s group=%s why=%s",
             in->cfg.id, in->group->cfg.name,
             health == WR_REFUSED ? "refuses"
             : health == WR_UNFIT ? "serves alone"
                                  : "does not answer, or fails");
    in->p->cfg.host.suspect(in->p->cfg.host.ud, in->cfg.id, health);
}

/* Whether a statement has been outstanding for long while nothing was received: its answer was
 * lost, or the instance is down. A new connection is opened to find out. */
static bool has_unanswered(const struct px_inst *in)
{
    int64_t received_until = px_received_until(in->p);
    for (const struct px_conn *c = in->conns; c; c = c->next) {
        bool out = c->phase != PX_C_IDLE && c->phase != PX_C_IDLE_IN_TXN;
        if (out && received_until - c->sent_at > NO_ANSWER_US && in->last_received < c->sent_at)
            return true;
    }
    return false;
}

/* Whether a connection has no greeting in time: the instance is down or unreachable. */
static bool has_no_greeting(const struct px_inst *in)
{
    int64_t received_until = px_received_until(in->p);
    for (const struct px_conn *c = in->conns; c; c = c->next) {
        bool late = c->phase == PX_C_OPENING && received_until - c->sent_at > NO_GREETING_US;
        if (late && in->last_received < c->sent_at)
            return true;
    }
    return false;
}

/* Whether the instance fails while another of its group works. If all fail, replacing one would
 * not help. */
static bool is_outlier(const struct px_inst *in, int64_t now)
{
    const struct px_group *g = in->group;
    if (!px_outlier_failing(&in->outlier, now))
        return false;
    for (int i = 0; i < g->cfg.n; i++) {
        const struct px_inst *o = g->inst[i];
        if (o != in && px_outlier_sound(&o->outlier, now))
            return true;
    }
    return false;
}

static void update_outlier(struct px_inst *in, int64_t now)
{
    if (!is_outlier(in, now))
        in->outlier_since = 0;
    else if (!in->outlier_since)
        in->outlier_since = now;
}

/* Whether the instance has been an outlier for long enough that other failing instances would
 * have been noticed. */
static bool is_confirmed_outlier(const struct px_inst *in)
{
    return in->outlier_since &&
           px_received_until(in->p) - in->outlier_since > OUTLIER_CONFIRM_US;
}

static bool is_behind(const struct px_inst *in, int64_t received_until)
{
    return received_until - in->behind_until < BEHIND_RECENT_US &&
           received_until - in->read_served_at > BEHIND_RECENT_US;
}

static struct px_handover_view handover_view(const struct px_group *g)
{
    struct px_handover_view v = {.wait_failed_at = g->wait_failed_at,
                                 .term_began_at = g->term_began_at};
    for (int i = 0; i < g->cfg.n; i++) {
        if (i == g->cfg.primary || g->cfg.inst[i].draining)
            continue;
        v.replicas++;
        v.behind += is_behind(g->inst[i], px_received_until(g->p));
    }
    return v;
}

/* Whether the group's primary serves alone and callers are refused because of that. */
static bool needs_handover(struct px_inst *in)
{
    struct px_handover_view v = handover_view(in->group);
    return px_handover_due(&in->group->handover, &v, px_received_until(in->p));
}

static bool is_sole_server(const struct px_inst *in)
{
    struct px_handover_view v = handover_view(in->group);
    return in->index == in->group->cfg.primary && px_primary_serves_alone(&v);
}

enum wr_health px_instance_health(const struct px_proxy *p, struct sr_str id)
{
    const struct px_inst *in = px_find_inst(p, id);
    int64_t now = ck_now();
    if (!in)
        return WR_UNKNOWN;
    if (in->connect_failed_at)
        return WR_REFUSED;
    if (has_no_greeting(in) || is_confirmed_outlier(in))
        return WR_SILENT;
    if (in->wants_handover)
        return WR_UNFIT;
    if (px_outlier_failing(&in->outlier, now))
        return WR_UNKNOWN; /* no other instance of the group is known to work */
    if (is_sole_server(in))
        return WR_UNKNOWN;
    return now - in->last_received < HEALTH_FRESH_US ? WR_OK : WR_UNKNOWN;
}

/* ---- periodic work ---- */

/* Closes idle connections beyond the share; all of them if the instance drains or was removed.
 */
static void close_excess(struct px_inst *in)
{
    int keep = in->cfg.draining || in->removed ? 0 : in->share;
    int excess = in->n_conns - keep;
    for (struct px_conn *c = in->conns; c && excess > 0; c = c->next) {
        if (c->phase != PX_C_IDLE || c->closing)
            continue;
        px_conn_close(c);
        excess--;
    }
}

void px_inst_tick(struct px_inst *in, int64_t now)
{
    for (struct px_conn *c = in->conns; c; c = c->next)
        px_conn_tick(c, now);
    close_excess(in);
    px_inst_serve_waiters(in);
    open_for_waiters(in, now);
    if (in->wants_first_conn && in->n_conns == 0 && px_inst_has_room(in, now))
        px_conn_open(in, in->p->cfg.name);
    /* This connection may exceed the share by one. It only shows whether the instance is alive;
     * a refusal shows that as well. */
    bool probe = in->wants_probe || has_unanswered(in);
    in->wants_probe = false;
    if (probe && count_opening(in) == 0 && now >= in->next_open_at && !in->removed)
        px_conn_open(in, in->waiters ? in->waiters->account : in->last_account);
    update_outlier(in, now);
    bool is_primary = !in->removed && in->index == in->group->cfg.primary;
    in->wants_handover = is_primary && needs_handover(in);
    if (has_no_greeting(in) || is_confirmed_outlier(in))
        px_inst_report_suspicion(in, WR_SILENT);
    else if (in->wants_handover)
        px_inst_report_suspicion(in, WR_UNFIT);
}

/* ---- removal ---- */

void px_inst_remove(struct px_inst *in)
{
    in->removed = true;
    in->next_removed = in->p->removed_insts;
    in->p->removed_insts = in;
    while (in->waiters) {
        struct px_session *s = in->waiters;
        px_inst_dequeue(in, s);
        px_park(s, ck_now());
    }
    close_excess(in);
    px_inst_free_if_removed(in);
}

void px_inst_free_if_removed(struct px_inst *in)
{
    struct px_inst **at = &in->p->removed_insts;
    if (!in->removed || in->n_conns > 0)
        return;
    while (*at && *at != in)
        at = &(*at)->next_removed;
    if (*at)
        *at = in->next_removed;
    free(in);
}

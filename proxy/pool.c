/* Instances and this node's connections to them, within its share. */
#include <stdlib.h>

#include "proxy/priv.h"

enum {
    FIRST_SERVICE_US = 15000,  /* what a statement takes before any was measured */
    SUSPECT_EVERY_US = 100000, /* an instance is reported again at the earliest */
    LOST_TIMES = 5, /* a statement out for so many service times has probably lost its answer */
    QUIET_US = 300000,  /* a statement without an answer for so long, and nothing else heard */
    SILENT_US = 400000, /* a connection that is not greeted for so long */
    LACKS_EVERY_US = 100000, /* a share is asked for out of turn at most so often */
    FRESH_US = 400000,       /* an instance heard within this is taken for well */
    /* An instance that fails alone is reported after this. Origin: by then each of its group
     * has been asked often enough to tell. */
    ALONE_US = 1000000,
    /* Where all nodes connect at once, those that relay for the others come first by this.
     * Origin: leases of nodes that start together are granted within some 50 ms. */
    FIRST_HEAD_US = 100000,
    /* A lagging replica is asked anew after 250 ms, if reads come. */
    BEHIND_GAP_US = 500000,
};

struct px_inst *px_inst_new(struct px_group *g, const struct vw_instance *cfg)
{
    struct px_inst *in = sr_alloc(sizeof(*in));
    in->p = g->p;
    in->group = g;
    in->cfg = *cfg;
    in->service_us = FIRST_SERVICE_US;
    in->pace = 1;
    px_window_init(&in->window);
    sr_copy(in->last_account, sizeof(in->last_account), sr_from(g->p->cfg.name));
    return in;
}

bool px_inst_has_room(const struct px_inst *in, int64_t now)
{
    bool may = now >= in->next_open && !in->cfg.draining && !in->gone;
    return may && in->n_conns < in->share &&
           px_full_may_open(&in->full, &in->p->fulls, in->n_conns, now);
}

void px_inst_want_first(struct px_inst *in, int64_t now)
{
    if (in->n_conns > 0 || in->share == 0 || in->wants_first || px_has_accounts(in->p))
        return; /* whose account will be asked for first is not known */
    in->wants_first = true;
    if (!in->group->first && in->next_open < now + FIRST_HEAD_US)
        in->next_open = now + FIRST_HEAD_US;
    else if (px_inst_has_room(in, now))
        px_conn_open(in, in->p->cfg.name);
}

void px_inst_lacks(struct px_inst *in, int64_t now)
{
    if (in->share > 0 || in->n_conns > 0 || in->cfg.draining || in->gone)
        return;
    if (in->peak == 0)
        in->peak = 1;
    if (now - in->lacked_at < LACKS_EVERY_US)
        return;
    in->lacked_at = now;
    in->p->has_changes = true; /* with a renewal of its own */
}

static struct px_conn *idle_conn(const struct px_inst *in, const struct px_session *s)
{
    struct px_conn *best = NULL;
    int best_rank = 3;
    for (struct px_conn *c = in->conns; c; c = c->next) {
        if (c->phase != PX_C_IDLE || c->closing || strcmp(c->account, s->account) != 0)
            continue;
        /* Its own values first, then a connection that has none. */
        int rank = c->applied.session == s->state.session ? 0 : c->applied.session ? 2 : 1;
        if (rank < best_rank) {
            best = c;
            best_rank = rank;
        }
    }
    return best;
}

bool px_inst_ready(const struct px_inst *in, const struct px_session *s)
{
    return idle_conn(in, s) != NULL;
}

bool px_inst_usable(const struct px_inst *in, int64_t now)
{
    if (in->cfg.draining || in->gone)
        return false;
    if (in->n_conns > 0)
        return !in->refused_at;
    return in->share > 0 && now >= in->next_open;
}

/* ---- waiting for a connection ---- */

/* By the time until they are late, so that what may wait longer does: with the order of arrival
 * alone, long reads that have twice the time were served before short ones that then were late.
 */
static bool before(const struct px_session *a, const struct px_session *b)
{
    if (a->route.priority != b->route.priority)
        return a->route.priority < b->route.priority;
    return a->arrived + a->route.aim_us < b->arrived + b->route.aim_us;
}

static void enqueue(struct px_inst *in, struct px_session *s)
{
    struct px_session **at = &in->waiters;
    while (*at && !before(s, *at))
        at = &(*at)->wait_next;
    s->wait_next = *at;
    *at = s;
    in->n_waiters++;
    s->inst = in;
    s->stage = PX_S_WAITING;
    s->waiting_since = ck_now();
}

void px_inst_unwait(struct px_inst *in, struct px_session *s)
{
    struct px_session **at = &in->waiters;
    while (*at && *at != s)
        at = &(*at)->wait_next;
    if (!*at)
        return;
    *at = s->wait_next;
    s->wait_next = NULL;
    in->n_waiters--;
}

static void note_demand(struct px_inst *in)
{
    int want = in->busy + in->n_waiters;
    if (want > in->peak)
        in->peak = want;
}

static int opening(const struct px_inst *in)
{
    int k = 0;
    for (const struct px_conn *c = in->conns; c; c = c->next)
        k += c->phase == PX_C_OPENING;
    return k;
}

/* One that is out for far longer than statements take has probably lost its answer: it does not
 * hold up the others. */
int px_inst_running(const struct px_inst *in)
{
    int64_t since = px_received_until(in->p) - in->service_us * LOST_TIMES;
    int k = 0;
    for (const struct px_conn *c = in->conns; c; c = c->next) {
        bool out = c->phase == PX_C_SETUP || c->phase == PX_C_RUNNING;
        k += out && c->sent_at > since;
    }
    return k;
}

/* ---- connections of accounts ---- */

/* Idle connections of the account; the list is short, a share of an instance's. */
static int idle_of(const struct px_inst *in, const char *account)
{
    int k = 0;
    for (const struct px_conn *c = in->conns; c; c = c->next)
        k += c->phase == PX_C_IDLE && !c->closing && strcmp(c->account, account) == 0;
    return k;
}

/* Whether somebody waits for a connection of that account. */
static bool waited_for(const struct px_inst *in, const char *account)
{
    for (const struct px_session *s = in->waiters; s; s = s->wait_next) {
        if (strcmp(s->account, account) == 0)
            return true;
    }
    return false;
}

/* The connection that goes if another account needs one; NULL: none can. */
static struct px_conn *spare_conn(const struct px_inst *in, const char *account)
{
    enum { LOOKED_AT = 64 }; /* a node's share of an instance's connections is below that */
    struct px_spare spare[LOOKED_AT];
    struct px_conn *conns[LOOKED_AT];
    int n = 0;
    for (struct px_conn *c = in->conns; c && n < LOOKED_AT; c = c->next) {
        bool idle = c->phase == PX_C_IDLE && !c->closing;
        if (!idle || strcmp(c->account, account) == 0 || waited_for(in, c->account))
            continue;
        spare[n] = (struct px_spare){c->used_at, idle_of(in, c->account)};
        conns[n++] = c;
    }
    int i = px_fit_spare(spare, n);
    return i < 0 ? NULL : conns[i];
}

/* What the node has there, as seen for a statement that waits. */
static struct px_fit_view fit_view(const struct px_inst *in, const struct px_session *s,
                                   int64_t now)
{
    struct px_fit_view v = {.room = px_inst_has_room(in, now),
                            .waited = now - s->waiting_since,
                            .idle = idle_conn(in, s) != NULL};
    for (const struct px_conn *c = in->conns; c; c = c->next) {
        bool own = !c->closing && strcmp(c->account, s->account) == 0;
        v.own += own;
        v.coming += own && c->phase == PX_C_OPENING;
    }
    for (const struct px_session *w = in->waiters; w; w = w->wait_next) {
        v.waiting += strcmp(w->account, s->account) == 0;
        if (w == s)
            break;
    }
    v.replaces = !v.room && now >= in->next_open && spare_conn(in, s->account) != NULL;
    return v;
}

/* Connections that are on their way out make room soon: one for each that waits for it. */
static int closing(const struct px_inst *in)
{
    int k = 0;
    for (const struct px_conn *c = in->conns; c; c = c->next)
        k += c->closing;
    return k;
}

static void replace(struct px_inst *in, const char *account)
{
    struct px_conn *c = spare_conn(in, account);
    if (!c || closing(in) > opening(in))
        return; /* the last one that was closed is not used yet */
    in->replaced++;
    in->p->c.replaced_conns++;
    px_conn_close(c);
}

/* A connection that is being opened takes an instance's slot for as long as a statement, so it
 * counts as one in the window. Sixteen nodes that each opened eight at once after a loss of all
 * power filled an instance's queue with them, and 1,300 statements in 0.2 s were refused as
 * busy. Of those that wait the first that needs a connection gets it. */
static void open_for_waiters(struct px_inst *in, int64_t now)
{
    int out = opening(in);
    if (out >= in->n_waiters || !px_window_open(&in->window, px_inst_running(in) + out, now))
        return;
    for (const struct px_session *s = in->waiters; s; s = s->wait_next) {
        struct px_fit_view v = fit_view(in, s, now);
        enum px_fit fit = px_fit(&v);
        if (fit == PX_FIT_OPEN)
            px_conn_open(in, s->account);
        else if (fit == PX_FIT_REPLACE)
            replace(in, s->account);
        if (fit == PX_FIT_OPEN || fit == PX_FIT_REPLACE)
            return;
    }
}

void px_inst_take(struct px_inst *in, struct px_session *s)
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

/* The first of those that wait of whose account a connection is idle. */
static struct px_session *next_served(const struct px_inst *in, struct px_conn **c)
{
    for (struct px_session *s = in->waiters; s; s = s->wait_next) {
        *c = idle_conn(in, s);
        if (*c)
            return s;
    }
    return NULL;
}

void px_inst_pump(struct px_inst *in)
{
    while (in->waiters && px_window_open(&in->window, px_inst_running(in), ck_now())) {
        struct px_conn *c;
        struct px_session *s = next_served(in, &c);
        if (!s)
            break;
        px_inst_unwait(in, s);
        px_conn_run(c, s);
    }
    if (in->waiters)
        open_for_waiters(in, ck_now());
}

/* ---- suspicion ---- */

void px_inst_suspect(struct px_inst *in, enum wr_health health)
{
    int64_t now = ck_now();
    bool primary = in->at == in->group->cfg.primary;
    if (in->gone || !primary || now - in->told_at < SUSPECT_EVERY_US)
        return;
    in->told_at = now;
    FL_EVENT(&in->p->log, LG_INFO, "instance_suspected", "instance=%s group=%s why=%s",
             in->cfg.id, in->group->cfg.name,
             health == WR_REFUSED ? "refuses"
             : health == WR_UNFIT ? "serves alone"
                                  : "does not answer, or fails");
    in->p->cfg.host.suspect(in->p->cfg.host.ud, in->cfg.id, health);
}

/* Something is out, for long, and nothing was heard meanwhile: an answer that was lost, or an
 * instance that is gone. A new connection tells. */
static bool quiet(const struct px_inst *in)
{
    int64_t heard = px_received_until(in->p);
    for (const struct px_conn *c = in->conns; c; c = c->next) {
        bool out = c->phase != PX_C_IDLE && c->phase != PX_C_RESTING;
        if (out && heard - c->sent_at > QUIET_US && in->heard < c->sent_at)
            return true;
    }
    return false;
}

/* A connection is not greeted: nobody is there, or can be reached. */
static bool silent(const struct px_inst *in)
{
    int64_t heard = px_received_until(in->p);
    for (const struct px_conn *c = in->conns; c; c = c->next) {
        bool late = c->phase == PX_C_OPENING && heard - c->sent_at > SILENT_US;
        if (late && in->heard < c->sent_at)
            return true;
    }
    return false;
}

/* It fails much while another of its group does not: what fails everywhere is no reason to
 * change anything. */
static bool fails_alone(const struct px_inst *in, int64_t now)
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

static void note_alone(struct px_inst *in, int64_t now)
{
    if (!fails_alone(in, now))
        in->alone_since = 0;
    else if (!in->alone_since)
        in->alone_since = now;
}

/* It has failed alone for so long that others, if they fail as well, would have shown it. */
static bool outlived_doubt(const struct px_inst *in)
{
    return in->alone_since && px_received_until(in->p) - in->alone_since > ALONE_US;
}

static bool is_behind(const struct px_inst *in, int64_t heard)
{
    return heard - in->behind_until < BEHIND_GAP_US && heard - in->served_at > BEHIND_GAP_US;
}

static struct px_relief_view relief_view(const struct px_group *g)
{
    struct px_relief_view v = {.refused_at = g->refused_at, .term_since = g->term_since};
    for (int i = 0; i < g->cfg.n; i++) {
        if (i == g->cfg.primary || g->cfg.inst[i].draining)
            continue;
        v.replicas++;
        v.behind += is_behind(g->inst[i], px_received_until(g->p));
    }
    return v;
}

/* The group's primary serves alone, and callers are refused for it. */
static bool needs_relief(struct px_inst *in)
{
    struct px_relief_view v = relief_view(in->group);
    return px_relief_due(&in->group->relief, &v, px_received_until(in->p));
}

static bool serves_alone(const struct px_inst *in)
{
    struct px_relief_view v = relief_view(in->group);
    return in->at == in->group->cfg.primary && px_relief_alone(&v);
}

enum wr_health px_instance_health(const struct px_proxy *p, struct sr_str id)
{
    const struct px_inst *in = px_inst(p, id);
    int64_t now = ck_now();
    if (!in)
        return WR_UNKNOWN;
    if (in->refused_at)
        return WR_REFUSED;
    if (silent(in) || outlived_doubt(in))
        return WR_SILENT;
    if (in->unfit)
        return WR_UNFIT;
    if (px_outlier_failing(&in->outlier, now))
        return WR_UNKNOWN; /* no better one is known */
    if (serves_alone(in))
        return WR_UNKNOWN;
    return now - in->heard < FRESH_US ? WR_OK : WR_UNKNOWN;
}

/* ---- time ---- */

/* Above the share: idle ones go first. An instance that leaves keeps none. */
static void shed(struct px_inst *in)
{
    int keep = in->cfg.draining || in->gone ? 0 : in->share;
    int over = in->n_conns - keep;
    for (struct px_conn *c = in->conns; c && over > 0; c = c->next) {
        if (c->phase != PX_C_IDLE || c->closing)
            continue;
        px_conn_close(c);
        over--;
    }
}

void px_inst_tick(struct px_inst *in, int64_t now)
{
    for (struct px_conn *c = in->conns; c; c = c->next)
        px_conn_tick(c, now);
    shed(in);
    px_inst_pump(in);
    open_for_waiters(in, now);
    if (in->wants_first && in->n_conns == 0 && px_inst_has_room(in, now))
        px_conn_open(in, in->p->cfg.name);
    /* One more than the share, to learn whether it is there: refused, it is. */
    bool ask = in->asks || quiet(in);
    in->asks = false;
    if (ask && opening(in) == 0 && now >= in->next_open && !in->gone)
        px_conn_open(in, in->waiters ? in->waiters->account : in->last_account);
    note_alone(in, now);
    bool leads = !in->gone && in->at == in->group->cfg.primary;
    in->unfit = leads && needs_relief(in);
    if (silent(in) || outlived_doubt(in))
        px_inst_suspect(in, WR_SILENT);
    else if (in->unfit)
        px_inst_suspect(in, WR_UNFIT);
}

/* ---- end ---- */

void px_inst_gone(struct px_inst *in)
{
    in->gone = true;
    in->next_gone = in->p->removed_insts;
    in->p->removed_insts = in;
    while (in->waiters) {
        struct px_session *s = in->waiters;
        px_inst_unwait(in, s);
        px_park(s, ck_now());
    }
    shed(in);
    px_inst_maybe_free(in);
}

void px_inst_maybe_free(struct px_inst *in)
{
    struct px_inst **at = &in->p->removed_insts;
    if (!in->gone || in->n_conns > 0)
        return;
    while (*at && *at != in)
        at = &(*at)->next_gone;
    if (*at)
        *at = in->next_gone;
    free(in);
}

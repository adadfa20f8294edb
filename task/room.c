/* Memory and room for connections: counts what is held for each connection, and closes some
 * when there is too much or too many. shed.h decides which. */
#include "task/net_priv.h"

#include <string.h>

#include "misc/clock.h"
#include "misc/log.h"

enum {
    /* After the limit was exceeded, connections are closed until this part of it is held. */
    RELIEF_PERCENT = 90,
    /* Connections whose owners are asked to let them go for the sake of a new one. */
    MAX_CANDIDATES = 64,
    LOG_LINES_PER_S = 10,
};

static const struct lg_log nlog = {"net"};

static struct nt_conn *conn_of(struct sd_conn *s)
{
    return lws_container_of(s, struct nt_conn, use);
}

/* Plain HTTP has a limit of its own, so it makes room among itself. */
static struct sd_set *set_of(const struct nt_conn *c)
{
    return c->kind == K_HTTP_SERVER ? &c->ln->http : &c->ln->conns;
}

/* ---- what is held ---- */

static size_t bytes_held(const struct nt_conn *c)
{
    size_t own = c->in.cap + c->body.cap + c->queued + c->in_lws;
    return own + c->charged + (c->reading_paused || c->throttled ? NT_RECEIVE_BYTES : 0);
}

void np_recount(struct nt_conn *c)
{
    size_t now = c->dead ? 0 : bytes_held(c);
    c->loop->held = c->loop->held - c->use.bytes + now;
    c->use.bytes = now;
}

/* ---- callers that send much ---- */

static void throttle(struct nt_conn *c)
{
    struct nt_loop *l = c->loop;
    c->throttled = true;
    c->next_throttled = NULL;
    c->prev_throttled = l->last_throttled;
    *(l->last_throttled ? &l->last_throttled->next_throttled : &l->first_throttled) = c;
    l->last_throttled = c;
    l->st.throttled++;
    lws_rx_flow_control(c->wsi, 0);
    np_recount(c);
}

static void unthrottle(struct nt_conn *c)
{
    struct nt_loop *l = c->loop;
    if (!c->throttled)
        return;
    *(c->prev_throttled ? &c->prev_throttled->next_throttled : &l->first_throttled) =
        c->next_throttled;
    *(c->next_throttled ? &c->next_throttled->prev_throttled : &l->last_throttled) =
        c->prev_throttled;
    c->throttled = false;
}

/* A rate whose unused part of up to a second is kept. */
static void refill(int64_t *bytes, int64_t *at, int64_t per_s)
{
    int64_t now = ck_now(), elapsed = now - *at < CK_SEC(1) ? now - *at : CK_SEC(1);
    *bytes += elapsed * per_s / CK_SEC(1);
    if (*bytes > per_s)
        *bytes = per_s;
    *at = now;
}

/* Only of WebSockets: statements that sessions send ahead wait for turns in proxy/. */
static bool sends_much(struct nt_conn *c, size_t cost)
{
    int64_t now = ck_now();
    if (c->kind != K_WS)
        return false;
    if (now - c->recent_at > CK_SEC(1)) {
        c->recent_at = now;
        c->recent = 0;
    }
    c->recent += cost;
    return c->recent > NT_BULK_RECENT;
}

void np_note_read(struct nt_conn *c, size_t len, bool message)
{
    struct nt_loop *l = c->loop;
    size_t cost = len + (message ? NT_MESSAGE_COST : 0);
    if (!c->ln || c->use.rank == SD_PEER)
        return;
    bool much = sends_much(c, cost) || c->use.bytes > NT_BULK_BYTES;
    if (!much || c->dead || c->closing || c->throttled)
        return;
    refill(&l->bulk_bytes, &l->bulk_at, NT_BULK_PER_S);
    l->bulk_bytes -= (int64_t)cost;
    if (l->bulk_bytes < 0)
        throttle(c);
}

void np_continue_reading(struct nt_loop *l)
{
    if (!l->first_throttled)
        return;
    refill(&l->bulk_bytes, &l->bulk_at, NT_BULK_PER_S);
    /* Each reads at most SERVICE_BUF bytes before it is counted again. */
    for (int64_t left = l->bulk_bytes; left > 0 && l->first_throttled; left -= SERVICE_BUF) {
        struct nt_conn *c = l->first_throttled;
        unthrottle(c);
        if (!c->reading_paused)
            lws_rx_flow_control(c->wsi, 1);
        np_recount(c);
    }
}

void np_room_add(struct nt_conn *c, enum sd_rank rank)
{
    sd_add(set_of(c), &c->use, rank, ck_now());
    np_recount(c);
}

void np_room_remove(struct nt_conn *c)
{
    c->dead = true;
    unthrottle(c);
    np_recount(c);
    if (c->ln)
        sd_remove(set_of(c), &c->use);
}

static bool any_conn(const struct sd_set *set, bool (*is)(struct nt_conn *c))
{
    for (int rank = 0; rank < SD_RANKS; rank++) {
        for (struct sd_conn *s = set->oldest[rank]; s; s = s->newer) {
            if (is(conn_of(s)))
                return true;
        }
    }
    return false;
}

bool np_any_conn(const struct nt_listener *ln, bool (*is)(struct nt_conn *c))
{
    return any_conn(&ln->conns, is) || any_conn(&ln->http, is);
}

void nt_limit_memory(struct nt_loop *l, size_t bytes)
{
    l->max_held = bytes;
}

size_t nt_held(const struct nt_loop *l)
{
    return l->held;
}

void nt_charge(struct nt_conn *c, size_t bytes)
{
    c->charged = bytes;
    np_recount(c);
}

void nt_set_rank(struct nt_conn *c, enum sd_rank rank)
{
    if (c->ln)
        sd_set_rank(set_of(c), &c->use, rank);
}

void nt_note_progress(struct nt_conn *c)
{
    if (c->ln)
        sd_progress(set_of(c), &c->use, ck_now());
}

int64_t nt_progress_at(const struct nt_conn *c)
{
    return c->use.progress_at;
}

/* ---- closing ---- */

static bool may_log(struct nt_loop *l)
{
    int64_t now = ck_now();
    if (now - l->log_budget_at > CK_SEC(1)) {
        l->log_budget_at = now;
        l->log_budget = LOG_LINES_PER_S;
    }
    return l->log_budget-- > 0;
}

static void log_shed(const struct nt_conn *c, enum nt_shed why)
{
    static const char *const names[] = {[NT_SHED_MEMORY] = "memory", [NT_SHED_ROOM] = "room"};
    const struct nt_loop *l = c->loop;
    FL_EVENT(&nlog, LG_INFO, "connection_shed",
             "why=%s port=%d rank=%d bytes=%zu no_progress_ms=%lld connections=%d held=%zu "
             "limit=%zu",
             names[why], c->ln->what.port, (int)c->use.rank, c->use.bytes,
             (long long)((ck_now() - c->use.progress_at) / 1000), set_of(c)->n, l->held,
             l->max_held);
}

static void count_shed(struct nt_conn *c, enum nt_shed why)
{
    if (may_log(c->loop))
        log_shed(c, why);
    if (why == NT_SHED_MEMORY)
        c->loop->st.shed_for_memory++;
    else
        c->loop->st.shed_for_room++;
}

/* Frees what the connection holds here and closes it in the next iteration of the loop, also if
 * its peer takes no more bytes. */
static void drop(struct nt_conn *c)
{
    while (c->head)
        np_pop_out(c);
    sr_buf_free(&c->in);
    sr_buf_free(&c->body);
    sd_remove(set_of(c), &c->use);
    c->charged = 0;
    c->in_lws = 0;
    np_recount(c);
    nt_close(c, true);
    if (c->wsi)
        lws_set_timeout(c->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

static enum nt_shed_answer ask_owner(struct nt_conn *c, enum nt_shed why)
{
    if (c->kind == K_HTTP_SERVER)
        return np_http_shed(c, why);
    if (!c->ops)
        return NT_SHED_CLOSE; /* nt_forget */
    return c->ln->what.shed ? c->ln->what.shed(c, c->ud, why) : NT_SHED_CLOSE;
}

/* Returns false if the connection stays because it is in use. */
static bool shed(struct nt_conn *c, enum nt_shed why)
{
    enum nt_shed_answer answer = ask_owner(c, why);
    if (answer == NT_SHED_KEEP && why == NT_SHED_ROOM)
        return false;
    count_shed(c, why);
    if (answer == NT_SHED_ENDING)
        sd_remove(set_of(c), &c->use);
    else
        drop(c);
    return true;
}

static struct sd_conn *heavier(struct sd_conn *a, struct sd_conn *b, int64_t now)
{
    if (!a || !b)
        return a ? a : b;
    return sd_weight(a, now) >= sd_weight(b, now) ? a : b;
}

static struct nt_conn *heaviest(const struct nt_loop *l, int64_t now)
{
    struct sd_conn *best = NULL;
    for (const struct nt_listener *ln = l->listeners; ln; ln = ln->next) {
        best = heavier(best, sd_heaviest(&ln->conns, now), now);
        best = heavier(best, sd_heaviest(&ln->http, now), now);
    }
    return best ? conn_of(best) : NULL;
}

void np_relieve(struct nt_loop *l)
{
    int64_t now = ck_now();
    if (!l->max_held || l->held <= l->max_held)
        return;
    while (l->held > l->max_held / 100 * RELIEF_PERCENT) {
        struct nt_conn *c = heaviest(l, now);
        if (!c)
            return; /* only connections to and from other processes are left */
        shed(c, NT_SHED_MEMORY);
    }
}

static bool make_room(const struct sd_set *set, enum sd_rank from)
{
    struct sd_conn *candidates[MAX_CANDIDATES];
    int n = sd_least_used(set, from, ck_now(), candidates, MAX_CANDIDATES);
    for (int i = 0; i < n; i++) {
        if (shed(conn_of(candidates[i]), NT_SHED_ROOM))
            return true;
    }
    return false;
}

bool nt_make_room(struct nt_listener *ln)
{
    return make_room(&ln->conns, SD_NEW);
}

bool np_make_room_for_request(const struct nt_listener *ln)
{
    return make_room(&ln->http, SD_OPENED);
}

void np_drop_oldest_pending(const struct nt_listener *ln)
{
    struct sd_conn *c = ln->http.oldest[SD_NEW];
    if (!c)
        return;
    count_shed(conn_of(c), NT_SHED_ROOM);
    drop(conn_of(c));
}

bool nt_may_parse(struct nt_loop *l, size_t len)
{
    if (len <= NT_LARGE_MESSAGE)
        return true;
    refill(&l->large_bytes, &l->large_at, NT_LARGE_PER_S);
    if (l->large_bytes < (int64_t)len) {
        l->st.not_parsed++;
        return false;
    }
    l->large_bytes -= (int64_t)len;
    return true;
}

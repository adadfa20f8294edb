/* ferry-world: the outside of the users' platform in one process: groups of three instances
 * that speak its lines, register themselves at control nodes, and are promoted by POST
 * /promote. Written from the platform's pages, not from platform/.
 *
 * Instance i of group g listens on base + 10 g + i. Whatever is committed is received by the
 * other instances at once and applied after the group's lag, so a promotion loses nothing and
 * every stale read is the proxy's doing. Orders come to base - 1 by HTTP, commands of a test to
 * base - 2: /kill/G/I, /revive/G/I, /lag/G/MS, /drain/G/I, /deaf-orders/N (the next N go
 * unanswered and are carried out late), /halves/N (the next N answers break off), /grey/G/I/P
 * (P in a hundred reads fail there), /via/N (instances say that they are N ports further, where
 * a ferry-pipe is), /status. */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "misc/clock.h"
#include "misc/rng.h"
#include "misc/str.h"
#include "proxy/wire.h"
#include "task/net.h"

enum { GROUPS = 4, INSTS = 3, LOG = 200000, KEYS = 512, WORD = 64, MAX_SETS = 16 };
enum {
    LATE_US = 1500000, /* an order that got no answer is carried out after this */
    LEAD_US = 100000,  /* any other */
    BEAT_US = 300000,
};

struct entry {
    int key;
    char value[WORD];
    int64_t at;
    uint64_t term;
};

struct group {
    char name[16];
    int lag_ms, n_log, primary;
    uint64_t term, token;
    struct entry *log;
};

struct inst {
    struct world *w;
    struct group *g;
    int at, port;
    bool dead, draining;
    unsigned grey; /* of a hundred reads so many fail */
    unsigned reads;
    uint64_t failed;
    int applied;
    uint64_t seq;
    struct conn *conns;
    int n_conns;
};

struct conn {
    struct conn *next;
    struct inst *in;
    struct nt_conn *net;
    struct sr_buf buf;
    bool greeted, txn, read_only, failed, was_primary;
    uint64_t term;
    int n_writes, n_sets, n_prep;
    struct entry writes[16];
    char set[MAX_SETS][2][WORD], prep[MAX_SETS * 8][3][WORD];
};

struct order {
    struct world *w;
    struct nt_timer timer;
    char group[WORD], id[WORD];
    uint64_t token;
};

struct world {
    struct nt_loop *loop;
    int base, n_groups, deaf;
    int busy_sets; /* SETs that are to be refused */
    int via;       /* added to the ports that instances tell */
    int halves;    /* answers of reads and writes that are to break off before their end */
    int n_controls, control_port[8], next_control;
    char control_ip[8][46];
    struct group g[GROUPS];
    struct inst inst[GROUPS][INSTS];
    struct nt_timer beat;
    struct rn_rng rng;
    char keys[KEYS][WORD];
    int n_keys;
    uint64_t refused_orders, orders;
    uint64_t
        strangers; /* connections to instances that began with something else than STARTUP */
};

static int key_of(struct world *w, const char *name)
{
    for (int i = 0; i < w->n_keys; i++) {
        if (strcmp(w->keys[i], name) == 0)
            return i;
    }
    if (w->n_keys == KEYS)
        abort();
    snprintf(w->keys[w->n_keys], WORD, "%s", name);
    return w->n_keys++;
}

/* ---- the log as an instance sees it ---- */

static bool leads(const struct inst *in)
{
    return in->g->primary == in->at;
}

/* What was applied stays so when the lag grows: no instance goes back. */
static int applied(struct inst *in)
{
    const struct group *g = in->g;
    int n = g->n_log;
    int64_t until = ck_now() - CK_MS(g->lag_ms);
    while (!leads(in) && n > in->applied && g->log[n - 1].at > until)
        n--;
    in->applied = n;
    return n;
}

static const char *value_at(struct inst *in, int key)
{
    for (int n = applied(in); n > 0; n--) {
        if (in->g->log[n - 1].key == key)
            return in->g->log[n - 1].value;
    }
    return "0";
}

/* ---- answers ---- */

static void say(struct conn *c, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
static void say(struct conn *c, const char *fmt, ...)
{
    char line[256];
    va_list ap;
    va_start(ap, fmt);
    int n = vsnprintf(line, sizeof(line) - 2, fmt, ap);
    va_end(ap);
    memcpy(line + n, "\r\n", 2);
    nt_send(c->net, line, (size_t)n + 2);
}

static void ready(struct conn *c)
{
    struct inst *in = c->in;
    int n = applied(in);
    uint64_t term = n ? in->g->log[n - 1].term : in->g->term;
    say(c, "READY %c %llu.%d",
        c->failed ? 'E'
        : c->txn  ? 'T'
                  : 'I',
        (unsigned long long)term, n);
}

static void error(struct conn *c, const char *what)
{
    say(c, "ERROR %s inst", what);
    c->failed = c->txn;
    ready(c);
}

static void complete(struct conn *c, const char *signature)
{
    bool half = c->in->w->halves > 0 && signature[0] != '-';
    c->in->w->halves -= half;
    if (!half)
        say(c, "COMPLETE %s", signature);
    ready(c);
}

/* ---- statements ---- */

static void end_txn(struct conn *c)
{
    c->txn = c->failed = false;
    c->n_writes = 0;
}

static const char *set_value(const struct conn *c, const char *name)
{
    for (int i = 0; i < c->n_sets; i++) {
        if (strcmp(c->set[i][0], name) == 0)
            return c->set[i][1];
    }
    return "-";
}

/* "@x" reads what the session has set; else the key's value. */
static void do_read(struct conn *c, const char *key, const char *shape)
{
    struct inst *in = c->in;
    in->reads++;
    if (rn_below(&in->w->rng, 100) < in->grey) {
        in->failed++;
        error(c, "FAILED");
        return;
    }
    const char *v =
        key[0] == '@' ? set_value(c, key + 1) : value_at(c->in, key_of(c->in->w, key));
    for (int i = 0; c->txn && i < c->n_writes; i++) {
        if (strcmp(c->in->w->keys[c->writes[i].key], key) == 0)
            v = c->writes[i].value;
    }
    say(c, "DATAROW %s%s", shape, v);
    complete(c, "r.1");
}

static void append(struct conn *c, const struct entry *e)
{
    struct group *g = c->in->g;
    if (g->n_log == LOG)
        abort();
    g->log[g->n_log] = *e;
    /* Keys hold the highest number that was written: callers' numbers are not in log order. */
    for (int n = g->n_log; n > 0; n--) {
        if (g->log[n - 1].key != e->key)
            continue;
        if (atol(g->log[n - 1].value) > atol(e->value))
            memcpy(g->log[g->n_log].value, g->log[n - 1].value, WORD);
        break;
    }
    g->log[g->n_log].at = ck_now();
    g->log[g->n_log++].term = g->term;
}

static void do_write(struct conn *c, const char *key, const char *value)
{
    struct entry e = {.key = key_of(c->in->w, key)};
    if (!leads(c->in) || (c->txn && (c->read_only || c->term != c->in->g->term))) {
        error(c, "READONLY");
        return;
    }
    snprintf(e.value, sizeof(e.value), "%s", value);
    if (c->txn && c->n_writes < 16)
        c->writes[c->n_writes++] = e;
    else
        append(c, &e);
    complete(c, "w.1");
}

static void do_commit(struct conn *c)
{
    bool lost = c->n_writes > 0 && (!leads(c->in) || c->term != c->in->g->term);
    if (!c->txn || c->failed || lost) {
        end_txn(c);
        error(c, lost ? "READONLY" : "MALFORMED");
        return;
    }
    for (int i = 0; i < c->n_writes; i++)
        append(c, &c->writes[i]);
    end_txn(c);
    complete(c, "c.1");
}

static void do_begin(struct conn *c, bool read_only)
{
    if (!read_only && !leads(c->in)) {
        error(c, "READONLY");
        return;
    }
    c->txn = true;
    c->read_only = read_only;
    c->term = c->in->g->term;
    complete(c, "-");
}

static void do_set(struct conn *c, const char *name, const char *value)
{
    if (c->in->w->busy_sets > 0) {
        c->in->w->busy_sets--;
        error(c, "BUSY");
        return;
    }
    int i = 0;
    while (i < c->n_sets && strcmp(c->set[i][0], name) != 0)
        i++;
    if (i == MAX_SETS)
        abort();
    c->n_sets = i == c->n_sets ? i + 1 : c->n_sets;
    snprintf(c->set[i][0], WORD, "%s", name);
    snprintf(c->set[i][1], WORD, "%s", value);
    complete(c, "-");
}

static void do_prepare(struct conn *c, const char *name, const char *kind, const char *shape)
{
    if (c->n_prep == MAX_SETS * 8)
        abort();
    snprintf(c->prep[c->n_prep][0], WORD, "%s", name);
    snprintf(c->prep[c->n_prep][1], WORD, "%s", kind);
    snprintf(c->prep[c->n_prep++][2], WORD, "%s", shape);
    complete(c, "-");
}

static void do_execute(struct conn *c, const char *name, const char *key, const char *value)
{
    for (int i = 0; i < c->n_prep; i++) {
        if (strcmp(c->prep[i][0], name) != 0)
            continue;
        char shape[WORD + 2];
        snprintf(shape, sizeof(shape), "%s:", c->prep[i][2]);
        if (strcmp(c->prep[i][1], "WRITE") == 0)
            do_write(c, key, value);
        else
            do_read(c, key, shape);
        return;
    }
    error(c, "NOSTMT");
}

static void do_status(struct conn *c)
{
    const struct inst *in = c->in;
    say(c, "DATAROW %s %llu %llu.%d 0 %d 0 %d", leads(in) ? "primary" : "replica",
        (unsigned long long)in->g->term, (unsigned long long)in->g->term, in->g->n_log,
        leads(in) ? 0 : in->g->lag_ms, in->n_conns);
    complete(c, "-");
}

static void statement(struct conn *c, const char *text)
{
    char w[4][WORD] = {"", "", "", ""};
    unsigned long long term;
    int pos, used = 0;
    if (sscanf(text, "WAITLSN %llu.%d %n", &term, &pos, &used) == 2) {
        text += used;
        if (applied(c->in) < pos) { /* of whatever term: no promotion loses any */
            error(c, "LAGGING");
            return;
        }
    }
    sscanf(text, "%63s %63s %63s %63s", w[0], w[1], w[2], w[3]);
    if (strcmp(w[0], "READ") == 0)
        do_read(c, w[1], "");
    else if (strcmp(w[0], "WRITE") == 0)
        do_write(c, w[1], w[2]);
    else if (strcmp(w[0], "BEGIN") == 0)
        do_begin(c, strcmp(w[1], "READ") == 0);
    else if (strcmp(w[0], "COMMIT") == 0)
        do_commit(c);
    else if (strcmp(w[0], "SET") == 0)
        do_set(c, w[1], w[2]);
    else if (strcmp(w[0], "PREPARE") == 0)
        do_prepare(c, w[1], w[2], w[3]);
    else if (strcmp(w[0], "EXECUTE") == 0)
        do_execute(c, w[1], w[2], w[3]);
    else if (strcmp(w[0], "STATUS") == 0)
        do_status(c);
    else if (strcmp(w[0], "ROLLBACK") == 0 || strcmp(w[0], "DISCARD") == 0) {
        if (w[0][0] == 'D')
            c->n_sets = c->n_prep = 0;
        end_txn(c);
        complete(c, "-");
    } else {
        error(c, "MALFORMED");
    }
}

static void line(struct conn *c, const char *text)
{
    char group[WORD], who[WORD], id[WORD] = "", own[WORD];
    int used = 0;
    snprintf(own, sizeof(own), "i-%d-%d", (int)(c->in->g - c->in->w->g), c->in->at);
    if (sscanf(text, "STARTUP %63s %63s %63s", group, who, id) >= 2) {
        c->greeted = strcmp(group, c->in->g->name) == 0 && (!id[0] || strcmp(id, own) == 0);
        if (c->greeted)
            ready(c);
        else
            say(c, "ERROR MISROUTED %s", own);
    } else if (c->greeted && sscanf(text, "QUERY %63s %n", id, &used) == 1) {
        statement(c, text + used);
    } else {
        c->in->w->strangers += !c->greeted;
        nt_close(c->net, true);
    }
}

/* ---- sockets ---- */

static void on_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    struct conn *c = ud;
    struct sr_str l;
    size_t at = 0;
    (void)net;
    sr_buf_add(&c->buf, data, len);
    while (!c->in->dead && px_next_line(&c->buf, &at, &l)) {
        char text[512];
        if (sr_copy(text, sizeof(text), l))
            line(c, text);
    }
    px_consume(&c->buf, at);
}

static void on_open(struct nt_conn *net, void *ud)
{
    (void)net;
    (void)ud;
}

static void on_close(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    struct conn *c = ud, **at = &c->in->conns;
    (void)net;
    (void)opened;
    (void)refused;
    while (*at != c)
        at = &(*at)->next;
    *at = c->next;
    c->in->n_conns--;
    sr_buf_free(&c->buf);
    free(c);
}

static const struct nt_ops inst_ops = {on_open, on_message, on_close};

static void *on_accept(struct nt_conn *net, void *ud)
{
    struct inst *in = ud;
    if (in->dead)
        return NULL;
    struct conn *c = sr_alloc(sizeof(*c));
    c->in = in;
    c->net = net;
    c->next = in->conns;
    in->conns = c;
    in->n_conns++;
    return c;
}

/* ---- orders ---- */

static struct group *group_named(struct world *w, const char *name)
{
    for (int g = 0; g < w->n_groups; g++) {
        if (strcmp(w->g[g].name, name) == 0)
            return &w->g[g];
    }
    return NULL;
}

static void carry_out(const struct order *o, struct group *g)
{
    int at = o->id[0] ? atoi(o->id + strlen(o->id) - 1) : 0;
    if (o->w->inst[g - o->w->g][at].dead)
        return;
    if (g->primary != at)
        g->term++;
    g->primary = at;
}

/* An order is carried out a while after it was taken, unless a later one fenced it. */
static void order_due(void *ud)
{
    struct order *o = ud;
    struct group *g = group_named(o->w, o->group);
    if (o->token < g->token)
        o->w->refused_orders++;
    else
        carry_out(o, g);
}

static bool parse_order(const char *text, struct order *o)
{
    const char *token = strcasestr(text, "fencing-token:"), *body = strstr(text, "\r\n\r\n");
    const char *group = body ? strstr(body, "\"service\"") : NULL;
    const char *id = body ? strstr(body, "\"id\"") : NULL;
    if (!token || !strcasestr(text, "lease-holder:") || !group || !id)
        return false; /* the body comes in a piece of its own on a slow path; tests use short
                         ones */
    sscanf(group, "\"service\" : \"%63[^\"]\"", o->group);
    sscanf(group, "\"service\":\"%63[^\"]\"", o->group);
    sscanf(id, "\"id\": \"%63[^\"]\"", o->id);
    sscanf(id, "\"id\":\"%63[^\"]\"", o->id);
    o->token = strtoull(token + strlen("fencing-token:"), NULL, 10);
    return true;
}

/* The answer; NULL: there is to be none, though the order is carried out. */
static const char *take_order(struct order *o)
{
    struct world *w = o->w;
    struct group *g = group_named(w, o->group);
    w->orders++;
    if (!g)
        return "HTTP/1.1 404 no\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
    if (o->token < g->token) {
        w->refused_orders++;
        return "HTTP/1.1 409 fenced\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
    }
    if (w->deaf > 0) {
        w->deaf--;
        nt_timer_set(w->loop, &o->timer, LATE_US, order_due, o);
        return NULL;
    }
    g->token = o->token;
    nt_timer_set(w->loop, &o->timer, LEAD_US, order_due, o);
    return "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
}

/* A stream, so that the token is read from the header as it stands. Orders stay allocated:
 * there are few, and their timers go by them. */
static void order_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    struct world *w = ud;
    char text[2048];
    struct order *o = sr_alloc(sizeof(*o));
    o->w = w;
    if (!sr_copy(text, sizeof(text), (struct sr_str){data, len}) || !parse_order(text, o)) {
        free(o);
        return;
    }
    const char *answer = take_order(o);
    if (!answer)
        return;
    nt_send(net, answer, strlen(answer));
    nt_close(net, false);
}

static void plain_close(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    (void)net;
    (void)ud;
    (void)opened;
    (void)refused;
}

static const struct nt_ops order_ops = {on_open, order_message, plain_close};

static void *accept_order(struct nt_conn *net, void *ud)
{
    (void)net;
    return ud;
}

/* ---- registering ---- */

static void beaten(void *ud, int status, const char *body, size_t len)
{
    struct world *w = ud;
    (void)body;
    (void)len;
    if (status != 200)
        w->next_control = (w->next_control + 1) % w->n_controls;
}

static void beat_one(struct world *w, struct inst *in)
{
    char path[96], body[320];
    int g = (int)(in->g - w->g);
    snprintf(path, sizeof(path), "/api/instances/i-%d-%d/heartbeat", g, in->at);
    snprintf(
        body, sizeof(body),
        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z%d\",\"version\":\"v1\","
        "\"capacity\":3,\"state\":\"%s\",\"warmupLeftMs\":0,\"dbRole\":\"%s\",\"callSeq\":%"
        "llu}",
        in->g->name, in->port + w->via, in->at, in->draining ? "draining" : "ready",
        leads(in) ? "primary" : "replica", (unsigned long long)++in->seq);
    nt_http_get(w->loop, w->control_ip[w->next_control], w->control_port[w->next_control],
                "POST", path, body, beaten, w);
}

static void beat_all(void *ud)
{
    struct world *w = ud;
    for (int g = 0; g < w->n_groups; g++) {
        for (int i = 0; i < INSTS; i++) {
            if (!w->inst[g][i].dead)
                beat_one(w, &w->inst[g][i]);
        }
    }
    nt_timer_set(w->loop, &w->beat, BEAT_US, beat_all, w);
}

/* ---- commands ---- */

static void kill_inst(struct inst *in, bool dead)
{
    in->dead = dead;
    for (struct conn *c = in->conns; dead && c; c = c->next)
        nt_close(c->net, true);
}

static void set_lag(struct world *w, int g, int ms)
{
    for (int i = 0; i < INSTS; i++)
        applied(&w->inst[g][i]);
    w->g[g].lag_ms = ms;
}

static void command(const struct nt_http *req)
{
    struct world *w = req->ud;
    int a = 0, b = 0, p = 0;
    struct sr_buf out = {0};
    if (sscanf(req->path, "/kill/%d/%d", &a, &b) == 2)
        kill_inst(&w->inst[a][b], true);
    else if (sscanf(req->path, "/revive/%d/%d", &a, &b) == 2)
        kill_inst(&w->inst[a][b], false);
    else if (sscanf(req->path, "/drain/%d/%d", &a, &b) == 2)
        w->inst[a][b].draining = true;
    else if (sscanf(req->path, "/grey/%d/%d/%d", &a, &b, &p) == 3)
        w->inst[a][b].grey = (unsigned)p;
    else if (sscanf(req->path, "/lag/%d/%d", &a, &b) == 2)
        set_lag(w, a, b);
    else if (sscanf(req->path, "/busy-sets/%d", &a) == 1)
        w->busy_sets = a;
    else if (sscanf(req->path, "/halves/%d", &a) == 1)
        w->halves = a;
    else if (sscanf(req->path, "/via/%d", &a) == 1)
        w->via = a;
    else if (sscanf(req->path, "/deaf-orders/%d", &a) == 1)
        w->deaf = a;
    for (int g = 0; g < w->n_groups; g++)
        sr_buf_printf(&out, "%s primary %d term %llu token %llu log %d\n", w->g[g].name,
                      w->g[g].primary, (unsigned long long)w->g[g].term,
                      (unsigned long long)w->g[g].token, w->g[g].n_log);
    for (int g = 0; g < w->n_groups; g++) {
        for (int i = 0; i < INSTS; i++)
            sr_buf_printf(&out, "instance %d %d reads %u failed %llu\n", g, i,
                          w->inst[g][i].reads, (unsigned long long)w->inst[g][i].failed);
    }
    sr_buf_printf(&out, "orders %llu fenced %llu\nstrangers %llu\n",
                  (unsigned long long)w->orders, (unsigned long long)w->refused_orders,
                  (unsigned long long)w->strangers);
    nt_http_reply(req->conn, 200, "text/plain", out.p, out.len);
    sr_buf_free(&out);
}

static void *no_sockets(struct nt_conn *c, void *ud)
{
    (void)c;
    (void)ud;
    return NULL;
}

/* ---- start ---- */

static void make_group(struct world *w, int g, struct er_err *err)
{
    struct group *gr = &w->g[g];
    snprintf(gr->name, sizeof(gr->name), "reg%d", g);
    gr->term = 1;
    gr->lag_ms = 20;
    gr->log = sr_alloc(sizeof(*gr->log) * LOG);
    for (int i = 0; i < INSTS; i++) {
        struct inst *in = &w->inst[g][i];
        *in = (struct inst){.w = w, .g = gr, .at = i, .port = w->base + 10 * g + i};
        struct nt_listen l = {.ip = "127.0.0.1",
                              .port = in->port,
                              .stream = true,
                              .ops = &inst_ops,
                              .accept = on_accept,
                              .ud = in};
        nt_listen(w->loop, &l, err);
    }
}

int main(int argc, char **argv)
{
    static struct world w;
    struct er_err err = {0};
    if (argc < 4) {
        fprintf(stderr, "usage: ferry-world BASE GROUPS CONTROL-IP:PORT...\n");
        return 64;
    }
    w.base = atoi(argv[1]);
    w.n_groups = atoi(argv[2]) < GROUPS ? atoi(argv[2]) : GROUPS;
    for (int i = 3; i < argc && w.n_controls < 8; i++) {
        if (sscanf(argv[i], "%45[^:]:%d", w.control_ip[w.n_controls],
                   &w.control_port[w.n_controls]) == 2)
            w.n_controls++;
    }
    w.rng = rn_seed((uint64_t)w.base);
    w.loop = nt_loop_create(2048, &err);
    for (int g = 0; g < w.n_groups; g++)
        make_group(&w, g, &err);
    struct nt_listen orders = {.ip = "127.0.0.1",
                               .port = w.base - 1,
                               .stream = true,
                               .ops = &order_ops,
                               .accept = accept_order,
                               .ud = &w};
    struct nt_listen commands = {.ip = "127.0.0.1",
                                 .port = w.base - 2,
                                 .ops = &order_ops,
                                 .accept = no_sockets,
                                 .http = command,
                                 .ud = &w};
    if (!nt_listen(w.loop, &orders, &err) || !nt_listen(w.loop, &commands, &err)) {
        fprintf(stderr, "ferry-world: %s\n", err.text);
        return 71;
    }
    beat_all(&w);
    nt_run(w.loop);
    return 0;
}

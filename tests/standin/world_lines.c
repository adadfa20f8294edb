/* The instances of ferry-world: a group's log as each has it, statements, callers' lines. */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "proxy/wire.h"
#include "tests/standin/world.h"

enum { MAX_SETS = 16, LINE = 512, KEPT = 16 };

/* An answer that is sent once more. */
struct repeat {
    struct repeat *next;
    struct conn *c;
    struct nt_timer at;
    struct sr_buf text;
};

struct conn {
    struct conn *next;
    struct inst *in;
    struct nt_conn *net;
    struct sr_buf buf;
    struct sr_buf answer;     /* what was said since the last answer was sent */
    struct repeat *repeats;   /* still to be sent */
    struct sr_buf kept[KEPT]; /* STATUS answers that are to be sent once more */
    int n_kept;
    char id[WORD]; /* of the statement */
    bool works;    /* on `text`, until `done` */
    char text[LINE];
    struct nt_timer done;
    struct account *account;
    bool greeted, txn, read_only, failed, was_primary;
    int awaits; /* a commit is not answered before so much of the log is received; 0: none */
    uint64_t term;
    int n_writes, n_sets, n_prep;
    struct entry writes[16];
    char set[MAX_SETS][2][WORD], prep[MAX_SETS * 8][3][WORD];
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

bool wd_leads(const struct inst *in)
{
    return in->g->primary == in->at;
}

/* What was applied stays so when the lag grows: no instance goes back. */
static int applied(struct inst *in)
{
    const struct group *g = in->g;
    int n = in->received;
    int64_t until = ck_now() - CK_MS(g->lag_ms);
    while (!wd_leads(in) && n > in->applied && g->log[n - 1].at > until)
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
    sr_buf_add(&c->answer, line, (size_t)n + 2);
}

static void repeat_free(struct repeat *r)
{
    nt_timer_cancel(&r->at);
    sr_buf_free(&r->text);
    free(r);
}

static void send_repeat(void *ud)
{
    struct repeat *r = ud, **at = &r->c->repeats;
    while (*at != r)
        at = &(*at)->next;
    *at = r->next;
    r->c->in->w->repeated++;
    nt_send(r->c->net, r->text.p, r->text.len);
    repeat_free(r);
}

static void repeat_later(struct conn *c)
{
    struct world *w = c->in->w;
    struct repeat *r = sr_alloc(sizeof(*r));
    w->to_repeat++;
    r->c = c;
    r->next = c->repeats;
    c->repeats = r;
    sr_buf_add(&r->text, c->answer.p, c->answer.len);
    int64_t later = CK_MS(1) + (int64_t)rn_below(&w->rng, (uint64_t)CK_MS(w->repeat_ms));
    nt_timer_set(w->loop, &r->at, later, send_repeat, r);
}

/* Keeps the STATUS answer that was said, or sends the oldest kept one before it. */
static void repeat_status(struct conn *c)
{
    if (c->in->keeps_status) {
        if (c->n_kept < KEPT)
            sr_buf_add(&c->kept[c->n_kept++], c->answer.p, c->answer.len);
        return;
    }
    if (c->n_kept == 0)
        return;
    nt_send(c->net, c->kept[0].p, c->kept[0].len);
    c->in->w->repeated++;
    sr_buf_free(&c->kept[0]);
    memmove(c->kept, c->kept + 1, sizeof(c->kept[0]) * (size_t)--c->n_kept);
    c->kept[c->n_kept] = (struct sr_buf){0};
}

/* Sends what was said, in one piece. */
static void send_answer(struct conn *c, unsigned kind)
{
    struct world *w = c->in->w;
    if (kind == REPEAT_STATUS)
        repeat_status(c);
    nt_send(c->net, c->answer.p, c->answer.len);
    bool may = w->repeat_one_in > 0 && (w->repeat_kinds & kind);
    if (may && rn_below(&w->rng, (uint64_t)w->repeat_one_in) == 0)
        repeat_later(c);
    sr_buf_reset(&c->answer);
}

static void ready(struct conn *c, unsigned kind)
{
    struct inst *in = c->in;
    int n = applied(in);
    uint64_t term = n ? in->g->log[n - 1].term : in->g->term;
    say(c, "READY %c %llu.%d",
        c->failed ? 'E'
        : c->txn  ? 'T'
                  : 'I',
        (unsigned long long)term, n);
    send_answer(c, kind);
}

static void error(struct conn *c, const char *what)
{
    say(c, "ERROR %s inst", what);
    c->failed = c->txn;
    ready(c, REPEAT_ERRORS);
}

/* A success with a signature of its own, which names the statement. */
static void complete(struct conn *c)
{
    struct world *w = c->in->w;
    bool half = w->halves > 0;
    w->halves -= half;
    if (!half)
        say(c, "COMPLETE %s.%llx", c->id, ++w->signatures);
    ready(c, REPEAT_SIGNED);
}

static void complete_unsigned(struct conn *c, unsigned kind)
{
    say(c, "COMPLETE -");
    ready(c, kind);
}

/* Whether a read or write is refused without being run. */
static bool refuse_busy(struct conn *c)
{
    struct world *w = c->in->w;
    if (!w->busy_one_in || rn_below(&w->rng, (uint64_t)w->busy_one_in) != 0)
        return false;
    error(c, "BUSY");
    return true;
}

/* ---- replication ---- */

/* Whoever lives and is not deaf receives at once what the primary has, if that lives. */
static void replicate(struct group *g, struct inst *insts)
{
    for (int i = 0; i < INSTS; i++) {
        struct inst *in = &insts[i];
        if (i == g->primary || (!in->dead && !in->deaf && !insts[g->primary].dead))
            in->received = g->n_log;
    }
}

static int count_received(const struct group *g, const struct inst *insts, int n_log)
{
    int k = 0;
    for (int i = 0; i < INSTS; i++)
        k += i != g->primary && insts[i].received >= n_log;
    return k;
}

static struct inst *insts_of(struct inst *in)
{
    return in - in->at;
}

/* Answers the commits that enough replicas have received by now; those of a former primary get
 * no answer. */
static void answer_commits(struct inst *any)
{
    struct group *g = any->g;
    struct inst *insts = insts_of(any);
    replicate(g, insts);
    for (struct conn *c = insts[g->primary].conns; c; c = c->next) {
        if (!c->awaits || count_received(g, insts, c->awaits) < g->copies)
            continue;
        c->awaits = 0;
        complete(c);
    }
}

/* A commit is in the primary's log. */
static void committed(struct conn *c)
{
    struct group *g = c->in->g;
    replicate(g, insts_of(c->in));
    if (count_received(g, insts_of(c->in), g->n_log) < g->copies)
        c->awaits = g->n_log;
    else
        complete(c);
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
    if (refuse_busy(c))
        return;
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
    complete(c);
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
    if (refuse_busy(c))
        return;
    if (!wd_leads(c->in) || (c->txn && (c->read_only || c->term != c->in->g->term))) {
        error(c, "READONLY");
        return;
    }
    snprintf(e.value, sizeof(e.value), "%s", value);
    if (c->txn && c->n_writes < 16) {
        c->writes[c->n_writes++] = e;
        complete(c);
        return;
    }
    append(c, &e);
    committed(c);
}

static void do_commit(struct conn *c)
{
    bool lost = c->n_writes > 0 && (!wd_leads(c->in) || c->term != c->in->g->term);
    if (!c->txn || c->failed || lost) {
        end_txn(c);
        error(c, lost ? "READONLY" : "MALFORMED");
        return;
    }
    bool wrote = c->n_writes > 0;
    for (int i = 0; i < c->n_writes; i++)
        append(c, &c->writes[i]);
    end_txn(c);
    if (wrote)
        committed(c);
    else
        complete(c);
}

static void do_begin(struct conn *c, bool read_only)
{
    if (!read_only && !wd_leads(c->in)) {
        error(c, "READONLY");
        return;
    }
    c->txn = true;
    c->read_only = read_only;
    c->term = c->in->g->term;
    complete_unsigned(c, REPEAT_UNSIGNED);
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
    complete_unsigned(c, REPEAT_UNSIGNED);
}

static void do_prepare(struct conn *c, const char *name, const char *kind, const char *shape)
{
    if (c->n_prep == MAX_SETS * 8)
        abort();
    snprintf(c->prep[c->n_prep][0], WORD, "%s", name);
    snprintf(c->prep[c->n_prep][1], WORD, "%s", kind);
    snprintf(c->prep[c->n_prep++][2], WORD, "%s", shape);
    complete_unsigned(c, REPEAT_UNSIGNED);
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
    say(c, "DATAROW %s %llu %llu.%d 0 %d 0 %d", wd_leads(in) ? "primary" : "replica",
        (unsigned long long)in->g->term, (unsigned long long)in->g->term, in->received,
        wd_leads(in) ? 0 : in->g->lag_ms, in->n_conns);
    complete_unsigned(c, REPEAT_STATUS);
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
        complete_unsigned(c, REPEAT_UNSIGNED);
    } else {
        error(c, "MALFORMED");
    }
}

/* Further ones than there is room for count as the last. */
static struct account *account_of(struct world *w, const char *name)
{
    int i = 0;
    while (i < w->n_accounts && strcmp(w->accounts[i].name, name) != 0)
        i++;
    if (i == ACCOUNTS)
        return &w->accounts[i - 1];
    if (i == w->n_accounts)
        snprintf(w->accounts[w->n_accounts++].name, WORD, "%s", name);
    return &w->accounts[i];
}

static void line(struct conn *c, const char *text)
{
    char group[WORD], who[WORD], id[WORD] = "", own[WORD];
    int used = 0;
    snprintf(own, sizeof(own), "i-%d-%d", (int)(c->in->g - c->in->w->g), c->in->at);
    if (sscanf(text, "STARTUP %63s %63s %63s", group, who, id) >= 2) {
        c->greeted = strcmp(group, c->in->g->name) == 0 && (!id[0] || strcmp(id, own) == 0);
        c->account = account_of(c->in->w, who);
        if (c->greeted) {
            ready(c, REPEAT_GREETING);
        } else {
            say(c, "ERROR MISROUTED %s", own);
            send_answer(c, REPEAT_ERRORS);
        }
    } else if (c->greeted && sscanf(text, "QUERY %63s %n", id, &used) == 1) {
        c->account->statements += strcmp(id, "-") != 0;
        snprintf(c->id, sizeof(c->id), "%s", id);
        statement(c, text + used);
    } else {
        c->in->w->strangers += !c->greeted;
        nt_close(c->net, true);
    }
}

/* ---- sockets ---- */

static void on_done(void *ud);

/* The statement takes the slot that is free first. */
static void take_slot(struct conn *c)
{
    struct inst *in = c->in;
    int64_t now = ck_now(), *free_at = &in->free_at[0];
    for (int k = 1; k < SLOTS; k++) {
        if (in->free_at[k] < *free_at)
            free_at = &in->free_at[k];
    }
    *free_at = (*free_at > now ? *free_at : now) + CK_MS(in->w->work_ms);
    c->works = true;
    nt_timer_set(in->w->loop, &c->done, *free_at - now, on_done, c);
}

static void lines(struct conn *c)
{
    struct sr_str l;
    size_t at = 0;
    while (!c->works && !c->in->dead && px_next_line(&c->buf, &at, &l)) {
        if (l.len >= sizeof(c->text))
            l.len = sizeof(c->text) - 1; /* more of a line decides nothing here */
        sr_copy(c->text, sizeof(c->text), l);
        bool own = strncmp(c->text, "QUERY - ", 8) == 0;
        if (c->in->w->work_ms && c->greeted && !own)
            take_slot(c);
        else
            line(c, c->text);
    }
    px_consume(&c->buf, at);
}

static void on_done(void *ud)
{
    struct conn *c = ud;
    c->works = false;
    line(c, c->text);
    lines(c);
}

static void on_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    struct conn *c = ud;
    (void)net;
    sr_buf_add(&c->buf, data, len);
    if (px_ends_line(&c->buf, len))
        lines(c);
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
    nt_timer_cancel(&c->done);
    while (c->repeats) {
        struct repeat *r = c->repeats;
        c->repeats = r->next;
        repeat_free(r);
    }
    while (c->n_kept > 0)
        sr_buf_free(&c->kept[--c->n_kept]);
    sr_buf_free(&c->buf);
    sr_buf_free(&c->answer);
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

/* ---- start and end ---- */

void wd_make_group(struct world *w, int g, struct er_err *err)
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

void wd_set_lag(struct world *w, int g, int ms)
{
    for (int i = 0; i < INSTS; i++)
        applied(&w->inst[g][i]);
    w->g[g].lag_ms = ms;
}

void wd_set_repeats(struct world *w, int one_in, int ms, unsigned kinds)
{
    w->repeat_one_in = one_in;
    w->repeat_ms = ms;
    w->repeat_kinds = kinds;
}

void wd_kill(struct inst *in, bool dead)
{
    in->dead = dead;
    for (struct conn *c = in->conns; dead && c; c = c->next)
        nt_close(c->net, true);
    answer_commits(in);
}

void wd_set_deaf(struct inst *in, bool deaf)
{
    in->deaf = deaf;
    answer_commits(in);
}

void wd_promote(struct inst *in)
{
    struct group *g = in->g;
    struct inst *insts = insts_of(in);
    for (struct conn *c = insts[g->primary].conns; c; c = c->next) {
        if (c->awaits)
            nt_close(c->net, true);
        c->awaits = 0;
    }
    g->term++;
    g->primary = in->at;
    g->n_log = in->received;
    for (int i = 0; i < INSTS; i++) {
        struct inst *o = &insts[i];
        o->received = o->received < g->n_log ? o->received : g->n_log;
        o->applied = o->applied < g->n_log ? o->applied : g->n_log;
    }
    answer_commits(in);
}

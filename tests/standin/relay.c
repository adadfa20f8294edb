/* ferry-relay: stands in front of the control nodes' ports, cuts nodes off and damages frames.
 *
 * A connection is known by the name in its greeting. POST /cut with a list of names
 * ("c2,e1"; empty heals): frames to or from these nodes go nowhere, connections stay open.
 * POST /mangle with "double", "late", "reorder", "truncate" or "noise" (empty ends it): every
 * eighth frame in each direction, but for greetings. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "misc/str.h"
#include "task/net.h"
#include "wire/wire.h"

enum { MAX_PAIRS = 8, MANGLE_EVERY = 8, LATE_US = 300000 };

struct relay;

struct pair {
    struct relay *r;
    int listen, target;
    char name[32]; /* of the node behind it */
};

struct link {
    struct pair *pair;
    struct nt_conn *in, *out;
    char from[48];
    struct sr_buf early[8]; /* frames that came before the far side was open */
    int n_early;
    bool open;
    struct side {
        unsigned frames;
        struct sr_buf held; /* reorder: waits for the next one */
    } side[2];              /* towards the node behind, and back */
    int late;               /* frames under way: the link stays */
};

struct late {
    struct nt_timer t;
    struct link *l;
    bool back;
    struct sr_buf frame;
};

struct relay {
    struct nt_loop *loop;
    int http, n;
    struct pair pairs[MAX_PAIRS];
    char cut[256], mangle[16];
    struct wr_decoder dec;
};

static bool is_cut(const struct relay *r, const char *name)
{
    size_t n = strlen(name);
    for (const char *p = r->cut; n && (p = strstr(p, name)); p += n) {
        if ((p == r->cut || p[-1] == ',') && (p[n] == 0 || p[n] == ','))
            return true;
    }
    return false;
}

static bool dead(const struct link *l)
{
    return is_cut(l->pair->r, l->from) || is_cut(l->pair->r, l->pair->name);
}

static void note_name(struct link *l, const char *data, size_t len)
{
    struct wr_msg m;
    if (!l->from[0] && wr_decode(&l->pair->r->dec, data, len, &m, NULL) && m.type == WR_HELLO)
        sr_copy(l->from, sizeof(l->from), m.hello.name);
}

static void maybe_free(struct link *l)
{
    if (l->in || l->out || l->late)
        return;
    for (int i = 0; i < l->n_early; i++)
        sr_buf_free(&l->early[i]);
    for (int i = 0; i < 2; i++)
        sr_buf_free(&l->side[i].held);
    free(l);
}

static struct nt_conn *towards(const struct link *l, bool back)
{
    return back ? l->in : l->out;
}

static void send_late(void *ud)
{
    struct late *x = ud;
    struct link *l = x->l;
    if (towards(l, x->back))
        nt_send(towards(l, x->back), x->frame.p, x->frame.len);
    l->late--;
    sr_buf_free(&x->frame);
    nt_timer_cancel(&x->t);
    free(x);
    maybe_free(l);
}

static void hold_back(struct link *l, bool back, const char *data, size_t len)
{
    struct late *x = sr_alloc(sizeof(*x));
    x->l = l;
    x->back = back;
    sr_buf_add(&x->frame, data, len);
    l->late++;
    nt_timer_set(l->pair->r->loop, &x->t, LATE_US, send_late, x);
}

/* Pass a frame on, or what is left of it. */
static void pass(struct link *l, bool back, const char *data, size_t len)
{
    struct nt_conn *to = towards(l, back);
    struct side *s = &l->side[back];
    const char *how = l->pair->r->mangle;
    bool hit = how[0] && s->frames > 0 && s->frames % MANGLE_EVERY == 0;
    s->frames++;
    if (hit && strcmp(how, "late") == 0) {
        hold_back(l, back, data, len);
        return;
    }
    if (hit && strcmp(how, "reorder") == 0 && !s->held.len) {
        sr_buf_add(&s->held, data, len);
        return;
    }
    if (hit && strcmp(how, "noise") == 0)
        nt_send(to, "\xc1\xc1\xc1\xc1", 4);
    else
        nt_send(to, data, hit && strcmp(how, "truncate") == 0 ? (len + 1) / 2 : len);
    if (hit && strcmp(how, "double") == 0)
        nt_send(to, data, len);
    if (s->held.len) {
        nt_send(to, s->held.p, s->held.len);
        s->held.len = 0;
    }
}

static void in_open(struct nt_conn *c, void *ud)
{
    (void)c;
    (void)ud;
}

static void in_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    struct link *l = ud;
    (void)c;
    note_name(l, data, len);
    if (dead(l) || !l->out)
        return;
    if (l->open)
        pass(l, false, data, len);
    else if (l->n_early < 8)
        sr_buf_add(&l->early[l->n_early++], data, len);
}

static void in_close(struct nt_conn *c, void *ud, bool opened, bool refused)
{
    struct link *l = ud;
    (void)c;
    (void)opened;
    (void)refused;
    l->in = NULL;
    if (l->out)
        nt_close(l->out, true);
    maybe_free(l);
}

static void out_open(struct nt_conn *c, void *ud)
{
    struct link *l = ud;
    l->open = true;
    for (int i = 0; i < l->n_early; i++)
        nt_send(c, l->early[i].p, l->early[i].len);
}

static void out_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    struct link *l = ud;
    (void)c;
    if (l->in && !dead(l))
        pass(l, true, data, len);
}

static void out_close(struct nt_conn *c, void *ud, bool opened, bool refused)
{
    struct link *l = ud;
    (void)c;
    (void)opened;
    (void)refused;
    l->out = NULL;
    if (l->in)
        nt_close(l->in, true);
    maybe_free(l);
}

static const struct nt_ops in_ops = {in_open, in_message, in_close};
static const struct nt_ops out_ops = {out_open, out_message, out_close};

static void *on_accept(struct nt_conn *c, void *ud)
{
    struct pair *p = ud;
    struct link *l = sr_alloc(sizeof(*l));
    l->pair = p;
    l->in = c;
    l->out = nt_connect(p->r->loop, "127.0.0.1", p->target, true, &out_ops, l);
    return l;
}

static void on_http(const struct nt_http *req)
{
    struct relay *r = req->ud;
    struct sr_str body = {req->body, req->body_len};
    if (strcmp(req->path, "/mangle") == 0)
        sr_copy(r->mangle, sizeof(r->mangle), body);
    else if (strcmp(req->method, "POST") == 0)
        sr_copy(r->cut, sizeof(r->cut), body);
    nt_http_reply(req->conn, 200, "text/plain", r->cut, strlen(r->cut));
}

static void *no_sockets(struct nt_conn *c, void *ud)
{
    (void)c;
    (void)ud;
    return NULL;
}

static error_t parse(int key, char *arg, struct argp_state *st)
{
    struct relay *r = st->input;
    if (key == 'h') {
        r->http = atoi(arg);
    } else if (key == ARGP_KEY_ARG && r->n < MAX_PAIRS) {
        struct pair *p = &r->pairs[r->n++];
        if (sscanf(arg, "%31[^:]:%d:%d", p->name, &p->listen, &p->target) != 3)
            argp_error(st, "expected NAME:LISTEN:TARGET");
        p->r = r;
    } else {
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

int main(int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"http", 'h', "PORT", 0, "port for POST /cut and /mangle", 0}, {0}};
    static struct relay r;
    struct argp argp = {options, parse, "NAME:LISTEN:TARGET...", "A relay that cuts.", NULL,
                        NULL,    NULL};
    argp_parse(&argp, argc, argv, 0, NULL, &r);
    struct er_err err = {0};
    r.loop = nt_loop_create(1024, &err);
    struct nt_listen http = {.ip = "127.0.0.1",
                             .port = r.http,
                             .ops = &in_ops,
                             .accept = no_sockets,
                             .http = on_http,
                             .ud = &r};
    bool ok = r.loop && nt_listen(r.loop, &http, &err);
    for (int i = 0; ok && i < r.n; i++) {
        struct nt_listen l = {.ip = "127.0.0.1",
                              .port = r.pairs[i].listen,
                              .raw = true,
                              .ops = &in_ops,
                              .accept = on_accept,
                              .ud = &r.pairs[i]};
        ok = nt_listen(r.loop, &l, &err) != NULL;
    }
    if (!ok) {
        fprintf(stderr, "ferry-relay: %s\n", err.text);
        return 1;
    }
    nt_run(r.loop);
    return 0;
}

/* ferry-pipe: a loopback proxy of byte streams in front of instances, for the soak. It delays,
 * resets or silences what passes, in one direction or both; the programs on either side know
 * nothing of it.
 *
 * Usage: ferry-pipe CONTROL-PORT OFFSET PORT...: listens on each PORT + OFFSET and passes on to
 * PORT. Commands by HTTP on CONTROL-PORT: /delay/MS, /silent/in (nothing from instances
 * arrives), /silent/out (nothing reaches them), /silent/no, /reset (all connections). */
#include <stdio.h>
#include <stdlib.h>

#include "misc/clock.h"
#include "misc/str.h"
#include "task/net.h"

enum { IN, OUT, SIDES }; /* from the instance; to it */
enum { MAX_PORTS = 64 };

struct port {
    struct pipe *p;
    int target;
};

struct pipe {
    struct nt_loop *loop;
    int delay_ms;
    bool silent[SIDES];
    struct port ports[MAX_PORTS];
    struct flow *flows;
};

/* A connection of a caller and ours to the instance. */
struct flow {
    struct flow *next;
    struct pipe *p;
    struct nt_conn *conn[SIDES]; /* IN: to the caller, OUT: to the instance */
    bool open;                   /* to the instance */
    struct sr_buf early;         /* for the instance, before it was open */
    int chunks;                  /* on their way */
};

struct chunk {
    struct nt_timer timer;
    struct flow *f;
    int to;
    struct sr_buf data;
};

static void flow_free(struct flow *f)
{
    struct flow **at = &f->p->flows;
    if (f->conn[IN] || f->conn[OUT] || f->chunks > 0)
        return;
    while (*at != f)
        at = &(*at)->next;
    *at = f->next;
    sr_buf_free(&f->early);
    free(f);
}

static void deliver(struct flow *f, int to, const char *data, size_t len)
{
    if (to == OUT && !f->open)
        sr_buf_add(&f->early, data, len);
    else if (f->conn[to])
        nt_send(f->conn[to], data, len);
}

static void due(void *ud)
{
    struct chunk *c = ud;
    struct flow *f = c->f;
    deliver(f, c->to, c->data.p, c->data.len);
    f->chunks--;
    sr_buf_free(&c->data);
    free(c);
    flow_free(f);
}

static void pass(struct flow *f, int to, const char *data, size_t len)
{
    if (f->p->silent[to])
        return;
    if (f->p->delay_ms == 0 && f->chunks == 0) {
        deliver(f, to, data, len);
        return;
    }
    struct chunk *c = sr_alloc(sizeof(*c));
    *c = (struct chunk){.f = f, .to = to};
    sr_buf_add(&c->data, data, len);
    f->chunks++;
    nt_timer_set(f->p->loop, &c->timer, CK_MS(f->p->delay_ms) + 1, due, c);
}

static void closed(struct flow *f, int side)
{
    int other = side == IN ? OUT : IN;
    f->conn[side] = NULL;
    if (f->conn[other])
        nt_close(f->conn[other], true);
    flow_free(f);
}

static void on_open(struct nt_conn *net, void *ud)
{
    (void)net;
    (void)ud;
}

static void caller_says(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    (void)net;
    pass(ud, OUT, data, len);
}

static void caller_closed(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    (void)net;
    (void)opened;
    (void)refused;
    closed(ud, IN);
}

static void inst_open(struct nt_conn *net, void *ud)
{
    struct flow *f = ud;
    f->open = true;
    if (f->early.len)
        nt_send(net, f->early.p, f->early.len);
}

static void inst_says(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    (void)net;
    pass(ud, IN, data, len);
}

static void inst_closed(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    (void)net;
    (void)opened;
    (void)refused;
    closed(ud, OUT);
}

static const struct nt_ops caller_ops = {on_open, caller_says, caller_closed};
static const struct nt_ops inst_ops = {inst_open, inst_says, inst_closed};

static void *on_accept(struct nt_conn *net, void *ud)
{
    const struct port *port = ud;
    struct flow *f = sr_alloc(sizeof(*f));
    f->p = port->p;
    f->conn[IN] = net;
    f->next = f->p->flows;
    f->p->flows = f;
    f->conn[OUT] = nt_connect_stream(f->p->loop, "127.0.0.1", port->target, &inst_ops, f);
    return f;
}

static void command(const struct nt_http *req)
{
    struct pipe *p = req->ud;
    char word[16];
    int ms;
    if (sscanf(req->path, "/delay/%d", &ms) == 1) {
        p->delay_ms = ms;
    } else if (sscanf(req->path, "/silent/%15s", word) == 1) {
        p->silent[IN] = strcmp(word, "in") == 0;
        p->silent[OUT] = strcmp(word, "out") == 0;
    } else if (strcmp(req->path, "/reset") == 0) {
        for (struct flow *f = p->flows; f; f = f->next) {
            if (f->conn[IN])
                nt_close(f->conn[IN], true);
        }
    }
    nt_http_reply(req->conn, 200, "text/plain", "", 0);
}

static void *no_sockets(struct nt_conn *c, void *ud)
{
    (void)c;
    (void)ud;
    return NULL;
}

int main(int argc, char **argv)
{
    static struct pipe p;
    struct er_err err = {0};
    if (argc < 4 || argc - 3 > MAX_PORTS) {
        fprintf(stderr, "usage: ferry-pipe CONTROL-PORT OFFSET PORT...\n");
        return 64;
    }
    p.loop = nt_loop_create(2048, &err);
    struct nt_listen commands = {.ip = "127.0.0.1",
                                 .port = atoi(argv[1]),
                                 .ops = &caller_ops,
                                 .accept = no_sockets,
                                 .http = command,
                                 .ud = &p};
    bool ok = nt_listen(p.loop, &commands, &err);
    for (int i = 3; ok && i < argc; i++) {
        p.ports[i - 3] = (struct port){&p, atoi(argv[i])};
        struct nt_listen l = {.ip = "127.0.0.1",
                              .port = atoi(argv[i]) + atoi(argv[2]),
                              .stream = true,
                              .ops = &caller_ops,
                              .accept = on_accept,
                              .ud = &p.ports[i - 3]};
        ok = nt_listen(p.loop, &l, &err);
    }
    if (!ok) {
        fprintf(stderr, "ferry-pipe: %s\n", err.text);
        return 71;
    }
    nt_run(p.loop);
    return 0;
}

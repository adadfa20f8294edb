/* ferry-world: the outside of the users' platform in one process: groups of three instances
 * that speak its lines, register themselves at control nodes, and are promoted by POST
 * /promote. Written from the platform's pages, not from platform/.
 *
 * Instance i of group g listens on base + 10 g + i (world_lines.c). Whatever is committed is
 * received at once by the other instances that live and are not deaf, and applied after the
 * group's lag. So while all receive, a promotion loses nothing and every stale read is the
 * proxy's doing. Orders come to base - 1 by HTTP
 * (world_orders.c), commands of a test to base - 2: /kill/G/I, /revive/G/I, /drain/G/I,
 * /lag/G/MS, /copies/G/N (a commit is answered when N replicas have received it),
 * /deaf/G/I/0|1, /busy-sets/N (the next N SETs are refused), /deaf-orders/N (the next N go
 * unanswered and are carried out late), /halves/N (the next N answers break off), /grey/G/I/P,
 * /via/N (instances say that they are N ports further, where a ferry-pipe is),
 * /repeats/ONE-IN/MS/KINDS and /busy/ONE-IN (see struct world), /keep-status/G/I/0|1 (answers
 * to STATUS are kept from 1 on; after 0, each STATUS gets a kept one before its own), /status.
 */
#include <stdio.h>
#include <stdlib.h>

#include "tests/standin/world.h"

enum { BEAT_US = 300000 }; /* between registrations of an instance */

/* ---- registering ---- */

/* A registration that is under way. */
struct beat {
    struct inst *in;
    int control;
};

/* An instance that is not acknowledged goes on to the next control node. Each instance does so
 * for itself, and once for each node, so that none is skipped: only the leader acknowledges a
 * change. */
static void beaten(void *ud, int status, const char *body, size_t len)
{
    struct beat *b = ud;
    (void)body;
    (void)len;
    if (status != 200 && b->in->control == b->control)
        b->in->control = (b->control + 1) % b->in->w->n_controls;
    free(b);
}

static void beat_one(struct world *w, struct inst *in)
{
    char path[96], body[320];
    int g = (int)(in->g - w->g);
    struct beat *b = sr_alloc(sizeof(*b));
    *b = (struct beat){in, in->control};
    snprintf(path, sizeof(path), "/api/instances/i-%d-%d/heartbeat", g, in->at);
    snprintf(
        body, sizeof(body),
        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z%d\",\"version\":\"v1\","
        "\"capacity\":3,\"state\":\"%s\",\"warmupLeftMs\":0,\"dbRole\":\"%s\",\"callSeq\":%"
        "llu}",
        in->g->name, in->port + w->via, in->at, in->draining ? "draining" : "ready",
        wd_leads(in) ? "primary" : "replica", (unsigned long long)++in->seq);
    nt_http_get(w->loop, w->control_ip[b->control], w->control_port[b->control], "POST", path,
                body, beaten, b);
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

static bool has_inst(const struct world *w, int g, int i)
{
    return g >= 0 && g < w->n_groups && i >= 0 && i < INSTS;
}

static void obey(struct world *w, const char *path)
{
    int a = 0, b = 0, p = 0;
    if (sscanf(path, "/kill/%d/%d", &a, &b) == 2 && has_inst(w, a, b))
        wd_kill(&w->inst[a][b], true);
    else if (sscanf(path, "/revive/%d/%d", &a, &b) == 2 && has_inst(w, a, b))
        wd_kill(&w->inst[a][b], false);
    else if (sscanf(path, "/drain/%d/%d", &a, &b) == 2 && has_inst(w, a, b))
        w->inst[a][b].draining = true;
    else if (sscanf(path, "/grey/%d/%d/%d", &a, &b, &p) == 3 && has_inst(w, a, b))
        w->inst[a][b].grey = (unsigned)p;
    else if (sscanf(path, "/copies/%d/%d", &a, &b) == 2 && has_inst(w, a, 0))
        w->g[a].copies = b;
    else if (sscanf(path, "/deaf/%d/%d/%d", &a, &b, &p) == 3 && has_inst(w, a, b))
        wd_set_deaf(&w->inst[a][b], p != 0);
    else if (sscanf(path, "/lag/%d/%d", &a, &b) == 2 && has_inst(w, a, 0))
        wd_set_lag(w, a, b);
    else if (sscanf(path, "/busy-sets/%d", &a) == 1)
        w->busy_sets = a;
    else if (sscanf(path, "/statement-ms/%d", &a) == 1)
        w->work_ms = a;
    else if (sscanf(path, "/halves/%d", &a) == 1)
        w->halves = a;
    else if (sscanf(path, "/via/%d", &a) == 1)
        w->via = a;
    else if (sscanf(path, "/repeats/%d/%d/%d", &a, &b, &p) == 3)
        wd_set_repeats(w, a, b, (unsigned)p);
    else if (sscanf(path, "/keep-status/%d/%d/%d", &a, &b, &p) == 3 && has_inst(w, a, b))
        w->inst[a][b].keeps_status = p != 0;
    else if (sscanf(path, "/busy/%d", &a) == 1)
        w->busy_one_in = a;
    else if (sscanf(path, "/deaf-orders/%d", &a) == 1)
        w->deaf = a;
    else if (strcmp(path, "/status") != 0)
        fprintf(stderr, "ferry-world: %s: no such command, group or instance\n", path);
}

static void put_status(struct sr_buf *out, const struct world *w)
{
    for (int g = 0; g < w->n_groups; g++)
        sr_buf_printf(out, "%s primary %d term %llu token %llu log %d\n", w->g[g].name,
                      w->g[g].primary, (unsigned long long)w->g[g].term,
                      (unsigned long long)w->g[g].token, w->g[g].n_log);
    for (int g = 0; g < w->n_groups; g++) {
        for (int i = 0; i < INSTS; i++)
            sr_buf_printf(out, "instance %d %d reads %u failed %llu received %d\n", g, i,
                          w->inst[g][i].reads, (unsigned long long)w->inst[g][i].failed,
                          w->inst[g][i].received);
    }
    for (int i = 0; i < w->n_accounts; i++)
        sr_buf_printf(out, "account %s statements %llu\n", w->accounts[i].name,
                      (unsigned long long)w->accounts[i].statements);
    sr_buf_printf(out,
                  "orders %llu fenced %llu\nstrangers %llu\nto-repeat %llu\nrepeated %llu\n",
                  (unsigned long long)w->orders, (unsigned long long)w->refused_orders,
                  (unsigned long long)w->strangers, (unsigned long long)w->to_repeat,
                  (unsigned long long)w->repeated);
}

/* Whatever is asked, the answer is the status. */
static void command(const struct nt_http *req)
{
    struct world *w = req->ud;
    struct sr_buf out = {0};
    obey(w, req->path);
    put_status(&out, w);
    nt_http_reply(req->conn, 200, "text/plain", out.p, out.len);
    sr_buf_free(&out);
}

static void ignore_close(struct nt_conn *c, void *ud, bool opened, bool refused)
{
    (void)c;
    (void)ud;
    (void)opened;
    (void)refused;
}

static void *no_sockets(struct nt_conn *c, void *ud)
{
    (void)c;
    (void)ud;
    return NULL;
}

/* ---- start ---- */

int main(int argc, char **argv)
{
    static const struct nt_ops none = {NULL, NULL, ignore_close};
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
        wd_make_group(&w, g, &err);
    struct nt_listen commands = {.ip = "127.0.0.1",
                                 .port = w.base - 2,
                                 .ops = &none,
                                 .accept = no_sockets,
                                 .http = command,
                                 .ud = &w};
    if (!wd_orders_listen(&w, &err) || !nt_listen(w.loop, &commands, &err)) {
        fprintf(stderr, "ferry-world: %s\n", err.text);
        return 71;
    }
    beat_all(&w);
    nt_run(w.loop);
    return 0;
}

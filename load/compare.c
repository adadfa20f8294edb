/* Measures the latency that an entry node adds: sends the same reads directly to an instance
 * and through the node. */
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

#include <jansson.h>

#include "endpoint/endpoint.h"
#include "load/load.h"
#include "misc/clock.h"

enum { WARM = 500, WIDE = 16 };

struct side {
    struct nt_loop *loop;
    const struct ld_opts *o;
    bool direct;
    int lanes; /* requests outstanding at once */
    int left, done;
    struct hi_hist h;
    int64_t began, took;
    struct ep_conn *ep[WIDE];
    struct nt_conn *net[WIDE];
    int64_t sent[WIDE];
    struct lane {
        struct side *side;
        int no;
    } lane[WIDE];
};

static void send_one(struct side *s, int lane)
{
    s->sent[lane] = ck_now();
    if (s->direct) {
        struct ep_request q = {.op = EP_READ, .id = 1, .stmt = SR_LIT("get d0k1")};
        s->ep[lane]->driver->send(s->ep[lane], &q);
        return;
    }
    char text[256];
    int n = snprintf(text, sizeof(text),
                     "{\"id\":\"c\",\"account\":\"a\",\"db\":\"%s\",\"kind\":\"read\","
                     "\"stmt\":\"get d0k1\",\"deadline_ms\":5000}",
                     s->o->dbs[0]);
    nt_send(s->net[lane], text, (size_t)n);
}

static void got_one(struct side *s, int lane)
{
    int64_t now = ck_now();
    s->done++;
    if (s->done == WARM)
        s->began = now;
    if (s->done > WARM)
        hi_add(&s->h, now - s->sent[lane]);
    if (s->done >= s->left) {
        s->took = now - s->began;
        nt_stop(s->loop);
        return;
    }
    send_one(s, lane);
}

static void ep_opened(struct ep_conn *c, void *ud)
{
    struct lane *l = ud;
    (void)c;
    send_one(l->side, l->no);
}

static void ep_replied(struct ep_conn *c, void *ud, const struct ep_reply *r)
{
    struct lane *l = ud;
    (void)c;
    (void)r;
    got_one(l->side, l->no);
}

static void ep_closed(struct ep_conn *c, void *ud, bool opened, bool refused)
{
    (void)c;
    (void)ud;
    (void)opened;
    (void)refused;
}

static const struct ep_events ep_events = {ep_opened, ep_replied, ep_replied, ep_closed};

static void net_opened(struct nt_conn *c, void *ud)
{
    struct lane *l = ud;
    (void)c;
    send_one(l->side, l->no);
}

static void net_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    struct lane *l = ud;
    (void)c;
    (void)data;
    (void)len;
    got_one(l->side, l->no);
}

static const struct nt_ops net_ops = {net_opened, net_message, NULL};

static void closed(struct nt_conn *c, void *ud, bool opened, bool refused)
{
    (void)c;
    (void)ud;
    (void)opened;
    (void)refused;
}

static bool run_side(struct side *s)
{
    static struct nt_ops ops;
    struct er_err err = {0};
    ops = net_ops;
    ops.close = closed;
    s->loop = nt_loop_create(256, &err);
    struct ld_addr inst = {.port = 0};
    const char *colon = strrchr(s->o->compare, ':');
    snprintf(inst.ip, sizeof(inst.ip), "%.*s", (int)(colon - s->o->compare), s->o->compare);
    inst.port = atoi(colon + 1);
    struct ep_target to = {inst.ip, inst.port, "", ""};
    s->left = s->o->requests + WARM;
    for (int i = 0; i < s->lanes; i++) {
        s->lane[i] = (struct lane){s, i};
        if (s->direct)
            s->ep[i] = ep_ws.open(s->loop, &to, "bench", &ep_events, &s->lane[i]);
        else
            s->net[i] = nt_connect(s->loop, s->o->entries[0].ip, s->o->entries[0].port, false,
                                   &ops, &s->lane[i]);
    }
    nt_run(s->loop);
    return s->h.count > 0;
}

static struct side measure(const struct ld_opts *o, bool direct, int lanes)
{
    struct side s = {.o = o, .direct = direct, .lanes = lanes};
    run_side(&s);
    printf("%-22s %2d at once   p50 %6lld us   p99 %6lld us   %9.0f /s\n",
           direct ? "direct to the instance" : "through the entry node", lanes,
           (long long)hi_quantile(&s.h, 0.5), (long long)hi_quantile(&s.h, 0.99),
           s.took ? (double)s.h.count * 1e6 / (double)s.took : 0.0);
    return s;
}

int ld_compare(const struct ld_opts *o)
{
    struct side d1 = measure(o, true, 1), e1 = measure(o, false, 1);
    struct side dn = measure(o, true, WIDE), en = measure(o, false, WIDE);
    double rd = (double)dn.h.count / (double)(dn.took ? dn.took : 1);
    double re = (double)en.h.count / (double)(en.took ? en.took : 1);
    printf("added by the entry node: p50 %lld us, p99 %lld us; rate %.2f of direct\n",
           (long long)(hi_quantile(&e1.h, 0.5) - hi_quantile(&d1.h, 0.5)),
           (long long)(hi_quantile(&e1.h, 0.99) - hi_quantile(&d1.h, 0.99)), re / rd);
    return 0;
}

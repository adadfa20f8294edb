/* Measures the latency that an entry node adds: sends the same reads directly to an instance
 * and through the node. */
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

#include <jansson.h>

#include "endpoint/endpoint.h"
#include "load/load.h"
#include "misc/clock.h"

enum { WARMUP_REQUESTS = 500, MAX_IN_FLIGHT = 16 };

struct measurement {
    struct nt_loop *loop;
    const struct ld_opts *o;
    bool direct;
    int in_flight; /* requests outstanding at once */
    int total, done;
    struct hi_hist h;
    int64_t started, took;
    struct ep_conn *ep[MAX_IN_FLIGHT];
    struct nt_conn *net[MAX_IN_FLIGHT];
    int64_t sent[MAX_IN_FLIGHT];
    struct slot {
        struct measurement *measurement;
        int no;
    } slot[MAX_IN_FLIGHT];
};

static void send_one(struct measurement *s, int slot)
{
    s->sent[slot] = ck_now();
    if (s->direct) {
        struct ep_request q = {.op = EP_READ, .id = 1, .stmt = SR_LIT("get d0k1")};
        s->ep[slot]->driver->send(s->ep[slot], &q);
        return;
    }
    char text[256];
    int n = snprintf(text, sizeof(text),
                     "{\"id\":\"c\",\"account\":\"a\",\"db\":\"%s\",\"kind\":\"read\","
                     "\"stmt\":\"get d0k1\",\"deadline_ms\":5000}",
                     s->o->dbs[0]);
    nt_send(s->net[slot], text, (size_t)n);
}

static void on_reply(struct measurement *s, int slot)
{
    int64_t now = ck_now();
    s->done++;
    if (s->done == WARMUP_REQUESTS)
        s->started = now;
    if (s->done > WARMUP_REQUESTS)
        hi_add(&s->h, now - s->sent[slot]);
    if (s->done >= s->total) {
        s->took = now - s->started;
        nt_stop(s->loop);
        return;
    }
    send_one(s, slot);
}

static void ep_opened(struct ep_conn *c, void *ud)
{
    struct slot *l = ud;
    (void)c;
    send_one(l->measurement, l->no);
}

static void ep_replied(struct ep_conn *c, void *ud, const struct ep_reply *r)
{
    struct slot *l = ud;
    (void)c;
    (void)r;
    on_reply(l->measurement, l->no);
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
    struct slot *l = ud;
    (void)c;
    send_one(l->measurement, l->no);
}

static void net_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    struct slot *l = ud;
    (void)c;
    (void)data;
    (void)len;
    on_reply(l->measurement, l->no);
}

static const struct nt_ops net_ops = {net_opened, net_message, NULL};

static void closed(struct nt_conn *c, void *ud, bool opened, bool refused)
{
    (void)c;
    (void)ud;
    (void)opened;
    (void)refused;
}

static bool run_measurement(struct measurement *s)
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
    s->total = s->o->requests + WARMUP_REQUESTS;
    for (int i = 0; i < s->in_flight; i++) {
        s->slot[i] = (struct slot){s, i};
        if (s->direct)
            s->ep[i] = ep_ws.open(s->loop, &to, "bench", &ep_events, &s->slot[i]);
        else
            s->net[i] = nt_connect(s->loop, s->o->entries[0].ip, s->o->entries[0].port, false,
                                   &ops, &s->slot[i]);
    }
    nt_run(s->loop);
    return s->h.count > 0;
}

static struct measurement measure(const struct ld_opts *o, bool direct, int in_flight)
{
    struct measurement s = {.o = o, .direct = direct, .in_flight = in_flight};
    run_measurement(&s);
    printf("%-22s %2d at once   p50 %6lld us   p99 %6lld us   %9.0f /s\n",
           direct ? "direct to the instance" : "through the entry node", in_flight,
           (long long)hi_quantile(&s.h, 0.5), (long long)hi_quantile(&s.h, 0.99),
           s.took ? (double)s.h.count * 1e6 / (double)s.took : 0.0);
    return s;
}

int ld_compare(const struct ld_opts *o)
{
    struct measurement d1 = measure(o, true, 1), e1 = measure(o, false, 1);
    struct measurement dn = measure(o, true, MAX_IN_FLIGHT),
                       en = measure(o, false, MAX_IN_FLIGHT);
    double rd = (double)dn.h.count / (double)(dn.took ? dn.took : 1);
    double re = (double)en.h.count / (double)(en.took ? en.took : 1);
    printf("added by the entry node: p50 %lld us, p99 %lld us; rate %.2f of direct\n",
           (long long)(hi_quantile(&e1.h, 0.5) - hi_quantile(&d1.h, 0.5)),
           (long long)(hi_quantile(&e1.h, 0.99) - hi_quantile(&d1.h, 0.99)), re / rd);
    return 0;
}

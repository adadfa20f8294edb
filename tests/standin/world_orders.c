/* Orders to promote an instance, as ferry-world takes and carries them out. */
#include <stdio.h>
#include <stdlib.h>

#include "tests/standin/world.h"

enum {
    LATE_US = 1500000, /* an order that got no answer is carried out after this */
    LEAD_US = 100000,  /* any other */
};

struct order {
    struct world *w;
    struct nt_timer timer;
    char group[WORD], id[WORD];
    uint64_t token;
};

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
    struct inst *in = &o->w->inst[g - o->w->g][at];
    if (!in->dead && g->primary != at)
        wd_promote(in);
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
    bool whole = body && strchr(body, '}');
    if (!token || !strcasestr(text, "lease-holder:") || !whole || !group || !id)
        return false; /* more is to come */
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

/* A connection that brings an order, in as many pieces as the network makes of it. */
struct caller {
    struct world *w;
    struct sr_buf in;
};

/* A stream, so that the token is read from the header as it stands. Orders stay allocated:
 * there are few, and their timers go by them. */
static void order_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    struct caller *c = ud;
    char text[2048];
    struct order *o = sr_alloc(sizeof(*o));
    o->w = c->w;
    sr_buf_add(&c->in, data, len);
    if (!sr_copy(text, sizeof(text), (struct sr_str){c->in.p, c->in.len}) ||
        !parse_order(text, o)) {
        free(o);
        return;
    }
    c->in.len = 0;
    const char *answer = take_order(o);
    if (!answer)
        return;
    nt_send(net, answer, strlen(answer));
    nt_close(net, false);
}

static void plain_open(struct nt_conn *net, void *ud)
{
    (void)net;
    (void)ud;
}

static void order_close(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    struct caller *c = ud;
    sr_buf_free(&c->in);
    free(c);
    (void)net;
    (void)opened;
    (void)refused;
}

static const struct nt_ops order_ops = {plain_open, order_message, order_close};

static void *accept_order(struct nt_conn *net, void *ud)
{
    struct caller *c = sr_alloc(sizeof(*c));
    (void)net;
    c->w = ud;
    return c;
}

bool wd_orders_listen(struct world *w, struct er_err *err)
{
    struct nt_listen l = {.ip = "127.0.0.1",
                          .port = w->base - 1,
                          .stream = true,
                          .ops = &order_ops,
                          .accept = accept_order,
                          .ud = w};
    return nt_listen(w->loop, &l, err) != NULL;
}

/* Callers' connections: accepting WebSocket connections and HTTP requests, and closing them. */
#include <stdlib.h>

#include "entry/entry.h"
#include "misc/clock.h"

static const char going_away[] = "{\"notice\":\"going_away\"}";

/* A caller that connects while this node stops gets the notice at once, so that its connection
 * is not closed with a request in flight. */
static void on_open(struct nt_conn *net, void *ud)
{
    struct en_caller *c = ud;
    if (c->node->stopping)
        nt_send(net, going_away, sizeof(going_away) - 1);
}

static void on_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    struct en_caller *c = ud;
    en_submit(c, data, len);
    /* A caller that does not read its answers gets no more of them. */
    if (nt_queued(net) >= NT_ENOUGH_QUEUED)
        nt_pause_reading(net, true);
}

static void on_drained(struct nt_conn *net, void *ud)
{
    (void)ud;
    nt_pause_reading(net, false);
}

void en_caller_release(struct en_caller *c)
{
    if (c->http && c->outstanding == 0)
        c->net = NULL; /* the connection served its one HTTP request */
    if (c->net || c->outstanding > 0)
        return;
    if (c->prev)
        c->prev->next = c->next;
    else
        c->node->callers = c->next;
    if (c->next)
        c->next->prev = c->prev;
    c->node->n_callers--;
    free(c);
}

static void on_close(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    struct en_caller *c = ud;
    (void)net;
    (void)opened;
    (void)refused;
    c->net = NULL;
    en_requests_caller_closed(c);
    en_txns_caller_closed(c);
    en_upstreams_caller_closed(c);
    en_caller_release(c);
}

static const struct nt_ops caller_ops = {on_open, on_message, on_close};

static struct en_caller *caller_new(struct en_node *n, struct nt_conn *net, bool http)
{
    struct en_caller *c = sr_alloc(sizeof(*c));
    c->node = n;
    c->net = net;
    c->http = http;
    c->next = n->callers;
    if (c->next)
        c->next->prev = c;
    n->callers = c;
    n->n_callers++;
    return c;
}

/* Callers of both interfaces share the descriptors of the process. */
static bool has_room(struct en_node *n)
{
    int sessions = n->px ? px_open_connections(n->px) : 0;
    return n->n_callers + sessions < n->s->max_callers || nt_make_room(n->listener);
}

static enum nt_shed_answer on_shed(struct nt_conn *net, void *ud, enum nt_shed why)
{
    const struct en_caller *c = ud;
    if (why == NT_SHED_MEMORY)
        return NT_SHED_CLOSE;
    if (nt_queued(net) > 0)
        return ck_now() - nt_progress_at(net) < SD_GRACE_US ? NT_SHED_KEEP : NT_SHED_CLOSE;
    if (c->outstanding > 0)
        return NT_SHED_KEEP;
    return nt_close_if_idle(net) ? NT_SHED_CLOSE : NT_SHED_KEEP;
}

static void *on_accept(struct nt_conn *net, void *ud)
{
    struct en_node *n = ud;
    if (!has_room(n))
        return NULL;
    nt_on_drained(net, on_drained);
    return caller_new(n, net, false);
}

void en_callers_notify_stop(struct en_node *n)
{
    for (struct en_caller *c = n->callers; c; c = c->next) {
        if (c->net && !c->http)
            nt_send(c->net, going_away, sizeof(going_away) - 1);
    }
}

void en_callers_close_idle(struct en_node *n)
{
    for (struct en_caller *c = n->callers; c; c = c->next) {
        if (c->net && !c->http && c->outstanding == 0)
            nt_close_if_idle(c->net);
    }
}

void en_callers_close(struct en_node *n)
{
    for (struct en_caller *c = n->callers; c; c = c->next) {
        if (c->net && !c->http)
            nt_close(c->net, false);
    }
}

static void http_request(const struct nt_http *req, struct en_node *n)
{
    struct en_caller *c = caller_new(n, req->conn, true);
    nt_http_watch(req->conn, &caller_ops, c);
    en_submit(c, req->body, req->body_len);
}

static void on_http(const struct nt_http *req)
{
    struct en_node *n = req->ud;
    if (strcmp(req->path, "/v1/request") == 0 && strcmp(req->method, "POST") == 0)
        http_request(req, n);
    else
        en_handle_http(req);
}

bool en_callers_listen(struct en_node *n, struct er_err *err)
{
    struct nt_listen l = {.ip = n->s->entry_ip,
                          .port = n->s->entry_port,
                          .ops = &caller_ops,
                          .accept = on_accept,
                          .http = on_http,
                          .max_http = n->s->max_http,
                          .shed = on_shed,
                          .small_windows = true,
                          .ud = n};
    n->listener = nt_listen(n->loop, &l, err);
    return n->listener != NULL;
}

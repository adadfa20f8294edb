/* Endpoint driver for instances with a WebSocket port and JSON messages. */
#include <stdlib.h>

#include <jansson.h>

#include "endpoint/endpoint.h"
#include "misc/log.h"

enum { GREETING_TIMEOUT_US = 1000000 };

static const struct lg_log endpoint_log = {"endpoint"};

struct ws_conn {
    struct ep_conn base;
    const struct ep_events *ev;
    struct nt_conn *net;
    bool open;
    struct nt_timer greeting_timer; /* time limit for the instance's first message */
    char client_name[64];
};

static const char *const op_names[EP_OP_COUNT] = {"hello",   "read",     "write",    "begin",
                                                  "commit",  "rollback", "status",   "fence",
                                                  "promote", "follow",   "subscribe"};

static const char *const result_names[] = {"ok", "behind", "refused", "bad"};

/* ---- reading replies ---- */

static bool get_pos(const json_t *o, const char *key, struct ps_pos *p)
{
    const json_t *a = json_object_get(o, key);
    if (!a)
        return true;
    if (json_array_size(a) != 2 || !json_is_integer(json_array_get(a, 0)) ||
        !json_is_integer(json_array_get(a, 1)))
        return false;
    p->term = (uint64_t)json_integer_value(json_array_get(a, 0));
    p->pos = (uint64_t)json_integer_value(json_array_get(a, 1));
    return true;
}

static bool get_result(const json_t *o, enum ep_result *out)
{
    const char *s = json_string_value(json_object_get(o, "result"));
    for (int i = 0; s && i <= EP_BAD; i++) {
        if (strcmp(s, result_names[i]) == 0) {
            *out = (enum ep_result)i;
            return true;
        }
    }
    return false;
}

bool ep_reply_parse(const char *data, size_t len, struct ep_reply *r, void **json,
                    struct er_err *err)
{
    json_error_t je;
    memset(r, 0, sizeof(*r));
    json_t *o = json_loadb(data, len, 0, &je);
    *json = o;
    if (!json_is_object(o))
        return er_set(err, ER_BAD_INPUT, "endpoint reply is not a JSON object: %s", je.text);
    r->id = (uint64_t)json_integer_value(json_object_get(o, "id"));
    r->value = (struct sr_str){json_string_value(json_object_get(o, "value")),
                               json_string_length(json_object_get(o, "value"))};
    if (!r->value.p)
        r->value = SR_LIT("");
    r->duplicate = json_is_true(json_object_get(o, "duplicate"));
    r->primary = json_is_true(json_object_get(o, "primary"));
    r->term = (uint64_t)json_integer_value(json_object_get(o, "term"));
    r->following = (uint64_t)json_integer_value(json_object_get(o, "following"));
    if (!get_result(o, &r->result) || !get_pos(o, "pos", &r->pos) ||
        !get_pos(o, "held", &r->held) || !get_pos(o, "applied", &r->applied))
        return er_set(err, ER_BAD_INPUT, "endpoint reply has an invalid result or position");
    return true;
}

/* ---- writing requests ---- */

static void set_str(json_t *o, const char *key, struct sr_str s)
{
    if (s.len)
        json_object_set_new(o, key, json_stringn(s.p, s.len));
}

static void set_int(json_t *o, const char *key, uint64_t v)
{
    if (v)
        json_object_set_new(o, key, json_integer((json_int_t)v));
}

static json_t *request_json(const struct ep_request *r)
{
    json_t *o = json_object();
    json_object_set_new(o, "op", json_string(op_names[r->op]));
    set_int(o, "id", r->id);
    set_str(o, "stmt", r->stmt);
    set_int(o, "term", r->term);
    set_str(o, "claim", r->claim);
    set_str(o, "ip", r->ip);
    set_int(o, "port", (uint64_t)r->port);
    set_int(o, "wait_us", (uint64_t)r->wait_us);
    if (r->txn)
        json_object_set_new(o, "txn", json_true());
    if (r->min.pos)
        json_object_set_new(
            o, "min", json_pack("[I,I]", (json_int_t)r->min.term, (json_int_t)r->min.pos));
    return o;
}

static bool send_json(struct ws_conn *c, json_t *o)
{
    char buf[2048];
    size_t n = json_dumpb(o, buf, sizeof(buf), JSON_COMPACT);
    bool ok;
    if (n <= sizeof(buf)) {
        ok = nt_send(c->net, buf, n);
    } else {
        char *text = json_dumps(o, JSON_COMPACT);
        ok = text && nt_send(c->net, text, strlen(text));
        free(text);
    }
    json_decref(o);
    return ok;
}

static bool ws_send(struct ep_conn *base, const struct ep_request *r)
{
    struct ws_conn *c = (struct ws_conn *)base;
    return c->net && c->open && send_json(c, request_json(r));
}

/* ---- connection ---- */

static void on_open(struct nt_conn *net, void *ud)
{
    struct ws_conn *c = ud;
    (void)net;
    send_json(c, json_pack("{s:s,s:s}", "op", "hello", "from", c->client_name));
}

static void on_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    struct ws_conn *c = ud;
    struct ep_reply r;
    struct er_err err = {0};
    void *json = NULL;
    if (!ep_reply_parse(data, len, &r, &json, &err)) {
        FL_WARN(&endpoint_log, "%s; closing the connection", err.text);
        nt_close(net, true);
    } else if (!c->open) {
        c->open = true;
        nt_timer_cancel(&c->greeting_timer);
        c->ev->open(&c->base, c->base.ud);
    } else if (r.id == 0) {
        c->ev->push(&c->base, c->base.ud, &r);
    } else {
        c->ev->reply(&c->base, c->base.ud, &r);
    }
    json_decref(json);
}

static void on_close(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    struct ws_conn *c = ud;
    (void)net;
    (void)opened;
    c->net = NULL;
    nt_timer_cancel(&c->greeting_timer);
    c->ev->close(&c->base, c->base.ud, c->open, refused);
    free(c);
}

static const struct nt_ops ws_ops = {on_open, on_message, on_close};

/* The instance accepted the connection but sent no greeting. Without this timeout, the
 * connection would stay in this state forever. */
static void on_greeting_timeout(void *ud)
{
    struct ws_conn *c = ud;
    if (c->net)
        nt_close(c->net, true);
}

static struct ep_conn *ws_open(struct nt_loop *l, const struct ep_target *to,
                               const char *client_name, const struct ep_events *ev, void *ud)
{
    struct ws_conn *c = sr_alloc(sizeof(*c));
    c->base = (struct ep_conn){&ep_ws, ud};
    c->ev = ev;
    sr_copy(c->client_name, sizeof(c->client_name), sr_from(client_name));
    c->net = nt_connect(l, to->ip, to->port, false, &ws_ops, c);
    nt_timer_set(l, &c->greeting_timer, GREETING_TIMEOUT_US, on_greeting_timeout, c);
    return &c->base;
}

static void ws_close(struct ep_conn *base)
{
    struct ws_conn *c = (struct ws_conn *)base;
    if (c->net)
        nt_close(c->net, true);
}

const struct ep_driver ep_ws = {
    .name = "ws",
    .caps = EP_FENCE | EP_MINPOS | EP_CLAIM | EP_POSITIONS,
    .open = ws_open,
    .send = ws_send,
    .close = ws_close,
};

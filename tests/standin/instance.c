/* ferry-instance: the stand-in's sockets and command line. */
#include "tests/standin/instance.h"

#include <argp.h>
#include <signal.h>
#include <stdlib.h>

#include "misc/clock.h"

static const struct lg_log ilog = {"instance"};

static bool has_word(const char *list, const char *word, size_t n)
{
    for (const char *p = list; n && (p = strstr(p, word)); p += n) {
        if ((p == list || p[-1] == ',') && (p[n] == 0 || p[n] == ','))
            return true;
    }
    return false;
}

/* Whether `from` ("role" or "role:node"), or its role, is one of the names in `list`. */
static bool listed(const char *list, const char *from)
{
    char role[64];
    snprintf(role, sizeof(role), "%.*s", (int)strcspn(from, ":"), from);
    return has_word(list, from, strlen(from)) || has_word(list, role, strlen(role));
}

/* ---- connections ---- */

static void hello_done(void *ud)
{
    struct in_conn *c = ud;
    c->ready = true;
    in_reply(c, json_pack("{s:s}", "result", "ok"));
}

static void hello(struct in_conn *c, const json_t *req)
{
    struct in_instance *in = c->in;
    const char *from = json_string_value(json_object_get(req, "from"));
    sr_copy(c->from, sizeof(c->from), sr_from(from ? from : "?"));
    if (listed(in->o.shut, c->from)) {
        nt_close(c->net, true);
        return;
    }
    if (listed(in->o.cut, c->from))
        return; /* no greeting */
    if (strncmp(c->from, "replica", 7) == 0) {
        c->ready = true;
        in->n_conns--;
        c->counted = false;
        return;
    }
    nt_timer_set(in->loop, &c->hello, in->o.connect_us, hello_done, c);
}

static void on_open(struct nt_conn *net, void *ud)
{
    (void)net;
    (void)ud;
}

static void on_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    struct in_conn *c = ud;
    json_t *req = json_loadb(data, len, 0, NULL);
    if (!json_is_object(req))
        nt_close(net, true);
    else if (c->from[0] && listed(c->in->o.cut, c->from))
        FL_DBG(&ilog, "cut off: a message from %s goes nowhere", c->from);
    else if (!c->from[0])
        hello(c, req);
    else if (!c->ready)
        nt_close(net, true);
    else
        in_serve(c, req);
    json_decref(req);
}

static void on_close(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    struct in_conn *c = ud, **at = &c->in->conns;
    (void)net;
    (void)opened;
    (void)refused;
    c->net = NULL;
    in_conn_gone(c);
    while (*at != c)
        at = &(*at)->next;
    *at = c->next;
    if (c->counted)
        c->in->n_conns--;
    nt_timer_cancel(&c->hello);
    sr_buf_free(&c->pending);
    /* A statement in a slot still points here: keep the shell. It is a stand-in. */
    if (!c->busy)
        free(c);
}

static const struct nt_ops ops = {on_open, on_message, on_close};

static void *on_accept(struct nt_conn *net, void *ud)
{
    struct in_instance *in = ud;
    if (in->n_conns >= in->o.max_conns) {
        in->refused_conns++;
        return NULL;
    }
    struct in_conn *c = sr_alloc(sizeof(*c));
    c->in = in;
    c->net = net;
    c->counted = true;
    c->next = in->conns;
    in->conns = c;
    if (++in->n_conns > in->peak_conns)
        in->peak_conns = in->n_conns;
    return c;
}

/* ---- HTTP: /state and /fault ---- */

static void set_us(const json_t *o, const char *key, int64_t *out)
{
    const json_t *v = json_object_get(o, key);
    if (json_is_integer(v))
        *out = json_integer_value(v);
}

static void set_text(const json_t *o, const char *key, char *out, size_t cap)
{
    const json_t *v = json_object_get(o, key);
    if (json_is_string(v))
        sr_copy(out, cap, sr_from(json_string_value(v)));
}

static void shut_listed(struct in_instance *in)
{
    for (struct in_conn *c = in->conns; c; c = c->next) {
        if (c->net && c->from[0] && listed(in->o.shut, c->from))
            nt_close(c->net, true);
    }
}

static void set_faults(struct in_instance *in, const json_t *o)
{
    int64_t slots = in->o.slots;
    set_us(o, "service_us", &in->o.service_us);
    set_us(o, "connect_us", &in->o.connect_us);
    set_us(o, "ship_us", &in->o.ship_us);
    set_us(o, "apply_us", &in->o.apply_us);
    set_us(o, "slots", &slots);
    in->o.slots = (int)slots;
    set_text(o, "cut", in->o.cut, sizeof(in->o.cut));
    set_text(o, "mangle", in->o.mangle, sizeof(in->o.mangle));
    set_text(o, "shut", in->o.shut, sizeof(in->o.shut));
    shut_listed(in);
}

static void on_http(const struct nt_http *req)
{
    struct in_instance *in = req->ud;
    if (strcmp(req->path, "/fault") == 0) {
        json_t *o = json_loadb(req->body, req->body_len, 0, NULL);
        if (o)
            set_faults(in, o);
        json_decref(o);
    }
    json_t *o = in_positions(
        in, json_pack("{s:i,s:i,s:I,s:I,s:I}", "conns", in->n_conns, "peak_conns",
                      in->peak_conns, "refused_conns", (json_int_t)in->refused_conns, "low_ids",
                      (json_int_t)in->low_ids, "statements", (json_int_t)in->statements));
    char *s = json_dumps(o, JSON_COMPACT);
    nt_http_reply(req->conn, 200, "application/json", s, strlen(s));
    free(s);
    json_decref(o);
}

/* ---- command line ---- */

enum {
    O_PORT = 1000,
    O_IP,
    O_CONNS,
    O_SLOTS,
    O_SERVICE,
    O_CONNECT,
    O_SHIP,
    O_APPLY,
    O_DATA,
    O_NOFENCE,
    O_NOCLAIM,
    O_NOMINPOS,
    O_NOPUSH
};

static const struct argp_option options[] = {
    {"ip", O_IP, "IP", 0, "address to listen on (127.0.0.1)", 0},
    {"port", O_PORT, "PORT", 0, "port to listen on", 0},
    {"max-conns", O_CONNS, "N", 0, "connections accepted at once (25)", 0},
    {"slots", O_SLOTS, "N", 0, "statements run at once (3)", 0},
    {"service-us", O_SERVICE, "US", 0, "time of one statement (500)", 0},
    {"connect-us", O_CONNECT, "US", 0, "time of a new connection (10000)", 0},
    {"ship-us", O_SHIP, "US", 0, "time until a replica holds a record (1500)", 0},
    {"apply-us", O_APPLY, "US", 0, "time after that until it is applied (0)", 0},
    {"data", O_DATA, "FILE", 0, "keep the log in FILE", 0},
    {"no-fence", O_NOFENCE, NULL, 0, "do not obey fences", 0},
    {"no-claim", O_NOCLAIM, NULL, 0, "ignore claims", 0},
    {"no-minpos", O_NOMINPOS, NULL, 0, "ignore the position that a read needs", 0},
    {"no-push", O_NOPUSH, NULL, 0, "push no positions", 0},
    {0}};

static error_t parse(int key, char *arg, struct argp_state *st)
{
    struct in_opts *o = st->input;
    switch (key) {
    case O_IP:
        sr_copy(o->ip, sizeof(o->ip), sr_from(arg));
        break;
    case O_PORT:
        o->port = atoi(arg);
        break;
    case O_CONNS:
        o->max_conns = atoi(arg);
        break;
    case O_SLOTS:
        o->slots = atoi(arg);
        break;
    case O_SERVICE:
        o->service_us = atol(arg);
        break;
    case O_CONNECT:
        o->connect_us = atol(arg);
        break;
    case O_SHIP:
        o->ship_us = atol(arg);
        break;
    case O_APPLY:
        o->apply_us = atol(arg);
        break;
    case O_DATA:
        o->data = arg;
        break;
    case O_NOFENCE:
        o->no_fence = true;
        break;
    case O_NOCLAIM:
        o->no_claim = true;
        break;
    case O_NOMINPOS:
        o->no_minpos = true;
        break;
    case O_NOPUSH:
        o->no_push = true;
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static struct nt_loop *the_loop;

static void on_term(int sig)
{
    (void)sig;
    _Exit(0);
}

int main(int argc, char **argv)
{
    static struct in_instance in = {.o = {.ip = "127.0.0.1",
                                          .max_conns = 25,
                                          .slots = 3,
                                          .service_us = 500,
                                          .connect_us = 10000,
                                          .ship_us = 1500}};
    struct argp argp = {options, parse, NULL, "A stand-in database instance.",
                        NULL,    NULL,  NULL};
    argp_parse(&argp, argc, argv, 0, NULL, &in.o);
    struct er_err err = {0};
    in.loop = the_loop = nt_loop_create(1024, &err);
    in.eng = eg_create();
    in.queue_tail = &in.queue;
    in.arrivals_tail = &in.arrivals;
    signal(SIGTERM, on_term);
    in_load(&in);
    struct nt_listen l = {.ip = in.o.ip,
                          .port = in.o.port,
                          .ops = &ops,
                          .accept = on_accept,
                          .http = on_http,
                          .ud = &in};
    if (!in.loop || !nt_listen(in.loop, &l, &err)) {
        fprintf(stderr, "ferry-instance: %s\n", err.text);
        return 1;
    }
    nt_run(in.loop);
    return 0;
}

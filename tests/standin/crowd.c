/* ferry-crowd: thousands of instances in one process, for measuring control at the target's
 * size. An instance is the local address that the peer connected to (127.x.y.z), so that all
 * share one port. Each has a term, a role and a position; it runs no statements. */
#include <argp.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>

#include <jansson.h>

#include "misc/clock.h"
#include "misc/str.h"
#include "task/net.h"

enum { MAX_INSTANCES = 8192, MAX_FDS = 16384, FIRST_POS = 1 };

struct instance {
    uint32_t ip; /* host order; 0: free */
    bool primary, dead, silent;
    uint64_t term, following, pos;
};

struct peer {
    struct nt_conn *net;
    struct instance *in;
    struct crowd *crowd;
};

struct crowd {
    struct nt_loop *loop;
    struct instance inst[MAX_INSTANCES];
    int port;
    uint64_t probes, conns;
};

static struct instance *instance_at(struct crowd *w, uint32_t ip)
{
    for (uint32_t k = 0; k < MAX_INSTANCES; k++) {
        struct instance *in = &w->inst[(ip * 2654435761u + k) % MAX_INSTANCES];
        if (in->ip != 0 && in->ip != ip)
            continue;
        if (!in->ip)
            *in = (struct instance){.ip = ip, .pos = FIRST_POS};
        return in;
    }
    return NULL;
}

static uint64_t number(const json_t *o, const char *key)
{
    return (uint64_t)json_integer_value(json_object_get(o, key));
}

/* Obeys fences, promotions and orders to follow as ferry-instance does. False: refused. */
static bool obey(struct instance *in, const char *op, uint64_t term)
{
    bool order = strcmp(op, "fence") == 0 || strcmp(op, "promote") == 0;
    bool follow = strcmp(op, "follow") == 0;
    if (!order && !follow)
        return true;
    if (term < in->term || (follow && in->primary && term == in->term))
        return false;
    if (strcmp(op, "promote") == 0) {
        in->primary = true;
        in->following = term;
    } else if (follow) {
        in->primary = false;
        in->following = term;
    } else if (term > in->term) {
        in->primary = false;
    }
    in->term = term;
    return true;
}

static void answer(struct peer *p, const json_t *req)
{
    struct instance *in = p->in;
    const char *op = json_string_value(json_object_get(req, "op"));
    bool ok = obey(in, op ? op : "", number(req, "term"));
    char text[320];
    int n = snprintf(text, sizeof(text),
                     "{\"id\":%llu,\"result\":\"%s\",\"value\":\"\",\"primary\":%s,"
                     "\"term\":%llu,\"following\":%llu,\"held\":[%llu,%llu],"
                     "\"applied\":[%llu,%llu],\"pos\":[%llu,%llu]}",
                     (unsigned long long)number(req, "id"), ok ? "ok" : "refused",
                     in->primary ? "true" : "false", (unsigned long long)in->term,
                     (unsigned long long)in->following, 1ULL, (unsigned long long)in->pos, 1ULL,
                     (unsigned long long)in->pos, 1ULL, (unsigned long long)in->pos);
    nt_send(p->net, text, (size_t)n);
}

static void on_open(struct nt_conn *net, void *ud)
{
    struct peer *p = ud;
    char ip[46];
    struct in_addr a = {0};
    nt_local_ip(net, ip, sizeof(ip));
    inet_pton(AF_INET, ip, &a);
    p->in = a.s_addr ? instance_at(p->crowd, ntohl(a.s_addr)) : NULL;
    p->crowd->conns++;
    if (!p->in || p->in->dead)
        nt_close(net, true);
}

static void on_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    struct peer *p = ud;
    json_t *req = json_loadb(data, len, 0, NULL);
    if (json_is_object(req) && p->in && !p->in->dead) {
        p->crowd->probes++;
        if (!p->in->silent)
            answer(p, req);
    } else {
        nt_close(net, true);
    }
    json_decref(req);
}

static void on_close(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    (void)net;
    (void)opened;
    (void)refused;
    free(ud);
}

static const struct nt_ops ops = {on_open, on_message, on_close};

static void *on_accept(struct nt_conn *net, void *ud)
{
    struct peer *p = sr_alloc(sizeof(*p));
    p->net = net;
    p->crowd = ud;
    return p;
}

static struct instance *named(struct crowd *w, const json_t *o, const char *key)
{
    const char *ip = json_string_value(json_object_get(o, key));
    struct in_addr a;
    return ip && inet_pton(AF_INET, ip, &a) == 1 ? instance_at(w, ntohl(a.s_addr)) : NULL;
}

/* POST /fault {"dead":"127.1.0.1"} closes an instance's connections to come and those there are
 * once they ask; {"silent":...} leaves them unanswered; {"alive":...} undoes both. GET counts.
 */
static void on_http(const struct nt_http *req)
{
    struct crowd *w = req->ud;
    json_t *o = json_loadb(req->body, req->body_len, 0, NULL);
    struct instance *alive = named(w, o, "alive"), *dead = named(w, o, "dead");
    struct instance *silent = named(w, o, "silent");
    if (alive)
        alive->dead = alive->silent = false;
    if (dead)
        dead->dead = true;
    if (silent)
        silent->silent = true;
    json_decref(o);
    char text[128];
    int n = snprintf(text, sizeof(text), "{\"probes\":%llu,\"conns\":%llu}",
                     (unsigned long long)w->probes, (unsigned long long)w->conns);
    nt_http_reply(req->conn, 200, "application/json", text, (size_t)n);
}

static error_t parse(int key, char *arg, struct argp_state *st)
{
    struct crowd *w = st->input;
    if (key != 'p')
        return ARGP_ERR_UNKNOWN;
    w->port = atoi(arg);
    return 0;
}

int main(int argc, char **argv)
{
    static const struct argp_option options[] = {{"port", 'p', "PORT", 0, "port", 0}, {0}};
    static struct crowd w;
    struct argp argp = {options, parse, NULL, "Thousands of stand-in instances.",
                        NULL,    NULL,  NULL};
    argp_parse(&argp, argc, argv, 0, NULL, &w);
    struct er_err err = {0};
    w.loop = nt_loop_create(MAX_FDS, &err);
    struct nt_listen l = {.ip = "0.0.0.0",
                          .port = w.port,
                          .ops = &ops,
                          .accept = on_accept,
                          .http = on_http,
                          .ud = &w};
    if (!w.loop || !nt_listen(w.loop, &l, &err)) {
        fprintf(stderr, "ferry-crowd: %s\n", err.text);
        return 1;
    }
    nt_run(w.loop);
    return 0;
}

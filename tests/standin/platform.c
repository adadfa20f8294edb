/* ferry-platform: the stand-in of the platform's VM list. GET /vms gives the list as it was
 * `lag` ms ago; POST /vms replaces it. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include <jansson.h>

#include "misc/clock.h"
#include "misc/str.h"
#include "task/net.h"

enum { HISTORY = 64 };

struct platform {
    char ip[46];
    int port;
    int64_t lag_us;
    int n;
    struct {
        int64_t at;
        char *text;
    } list[HISTORY];
};

static void set_list(struct platform *p, const char *text, size_t len)
{
    if (p->n == HISTORY) {
        free(p->list[0].text);
        memmove(&p->list[0], &p->list[1], sizeof(p->list[0]) * (HISTORY - 1));
        p->n--;
    }
    p->list[p->n].at = ck_now();
    p->list[p->n++].text = strndup(text, len);
}

static void on_http(const struct nt_http *req)
{
    struct platform *p = req->ud;
    if (strcmp(req->method, "POST") == 0)
        set_list(p, req->body, req->body_len);
    const char *text = "[]";
    for (int i = 0; i < p->n; i++) {
        if (p->list[i].at <= ck_now() - p->lag_us)
            text = p->list[i].text;
    }
    nt_http_reply(req->conn, 200, "application/json", text, strlen(text));
}

static void *no_sockets(struct nt_conn *c, void *ud)
{
    (void)c;
    (void)ud;
    return NULL;
}

static void ignore_close(struct nt_conn *c, void *ud, bool opened, bool refused)
{
    (void)c;
    (void)ud;
    (void)opened;
    (void)refused;
}

static error_t parse(int key, char *arg, struct argp_state *st)
{
    struct platform *p = st->input;
    if (key == 'i')
        sr_copy(p->ip, sizeof(p->ip), sr_from(arg));
    else if (key == 'p')
        p->port = atoi(arg);
    else if (key == 'l')
        p->lag_us = CK_MS(atol(arg));
    else
        return ARGP_ERR_UNKNOWN;
    return 0;
}

int main(int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"ip", 'i', "IP", 0, "address (127.0.0.1)", 0},
        {"port", 'p', "PORT", 0, "port", 0},
        {"lag-ms", 'l', "MS", 0, "how old the list is that callers get (2000)", 0},
        {0}};
    static struct platform p = {.ip = "127.0.0.1", .lag_us = 2000000};
    struct argp argp = {options, parse, NULL, "A stand-in VM list.", NULL, NULL, NULL};
    argp_parse(&argp, argc, argv, 0, NULL, &p);
    struct er_err err = {0};
    static const struct nt_ops none = {NULL, NULL, ignore_close};
    struct nt_loop *l = nt_loop_create(256, &err);
    struct nt_listen what = {.ip = p.ip,
                             .port = p.port,
                             .ops = &none,
                             .accept = no_sockets,
                             .http = on_http,
                             .ud = &p};
    if (!l || !nt_listen(l, &what, &err)) {
        fprintf(stderr, "ferry-platform: %s\n", err.text);
        return 1;
    }
    nt_run(l);
    return 0;
}

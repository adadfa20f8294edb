/* ferry-callers: opens many idle callers' connections to one entry node. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "misc/clock.h"
#include "task/net.h"

enum { STEP = 50, STEP_US = 10000 };

struct callers {
    struct nt_loop *loop;
    struct nt_timer tick;
    int count, port, begun, open;
    double seconds;
    int64_t end;
};

static void on_open(struct nt_conn *c, void *ud)
{
    (void)c;
    ((struct callers *)ud)->open++;
}

static void on_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    (void)c;
    (void)ud;
    (void)data;
    (void)len;
}

static void on_close(struct nt_conn *c, void *ud, bool opened, bool refused)
{
    (void)c;
    (void)refused;
    ((struct callers *)ud)->open -= opened;
}

static const struct nt_ops ops = {on_open, on_message, on_close};

static void tick(void *ud)
{
    struct callers *x = ud;
    for (int i = 0; i < STEP && x->begun < x->count; i++, x->begun++)
        nt_connect(x->loop, "127.0.0.1", x->port, false, &ops, x);
    if (ck_now() >= x->end) {
        fprintf(stderr, "%d of %d open\n", x->open, x->count);
        nt_stop(x->loop);
        return;
    }
    nt_timer_set(x->loop, &x->tick, STEP_US, tick, x);
}

static error_t parse(int key, char *arg, struct argp_state *st)
{
    struct callers *x = st->input;
    if (key == 'c')
        x->count = atoi(arg);
    else if (key == 'p')
        x->port = atoi(arg);
    else if (key == 't')
        x->seconds = atof(arg);
    else
        return ARGP_ERR_UNKNOWN;
    return 0;
}

int main(int argc, char **argv)
{
    static const struct argp_option options[] = {{"count", 'c', "N", 0, "connections", 0},
                                                 {"port", 'p', "PORT", 0, "entry node", 0},
                                                 {"seconds", 't', "N", 0, "how long", 0},
                                                 {0}};
    static struct callers x = {.count = 100, .seconds = 5};
    struct argp argp = {options, parse, NULL, "Idle callers.", NULL, NULL, NULL};
    argp_parse(&argp, argc, argv, 0, NULL, &x);
    struct er_err err = {0};
    x.loop = nt_loop_create(x.count + 256, &err);
    if (!x.loop)
        return 1;
    x.end = ck_now() + (int64_t)(x.seconds * 1e6);
    tick(&x);
    nt_run(x.loop);
    return 0;
}

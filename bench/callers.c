/* ferry-callers opens many connections to one entry node, which stay idle, and prints how many
 * of them are open at the end. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "misc/clock.h"
#include "task/net.h"

enum { CONNS_PER_TICK = 50, TICK_US = 10000 };

struct callers {
    struct nt_loop *loop;
    struct nt_timer tick;
    int count, port, started, open;
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
    struct callers *callers = ud;
    for (int i = 0; i < CONNS_PER_TICK && callers->started < callers->count;
         i++, callers->started++)
        nt_connect(callers->loop, "127.0.0.1", callers->port, false, &ops, callers);
    if (ck_now() >= callers->end) {
        fprintf(stderr, "%d of %d connections open\n", callers->open, callers->count);
        nt_stop(callers->loop);
        return;
    }
    nt_timer_set(callers->loop, &callers->tick, TICK_US, tick, callers);
}

static error_t parse_option(int key, char *arg, struct argp_state *st)
{
    struct callers *callers = st->input;
    if (key == 'c')
        callers->count = atoi(arg);
    else if (key == 'p')
        callers->port = atoi(arg);
    else if (key == 't')
        callers->seconds = atof(arg);
    else
        return ARGP_ERR_UNKNOWN;
    return 0;
}

int main(int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"count", 'c', "N", 0, "connections", 0},
        {"port", 'p', "PORT", 0, "port of the entry node", 0},
        {"seconds", 't', "N", 0, "duration", 0},
        {0}};
    static struct callers callers = {.count = 100, .seconds = 5};
    struct argp argp = {options, parse_option, NULL, "Opens idle connections to an entry node.",
                        NULL,    NULL,         NULL};
    argp_parse(&argp, argc, argv, 0, NULL, &callers);
    struct er_err err = {0};
    callers.loop = nt_loop_create(callers.count + 256, &err);
    if (!callers.loop)
        return 1;
    callers.end = ck_now() + (int64_t)(callers.seconds * 1e6);
    tick(&callers);
    nt_run(callers.loop);
    return 0;
}

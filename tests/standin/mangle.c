/* Damaged replies: the endpoint interface's fault table, as POST /fault sets it. */
#include <stdlib.h>

#include "misc/clock.h"
#include "tests/standin/instance.h"

static bool mangles(const struct in_instance *in, const char *how)
{
    return strcmp(in->o.mangle, how) == 0;
}

struct late {
    struct nt_timer t;
    struct in_conn *c;
    struct in_instance *in;
    char *text;
};

static bool still_there(const struct in_instance *in, const struct in_conn *c)
{
    for (const struct in_conn *x = in->conns; x; x = x->next) {
        if (x == c)
            return true;
    }
    return false;
}

static void send_late(void *ud)
{
    struct late *l = ud;
    if (still_there(l->in, l->c) && l->c->net)
        nt_send(l->c->net, l->text, strlen(l->text));
    free(l->text);
    nt_timer_cancel(&l->t);
    free(l);
}

/* Damage every eighth reply to an entry node, in the way that is set. */
void in_send_mangled(struct in_conn *c, char *s)
{
    struct in_instance *in = c->in;
    size_t n = strlen(s);
    if (mangles(in, "double")) {
        nt_send(c->net, s, n);
        nt_send(c->net, s, n);
    } else if (mangles(in, "truncate")) {
        nt_send(c->net, s, n / 2);
    } else if (mangles(in, "noise")) {
        nt_send(c->net, "\x01\x02nonsense", 10);
    } else if (mangles(in, "lose")) {
        nt_close(c->net, true); /* it ran, and its answer is lost */
    } else if (mangles(in, "wrong_id")) {
        nt_send(c->net, "{\"id\":99999999,\"result\":\"ok\",\"value\":\"x=9\"}", 43);
    } else if (mangles(in, "late")) {
        struct late *l = sr_alloc(sizeof(*l));
        *l = (struct late){.c = c, .in = in, .text = strdup(s)};
        nt_timer_set(in->loop, &l->t, 700000, send_late, l);
    } else if (mangles(in, "crossed") && in->held_back && still_there(in, in->held_for)) {
        nt_send(c->net, in->held_back, strlen(in->held_back)); /* to the wrong connection */
        free(in->held_back);
        in->held_back = NULL;
        nt_send(c->net, s, n);
    } else if (mangles(in, "crossed")) {
        free(in->held_back);
        in->held_back = strdup(s);
        in->held_for = c;
        nt_send(c->net, s, n);
    }
}

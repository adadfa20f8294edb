/* How many connections to instances a control node makes and closes in a turn of its loop. */
#include <stdlib.h>

#include "control/control.h"
#include "misc/clock.h"
#include "tests/unit/unit.h"

enum {
    MOST_A_TICK = 16,
    INSTANCES_A_NODE = 10, /* in groups of three, rounded down */
    TICK_US = 5000,
};

static struct {
    int changed; /* connections made or closed, or tried */
    int open;
    int refuses; /* instances of so many groups, the first */
} drv;

/* What control read last. */
static struct {
    const struct ep_events *events;
    int replies;
    struct ps_pos held;
    int64_t asked_at;
} status;

static struct ep_conn *opens(struct nt_loop *l, const struct ep_target *to, const char *who,
                             const struct ep_events *ev, void *ud)
{
    struct ep_conn *c;
    (void)l;
    (void)who;
    status.events = ev;
    drv.changed++;
    if (atoi(to->group) < drv.refuses)
        return NULL;
    drv.open++;
    c = sr_alloc(sizeof(*c));
    c->ud = ud;
    return c;
}

static void closes(struct ep_conn *c)
{
    struct ct_inst *in = c->ud;
    drv.changed++;
    drv.open--;
    in->conn = NULL;
    free(c);
}

static bool is_busy(const struct ct_group *g)
{
    (void)g;
    return false;
}

/* ---- replies ---- */

static void on_replied(struct ct_group *g, const char *inst, const struct ep_reply *r,
                       int64_t asked_at)
{
    (void)g;
    (void)inst;
    status.replies++;
    status.held = r->held;
    status.asked_at = asked_at;
}

static void ignores(struct ct_group *g, const char *inst, uint64_t vantage, const char *domain,
                    enum pr_health health)
{
    (void)g;
    (void)inst;
    (void)vantage;
    (void)domain;
    (void)health;
}

static bool sends(struct ep_conn *c, const struct ep_request *r)
{
    (void)c;
    (void)r;
    return true;
}

static const struct ep_driver driver = {.open = opens, .send = sends, .close = closes};
static const struct ct_failover_ops steering = {
    .busy = is_busy, .replied = on_replied, .probed = ignores};
static const struct ct_platform_ops outside;

/* A control node that knows groups of three instances, each named by its number. */
static struct ct_node *node_with(int groups)
{
    static const struct st_settings s = {
        .name = "c", .probe_ms = 100, .silence_ms = 300, .probe_rate = 2000};
    struct ct_node *n = sr_alloc(sizeof(*n));
    drv.changed = drv.open = drv.refuses = 0;
    n->s = &s;
    n->driver = &driver;
    n->failover = &steering;
    n->platform = &outside;
    n->next_probe_report = INT64_MAX;
    n->n_groups = groups;
    n->groups = sr_alloc(sizeof(*n->groups) * (size_t)groups);
    for (int g = 0; g < groups; g++) {
        struct ct_group *x = n->groups[g] = sr_alloc(sizeof(*x));
        snprintf(x->name, sizeof(x->name), "%d", g);
        x->primary = -1;
        for (; x->n < 3; x->n++, n->n_insts++) {
            struct ct_inst *in = x->inst[x->n] = sr_alloc(sizeof(*in));
            in->node = n;
            in->group = x;
        }
    }
    return n;
}

static void node_free(struct ct_node *n)
{
    for (int g = 0; g < n->n_groups; g++) {
        for (int i = 0; i < 3; i++) {
            free(n->groups[g]->inst[i]->conn);
            free(n->groups[g]->inst[i]);
        }
        free(n->groups[g]);
    }
    free(n->groups);
    free(n);
}

/* Ticks until so many connections are open; the most that changed in one goes to `most`. */
static int ticks_until(struct ct_node *n, int open, int *most)
{
    int ticks = 0;
    *most = 0;
    while (drv.open != open && ticks < 10000) {
        int before = drv.changed;
        ct_watch_tick(n, CK_SEC(1) + (int64_t)ticks++ * TICK_US);
        *most = drv.changed - before > *most ? drv.changed - before : *most;
    }
    return ticks;
}

/* A new leader that connected to a thousand instances in one step, or closed them in one when
 * it led no more, stood still until the others had elected the next. */
static void leaders_connect_in_small_steps(void)
{
    static const int nodes[] = {30, 100, 300, 1000};
    for (int i = 0; i < 4; i++) {
        struct ct_node *n = node_with(nodes[i] * INSTANCES_A_NODE / 3);
        int most, steps = (n->n_insts + MOST_A_TICK - 1) / MOST_A_TICK;
        n->leading = true;
        CU_ASSERT_EQUAL(ticks_until(n, n->n_insts, &most), steps);
        CU_ASSERT_EQUAL(most, MOST_A_TICK);
        n->leading = false;
        CU_ASSERT_EQUAL(ticks_until(n, 0, &most), steps);
        CU_ASSERT_EQUAL(most, MOST_A_TICK);
        node_free(n);
    }
}

/* Instances that refuse and are tried again and again don't keep the others from their turn. */
static void refusals_keep_nobody_waiting(void)
{
    struct ct_node *n = node_with(300);
    int most;
    n->leading = true;
    drv.refuses = 200;
    CU_ASSERT(ticks_until(n, 300, &most) <= 2 * 900 / MOST_A_TICK);
    node_free(n);
}

/* A status that is sent again after the next request is the answer to neither. */
static void a_repeated_reply_is_no_evidence(void)
{
    struct ct_node *n = node_with(1);
    struct ct_inst *in = n->groups[0]->inst[0];
    in->conn = sr_alloc(sizeof(*in->conn));
    in->open = true;
    status.replies = 0;
    ct_probe(in, 0, ck_now());
    for (int i = 1; i <= 3; i++) {
        struct ep_reply r = {.id = in->last_request_id, .result = EP_OK, .held = {1, 1}};
        r.held.pos = r.id;
        status.events->reply(in->conn, in, &r);
        CU_ASSERT_EQUAL(status.replies, i);
        CU_ASSERT(status.asked_at > 0);
        ct_probe(in, 0, ck_now());
        status.events->reply(in->conn, in, &r);
        CU_ASSERT_EQUAL(status.replies, i);
        CU_ASSERT_EQUAL(in->unanswered_id, in->last_request_id);
    }
    node_free(n);
}

SUITE(watch)
{
    CU_pSuite s = CU_add_suite("watch", NULL, NULL);
    TEST(s, leaders_connect_in_small_steps);
    TEST(s, refusals_keep_nobody_waiting);
    TEST(s, a_repeated_reply_is_no_evidence);
}

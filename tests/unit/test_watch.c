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

static struct ep_conn *opens(struct nt_loop *l, const struct ep_target *to, const char *who,
                             const struct ep_events *ev, void *ud)
{
    struct ep_conn *c;
    (void)l;
    (void)who;
    (void)ev;
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

static const struct ep_driver driver = {.open = opens, .close = closes};
static const struct ct_failover_ops steering = {.busy = is_busy};
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

SUITE(watch)
{
    CU_pSuite s = CU_add_suite("watch", NULL, NULL);
    TEST(s, leaders_connect_in_small_steps);
    TEST(s, refusals_keep_nobody_waiting);
}

/* Limits of client accounts: an exploration of nodes, leaders and links that attacks the bound,
 * seen failing with each safeguard removed; and loads within the limit that must be served. */
#include <stdlib.h>
#include <string.h>

#include "limit/limit.h"
#include "misc/rng.h"
#include "misc/str.h"
#include "tests/unit/unit.h"

enum {
    NODES = 6,
    MAIL = 256, /* messages under way */
    STEPS = 60000,
    STEP_US = 5000,
    RENEW_US = 40000,
    NONE = -1,
    BUSY = 8, /* operations that a node may begin in a step, in busy times */
    LATE_US = 200000,
    HOARD = 20,
    LEARN_US = 1500000,
    LOAD_US = 12000000, /* longer than a window, at times */
    MAX_OPS = 1 << 20,
};

static const struct lm_tolerance tolerance = {5, 0.1, 20};

/* ---- the world ---- */

/* What can be left out, to see that the exploration notices. */
enum without { NOTHING, QUIET, VOIDING, FLIGHT, TELLING, LIVES, WITHOUTS };

struct mail {
    bool used, answer;
    int node;
    uint64_t life, reign; /* of the node, of the leader */
    int64_t at;           /* it arrives */
    int64_t sent;         /* the renewal that it is or answers was sent */
    uint64_t has, seq;
    struct lm_report report;
    bool reports;
    struct lm_grant answered;
    bool all;   /* a renewal: it tells of all permits */
    bool knows; /* an answer: the leader was told of all */
};

struct node {
    uint64_t id;
    uint64_t reign; /* of the leader that it asks */
    int64_t learns; /* of a new one */
    bool hoards;    /* it asks for many, and keeps them */
    bool untold;    /* that leader does not know what it has */
    struct lm_pool stock;
    int64_t until, next_renew, frozen_until;
    uint64_t has; /* number of the last message of that leader */
};

static struct world {
    struct rn_rng rng;
    enum without without;
    bool exact; /* no second attempts, nothing waits, and the bound is the argument's */
    int64_t now;
    uint64_t reign, last_id, last_seq;
    bool led;
    struct lm_allocator leader;
    double rate, burst, old_rate, old_burst, bound, old_bound;
    int64_t lowered_at;
    int load; /* operations that a node may begin in a step, for now */
    int64_t load_until;
    struct node nodes[NODES];
    bool knows[NODES];         /* the leader, by connection */
    int64_t last_at[NODES][2]; /* a message arrives, by direction */
    struct mail mail[MAIL];
    int64_t *ops;
    int n_ops, refused, waited;
    bool broken;
} w;

/* What the limit allows in a window; without second attempts and what waits at a node, the
 * argument of limit.h holds with four fifths of the tolerance. */
static double bound_of(double rate, double burst, bool exact)
{
    double in_window = rate * tolerance.window_s + burst;
    double tolerated = in_window * tolerance.overrun + tolerance.slack;
    return in_window + tolerated * (exact ? 0.8 : 1);
}

/* A connection keeps the order of what it carries. */
static struct mail *post(int node, bool answer)
{
    int64_t *last = &w.last_at[node][answer];
    int64_t at = w.now + 1000 + (int64_t)rn_below(&w.rng, 60000);
    *last = at > *last ? at : *last + 1;
    for (int i = 0; i < MAIL; i++) {
        if (w.mail[i].used)
            continue;
        w.mail[i] = (struct mail){.used = true,
                                  .node = node,
                                  .answer = answer,
                                  .life = w.nodes[node].id,
                                  .at = *last};
        return &w.mail[i];
    }
    return NULL;
}

static void drop_mail(int node)
{
    w.knows[node] = false;
    for (int i = 0; i < MAIL; i++) {
        if (w.mail[i].node == node)
            w.mail[i].used = false;
    }
}

static void new_leader(void)
{
    w.reign++;
    memset(w.knows, 0, sizeof(w.knows));
    for (int k = 0; k < NODES; k++)
        w.nodes[k].learns = w.now + (int64_t)rn_below(&w.rng, LEARN_US);
    lm_begin(&w.leader, &tolerance, !w.led || w.without == QUIET, w.now);
    w.led = true;
    lm_set(&w.leader, "a", w.rate, w.burst, w.now);
}

static void restart(struct node *n)
{
    *n = (struct node){.id = ++w.last_id, .hoards = w.last_id % 2};
}

/* ---- messages ---- */

/* The bound holds whatever nodes ask for. */
static bool hoard(struct lm_pool *s, struct lm_report *r)
{
    int held = s->held > 0 ? s->held : 0;
    if (s->held >= HOARD && s->reported_held == held)
        return false;
    *r = (struct lm_report){.held = held, .want = HOARD};
    s->reported_held = held;
    return true;
}

static void renew(int k)
{
    struct node *n = &w.nodes[k];
    if (n->reign != w.reign && w.now >= n->learns) {
        n->reign = w.reign;
        n->has = 0;
    }
    struct mail *m = post(k, false);
    if (!m)
        return;
    if (w.now >= n->until && w.without != VOIDING)
        lm_void(&n->stock);
    m->all = n->untold;
    if (n->untold && w.without != TELLING)
        lm_tell_anew(&n->stock);
    n->untold = false;
    m->reign = n->reign;
    m->sent = w.now;
    m->has = w.without == FLIGHT ? UINT64_MAX : n->has;
    m->reports =
        n->hoards ? hoard(&n->stock, &m->report) : lm_make_report(&n->stock, w.now, &m->report);
    n->next_renew = w.now + RENEW_US;
}

static void at_leader(const struct mail *in)
{
    if (in->reign != w.reign)
        return;
    struct mail *m = post(in->node, true);
    if (!m)
        return;
    m->reign = w.reign;
    m->sent = in->sent;
    lm_renewed(&w.leader, in->life, w.without != LIVES, w.now);
    m->seq = ++w.last_seq;
    w.knows[in->node] = w.knows[in->node] || in->all;
    m->knows = w.knows[in->node];
    if (in->reports && m->knows)
        lm_handle_report(&w.leader, "a", in->life, &in->report, in->has, m->seq, w.now,
                         &m->answered);
    m->reports = in->reports;
}

static void at_node(const struct mail *m)
{
    struct node *n = &w.nodes[m->node];
    if (n->id != m->life || n->reign != m->reign)
        return;
    n->has = m->seq;
    n->untold = !m->knows;
    if (w.now >= n->until && w.without != VOIDING)
        lm_void(&n->stock);
    int64_t until = m->sent + LM_LIFE_US;
    if (n->untold || until <= w.now)
        return;
    n->until = until > n->until ? until : n->until;
    if (m->reports)
        lm_apply_grant(&n->stock, &m->answered, w.now);
}

/* A connection keeps its order: what arrives at a node waits while it is frozen. */
static void deliver(void)
{
    for (;;) {
        struct mail *next = NULL;
        for (int i = 0; i < MAIL; i++) {
            struct mail *m = &w.mail[i];
            bool waits = m->answer && w.nodes[m->node].frozen_until > w.now;
            if (m->used && m->at <= w.now && !waits && (!next || m->at < next->at))
                next = m;
        }
        if (!next)
            return;
        struct mail m = *next;
        next->used = false;
        if (m.answer)
            at_node(&m);
        else
            at_leader(&m);
    }
}

/* ---- operations ---- */

/* Those that reach instances in the last window, the newest included. */
static void count(int64_t at)
{
    int64_t window = (int64_t)(tolerance.window_s * 1e6);
    int k = 0;
    w.ops[w.n_ops++] = at;
    for (int i = w.n_ops - 1; i >= 0 && w.ops[i] > at - window - LATE_US; i--)
        k += w.ops[i] > at - window && w.ops[i] <= at;
    bool old = w.now < w.lowered_at + 2 * window;
    if (k > (old ? w.old_bound : w.bound))
        w.broken = true;
}

static void operate(struct node *n)
{
    if (w.load == NONE)
        return;
    int most = w.load > 0 ? w.load : rn_below(&w.rng, 8) == 0; /* calm: one now and then */
    for (int i = (int)rn_below(&w.rng, (uint64_t)most + 1); i > 0 && w.n_ops < MAX_OPS; i--) {
        if (w.now >= n->until && w.without != VOIDING)
            return;
        enum lm_verdict v = lm_take(&n->stock, 0, w.now);
        w.refused += v == LM_OVER;
        w.waited += v == LM_WAIT;
        if (v != LM_GO)
            continue;
        count(w.now + (w.exact ? 0 : (int64_t)rn_below(&w.rng, LATE_US / 10)));
        if (!w.exact && rn_below(&w.rng, 20) == 0) { /* its answer was lost: it runs again */
            lm_extra(&n->stock);
            count(w.now + (int64_t)rn_below(&w.rng, LATE_US / 10));
        }
    }
}

/* ---- what goes wrong ---- */

static void lower(void)
{
    w.old_bound = w.now < w.lowered_at + CK_SEC(10) ? w.old_bound : w.bound;
    w.old_rate = w.rate;
    w.old_burst = w.burst;
    w.rate = 1 + (double)rn_below(&w.rng, 60);
    w.burst = (double)rn_below(&w.rng, 60);
    w.bound = bound_of(w.rate, w.burst, w.exact);
    w.old_bound = w.old_bound > w.bound ? w.old_bound : w.bound;
    w.lowered_at = w.now;
    lm_set(&w.leader, "a", w.rate, w.burst, w.now);
}

static void trouble(void)
{
    int k = (int)rn_below(&w.rng, NODES);
    switch (rn_below(&w.rng, w.without ? 1000 : 4000)) {
    case 0:
    case 1:
        new_leader();
        break;
    case 2:
        if (rn_below(&w.rng, 5) == 0)
            lower();
        break;
    case 3:
        restart(&w.nodes[k]);
        drop_mail(k);
        break;
    case 4:
    case 5:
        w.nodes[k].frozen_until = w.now + (int64_t)rn_below(&w.rng, 3000000);
        break;
    case 6:
    case 7:
        w.nodes[k].hoards = !w.nodes[k].hoards;
        break;
    case 8:
        drop_mail(k); /* its connection broke */
        break;
    default:
        break;
    }
}

/* Calm times, in which permits gather, and busy ones. */
static void change_load(void)
{
    static const int loads[] = {NONE, 0, 1, BUSY};
    if (w.now < w.load_until)
        return;
    w.load = loads[rn_below(&w.rng, 4)];
    w.load_until = w.now + (int64_t)rn_below(&w.rng, LOAD_US);
}

static double depth_of(double rate, double burst)
{
    return bound_of(rate, burst, true) - rate * tolerance.window_s;
}

/* The heart of the argument: permits that somebody may still use, wherever they are, are at
 * most the depth. Nodes that hoard, leaders that change and lost messages show here long before
 * a window overflows. */
static void check_unused(void)
{
    double unused = w.leader.accounts[0].level;
    for (int k = 0; k < NODES; k++) {
        const struct node *n = &w.nodes[k];
        bool usable = w.now < n->until || w.without == VOIDING;
        unused += usable && n->stock.held > 0 ? n->stock.held : 0;
    }
    for (int i = 0; i < MAIL; i++) {
        const struct mail *m = &w.mail[i];
        const struct node *n = &w.nodes[m->node];
        bool comes = m->used && m->answer && n->id == m->life && n->reign == m->reign &&
                     m->sent + LM_LIFE_US > w.now;
        unused += comes ? m->answered.given : 0;
    }
    double most = depth_of(w.rate, w.burst), old = depth_of(w.old_rate, w.old_burst);
    if (w.now < w.lowered_at + CK_SEC(2) && old > most)
        most = old;
    if (w.exact && unused > most + 1e-6)
        w.broken = true;
}

static void step(void)
{
    w.now += STEP_US;
    change_load();
    trouble();
    deliver();
    for (int k = 0; k < NODES; k++) {
        struct node *n = &w.nodes[k];
        if (n->frozen_until > w.now)
            continue;
        operate(n);
        if (w.now >= n->next_renew)
            renew(k);
    }
    check_unused();
}

static void explore(uint64_t seed, enum without without, bool exact)
{
    static const double limits[][2] = {{20, 20}, {60, 0}, {200, 10}};
    int64_t *ops = w.ops;
    lm_free(&w.leader);
    w = (struct world){.rng = rn_seed(seed), .without = without, .exact = exact, .ops = ops};
    w.now = CK_SEC(1000);
    w.rate = limits[seed % 3][0];
    w.burst = limits[seed % 3][1];
    w.bound = w.old_bound = bound_of(w.rate, w.burst, exact);
    for (int k = 0; k < NODES; k++)
        restart(&w.nodes[k]);
    new_leader();
    for (int i = 0; i < STEPS && !w.broken; i++)
        step();
}

static void no_window_exceeds_the_limit(void)
{
    w.ops = sr_alloc(sizeof(*w.ops) * MAX_OPS);
    for (uint64_t seed = 1; seed <= 4; seed++) {
        explore(seed, NOTHING, seed % 2);
        CU_ASSERT_FALSE(w.broken);
        CU_ASSERT(w.n_ops > 1000 && w.refused > 1000);
    }
}

/* Each safeguard left out is noticed within a few seeds. */
static void each_safeguard_is_needed(void)
{
    for (int without = NOTHING + 1; without < WITHOUTS; without++) {
        uint64_t seed = 0;
        while (seed < 24 && !w.broken)
            explore(++seed, (enum without)without, true);
        if (!w.broken) {
            char text[32];
            snprintf(text, sizeof(text), "safeguard %d", without);
            puts(text);
            CU_FAIL("a safeguard was left out, and nothing noticed");
        }
        w.broken = false;
    }
    free(w.ops);
    lm_free(&w.leader);
    w = (struct world){0};
}

/* ---- within the limit ---- */

/* In thousandths of the operations. */
struct outcome {
    int refused, asks_again;
};

/* Load: an account of so many operations a second over so many nodes, its limit 1.6 times that,
 * as the users set theirs; nodes renew every 0.2 s and at once when an operation waits. One
 * that gets no permit with the answer asks again 20 ms later. */
static struct outcome play(double per_s, int nodes, uint64_t seed)
{
    enum { SECONDS = 60, WARM = 10, TICK_US = 1000 };
    struct rn_rng rng = rn_seed(seed);
    struct lm_pool *stock = sr_alloc(sizeof(*stock) * (size_t)nodes);
    struct lm_allocator g = {0};
    int64_t now = CK_SEC(50);
    int asked = 1, refused = 0, again = 0;
    lm_begin(&g, &tolerance, true, now);
    lm_set(&g, "a", per_s * 1.6, per_s * 1.6, now);
    for (int64_t t = 0; t < CK_SEC(SECONDS); t += TICK_US) {
        now += TICK_US;
        for (int k = 0; k < nodes; k++) {
            bool counts = t >= CK_SEC(WARM); /* its bucket is empty at first */
            bool op = (double)rn_below(&rng, 1000000) < per_s / nodes * TICK_US;
            bool renews = (t / TICK_US + k) % 200 == 0;
            enum lm_verdict v = op ? lm_take(&stock[k], 0, now) : LM_GO;
            struct lm_report r;
            struct lm_grant a;
            if (renews || v == LM_WAIT) {
                lm_renewed(&g, (uint64_t)k + 1, true, now);
                if (lm_make_report(&stock[k], now, &r)) {
                    lm_handle_report(&g, "a", (uint64_t)k + 1, &r, UINT64_MAX, 1, now, &a);
                    lm_apply_grant(&stock[k], &a, now);
                }
            }
            if (v == LM_WAIT)
                v = lm_take(&stock[k], 0, now);
            asked += counts && op;
            refused += counts && op && v == LM_OVER;
            again += counts && op && v == LM_WAIT;
        }
    }
    lm_free(&g);
    free(stock);
    return (struct outcome){refused * 1000 / asked, again * 1000 / asked};
}

static void what_is_within_the_limit_is_served(void)
{
    static const double sizes[] = {0.5, 2, 10, 50, 200};
    for (int i = 0; i < 5; i++) {
        struct outcome few = play(sizes[i], 8, 3), many = play(sizes[i], 76, 4);
        CU_ASSERT(few.refused == 0 && few.asks_again <= 2);
        CU_ASSERT(many.refused == 0 && many.asks_again <= 20);
    }
}

/* An account without a rate asks for nothing, one with a rate of none gets what its burst and
 * the slack hold; an account that is taken away has no limit. */
static void limits_at_their_edges(void)
{
    struct lm_allocator g = {0};
    struct lm_report r = {.want = 1000};
    struct lm_grant a;
    lm_begin(&g, &tolerance, true, 0);
    lm_set(&g, "none", 0, 0, 1);
    lm_set(&g, "some", 5, 5, 1);
    lm_renewed(&g, 1, true, 1);
    CU_ASSERT_TRUE(lm_handle_report(&g, "none", 1, &r, 0, 1, 1, &a));
    CU_ASSERT(a.given == 0 && a.over_us > 0);
    lm_renewed(&g, 1, true, CK_SEC(60));
    CU_ASSERT_TRUE(lm_handle_report(&g, "some", 1, &r, 0, 2, CK_SEC(60), &a));
    CU_ASSERT(a.given > 0 && a.given <= bound_of(5, 5, false));
    CU_ASSERT_EQUAL((int)lm_out(&g, "some", CK_SEC(60) + LM_LIFE_US), a.given);
    CU_ASSERT_EQUAL((int)lm_out(&g, "some", CK_SEC(62)), 0); /* not renewed, they have ended */
    CU_ASSERT_FALSE(lm_handle_report(&g, "unknown", 1, &r, 0, 3, 1, &a));
    lm_sweep(&g);
    lm_set(&g, "some", 5, 5, CK_SEC(62));
    lm_sweep(&g);
    CU_ASSERT_FALSE(lm_handle_report(&g, "none", 1, &r, 0, 4, CK_SEC(62), &a));
    CU_ASSERT_TRUE(lm_handle_report(&g, "some", 1, &r, 0, 5, CK_SEC(62), &a));
    lm_free(&g);
}

void limit_suite(void)
{
    CU_pSuite s = CU_add_suite("limit", NULL, NULL);
    TEST(s, no_window_exceeds_the_limit);
    TEST(s, each_safeguard_is_needed);
    TEST(s, what_is_within_the_limit_is_served);
    TEST(s, limits_at_their_edges);
}

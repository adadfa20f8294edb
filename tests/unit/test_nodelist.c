/* The list of entry nodes under the load it is made for: 300 nodes at one leader, half of them
 * killed at once and back within a second, leaders that follow one another. */
#include <stdlib.h>

#include "misc/rng.h"
#include "route/nodelist.h"
#include "tests/unit/unit.h"
#include "wire/wire.h"

enum {
    NODES = 300,
    HALF = NODES / 2,
    /* What a link of 100 Mbit/s carries in a quarter of the shortest election time (200 ms):
     * heartbeats that stand in line behind no more than that arrive in time. */
    BYTES_IN_TIME = 100 * 1000 * 1000 / 8 / 1000 * 50,
};

/* A node's own copy. */
struct copy {
    struct ho_node nodes[HO_MAX_NODES];
    int n;
    uint64_t hash;
};

static struct ho_node node(int i)
{
    struct ho_node x = {.port = 8784};
    snprintf(x.name, sizeof(x.name), "10.%d.0.%d", i % 5 + 1, i / 5 + 6);
    snprintf(x.ip, sizeof(x.ip), "%s", x.name);
    snprintf(x.domain, sizeof(x.domain), "domain-%c", 'a' + i % 5);
    return x;
}

/* Note the list of those with present[i]. */
static void note(struct nl_history *b, const bool *present)
{
    static struct ho_node list[NODES];
    int n = 0;
    for (int i = 0; i < NODES; i++) {
        if (present[i])
            list[n++] = node(i);
    }
    uint64_t hash = nl_sort(list, n);
    nl_record(b, list, n, hash);
}

/* Bytes of what leads from list `has` to the newest; `told`: the node says which it has. */
static size_t bytes_of(const struct nl_history *b, uint64_t has, bool told)
{
    static struct nl_change ch;
    static struct wr_node came[HO_MAX_NODES];
    static struct sr_str gone[HO_MAX_NODES];
    struct sr_buf out = {0};
    nl_since(b, has, &ch);
    for (int i = 0; i < ch.n_added; i++)
        came[i] = (struct wr_node){sr_from(ch.added[i]->name), sr_from(ch.added[i]->domain),
                                   sr_from(ch.added[i]->ip), (uint32_t)ch.added[i]->port,
                                   (uint32_t)ch.added[i]->carries};
    for (int i = 0; i < ch.n_removed; i++)
        gone[i] = sr_from(ch.removed[i]);
    struct wr_msg m = {.type = WR_NODES,
                       .nodes = {(uint32_t)ch.n_added, came, ch.from, told ? ch.to : 0,
                                 (uint32_t)ch.n_removed, gone}};
    wr_encode(&out, &m);
    size_t len = out.len;
    sr_buf_free(&out);
    return len;
}

static size_t follow(const struct nl_history *b, struct copy *c)
{
    static struct nl_change ch;
    if (c->hash == nl_newest(b)->hash)
        return 0;
    size_t len = bytes_of(b, c->hash, true);
    nl_since(b, c->hash, &ch);
    CU_ASSERT_TRUE(nl_apply(c->nodes, &c->n, &c->hash, &ch));
    CU_ASSERT_EQUAL(c->hash, nl_newest(b)->hash);
    return len;
}

/* A leader begins while all nodes are there and know one another: it has nothing to tell. Sent
 * whole as before, the list would fill its link for longer than an election takes. */
static void a_new_leader_repeats_nothing(void)
{
    static struct nl_history before, after;
    static struct copy c;
    bool present[NODES];
    memset(present, true, sizeof(present));
    c.hash = NL_EMPTY;
    note(&before, present);
    CU_ASSERT(follow(&before, &c) > 0);
    note(&after, present);
    CU_ASSERT_EQUAL(follow(&after, &c), 0);
    CU_ASSERT(bytes_of(&after, 0, false) * NODES > BYTES_IN_TIME * 5);
    CU_ASSERT(bytes_of(&after, NL_EMPTY, true) * NODES < BYTES_IN_TIME * 3 / 2);
    nl_free(&before);
    nl_free(&after);
}

/* Half of the nodes come back over a second: each list goes to all that are there. */
static void half_return_within_a_second(void)
{
    enum { STEPS = 10 };
    static struct nl_history b;
    static struct copy c;
    bool present[NODES] = {false};
    size_t most = 0;
    c.hash = NL_EMPTY;
    for (int i = 0; i < HALF; i++)
        present[i] = true;
    note(&b, present);
    follow(&b, &c);
    for (int k = 0; k < STEPS; k++) {
        for (int i = HALF + k * HALF / STEPS; i < HALF + (k + 1) * HALF / STEPS; i++)
            present[i] = true;
        note(&b, present);
        size_t len = follow(&b, &c) * NODES;
        most = len > most ? len : most;
    }
    CU_ASSERT_EQUAL(c.n, NODES);
    CU_ASSERT(most < BYTES_IN_TIME / 2);
    nl_free(&b);
}

/* Whatever comes, goes and is missed, a node ends with the leader's list. */
static void every_copy_follows(void)
{
    enum { STEPS = 2000, COPIES = 4 };
    static struct nl_history b;
    static struct copy c[COPIES];
    struct rn_rng r = rn_seed(11);
    bool present[NODES] = {false};
    for (int k = 0; k < COPIES; k++)
        c[k].hash = NL_EMPTY;
    for (int s = 0; s < STEPS; s++) {
        for (uint64_t k = rn_below(&r, s % 50 ? 4 : NODES); k > 0; k--) {
            int i = (int)rn_below(&r, NODES);
            present[i] = !present[i];
        }
        note(&b, present);
        for (int k = 0; k < COPIES; k++) {
            if (rn_below(&r, 4 + (uint64_t)k * 8) == 0) /* the last ones are far behind */
                follow(&b, &c[k]);
        }
    }
    for (int k = 0; k < COPIES; k++) {
        const struct nl_list *l = nl_newest(&b);
        follow(&b, &c[k]);
        CU_ASSERT_EQUAL(c[k].n, l->n);
        for (int i = 0; i < l->n; i++)
            CU_ASSERT_STRING_EQUAL(c[k].nodes[i].name, l->nodes[i].name);
    }
    nl_free(&b);
}

/* A change that belongs to another list is not taken; one that leads elsewhere than it says
 * makes the node ask for the whole; a node that moved is listed where it is. */
static void wrong_changes_are_told(void)
{
    static struct nl_history b;
    static struct copy c;
    static struct nl_change ch;
    bool present[NODES] = {true, true, true};
    c.hash = NL_EMPTY;
    note(&b, present);
    follow(&b, &c);
    uint64_t had = c.hash;
    present[3] = true;
    note(&b, present);
    nl_since(&b, had, &ch);
    CU_ASSERT(ch.from == had && ch.n_added == 1 && ch.n_removed == 0);
    ch.from++;
    CU_ASSERT_FALSE(nl_apply(c.nodes, &c.n, &c.hash, &ch));
    CU_ASSERT(c.n == 3 && c.hash == had);
    ch.from--;
    ch.to++;
    CU_ASSERT_TRUE(nl_apply(c.nodes, &c.n, &c.hash, &ch));
    CU_ASSERT_EQUAL(c.hash, NL_EMPTY);
    follow(&b, &c);
    CU_ASSERT_EQUAL(c.n, 4);

    struct ho_node moved[4];
    for (int i = 0; i < 4; i++)
        moved[i] = node(i);
    moved[2].port = 9000;
    uint64_t hash = nl_sort(moved, 4);
    CU_ASSERT_TRUE(nl_record(&b, moved, 4, hash));
    CU_ASSERT_FALSE(nl_record(&b, moved, 4, hash));
    nl_since(&b, c.hash, &ch);
    CU_ASSERT(ch.n_added == 1 && ch.n_removed == 1 && ch.added[0]->port == 9000);
    follow(&b, &c);
    CU_ASSERT_EQUAL(c.n, 4);
    nl_free(&b);
}

void nodelist_suite(void)
{
    CU_pSuite s = CU_add_suite("nodelist", NULL, NULL);
    TEST(s, a_new_leader_repeats_nothing);
    TEST(s, half_return_within_a_second);
    TEST(s, every_copy_follows);
    TEST(s, wrong_changes_are_told);
}

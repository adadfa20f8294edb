/* Which connections nodes ask for when hundreds of them come back together: 300 nodes before 60
 * instances of 131 connections. One proxy stands for each node in turn, as the name it goes by
 * is all that tells them apart. */
#include <stdio.h>
#include <stdlib.h>

#include "misc/clock.h"
#include "proxy/proxy.h"
#include "tests/unit/one_node.h"
#include "tests/unit/unit.h"

enum {
    NODES = 300,
    GROUPS = 20,
    COPIES = 3,
    MAX_CONNS = 131,
    START_US = 1000000000,
    LIST_IN_US = 600000, /* a list comes within; a node waits for it longer */
    NO_LIST_US = 1100000,
};

static char node_name[32];
static struct nt_loop *loop;

static struct px_proxy *make_proxy(void)
{
    struct er_err err = {0};
    loop = nt_loop_create(64, &err);
    return on_create(loop, node_name, 0, 8, NULL);
}

static void put_document(struct sr_buf *out)
{
    sr_buf_printf(out, "{\"version\":1,\"routes\":[");
    for (int g = 0; g < GROUPS; g++)
        sr_buf_printf(out,
                      "%s{\"name\":\"r%d\",\"host\":\"db%d\",\"pathPrefix\":\"/\",\"kind\":"
                      "\"primary\",\"timeoutMs\":1000,\"latencySloMs\":200,\"priority\":1,"
                      "\"service\":\"g%02d\",\"maxAttempts\":2}",
                      g ? "," : "", g, g, g);
    sr_buf_printf(out, "],\"services\":[");
    for (int g = 0; g < GROUPS; g++)
        sr_buf_printf(out,
                      "%s{\"name\":\"g%02d\",\"healthPath\":\"/\",\"maxConns\":%d,"
                      "\"syncReplicas\":0}",
                      g ? "," : "", g, MAX_CONNS);
    sr_buf_printf(out, "],\"limits\":{\"txIdleMs\":3000}}");
}

static void show_groups(struct px_proxy *p, bool with_document)
{
    static struct vw_group groups[GROUPS];
    struct sr_buf text = {0};
    struct vw_view view = {.generation = 1, .n = GROUPS, .groups = groups};
    for (int g = 0; g < GROUPS; g++) {
        groups[g] = (struct vw_group){.term = 1, .n = COPIES};
        snprintf(groups[g].name, sizeof(groups[g].name), "g%02d", g);
        for (int i = 0; i < COPIES; i++) {
            struct vw_instance *in = &groups[g].inst[i];
            *in = (struct vw_instance){.ip = "127.0.0.1", .port = 1, .domain = "z", .slots = 3};
            snprintf(in->id, sizeof(in->id), "i%d-%d", g, i);
        }
    }
    put_document(&text);
    if (with_document)
        view.doc = (struct vw_document){1, text.p, text.len};
    view.generation += with_document;
    px_set_view(p, &view);
    sr_buf_free(&text);
}

static void show_view(struct px_proxy *p)
{
    show_groups(p, true);
}

/* The first n nodes have a lease. */
static void show_nodes(struct px_proxy *p, int n)
{
    static struct ho_node nodes[NODES];
    for (int i = 0; i < n; i++) {
        nodes[i] = (struct ho_node){.ip = "127.0.0.1", .port = 1};
        snprintf(nodes[i].name, sizeof(nodes[i].name), "n%d", i);
        snprintf(nodes[i].domain, sizeof(nodes[i].domain), "d%d", i % 5);
    }
    ho_prepare(nodes, n);
    px_set_nodes(p, nodes, n);
}

/* Connections that a renewal would ask for now. */
static int wanted(struct px_proxy *p)
{
    struct wr_share s[GROUPS * COPIES];
    uint32_t n = px_wanted_shares(p, s, GROUPS * COPIES);
    int sum = 0;
    for (uint32_t i = 0; i < n; i++)
        sum += (int)s[i].want;
    return sum;
}

/* Before they know one another 300 nodes ask for nothing; each asking for one connection to
 * each instance, they would take what instances have free from the nodes that need it. */
static void nothing_is_asked_for_before_the_list(void)
{
    ck_pause(START_US);
    struct px_proxy *p = make_proxy();
    show_view(p);
    CU_ASSERT_EQUAL(wanted(p), 0);
    ck_advance(LIST_IN_US);
    on_hear(loop);
    px_tick(p, ck_now());
    CU_ASSERT_EQUAL(wanted(p), 0);
    px_has_changes(p);
    int sum = 0, holders = 0;
    for (int i = 0; i < NODES; i++) {
        snprintf(node_name, sizeof(node_name), "n%d", i);
        show_nodes(p, NODES);
        int k = wanted(p);
        sum += k;
        holders += k > 0;
    }
    CU_ASSERT(holders > 0 && sum > 0);
    CU_ASSERT(sum <= GROUPS * COPIES * HO_MAX_HOLDERS);
    CU_ASSERT_TRUE(px_has_changes(p)); /* asked for at once, not with the next renewal due */
    ck_resume();
}

/* Most nodes are cut off from control and vanish from the list. Those that are left are fewer
 * than an instance's connections, and must not all connect everywhere for that. */
static void what_is_left_of_many_keeps_to_holders(void)
{
    enum { LEFT = 117 };
    ck_pause(START_US);
    struct px_proxy *p = make_proxy();
    int sum = 0;
    show_view(p);
    for (int i = 0; i < LEFT; i++) {
        snprintf(node_name, sizeof(node_name), "n%d", i);
        show_nodes(p, LEFT);
        sum += wanted(p);
    }
    CU_ASSERT(sum > 0 && sum <= GROUPS * COPIES * HO_MAX_HOLDERS);
    snprintf(node_name, sizeof(node_name), "n0"); /* a few nodes: all hold all */
    show_nodes(p, HO_MAX_HOLDERS);
    CU_ASSERT_EQUAL(wanted(p), GROUPS * COPIES);
    ck_resume();
}

/* Where no list comes a node serves alone, as there is nobody to relay to. */
static void without_a_list_all_is_held(void)
{
    ck_pause(START_US);
    struct px_proxy *p = make_proxy();
    show_view(p);
    px_has_changes(p);
    CU_ASSERT_EQUAL(wanted(p), 0);
    ck_advance(NO_LIST_US);
    px_tick(p, ck_now());
    CU_ASSERT_EQUAL(wanted(p), 0); /* it may have come, after a long step */
    on_hear(loop);
    px_tick(p, ck_now());
    CU_ASSERT_EQUAL(wanted(p), GROUPS * COPIES);
    CU_ASSERT_TRUE(px_has_changes(p));
    ck_resume();
}

/* Guards against a start that nobody gets through: instances have registered and no document
 * says how many connections they take, so each of 300 nodes held every group, and asked for
 * connections to all of them. */
static void nothing_is_held_before_a_document(void)
{
    ck_pause(START_US);
    struct px_proxy *p = make_proxy();
    show_groups(p, false);
    show_nodes(p, NODES);
    CU_ASSERT_EQUAL(wanted(p), 0);
    int sum = 0;
    for (int i = 0; i < NODES; i++) {
        snprintf(node_name, sizeof(node_name), "n%d", i);
        struct px_proxy *each = make_proxy();
        show_groups(each, false);
        show_nodes(each, NODES);
        show_view(each);
        sum += wanted(each);
    }
    CU_ASSERT(sum > 0 && sum < NODES * GROUPS);
    ck_resume();
}

void holding_suite(void)
{
    CU_pSuite s = CU_add_suite("holding", NULL, NULL);
    TEST(s, nothing_is_held_before_a_document);
    TEST(s, nothing_is_asked_for_before_the_list);
    TEST(s, what_is_left_of_many_keeps_to_holders);
    TEST(s, without_a_list_all_is_held);
}

/* Who votes, instances that register themselves, and what documents say. */
#include <stdio.h>
#include <string.h>

#include "catalog/catalog.h"
#include "member/member.h"
#include "registry/registry.h"
#include "tests/unit/unit.h"

/* ---- voters ---- */

static struct mb_node node(uint64_t id, const char *ip, bool voter)
{
    return (struct mb_node){.id = id,
                            .ip = ip,
                            .member = voter,
                            .voter = voter,
                            .connected = true,
                            .caught_up = true};
}

/* Three voters, the first leads; one loss is to be borne. */
static struct mb_state three(void)
{
    struct mb_state s = {.self = 1, .tolerates = 1, .n = 3};
    s.node[0] = node(1, "10.0.0.1", true);
    s.node[1] = node(2, "10.0.0.2", true);
    s.node[2] = node(3, "10.0.0.3", true);
    return s;
}

static void expect(const struct mb_state *s, enum mb_step step, uint64_t id)
{
    struct mb_action a = mb_next(s);
    CU_ASSERT_EQUAL(a.step, step);
    CU_ASSERT_EQUAL(a.id, id);
}

static void emptied_disk_learns_votes_and_replaces(void)
{
    struct mb_state s = three();
    expect(&s, MB_NONE, 0);
    s.node[2].silent_us = MB_SILENT_LIMIT_US;
    s.node[2].connected = false;
    expect(&s, MB_NONE, 0); /* a voter that is away for a while stays one */
    s.node[s.n++] = node(33, "10.0.0.3", false);
    expect(&s, MB_ADD, 33);
    s.node[3].member = true;
    s.node[3].caught_up = false;
    expect(&s, MB_NONE, 0); /* it must hold everything first */
    s.node[3].caught_up = true;
    expect(&s, MB_VOTER, 33);
    s.node[3].voter = true;
    expect(&s, MB_REMOVE, 3);
}

static void successor_at_another_address(void)
{
    struct mb_state s = three();
    s.node[1].silent_us = MB_SILENT_LIMIT_US;
    s.node[s.n++] = node(4, "10.0.0.9", true);
    expect(&s, MB_REMOVE, 2);
    s.node[3].silent_us = MB_SILENT_LIMIT_US; /* with two there nobody is removed */
    expect(&s, MB_NONE, 0);
}

static void every_disk_votes(void)
{
    struct mb_state s = three();
    s.tolerates = 2;
    s.node[s.n++] = node(4, "10.0.0.4", false);
    s.node[s.n++] = node(5, "10.0.0.5", false);
    expect(&s, MB_ADD, 4);
    s.node[3] = node(4, "10.0.0.4", true);
    s.node[4] = node(5, "10.0.0.5", true);
    s.node[2].silent_us = MB_SILENT_LIMIT_US;
    expect(&s, MB_NONE, 0); /* five are needed */
    s.node[s.n++] = node(6, "10.0.0.6", true);
    expect(&s, MB_REMOVE, 3);
}

/* Eight split into halves have no majority of eight; of seven, one half has. The eighth learns
 * and takes the place of a voter that goes. */
static void an_odd_number_votes(void)
{
    static const char *const ips[] = {"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4",
                                      "10.0.0.5", "10.0.0.6", "10.0.0.7", "10.0.0.8"};
    struct mb_state s = {.self = 1, .tolerates = 2};
    for (uint64_t i = 0; i < 8; i++)
        s.node[s.n++] = node(i + 1, ips[i], i < 7);
    s.node[7].member = true;
    expect(&s, MB_NONE, 0);
    s.node[2].silent_us = MB_SILENT_LIMIT_US;
    s.node[2].connected = false;
    expect(&s, MB_VOTER, 8);
    s.node[7].voter = true;
    expect(&s, MB_REMOVE, 3);
    struct mb_state four = three();
    four.node[four.n++] = node(4, "10.0.0.4", false);
    four.node[3].member = true;
    expect(&four, MB_NONE, 0); /* three of four */
}

/* ---- instances ---- */

static struct rg_heartbeat beat(const char *id, int port, bool primary, uint64_t seq)
{
    struct rg_heartbeat b = {.group = "reg", .primary = primary, .seq = seq};
    strcpy(b.inst.id, id);
    strcpy(b.inst.ip, "10.0.0.1");
    b.inst.port = port;
    b.inst.max_conns = 9;
    b.inst.slots = 3;
    return b;
}

/* `last`: number of the newest call of its life that the node has taken. */
static enum rg_result tell(struct vw_view *v, const struct rg_heartbeat *b, uint64_t last)
{
    struct vw_change ch;
    struct er_err err = {0};
    struct rg_last_call taken = {last ? b->inst.born : 0, last};
    enum rg_result need = rg_on_heartbeat(v, b, &taken, &ch, &err);
    if (need == RG_CHANGE)
        CU_ASSERT_TRUE(vw_apply(v, v->generation + 1, &ch, &err));
    return need;
}

/* Load: the regular calls of all instances, at nodes that do not lead. Those that tell nothing
 * new end there; whatever has to be agreed does not. A node whose view is older sends on what
 * that view lacks. */
static void calls_that_end_at_a_follower(void)
{
    struct vw_view leader, follower;
    vw_init(&leader);
    vw_init(&follower);
    struct rg_heartbeat a = beat("a", 1, true, 1), b = beat("b", 2, false, 1);
    CU_ASSERT_FALSE(rg_needs_no_leader(tell(&leader, &a, 0)));
    CU_ASSERT_FALSE(rg_needs_no_leader(tell(&leader, &b, 0)));
    tell(&follower, &a, 0); /* b has not come there yet */
    CU_ASSERT_FALSE(rg_needs_no_leader(tell(&follower, &b, 0)));
    a.seq = b.seq = 2;
    CU_ASSERT_TRUE(rg_needs_no_leader(tell(&leader, &a, 1)));
    CU_ASSERT_TRUE(rg_needs_no_leader(tell(&follower, &a, 1)));
    a.inst.draining = true;
    a.seq = 3;
    CU_ASSERT_FALSE(rg_needs_no_leader(tell(&leader, &a, 2)));
    struct rg_heartbeat again = beat("b", 2, false, 1);
    again.inst.born = 9;
    CU_ASSERT_FALSE(rg_needs_no_leader(tell(&leader, &again, 0)));
    struct vw_change ch;
    CU_ASSERT_FALSE(rg_needs_no_leader(rg_on_leave(&leader, "b", &ch)));
}

static void instances_calls(void)
{
    struct vw_view w;
    struct vw_change ch;
    struct er_err err = {0};
    vw_init(&w);
    struct rg_heartbeat a = beat("a", 1, true, 5), b = beat("b", 2, false, 1);
    CU_ASSERT_EQUAL(tell(&w, &a, 0), RG_CHANGE);
    CU_ASSERT_EQUAL(tell(&w, &a, 4), RG_UNCHANGED);
    CU_ASSERT_EQUAL(tell(&w, &a, 5), RG_STALE); /* the same call again, or an older one */
    CU_ASSERT_EQUAL(tell(&w, &b, 0), RG_CHANGE);
    b.inst.draining = true;
    CU_ASSERT_EQUAL(tell(&w, &b, 1 - 1), RG_CHANGE);
    CU_ASSERT_TRUE(w.groups[0].inst[1].draining);
    b.inst.draining = false; /* another leader does not know its numbers */
    CU_ASSERT_EQUAL(tell(&w, &b, 0), RG_UNCHANGED);
    CU_ASSERT_TRUE(w.groups[0].inst[1].draining);
    CU_ASSERT_EQUAL(rg_on_leave(&w, "b", &ch), RG_CHANGE);
    CU_ASSERT_TRUE(vw_apply(&w, 90, &ch, &err));
    CU_ASSERT_EQUAL(rg_on_leave(&w, "b", &ch), RG_STALE);
    CU_ASSERT_EQUAL(tell(&w, &b, 0), RG_STALE);
    vw_free(&w);
}

/* An instance starts again under its id: its counts begin anew, and calls of before are told
 * by its start. */
static void instances_that_start_again(void)
{
    struct vw_view w, back;
    struct vw_change ch;
    struct er_err err = {0};
    vw_init(&w);
    vw_init(&back);
    struct rg_heartbeat a = beat("a", 1, true, 50), again = beat("a", 1, false, 1);
    struct rg_last_call taken = {1000, 50};
    a.inst.born = 1000;
    a.inst.draining = true;
    again.inst.born = 2000;
    CU_ASSERT_EQUAL(tell(&w, &a, 0), RG_CHANGE);
    CU_ASSERT_EQUAL(rg_on_heartbeat(&w, &again, &taken, &ch, &err), RG_CHANGE);
    CU_ASSERT_TRUE(vw_apply(&w, w.generation + 1, &ch, &err));
    CU_ASSERT_FALSE(w.groups[0].inst[0].draining);
    CU_ASSERT_EQUAL(w.groups[0].inst[0].born, 2000);
    CU_ASSERT_EQUAL(w.groups[0].n, 1);
    a.seq = 51; /* delayed by a cut; a leader that knows its last call, and one that does not */
    CU_ASSERT_EQUAL(rg_on_heartbeat(&w, &a, &(struct rg_last_call){2000, 1}, &ch, &err),
                    RG_STALE);
    CU_ASSERT_EQUAL(rg_on_heartbeat(&w, &a, &(struct rg_last_call){0}, &ch, &err), RG_STALE);
    CU_ASSERT_EQUAL(tell(&w, &again, 0), RG_UNCHANGED);
    /* Another takes its address: what the one before said late brings it back no more. */
    struct rg_heartbeat next = beat("b", 1, false, 1);
    next.inst.born = 3000;
    CU_ASSERT_EQUAL(tell(&w, &next, 0), RG_CHANGE);
    CU_ASSERT_EQUAL(tell(&w, &again, 0), RG_STALE);
    struct rg_heartbeat unheard = beat("c", 1, false, 9);
    unheard.inst.born = 2500;
    CU_ASSERT_EQUAL(tell(&w, &unheard, 0), RG_STALE);
    /* After a restart of the node, too; but a later life of the first may come. */
    json_t *j = vw_view_json(&w);
    CU_ASSERT_TRUE(vw_view_parse(j, &back, &err));
    json_decref(j);
    CU_ASSERT_EQUAL(tell(&back, &again, 0), RG_STALE);
    again.inst.born = 4000;
    again.inst.port = 2;
    CU_ASSERT_EQUAL(tell(&back, &again, 0), RG_CHANGE);
    vw_free(&w);
    vw_free(&back);
}

/* ---- documents ---- */

static struct cg_catalog two_routes(void)
{
    struct cg_catalog c = {.version = 3, .n_routes = 2, .n_services = 1};
    c.routes = calloc(2, sizeof(*c.routes));
    c.services = calloc(1, sizeof(*c.services));
    strcpy(c.services[0].group, "reg");
    for (int i = 0; i < 2; i++) {
        strcpy(c.routes[i].database, i ? "alpha" : "beta");
        strcpy(c.routes[i].group, "reg");
        c.routes[i].limit_us = 1;
    }
    return c;
}

static bool good(struct cg_catalog c)
{
    struct er_err err = {0};
    bool ok = cg_check(&c, &err);
    CU_ASSERT_TRUE(ok || err.kind == ER_BAD_INPUT);
    cg_free(&c);
    return ok;
}

static void documents_are_checked_whole(void)
{
    struct cg_catalog c = two_routes();
    struct er_err err = {0};
    CU_ASSERT_TRUE(cg_check(&c, &err));
    CU_ASSERT_STRING_EQUAL(cg_route(&c, SR_LIT("beta"))->database, "beta");
    CU_ASSERT_STRING_EQUAL(cg_route(&c, SR_LIT("alpha"))->database, "alpha");
    CU_ASSERT_PTR_NULL(cg_route(&c, SR_LIT("alph")));
    CU_ASSERT_PTR_NULL(cg_route(&c, SR_LIT("alphab")));
    CU_ASSERT_PTR_NULL(cg_route(&c, SR_LIT("")));
    cg_free(&c);
    c = two_routes();
    strcpy(c.routes[1].database, "beta");
    CU_ASSERT_FALSE(good(c));
    c = two_routes();
    strcpy(c.routes[1].group, "other");
    CU_ASSERT_FALSE(good(c));
    c = two_routes();
    c.routes[0].limit_us = 0;
    CU_ASSERT_FALSE(good(c));
    c = two_routes();
    c.version = 0;
    CU_ASSERT_FALSE(good(c));
}

void member_suite(void)
{
    CU_pSuite s = CU_add_suite("member", NULL, NULL);
    TEST(s, emptied_disk_learns_votes_and_replaces);
    TEST(s, successor_at_another_address);
    TEST(s, every_disk_votes);
    TEST(s, an_odd_number_votes);
    TEST(s, instances_calls);
    TEST(s, calls_that_end_at_a_follower);
    TEST(s, instances_that_start_again);
    TEST(s, documents_are_checked_whole);
}

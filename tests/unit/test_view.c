#include <stdio.h>
#include <string.h>

#include "intent/intent.h"
#include "tests/unit/unit.h"
#include "view/view.h"

static struct vw_view v;

static struct vw_change make_group(const char *name)
{
    struct vw_change ch = {.kind = VW_CH_GROUP};
    struct er_err err = {0};
    json_t *j = json_pack("{s:s,s:[{s:s,s:s,s:i},{s:s,s:s,s:i},{s:s,s:s,s:i}]}", "name", name,
                          "instances", "id", "a", "ip", "127.0.0.1", "port", 1, "id", "b", "ip",
                          "127.0.0.1", "port", 2, "id", "c", "ip", "127.0.0.1", "port", 3);
    CU_ASSERT_TRUE(vw_group_parse(j, &ch.def, &err));
    json_decref(j);
    return ch;
}

static struct vw_change change(enum vw_change_kind k, const char *inst, uint64_t term)
{
    struct vw_change ch = {.kind = k, .term = term};
    strcpy(ch.group, "g");
    strcpy(ch.instance, inst);
    return ch;
}

static bool apply(uint64_t index, struct vw_change ch)
{
    return vw_apply(&v, index, &ch, NULL);
}

static void fresh(void)
{
    vw_free(&v);
    apply(1, make_group("g"));
    apply(2, change(VW_CH_REPLACE, "", 1));
    apply(3, change(VW_CH_PRIMARY, "a", 1));
}

static void never_backwards(void)
{
    fresh();
    CU_ASSERT_FALSE(apply(3, change(VW_CH_DRAIN, "b", 0)));
    CU_ASSERT_FALSE(apply(2, change(VW_CH_DRAIN, "b", 0)));
    CU_ASSERT_EQUAL(v.generation, 3);
    CU_ASSERT_FALSE(apply(4, change(VW_CH_REPLACE, "", 1))); /* terms only grow */
    CU_ASSERT_EQUAL(v.generation, 3);
    CU_ASSERT_TRUE(apply(5, change(VW_CH_REPLACE, "", 2)));
}

static void phases(void)
{
    fresh();
    CU_ASSERT_FALSE(apply(4, change(VW_CH_PRIMARY, "b", 2))); /* nothing pending */
    CU_ASSERT_TRUE(apply(4, change(VW_CH_HAND, "b", 2)));
    CU_ASSERT_FALSE(apply(5, change(VW_CH_HAND, "c", 3))); /* one at a time */
    CU_ASSERT_TRUE(apply(5, change(VW_CH_PRIMARY, "b", 2)));
    const struct vw_group *g = vw_group(&v, "g");
    CU_ASSERT(g->phase == VW_SERVING && g->primary == 1 && g->term == 2 && g->n_starts == 2);
}

static void removing_keeps_the_primary_right(void)
{
    fresh();
    apply(4, change(VW_CH_REPLACE, "", 2));
    apply(5, change(VW_CH_PRIMARY, "c", 2));
    CU_ASSERT_FALSE(apply(6, change(VW_CH_REMOVE, "c", 0)));
    CU_ASSERT_TRUE(apply(6, change(VW_CH_REMOVE, "a", 0)));
    const struct vw_group *g = vw_group(&v, "g");
    CU_ASSERT_STRING_EQUAL(g->inst[g->primary].id, "c");
    CU_ASSERT_FALSE(apply(7, change(VW_CH_REMOVE, "b", 0))); /* two copies are needed */
}

/* The view and every kind of change survive their text; cut text is refused, not crashed on. */
static bool join(struct vw_view *w, uint64_t at, const char *id, int port, bool primary)
{
    struct vw_change ch = {.kind = VW_CH_JOIN, .group = "reg", .flag = primary};
    struct er_err err = {0};
    ch.inst = (struct vw_instance){.ip = "10.0.0.1", .port = port, .max_conns = 9, .slots = 3};
    strcpy(ch.inst.id, id);
    return vw_apply(w, at, &ch, &err);
}

static bool leave(struct vw_view *w, uint64_t at, const char *id)
{
    struct vw_change ch = {.kind = VW_CH_LEAVE, .group = "reg"};
    struct er_err err = {0};
    strcpy(ch.instance, id);
    return vw_apply(w, at, &ch, &err);
}

/* A group that never had a primary takes an instance's word; later ones are chosen by control.
 */
static void instances_register_themselves(void)
{
    struct vw_view w;
    vw_init(&w);
    CU_ASSERT_TRUE(join(&w, 1, "a", 1, false));
    CU_ASSERT_EQUAL(vw_group(&w, "reg")->primary, -1);
    CU_ASSERT_TRUE(join(&w, 2, "b", 2, true));
    CU_ASSERT_EQUAL(vw_group(&w, "reg")->primary, 1);
    CU_ASSERT_EQUAL(vw_group(&w, "reg")->term, 1);
    CU_ASSERT_TRUE(join(&w, 3, "c", 3, true));
    CU_ASSERT_EQUAL(vw_group(&w, "reg")->primary, 1);
    /* Another at an address that was used: the old one is gone. */
    CU_ASSERT_TRUE(join(&w, 4, "d", 1, false));
    CU_ASSERT_EQUAL(vw_group(&w, "reg")->n, 3);
    CU_ASSERT_EQUAL(vw_instance(vw_group(&w, "reg"), "a"), -1);
    CU_ASSERT_EQUAL(vw_instance(vw_group(&w, "reg"), "b"), vw_group(&w, "reg")->primary);
    /* A known one moves to another's address: that one is gone. */
    CU_ASSERT_TRUE(join(&w, 5, "c", 1, false));
    CU_ASSERT_EQUAL(vw_group(&w, "reg")->n, 2);
    CU_ASSERT_TRUE(vw_has_left(&w, "d"));
    CU_ASSERT_TRUE(join(&w, 6, "e", 4, false));
    /* The primary leaves: no primary under a new term. */
    CU_ASSERT_TRUE(leave(&w, 7, "b"));
    CU_ASSERT_EQUAL(vw_group(&w, "reg")->primary, -1);
    CU_ASSERT_EQUAL(vw_group(&w, "reg")->phase, VW_REPLACING);
    CU_ASSERT_EQUAL(vw_group(&w, "reg")->term, 2);
    CU_ASSERT_FALSE(leave(&w, 8, "b"));
    /* What left does not come back by a call that was late. */
    CU_ASSERT_FALSE(join(&w, 8, "b", 2, true) || join(&w, 8, "a", 1, true));
    CU_ASSERT_TRUE(leave(&w, 8, "c") && leave(&w, 9, "e"));
    /* A group whose instances have all left is read back as it is. */
    json_t *j = vw_view_json(&w);
    struct vw_view back = {0};
    struct er_err err = {0};
    CU_ASSERT_TRUE(vw_view_parse(j, &back, &err));
    CU_ASSERT_EQUAL(back.n, 1);
    CU_ASSERT_EQUAL(back.groups[0].n, 0);
    CU_ASSERT_TRUE(vw_has_left(&back, "a") && vw_has_left(&back, "d"));
    json_decref(j);
    vw_free(&back);
    vw_free(&w);
}

/* A replica's address is remembered until an instance registers there: it gets the log. */
static void replicas_that_left_are_remembered(void)
{
    struct vw_view w, back = {0};
    struct er_err err = {0};
    vw_init(&w);
    CU_ASSERT_TRUE(join(&w, 1, "a", 1, true) && join(&w, 2, "b", 2, false));
    CU_ASSERT_TRUE(join(&w, 3, "c", 3, false) && leave(&w, 4, "c"));
    CU_ASSERT_EQUAL(vw_group(&w, "reg")->n_left, 1);
    json_t *j = vw_view_json(&w);
    CU_ASSERT_TRUE(vw_view_parse(j, &back, &err));
    CU_ASSERT_EQUAL(back.groups[0].n_left, 1);
    CU_ASSERT_EQUAL(vw_left(&back.groups[0], 0)->port, 3);
    CU_ASSERT_STRING_EQUAL(vw_left(&back.groups[0], 0)->ip, "10.0.0.1");
    CU_ASSERT_TRUE(join(&w, 5, "d", 4, false));
    CU_ASSERT_EQUAL(vw_group(&w, "reg")->n_left, 1);
    CU_ASSERT_TRUE(join(&w, 6, "e", 3, false));
    CU_ASSERT_EQUAL(vw_group(&w, "reg")->n_left, 0);
    /* One that is replaced at its address leaves no gap, nor does the primary. */
    CU_ASSERT_TRUE(join(&w, 7, "f", 2, false) && leave(&w, 8, "a"));
    CU_ASSERT_EQUAL(vw_group(&w, "reg")->n_left, 0);
    for (int i = 0; i < 2 * VW_MAX_INSTANCES; i++) {
        char id[8];
        snprintf(id, sizeof(id), "x%d", i);
        CU_ASSERT_TRUE(join(&w, (uint64_t)(10 + 2 * i), id, 20 + i, false));
        CU_ASSERT_TRUE(leave(&w, (uint64_t)(11 + 2 * i), id));
    }
    /* The newest are kept, as many as there is room for; instances are not touched. */
    struct vw_group *g = vw_group(&w, "reg");
    int room = VW_MAX_INSTANCES - g->n;
    CU_ASSERT_EQUAL(g->n_left, room);
    CU_ASSERT_EQUAL(vw_left(g, 0)->port, 20 + 2 * VW_MAX_INSTANCES - 1);
    CU_ASSERT_EQUAL(vw_left(g, room - 1)->port, 20 + 2 * VW_MAX_INSTANCES - room);
    for (int i = 0; g->n < VW_MAX_INSTANCES; i++) {
        char id[16];
        snprintf(id, sizeof(id), "y%d", i);
        CU_ASSERT_TRUE(join(&w, (uint64_t)(50 + i), id, 60 + i, false));
    }
    CU_ASSERT_EQUAL(g->n_left, 0);
    for (int i = 0; i < g->n; i++)
        CU_ASSERT(g->inst[i].id[0] != 0);
    json_decref(j);
    vw_free(&back);
    vw_free(&w);
}

static bool document(struct vw_view *w, uint64_t at, uint64_t version, const char *text)
{
    struct vw_change ch = {.kind = VW_CH_DOCUMENT, .version = version, .text = sr_from(text)};
    struct er_err err = {0};
    return vw_apply(w, at, &ch, &err);
}

static void highest_document_holds(void)
{
    struct vw_view w, back = {0};
    struct er_err err = {0};
    vw_init(&w);
    CU_ASSERT_TRUE(document(&w, 1, 7, "seven"));
    CU_ASSERT_FALSE(document(&w, 2, 7, "another seven"));
    CU_ASSERT_FALSE(document(&w, 2, 6, "six"));
    CU_ASSERT_STRING_EQUAL(w.doc.text, "seven");
    CU_ASSERT_TRUE(document(&w, 3, 9, "nine"));
    json_t *j = vw_view_json(&w);
    CU_ASSERT_TRUE(vw_view_parse(j, &back, &err));
    CU_ASSERT_EQUAL(back.doc.version, 9);
    CU_ASSERT_STRING_EQUAL(back.doc.text, "nine");
    json_decref(j);
    vw_free(&back);
    vw_free(&w);
}

static void text_round_trip(void)
{
    fresh();
    json_t *a = vw_view_json(&v);
    struct vw_view w = {0};
    struct er_err err = {0};
    CU_ASSERT_TRUE(vw_view_parse(a, &w, &err));
    json_t *b = vw_view_json(&w);
    CU_ASSERT_TRUE(json_equal(a, b));
    json_decref(a);
    json_decref(b);
    vw_free(&w);
    for (int k = 0; k < VW_CH_COUNT; k++) {
        struct vw_change ch = make_group("x"), back;
        ch.kind = k;
        strcpy(ch.group, "g");
        strcpy(ch.inst.id, "n");
        strcpy(ch.inst.ip, "127.0.0.1");
        ch.inst.port = 9;
        ch.inst.max_conns = 1;
        ch.inst.slots = 1;
        strcpy(ch.intent.id, "id");
        ch.version = 7;
        ch.text = SR_LIT("{\"a\": 1}");
        json_t *j = vw_change_json(&ch);
        CU_ASSERT_TRUE(vw_change_parse(j, &back, &err));
        json_t *again = vw_change_json(&back);
        CU_ASSERT_TRUE(json_equal(j, again));
        json_decref(j);
        json_decref(again);
    }
    for (int k = 0; k < VW_IT_COUNT; k++) {
        struct vw_change ch = {.kind = VW_CH_INTENT}, back;
        strcpy(ch.intent.id, "id");
        ch.intent.kind = (enum vw_intent_kind)k;
        json_t *j = vw_change_json(&ch);
        CU_ASSERT_TRUE(vw_change_parse(j, &back, &err));
        CU_ASSERT_EQUAL(back.intent.kind, ch.intent.kind);
        json_decref(j);
    }
}

static struct vw_change intent(const char *id, const char *who, uint64_t number)
{
    struct vw_change ch = {.kind = VW_CH_INTENT};
    strcpy(ch.intent.id, id);
    strcpy(ch.intent.who, who);
    strcpy(ch.intent.args, id);
    ch.intent.number = number;
    return ch;
}

static void equal_numbers_name_the_winner(void)
{
    fresh();
    struct er_err err = {0};
    CU_ASSERT_TRUE(apply(10, intent("i1", "ann", 4)));
    struct vw_change late = intent("i2", "bob", 4);
    CU_ASSERT_FALSE(vw_apply(&v, 11, &late, &err));
    CU_ASSERT_EQUAL(err.kind, ER_CONFLICT);
    CU_ASSERT_PTR_NOT_NULL(strstr(err.text, "ann"));
    CU_ASSERT_FALSE(apply(11, intent("i1", "ann", 5))); /* the same id again */
}

static void running_intents_are_not_forgotten(void)
{
    fresh();
    char id[16];
    for (int i = 0; i < VW_MAX_INTENTS + 20; i++) {
        snprintf(id, sizeof(id), "i%d", i);
        apply((uint64_t)(100 + 2 * i), intent(id, "x", (uint64_t)(i + 1)));
        if (i == 0)
            continue; /* the first one stays running */
        struct vw_change done = intent(id, "x", 0);
        done.kind = VW_CH_PROGRESS;
        done.intent.state = VW_DONE;
        apply((uint64_t)(101 + 2 * i), done);
    }
    CU_ASSERT_EQUAL(v.n_intents, VW_MAX_INTENTS);
    CU_ASSERT_PTR_NOT_NULL(vw_intent(&v, "i0"));
}

void view_suite(void)
{
    CU_pSuite s = CU_add_suite("view", NULL, NULL);
    TEST(s, never_backwards);
    TEST(s, phases);
    TEST(s, removing_keeps_the_primary_right);
    TEST(s, text_round_trip);
    TEST(s, instances_register_themselves);
    TEST(s, replicas_that_left_are_remembered);
    TEST(s, highest_document_holds);
    TEST(s, equal_numbers_name_the_winner);
    TEST(s, running_intents_are_not_forgotten);
}

/* ---- intents ---- */

static bool caught_up;

static bool say_caught_up(void *ud, const char *g, const char *i)
{
    (void)ud;
    (void)g;
    (void)i;
    return caught_up;
}

static bool learner_ready(void *ud, uint64_t id)
{
    (void)ud;
    (void)id;
    return caught_up;
}

static struct qr_members members;

static struct it_request request(const char *text)
{
    struct it_request r;
    struct er_err err = {0};
    json_t *j = json_loads(text, 0, NULL);
    CU_ASSERT_TRUE(it_parse(j, &r, &err));
    json_decref(j);
    return r;
}

static const char drain_a[] = "{\"kind\":\"drain\",\"group\":\"g\",\"instance\":\"a\"}";
static const char move_all[] =
    "{\"kind\":\"move\",\"group\":\"g\",\"instances\":["
    "{\"id\":\"x\",\"ip\":\"127.0.0.1\",\"port\":11},{\"id\":\"y\",\"ip\":\"127.0.0.1\","
    "\"port\":12},{\"id\":\"z\",\"ip\":\"127.0.0.1\",\"port\":13}]}";

static void plan_moves_with_the_world(void)
{
    fresh();
    struct it_request r = request(drain_a);
    struct it_plan p, again, moved;
    struct er_err err = {0};
    CU_ASSERT_TRUE(it_plan(&v, &members, &r, &p, &err));
    CU_ASSERT_TRUE(it_plan(&v, &members, &r, &again, &err));
    CU_ASSERT_STRING_EQUAL(p.digest, again.digest);
    apply(20, change(VW_CH_REPLACE, "", 2));
    apply(21, change(VW_CH_PRIMARY, "b", 2));
    CU_ASSERT_TRUE(it_plan(&v, &members, &r, &moved, &err));
    CU_ASSERT_STRING_NOT_EQUAL(p.digest, moved.digest);
}

/* Run an intent on the view alone; a change of primary ends at once. Returns the steps taken,
 * -1 if it does not end. Half-way, another leader takes over: nothing but the view is kept. */
static int run(const char *text)
{
    struct it_request r = request(text);
    struct it_facts f = {say_caught_up, true, true, &members, learner_ready, NULL};
    uint64_t index = v.generation + 1;
    caught_up = true;
    for (int step = 0; step < 40; step++) {
        struct it_action a;
        it_next(&v, &r, &f, &a);
        if (a.kind == IT_DONE)
            return step;
        if (a.kind != IT_CHANGE || !apply(index++, a.change))
            return -1;
        if (a.change.kind == VW_CH_HAND)
            apply(index++, change(VW_CH_PRIMARY, a.change.instance, a.change.term));
    }
    return -1;
}

static void drain_runs_to_its_end(void)
{
    fresh();
    CU_ASSERT(run(drain_a) > 0);
    const struct vw_group *g = vw_group(&v, "g");
    CU_ASSERT_TRUE(g->inst[0].draining);
    CU_ASSERT_NOT_EQUAL(g->primary, 0);
    CU_ASSERT_EQUAL(run(drain_a), 0); /* again: nothing left to do */
}

/* Shares and evidence go by the instance's id: two groups can't have the same one. */
static void instance_ids_are_unique(void)
{
    struct it_request r = request(
        "{\"kind\":\"move\",\"group\":\"g\",\"instances\":[{\"id\":\"o1\",\"ip\":\"127.0.0.1\","
        "\"port\":11},{\"id\":\"b\",\"ip\":\"127.0.0.1\",\"port\":2}]}");
    struct it_plan p;
    struct er_err err = {0};
    fresh();
    CU_ASSERT_FALSE(apply(9, make_group("h"))); /* a, b and c are g's */
    struct vw_change other = make_group("h");
    for (int i = 0; i < other.def.n; i++)
        snprintf(other.def.inst[i].id, VW_NAME, "o%d", i);
    CU_ASSERT_TRUE(apply(9, other));
    CU_ASSERT_FALSE(it_plan(&v, &members, &r, &p, &err));
    CU_ASSERT_EQUAL(err.kind, ER_CONFLICT);
    struct vw_change add = change(VW_CH_ADD, "", 0);
    add.inst = other.def.inst[0];
    CU_ASSERT_FALSE(apply(10, add));
    strcpy(other.def.name, "k");
    strcpy(other.def.inst[0].id, "k");
    strcpy(other.def.inst[1].id, "k");
    CU_ASSERT_FALSE(apply(10, other)); /* nor twice in one */
}

static void undrain_gives_work_again(void)
{
    static const char undrain_a[] = "{\"kind\":\"undrain\",\"group\":\"g\",\"instance\":\"a\"}";
    struct it_request r = request(undrain_a);
    struct it_plan p;
    struct er_err err = {0};
    fresh();
    CU_ASSERT_FALSE(it_plan(&v, &members, &r, &p, &err)); /* it is not drained */
    run(drain_a);
    CU_ASSERT_EQUAL(run(undrain_a), 1);
    CU_ASSERT_FALSE(vw_group(&v, "g")->inst[0].draining);
    CU_ASSERT_NOT_EQUAL(vw_group(&v, "g")->primary, 0); /* as a replica */
}

static void move_runs_to_its_end(void)
{
    fresh();
    CU_ASSERT(run(move_all) > 0);
    const struct vw_group *g = vw_group(&v, "g");
    CU_ASSERT_EQUAL(g->n, 3);
    CU_ASSERT(vw_instance(g, "x") >= 0 && vw_instance(g, "a") < 0);
}

/* A planned change is not begun while a new leader can't deal out connections: writes would be
 * parked until it can. */
static void planned_change_waits_for_connections(void)
{
    fresh();
    struct it_request r = request(drain_a);
    struct it_facts f = {say_caught_up, true, false, &members, learner_ready, NULL};
    struct it_action a;
    caught_up = true;
    apply(30,
          (struct vw_change){.kind = VW_CH_DRAIN, .group = "g", .instance = "a", .flag = true});
    it_next(&v, &r, &f, &a);
    CU_ASSERT_EQUAL(a.kind, IT_WAIT);
    f.grants_connections = true;
    it_next(&v, &r, &f, &a);
    CU_ASSERT(a.kind == IT_CHANGE && a.change.kind == VW_CH_HAND);
}

/* Nothing is removed before the new instances hold everything and everybody knows. */
static void move_waits(void)
{
    fresh();
    struct it_request r = request(move_all);
    struct it_facts f = {say_caught_up, false, true, &members, learner_ready, NULL};
    struct it_action a;
    caught_up = false;
    for (int i = 0; i < 3; i++) {
        it_next(&v, &r, &f, &a);
        CU_ASSERT_EQUAL(a.change.kind, VW_CH_ADD);
        apply(100 + (uint64_t)i, a.change);
    }
    it_next(&v, &r, &f, &a);
    CU_ASSERT_EQUAL(a.kind, IT_WAIT);
}

static void replace_adds_before_it_removes(void)
{
    struct it_request r = request("{\"kind\":\"replace\",\"old\":\"a1\",\"new\":{\"id\":\"b2\","
                                  "\"name\":\"c9\",\"ip\":\"127.0.0.1\",\"port\":9,"
                                  "\"domain\":\"d\"}}");
    struct it_facts f = {say_caught_up, true, true, &members, learner_ready, NULL};
    struct it_action a;
    members = (struct qr_members){1, {{.id = 0xa1, .voter = true}}};
    it_next(&v, &r, &f, &a);
    CU_ASSERT_EQUAL(a.kind, IT_ADD);
    members.m[members.n++] = (struct qr_member){.id = 0xb2};
    caught_up = false;
    it_next(&v, &r, &f, &a);
    CU_ASSERT_EQUAL(a.kind, IT_WAIT);
    caught_up = true;
    it_next(&v, &r, &f, &a);
    CU_ASSERT_EQUAL(a.kind, IT_VOTER);
    members.m[1].voter = true;
    it_next(&v, &r, &f, &a);
    CU_ASSERT(a.kind == IT_REMOVE && a.member.id == 0xa1);
    members = (struct qr_members){1, {{.id = 0xb2, .voter = true}}};
    it_next(&v, &r, &f, &a);
    CU_ASSERT_EQUAL(a.kind, IT_DONE);
}

static void wrong_intents_are_refused(void)
{
    static const char *const bad[] = {"{}",
                                      "[]",
                                      "{\"kind\":\"fly\"}",
                                      "{\"kind\":\"drain\",\"group\":\"g\"}",
                                      "{\"kind\":\"rule\",\"group\":\"g\",\"max_age_ms\":-1}",
                                      "{\"kind\":\"replace\",\"old\":\"zz\"}",
                                      "{\"kind\":\"move\",\"group\":\"g\",\"instances\":[]}"};
    for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        struct it_request r;
        struct er_err err = {0};
        json_t *j = json_loads(bad[i], 0, NULL);
        CU_ASSERT_FALSE(it_parse(j, &r, &err));
        CU_ASSERT_EQUAL(err.kind, ER_BAD_INPUT);
        json_decref(j);
    }
}

void intent_suite(void)
{
    CU_pSuite s = CU_add_suite("intent", NULL, NULL);
    TEST(s, plan_moves_with_the_world);
    TEST(s, drain_runs_to_its_end);
    TEST(s, undrain_gives_work_again);
    TEST(s, instance_ids_are_unique);
    TEST(s, move_runs_to_its_end);
    TEST(s, move_waits);
    TEST(s, planned_change_waits_for_connections);
    TEST(s, replace_adds_before_it_removes);
    TEST(s, wrong_intents_are_refused);
}

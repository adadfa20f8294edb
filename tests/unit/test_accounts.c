/* Client accounts: keys and documents as tables; sessions of several accounts through one node,
 * with real sockets and an instance that notes for whom its connections were opened. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "account/account.h"
#include "misc/clock.h"
#include "platform/platform.h"
#include "proxy/proxy.h"
#include "task/net.h"
#include "tests/unit/one_node.h"
#include "tests/unit/unit.h"

/* ---- keys ---- */

static void keys_belong_to_one_account(void)
{
    struct ac_table t = {0};
    struct er_err err = {0};
    int a = ac_add(&t, SR_LIT("one"), &err), b = ac_add(&t, SR_LIT("two"), &err);
    CU_ASSERT_TRUE(ac_add_key(&t, a, SR_LIT("secret1"), &err));
    CU_ASSERT_TRUE(ac_add_key(&t, a, SR_LIT("secret1"), &err));
    CU_ASSERT_TRUE(ac_add_key(&t, b, SR_LIT("secret2"), &err));
    CU_ASSERT_STRING_EQUAL(ac_by_key(&t, SR_LIT("secret1"))->name, "one");
    CU_ASSERT_STRING_EQUAL(ac_by_key(&t, SR_LIT("secret2"))->name, "two");
    CU_ASSERT_PTR_NULL(ac_by_key(&t, SR_LIT("secret")));
    CU_ASSERT_PTR_NULL(ac_by_key(&t, SR_LIT("")));
    CU_ASSERT_FALSE(ac_add_key(&t, b, SR_LIT("secret1"), &err));
    CU_ASSERT_PTR_NULL(strstr(err.text, "secret"));
    CU_ASSERT_EQUAL(ac_add(&t, SR_LIT("one"), NULL), -1);
    CU_ASSERT_EQUAL(ac_add(&t, SR_LIT("two words"), NULL), -1);
    CU_ASSERT_EQUAL(ac_add(&t, SR_LIT("-"), NULL), -1);
    CU_ASSERT_FALSE(ac_add_key(&t, a, SR_LIT(""), NULL));
    CU_ASSERT_FALSE(ac_add_key(&t, a, SR_LIT("a b"), NULL));
    ac_free(&t);
    CU_ASSERT_PTR_NULL(ac_by_key(&t, SR_LIT("secret1")));
}

static void many_keys_are_all_found(void)
{
    enum { ACCOUNTS = 100, KEYS = 100000 };
    struct ac_table t = {0};
    char text[32];
    int found = 0;
    for (int i = 0; i < ACCOUNTS; i++) {
        snprintf(text, sizeof(text), "account%d", i);
        CU_ASSERT_EQUAL(ac_add(&t, sr_from(text), NULL), i);
    }
    for (int i = 0; i < KEYS; i++) {
        snprintf(text, sizeof(text), "k%dx%d", i, i * 7);
        ac_add_key(&t, i % ACCOUNTS, sr_from(text), NULL);
    }
    for (int i = 0; i < KEYS; i++) {
        snprintf(text, sizeof(text), "k%dx%d", i, i * 7);
        const struct ac_account *a = ac_by_key(&t, sr_from(text));
        found += a == &t.accounts[i % ACCOUNTS];
    }
    CU_ASSERT_EQUAL(found, KEYS);
    CU_ASSERT(t.cap <= 4 * KEYS); /* memory: at most 64 bytes a key and its text */
    ac_free(&t);
}

/* ---- documents ---- */

#define ROUTES                                                                                 \
    "\"routes\":[{\"name\":\"r\",\"host\":\"db\",\"pathPrefix\":\"/\",\"kind\":\"primary\","   \
    "\"timeoutMs\":1000,\"latencySloMs\":1000,\"priority\":1,\"service\":\"g\","               \
    "\"maxAttempts\":2,\"public\":false},{\"name\":\"p\",\"host\":\"open\",\"pathPrefix\":"    \
    "\"/\",\"kind\":\"primary\",\"timeoutMs\":1000,\"latencySloMs\":1000,\"service\":\"g\","   \
    "\"public\":true}],\"services\":[{\"name\":\"g\",\"maxConns\":12}]"

static void documents_with_accounts_are_checked(void)
{
    static const struct {
        const char *accounts;
        const char *says; /* in the error; NULL: it is valid */
    } rows[] = {
        {"[]", NULL},
        {"[{\"name\":\"a\",\"keys\":[\"k1\",\"k2\"],\"ratePerS\":1.5,\"burst\":3}]", NULL},
        {"[{\"name\":\"a\",\"keys\":[]},{\"name\":\"b\",\"keys\":[\"k\"]}]", NULL},
        {"[{\"name\":\"a\",\"keys\":[\"k\"],\"hue\":1}]", NULL},
        {"{}", "list"},
        {"null", "list"},
        {"[7]", "name"},
        {"[{\"keys\":[\"k\"]}]", "name"},
        {"[{\"name\":\"a\"}]", "keys"},
        {"[{\"name\":\"a\",\"keys\":\"k\"}]", "keys"},
        {"[{\"name\":\"a\",\"keys\":[7]}]", "keys"},
        {"[{\"name\":\"a\",\"keys\":[\"\"]}]", "key"},
        {"[{\"name\":\"\",\"keys\":[]}]", "name"},
        {"[{\"name\":\"a\",\"keys\":[]},{\"name\":\"a\",\"keys\":[]}]", "twice"},
        {"[{\"name\":\"a\",\"keys\":[\"k\"]},{\"name\":\"b\",\"keys\":[\"k\"]}]", "in common"},
        {"[{\"name\":\"a\",\"keys\":[],\"ratePerS\":\"1\"}]", "ratePerS"},
        {"[{\"name\":\"a\",\"keys\":[],\"ratePerS\":-1}]", "ratePerS"},
        {"[{\"name\":\"a\",\"keys\":[],\"burst\":true}]", "burst"},
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        char text[2048];
        struct cg_catalog c;
        struct er_err err = {0};
        snprintf(text, sizeof(text), "{\"version\":1," ROUTES ",\"limits\":{},\"tenants\":%s}",
                 rows[i].accounts);
        bool ok = cg_read(&pf_documents, sr_from(text), &c, &err);
        bool says = ok ? !rows[i].says : rows[i].says && strstr(err.text, rows[i].says);
        if (!says)
            CU_FAIL(rows[i].accounts);
        CU_ASSERT(!ok || c.accounts.listed);
        if (ok)
            cg_free(&c);
    }
}

/* ---- sessions through a node ---- */

enum { MAX_CALLERS = 4, WORD = 40, WAIT_MS = 150 };

struct caller {
    struct nt_conn *net;
    char open[96]; /* what it says first */
    struct sr_buf got;
    bool closed;
};

/* A connection to the instance. */
struct opened {
    char who[WORD];
    struct nt_conn *net;
    int statements;
};

static struct world {
    struct nt_loop *loop;
    struct px_proxy *p;
    struct nt_timer tick, late;
    int n_opened, n_now, most;
    struct opened opened[64];
    struct sr_buf seen; /* all that the instance was sent */
    int n_callers;
    struct caller callers[MAX_CALLERS];
    uint64_t version;
    int port, inst_port;
} w;

static void stop(void *ud)
{
    (void)ud;
    nt_stop(w.loop);
}

static void run_for(int64_t ms)
{
    nt_timer_set(w.loop, &w.late, CK_MS(ms), stop, NULL);
    nt_run(w.loop);
}

static void tick(void *ud)
{
    (void)ud;
    px_tick(w.p, ck_now());
    nt_timer_set(w.loop, &w.tick, CK_MS(5), tick, NULL);
}

static void nothing_on_open(struct nt_conn *c, void *ud)
{
    (void)c;
    (void)ud;
}

static void inst_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    static const char ready[] = "READY I 1.1\r\n", in_txn[] = "READY T 1.1\r\n";
    struct opened *o = ud;
    char line[256];
    snprintf(line, sizeof(line), "%.*s", (int)len, data);
    sr_buf_add(&w.seen, data, len);
    if (sscanf(line, "STARTUP %*s %39s", o->who) == 1) {
        nt_send(c, ready, sizeof(ready) - 1);
        return;
    }
    o->statements++;
    bool open = strstr(line, "BEGIN") || strstr(line, " READ t");
    char done[96];
    int n = snprintf(done, sizeof(done), "%s%s", on_success(line), open ? in_txn : ready);
    nt_send(c, done, (size_t)n);
}

static void inst_close(struct nt_conn *c, void *ud, bool opened, bool refused)
{
    (void)c;
    (void)ud;
    (void)opened;
    (void)refused;
    w.n_now--;
}

static const struct nt_ops inst_ops = {nothing_on_open, inst_message, inst_close};

static void *inst_accept(struct nt_conn *c, void *ud)
{
    struct opened *o = &w.opened[w.n_opened++];
    (void)ud;
    o->net = c;
    w.n_now++;
    w.most = w.n_now > w.most ? w.n_now : w.most;
    return o;
}

static void caller_open(struct nt_conn *c, void *ud)
{
    struct caller *x = ud;
    nt_send(c, x->open, strlen(x->open));
}

static void caller_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    struct caller *x = ud;
    (void)c;
    sr_buf_add(&x->got, data, len);
}

static void caller_close(struct nt_conn *c, void *ud, bool opened, bool refused)
{
    struct caller *x = ud;
    (void)c;
    (void)opened;
    (void)refused;
    x->closed = true;
    x->net = NULL;
}

static const struct nt_ops caller_ops = {caller_open, caller_message, caller_close};

/* A document in which the accounts are these is in force from now on. */
static void put_in_force(const char *accounts)
{
    static struct vw_group group;
    char text[2048];
    struct vw_view view = {.generation = ++w.version, .n = 1, .groups = &group};
    group = (struct vw_group){.name = "g", .term = 1, .n = 1, .phase = VW_SERVING};
    group.inst[0] = (struct vw_instance){.id = "i", .ip = "127.0.0.1", .domain = "z"};
    group.inst[0].port = w.inst_port;
    snprintf(text, sizeof(text),
             "{\"version\":%llu," ROUTES ",\"limits\":{\"txIdleMs\":3000},\"tenants\":%s}",
             (unsigned long long)w.version, accounts);
    view.doc = (struct vw_document){w.version, text, strlen(text)};
    px_set_view(w.p, &view);
}

static void begin(const char *accounts, int share)
{
    struct er_err err = {0};
    w = (struct world){.loop = nt_loop_create(64, &err)};
    w.port = on_free_port();
    w.inst_port = on_free_port();
    struct nt_listen l = {.ip = "127.0.0.1",
                          .port = w.inst_port,
                          .stream = true,
                          .ops = &inst_ops,
                          .accept = inst_accept};
    CU_ASSERT_PTR_NOT_NULL(nt_listen(w.loop, &l, &err));
    struct ho_node node = {.name = "n0", .domain = "z", .ip = "127.0.0.1", .port = w.port};
    w.p = on_create(w.loop, "n0", w.port, 16, NULL);
    put_in_force(accounts);
    ho_prepare(&node, 1);
    px_set_nodes(w.p, &node, 1);
    px_set_share(w.p, SR_LIT("i"), share);
    tick(NULL);
}

static void end(void)
{
    nt_timer_cancel(&w.late);
    nt_timer_cancel(&w.tick);
    for (int i = 0; i < w.n_callers; i++)
        sr_buf_free(&w.callers[i].got);
    sr_buf_free(&w.seen);
}

static struct caller *call(const char *open)
{
    struct caller *x = &w.callers[w.n_callers++];
    snprintf(x->open, sizeof(x->open), "%s\r\n", open);
    x->net = nt_connect_stream(w.loop, "127.0.0.1", w.port, &caller_ops, x);
    run_for(WAIT_MS);
    return x;
}

/* Ask, and wait for the answer; whether that contains the text. */
static bool asks(struct caller *x, const char *line, const char *answer)
{
    char text[128];
    snprintf(text, sizeof(text), "%s\r\n", line);
    x->got.len = 0;
    if (x->net)
        nt_send(x->net, text, strlen(text));
    run_for(WAIT_MS);
    sr_buf_add(&x->got, "", 1);
    return strstr(x->got.p, answer) != NULL;
}

static bool was_told(const struct caller *x, const char *text)
{
    return memmem(x->got.p, x->got.len, text, strlen(text)) != NULL;
}

static int opened_for(const char *who)
{
    int k = 0;
    for (int i = 0; i < w.n_opened; i++)
        k += strcmp(w.opened[i].who, who) == 0;
    return k;
}

#define TWO "[{\"name\":\"one\",\"keys\":[\"key1\"]},{\"name\":\"two\",\"keys\":[\"key2\"]}]"

/* Instances are told whose statements run on a connection, and never a key; an unknown key gets
 * no session, and nothing of it reaches an instance. */
static void statements_run_on_connections_of_their_account(void)
{
    begin(TWO, 4);
    struct caller *a = call("STARTUP db key1"), *b = call("STARTUP db key2"),
                  *c = call("STARTUP db key3");
    CU_ASSERT_TRUE(asks(a, "QUERY q1 READ x", "COMPLETE s."));
    CU_ASSERT_TRUE(asks(b, "QUERY q2 READ x", "COMPLETE s."));
    CU_ASSERT_TRUE(asks(a, "QUERY q3 READ x", "COMPLETE s."));
    CU_ASSERT_TRUE(was_told(c, "ERROR UNAUTH") && c->closed);
    CU_ASSERT_EQUAL(opened_for("one"), 1);
    CU_ASSERT_EQUAL(opened_for("two"), 1);
    CU_ASSERT_EQUAL(w.n_opened, 2);
    CU_ASSERT_PTR_NULL(memmem(w.seen.p, w.seen.len, "key", 3));
    end();
}

/* Routes that are open to all ask for no key, but say whose it is if somebody's. */
static void open_routes_ask_for_no_key(void)
{
    begin(TWO, 4);
    struct caller *a = call("STARTUP open nobodys"), *b = call("STARTUP open key1");
    CU_ASSERT_TRUE(asks(a, "QUERY q1 READ x", "COMPLETE s."));
    CU_ASSERT_TRUE(asks(b, "QUERY q2 READ x", "COMPLETE s."));
    CU_ASSERT_EQUAL(opened_for("-"), 1);
    CU_ASSERT_EQUAL(opened_for("one"), 1);
    end();
}

/* Load: more accounts than the share has connections. One goes for another, and the share is
 * not exceeded meanwhile. */
static void accounts_make_room_for_one_another(void)
{
    begin(TWO, 1);
    struct caller *a = call("STARTUP db key1"), *b = call("STARTUP db key2");
    for (int i = 0; i < 3; i++) {
        CU_ASSERT_TRUE(asks(a, "QUERY q1 READ x", "COMPLETE s."));
        CU_ASSERT_TRUE(asks(b, "QUERY q2 READ x", "COMPLETE s."));
    }
    CU_ASSERT_EQUAL(opened_for("one"), 3);
    CU_ASSERT_EQUAL(opened_for("two"), 3);
    CU_ASSERT_EQUAL(w.most, 1);
    end();
}

/* What documents do to sessions that are open: a table of the cases. */
static void documents_change_whose_a_session_is(void)
{
    begin(TWO, 4);
    struct caller *a = call("STARTUP db key1"), *b = call("STARTUP db key2");
    CU_ASSERT_TRUE(asks(a, "QUERY q1 READ x", "COMPLETE s."));
    CU_ASSERT_TRUE(asks(b, "QUERY q2 BEGIN", "READY T"));
    CU_ASSERT_TRUE(asks(b, "QUERY q3 READ t", "READY T"));
    /* The first key moves to another account, the second is taken away. */
    put_in_force("[{\"name\":\"one\",\"keys\":[]},{\"name\":\"three\",\"keys\":[\"key1\"]}]");
    CU_ASSERT_TRUE(asks(a, "QUERY q4 READ x", "COMPLETE s."));
    CU_ASSERT_EQUAL(opened_for("three"), 1);
    CU_ASSERT_TRUE(asks(b, "QUERY q5 READ t", "READY T")); /* its transaction ends first */
    CU_ASSERT_TRUE(asks(b, "QUERY q6 COMMIT", "READY I"));
    CU_ASSERT_TRUE(asks(b, "QUERY q7 READ x", "ERROR UNAUTH"));
    CU_ASSERT_TRUE(asks(b, "QUERY q8 BEGIN", "ERROR UNAUTH"));
    /* It comes back. */
    put_in_force(TWO);
    CU_ASSERT_TRUE(asks(b, "QUERY q9 READ x", "COMPLETE s."));
    CU_ASSERT_TRUE(asks(a, "QUERY q10 READ x", "COMPLETE s."));
    end();
}

/* Connections to the instance that a renewal would ask for now. */
static int wanted(void)
{
    struct wr_share s[4];
    uint32_t n = px_wanted_shares(w.p, s, 4);
    int sum = 0;
    for (uint32_t i = 0; i < n; i++)
        sum += (int)s[i].want;
    return sum;
}

/* Load: nodes are restarted in turn, and a group's holders change again and again. A node that
 * holds a group no more still serves the sessions that are here until they have moved, and one
 * that finds itself without a share asks for it at once. */
static void sessions_that_move_keep_their_connections(void)
{
    enum { NODES = 60 };
    static struct ho_node nodes[NODES];
    int holders[HO_MAX_HOLDERS];
    begin(TWO, 4);
    struct caller *a = call("STARTUP db key1");
    CU_ASSERT_TRUE(asks(a, "QUERY q1 BEGIN", "READY T"));
    CU_ASSERT_TRUE(asks(a, "QUERY q2 READ t", "READY T"));
    CU_ASSERT(wanted() >= 2); /* it, and one at hand */
    nodes[0] = (struct ho_node){.name = "n0", .domain = "z", .ip = "127.0.0.1", .port = w.port};
    for (int i = 1; i < NODES; i++) {
        nodes[i] = (struct ho_node){.domain = "z", .ip = "127.0.0.1", .port = 1};
        snprintf(nodes[i].name, sizeof(nodes[i].name), "m%d", i);
    }
    ho_prepare(nodes, NODES);
    int k = ho_pick(nodes, NODES, "g", 3, holders);
    for (int i = 0; i < k; i++)
        CU_ASSERT_NOT_EQUAL(holders[i], 0); /* ours is none of them */
    px_set_nodes(w.p, nodes, NODES);
    CU_ASSERT(wanted() >= 1);
    CU_ASSERT_TRUE(asks(a, "QUERY q3 READ t", "READY T"));
    CU_ASSERT_TRUE(asks(a, "QUERY q4 COMMIT", "READY I"));
    end();
    begin(TWO, 0);
    a = call("STARTUP db key1");
    px_has_changes(w.p);
    CU_ASSERT_FALSE(asks(a, "QUERY q1 READ x", "COMPLETE s."));
    CU_ASSERT_TRUE(px_has_changes(w.p));
    CU_ASSERT(wanted() >= 1);
    px_set_share(w.p, SR_LIT("i"), 1);
    run_for(WAIT_MS);
    CU_ASSERT_TRUE(was_told(a, "COMPLETE s."));
    end();
}

/* Load: accounts that ask for something now and then, on a share that would shrink to what is
 * busy. Each connection that is given up has to be opened anew for the next statement. */
static void connections_that_accounts_used_lately_are_wanted(void)
{
    enum { RENEWALS = 40 };
    begin(TWO, 4);
    struct caller *a = call("STARTUP db key1"), *b = call("STARTUP db key2");
    CU_ASSERT_TRUE(asks(a, "QUERY q1 READ x", "COMPLETE s."));
    CU_ASSERT_TRUE(asks(b, "QUERY q2 READ x", "COMPLETE s."));
    int want = 0;
    for (int i = 0; i < RENEWALS; i++)
        want = wanted();
    CU_ASSERT_EQUAL(want, 3); /* one each, and one at hand */
    end();
}

/* Who relays a session may have a newer document: an older one answers for nothing. */
static void a_holder_waits_for_the_document_of_who_relays(void)
{
    begin("[]", 4);
    struct caller *a = call("STARTUP db ~ferry.2 key1");
    CU_ASSERT_EQUAL(a->got.len, 0);
    CU_ASSERT_FALSE(a->closed);
    put_in_force(TWO);
    run_for(WAIT_MS);
    CU_ASSERT_TRUE(was_told(a, "READY I"));
    CU_ASSERT_TRUE(asks(a, "QUERY q1 READ x", "COMPLETE s."));
    CU_ASSERT_EQUAL(opened_for("one"), 1);
    end();
}

void accounts_suite(void)
{
    CU_pSuite s = CU_add_suite("accounts", NULL, NULL);
    TEST(s, keys_belong_to_one_account);
    TEST(s, many_keys_are_all_found);
    TEST(s, documents_with_accounts_are_checked);
    TEST(s, statements_run_on_connections_of_their_account);
    TEST(s, open_routes_ask_for_no_key);
    TEST(s, accounts_make_room_for_one_another);
    TEST(s, documents_change_whose_a_session_is);
    TEST(s, sessions_that_move_keep_their_connections);
    TEST(s, connections_that_accounts_used_lately_are_wanted);
    TEST(s, a_holder_waits_for_the_document_of_who_relays);
}

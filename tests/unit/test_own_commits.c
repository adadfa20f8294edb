/* A session reads its own writes in each group that its database is moved through, whichever
 * groups it wrote in meanwhile. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "misc/clock.h"
#include "proxy/own_commits.h"
#include "proxy/proxy.h"
#include "task/net.h"
#include "tests/unit/one_node.h"
#include "tests/unit/unit.h"

/* ---- the positions that are kept ---- */

static struct px_own_commits kept;
static const char groups[PX_MAX_OWN_COMMITS + 2];

/* The floor of a read in the group; 0 if only the primary may serve it. */
static uint64_t floor_in(int group, int64_t seen_until)
{
    struct ps_pos floor = {1, 5};
    return px_own_commit_floor(&kept, &groups[group], seen_until, &floor) ? floor.pos : 0;
}

static bool add(int group, uint64_t pos, int64_t now)
{
    return px_own_commit_add(&kept, &groups[group], (struct ps_pos){1, pos}, now);
}

static void each_group_has_its_own_position(void)
{
    kept = (struct px_own_commits){0};
    CU_ASSERT_EQUAL(floor_in(0, 0), 5);
    CU_ASSERT_TRUE(add(0, 100, 10));
    CU_ASSERT_TRUE(add(1, 7, 20));
    CU_ASSERT_EQUAL(floor_in(0, 0), 100);
    CU_ASSERT_EQUAL(floor_in(1, 0), 7);
    CU_ASSERT_EQUAL(floor_in(2, 0), 5);
    CU_ASSERT_TRUE(add(0, 90, 30)); /* an answer that was overtaken lowers nothing */
    CU_ASSERT_EQUAL(floor_in(0, 0), 100);
}

/* Past the bound the oldest goes. Until the accepted age covers it, only the primary serves the
 * groups that are not in the list. */
static void beyond_the_bound_the_primary_serves(void)
{
    kept = (struct px_own_commits){0};
    for (int g = 0; g < PX_MAX_OWN_COMMITS; g++)
        CU_ASSERT_TRUE(add(g, 100, 10 + g));
    CU_ASSERT_TRUE(add(0, 200, 50)); /* group 1 is the oldest now */
    CU_ASSERT_FALSE(add(PX_MAX_OWN_COMMITS, 100, 60));
    CU_ASSERT_EQUAL(floor_in(0, 11), 200);
    CU_ASSERT_EQUAL(floor_in(1, 11), 0);
    CU_ASSERT_EQUAL(floor_in(PX_MAX_OWN_COMMITS + 1, 11), 0);
    CU_ASSERT_EQUAL(floor_in(1, 12), 5);
    CU_ASSERT_EQUAL(kept.n, PX_MAX_OWN_COMMITS);
}

static void a_commit_without_a_position_needs_the_primary(void)
{
    kept = (struct px_own_commits){0};
    add(0, 100, 10);
    px_own_commit_untracked(&kept, &groups[0], 20);
    CU_ASSERT_EQUAL(floor_in(0, 20), 0);
    CU_ASSERT_EQUAL(floor_in(0, 21), 5);
    add(0, 120, 30);
    CU_ASSERT_EQUAL(floor_in(0, 20), 120);
}

/* ---- through a node, over sockets ---- */

enum {
    GROUPS = PX_MAX_OWN_COMMITS + 2,
    INSTANCES = 2, /* the first is the primary */
    READS = 24,
    MOVE_US = 60000, /* time for the node to load a document */
};

/* An instance; a replica has received nothing since the start. */
struct db {
    int group, port;
    unsigned pos;   /* of its log */
    unsigned asked; /* reads that it was asked for */
    unsigned stale; /* reads that it served without the session's write in the group */
};

static struct {
    struct nt_loop *loop;
    struct px_proxy *p;
    struct nt_timer tick, step;
    struct db db[GROUPS][INSTANCES];
    unsigned written[GROUPS]; /* position of the session's last write there */
    struct nt_conn *caller;
    const int *route; /* the groups that the database is moved through */
    int n_route, at;  /* the last one is read in */
    const char *write, *read;
    bool in_txn, txn_writes; /* of the session, at the instance that runs it */
    bool no_positions;       /* instances acknowledge writes without a position */
    int reads;               /* asked so far */
    uint64_t version;
    char text[64];
} w;

static void answer(struct nt_conn *c, const char *done, const struct db *d, bool position)
{
    char out[96], state = w.in_txn ? 'T' : 'I';
    int n = position ? snprintf(out, sizeof(out), "%sREADY %c 1.%u\r\n", done, state, d->pos)
                     : snprintf(out, sizeof(out), "%sREADY %c -\r\n", done, state);
    nt_send(c, out, (size_t)n);
}

/* Whether the log lacks the position that the statement names. */
static bool lags(const struct db *d, const char *line)
{
    unsigned floor = 0;
    const char *wait = strstr(line, "WAITLSN 1.");
    return wait && sscanf(wait, "WAITLSN 1.%u", &floor) == 1 && d->pos < floor;
}

static void commit(struct db *d)
{
    if (w.in_txn && !w.txn_writes)
        return;
    w.written[d->group] = ++d->pos;
}

static void run(struct db *d, const char *line)
{
    if (strstr(line, "READ x")) {
        d->asked++;
        d->stale += d->pos < w.written[d->group];
    } else if (strstr(line, "BEGIN")) {
        w.in_txn = true;
        w.txn_writes = false;
    } else if (strstr(line, "WRITE x") && w.in_txn) {
        w.txn_writes = true;
    } else if (strstr(line, "WRITE x")) {
        commit(d);
    } else if (strstr(line, "COMMIT")) {
        commit(d);
        w.in_txn = false;
    }
}

static void db_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    struct db *d = ud;
    char line[256];
    snprintf(line, sizeof(line), "%.*s", (int)len, data);
    bool reads_one = strstr(line, "READ x") != NULL;
    if (strstr(line, "STARTUP")) {
        answer(c, "", d, true);
    } else if (lags(d, line)) {
        d->asked++;
        answer(c, "ERROR LAGGING\r\n", d, true);
    } else {
        char done[96];
        run(d, line);
        snprintf(done, sizeof(done), "%s%s", reads_one ? "DATAROW x\r\n" : "",
                 on_success(line));
        answer(c, done, d, reads_one || !w.no_positions);
    }
}

static const struct nt_ops db_ops = {on_no_open, db_message, on_no_close};

static void *db_accept(struct nt_conn *c, void *ud)
{
    (void)c;
    return ud;
}

/* The document of the next version, with the database in the group. */
static void move_to(int group)
{
    static struct vw_group g[GROUPS];
    struct vw_view view = {.generation = ++w.version, .n = GROUPS, .groups = g};
    char text[2048];
    int n = snprintf(text, sizeof(text),
                     "{\"version\":%llu,\"routes\":[{\"name\":\"r%d\",\"host\":\"db\","
                     "\"pathPrefix\":\"/\",\"kind\":\"own\",\"timeoutMs\":2000,"
                     "\"latencySloMs\":2000,\"priority\":1,\"service\":\"g%d\","
                     "\"maxAttempts\":2,\"maxStalenessMs\":60000}],\"services\":[",
                     (unsigned long long)w.version, group, group);
    for (int k = 0; k < GROUPS; k++) {
        n += snprintf(text + n, sizeof(text) - (size_t)n,
                      "%s{\"name\":\"g%d\",\"maxConns\":131,\"syncReplicas\":0}", k ? "," : "",
                      k);
        g[k] = (struct vw_group){.term = 1, .n = INSTANCES, .phase = VW_SERVING};
        snprintf(g[k].name, sizeof(g[k].name), "g%d", k);
        for (int i = 0; i < INSTANCES; i++) {
            struct vw_instance *in = &g[k].inst[i];
            *in = (struct vw_instance){.ip = "127.0.0.1", .domain = "z"};
            in->port = w.db[k][i].port;
            snprintf(in->id, sizeof(in->id), "i%d-%d", k, i);
        }
    }
    snprintf(text + n, sizeof(text) - (size_t)n, "],\"limits\":{\"txIdleMs\":3000}}");
    view.doc = (struct vw_document){w.version, strdup(text), strlen(text)};
    px_set_view(w.p, &view);
    free(view.doc.text);
}

static void say(const char *line)
{
    nt_send(w.caller, line, strlen(line));
}

/* The database has moved: the session writes, or in the last group reads. */
static void act(void *ud)
{
    (void)ud;
    say(w.at == w.n_route - 1 ? w.read : w.write);
}

static void move_on(void)
{
    w.at++;
    move_to(w.route[w.at]);
    nt_timer_set(w.loop, &w.step, MOVE_US, act, NULL);
}

static void caller_open(struct nt_conn *c, void *ud)
{
    (void)ud;
    w.caller = c;
    say("STARTUP db me\r\n");
}

/* Statements of one transaction are sent together; its last answer is the one at rest. */
static void caller_message(struct nt_conn *c, void *ud, const char *data, size_t len)
{
    (void)c;
    (void)ud;
    bool rests = memmem(data, len, "READY I", 7) != NULL;
    bool reading = w.at == w.n_route - 1;
    if (!rests)
        return;
    if (w.at < 0 || !reading)
        move_on();
    else if (++w.reads < READS)
        say(w.read);
    else
        nt_stop(w.loop);
}

static const struct nt_ops caller_ops = {caller_open, caller_message, on_no_close};

static void tick(void *ud)
{
    (void)ud;
    px_tick(w.p, ck_now());
    nt_timer_set(w.loop, &w.tick, CK_MS(5), tick, NULL);
}

static void give_up(void *ud)
{
    (void)ud;
    nt_stop(w.loop);
}

static void listen_all(void)
{
    for (int k = 0; k < GROUPS; k++) {
        for (int i = 0; i < INSTANCES; i++) {
            struct db *d = &w.db[k][i];
            *d = (struct db){.group = k, .port = on_free_port(), .pos = 3};
            on_listen(w.loop, d->port, &db_ops, db_accept, d);
        }
    }
}

static void give_shares(void)
{
    for (int k = 0; k < GROUPS; k++) {
        for (int i = 0; i < INSTANCES; i++) {
            char id[16];
            snprintf(id, sizeof(id), "i%d-%d", k, i);
            px_set_share(w.p, sr_from(id), 4);
        }
    }
}

/* A session writes in each group of the route but the last, where it reads. */
static void play(const int *route, int n, const char *write, const char *read)
{
    struct er_err err = {0};
    struct nt_timer late = {0};
    bool no_positions = w.no_positions;
    int here = on_free_port();
    memset(&w, 0, sizeof(w));
    w.no_positions = no_positions;
    w.loop = nt_loop_create(64, &err);
    w.route = route;
    w.n_route = n;
    w.at = -1;
    w.write = write;
    w.read = read;
    listen_all();
    w.p = on_create(w.loop, "n0", here, 4, NULL);
    move_to(route[0]);
    on_show_two_nodes(w.p, here);
    give_shares();
    tick(NULL);
    nt_connect_stream(w.loop, "127.0.0.1", here, &caller_ops, &w);
    nt_timer_set(w.loop, &late, CK_SEC(8), give_up, NULL);
    nt_run(w.loop);
    nt_timer_cancel(&late);
    nt_timer_cancel(&w.tick);
    nt_timer_cancel(&w.step);
}

static void check_reads(int group)
{
    unsigned stale = 0, asked = 0;
    for (int i = 0; i < INSTANCES; i++) {
        stale += w.db[group][i].stale;
        asked += w.db[group][i].asked;
    }
    CU_ASSERT_EQUAL(w.reads, READS);
    CU_ASSERT(asked >= READS);
    CU_ASSERT_EQUAL(stale, 0);
}

static const char write[] = "QUERY w WRITE x y\r\n", reads[] = "QUERY r READ x\r\n";
static const char write_txn[] = "QUERY b BEGIN\r\nQUERY w WRITE x y\r\nQUERY c COMMIT\r\n";
static const char read_txn[] = "QUERY b BEGIN READ\r\nQUERY r READ x\r\nQUERY c COMMIT\r\n";

/* The fault: the position of a write in another group replaced the one needed here. */
static void a_session_moved_away_and_back_reads_its_write(void)
{
    static const int back[] = {0, 1, 0};
    play(back, 3, write, reads);
    check_reads(0);
    CU_ASSERT(w.db[0][1].asked > 0); /* a replica was asked, and refused */
    play(back, 3, write, read_txn);
    check_reads(0);
    play(back, 3, write_txn, reads);
    check_reads(0);
}

/* More groups than positions are kept for. */
static void a_session_moved_through_many_groups_reads_its_write(void)
{
    static const int round[] = {0, 1, 2, 3, 4, 5, 0}, back[] = {3, 0, 1, 2, 4, 3};
    play(round, 7, write, reads);
    check_reads(0);
    CU_ASSERT_EQUAL(w.db[0][1].asked, 0); /* the primary serves */
    play(back, 6, write, reads);
    check_reads(3);
}

/* An acknowledgement without a position leaves nothing to ask a replica for. */
static void a_write_without_a_position_is_read_at_the_primary(void)
{
    static const int stay[] = {0, 0}, back[] = {0, 1, 0};
    w.no_positions = true;
    play(stay, 2, write, reads);
    check_reads(0);
    CU_ASSERT_EQUAL(w.db[0][1].asked, 0);
    play(back, 3, write, reads);
    check_reads(0);
    w.no_positions = false;
}

void own_commits_suite(void)
{
    CU_pSuite s = CU_add_suite("own commits", NULL, NULL);
    TEST(s, each_group_has_its_own_position);
    TEST(s, beyond_the_bound_the_primary_serves);
    TEST(s, a_commit_without_a_position_needs_the_primary);
    TEST(s, a_session_moved_away_and_back_reads_its_write);
    TEST(s, a_session_moved_through_many_groups_reads_its_write);
    TEST(s, a_write_without_a_position_is_read_at_the_primary);
}

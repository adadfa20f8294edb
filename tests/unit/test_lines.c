/* The platform's lines and documents: the contract, and a table of what is wrong. */
#include <string.h>

#include "platform/platform.h"
#include "tests/unit/unit.h"

static struct px_msg parsed(const char *line)
{
    struct px_msg m;
    pf_lines.parse(sr_from(line), &m);
    return m;
}

static bool is(struct sr_str s, const char *z)
{
    return sr_eq(s, sr_from(z));
}

static void good_lines(void)
{
    struct px_msg m = parsed("STARTUP lepu270 u3f1");
    CU_ASSERT_EQUAL(m.kind, PX_OPEN);
    CU_ASSERT_TRUE(is(m.database, "lepu270") && is(m.identity, "u3f1") && m.expect.len == 0);
    m = parsed("QUERY 5c0e READ 1a4 and more");
    CU_ASSERT_EQUAL(m.kind, PX_STATEMENT);
    CU_ASSERT_TRUE(is(m.id, "5c0e") && is(m.text, "READ 1a4 and more"));
    m = parsed("QUERY - STATUS");
    CU_ASSERT_TRUE(m.kind == PX_STATEMENT && m.id.len == 0);
    m = parsed("COMPLETE -");
    CU_ASSERT_TRUE(m.kind == PX_DONE && m.signature.len == 0);
    m = parsed("READY E 3.1209");
    CU_ASSERT_TRUE(m.kind == PX_READY && m.txn == PX_TXN_FAILED && m.has_pos);
    CU_ASSERT_TRUE(m.pos.term == 3 && m.pos.pos == 1209);
    m = parsed("READY I -");
    CU_ASSERT_TRUE(m.kind == PX_READY && m.txn == PX_IDLE && !m.has_pos);
    m = parsed("ERROR LAGGING 3.7 is not here");
    CU_ASSERT_TRUE(m.kind == PX_FAILURE && m.error == ER_BEHIND &&
                   is(m.detail, "3.7 is not here"));
    CU_ASSERT_EQUAL(parsed("ERROR BUSY").error, ER_BUSY);
    CU_ASSERT_EQUAL(parsed("TERMINATE").kind, PX_END);
}

static void wrong_lines(void)
{
    static const char *const lines[] = {"",
                                        " ",
                                        "STARTUP",
                                        "STARTUP ",
                                        "QUERY",
                                        "QUERY x",
                                        "QUERY x ",
                                        "READY",
                                        "READY X -",
                                        "READY I",
                                        "READY I 3",
                                        "READY I 3.",
                                        "READY I .3",
                                        "READY I 3.x",
                                        "READY II 3.1",
                                        "READY I 99999999999999999999.1",
                                        "query x READ 1",
                                        "\xff\xfe",
                                        "GET / HTTP/1.1"};
    for (size_t i = 0; i < sizeof(lines) / sizeof(lines[0]); i++)
        CU_ASSERT_EQUAL(parsed(lines[i]).kind, PX_BAD);
    struct px_msg m;
    pf_lines.parse((struct sr_str){"QUERY a READ\0b", 14}, &m);
    CU_ASSERT_EQUAL(m.kind, PX_BAD);
}

static struct px_stmt text(const char *t)
{
    struct px_stmt st;
    pf_lines.parse_text(sr_from(t), &st);
    return st;
}

static void statements(void)
{
    static const char *const wrong[] = {"",
                                        "BEGIN WRITE",
                                        "BEGIN  READ",
                                        "COMMIT now",
                                        "ROLLBACK x",
                                        "READ",
                                        "WRITE",
                                        "SET",
                                        "PREPARE a",
                                        "PREPARE a WRITE",
                                        "PREPARE a MAYBE q",
                                        "EXECUTE",
                                        "DEALLOC",
                                        "DEALLOC a b",
                                        "DISCARD",
                                        "STATUS",
                                        "PAUSE 4",
                                        "RESUME",
                                        "STEPDOWN 4",
                                        "WAITLSN 3.1 READ a",
                                        "read a"};
    for (size_t i = 0; i < sizeof(wrong) / sizeof(wrong[0]); i++)
        CU_ASSERT_EQUAL(text(wrong[i]).verb, PX_V_BAD);
    CU_ASSERT_TRUE(text("BEGIN").verb == PX_V_BEGIN && !text("BEGIN").read_only);
    CU_ASSERT_TRUE(text("BEGIN READ").read_only);
    struct px_stmt st = text("PREPARE s1 WRITE q2c");
    CU_ASSERT_TRUE(st.verb == PX_V_PREPARE && st.writes && is(st.name, "s1") &&
                   is(st.value, "q2c"));
    st = text("EXECUTE s1 1a4 xkq");
    CU_ASSERT_TRUE(st.verb == PX_V_EXECUTE && is(st.value, "1a4 xkq"));
}

static void put_is(const struct px_msg *m, const char *line)
{
    struct sr_buf b = {0};
    pf_lines.put(&b, m);
    CU_ASSERT_TRUE(b.len == strlen(line) && memcmp(b.p, line, b.len) == 0);
    sr_buf_free(&b);
}

static void messages_out(void)
{
    struct px_msg m = {.kind = PX_STATEMENT, .id = SR_LIT("5c"), .text = SR_LIT("READ 1")};
    put_is(&m, "QUERY 5c READ 1\r\n");
    m.has_floor = true;
    m.pos = (struct ps_pos){3, 1207};
    put_is(&m, "QUERY 5c WAITLSN 3.1207 READ 1\r\n");
    m = (struct px_msg){.kind = PX_READY, .txn = PX_IN_TXN};
    put_is(&m, "READY T -\r\n");
    m = (struct px_msg){.kind = PX_DONE};
    put_is(&m, "COMPLETE -\r\n");
    m = (struct px_msg){.kind = PX_OPEN, .database = SR_LIT("g"), .expect = SR_LIT("i-1")};
    put_is(&m, "STARTUP g - i-1\r\n");
    /* What was certainly not run says so, whatever it is called here. */
    static const enum er_kind promises[] = {ER_NO_LEASE, ER_NO_PRIMARY, ER_OVERLOAD,
                                            ER_DEADLINE, ER_STOPPING,   ER_BUSY};
    for (size_t i = 0; i < sizeof(promises) / sizeof(promises[0]); i++) {
        m = (struct px_msg){.kind = PX_FAILURE, .error = promises[i], .detail = SR_LIT("why")};
        put_is(&m, "ERROR BUSY why\r\n");
    }
    m.error = ER_LOST;
    put_is(&m, "ERROR INDOUBT why\r\n");
}

static void status_rows(void)
{
    struct px_status st;
    CU_ASSERT_TRUE(pf_lines.parse_status(SR_LIT("replica 3 3.1209 0 12 2 17"), &st));
    CU_ASSERT_TRUE(!st.primary && st.term == 3 && st.received.pos == 1209 && st.busy == 2);
    CU_ASSERT_EQUAL(st.lag_us, 12000);
    CU_ASSERT_FALSE(pf_lines.parse_status(SR_LIT("leader 3 3.1209 0 12 2 17"), &st));
    CU_ASSERT_FALSE(pf_lines.parse_status(SR_LIT("replica 3 3.1209 0 12 2"), &st));
    CU_ASSERT_FALSE(pf_lines.parse_status(SR_LIT(""), &st));
}

#define ROUTE                                                                                  \
    "{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/\",\"kind\":\"own\",\"timeoutMs\":800,"  \
    "\"latencySloMs\":250,\"priority\":2,\"service\":\"s\",\"maxAttempts\":2,"                 \
    "\"maxStalenessMs\":2500}"
#define SERVICE "{\"name\":\"s\",\"maxConns\":25,\"syncReplicas\":1}"
#define DOCUMENT(version, routes, services)                                                    \
    "{\"version\":" version ",\"routes\":[" routes "],\"services\":[" services                 \
    "],\"limits\":{\"txIdleMs\":3000}}"

static bool reads(const char *t, struct cg_catalog *c)
{
    struct er_err err = {0};
    bool ok = cg_read(&pf_documents, sr_from(t), c, &err);
    CU_ASSERT_TRUE(ok || err.kind == ER_BAD_INPUT || err.kind == ER_TOO_LARGE);
    return ok;
}

static void documents(void)
{
    struct cg_catalog c;
    CU_ASSERT_TRUE(reads(DOCUMENT("7", ROUTE, SERVICE), &c));
    const struct cg_route *r = cg_route(&c, SR_LIT("h"));
    CU_ASSERT_PTR_NOT_NULL_FATAL(r);
    CU_ASSERT_TRUE(r->reads == CG_SESSION && r->timeout_us == 800000 && r->target_us == 250000);
    CU_ASSERT_TRUE(r->max_age_us == 2500000 && r->attempts == 2 && r->priority == 2);
    CU_ASSERT_TRUE(c.version == 7 && c.txn_idle_us == 3000000);
    CU_ASSERT_EQUAL(cg_service(&c, "s")->sync_copies, 1);
    cg_free(&c);
    static const char *const wrong[] = {
        "",
        "{",
        "[]",
        "7",
        "{\"version\":7}",
        DOCUMENT("0", ROUTE, SERVICE),
        DOCUMENT("-1", ROUTE, SERVICE),
        DOCUMENT("\"7\"", ROUTE, SERVICE),
        DOCUMENT("7.5", ROUTE, SERVICE),
        DOCUMENT("7", ROUTE, ""),
        DOCUMENT("7", ROUTE "," ROUTE, SERVICE),
        DOCUMENT("7", "{}", SERVICE),
        DOCUMENT("7", "1", SERVICE),
        DOCUMENT("7", ROUTE, "{}"),
        "{\"version\":7,\"version\":8,\"routes\":[],\"services\":[]}",
        "{\"version\":7,\"routes\":{},\"services\":[]}"};
    for (size_t i = 0; i < sizeof(wrong) / sizeof(wrong[0]); i++)
        CU_ASSERT_FALSE(reads(wrong[i], &c));
    /* Cut short anywhere it is refused. */
    char text_[] = DOCUMENT("7", ROUTE, SERVICE);
    for (size_t n = strlen(text_) - 1; n > 0; n--) {
        text_[n] = 0;
        CU_ASSERT_FALSE(reads(text_, &c));
    }
}

/* Lines come in pieces, several at once, or one byte at a time. Only CR LF ends one. */
static void lines_are_cut(void)
{
    static const char *const due[] = {"READY I -", "COMPLETE x\ny\r", "\n\rz"};
    static const char stream[] = "READY I -\r\nCOMPLETE x\ny\r\r\n\n\rz\r\nTERMIN";
    size_t all = sizeof(stream) - 1;
    for (size_t piece = 1; piece <= all; piece++) {
        struct sr_buf in = {0};
        struct sr_str line;
        int n = 0;
        for (size_t from = 0; from < all; from += piece) {
            size_t len = all - from < piece ? all - from : piece, at = 0;
            sr_buf_add(&in, stream + from, len);
            bool ends = px_ends_line(&in, len);
            while (px_next_line(&in, &at, &line)) {
                CU_ASSERT_TRUE(ends && n < 3 && is(line, due[n]));
                n++;
            }
            CU_ASSERT_EQUAL(ends, at > 0);
            px_consume(&in, at);
        }
        CU_ASSERT_EQUAL(n, 3);
        CU_ASSERT_EQUAL(in.len, 6);
        sr_buf_free(&in);
    }
}

/* A message of line feeds is searched once, however many pieces it comes in. */
static void a_message_of_line_feeds_is_searched_once(void)
{
    enum { PIECE = 1000 };
    struct sr_buf in = {0};
    struct sr_str line;
    char piece[PIECE];
    size_t at = 0;
    memset(piece, '\n', sizeof(piece));
    for (int i = 0; i < PX_MAX_LINE / PIECE; i++) {
        sr_buf_add(&in, piece, sizeof(piece));
        CU_ASSERT_FALSE(px_ends_line(&in, sizeof(piece)));
    }
    sr_buf_add(&in, "\r", 1);
    CU_ASSERT_FALSE(px_ends_line(&in, 1));
    sr_buf_add(&in, "\n", 1);
    CU_ASSERT_TRUE(px_ends_line(&in, 1) && px_next_line(&in, &at, &line));
    CU_ASSERT_EQUAL(line.len, in.len - 2);
    sr_buf_free(&in);
}

/* What is only passed on is cut anywhere as well: a greeting in two pieces was once taken for
 * none, and the caller was greeted twice. */
static void last_lines_in_pieces(void)
{
    static const char stream[] = "DATAROW x\ny\r\nCOMPLETE \n\r\r\nREADY I -\r\n";
    size_t n = sizeof(stream) - 1;
    for (size_t a = 0; a <= n; a++) {
        for (size_t b = a; b <= n; b++) {
            struct sr_buf in = {0};
            struct sr_str line = {0};
            size_t cut[4] = {0, a, b, n}, whole = 0;
            for (int k = 0; k < 3; k++) {
                if (cut[k + 1] == cut[k])
                    continue;
                px_consume(&in, whole); /* passed on already */
                sr_buf_add(&in, stream + cut[k], cut[k + 1] - cut[k]);
                whole = px_complete_lines(&in, &line);
            }
            CU_ASSERT_TRUE(whole == in.len && is(line, "READY I -"));
            sr_buf_free(&in);
        }
    }
    struct sr_buf in = {0};
    struct sr_str line;
    char longer[400];
    memset(longer, 'x', sizeof(longer));
    CU_ASSERT_EQUAL(px_complete_lines(&in, &line), 0);
    sr_buf_add(&in, longer, sizeof(longer));
    CU_ASSERT_EQUAL(px_complete_lines(&in, &line), 0);
    sr_buf_add(&in, "\n", 1);
    CU_ASSERT_EQUAL(px_complete_lines(&in, &line), 0);
    sr_buf_add(&in, "\r\n", 2);
    CU_ASSERT_TRUE(px_complete_lines(&in, &line) == 403 && line.len == 401);
    sr_buf_add(&in, "\r\nREADY\n", 8);
    CU_ASSERT_TRUE(px_complete_lines(&in, &line) == 405 && line.len == 0);
    sr_buf_free(&in);
}

void lines_suite(void)
{
    CU_pSuite s = CU_add_suite("lines", NULL, NULL);
    TEST(s, good_lines);
    TEST(s, wrong_lines);
    TEST(s, statements);
    TEST(s, messages_out);
    TEST(s, status_rows);
    TEST(s, documents);
    TEST(s, lines_are_cut);
    TEST(s, a_message_of_line_feeds_is_searched_once);
    TEST(s, last_lines_in_pieces);
}

/* What a node believes of the nodes that it relays to, and what it may say of a question that
 * one of them does not answer. */
#include <string.h>

#include "misc/clock.h"
#include "platform/platform.h"
#include "proxy/neighbor.h"
#include "proxy/pending.h"
#include "tests/unit/unit.h"

/* ---- neighbours ---- */

static int64_t at(int ms)
{
    return CK_SEC(10) + CK_MS(ms);
}

/* Bring it to silence by a question that is asked at `ms`; returns when it was believed. */
static int fall_silent(struct nb_neighbor *n, int ms)
{
    for (int t = ms; t < ms + 2000; t += 50) {
        nb_unanswered(n, at(ms), at(t));
        if (nb_trial_timed_out(n, at(t)))
            nb_trial_ended(n, false, at(t));
        if (nb_trial_due(n, at(t)))
            nb_trial_began(n, at(t));
        if (n->state == NB_SILENT)
            return t;
    }
    return -1;
}

/* Load: a holder freezes with questions open. Its callers, who give their operation two
 * seconds, learn of it with time for another try, and nobody is sent there. */
static void a_frozen_holder_is_known_within_half_a_second(void)
{
    struct nb_neighbor n = {0};
    nb_received(&n, at(0));
    CU_ASSERT_EQUAL(nb_rank(&n, at(0)), NB_FIRST);
    int known = fall_silent(&n, 100);
    CU_ASSERT(known > 0 && known - 100 <= 600);
    CU_ASSERT_EQUAL(nb_rank(&n, at(known)), NB_NEVER);
}

/* Load: an instance is slow, so that questions wait while their holder is well: it greets, or
 * answers others, and is believed. */
static void a_slow_answer_is_no_silence(void)
{
    struct nb_neighbor n = {0};
    for (int t = 0; t < 3000; t += 50) {
        nb_unanswered(&n, at(0), at(t));
        if (nb_trial_due(&n, at(t))) {
            nb_trial_began(&n, at(t));
            nb_trial_ended(&n, true, at(t + 5));
        }
        CU_ASSERT(nb_rank(&n, at(t)) < NB_NEVER);
    }
    struct nb_neighbor busy = {0};
    for (int t = 0; t < 3000; t += 50) {
        nb_received(&busy, at(t));
        nb_unanswered(&busy, at(0), at(t + 40));
        CU_ASSERT_EQUAL(busy.state, NB_GOOD);
    }
}

/* Load: it thaws, and is asked again as soon as a trial is answered, not for a late answer
 * that was on its way. */
static void a_trial_clears_it(void)
{
    struct nb_neighbor n = {0};
    int t = fall_silent(&n, 0);
    nb_received(&n, at(t + 10));
    CU_ASSERT_EQUAL(nb_rank(&n, at(t + 10)), NB_NEVER);
    while (!nb_trial_due(&n, at(t)))
        t += 10;
    nb_trial_began(&n, at(t));
    CU_ASSERT_FALSE(nb_trial_due(&n, at(t + 1)));
    nb_trial_ended(&n, true, at(t + 5));
    CU_ASSERT_EQUAL(nb_rank(&n, at(t + 5)), NB_FIRST);
}

static int trials_within(struct nb_neighbor *n, int from, int ms)
{
    int trials = 0;
    for (int t = from; t < from + ms; t += 50) {
        if (nb_trial_timed_out(n, at(t)))
            nb_trial_ended(n, false, at(t));
        if (nb_trial_due(n, at(t))) {
            nb_trial_began(n, at(t));
            trials++;
        }
    }
    return trials;
}

/* Load: most nodes are cut off for long, or a path comes and goes: trials are bounded. */
static void trials_are_few(void)
{
    struct nb_neighbor n = {0};
    int t = fall_silent(&n, 0), k = trials_within(&n, t, 20000);
    CU_ASSERT(k >= 8 && k <= 14); /* every two seconds in the end */
    while (!nb_trial_due(&n, at(t)))
        t += 10;
    nb_trial_began(&n, at(t));
    nb_trial_ended(&n, true, at(t + 1));
    int64_t before = n.trial_pause_us;
    CU_ASSERT(fall_silent(&n, t + 100) > 0);
    CU_ASSERT(n.trial_pause_us >= before);
}

/* Load: a holder that is cut off from control says no to sessions: another is asked first, for
 * a moment; it is not silent. */
static void who_refuses_is_asked_last(void)
{
    struct nb_neighbor n = {0};
    nb_session_refused(&n, CK_MS(300), at(0));
    CU_ASSERT_EQUAL(nb_rank(&n, at(10)), NB_LAST);
    CU_ASSERT_FALSE(nb_trial_due(&n, at(10)));
    CU_ASSERT_EQUAL(nb_rank(&n, at(301)), NB_FIRST);
}

/* ---- questions ---- */

/* What is said from a session that the last answer left at `txn`, and what may be told of it if
 * no answer comes. '|' parts what was answered from what is open. */
static const struct row {
    const char *what;
    enum px_txn txn;
    const char *before, *open;
    bool is_signed; /* the answer to `before` */
    bool harmless;
} rows[] = {
    {"a read", PX_IDLE, "", "QUERY a READ x\r\n", false, true},
    {"a write for itself", PX_IDLE, "", "QUERY a WRITE x y\r\n", false, false},
    {"what it does is not known here", PX_IDLE, "", "QUERY a EXECUTE s x\r\n", false, false},
    {"no statement", PX_IDLE, "", "HELLO\r\n", false, false},
    {"a value is gone with its session", PX_IDLE, "", "QUERY a SET n v\r\n", false, true},
    {"BEGIN", PX_IDLE, "", "QUERY a BEGIN\r\n", false, true},
    {"a write whose COMMIT nobody asked for", PX_IN_TXN, "QUERY a READ x\r\n",
     "QUERY b WRITE x y\r\n", true, true},
    {"the first of a transaction: its BEGIN may not have run", PX_IN_TXN, "",
     "QUERY a WRITE x y\r\n", false, false},
    {"nor if only the node has answered", PX_IN_TXN, "QUERY a SET n v\r\n",
     "QUERY b EXECUTE s x\r\n", false, false},
    {"a write in a failed transaction", PX_TXN_FAILED, "", "QUERY a WRITE x y\r\n", false,
     true},
    {"COMMIT of a transaction that wrote", PX_IN_TXN, "QUERY a WRITE x y\r\n",
     "QUERY b COMMIT\r\n", false, false},
    {"COMMIT of one that may have", PX_IN_TXN, "QUERY a EXECUTE s x\r\n", "QUERY b COMMIT\r\n",
     false, false},
    {"COMMIT of one that read", PX_IN_TXN, "QUERY a READ x\r\n", "QUERY b COMMIT\r\n", false,
     true},
    {"ROLLBACK", PX_IN_TXN, "QUERY a WRITE x y\r\n", "QUERY b ROLLBACK\r\n", false, true},
    {"two at once: which was answered can't be told", PX_IDLE, "",
     "QUERY a READ x\r\nQUERY b READ y\r\n", false, false},
    {"a line feed in a field begins no request", PX_IDLE, "",
     "QUERY a READ x\nQUERY b WRITE x y\n\r\n", false, true},
    {"nor does one in a value end a transaction", PX_IN_TXN, "QUERY a WRITE x y\r\n",
     "QUERY b READ x\nQUERY c COMMIT\r\r\n", false, true},
    {"a write that ends with a line feed is not whole", PX_IDLE, "", "QUERY a WRITE x\n", false,
     true},
    {"a write that is not whole ran nowhere", PX_IDLE, "", "QUERY a WRITE x", false, true},
};

/* Promise attacked: a promise that nothing is kept is true. In pieces of one byte, too. */
static void what_may_be_kept_is_not_called_harmless(void)
{
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        const struct row *r = &rows[i];
        struct px_pending q = {0}, piece = {0};
        px_pending_add(&q, &pf_lines, r->txn, r->before, strlen(r->before));
        if (r->is_signed)
            px_pending_signed(&q);
        px_pending_answered(&q, r->txn);
        px_pending_add(&q, &pf_lines, r->txn, r->open, strlen(r->open));
        px_pending_add(&piece, &pf_lines, r->txn, r->before, strlen(r->before));
        if (r->is_signed)
            px_pending_signed(&piece);
        px_pending_answered(&piece, r->txn);
        for (const char *p = r->open; *p; p++)
            px_pending_add(&piece, &pf_lines, r->txn, p, 1);
        if (px_pending_harmless(&q) != r->harmless ||
            px_pending_harmless(&piece) != r->harmless)
            CU_FAIL(r->what);
    }
}

/* A transaction that wrote is over: the next one begins anew. */
static void an_ended_transaction_is_forgotten(void)
{
    struct px_pending q = {0};
    const char *write = "QUERY a WRITE x y\r\n", *commit = "QUERY b COMMIT\r\n";
    px_pending_add(&q, &pf_lines, PX_IN_TXN, write, strlen(write));
    px_pending_answered(&q, PX_IN_TXN);
    px_pending_add(&q, &pf_lines, PX_IN_TXN, commit, strlen(commit));
    CU_ASSERT(px_pending_ends_txn(&q) && !px_pending_harmless(&q));
    px_pending_answered(&q, PX_IDLE);
    px_pending_add(&q, &pf_lines, PX_IN_TXN, commit, strlen(commit));
    CU_ASSERT(px_pending_harmless(&q));
}

/* A refusal of a later request was read as that of a write that may have run: with its first
 * answer all were taken as answered. */
static void each_answer_is_one_requests(void)
{
    struct px_pending q = {0};
    const char *two = "QUERY a READ x\r\nQUERY b WRITE x y\r\n", *read = "QUERY c READ x\r\n";
    px_pending_add(&q, &pf_lines, PX_IDLE, two, strlen(two));
    px_pending_answered(&q, PX_IDLE);
    CU_ASSERT(q.open == 1 && !px_pending_harmless(&q));
    px_pending_add(&q, &pf_lines, PX_IDLE, read, strlen(read));
    CU_ASSERT(q.open == 2 && !px_pending_harmless(&q));
    px_pending_answered(&q, PX_IDLE);
    CU_ASSERT(q.open == 1 && px_pending_harmless(&q));
    px_pending_answered(&q, PX_IDLE);
    px_pending_answered(&q, PX_IDLE); /* nothing is open */
    CU_ASSERT(q.open == 0 && px_pending_harmless(&q));
}

/* Sent ahead: a COMMIT is judged by the writes of its transaction that were answered before. */
static void writes_sent_ahead_count_for_the_commit(void)
{
    struct px_pending q = {0};
    const char *all = "QUERY a BEGIN\r\nQUERY b WRITE x y\r\nQUERY c COMMIT\r\n";
    px_pending_add(&q, &pf_lines, PX_IDLE, all, strlen(all));
    px_pending_answered(&q, PX_IN_TXN);
    px_pending_answered(&q, PX_IN_TXN);
    CU_ASSERT(q.open == 1 && !px_pending_harmless(&q));
    px_pending_answered(&q, PX_IDLE);
    CU_ASSERT(q.open == 0);
}

/* Of more requests than are kept, each may have written. */
static void more_requests_than_are_kept_are_in_doubt(void)
{
    enum { MANY = 200 };
    struct px_pending q = {0};
    const char *read = "QUERY a READ x\r\n", *write = "QUERY b WRITE x y\r\n";
    for (int i = 0; i < MANY; i++)
        px_pending_add(&q, &pf_lines, PX_IDLE, i == 3 ? write : read,
                       strlen(i == 3 ? write : read));
    for (int i = 0; i < MANY - 1; i++)
        px_pending_answered(&q, PX_IDLE);
    CU_ASSERT(q.open == 1 && !px_pending_harmless(&q));
    px_pending_answered(&q, PX_IDLE);
    px_pending_add(&q, &pf_lines, PX_IDLE, read, strlen(read));
    CU_ASSERT(q.open == 1 && px_pending_harmless(&q));
}

/* What a request with an id of `id_len` bytes does, said in a transaction that wrote, in pieces
 * of `piece` bytes. */
static struct px_pending ask_with_id(size_t id_len, size_t piece, enum px_txn txn,
                                     const char *text)
{
    struct px_pending q = {0};
    struct sr_buf line = {0};
    const char *write = "QUERY a WRITE x y\r\n";
    px_pending_add(&q, &pf_lines, PX_IN_TXN, write, strlen(write));
    px_pending_signed(&q);
    px_pending_answered(&q, txn);
    sr_buf_add(&line, "QUERY ", 6);
    for (size_t i = 0; i < id_len; i++)
        sr_buf_add(&line, "f", 1);
    sr_buf_printf(&line, " %s\r\n", text);
    for (size_t at = 0; at < line.len; at += piece)
        px_pending_add(&q, &pf_lines, txn, line.p + at,
                       line.len - at < piece ? line.len - at : piece);
    sr_buf_free(&line);
    return q;
}

/* Guards against REFUSED: behind a long id the COMMIT was not found, and the caller was told
 * that nothing is kept, though it was committed. */
static void a_verb_is_found_behind_an_id_of_any_length(void)
{
    static const size_t lengths[] = {1, 16, 24, 25, 147, 148, 160, 200, 4096, 60000, 1048000};
    for (size_t i = 0; i < sizeof(lengths) / sizeof(lengths[0]); i++) {
        for (size_t piece = 1; piece < 2000000; piece *= 37) {
            size_t n = lengths[i];
            struct px_pending q = ask_with_id(n, piece, PX_IN_TXN, "COMMIT");
            CU_ASSERT(q.open == 1 && !px_pending_harmless(&q) && px_pending_ends_txn(&q));
            q = ask_with_id(n, piece, PX_IDLE, "WRITE x y");
            CU_ASSERT(q.open == 1 && !px_pending_harmless(&q));
            q = ask_with_id(n, piece, PX_IN_TXN, "WRITE x y");
            CU_ASSERT(q.open == 1 && px_pending_harmless(&q) && !px_pending_ends_txn(&q));
            q = ask_with_id(n, piece, PX_IDLE, "READ x");
            CU_ASSERT(q.open == 1 && px_pending_harmless(&q));
            q = ask_with_id(n, piece, PX_IN_TXN, "ROLLBACK");
            CU_ASSERT(q.open == 1 && px_pending_harmless(&q) && px_pending_ends_txn(&q));
            q = ask_with_id(n, piece, PX_IN_TXN, "BEGIN READ");
            CU_ASSERT(q.open == 1 && px_pending_harmless(&q));
        }
    }
}

/* Guards against REFUSED: what is not known counted as a write, of which nothing is kept in a
 * transaction. It may be the COMMIT. */
static void what_is_not_known_promises_nothing(void)
{
    enum { MANY = 200 };
    struct px_pending q = ask_with_id(16, 100, PX_IN_TXN, "HELLO");
    CU_ASSERT(q.open == 1 && !px_pending_harmless(&q) && !px_pending_ends_txn(&q));
    q = ask_with_id(16, 100, PX_IN_TXN, "COMMIT x");
    CU_ASSERT(q.open == 1 && !px_pending_harmless(&q));
    const char *read = "QUERY a READ x\r\n", *commit = "QUERY b COMMIT\r\n";
    q = (struct px_pending){0};
    for (int i = 0; i < MANY; i++)
        px_pending_add(&q, &pf_lines, PX_IN_TXN, i == 3 ? commit : read,
                       strlen(i == 3 ? commit : read));
    for (int i = 0; i < MANY - 1; i++) {
        px_pending_answered(&q, PX_IN_TXN);
        CU_ASSERT_FALSE(px_pending_harmless(&q));
    }
    /* An effect that is not kept may have been a write of the transaction. */
    px_pending_answered(&q, PX_IN_TXN);
    px_pending_add(&q, &pf_lines, PX_IN_TXN, commit, strlen(commit));
    CU_ASSERT_FALSE(px_pending_harmless(&q));
}

/* A line longer than what is looked at counts by its beginning. */
static void long_lines_count_by_their_beginning(void)
{
    struct px_pending q = {0};
    char line[600];
    memset(line, 'x', sizeof(line));
    sr_move(line, "QUERY a WRITE ", 14);
    line[sizeof(line) - 2] = '\r';
    line[sizeof(line) - 1] = '\n';
    px_pending_add(&q, &pf_lines, PX_IDLE, line, sizeof(line));
    CU_ASSERT(q.open == 1 && !px_pending_harmless(&q));
}

void neighbor_suite(void)
{
    CU_pSuite s = CU_add_suite("neighbor", NULL, NULL);
    TEST(s, a_frozen_holder_is_known_within_half_a_second);
    TEST(s, a_slow_answer_is_no_silence);
    TEST(s, a_trial_clears_it);
    TEST(s, trials_are_few);
    TEST(s, who_refuses_is_asked_last);
    TEST(s, a_verb_is_found_behind_an_id_of_any_length);
    TEST(s, what_is_not_known_promises_nothing);
    TEST(s, what_may_be_kept_is_not_called_harmless);
    TEST(s, an_ended_transaction_is_forgotten);
    TEST(s, each_answer_is_one_requests);
    TEST(s, writes_sent_ahead_count_for_the_commit);
    TEST(s, more_requests_than_are_kept_are_in_doubt);
    TEST(s, long_lines_count_by_their_beginning);
}

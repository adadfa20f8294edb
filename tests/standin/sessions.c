/* ferry-sessions: callers whose connection is a session, and the checks of what they are told.
 *
 * Each session writes rising numbers to a key of its own and to one that all share, reads both
 * back, sets values, prepares statements under names that all sessions use, runs transactions
 * and leaves some of them. Broken promises are printed and counted; refusals and doubts are
 * counted. Usage: ferry-sessions SECONDS SEED PORT... (the entry nodes' session ports). With
 * TXN_PAUSE_MS in the environment they rest for up to so long within a transaction.
 * Databases: "p" newest reads, "b" at most AGE_MS old, "o" at most AGE_MS old and one's own. */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "misc/clock.h"
#include "misc/rng.h"
#include "misc/str.h"
#include "proxy/wire.h"
#include "task/net.h"

enum { SESSIONS = 24, STEPS = 16, WORD = 64, PAUSE_US = 4000, AGE_MS = 1500, HISTORY = 65536 };
/* A session that rests may be closed while its next question is on its way. */
enum { ANSWER_US = 5000000, SLACK_US = 100000 };

/* What a statement's answer must be. */
enum check { C_ANY, C_OWN, C_SHARED, C_SET, C_SHAPE, C_WRITE_OWN, C_WRITE_SHARED, C_COMMIT };

struct step {
    char text[160];
    enum check check;
    long number;
};

struct acked {
    int64_t at;
    long number;
};

struct run {
    struct nt_loop *loop;
    struct rn_rng rng;
    unsigned long long seed; /* keys carry it: one run's numbers are not another's */
    int n_ports, ports[16];
    int64_t end;
    int64_t txn_pause_us;
    struct nt_timer tick;
    long next_number;
    int n_acked;
    struct acked acked[HISTORY]; /* of the shared key, by time */
    int done;
    unsigned long ok, refused, doubt, closed, broken, reads, commits;
    unsigned long questions;
    unsigned long cut; /* closed with a question out that must have been read */
};

struct session {
    struct run *r;
    int id;
    char db;
    struct nt_conn *net;
    struct nt_timer pause;
    struct sr_buf in;
    int n, at;
    int last; /* the step that was answered last */
    struct step step[STEPS];
    char row[WORD * 2];
    char question[WORD]; /* id of the last statement */
    bool waiting, error, txn, over;
    int64_t asked, txn_at;
    long own_acked, own_sent; /* numbers of its own key: known to be there, perhaps there */
    long txn_own;             /* written in the open transaction */
    long txn_sent;            /* the same, acknowledged or not */
    long dead;                /* the last one that was refused or rolled back */
    bool doubtful;            /* the last error leaves open whether it ran */
};

static struct session sessions[SESSIONS];

static void broken(struct session *s, const char *what, long saw, long least)
{
    s->r->broken++;
    printf("BROKEN session %d db %c: %s: \"%s\" gave \"%s\" (%ld, expected %ld)\n", s->id,
           s->db, what, s->step[s->at].text, s->row, saw, least);
}

/* The least number that a read which began at `at` must see. */
static long shared_floor(const struct session *s, int64_t at)
{
    const struct run *r = s->r;
    int64_t before = s->db == 'p' ? at : at - CK_MS(AGE_MS);
    long least = 0;
    for (int i = r->n_acked - 1; i >= 0 && !least; i--) {
        if (r->acked[i].at < before)
            least = r->acked[i].number;
    }
    return least;
}

/* ---- a plan of statements ---- */

static void add(struct session *s, enum check check, long number, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));
static void add(struct session *s, enum check check, long number, const char *fmt, ...)
{
    va_list ap;
    if (s->n == STEPS)
        return;
    struct step *st = &s->step[s->n++];
    va_start(ap, fmt);
    vsnprintf(st->text, sizeof(st->text), fmt, ap);
    va_end(ap);
    st->check = check;
    st->number = number;
}

static void add_write(struct session *s, bool shared)
{
    long n = ++s->r->next_number;
    if (shared)
        add(s, C_WRITE_SHARED, n, "WRITE s%llu %ld", s->r->seed, n);
    else
        add(s, C_WRITE_OWN, n, "WRITE k%llu.%d %ld", s->r->seed, s->id, n);
}

static void add_reads(struct session *s)
{
    add(s, C_OWN, 0, "READ k%llu.%d", s->r->seed, s->id);
    add(s, C_SHARED, 0, "READ s%llu", s->r->seed);
}

static void plan(struct session *s)
{
    uint64_t kind = rn_below(&s->r->rng, 9);
    s->n = s->at = 0;
    if (kind == 0) {
        add(s, C_ANY, 0, "SET x v%d", s->id);
        add(s, C_SET, 0, "READ @x");
    } else if (kind == 1) {
        add(s, C_ANY, 0, "PREPARE st READ q%d", s->id % 5);
        add(s, C_SHAPE, 0, "EXECUTE st k%llu.%d", s->r->seed, s->id);
        add(s, C_ANY, 0, "DEALLOC st");
    } else if (kind == 2) {
        add(s, C_ANY, 0, "BEGIN");
        add_write(s, false);
        add(s, C_OWN, 0, "READ k%llu.%d", s->r->seed, s->id);
        add(s, C_COMMIT, 0, rn_below(&s->r->rng, 4) ? "COMMIT" : "ROLLBACK");
        add(s, C_OWN, 0, "READ k%llu.%d", s->r->seed, s->id);
    } else if (kind == 3) {
        add(s, C_ANY, 0, "BEGIN READ");
        add_reads(s);
        add(s, C_COMMIT, 0, "COMMIT");
    } else if (kind == 8) {
        add(s, C_ANY, 0, "BEGIN");
        add_write(s, false);
        add(s, C_ANY, 0, "SET y w%d", s->id);
        add_write(s, false);
        add(s, C_COMMIT, 0, "COMMIT");
        add(s, C_OWN, 0, "READ k%llu.%d", s->r->seed, s->id);
    } else if (kind < 6) {
        add_write(s, kind == 4);
        add_reads(s);
    } else {
        add_reads(s);
    }
}

/* ---- checks ---- */

static void check_row(struct session *s)
{
    const struct step *st = &s->step[s->at];
    char expected[WORD];
    long saw = atol(s->row), least;
    int64_t began = s->txn ? s->txn_at : s->asked;
    s->r->reads++;
    switch (st->check) {
    case C_OWN:
        /* On "b" a session may not see its own newest. */
        least = s->txn_own ? s->txn_own : s->db == 'b' ? 0 : s->own_acked;
        if (saw < least)
            broken(s, "its own write is missing", saw, least);
        if (saw && saw == s->dead)
            broken(s, "a write that was refused or rolled back", saw, s->dead);
        if (saw > s->own_sent)
            broken(s, "a number that was never written", saw, s->own_sent);
        break;
    case C_SHARED:
        least = shared_floor(s, began);
        if (saw < least)
            broken(s, "stale", saw, least);
        break;
    case C_SET:
        snprintf(expected, sizeof(expected), "v%d", s->id);
        if (strcmp(s->row, expected) != 0)
            broken(s, "another session's value", 0, 0);
        break;
    case C_SHAPE:
        snprintf(expected, sizeof(expected), "q%d:", s->id % 5);
        if (strncmp(s->row, expected, strlen(expected)) != 0)
            broken(s, "another shape was run", 0, 0);
        break;
    default:
        break;
    }
}

static void note_shared(struct run *r, long number)
{
    if (r->n_acked < HISTORY && (!r->n_acked || r->acked[r->n_acked - 1].number < number))
        r->acked[r->n_acked++] = (struct acked){ck_now(), number};
}

static void note_done(struct session *s)
{
    const struct step *st = &s->step[s->at];
    s->r->ok++;
    if (st->check == C_WRITE_SHARED)
        note_shared(s->r, st->number);
    if (st->check == C_WRITE_OWN && s->txn)
        s->txn_own = st->number;
    else if (st->check == C_WRITE_OWN)
        s->own_acked = st->number;
    if (st->check != C_COMMIT)
        return;
    s->r->commits++;
    if (strcmp(st->text, "COMMIT") == 0 && s->txn_own)
        s->own_acked = s->txn_own;
}

/* What only an instance can have done. */
static bool must_be_signed(const struct session *s)
{
    const char *t = s->step[s->at].text;
    return strncmp(t, "READ", 4) == 0 || strncmp(t, "WRITE", 5) == 0 ||
           strncmp(t, "EXECUTE", 7) == 0 || strncmp(t, "COMMIT", 6) == 0;
}

static bool is_doubt(const char *line)
{
    return strncmp(line, "ERROR INDOUBT", 13) == 0 || strncmp(line, "ERROR TIMEOUT", 13) == 0;
}

/* Whether the error says that nothing was kept. */
static bool is_promise(const char *line)
{
    static const char *const words[] = {"BUSY",     "ABORTED",   "LAGGING",
                                        "READONLY", "MISROUTED", "TOOMANY"};
    for (size_t i = 0; i < sizeof(words) / sizeof(words[0]); i++) {
        if (strncmp(line + 6, words[i], strlen(words[i])) == 0)
            return true;
    }
    return false;
}

/* Instances sign with the statement's id, a dot and a number. */
static bool is_own_signature(const struct session *s, const char *signature)
{
    size_t n = strlen(s->question);
    return strncmp(signature, s->question, n) == 0 && signature[n] == '.';
}

/* ---- the conversation ---- */

static void open_session(struct session *s);
static void next(struct session *s);

static void paused(void *ud)
{
    struct session *s = ud;
    if (ck_now() > s->r->end) {
        s->over = true;
        s->r->done++;
        if (s->net)
            nt_close(s->net, true);
        if (s->r->done == SESSIONS)
            nt_stop(s->r->loop);
    } else if (!s->net) {
        open_session(s);
    } else {
        next(s);
    }
}

static void next(struct session *s)
{
    char line[200];
    if (s->at >= s->n)
        plan(s);
    const struct step *st = &s->step[s->at];
    if (st->check == C_WRITE_OWN)
        s->own_sent = st->number;
    if (st->check == C_WRITE_OWN && s->txn)
        s->txn_sent = st->number;
    snprintf(s->question, sizeof(s->question), "%d.%lu", s->id, ++s->r->questions);
    int n = snprintf(line, sizeof(line), "QUERY %s %s\r\n", s->question, st->text);
    s->asked = ck_now();
    if (strncmp(st->text, "BEGIN", 5) == 0)
        s->txn_at = s->asked;
    s->waiting = true;
    s->error = false;
    s->row[0] = 0;
    nt_send(s->net, line, (size_t)n);
}

/* Whether what the transaction wrote may be seen: only if its COMMIT was acknowledged or left
 * in doubt. */
static void end_txn(struct session *s)
{
    const struct step *st = &s->step[s->last];
    bool commit = strcmp(st->text, "COMMIT") == 0;
    bool kept = commit && (!s->error || s->doubtful);
    if (s->txn_sent && !kept)
        s->dead = s->txn_sent;
    s->txn_sent = 0;
}

static void ready(struct session *s, char state)
{
    s->last = s->at;
    s->waiting = false;
    if (s->error)
        s->at = s->n; /* the rest of the plan is dropped; a transaction is ended */
    else
        s->at++;
    s->txn = state == 'T';
    if (state == 'I')
        end_txn(s);
    if (!s->txn)
        s->txn_own = 0;
    if (state != 'I' && s->at >= s->n) {
        s->n = s->at = 0;
        add(s, C_ANY, 0, "ROLLBACK");
    }
    uint64_t span = PAUSE_US + (uint64_t)(s->txn ? s->r->txn_pause_us : 0);
    nt_timer_set(s->r->loop, &s->pause, PAUSE_US + (int64_t)rn_below(&s->r->rng, span), paused,
                 s);
}

static void line(struct session *s, const char *text)
{
    struct run *r = s->r;
    if (strncmp(text, "DATAROW ", 8) == 0) {
        sr_copy(s->row, sizeof(s->row), sr_from(text + 8));
        check_row(s);
    } else if (strncmp(text, "COMPLETE", 8) == 0) {
        bool signed_ = strcmp(text, "COMPLETE -") != 0;
        if (!signed_ && must_be_signed(s))
            broken(s, "a success without the instance's signature", 0, 0);
        if (signed_ && !is_own_signature(s, text + 9))
            broken(s, "the signature of another statement", 0, 0);
        note_done(s);
    } else if (strncmp(text, "ERROR", 5) == 0) {
        const struct step *st = &s->step[s->at];
        s->error = true;
        s->doubtful = is_doubt(text);
        if (st->check == C_WRITE_OWN && !s->txn && is_promise(text))
            s->dead = st->number;
        if (s->doubtful)
            r->doubt++;
        else
            r->refused++;
    } else if (strncmp(text, "READY ", 6) == 0) {
        if (!s->waiting && s->asked) /* an answer to nothing */
            broken(s, "READY was not asked for", 0, 0);
        ready(s, text[6]);
    } else {
        broken(s, "not a line of the protocol", 0, 0);
    }
}

static void on_open(struct nt_conn *net, void *ud)
{
    struct session *s = ud;
    char text[32];
    int n = snprintf(text, sizeof(text), "STARTUP %c secret-%d.\r\n", s->db, s->id);
    nt_send(net, text, (size_t)n);
}

static void on_message(struct nt_conn *net, void *ud, const char *data, size_t len)
{
    struct session *s = ud;
    struct sr_str l;
    size_t at = 0;
    (void)net;
    sr_buf_add(&s->in, data, len);
    while (px_next_line(&s->in, &at, &l)) {
        char text[512];
        if (sr_copy(text, sizeof(text), l))
            line(s, text);
    }
    px_consume(&s->in, at);
}

/* A new connection is a new session: what only the old one promised is gone with it. */
static void on_close(struct nt_conn *net, void *ud, bool opened, bool refused)
{
    struct session *s = ud;
    (void)net;
    (void)opened;
    (void)refused;
    s->net = NULL;
    s->in.len = 0;
    s->r->closed++;
    s->r->cut += s->waiting && ck_now() - s->asked > SLACK_US;
    s->n = s->at = 0;
    s->txn = s->waiting = false;
    s->asked = 0;
    s->txn_own = 0;
    s->txn_sent = 0; /* a close leaves open what became of it */
    if (s->db == 'o')
        s->own_acked = 0;
    if (!s->over)
        nt_timer_set(s->r->loop, &s->pause, 20000 + PAUSE_US, paused, s);
}

static const struct nt_ops ops = {on_open, on_message, on_close};

static void open_session(struct session *s)
{
    struct run *r = s->r;
    int port = r->ports[rn_below(&r->rng, (uint64_t)r->n_ports)];
    s->asked = 0;
    s->net = nt_connect_stream(r->loop, "127.0.0.1", port, &ops, s);
}

/* A statement that is never answered is a broken promise as well. */
static void watch(void *ud)
{
    struct run *r = ud;
    for (int i = 0; i < SESSIONS; i++) {
        struct session *s = &sessions[i];
        if (!s->waiting || ck_now() - s->asked < ANSWER_US)
            continue;
        broken(s, "no answer", 0, 0);
        s->waiting = false;
        if (s->net)
            nt_close(s->net, true);
    }
    nt_timer_set(r->loop, &r->tick, 100000, watch, r);
}

int main(int argc, char **argv)
{
    static struct run r;
    static const char dbs[] = "pbo";
    struct er_err err = {0};
    if (argc < 4) {
        fprintf(stderr, "usage: ferry-sessions SECONDS SEED PORT...\n");
        return 64;
    }
    r.loop = nt_loop_create(256, &err);
    r.seed = strtoull(argv[2], NULL, 10);
    r.rng = rn_seed(r.seed);
    r.end = ck_now() + CK_SEC(atoi(argv[1]));
    if (getenv("TXN_PAUSE_MS"))
        r.txn_pause_us = CK_MS(atoi(getenv("TXN_PAUSE_MS")));
    for (int i = 3; i < argc && r.n_ports < 16; i++)
        r.ports[r.n_ports++] = atoi(argv[i]);
    for (int i = 0; i < SESSIONS; i++) {
        sessions[i] = (struct session){.r = &r, .id = i, .db = dbs[i % 3]};
        open_session(&sessions[i]);
    }
    watch(&r);
    nt_run(r.loop);
    printf("ok %lu reads %lu ends %lu refused %lu doubt %lu closed %lu cut %lu broken %lu\n",
           r.ok, r.reads, r.commits, r.refused, r.doubt, r.closed, r.cut, r.broken);
    return r.broken ? 1 : 0;
}

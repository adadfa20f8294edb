#include "quorum/quorum.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "misc/str.h"

enum { ROUNDS = 64 }; /* heartbeat rounds whose sending time is kept */

struct peer {
    uint64_t id;
    uint64_t next, match;
    uint64_t acked_round;
    int64_t last_sent, last_heard;
    bool probing; /* the match point is being looked for: one message at a time */
    bool granted;
};

struct inflight {
    uint64_t seq, last_index;
};

struct qr {
    struct qr_config cfg;
    struct rn_rng rng;
    enum qr_role role;
    uint64_t term, vote, leader;

    uint64_t snap_index, snap_term;
    struct qr_members snap_members;
    char *snap;
    uint32_t snap_len;
    struct qr_entry *log; /* log[0] has index snap_index + 1 */
    uint32_t n, cap;

    uint64_t commit, applied, durable;
    uint64_t matched;          /* follower: last index known to agree with this term's leader */
    struct qr_members members; /* newest in the log, committed or not */
    uint64_t members_index;    /* where that entry stands */

    uint64_t seq, persisted; /* disk writes asked for, confirmed */
    uint64_t hard_seq;       /* the last write that carried term and vote */
    struct inflight fl[QR_MAX_INFLIGHT];
    int n_fl;
    uint64_t vote_reply_to; /* a granted vote waits for the disk */
    uint64_t snap_seq;      /* a received snapshot waits for the disk */

    int64_t deadline;     /* of the election timer */
    int64_t heard_leader; /* when a leader of this term was last heard */
    int64_t leader_since, next_beat;
    uint64_t round;
    int64_t round_sent[ROUNDS];
    struct peer peers[QR_MAX_MEMBERS];
    int n_peers;
    bool transfer; /* this election was asked for by the old leader */
};

/* ---- the log ---- */

static uint64_t last_index(const struct qr *q)
{
    return q->snap_index + q->n;
}

const struct qr_entry *qr_at(const struct qr *q, uint64_t index)
{
    if (index <= q->snap_index || index > last_index(q))
        return NULL;
    return &q->log[index - q->snap_index - 1];
}

static bool term_at(const struct qr *q, uint64_t index, uint64_t *term)
{
    if (index == q->snap_index) {
        *term = q->snap_term;
        return true;
    }
    const struct qr_entry *e = qr_at(q, index);
    if (!e)
        return false;
    *term = e->term;
    return true;
}

static uint64_t last_term(const struct qr *q)
{
    uint64_t t = 0;
    term_at(q, last_index(q), &t);
    return t;
}

/* The newest member list at or below the end of the log is the one in force. */
static void refresh_members(struct qr *q)
{
    for (uint32_t i = q->n; i > 0; i--) {
        const struct qr_entry *e = &q->log[i - 1];
        if (e->type != QR_MEMBERS)
            continue;
        memcpy(&q->members, e->data, sizeof(q->members));
        q->members_index = e->index;
        return;
    }
    q->members = q->snap_members;
    q->members_index = q->snap_index;
}

static void push_entry(struct qr *q, const struct qr_entry *e)
{
    if (q->n == q->cap) {
        q->cap = q->cap ? q->cap * 2 : 64;
        q->log = sr_realloc(q->log, sizeof(*q->log) * q->cap);
    }
    struct qr_entry *to = &q->log[q->n++];
    *to = *e;
    to->data = sr_alloc(e->len);
    if (e->len)
        memcpy(to->data, e->data, e->len);
    if (e->type == QR_MEMBERS)
        refresh_members(q);
}

static void truncate_log(struct qr *q, uint64_t from)
{
    assert(from > q->commit);
    while (q->n > 0 && last_index(q) >= from)
        free(q->log[--q->n].data);
    if (q->durable >= from)
        q->durable = from - 1;
    for (int i = 0; i < q->n_fl; i++) {
        if (q->fl[i].last_index >= from)
            q->fl[i].last_index = from - 1;
    }
    refresh_members(q);
}

/* ---- the disk ---- */

static void persist(struct qr *q, struct qr_persist *p)
{
    p->seq = ++q->seq;
    p->term = q->term;
    p->vote = q->cfg.fault.forget_vote ? 0 : q->vote;
    q->hard_seq = p->seq;
    assert(q->n_fl < QR_MAX_INFLIGHT);
    q->fl[q->n_fl++] = (struct inflight){p->seq, last_index(q)};
    q->cfg.sink->persist(q->cfg.ud, p);
}

static void persist_hard(struct qr *q)
{
    struct qr_persist p = {0};
    persist(q, &p);
}

static void persist_entries(struct qr *q, uint64_t truncate_from, uint64_t first)
{
    struct qr_persist p = {.truncate_from = truncate_from};
    p.n = (uint32_t)(last_index(q) - first + 1);
    p.entries = p.n ? qr_at(q, first) : NULL;
    persist(q, &p);
}

/* ---- members ---- */

static const struct qr_member *member(const struct qr *q, uint64_t id)
{
    for (uint32_t i = 0; i < q->members.n; i++) {
        if (q->members.m[i].id == id)
            return &q->members.m[i];
    }
    return NULL;
}

bool qr_is_voter(const struct qr *q, uint64_t id)
{
    const struct qr_member *m = member(q, id);
    return m && m->voter;
}

static int quorum_size(const struct qr *q)
{
    int voters = 0;
    for (uint32_t i = 0; i < q->members.n; i++)
        voters += q->members.m[i].voter;
    return voters / 2 + 1;
}

static struct peer *peer(struct qr *q, uint64_t id)
{
    for (int i = 0; i < q->n_peers; i++) {
        if (q->peers[i].id == id)
            return &q->peers[i];
    }
    return NULL;
}

/* Make the peers follow the member list, keeping what is known of those that stay. */
static void sync_peers(struct qr *q, int64_t now)
{
    struct peer next[QR_MAX_MEMBERS];
    int n = 0;
    for (uint32_t i = 0; i < q->members.n; i++) {
        uint64_t id = q->members.m[i].id;
        if (id == q->cfg.self)
            continue;
        const struct peer *old = peer(q, id);
        next[n++] =
            old ? *old
                : (struct peer){
                      .id = id, .next = last_index(q) + 1, .last_heard = now, .probing = true};
    }
    memcpy(q->peers, next, sizeof(next[0]) * (size_t)n);
    q->n_peers = n;
}

static void reset_peers(struct qr *q, int64_t now)
{
    q->n_peers = 0;
    sync_peers(q, now);
}

/* ---- roles ---- */

static void reset_timer(struct qr *q, int64_t now)
{
    int64_t spread = (int64_t)rn_below(&q->rng, (uint64_t)q->cfg.election_us);
    q->deadline = now + q->cfg.election_us + spread;
}

static void send(struct qr *q, struct qr_msg *m)
{
    m->from = q->cfg.self;
    m->term = m->type == QR_PREVOTE ? q->term + 1 : q->term;
    q->cfg.sink->send(q->cfg.ud, m);
}

static void become_follower(struct qr *q, uint64_t term, uint64_t leader, int64_t now)
{
    bool changed = q->role != QR_FOLLOWER || q->term != term || q->leader != leader;
    bool newer = term > q->term;
    q->role = QR_FOLLOWER;
    q->leader = leader;
    q->leader_since = 0;
    if (newer) {
        q->term = term;
        q->vote = 0;
        q->matched = 0;
        q->vote_reply_to = 0;
        persist_hard(q);
    }
    reset_timer(q, now);
    if (changed)
        q->cfg.sink->role(q->cfg.ud);
}

static void ask_votes(struct qr *q, enum qr_msg_type type)
{
    for (int i = 0; i < q->n_peers; i++) {
        if (!qr_is_voter(q, q->peers[i].id))
            continue;
        struct qr_msg m = {.type = type,
                           .to = q->peers[i].id,
                           .index = last_index(q),
                           .log_term = last_term(q),
                           .transfer = q->transfer};
        send(q, &m);
    }
}

static int votes(const struct qr *q)
{
    int n = qr_is_voter(q, q->cfg.self);
    for (int i = 0; i < q->n_peers; i++)
        n += q->peers[i].granted && qr_is_voter(q, q->peers[i].id);
    return n;
}

static void become_leader(struct qr *q, int64_t now);

static void become_candidate(struct qr *q, int64_t now)
{
    q->role = QR_CANDIDATE;
    q->term++;
    q->vote = q->cfg.self;
    q->leader = 0;
    q->matched = 0;
    q->vote_reply_to = 0;
    reset_peers(q, now);
    reset_timer(q, now);
    q->cfg.sink->role(q->cfg.ud);
    persist_hard(q); /* votes are asked for once this is on disk */
}

static void start_election(struct qr *q, int64_t now)
{
    if (!qr_is_voter(q, q->cfg.self)) {
        reset_timer(q, now);
        return;
    }
    q->role = QR_PRECANDIDATE;
    q->leader = 0;
    reset_peers(q, now);
    reset_timer(q, now);
    if (votes(q) >= quorum_size(q)) {
        become_candidate(q, now);
        return;
    }
    ask_votes(q, QR_PREVOTE);
}

/* ---- leading ---- */

static void send_snapshot(struct qr *q, struct peer *p, int64_t now)
{
    struct qr_msg m = {.type = QR_SNAP,
                       .to = p->id,
                       .index = q->snap_index,
                       .log_term = q->snap_term,
                       .round = q->round,
                       .members = &q->snap_members,
                       .data = q->snap,
                       .len = q->snap_len};
    p->last_sent = now;
    send(q, &m);
}

static uint32_t batch_size(const struct qr *q, uint64_t from)
{
    uint32_t n = 0, bytes = 0;
    const struct qr_entry *e;
    while (n < QR_MAX_BATCH && (e = qr_at(q, from + n))) {
        bytes += e->len;
        if (n > 0 && bytes > QR_MAX_BATCH_BYTES)
            break;
        n++;
    }
    return n;
}

static void send_append(struct qr *q, struct peer *p, int64_t now, bool empty)
{
    uint64_t prev = p->next - 1, prev_term;
    if (!term_at(q, prev, &prev_term)) {
        send_snapshot(q, p, now);
        return;
    }
    struct qr_msg m = {.type = QR_APPEND,
                       .to = p->id,
                       .index = prev,
                       .log_term = prev_term,
                       .commit = q->commit,
                       .round = q->round};
    m.n = empty ? 0 : batch_size(q, p->next);
    m.entries = m.n ? qr_at(q, p->next) : NULL;
    if (!p->probing)
        p->next += m.n;
    p->last_sent = now;
    send(q, &m);
}

static void heartbeat(struct qr *q, int64_t now)
{
    q->round++;
    q->round_sent[q->round % ROUNDS] = now;
    q->next_beat = now + q->cfg.heartbeat_us;
    for (int i = 0; i < q->n_peers; i++)
        send_append(q, &q->peers[i], now, false);
}

static void replicate(struct qr *q, int64_t now)
{
    for (int i = 0; i < q->n_peers; i++) {
        if (!q->peers[i].probing)
            send_append(q, &q->peers[i], now, false);
    }
}

static uint64_t append_own(struct qr *q, enum qr_entry_type type, const void *data,
                           uint32_t len, int64_t now)
{
    struct qr_entry e = {last_index(q) + 1, q->term, type, len, (char *)data};
    push_entry(q, &e);
    persist_entries(q, 0, e.index);
    if (type == QR_MEMBERS)
        sync_peers(q, now);
    replicate(q, now);
    return e.index;
}

static void become_leader(struct qr *q, int64_t now)
{
    q->role = QR_LEADER;
    q->leader = q->cfg.self;
    q->leader_since = now;
    reset_peers(q, now);
    memset(q->round_sent, 0, sizeof(q->round_sent));
    append_own(q, QR_NOOP, NULL, 0, now);
    heartbeat(q, now);
    q->cfg.sink->role(q->cfg.ud);
}

static void apply_committed(struct qr *q)
{
    while (q->applied < q->commit) {
        const struct qr_entry *e = qr_at(q, q->applied + 1);
        if (!e)
            return;
        q->applied++;
        q->cfg.sink->apply(q->cfg.ud, e);
    }
}

/* Sort descending and take what the quorum-th voter has reached. */
static uint64_t quorum_value(const struct qr *q, uint64_t own, bool rounds)
{
    uint64_t v[QR_MAX_MEMBERS];
    int n = 0;
    if (qr_is_voter(q, q->cfg.self))
        v[n++] = own;
    for (int i = 0; i < q->n_peers; i++) {
        const struct peer *p = &q->peers[i];
        if (qr_is_voter(q, p->id))
            v[n++] = rounds ? p->acked_round : p->match;
    }
    for (int i = 1; i < n; i++) {
        for (int j = i; j > 0 && v[j] > v[j - 1]; j--) {
            uint64_t t = v[j];
            v[j] = v[j - 1];
            v[j - 1] = t;
        }
    }
    int m = quorum_size(q);
    return m <= n ? v[m - 1] : 0;
}

static void advance_commit(struct qr *q, int64_t now)
{
    uint64_t to = quorum_value(q, q->durable, false), term = 0;
    if (to <= q->commit || !term_at(q, to, &term))
        return;
    if (term != q->term && !q->cfg.fault.commit_old_terms)
        return;
    q->commit = to;
    apply_committed(q);
    /* A leader that removed itself has done its work once that is committed. */
    if (q->role == QR_LEADER && q->members_index <= q->commit && !member(q, q->cfg.self))
        become_follower(q, q->term, 0, now);
    else if (q->role == QR_LEADER)
        q->next_beat = now; /* tell the others soon */
}

/* When the newest round that a quorum has answered was sent; 0 if none. */
static int64_t quorum_contact(const struct qr *q)
{
    uint64_t r = quorum_value(q, q->round, true);
    if (r == 0 || r + ROUNDS <= q->round)
        return 0;
    return q->round_sent[r % ROUNDS];
}

static void lead_tick(struct qr *q, int64_t now)
{
    int64_t heard = quorum_contact(q);
    if (heard < q->leader_since)
        heard = q->leader_since;
    if (now - heard > 2 * q->cfg.election_us) {
        become_follower(q, q->term, 0, now);
        return;
    }
    if (now >= q->next_beat)
        heartbeat(q, now);
}

/* ---- messages ---- */

static bool log_up_to_date(const struct qr *q, const struct qr_msg *m)
{
    if (q->cfg.fault.no_vote_check)
        return true;
    uint64_t lt = last_term(q);
    return m->log_term > lt || (m->log_term == lt && m->index >= last_index(q));
}

/* Whether a leader was heard too lately to help anybody replace it. */
static bool leader_is_fresh(const struct qr *q, int64_t now)
{
    if (q->role == QR_LEADER)
        return quorum_contact(q) + q->cfg.election_us > now;
    return q->leader && now - q->heard_leader < q->cfg.election_us;
}

static void on_prevote(struct qr *q, const struct qr_msg *m, int64_t now)
{
    struct qr_msg r = {.type = QR_PREVOTE_R, .to = m->from};
    r.ok = m->term > q->term && log_up_to_date(q, m) && !leader_is_fresh(q, now);
    r.round = m->term;
    send(q, &r);
}

static void on_prevote_reply(struct qr *q, const struct qr_msg *m, int64_t now)
{
    if (m->term > q->term) {
        become_follower(q, m->term, 0, now);
        return;
    }
    struct peer *p = peer(q, m->from);
    if (q->role != QR_PRECANDIDATE || !p || !m->ok || m->round != q->term + 1)
        return;
    p->granted = true;
    if (votes(q) >= quorum_size(q))
        become_candidate(q, now);
}

static void on_vote(struct qr *q, const struct qr_msg *m, int64_t now)
{
    if (!m->transfer && leader_is_fresh(q, now))
        return;
    if (m->term > q->term)
        become_follower(q, m->term, 0, now);
    bool free_vote = q->vote == 0 || q->vote == m->from;
    bool grant = m->term == q->term && free_vote && log_up_to_date(q, m);
    if (!grant) {
        struct qr_msg r = {.type = QR_VOTE_R, .to = m->from};
        send(q, &r);
        return;
    }
    q->vote = m->from;
    q->vote_reply_to = m->from;
    reset_timer(q, now);
    persist_hard(q); /* the answer goes out once this is on disk */
}

static void on_vote_reply(struct qr *q, const struct qr_msg *m, int64_t now)
{
    if (m->term > q->term) {
        become_follower(q, m->term, 0, now);
        return;
    }
    struct peer *p = peer(q, m->from);
    if (q->role != QR_CANDIDATE || m->term != q->term || !p || !m->ok)
        return;
    p->granted = true;
    if (votes(q) >= quorum_size(q) && q->persisted >= q->hard_seq)
        become_leader(q, now);
}

static void reply_append(struct qr *q, uint64_t to, bool ok, uint64_t match, uint64_t round)
{
    struct qr_msg r = {.type = QR_APPEND_R, .to = to, .ok = ok, .index = match, .round = round};
    send(q, &r);
}

static uint64_t acked(const struct qr *q)
{
    if (q->cfg.fault.ack_before_sync)
        return q->matched;
    return q->matched < q->durable ? q->matched : q->durable;
}

/* Take over what is new in the message; what conflicts with it goes first. */
static void take_entries(struct qr *q, const struct qr_msg *m)
{
    uint64_t truncate_from = 0, first = 0;
    for (uint32_t i = 0; i < m->n; i++) {
        const struct qr_entry *e = &m->entries[i];
        uint64_t have;
        if (e->index <= q->snap_index)
            continue;
        if (!first && term_at(q, e->index, &have)) {
            if (have == e->term)
                continue;
            truncate_log(q, e->index);
            truncate_from = e->index;
        }
        if (!first)
            first = e->index;
        push_entry(q, e);
    }
    if (first)
        persist_entries(q, truncate_from, first);
}

static void follow(struct qr *q, const struct qr_msg *m, int64_t now)
{
    if (m->term > q->term || q->role != QR_FOLLOWER || q->leader != m->from)
        become_follower(q, m->term, m->from, now);
    q->heard_leader = now;
    reset_timer(q, now);
}

static void on_append(struct qr *q, const struct qr_msg *m, int64_t now)
{
    if (m->term < q->term) {
        reply_append(q, m->from, false, 0, 0);
        return;
    }
    follow(q, m, now);
    uint64_t have;
    bool matches =
        m->index < q->snap_index || (term_at(q, m->index, &have) && have == m->log_term);
    if (!matches) {
        uint64_t hint = m->index - 1 < last_index(q) ? m->index - 1 : last_index(q);
        reply_append(q, m->from, false, hint, m->round);
        return;
    }
    take_entries(q, m);
    uint64_t upto = m->index + m->n;
    if (upto > q->matched)
        q->matched = upto;
    uint64_t commit = m->commit < q->matched ? m->commit : q->matched;
    if (commit > q->commit) {
        q->commit = commit;
        apply_committed(q);
    }
    reply_append(q, m->from, true, acked(q), m->round);
}

static void on_append_reply(struct qr *q, const struct qr_msg *m, int64_t now)
{
    if (m->term > q->term) {
        become_follower(q, m->term, 0, now);
        return;
    }
    struct peer *p = peer(q, m->from);
    if (q->role != QR_LEADER || m->term != q->term || !p)
        return;
    p->last_heard = now;
    if (m->round > p->acked_round)
        p->acked_round = m->round;
    if (!m->ok) {
        p->probing = true;
        p->next = m->index + 1 > p->match ? m->index + 1 : p->match + 1;
        send_append(q, p, now, false);
        return;
    }
    if (m->index > p->match)
        p->match = m->index;
    if (p->probing) {
        p->probing = false;
        p->next = p->match + 1;
    }
    if (p->next <= p->match)
        p->next = p->match + 1;
    advance_commit(q, now);
    if (q->role == QR_LEADER && p->next <= last_index(q))
        send_append(q, p, now, false);
}

static void take_snapshot(struct qr *q, const struct qr_msg *m)
{
    for (uint32_t i = 0; i < q->n; i++)
        free(q->log[i].data);
    q->n = 0;
    q->snap_index = m->index;
    q->snap_term = m->log_term;
    q->snap_members = *m->members;
    free(q->snap);
    q->snap = sr_alloc(m->len);
    if (m->len)
        memcpy(q->snap, m->data, m->len);
    q->snap_len = m->len;
    q->commit = q->applied = q->matched = m->index;
    q->durable = 0;
    for (int i = 0; i < q->n_fl; i++)
        q->fl[i].last_index = 0;
    refresh_members(q);
    struct qr_persist p = {.snapshot = true,
                           .snap_index = m->index,
                           .snap_term = m->log_term,
                           .members = &q->snap_members,
                           .data = q->snap,
                           .len = q->snap_len};
    persist(q, &p);
    q->cfg.sink->restore(q->cfg.ud, m->index, q->snap, q->snap_len);
}

static void on_snapshot(struct qr *q, const struct qr_msg *m, int64_t now)
{
    if (m->term < q->term) {
        reply_append(q, m->from, false, 0, 0);
        return;
    }
    follow(q, m, now);
    if (m->index > q->commit)
        take_snapshot(q, m);
    else if (m->index > q->matched)
        q->matched = m->index;
    reply_append(q, m->from, true, acked(q), m->round);
}

void qr_receive(struct qr *q, const struct qr_msg *m, int64_t now)
{
    if (m->to != q->cfg.self)
        return;
    switch (m->type) {
    case QR_PREVOTE:
        on_prevote(q, m, now);
        break;
    case QR_PREVOTE_R:
        on_prevote_reply(q, m, now);
        break;
    case QR_VOTE:
        on_vote(q, m, now);
        break;
    case QR_VOTE_R:
        on_vote_reply(q, m, now);
        break;
    case QR_APPEND:
        on_append(q, m, now);
        break;
    case QR_APPEND_R:
        on_append_reply(q, m, now);
        break;
    case QR_SNAP:
        on_snapshot(q, m, now);
        break;
    case QR_TIMEOUT_NOW:
        if (m->term == q->term && q->role == QR_FOLLOWER && qr_is_voter(q, q->cfg.self)) {
            q->transfer = true;
            become_candidate(q, now);
        }
        break;
    }
}

/* ---- time and disk ---- */

void qr_tick(struct qr *q, int64_t now)
{
    if (q->role == QR_LEADER) {
        lead_tick(q, now);
    } else if (now >= q->deadline) {
        q->transfer = false;
        start_election(q, now);
    }
}

static void note_durable(struct qr *q, uint64_t seq)
{
    int kept = 0;
    for (int i = 0; i < q->n_fl; i++) {
        if (q->fl[i].seq <= seq) {
            if (q->fl[i].last_index > q->durable)
                q->durable = q->fl[i].last_index;
        } else {
            q->fl[kept++] = q->fl[i];
        }
    }
    q->n_fl = kept;
}

void qr_persisted(struct qr *q, uint64_t seq, int64_t now)
{
    q->persisted = seq;
    uint64_t before = acked(q);
    note_durable(q, seq);
    bool hard_done = q->persisted >= q->hard_seq;
    if (q->role == QR_CANDIDATE && hard_done) {
        if (votes(q) >= quorum_size(q))
            become_leader(q, now);
        else
            ask_votes(q, QR_VOTE);
        return;
    }
    if (q->vote_reply_to && hard_done) {
        struct qr_msg r = {.type = QR_VOTE_R, .to = q->vote_reply_to, .ok = true};
        q->vote_reply_to = 0;
        send(q, &r);
    }
    if (q->role == QR_LEADER)
        advance_commit(q, now);
    else if (q->leader && acked(q) > before)
        reply_append(q, q->leader, true, acked(q), 0);
}

/* ---- proposals ---- */

static bool can_lead(const struct qr *q, struct er_err *err)
{
    if (q->role != QR_LEADER)
        return er_set(err, ER_NOT_LEADER, "this node does not lead term %llu",
                      (unsigned long long)q->term);
    if (q->n_fl >= QR_MAX_INFLIGHT - 8)
        return er_set(err, ER_OVERLOAD, "%d log writes wait for the disk", q->n_fl);
    return true;
}

bool qr_propose(struct qr *q, const void *data, uint32_t len, int64_t now, uint64_t *index,
                struct er_err *err)
{
    if (!can_lead(q, err))
        return false;
    if (len > QR_MAX_ENTRY)
        return er_set(err, ER_TOO_LARGE, "entry of %u bytes, expected at most %d", len,
                      QR_MAX_ENTRY);
    *index = append_own(q, QR_DATA, data, len, now);
    return true;
}

static bool change_members(struct qr *q, const struct qr_members *next, int64_t now,
                           struct er_err *err)
{
    uint64_t t = 0;
    if (!can_lead(q, err))
        return false;
    if (q->members_index > q->commit)
        return er_set(err, ER_CONFLICT, "a change of members is under way");
    if (!term_at(q, q->commit, &t) || t != q->term)
        return er_set(err, ER_NO_QUORUM, "nothing is committed in this term yet");
    append_own(q, QR_MEMBERS, next, sizeof(*next), now);
    return true;
}

bool qr_add_learner(struct qr *q, const struct qr_member *m, int64_t now, struct er_err *err)
{
    if (member(q, m->id))
        return er_set(err, ER_CONFLICT, "member %s is there already", m->name);
    if (q->members.n >= QR_MAX_MEMBERS)
        return er_set(err, ER_TOO_LARGE, "%d members are the most", QR_MAX_MEMBERS);
    struct qr_members next = q->members;
    next.m[next.n] = *m;
    next.m[next.n].voter = false;
    next.n++;
    return change_members(q, &next, now, err);
}

bool qr_promote_learner(struct qr *q, uint64_t id, int64_t now, struct er_err *err)
{
    struct qr_members next = q->members;
    const struct peer *p = peer(q, id);
    if (!p || !member(q, id))
        return er_set(err, ER_BAD_INPUT, "no such learner");
    /* A repair counts only once the new voter holds all that is committed. */
    if (p->match < q->commit)
        return er_set(err, ER_STALE_PLAN, "the learner holds %llu of %llu entries",
                      (unsigned long long)p->match, (unsigned long long)q->commit);
    for (uint32_t i = 0; i < next.n; i++) {
        if (next.m[i].id == id)
            next.m[i].voter = true;
    }
    return change_members(q, &next, now, err);
}

bool qr_remove(struct qr *q, uint64_t id, int64_t now, struct er_err *err)
{
    struct qr_members next = {0};
    for (uint32_t i = 0; i < q->members.n; i++) {
        if (q->members.m[i].id != id)
            next.m[next.n++] = q->members.m[i];
    }
    if (next.n == q->members.n)
        return er_set(err, ER_BAD_INPUT, "no such member");
    return change_members(q, &next, now, err);
}

void qr_hand_over(struct qr *q, int64_t now)
{
    if (q->role != QR_LEADER)
        return;
    const struct peer *best = NULL;
    for (int i = 0; i < q->n_peers; i++) {
        const struct peer *p = &q->peers[i];
        if (qr_is_voter(q, p->id) && (!best || p->match > best->match))
            best = p;
    }
    if (!best || best->match < last_index(q))
        return;
    struct qr_msg m = {.type = QR_TIMEOUT_NOW, .to = best->id};
    send(q, &m);
    become_follower(q, q->term, 0, now);
}

void qr_compact(struct qr *q, uint64_t index, const char *data, uint32_t len)
{
    uint64_t term;
    if (index <= q->snap_index || index > q->applied || !term_at(q, index, &term))
        return;
    struct qr_members at = q->snap_members;
    uint32_t drop = (uint32_t)(index - q->snap_index);
    for (uint32_t i = 0; i < drop; i++) {
        if (q->log[i].type == QR_MEMBERS)
            memcpy(&at, q->log[i].data, sizeof(at));
        free(q->log[i].data);
    }
    memmove(q->log, q->log + drop, sizeof(*q->log) * (q->n - drop));
    q->n -= drop;
    q->snap_index = index;
    q->snap_term = term;
    q->snap_members = at;
    free(q->snap);
    q->snap = sr_alloc(len);
    if (len)
        memcpy(q->snap, data, len);
    q->snap_len = len;
    struct qr_persist p = {.snapshot = true,
                           .snap_index = index,
                           .snap_term = term,
                           .members = &q->snap_members,
                           .data = q->snap,
                           .len = len,
                           .n = q->n,
                           .entries = q->log};
    persist(q, &p);
}

/* ---- life and reading ---- */

struct qr *qr_create(const struct qr_config *cfg, const struct qr_restore *r, int64_t now)
{
    struct qr *q = sr_alloc(sizeof(*q));
    q->cfg = *cfg;
    q->rng = rn_seed(cfg->seed ^ cfg->self);
    q->term = r->term;
    q->vote = r->vote;
    q->snap_index = r->snap_index;
    q->snap_term = r->snap_term;
    q->snap_members = r->members;
    q->snap = sr_alloc(r->snap_len);
    if (r->snap_len)
        memcpy(q->snap, r->snap, r->snap_len);
    q->snap_len = r->snap_len;
    for (uint32_t i = 0; i < r->n; i++)
        push_entry(q, &r->entries[i]);
    refresh_members(q);
    q->commit = q->applied = r->snap_index;
    q->durable = last_index(q);
    reset_timer(q, now);
    return q;
}

void qr_destroy(struct qr *q)
{
    for (uint32_t i = 0; i < q->n; i++)
        free(q->log[i].data);
    free(q->log);
    free(q->snap);
    free(q);
}

enum qr_role qr_role(const struct qr *q)
{
    return q->role;
}

uint64_t qr_term(const struct qr *q)
{
    return q->term;
}

uint64_t qr_leader(const struct qr *q)
{
    return q->leader;
}

uint64_t qr_commit(const struct qr *q)
{
    return q->commit;
}

uint64_t qr_last(const struct qr *q)
{
    return last_index(q);
}

uint64_t qr_first(const struct qr *q)
{
    return q->snap_index + 1;
}

const struct qr_members *qr_members(const struct qr *q)
{
    return &q->members;
}

uint64_t qr_match(const struct qr *q, uint64_t id)
{
    if (id == q->cfg.self)
        return q->durable;
    for (int i = 0; i < q->n_peers; i++) {
        if (q->peers[i].id == id)
            return q->peers[i].match;
    }
    return 0;
}

int64_t qr_vouched_until(const struct qr *q)
{
    uint64_t t = 0;
    if (q->role != QR_LEADER || !term_at(q, q->commit, &t) || t != q->term)
        return 0;
    if (quorum_size(q) == 1)
        return INT64_MAX;
    int64_t heard = quorum_contact(q);
    return heard ? heard + q->cfg.election_us : 0;
}

int64_t qr_leader_since(const struct qr *q)
{
    return q->role == QR_LEADER ? q->leader_since : 0;
}

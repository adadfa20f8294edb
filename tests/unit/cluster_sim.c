#include "tests/unit/cluster_sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "misc/clock.h"
#include "misc/str.h"

enum { MAX_MSGS = 512, MAX_INDEX = 4096, MAX_TERM = 4096, ELECTION_MS = 24, BEAT_MS = 8 };

struct msg {
    struct qr_msg m;
    struct qr_entry *entries;
    struct qr_members members;
    char *data;
};

/* One write as the disk will hold it. */
struct pending {
    struct pending *next;
    struct qr_persist p;
    struct qr_entry *entries;
    struct qr_members members;
    char *data;
};

struct disk {
    uint64_t term, vote, snap_index, snap_term;
    struct qr_members members;
    char *snap;
    uint32_t snap_len, n;
    struct qr_entry *e;
    struct pending *head, **tail;
};

struct node {
    struct sim *sim;
    struct qr *q;
    struct disk d;
    bool up;
    uint64_t applied, hash;
    int island;
};

struct sim {
    const struct cs_options *o;
    struct cs_result *r;
    struct rn_rng rng;
    int64_t now;
    struct node n[CS_NODES];
    struct msg *net[MAX_MSGS];
    int n_net;
    uint64_t leader_of[MAX_TERM];
    uint64_t hash_at[MAX_INDEX];     /* of the state after each committed index; 0 unknown */
    uint64_t commit_term[MAX_INDEX]; /* a term by which the index was committed */
    uint64_t value;
};

static void broken(struct sim *s, const char *what, uint64_t a, uint64_t b)
{
    if (!s->r->ok)
        return;
    s->r->ok = false;
    snprintf(s->r->what, sizeof(s->r->what), "%s (%llu, %llu)", what, (unsigned long long)a,
             (unsigned long long)b);
}

static void trace(struct sim *s, const char *what, int node, uint64_t x)
{
    if (s->o->trace)
        printf("  step %d t=%lld ms %s node %d (%llu)\n", s->r->step,
               (long long)(s->now / 1000), what, node, (unsigned long long)x);
}

static struct qr_entry *copy_entries(const struct qr_entry *e, uint32_t n)
{
    struct qr_entry *c = sr_alloc(sizeof(*c) * (n + 1));
    for (uint32_t i = 0; i < n; i++) {
        c[i] = e[i];
        c[i].data = sr_alloc(e[i].len);
        if (e[i].len)
            memcpy(c[i].data, e[i].data, e[i].len);
    }
    return c;
}

static void free_entries(struct qr_entry *e, uint32_t n)
{
    for (uint32_t i = 0; e && i < n; i++)
        free(e[i].data);
    free(e);
}

static char *copy_data(const char *p, uint32_t n)
{
    char *c = sr_alloc(n);
    if (n)
        memcpy(c, p, n);
    return c;
}

/* ---- the core's actions ---- */

static void on_send(void *ud, const struct qr_msg *m)
{
    struct sim *s = ((struct node *)ud)->sim;
    if (s->n_net == MAX_MSGS)
        return;
    struct msg *x = sr_alloc(sizeof(*x));
    x->m = *m;
    x->entries = copy_entries(m->entries, m->n);
    x->m.entries = x->entries;
    if (m->members)
        x->members = *m->members;
    x->m.members = &x->members;
    x->data = copy_data(m->data, m->len);
    x->m.data = x->data;
    s->net[s->n_net++] = x;
}

static void on_persist(void *ud, const struct qr_persist *p)
{
    struct node *n = ud;
    struct pending *x = sr_alloc(sizeof(*x));
    x->p = *p;
    x->entries = copy_entries(p->entries, p->n);
    if (p->members)
        x->members = *p->members;
    x->data = copy_data(p->data, p->len);
    *n->d.tail = x;
    n->d.tail = &x->next;
}

static uint64_t mix(uint64_t h, const struct qr_entry *e)
{
    for (uint32_t i = 0; i < e->len; i++)
        h = (h ^ (unsigned char)e->data[i]) * 1099511628211ull;
    return (h ^ e->term ^ ((uint64_t)e->type << 32)) * 1099511628211ull + 1;
}

static void check_state(struct sim *s, uint64_t index, uint64_t hash)
{
    if (index >= MAX_INDEX)
        return;
    if (s->hash_at[index] && s->hash_at[index] != hash)
        broken(s, "two nodes committed different entries at one index", index, hash);
    s->hash_at[index] = hash;
    if (index > s->r->committed)
        s->r->committed = index;
}

static void on_apply(void *ud, const struct qr_entry *e)
{
    struct node *n = ud;
    if (e->index != n->applied + 1)
        broken(n->sim, "applied out of order", e->index, n->applied);
    n->applied = e->index;
    n->hash = mix(n->hash, e);
    if (n->q && e->index < MAX_INDEX && !n->sim->commit_term[e->index])
        n->sim->commit_term[e->index] = qr_term(n->q);
    check_state(n->sim, e->index, n->hash);
}

static void on_restore(void *ud, uint64_t index, const char *data, uint32_t len)
{
    struct node *n = ud;
    if (index < n->applied)
        broken(n->sim, "a snapshot took the state back", index, n->applied);
    if (len != sizeof(n->hash)) {
        broken(n->sim, "a snapshot of a wrong size", len, 0);
        return;
    }
    memcpy(&n->hash, data, sizeof(n->hash));
    n->applied = index;
    check_state(n->sim, index, n->hash);
    n->sim->r->snapshots++;
}

static void on_role(void *ud)
{
    struct node *n = ud;
    struct sim *s = n->sim;
    if (!n->q || qr_role(n->q) != QR_LEADER)
        return;
    uint64_t t = qr_term(n->q), id = (uint64_t)(n - s->n) + 1;
    s->r->elections++;
    if (t < MAX_TERM && s->leader_of[t] && s->leader_of[t] != id)
        broken(s, "two leaders in one term", t, id);
    if (t < MAX_TERM)
        s->leader_of[t] = id;
    for (uint64_t i = qr_last(n->q) + 1; i <= s->r->committed && i < MAX_INDEX; i++) {
        if (s->commit_term[i] && s->commit_term[i] < t)
            broken(s, "a leader without a committed entry", i, t);
    }
}

static const struct qr_sink sink = {on_send, on_persist, on_apply, on_restore, on_role};

/* ---- disks ---- */

static void drop_from(struct disk *d, uint64_t index)
{
    while (d->n > 0 && d->e[d->n - 1].index >= index)
        free(d->e[--d->n].data);
}

static void disk_add(struct disk *d, const struct qr_entry *e)
{
    if (e->index <= d->snap_index)
        return;
    drop_from(d, e->index);
    d->e = sr_realloc(d->e, sizeof(*d->e) * (d->n + 1));
    struct qr_entry *c = copy_entries(e, 1);
    d->e[d->n++] = c[0];
    free(c);
}

static void disk_write(struct disk *d, struct pending *x)
{
    d->term = x->p.term;
    d->vote = x->p.vote;
    if (x->p.truncate_from)
        drop_from(d, x->p.truncate_from);
    if (x->p.snapshot) {
        drop_from(d, 0);
        d->snap_index = x->p.snap_index;
        d->snap_term = x->p.snap_term;
        d->members = x->members;
        free(d->snap);
        d->snap = copy_data(x->data, x->p.len);
        d->snap_len = x->p.len;
    }
    for (uint32_t i = 0; i < x->p.n; i++)
        disk_add(d, &x->entries[i]);
}

static void pending_free(struct pending *x)
{
    free_entries(x->entries, x->p.n);
    free(x->data);
    free(x);
}

static void disk_sync(struct node *n)
{
    uint64_t seq = 0;
    while (n->d.head) {
        struct pending *x = n->d.head;
        n->d.head = x->next;
        disk_write(&n->d, x);
        seq = x->p.seq;
        pending_free(x);
    }
    n->d.tail = &n->d.head;
    if (seq && n->up)
        qr_persisted(n->q, seq, n->sim->now);
}

/* ---- nodes ---- */

static void boot(struct sim *s, int i)
{
    struct node *n = &s->n[i];
    struct qr_config cfg = {.self = (uint64_t)i + 1,
                            .election_us = CK_MS(ELECTION_MS),
                            .heartbeat_us = CK_MS(BEAT_MS),
                            .seed = rn_next(&s->rng),
                            .sink = &sink,
                            .ud = n};
    cfg.fault.commit_old_terms = s->o->commit_old_terms;
    cfg.fault.no_vote_check = s->o->no_vote_check;
    cfg.fault.ack_before_sync = s->o->ack_before_sync;
    cfg.fault.forget_vote = s->o->forget_vote || s->o->forget_vote_no_quiet;
    cfg.fault.no_quiet = s->o->no_quiet || s->o->forget_vote_no_quiet;
    cfg.fault.some_fresh = s->o->some_fresh;
    struct qr_restore r = {.term = n->d.term,
                           .vote = n->d.vote,
                           .snap_index = n->d.snap_index,
                           .snap_term = n->d.snap_term,
                           .members = n->d.members,
                           .snap = n->d.snap,
                           .snap_len = n->d.snap_len,
                           .entries = n->d.e,
                           .n = n->d.n};
    n->up = true;
    n->applied = n->d.snap_index;
    n->hash = 0;
    if (n->d.snap_len == sizeof(n->hash))
        memcpy(&n->hash, n->d.snap, sizeof(n->hash));
    n->q = qr_create(&cfg, &r, s->now);
}

static void crash(struct sim *s, int i)
{
    struct node *n = &s->n[i];
    trace(s, "crash", i, qr_last(n->q));
    s->r->crashes++;
    /* Some of what was not synced may have reached the disk all the same. */
    while (n->d.head && rn_below(&s->rng, 3) == 0) {
        struct pending *x = n->d.head;
        n->d.head = x->next;
        disk_write(&n->d, x);
        pending_free(x);
    }
    while (n->d.head) {
        struct pending *x = n->d.head;
        n->d.head = x->next;
        pending_free(x);
    }
    n->d.tail = &n->d.head;
    qr_destroy(n->q);
    n->q = NULL;
    n->up = false;
}

/* ---- the schedule ---- */

static void msg_free(struct msg *x)
{
    free_entries(x->entries, x->m.n);
    free(x->data);
    free(x);
}

static void deliver(struct sim *s)
{
    if (!s->n_net)
        return;
    int k = (int)rn_below(&s->rng, (uint64_t)s->n_net);
    struct msg *x = s->net[k];
    uint64_t fate = rn_below(&s->rng, 100);
    struct node *to = &s->n[x->m.to - 1], *from = &s->n[x->m.from - 1];
    bool reach = to->up && to->island == from->island && fate >= 4;
    if (reach)
        qr_receive(to->q, &x->m, s->now);
    if (fate >= 96)
        return; /* it stays and comes again */
    for (int i = 0; i < s->n_net; i++) {
        if (s->net[i] != x)
            continue;
        s->net[i] = s->net[--s->n_net];
        break;
    }
    msg_free(x);
}

static struct node *leader(struct sim *s)
{
    int first = (int)rn_below(&s->rng, CS_NODES);
    for (int k = 0; k < CS_NODES; k++) {
        struct node *n = &s->n[(first + k) % CS_NODES];
        if (n->up && qr_role(n->q) == QR_LEADER)
            return n;
    }
    return NULL;
}

static void propose(struct sim *s)
{
    struct node *n = leader(s);
    uint64_t at;
    struct er_err err = {0};
    char text[32];
    if (!n || s->r->committed > MAX_INDEX - 64)
        return;
    int len = snprintf(text, sizeof(text), "v%llu", (unsigned long long)++s->value);
    qr_propose(n->q, text, (uint32_t)len, s->now, &at, &err);
    trace(s, "propose", (int)(n - s->n), s->value);
}

static void change_members(struct sim *s)
{
    struct node *n = leader(s);
    struct er_err err = {0};
    if (!n || !s->o->members)
        return;
    uint64_t id = rn_below(&s->rng, CS_NODES) + 1;
    const struct qr_members *m = qr_members(n->q);
    int voters = 0;
    const struct qr_member *found = NULL;
    for (uint32_t i = 0; i < m->n; i++) {
        voters += m->m[i].voter;
        if (m->m[i].id == id)
            found = &m->m[i];
    }
    struct qr_member fresh = {.id = id};
    trace(s, "members", (int)(n - s->n), id);
    if (!found)
        qr_add_learner(n->q, &fresh, s->now, &err);
    else if (!found->voter)
        qr_promote_learner(n->q, id, s->now, &err);
    else if (voters > 2)
        qr_remove(n->q, id, s->now, &err);
}

static void hand_over(struct sim *s)
{
    struct node *n = leader(s);
    if (!n)
        return;
    trace(s, "hand over", (int)(n - s->n), 0);
    qr_transfer_leadership(n->q, s->now);
}

static void split(struct sim *s)
{
    bool heal = rn_below(&s->rng, 2) == 0;
    for (int i = 0; i < CS_NODES; i++)
        s->n[i].island = heal ? 0 : (int)rn_below(&s->rng, 2);
    trace(s, heal ? "heal" : "split", -1, 0);
}

static void toggle(struct sim *s)
{
    int i = (int)rn_below(&s->rng, CS_NODES);
    bool was_up = s->n[i].up;
    if (was_up)
        crash(s, i);
    if (!was_up || rn_below(&s->rng, 3) > 0)
        boot(s, i); /* most crashes are quick restarts */
}

/* Power comes back to all, or to all but a few; the others may be cut off from those. */
static void herd(struct sim *s)
{
    bool cut = rn_below(&s->rng, 2) == 0;
    for (int i = 0; i < CS_NODES; i++) {
        bool stays = rn_below(&s->rng, 8) == 0;
        s->n[i].island = cut && stays;
        if (stays)
            continue;
        if (s->n[i].up)
            crash(s, i);
        if (rn_below(&s->rng, 8) > 0)
            boot(s, i);
    }
}

static void tick_all(struct sim *s)
{
    s->now += CK_MS(1 + (int64_t)rn_below(&s->rng, 12));
    for (int i = 0; i < CS_NODES; i++) {
        if (s->n[i].up)
            qr_tick(s->n[i].q, s->now, s->now);
    }
}

static void compact(struct sim *s)
{
    struct node *n = &s->n[rn_below(&s->rng, CS_NODES)];
    if (n->up && n->applied > qr_first(n->q) + 2)
        qr_compact(n->q, n->applied, (const char *)&n->hash, sizeof(n->hash));
}

/* What a leader answers while it is vouched for must be the newest: nobody else leads by then.
 */
static void check_vouched(struct sim *s)
{
    int first = -1;
    for (int i = 0; i < CS_NODES; i++) {
        const struct node *n = &s->n[i];
        if (!n->up || s->now >= qr_sole_leader_until(n->q))
            continue;
        if (first >= 0)
            broken(s, "two leaders are vouched for at a time", (uint64_t)first, (uint64_t)i);
        first = i;
    }
}

static void one_step(struct sim *s)
{
    enum { HERD_EVERY = 150 };
    if (s->o->herd && rn_below(&s->rng, HERD_EVERY) == 0)
        herd(s);
    uint64_t d = rn_below(&s->rng, 1000);
    if (d < 150) {
        tick_all(s);
    } else if (d < 700) {
        for (uint64_t k = rn_below(&s->rng, 4) + 1; k > 0; k--)
            deliver(s);
    } else if (d < 900)
        disk_sync(&s->n[rn_below(&s->rng, CS_NODES)]);
    else if (d < 965)
        propose(s);
    else if (d < 978)
        toggle(s);
    else if (d < 983)
        split(s);
    else if (d < 986)
        hand_over(s);
    else if (d < 990)
        compact(s);
    else
        change_members(s);
}

static void end(struct sim *s)
{
    for (int i = 0; i < CS_NODES; i++) {
        struct node *n = &s->n[i];
        if (n->up)
            qr_destroy(n->q);
        while (n->d.head) {
            struct pending *x = n->d.head;
            n->d.head = x->next;
            pending_free(x);
        }
        drop_from(&n->d, 0);
        free(n->d.e);
        free(n->d.snap);
    }
    for (int i = 0; i < s->n_net; i++)
        msg_free(s->net[i]);
    free(s);
}

struct cs_result cs_explore(const struct cs_options *o)
{
    struct cs_result r = {.ok = true};
    struct sim *s = sr_alloc(sizeof(*s));
    struct qr_members first = {0};
    s->o = o;
    s->r = &r;
    s->rng = rn_seed(o->seed);
    s->now = CK_SEC(1);
    for (int i = 0; i < o->voters; i++)
        first.m[first.n++] = (struct qr_member){.id = (uint64_t)i + 1, .voter = true};
    for (int i = 0; i < CS_NODES; i++) {
        s->n[i].sim = s;
        s->n[i].d.tail = &s->n[i].d.head;
        if (i < o->voters)
            s->n[i].d.members = first;
        boot(s, i);
    }
    for (r.step = 0; r.step < o->steps && r.ok; r.step++) {
        one_step(s);
        check_vouched(s);
    }
    end(s);
    return r;
}

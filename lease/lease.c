#include "lease/lease.h"

#include <string.h>

static int64_t drift(int64_t us)
{
    return us * LS_DRIFT_PERMILLE / 1000;
}

uint64_t ls_renewal_sent(struct ls_holder *h, int64_t now)
{
    h->seq++;
    h->sent[h->seq % LS_MAX_OUTSTANDING] = now;
    return h->seq;
}

int64_t ls_renewal_sent_at(const struct ls_holder *h, uint64_t seq)
{
    bool known = seq > 0 && seq <= h->seq && seq + LS_MAX_OUTSTANDING > h->seq;
    return known ? h->sent[seq % LS_MAX_OUTSTANDING] : 0;
}

void ls_granted(struct ls_holder *h, uint64_t seq, int64_t duration_us)
{
    int64_t sent = ls_renewal_sent_at(h, seq);
    if (!sent)
        return;
    int64_t until = sent + duration_us - drift(duration_us);
    if (until > h->until)
        h->until = until;
}

void ls_grantor_begin(struct ls_grantor *g, int64_t lease_us, int64_t now, bool first)
{
    memset(g, 0, sizeof(*g));
    g->lease_us = lease_us;
    g->began_at = now;
    g->first_leader = first;
}

static struct ls_node *find(struct ls_grantor *g, uint64_t id)
{
    for (int i = 0; i < g->n; i++) {
        if (g->nodes[i].id == id)
            return &g->nodes[i];
    }
    return NULL;
}

/* A free slot: that of a node whose lease expired, or a new one. NULL if the table is full. */
static struct ls_node *free_slot(struct ls_grantor *g, int64_t now)
{
    for (int i = 0; i < g->n; i++) {
        if (g->nodes[i].until + drift(g->lease_us) <= now)
            return &g->nodes[i];
    }
    return g->n < LS_MAX_NODES ? &g->nodes[g->n++] : NULL;
}

int64_t ls_grant(struct ls_grantor *g, uint64_t id, int64_t confirmed_until, int64_t now)
{
    if (now >= confirmed_until)
        return 0;
    struct ls_node *n = find(g, id);
    if (!n) {
        n = free_slot(g, now);
        if (!n)
            return 0;
        *n = (struct ls_node){.id = id};
    }
    n->until = now + g->lease_us;
    return g->lease_us;
}

void ls_acked(struct ls_grantor *g, uint64_t id, uint64_t generation)
{
    struct ls_node *n = find(g, id);
    if (n && generation > n->acked)
        n->acked = generation;
}

void ls_released(struct ls_grantor *g, uint64_t id)
{
    struct ls_node *n = find(g, id);
    if (n)
        n->until = 0;
}

static bool live(const struct ls_grantor *g, const struct ls_node *n, int64_t now)
{
    return n->until && now < n->until + drift(g->lease_us);
}

bool ls_earlier_leases(const struct ls_grantor *g, int64_t now)
{
    return !g->first_leader && now < g->began_at + g->lease_us + drift(g->lease_us);
}

bool ls_known_applied(const struct ls_grantor *g, uint64_t generation, int64_t now)
{
    for (int i = 0; i < g->n; i++) {
        if (live(g, &g->nodes[i], now) && g->nodes[i].acked < generation)
            return false;
    }
    return true;
}

bool ls_all_applied(const struct ls_grantor *g, uint64_t generation, int64_t now)
{
    return !ls_earlier_leases(g, now) && ls_known_applied(g, generation, now);
}

int ls_count_live(const struct ls_grantor *g, uint64_t generation, int64_t now, int *have)
{
    int n = 0;
    *have = 0;
    for (int i = 0; i < g->n; i++) {
        if (!live(g, &g->nodes[i], now))
            continue;
        n++;
        *have += g->nodes[i].acked >= generation;
    }
    return n;
}

bool ls_node_live(const struct ls_grantor *g, uint64_t id, int64_t now)
{
    for (int i = 0; i < g->n; i++) {
        if (g->nodes[i].id == id)
            return live(g, &g->nodes[i], now);
    }
    return false;
}

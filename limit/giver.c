/* The permit allocator: the leader's side of limits. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "limit/limit.h"
#include "misc/str.h"

enum { INITIAL_CAPACITY = 16 };

/* The depth contains the whole burst and four fifths of the tolerance. The other fifth is for
 * operations that wait at a node before they reach an instance: this wait is
 * at most 70 % of their target latency, which is 0.2 s with the targets that users set, or 1/25
 * of the window. */
#define DEPTH_TOLERANCE_PART 0.8
/* If an account used so many permits for a whole window that no more than this part of the
 * depth was unused, the rest of the depth is added to the refill rate instead. The sum over a
 * window is the same, and an account that requests more than its rate for a long time is served
 * up to a third more. */
#define SCARCE_PART 0.25

/* Adds 10 %, because the clocks of VMs do not run at exactly the same speed. */
static int64_t with_drift(int64_t us)
{
    return us * 11 / 10;
}

void lm_begin(struct lm_allocator *g, const struct lm_tolerance *t, bool first, int64_t now)
{
    lm_free(g);
    g->tolerance = *t;
    g->leader_since = now;
    g->earlier_permits_until = first ? now : now + with_drift(LM_LIFE_US);
}

void lm_free(struct lm_allocator *g)
{
    for (int i = 0; i < g->n; i++)
        free(g->accounts[i].holders);
    free(g->accounts);
    free(g->leases);
    ix_free(&g->by_name);
    memset(g, 0, sizeof(*g));
}

static struct lm_account *find(const struct lm_allocator *g, const char *name)
{
    int i = ix_get(&g->by_name, name);
    return i == IX_NONE ? NULL : &g->accounts[i];
}

/* ---- leases ---- */

static struct lm_lease *lease_of(const struct lm_allocator *g, uint64_t node)
{
    for (int i = 0; i < g->n_leases; i++) {
        if (g->leases[i].node == node)
            return &g->leases[i];
    }
    return NULL;
}

/* Returns a slot for a new lease: the slot of an expired lease, if there is one. */
static struct lm_lease *alloc_lease(struct lm_allocator *g, int64_t now)
{
    for (int i = 0; i < g->n_leases; i++) {
        if (now >= g->leases[i].until)
            return &g->leases[i];
    }
    if (g->n_leases == g->cap_leases) {
        g->cap_leases = g->cap_leases ? g->cap_leases * 2 : INITIAL_CAPACITY;
        g->leases = sr_realloc(g->leases, sizeof(*g->leases) * (size_t)g->cap_leases);
    }
    return &g->leases[g->n_leases++];
}

void lm_renewed(struct lm_allocator *g, uint64_t node, bool stays, int64_t now)
{
    struct lm_lease *l = lease_of(g, node);
    if (!l)
        l = alloc_lease(g, now);
    *l = (struct lm_lease){node, stays ? now + with_drift(LM_LIFE_US) : now};
}

/* ---- the bucket ---- */

static double full_depth(const struct lm_allocator *g, const struct lm_account *a)
{
    const struct lm_tolerance *t = &g->tolerance;
    double tolerated = (a->rate * t->window_s + a->burst) * t->overrun + t->slack;
    return fmax(a->burst + tolerated * DEPTH_TOLERANCE_PART, 1);
}

static bool is_scarce(const struct lm_allocator *g, const struct lm_account *a, int64_t now)
{
    return (double)(now - a->last_plentiful) >= g->tolerance.window_s * 1e6;
}

/* Upper bound of the unused permits, in the bucket and outstanding. */
static double depth(const struct lm_allocator *g, const struct lm_account *a, int64_t now)
{
    return full_depth(g, a) * (is_scarce(g, a, now) ? SCARCE_PART : 1);
}

/* Permits per second. */
static double refill_rate(const struct lm_allocator *g, const struct lm_account *a, int64_t now)
{
    double more = full_depth(g, a) * (1 - SCARCE_PART) / g->tolerance.window_s;
    return a->rate + (is_scarce(g, a, now) ? more : 0);
}

/* Removes the holders whose lease has expired and returns the outstanding permits. */
static double outstanding_now(const struct lm_allocator *g, struct lm_account *a, int64_t now)
{
    double sum = 0;
    for (int i = 0; i < a->n; i++) {
        const struct lm_lease *l = lease_of(g, a->holders[i].node);
        if (!l || now >= l->until)
            a->holders[i--] = a->holders[--a->n];
        else
            sum += a->holders[i].outstanding;
    }
    return sum;
}

/* Upper bound of the unused permits of this leader, in the bucket and outstanding, while
 * permits of earlier leaders may be valid. The bound grows in proportion to the time of the
 * leadership, and over the lifetime of a permit it grows to the part of the depth that the
 * earlier permits leave. So the bounds of several leaders that share that time add up to no
 * more than that part. */
static double startup_bound(const struct lm_allocator *g, const struct lm_account *a,
                            int64_t now)
{
    double left = full_depth(g, a) * (1 - LM_OUT_PART);
    return left * (double)(now - g->leader_since) / (double)with_drift(LM_LIFE_US);
}

static double own_outstanding(const struct lm_account *a)
{
    double sum = 0;
    for (int i = 0; i < a->n; i++)
        sum += a->holders[i].own;
    return sum;
}

/* Returns how many permits the bucket may hold: an unused permit is either in the bucket or
 * outstanding, and both together are bounded. */
static double bucket_room(const struct lm_allocator *g, struct lm_account *a, double out,
                          int64_t now)
{
    double all = depth(g, a, a->at) - out;
    double startup =
        now < g->earlier_permits_until ? startup_bound(g, a, now) - own_outstanding(a) : all;
    return fmax(fmin(all, startup), 0);
}

/* Refills the bucket up to the time `now`. Returns the outstanding permits. */
static double refill(const struct lm_allocator *g, struct lm_account *a, int64_t now)
{
    double out = outstanding_now(g, a, now);
    double refilled = refill_rate(g, a, a->at) * (double)(now - a->at) / 1e6;
    bool scarce = is_scarce(g, a, a->at);
    a->level = fmin(bucket_room(g, a, out, now), a->level + refilled);
    a->at = now;
    /* An account whose permits are scarce stays so until its bucket is full. */
    double scarce_level = full_depth(g, a) * SCARCE_PART;
    bool plenty = scarce ? a->level + out >= scarce_level : a->level + out > scarce_level;
    if (plenty || now < g->earlier_permits_until)
        a->last_plentiful = now;
    return out;
}

void lm_set(struct lm_allocator *g, const char *name, double rate, double burst, int64_t now)
{
    struct lm_account *a = find(g, name);
    if (!a) {
        if (g->n == g->cap) {
            g->cap = g->cap ? g->cap * 2 : INITIAL_CAPACITY;
            g->accounts = sr_realloc(g->accounts, sizeof(*g->accounts) * (size_t)g->cap);
        }
        ix_set(&g->by_name, name, g->n);
        a = &g->accounts[g->n++];
        *a = (struct lm_account){.at = now, .last_plentiful = now};
        sr_copy(a->name, sizeof(a->name), sr_from(name));
    }
    refill(g, a, now);
    a->rate = rate;
    a->burst = burst;
    refill(g, a, now);
    a->set_since_sweep = true;
}

void lm_sweep(struct lm_allocator *g)
{
    for (int i = 0; i < g->n; i++) {
        struct lm_account *a = &g->accounts[i];
        if (a->set_since_sweep) {
            a->set_since_sweep = false;
            continue;
        }
        free(a->holders);
        ix_drop(&g->by_name, a->name);
        *a = g->accounts[--g->n];
        if (i < g->n)
            ix_set(&g->by_name, a->name, i);
        i--;
    }
}

/* ---- outstanding permits ---- */

double lm_out(const struct lm_allocator *g, const char *name, int64_t now)
{
    struct lm_account *a = find(g, name);
    return a ? outstanding_now(g, a, now) : 0;
}

static struct lm_holder *holder_of(struct lm_account *a, uint64_t node)
{
    for (int i = 0; i < a->n; i++) {
        if (a->holders[i].node == node)
            return &a->holders[i];
    }
    if (a->n == a->cap) {
        a->cap = a->cap ? a->cap * 2 : INITIAL_CAPACITY;
        a->holders = sr_realloc(a->holders, sizeof(*a->holders) * (size_t)a->cap);
    }
    a->holders[a->n] = (struct lm_holder){.node = node};
    return &a->holders[a->n++];
}

static void grant(struct lm_allocator *g, struct lm_account *a, struct lm_holder *h,
                  double outstanding, double need, uint64_t seq, int64_t now,
                  struct lm_grant *out)
{
    if (need < 1)
        return;
    double max_unused = depth(g, a, now);
    double more = floor(max_unused * LM_STOCK_PART - outstanding);
    if (more < 1 && outstanding + 1 <= max_unused * LM_OUT_PART)
        more = 1;
    double k = fmin(floor(need), fmin(floor(a->level), fmax(more, 0)));
    if (k >= 1) {
        a->level -= k;
        h->outstanding += k;
        h->own += now < g->earlier_permits_until ? k : 0;
        h->grant_seq = seq;
        out->given = (int)k;
    } else if (a->level < 1) {
        double per_s = refill_rate(g, a, now);
        out->over_us = per_s > 0 ? (int64_t)((1 - a->level) / per_s * 1e6) + 1 : CK_SEC(1);
    }
}

bool lm_handle_report(struct lm_allocator *g, const char *name, uint64_t node,
                      const struct lm_report *r, uint64_t applied_seq, uint64_t seq,
                      int64_t now, struct lm_grant *out)
{
    struct lm_account *a = find(g, name);
    *out = (struct lm_grant){0};
    if (!a)
        return false;
    /* Removes expired holders first, since that moves the others in the array. */
    outstanding_now(g, a, now);
    struct lm_holder *h = holder_of(a, node);
    /* Permits in a message that the node has not applied yet count as outstanding until
     * the node reports them. */
    if (applied_seq >= h->grant_seq || r->held > h->outstanding)
        h->outstanding = r->held;
    if (applied_seq >= h->grant_seq)
        h->own = fmin(h->own, r->held);
    a->level += r->returned;
    double outstanding = refill(g, a, now);
    grant(g, a, h, outstanding, r->want - h->outstanding, seq, now, out);
    return true;
}

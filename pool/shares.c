#include "pool/shares.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "misc/str.h"

/* Maximum interval between checks for expired leases. */
#define EXPIRY_CHECK_US CK_MS(500)

bool sh_name_in_renewal(int *left, uint32_t held, uint32_t want)
{
    if (held || want)
        *left = SH_NAMED_RENEWALS;
    if (*left == 0)
        return false;
    (*left)--;
    return true;
}

void sh_begin(struct sh_table *t, int64_t no_grants_until)
{
    sh_free(t);
    t->no_grants_until = no_grants_until;
}

void sh_free(struct sh_table *t)
{
    for (int i = 0; i < t->n; i++)
        free(t->inst[i].nodes);
    free(t->inst);
    ix_free(&t->by_id);
    memset(t, 0, sizeof(*t));
}

static struct sh_inst *find(struct sh_table *t, const char *id)
{
    if (t->last_found < t->n && strcmp(t->inst[t->last_found].id, id) == 0)
        return &t->inst[t->last_found];
    int i = ix_get(&t->by_id, id);
    if (i == IX_NONE)
        return NULL;
    t->last_found = i;
    return &t->inst[i];
}

void sh_set_instance(struct sh_table *t, const char *id, int limit, int reserve)
{
    struct sh_inst *in = find(t, id);
    if (!in) {
        if (t->n == t->cap) {
            t->cap = t->cap ? t->cap * 2 : 16;
            t->inst = sr_realloc(t->inst, sizeof(*t->inst) * (size_t)t->cap);
        }
        ix_set(&t->by_id, id, t->n);
        in = &t->inst[t->n++];
        memset(in, 0, sizeof(*in));
        sr_copy(in->id, sizeof(in->id), sr_from(id));
    }
    in->limit = limit;
    in->reserve = reserve;
}

void sh_drop_instance(struct sh_table *t, const char *id)
{
    struct sh_inst *in = find(t, id);
    if (!in)
        return;
    free(in->nodes);
    ix_drop(&t->by_id, id);
    *in = t->inst[--t->n];
    if (in != &t->inst[t->n])
        ix_set(&t->by_id, in->id, (int)(in - t->inst));
}

static struct sh_node *find_node(struct sh_inst *in, uint64_t id, bool create)
{
    for (int i = 0; i < in->n; i++) {
        if (in->nodes[i].id == id)
            return &in->nodes[i];
    }
    if (!create)
        return NULL;
    if (in->n == in->cap) {
        in->cap = in->cap ? in->cap * 2 : 16;
        in->nodes = sr_realloc(in->nodes, sizeof(*in->nodes) * (size_t)in->cap);
    }
    struct sh_node *n = &in->nodes[in->n++];
    *n = (struct sh_node){.id = id};
    return n;
}

static int sum_counted(const struct sh_inst *in)
{
    int s = 0;
    for (int i = 0; i < in->n; i++)
        s += in->nodes[i].counted;
    return s;
}

int sh_counted(const struct sh_table *t, const char *inst)
{
    int i = ix_get(&t->by_id, inst);
    return i == IX_NONE ? 0 : sum_counted(&t->inst[i]);
}

bool sh_report(struct sh_table *t, const char *inst, uint64_t node, int held, int want,
               uint64_t seq, int64_t until, int64_t now)
{
    struct sh_inst *in = find(t, inst);
    if (!in)
        return false;
    struct sh_node *n = find_node(in, node, true);
    int counted = n->counted;
    bool may_change = n->lease_until == 0 || n->want != want || now >= in->next_expiry;
    n->lease_until = until;
    n->want = want;
    if (held > n->counted) {
        /* It holds a share assigned by an earlier leader, or sent to it since. */
        n->counted = held;
        if (now < t->no_grants_until)
            n->target = held;
    }
    if (seq >= n->sent_seq && held == 0 && want == 0)
        n->target = 0; /* it uses the instance no more: its share is free at once */
    if (seq >= n->sent_seq)
        n->counted = held > n->target ? held : n->target;
    return may_change || n->counted != counted || n->counted < want;
}

/* Nodes whose lease expired keep one connection for a while, then none. */
static void expire(struct sh_inst *in, int64_t forget_us, int64_t now)
{
    for (int i = 0; i < in->n; i++) {
        struct sh_node *n = &in->nodes[i];
        if (now < n->lease_until)
            continue;
        if (now >= n->lease_until + forget_us) {
            *n = in->nodes[--in->n];
            i--;
            continue;
        }
        n->counted = n->counted > 0 ? 1 : 0;
        n->target = n->counted;
        n->want = 0;
    }
}

/* Max-min fairness: every node gets up to the water level, and none more than it wants. */
static int water_level(const struct sh_inst *in, int64_t now, int room, int *left)
{
    int level = 0;
    *left = room;
    for (;;) {
        int need = 0;
        bool more = false;
        for (int i = 0; i < in->n; i++) {
            const struct sh_node *n = &in->nodes[i];
            if (now >= n->lease_until)
                continue;
            int want = n->want;
            need += want < level + 1 ? want : level + 1;
            more = more || want > level;
        }
        if (!more || need > room)
            return level;
        *left = room - need;
        level++;
    }
}

/* Connections left above the water level are assigned one by one, first to nodes that already
 * hold one more than the level, to avoid needless moves. */
static void distribute_remainder(struct sh_inst *in, int64_t now, int level, int room)
{
    for (int held = 1; held >= 0 && room > 0; held--) {
        for (int i = 0; i < in->n && room > 0; i++) {
            struct sh_node *n = &in->nodes[i];
            bool takes = now < n->lease_until && !n->gets_extra && n->want > level;
            if (!takes || (held && n->counted <= level))
                continue;
            n->gets_extra = true;
            room--;
        }
    }
}

bool sh_balance(struct sh_table *t, const char *inst, int64_t now)
{
    struct sh_inst *in = find(t, inst);
    if (!in || now < t->no_grants_until)
        return false;
    expire(in, t->forget_us ? t->forget_us : SH_FORGET_US, now);
    in->next_expiry = now + EXPIRY_CHECK_US;
    int room = in->limit - in->reserve;
    for (int i = 0; i < in->n; i++) {
        if (now >= in->nodes[i].lease_until)
            room -= in->nodes[i].counted;
    }
    int left, level = water_level(in, now, room, &left);
    int unassigned = in->limit - in->reserve - sum_counted(in);
    distribute_remainder(in, now, level, left);
    bool changed = false;
    for (int i = 0; i < in->n; i++) {
        struct sh_node *n = &in->nodes[i];
        if (now >= n->lease_until)
            continue;
        int want = n->want;
        int next = want < level + n->gets_extra ? want : level + n->gets_extra;
        n->gets_extra = false;
        /* A share grows only by connections that no node may hold now; shrinking is requested
         * at once. */
        int grow = next - n->counted;
        if (grow > unassigned)
            next = n->counted + (unassigned > 0 ? unassigned : 0);
        if (next > n->counted) {
            unassigned -= next - n->counted;
            n->counted = next;
        }
        changed = changed || next != n->target;
        if (next != n->target)
            n->sent_seq = UINT64_MAX; /* unconfirmed until it has been sent */
        n->target = next;
    }
    assert(sum_counted(in) <= in->limit - in->reserve || unassigned < 0);
    return changed;
}

bool sh_has_unsent_target(struct sh_table *t, const char *inst, uint64_t node)
{
    struct sh_inst *in = find(t, inst);
    const struct sh_node *n = in ? find_node(in, node, false) : NULL;
    return n && n->sent_seq == UINT64_MAX;
}

int sh_target_to_send(struct sh_table *t, const char *inst, uint64_t node, uint64_t seq)
{
    struct sh_inst *in = find(t, inst);
    struct sh_node *n = in ? find_node(in, node, false) : NULL;
    if (!n)
        return 0;
    if (n->sent_seq == UINT64_MAX)
        n->sent_seq = seq;
    return n->target;
}

#include "route/nodelist.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "misc/str.h"

static int by_name(const void *a, const void *b)
{
    return strcmp(((const struct ho_node *)a)->name, ((const struct ho_node *)b)->name);
}

static uint64_t hash_text(const char *text, uint64_t seed)
{
    return XXH64(text, strlen(text) + 1, seed);
}

/* The sum of the nodes' hashes, so that a list's hash does not depend on the order. */
static uint64_t hash_of(const struct ho_node *nodes, int n)
{
    uint64_t h = NL_EMPTY;
    for (int i = 0; i < n; i++) {
        const struct ho_node *x = &nodes[i];
        uint64_t seed = (uint64_t)x->port | (uint64_t)x->carries << 16;
        h += hash_text(x->name, hash_text(x->domain, hash_text(x->ip, seed)));
    }
    return h ? h : NL_EMPTY;
}

uint64_t nl_sort(struct ho_node *nodes, int n)
{
    qsort(nodes, (size_t)n, sizeof(*nodes), by_name);
    return hash_of(nodes, n);
}

/* ---- the leader's side ---- */

const struct nl_list *nl_newest(const struct nl_history *b)
{
    return b->n ? &b->kept[(b->n - 1) % NL_KEPT] : NULL;
}

bool nl_record(struct nl_history *b, const struct ho_node *nodes, int n, uint64_t hash)
{
    const struct nl_list *newest = nl_newest(b);
    if (newest && newest->hash == hash)
        return false;
    struct nl_list *l = &b->kept[b->n++ % NL_KEPT];
    l->nodes = sr_realloc(l->nodes, sizeof(*nodes) * (size_t)(n + 1));
    sr_move(l->nodes, nodes, sizeof(*nodes) * (size_t)n);
    l->n = n;
    l->hash = hash;
    return true;
}

static const struct nl_list *find_kept(const struct nl_history *b, uint64_t hash)
{
    for (int i = 0; hash > NL_EMPTY && i < NL_KEPT; i++) {
        if (b->kept[i].hash == hash)
            return &b->kept[i];
    }
    return NULL;
}

static bool same_entry(const struct ho_node *a, const struct ho_node *b)
{
    return strcmp(a->domain, b->domain) == 0 && strcmp(a->ip, b->ip) == 0 &&
           a->port == b->port && a->carries == b->carries;
}

static void set_whole_list(const struct nl_list *to, struct nl_change *out)
{
    out->from = 0;
    out->n_removed = 0;
    out->n_added = to->n;
    for (int i = 0; i < to->n; i++)
        out->added[i] = &to->nodes[i];
}

static void diff_lists(const struct nl_list *from, const struct nl_list *to,
                       struct nl_change *out)
{
    int a = 0, b = 0;
    while (a < from->n || b < to->n) {
        const struct ho_node *x = a < from->n ? &from->nodes[a] : NULL;
        const struct ho_node *y = b < to->n ? &to->nodes[b] : NULL;
        int order = !x ? 1 : !y ? -1 : strcmp(x->name, y->name);
        if (order == 0 && same_entry(x, y)) {
            a++;
            b++;
            continue;
        }
        if (order <= 0) {
            out->removed[out->n_removed++] = x->name;
            a++;
        }
        if (order >= 0) {
            out->added[out->n_added++] = y;
            b++;
        }
    }
}

void nl_since(const struct nl_history *b, uint64_t has, struct nl_change *out)
{
    const struct nl_list *to = nl_newest(b), *from = find_kept(b, has);
    *out = (struct nl_change){.from = has, .to = to ? to->hash : 0};
    if (!to)
        return;
    if (from)
        diff_lists(from, to, out);
    if (!from || out->n_added + out->n_removed > to->n)
        set_whole_list(to, out);
}

void nl_free(struct nl_history *b)
{
    for (int i = 0; i < NL_KEPT; i++)
        free(b->kept[i].nodes);
    *b = (struct nl_history){0};
}

/* ---- a node's side ---- */

static int find(const struct ho_node *nodes, int n, const char *name)
{
    for (int i = 0; i < n; i++) {
        if (strcmp(nodes[i].name, name) == 0)
            return i;
    }
    return -1;
}

bool nl_apply(struct ho_node *nodes, int *n, uint64_t *hash, const struct nl_change *c)
{
    if (c->from && c->from != *hash)
        return false;
    if (!c->from)
        *n = 0;
    for (int i = 0; i < c->n_removed; i++) {
        int at = find(nodes, *n, c->removed[i]);
        if (at >= 0)
            nodes[at] = nodes[--*n];
    }
    for (int i = 0; i < c->n_added && *n < HO_MAX_NODES; i++)
        nodes[(*n)++] = *c->added[i];
    *hash = nl_sort(nodes, *n);
    if (c->to && *hash != c->to)
        *hash = NL_EMPTY;
    return true;
}

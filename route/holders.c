#include "route/holders.h"

#include <string.h>

#include <xxhash.h>

struct domains {
    const char *name[HO_DOMAINS];
    int picked[HO_DOMAINS];
    int n;
};

static uint64_t score(const struct ho_node *node, const char *group)
{
    uint64_t h = XXH64(node->name, strlen(node->name), 0);
    return XXH64(group, strlen(group), h);
}

static int *picked_in(struct domains *d, const char *name)
{
    for (int i = 0; i < d->n; i++) {
        if (strcmp(d->name[i], name) == 0)
            return &d->picked[i];
    }
    if (d->n == HO_DOMAINS)
        return &d->picked[HO_DOMAINS - 1];
    d->name[d->n] = name;
    d->picked[d->n] = 0;
    return &d->picked[d->n++];
}

static bool taken(const int *out, int n, int i)
{
    for (int k = 0; k < n; k++) {
        if (out[k] == i)
            return true;
    }
    return false;
}

/* Fewest picked in its failure domain first, then the highest score. */
static int next_holder(const struct ho_node *nodes, int n, const char *group, struct domains *d,
                       const int *out, int n_out)
{
    int best = -1, best_picked = 0;
    uint64_t best_score = 0;
    for (int i = 0; i < n; i++) {
        if (taken(out, n_out, i))
            continue;
        int picked = *picked_in(d, nodes[i].domain);
        uint64_t s = score(&nodes[i], group);
        if (best >= 0 && (picked > best_picked || (picked == best_picked && s <= best_score)))
            continue;
        best = i;
        best_picked = picked;
        best_score = s;
    }
    return best;
}

int ho_pick(const struct ho_node *nodes, int n, const char *group, int k, int *out)
{
    struct domains d = {0};
    int n_out = 0;
    if (k > HO_MAX_HOLDERS)
        k = HO_MAX_HOLDERS;
    while (n_out < k && n_out < n) {
        int i = next_holder(nodes, n, group, &d, out, n_out);
        (*picked_in(&d, nodes[i].domain))++;
        out[n_out++] = i;
    }
    return n_out;
}

bool ho_holds(const struct ho_node *nodes, int n, const char *group, int k, const char *self)
{
    int out[HO_MAX_HOLDERS];
    if (k <= 0 || n <= k)
        return true;
    int m = ho_pick(nodes, n, group, k, out);
    for (int i = 0; i < m; i++) {
        if (strcmp(nodes[out[i]].name, self) == 0)
            return true;
    }
    return false;
}

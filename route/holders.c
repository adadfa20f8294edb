#include "route/holders.h"

#include <string.h>

#include <xxhash.h>

enum {
    STRONG_FRACTION = 4
}; /* a strong node can carry at least 1/STRONG_FRACTION of the strongest one */

static void mark_strong(struct ho_node *nodes, int n)
{
    int max_capacity = 0;
    for (int i = 0; i < n; i++)
        max_capacity = nodes[i].carries > max_capacity ? nodes[i].carries : max_capacity;
    for (int i = 0; i < n; i++)
        nodes[i].strong = (int64_t)nodes[i].carries * STRONG_FRACTION >= max_capacity;
}

int ho_count_strong(const struct ho_node *nodes, int n, int64_t *carry)
{
    int k = 0;
    *carry = 0;
    for (int i = 0; i < n; i++) {
        k += nodes[i].strong;
        *carry += nodes[i].strong ? nodes[i].carries : 0;
    }
    return k;
}

int ho_count_domains_without_strong(const struct ho_node *nodes, int n)
{
    bool has_node[HO_DOMAINS] = {0}, has_strong[HO_DOMAINS] = {0};
    int k = 0;
    for (int i = 0; i < n; i++) {
        has_node[nodes[i].domain_index] = true;
        has_strong[nodes[i].domain_index] |= nodes[i].strong;
    }
    for (int d = 0; d < HO_DOMAINS; d++)
        k += has_node[d] && !has_strong[d];
    return k;
}

void ho_prepare(struct ho_node *nodes, int n)
{
    const char *names[HO_DOMAINS];
    int n_names = 0;
    for (int i = 0; i < n; i++) {
        struct ho_node *x = &nodes[i];
        x->hash = XXH64(x->name, strlen(x->name), 0);
        x->domain_index = 0;
        while (x->domain_index < n_names && strcmp(names[x->domain_index], x->domain) != 0)
            x->domain_index++;
        if (x->domain_index == HO_DOMAINS)
            x->domain_index--; /* the last index is shared by all further domains */
        else if (x->domain_index == n_names)
            names[n_names++] = x->domain;
    }
    mark_strong(nodes, n);
}

static bool is_picked(const int *out, int n, int i)
{
    for (int k = 0; k < n; k++) {
        if (out[k] == i)
            return true;
    }
    return false;
}

/* Whether node i ranks before node b: a node of a failure domain without a holder ranks first,
 * then strong nodes, then nodes of the failure domain with fewest holders, then the higher
 * score. */
static bool ranks_before(const struct ho_node *nodes, const uint64_t *score, const int *picked,
                         int i, int b)
{
    int here = picked[nodes[i].domain_index], there = picked[nodes[b].domain_index];
    if ((here == 0) != (there == 0))
        return here == 0;
    if (nodes[i].strong != nodes[b].strong)
        return nodes[i].strong;
    return here != there ? here < there : score[i] > score[b];
}

static int next_holder(const struct ho_node *nodes, const uint64_t *score, int n,
                       const int *picked, const int *out, int n_out)
{
    int best = -1;
    for (int i = 0; i < n; i++) {
        bool better = best < 0 || ranks_before(nodes, score, picked, i, best);
        if (better && !is_picked(out, n_out, i))
            best = i;
    }
    return best;
}

int ho_pick(const struct ho_node *nodes, int n, const char *group, int k, int *out)
{
    uint64_t score[HO_MAX_NODES];
    int picked[HO_DOMAINS] = {0}, n_out = 0;
    size_t len = strlen(group);
    for (int i = 0; i < n; i++)
        score[i] = XXH64(group, len, nodes[i].hash);
    if (k > HO_MAX_HOLDERS)
        k = HO_MAX_HOLDERS;
    while (n_out < k && n_out < n) {
        int i = next_holder(nodes, score, n, picked, out, n_out);
        picked[nodes[i].domain_index]++;
        out[n_out++] = i;
    }
    return n_out;
}

void ho_order(const struct ho_node *nodes, const uint16_t *holders, int n, const char *group,
              const char *account, int *order)
{
    uint64_t score[HO_MAX_HOLDERS];
    uint64_t seed = XXH64(group, strlen(group), 0);
    size_t len = strlen(account);
    for (int i = 0; i < n; i++) {
        int at = i;
        score[i] = XXH64(account, len, seed ^ nodes[holders[i]].hash);
        for (; at > 0 && score[order[at - 1]] < score[i]; at--)
            order[at] = order[at - 1];
        order[at] = i;
    }
}

bool ho_is_holder(const struct ho_node *nodes, int n, const char *group, int k,
                  const char *self)
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

#include "route/holders.h"

#include <string.h>

#include <xxhash.h>

void ho_prepare(struct ho_node *nodes, int n)
{
    const char *names[HO_DOMAINS];
    int n_names = 0;
    for (int i = 0; i < n; i++) {
        struct ho_node *x = &nodes[i];
        x->hash = XXH64(x->name, strlen(x->name), 0);
        x->place = 0;
        while (x->place < n_names && strcmp(names[x->place], x->domain) != 0)
            x->place++;
        if (x->place == HO_DOMAINS)
            x->place--; /* the last stands for all that are over */
        else if (x->place == n_names)
            names[n_names++] = x->domain;
    }
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
static int next_holder(const struct ho_node *nodes, const uint64_t *score, int n,
                       const int *picked, const int *out, int n_out)
{
    int best = -1;
    for (int i = 0; i < n; i++) {
        int here = picked[nodes[i].place];
        int most = best >= 0 ? picked[nodes[best].place] : 0;
        if (best >= 0 && (here > most || (here == most && score[i] <= score[best])))
            continue;
        if (!taken(out, n_out, i))
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
        picked[nodes[i].place]++;
        out[n_out++] = i;
    }
    return n_out;
}

int ho_for_account(const struct ho_node *nodes, const uint16_t *holders, int n,
                   const char *account, int nth)
{
    uint64_t score[HO_MAX_HOLDERS];
    size_t len = strlen(account);
    for (int i = 0; i < n; i++)
        score[i] = XXH64(account, len, nodes[holders[i]].hash);
    for (int i = 0; i < n; i++) {
        int better = 0;
        for (int k = 0; k < n; k++)
            better += score[k] > score[i] || (k < i && score[k] == score[i]);
        if (better == nth)
            return holders[i];
    }
    return -1;
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

#include "route/placement.h"

#include <stdlib.h>
#include <string.h>

#include "misc/str.h"

/* A holder is filled up to this multiple of its proportional part before an account is placed
 * on the next one: enough room that few accounts move when a holder is lost, and little enough
 * that the busiest holder has half of its capacity left for bursts. */
#define MAX_FILL 1.35

struct holder_load {
    double placed[HO_MAX_HOLDERS]; /* size of the accounts placed so far */
    double capacity[HO_MAX_HOLDERS];
    double max_part; /* accounts are divided into parts that are at most this large */
};

struct by_size {
    double size;
    const char *name;
    int index;
};

static int larger_first(const void *a, const void *b)
{
    const struct by_size *x = a, *y = b;
    if (x->size != y->size)
        return x->size < y->size ? 1 : -1;
    return strcmp(x->name, y->name);
}

/* The size assumed for accounts without a declared one: the mean of the declared sizes, or 1 if
 * there are none. */
static double default_size(const struct pl_account *a, int n)
{
    double sum = 0;
    int n_declared = 0;
    for (int i = 0; i < n; i++) {
        n_declared += a[i].size > 0;
        sum += a[i].size > 0 ? a[i].size : 0;
    }
    return n_declared ? sum / n_declared : 1;
}

static struct by_size *sort_accounts(const struct pl_account *a, int n, double *total)
{
    struct by_size *s = sr_alloc(sizeof(*s) * (size_t)(n + 1));
    double unknown = default_size(a, n);
    *total = 0;
    for (int i = 0; i < n; i++) {
        s[i] = (struct by_size){a[i].size > 0 ? a[i].size : unknown, a[i].name, i};
        *total += s[i].size;
    }
    qsort(s, (size_t)n, sizeof(*s), larger_first);
    return s;
}

/* In proportion to the holders' capacities; equal if one of them is unknown. */
static void set_capacities(struct holder_load *l, const struct ho_node *nodes,
                           const uint16_t *holders, int n, double total)
{
    double sum = 0;
    bool all_known = true;
    for (int i = 0; i < n; i++) {
        all_known = all_known && nodes[holders[i]].carries > 0;
        sum += nodes[holders[i]].carries;
    }
    for (int i = 0; i < n; i++) {
        double share = all_known ? nodes[holders[i]].carries / sum : 1.0 / n;
        l->capacity[i] = total * share * MAX_FILL;
    }
    l->max_part = total / n;
}

static bool has_holder(const struct pl_placement *p, int holder)
{
    for (int i = 0; i < p->n; i++) {
        if (p->holder[i] == holder)
            return true;
    }
    return false;
}

/* The first holder in the account's order with room for the part; if none has, the one that the
 * part would fill least. */
static int choose_holder(const struct holder_load *l, const int *order, int n,
                         const struct pl_placement *p, double size)
{
    int least_loaded = -1;
    double least_fill = 0;
    for (int k = 0; k < n; k++) {
        int h = order[k];
        if (has_holder(p, h))
            continue;
        double fill = (l->placed[h] + size) / l->capacity[h];
        if (fill <= 1)
            return h;
        if (least_loaded < 0 || fill < least_fill) {
            least_loaded = h;
            least_fill = fill;
        }
    }
    return least_loaded;
}

static int count_parts(double size, const struct holder_load *l, int n_holders)
{
    int most = n_holders < PL_MAX_PARTS ? n_holders : PL_MAX_PARTS, k = 1;
    while (k < most && size / k > l->max_part)
        k++;
    return k;
}

void pl_place_accounts(const struct pl_account *accounts, int n, const struct ho_node *nodes,
                       const uint16_t *holders, int n_holders, const char *group,
                       struct pl_placement *out)
{
    double total;
    struct holder_load l = {0};
    struct by_size *s = sort_accounts(accounts, n, &total);
    set_capacities(&l, nodes, holders, n_holders, total);
    for (int i = 0; i < n; i++) {
        int order[HO_MAX_HOLDERS], parts = count_parts(s[i].size, &l, n_holders);
        struct pl_placement *p = &out[s[i].index];
        *p = (struct pl_placement){0};
        ho_order(nodes, holders, n_holders, group, s[i].name, order);
        while (p->n < parts) {
            int h = choose_holder(&l, order, n_holders, p, s[i].size / parts);
            l.placed[h] += s[i].size / parts;
            p->holder[p->n++] = (uint8_t)h;
        }
    }
    free(s);
}

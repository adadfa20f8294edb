#include "route/spread.h"

#include <stdlib.h>
#include <string.h>

#include "misc/str.h"

/* So far above its even part a holder is filled before an account goes to the next one: room
 * enough that few accounts move when a holder is lost, and little enough that the busiest
 * holder has half of its capacity left for bursts. */
#define FULL_AT 1.35

struct load {
    double had[HO_MAX_HOLDERS]; /* of accounts placed so far */
    double cap[HO_MAX_HOLDERS];
    double part; /* an account is divided into parts no larger than this */
};

struct by_size {
    double size;
    const char *name;
    int at;
};

static int larger_first(const void *a, const void *b)
{
    const struct by_size *x = a, *y = b;
    if (x->size != y->size)
        return x->size < y->size ? 1 : -1;
    return strcmp(x->name, y->name);
}

/* What is not told counts as the mean of what is, or all as alike. */
static double unknown_size(const struct sp_account *a, int n)
{
    double sum = 0;
    int told = 0;
    for (int i = 0; i < n; i++) {
        told += a[i].size > 0;
        sum += a[i].size > 0 ? a[i].size : 0;
    }
    return told ? sum / told : 1;
}

static struct by_size *sorted(const struct sp_account *a, int n, double *total)
{
    struct by_size *s = sr_alloc(sizeof(*s) * (size_t)(n + 1));
    double unknown = unknown_size(a, n);
    *total = 0;
    for (int i = 0; i < n; i++) {
        s[i] = (struct by_size){a[i].size > 0 ? a[i].size : unknown, a[i].name, i};
        *total += s[i].size;
    }
    qsort(s, (size_t)n, sizeof(*s), larger_first);
    return s;
}

/* In proportion to what the holders carry; alike if that is not told of all. */
static void set_caps(struct load *l, const struct ho_node *nodes, const uint16_t *holders,
                     int n, double total)
{
    double sum = 0;
    bool told = true;
    for (int i = 0; i < n; i++) {
        told = told && nodes[holders[i]].carries > 0;
        sum += nodes[holders[i]].carries;
    }
    for (int i = 0; i < n; i++) {
        double share = told ? nodes[holders[i]].carries / sum : 1.0 / n;
        l->cap[i] = total * share * FULL_AT;
    }
    l->part = total / n;
}

static bool has(const struct sp_place *p, int holder)
{
    for (int i = 0; i < p->n; i++) {
        if (p->at[i] == holder)
            return true;
    }
    return false;
}

/* The first in its order that has room for the part; if none has, the one that is least over
 * its room with it. */
static int choose(const struct load *l, const int *order, int n, const struct sp_place *p,
                  double size)
{
    int least = -1;
    double least_over = 0;
    for (int k = 0; k < n; k++) {
        int h = order[k];
        if (has(p, h))
            continue;
        double over = (l->had[h] + size) / l->cap[h];
        if (over <= 1)
            return h;
        if (least < 0 || over < least_over) {
            least = h;
            least_over = over;
        }
    }
    return least;
}

static int parts_of(double size, const struct load *l, int n_holders)
{
    int most = n_holders < SP_PARTS ? n_holders : SP_PARTS, k = 1;
    while (k < most && size / k > l->part)
        k++;
    return k;
}

void sp_place(const struct sp_account *accounts, int n, const struct ho_node *nodes,
              const uint16_t *holders, int n_holders, const char *group, struct sp_place *out)
{
    double total;
    struct load l = {0};
    struct by_size *s = sorted(accounts, n, &total);
    set_caps(&l, nodes, holders, n_holders, total);
    for (int i = 0; i < n; i++) {
        int order[HO_MAX_HOLDERS], parts = parts_of(s[i].size, &l, n_holders);
        struct sp_place *p = &out[s[i].at];
        *p = (struct sp_place){0};
        ho_order(nodes, holders, n_holders, group, s[i].name, order);
        while (p->n < parts) {
            int h = choose(&l, order, n_holders, p, s[i].size / parts);
            l.had[h] += s[i].size / parts;
            p->at[p->n++] = (uint8_t)h;
        }
    }
    free(s);
}

#include "catalog/order.h"

#include <stdlib.h>

#include "misc/str.h"

void od_begin(struct od_order *o, int n)
{
    *o = (struct od_order){.n = n, .width = 1};
    o->from = sr_alloc(sizeof(*o->from) * (size_t)(n + 1));
    o->to = sr_alloc(sizeof(*o->to) * (size_t)(n + 1));
    for (int i = 0; i < n; i++)
        o->from[i] = i;
}

static int clamp_index(const struct od_order *o, int i)
{
    return i < o->n ? i : o->n;
}

/* Moves the next item of the two runs that are being merged. */
static void merge_next(struct od_order *o, od_before before, const void *items)
{
    int begin = o->k - o->k % (2 * o->width);
    int middle = clamp_index(o, begin + o->width), end = clamp_index(o, begin + 2 * o->width);
    if (o->k == begin) {
        o->left = begin;
        o->right = middle;
    }
    bool left = o->right == end ||
                (o->left < middle && !before(items, o->from[o->right], o->from[o->left]));
    o->to[o->k++] = o->from[left ? o->left++ : o->right++];
}

bool od_step(struct od_order *o, od_before before, const void *items, int *moves)
{
    for (; *moves > 0 && o->width < o->n; --*moves) {
        merge_next(o, before, items);
        if (o->k < o->n)
            continue;
        int *merged = o->to;
        o->to = o->from;
        o->from = merged;
        o->width *= 2;
        o->k = 0;
    }
    return o->width >= o->n;
}

void od_end(struct od_order *o)
{
    free(o->from);
    free(o->to);
    *o = (struct od_order){0};
}

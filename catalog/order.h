/* Sorting a bounded part at a time: merges from the smallest runs up.
 *
 * Pure. */
#ifndef FL_CATALOG_ORDER_H
#define FL_CATALOG_ORDER_H

#include <stdbool.h>

struct od_order {
    int n;
    int *from, *to; /* numbers of what is sorted; `from` is in order once it is done */
    int width;      /* of the runs in `from` that are sorted */
    int left, right, k;
};

/* Whether a goes before b; of equals neither does, and they keep their order. */
typedef bool (*od_before)(const void *items, int a, int b);

void od_begin(struct od_order *o, int n);
/* Go on by at most *moves, and count them down. Whether it is done. */
bool od_go_on(struct od_order *o, od_before before, const void *items, int *moves);
void od_end(struct od_order *o);

#endif

/* Incremental sorting: a bottom-up merge sort that does a bounded number of moves per call. It
 * sorts indexes of items, which it compares with a callback.
 *
 * Pure: no input or output. */
#ifndef FL_CATALOG_ORDER_H
#define FL_CATALOG_ORDER_H

#include <stdbool.h>

struct od_order {
    int n;
    int *from, *to;     /* indexes of the items; `from` is sorted when the sort has finished */
    int width;          /* length of the sorted runs in `from` */
    int left, right, k; /* next of the left run, of the right run, and in `to` */
};

/* Whether item a sorts before item b. False both ways for equal items, which keep their order.
 */
typedef bool (*od_before)(const void *items, int a, int b);

void od_begin(struct od_order *o, int n);
/* Continues by at most *moves moves and subtracts them from *moves. Returns whether the sort
 * has finished. */
bool od_step(struct od_order *o, od_before before, const void *items, int *moves);
void od_end(struct od_order *o);

#endif

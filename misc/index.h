/* A hash map from short names to numbers, with open addressing and one probe per lookup on
 * average.
 *
 * It serves arrays that are iterated by index and looked up by name thousands of times per
 * second. */
#ifndef FL_MISC_INDEX_H
#define FL_MISC_INDEX_H

#include <stdbool.h>

enum { IX_NAME = 48, IX_NONE = -1 };

struct ix_slot {
    char name[IX_NAME]; /* "" marks a free slot */
    int value;
};

/* A zero-initialized index is empty. It uses at most 4 slots of 52 bytes per name. */
struct ix_index {
    struct ix_slot *slots;
    int n, cap;
};

/* The number of `name`, or IX_NONE. */
int ix_get(const struct ix_index *ix, const char *name);
/* Add the name or change its number, which must be 0 or greater. Names have 1 to IX_NAME - 1
 * bytes. */
void ix_set(struct ix_index *ix, const char *name, int value);
void ix_drop(struct ix_index *ix, const char *name);
void ix_free(struct ix_index *ix);

#endif

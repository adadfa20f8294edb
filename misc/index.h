/* An index from short names to numbers: open addressing, one probe on average.
 *
 * For tables that are walked by number and asked by name, thousands of times a second. */
#ifndef FL_MISC_INDEX_H
#define FL_MISC_INDEX_H

#include <stdbool.h>

enum { IX_NAME = 48, IX_NONE = -1 };

struct ix_slot {
    char name[IX_NAME]; /* "" free */
    int value;
};

/* Zero-initialised is empty. Memory: at most 4 slots of 52 bytes a name. */
struct ix_index {
    struct ix_slot *slots;
    int n, cap;
};

/* The number of `name`, or IX_NONE. */
int ix_get(const struct ix_index *ix, const char *name);
/* Add the name or give it another number, 0 or above. Names have 1 to IX_NAME - 1 bytes. */
void ix_set(struct ix_index *ix, const char *name, int value);
void ix_drop(struct ix_index *ix, const char *name);
void ix_free(struct ix_index *ix);

#endif

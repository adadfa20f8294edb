#include "misc/index.h"

#include <assert.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "misc/str.h"

enum { MIN_SLOTS = 16 };

static int home_slot(const struct ix_index *ix, const char *name)
{
    return (int)(XXH64(name, strlen(name), 0) % (uint64_t)ix->cap);
}

/* Returns the slot of the name, or the free slot in which to insert it. */
static int find(const struct ix_index *ix, const char *name)
{
    int at = home_slot(ix, name);
    while (ix->slots[at].name[0] && strcmp(ix->slots[at].name, name) != 0)
        at = (at + 1) % ix->cap;
    return at;
}

int ix_get(const struct ix_index *ix, const char *name)
{
    if (ix->n == 0)
        return IX_NONE;
    const struct ix_slot *s = &ix->slots[find(ix, name)];
    return s->name[0] ? s->value : IX_NONE;
}

static void grow(struct ix_index *ix)
{
    struct ix_index old = *ix;
    ix->cap = old.cap ? old.cap * 2 : MIN_SLOTS;
    ix->slots = sr_alloc(sizeof(*ix->slots) * (size_t)ix->cap);
    for (int i = 0; i < old.cap; i++) {
        if (old.slots[i].name[0])
            ix->slots[find(ix, old.slots[i].name)] = old.slots[i];
    }
    free(old.slots);
}

void ix_set(struct ix_index *ix, const char *name, int value)
{
    assert(name[0] && strlen(name) < IX_NAME && value >= 0);
    if (2 * (ix->n + 1) > ix->cap)
        grow(ix);
    struct ix_slot *s = &ix->slots[find(ix, name)];
    if (!s->name[0]) {
        ix->n++;
        sr_copy(s->name, sizeof(s->name), sr_from(name));
    }
    s->value = value;
}

void ix_drop(struct ix_index *ix, const char *name)
{
    if (ix->n == 0)
        return;
    int hole = find(ix, name);
    if (!ix->slots[hole].name[0])
        return;
    ix->n--;
    /* Move a later entry into the free slot if its probe sequence passes that slot. */
    for (int at = (hole + 1) % ix->cap; ix->slots[at].name[0]; at = (at + 1) % ix->cap) {
        int home = home_slot(ix, ix->slots[at].name);
        int from_home = (at - home + ix->cap) % ix->cap;
        int from_hole = (at - hole + ix->cap) % ix->cap;
        if (from_home < from_hole)
            continue;
        ix->slots[hole] = ix->slots[at];
        hole = at;
    }
    ix->slots[hole].name[0] = 0;
}

void ix_free(struct ix_index *ix)
{
    free(ix->slots);
    *ix = (struct ix_index){0};
}

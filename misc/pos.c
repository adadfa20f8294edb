#include "misc/pos.h"

bool ps_covers(struct ps_pos applied, struct ps_pos floor, const struct ps_start *starts, int n)
{
    if (floor.pos == 0)
        return true;
    if (applied.term < floor.term)
        return false;
    if (applied.term == floor.term)
        return applied.pos >= floor.pos;
    for (int i = 0; i < n; i++) {
        if (starts[i].term > floor.term)
            return floor.pos <= starts[i].pos && applied.pos >= floor.pos;
    }
    return false;
}

/* The time line: each process keeps a bounded ring of typed events stamped with a hybrid
 * logical clock; ferryctl merges the rings of all processes. */
#ifndef FL_TIMELINE_TIMELINE_H
#define FL_TIMELINE_TIMELINE_H

#include <jansson.h>

#include "misc/clock.h"

enum { TL_RING = 2048, TL_TEXT = 120, TL_GROUP = 48 };

enum tl_kind {
    TL_START,        /* the process began */
    TL_STOP,         /* a planned stop began */
    TL_LEASE_HELD,   /* entry: first or regained lease */
    TL_LEASE_LOST,   /* entry */
    TL_VIEW,         /* entry: a generation came into force here */
    TL_SUSPECT,      /* entry: an instance stopped answering */
    TL_TERM_DROPPED, /* entry: the group's term is not acted on any more */
    TL_FIRST_WRITE,  /* entry: the first write acknowledged in a term */
    TL_PARKED,       /* entry: writes wait for a primary */
    TL_DOWN,         /* control: evidence against a primary is enough */
    TL_REPLACE,      /* control: the change of primary is in the log */
    TL_FENCED,       /* control: an instance obeys the new term */
    TL_PROMOTED,     /* control: an instance took the role */
    TL_PRIMARY,      /* control: the new primary is in the log and announced */
    TL_LEADER,       /* control: this node leads */
    TL_DEPOSED,      /* control: it does not any more */
    TL_INTENT,       /* control: an intent was confirmed, ended or failed */
    TL_MEMBERS,      /* control: voters or learners changed */
    TL_CHANGE,       /* control: another change was committed */
    TL_DISK,         /* control: a slow or failed sync */
    TL_COUNT
};

struct tl_event {
    uint64_t stamp; /* hybrid logical clock */
    int64_t us;     /* monotonic clock of this process, for durations */
    enum tl_kind kind;
    uint64_t term;
    char group[TL_GROUP];
    char text[TL_TEXT];
};

struct tl_ring {
    struct ck_hlc hlc;
    uint64_t n;
    struct tl_event ev[TL_RING];
};

void tl_add(struct tl_ring *r, enum tl_kind kind, const char *group, uint64_t term,
            const char *fmt, ...) __attribute__((format(printf, 5, 6)));
/* {"node":…,"lost":events overwritten,"events":[…]} */
json_t *tl_json(const struct tl_ring *r, const char *node);

#endif

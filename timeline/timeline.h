/* The timeline: each process keeps its newest TL_RING typed events, with stamps of a hybrid
 * logical clock; ferryctl merges the timelines of all processes. */
#ifndef FL_TIMELINE_TIMELINE_H
#define FL_TIMELINE_TIMELINE_H

#include <jansson.h>

#include "misc/clock.h"

enum { TL_RING = 2048, TL_TEXT = 120, TL_GROUP = 48 };

enum tl_kind {
    TL_START,        /* the process started */
    TL_STOP,         /* a planned stop began */
    TL_LEASE_HELD,   /* entry: first lease, or one after a loss */
    TL_LEASE_LOST,   /* entry: the lease expired */
    TL_VIEW,         /* entry: a generation of the view was applied */
    TL_SUSPECT,      /* entry: an instance stopped answering */
    TL_TERM_DROPPED, /* entry: the node stopped acting on the group's term */
    TL_FIRST_WRITE,  /* entry: the first write of a term was acknowledged */
    TL_PARKED,       /* entry: writes began to wait for a primary */
    TL_DOWN,         /* control: a change of primary was decided on, and why */
    TL_REPLACE,      /* control: the start of a change of primary was committed */
    TL_FENCED,       /* control: an instance obeys the new term, or an order was sent */
    TL_PROMOTED,     /* control: an instance became primary, or an order was answered */
    TL_PRIMARY,      /* control: the new primary was committed */
    TL_LEADER,       /* control: this node was elected leader */
    TL_DEPOSED,      /* control: this node stopped leading */
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
    uint64_t n; /* events added since the start */
    struct tl_event ev[TL_RING];
};

/* Adds an event that happens now; the text is cut to TL_TEXT - 1 bytes. */
void tl_add(struct tl_ring *r, enum tl_kind kind, const char *group, uint64_t term,
            const char *fmt, ...) __attribute__((format(printf, 5, 6)));
/* The events as JSON: {"node":...,"lost":number of overwritten events,"events":[...]}. */
json_t *tl_json(const struct tl_ring *r, const char *node);

#endif

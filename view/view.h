/* The replicated configuration: the groups, their primaries and terms, rules and intents.
 *
 * A pure state machine: changes come from the replicated log in order, and every node that
 * applies the same changes has the same view. `generation` is the log index of the last
 * accepted change; it never decreases. vw_apply refuses a change that does not apply to the
 * current view and leaves the view unchanged, on every node alike. */
#ifndef FL_VIEW_VIEW_H
#define FL_VIEW_VIEW_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "misc/err.h"
#include "misc/pos.h"
#include "misc/str.h"

enum {
    VW_MAX_GROUPS = 2048,
    VW_MAX_INSTANCES = 7,
    VW_MAX_STARTS = 16,
    VW_MAX_INTENTS = 256,
    VW_MAX_STEPS = 16,
    VW_NAME = 48,                    /* bytes of a name, with its NUL */
    VW_MAX_DEPARTED = 16,            /* departed instances that are remembered, of all groups */
    VW_MAX_CHANGE_BYTES = 8192,      /* JSON text of a change, except a document */
    VW_MAX_DOCUMENT_BYTES = 1 << 20, /* about 3,000 routes */
};

struct vw_instance {
    char id[VW_NAME];
    char ip[46];
    int port;
    char domain[VW_NAME];
    bool draining; /* the instance gets no new statements */
    int max_conns; /* connections the instance accepts at once */
    int slots;     /* statements the instance runs at once */
    /* Start of the instance in Unix milliseconds, by its own clock; 0: unknown. An instance may
     * start again under the same id, and then holds no data of the earlier start. */
    int64_t born;
};

/* State of a group's primary. */
enum vw_phase {
    VW_SERVING,   /* `primary` serves `term` */
    VW_REPLACING, /* the old term is dropped; a new primary is being chosen */
    VW_HANDING,   /* planned change: writes are parked until the successor has all writes */
};

struct vw_group {
    char name[VW_NAME];
    enum vw_phase phase;
    uint64_t term; /* the current term, or the one being prepared */
    int primary;   /* index into inst; the old primary unless serving; -1: none */
    int target;    /* VW_HANDING: index of the successor */
    int n;
    struct vw_instance inst[VW_MAX_INSTANCES];
    int n_starts;
    struct ps_start starts[VW_MAX_STARTS]; /* ascending; the oldest are dropped first */
    int64_t max_age_ms;                    /* maximum age that a read may accept */
    int copies;                            /* instances that must hold an acknowledged write */
    bool degraded;                         /* the operator allows writes with fewer copies */
    /* Replicas that left, until their successors, which get their logs, register at their
     * addresses: vw_left. As many as inst[] has room for; the oldest are dropped first. */
    uint8_t n_left;
};

enum vw_intent_kind {
    VW_IT_MOVE,
    VW_IT_DRAIN,
    VW_IT_RULE,
    VW_IT_REPLACE,
    VW_IT_UNDRAIN,
    VW_IT_COUNT
};
enum vw_intent_state { VW_RUNNING, VW_DONE, VW_FAILED };

struct vw_intent {
    char id[VW_NAME]; /* given by the operator; identifies a resent intent */
    char who[VW_NAME];
    uint64_t number;
    enum vw_intent_kind kind;
    enum vw_intent_state state;
    int step, n_steps;
    uint64_t confirmed_at; /* generation of the confirmation */
    char digest[24];
    char args[1024]; /* JSON text as received from the operator */
    char note[160];  /* why the intent failed, or what it waits for */
};

/* The configuration document that operators send as a whole. The text is stored unchanged,
 * because operators read back exactly what they sent. catalog/ parses it. */
struct vw_document {
    uint64_t version; /* assigned by operators, always increases; 0: no document yet */
    char *text;       /* owned; NUL-ended */
    size_t len;
};

struct vw_view {
    uint64_t generation;
    struct vw_document doc;
    int n;
    struct vw_group *groups; /* sorted by name */
    int n_intents;
    struct vw_intent *intents; /* oldest first */
    int n_departed;            /* total count; `departed` is a ring */
    /* ids of instances that left: a late registration of these is refused */
    char departed[VW_MAX_DEPARTED][VW_NAME];
    int64_t departed_born[VW_MAX_DEPARTED]; /* `born` of the departed instances */
};

enum vw_change_kind {
    VW_CH_GROUP,    /* create a group: `group` whole */
    VW_CH_REPLACE,  /* begin an unplanned change of primary: group, term */
    VW_CH_HAND,     /* begin a planned change: group, term, instance (the successor) */
    VW_CH_ABANDON,  /* abandon a planned change, the old primary serves on: group, term */
    VW_CH_PRIMARY,  /* a new primary serves: group, term, instance, pos (start of the term) */
    VW_CH_DRAIN,    /* group, instance, flag */
    VW_CH_RULE,     /* group, max_age_ms */
    VW_CH_ADD,      /* a new instance, caught up or not: group, inst */
    VW_CH_REMOVE,   /* group, instance */
    VW_CH_INTENT,   /* an operator confirmed `intent` */
    VW_CH_PROGRESS, /* intent id, step, state, note */
    VW_CH_DOCUMENT, /* version, text: the configuration document, whole */
    VW_CH_JOIN,  /* an instance registered itself; a missing group is created: group, inst, flag
                    (the instance reports that it is primary) */
    VW_CH_LEAVE, /* an instance deregistered, in whatever role: group, instance */
    VW_CH_COUNT
};

struct vw_change {
    enum vw_change_kind kind;
    char group[VW_NAME];
    char instance[VW_NAME];
    uint64_t term, pos;
    bool flag;
    int64_t max_age_ms;
    struct vw_group def;     /* VW_CH_GROUP */
    struct vw_instance inst; /* VW_CH_ADD, VW_CH_JOIN */
    uint64_t version;        /* VW_CH_DOCUMENT */
    struct sr_str text;      /* VW_CH_DOCUMENT; points into the parsed JSON */
    struct vw_intent intent; /* VW_CH_INTENT, VW_CH_PROGRESS */
};

void vw_init(struct vw_view *v);
void vw_free(struct vw_view *v);

/* Applies the change at `index` of the log. Returns false with *err set and the view unchanged
 * if the change does not apply. A change at or below the generation is refused, so that the
 * generation never decreases. */
bool vw_apply(struct vw_view *v, uint64_t index, const struct vw_change *ch,
              struct er_err *err);
/* Checks a change like vw_apply without applying it. */
bool vw_check(const struct vw_view *v, const struct vw_change *ch, struct er_err *err);

struct vw_group *vw_group(const struct vw_view *v, const char *name);
int vw_instance(const struct vw_group *g, const char *id);
/* The replica that left, newest first, below n_left; only its address is set. */
const struct vw_instance *vw_left(const struct vw_group *g, int k);
/* Records that a replica with that address left. */
void vw_add_left(struct vw_group *g, const char *ip, int port);
/* Whether an instance with this id is among the latest VW_MAX_DEPARTED that left. */
bool vw_has_left(const struct vw_view *v, const char *id);
/* Whether the instance that started at `born` is such a departed instance, or an earlier start
 * under the same id. */
bool vw_start_has_left(const struct vw_view *v, const char *id, int64_t born);
/* The group of the instance with this id, or NULL. Ids are unique in a cluster, because shares,
 * probes and evidence are keyed by them. */
const struct vw_group *vw_owner(const struct vw_view *v, const char *id);
const struct vw_intent *vw_intent(const struct vw_view *v, const char *id);

/* Conversion to and from JSON. Parsers take untrusted input and ignore unknown keys. */
json_t *vw_change_json(const struct vw_change *ch);
bool vw_change_parse(const json_t *j, struct vw_change *ch, struct er_err *err);
json_t *vw_view_json(const struct vw_view *v);
bool vw_view_parse(const json_t *j, struct vw_view *v, struct er_err *err);
json_t *vw_group_json(const struct vw_group *g);
bool vw_group_parse(const json_t *j, struct vw_group *g, struct er_err *err);

const char *vw_phase_name(enum vw_phase p);
const char *vw_change_name(enum vw_change_kind k);
const char *vw_intent_name(enum vw_intent_kind k);
const char *vw_state_name(enum vw_intent_state s);

#endif

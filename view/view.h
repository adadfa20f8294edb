/* The replicated configuration: the groups, their primaries and terms, rules and intents.
 *
 * A pure state machine: changes come from the agreement log in order; every node that applies
 * the same changes holds the same view. `generation` is the log index of the last change that
 * was accepted; it only grows. A change that no longer fits is refused by vw_apply and leaves
 * the view as it was, on every node alike. */
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
    VW_NAME = 48,
    VW_MAX_LEFT = 16,          /* instances that left, of all groups, remembered */
    VW_CHANGE_MAX = 8192,      /* bytes of a change as text, but for a document */
    VW_DOCUMENT_MAX = 1 << 20, /* bytes of a document: some 3,000 routes */
};

struct vw_instance {
    char id[VW_NAME];
    char ip[46];
    int port;
    char domain[VW_NAME];
    bool draining; /* gets no new work */
    int max_conns; /* connections it accepts at once */
    int slots;     /* statements it runs at once */
    /* Unix milliseconds of its start, by its own clock; 0: not told. It may start again under
     * its id, and then holds nothing of before. */
    int64_t born;
};

/* What a group's primary is doing. */
enum vw_phase {
    VW_SERVING,   /* `primary` serves `term` */
    VW_REPLACING, /* the old term is dropped; a new primary is being chosen */
    VW_HANDING,   /* planned: writes are parked until the successor has everything */
};

struct vw_group {
    char name[VW_NAME];
    enum vw_phase phase;
    uint64_t term; /* the term in force, or being prepared */
    int primary;   /* index into inst; the old one while not serving; -1 before the first */
    int target;    /* VW_HANDING: index of the successor */
    int n;
    struct vw_instance inst[VW_MAX_INSTANCES];
    int n_starts;
    struct ps_start starts[VW_MAX_STARTS]; /* ascending; the oldest are dropped */
    int64_t max_age_ms;                    /* the longest age a read may accept here */
    int copies;                            /* instances that must hold an acknowledged write */
    bool degraded;                         /* confirmed: accept writes with fewer copies */
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
    char id[VW_NAME]; /* the operator's, for resends */
    char who[VW_NAME];
    uint64_t number;
    enum vw_intent_kind kind;
    enum vw_intent_state state;
    int step, n_steps;
    uint64_t confirmed_at; /* generation */
    char digest[24];
    char args[1024]; /* JSON text as the operator gave it */
    char note[160];  /* why it failed, or what it waits for */
};

/* A configuration that operators send as a whole. The text is kept as it came, since it is read
 * back as it was sent; catalog/ says what it means. */
struct vw_document {
    uint64_t version; /* the operators' number, only grows; 0: none yet */
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
    int n_left;                /* ever; `left` is a ring */
    /* ids of instances that left: a late call brings none back */
    char left[VW_MAX_LEFT][VW_NAME];
    int64_t left_born[VW_MAX_LEFT]; /* of the one that left */
};

enum vw_change_kind {
    VW_CH_GROUP,    /* create a group: `group` whole */
    VW_CH_REPLACE,  /* begin an unplanned change of primary: group, term */
    VW_CH_HAND,     /* begin a planned one: group, term, instance (the successor) */
    VW_CH_ABANDON,  /* a planned one is given up: group, term; the old primary serves on */
    VW_CH_PRIMARY,  /* a new primary serves: group, term, instance, pos (start of the term) */
    VW_CH_DRAIN,    /* group, instance, flag */
    VW_CH_RULE,     /* group, max_age_ms */
    VW_CH_ADD,      /* group, inst: a new instance, caught up or not */
    VW_CH_REMOVE,   /* group, instance */
    VW_CH_INTENT,   /* an operator confirmed `intent` */
    VW_CH_PROGRESS, /* intent id, step, state, note */
    VW_CH_DOCUMENT, /* version, text: the configuration document, whole */
    VW_CH_JOIN,  /* group, inst, flag (it says that it is the primary): an instance registered
                    itself; the group is made if need be */
    VW_CH_LEAVE, /* group, instance: it is gone, whatever it was */
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
    struct sr_str text;      /* VW_CH_DOCUMENT; belongs to what it was parsed from */
    struct vw_intent intent; /* VW_CH_INTENT, VW_CH_PROGRESS */
};

void vw_init(struct vw_view *v);
void vw_free(struct vw_view *v);

/* Apply the change that stands at `index` of the log. False, nothing changed and *err filled
 * if it does not fit. A change at or below the generation is refused: never backwards. */
bool vw_apply(struct vw_view *v, uint64_t index, const struct vw_change *ch,
              struct er_err *err);
/* The same check without applying. */
bool vw_check(const struct vw_view *v, const struct vw_change *ch, struct er_err *err);

struct vw_group *vw_group(const struct vw_view *v, const char *name);
int vw_instance(const struct vw_group *g, const char *id);
/* Whether an instance of that id left not long ago. */
bool vw_has_left(const struct vw_view *v, const char *id);
/* Whether one that was born then is such an instance, or an earlier one of its id. */
bool vw_is_late(const struct vw_view *v, const char *id, int64_t born);
/* The group that has an instance of that id, NULL none: ids are unique in a cluster, since
 * shares, probes and evidence go by them. */
const struct vw_group *vw_owner(const struct vw_view *v, const char *id);
const struct vw_intent *vw_intent(const struct vw_view *v, const char *id);

/* As text. Decoders take untrusted bytes; unknown keys are ignored. */
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

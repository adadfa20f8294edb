/* Intents: what an operator wants, the plan for it, and the next action towards it.
 *
 * Pure. A plan names steps and carries a digest over the part of the world it was made from; a
 * confirmation names the digest and is refused if that part has moved. Actions are derived from
 * the world as it is, not from a counter, so that any leader resumes where the last one died.
 */
#ifndef FL_INTENT_INTENT_H
#define FL_INTENT_INTENT_H

#include "quorum/quorum.h"
#include "view/view.h"

enum { IT_STEP_TEXT = 160 };

struct it_request {
    enum vw_intent_kind kind;
    char group[VW_NAME];
    char instance[VW_NAME]; /* drain, undrain */
    int64_t max_age_ms;     /* rule */
    int n;                  /* move: the group's new instances */
    struct vw_instance inst[VW_MAX_INSTANCES];
    uint64_t old_id;        /* replace: the voter that goes */
    struct qr_member fresh; /* replace: the one that comes */
};

struct it_plan {
    int n;
    char step[VW_MAX_STEPS][IT_STEP_TEXT];
    char digest[24];
    uint64_t generation; /* it was made at */
    uint64_t number;     /* the next free one */
};

/* What the leader knows beyond the view. */
struct it_facts {
    /* Whether the instance holds all that the group's primary held when last asked. */
    bool (*caught_up)(void *ud, const char *group, const char *inst);
    /* Whether every entry node acts on the current view. */
    bool in_force;
    /* Whether this leader deals out connections already: for a lease after its election it does
     * not, and a primary on an instance that was just added could not be reached. */
    bool settled;
    const struct qr_members *members;
    /* Whether the learner holds all that is committed. */
    bool (*learner_ready)(void *ud, uint64_t id);
    void *ud;
};

enum it_action_kind {
    IT_WAIT,   /* nothing to do yet; `note` says for what */
    IT_CHANGE, /* propose `change` */
    IT_ADD,    /* add `member` as a learner */
    IT_VOTER,  /* make `member.id` a voter */
    IT_REMOVE, /* remove `member.id` */
    IT_DONE,
    IT_FAIL, /* `note` says why */
};

struct it_action {
    enum it_action_kind kind;
    struct vw_change change;
    struct qr_member member;
    char note[160];
};

/* {"kind":"drain","group":…,…}; untrusted. */
bool it_parse(const json_t *args, struct it_request *r, struct er_err *err);
bool it_plan(const struct vw_view *v, const struct qr_members *m, const struct it_request *r,
             struct it_plan *plan, struct er_err *err);
void it_next(const struct vw_view *v, const struct it_request *r, const struct it_facts *f,
             struct it_action *a);

#endif

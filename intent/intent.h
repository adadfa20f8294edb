/* Intents: the request of an operator, the plan for it, and the next action to carry it out.
 *
 * Pure. A plan lists steps and has a digest over the state it was made from: a group, or the
 * control members. A confirmation names the digest and is refused if that state has changed.
 * Actions are derived from the current state, not from a step counter, so that any leader
 * resumes where a failed one stopped. */
#ifndef FL_INTENT_INTENT_H
#define FL_INTENT_INTENT_H

#include "quorum/quorum.h"
#include "view/view.h"

enum { IT_MAX_STEP_BYTES = 160 };

struct it_request {
    enum vw_intent_kind kind;
    char group[VW_NAME];
    char instance[VW_NAME]; /* drain, undrain */
    int64_t max_age_ms;     /* rule */
    int n;                  /* move: number of the group's new instances */
    struct vw_instance inst[VW_MAX_INSTANCES];
    uint64_t old_id;             /* replace: the voter to remove */
    struct qr_member new_member; /* replace: the member to add */
};

struct it_plan {
    int n;
    char step[VW_MAX_STEPS][IT_MAX_STEP_BYTES];
    char digest[24];
    uint64_t generation; /* of the view from which the plan was made */
    uint64_t number;     /* the next unused intent number */
};

/* What the leader knows in addition to the view. */
struct it_facts {
    /* Whether the instance has all writes that the group's primary had in its latest status. */
    bool (*caught_up)(void *ud, const char *group, const char *inst);
    /* Whether every entry node acts on the current view. */
    bool in_force;
    /* Whether this leader grants connections already. It does not for the duration of a lease
     * after its election, and then a primary on a newly added instance could not be reached. */
    bool settled;
    const struct qr_members *members;
    /* Whether the learner has all committed entries. */
    bool (*learner_ready)(void *ud, uint64_t id);
    void *ud;
};

enum it_action_kind {
    IT_WAIT,   /* nothing to do yet; `note` says what the intent waits for */
    IT_CHANGE, /* propose `change` */
    IT_ADD,    /* add `member` as a learner */
    IT_VOTER,  /* make `member.id` a voter */
    IT_REMOVE, /* remove `member.id` */
    IT_DONE,
    IT_FAIL, /* `note` says why the intent failed */
};

struct it_action {
    enum it_action_kind kind;
    struct vw_change change;
    struct qr_member member;
    char note[160];
};

/* Parses an untrusted request: {"kind":"drain","group":…,…}. */
bool it_parse(const json_t *args, struct it_request *r, struct er_err *err);
/* Makes the plan for a request; false with *err set if the request can't be carried out. */
bool it_plan(const struct vw_view *v, const struct qr_members *m, const struct it_request *r,
             struct it_plan *plan, struct er_err *err);
/* Derives the next action of an intent from the current state. */
void it_next(const struct vw_view *v, const struct it_request *r, const struct it_facts *f,
             struct it_action *a);

#endif

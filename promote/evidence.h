/* Evidence for a promotion: what vantages report of the instances. Used by promote/ only. */
#ifndef FL_PROMOTE_EVIDENCE_H
#define FL_PROMOTE_EVIDENCE_H

#include "promote/promote.h"

struct pe_verdict {
    int down_domains; /* failure domains that see the instance down */
    int up;           /* vantages that see the instance up */
    bool refused;
};

/* The instance with this id, or NULL. */
struct pr_inst *pe_find_inst(struct pr_group *p, const char *id);
/* Puts the instances in the order of the view and keeps what is known of them. */
void pe_sync_instances(struct pr_group *p, const struct vw_group *g);
/* Sums up the reports of the last second. Older ones are ignored. */
struct pe_verdict pe_evaluate(const struct pr_inst *in, int64_t now);
/* Whether two failure domains see the instance down and no vantage sees it up. */
bool pe_is_down(const struct pe_verdict *v);
bool pe_inst_is_down(const struct pr_inst *in, int64_t now);

#endif

/* The evidence of a promotion, shared by the parts of the module only. */
#ifndef FL_PROMOTE_EVIDENCE_H
#define FL_PROMOTE_EVIDENCE_H

#include "promote/promote.h"

struct pe_verdict {
    int domains; /* failure domains from which it is down */
    int up;      /* vantages that see it up */
    bool refused;
};

/* The instance of that id; NULL: none. */
struct pr_inst *pe_inst(struct pr_group *p, const char *id);
/* Let our list follow the view's order, keeping what is known. */
void pe_sync(struct pr_group *p, const struct vw_group *g);
/* Reports older than a second count for nothing. */
struct pe_verdict pe_judge(const struct pr_inst *in, int64_t now);
/* Down from two failure domains, and up from none. */
bool pe_says_down(const struct pe_verdict *v);
bool pe_looks_down(const struct pr_inst *in, int64_t now);

#endif

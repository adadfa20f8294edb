#include "member/member.h"

#include <string.h>

static bool alive(const struct mb_state *s, const struct mb_node *n)
{
    return n->id == s->self || n->silent_us < MB_SILENT_LIMIT_US;
}

static int live_voters(const struct mb_state *s)
{
    int k = 0;
    for (int i = 0; i < s->n; i++)
        k += s->node[i].voter && alive(s, &s->node[i]);
    return k;
}

/* How many nodes should vote: an odd number of the reachable ones, so that one of two
 * partitions has a majority, and at least as many as the tolerated losses require. */
static int wanted_voters(const struct mb_state *s)
{
    int reachable = 0;
    for (int i = 0; i < s->n; i++) {
        const struct mb_node *n = &s->node[i];
        reachable += n->member ? alive(s, n) : n->connected;
    }
    int odd = reachable % 2 ? reachable : reachable - 1;
    int required = mb_required_voters(s->tolerates);
    return odd > required ? odd : required;
}

static int count_members(const struct mb_state *s)
{
    int k = 0;
    for (int i = 0; i < s->n; i++)
        k += s->node[i].member;
    return k;
}

/* Whether another reachable voter has the node's address: the disk with this node's id is lost.
 */
static bool address_taken(const struct mb_state *s, const struct mb_node *n)
{
    for (int i = 0; i < s->n; i++) {
        const struct mb_node *o = &s->node[i];
        if (o->id != n->id && o->voter && alive(s, o) && strcmp(o->ip, n->ip) == 0)
            return true;
    }
    return false;
}

/* An unreachable member that may be removed: a learner, a voter whose address another voter
 * has, or a voter without which enough reachable voters are left. *why is the reason. */
static const struct mb_node *to_remove(const struct mb_state *s, const char **why)
{
    int live = live_voters(s);
    for (int i = 0; i < s->n; i++) {
        const struct mb_node *n = &s->node[i];
        if (!n->member || alive(s, n))
            continue;
        if (!n->voter || address_taken(s, n)) {
            *why = n->voter ? "another voter has its address" : "unreachable learner";
            return n;
        }
        if (live >= mb_required_voters(s->tolerates)) {
            *why = "unreachable, and enough other voters are reachable";
            return n;
        }
    }
    return NULL;
}

static struct mb_action make_action(enum mb_step step, const struct mb_node *n, const char *why)
{
    return (struct mb_action){step, n->id, why};
}

struct mb_action mb_next(const struct mb_state *s)
{
    const char *why = "";
    bool more = live_voters(s) < wanted_voters(s);
    for (int i = 0; more && i < s->n; i++) {
        const struct mb_node *n = &s->node[i];
        if (n->member && !n->voter && n->caught_up && alive(s, n))
            return make_action(MB_VOTER, n, "it has all committed entries");
    }
    const struct mb_node *removable = to_remove(s, &why);
    if (removable)
        return make_action(MB_REMOVE, removable, why);
    for (int i = 0; i < s->n; i++) {
        const struct mb_node *n = &s->node[i];
        if (!n->member && n->connected && count_members(s) < QR_MAX_MEMBERS)
            return make_action(MB_ADD, n, "new control node with a disk of its own");
    }
    return (struct mb_action){MB_NONE, 0, ""};
}

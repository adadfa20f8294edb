/* Text output of ferryctl: status, members, plans, intents and errors. */
#include <stdio.h>
#include <string.h>

#include "ferryctl/ctl.h"

static const char *text(const json_t *o, const char *key)
{
    const char *s = json_string_value(json_object_get(o, key));
    return s ? s : "";
}

static long long number(const json_t *o, const char *key)
{
    return (long long)json_integer_value(json_object_get(o, key));
}

static void show_group(const json_t *g)
{
    const json_t *inst = json_object_get(g, "instances");
    long long primary = number(g, "primary");
    printf("%-16s %-10s term %-4lld copies %lld  age up to %lld ms\n", text(g, "name"),
           text(g, "phase"), number(g, "term"), number(g, "copies"), number(g, "max_age_ms"));
    for (size_t i = 0; i < json_array_size(inst); i++) {
        const json_t *x = json_array_get(inst, i);
        printf("    %-24s %-18s %s:%lld%s%s\n", text(x, "id"), text(x, "domain"), text(x, "ip"),
               number(x, "port"), (long long)i == primary ? "  primary" : "",
               json_is_true(json_object_get(x, "draining")) ? "  draining" : "");
    }
}

void show_intent(const json_t *i)
{
    printf("intent %s  number %lld  %s by %s: %s (%lld steps)%s%s\n", text(i, "id"),
           number(i, "number"), text(i, "kind"), text(i, "who"), text(i, "state"),
           number(i, "steps"), text(i, "note")[0] ? "  " : "", text(i, "note"));
}

void show_status(const json_t *s)
{
    const json_t *v = json_object_get(s, "view");
    size_t i;
    json_t *x;
    printf("answered by %s (id %s); leader %s, term %lld%s\n", text(s, "node"), text(s, "id"),
           text(s, "leader")[0] ? text(s, "leader") : "unknown", number(s, "term"),
           json_is_true(json_object_get(s, "vouched"))
               ? ""
               : "; this node does not lead: its view may be old");
    printf("generation %lld, in force on %lld of %lld entry nodes; log %lld..%lld, committed "
           "%lld\n",
           number(v, "generation"), number(s, "in_force_on"), number(s, "entry_nodes"),
           number(s, "first"), number(s, "last"), number(s, "commit"));
    json_array_foreach(json_object_get(v, "groups"), i, x)
    {
        show_group(x);
    }
    json_array_foreach(json_object_get(v, "intents"), i, x)
    {
        show_intent(x);
    }
}

void show_members(const json_t *m)
{
    size_t i;
    json_t *x;
    json_array_foreach(m, i, x)
    {
        printf("%-16s %-8s %-18s %-16s %s:%lld%s\n", text(x, "id"), text(x, "name"),
               text(x, "domain"),
               json_is_true(json_object_get(x, "voter")) ? "voter" : "learner", text(x, "ip"),
               number(x, "port"), json_is_true(json_object_get(x, "leader")) ? "  leader" : "");
    }
}

void print_json(const json_t *j)
{
    json_dumpf(j, stdout, JSON_INDENT(2));
    putchar('\n');
}

void show_plan(const json_t *p)
{
    size_t i;
    json_t *x;
    printf("plan %s, number %lld, made at generation %lld\n", text(p, "digest"),
           number(p, "number"), number(p, "generation"));
    json_array_foreach(json_object_get(p, "steps"), i, x)
    {
        printf("  %zu. %s\n", i + 1, json_string_value(x));
    }
}

static const char *next_step(const char *reason)
{
    static const char *const rows[][2] = {
        {"not_leader", "ask the leader it names, or wait for an election"},
        {"no_quorum", "this node has no quorum: ask another control node"},
        {"stale_plan", "plan again and read the new plan"},
        {"conflict", "check the present state (ferryctl status) and plan again"},
        {"unknown", "resend with the same --id: an id is executed at most once"},
        {"bad_input", "correct the command"},
        {"no_database", "see the groups with ferryctl status"},
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        if (strcmp(rows[i][0], reason) == 0)
            return rows[i][1];
    }
    return "see the logs of the control nodes";
}

int show_error(int status, const json_t *a)
{
    if (status == 0) {
        fprintf(stderr, "ferryctl: no control node answers; check --control and the network\n");
        return EX_UNREACHED;
    }
    const char *leader = text(a, "leader");
    fprintf(stderr, "ferryctl: refused (%s): %s%s%s\n  next: %s\n", text(a, "reason"),
            text(a, "detail"), leader[0] ? "; the leader is " : "", leader,
            next_step(text(a, "reason")));
    return status == 504 ? EX_OUTCOME_UNKNOWN : EX_REFUSED;
}

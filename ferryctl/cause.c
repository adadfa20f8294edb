#include "ferryctl/cause.h"

#include <string.h>

static const struct {
    const char *name;
    enum ca_kind kind;
} causes[CA_CAUSES] = {
    [CA_LIMIT] = {"over the account's limit", CA_K_LIMIT},
    [CA_PERMIT] = {"no permit came", CA_K_LIMIT},
    [CA_CUT_OFF] = {"cut off from control", CA_K_CUT_OFF},
    [CA_ROUTE] = {"waited for a route", CA_K_ROUTE},
    [CA_CONNECTION] = {"no connection free", CA_K_CONNECTION},
    [CA_UNSENT] = {"deadline before it was sent", CA_K_CONNECTION},
    [CA_REFUSED] = {"instances refused", CA_K_INSTANCE},
    [CA_NO_ANSWER] = {"no answer", CA_K_INSTANCE},
    [CA_LOST] = {"lost with the write on its way", CA_K_INSTANCE},
    [CA_ABORTED] = {"transaction aborted", CA_K_INSTANCE},
    [CA_FAILED] = {"failed at the instance", CA_K_INSTANCE},
    [CA_HOLDER_LOST] = {"holder lost", CA_K_CLOSED},
    [CA_HOLDER_ENDED] = {"holder ended", CA_K_CLOSED},
    [CA_CLOSED] = {"connection closed", CA_K_CLOSED},
    [CA_KEY] = {"key unknown", CA_K_OTHER},
    [CA_DATABASE] = {"database unknown", CA_K_OTHER},
    [CA_OTHER] = {"other", CA_K_OTHER},
};

static const struct {
    const char *head, *colour;
} kinds[CA_KINDS] = {
    [CA_K_LIMIT] = {"limit", "#2e7d32"},      [CA_K_ROUTE] = {"route", "#6a1b9a"},
    [CA_K_CONNECTION] = {"conn.", "#ef6c00"}, [CA_K_INSTANCE] = {"instance", "#c62828"},
    [CA_K_CUT_OFF] = {"cut off", "#1565c0"},  [CA_K_CLOSED] = {"closed", "#424242"},
    [CA_K_OTHER] = {"other", "#9e9e9e"},
};

/* Which failures belong to a cause; the first row that fits. `word`: NULL fits all. */
struct rule {
    const char *event, *field, *value, *word;
    enum ca_cause cause;
};

static const struct rule rules[] = {
    {"request_failed", "kind", "limit", "no permit", CA_PERMIT},
    {"request_failed", "kind", "limit", NULL, CA_LIMIT},
    {"request_failed", "kind", "no_lease", NULL, CA_CUT_OFF},
    {"request_failed", "kind", "deadline", "not sent", CA_UNSENT},
    {"request_failed", "kind", "deadline", NULL, CA_ROUTE},
    {"request_failed", "kind", "no_primary", NULL, CA_ROUTE},
    {"request_failed", "kind", "overload", "no connection", CA_CONNECTION},
    {"request_failed", "kind", "overload", "no instance answered", CA_NO_ANSWER},
    {"request_failed", "kind", "overload", "instances refused", CA_REFUSED},
    {"request_failed", "kind", "overload", NULL, CA_CONNECTION},
    {"request_failed", "kind", "busy", NULL, CA_REFUSED},
    {"request_failed", "kind", "behind", NULL, CA_REFUSED},
    {"request_failed", "kind", "term", NULL, CA_REFUSED},
    {"request_failed", "kind", "too_many", NULL, CA_REFUSED},
    {"request_failed", "kind", "endpoint", NULL, CA_REFUSED},
    {"request_failed", "kind", "wrong_instance", NULL, CA_REFUSED},
    {"request_failed", "kind", "timeout", NULL, CA_NO_ANSWER},
    {"request_failed", "kind", "lost", NULL, CA_LOST},
    {"request_failed", "kind", "aborted", "that serves the session", CA_HOLDER_ENDED},
    {"request_failed", "kind", "aborted", NULL, CA_ABORTED},
    {"request_failed", "kind", "failed", NULL, CA_FAILED},
    {"request_failed", "kind", "stopping", NULL, CA_HOLDER_ENDED},
    {"request_failed", "kind", "no_account", NULL, CA_KEY},
    {"request_failed", "kind", "no_database", NULL, CA_DATABASE},
    {"request_failed", "kind", NULL, NULL, CA_OTHER},
    {"session_refused", "kind", "no_account", NULL, CA_KEY},
    {"session_refused", "kind", "no_database", NULL, CA_DATABASE},
    {"session_refused", "kind", "no_lease", NULL, CA_CUT_OFF},
    {"session_refused", "kind", NULL, NULL, CA_OTHER},
    {"session_cut", "why", "holder_lost", NULL, CA_HOLDER_LOST},
    {"session_cut", "why", "holder_ends", NULL, CA_HOLDER_ENDED},
    {"session_cut", "why", "not_taken", NULL, CA_HOLDER_ENDED},
    {"session_cut", "why", NULL, NULL, CA_CLOSED},
};

static const char *text(const json_t *o, const char *key)
{
    const char *s = json_string_value(json_object_get(o, key));
    return s ? s : "";
}

static bool fits(const struct rule *r, const json_t *line)
{
    if (strcmp(r->event, text(line, "event")) != 0)
        return false;
    if (r->value && strcmp(r->value, text(line, r->field)) != 0)
        return false;
    return !r->word || strstr(text(line, "detail"), r->word);
}

enum ca_cause ca_of(const json_t *line)
{
    for (size_t i = 0; i < sizeof(rules) / sizeof(rules[0]); i++) {
        if (fits(&rules[i], line))
            return rules[i].cause;
    }
    return CA_CAUSES;
}

const char *ca_name(enum ca_cause c)
{
    return causes[c].name;
}

enum ca_kind ca_kind(enum ca_cause c)
{
    return causes[c].kind;
}

const char *ca_head(enum ca_kind k)
{
    return kinds[k].head;
}

const char *ca_colour(enum ca_kind k)
{
    return kinds[k].colour;
}

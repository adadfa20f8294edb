#include "ferryctl/cause.h"

#include <string.h>

static const struct {
    const char *name;
    enum ca_kind kind;
} causes[CA_COUNT] = {
    [CA_OVER_LIMIT] = {"over the account's limit", CA_K_LIMIT},
    [CA_NO_PERMIT] = {"no permit came", CA_K_LIMIT},
    [CA_DISCONNECTED] = {"cut off from control", CA_K_DISCONNECTED},
    [CA_NO_ROUTE] = {"waited for a route", CA_K_ROUTE},
    [CA_NO_CONNECTION] = {"no connection free", CA_K_CONNECTION},
    [CA_NOT_SENT] = {"deadline before it was sent", CA_K_CONNECTION},
    [CA_REFUSED] = {"instances refused", CA_K_INSTANCE},
    [CA_NO_ANSWER] = {"no answer", CA_K_INSTANCE},
    [CA_LOST] = {"lost with the write on its way", CA_K_INSTANCE},
    [CA_ABORTED] = {"transaction aborted", CA_K_INSTANCE},
    [CA_FAILED] = {"failed at the instance", CA_K_INSTANCE},
    [CA_HOLDER_LOST] = {"holder lost", CA_K_CLOSED},
    [CA_HOLDER_ENDED] = {"holder ended", CA_K_CLOSED},
    [CA_CLOSED] = {"connection closed", CA_K_CLOSED},
    [CA_KEY_UNKNOWN] = {"key unknown", CA_K_OTHER},
    [CA_DATABASE_UNKNOWN] = {"database unknown", CA_K_OTHER},
    [CA_OTHER] = {"other", CA_K_OTHER},
};

static const struct {
    const char *column_head, *color;
} kinds[CA_K_COUNT] = {
    [CA_K_LIMIT] = {"limit", "#2e7d32"},          [CA_K_ROUTE] = {"route", "#6a1b9a"},
    [CA_K_CONNECTION] = {"conn.", "#ef6c00"},     [CA_K_INSTANCE] = {"instance", "#c62828"},
    [CA_K_DISCONNECTED] = {"cut off", "#1565c0"}, [CA_K_CLOSED] = {"closed", "#424242"},
    [CA_K_OTHER] = {"other", "#9e9e9e"},
};

/* Maps failures to causes; the first matching row applies. `value` is compared with the line's
 * `field`, and `fragment` is searched for in its `detail`; NULL matches everything. */
struct rule {
    const char *event, *field, *value, *fragment;
    enum ca_cause cause;
};

static const struct rule rules[] = {
    {"request_failed", "kind", "limit", "no permit", CA_NO_PERMIT},
    {"request_failed", "kind", "limit", NULL, CA_OVER_LIMIT},
    {"request_failed", "kind", "no_lease", NULL, CA_DISCONNECTED},
    {"request_failed", "kind", "deadline", "not sent", CA_NOT_SENT},
    {"request_failed", "kind", "deadline", NULL, CA_NO_ROUTE},
    {"request_failed", "kind", "no_primary", NULL, CA_NO_ROUTE},
    {"request_failed", "kind", "overload", "no connection", CA_NO_CONNECTION},
    {"request_failed", "kind", "overload", "no instance answered", CA_NO_ANSWER},
    {"request_failed", "kind", "overload", "instances refused", CA_REFUSED},
    {"request_failed", "kind", "overload", NULL, CA_NO_CONNECTION},
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
    {"request_failed", "kind", "no_account", NULL, CA_KEY_UNKNOWN},
    {"request_failed", "kind", "no_database", NULL, CA_DATABASE_UNKNOWN},
    {"request_failed", "kind", NULL, NULL, CA_OTHER},
    {"session_refused", "kind", "no_account", NULL, CA_KEY_UNKNOWN},
    {"session_refused", "kind", "no_database", NULL, CA_DATABASE_UNKNOWN},
    {"session_refused", "kind", "no_lease", NULL, CA_DISCONNECTED},
    {"session_refused", "kind", NULL, NULL, CA_OTHER},
    {"session_cut", "why", "holder_lost", NULL, CA_HOLDER_LOST},
    {"session_cut", "why", "holder_ends", NULL, CA_HOLDER_ENDED},
    {"session_cut", "why", "not_taken", NULL, CA_HOLDER_ENDED},
    {"session_cut", "why", NULL, NULL, CA_CLOSED},
};

static const char *string_field(const json_t *o, const char *key)
{
    const char *s = json_string_value(json_object_get(o, key));
    return s ? s : "";
}

static bool rule_matches(const struct rule *r, const json_t *line)
{
    if (strcmp(r->event, string_field(line, "event")) != 0)
        return false;
    if (r->value && strcmp(r->value, string_field(line, r->field)) != 0)
        return false;
    return !r->fragment || strstr(string_field(line, "detail"), r->fragment);
}

enum ca_cause ca_classify(const json_t *line)
{
    for (size_t i = 0; i < sizeof(rules) / sizeof(rules[0]); i++) {
        if (rule_matches(&rules[i], line))
            return rules[i].cause;
    }
    return CA_COUNT;
}

const char *ca_name(enum ca_cause c)
{
    return causes[c].name;
}

enum ca_kind ca_kind(enum ca_cause c)
{
    return causes[c].kind;
}

const char *ca_column_head(enum ca_kind k)
{
    return kinds[k].column_head;
}

const char *ca_color(enum ca_kind k)
{
    return kinds[k].color;
}

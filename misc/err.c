#include "misc/err.h"

#include <stdarg.h>
#include <stdio.h>

struct row {
    const char *name;
    enum er_answer answer;
    int http;
};

static const struct row table[ER_COUNT] = {
    [ER_NONE] = {"ok", ER_ANS_OK, 200},
    [ER_BAD_INPUT] = {"bad_input", ER_ANS_REJECTED, 400},
    [ER_TOO_LARGE] = {"too_large", ER_ANS_REJECTED, 413},
    [ER_NO_DATABASE] = {"no_database", ER_ANS_REJECTED, 404},
    [ER_BAD_TXN] = {"bad_txn", ER_ANS_REJECTED, 409},
    [ER_ID_EXPIRED] = {"id_expired", ER_ANS_REJECTED, 410},
    [ER_NO_LEASE] = {"no_lease", ER_ANS_NOT_RUN, 503},
    [ER_NO_PRIMARY] = {"no_primary", ER_ANS_NOT_RUN, 503},
    [ER_OVERLOAD] = {"overload", ER_ANS_NOT_RUN, 503},
    [ER_DEADLINE] = {"deadline", ER_ANS_NOT_RUN, 504},
    [ER_STOPPING] = {"stopping", ER_ANS_NOT_RUN, 503},
    [ER_TERM] = {"term", ER_ANS_NOT_RUN, 503},
    [ER_ENDPOINT] = {"endpoint", ER_ANS_NOT_RUN, 503},
    [ER_LOST] = {"lost", ER_ANS_UNKNOWN, 502},
    [ER_REPLACED] = {"replaced", ER_ANS_UNKNOWN, 502},
    [ER_NOT_LEADER] = {"not_leader", ER_ANS_NOT_RUN, 421},
    [ER_NO_QUORUM] = {"no_quorum", ER_ANS_NOT_RUN, 503},
    [ER_CONFLICT] = {"conflict", ER_ANS_REJECTED, 409},
    [ER_STALE_PLAN] = {"stale_plan", ER_ANS_REJECTED, 412},
    [ER_DISK] = {"disk", ER_ANS_NOT_RUN, 500},
    [ER_DISK_FULL] = {"disk_full", ER_ANS_NOT_RUN, 500},
    [ER_CORRUPT] = {"corrupt", ER_ANS_NOT_RUN, 500},
    [ER_CONFIG] = {"config", ER_ANS_REJECTED, 400},
    [ER_IO] = {"io", ER_ANS_NOT_RUN, 500},
    [ER_VERSION] = {"version", ER_ANS_REJECTED, 400},
    [ER_BEHIND] = {"behind", ER_ANS_NOT_RUN, 503},
    [ER_BUSY] = {"busy", ER_ANS_NOT_RUN, 503},
    [ER_TOO_MANY] = {"too_many", ER_ANS_NOT_RUN, 503},
    [ER_WRONG_INSTANCE] = {"wrong_instance", ER_ANS_NOT_RUN, 503},
    [ER_NO_STATEMENT] = {"no_statement", ER_ANS_REJECTED, 404},
    [ER_FAILED] = {"failed", ER_ANS_REJECTED, 500},
    [ER_TIMEOUT] = {"timeout", ER_ANS_UNKNOWN, 504},
    [ER_ABORTED] = {"aborted", ER_ANS_NOT_RUN, 409},
    [ER_NO_ACCOUNT] = {"no_account", ER_ANS_REJECTED, 401},
    [ER_LIMIT] = {"limit", ER_ANS_NOT_RUN, 429},
};

bool er_set(struct er_err *err, enum er_kind kind, const char *fmt, ...)
{
    if (!err || err->kind != ER_NONE)
        return false;
    err->kind = kind;
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(err->text, sizeof(err->text), fmt, ap);
    va_end(ap);
    return false;
}

const char *er_name(enum er_kind kind)
{
    return kind < ER_COUNT ? table[kind].name : "?";
}

enum er_answer er_answer(enum er_kind kind)
{
    return kind < ER_COUNT ? table[kind].answer : ER_ANS_UNKNOWN;
}

const char *er_answer_name(enum er_answer ans)
{
    static const char *const names[] = {"ok", "not_run", "unknown", "rejected"};
    return names[ans];
}

int er_http(enum er_kind kind)
{
    return kind < ER_COUNT ? table[kind].http : 500;
}

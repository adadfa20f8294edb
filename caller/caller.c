/* Parses requests of callers and writes their answers as JSON. */
#include "caller/caller.h"

#include <stdlib.h>

#include <jansson.h>

#define TAG_FIELD ",\"tag\":"

static const char *const kind_names[] = {"read", "write", "begin", "commit", "rollback"};

const char *cl_kind_name(enum cl_kind k)
{
    return kind_names[k];
}

static bool get_string(const json_t *o, const char *key, char *dst, size_t cap, bool required,
                       struct er_err *err)
{
    const json_t *v = json_object_get(o, key);
    if (!v && !required)
        return true;
    if (!json_is_string(v))
        return er_set(err, ER_BAD_INPUT, "%s: expected a string", key);
    struct sr_str s = {json_string_value(v), json_string_length(v)};
    if (memchr(s.p, 0, s.len))
        return er_set(err, ER_BAD_INPUT, "%s: contains a NUL byte", key);
    if (!sr_copy(dst, cap, s))
        return er_set(err, ER_TOO_LARGE, "%s: %zu bytes, expected under %zu", key, s.len, cap);
    if (required && s.len == 0)
        return er_set(err, ER_BAD_INPUT, "%s: must not be empty", key);
    return true;
}

static bool get_int(const json_t *o, const char *key, int64_t lo, int64_t hi, int64_t *out,
                    struct er_err *err)
{
    const json_t *v = json_object_get(o, key);
    if (!v || json_is_null(v))
        return true;
    if (!json_is_integer(v) || json_integer_value(v) < lo || json_integer_value(v) > hi)
        return er_set(err, ER_BAD_INPUT, "%s: expected an integer in %lld..%lld", key,
                      (long long)lo, (long long)hi);
    *out = json_integer_value(v);
    return true;
}

static bool get_kind(const json_t *o, enum cl_kind *out, struct er_err *err)
{
    const char *s = json_string_value(json_object_get(o, "kind"));
    for (int i = 0; s && i <= CL_ROLLBACK; i++) {
        if (strcmp(s, kind_names[i]) == 0) {
            *out = (enum cl_kind)i;
            return true;
        }
    }
    return er_set(err, ER_BAD_INPUT, "kind: expected read, write, begin, commit or rollback");
}

static bool get_stmt(const json_t *o, struct cl_request *r, struct er_err *err)
{
    if (r->kind != CL_READ && r->kind != CL_WRITE)
        return true;
    const json_t *v = json_object_get(o, "stmt");
    size_t n = json_string_length(v);
    if (!json_is_string(v) || n == 0)
        return er_set(err, ER_BAD_INPUT, "stmt: expected a non-empty string");
    if (n >= CL_STMT_BYTES)
        return er_set(err, ER_TOO_LARGE, "stmt: %zu bytes, expected under %d", n,
                      CL_STMT_BYTES);
    r->stmt = sr_alloc(n + 1);
    memcpy(r->stmt, json_string_value(v), n);
    return true;
}

static bool get_flag(const json_t *o, const char *key, bool *out, struct er_err *err)
{
    const json_t *v = json_object_get(o, key);
    if (!v)
        return true;
    if (!json_is_boolean(v))
        return er_set(err, ER_BAD_INPUT, "%s: expected true or false", key);
    *out = json_is_true(v);
    return true;
}

static bool parse_fields(const json_t *o, struct cl_request *r, struct er_err *err)
{
    int64_t priority = 0, tag = 0;
    if (!get_string(o, "id", r->id, sizeof(r->id), true, err) ||
        !get_string(o, "account", r->account, sizeof(r->account), true, err) ||
        !get_string(o, "db", r->db, sizeof(r->db), true, err) || !get_kind(o, &r->kind, err) ||
        !get_string(o, "token", r->token, sizeof(r->token), false, err) ||
        !get_string(o, "txn", r->txn, sizeof(r->txn), false, err) ||
        !get_flag(o, "repeat_safe", &r->repeat_safe, err) ||
        !get_flag(o, "resend", &r->resend, err) || !get_flag(o, "hop", &r->hop, err) ||
        !get_int(o, "age_ms", 0, INT64_MAX / 2000, &r->age_ms, err) ||
        !get_int(o, "deadline_ms", 1, CL_MAX_DEADLINE_MS, &r->deadline_ms, err) ||
        !get_int(o, "issued_ms", 0, INT64_MAX, &r->issued_ms, err) ||
        !get_int(o, "priority", 0, 1, &priority, err) ||
        !get_int(o, "tag", 0, INT64_MAX, &tag, err) || !get_stmt(o, r, err))
        return false;
    r->priority = (int)priority;
    r->tag = (uint64_t)tag;
    if (r->txn[0] == 0 && (r->kind == CL_COMMIT || r->kind == CL_ROLLBACK))
        return er_set(err, ER_BAD_INPUT, "txn: required for %s", kind_names[r->kind]);
    return true;
}

bool cl_parse(const char *text, size_t len, struct cl_request *r, struct er_err *err)
{
    json_error_t je;
    memset(r, 0, sizeof(*r));
    r->age_ms = -1;
    r->deadline_ms = CL_DEFAULT_DEADLINE_MS;
    json_t *o = json_loadb(text, len, JSON_REJECT_DUPLICATES, &je);
    if (!o)
        return er_set(err, ER_BAD_INPUT, "invalid JSON: %s at byte %d", je.text, je.position);
    bool ok = json_is_object(o) ? parse_fields(o, r, err)
                                : er_set(err, ER_BAD_INPUT, "expected a JSON object");
    json_decref(o);
    return ok;
}

void cl_request_free(struct cl_request *r)
{
    free(r->stmt);
    r->stmt = NULL;
}

void cl_write_request(struct sr_buf *out, const struct cl_request *r, int64_t deadline_ms)
{
    json_t *o = json_pack("{s:s,s:s,s:s,s:s,s:I,s:b,s:b,s:b,s:i}", "id", r->id, "account",
                          r->account, "db", r->db, "kind", kind_names[r->kind], "deadline_ms",
                          (json_int_t)deadline_ms, "hop", 1, "repeat_safe", r->repeat_safe,
                          "resend", r->resend, "priority", r->priority);
    if (r->stmt)
        json_object_set_new(o, "stmt", json_string(r->stmt));
    if (r->token[0])
        json_object_set_new(o, "token", json_string(r->token));
    if (r->txn[0])
        json_object_set_new(o, "txn", json_string(r->txn));
    if (r->age_ms >= 0)
        json_object_set_new(o, "age_ms", json_integer(r->age_ms));
    if (r->issued_ms)
        json_object_set_new(o, "issued_ms", json_integer(r->issued_ms));
    if (r->tag)
        json_object_set_new(o, "tag", json_integer((json_int_t)r->tag));
    char *s = json_dumps(o, JSON_COMPACT);
    if (s)
        sr_buf_add(out, s, strlen(s));
    free(s);
    json_decref(o);
}

/* ---- answers ---- */

/* Appends a member with a JSON string. Statements may return any bytes; jansson rejects text
 * that is not UTF-8, and the member is then an empty string. */
static void put_string(struct sr_buf *out, const char *key, struct sr_str s)
{
    json_t *v = json_stringn(s.p, s.len);
    char *t = v ? json_dumps(v, JSON_ENCODE_ANY) : NULL;
    sr_buf_printf(out, ",\"%s\":", key);
    if (t)
        sr_buf_add(out, t, strlen(t));
    else
        sr_buf_add(out, "\"\"", 2);
    free(t);
    json_decref(v);
}

static void put_result(struct sr_buf *out, const struct cl_answer *a)
{
    put_string(out, "value", a->value);
    if (a->token && a->token[0])
        sr_buf_printf(out, ",\"token\":\"%s\"", a->token);
    if (a->txn)
        sr_buf_printf(out, ",\"txn\":\"%s\"", a->txn);
    if (a->served_by)
        sr_buf_printf(out, ",\"served_by\":\"%s\",\"replica\":%s", a->served_by,
                      a->replica ? "true" : "false");
    if (a->duplicate)
        sr_buf_printf(out, ",\"duplicate\":true");
    if (!a->durable)
        sr_buf_printf(out, ",\"durable\":false");
}

void cl_write_answer(struct sr_buf *out, const char *id, const struct cl_answer *a)
{
    enum er_answer ans = er_answer(a->kind);
    sr_buf_printf(out, "{\"status\":\"%s\"", er_answer_name(ans));
    put_string(out, "id", sr_from(id));
    if (ans == ER_ANS_OK) {
        put_result(out, a);
    } else {
        sr_buf_printf(out, ",\"reason\":\"%s\"", er_name(a->kind));
        if (a->detail)
            put_string(out, "detail", sr_from(a->detail));
    }
    if (ans == ER_ANS_NOT_RUN)
        sr_buf_printf(out, ",\"retry_after_ms\":%lld",
                      (long long)(a->retry_after_ms > 0 ? a->retry_after_ms : 1));
    if (a->tag)
        sr_buf_printf(out, TAG_FIELD "%llu", (unsigned long long)a->tag);
    sr_buf_add(out, "}", 1);
}

uint64_t cl_strip_tag(const char *text, size_t *len)
{
    size_t n = *len, digits = 0;
    if (n == 0 || text[n - 1] != '}')
        return 0;
    n--;
    while (digits < n && text[n - 1 - digits] >= '0' && text[n - 1 - digits] <= '9')
        digits++;
    size_t field = sizeof(TAG_FIELD) - 1;
    if (digits == 0 || n < digits + field ||
        memcmp(text + n - digits - field, TAG_FIELD, field) != 0)
        return 0;
    *len = n - digits - field;
    return strtoull(text + n - digits, NULL, 10);
}

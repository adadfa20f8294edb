#include "misc/json.h"

#include <stdlib.h>
#include <string.h>

enum {
    MAX_FAST_DIGITS = 15, /* longer integers are parsed by jansson, as they may overflow */
    MAX_FAST_DEPTH = 16,  /* more deeply nested values are parsed by jansson */
};

static bool is_blank(char c)
{
    return c == ' ' || c == '\n' || c == '\t' || c == '\r';
}

static void skip_blanks(struct js_at *at)
{
    while (at->p < at->end && is_blank(*at->p))
        at->p++;
}

bool js_accept_char(struct js_at *at, char mark)
{
    skip_blanks(at);
    if (at->p == at->end || *at->p != mark)
        return false;
    at->p++;
    return true;
}

bool js_ends(struct js_at *at)
{
    skip_blanks(at);
    return at->p == at->end;
}

/* ---- slices ---- */

/* Returns the position after the closing quote of the string that starts at p. */
static const char *end_of_string(const char *p, const char *end)
{
    for (p++; p < end && *p != '"'; p++) {
        if (*p == '\\' && p + 1 < end)
            p++;
    }
    return p < end ? p + 1 : end;
}

static const char *end_of_brackets(const char *p, const char *end)
{
    int depth = 0;
    while (p < end) {
        if (*p == '"') {
            p = end_of_string(p, end);
            continue;
        }
        if (*p == '{' || *p == '[')
            depth++;
        if (*p == '}' || *p == ']')
            depth--;
        p++;
        if (depth == 0)
            break;
    }
    return p;
}

static const char *end_of_word(const char *p, const char *end)
{
    while (p < end && !is_blank(*p) && *p != ',' && *p != ':' && *p != ']' && *p != '}')
        p++;
    return p;
}

struct sr_str js_slice(struct js_at *at)
{
    skip_blanks(at);
    const char *from = at->p;
    char c = from < at->end ? *from : 0;
    if (c == '"')
        at->p = end_of_string(from, at->end);
    else if (c == '{' || c == '[')
        at->p = end_of_brackets(from, at->end);
    else
        at->p = end_of_word(from, at->end);
    return (struct sr_str){from, (size_t)(at->p - from)};
}

json_t *js_tree(struct sr_str text)
{
    return json_loadb(text.p, text.len, JSON_DECODE_ANY | JSON_REJECT_DUPLICATES, NULL);
}

/* ---- simple objects ---- */

/* Parses a string of printable ASCII characters without escapes. */
static bool parse_simple_string(struct js_at *at, struct sr_str *out)
{
    if (!js_accept_char(at, '"'))
        return false;
    const char *p = at->p;
    while (p < at->end && *p >= ' ' && *p < 0x7f && *p != '"' && *p != '\\')
        p++;
    if (p == at->end || *p != '"')
        return false;
    *out = (struct sr_str){at->p, (size_t)(p - at->p)};
    at->p = p + 1;
    return true;
}

static bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

static bool parse_simple_integer(struct js_at *at, struct js_value *v)
{
    const char *p = at->p;
    bool negative = p < at->end && *p == '-';
    p += negative;
    const char *first = p;
    int64_t n = 0;
    while (p < at->end && is_digit(*p) && p - first < MAX_FAST_DIGITS)
        n = n * 10 + (*p++ - '0');
    if (p == first || p == at->end)
        return false;
    bool padded = *first == '0' && p - first > 1;
    if (padded || is_digit(*p) || *p == '.' || *p == 'e' || *p == 'E')
        return false;
    at->p = p;
    v->kind = JS_INTEGER;
    v->whole = negative ? -n : n;
    v->real = (double)v->whole;
    return true;
}

static bool accept_word(struct js_at *at, struct sr_str w)
{
    if ((size_t)(at->end - at->p) < w.len || memcmp(at->p, w.p, w.len) != 0)
        return false;
    at->p += w.len;
    return true;
}

static bool parse_simple_value(struct js_at *at, struct js_value *v)
{
    *v = (struct js_value){0};
    skip_blanks(at);
    if (at->p < at->end && *at->p == '"') {
        v->kind = JS_TEXT;
        return parse_simple_string(at, &v->text);
    }
    if (accept_word(at, SR_LIT("true")))
        v->kind = JS_TRUE;
    else if (accept_word(at, SR_LIT("false")))
        v->kind = JS_FALSE;
    else if (accept_word(at, SR_LIT("null")))
        v->kind = JS_OTHER;
    else
        return parse_simple_integer(at, v);
    return true;
}

static bool is_new(const struct js_object *o, struct sr_str key)
{
    for (int i = 0; i < o->n; i++) {
        if (sr_eq(o->keys[i], key))
            return false;
    }
    return true;
}

static bool parse_simple_object(struct js_at *at, struct js_object *o)
{
    if (!js_accept_char(at, '{'))
        return false;
    if (js_accept_char(at, '}'))
        return true;
    do {
        struct sr_str key;
        if (o->n == JS_FIELDS || !parse_simple_string(at, &key) || !is_new(o, key) ||
            !js_accept_char(at, ':') || !parse_simple_value(at, &o->values[o->n]))
            return false;
        o->keys[o->n++] = key;
    } while (js_accept_char(at, ','));
    return js_accept_char(at, '}');
}

bool js_object(struct js_at *at, struct js_object *o)
{
    struct js_at from = *at;
    o->n = 0;
    o->tree = NULL;
    if (parse_simple_object(at, o))
        return true;
    *at = from;
    o->n = 0;
    o->tree = js_tree(js_slice(at));
    return json_is_object(o->tree);
}

void js_object_free(struct js_object *o)
{
    json_decref(o->tree);
    o->tree = NULL;
}

static struct js_value value_from_tree(const json_t *j)
{
    struct js_value v = {.kind = j ? JS_OTHER : JS_NONE, .real = json_number_value(j)};
    if (json_is_string(j)) {
        v.kind = JS_TEXT;
        v.text = (struct sr_str){json_string_value(j), json_string_length(j)};
    } else if (json_is_integer(j)) {
        v.kind = JS_INTEGER;
        v.whole = json_integer_value(j);
    } else if (json_is_real(j)) {
        v.kind = JS_REAL;
    } else if (json_is_boolean(j)) {
        v.kind = json_is_true(j) ? JS_TRUE : JS_FALSE;
    }
    return v;
}

struct js_value js_get(const struct js_object *o, const char *key)
{
    struct sr_str k = sr_from(key);
    for (int i = 0; i < o->n; i++) {
        if (sr_eq(o->keys[i], k))
            return o->values[i];
    }
    return value_from_tree(json_object_get(o->tree, key));
}

/* ---- trees ---- */

static json_t *load(struct js_at *at, int depth);

/* Returns the character that the escape `c` represents, or 0 for an escape that jansson must
 * parse. */
static char escaped(char c)
{
    static const char from[] = "\"\\/bfnrt", to[] = "\"\\/\b\f\n\r\t";
    const char *at = c ? strchr(from, c) : NULL;
    return at ? to[at - from] : 0;
}

/* Writes the string with its escapes resolved to `out`, which must hold s.len bytes. Returns
 * false if jansson must parse the string. */
static bool unescape(struct sr_str s, char *out, size_t *len)
{
    const char *p = s.p, *end = s.p + s.len;
    char *to = out;
    while (p < end) {
        char c = *p++;
        if ((unsigned char)c < ' ')
            return false;
        if (c == '\\') {
            c = p < end ? escaped(*p++) : 0;
            if (!c)
                return false;
        }
        *to++ = c;
    }
    *len = (size_t)(to - out);
    return true;
}

static json_t *load_string(struct js_at *at)
{
    struct sr_str whole = js_slice(at);
    size_t len;
    json_t *j = NULL;
    if (whole.len < 2 || whole.p[whole.len - 1] != '"')
        return NULL;
    char *text = sr_alloc(whole.len);
    if (unescape((struct sr_str){whole.p + 1, whole.len - 2}, text, &len))
        j = json_stringn(text, len);
    free(text);
    return j ? j : json_loadb(whole.p, whole.len, JSON_DECODE_ANY, NULL);
}

static json_t *load_array(struct js_at *at, int depth)
{
    json_t *a = json_array();
    if (js_accept_char(at, ']'))
        return a;
    do {
        if (json_array_append_new(a, load(at, depth)) != 0)
            goto bad;
    } while (js_accept_char(at, ','));
    if (js_accept_char(at, ']'))
        return a;
bad:
    json_decref(a);
    return NULL;
}

static bool load_member(struct js_at *at, json_t *o, int depth)
{
    skip_blanks(at);
    json_t *key = at->p < at->end && *at->p == '"' ? load_string(at) : NULL;
    bool ok = key && js_accept_char(at, ':') &&
              json_object_set_new(o, json_string_value(key), load(at, depth)) == 0;
    json_decref(key);
    return ok;
}

static json_t *load_object(struct js_at *at, int depth)
{
    json_t *o = json_object();
    if (js_accept_char(at, '}'))
        return o;
    do {
        if (!load_member(at, o, depth))
            goto bad;
    } while (js_accept_char(at, ','));
    if (js_accept_char(at, '}'))
        return o;
bad:
    json_decref(o);
    return NULL;
}

static json_t *load(struct js_at *at, int depth)
{
    skip_blanks(at);
    char c = at->p < at->end ? *at->p : 0;
    if (c == '"')
        return load_string(at);
    if (depth < MAX_FAST_DEPTH && js_accept_char(at, '['))
        return load_array(at, depth + 1);
    if (depth < MAX_FAST_DEPTH && js_accept_char(at, '{'))
        return load_object(at, depth + 1);
    struct sr_str s = js_slice(at);
    return json_loadb(s.p, s.len, JSON_DECODE_ANY, NULL);
}

json_t *js_load(struct sr_str text)
{
    struct js_at at = {text.p, text.p + text.len};
    skip_blanks(&at);
    json_t *j = at.p < at.end && (*at.p == '[' || *at.p == '{') ? load(&at, 0) : NULL;
    if (j && js_ends(&at))
        return j;
    json_decref(j);
    return NULL;
}

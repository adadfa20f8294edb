/* A fast reader for large JSON texts that works in place.
 *
 * jansson reads each byte several times and builds a tree of the whole text. This module parses
 * the simple parts itself. Other parts (strings with escapes, numbers other than short
 * integers, values in unexpected places) are passed to jansson one by one, so that the same
 * texts are accepted. */
#ifndef FL_MISC_JSON_H
#define FL_MISC_JSON_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "misc/str.h"

/* The read position in a text, which the caller owns. */
struct js_at {
    const char *p, *end;
};

enum js_kind { JS_NONE, JS_TEXT, JS_INTEGER, JS_REAL, JS_TRUE, JS_FALSE, JS_OTHER };

struct js_value {
    enum js_kind kind;
    struct sr_str text; /* JS_TEXT; valid while the object and the parsed text exist */
    int64_t whole;      /* JS_INTEGER */
    double real;        /* JS_INTEGER, JS_REAL */
};

enum { JS_FIELDS = 24 }; /* an object with more members is parsed by jansson */

/* The members of an object, either the first n items of `keys` and `values`, or `tree`. */
struct js_object {
    int n;
    struct sr_str keys[JS_FIELDS];
    struct js_value values[JS_FIELDS];
    json_t *tree;
};

/* Skip whitespace and consume the next character if it is `mark`. Returns whether it was. */
bool js_accept_char(struct js_at *at, char mark);
/* Skip whitespace and return whether the end of the text is reached. */
bool js_ends(struct js_at *at);
/* Returns the text of the next value. The end is found by matching brackets and quotes; the
 * value is not validated. */
struct sr_str js_slice(struct js_at *at);
/* Parse the text of a value into a tree. Returns NULL if it is invalid JSON or if an object has
 * a duplicate key. */
json_t *js_tree(struct sr_str text);

/* Parse the next value, which must be an object without duplicate keys. Returns false if it is
 * not. *o must be freed with js_object_free in both cases. */
bool js_object(struct js_at *at, struct js_object *o);
void js_object_free(struct js_object *o);
struct js_value js_get(const struct js_object *o, const char *key);

/* Equivalent to json_loadb without flags, but faster for texts with long strings. */
json_t *js_load(struct sr_str text);

#endif

/* Large JSON texts, read in place.
 *
 * jansson looks at every byte several times and makes a tree of all of them. What is plain is
 * read here; what is not (an escape, another number, a value in an unexpected place) is left to
 * jansson, part by part, so that the same texts are accepted. */
#ifndef FL_MISC_JSON_H
#define FL_MISC_JSON_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "misc/str.h"

/* Where a reader stands in a text that somebody else owns. */
struct js_at {
    const char *p, *end;
};

enum js_kind { JS_NONE, JS_TEXT, JS_WHOLE, JS_REAL, JS_TRUE, JS_FALSE, JS_OTHER };

struct js_value {
    enum js_kind kind;
    struct sr_str text; /* JS_TEXT; lives as long as the object and the text it was read from */
    int64_t whole;      /* JS_WHOLE */
    double real;        /* JS_WHOLE, JS_REAL */
};

enum { JS_FIELDS = 24 }; /* an object of more is left to jansson */

/* An object's members: the first n in `keys`, or all of them in `tree`. */
struct js_object {
    int n;
    struct sr_str keys[JS_FIELDS];
    struct js_value values[JS_FIELDS];
    json_t *tree;
};

/* Take the mark if it comes next; blanks before it are skipped. */
bool js_mark(struct js_at *at, char mark);
/* Whether only blanks are left. */
bool js_ends(struct js_at *at);
/* The next value's text, found by its brackets and quotes: nothing in it is checked. */
struct sr_str js_slice(struct js_at *at);
/* A value's text as a tree, NULL if it is none; an object with the same key twice is none. */
json_t *js_tree(struct sr_str text);

/* The next value, which must be an object; no key may come twice. False if it is not; *o is to
 * be freed either way. */
bool js_object(struct js_at *at, struct js_object *o);
void js_object_free(struct js_object *o);
struct js_value js_get(const struct js_object *o, const char *key);

/* What json_loadb makes of it without flags, for texts with long strings. */
json_t *js_load(struct sr_str text);

#endif

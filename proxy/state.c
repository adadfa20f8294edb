#include "proxy/state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

static char *dup_str(struct sr_str s)
{
    char *p = sr_alloc(s.len + 1);
    sr_move(p, s.p, s.len);
    return p;
}

static bool str_equals(const char *z, struct sr_str s)
{
    return sr_eq(sr_from(z), s);
}

/* Collision-resistant, as callers choose the text. */
static void digest(struct sr_str s, unsigned char out[PX_DIGEST_BYTES])
{
    crypto_generichash(out, PX_DIGEST_BYTES, (const unsigned char *)s.p, s.len, NULL, 0);
}

/* ---- state of a session ---- */

/* Whether the state may grow by `add` bytes while it loses `remove`. */
static bool fits(const struct px_state *s, size_t add, size_t remove, struct er_err *err)
{
    if (s->bytes + add - remove <= PX_MAX_STATE_BYTES)
        return true;
    return er_set(err, ER_TOO_LARGE,
                  "a session can have at most %d bytes of values and prepared statements",
                  PX_MAX_STATE_BYTES);
}

bool px_set_value(struct px_state *s, struct sr_str name, struct sr_str value,
                  struct er_err *err)
{
    int i = 0;
    while (i < s->n_values && !str_equals(s->values[i].name, name))
        i++;
    if (i == PX_MAX_VALUES)
        return er_set(err, ER_TOO_LARGE, "a session can have at most %d values", PX_MAX_VALUES);
    bool found = i < s->n_values;
    size_t add = value.len + (found ? 0 : name.len + sizeof(*s->values));
    size_t removed = found ? strlen(s->values[i].value) : 0;
    if (!fits(s, add, removed, err))
        return false;
    if (!found) {
        s->values = sr_realloc(s->values, sizeof(*s->values) * (size_t)(i + 1));
        s->values[i] = (struct px_value){.name = dup_str(name)};
        s->n_values++;
    }
    s->bytes = s->bytes + add - removed;
    free(s->values[i].value);
    s->values[i].value = dup_str(value);
    s->values[i].version = ++s->version;
    return true;
}

static int prepared_index(const struct px_state *s, struct sr_str name)
{
    for (int i = 0; i < s->n_prepared; i++) {
        if (str_equals(s->prepared[i].name, name))
            return i;
    }
    return -1;
}

const struct px_prepared *px_find_prepared(const struct px_state *s, struct sr_str name)
{
    int i = prepared_index(s, name);
    return i < 0 ? NULL : &s->prepared[i];
}

static size_t prepared_bytes(const struct px_prepared *p)
{
    return sizeof(*p) + strlen(p->name) + strlen(p->shape);
}

bool px_prepare(struct px_state *s, struct sr_str name, bool writes, struct sr_str shape,
                struct er_err *err)
{
    int i = prepared_index(s, name);
    bool found = i >= 0;
    size_t removed = found ? strlen(s->prepared[i].shape) : 0;
    size_t add = shape.len + (found ? 0 : name.len + sizeof(*s->prepared));
    if (!found && s->n_prepared == PX_MAX_PREPARED)
        return er_set(err, ER_TOO_LARGE, "a session can have at most %d prepared statements",
                      PX_MAX_PREPARED);
    if (!fits(s, add, removed, err))
        return false;
    if (!found) {
        i = s->n_prepared++;
        s->prepared = sr_realloc(s->prepared, sizeof(*s->prepared) * (size_t)s->n_prepared);
        s->prepared[i] = (struct px_prepared){.name = dup_str(name)};
    }
    s->bytes = s->bytes + add - removed;
    free(s->prepared[i].shape);
    s->prepared[i].shape = dup_str(shape);
    s->prepared[i].writes = writes;
    digest(shape, s->prepared[i].digest);
    return true;
}

static void free_prepared(struct px_prepared *p)
{
    free(p->name);
    free(p->shape);
}

bool px_deallocate(struct px_state *s, struct sr_str name, struct er_err *err)
{
    int i = prepared_index(s, name);
    if (i < 0)
        return er_set(err, ER_NO_STATEMENT, "%.*s", (int)name.len, name.p);
    s->bytes -= prepared_bytes(&s->prepared[i]);
    free_prepared(&s->prepared[i]);
    s->prepared[i] = s->prepared[--s->n_prepared];
    return true;
}

void px_state_free(struct px_state *s)
{
    for (int i = 0; i < s->n_values; i++) {
        free(s->values[i].name);
        free(s->values[i].value);
    }
    for (int i = 0; i < s->n_prepared; i++)
        free_prepared(&s->prepared[i]);
    free(s->values);
    free(s->prepared);
    *s = (struct px_state){.session = s->session, .version = s->version};
}

/* ---- state of a connection ---- */

const char *px_prepared_name_on(const struct px_applied *a, const struct px_prepared *run)
{
    for (int i = 0; i < a->n_prepared; i++) {
        const struct px_applied_stmt *p = &a->prepared[i];
        if (p->writes == run->writes && memcmp(p->digest, run->digest, PX_DIGEST_BYTES) == 0)
            return p->name;
    }
    return NULL;
}

/* The value set first among those that the connection lacks. */
static const struct px_value *next_value(const struct px_state *s, uint64_t has)
{
    const struct px_value *best = NULL;
    for (int i = 0; i < s->n_values; i++) {
        const struct px_value *v = &s->values[i];
        if (v->version > has && (!best || v->version < best->version))
            best = v;
    }
    return best;
}

bool px_next_setup(const struct px_state *s, const struct px_applied *a,
                   const struct px_prepared *run, char name[PX_STMT_NAME], struct px_stmt *st)
{
    *st = (struct px_stmt){.verb = PX_V_DISCARD};
    bool has_other = a->session && a->session != s->session;
    bool lacks = run && !px_prepared_name_on(a, run);
    if (has_other || (lacks && a->n_prepared == PX_MAX_PREPARED_ON_CONN))
        return true;
    const struct px_value *v = next_value(s, a->session ? a->version : 0);
    if (v) {
        *st = (struct px_stmt){
            .verb = PX_V_SET, .name = sr_from(v->name), .value = sr_from(v->value)};
        return true;
    }
    if (!lacks)
        return false;
    snprintf(name, PX_STMT_NAME, "p%u", a->last_name + 1);
    *st = (struct px_stmt){.verb = PX_V_PREPARE,
                           .name = sr_from(name),
                           .writes = run->writes,
                           .value = sr_from(run->shape)};
    return true;
}

void px_applied_free(struct px_applied *a)
{
    free(a->prepared);
    unsigned last_name = a->last_name;
    *a = (struct px_applied){.last_name = last_name};
}

static void add_applied(struct px_applied *a, const struct px_stmt *st)
{
    a->prepared = sr_realloc(a->prepared, sizeof(*a->prepared) * (size_t)(a->n_prepared + 1));
    struct px_applied_stmt *p = &a->prepared[a->n_prepared++];
    *p = (struct px_applied_stmt){.writes = st->writes};
    sr_copy(p->name, sizeof(p->name), st->name);
    digest(st->value, p->digest);
}

void px_setup_done(const struct px_state *s, struct px_applied *a, const struct px_stmt *st)
{
    if (st->verb == PX_V_DISCARD) {
        px_applied_free(a);
    } else if (st->verb == PX_V_SET) {
        const struct px_value *v = next_value(s, a->session ? a->version : 0);
        a->session = s->session;
        a->version = v ? v->version : s->version;
    } else if (st->verb == PX_V_PREPARE) {
        a->last_name++;
        add_applied(a, st);
    }
}

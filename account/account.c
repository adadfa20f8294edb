#include "account/account.h"

#include <stdlib.h>

#include <xxhash.h>

enum { INITIAL_SLOTS = 64, GROWTH = 2 };

/* Whether s is one word shorter than `cap`, without blanks and control characters. */
static bool is_word(struct sr_str s, size_t cap)
{
    if (s.len == 0 || s.len >= cap)
        return false;
    for (size_t i = 0; i < s.len; i++) {
        unsigned char c = (unsigned char)s.p[i];
        if (c <= ' ' || c == 0x7f)
            return false;
    }
    return true;
}

int ac_add(struct ac_table *t, struct sr_str name, struct er_err *err)
{
    struct ac_account a = {0};
    if (!is_word(name, AC_NAME) || sr_eq(name, SR_LIT("-"))) {
        er_set(err, ER_BAD_INPUT, "account %d: name is not a word of 1 to %d bytes", t->n,
               AC_NAME - 1);
        return -1;
    }
    sr_copy(a.name, sizeof(a.name), name);
    if (ix_get(&t->by_name, a.name) != IX_NONE) {
        er_set(err, ER_BAD_INPUT, "account %s is listed twice", a.name);
        return -1;
    }
    t->accounts = sr_realloc(t->accounts, sizeof(*t->accounts) * (size_t)(t->n + 1));
    t->accounts[t->n] = a;
    ix_set(&t->by_name, a.name, t->n);
    return t->n++;
}

/* Returns the slot of the key, or the free slot where the key would be inserted. */
static struct ac_slot *find_slot(const struct ac_table *t, struct sr_str key, uint64_t hash)
{
    size_t i = (size_t)(hash % (uint64_t)t->cap);
    for (;;) {
        struct ac_slot *s = &t->slots[i];
        if (s->account < 0)
            return s;
        if (s->hash == hash && sr_eq(sr_from(t->texts.p + s->key), key))
            return s;
        i = i + 1 == (size_t)t->cap ? 0 : i + 1;
    }
}

static void grow(struct ac_table *t)
{
    struct ac_slot *old = t->slots;
    int n = t->cap;
    t->cap = n ? n * GROWTH : INITIAL_SLOTS;
    t->slots = sr_alloc(sizeof(*t->slots) * (size_t)t->cap);
    for (int i = 0; i < t->cap; i++)
        t->slots[i].account = -1;
    for (int i = 0; i < n; i++) {
        if (old[i].account >= 0)
            *find_slot(t, sr_from(t->texts.p + old[i].key), old[i].hash) = old[i];
    }
    free(old);
}

bool ac_add_key(struct ac_table *t, int account, struct sr_str key, struct er_err *err)
{
    const char *name = t->accounts[account].name;
    if (!is_word(key, AC_KEY))
        return er_set(err, ER_BAD_INPUT, "account %s: a key is not a word of 1 to %d bytes",
                      name, AC_KEY - 1);
    if (t->n_keys >= AC_MAX_KEYS)
        return er_set(err, ER_TOO_LARGE, "accounts have more than %d keys", AC_MAX_KEYS);
    if ((t->n_keys + 1) * 3 > t->cap * 2)
        grow(t);
    uint64_t hash = XXH64(key.p, key.len, 0);
    struct ac_slot *s = find_slot(t, key, hash);
    if (s->account == account)
        return true; /* the account lists the key twice */
    if (s->account >= 0)
        return er_set(err, ER_BAD_INPUT, "accounts %s and %s have a key in common",
                      t->accounts[s->account].name, name);
    *s = (struct ac_slot){hash, (uint32_t)t->texts.len, account};
    sr_buf_add(&t->texts, key.p, key.len);
    sr_buf_add(&t->texts, "", 1);
    t->n_keys++;
    return true;
}

void ac_free(struct ac_table *t)
{
    free(t->accounts);
    free(t->slots);
    ix_free(&t->by_name);
    sr_buf_free(&t->texts);
    *t = (struct ac_table){0};
}

const struct ac_account *ac_of_key(const struct ac_table *t, struct sr_str key)
{
    if (t->n_keys == 0 || key.len == 0)
        return NULL;
    const struct ac_slot *s = find_slot(t, key, XXH64(key.p, key.len, 0));
    return s->account < 0 ? NULL : &t->accounts[s->account];
}

const struct ac_account *ac_by_name(const struct ac_table *t, const char *name)
{
    int i = t->n && name[0] ? ix_get(&t->by_name, name) : IX_NONE;
    return i == IX_NONE ? NULL : &t->accounts[i];
}

/* Client accounts: which account a caller's key belongs to, and how much it may ask for.
 *
 * Pure. A document lists accounts with their keys; a node that acts on it finds the account of
 * a key by hash, without a walk. A key is a secret: it stands in no error text. */
#ifndef FL_ACCOUNT_ACCOUNT_H
#define FL_ACCOUNT_ACCOUNT_H

#include <stdbool.h>
#include <stdint.h>

#include "misc/err.h"
#include "misc/index.h"
#include "misc/str.h"

enum {
    AC_NAME = IX_NAME, /* bytes of a name, the closing NUL included */
    AC_KEY = 128,      /* bytes of a key, likewise */
    AC_MAX = 16384,    /* accounts of a document */
    AC_MAX_KEYS = 131072,
};

struct ac_account {
    char name[AC_NAME];
    bool limited;
    double rate;  /* operations a second, on all nodes together */
    double burst; /* operations that may come at once after a rest */
};

struct ac_slot {
    uint64_t hash;
    uint32_t key;    /* where the text begins in `texts`; its NUL ends it */
    int32_t account; /* below 0: the slot is free */
};

/* Zero-initialised is empty: a document that says nothing of accounts. */
struct ac_table {
    bool given; /* the document lists accounts: keys count */
    int n;
    struct ac_account *accounts;
    struct ix_index by_name; /* numbers in `accounts` */
    int n_keys, cap;
    struct ac_slot *slots; /* open addressing; at most two thirds are taken */
    struct sr_buf texts;
};

/* Add an account. Its name is one word, 1 to AC_NAME - 1 bytes, not "-", and not there yet.
 * Returns its number, or -1 with *err. */
int ac_add(struct ac_table *t, struct sr_str name, struct er_err *err);
/* Give the account a key, a word of 1 to AC_KEY - 1 bytes that no other account has. */
bool ac_add_key(struct ac_table *t, int account, struct sr_str key, struct er_err *err);
void ac_free(struct ac_table *t);

/* The account that has the key, NULL none. */
const struct ac_account *ac_of_key(const struct ac_table *t, struct sr_str key);
const struct ac_account *ac_by_name(const struct ac_table *t, const char *name);

#endif

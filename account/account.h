/* Client accounts: the account that a caller's key belongs to, and its limit.
 *
 * Pure: no input or output. A configuration document lists accounts with their keys. The
 * account of a key is found by hash, not by a search through all keys. A key is a secret and is
 * never part of an error message. */
#ifndef FL_ACCOUNT_ACCOUNT_H
#define FL_ACCOUNT_ACCOUNT_H

#include <stdbool.h>
#include <stdint.h>

#include "misc/err.h"
#include "misc/index.h"
#include "misc/str.h"

enum {
    AC_NAME = IX_NAME,    /* bytes of a name, including the terminating NUL */
    AC_KEY = 128,         /* bytes of a key, including the terminating NUL */
    AC_MAX = 16384,       /* accounts in a document */
    AC_MAX_KEYS = 131072, /* keys in a document */
};

struct ac_account {
    char name[AC_NAME];
    bool limited; /* rate and burst apply */
    double rate;  /* operations per second, on all nodes together */
    double burst; /* operations that may begin at once after an idle time */
};

struct ac_slot {
    uint64_t hash;
    uint32_t key;    /* offset of the key in `texts`, where it ends with a NUL */
    int32_t account; /* index into `accounts`; below 0: the slot is free */
};

/* A zero-initialized table is that of a document without accounts. */
struct ac_table {
    bool given; /* the document lists accounts, so callers need a key */
    int n;
    struct ac_account *accounts;
    struct ix_index by_name; /* indexes into `accounts` */
    int n_keys, cap;
    struct ac_slot *slots; /* open addressing, at most two thirds full */
    struct sr_buf texts;   /* all keys */
};

/* Adds an account. The name must be one word of 1 to AC_NAME - 1 bytes, must not be "-" and
 * must not be in the table yet. Returns the account's index, or -1 with *err set to
 * ER_BAD_INPUT. */
int ac_add(struct ac_table *t, struct sr_str name, struct er_err *err);
/* Adds a key to an account: a word of 1 to AC_KEY - 1 bytes that no other account has. Fails
 * with ER_BAD_INPUT or, for too many keys, ER_TOO_LARGE. */
bool ac_add_key(struct ac_table *t, int account, struct sr_str key, struct er_err *err);
void ac_free(struct ac_table *t);

/* Return the account with the key or the name, or NULL. */
const struct ac_account *ac_of_key(const struct ac_table *t, struct sr_str key);
const struct ac_account *ac_by_name(const struct ac_table *t, const char *name);

#endif

/* The data of a stand-in instance: a log of records, the state they lead to, and claims.
 *
 * Statements (of tests and demos only):
 *   get KEY          version of KEY, as "KEY=N"
 *   runs ID          how often ID was marked, as "ID=N"
 *   mark ID KEY      one more run of ID, one more version of KEY; gives "KEY=N"
 * A record is the statements of one transaction with its claim; replicas run the same. */
#ifndef FL_TESTS_STANDIN_ENGINE_H
#define FL_TESTS_STANDIN_ENGINE_H

#include "misc/pos.h"
#include "misc/str.h"

struct eg_record {
    uint64_t term;
    char *text;  /* statements, one a line */
    char *claim; /* "" for none */
    char *answer;
};

struct eg_engine;

struct eg_engine *eg_create(void);
void eg_destroy(struct eg_engine *e);
/* Append to the log without applying. */
void eg_append(struct eg_engine *e, uint64_t term, const char *text, const char *claim,
               const char *answer);
/* Apply records up to `pos`. */
void eg_apply_to(struct eg_engine *e, uint64_t pos);
/* Drop records above `pos`; the state is made anew. */
void eg_truncate(struct eg_engine *e, uint64_t pos);
struct ps_pos eg_held(const struct eg_engine *e);
struct ps_pos eg_applied(const struct eg_engine *e);
const struct eg_record *eg_record(const struct eg_engine *e, uint64_t pos);
/* Starts of the terms in the log: returns their number. */
int eg_starts(const struct eg_engine *e, struct ps_start *out, int max);
/* The answer of the first run of a claim, or NULL. */
const char *eg_claimed(const struct eg_engine *e, const char *claim);
/* Whether the text is a statement of that kind. */
bool eg_is_read(const char *stmt);
bool eg_is_write(const char *stmt);
/* Answer a read from the applied state; `pending` are a transaction's own statements. */
void eg_read(struct eg_engine *e, const char *stmt, const char *pending, char *out, size_t cap);
/* What a write would answer if it ran now, after `pending`. */
void eg_preview(struct eg_engine *e, const char *stmt, const char *pending, char *out,
                size_t cap);

#endif

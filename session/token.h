/* Session tokens: what a caller has seen of one database.
 *
 * The token is the only session state; any entry node reads it. Form: 41 bytes (version,
 * hash of the database's name, term, position, MAC) as 55 base64url characters. A token that
 * was made up, altered or made for another database or cluster is told apart by its MAC. */
#ifndef FL_SESSION_TOKEN_H
#define FL_SESSION_TOKEN_H

#include "misc/pos.h"
#include "misc/str.h"

enum { SS_TOKEN_TEXT_BYTES = 56, SS_KEY_BYTES = 32 };

struct ss_key {
    unsigned char k[SS_KEY_BYTES];
};

/* The key from the cluster's secret, as it stands in the settings. */
void ss_key_from(struct ss_key *key, struct sr_str secret);
/* `out` takes SS_TOKEN_TEXT_BYTES bytes, closing NUL included. */
void ss_token_make(const struct ss_key *key, struct sr_str db, struct ps_pos pos, char *out);
/* False if the token is not ours for this database. */
bool ss_token_read(const struct ss_key *key, struct sr_str db, struct sr_str text,
                   struct ps_pos *pos);

#endif

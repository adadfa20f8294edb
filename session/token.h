/* Session tokens: the log position that a caller has seen in one database.
 *
 * The token is the only session state, and any entry node can read it. It has 41 bytes
 * (version, hash of the database name, term, position, MAC), encoded as 55 base64url
 * characters. The MAC check rejects tokens that were forged, altered or made in another
 * cluster, and the hash under the MAC rejects tokens of another database. */
#ifndef FL_SESSION_TOKEN_H
#define FL_SESSION_TOKEN_H

#include "misc/pos.h"
#include "misc/str.h"

enum { SS_TOKEN_TEXT_BYTES = 56, SS_KEY_BYTES = 32 };

struct ss_key {
    unsigned char k[SS_KEY_BYTES];
};

/* Derives the key from the cluster's secret, the text in the settings. */
void ss_key_from(struct ss_key *key, struct sr_str secret);
/* Writes SS_TOKEN_TEXT_BYTES bytes to `out`, including the terminating NUL. */
void ss_token_make(const struct ss_key *key, struct sr_str db, struct ps_pos pos, char *out);
/* Returns false if the token is invalid or belongs to another database or cluster. */
bool ss_token_read(const struct ss_key *key, struct sr_str db, struct sr_str text,
                   struct ps_pos *pos);

#endif

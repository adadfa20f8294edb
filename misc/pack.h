/* Long texts deflated, for logs and links. Short ones, and those that deflating does not make
 * shorter, stand as they are; a text that begins with a NUL can't be told apart and has no
 * place here. */
#ifndef FL_MISC_PACK_H
#define FL_MISC_PACK_H

#include "misc/err.h"
#include "misc/str.h"

/* Append the text to `out`, deflated if that pays. */
void pk_pack(struct sr_str text, struct sr_buf *out);
/* Append what was packed to `out`; no more than `max` bytes, whatever the writer claimed. */
bool pk_unpack(struct sr_str packed, size_t max, struct sr_buf *out, struct er_err *err);

#endif

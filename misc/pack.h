/* Compression of long texts with zlib, for stored logs and messages between nodes. Short texts,
 * and texts that compression does not make shorter, are kept unchanged. A text must not begin
 * with a NUL byte, because that byte marks a compressed text. */
#ifndef FL_MISC_PACK_H
#define FL_MISC_PACK_H

#include "misc/err.h"
#include "misc/str.h"

/* Append the text to `out`, compressed if that makes it shorter. */
void pk_pack(struct sr_str text, struct sr_buf *out);
/* Append the uncompressed text of `packed` to `out`. Fails with ER_TOO_LARGE if the header of a
 * compressed text states more than `max` bytes. */
bool pk_unpack(struct sr_str packed, size_t max, struct sr_buf *out, struct er_err *err);

#endif

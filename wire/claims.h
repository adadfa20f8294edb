/* Whether a msgpack message holds what its lists and texts claim to hold.
 *
 * msgpack-c makes room for a list of the length that is claimed before it reads any of it: five
 * hostile bytes ask for 137 GB. An element takes a byte at least, so that a list of more
 * elements than bytes are left is refused before it is unpacked. Pure. */
#ifndef FL_WIRE_CLAIMS_H
#define FL_WIRE_CLAIMS_H

#include <stdbool.h>
#include <stddef.h>

enum { CM_MAX_DEPTH = 32 }; /* lists within lists; our messages have four */

/* Whether the first value in the bytes is whole, no deeper than that, and what it claims is
 * there. */
bool cm_holds(const char *data, size_t len);

#endif

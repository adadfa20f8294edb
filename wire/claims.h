/* Checks the announced lengths of a msgpack message before it is unpacked.
 *
 * msgpack-c allocates an array of the announced length before it reads any element: five
 * hostile bytes request 137 GB. An element takes at least one byte, so an array with more
 * elements than the message has bytes left is refused before it is unpacked. Pure. */
#ifndef FL_WIRE_CLAIMS_H
#define FL_WIRE_CLAIMS_H

#include <stdbool.h>
#include <stddef.h>

enum { CM_MAX_DEPTH = 32 }; /* nested arrays; valid messages have four levels */

/* Whether the first value in the bytes is complete, nested no deeper than CM_MAX_DEPTH, and has
 * all the elements and bytes that its lengths announce. */
bool cm_holds(const char *data, size_t len);

#endif

/* libferrylanding: the coordination modules, for embedding in other programs. Each header
 * documents its contract. The modules do no input or output, except that the store and the disk
 * task of the replicated log (quorum/store.h, quorum/disk.h) write files. */
#ifndef FERRYLANDING_H
#define FERRYLANDING_H

#include "admit/admit.h"
#include "intent/intent.h"
#include "lease/lease.h"
#include "pool/shares.h"
#include "promote/promote.h"
#include "quorum/disk.h"
#include "quorum/quorum.h"
#include "quorum/store.h"
#include "route/holders.h"
#include "route/route.h"
#include "session/token.h"
#include "timeline/timeline.h"
#include "view/view.h"
#include "wire/wire.h"

#endif

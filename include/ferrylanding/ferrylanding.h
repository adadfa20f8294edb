/* libferrylanding: the coordination parts, for others to embed. Each header documents its
 * contract; none of these modules does input or output (the log's store and disk task write
 * files). */
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

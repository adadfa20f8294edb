/* What a failure that a log tells of waited for, or met.
 *
 * Pure. From the line's event, the error's kind (misc/err.h) and, where one kind has several
 * causes, the words of its detail. */
#ifndef FL_FERRYCTL_CAUSE_H
#define FL_FERRYCTL_CAUSE_H

#include <jansson.h>
#include <stdbool.h>

enum ca_cause {
    CA_OVER_LIMIT,    /* the account's, with no permit left */
    CA_NO_PERMIT,     /* none has come from control */
    CA_DISCONNECTED,  /* its node, from control */
    CA_NO_ROUTE,      /* it waited for a primary, a lease or a position until its time was up */
    CA_NO_CONNECTION, /* none to an instance came free */
    CA_NOT_SENT,      /* its time was up while the connection was made ready for it */
    CA_REFUSED,       /* instances took it not */
    CA_NO_ANSWER,     /* in its time */
    CA_LOST,          /* with the write on its way */
    CA_ABORTED,       /* its transaction was rolled back */
    CA_FAILED,        /* it ran and failed */
    CA_HOLDER_LOST,
    CA_HOLDER_ENDED,
    CA_CLOSED,           /* its caller's connection, for another reason */
    CA_KEY_UNKNOWN,      /* nobody's */
    CA_DATABASE_UNKNOWN, /* in no document that is in force there */
    CA_OTHER,
    CA_COUNT
};

/* Causes that share a column of a table, and a colour. */
enum ca_kind {
    CA_K_LIMIT,
    CA_K_ROUTE,
    CA_K_CONNECTION,
    CA_K_INSTANCE,
    CA_K_DISCONNECTED,
    CA_K_CLOSED,
    CA_K_OTHER,
    CA_K_COUNT
};

/* CA_CAUSES: the line tells of no failure. */
enum ca_cause ca_classify(const json_t *line);
const char *ca_name(enum ca_cause c);
enum ca_kind ca_kind(enum ca_cause c);
/* A column's head, one word or two. */
const char *ca_column_head(enum ca_kind k);
const char *ca_color(enum ca_kind k);

#endif

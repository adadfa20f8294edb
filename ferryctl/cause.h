/* Classifies failures in log lines by cause.
 *
 * Used by worth.c. Pure functions. The cause follows from the line's event, from the kind of
 * the error (misc/err.h) and, where one kind has several causes, from fragments of its detail.
 */
#ifndef FL_FERRYCTL_CAUSE_H
#define FL_FERRYCTL_CAUSE_H

#include <jansson.h>
#include <stdbool.h>

enum ca_cause {
    CA_OVER_LIMIT,    /* the client account had no permit left */
    CA_NO_PERMIT,     /* no permit came from control */
    CA_DISCONNECTED,  /* the node was disconnected from control */
    CA_NO_ROUTE,      /* deadline passed while waiting for a primary, a lease or a position */
    CA_NO_CONNECTION, /* no connection to an instance became free */
    CA_NOT_SENT,      /* deadline passed while the connection was being set up */
    CA_REFUSED,       /* the instances refused the request */
    CA_NO_ANSWER,     /* no instance answered in time */
    CA_LOST,          /* connection lost after the write was sent */
    CA_ABORTED,       /* the transaction was rolled back */
    CA_FAILED,        /* the statement ran and failed */
    CA_HOLDER_LOST,   /* connection to the holder was lost */
    CA_HOLDER_ENDED,  /* the holder stopped serving the session */
    CA_CLOSED,        /* the caller's connection was closed for another reason */
    CA_KEY_UNKNOWN,   /* no client account has the key */
    CA_DATABASE_UNKNOWN, /* not in the document in force on the node */
    CA_OTHER,
    CA_COUNT
};

/* Groups of causes; the causes of a group share a table column and a color. */
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

/* Returns CA_COUNT if the line does not report a failure. */
enum ca_cause ca_classify(const json_t *line);
const char *ca_name(enum ca_cause c);
enum ca_kind ca_kind(enum ca_cause c);
/* Heading of a table column, one or two words. */
const char *ca_column_head(enum ca_kind k);
const char *ca_color(enum ca_kind k);

#endif

/* Determines the account of a session from its caller's key and the document in force. */
#include "proxy/priv.h"

/* The account name sent to instances for callers of a route that is open to all; no account has
 * this name. */
static const char no_account[] = "-";

bool px_identify(struct px_session *s, const struct cg_route *r)
{
    const struct ac_table *accounts = &s->p->catalog.accounts;
    const struct ac_account *a = ac_by_key(accounts, sr_from(s->key));
    const char *name = a ? a->name : no_account;
    if (!accounts->listed)
        name = s->p->cfg.name;
    else if (!a && !r->open_to_all) {
        s->p->c.unknown_keys++;
        return false;
    }
    return sr_copy(s->account, sizeof(s->account), sr_from(name));
}

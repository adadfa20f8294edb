/* Determines the client account of a session from its caller's key and the configuration
 * document in force. */
#include "proxy/priv.h"

/* The account name sent to instances for callers without an account, on a route that is open to
 * all. No account can have this name. */
static const char no_account[] = "-";

bool px_identify(struct px_session *s, const struct cg_route *r)
{
    const struct ac_table *accounts = &s->p->catalog.accounts;
    const struct ac_account *a = ac_of_key(accounts, sr_from(s->key));
    const char *account_name = a ? a->name : no_account;
    if (!accounts->given)
        account_name = s->p->cfg.name;
    else if (!a && !r->open_to_all) {
        s->p->c.unknown_keys++;
        return false;
    }
    return sr_copy(s->account, sizeof(s->account), sr_from(account_name));
}

#include "route/capacity.h"

enum {
    /* Bytes in each direction over a holder's link: the statement from a node and on to the
     * instance, the answer from there and back, with TCP overhead. */
    STATEMENT_BYTES = 1400,
    STATEMENT_CPU_US = 150,
    /* Part of the VM that serves other nodes; the rest is for its own callers, control, and
     * bursts. */
    FOR_OTHERS_PERCENT = 50,
};

static int64_t link_statements(int64_t kbps)
{
    return kbps * 1000 / 8 / STATEMENT_BYTES;
}

static int64_t core_statements(int64_t permille)
{
    return permille * 1000 / STATEMENT_CPU_US;
}

int cp_statements_per_s(int64_t link_kbps, int64_t core_permille)
{
    int64_t link = link_statements(link_kbps), core = core_statements(core_permille);
    int64_t weaker = link_kbps <= 0 || (core_permille > 0 && core < link) ? core : link;
    int64_t n = weaker * FOR_OTHERS_PERCENT / 100;
    if (link_kbps <= 0 && core_permille <= 0)
        return 0;
    return n > CP_MAX_STATEMENTS_PER_S ? CP_MAX_STATEMENTS_PER_S : n < 1 ? 1 : (int)n;
}

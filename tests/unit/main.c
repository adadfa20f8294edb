#include <stdio.h>

#include <sodium.h>

#include "tests/unit/unit.h"

int main(void)
{
    if (sodium_init() < 0 || CU_initialize_registry() != CUE_SUCCESS)
        return 2;
    misc_suite();
    token_suite();
    route_suite();
    nodelist_suite();
    spread_suite();
    admit_suite();
    shares_suite();
    lease_suite();
    view_suite();
    push_suite();
    tally_suite();
    watch_suite();
    intent_suite();
    promote_suite();
    store_suite();
    quorum_suite();
    wire_suite();
    caller_suite();
    settings_suite();
    check_suite();
    engine_suite();
    net_suite();
    shed_suite();
    pace_suite();
    relay_suite();
    neighbor_suite();
    silence_suite();
    endings_suite();
    holding_suite();
    opening_suite();
    own_commits_suite();
    ages_suite();
    sync_commits_suite();
    accounts_suite();
    fit_suite();
    full_suite();
    limit_suite();
    permits_suite();
    proxy_suite();
    takeover_suite();
    member_suite();
    lines_suite();
    match_suite();
    answers_suite();
    boundary_suite();
    status_suite();
    documents_suite();
    CU_basic_set_mode(CU_BRM_NORMAL);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_tests_failed();
    printf("unit: %u passed, %u failed\n", CU_get_number_of_tests_run() - failed, failed);
    CU_cleanup_registry();
    return failed ? 1 : 0;
}

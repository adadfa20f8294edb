/* The unit tests: one function a suite, CUnit. */
#ifndef FL_TESTS_UNIT_H
#define FL_TESTS_UNIT_H

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>

#define SUITE(name) void name##_suite(void)
#define TEST(suite, fn) CU_add_test(suite, #fn, fn)

void misc_suite(void);
void token_suite(void);
void route_suite(void);
void nodelist_suite(void);
void spread_suite(void);
void admit_suite(void);
void shares_suite(void);
void lease_suite(void);
void view_suite(void);
void push_suite(void);
void tally_suite(void);
void watch_suite(void);
void intent_suite(void);
void promote_suite(void);
void store_suite(void);
void quorum_suite(void);
void wire_suite(void);
void caller_suite(void);
void settings_suite(void);
void check_suite(void);
void engine_suite(void);
void net_suite(void);
void shed_suite(void);
void pace_suite(void);
void relay_suite(void);
void neighbor_suite(void);
void silence_suite(void);
void endings_suite(void);
void holding_suite(void);
void opening_suite(void);
void own_commits_suite(void);
void sync_commits_suite(void);
void ages_suite(void);
void accounts_suite(void);
void fit_suite(void);
void full_suite(void);
void limit_suite(void);
void permits_suite(void);
void proxy_suite(void);
void takeover_suite(void);
void member_suite(void);
void documents_suite(void);
void lines_suite(void);
void match_suite(void);
void answers_suite(void);
void boundary_suite(void);
void status_suite(void);

#endif

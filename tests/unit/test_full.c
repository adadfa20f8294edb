/* Instances that take fewer connections than a node's shares, as after a loss of all power. */
#include "proxy/saturation.h"
#include "tests/unit/unit.h"

enum { INSTANCES = 24, SHARE = 9, TICK_US = 1000, FREE_US = 1300000, END_US = 1600000 };

/* A node with a share of nine at each of many instances, one of which is there until the dark
 * ones end; statements always ask for more. `refused` counts what the instances refuse. */
struct outcome {
    int refused;
    int64_t full_at; /* all shares are used then */
};

static struct outcome play(void)
{
    struct px_saturation full[INSTANCES] = {{0}};
    struct px_saturation_common all = {0};
    int conns[INSTANCES] = {0}, sum = 0;
    struct outcome o = {0};
    for (int64_t now = TICK_US; now < END_US && sum < INSTANCES * SHARE; now += TICK_US) {
        for (int i = 0; i < INSTANCES; i++) {
            if (conns[i] == SHARE || !px_saturation_may_open(&full[i], &all, conns[i], now))
                continue;
            px_saturation_opening(&full[i], &all, conns[i], now);
            if (conns[i] > 0 && now < FREE_US) {
                px_saturation_refused(&full[i], &all, conns[i], now);
                o.refused++;
                continue;
            }
            px_saturation_accepted(&full[i], &all, ++conns[i], now);
            sum++;
        }
        o.full_at = now;
    }
    return o;
}

/* Each instance refuses once, then one of them is tried every 60 ms; what comes free is found
 * by one and used by all. */
static void one_is_tried_for_all(void)
{
    struct outcome o = play();
    CU_ASSERT(o.refused <= INSTANCES + FREE_US / 60000 + 1);
    CU_ASSERT(o.full_at >= FREE_US && o.full_at <= FREE_US + 100000);
}

/* What it had it may open again at once: an account takes another's place. */
static void accounts_take_turns(void)
{
    struct px_saturation f = {0};
    struct px_saturation_common all = {0};
    px_saturation_refused(&f, &all, 2, 1000);
    CU_ASSERT_FALSE(px_saturation_may_open(&f, &all, 2, 1001));
    CU_ASSERT_TRUE(px_saturation_may_open(&f, &all, 1, 1001));
    px_saturation_accepted(&f, &all, 2, 2000);
    CU_ASSERT_FALSE(px_saturation_may_open(&f, &all, 2, 2001)); /* that told nothing new */
    px_saturation_accepted(&f, &all, 3, 3000);
    CU_ASSERT_TRUE(px_saturation_may_open(&f, &all, 3, 3001));
}

void full_suite(void)
{
    CU_pSuite s = CU_add_suite("full", NULL, NULL);
    TEST(s, one_is_tried_for_all);
    TEST(s, accounts_take_turns);
}

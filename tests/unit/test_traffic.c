/* What a control node's time goes into, as an operator reads it. */
#include "control/traffic.h"
#include "tests/unit/unit.h"

static bool has(const struct sr_buf *b, const char *what)
{
    return b->p && strstr(b->p, what);
}

/* A report tells what occurred since the one before it, and no kind that did not. */
static void a_report_begins_anew(void)
{
    struct tf_traffic t = {0};
    struct sr_buf b = {0};
    tf_count_in(&t, WR_RENEW, 100);
    tf_count_in(&t, WR_RENEW, 50);
    tf_count_out(&t, WR_VIEW, 7);
    tf_count_call(&t, TF_HEARTBEAT, TF_REDIRECTED);
    tf_count_probe(&t, TF_PROBE_SENT);
    tf_report(&t, &b);
    CU_ASSERT_STRING_EQUAL(b.p, "in.renew=2/150 out.view=1/7 call.beat=0/1/0/0 probe.asked=1");
    b.len = 0;
    tf_count_call(&t, TF_HEARTBEAT, TF_DONE);
    tf_report(&t, &b);
    CU_ASSERT_STRING_EQUAL(b.p, "call.beat=1/0/0/0");
    sr_buf_free(&b);
}

/* Metrics count from the start, whatever was reported, and name all kinds. */
static void metrics_go_on(void)
{
    struct tf_traffic t = {0};
    struct sr_buf b = {0};
    tf_count_out(&t, WR_CONTROLS, 30);
    tf_report(&t, &b);
    b.len = 0;
    tf_count_out(&t, WR_CONTROLS, 30);
    tf_metrics(&t, &b);
    CU_ASSERT_TRUE(
        has(&b, "ferry_control_message_bytes_total{way=\"out\",kind=\"controls\"} 60\n"));
    CU_ASSERT_TRUE(has(&b, "ferry_control_messages_total{way=\"in\",kind=\"hello\"} 0\n"));
    CU_ASSERT_TRUE(has(&b, "ferry_control_calls_total{call=\"fetch\",answer=\"unable\"} 0\n"));
    sr_buf_free(&b);
}

SUITE(tally)
{
    CU_pSuite s = CU_add_suite("tally", NULL, NULL);
    TEST(s, a_report_begins_anew);
    TEST(s, metrics_go_on);
}

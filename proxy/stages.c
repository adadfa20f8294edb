#include "proxy/stages.h"

static const char *const names[PX_T_COUNT] = {"permit", "wait", "setup", "instance", "relay"};

void px_stages_add(struct px_stages *t, enum px_latency_stage stage, int64_t us)
{
    hi_add(&t->hist[stage], us);
    t->n[stage]++;
    t->sum_us[stage] += us;
}

bool px_stages_report(struct px_stages *t, struct sr_buf *out)
{
    uint64_t any = 0;
    for (int i = 0; i < PX_T_COUNT; i++) {
        double mean_ms = t->n[i] ? (double)t->sum_us[i] / (double)t->n[i] / 1e3 : 0;
        sr_buf_printf(out, "%s%s=%llu/%.1f", i ? " " : "", names[i],
                      (unsigned long long)t->n[i], mean_ms);
        any += t->n[i];
        t->n[i] = 0;
        t->sum_us[i] = 0;
    }
    return any > 0;
}

void px_stages_metrics(const struct px_stages *t, struct sr_buf *out)
{
    static const double quantiles[] = {0.5, 0.9, 0.99};
    for (int i = 0; i < PX_T_COUNT; i++) {
        for (int q = 0; q < 3; q++)
            sr_buf_printf(out, "ferry_session_stage_us{stage=\"%s\",quantile=\"%g\"} %lld\n",
                          names[i], quantiles[q],
                          (long long)hi_quantile(&t->hist[i], quantiles[q]));
        sr_buf_printf(out,
                      "ferry_session_stage_us_count{stage=\"%s\"} %llu\n"
                      "ferry_session_stage_us_sum{stage=\"%s\"} %llu\n",
                      names[i], (unsigned long long)t->hist[i].count, names[i],
                      (unsigned long long)t->hist[i].sum);
    }
}

#include "control/traffic.h"

static const char *const types[WR_TYPES] = {
    [WR_HELLO] = "hello",     [WR_QUORUM] = "quorum",     [WR_RENEW] = "renew",
    [WR_GRANT] = "grant",     [WR_NOT_LEADER] = "leader", [WR_VIEW] = "view",
    [WR_ACK] = "ack",         [WR_SHARES] = "shares",     [WR_CHECK] = "check",
    [WR_CHECKED] = "checked", [WR_PROBES] = "probes",     [WR_SUSPECT] = "suspect",
    [WR_NODES] = "nodes",     [WR_CONTROLS] = "controls",
};
static const char *const calls[TF_CALLS] = {"beat", "leave", "configure", "fetch"};
static const char *const answers[TF_ANSWERS] = {"done", "elsewhere", "refused", "unable"};
static const char *const probes[TF_PROBES] = {"opened", "asked", "answered", "closed"};

static void add(struct tf_sum *s, size_t bytes)
{
    s->n++;
    s->bytes += bytes;
}

void tf_count_in(struct tf_traffic *t, enum wr_type type, size_t bytes)
{
    add(&t->all.in[type], bytes);
}

void tf_count_out(struct tf_traffic *t, enum wr_type type, size_t bytes)
{
    add(&t->all.out[type], bytes);
}

void tf_count_call(struct tf_traffic *t, enum tf_call call, enum tf_answer answer)
{
    t->all.calls[call][answer]++;
}

void tf_count_probe(struct tf_traffic *t, enum tf_probe what)
{
    t->all.probes[what]++;
}

static void report_messages(const char *way, const struct tf_sum *all,
                            const struct tf_sum *reported, struct sr_buf *out)
{
    for (int i = 0; i < WR_TYPES; i++) {
        uint64_t n = all[i].n - reported[i].n, bytes = all[i].bytes - reported[i].bytes;
        if (n)
            sr_buf_printf(out, "%s%s.%s=%llu/%llu", out->len ? " " : "", way, types[i],
                          (unsigned long long)n, (unsigned long long)bytes);
    }
}

static void report_calls(const struct tf_counts *all, const struct tf_counts *reported,
                         struct sr_buf *out)
{
    for (int c = 0; c < TF_CALLS; c++) {
        uint64_t n[TF_ANSWERS], sum = 0;
        for (int a = 0; a < TF_ANSWERS; a++)
            sum += n[a] = all->calls[c][a] - reported->calls[c][a];
        if (sum)
            sr_buf_printf(out, "%scall.%s=%llu/%llu/%llu/%llu", out->len ? " " : "", calls[c],
                          (unsigned long long)n[TF_DONE], (unsigned long long)n[TF_REDIRECTED],
                          (unsigned long long)n[TF_REFUSED],
                          (unsigned long long)n[TF_UNAVAILABLE]);
    }
}

void tf_report(struct tf_traffic *t, struct sr_buf *out)
{
    report_messages("in", t->all.in, t->reported.in, out);
    report_messages("out", t->all.out, t->reported.out, out);
    report_calls(&t->all, &t->reported, out);
    for (int i = 0; i < TF_PROBES; i++) {
        uint64_t n = t->all.probes[i] - t->reported.probes[i];
        if (n)
            sr_buf_printf(out, "%sprobe.%s=%llu", out->len ? " " : "", probes[i],
                          (unsigned long long)n);
    }
    t->reported = t->all;
}

static void write_messages(const char *way, const struct tf_sum *all, struct sr_buf *out)
{
    for (int i = 0; i < WR_TYPES; i++) {
        if (!types[i])
            continue;
        sr_buf_printf(out,
                      "ferry_control_messages_total{way=\"%s\",kind=\"%s\"} %llu\n"
                      "ferry_control_message_bytes_total{way=\"%s\",kind=\"%s\"} %llu\n",
                      way, types[i], (unsigned long long)all[i].n, way, types[i],
                      (unsigned long long)all[i].bytes);
    }
}

void tf_metrics(const struct tf_traffic *t, struct sr_buf *out)
{
    write_messages("in", t->all.in, out);
    write_messages("out", t->all.out, out);
    for (int c = 0; c < TF_CALLS; c++) {
        for (int a = 0; a < TF_ANSWERS; a++)
            sr_buf_printf(out, "ferry_control_calls_total{call=\"%s\",answer=\"%s\"} %llu\n",
                          calls[c], answers[a], (unsigned long long)t->all.calls[c][a]);
    }
    for (int i = 0; i < TF_PROBES; i++)
        sr_buf_printf(out, "ferry_control_probes_total{what=\"%s\"} %llu\n", probes[i],
                      (unsigned long long)t->all.probes[i]);
}

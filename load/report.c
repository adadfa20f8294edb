/* Reports of a load: table, JSON file and SVG chart. */
#include <stdio.h>

#include <jansson.h>

#include "load/load.h"

uint64_t ld_faults(const struct hc_check *c)
{
    uint64_t n = 0;
    for (int f = 0; f < HC_FAULTS; f++)
        n += hc_count(c, (enum hc_fault)f);
    return n;
}

static double percent(uint64_t part, uint64_t of)
{
    return of ? 100.0 * (double)part / (double)of : 0;
}

static void latency_row(const char *name, const struct hi_hist *h)
{
    printf("  %-8s %8llu   p50 %8.2f ms   p99 %8.2f ms   worst %8.2f ms\n", name,
           (unsigned long long)h->count, (double)hi_quantile(h, 0.5) / 1000.0,
           (double)hi_quantile(h, 0.99) / 1000.0, (double)h->max / 1000.0);
}

static int64_t worst_gap(const struct ld_opts *o, const struct ld_result *r)
{
    int64_t worst = 0;
    for (int d = 0; d < o->n_dbs; d++)
        worst = r->gap_us[d] > worst ? r->gap_us[d] : worst;
    return worst;
}

void ld_table(const struct ld_opts *o, const struct ld_result *r, const struct hc_check *c)
{
    printf("requests  sent %llu, ok %llu, not_run %llu, unknown %llu, rejected %llu, "
           "unanswered %llu, resent %llu\n",
           (unsigned long long)r->sent, (unsigned long long)r->ok,
           (unsigned long long)r->not_run, (unsigned long long)r->unknown,
           (unsigned long long)r->rejected, (unsigned long long)r->no_answer,
           (unsigned long long)r->resent);
    for (int i = 0; i < r->n_reasons; i++)
        printf("  %-16s %llu\n", r->reasons[i].reason, (unsigned long long)r->reasons[i].n);
    latency_row("reads", &r->reads);
    latency_row("writes", &r->writes);
    latency_row("txns", &r->txns);
    printf("writes    acknowledged %llu, lost %llu, doubled %llu, not verified %llu\n",
           (unsigned long long)hc_acked(c), (unsigned long long)hc_count(c, HC_LOST),
           (unsigned long long)hc_count(c, HC_DOUBLED), (unsigned long long)hc_unverified(c));
    printf("reads     %llu, by replicas %.1f %% (of those that accept an age %.1f %%)\n",
           (unsigned long long)r->reads_ok, percent(r->replica_reads, r->reads_ok),
           percent(r->aged_replica, r->aged_ok));
    for (int d = 0; d < o->n_dbs; d++)
        printf("gap       %-12s %8.1f ms without an acknowledged write, from %.2f s\n",
               o->dbs[d], (double)r->gap_us[d] / 1000.0, (double)r->gap_from[d] / 1e6);
    printf("promises ");
    for (int f = 0; f < HC_FAULTS; f++)
        printf(" %s %llu", hc_name((enum hc_fault)f),
               (unsigned long long)hc_count(c, (enum hc_fault)f));
    printf("\n%s", hc_examples(c));
}

static json_t *latency_json(const struct hi_hist *h)
{
    return json_pack("{s:I,s:I,s:I,s:I}", "count", (json_int_t)h->count, "p50_us",
                     (json_int_t)hi_quantile(h, 0.5), "p99_us",
                     (json_int_t)hi_quantile(h, 0.99), "worst_us", (json_int_t)h->max);
}

bool ld_json(const struct ld_opts *o, const struct ld_result *r, const struct hc_check *c)
{
    json_t *faults = json_object(), *reasons = json_object(), *gaps = json_object();
    for (int f = 0; f < HC_FAULTS; f++)
        json_object_set_new(faults, hc_name((enum hc_fault)f),
                            json_integer((json_int_t)hc_count(c, (enum hc_fault)f)));
    for (int i = 0; i < r->n_reasons; i++)
        json_object_set_new(reasons, r->reasons[i].reason,
                            json_integer((json_int_t)r->reasons[i].n));
    for (int d = 0; d < o->n_dbs; d++)
        json_object_set_new(gaps, o->dbs[d], json_integer(r->gap_us[d]));
    json_t *j = json_pack(
        "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:f,s:f,s:I,s:I,s:I,s:f}", "sent",
        (json_int_t)r->sent, "ok", (json_int_t)r->ok, "not_run", (json_int_t)r->not_run,
        "unknown", (json_int_t)r->unknown, "rejected", (json_int_t)r->rejected, "unanswered",
        (json_int_t)r->no_answer, "resent", (json_int_t)r->resent, "duplicates",
        (json_int_t)r->duplicates, "reads", (json_int_t)r->reads_ok, "acknowledged",
        (json_int_t)hc_acked(c), "unverified", (json_int_t)hc_unverified(c),
        "replica_share_percent", percent(r->replica_reads, r->reads_ok),
        "aged_replica_share_percent", percent(r->aged_replica, r->aged_ok), "worst_gap_us",
        (json_int_t)worst_gap(o, r), "latest_refusal_us", (json_int_t)r->latest_refusal_us,
        "fault_count", (json_int_t)ld_faults(c), "ok_per_second",
        r->took_us ? (double)r->ok * 1e6 / (double)r->took_us : 0.0);
    json_object_set_new(j, "faults", faults);
    json_object_set_new(j, "reasons", reasons);
    json_object_set_new(j, "gap_us", gaps);
    json_object_set_new(j, "read_latency", latency_json(&r->reads));
    json_object_set_new(j, "write_latency", latency_json(&r->writes));
    json_object_set_new(j, "txn_latency", latency_json(&r->txns));
    bool ok = json_dump_file(j, o->json, JSON_INDENT(2)) == 0;
    json_decref(j);
    return ok;
}

/* ---- SVG chart: acknowledged writes and worst latency over time ---- */

enum { W = 960, H = 320, LEFT = 50, BASE = 280, TOP = 30 };

static void draw_curve(FILE *f, const struct ld_result *r, const char *color, bool latency,
                       double max_value)
{
    fprintf(f, "<polyline fill='none' stroke='%s' stroke-width='1.5' points='", color);
    for (int i = 0; i < r->n_buckets; i++) {
        double v = latency ? (double)r->buckets[i].worst_us : r->buckets[i].writes_ok;
        double x = LEFT + (double)(W - LEFT - 20) * i / (r->n_buckets > 1 ? r->n_buckets : 2);
        double y = BASE - (BASE - TOP) * (max_value > 0 ? v / max_value : 0);
        fprintf(f, "%.1f,%.1f ", x, y);
    }
    fprintf(f, "'/>\n");
}

bool ld_svg(const struct ld_opts *o, const struct ld_result *r)
{
    FILE *f = fopen(o->svg, "w");
    if (!f)
        return false;
    double max_writes = 1, max_latency = 1;
    for (int i = 0; i < r->n_buckets; i++) {
        if (r->buckets[i].writes_ok > max_writes)
            max_writes = r->buckets[i].writes_ok;
        if ((double)r->buckets[i].worst_us > max_latency)
            max_latency = (double)r->buckets[i].worst_us;
    }
    fprintf(f,
            "<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='%d' "
            "font-family='sans-serif' font-size='12'><rect width='100%%' height='100%%' "
            "fill='white'/>\n",
            W, H);
    fprintf(f,
            "<text x='%d' y='18' fill='#1565c0'>acknowledged writes per %d ms (most "
            "%.0f)</text><text x='%d' y='18' fill='#c62828'>worst latency (most %.0f "
            "ms)</text>\n",
            LEFT, LD_BUCKET_MS, max_writes, W / 2, max_latency / 1000.0);
    fprintf(f, "<line x1='%d' y1='%d' x2='%d' y2='%d' stroke='#888'/>\n", LEFT, BASE, W - 20,
            BASE);
    int seconds = r->n_buckets * LD_BUCKET_MS / 1000;
    for (int s = 0; s <= seconds; s++)
        fprintf(f, "<text x='%.0f' y='%d' fill='#555'>%d s</text>\n",
                LEFT + (double)(W - LEFT - 20) * s / (seconds > 0 ? seconds : 1), BASE + 18, s);
    draw_curve(f, r, "#1565c0", false, max_writes);
    draw_curve(f, r, "#c62828", true, max_latency);
    fprintf(f, "</svg>\n");
    return fclose(f) == 0;
}

/* Prints the bytes of messages and states. A size per instance or group is the difference
 * between two sizes, divided by the difference of their counts, so that fixed parts do not
 * count. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/bench.h"
#include "entry/entry.h"
#include "pool/shares.h"
#include "promote/promote.h"
#include "quorum/quorum.h"
#include "view/view.h"
#include "wire/wire.h"

/* Encoded size with the 4-byte frame header. */
static size_t encoded_bytes(const struct wr_msg *m)
{
    struct sr_buf b = {0};
    wr_encode(&b, m);
    size_t n = b.len + 4;
    sr_buf_free(&b);
    return n;
}

static size_t renew_bytes(int instances)
{
    struct wr_share *s = calloc((size_t)instances + 1, sizeof(*s));
    for (int i = 0; i < instances; i++)
        s[i] = (struct wr_share){SR_LIT("dispatch1-burnaby-a"), 2, 3};
    struct wr_msg m = {
        .type = WR_RENEW,
        .renew = {100000, 40000, 1ull << 60, false, (uint32_t)instances, s, 1000}};
    size_t n = encoded_bytes(&m);
    free(s);
    return n;
}

static size_t probes_bytes(int instances)
{
    struct wr_probe *p = calloc((size_t)instances + 1, sizeof(*p));
    for (int i = 0; i < instances; i++)
        p[i] =
            (struct wr_probe){SR_LIT("dispatch1-burnaby-a"), WR_OK, true, 40, 40, 1u << 30, 40};
    struct wr_msg m = {.type = WR_PROBES, .probes = {(uint32_t)instances, p}};
    size_t n = encoded_bytes(&m);
    free(p);
    return n;
}

static void make_group(struct vw_change *ch, int i)
{
    memset(ch, 0, sizeof(*ch));
    ch->kind = VW_CH_GROUP;
    snprintf(ch->def.name, sizeof(ch->def.name), "database%d", i);
    ch->def.n = 3;
    ch->def.copies = 2;
    ch->def.phase = VW_SERVING;
    ch->def.n_starts = 4;
    for (int k = 0; k < 3; k++) {
        struct vw_instance *in = &ch->def.inst[k];
        snprintf(in->id, sizeof(in->id), "database%d-domain-%c", i, 'a' + k);
        strcpy(in->ip, "10.10.10.10");
        strcpy(in->domain, "domain-a");
        in->port = 5432;
        in->max_conns = 25;
        in->slots = 3;
    }
}

/* Bytes of a JSON snapshot of a view of `groups` groups. */
static size_t view_text_bytes(int groups)
{
    struct vw_view v;
    struct vw_change ch;
    vw_init(&v);
    for (int i = 0; i < groups; i++) {
        make_group(&ch, i);
        vw_apply(&v, (uint64_t)i + 1, &ch, NULL);
    }
    json_t *j = vw_view_json(&v);
    char *s = json_dumps(j, JSON_COMPACT);
    size_t n = strlen(s);
    free(s);
    json_decref(j);
    vw_free(&v);
    return n;
}

static size_t change_bytes(void)
{
    struct vw_change ch = {.kind = VW_CH_PRIMARY, .term = 40, .pos = 123456789};
    strcpy(ch.group, "database100");
    strcpy(ch.instance, "database100-domain-a");
    json_t *j = vw_change_json(&ch);
    char *s = json_dumps(j, JSON_COMPACT);
    struct wr_msg m = {.type = WR_VIEW, .view = {40000, 40001, sr_from(s)}};
    size_t n = encoded_bytes(&m);
    free(s);
    json_decref(j);
    return n;
}

static size_t heartbeat_bytes(void)
{
    struct wr_msg m = {.type = WR_QUORUM,
                       .quorum = {.type = QR_APPEND,
                                  .from = UINT64_MAX,
                                  .to = UINT64_MAX,
                                  .term = 400,
                                  .index = 100000,
                                  .log_term = 400,
                                  .commit = 100000,
                                  .round = 100000}};
    return encoded_bytes(&m);
}

int bn_sizes(void)
{
    size_t bytes_of_100 = view_text_bytes(100), bytes_of_1040 = view_text_bytes(1040);
    struct wr_msg grant = {.type = WR_GRANT, .grant = {100000, 1ull << 60, 2000, 40000}};
    printf("renewal, empty                     %8zu bytes\n", renew_bytes(0));
    printf("renewal, per instance              %8zu bytes\n",
           (renew_bytes(100) - renew_bytes(0)) / 100);
    printf("grant                              %8zu bytes\n", encoded_bytes(&grant));
    printf("quorum heartbeat                   %8zu bytes\n", heartbeat_bytes());
    printf("one change, as sent to a node      %8zu bytes\n", change_bytes());
    printf("probe report, per instance         %8zu bytes\n",
           (probes_bytes(100) - probes_bytes(0)) / 100);
    printf("snapshot text, per group           %8zu bytes\n",
           (bytes_of_1040 - bytes_of_100) / 940);
    printf("snapshot text, 940 groups          %8zu bytes\n", view_text_bytes(940));
    printf("view in memory, per group          %8zu bytes\n", sizeof(struct vw_group));
    printf("entry: per group                   %8zu bytes\n", sizeof(struct en_group));
    printf("entry: per instance                %8zu bytes\n", sizeof(struct en_inst));
    printf("entry: per endpoint connection     %8zu bytes and the socket's\n",
           sizeof(struct en_ep));
    printf("entry: per request                 %8zu bytes\n", sizeof(struct en_req));
    printf("entry: per caller                  %8zu bytes and the socket's\n",
           sizeof(struct en_caller));
    printf("control: per group (promotion)     %8zu bytes\n", sizeof(struct pr_group));
    printf("control: per node and instance     %8zu bytes (share)\n", sizeof(struct sh_node));
    return 0;
}

int bn_bounded_sizes(void)
{
    struct wr_msg grant = {.type = WR_GRANT, .grant = {100000, 1ull << 60, 2000, 40000}};
    printf("renewal_of_51 %zu\n", renew_bytes(51));
    printf("grant %zu\n", encoded_bytes(&grant));
    printf("heartbeat %zu\n", heartbeat_bytes());
    printf("change %zu\n", change_bytes());
    printf("view_of_940 %zu\n", view_text_bytes(940));
    printf("entry_group %zu\n", sizeof(struct en_group));
    printf("entry_request %zu\n", sizeof(struct en_req));
    printf("promotion %zu\n", sizeof(struct pr_group));
    return 0;
}

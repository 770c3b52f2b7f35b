#include "node/node_internal.h"

/* Appends one metric in the Prometheus text format. */
static void
put_metric(GString *out, const char *name, const char *labels, uint64_t value)
{
    g_string_append_printf(out, "galenastep_%s%s %llu\n", name, labels,
                           (unsigned long long)value);
}

/* Appends the bytes exchanged, by cause and failure domain of the peer. */
static void
put_traffic(GString *out, const struct traffic *t)
{
    char labels[160];

    for (int c = 0; c < TRAFFIC_CAUSES; c++) {
        for (int p = 0; p < TRAFFIC_PEERS; p++) {
            if (t->sent[c][p] == 0 && t->received[c][p] == 0) {
                continue;
            }
            g_snprintf(labels, sizeof(labels),
                       "{cause=\"%s\",failure_domain=\"%s\"}",
                       traffic_cause_name((enum traffic_cause)c),
                       traffic_peer_name((enum traffic_peer)p));
            put_metric(out, "bytes_sent_total", labels, t->sent[c][p]);
            put_metric(out, "bytes_received_total", labels, t->received[c][p]);
        }
    }
}

/* Appends all counters and the histogram of statement times. */
void
node_write_metrics(const struct node *n, GString *out)
{
    const struct relay_counters *r = relay_counters(n->relay);
    const struct view *v = agreement_view(n->agreement);
    char labels[160];
    GHashTableIter i;
    void *service;

    put_metric(out, "sessions_total", "", r->sessions);
    put_metric(out, "statements_total", "", r->statements);
    put_metric(out, "statements_succeeded_total", "", r->succeeded);
    put_metric(out, "statements_retried_total", "", r->retried);
    for (int f = 1; f <= FAILURE_UNKNOWN_OUTCOME; f++) {
        g_snprintf(labels, sizeof(labels), "{outcome=\"%s\"}",
                   failure_name((enum failure)f));
        put_metric(out, "failures_total", labels, r->failures[f]);
    }
    put_traffic(out, n->traffic);
    node_limits_write_metrics(n, out);
    uint64_t below = 0;
    for (int b = 0; b < 16; b++) {
        below += r->latency[b];
        g_snprintf(labels, sizeof(labels), "{le=\"%d\"}", 1 << b);
        put_metric(out, "statement_ms_bucket", labels, below);
    }
    put_metric(out, "catalog_version", "", n->catalog->version);
    put_metric(out, "catalog_age_ms", "", (uint64_t)node_catalog_age_ms(n));
    const clock_ms now = clock_boottime_ms();
    const int64_t evidence_age = catalog_evidence_age_ms(&n->evidence, now);
    if (evidence_age >= 0) {
        put_metric(out, "catalog_evidence_age_ms", "", (uint64_t)evidence_age);
    }
    put_metric(out, "catalog_fresh", "",
               node_catalog_is_fresh((void *)n, now));
    put_metric(out, "accounts", "", g_hash_table_size(n->catalog->accounts));
    put_metric(out, "account_keys", "", g_hash_table_size(n->catalog->keys));
    put_metric(out, "refused_stale_total", "", r->refused_stale);
    put_metric(out, "startups_unauthorized_total", "",
               r->startups_unauthorized);
    put_metric(out, "startups_stale_total", "", r->startups_stale);
    put_metric(out, "view_version", "", v->version);
    put_metric(out, "view_fence", "", v->fence);
    put_metric(out, "lease_valid", "",
               agreement_lease_is_valid(n->agreement, clock_boottime_ms()));
    g_hash_table_iter_init(&i, n->services);
    while (g_hash_table_iter_next(&i, NULL, &service)) {
        const struct service_counters *c = service_counters(service);
        g_snprintf(labels, sizeof(labels), "{service=\"%s\"}",
                   service_name(service));
        put_metric(out, "granted_total", labels, c->granted);
        put_metric(out, "refused_deadline_total", labels, c->refused_deadline);
        put_metric(out, "refused_queue_total", labels, c->refused_queue);
        put_metric(out, "refused_no_member_total", labels,
                   c->refused_no_member);
        put_metric(out, "links_opened_total", labels, c->links_opened);
        put_metric(out, "links_refused_total", labels, c->links_refused);
        put_metric(out, "links_lost_total", labels, c->links_lost);
        put_metric(out, "links_evicted_total", labels, c->links_evicted);
        put_metric(out, "home_links_opened_total", labels, c->homes_opened);
        put_metric(out, "home_granted_total", labels, c->home_granted);
        put_metric(out, "lagged_reads_at_primary_total", labels,
                   c->lagged_at_primary);
        put_metric(out, "turns_taken_total", labels, c->turns_taken);
        put_metric(out, "refused_excess_total", labels, c->refused_excess);
        put_metric(out, "queue_length", labels, service_queue_length(service));
    }
}

#include "coordination/agreement_internal.h"

#include "base/event_log.h"

#include <glib.h>
#include <string.h>

/* Decides which registrations belong to proxies that are lost for good. Dead
   proxies that stay registered may be most of the witnesses, and then nobody
   confirms a lease or changes the view. */

/* The pause between two deletions without a majority of the witnesses, so that
   a proxy that is alive can register again before the next one. */
#define RETIREMENT_PAUSE_MS 1000
/* For how long this proxy deletes nothing without a majority after a proxy has
   proved to be alive: the network is at fault. */
#define RETIREMENT_REFUTED_MS 60000
/* Proxies that are no witnesses act one after another. */
#define RETIREMENT_STEP_MS 250
#define RETIREMENT_STEPS_MAX 20
/* A proxy that has been a witness only for a short time relies on the reports
   of others once it has not heard from a peer for this time. */
#define REPORTED_SILENT_MS 3000

/* Returns true if nothing was received from a peer for AGREEMENT_SILENT_MS. */
bool
agreement_peer_is_silent(const struct peer *p, clock_ms now)
{
    return now - MAX(p->last_heard, p->added_at) >= AGREEMENT_SILENT_MS;
}

static bool
is_listed(const struct agreement_peer *peers, int n, const char *name)
{
    for (int i = 0; i < n; i++) {
        if (strcmp(peers[i].name, name) == 0) {
            return true;
        }
    }
    return false;
}

/* Called with the next list of registered proxies, before it replaces the
   present one. Records departures, and whether a proxy that was found lost has
   registered again. */
void
agreement_track_departures(struct agreement *a,
                           const struct agreement_peer *peers, int n,
                           clock_ms now)
{
    for (int i = 0; i < a->count; i++) {
        if (!is_listed(peers, n, a->peers[i].name)) {
            a->peer_left_at = now;
        }
    }
    if (a->retired[0] == '\0') {
        return;
    }
    const bool listed = is_listed(peers, n, a->retired);
    if (listed && a->retired_left) {
        a->retirement_paused_until = now + RETIREMENT_REFUTED_MS;
        event_log(EVENT_STATE, "proxy_not_lost", "name=%s pause_ms=%d",
                  a->retired, RETIREMENT_REFUTED_MS);
        a->retired[0] = '\0';
    }
    a->retired_left = !listed;
}

/* Returns true if a peer has reported the proxy with this name hash as
   silent. */
static bool
reports_silent(const struct peer *p, uint64_t hash)
{
    for (int i = 0; i < p->silent_count; i++) {
        if (p->silent[i] == hash) {
            return true;
        }
    }
    return false;
}

/* Returns true if all live proxies have the same list as this one, so that
   lists never differ by many proxies. */
static bool
lists_agree(const struct agreement *a, clock_ms now)
{
    for (int i = 0; i < a->count; i++) {
        const struct peer *p = &a->peers[i];
        if (agreement_peer_is_alive(p, now) &&
            p->registry_hash != a->registry_hash) {
            return false;
        }
    }
    return true;
}

/* Returns true if so many witnesses report a peer as silent that the others
   cannot confirm its lease. */
static bool
is_reported_lost(const struct agreement *a, const struct peer *lost,
                 clock_ms now)
{
    const uint64_t hash = agreement_name_hash(lost->name);
    int reports = 1; /* this proxy's own */

    for (int i = 0; i < a->witness_peer_count; i++) {
        const struct peer *p = &a->peers[a->witness_peers[i]];
        reports += agreement_peer_is_alive(p, now) && reports_silent(p, hash);
    }
    return reports > a->witnesses - agreement_quorum(a);
}

/* Returns true if this proxy may delete the registration of a silent witness
   without a majority now. It is in touch with the store, which arbitrates: a
   proxy that is alive and reaches the store registers again, so that witnesses
   are replaced one by one only if they are lost. */
static bool
may_retire_witness(const struct agreement *a, clock_ms now)
{
#ifdef AGREEMENT_BREAK_RETIREMENT
    (void)a;
    (void)now;
    return false;
#else
    const int step =
        CLAMP(a->witness_order - a->witnesses, 0, RETIREMENT_STEPS_MAX);
    const int64_t pause_ms = RETIREMENT_PAUSE_MS + RETIREMENT_STEP_MS * step;

    return now - a->store_answered_at < AGREEMENT_LEASE_MS &&
           now >= a->retirement_paused_until &&
           (a->peer_left_at == 0 || now - a->peer_left_at >= pause_ms);
#endif
}

/* Returns true if a peer has been silent for AGREEMENT_SILENT_MS to this proxy
   or, as far as this one can tell, to a live one. */
static bool
is_silent_to_any(const struct agreement *a, const struct peer *lost,
                 clock_ms now)
{
    const uint64_t hash = agreement_name_hash(lost->name);

    if (agreement_peer_is_silent(lost, now)) {
        return true;
    }
    if (now - MAX(lost->last_heard, lost->added_at) < REPORTED_SILENT_MS) {
        return false;
    }
    for (int i = 0; i < a->count; i++) {
        const struct peer *p = &a->peers[i];
        if (agreement_peer_is_alive(p, now) && reports_silent(p, hash)) {
            return true;
        }
    }
    return false;
}

/* Returns the name of a lost proxy whose registration can be deleted, or NULL.
   Usually so many witnesses have to report its silence that the rest cannot
   confirm its lease. If too few witnesses are alive for that, the dead ones
   are replaced first, on the word of a live witness or, if none is left, of
   any proxy. Such a one is remembered, to see whether it registers again. */
const char *
agreement_find_lost_peer(struct agreement *a, clock_ms now)
{
    const int live = agreement_live_witness_count(a, now);
    const bool majority = live > a->witnesses - agreement_quorum(a);

    if ((!a->is_witness && live > 0) || !lists_agree(a, now) ||
        (!majority && !may_retire_witness(a, now))) {
        return NULL;
    }
    for (int i = 0; i < a->count; i++) {
        const struct peer *lost = &a->peers[i];
        if (majority && agreement_peer_is_silent(lost, now) &&
            is_reported_lost(a, lost, now)) {
            return lost->name;
        }
        if (!majority && lost->witness && is_silent_to_any(a, lost, now)) {
            g_strlcpy(a->retired, lost->name, sizeof(a->retired));
            a->retired_left = false;
            return lost->name;
        }
    }
    return NULL;
}

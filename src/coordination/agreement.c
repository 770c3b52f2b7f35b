#include "coordination/agreement_internal.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Without a majority of witnesses that have applied a change, a promotion
   waits this long: proxies that reach neither the store nor this proxy may
   still confirm each other's leases. */
#define MINORITY_WAIT_MS 8000
/* The wait when the witnesses that have not applied the change are too few to
   confirm a lease. Only proxies with other lists of proxies could still have
   one confirmed. */
#define NO_QUORUM_WAIT_MS 3000
/* By which the timers that end an order may be late. */
#define ORDER_MARGIN_MS 100

/* Creates the state of a proxy that has no view yet. */
struct agreement *
agreement_create(const char *name, uint64_t incarnation, clock_ms now)
{
    struct agreement *a = g_new0(struct agreement, 1);

    g_strlcpy(a->name, name, sizeof(a->name));
    a->incarnation = incarnation;
    a->started_at = now;
    a->recovering = true;
    a->store_confirmed_at = -AGREEMENT_LEASE_MS;
    a->store_answered_at = -AGREEMENT_LEASE_MS;
    return a;
}

void
agreement_destroy(struct agreement *a)
{
    g_free(a);
}

/* Called when the store names the era that it is in. What it has confirmed in
   an earlier one may be lost. */
void
agreement_set_store_era(struct agreement *a, uint64_t era, clock_ms now)
{
    if (era <= a->store_era) {
        return;
    }
    a->store_era = era;
    a->era_known_at = now;
    a->store_confirmed_at = now - AGREEMENT_LEASE_MS;
}

/* Returns the number below all versions and fences of the present era; 0 when
   the store names none. */
uint64_t
agreement_era_base(const struct agreement *a)
{
#ifdef AGREEMENT_BREAK_ERA
    (void)a;
    return 0;
#endif
    return a->store_era << AGREEMENT_ERA_SHIFT;
}

/* Returns true if the view is from an earlier era of the store: it must be
   written again before it is changed. */
bool
agreement_view_is_lost(const struct agreement *a)
{
    return a->view.version <= agreement_era_base(a) && a->store_era > 0;
}

/* Returns for how long this proxy has known the present era of the store. */
int64_t
agreement_era_age(const struct agreement *a, clock_ms now)
{
    return now - a->era_known_at;
}

/* Returns true while others may still write again what the store has lost. */
bool
agreement_is_settling(const struct agreement *a, clock_ms now)
{
    return a->store_era > 0 && agreement_era_age(a, now) < AGREEMENT_SETTLE_MS;
}

/* Adopts v, which the store has returned, if it is newer than the present
   view. Returns true if it was; the caller then applies the view and calls
   agreement_set_applied(). */
bool
agreement_adopt_view(struct agreement *a, const struct view *v)
{
    if (v->version <= a->view.version) {
        return false;
    }
    a->view = *v;
#ifndef AGREEMENT_BREAK_UNPROVEN
    a->view_unproven = agreement_view_is_lost(a);
#endif
    return true;
}

/* Returns the newest view known to this proxy. */
const struct view *
agreement_view(const struct agreement *a)
{
    return &a->view;
}

/* Records that no work is in progress under a view older than version. */
void
agreement_set_applied(struct agreement *a, uint64_t version)
{
    a->applied = version;
}

/* Records that the other proxies list this one, because it was registered
   before it started or is the only proxy. Otherwise the first reply to one of
   its messages shows that it is listed. */
void
agreement_set_known_to_peers(struct agreement *a)
{
    a->known_to_peers = true;
}

/* Records that the store returned version in answer to a read or write sent at
   asked_at (own clock), and whether this proxy was registered at the time. A
   proxy that changes the view waits only for the proxies that it knows, so the
   answer confirms nothing while this proxy may be unknown to others. All views
   that an earlier process had applied were in the store before, so any answer
   ends the recovery. */
void
agreement_confirm_by_store(struct agreement *a, uint64_t version,
                           clock_ms asked_at, bool registered)
{
    agreement_recover_by_store(a);
    if (registered) {
        a->store_answered_at = MAX(a->store_answered_at, asked_at);
    }
#ifdef AGREEMENT_BREAK_UNKNOWN
    registered = true;
    a->known_to_peers = true;
#endif
    if (version == a->view.version && asked_at > a->store_confirmed_at &&
        registered && a->known_to_peers && !agreement_view_is_lost(a)) {
        a->store_confirmed_at = asked_at;
    }
}

static struct peer *
find_peer(const struct agreement *a, const char *name)
{
    for (int i = 0; i < a->count; i++) {
        if (strcmp(a->peers[i].name, name) == 0) {
            return (struct peer *)&a->peers[i];
        }
    }
    return NULL;
}

/* Returns the hash that identifies a proxy in messages. */
uint64_t
agreement_name_hash(const char *name)
{
    return XXH64(name, strlen(name), 0);
}

/* A proxy considered for the set of witnesses. */
struct witness_candidate {
    const char *name;
    const char *failure_domain;
    uint64_t hash;
    int domain_rank; /* number of proxies of its failure domain with a lower
                        hash */
};

static int
compare_hashes(const void *x, const void *y)
{
    const struct witness_candidate *a = x;
    const struct witness_candidate *b = y;

    return a->hash < b->hash ? -1 : a->hash > b->hash ? 1 : 0;
}

/* Orders proxies by rank within their failure domain, then by hash. */
static int
compare_domain_ranks(const void *x, const void *y)
{
    const struct witness_candidate *a = x;
    const struct witness_candidate *b = y;

    return a->domain_rank != b->domain_rank ? a->domain_rank - b->domain_rank
                                            : compare_hashes(x, y);
}

/* Chooses the witnesses among all proxies, taking one of each failure domain
   in turn. */
static void
choose_witnesses(struct agreement *a, const struct agreement_peer *peers,
                 int n)
{
    struct witness_candidate *r =
        g_new0(struct witness_candidate, (gsize)n + 1);

    for (int i = 0; i < n; i++) {
        r[i].name = peers[i].name;
        r[i].failure_domain = peers[i].failure_domain;
        r[i].hash = agreement_name_hash(peers[i].name);
    }
    qsort(r, (size_t)n, sizeof(*r), compare_hashes);
    for (int i = 0; i < n; i++) {
        for (int k = 0; k < i; k++) {
            r[i].domain_rank +=
                strcmp(r[i].failure_domain, r[k].failure_domain) == 0;
        }
    }
    qsort(r, (size_t)n, sizeof(*r), compare_domain_ranks);
    a->witness_order = n;
    for (int i = 0; i < n; i++) {
        if (strcmp(r[i].name, a->name) == 0) {
            a->witness_order = i;
        }
    }
    a->is_witness = n <= AGREEMENT_WITNESSES_MAX;
    a->witnesses = MIN(n, AGREEMENT_WITNESSES_MAX);
    a->witness_peer_count = 0;
    for (int i = 0; i < a->witnesses; i++) {
        struct peer *p = find_peer(a, r[i].name);
        if (p != NULL) {
            p->witness = true;
            a->witness_peers[a->witness_peer_count++] = (int)(p - a->peers);
        }
        else if (strcmp(r[i].name, a->name) == 0) {
            a->is_witness = true;
        }
    }
    g_free(r);
}

/* Returns the number of witnesses that have to confirm a lease: a majority, or
   FULL_QUORUM when there are AGREEMENT_WITNESSES_MAX of them. */
int
agreement_quorum(const struct agreement *a)
{
    return a->witnesses == AGREEMENT_WITNESSES_MAX ? FULL_QUORUM
                                                   : a->witnesses / 2 + 1;
}

/* Sets the list of registered proxies, in which this proxy may stand as well.
   The state of peers that stay in the list is kept. */
void
agreement_set_peers(struct agreement *a, const struct agreement_peer *peers,
                    int n, clock_ms now)
{
    struct peer *kept = g_new0(struct peer, AGREEMENT_PEERS_MAX);
    int count = 0;

    agreement_track_departures(a, peers, n, now);
    a->registry_hash = 0;
    for (int i = 0; i < n; i++) {
        /* A sum does not depend on the order of the list. */
        a->registry_hash += agreement_name_hash(peers[i].name);
    }
    for (int i = 0; i < n && count < AGREEMENT_PEERS_MAX; i++) {
        if (strcmp(peers[i].name, a->name) == 0) {
            continue;
        }
        const struct peer *old = find_peer(a, peers[i].name);
        if (old != NULL) {
            kept[count] = *old;
        }
        else {
            kept[count].added_at = now;
        }
        g_strlcpy(kept[count].name, peers[i].name, sizeof(kept[count].name));
        kept[count].witness = false;
        count++;
    }
    memcpy(a->peers, kept, sizeof(a->peers));
    a->count = count;
    g_free(kept);
    choose_witnesses(a, peers, n);
}

/* Returns true if the named proxy is a witness. */
bool
agreement_is_witness(const struct agreement *a, const char *name)
{
    const struct peer *p = find_peer(a, name);

    return p == NULL ? a->is_witness && strcmp(name, a->name) == 0
                     : p->witness;
}

/* Returns the number of registered proxies other than this one. */
int
agreement_peer_count(const struct agreement *a)
{
    return a->count;
}

/* Adds the silent peers to a message: those that a proxy exchanges messages
   with, which are all for a witness and the witnesses for others. */
static void
list_silent_peers(const struct agreement *a, clock_ms now,
                  struct agreement_message *out)
{
    for (int i = 0; i < a->count && out->silent_count < AGREEMENT_SILENT_MAX;
         i++) {
        const struct peer *p = &a->peers[i];
        if ((a->is_witness || p->witness) &&
            agreement_peer_is_silent(p, now)) {
            out->silent[out->silent_count++] = agreement_name_hash(p->name);
        }
    }
}

/* Fills in a message for the peer `to`. If the peer is not known to have the
   present view, the message includes the changed entries, unless there are
   more than AGREEMENT_CHANGES_MAX of them. A view that this proxy does not
   rely on is kept to itself: a peer could not tell. unreachable may be NULL.
 */
void
agreement_compose_message(const struct agreement *a, const char *to,
                          const struct service_set *unreachable, bool leaving,
                          clock_ms now, struct agreement_message *out)
{
    const struct peer *p = find_peer(a, to);

    memset(out, 0, sizeof(*out));
    g_strlcpy(out->from, a->name, sizeof(out->from));
    out->incarnation = a->incarnation;
    out->sent_at = now;
    out->catalog_age_ms = -1;
    if (!a->view_unproven && !agreement_is_recovering(a)) {
        out->applied = a->applied;
        out->version = a->view.version;
    }
    if (unreachable != NULL) {
        out->unreachable = *unreachable;
    }
    out->leaving = leaving;
    out->registry_hash = a->registry_hash;
    list_silent_peers(a, now, out);
    if (p != NULL) {
        out->echo = p->peer_sent_at;
        out->echo_incarnation = p->incarnation;
    }
    if (p == NULL || p->version < out->version) {
        const struct view *v = &a->view;
        out->base_version = p == NULL ? 0 : p->version;
        out->change_count = view_changes(v, out->base_version, out->changes,
                                         AGREEMENT_CHANGES_MAX);
        out->has_changes = out->change_count <= AGREEMENT_CHANGES_MAX;
        if (!out->has_changes) {
            out->change_count = 0;
        }
        memcpy(out->holder, v->holder, sizeof(out->holder));
        out->fence = v->fence;
    }
}

/* Adopts a newer view by applying the changes in a message. Returns false if
   there are none or this proxy lacks an earlier change. */
static bool
apply_changes(struct agreement *a, const struct agreement_message *m)
{
    if (!m->has_changes || m->version <= a->view.version ||
        m->base_version > a->view.version) {
        return false;
    }
    if (!view_apply(&a->view, m->changes, m->change_count)) {
        return false; /* view full: the store delivers it */
    }
    a->view.version = m->version;
    a->view.fence = m->fence;
    memcpy(a->view.holder, m->holder, sizeof(a->view.holder));
    a->view_unproven = false; /* peers tell only views that they rely on */
    return true;
}

/* Processes a message from a peer. Returns true if it brought a newer view.
   Messages from unregistered proxies are ignored. */
bool
agreement_receive(struct agreement *a, const struct agreement_message *m,
                  clock_ms now)
{
    struct peer *p = find_peer(a, m->from);

    if (p == NULL) {
        return false;
    }
    if (p->incarnation != m->incarnation) {
        if (m->incarnation < p->incarnation && p->last_heard > 0 &&
            now - p->last_heard < AGREEMENT_ALIVE_MS) {
            return false;
        }
        const struct peer old = *p;
        *p = (struct peer){.witness = old.witness, .added_at = old.added_at};
        memcpy(p->name, old.name, sizeof(p->name));
        p->incarnation = m->incarnation;
    }
    else if (m->sent_at < p->peer_sent_at) {
        return false; /* a later message has overtaken it */
    }
    p->last_heard = now;
    p->peer_sent_at = m->sent_at;
    p->version = m->version;
    p->unreachable = m->unreachable;
    p->has_unreachable = service_set_word_count(&m->unreachable) > 0;
    p->leaving = m->leaving;
    p->store_lost = m->store_lost;
    p->registry_hash = m->registry_hash;
    p->silent_count = CLAMP(m->silent_count, 0, AGREEMENT_SILENT_MAX);
    memcpy(p->silent, m->silent, sizeof(p->silent));
    if (m->echo_incarnation == a->incarnation) {
        a->known_to_peers = true; /* a proxy echoes only peers that it lists */
        p->answered_at = MAX(p->answered_at, m->echo);
    }
    if (m->applied > p->applied) {
        p->applied = m->applied;
    }
    const bool newer = apply_changes(a, m);
    /* The peer sent this after it had received the echoed message, and knew no
       newer view then. */
#ifdef AGREEMENT_BREAK_CONFIRMATION
    p->confirmed_at = now;
#endif
    if (m->echo_incarnation == a->incarnation && m->echo > p->confirmed_at &&
        agreement_sender_remembers(m) && m->version <= a->view.version) {
        p->confirmed_at = m->echo;
        agreement_recover_by_witnesses(a);
    }
    return newer;
}

/* Orders times from latest to earliest. */
static int
compare_times(const void *x, const void *y)
{
    const clock_ms a = *(const clock_ms *)x;
    const clock_ms b = *(const clock_ms *)y;

    return a < b ? 1 : a > b ? -1 : 0;
}

/* Returns the latest time (own clock) at which the store or a quorum of
   witnesses confirmed that no newer view was in force. */
clock_ms
agreement_confirmed_at(const struct agreement *a)
{
    clock_ms times[AGREEMENT_WITNESSES_MAX];
    const int needed =
        agreement_quorum(a) - a->is_witness; /* other than this proxy */
    const int n = a->witness_peer_count;

    for (int i = 0; i < n; i++) {
        times[i] = a->peers[a->witness_peers[i]].confirmed_at;
    }
    if (needed < 1 || n < needed) {
        return a->store_confirmed_at;
    }
    qsort(times, (size_t)n, sizeof(times[0]), compare_times);
    return MAX(times[needed - 1], a->store_confirmed_at);
}

/* Returns the latest time (own clock) for which a quorum of witnesses has
   answered messages that this proxy sent then or later, -1 if there is none;
   CLOCK_NEVER if no quorum needs another proxy. */
clock_ms
agreement_answered_at(const struct agreement *a)
{
    clock_ms times[AGREEMENT_WITNESSES_MAX];
    const int needed =
        agreement_quorum(a) - a->is_witness; /* other than this proxy */
    const int n = a->witness_peer_count;

    if (needed < 1) {
        return CLOCK_NEVER;
    }
    if (n < needed) {
        return -1;
    }
    for (int i = 0; i < n; i++) {
        times[i] = a->peers[a->witness_peers[i]].answered_at;
    }
    qsort(times, (size_t)n, sizeof(times[0]), compare_times);
    return times[needed - 1];
}

/* Returns true while this proxy may rely on its view. */
bool
agreement_lease_is_valid(const struct agreement *a, clock_ms now)
{
    return a->view.version > 0 && !a->view_unproven &&
           !agreement_is_recovering(a) &&
           now - agreement_confirmed_at(a) < AGREEMENT_LEASE_MS;
}

/* Returns true if a peer has answered a message of the last
   AGREEMENT_LEASE_MS. One that has not may have started again since, and
   forgotten what it had applied. */
static bool
peer_answers(const struct peer *p, clock_ms now)
{
#ifdef AGREEMENT_BREAK_ANSWERED
    (void)p;
    (void)now;
    return true;
#else
    return now - p->answered_at < AGREEMENT_LEASE_MS;
#endif
}

/* Returns true once no proxy relies on a view older than version, which came
   into force at since. This holds when every proxy has applied the version, or
   when a majority of the witnesses has and the leases that they may have
   confirmed before expired extra_ms ago. Without a majority the wait is
   longer.

   The first case counts only peers with the same list of proxies: another
   witness may have confirmed the lease of a proxy that this one does not know
   yet, or no longer knows. */
static bool
older_leases_expired(struct agreement *a, uint64_t version, clock_ms since,
                     int64_t extra_ms, clock_ms now)
{
    const int majority = a->witnesses / 2 + 1;
    int applied = 0;
    int witnesses = a->is_witness;
    int answering = a->is_witness; /* of the witnesses */

#ifdef AGREEMENT_BREAK_VERSION
    version = 0;
#endif
    if (a->applied < version) {
        return false;
    }
    for (int i = 0; i < a->count; i++) {
        const struct peer *p = &a->peers[i];
        if (p->applied < version) {
            continue;
        }
        const bool answers = peer_answers(p, now);
#ifdef AGREEMENT_BREAK_REGISTRY
        applied += answers;
#else
        applied += answers && p->registry_hash == a->registry_hash;
#endif
        witnesses += p->witness;
        answering += p->witness && answers;
    }
    if (applied == a->count) {
        return true;
    }
    /* A majority that has applied a later version covers this one. */
    if (answering >= majority && a->majority_version < version) {
        a->majority_version = version;
        a->majority_since = now;
    }
    if (witnesses >= majority && a->majority_version >= version) {
#ifdef AGREEMENT_BREAK_LEASE
        return true;
#endif
        return now - a->majority_since >= AGREEMENT_LEASE_MS + extra_ms;
    }
    return now - since >=
           extra_ms + (witnesses > a->witnesses - agreement_quorum(a)
                           ? NO_QUORUM_WAIT_MS
                           : MINORITY_WAIT_MS);
}

/* Returns true once no proxy relies on a view older than version, which came
   into force at since. */
bool
agreement_older_views_expired(struct agreement *a, uint64_t version,
                              clock_ms since, clock_ms now)
{
    return older_leases_expired(a, version, since, 0, now);
}

/* Returns true once the platform receives no order that was given under a view
   older than version. A proxy reports a version as applied only after its
   orders of earlier holders have ended; those of a proxy that has not reported
   it outlast its lease. */
bool
agreement_older_orders_expired(struct agreement *a, uint64_t version,
                               clock_ms since, clock_ms now)
{
#ifdef AGREEMENT_BREAK_ORDER_LIFE
    return agreement_older_views_expired(a, version, since, now);
#else
    return older_leases_expired(
        a, version, since, AGREEMENT_ORDER_LIFE_MS + ORDER_MARGIN_MS, now);
#endif
}

bool
agreement_peer_is_alive(const struct peer *p, clock_ms now)
{
    return p->last_heard > 0 && now - p->last_heard < AGREEMENT_ALIVE_MS &&
           !p->leaving;
}

/* Returns true if a message from the named proxy arrived within
   AGREEMENT_ALIVE_MS and it is not leaving. This proxy is always alive. */
bool
agreement_is_alive(const struct agreement *a, const char *name, clock_ms now)
{
    const struct peer *p = find_peer(a, name);

    if (p == NULL) {
        return strcmp(name, a->name) == 0;
    }
    return agreement_peer_is_alive(p, now);
}

/* Returns true if the named proxy could change the view now: it is alive and
   has not reported that it cannot reach the store. */
bool
agreement_can_change_view(const struct agreement *a, const char *name,
                          clock_ms now)
{
    const struct peer *p = find_peer(a, name);

    return agreement_is_alive(a, name, now) && (p == NULL || !p->store_lost);
}

/* Returns the number of live witnesses whose name sorts before this one's and
   that reach the store. They act first when the holder is gone. Returns -1 if
   this proxy is not a witness and must not act. */
int
agreement_rank(const struct agreement *a, clock_ms now)
{
    int rank = 0;

    if (!a->is_witness) {
        return -1;
    }
    for (int i = 0; i < a->count; i++) {
        rank += a->peers[i].witness && strcmp(a->peers[i].name, a->name) < 0 &&
                agreement_peer_is_alive(&a->peers[i], now) &&
                !a->peers[i].store_lost;
    }
    return rank;
}

/* Returns true if a service that is not in the view may have been in one that
   the store has lost. */
bool
agreement_may_have_lost_services(const struct agreement *a, clock_ms now)
{
    return a->store_era > 0 &&
           agreement_era_age(a, now) < AGREEMENT_LOST_SERVICES_MS;
}

/* Returns true if all registered proxies are alive and none of the others has
   a view to rely on. */
bool
agreement_all_lack_view(const struct agreement *a, clock_ms now)
{
    for (int i = 0; i < a->count; i++) {
        if (!agreement_peer_is_alive(&a->peers[i], now) ||
            a->peers[i].version > 0) {
            return false;
        }
    }
    return true;
}

/* Returns true if a live witness has another list of registered proxies. */
bool
agreement_registry_differs(const struct agreement *a, clock_ms now)
{
    for (int i = 0; i < a->witness_peer_count; i++) {
        const struct peer *p = &a->peers[a->witness_peers[i]];
        if (agreement_peer_is_alive(p, now) &&
            p->registry_hash != a->registry_hash) {
            return true;
        }
    }
    return false;
}

/* Returns the number of live witnesses, including this proxy if it is one. */
int
agreement_live_witness_count(const struct agreement *a, clock_ms now)
{
    int n = a->is_witness;

    for (int i = 0; i < a->witness_peer_count; i++) {
        n += agreement_peer_is_alive(&a->peers[a->witness_peers[i]], now);
    }
    return n;
}

/* Returns the number of live proxies other than this one. */
int
agreement_alive_count(const struct agreement *a, clock_ms now)
{
    int n = 0;

    for (int i = 0; i < a->count; i++) {
        n += agreement_peer_is_alive(&a->peers[i], now);
    }
    return n;
}

/* Returns the number of live peers with the same view that cannot reach the
   primary of the service at index. */
int
agreement_unreachable_votes(const struct agreement *a, int index, clock_ms now)
{
    int n = 0;

    for (int i = 0; i < a->count; i++) {
        const struct peer *p = &a->peers[i];
        n += p->has_unreachable && p->version == a->view.version &&
             service_set_has(&p->unreachable, index) &&
             agreement_peer_is_alive(p, now);
    }
    return n;
}

/* Returns when the last message from a proxy arrived (own clock), or 0 if none
   has. */
clock_ms
agreement_last_heard(const struct agreement *a, const char *name)
{
    const struct peer *p = find_peer(a, name);

    return p == NULL ? 0 : p->last_heard;
}

/* Returns the services whose primaries a peer cannot reach, by index in the
   view. NULL if there are none or the peer has another view. */
const struct service_set *
agreement_peer_unreachable(const struct agreement *a, const char *name)
{
    const struct peer *p = find_peer(a, name);

    return p == NULL || !p->has_unreachable || p->version != a->view.version
               ? NULL
               : &p->unreachable;
}

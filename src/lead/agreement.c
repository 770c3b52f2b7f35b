#include "lead/agreement.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* A change that a majority of the witnesses has not acted on is not ordered
   before this time: proxies that cannot reach the store or this proxy may
   confirm each other's leases. */
#define MINORITY_WAIT_MS 8000
/* The same, when too few witnesses are left to confirm a lease, unless proxies
   have different lists of members. */
#define NO_QUORUM_WAIT_MS 3000

/* Of the full number of witnesses this many are enough. Two proxies whose
   lists differ by two members still have a witness in common. */
#define FULL_QUORUM 5

struct peer {
    char name[VIEW_NAME_BYTES];
    bool witness;
    uint64_t incarnation;
    clock_ms added_at;   /* own clock */
    clock_ms last_heard; /* own clock; 0 when never */
    clock_ms peer_sent_at;
    clock_ms confirmed_at; /* own clock: it had no newer view after this */
    clock_ms applied_at;   /* own sent time that it echoed with acted */
    uint64_t applied;
    uint64_t version;
    struct service_set unreachable;
    bool has_unreachable;   /* unreachable is not empty */
    uint64_t registry_hash; /* hash of the proxies that it knows */
    uint64_t silent[AGREEMENT_SILENT_MAX];
    int silent_count;
    bool leaving;
    bool store_lost;
};

struct agreement {
    char name[VIEW_NAME_BYTES];
    uint64_t incarnation;
    struct view view;
    uint64_t applied;
    clock_ms store_confirmed_at;
    uint64_t majority_version; /* a majority has acted on this version */
    clock_ms majority_since;   /* since then */
    struct peer peers[AGREEMENT_PEERS_MAX];
    int count;
    uint64_t registry_hash; /* hash of the registered proxies, with this one */
    bool known_to_peers;    /* the others have this proxy in their lists */
    bool is_witness;
    int witnesses;                          /* with this proxy, if it is one */
    int witness_peers[AGREEMENT_WITNESSES]; /* indexes of the others */
    int witness_peer_count;
};

/* Creates the state of a proxy that knows nothing yet. */
struct agreement *
agreement_create(const char *name, uint64_t incarnation)
{
    struct agreement *a = g_new0(struct agreement, 1);

    g_strlcpy(a->name, name, sizeof(a->name));
    a->incarnation = incarnation;
    a->store_confirmed_at = -AGREEMENT_LEASE_MS;
    return a;
}

/* Frees the state. */
void
agreement_destroy(struct agreement *a)
{
    g_free(a);
}

/* Takes over a view if it is newer. Returns true when it was; the caller then
   acts on it and reports with agreement_set_acted(). */
bool
agreement_adopt_view(struct agreement *a, const struct view *v)
{
    if (v->version <= a->view.version) {
        return false;
    }
    a->view = *v;
    return true;
}

/* Returns the view that is known. */
const struct view *
agreement_view(const struct agreement *a)
{
    return &a->view;
}

/* Records that nothing is in progress under a view before version. */
void
agreement_set_applied(struct agreement *a, uint64_t version)
{
    a->applied = version;
}

/* The other proxies have this one in their lists: it was registered before it
   started, or there are no others. Else their answers to its notes tell. */
void
agreement_set_known_to_peers(struct agreement *a)
{
    a->known_to_peers = true;
}

/* The store showed version in answer to a question sent at asked_at, and
   whether this proxy was registered then. Whoever changes the view waits only
   for proxies that it knows, so the answer proves nothing to one that it may
   not know. */
void
agreement_confirm_by_store(struct agreement *a, uint64_t version,
                           clock_ms asked_at, bool registered)
{
#ifdef AGREEMENT_BREAK_UNKNOWN
    registered = true;
    a->known_to_peers = true;
#endif
    if (version == a->view.version && asked_at > a->store_confirmed_at &&
        registered && a->known_to_peers) {
        a->store_confirmed_at = asked_at;
    }
}

/* Finds a peer by name. */
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

/* Returns the hash that stands for a proxy in notes. */
static uint64_t
name_hash(const char *name)
{
    return XXH64(name, strlen(name), 0);
}

/* A proxy while the witnesses are chosen. */
struct witness_candidate {
    const char *name;
    const char *failure_domain;
    uint64_t hash;
    int domain_rank; /* how many of its failure domain come before it */
};

/* Orders proxies by hash. */
static int
compare_hashes(const void *x, const void *y)
{
    const struct witness_candidate *a = x;
    const struct witness_candidate *b = y;

    return a->hash < b->hash ? -1 : a->hash > b->hash ? 1 : 0;
}

/* Orders proxies by their place in their failure domain, then by hash. */
static int
compare_domain_ranks(const void *x, const void *y)
{
    const struct witness_candidate *a = x;
    const struct witness_candidate *b = y;

    return a->domain_rank != b->domain_rank ? a->domain_rank - b->domain_rank
                                            : compare_hashes(x, y);
}

/* Chooses the witnesses among all proxies and marks them. */
static void
choose_witnesses(struct agreement *a, const struct agreement_peer *peers,
                 int n)
{
    struct witness_candidate *r =
        g_new0(struct witness_candidate, (gsize)n + 1);

    for (int i = 0; i < n; i++) {
        r[i].name = peers[i].name;
        r[i].failure_domain = peers[i].failure_domain;
        r[i].hash = name_hash(peers[i].name);
    }
    qsort(r, (size_t)n, sizeof(*r), compare_hashes);
    for (int i = 0; i < n; i++) {
        for (int k = 0; k < i; k++) {
            r[i].domain_rank +=
                strcmp(r[i].failure_domain, r[k].failure_domain) == 0;
        }
    }
    qsort(r, (size_t)n, sizeof(*r), compare_domain_ranks);
    a->is_witness = n <= AGREEMENT_WITNESSES;
    a->witnesses = MIN(n, AGREEMENT_WITNESSES);
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

/* Returns how many witnesses are enough: a majority, and more where not all
   proxies are witnesses. */
static int
quorum(const struct agreement *a)
{
    return a->witnesses == AGREEMENT_WITNESSES ? FULL_QUORUM
                                               : a->witnesses / 2 + 1;
}

/* Sets the registered proxies; the own name is left out. What is known of
   those that stay is kept. */
void
agreement_set_peers(struct agreement *a, const struct agreement_peer *peers,
                    int n, clock_ms now)
{
    struct peer *kept = g_new0(struct peer, AGREEMENT_PEERS_MAX);
    int count = 0;

    a->registry_hash = 0;
    for (int i = 0; i < n; i++) {
        a->registry_hash += name_hash(peers[i].name); /* in any order */
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

/* Tells whether a proxy is a witness. */
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

/* Tells whether a peer was not heard for so long that it may be lost. */
static bool
is_silent(const struct peer *p, clock_ms now)
{
    return now - MAX(p->last_heard, p->added_at) >= AGREEMENT_SILENT_MS;
}

/* Lists the peers that may be lost. Only witnesses hear all proxies. */
static void
list_silent_peers(const struct agreement *a, clock_ms now,
                  struct agreement_message *out)
{
    if (!a->is_witness) {
        return;
    }
    for (int i = 0; i < a->count && out->silent_count < AGREEMENT_SILENT_MAX;
         i++) {
        if (is_silent(&a->peers[i], now)) {
            out->silent[out->silent_count++] = name_hash(a->peers[i].name);
        }
    }
}

/* Fills in the message for one peer. What has changed in the view is included
   when the peer is not known to have it, if it fits. */
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
    out->applied = a->applied;
    out->version = a->view.version;
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
    if (p == NULL || p->version < a->view.version) {
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

/* Takes over a newer view from what has changed in it, if this proxy has all
   that came before. */
static bool
apply_changes(struct agreement *a, const struct agreement_message *n)
{
    if (!n->has_changes || n->version <= a->view.version ||
        n->base_version > a->view.version) {
        return false;
    }
    if (!view_apply(&a->view, n->changes, n->change_count)) {
        return false; /* more services than a view takes; the store tells */
    }
    a->view.version = n->version;
    a->view.fence = n->fence;
    memcpy(a->view.holder, n->holder, sizeof(a->view.holder));
    return true;
}

/* Takes a message. Returns true when it brought a newer view. Messages of
   proxies that are not registered are ignored. */
bool
agreement_receive(struct agreement *a, const struct agreement_message *n,
                  clock_ms now)
{
    struct peer *p = find_peer(a, n->from);

    if (p == NULL) {
        return false;
    }
    if (p->incarnation != n->incarnation) {
        if (n->incarnation < p->incarnation && p->last_heard > 0 &&
            now - p->last_heard < AGREEMENT_ALIVE_MS) {
            return false;
        }
        const struct peer old = *p;
        *p = (struct peer){.witness = old.witness, .added_at = old.added_at};
        memcpy(p->name, old.name, sizeof(p->name));
        p->incarnation = n->incarnation;
    }
    else if (n->sent_at < p->peer_sent_at) {
        return false; /* overtaken by a later message */
    }
    p->last_heard = now;
    p->peer_sent_at = n->sent_at;
    p->version = n->version;
    p->unreachable = n->unreachable;
    p->has_unreachable = service_set_word_count(&n->unreachable) > 0;
    p->leaving = n->leaving;
    p->store_lost = n->store_lost;
    p->registry_hash = n->registry_hash;
    p->silent_count = CLAMP(n->silent_count, 0, AGREEMENT_SILENT_MAX);
    memcpy(p->silent, n->silent, sizeof(p->silent));
    if (n->echo_incarnation == a->incarnation) {
        a->known_to_peers = true; /* it echoes only proxies of its list */
    }
    if (n->applied > p->applied) {
        p->applied = n->applied;
    }
    const bool newer = apply_changes(a, n);
    /* The peer had no newer view when it wrote this, which was after it got
       the message that it echoes. */
#ifdef AGREEMENT_BREAK_EVIDENCE
    p->confirmed_at = now;
#endif
    if (n->echo_incarnation == a->incarnation && n->echo > p->confirmed_at &&
        n->version <= a->view.version) {
        p->confirmed_at = n->echo;
    }
    return newer;
}

/* Orders times from the latest to the earliest. */
static int
compare_times(const void *x, const void *y)
{
    const clock_ms a = *(const clock_ms *)x;
    const clock_ms b = *(const clock_ms *)y;

    return a < b ? 1 : a > b ? -1 : 0;
}

/* Returns the latest moment of which it is known that no newer view was in
   force: confirmed by the store, or by enough witnesses. */
clock_ms
agreement_confirmed_at(const struct agreement *a)
{
    clock_ms times[AGREEMENT_WITNESSES];
    const int needed = quorum(a) - a->is_witness; /* besides this proxy */
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

/* Tells whether this proxy may rely on its view now. */
bool
agreement_lease_is_valid(const struct agreement *a, clock_ms now)
{
    return a->view.version > 0 &&
           now - agreement_confirmed_at(a) < AGREEMENT_LEASE_MS;
}

/* Tells whether no proxy relies on a view before version any more, which was
   put into force at since: each one has acted on it, or a majority of the
   witnesses has and the leases that it can still have confirmed have run out.
   Without a majority the wait is longer. That each one has acted counts only
   when all know the same proxies: one that this proxy does not know yet, or no
   longer, may have had its lease confirmed by another. */
bool
agreement_older_views_expired(struct agreement *a, uint64_t version,
                              clock_ms since, clock_ms now)
{
    int applied = 0;
    int witnesses = a->is_witness;

#ifdef AGREEMENT_BREAK_VERSION
    version = 0;
#endif
    if (a->applied < version) {
        return false;
    }
    for (int i = 0; i < a->count; i++) {
        const bool has = a->peers[i].applied >= version;
#ifdef AGREEMENT_BREAK_ROSTER
        applied += has;
#else
        applied += has && a->peers[i].registry_hash == a->registry_hash;
#endif
        witnesses += has && a->peers[i].witness;
    }
    if (applied == a->count) {
        return true;
    }
    if (witnesses > a->witnesses / 2) {
        /* A majority that has acted on a later version covers this one. */
        if (a->majority_version < version) {
            a->majority_version = version;
            a->majority_since = now;
        }
#ifdef AGREEMENT_BREAK_LEASE
        return true;
#endif
        return now - a->majority_since >= AGREEMENT_LEASE_MS;
    }
    return now - since >= (witnesses > a->witnesses - quorum(a)
                               ? NO_QUORUM_WAIT_MS
                               : MINORITY_WAIT_MS);
}

/* Tells whether a peer was heard recently. */
static bool
is_alive(const struct peer *p, clock_ms now)
{
    return p->last_heard > 0 && now - p->last_heard < AGREEMENT_ALIVE_MS &&
           !p->leaving;
}

/* Tells whether a proxy was heard recently. This proxy is always alive. */
bool
agreement_is_alive(const struct agreement *a, const char *name, clock_ms now)
{
    const struct peer *p = find_peer(a, name);

    if (p == NULL) {
        return strcmp(name, a->name) == 0;
    }
    return is_alive(p, now);
}

/* Tells whether a proxy could change the view now: it is alive, and the store
   answers it. */
bool
agreement_can_change_view(const struct agreement *a, const char *name,
                          clock_ms now)
{
    const struct peer *p = find_peer(a, name);

    return agreement_is_alive(a, name, now) && (p == NULL || !p->store_lost);
}

/* Returns how many live witnesses come before this one by name. They act first
   when the holder is not there. Returns -1 when this proxy is not a witness:
   it does not act. */
int
agreement_rank(const struct agreement *a, clock_ms now)
{
    int rank = 0;

    if (!a->is_witness) {
        return -1;
    }
    for (int i = 0; i < a->count; i++) {
        rank += a->peers[i].witness && strcmp(a->peers[i].name, a->name) < 0 &&
                is_alive(&a->peers[i], now) && !a->peers[i].store_lost;
    }
    return rank;
}

/* Returns how many other proxies are alive. */
int
agreement_alive_count(const struct agreement *a, clock_ms now)
{
    int n = 0;

    for (int i = 0; i < a->count; i++) {
        n += is_alive(&a->peers[i], now);
    }
    return n;
}

/* Returns how many other live proxies, which know the same view, say that the
   primary of its lead'th service does not answer them. */
int
agreement_unreachable_votes(const struct agreement *a, int index, clock_ms now)
{
    int n = 0;

    for (int i = 0; i < a->count; i++) {
        const struct peer *p = &a->peers[i];
        n += p->has_unreachable && p->version == a->view.version &&
             service_set_has(&p->unreachable, index) && is_alive(p, now);
    }
    return n;
}

/* Returns when a proxy was last heard, 0 when never. */
clock_ms
agreement_last_heard(const struct agreement *a, const char *name)
{
    const struct peer *p = find_peer(a, name);

    return p == NULL ? 0 : p->last_heard;
}

/* Returns the services whose primaries a peer said not to reach, by index in
   its view; NULL when there are none or its view is another one. */
const struct service_set *
agreement_peer_unreachable(const struct agreement *a, const char *name)
{
    const struct peer *p = find_peer(a, name);

    return p == NULL || !p->has_unreachable || p->version != a->view.version
               ? NULL
               : &p->unreachable;
}

/* Tells whether a peer has reported that it does not hear another one. */
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

/* Returns the name of a proxy that is lost, so that its registration can be
   deleted, or NULL. So many witnesses do not hear it that the others cannot
   confirm its lease, and all live proxies know of earlier deletions: lists of
   proxies never differ by many members. */
const char *
agreement_find_lost_peer(const struct agreement *a, clock_ms now)
{
    if (!a->is_witness) {
        return NULL;
    }
    for (int i = 0; i < a->count; i++) {
        const struct peer *p = &a->peers[i];
        if (is_alive(p, now) && p->registry_hash != a->registry_hash) {
            return NULL;
        }
    }
    for (int i = 0; i < a->count; i++) {
        const struct peer *lost = &a->peers[i];
        if (!is_silent(lost, now)) {
            continue;
        }
        const uint64_t hash = name_hash(lost->name);
        int reports = 1; /* this proxy's own */
        for (int k = 0; k < a->count; k++) {
            const struct peer *p = &a->peers[k];
            reports +=
                p->witness && is_alive(p, now) && reports_silent(p, hash);
        }
        if (reports > a->witnesses - quorum(a)) {
            return lost->name;
        }
    }
    return NULL;
}

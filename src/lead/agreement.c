#include "lead/agreement.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* A change that a majority has not acted on is not ordered before this time:
   proxies that cannot reach the store or this proxy may confirm each other's
   leases for as long as they are a majority. */
#define MINORITY_WAIT_MS 8000

struct peer {
    char name[VIEW_NAME_BYTES];
    uint64_t incarnation;
    clock_ms last_heard; /* own clock; 0 when never */
    clock_ms their_sent_at;
    clock_ms confirmed; /* own clock: it had no newer view after this */
    clock_ms acted_at;  /* own sent time that it echoed with acted */
    uint64_t acted;
    uint64_t version;
    uint64_t unreachable;
    bool leaving;
};

struct agreement {
    char name[VIEW_NAME_BYTES];
    uint64_t incarnation;
    struct view view;
    uint64_t acted;
    clock_ms store_confirmed;
    uint64_t majority_version; /* a majority has acted on this version */
    clock_ms majority_at;      /* since then */
    struct peer peers[AGREEMENT_PEERS_MAX];
    int count;
};

/* Creates the state of a proxy that knows nothing yet. */
struct agreement *
agreement_create(const char *name, uint64_t incarnation)
{
    struct agreement *a = g_new0(struct agreement, 1);

    g_strlcpy(a->name, name, sizeof(a->name));
    a->incarnation = incarnation;
    a->store_confirmed = -AGREEMENT_LEASE_MS;
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
agreement_offer(struct agreement *a, const struct view *v)
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
agreement_set_acted(struct agreement *a, uint64_t version)
{
    a->acted = version;
}

/* The store showed version in answer to a question sent at asked_at. */
void
agreement_confirm_by_store(struct agreement *a, uint64_t version,
                           clock_ms asked_at)
{
    if (version == a->view.version && asked_at > a->store_confirmed) {
        a->store_confirmed = asked_at;
    }
}

/* Finds a peer by name. */
static struct peer *
find(const struct agreement *a, const char *name)
{
    for (int i = 0; i < a->count; i++) {
        if (strcmp(a->peers[i].name, name) == 0) {
            return (struct peer *)&a->peers[i];
        }
    }
    return NULL;
}

/* Sets the registered proxies; the own name is left out. What is known of
   those that stay is kept. */
void
agreement_set_peers(struct agreement *a, const char *const *names, int n)
{
    struct peer *kept = g_new0(struct peer, AGREEMENT_PEERS_MAX);
    int count = 0;

    for (int i = 0; i < n && count < AGREEMENT_PEERS_MAX; i++) {
        if (strcmp(names[i], a->name) == 0) {
            continue;
        }
        const struct peer *old = find(a, names[i]);
        if (old != NULL) {
            kept[count] = *old;
        }
        g_strlcpy(kept[count].name, names[i], sizeof(kept[count].name));
        count++;
    }
    memcpy(a->peers, kept, sizeof(a->peers));
    a->count = count;
    g_free(kept);
}

/* Returns the number of registered proxies other than this one. */
int
agreement_peer_count(const struct agreement *a)
{
    return a->count;
}

/* Fills in the message for one peer. The view is included when the peer is
   not known to have it. */
void
agreement_compose(const struct agreement *a, const char *to,
                  uint64_t unreachable, bool leaving, clock_ms now,
                  struct agreement_note *out)
{
    const struct peer *p = find(a, to);

    memset(out, 0, sizeof(*out));
    g_strlcpy(out->from, a->name, sizeof(out->from));
    out->incarnation = a->incarnation;
    out->sent_at = now;
    out->acted = a->acted;
    out->version = a->view.version;
    out->unreachable = unreachable;
    out->leaving = leaving;
    if (p != NULL) {
        out->echo = p->their_sent_at;
        out->echo_of = p->incarnation;
    }
    if (p == NULL || p->version < a->view.version) {
        out->view = a->view;
    }
}

/* Takes a message. Returns true when it brought a newer view. Messages of
   proxies that are not registered are ignored. */
bool
agreement_take(struct agreement *a, const struct agreement_note *n,
               clock_ms now)
{
    struct peer *p = find(a, n->from);

    if (p == NULL) {
        return false;
    }
    if (p->incarnation != n->incarnation) {
        if (n->incarnation < p->incarnation && p->last_heard > 0 &&
            now - p->last_heard < AGREEMENT_ALIVE_MS) {
            return false;
        }
        char name[VIEW_NAME_BYTES];
        g_strlcpy(name, p->name, sizeof(name));
        memset(p, 0, sizeof(*p));
        g_strlcpy(p->name, name, sizeof(p->name));
        p->incarnation = n->incarnation;
    }
    else if (n->sent_at < p->their_sent_at) {
        return false; /* overtaken by a later message */
    }
    p->last_heard = now;
    p->their_sent_at = n->sent_at;
    p->version = n->version;
    p->unreachable = n->unreachable;
    p->leaving = n->leaving;
    if (n->acted > p->acted) {
        p->acted = n->acted;
    }
    const bool newer = n->view.version > 0 && agreement_offer(a, &n->view);
    /* The peer had no newer view when it wrote this, which was after it got
       the message that it echoes. */
    if (n->echo_of == a->incarnation && n->echo > p->confirmed &&
        n->version <= a->view.version) {
        p->confirmed = n->echo;
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
   force: confirmed by the store, or by enough peers to make a majority with
   this proxy. */
clock_ms
agreement_evidence(const struct agreement *a)
{
    clock_ms times[AGREEMENT_PEERS_MAX];
    const int needed = (a->count + 1) / 2; /* peers besides this proxy */
    clock_ms by_peers = 0;

    if (needed > 0) {
        for (int i = 0; i < a->count; i++) {
            times[i] = a->peers[i].confirmed;
        }
        qsort(times, (size_t)a->count, sizeof(times[0]), compare_times);
        by_peers = times[needed - 1];
    }
    return by_peers > a->store_confirmed ? by_peers : a->store_confirmed;
}

/* Tells whether this proxy may rely on its view now. */
bool
agreement_valid(const struct agreement *a, clock_ms now)
{
    return a->view.version > 0 &&
           now - agreement_evidence(a) < AGREEMENT_LEASE_MS;
}

/* Tells whether no proxy relies on a view before version any more, which was
   put into force at since: each one has acted on it, or a majority has and
   the leases that it can still have confirmed have run out. Without a
   majority the wait is longer. */
bool
agreement_all_acted(struct agreement *a, uint64_t version, clock_ms since,
                    clock_ms now)
{
    int acted = a->acted >= version;

    if (acted == 0) {
        return false;
    }
    for (int i = 0; i < a->count; i++) {
        acted += a->peers[i].acted >= version;
    }
    if (acted == a->count + 1) {
        return true;
    }
    if (acted * 2 > a->count + 1) {
        if (a->majority_version != version) {
            a->majority_version = version;
            a->majority_at = now;
        }
        return now - a->majority_at >= AGREEMENT_LEASE_MS;
    }
    return now - since >= MINORITY_WAIT_MS;
}

/* Tells whether a proxy was heard recently. This proxy is always alive. */
bool
agreement_alive(const struct agreement *a, const char *name, clock_ms now)
{
    const struct peer *p = find(a, name);

    if (p == NULL) {
        return strcmp(name, a->name) == 0;
    }
    return p->last_heard > 0 && now - p->last_heard < AGREEMENT_ALIVE_MS &&
           !p->leaving;
}

/* Returns how many live proxies come before this one by name. They act first
   when the holder is not there. */
int
agreement_rank(const struct agreement *a, clock_ms now)
{
    int rank = 0;

    for (int i = 0; i < a->count; i++) {
        rank += strcmp(a->peers[i].name, a->name) < 0 &&
                agreement_alive(a, a->peers[i].name, now);
    }
    return rank;
}

/* Returns how many other proxies are alive. */
int
agreement_alive_count(const struct agreement *a, clock_ms now)
{
    int n = 0;

    for (int i = 0; i < a->count; i++) {
        n += agreement_alive(a, a->peers[i].name, now);
    }
    return n;
}

/* Returns how many other live proxies, which know the same view, say that the
   primary of its lead'th service does not answer them. */
int
agreement_votes(const struct agreement *a, int lead, clock_ms now)
{
    int n = 0;

    for (int i = 0; i < a->count; i++) {
        const struct peer *p = &a->peers[i];
        n += p->version == a->view.version &&
             agreement_alive(a, p->name, now) &&
             (p->unreachable >> lead & 1) != 0;
    }
    return n;
}

/* Returns when a proxy was last heard, 0 when never. */
clock_ms
agreement_last_heard(const struct agreement *a, const char *name)
{
    const struct peer *p = find(a, name);

    return p == NULL ? 0 : p->last_heard;
}

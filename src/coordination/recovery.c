#include "coordination/agreement_internal.h"

#include "base/event_log.h"

/* Decides when a proxy that has started again knows a view that is at least as
   new as all that its earlier processes had applied. */

/* Returns true until then. The proxy has no lease and tells no view. */
bool
agreement_is_recovering(const struct agreement *a)
{
#ifdef AGREEMENT_BREAK_RECOVERY
    (void)a;
    return false;
#else
    return a->recovering;
#endif
}

/* Returns true if the sender of a message relies on the view that it tells.
   One that tells none may have forgotten a newer one. */
bool
agreement_sender_remembers(const struct agreement_message *m)
{
#ifdef AGREEMENT_BREAK_RECOVERY
    (void)m;
    return true;
#else
    return m->version > 0;
#endif
}

static void
end_recovery(struct agreement *a, const char *source)
{
    if (a->recovering) {
        event_log(EVENT_STATE, "recovered", "source=%s version=%llu", source,
                  (unsigned long long)a->view.version);
    }
    a->recovering = false;
}

/* Called with each answer of the store about the view, after a newer one has
   been adopted. A view is in the store before any proxy applies it. */
void
agreement_recover_by_store(struct agreement *a)
{
    if (!agreement_view_is_lost(a)) {
        end_recovery(a, "store");
    }
}

/* Ends the recovery once so many witnesses have confirmed the view that one of
   them belongs to every majority. Only what they were asked AGREEMENT_LEASE_MS
   after the start counts: a proxy that changes the view may count an earlier
   process of this one until then. */
void
agreement_recover_by_witnesses(struct agreement *a)
{
    const int majority = a->witnesses / 2 + 1;
    int n = 0;

    for (int i = 0; i < a->witness_peer_count; i++) {
        n += a->peers[a->witness_peers[i]].confirmed_at >=
             a->started_at + AGREEMENT_LEASE_MS;
    }
    if (n > 0 && n >= a->witnesses - majority + 1) {
        end_recovery(a, "witnesses");
    }
}

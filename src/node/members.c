#include "node/node_internal.h"

#include "base/event_log.h"
#include "directory/member_list.h"

#include <string.h>

/* Unlisted members are kept for this time, in which they may still be asked to
   step down. */
#define UNLISTED_KEEP_MS 10000
/* A longer list does not fit in a row of 64 KB after base64 encoding and is
   not stored. */
#define STORED_LIST_MAX_BYTES 49000
/* A member that another proxy has stored, or stored as draining, is usually
   delivered to this proxy within this time. Short enough that a member can
   still be left within 7 s of its report. */
#define STORED_LIST_LAG_MS 1000

static int
compare_services(const void *a, const void *b)
{
    const struct known_member *x = a;
    const struct known_member *y = b;

    return strcmp(x->entry.service, y->entry.service);
}

/* Sorts the members by service and rebuilds the index of ranges. */
static void
index_members(struct node *n)
{
    struct member_range *r = NULL;
    const char *service = "";

    g_array_sort(n->members, compare_services);
    g_hash_table_remove_all(n->member_ranges);
    for (guint k = 0; k < n->members->len; k++) {
        const struct known_member *m =
            &g_array_index(n->members, struct known_member, k);
        if (r == NULL || strcmp(m->entry.service, service) != 0) {
            service = m->entry.service;
            r = g_new0(struct member_range, 1);
            r->first = k;
            g_hash_table_insert(n->member_ranges, g_strdup(service), r);
        }
        r->count++;
    }
}

/* Returns the range of a service in n->members; empty if there is none. */
struct member_range
node_members_of(const struct node *n, const char *service)
{
    const struct member_range *r =
        g_hash_table_lookup(n->member_ranges, service);

    return r != NULL ? *r : (struct member_range){0};
}

/* Returns true if a member is not listed any more and another one uses its
   address. */
bool
node_is_replaced(const struct node *n, const struct member_range *r,
                 const struct known_member *m)
{
    for (guint k = 0; k < r->count && m->unlisted_at != 0; k++) {
        const struct known_member *o =
            &g_array_index(n->members, struct known_member, r->first + k);
        if (o->unlisted_at == 0 && o->entry.port == m->entry.port &&
            strcmp(o->entry.host, m->entry.host) == 0) {
            return true;
        }
    }
    return false;
}

/* Passes the listed and the unlisted members to their services. */
void
node_update_members(struct node *n)
{
    const clock_ms now = clock_boottime_ms();
    GHashTableIter i;
    void *name;
    void *service;

    index_members(n);
    g_hash_table_iter_init(&i, n->services);
    while (g_hash_table_iter_next(&i, &name, &service)) {
        struct member_entry list[SERVICE_MEMBERS_MAX];
        size_t count = 0;
        const struct member_range r = node_members_of(n, name);
        for (guint k = 0; k < r.count && count < SERVICE_MEMBERS_MAX; k++) {
            const struct known_member *m =
                &g_array_index(n->members, struct known_member, r.first + k);
            if (m->unlisted_at == 0) {
                list[count++] = m->entry;
            }
        }
        service_set_members(service, list, count, now);
        for (guint k = 0; k < r.count; k++) {
            const struct known_member *m =
                &g_array_index(n->members, struct known_member, r.first + k);
            if (m->unlisted_at != 0) {
                service_add_unlisted_member(service, &m->entry, m->unlisted_at,
                                            now);
            }
        }
    }
}

/* Sets the version of the list of members that node_set_members() is called
   with next. It rises with each change, and is the same in all proxies. */
void
node_set_members_version(struct node *n, uint64_t version)
{
    n->members_version = version;
}

/* Returns the version of the list of members in force, which may have come
   from a peer; 0 if it is not known. */
uint64_t
node_members_version(const struct node *n)
{
    return n->members_version;
}

/* Called with the complete member list from the directory. */
void
node_set_members(struct node *n, const struct member_entry *entries,
                 size_t count)
{
    n->members_from_store = true;
    node_apply_members(n, entries, count);
}

/* Replaces the member list. Members that are no longer listed are kept for
   UNLISTED_KEEP_MS. */
void
node_apply_members(struct node *n, const struct member_entry *entries,
                   size_t count)
{
    const clock_ms now = clock_boottime_ms();
    GArray *next = g_array_new(FALSE, TRUE, sizeof(struct known_member));
    GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);

    for (size_t i = 0; i < count; i++) {
        const struct known_member m = {.entry = entries[i]};
        g_array_append_val(next, m);
        g_hash_table_add(listed, (char *)entries[i].id);
    }
    for (guint k = 0; k < n->members->len; k++) {
        struct known_member m =
            g_array_index(n->members, struct known_member, k);
        /* Unlisted members are kept while they may still be in use. */
        if (!g_hash_table_contains(listed, m.entry.id) &&
            (m.unlisted_at == 0 || now - m.unlisted_at < UNLISTED_KEEP_MS)) {
            m.unlisted_at = m.unlisted_at == 0 ? now : m.unlisted_at;
            g_array_append_val(next, m);
        }
    }
    g_hash_table_destroy(listed);
    g_array_free(n->members, TRUE);
    n->members = next;
    node_update_members(n);
}

/* Called with the member list that the store holds, or NULL if it has none.
   The first list after the start also adds members that the directory does not
   list: around an outage of the store, entries of live members are missing for
   some seconds. */
void
node_set_stored_members(struct node *n, const char *text)
{
    const clock_ms now = clock_boottime_ms();

    if (g_strcmp0(n->stored_list, text) != 0) {
        g_free(n->stored_list);
        n->stored_list = g_strdup(text);
        n->stored_list_at = now;
        n->stored_list_checked = false;
    }
    if (n->stored_list_read || text == NULL) {
        return;
    }
    n->stored_list_read = true;
    GArray *list = member_list_parse(sview_from(text));
    for (guint i = 0; i < list->len; i++) {
        const struct known_member m = {
            .entry = g_array_index(list, struct member_entry, i),
            .unlisted_at = now,
        };
        bool known = false;
        for (guint k = 0; k < n->members->len && !known; k++) {
            known =
                strcmp(
                    g_array_index(n->members, struct known_member, k).entry.id,
                    m.entry.id) == 0;
        }
        if (!known) {
            g_array_append_val(n->members, m);
        }
    }
    g_array_free(list, TRUE);
    node_update_members(n);
}

/* Returns the known member of that id, or NULL. */
static const struct known_member *
find_member(const struct node *n, const char *id)
{
    for (guint k = 0; k < n->members->len; k++) {
        const struct known_member *m =
            &g_array_index(n->members, struct known_member, k);
        if (strcmp(m->entry.id, id) == 0) {
            return m;
        }
    }
    return NULL;
}

/* Returns true if the stored list shows a member that is new, has restarted or
   is draining, and this proxy does not know that. */
static bool
lacks_stored_change(const struct node *n)
{
    GArray *list = member_list_parse(sview_from(n->stored_list));
    bool lacks = false;

    for (guint i = 0; i < list->len && !lacks; i++) {
        const struct member_entry *stored =
            &g_array_index(list, struct member_entry, i);
        const struct known_member *m = find_member(n, stored->id);
        lacks = m == NULL || stored->started_at > m->entry.started_at ||
                (stored->draining && !m->entry.draining &&
                 stored->started_at == m->entry.started_at);
    }
    g_array_free(list, TRUE);
    return lacks;
}

/* Requests the directory again if the stored list shows a change that has not
   been delivered: the response to the feed request may be lost. */
void
node_check_stored_list(struct node *n, clock_ms now)
{
    if (n->stored_list == NULL || n->stored_list_checked ||
        !n->members_from_store ||
        now - n->stored_list_at < STORED_LIST_LAG_MS) {
        return;
    }
    n->stored_list_checked = true;
    if (lacks_stored_change(n)) {
        event_log(EVENT_STATE, "members_behind", "members=%u",
                  n->members->len);
        n->platform.refresh_directory(n->platform.ctx);
    }
}

/* Returns true if this proxy has to notice changes of the directory without
   the help of others: it is a witness or the holder, whose messages and member
   list show changes to all proxies, or there is no such list. */
bool
node_watches_directory(const struct node *n)
{
    return n->peers->len == 0 || n->stored_list == NULL ||
           n->members->len > NODE_COPIED_MEMBERS_MAX ||
           agreement_is_witness(n->agreement, n->name) ||
           strcmp(agreement_view(n->agreement)->holder, n->name) == 0;
}

/* Writes the member list to the store if it differs from the stored one. */
static void
store_members(struct node *n, clock_ms now)
{
    GArray *list = g_array_new(FALSE, TRUE, sizeof(struct member_entry));
    for (guint k = 0; k < n->members->len; k++) {
        const struct known_member *m =
            &g_array_index(n->members, struct known_member, k);
        if (m->unlisted_at == 0 || now - m->unlisted_at < UNLISTED_KEEP_MS) {
            g_array_append_val(list, m->entry);
        }
    }
    char *text = member_list_format(
        (const struct member_entry *)(void *)list->data, list->len);
    if (strlen(text) > STORED_LIST_MAX_BYTES) {
        if (!n->list_too_long) {
            event_log(EVENT_STATE, "members_not_stored",
                      "members=%u bytes=%zu", list->len, strlen(text));
        }
        n->list_too_long = true;
    }
    else if (list->len > 0 && g_strcmp0(text, n->stored_list) != 0) {
        n->list_too_long = false;
        n->platform.write_members(n->platform.ctx, text);
    }
    g_free(text);
    g_array_free(list, TRUE);
}

/* Deletes the registration of a proxy that is permanently lost, if there is
   one. */
static void
unregister_lost_proxy(struct node *n, clock_ms now)
{
    const char *name = agreement_find_lost_peer(n->agreement, now);

    if (name != NULL) {
        const clock_ms heard = agreement_last_heard(n->agreement, name);
        event_log(EVENT_STATE, "proxy_retired",
                  "name=%s last_heard_ms=%lld live=%d", name,
                  heard != 0 ? (long long)(now - heard) : -1LL,
                  agreement_alive_count(n->agreement, now));
        n->platform.unregister_proxy(n->platform.ctx, name);
    }
}

/* Maintains the lists in the store. The holder of the view does this; while it
   is not alive, does not reach the store or is no witness, the witness whose
   rank is 0 does. Only lost proxies are left to all, since no witness may be
   alive. */
void
node_maintain_lists(struct node *n, clock_ms now)
{
    const char *holder = agreement_view(n->agreement)->holder;
    const bool holder_acts =
        agreement_is_witness(n->agreement, holder) &&
        agreement_can_change_view(n->agreement, holder, now);
    const bool acts = holder_acts ? strcmp(holder, n->name) == 0
                                  : agreement_rank(n->agreement, now) == 0;

    if (acts) {
        store_members(n, now);
    }
    if (acts || !agreement_is_witness(n->agreement, n->name)) {
        unregister_lost_proxy(n, now);
    }
}

#include "relay/link_setup.h"

#include <string.h>
#include <xxhash.h>

/* A SET, RESET or PREPARE request that the member has not answered. */
struct setup_change {
    enum verb verb;
    char *name;
    char *value;
};

struct link_setup {
    GHashTable *settings; /* name -> value */
    uint64_t settings_hash;
    GHashTable *prepared; /* set of names */
    GQueue changes;       /* of struct setup_change, in the order of sending */
    int resets;           /* among the changes */
    bool unknown;         /* a change may have been made or not */
};

struct link_setup *
link_setup_create(void)
{
    struct link_setup *l = g_new0(struct link_setup, 1);

    l->settings =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    l->prepared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_queue_init(&l->changes);
    return l;
}

/* Returns a copy that has the hash of the settings, but neither these nor
   prepared statements. */
struct link_setup *
link_setup_copy_hash(const struct link_setup *from)
{
    struct link_setup *l = link_setup_create();

    l->settings_hash = from->settings_hash;
    return l;
}

static void
change_free(void *p)
{
    struct setup_change *c = p;

    g_free(c->name);
    g_free(c->value);
    g_free(c);
}

void
link_setup_destroy(struct link_setup *l)
{
    g_queue_clear_full(&l->changes, change_free);
    g_hash_table_destroy(l->settings);
    g_hash_table_destroy(l->prepared);
    g_free(l);
}

/* Called with each request that is sent. Those that change settings or
   prepared statements are sent while no other request is outstanding, so the
   next answers are theirs. */
void
link_setup_sent(struct link_setup *l, const struct request *r)
{
    if (r->verb != VERB_SET && r->verb != VERB_RESET &&
        r->verb != VERB_PREPARE_READ && r->verb != VERB_PREPARE_WRITE) {
        return;
    }
    struct setup_change *c = g_new0(struct setup_change, 1);

    c->verb = r->verb;
    c->name = g_strndup(r->name.p, r->name.n);
    c->value = g_strndup(r->rest.p, r->rest.n);
    l->resets += r->verb == VERB_RESET;
    g_queue_push_tail(&l->changes, c);
}

/* Makes a change that the member has acknowledged. */
static void
apply(struct link_setup *l, const struct setup_change *c)
{
    switch (c->verb) {
    case VERB_SET:
        g_hash_table_replace(l->settings, g_strdup(c->name),
                             g_strdup(c->value));
        l->settings_hash = settings_hash(l->settings);
        break;
    case VERB_RESET:
        g_hash_table_remove_all(l->settings);
        g_hash_table_remove_all(l->prepared);
        l->settings_hash = 0;
        break;
    default:
        g_hash_table_add(l->prepared, g_strdup(c->name));
        break;
    }
}

/* Called with the outcome of each request, in the order of sending. */
void
link_setup_answered(struct link_setup *l, enum failure f)
{
    struct setup_change *c = g_queue_pop_head(&l->changes);

    if (c == NULL) {
        return;
    }
    l->resets -= c->verb == VERB_RESET;
    if (f == FAILURE_NONE) {
        apply(l, c);
    }
    else if (!failure_means_not_run(f)) {
        l->unknown = true;
    }
    change_free(c);
}

/* Returns false if the connection must not be used any more: it is not known
   whether a change was made. */
bool
link_setup_is_known(const struct link_setup *l)
{
    return !l->unknown;
}

/* Returns the settings in effect, name -> value. */
GHashTable *
link_setup_settings(const struct link_setup *l)
{
    return l->settings;
}

/* Returns the hash of the settings in effect. */
uint64_t
link_setup_settings_hash(const struct link_setup *l)
{
    return l->settings_hash;
}

/* Returns true if a setting has the value once all requests that have been
   sent are acknowledged, as long as no SET is among them. */
bool
link_setup_has_setting(const struct link_setup *l, const char *name,
                       const char *value)
{
    return l->resets == 0 &&
           g_strcmp0(g_hash_table_lookup(l->settings, name), value) == 0;
}

/* Returns true if a statement of this name is prepared once all requests that
   have been sent are acknowledged, as long as no PREPARE is among them. */
bool
link_setup_has_name(const struct link_setup *l, const char *name)
{
    return l->resets == 0 && g_hash_table_contains(l->prepared, name);
}

/* Called when the member does not know a prepared statement: it may know none
   of them. */
void
link_setup_forget_names(struct link_setup *l)
{
    g_hash_table_remove_all(l->prepared);
}

/* Returns a hash that does not depend on the order of the settings, and is 0
   for none. */
uint64_t
settings_hash(GHashTable *settings)
{
    GHashTableIter i;
    void *name;
    void *value;
    uint64_t hash = 0;

    g_hash_table_iter_init(&i, settings);
    while (g_hash_table_iter_next(&i, &name, &value)) {
        char *pair = g_strconcat(name, "=", value, NULL);
        hash += XXH64(pair, strlen(pair), 1) | 1;
        g_free(pair);
    }
    return hash;
}

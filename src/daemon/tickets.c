#include "daemon/tickets.h"

#include "cloud/ticket_result.h"
#include "ticket/submission.h"
#include "ticket/sync.h"

#include <inttypes.h>
#include <string.h>

#define LOG_MODULE "ticket"
#include "base/log.h"

#define TICKETS_TICK_S 0.05
#define TICKETS_MAX_SUBMISSIONS 16
#define CELL_BYTES 64

/* A submission in progress. */
struct submission {
    struct tickets *tickets;
    struct ticket_submission *state_machine;
    struct control_reply *reply;
    uint64_t store_request; /* request to the store in progress, 0 for none */
    bool answered;
};

/* A request for rows of the tickets table in progress. */
struct list_request {
    struct tickets *tickets;
    uint64_t id;
};

struct tickets {
    struct tickets_config config;
    struct cloud_client *cloud; /* NULL when no table_url is set */
    struct ticket_state *state;
    struct ticket_sync *sync;
    struct ticket_configured_database databases[SETTINGS_MAX_DATABASES];
    const char *kinds[SETTINGS_MAX_KINDS + 1];
    struct ticket_rules rules;
    GPtrArray *submissions; /* of struct submission */
    GHashTable *unapplied;  /* "TYPE NAME" of objects that are not in force */
    struct rng rng;
    ev_timer tick;
};

/* Publishes the digest of this proxy's tickets through the heartbeats. */
static void
publish_digest(struct tickets *t)
{
    const struct ticket_digest d = ticket_state_digest(t->state);

    if (t->config.peers != NULL) {
        membership_set_tickets(
            peers_membership(t->config.peers),
            (peer_digest){.highest_ticket = d.highest, .hash = d.hash});
    }
}

/* Called when a ticket gives an object a new state. */
static void
on_changed(void *ctx, const struct ticket_object *old,
           const struct ticket_object *o)
{
    struct tickets *t = ctx;
    char *key = g_strdup_printf("%s %s", ticket_type_name(o->type), o->name);

    (void)old;
    const bool applied = t->config.apply(t->config.ctx, o);
    LOG_AT(applied ? LOG_LEVEL_NOTICE : LOG_LEVEL_WARNING, "apply", NULL,
           "%s is %s by ticket %" PRIu64, key,
           applied ? "in force" : "recorded but not in force", o->number);
    if (applied) {
        g_hash_table_remove(t->unapplied, key);
        g_free(key);
    }
    else {
        g_hash_table_add(t->unapplied, key);
    }
    publish_digest(t);
}

/* The push callback of struct ticket_sync_ops: sends tickets to a peer. */
static void
sync_push(void *ctx, uint32_t peer, const char *text)
{
    struct tickets *t = ctx;
    char *copy = g_strdup(text);
    const peer_ticket out = {.id = (unsigned int)t->config.settings->id,
                             .text = copy};

    peers_send_ticket(t->config.peers, peer, &out);
    g_free(copy);
}

/* The pull callback: asks a peer for tickets that this proxy lacks. */
static void
sync_pull(void *ctx, uint32_t peer, const struct ticket_digest *own, bool full)
{
    struct tickets *t = ctx;
    const peer_ticket_pull out = {
        .id = (unsigned int)t->config.settings->id,
        .highest = own->highest,
        .count = own->count,
        .hash = own->hash,
        .full = full,
    };

    peers_send_ticket_pull(t->config.peers, peer, &out);
}

static void
on_rows(void *ctx, const struct cloud_result *r)
{
    struct list_request *l = ctx;
    struct ticket_row *rows = g_new0(struct ticket_row, r->n_rows + 1);

    for (size_t i = 0; i < r->n_rows; i++) {
        rows[i] = (struct ticket_row){.key = r->rows[i].key,
                                      .text = r->rows[i].value};
    }
    ticket_sync_on_rows(l->tickets->sync, clock_monotonic_ms(), l->id,
                        cloud_ticket_list_result(r), rows, r->n_rows);
    g_free(rows);
    g_free(l);
}

/* The list callback: requests rows of the tickets table. */
static void
sync_list(void *ctx, uint64_t id, const char *after, int limit)
{
    struct tickets *t = ctx;

    if (t->cloud == NULL) {
        return;
    }
    struct list_request *l = g_new0(struct list_request, 1);
    *l = (struct list_request){.tickets = t, .id = id};
    cloud_table_list(t->cloud, CLOUD_TICKET_TABLE, after, limit, 0, on_rows,
                     l);
}

/* A snapshot that cannot be read is handled like a missing one. */
static void
on_snapshot(void *ctx, const struct cloud_result *r)
{
    struct tickets *t = ctx;
    const bool found = r->outcome == CLOUD_DONE && r->status == 200;

    ticket_sync_on_snapshot(t->sync, clock_monotonic_ms(),
                            found ? r->body : NULL, found ? r->n_body : 0);
}

static void
sync_snapshot_read(void *ctx)
{
    struct tickets *t = ctx;

    if (t->cloud == NULL) {
        return;
    }
    cloud_object_get(t->cloud, CLOUD_TICKET_SNAPSHOT, 0, on_snapshot, t);
}

static void
on_snapshot_written(void *ctx, const struct cloud_result *r)
{
    (void)ctx;
    if (r->outcome != CLOUD_DONE) {
        LOG_INFO("snapshot", NULL, "not written: %s", r->reason);
    }
}

static void
sync_snapshot_write(void *ctx, const char *text)
{
    struct tickets *t = ctx;

    if (t->cloud != NULL) {
        cloud_object_put(t->cloud, CLOUD_TICKET_SNAPSHOT, text, strlen(text),
                         1, on_snapshot_written, t);
    }
}

static const struct ticket_sync_ops sync_ops = {
    .push = sync_push,
    .pull = sync_pull,
    .list = sync_list,
    .snapshot_read = sync_snapshot_read,
    .snapshot_write = sync_snapshot_write,
};

static void
on_insert(void *ctx, const struct cloud_result *r)
{
    struct submission *s = ctx;
    const char *row = NULL;
    const enum ticket_store_result result =
        cloud_ticket_insert_result(r, &row);

    s->store_request = 0;
    ticket_submission_on_insert(s->state_machine, clock_monotonic_ms(), result,
                                row);
}

static void
on_read(void *ctx, const struct cloud_result *r)
{
    struct submission *s = ctx;
    const char *row = NULL;
    const enum ticket_store_result result = cloud_ticket_read_result(r, &row);

    s->store_request = 0;
    ticket_submission_on_read(s->state_machine, clock_monotonic_ms(), result,
                              row);
}

/* The insert callback of struct ticket_submission_ops: inserts the row of the
   ticket's number unless it exists. */
static void
submission_insert(void *ctx, const char *key, const char *text)
{
    struct submission *s = ctx;

    s->store_request = cloud_table_insert(
        s->tickets->cloud, CLOUD_TICKET_TABLE, key, text, 1, on_insert, s);
}

/* The read callback: reads the row of the ticket's number. */
static void
submission_read(void *ctx, const char *key)
{
    struct submission *s = ctx;

    s->store_request = cloud_table_get(s->tickets->cloud, CLOUD_TICKET_TABLE,
                                       key, 1, on_read, s);
}

/* The accepted callback: the ticket is in the store. */
static void
submission_accepted(void *ctx, const struct ticket *ticket)
{
    struct submission *s = ctx;

    ticket_sync_publish(s->tickets->sync, ticket);
    publish_digest(s->tickets);
}

/* The answer callback: reports the outcome to the operator. */
static void
submission_answer(void *ctx, const struct ticket_answer *a)
{
    struct submission *s = ctx;
    char text[512];
    enum control_code code = CONTROL_FAILED;

    switch (a->outcome) {
    case TICKET_ACCEPTED:
    case TICKET_ALREADY_ACCEPTED:
        code = CONTROL_OK;
        g_snprintf(text, sizeof(text), "ticket %" PRIu64 " %s", a->number,
                   ticket_outcome_name(a->outcome));
        break;
    case TICKET_CONFLICT:
        code = CONTROL_CONFLICT;
        g_snprintf(text, sizeof(text),
                   "ticket %" PRIu64
                   " conflicts with one of %s (hash %016" PRIx64 "): %s",
                   a->number, a->other_author, a->other_hash,
                   ticket_outcome_advice(a->outcome));
        break;
    case TICKET_INVALID:
        g_snprintf(text, sizeof(text), "invalid ticket: [%s] %s: %s",
                   a->error.group, a->error.key, a->error.reason);
        break;
    default:
        g_snprintf(text, sizeof(text), "ticket %" PRIu64 " %s: %s", a->number,
                   ticket_outcome_name(a->outcome),
                   ticket_outcome_advice(a->outcome));
        break;
    }
    control_reply_send(s->reply, code, text);
    s->reply = NULL;
    s->answered = true;
}

static const struct ticket_submission_ops submission_ops = {
    .insert = submission_insert,
    .read = submission_read,
    .accepted = submission_accepted,
    .answer = submission_answer,
};

/* Frees a submission and cancels its request to the store. An operator who
   still waits is told that the outcome is unknown. */
static void
submission_free(void *p)
{
    struct submission *s = p;

    if (s->store_request != 0) {
        cloud_cancel(s->tickets->cloud, s->store_request);
    }
    if (s->reply != NULL) {
        control_reply_send(s->reply, CONTROL_FAILED,
                           "the proxy is shutting down; outcome unknown, "
                           "submit the same ticket again");
    }
    ticket_submission_destroy(s->state_machine);
    g_free(s);
}

static void
on_submit(void *ctx, struct control_reply *r, const char *author,
          const char *text)
{
    struct tickets *t = ctx;

    (void)author;
    if (t->cloud == NULL) {
        control_reply_send(
            r, CONTROL_FAILED,
            "ticket not accepted: there is no store for tickets, "
            "[platform] table_url is not set");
        return;
    }
    if (t->submissions->len >= TICKETS_MAX_SUBMISSIONS) {
        control_reply_send(
            r, CONTROL_FAILED,
            "not accepted: too many submissions wait for the store");
        return;
    }
    struct submission *s = g_new0(struct submission, 1);
    s->tickets = t;
    s->reply = r;
    s->state_machine = ticket_submission_create(&submission_ops, s, t->state,
                                                &t->rules, &t->rng);
    g_ptr_array_add(t->submissions, s);
    ticket_submission_start(s->state_machine, clock_monotonic_ms(), text,
                            strlen(text));
}

static void
add_object_row(struct control_table *table, const struct tickets *t,
               const struct ticket_object *o)
{
    char number[CELL_BYTES];
    char *key = g_strdup_printf("%s %s", ticket_type_name(o->type), o->name);

    g_snprintf(number, sizeof(number), "%" PRIu64, o->number);
    control_table_add(table, number, ticket_type_name(o->type), o->name,
                      o->removed ? "yes" : "no",
                      g_hash_table_contains(t->unapplied, key) ? "no" : "yes",
                      NULL);
    g_free(key);
}

/* Fills the table "ticket-list": all objects, each with the ticket that set it
   last. */
static void
fill_list(void *ctx, const char *argument, struct control_table *table)
{
    struct tickets *t = ctx;
    const struct ticket_digest nothing = {0};
    GPtrArray *all = ticket_state_list_missing(t->state, &nothing, 0);

    (void)argument;
    control_table_add(table, "ticket", "object", "name", "removed", "in_force",
                      NULL);
    for (guint i = 0; i < all->len; i++) {
        add_object_row(table, t, g_ptr_array_index(all, i));
    }
    g_ptr_array_unref(all);
}

/* Fills the table "ticket-show": the objects whose state the given ticket set
   and no later ticket has replaced. */
static void
fill_show(void *ctx, const char *argument, struct control_table *table)
{
    struct tickets *t = ctx;
    const struct ticket_digest nothing = {0};
    GPtrArray *all = ticket_state_list_missing(t->state, &nothing, 0);
    guint64 number = 0;

    g_ascii_string_to_unsigned(argument, 10, 0, G_MAXUINT64, &number, NULL);
    control_table_add(table, "line", NULL);
    for (guint i = 0; i < all->len; i++) {
        const struct ticket_object *o = g_ptr_array_index(all, i);
        if (o->number != number) {
            continue;
        }
        GString *text = g_string_new(NULL);
        ticket_object_write(o, true, text);
        char **line = g_strsplit(g_strchomp(text->str), "\n", -1);
        for (int k = 0; line[k] != NULL; k++) {
            control_table_add(table, line[k], NULL);
        }
        g_strfreev(line);
        g_string_free(text, TRUE);
    }
    g_ptr_array_unref(all);
}

/* Fills the table "ticket-status": for each proxy that is not dead, whether it
   has the same tickets as this one. */
static void
fill_status(void *ctx, const char *argument, struct control_table *table)
{
    struct tickets *t = ctx;
    const struct ticket_digest own = ticket_state_digest(t->state);
    const bool applied = g_hash_table_size(t->unapplied) == 0;
    struct member_info m;
    char highest_ticket[CELL_BYTES];

    (void)argument;
    control_table_add(table, "proxy", "phase", "ticket", "in_force", NULL);
    if (t->config.peers == NULL) {
        g_snprintf(highest_ticket, sizeof(highest_ticket), "%" PRIu64,
                   own.highest);
        control_table_add(table, t->config.settings->name, "live",
                          highest_ticket, applied ? "yes" : "no", NULL);
        return;
    }
    struct membership *list = peers_membership(t->config.peers);
    for (size_t i = 0; i < membership_size(list); i++) {
        if (!membership_at(list, i, &m) || m.phase == MEMBER_DEAD) {
            continue;
        }
        const bool self = m.id == membership_self_id(list);
        const bool same = self || m.tickets.hash == own.hash;
        g_snprintf(highest_ticket, sizeof(highest_ticket), "%" PRIu64,
                   self ? own.highest : (uint64_t)m.tickets.highest_ticket);
        control_table_add(table, m.name, member_phase_name(m.phase),
                          highest_ticket, same && applied ? "yes" : "no",
                          NULL);
    }
}

static void
on_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
    struct tickets *t = w->data;
    const clock_ms now = clock_monotonic_ms();

    (void)loop;
    (void)revents;
    ticket_sync_tick(t->sync, now);
    for (guint i = t->submissions->len; i > 0; i--) {
        struct submission *s = g_ptr_array_index(t->submissions, i - 1);
        if (s->answered) {
            g_ptr_array_remove_index_fast(t->submissions, i - 1);
            continue;
        }
        ticket_submission_tick(s->state_machine, now);
    }
}

/* Collects what tickets are checked against. */
static void
init_rules(struct tickets *t)
{
    const struct settings *s = t->config.settings;

    for (int i = 0; i < s->database_count; i++) {
        t->databases[i] = (struct ticket_configured_database){
            .name = s->databases[i].name,
            .connections = s->databases[i].connections,
        };
    }
    for (int i = 0; i < s->kind_count; i++) {
        t->kinds[i] = s->kinds[i].name;
    }
    t->rules = (struct ticket_rules){
        .databases = t->databases,
        .n_databases = (size_t)s->database_count,
        .kinds = t->kinds,
    };
}

/* Starts to read tickets from peers, from the snapshot and from the table of
   the store. */
struct tickets *
tickets_create(const struct tickets_config *config)
{
    struct tickets *t = g_new0(struct tickets, 1);
    const struct settings *s = config->settings;

    t->config = *config;
    rng_seed(&t->rng, (uint64_t)clock_monotonic_us() ^ (uint64_t)s->id << 48);
    t->submissions = g_ptr_array_new_with_free_func(submission_free);
    t->unapplied =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    t->state = ticket_state_create(on_changed, t);
    t->sync = ticket_sync_create(&sync_ops, t, t->state, &t->rng);
    init_rules(t);
    if (s->table_url != NULL) {
        t->cloud =
            cloud_client_create(config->loop,
                                &(struct cloud_settings){
                                    .table_url = s->table_url,
                                    .object_url = s->object_url,
                                    .vms_url = s->vms_url,
                                    .timeout_ms = (int)s->platform_timeout_ms,
                                },
                                rng_next(&t->rng));
    }
    for (int i = 0; i < s->peer_count; i++) {
        ticket_sync_peer_up(t->sync, s->peers[i].id);
    }
    publish_digest(t);
    ticket_sync_start(t->sync, clock_monotonic_ms());
    ev_timer_init(&t->tick, on_timer, TICKETS_TICK_S, TICKETS_TICK_S);
    t->tick.data = t;
    ev_timer_start(config->loop, &t->tick);
    return t;
}

/* Ends all submissions and frees everything; t may be NULL. */
void
tickets_destroy(struct tickets *t)
{
    if (t == NULL) {
        return;
    }
    ev_timer_stop(t->config.loop, &t->tick);
    g_ptr_array_free(t->submissions, TRUE);
    if (t->cloud != NULL) {
        cloud_client_destroy(t->cloud);
    }
    ticket_sync_destroy(t->sync);
    ticket_state_destroy(t->state);
    g_hash_table_destroy(t->unapplied);
    g_free(t);
}

/* Registers the tables and the command of operators. */
void
tickets_register(struct tickets *t, struct control *c)
{
    control_register_table(c, "ticket-list", fill_list, t);
    control_register_table(c, "ticket-show", fill_show, t);
    control_register_table(c, "ticket-status", fill_status, t);
    control_register_submit(c, on_submit, t);
}

/* Handles tickets that a peer sent. */
void
tickets_on_push(struct tickets *t, const peer_ticket *in)
{
    ticket_sync_on_push(t->sync, clock_monotonic_ms(), in->text,
                        strlen(in->text));
    publish_digest(t);
}

/* Sends a peer the tickets that it lacks. */
void
tickets_on_pull(struct tickets *t, const peer_ticket_pull *in)
{
    const struct ticket_digest d = {
        .highest = in->highest,
        .count = in->count,
        .hash = in->hash,
    };

    ticket_sync_on_pull(t->sync, in->id, &d, in->full != 0);
}

/* Handles the digest in a peer's heartbeat. It has no count of objects, but
   the hash covers every object, so an equal hash implies an equal count. */
void
tickets_on_digest(struct tickets *t, uint32_t peer, const peer_digest *in)
{
    const struct ticket_digest own = ticket_state_digest(t->state);
    const struct ticket_digest d = {
        .highest = in->highest_ticket,
        .count = in->hash == own.hash ? own.count : own.count + 1,
        .hash = in->hash,
    };

    ticket_sync_on_digest(t->sync, clock_monotonic_ms(), peer, &d);
}

/* Handles a proxy that appeared or disappeared. */
void
tickets_on_member(struct tickets *t, const struct member_info *m)
{
    if (m->phase == MEMBER_DEAD) {
        ticket_sync_peer_down(t->sync, m->id);
    }
    else {
        ticket_sync_peer_up(t->sync, m->id);
    }
}

#include "soak/soak.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The callers are beyond the limit of account 0. The operator lowers and
   raises that of account 1. They do not reach the limits of the others. */
#define ACCOUNTS 5
#define HIGH_RATE 1000
#define HIGH_BURST 500
#define LOW_RATE 10
#define LOW_BURST 5
/* By default, a caller goes on using a key for this long after it was
   withdrawn. */
#define KEEP_KEY_MS ((clock_ms)SOAK_REVOCATION_MS + 2500)
/* Begins every key, so that a key that was logged is found. */
#define KEY_PREFIX "soak-key-"
/* Marks a time that has not come yet. */
#define NOT_YET CLOCK_NEVER

/* A time during which a key belonged to an account, or a limit was in force. A
   change counts as made from before it is written until after it is
   acknowledged. */
struct period {
    int account;
    int rate; /* of a limit only */
    int burst;
    clock_ms written_at;
    clock_ms acked_at;
    clock_ms ended_at; /* acknowledged */
    bool ends;         /* in the configuration that is being written */
};

/* A caller's key. Keys are not used again after they were withdrawn. */
struct key {
    guint number;
    GArray *owners; /* of struct period; the last one may be in force */
};

struct caller_keys {
    struct key newest;
    struct key used; /* the key before, as long as the caller uses it */
    bool has_used;
    clock_ms served_at;
};

/* A statement that a caller has sent. */
struct sent {
    struct key key;
    clock_ms at;
};

struct accounts {
    struct soak *soak;
    struct rng rng;
    int callers;
    clock_ms keep_key_ms;
    struct caller_keys *list;
    guint keys;
    GPtrArray *owners;            /* every array of owners, to be freed */
    GArray *limits[ACCOUNTS];     /* of struct period */
    GArray *operations[ACCOUNTS]; /* of clock_ms, in order */
    guint first[ACCOUNTS];        /* operation in the present window */
    GHashTable *sent;             /* statement ID to struct sent */
    long changes;
    long refused;
    long checked;
    long old_key_statements;
};

static struct period *
last_period(const GArray *periods)
{
    return periods->len == 0
               ? NULL
               : &g_array_index(periods, struct period, periods->len - 1);
}

/* Returns true if the period goes on in the newest configuration. */
static bool
is_open(const struct period *p)
{
    return p != NULL && !p->ends;
}

static void
append_period(GArray *periods, int account, int rate, int burst)
{
    const struct period p = {.account = account,
                             .rate = rate,
                             .burst = burst,
                             .written_at = clock_monotonic_ms(),
                             .acked_at = NOT_YET,
                             .ended_at = NOT_YET};

    g_array_append_val(periods, p);
}

static void
give_key(struct accounts *a, int caller, int account)
{
    struct key *k = &a->list[caller].newest;

    k->number = a->keys++;
    k->owners = g_array_new(FALSE, TRUE, sizeof(struct period));
    g_ptr_array_add(a->owners, k->owners);
    append_period(k->owners, account, 0, 0);
}

static void
set_limit(struct accounts *a, int account, int rate, int burst)
{
    struct period *p = last_period(a->limits[account]);

    if (p != NULL) {
        p->ends = true;
    }
    append_period(a->limits[account], account, rate, burst);
}

/* Withdraws the newest key of a caller, which goes on using it for a while. */
static void
withdraw_key(struct accounts *a, int caller)
{
    struct caller_keys *c = &a->list[caller];

    last_period(c->newest.owners)->ends = true;
    c->used = c->newest;
    c->has_used = true;
}

/* Lowers or raises the limit of account 1. */
void
accounts_change_rate(struct accounts *a)
{
    const bool low = last_period(a->limits[1])->rate == LOW_RATE;

    set_limit(a, 1, low ? HIGH_RATE : LOW_RATE, low ? HIGH_BURST : LOW_BURST);
}

/* Changes the key of one caller, and sometimes a limit. The caller then writes
   the configuration. */
void
accounts_change(struct accounts *a)
{
    const int i = (int)rng_below(&a->rng, (uint64_t)a->callers);
    struct caller_keys *c = &a->list[i];
    struct period *owner = last_period(c->newest.owners);
    const int other = (int)rng_below(&a->rng, ACCOUNTS);

    a->changes++;
    if (!is_open(owner)) {
        give_key(a, i, other);
    }
    else {
        switch (rng_below(&a->rng, 4)) {
        case 0: /* moves to another account */
            if (other != owner->account) {
                owner->ends = true;
                append_period(c->newest.owners, other, 0, 0);
            }
            break;
        case 1: /* is replaced at once */
            withdraw_key(a, i);
            give_key(a, i, other);
            break;
        default:
            withdraw_key(a, i);
        }
    }
    if (rng_below(&a->rng, 6) == 0) {
        accounts_change_rate(a);
    }
}

/* Sets how long callers go on using withdrawn keys. */
void
accounts_keep_keys(struct accounts *a, clock_ms for_ms)
{
    a->keep_key_ms = for_ms;
}

/* Withdraws the key of a random caller, or all keys of its account. */
void
accounts_withdraw(struct accounts *a, bool whole_account)
{
    const int n = (int)rng_below(&a->rng, (uint64_t)a->callers);
    const int account = last_period(a->list[n].newest.owners)->account;

    a->changes++;
    for (int i = 0; i < a->callers; i++) {
        const struct period *owner = last_period(a->list[i].newest.owners);
        if (is_open(owner) &&
            (whole_account ? owner->account == account : i == n)) {
            withdraw_key(a, i);
        }
    }
}

/* Gives new keys to about half of the callers that have none listed. */
void
accounts_return_keys(struct accounts *a)
{
    a->changes++;
    for (int i = 0; i < a->callers; i++) {
        if (!is_open(last_period(a->list[i].newest.owners)) &&
            rng_below(&a->rng, 2) == 0) {
            give_key(a, i, (int)rng_below(&a->rng, ACCOUNTS));
        }
    }
}

/* Gives a key to every caller that has none listed. Used when no fault is
   injected any more. */
void
accounts_settle(struct accounts *a)
{
    for (int i = 0; i < a->callers; i++) {
        if (!is_open(last_period(a->list[i].newest.owners))) {
            give_key(a, i, 2 + i % (ACCOUNTS - 2));
        }
        a->list[i].has_used = false;
    }
}

/* Appends the accounts to a configuration. */
void
accounts_append(const struct accounts *a, GString *config)
{
    g_string_append(config, ",\"tenants\":[");
    for (int n = 0; n < ACCOUNTS; n++) {
        const struct period *limit = last_period(a->limits[n]);
        const char *separator = "";
        g_string_append_printf(config,
                               "%s{\"name\":\"a%d\",\"priority\":0,"
                               "\"rate_per_s\":%d,\"burst\":%d,\"api_keys\":[",
                               n > 0 ? "," : "", n, limit->rate, limit->burst);
        for (int i = 0; i < a->callers; i++) {
            const struct key *k = &a->list[i].newest;
            const struct period *owner = last_period(k->owners);
            if (is_open(owner) && owner->account == n) {
                g_string_append_printf(config, "%s\"" KEY_PREFIX "%u\"",
                                       separator, k->number);
                separator = ",";
            }
        }
        g_string_append(config, "]}");
    }
    g_string_append_c(config, ']');
}

static void
acknowledge(GArray *periods, clock_ms now)
{
    for (guint i = 0; i < periods->len; i++) {
        struct period *p = &g_array_index(periods, struct period, i);
        p->acked_at = MIN(p->acked_at, now);
        if (p->ends) {
            p->ended_at = MIN(p->ended_at, now);
        }
    }
}

/* Called when the store has acknowledged the configuration. */
void
accounts_acknowledged(struct accounts *a)
{
    const clock_ms now = clock_monotonic_ms();

    for (guint i = 0; i < a->owners->len; i++) {
        acknowledge(a->owners->pdata[i], now);
    }
    for (int n = 0; n < ACCOUNTS; n++) {
        acknowledge(a->limits[n], now);
    }
}

/* Returns the key that a caller uses at present. */
static const struct key *
key_in_use(const struct accounts *a, struct caller_keys *c)
{
    if (c->has_used) {
        const struct period *last = last_period(c->used.owners);
        if (last->ended_at == NOT_YET ||
            clock_monotonic_ms() < last->ended_at + a->keep_key_ms) {
            return &c->used;
        }
        c->has_used = false;
    }
    return &c->newest;
}

/* Returns the key with which a caller starts a session. The text is static;
 *number identifies the key in the calls below. */
const char *
accounts_key(struct accounts *a, int caller, guint *number)
{
    static char text[40];
    const struct key *k = key_in_use(a, &a->list[caller]);

    *number = k->number;
    g_snprintf(text, sizeof(text), KEY_PREFIX "%u", k->number);
    return text;
}

/* Returns true if the caller should start a new session with another key. */
bool
accounts_key_changed(struct accounts *a, int caller, guint number)
{
    return key_in_use(a, &a->list[caller])->number != number;
}

/* Records that a caller sends a statement in a session of a key. */
void
accounts_sent(struct accounts *a, const char *id, guint number)
{
    struct sent *s = g_new0(struct sent, 1);

    s->key.number = number;
    s->key.owners = a->owners->pdata[number];
    s->at = clock_monotonic_ms();
    g_hash_table_insert(a->sent, g_strdup(id), s);
}

void
accounts_served(struct accounts *a, int caller)
{
    a->list[caller].served_at = clock_monotonic_ms();
}

/* Called when a session was refused with UNAUTH. Guards against a proxy that
   refuses a key long after it was listed: without fresh evidence it has to
   answer BUSY. */
void
accounts_refused(struct accounts *a, guint number, clock_ms sent_at)
{
    const struct period *first =
        &g_array_index((GArray *)a->owners->pdata[number], struct period, 0);
    const struct period *last = last_period(a->owners->pdata[number]);

    a->refused++;
    if (is_open(last) && first->acked_at != NOT_YET &&
        sent_at > first->acked_at + SOAK_REVOCATION_MS) {
        soak_violation(a->soak,
                       "key %u was refused %lld ms after it was listed",
                       number, (long long)(sent_at - first->acked_at));
    }
}

/* Checks that a statement runs under an account that its caller's key had when
   it was sent, or had lost less than the bound before. */
void
accounts_check_statement(struct accounts *a, const char *account,
                         const char *id)
{
    const struct sent *s = g_hash_table_lookup(a->sent, id);
    clock_ms late_ms = -1;

    if (s == NULL) {
        soak_violation(a->soak, "%s runs, which no caller has sent", id);
        return;
    }
    a->checked++;
    for (guint i = 0; i < s->key.owners->len; i++) {
        const struct period *p =
            &g_array_index(s->key.owners, struct period, i);
        char name[16];
        g_snprintf(name, sizeof(name), "a%d", p->account);
        if (strcmp(name, account) != 0) {
            continue;
        }
        if (p->ended_at == NOT_YET ||
            s->at <= p->ended_at + SOAK_REVOCATION_MS) {
            a->old_key_statements += p->ended_at < s->at;
            return;
        }
        late_ms = s->at - p->ended_at;
    }
    if (late_ms >= 0) {
        soak_violation(a->soak,
                       "%s runs under %s, sent %lld ms after key %u was taken "
                       "from it",
                       id, account, (long long)late_ms, s->key.number);
        return;
    }
    soak_violation(a->soak, "%s runs under %s, which never had key %u", id,
                   account, s->key.number);
}

/* Returns the most operations that an account may run in a window that began
   at the given time. A lower limit counts from when every proxy has it or is
   no longer fresh, and one window more. */
static double
most_operations(const struct accounts *a, int account, clock_ms from)
{
    double most = 0;

    for (guint i = 0; i < a->limits[account]->len; i++) {
        const struct period *p =
            &g_array_index(a->limits[account], struct period, i);
        if (p->ended_at != NOT_YET &&
            from > p->ended_at + SOAK_REVOCATION_MS + SOAK_RATE_WINDOW_MS) {
            continue;
        }
        const double n =
            ((double)p->rate * SOAK_RATE_WINDOW_MS / 1000.0 + p->burst) *
                (1 + SOAK_RATE_EXCESS) +
            SOAK_RATE_SLACK;
        most = MAX(most, n);
    }
    return most;
}

/* Counts an operation that a member begins to run. Guards against proxies that
   together let more through than the limit of the account. */
void
accounts_count_operation(struct accounts *a, const char *account)
{
    const int n = account[0] == 'a' ? atoi(account + 1) : -1;
    const clock_ms now = clock_monotonic_ms();

    if (n < 0 || n >= ACCOUNTS) {
        return; /* reported by accounts_check_statement() */
    }
    GArray *o = a->operations[n];
    g_array_append_val(o, now);
    while (g_array_index(o, clock_ms, a->first[n]) <=
           now - SOAK_RATE_WINDOW_MS) {
        a->first[n]++;
    }
    const guint count = o->len - a->first[n];
    const double most = most_operations(a, n, now - SOAK_RATE_WINDOW_MS);
    if (count > most) {
        soak_violation(a->soak, "a%d: %u operations in a window, allowed %.0f",
                       n, count, most);
    }
}

/* Checks, before the callers are stopped, that every caller whose account is
   within its limit was served since the given time, and the other accounts as
   a whole. */
void
accounts_check_progress(struct accounts *a, clock_ms since)
{
    for (int i = 0; i < a->callers; i++) {
        const struct period *owner = last_period(a->list[i].newest.owners);
        if (owner->account >= 2 && a->list[i].served_at < since) {
            soak_violation(
                a->soak,
                "c%d with key %u of a%d was last served %lld ms "
                "ago",
                i, a->list[i].newest.number, owner->account,
                (long long)(clock_monotonic_ms() - a->list[i].served_at));
        }
    }
    for (int n = 0; n < 2; n++) {
        const GArray *o = a->operations[n];
        bool has_caller = false;
        for (int i = 0; i < a->callers; i++) {
            has_caller = has_caller ||
                         last_period(a->list[i].newest.owners)->account == n;
        }
        if (has_caller &&
            (o->len == 0 || g_array_index(o, clock_ms, o->len - 1) < since)) {
            soak_violation(a->soak, "a%d: no operation at the end", n);
        }
    }
}

/* Checks that no key is in a log file. */
void
accounts_check_log(struct accounts *a, const char *path)
{
    char *text = NULL;
    gsize n = 0;

    if (!g_file_get_contents(path, &text, &n, NULL)) {
        soak_violation(a->soak, "%s cannot be read", path);
        return;
    }
    if (memmem(text, n, KEY_PREFIX, strlen(KEY_PREFIX)) != NULL) {
        soak_violation(a->soak, "%s contains a key", path);
    }
    g_free(text);
}

/* Prints what the run has covered. */
void
accounts_report(const struct accounts *a)
{
    printf("account_changes=%ld keys=%u checked=%ld after_withdrawal=%ld "
           "unauthorized=%ld operations=",
           a->changes, a->keys, a->checked, a->old_key_statements, a->refused);
    for (int n = 0; n < ACCOUNTS; n++) {
        printf("%s%u", n > 0 ? "," : "", a->operations[n]->len);
    }
    printf("\n");
}

struct accounts *
accounts_create(struct soak *s, uint64_t seed, int callers)
{
    struct accounts *a = g_new0(struct accounts, 1);

    a->soak = s;
    a->callers = callers;
    a->keep_key_ms = KEEP_KEY_MS;
    rng_seed(&a->rng, seed);
    a->list = g_new0(struct caller_keys, (gsize)callers);
    a->owners = g_ptr_array_new_with_free_func((GDestroyNotify)g_array_unref);
    a->sent = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (int n = 0; n < ACCOUNTS; n++) {
        a->limits[n] = g_array_new(FALSE, TRUE, sizeof(struct period));
        a->operations[n] = g_array_new(FALSE, TRUE, sizeof(clock_ms));
        set_limit(a, n, n == 0 ? LOW_RATE : HIGH_RATE,
                  n == 0 ? LOW_BURST : HIGH_BURST);
    }
    for (int i = 0; i < callers; i++) {
        give_key(a, i, i % ACCOUNTS);
    }
    return a;
}

void
accounts_destroy(struct accounts *a)
{
    for (int n = 0; n < ACCOUNTS; n++) {
        g_array_free(a->limits[n], TRUE);
        g_array_free(a->operations[n], TRUE);
    }
    g_hash_table_destroy(a->sent);
    g_ptr_array_free(a->owners, TRUE);
    g_free(a->list);
    g_free(a);
}

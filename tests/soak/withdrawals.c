#include "soak/soak.h"

/* The changes of a series follow each other within this time. The next series
   often begins before a series is over. */
#define CHANGES_MIN 3
#define CHANGES_MAX 8
#define GAP_MAX_MS 120
#define NEXT_SERIES_MAX_MS 700

/* How often each kind is drawn. */
static const int weights[WITHDRAWAL_KINDS] = {
    [WITHDRAW_KEY] = 5, [WITHDRAW_ACCOUNT] = 2,   [RETURN_KEYS] = 4,
    [CHANGE_RATE] = 1,  [CHANGE_ROUTES] = 1,      [TOGGLE_ROUTE] = 1,
    [MOVE_ROUTE] = 1,   [CHANGE_CONNECTIONS] = 1, [RELOAD] = 1,
    [STOP] = 2,
};

struct planned {
    clock_ms at;
    enum withdrawal_kind kind;
};

struct withdrawals {
    struct rng rng;
    GArray *planned; /* of struct planned, in no order */
    clock_ms next_series_at;
};

struct withdrawals *
withdrawals_create(uint64_t seed)
{
    struct withdrawals *w = g_new0(struct withdrawals, 1);

    rng_seed(&w->rng, seed);
    w->planned = g_array_new(FALSE, FALSE, sizeof(struct planned));
    return w;
}

void
withdrawals_destroy(struct withdrawals *w)
{
    g_array_free(w->planned, TRUE);
    g_free(w);
}

static enum withdrawal_kind
draw_kind(struct withdrawals *w)
{
    int sum = 0;
    int kind = 0;

    for (int i = 0; i < WITHDRAWAL_KINDS; i++) {
        sum += weights[i];
    }
    int draw = (int)rng_below(&w->rng, (uint64_t)sum);
    while (draw >= weights[kind]) {
        draw -= weights[kind++];
    }
    return (enum withdrawal_kind)kind;
}

static void
plan_series(struct withdrawals *w, clock_ms now)
{
    const int n = CHANGES_MIN + (int)rng_below(&w->rng, (uint64_t)CHANGES_MAX -
                                                            CHANGES_MIN + 1);
    struct planned p = {.at = now};

    for (int i = 0; i < n; i++) {
        p.at += (clock_ms)rng_below(&w->rng, GAP_MAX_MS);
        p.kind = draw_kind(w);
        g_array_append_val(w->planned, p);
    }
    w->next_series_at =
        now + 1 + (clock_ms)rng_below(&w->rng, NEXT_SERIES_MAX_MS);
}

/* Takes the next change that is due. Returns false if there is none. */
bool
withdrawals_next(struct withdrawals *w, enum withdrawal_kind *kind)
{
    const clock_ms now = clock_monotonic_ms();

    if (now >= w->next_series_at) {
        plan_series(w, now);
    }
    for (guint i = 0; i < w->planned->len; i++) {
        const struct planned *p =
            &g_array_index(w->planned, struct planned, i);
        if (now >= p->at) {
            *kind = p->kind;
            g_array_remove_index(w->planned, i);
            return true;
        }
    }
    return false;
}

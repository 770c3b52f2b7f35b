#include "limits/rate_client_internal.h"

#include <string.h>

/* The permits of an account that are in stock, and its use at this proxy. */

/* An account whose operations at this proxy are more frequent gets the permits
   for the next PREFETCH_MS at once. */
#define STEADY_PER_S 20
#define PREFETCH_MS 100
/* The use of an account is averaged over about eight of these slots. */
#define USE_SLOT_MS 100
#define USE_SLOTS_MAX 64

/* Ends the slots of use that have passed. */
void
rate_account_update_use(struct rate_account *a, clock_ms now)
{
    const int64_t slots = (now - a->slot_at) / USE_SLOT_MS;

    for (int64_t i = 0; i < MIN(slots, USE_SLOTS_MAX); i++) {
        a->use_milli_per_s = a->use_milli_per_s - a->use_milli_per_s / 8 +
                             a->use_in_slot * (1000000U / USE_SLOT_MS) / 8;
        a->use_in_slot = 0;
    }
    if (slots > 0) {
        a->slot_at += slots * USE_SLOT_MS;
    }
}

/* Drops the permits that have expired, and returns their number. */
uint32_t
rate_account_expire(struct rate_account *a, clock_ms now)
{
    uint32_t expired = 0;
    int kept = 0;

    for (int i = 0; i < a->stock_count; i++) {
        if (a->stock[i].expires_at > now) {
            a->stock[kept++] = a->stock[i];
        }
        else {
            expired += a->stock[i].count;
        }
    }
    a->stock_count = kept;
    return expired;
}

/* Adds permits to the stock, which is in order of expiry. Returns how many
   were dropped because they have expired, or for want of room. */
uint32_t
rate_account_add(struct rate_account *a, clock_ms expires_at, uint32_t count,
                 clock_ms now)
{
    const uint32_t expired = rate_account_expire(a, now);

    if (count == 0 || expires_at <= now) {
        return expired + count;
    }
    for (int k = a->stock_count - 1; k >= 0; k--) {
        /* In a full stock, they join permits that expire earlier. */
        if (a->stock[k].expires_at == expires_at ||
            (a->stock_count == STOCK_MAX &&
             a->stock[k].expires_at < expires_at)) {
            a->stock[k].count += count;
            return expired;
        }
    }
    if (a->stock_count == STOCK_MAX) {
        return expired + count;
    }
    int i = a->stock_count++;
    for (; i > 0 && a->stock[i - 1].expires_at > expires_at; i--) {
        a->stock[i] = a->stock[i - 1];
    }
    a->stock[i] = (struct rate_permits){expires_at, count};
    return expired;
}

/* Takes the permit that expires first from a stock that is not empty. Returns
   when it expires. */
clock_ms
rate_account_take(struct rate_account *a)
{
    const clock_ms expires_at = a->stock[0].expires_at;

    if (--a->stock[0].count == 0) {
        a->stock_count--;
        memmove(a->stock, a->stock + 1,
                (size_t)a->stock_count * sizeof(a->stock[0]));
    }
    return expires_at;
}

static uint32_t
stock_size(const struct rate_account *a)
{
    uint32_t n = 0;

    for (int i = 0; i < a->stock_count; i++) {
        n += a->stock[i].count;
    }
    return n;
}

/* Returns how many permits an account should have in stock: for the next
   PREFETCH_MS if its use is steady. */
static uint32_t
stock_target(const struct rate_account *a)
{
    if (a->use_milli_per_s <= STEADY_PER_S * 1000) {
        return 0;
    }
    return (a->use_milli_per_s * (PREFETCH_MS / 10) + 99999) / 100000;
}

/* Returns how many permits are wanted in addition to those for the requests in
   no ask. The stock is filled up when it is half empty, so that operations do
   not wait for it. */
uint32_t
rate_account_wanted(const struct rate_account *a)
{
    const uint32_t target = stock_target(a);
    const uint32_t coming =
        a->asked > a->asked_for.length ? a->asked - a->asked_for.length : 0;
    const uint32_t have = stock_size(a) + coming;

    return have * 2 < target ? target - have : 0;
}

#include "load/durations.h"

#include <math.h>

void
durations_init(struct durations *s)
{
    s->values = g_array_new(FALSE, FALSE, sizeof(int64_t));
}

void
durations_clear(struct durations *s)
{
    g_array_free(s->values, TRUE);
    s->values = NULL;
}

void
durations_add(struct durations *s, int64_t us)
{
    g_array_append_val(s->values, us);
}

static int
compare(const void *a, const void *b)
{
    const int64_t x = *(const int64_t *)a;
    const int64_t y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

/* Returns a percentile (0 to 100) by the nearest-rank method, in microseconds;
   0 if the list is empty. Sorts the list. */
int64_t
durations_percentile(struct durations *s, double percent)
{
    const guint n = s->values->len;

    if (n == 0) {
        return 0;
    }
    g_array_sort(s->values, compare);
    const double rank = ceil(percent / 100.0 * n);
    const guint index = rank < 1.0 ? 0 : MIN((guint)rank, n) - 1;
    return g_array_index(s->values, int64_t, index);
}

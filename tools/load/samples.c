#include "load/samples.h"

#include <math.h>

/* Prepares an empty list. */
void
samples_init(struct samples *s)
{
    s->values = g_array_new(FALSE, FALSE, sizeof(int64_t));
}

/* Frees the list. */
void
samples_clear(struct samples *s)
{
    g_array_free(s->values, TRUE);
    s->values = NULL;
}

/* Adds one time. */
void
samples_add(struct samples *s, int64_t us)
{
    g_array_append_val(s->values, us);
}

/* Orders two times. */
static int
compare(const void *a, const void *b)
{
    const int64_t x = *(const int64_t *)a;
    const int64_t y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

/* Returns the percentile by the nearest-rank method, in microseconds; 0 when
   there are no samples. Sorts the list. */
int64_t
samples_percentile(struct samples *s, double percent)
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

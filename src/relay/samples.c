#include "relay/samples.h"

/* Samples closer together than this add nothing for bounds of a second. */
#define SAMPLE_SPACING_MS 20

/* Records that the primary's log had position at a moment not before at. */
void
samples_add(struct samples *s, clock_ms at, const struct token *position)
{
    if (!position->known) {
        return;
    }
    if (s->count > 0) {
        const int last = (s->next + SAMPLES_MAX - 1) % SAMPLES_MAX;
        if (at < s->ring[last].at + SAMPLE_SPACING_MS) {
            return;
        }
    }
    s->ring[s->next].at = at;
    s->ring[s->next].position = *position;
    s->next = (s->next + 1) % SAMPLES_MAX;
    s->count += s->count < SAMPLES_MAX;
}

/* Finds the lowest position that covers all commits acknowledged before
   since: that of the oldest sample taken at or after it. Returns false when
   no sample is that recent. */
bool
samples_floor(const struct samples *s, clock_ms since, struct token *floor)
{
    for (int i = 0; i < s->count; i++) {
        const int at = (s->next + SAMPLES_MAX - s->count + i) % SAMPLES_MAX;
        if (s->ring[at].at >= since) {
            *floor = s->ring[at].position;
            return true;
        }
    }
    return false;
}

/* Returns the newest sample. Returns false when there is none. */
bool
samples_newest(const struct samples *s, clock_ms *at, struct token *position)
{
    if (s->count == 0) {
        return false;
    }
    const int last = (s->next + SAMPLES_MAX - 1) % SAMPLES_MAX;
    *at = s->ring[last].at;
    *position = s->ring[last].position;
    return true;
}

#include "relay/position_samples.h"

/* Staleness bounds are around a second, so a finer spacing has no use. */
#define SAMPLE_SPACING_MS 20

/* Records the position that the primary's log had at some time not earlier
   than at. A sample with an unknown position, or too close to the last one, is
   ignored. */
void
position_samples_add(struct position_samples *s, clock_ms at,
                     const struct token *position)
{
    if (!position->known) {
        return;
    }
    if (s->count > 0) {
        const int last =
            (s->next + POSITION_SAMPLES_MAX - 1) % POSITION_SAMPLES_MAX;
        if (at < s->ring[last].at + SAMPLE_SPACING_MS) {
            return;
        }
    }
    s->ring[s->next].at = at;
    s->ring[s->next].position = *position;
    s->next = (s->next + 1) % POSITION_SAMPLES_MAX;
    s->count += s->count < POSITION_SAMPLES_MAX;
}

/* Sets *min to the lowest known position that includes all commits
   acknowledged before since, which is the position of the oldest sample taken
   at or after since. Returns false if there is no such sample. */
bool
position_samples_min_position(const struct position_samples *s, clock_ms since,
                              struct token *min)
{
    for (int i = 0; i < s->count; i++) {
        const int at = (s->next + POSITION_SAMPLES_MAX - s->count + i) %
                       POSITION_SAMPLES_MAX;
        if (s->ring[at].at >= since) {
            *min = s->ring[at].position;
            return true;
        }
    }
    return false;
}

/* Returns false if there is no sample. */
bool
position_samples_newest(const struct position_samples *s, clock_ms *at,
                        struct token *position)
{
    if (s->count == 0) {
        return false;
    }
    const int last =
        (s->next + POSITION_SAMPLES_MAX - 1) % POSITION_SAMPLES_MAX;
    *at = s->ring[last].at;
    *position = s->ring[last].position;
    return true;
}

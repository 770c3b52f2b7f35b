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

/* Estimates when the primary's log reached a position, between the two samples
   around it. Sets *at to the time of the newest sample if the position is not
   below it. Returns false if there is no sample at or below the position. */
bool
position_samples_time(const struct position_samples *s,
                      const struct token *position, clock_ms *at)
{
    const struct token *before = NULL;

    for (int i = 0; i < s->count; i++) {
        const int k = (s->next + POSITION_SAMPLES_MAX - s->count + i) %
                      POSITION_SAMPLES_MAX;
        const struct token *p = &s->ring[k].position;
        const clock_ms t = s->ring[k].at;
        if (token_compare(p->term, p->position, position->term,
                          position->position) <= 0) {
            before = p;
            *at = t;
            continue;
        }
        if (before != NULL && before->term == p->term) {
            const double part =
                (double)(position->position - before->position) /
                (double)(p->position - before->position);
            *at += (clock_ms)(part * (double)(t - *at));
        }
        break;
    }
    return before != NULL;
}

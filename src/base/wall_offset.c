#include "wall_offset.h"

#include <stdlib.h>

/*
 * Larger than what clock synchronisation slews between two readings, too small for callers to
 * notice.
 */
#define STEP_THRESHOLD_MS 100
/* A step that persists this long is a correction, or the only time source of a slow machine. */
#define STEP_CONFIRM_MS 30000

int64_t waxwing_wall_offset_update(struct waxwing_wall_offset *clock, int64_t monotonic_ms,
				   int64_t wall_ms)
{
	int64_t offset_ms = wall_ms - monotonic_ms;
	bool stepped = clock->valid && llabs(offset_ms - clock->offset_ms) > STEP_THRESHOLD_MS;

	if (!stepped)
		clock->step_seen_ms = 0;
	else if (!clock->step_seen_ms)
		clock->step_seen_ms = monotonic_ms;
	if (stepped && monotonic_ms - clock->step_seen_ms < STEP_CONFIRM_MS)
		return clock->offset_ms;
	clock->valid = true;
	clock->step_seen_ms = 0;
	clock->offset_ms = offset_ms;
	return offset_ms;
}

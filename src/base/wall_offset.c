#include "wall_offset.h"

#include <stdlib.h>

/*
 * A larger change of the offset is a step. The threshold is above what clock synchronisation slews
 * between two readings and below what callers notice.
 */
#define STEP_THRESHOLD_MS 100
/*
 * A step that has persisted for this long is accepted: either the clock was corrected, or the
 * machine's wall clock is permanently wrong and the machine has no other.
 */
#define STEP_CONFIRM_MS 30000

int64_t waxwing_wall_offset_update(struct waxwing_wall_offset *offset, int64_t monotonic_ms,
				   int64_t wall_ms)
{
	int64_t offset_ms = wall_ms - monotonic_ms;
	bool stepped = offset->valid && llabs(offset_ms - offset->offset_ms) > STEP_THRESHOLD_MS;

	if (!stepped)
		offset->step_seen_ms = 0;
	else if (!offset->step_seen_ms)
		offset->step_seen_ms = monotonic_ms;
	if (stepped && monotonic_ms - offset->step_seen_ms < STEP_CONFIRM_MS)
		return offset->offset_ms;
	offset->valid = true;
	offset->step_seen_ms = 0;
	offset->offset_ms = offset_ms;
	return offset_ms;
}

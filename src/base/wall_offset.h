/**
 * The offset of the wall clock from the monotonic clock, filtered against short-lived steps of the
 * wall clock. Schedules compute the time of day from it.
 */
#ifndef WAXWING_WALL_OFFSET_H
#define WAXWING_WALL_OFFSET_H

#include <stdbool.h>
#include <stdint.h>

/** State of the filter; zero-initialise it. */
struct waxwing_wall_offset {
	int64_t offset_ms; /**< accepted wall time minus monotonic time */
	int64_t step_seen_ms; /**< monotonic time of the first reading after a step; 0: none */
	bool valid; /**< offset_ms is valid */
};

/**
 * Updates the offset from a reading of both clocks and returns it. A step of the wall clock is
 * accepted only after it has persisted.
 */
int64_t waxwing_wall_offset_update(struct waxwing_wall_offset *offset, int64_t monotonic_ms,
				   int64_t wall_ms);

#endif

#include "day_clock.h"

#include <stdlib.h>

/* More than a clock that is kept true moves between two readings, and less than a caller notices. */
#define JUMP_MS 100
/* A time of day that has been off for so long was set right, or is a slow machine's only one. */
#define LASTING_MS 30000

int64_t waxwing_day_clock_read(struct waxwing_day_clock *clock, int64_t steady_ms, int64_t day_ms)
{
	int64_t offset_ms = day_ms - steady_ms;
	bool jumped = clock->known && llabs(offset_ms - clock->offset_ms) > JUMP_MS;

	if (!jumped)
		clock->jumped_ms = 0;
	else if (!clock->jumped_ms)
		clock->jumped_ms = steady_ms;
	if (jumped && steady_ms - clock->jumped_ms < LASTING_MS)
		return clock->offset_ms;
	clock->known = true;
	clock->jumped_ms = 0;
	clock->offset_ms = offset_ms;
	return offset_ms;
}

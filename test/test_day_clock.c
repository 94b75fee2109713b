/*
 * The day clock must ignore short jumps of the system clock and follow lasting jumps and slewing.
 */
#include "wall_offset.h"

#include <glib.h>

#define OFFSET_MS 1700000000000

static void test_short_jump(void)
{
	struct waxwing_wall_offset clock = { 0 };

	g_assert_cmpint(waxwing_wall_offset_update(&clock, 1000, OFFSET_MS + 1000), ==, OFFSET_MS);
	for (int64_t ms = 1000; ms < 9000; ms += 10)
		g_assert_cmpint(waxwing_wall_offset_update(&clock, ms, OFFSET_MS + ms + 2000), ==,
				OFFSET_MS);
	g_assert_cmpint(waxwing_wall_offset_update(&clock, 9000, OFFSET_MS + 9000), ==, OFFSET_MS);
	/*
	 * The time limit for a second jump starts when the second jump begins, because the first
	 * one has ended.
	 */
	for (int64_t ms = 9010; ms < 38000; ms += 10)
		g_assert_cmpint(waxwing_wall_offset_update(&clock, ms, OFFSET_MS + ms - 2000), ==,
				OFFSET_MS);
}

static void test_lasting_jump(void)
{
	struct waxwing_wall_offset clock = { 0 };

	waxwing_wall_offset_update(&clock, 1000, OFFSET_MS + 1000);
	waxwing_wall_offset_update(&clock, 2000, OFFSET_MS + 2000 + 5000);
	g_assert_cmpint(waxwing_wall_offset_update(&clock, 31990, OFFSET_MS + 31990 + 5000), ==,
			OFFSET_MS);
	g_assert_cmpint(waxwing_wall_offset_update(&clock, 32000, OFFSET_MS + 32000 + 5000), ==,
			OFFSET_MS + 5000);
}

/*
 * NTP adjusts the system clock by small steps all the time. The day clock must follow them
 * immediately.
 */
static void test_slewing(void)
{
	struct waxwing_wall_offset clock = { 0 };

	for (int64_t i = 0; i < 1000; i++)
		g_assert_cmpint(waxwing_wall_offset_update(&clock, i * 1000, OFFSET_MS + i * 1001),
				==, OFFSET_MS + i);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/day_clock/jump", test_short_jump);
	g_test_add_func("/day_clock/lasting", test_lasting_jump);
	g_test_add_func("/day_clock/kept_true", test_slewing);
	return g_test_run();
}

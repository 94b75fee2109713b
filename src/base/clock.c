#include "clock.h"

#include <time.h>

#define MS_PER_S  1000
#define NS_PER_MS 1000000

static int64_t read_ms(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * MS_PER_S + ts.tv_nsec / NS_PER_MS;
}

static int64_t monotonic_now(const struct waxwing_clock *clock)
{
	(void)clock;
	return read_ms(CLOCK_MONOTONIC);
}

static int64_t wall_now(const struct waxwing_clock *clock)
{
	(void)clock;
	return read_ms(CLOCK_REALTIME);
}

static int64_t boottime_now(const struct waxwing_clock *clock)
{
	(void)clock;
	return read_ms(CLOCK_BOOTTIME);
}

static int64_t virtual_now(const struct waxwing_clock *clock)
{
	return ((const struct waxwing_virtual_clock *)clock)->now_ms;
}

static const struct waxwing_clock_ops monotonic_ops = { .now = monotonic_now };
static const struct waxwing_clock_ops wall_ops = { .now = wall_now };
static const struct waxwing_clock_ops boottime_ops = { .now = boottime_now };
static const struct waxwing_clock_ops virtual_ops = { .now = virtual_now };

static const struct waxwing_clock monotonic_clock = { .ops = &monotonic_ops };
static const struct waxwing_clock wall_clock = { .ops = &wall_ops };
static const struct waxwing_clock boottime_clock = { .ops = &boottime_ops };

const struct waxwing_clock *waxwing_clock_monotonic(void)
{
	return &monotonic_clock;
}

const struct waxwing_clock *waxwing_clock_boottime(void)
{
	return &boottime_clock;
}

const struct waxwing_clock *waxwing_clock_wall(void)
{
	return &wall_clock;
}

void waxwing_virtual_clock_init(struct waxwing_virtual_clock *clock, int64_t now_ms)
{
	clock->base.ops = &virtual_ops;
	clock->now_ms = now_ms;
}

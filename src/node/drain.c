#include "drain.h"

#include <glib.h>

#define CHECK_INTERVAL_MS 50

struct waxwing_drain {
	struct waxwing_drain_options options;
	uv_timer_t timer;
	uint64_t started_ms;
	bool started;
};

struct waxwing_drain *waxwing_drain_create(const struct waxwing_drain_options *options)
{
	struct waxwing_drain *drain = g_new0(struct waxwing_drain, 1);

	drain->options = *options;
	uv_timer_init(options->loop, &drain->timer);
	drain->timer.data = drain;
	return drain;
}

static void free_drain(uv_handle_t *timer)
{
	g_free(timer->data);
}

void waxwing_drain_destroy(struct waxwing_drain *drain)
{
	uv_loop_t *loop = drain->options.loop;

	uv_close((uv_handle_t *)&drain->timer, free_drain);
	uv_run(loop, UV_RUN_NOWAIT);
}

static uint64_t elapsed_ms(const struct waxwing_drain *drain)
{
	return uv_now(drain->options.loop) - drain->started_ms;
}

static bool is_over(const struct waxwing_drain *drain)
{
	uint64_t ms = elapsed_ms(drain);

	return ms >= drain->options.exit_ms ||
	       (ms >= drain->options.min_ms && drain->options.idle(drain->options.data));
}

static void check(uv_timer_t *timer)
{
	struct waxwing_drain *drain = timer->data;

	if (elapsed_ms(drain) >= drain->options.give_up_ms)
		drain->options.give_up(drain->options.data);
	if (is_over(drain))
		uv_stop(drain->options.loop);
}

bool waxwing_drain_start(struct waxwing_drain *drain)
{
	if (drain->started)
		return false;
	drain->started = true;
	drain->started_ms = uv_now(drain->options.loop);
	uv_timer_start(&drain->timer, check, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS);
	return true;
}

uint32_t waxwing_drain_run_loop(struct waxwing_drain *drain)
{
	/*
	 * libuv polls for input once more after uv_stop(), and a request that is read then must be
	 * answered: its caller would take a closed connection for a job that may have run.
	 */
	do
		uv_run(drain->options.loop, UV_RUN_DEFAULT);
	while (drain->started && !is_over(drain));
	return drain->started ? (uint32_t)elapsed_ms(drain) : 0;
}

#include "node_loop.h"

#include <glib.h>

struct waxwing_node_loop {
	uv_timer_t timer;
	uv_check_t after_events;
	struct waxwing_node *node;
};

static void tick(uv_timer_t *timer)
{
	struct waxwing_node_loop *turning = timer->data;

	waxwing_node_run(turning->node);
}

static void after_events(uv_check_t *check)
{
	struct waxwing_node_loop *turning = check->data;

	waxwing_node_settle(turning->node);
}

struct waxwing_node_loop *waxwing_node_loop_create(uv_loop_t *loop, struct waxwing_node *node)
{
	struct waxwing_node_loop *turning = g_new0(struct waxwing_node_loop, 1);

	turning->node = node;
	uv_timer_init(loop, &turning->timer);
	turning->timer.data = turning;
	uv_timer_start(&turning->timer, tick, 0, WAXWING_NODE_TICK_MS);
	uv_check_init(loop, &turning->after_events);
	turning->after_events.data = turning;
	uv_check_start(&turning->after_events, after_events);
	return turning;
}

static void closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void waxwing_node_loop_destroy(struct waxwing_node_loop *turning)
{
	if (!turning)
		return;
	uv_close((uv_handle_t *)&turning->after_events, NULL);
	uv_close((uv_handle_t *)&turning->timer, closed);
}

uint64_t waxwing_node_incarnation(void)
{
	return (uint64_t)g_random_int() << 32 | g_random_int() | 1;
}

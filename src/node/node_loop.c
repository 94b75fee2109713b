#include "node_loop.h"

#include <glib.h>

struct waxwing_node_loop {
	uv_timer_t timer;
	uv_check_t after_events;
	struct waxwing_node *node;
};

static void tick(uv_timer_t *timer)
{
	struct waxwing_node_loop *node_loop = timer->data;

	waxwing_node_run(node_loop->node);
}

static void after_events(uv_check_t *check)
{
	struct waxwing_node_loop *node_loop = check->data;

	waxwing_node_process_events(node_loop->node);
}

struct waxwing_node_loop *waxwing_node_loop_create(uv_loop_t *loop, struct waxwing_node *node)
{
	struct waxwing_node_loop *node_loop = g_new0(struct waxwing_node_loop, 1);

	node_loop->node = node;
	uv_timer_init(loop, &node_loop->timer);
	node_loop->timer.data = node_loop;
	uv_timer_start(&node_loop->timer, tick, 0, WAXWING_NODE_TICK_MS);
	uv_check_init(loop, &node_loop->after_events);
	node_loop->after_events.data = node_loop;
	uv_check_start(&node_loop->after_events, after_events);
	return node_loop;
}

static void closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void waxwing_node_loop_destroy(struct waxwing_node_loop *node_loop)
{
	if (!node_loop)
		return;
	uv_close((uv_handle_t *)&node_loop->after_events, NULL);
	uv_close((uv_handle_t *)&node_loop->timer, closed);
}

uint64_t waxwing_node_incarnation(void)
{
	return (uint64_t)g_random_int() << 32 | g_random_int() | 1;
}

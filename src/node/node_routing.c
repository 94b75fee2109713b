/* The configuration in force, and requests that wait for the first one. */
#include "node_private.h"

#define LOG_COMPONENT "routing"
#include "event_log.h"
#include "log.h"

/*
 * Part of a caller's timeout for which its request may wait for a configuration. The rest is for
 * the job, or for another attempt of the caller's.
 */
#define WAIT_SHARE 0.4

static bool wait_is_over(const struct waxwing_node *node,
			 const struct waxwing_routing_waiter *waiter, int64_t now_ms)
{
	return node->routing || node->leaving ||
	       (double)(now_ms - waiter->arrived_ms) >= waiter->timeout_ms * WAIT_SHARE;
}

static void finish_waiters(struct waxwing_node *node, int64_t now_ms)
{
	GPtrArray *waiters = node->routing_waiters;

	if (!waiters->len)
		return;
	node->routing_waiters = g_ptr_array_new();
	for (guint i = 0; i < waiters->len; i++) {
		struct waxwing_routing_waiter *waiter = waiters->pdata[i];

		if (!wait_is_over(node, waiter, now_ms)) {
			g_ptr_array_add(node->routing_waiters, waiter);
			continue;
		}
		waiter->waited_ms = (uint32_t)(now_ms - waiter->arrived_ms);
		waiter->done(waiter, node->routing != NULL);
	}
	g_ptr_array_free(waiters, TRUE);
}

void node_routing_changed(void *data, const struct waxwing_store_item *item)
{
	struct waxwing_node *node = data;
	struct waxwing_routing *routing;

	if (item->deleted || !waxwing_str_equal(item->key, waxwing_str(node->options.routing_key)))
		return;
	routing = node->options.read_routing(item);
	if (!routing)
		return;
	if (node->routing && routing->version <= node->routing->version) {
		waxwing_event("routing_kept", "version=%llu offered=%llu",
			      (unsigned long long)node->routing->version,
			      (unsigned long long)routing->version);
		waxwing_routing_destroy(routing);
		return;
	}
	waxwing_event("routing_in_force", "version=%llu queues=%u revision=%llu",
		      (unsigned long long)routing->version, routing->queues->len,
		      (unsigned long long)item->revision);
	waxwing_routing_destroy(node->routing);
	node->routing = routing;
	node->routing_since_ms = node_now(node);
	finish_waiters(node, node->routing_since_ms);
}

void node_routing_run(struct waxwing_node *node, int64_t now_ms)
{
	finish_waiters(node, now_ms);
}

void waxwing_node_await_routing(struct waxwing_node *node, struct waxwing_routing_waiter *waiter)
{
	waiter->arrived_ms = node_now(node);
	g_ptr_array_add(node->routing_waiters, waiter);
}

void waxwing_node_cancel_routing_wait(struct waxwing_node *node,
				      struct waxwing_routing_waiter *waiter)
{
	g_ptr_array_remove(node->routing_waiters, waiter);
}

const struct waxwing_routing *waxwing_node_routing(const struct waxwing_node *node)
{
	return node->routing;
}

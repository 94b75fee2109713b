#include "routing.h"

static void free_queue(gpointer value)
{
	struct waxwing_queue_route *queue = value;

	g_free(queue->name);
	g_free(queue->host);
	g_free(queue->prefix);
	g_free(queue->service);
	g_free(queue);
}

static void free_service(gpointer value)
{
	struct waxwing_service_route *service = value;

	g_free(service->name);
	g_free(service);
}

struct waxwing_routing *waxwing_routing_create(uint64_t version)
{
	struct waxwing_routing *routing = g_new0(struct waxwing_routing, 1);

	routing->version = version;
	routing->queues = g_ptr_array_new_with_free_func(free_queue);
	routing->services = g_ptr_array_new_with_free_func(free_service);
	return routing;
}

void waxwing_routing_destroy(struct waxwing_routing *routing)
{
	if (!routing)
		return;
	g_ptr_array_free(routing->queues, TRUE);
	g_ptr_array_free(routing->services, TRUE);
	g_free(routing);
}

struct waxwing_queue_route *waxwing_routing_add_queue(struct waxwing_routing *routing)
{
	struct waxwing_queue_route *queue = g_new0(struct waxwing_queue_route, 1);

	g_ptr_array_add(routing->queues, queue);
	return queue;
}

struct waxwing_service_route *waxwing_routing_add_service(struct waxwing_routing *routing)
{
	struct waxwing_service_route *service = g_new0(struct waxwing_service_route, 1);

	g_ptr_array_add(routing->services, service);
	return service;
}

static struct waxwing_str without_port(struct waxwing_str host)
{
	struct waxwing_str head;

	return waxwing_str_cut(host, ':', &head, NULL) ? head : host;
}

const struct waxwing_queue_route *waxwing_routing_find(const struct waxwing_routing *routing,
						       struct waxwing_str host,
						       struct waxwing_str path)
{
	const struct waxwing_queue_route *best = NULL;
	size_t best_len = 0;

	host = without_port(host);
	for (guint i = 0; i < routing->queues->len; i++) {
		const struct waxwing_queue_route *queue = routing->queues->pdata[i];
		size_t len = strlen(queue->prefix);

		if (len < best_len || len > path.len || memcmp(queue->prefix, path.data, len) != 0)
			continue;
		if (strlen(queue->host) != host.len ||
		    g_ascii_strncasecmp(queue->host, host.data, host.len) != 0)
			continue;
		best = queue;
		best_len = len;
	}
	return best;
}

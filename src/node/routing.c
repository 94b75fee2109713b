#include "routing.h"

/* Longest host name that can match; names of hosts have at most 253 characters. */
#define MAX_HOST_BYTES 256

static guint hash_path(gconstpointer key)
{
	const struct waxwing_queue_route *queue = key;

	return (guint)waxwing_str_hash(waxwing_str(queue->prefix),
				       waxwing_str_hash(waxwing_str(queue->host), 0));
}

static gboolean path_equal(gconstpointer a, gconstpointer b)
{
	const struct waxwing_queue_route *left = a;
	const struct waxwing_queue_route *right = b;

	return strcmp(left->host, right->host) == 0 && strcmp(left->prefix, right->prefix) == 0;
}

static gint compare_longest_first(gconstpointer a, gconstpointer b)
{
	size_t left = *(const size_t *)a;
	size_t right = *(const size_t *)b;

	return left > right ? -1 : left < right;
}

static void add_prefix_length(GArray *lengths, size_t length)
{
	for (guint i = 0; i < lengths->len; i++)
		if (g_array_index(lengths, size_t, i) == length)
			return;
	g_array_append_val(lengths, length);
	g_array_sort(lengths, compare_longest_first);
}

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
	routing->queues_by_path = g_hash_table_new(hash_path, path_equal);
	routing->prefix_lengths = g_array_new(FALSE, FALSE, sizeof(size_t));
	return routing;
}

void waxwing_routing_destroy(struct waxwing_routing *routing)
{
	if (!routing)
		return;
	g_hash_table_destroy(routing->queues_by_path);
	g_array_free(routing->prefix_lengths, TRUE);
	g_ptr_array_free(routing->queues, TRUE);
	g_ptr_array_free(routing->services, TRUE);
	g_free(routing);
}

struct waxwing_queue_route *waxwing_routing_add_queue(struct waxwing_routing *routing,
						      const char *host, const char *prefix)
{
	struct waxwing_queue_route *queue = g_new0(struct waxwing_queue_route, 1);

	queue->host = g_ascii_strdown(host, -1);
	queue->prefix = g_strdup(prefix);
	g_ptr_array_add(routing->queues, queue);
	g_hash_table_replace(routing->queues_by_path, queue, queue);
	add_prefix_length(routing->prefix_lengths, strlen(prefix));
	return queue;
}

struct waxwing_service_route *waxwing_routing_add_service(struct waxwing_routing *routing)
{
	struct waxwing_service_route *service = g_new0(struct waxwing_service_route, 1);

	g_ptr_array_add(routing->services, service);
	return service;
}

void waxwing_routing_link_services(struct waxwing_routing *routing)
{
	GHashTable *by_name = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < routing->services->len; i++) {
		struct waxwing_service_route *service = routing->services->pdata[i];

		g_hash_table_replace(by_name, service->name, service);
	}
	for (guint i = 0; i < routing->queues->len; i++) {
		struct waxwing_queue_route *queue = routing->queues->pdata[i];

		queue->service_route = g_hash_table_lookup(by_name, queue->service);
	}
	g_hash_table_destroy(by_name);
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
	char host_name[MAX_HOST_BYTES];
	char *prefix = waxwing_str_dup(path);
	struct waxwing_queue_route key = { .host = host_name, .prefix = prefix };
	const struct waxwing_queue_route *found = NULL;

	host = without_port(host);
	if (host.len >= sizeof(host_name)) {
		g_free(prefix);
		return NULL;
	}
	for (size_t i = 0; i < host.len; i++)
		host_name[i] = g_ascii_tolower(host.data[i]);
	host_name[host.len] = '\0';
	for (guint i = 0; !found && i < routing->prefix_lengths->len; i++) {
		size_t length = g_array_index(routing->prefix_lengths, size_t, i);

		if (length > path.len)
			continue;
		prefix[length] = '\0'; /* lengths decrease, so the rest is not needed again */
		found = g_hash_table_lookup(routing->queues_by_path, &key);
	}
	g_free(prefix);
	return found;
}

#include "client_budget.h"

#define BYTES_PER_MB (1 << 20)
/* Part of the memory that clients may hold; the rest is the process's own and the kernel's. */
#define MEMORY_DIVISOR 4
/* Descriptors of the machine that are reserved for files. */
#define FILE_RESERVE 200
/* Part of the other descriptors that clients may hold; the rest is for executors, store and peers. */
#define DESCRIPTOR_DIVISOR 2
/* Part of the bytes that connections without a body may hold. */
#define CONNECTION_DIVISOR 2
/* Limits while the machine's are not known: three listeners of 3,000 connections, each with a body. */
#define UNKNOWN_CONNECTIONS 9000
#define UNKNOWN_BYTES	    (9000ull * (262144 * 2 + 20480))
/* Connections that other classes leave to each class. */
#define CLASS_RESERVE	      8
#define CLASS_RESERVE_DIVISOR 8
/* Part of the connections that the balancer or the metrics may hold. */
#define SIDE_CLASS_DIVISOR 4

struct waxwing_client_budget {
	struct waxwing_client_budget_options options;
	GQueue clients; /* oldest first */
	uint64_t bytes;
	uint32_t open[WAXWING_CLIENT_CLASSES];
	uint64_t refused[WAXWING_CLIENT_REFUSALS];
};

void waxwing_client_budget_defaults(uint32_t memory_mb, uint32_t descriptors,
				    struct waxwing_client_budget_options *options)
{
	options->max_bytes = UNKNOWN_BYTES;
	options->max_connections = UNKNOWN_CONNECTIONS;
	if (descriptors)
		options->max_connections =
			(descriptors - MIN(descriptors, FILE_RESERVE)) / DESCRIPTOR_DIVISOR;
	if (memory_mb) {
		options->max_bytes = (uint64_t)memory_mb * BYTES_PER_MB / MEMORY_DIVISOR;
		options->max_connections = (uint32_t)MIN(options->max_connections,
							 options->max_bytes / CONNECTION_DIVISOR /
								 options->connection_bytes);
	}
	options->max_connections =
		MAX(options->max_connections, WAXWING_CLIENT_CLASSES * CLASS_RESERVE);
}

struct waxwing_client_budget *
waxwing_client_budget_create(const struct waxwing_client_budget_options *options)
{
	struct waxwing_client_budget *budget = g_new0(struct waxwing_client_budget, 1);

	budget->options = *options;
	g_queue_init(&budget->clients);
	return budget;
}

void waxwing_client_budget_destroy(struct waxwing_client_budget *budget)
{
	g_free(budget);
}

bool waxwing_client_budget_allow(struct waxwing_client_budget *budget,
				 enum waxwing_client_class class)
{
	uint32_t max = budget->options.max_connections;
	uint32_t reserve = MIN(CLASS_RESERVE, max / CLASS_RESERVE_DIVISOR);
	uint32_t taken = 0;

	for (unsigned int i = 0; i < WAXWING_CLIENT_CLASSES; i++)
		taken += i == class ? budget->open[i] : MAX(budget->open[i], reserve);
	if (taken < max &&
	    (class == WAXWING_CLIENT_CALLER || budget->open[class] < max / SIDE_CLASS_DIVISOR))
		return true;
	waxwing_client_budget_count(budget, WAXWING_CLIENT_NO_CONNECTION);
	return false;
}

void waxwing_client_budget_open(struct waxwing_client_budget *budget,
				struct waxwing_budget_client *client,
				enum waxwing_client_class class)
{
	client->class = class;
	client->incomplete = true;
	client->link.data = client;
	g_queue_push_tail_link(&budget->clients, &client->link);
	budget->open[class]++;
	budget->bytes += budget->options.connection_bytes;
}

void waxwing_client_budget_close(struct waxwing_client_budget *budget,
				 struct waxwing_budget_client *client)
{
	waxwing_client_budget_release(budget, client);
	g_queue_unlink(&budget->clients, &client->link);
	budget->open[client->class]--;
	budget->bytes -= budget->options.connection_bytes;
}

bool waxwing_client_budget_has(const struct waxwing_client_budget *budget, uint64_t bytes)
{
	return budget->bytes + bytes <= budget->options.max_bytes;
}

static void close_client(struct waxwing_client_budget *budget, struct waxwing_budget_client *client,
			 enum waxwing_client_refusal reason)
{
	client->deadline_ms = 0;
	waxwing_client_budget_release(budget, client);
	waxwing_client_budget_count(budget, reason);
	budget->options.close(budget->options.data, client);
}

bool waxwing_client_budget_take(struct waxwing_client_budget *budget,
				struct waxwing_budget_client *client, uint64_t bytes)
{
	GList *link = budget->clients.tail;

	while (!waxwing_client_budget_has(budget, bytes) && link && link->data != client) {
		struct waxwing_budget_client *younger = link->data;

		link = link->prev;
		if (younger->incomplete && younger->bytes)
			close_client(budget, younger, WAXWING_CLIENT_SHED);
	}
	if (!waxwing_client_budget_has(budget, bytes))
		return false;
	client->bytes += bytes;
	budget->bytes += bytes;
	return true;
}

void waxwing_client_budget_release(struct waxwing_client_budget *budget,
				   struct waxwing_budget_client *client)
{
	budget->bytes -= client->bytes;
	client->bytes = 0;
}

void waxwing_client_budget_expire(struct waxwing_client_budget *budget, int64_t now_ms)
{
	GList *next;

	for (GList *link = budget->clients.head; link; link = next) {
		struct waxwing_budget_client *client = link->data;

		next = link->next;
		if (client->deadline_ms && now_ms >= client->deadline_ms)
			close_client(budget, client, WAXWING_CLIENT_LATE);
	}
}

void waxwing_client_budget_count(struct waxwing_client_budget *budget,
				 enum waxwing_client_refusal reason)
{
	budget->refused[reason]++;
}

uint64_t waxwing_client_budget_refused(const struct waxwing_client_budget *budget)
{
	uint64_t sum = 0;

	for (unsigned int i = 0; i < WAXWING_CLIENT_REFUSALS; i++)
		sum += budget->refused[i];
	return sum;
}

void waxwing_client_budget_print(const struct waxwing_client_budget *budget, GString *text)
{
	static const char *const classes[] = { "caller", "balancer", "metrics" };
	static const char *const reasons[] = { "connections", "bytes", "too_large", "shed",
					       "late" };

	for (unsigned int i = 0; i < WAXWING_CLIENT_CLASSES; i++)
		g_string_append_printf(text, "waxwing_node_client_connections{class=\"%s\"} %u\n",
				       classes[i], budget->open[i]);
	g_string_append_printf(text,
			       "waxwing_node_client_connections_limit %u\n"
			       "waxwing_node_client_bytes %llu\n"
			       "waxwing_node_client_bytes_limit %llu\n",
			       budget->options.max_connections, (unsigned long long)budget->bytes,
			       (unsigned long long)budget->options.max_bytes);
	for (unsigned int i = 0; i < WAXWING_CLIENT_REFUSALS; i++)
		g_string_append_printf(text,
				       "waxwing_node_clients_refused_total{reason=\"%s\"} %llu\n",
				       reasons[i], (unsigned long long)budget->refused[i]);
}

#include "http_connections.h"

#define LOG_PART "http"
#include "log.h"

#include "clock.h"

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>
#include <time.h>

#define MS_PER_S 1000
/* How often the connections are looked over. */
#define LOOK_S 1
/* The other side owes nothing. */
#define NOTHING_DUE INT64_MAX

struct waxwing_http_connection {
	int socket;
	in_addr_t address;
	int64_t limit_ms;
	atomic_int_fast64_t due_ms;
};

struct waxwing_http_connections {
	int64_t limit_ms;
	pthread_mutex_t lock;
	pthread_cond_t closing_changed;
	pthread_t thread;
	bool closing;
	GHashTable *open; /* set of struct waxwing_http_connection, owned */
	GHashTable *counts; /* address -> open connections */
	uint64_t slow;
	uint64_t crowded;
	struct waxwing_log_limit slow_log;
	struct waxwing_log_limit crowd_log;
};

static int64_t now(void)
{
	return waxwing_clock_now(waxwing_clock_monotonic());
}

static in_addr_t address_of(const struct sockaddr *address)
{
	return ((const struct sockaddr_in *)address)->sin_addr.s_addr;
}

static uint32_t count_of(struct waxwing_http_connections *connections, in_addr_t address)
{
	return GPOINTER_TO_UINT(
		g_hash_table_lookup(connections->counts, GUINT_TO_POINTER(address)));
}

static void add_to_count(struct waxwing_http_connections *connections, in_addr_t address,
			 int change)
{
	uint32_t count = count_of(connections, address) + (uint32_t)change;

	if (count)
		g_hash_table_insert(connections->counts, GUINT_TO_POINTER(address),
				    GUINT_TO_POINTER(count));
	else
		g_hash_table_remove(connections->counts, GUINT_TO_POINTER(address));
}

static void end_slow(struct waxwing_http_connections *connections,
		     struct waxwing_http_connection *connection, int64_t now_ms)
{
	uint32_t suppressed;

	/* The server sees the end of the stream and closes. */
	shutdown(connection->socket, SHUT_RDWR);
	atomic_store(&connection->due_ms, NOTHING_DUE);
	connections->slow++;
	if (waxwing_log_allowed(&connections->slow_log, now_ms, &suppressed))
		log_info("a connection took too long and was ended (%u like it not logged)",
			 suppressed);
}

static void look_over(struct waxwing_http_connections *connections)
{
	int64_t now_ms = now();
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, connections->open);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct waxwing_http_connection *connection = key;

		if (now_ms >= atomic_load(&connection->due_ms))
			end_slow(connections, connection, now_ms);
	}
}

static void *look_thread(void *argument)
{
	struct waxwing_http_connections *connections = argument;
	struct timespec until;

	pthread_mutex_lock(&connections->lock);
	while (!connections->closing) {
		look_over(connections);
		clock_gettime(CLOCK_REALTIME, &until);
		until.tv_sec += LOOK_S;
		pthread_cond_timedwait(&connections->closing_changed, &connections->lock, &until);
	}
	pthread_mutex_unlock(&connections->lock);
	return NULL;
}

static void release(struct waxwing_http_connections *connections)
{
	g_hash_table_destroy(connections->open);
	g_hash_table_destroy(connections->counts);
	pthread_cond_destroy(&connections->closing_changed);
	pthread_mutex_destroy(&connections->lock);
	g_free(connections);
}

struct waxwing_http_connections *waxwing_http_connections_create(uint32_t limit_s)
{
	struct waxwing_http_connections *connections = g_new0(struct waxwing_http_connections, 1);

	connections->limit_ms = (int64_t)limit_s * MS_PER_S;
	pthread_mutex_init(&connections->lock, NULL);
	pthread_cond_init(&connections->closing_changed, NULL);
	connections->open = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	connections->counts = g_hash_table_new(NULL, NULL);
	if (pthread_create(&connections->thread, NULL, look_thread, connections) == 0)
		return connections;
	release(connections);
	return NULL;
}

void waxwing_http_connections_destroy(struct waxwing_http_connections *connections)
{
	pthread_mutex_lock(&connections->lock);
	connections->closing = true;
	pthread_cond_signal(&connections->closing_changed);
	pthread_mutex_unlock(&connections->lock);
	pthread_join(connections->thread, NULL);
	release(connections);
}

void waxwing_http_connections_view(struct waxwing_http_connections *connections,
				   struct waxwing_http_connections_view *view)
{
	pthread_mutex_lock(&connections->lock);
	view->open = g_hash_table_size(connections->open);
	view->slow = connections->slow;
	view->crowded = connections->crowded;
	pthread_mutex_unlock(&connections->lock);
}

bool waxwing_http_connections_allow(struct waxwing_http_connections *connections,
				    const struct sockaddr *address, uint32_t limit)
{
	uint32_t suppressed;
	uint32_t count;
	bool allowed;

	pthread_mutex_lock(&connections->lock);
	count = count_of(connections, address_of(address));
	allowed = !limit || count < limit;
	connections->crowded += !allowed;
	pthread_mutex_unlock(&connections->lock);
	if (!allowed && waxwing_log_allowed(&connections->crowd_log, now(), &suppressed))
		log_info("an address with %u connections gets no more (%u like it not logged)",
			 count, suppressed);
	return allowed;
}

struct waxwing_http_connection *
waxwing_http_connection_open(struct waxwing_http_connections *connections, int socket,
			     const struct sockaddr *address)
{
	struct waxwing_http_connection *connection = g_new0(struct waxwing_http_connection, 1);

	connection->socket = socket;
	connection->address = address_of(address);
	connection->limit_ms = connections->limit_ms;
	waxwing_http_connection_expect(connection);
	pthread_mutex_lock(&connections->lock);
	g_hash_table_add(connections->open, connection);
	add_to_count(connections, connection->address, 1);
	pthread_mutex_unlock(&connections->lock);
	return connection;
}

void waxwing_http_connection_close(struct waxwing_http_connections *connections,
				   struct waxwing_http_connection *connection)
{
	pthread_mutex_lock(&connections->lock);
	add_to_count(connections, connection->address, -1);
	g_hash_table_remove(connections->open, connection);
	pthread_mutex_unlock(&connections->lock);
}

void waxwing_http_connection_expect(struct waxwing_http_connection *connection)
{
	atomic_store(&connection->due_ms, now() + connection->limit_ms);
}

void waxwing_http_connection_wait(struct waxwing_http_connection *connection)
{
	atomic_store(&connection->due_ms, NOTHING_DUE);
}

#include "http_connections.h"

#define LOG_COMPONENT "http"
#include "log.h"

#include "clock.h"

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>
#include <time.h>

#define MS_PER_S 1000
/* Interval between checks for expired connections. */
#define SCAN_INTERVAL_S 1
/* Deadline of a connection whose timeout is stopped or has expired. */
#define NO_DEADLINE INT64_MAX

struct waxwing_http_connection {
	int socket;
	in_addr_t address;
	int64_t timeout_ms;
	atomic_int_fast64_t deadline_ms;
};

struct waxwing_http_connections {
	int64_t timeout_ms;
	pthread_mutex_t lock;
	pthread_cond_t closing_cond;
	pthread_t thread;
	bool closing;
	GHashTable *open; /* set of struct waxwing_http_connection, owned */
	GHashTable *counts; /* address -> number of open connections */
	uint64_t timed_out;
	uint64_t rejected;
	struct waxwing_log_limit timeout_log_limit;
	struct waxwing_log_limit reject_log_limit;
};

static int64_t now(void)
{
	return waxwing_clock_now(waxwing_clock_monotonic());
}

static in_addr_t get_address(const struct sockaddr *address)
{
	return ((const struct sockaddr_in *)address)->sin_addr.s_addr;
}

static uint32_t get_count(struct waxwing_http_connections *connections, in_addr_t address)
{
	return GPOINTER_TO_UINT(
		g_hash_table_lookup(connections->counts, GUINT_TO_POINTER(address)));
}

static void change_count(struct waxwing_http_connections *connections, in_addr_t address,
			 int change)
{
	uint32_t count = get_count(connections, address) + (uint32_t)change;

	if (count)
		g_hash_table_insert(connections->counts, GUINT_TO_POINTER(address),
				    GUINT_TO_POINTER(count));
	else
		g_hash_table_remove(connections->counts, GUINT_TO_POINTER(address));
}

static void shut_down_expired(struct waxwing_http_connections *connections,
			      struct waxwing_http_connection *connection, int64_t now_ms)
{
	uint32_t suppressed;

	/* The server then sees end-of-file and closes the socket. */
	shutdown(connection->socket, SHUT_RDWR);
	atomic_store(&connection->deadline_ms, NO_DEADLINE);
	connections->timed_out++;
	if (waxwing_log_limit_allow(&connections->timeout_log_limit, now_ms, &suppressed))
		log_info("connection timed out while sending a request or reading an answer "
			 "(%u similar messages suppressed)",
			 suppressed);
}

static void shut_down_all_expired(struct waxwing_http_connections *connections)
{
	int64_t now_ms = now();
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, connections->open);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct waxwing_http_connection *connection = key;

		if (now_ms >= atomic_load(&connection->deadline_ms))
			shut_down_expired(connections, connection, now_ms);
	}
}

static void *timeout_thread(void *argument)
{
	struct waxwing_http_connections *connections = argument;
	struct timespec until;

	pthread_mutex_lock(&connections->lock);
	while (!connections->closing) {
		shut_down_all_expired(connections);
		clock_gettime(CLOCK_REALTIME, &until);
		until.tv_sec += SCAN_INTERVAL_S;
		pthread_cond_timedwait(&connections->closing_cond, &connections->lock, &until);
	}
	pthread_mutex_unlock(&connections->lock);
	return NULL;
}

static void release(struct waxwing_http_connections *connections)
{
	g_hash_table_destroy(connections->open);
	g_hash_table_destroy(connections->counts);
	pthread_cond_destroy(&connections->closing_cond);
	pthread_mutex_destroy(&connections->lock);
	g_free(connections);
}

struct waxwing_http_connections *waxwing_http_connections_create(uint32_t timeout_s)
{
	struct waxwing_http_connections *connections = g_new0(struct waxwing_http_connections, 1);

	connections->timeout_ms = (int64_t)timeout_s * MS_PER_S;
	pthread_mutex_init(&connections->lock, NULL);
	pthread_cond_init(&connections->closing_cond, NULL);
	connections->open = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	connections->counts = g_hash_table_new(NULL, NULL);
	if (pthread_create(&connections->thread, NULL, timeout_thread, connections) == 0)
		return connections;
	release(connections);
	return NULL;
}

void waxwing_http_connections_destroy(struct waxwing_http_connections *connections)
{
	pthread_mutex_lock(&connections->lock);
	connections->closing = true;
	pthread_cond_signal(&connections->closing_cond);
	pthread_mutex_unlock(&connections->lock);
	pthread_join(connections->thread, NULL);
	release(connections);
}

void waxwing_http_connections_get_stats(struct waxwing_http_connections *connections,
					struct waxwing_http_connections_stats *stats)
{
	pthread_mutex_lock(&connections->lock);
	stats->open = g_hash_table_size(connections->open);
	stats->timed_out = connections->timed_out;
	stats->rejected = connections->rejected;
	pthread_mutex_unlock(&connections->lock);
}

bool waxwing_http_connections_allow(struct waxwing_http_connections *connections,
				    const struct sockaddr *address, uint32_t limit)
{
	uint32_t suppressed;
	uint32_t count;
	bool allowed;

	pthread_mutex_lock(&connections->lock);
	count = get_count(connections, get_address(address));
	allowed = !limit || count < limit;
	connections->rejected += !allowed;
	pthread_mutex_unlock(&connections->lock);
	if (!allowed && waxwing_log_limit_allow(&connections->reject_log_limit, now(), &suppressed))
		log_info("connection rejected: its address has %u open connections "
			 "(%u similar messages suppressed)",
			 count, suppressed);
	return allowed;
}

struct waxwing_http_connection *
waxwing_http_connection_open(struct waxwing_http_connections *connections, int socket,
			     const struct sockaddr *address)
{
	struct waxwing_http_connection *connection = g_new0(struct waxwing_http_connection, 1);

	connection->socket = socket;
	connection->address = get_address(address);
	connection->timeout_ms = connections->timeout_ms;
	waxwing_http_connection_start_timeout(connection);
	pthread_mutex_lock(&connections->lock);
	g_hash_table_add(connections->open, connection);
	change_count(connections, connection->address, 1);
	pthread_mutex_unlock(&connections->lock);
	return connection;
}

void waxwing_http_connection_close(struct waxwing_http_connections *connections,
				   struct waxwing_http_connection *connection)
{
	pthread_mutex_lock(&connections->lock);
	change_count(connections, connection->address, -1);
	g_hash_table_remove(connections->open, connection);
	pthread_mutex_unlock(&connections->lock);
}

void waxwing_http_connection_start_timeout(struct waxwing_http_connection *connection)
{
	atomic_store(&connection->deadline_ms, now() + connection->timeout_ms);
}

void waxwing_http_connection_stop_timeout(struct waxwing_http_connection *connection)
{
	atomic_store(&connection->deadline_ms, NO_DEADLINE);
}

#include "peer.h"

#define LOG_PART "peer"
#include "log.h"

#include "clock.h"
#include "inbox.h"

#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <zmq.h>

#define DEFAULT_MESSAGE_BYTES (4 * 1024 * 1024)
/* Messages queued to one peer before they are dropped. */
#define SEND_QUEUE_MESSAGES  20000
#define LINGER_MS	     1000
#define RECONNECT_FIRST_MS   50
#define RECONNECT_LONGEST_MS 1000
/* Most messages taken from the socket before sends get their turn. */
#define RECEIVE_BURST 256

enum order_kind {
	ORDER_SEND,
	ORDER_FORGET,
	ORDER_CLOSE,
};

/* What another thread wants of the peer thread. */
struct order {
	struct waxwing_inbox_node node; /* first */
	enum order_kind kind;
	char *address;
	size_t len;
	uint8_t *data;
};

struct waxwing_peer {
	struct waxwing_peer_options options;
	char *source; /* to connect from; null: any */
	void *zmq;
	void *inbox; /* ROUTER */
	GHashTable *outboxes; /* address -> DEALER */
	pthread_t thread;
	struct waxwing_inbox orders;
	atomic_uint sockets;
	atomic_uint_fast64_t sent_batches;
	atomic_uint_fast64_t sent_bytes;
	atomic_uint_fast64_t received_batches;
	atomic_uint_fast64_t received_bytes;
	atomic_uint_fast64_t dropped;
	atomic_uint_fast64_t malformed;
	struct waxwing_log_limit malformed_log;
};

static void order_free(struct order *order)
{
	g_free(order->address);
	g_free(order->data);
	g_free(order);
}

static void close_socket(void *socket)
{
	zmq_close(socket);
}

static void set_option(void *socket, int name, int value)
{
	zmq_setsockopt(socket, name, &value, sizeof(value));
}

static void *connect_outbox(struct waxwing_peer *peer, const char *address)
{
	void *socket = zmq_socket(peer->zmq, ZMQ_DEALER);
	char *endpoint = peer->source ? g_strdup_printf("tcp://%s:0;%s", peer->source, address) :
					g_strdup_printf("tcp://%s", address);

	set_option(socket, ZMQ_LINGER, LINGER_MS);
	set_option(socket, ZMQ_SNDHWM, SEND_QUEUE_MESSAGES);
	set_option(socket, ZMQ_RECONNECT_IVL, RECONNECT_FIRST_MS);
	set_option(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_LONGEST_MS);
	if (zmq_connect(socket, endpoint) != 0) {
		log_warning("cannot connect to %s: %s", endpoint, zmq_strerror(errno));
		zmq_close(socket);
		socket = NULL;
	} else {
		g_hash_table_insert(peer->outboxes, g_strdup(address), socket);
	}
	g_free(endpoint);
	return socket;
}

static void carry_out_send(struct waxwing_peer *peer, const struct order *order)
{
	void *socket = g_hash_table_lookup(peer->outboxes, order->address);

	if (!socket)
		socket = connect_outbox(peer, order->address);
	if (!socket || zmq_send(socket, order->data, order->len, ZMQ_DONTWAIT) < 0) {
		atomic_fetch_add(&peer->dropped, 1);
		return;
	}
	atomic_fetch_add(&peer->sent_batches, 1);
	atomic_fetch_add(&peer->sent_bytes, order->len);
}

/* Returns false when the thread is to end. */
static bool carry_out_orders(struct waxwing_peer *peer)
{
	struct order *order;
	bool open = true;

	waxwing_inbox_awake(&peer->orders);
	while ((order = (struct order *)waxwing_inbox_take(&peer->orders)) != NULL) {
		if (order->kind == ORDER_SEND)
			carry_out_send(peer, order);
		else if (order->kind == ORDER_FORGET)
			g_hash_table_remove(peer->outboxes, order->address);
		else
			open = false;
		order_free(order);
	}
	atomic_store(&peer->sockets, g_hash_table_size(peer->outboxes));
	return open;
}

static void take_payload(struct waxwing_peer *peer, zmq_msg_t *message)
{
	size_t len = zmq_msg_size(message);
	Waxwing__Batch *batch = waxwing__batch__unpack(NULL, len, zmq_msg_data(message));
	uint32_t suppressed;

	if (!batch) {
		atomic_fetch_add(&peer->malformed, 1);
		if (waxwing_log_allowed(&peer->malformed_log,
					waxwing_clock_now(waxwing_clock_monotonic()), &suppressed))
			log_warning("dropped a malformed batch of %zu bytes", len);
		return;
	}
	atomic_fetch_add(&peer->received_batches, 1);
	atomic_fetch_add(&peer->received_bytes, len);
	peer->options.received(peer->options.context, batch, len);
}

/* A message has two frames: the connection's routing id, which is not used, and the batch. */
static bool receive_one(struct waxwing_peer *peer)
{
	zmq_msg_t message;
	bool payload = false;
	bool more = true;

	while (more) {
		zmq_msg_init(&message);
		if (zmq_msg_recv(&message, peer->inbox, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&message);
			return false;
		}
		more = zmq_msg_more(&message);
		if (payload)
			take_payload(peer, &message);
		payload = true;
		zmq_msg_close(&message);
	}
	return true;
}

static void *peer_thread(void *argument)
{
	struct waxwing_peer *peer = argument;
	zmq_pollitem_t items[] = {
		{ .socket = peer->inbox, .events = ZMQ_POLLIN },
		{ .fd = peer->orders.wake, .events = ZMQ_POLLIN },
	};
	bool open = true;

	while (open) {
		if (waxwing_inbox_may_sleep(&peer->orders) &&
		    zmq_poll(items, G_N_ELEMENTS(items), -1) < 0 && errno != EINTR)
			break;
		open = carry_out_orders(peer);
		for (int i = 0; i < RECEIVE_BURST && receive_one(peer); i++)
			continue;
	}
	return NULL;
}

static bool bind_inbox(struct waxwing_peer *peer, struct waxwing_error *error)
{
	char *endpoint = g_strdup_printf("tcp://%s", peer->options.address);
	int64_t largest = peer->options.message_bytes;
	bool bound;

	peer->inbox = zmq_socket(peer->zmq, ZMQ_ROUTER);
	set_option(peer->inbox, ZMQ_LINGER, 0);
	set_option(peer->inbox, ZMQ_RCVHWM, SEND_QUEUE_MESSAGES);
	zmq_setsockopt(peer->inbox, ZMQ_MAXMSGSIZE, &largest, sizeof(largest));
	bound = zmq_bind(peer->inbox, endpoint) == 0;
	if (!bound)
		waxwing_error_set(error, WAXWING_ERROR_SYSTEM, peer->options.address,
				  "cannot bind the peer port: %s", zmq_strerror(errno));
	g_free(endpoint);
	return bound;
}

static void release(struct waxwing_peer *peer)
{
	g_hash_table_destroy(peer->outboxes);
	zmq_close(peer->inbox);
	zmq_ctx_term(peer->zmq);
	waxwing_inbox_destroy(&peer->orders);
	g_free(peer->source);
	g_free(peer);
}

struct waxwing_peer *waxwing_peer_open(const struct waxwing_peer_options *options,
				       struct waxwing_error *error)
{
	struct waxwing_peer *peer = g_new0(struct waxwing_peer, 1);

	peer->options = *options;
	peer->source = g_strdup(options->source);
	if (!peer->options.message_bytes)
		peer->options.message_bytes = DEFAULT_MESSAGE_BYTES;
	peer->zmq = zmq_ctx_new();
	peer->outboxes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, close_socket);
	if (!waxwing_inbox_init(&peer->orders) || !bind_inbox(peer, error)) {
		release(peer);
		return NULL;
	}
	if (pthread_create(&peer->thread, NULL, peer_thread, peer) != 0) {
		waxwing_error_set(error, WAXWING_ERROR_SYSTEM, "", "cannot start the peer thread");
		release(peer);
		return NULL;
	}
	return peer;
}

static void give_order(struct waxwing_peer *peer, struct order *order)
{
	waxwing_inbox_post(&peer->orders, &order->node);
}

void waxwing_peer_close(struct waxwing_peer *peer)
{
	struct order *order = g_new0(struct order, 1);

	order->kind = ORDER_CLOSE;
	give_order(peer, order);
	pthread_join(peer->thread, NULL);
	release(peer);
}

void waxwing_peer_send(struct waxwing_peer *peer, struct waxwing_str address,
		       const Waxwing__Batch *batch)
{
	struct order *order = g_new0(struct order, 1);

	order->kind = ORDER_SEND;
	order->address = waxwing_str_dup(address);
	order->len = waxwing__batch__get_packed_size(batch);
	order->data = g_malloc(order->len);
	waxwing__batch__pack(batch, order->data);
	give_order(peer, order);
}

void waxwing_peer_forget(struct waxwing_peer *peer, struct waxwing_str address)
{
	struct order *order = g_new0(struct order, 1);

	order->kind = ORDER_FORGET;
	order->address = waxwing_str_dup(address);
	give_order(peer, order);
}

void waxwing_peer_view(const struct waxwing_peer *peer, struct waxwing_peer_view *view)
{
	view->sockets = atomic_load(&peer->sockets);
	view->sent_batches = atomic_load(&peer->sent_batches);
	view->sent_bytes = atomic_load(&peer->sent_bytes);
	view->received_batches = atomic_load(&peer->received_batches);
	view->received_bytes = atomic_load(&peer->received_bytes);
	view->dropped = atomic_load(&peer->dropped);
	view->malformed = atomic_load(&peer->malformed);
}

#include "peer.h"

#define LOG_COMPONENT "peer"
#include "log.h"

#include "clock.h"
#include "inbox.h"

#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <zmq.h>

#define DEFAULT_MESSAGE_BYTES (4 * 1024 * 1024)
/* Maximum number of messages queued for one peer; further ones are dropped. */
#define SEND_QUEUE_MESSAGES 20000
#define LINGER_MS	    1000
#define RECONNECT_FIRST_MS  50
#define RECONNECT_MAX_MS    1000
/* Maximum number of messages received before commands are run again. */
#define RECEIVE_BURST 256

enum peer_command_kind {
	PEER_COMMAND_SEND,
	PEER_COMMAND_DISCONNECT,
	PEER_COMMAND_CLOSE,
};

/* A request from another thread to the peer thread. */
struct peer_command {
	struct waxwing_inbox_node node; /* must be first */
	enum peer_command_kind kind;
	char *address;
	size_t len;
	uint8_t *data;
};

struct waxwing_peer {
	struct waxwing_peer_options options;
	char *source; /* IP address to connect from; null means any */
	void *zmq;
	void *receive_socket; /* ZMQ_ROUTER */
	GHashTable *send_sockets; /* address -> ZMQ_DEALER socket */
	pthread_t thread;
	struct waxwing_inbox commands;
	atomic_uint sockets;
	atomic_uint_fast64_t sent_batches;
	atomic_uint_fast64_t sent_bytes;
	atomic_uint_fast64_t received_batches;
	atomic_uint_fast64_t received_bytes;
	atomic_uint_fast64_t dropped;
	atomic_uint_fast64_t malformed;
	struct waxwing_log_limit malformed_log;
};

static void peer_command_free(struct peer_command *command)
{
	g_free(command->address);
	g_free(command->data);
	g_free(command);
}

static void close_socket(void *socket)
{
	zmq_close(socket);
}

static void set_option(void *socket, int name, int value)
{
	zmq_setsockopt(socket, name, &value, sizeof(value));
}

static void *connect_send_socket(struct waxwing_peer *peer, const char *address)
{
	void *socket = zmq_socket(peer->zmq, ZMQ_DEALER);
	char *endpoint = peer->source ? g_strdup_printf("tcp://%s:0;%s", peer->source, address) :
					g_strdup_printf("tcp://%s", address);

	set_option(socket, ZMQ_LINGER, LINGER_MS);
	set_option(socket, ZMQ_SNDHWM, SEND_QUEUE_MESSAGES);
	set_option(socket, ZMQ_RECONNECT_IVL, RECONNECT_FIRST_MS);
	set_option(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	if (zmq_connect(socket, endpoint) != 0) {
		log_warning("cannot connect to %s: %s", endpoint, zmq_strerror(errno));
		zmq_close(socket);
		socket = NULL;
	} else {
		g_hash_table_insert(peer->send_sockets, g_strdup(address), socket);
	}
	g_free(endpoint);
	return socket;
}

static void run_send(struct waxwing_peer *peer, const struct peer_command *command)
{
	void *socket = g_hash_table_lookup(peer->send_sockets, command->address);

	if (!socket)
		socket = connect_send_socket(peer, command->address);
	if (!socket || zmq_send(socket, command->data, command->len, ZMQ_DONTWAIT) < 0) {
		atomic_fetch_add(&peer->dropped, 1);
		return;
	}
	atomic_fetch_add(&peer->sent_batches, 1);
	atomic_fetch_add(&peer->sent_bytes, command->len);
}

/* Runs the queued commands; returns false when the thread must end. */
static bool run_commands(struct waxwing_peer *peer)
{
	struct peer_command *command;
	bool open = true;

	waxwing_inbox_finish_wait(&peer->commands);
	while ((command = (struct peer_command *)waxwing_inbox_take(&peer->commands)) != NULL) {
		if (command->kind == PEER_COMMAND_SEND)
			run_send(peer, command);
		else if (command->kind == PEER_COMMAND_DISCONNECT)
			g_hash_table_remove(peer->send_sockets, command->address);
		else
			open = false;
		peer_command_free(command);
	}
	atomic_store(&peer->sockets, g_hash_table_size(peer->send_sockets));
	return open;
}

static void receive_payload(struct waxwing_peer *peer, zmq_msg_t *message)
{
	size_t len = zmq_msg_size(message);
	Waxwing__Batch *batch = waxwing__batch__unpack(NULL, len, zmq_msg_data(message));
	uint32_t suppressed;

	if (!batch) {
		atomic_fetch_add(&peer->malformed, 1);
		if (waxwing_log_limit_allow(&peer->malformed_log,
					    waxwing_clock_now(waxwing_clock_monotonic()),
					    &suppressed))
			log_warning("dropped a malformed batch of %zu bytes", len);
		return;
	}
	atomic_fetch_add(&peer->received_batches, 1);
	atomic_fetch_add(&peer->received_bytes, len);
	peer->options.received(peer->options.context, batch, len);
}

/*
 * Receives a message; returns false if there is none. Its first frame is the routing id of the
 * connection, which is not used; each other frame is a batch.
 */
static bool receive_one(struct waxwing_peer *peer)
{
	zmq_msg_t message;
	bool payload = false;
	bool more = true;

	while (more) {
		zmq_msg_init(&message);
		if (zmq_msg_recv(&message, peer->receive_socket, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&message);
			return false;
		}
		more = zmq_msg_more(&message);
		if (payload)
			receive_payload(peer, &message);
		payload = true;
		zmq_msg_close(&message);
	}
	return true;
}

static void *peer_thread(void *argument)
{
	struct waxwing_peer *peer = argument;
	zmq_pollitem_t items[] = {
		{ .socket = peer->receive_socket, .events = ZMQ_POLLIN },
		{ .fd = peer->commands.wake_fd, .events = ZMQ_POLLIN },
	};
	bool open = true;

	while (open) {
		if (waxwing_inbox_prepare_wait(&peer->commands) &&
		    zmq_poll(items, G_N_ELEMENTS(items), -1) < 0 && errno != EINTR)
			break;
		open = run_commands(peer);
		for (int i = 0; i < RECEIVE_BURST && receive_one(peer); i++)
			continue;
	}
	return NULL;
}

static bool bind_receive_socket(struct waxwing_peer *peer, struct waxwing_error *error)
{
	char *endpoint = g_strdup_printf("tcp://%s", peer->options.address);
	int64_t max_bytes = peer->options.message_bytes;
	bool bound;

	peer->receive_socket = zmq_socket(peer->zmq, ZMQ_ROUTER);
	set_option(peer->receive_socket, ZMQ_LINGER, 0);
	set_option(peer->receive_socket, ZMQ_RCVHWM, SEND_QUEUE_MESSAGES);
	zmq_setsockopt(peer->receive_socket, ZMQ_MAXMSGSIZE, &max_bytes, sizeof(max_bytes));
	bound = zmq_bind(peer->receive_socket, endpoint) == 0;
	if (!bound)
		waxwing_error_set(error, WAXWING_ERROR_SYSTEM, peer->options.address,
				  "cannot bind the peer port: %s", zmq_strerror(errno));
	g_free(endpoint);
	return bound;
}

static void peer_free(struct waxwing_peer *peer)
{
	g_hash_table_destroy(peer->send_sockets);
	zmq_close(peer->receive_socket);
	zmq_ctx_term(peer->zmq);
	waxwing_inbox_destroy(&peer->commands);
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
	peer->send_sockets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, close_socket);
	if (!waxwing_inbox_init(&peer->commands) || !bind_receive_socket(peer, error)) {
		peer_free(peer);
		return NULL;
	}
	if (pthread_create(&peer->thread, NULL, peer_thread, peer) != 0) {
		waxwing_error_set(error, WAXWING_ERROR_SYSTEM, "", "cannot start the peer thread");
		peer_free(peer);
		return NULL;
	}
	return peer;
}

static void post_command(struct waxwing_peer *peer, struct peer_command *command)
{
	waxwing_inbox_post(&peer->commands, &command->node);
}

void waxwing_peer_close(struct waxwing_peer *peer)
{
	struct peer_command *command = g_new0(struct peer_command, 1);

	command->kind = PEER_COMMAND_CLOSE;
	post_command(peer, command);
	pthread_join(peer->thread, NULL);
	peer_free(peer);
}

void waxwing_peer_send(struct waxwing_peer *peer, struct waxwing_str address,
		       const Waxwing__Batch *batch)
{
	struct peer_command *command = g_new0(struct peer_command, 1);

	command->kind = PEER_COMMAND_SEND;
	command->address = waxwing_str_dup(address);
	command->len = waxwing__batch__get_packed_size(batch);
	command->data = g_malloc(command->len);
	waxwing__batch__pack(batch, command->data);
	post_command(peer, command);
}

void waxwing_peer_disconnect(struct waxwing_peer *peer, struct waxwing_str address)
{
	struct peer_command *command = g_new0(struct peer_command, 1);

	command->kind = PEER_COMMAND_DISCONNECT;
	command->address = waxwing_str_dup(address);
	post_command(peer, command);
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

#include "link_zmq.h"

#define LOG_COMPONENT "link"
#include "event_log.h"
#include "log.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <zmq.h>

/* Messages queued per peer before further ones are dropped. */
#define MAX_QUEUED_MESSAGES 4000
/* A connection without traffic for HEARTBEAT_TIMEOUT_MS is closed and re-established. */
#define HEARTBEAT_MS	     300
#define HEARTBEAT_TIMEOUT_MS 900
#define RECONNECT_MIN_MS     30
#define RECONNECT_MAX_MS     400
#define CONNECT_TIMEOUT_MS   600
/* Messages read from a socket before the loop handles other events. */
#define MAX_RECEIVE_BURST 200

/* A ZeroMQ socket polled by the loop. */
struct polled_socket {
	uv_poll_t poll; /* must be the first member */
	struct link_zmq *link;
	void *socket;
	char *address; /* the peer's address; null: this is the ROUTER socket */
};

struct link_zmq {
	struct waxwing_link base; /* must be the first member */
	struct waxwing_link_zmq_options options;
	void *zmq;
	struct polled_socket *router; /* receives from all peers */
	GHashTable *dealers; /* address -> struct polled_socket of type DEALER */
	uv_idle_t receive_idle; /* active while messages are left in a socket after a burst */
	uint64_t dropped;
};

static void set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void *create_zmq_socket(struct link_zmq *link, int type)
{
	void *socket = zmq_socket(link->zmq, type);

	set_int(socket, ZMQ_LINGER, 0);
	set_int(socket, ZMQ_SNDHWM, MAX_QUEUED_MESSAGES);
	set_int(socket, ZMQ_RCVHWM, MAX_QUEUED_MESSAGES);
	set_int(socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_MS);
	set_int(socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
	set_int(socket, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
	set_int(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	set_int(socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
	return socket;
}

/* The sender's routing id, to which answers are sent, has 8 bytes. */
static bool read_sender(zmq_msg_t *part, uint64_t *sender)
{
	if (zmq_msg_size(part) != sizeof(*sender))
		return false;
	memcpy(sender, zmq_msg_data(part), sizeof(*sender));
	return true;
}

static void deliver_message(struct polled_socket *sock, zmq_msg_t *part, uint64_t sender)
{
	struct link_zmq *link = sock->link;
	Waxwing__NodeMessage *message =
		waxwing__node_message__unpack(NULL, zmq_msg_size(part), zmq_msg_data(part));

	if (!message) {
		waxwing_event("message_unreadable", "bytes=%zu", zmq_msg_size(part));
		return;
	}
	link->options.received(link->options.data, sender, message);
	waxwing__node_message__free_unpacked(message, NULL);
}

/* Receives one message; returns false if there is none. */
static bool receive_message(struct polled_socket *sock)
{
	bool is_router = !sock->address;
	uint64_t sender = 0;
	bool valid = !is_router;
	zmq_msg_t part;

	zmq_msg_init(&part);
	if (zmq_msg_recv(&part, sock->socket, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close(&part);
		return false;
	}
	if (is_router) {
		valid = read_sender(&part, &sender);
		if (!zmq_msg_more(&part) || zmq_msg_recv(&part, sock->socket, ZMQ_DONTWAIT) < 0)
			valid = false;
	}
	if (valid)
		deliver_message(sock, &part, sender);
	zmq_msg_close(&part);
	return true;
}

static void receive_burst(struct polled_socket *sock)
{
	for (int i = 0; i < MAX_RECEIVE_BURST; i++)
		if (!receive_message(sock))
			return;
}

static bool has_input(const struct polled_socket *sock)
{
	int events = 0;
	size_t len = sizeof(events);

	zmq_getsockopt(sock->socket, ZMQ_EVENTS, &events, &len);
	return events & ZMQ_POLLIN;
}

static void receive_from_all(uv_idle_t *idle);

/*
 * ZeroMQ's descriptor only signals changes, so messages left in the socket are read in the loop's
 * next iteration.
 */
static void schedule_receive(struct polled_socket *sock)
{
	if (has_input(sock))
		uv_idle_start(&sock->link->receive_idle, receive_from_all);
}

static void receive_from_all(uv_idle_t *idle)
{
	struct link_zmq *link = idle->data;
	GList *sockets = g_hash_table_get_values(link->dealers);

	uv_idle_stop(idle);
	sockets = g_list_prepend(sockets, link->router);
	for (GList *item = sockets; item; item = item->next) {
		receive_burst(item->data);
		schedule_receive(item->data);
	}
	g_list_free(sockets);
}

static void socket_readable(uv_poll_t *poll, int status, int events)
{
	struct polled_socket *sock = poll->data;

	(void)status;
	(void)events;
	receive_burst(sock);
	schedule_receive(sock);
}

static struct polled_socket *create_polled_socket(struct link_zmq *link, void *socket,
						  const char *address)
{
	struct polled_socket *sock = g_new0(struct polled_socket, 1);
	int fd = -1;
	size_t len = sizeof(fd);

	sock->link = link;
	sock->socket = socket;
	sock->address = g_strdup(address);
	zmq_getsockopt(socket, ZMQ_FD, &fd, &len);
	uv_poll_init(link->options.loop, &sock->poll, fd);
	sock->poll.data = sock;
	uv_poll_start(&sock->poll, UV_READABLE, socket_readable);
	return sock;
}

static void polled_socket_closed(uv_handle_t *handle)
{
	struct polled_socket *sock = handle->data;

	g_free(sock->address);
	g_free(sock);
}

static void close_polled_socket(gpointer value)
{
	struct polled_socket *sock = value;

	uv_poll_stop(&sock->poll);
	zmq_close(sock->socket);
	uv_close((uv_handle_t *)&sock->poll, polled_socket_closed);
}

static struct polled_socket *get_dealer(struct link_zmq *link, const char *address)
{
	struct polled_socket *sock = g_hash_table_lookup(link->dealers, address);
	char *endpoint;
	void *socket;

	if (sock)
		return sock;
	socket = create_zmq_socket(link, ZMQ_DEALER);
	zmq_setsockopt(socket, ZMQ_ROUTING_ID, &link->options.incarnation,
		       sizeof(link->options.incarnation));
	endpoint = g_strconcat("tcp://", address, NULL);
	if (zmq_connect(socket, endpoint) != 0) {
		waxwing_event("peer_address_bad", "address=%s", address);
		zmq_close(socket);
		g_free(endpoint);
		return NULL;
	}
	g_free(endpoint);
	sock = create_polled_socket(link, socket, address);
	g_hash_table_insert(link->dealers, sock->address, sock);
	return sock;
}

static GByteArray *pack_message(const Waxwing__NodeMessage *message)
{
	GByteArray *packed =
		g_byte_array_sized_new((guint)waxwing__node_message__get_packed_size(message));

	g_byte_array_set_size(packed, (guint)waxwing__node_message__get_packed_size(message));
	waxwing__node_message__pack(message, packed->data);
	return packed;
}

static void send_part(struct polled_socket *sock, const void *data, size_t len, int flags)
{
	if (zmq_send(sock->socket, data, len, flags | ZMQ_DONTWAIT) < 0) {
		sock->link->dropped++;
		waxwing_event("message_dropped", "address=%s why=%s",
			      sock->address ? sock->address : "inbox", zmq_strerror(errno));
	}
}

static void zmq_link_send(struct waxwing_link *base, const char *address,
			  const Waxwing__NodeMessage *message)
{
	struct link_zmq *link = (struct link_zmq *)base;
	struct polled_socket *sock = get_dealer(link, address);
	GByteArray *packed;

	if (!sock) {
		link->dropped++;
		return;
	}
	packed = pack_message(message);
	send_part(sock, packed->data, packed->len, 0);
	g_byte_array_free(packed, TRUE);
	schedule_receive(sock);
}

static void zmq_link_answer(struct waxwing_link *base, uint64_t sender,
			    const Waxwing__NodeMessage *message)
{
	struct link_zmq *link = (struct link_zmq *)base;
	GByteArray *packed = pack_message(message);

	send_part(link->router, &sender, sizeof(sender), ZMQ_SNDMORE);
	send_part(link->router, packed->data, packed->len, 0);
	g_byte_array_free(packed, TRUE);
	schedule_receive(link->router);
}

static uint64_t zmq_link_dropped(const struct waxwing_link *base)
{
	return ((const struct link_zmq *)base)->dropped;
}

static const struct waxwing_link_ops zmq_link_ops = {
	.send = zmq_link_send,
	.answer = zmq_link_answer,
	.dropped = zmq_link_dropped,
};

struct waxwing_link *waxwing_link_zmq_create(const struct waxwing_link_zmq_options *options,
					     struct waxwing_error *error)
{
	struct link_zmq *link = g_new0(struct link_zmq, 1);
	char *endpoint = g_strconcat("tcp://", options->address, NULL);
	void *socket;

	link->base.ops = &zmq_link_ops;
	link->options = *options;
	link->zmq = zmq_ctx_new();
	link->dealers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, close_polled_socket);
	uv_idle_init(options->loop, &link->receive_idle);
	link->receive_idle.data = link;
	socket = create_zmq_socket(link, ZMQ_ROUTER);
	set_int(socket, ZMQ_ROUTER_HANDOVER, 1);
	if (zmq_bind(socket, endpoint) != 0) {
		waxwing_error_set(error, WAXWING_ERROR_SYSTEM, "InternalPorts",
				  "cannot bind the message socket to %s: %s", options->address,
				  zmq_strerror(errno));
		zmq_close(socket);
		g_hash_table_destroy(link->dealers);
		zmq_ctx_term(link->zmq);
		g_free(endpoint);
		g_free(link);
		return NULL;
	}
	link->router = create_polled_socket(link, socket, NULL);
	g_free(endpoint);
	return &link->base;
}

static void link_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void waxwing_link_zmq_destroy(struct waxwing_link *base)
{
	struct link_zmq *link = (struct link_zmq *)base;

	if (!link)
		return;
	close_polled_socket(link->router);
	g_hash_table_destroy(link->dealers);
	zmq_ctx_term(link->zmq);
	uv_close((uv_handle_t *)&link->receive_idle, link_closed);
}

#include "link_zmq.h"

#define LOG_PART "link"
#include "event_log.h"
#include "log.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <zmq.h>

/* Messages queued to one node before they are dropped. */
#define QUEUE_MESSAGES 4000
/* A connection that is silent for so long is closed and made again. */
#define HEARTBEAT_MS	     300
#define HEARTBEAT_TIMEOUT_MS 900
#define RECONNECT_FIRST_MS   30
#define RECONNECT_LONGEST_MS 400
#define CONNECT_TIMEOUT_MS   600
/* Messages taken before the loop has its turn. */
#define RECEIVE_BURST 200

/* A ZeroMQ socket that the loop watches. */
struct pipe {
	uv_poll_t poll; /* first */
	struct link_zmq *link;
	void *socket;
	char *address; /* null: the one that takes messages */
};

struct link_zmq {
	struct waxwing_link base; /* first */
	struct waxwing_link_zmq_options options;
	void *zmq;
	struct pipe *inbox; /* ROUTER */
	GHashTable *outboxes; /* address -> pipe with a DEALER */
	uv_idle_t again; /* messages were left after a burst */
	uint64_t dropped;
};

static void set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void *open_socket(struct link_zmq *link, int type)
{
	void *socket = zmq_socket(link->zmq, type);

	set_int(socket, ZMQ_LINGER, 0);
	set_int(socket, ZMQ_SNDHWM, QUEUE_MESSAGES);
	set_int(socket, ZMQ_RCVHWM, QUEUE_MESSAGES);
	set_int(socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_MS);
	set_int(socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
	set_int(socket, ZMQ_RECONNECT_IVL, RECONNECT_FIRST_MS);
	set_int(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_LONGEST_MS);
	set_int(socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
	return socket;
}

/* An answer's route is the 8 bytes that the sender set as its routing id. */
static bool read_sender(zmq_msg_t *part, uint64_t *sender)
{
	if (zmq_msg_size(part) != sizeof(*sender))
		return false;
	memcpy(sender, zmq_msg_data(part), sizeof(*sender));
	return true;
}

static void take_message(struct pipe *pipe, zmq_msg_t *part, uint64_t sender)
{
	struct link_zmq *link = pipe->link;
	Waxwing__NodeMessage *message =
		waxwing__node_message__unpack(NULL, zmq_msg_size(part), zmq_msg_data(part));

	if (!message) {
		waxwing_event("message_unreadable", "bytes=%zu", zmq_msg_size(part));
		return;
	}
	link->options.received(link->options.data, sender, message);
	waxwing__node_message__free_unpacked(message, NULL);
}

/* Takes one message; false when there is none. */
static bool receive(struct pipe *pipe)
{
	bool is_inbox = !pipe->address;
	uint64_t sender = 0;
	bool known = !is_inbox;
	zmq_msg_t part;

	zmq_msg_init(&part);
	if (zmq_msg_recv(&part, pipe->socket, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close(&part);
		return false;
	}
	if (is_inbox) {
		known = read_sender(&part, &sender);
		if (!zmq_msg_more(&part) || zmq_msg_recv(&part, pipe->socket, ZMQ_DONTWAIT) < 0)
			known = false;
	}
	if (known)
		take_message(pipe, &part, sender);
	zmq_msg_close(&part);
	return true;
}

static void drain(struct pipe *pipe)
{
	for (int i = 0; i < RECEIVE_BURST; i++)
		if (!receive(pipe))
			return;
}

static bool has_input(const struct pipe *pipe)
{
	int events = 0;
	size_t len = sizeof(events);

	zmq_getsockopt(pipe->socket, ZMQ_EVENTS, &events, &len);
	return events & ZMQ_POLLIN;
}

static void look_again(uv_idle_t *idle);

/* ZeroMQ's descriptor tells of changes only, so whatever is left must be looked for. */
static void settle(struct pipe *pipe)
{
	if (has_input(pipe))
		uv_idle_start(&pipe->link->again, look_again);
}

static void look_again(uv_idle_t *idle)
{
	struct link_zmq *link = idle->data;
	GList *pipes = g_hash_table_get_values(link->outboxes);

	uv_idle_stop(idle);
	pipes = g_list_prepend(pipes, link->inbox);
	for (GList *at = pipes; at; at = at->next) {
		drain(at->data);
		settle(at->data);
	}
	g_list_free(pipes);
}

static void readable(uv_poll_t *poll, int status, int events)
{
	struct pipe *pipe = poll->data;

	(void)status;
	(void)events;
	drain(pipe);
	settle(pipe);
}

static struct pipe *open_pipe(struct link_zmq *link, void *socket, const char *address)
{
	struct pipe *pipe = g_new0(struct pipe, 1);
	int fd = -1;
	size_t len = sizeof(fd);

	pipe->link = link;
	pipe->socket = socket;
	pipe->address = g_strdup(address);
	zmq_getsockopt(socket, ZMQ_FD, &fd, &len);
	uv_poll_init(link->options.loop, &pipe->poll, fd);
	pipe->poll.data = pipe;
	uv_poll_start(&pipe->poll, UV_READABLE, readable);
	return pipe;
}

static void pipe_closed(uv_handle_t *handle)
{
	struct pipe *pipe = handle->data;

	g_free(pipe->address);
	g_free(pipe);
}

static void close_pipe(gpointer value)
{
	struct pipe *pipe = value;

	uv_poll_stop(&pipe->poll);
	zmq_close(pipe->socket);
	uv_close((uv_handle_t *)&pipe->poll, pipe_closed);
}

static struct pipe *find_outbox(struct link_zmq *link, const char *address)
{
	struct pipe *pipe = g_hash_table_lookup(link->outboxes, address);
	char *endpoint;
	void *socket;

	if (pipe)
		return pipe;
	socket = open_socket(link, ZMQ_DEALER);
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
	pipe = open_pipe(link, socket, address);
	g_hash_table_insert(link->outboxes, pipe->address, pipe);
	return pipe;
}

static GByteArray *pack(const Waxwing__NodeMessage *message)
{
	GByteArray *packed =
		g_byte_array_sized_new((guint)waxwing__node_message__get_packed_size(message));

	g_byte_array_set_size(packed, (guint)waxwing__node_message__get_packed_size(message));
	waxwing__node_message__pack(message, packed->data);
	return packed;
}

static void send_part(struct pipe *pipe, const void *data, size_t len, int flags)
{
	if (zmq_send(pipe->socket, data, len, flags | ZMQ_DONTWAIT) < 0) {
		pipe->link->dropped++;
		waxwing_event("message_dropped", "address=%s why=%s",
			      pipe->address ? pipe->address : "inbox", zmq_strerror(errno));
	}
}

static void zmq_link_send(struct waxwing_link *base, const char *address,
			  const Waxwing__NodeMessage *message)
{
	struct link_zmq *link = (struct link_zmq *)base;
	struct pipe *pipe = find_outbox(link, address);
	GByteArray *packed;

	if (!pipe) {
		link->dropped++;
		return;
	}
	packed = pack(message);
	send_part(pipe, packed->data, packed->len, 0);
	g_byte_array_free(packed, TRUE);
	settle(pipe);
}

static void zmq_link_answer(struct waxwing_link *base, uint64_t sender,
			    const Waxwing__NodeMessage *message)
{
	struct link_zmq *link = (struct link_zmq *)base;
	GByteArray *packed = pack(message);

	send_part(link->inbox, &sender, sizeof(sender), ZMQ_SNDMORE);
	send_part(link->inbox, packed->data, packed->len, 0);
	g_byte_array_free(packed, TRUE);
	settle(link->inbox);
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
	link->outboxes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, close_pipe);
	uv_idle_init(options->loop, &link->again);
	link->again.data = link;
	socket = open_socket(link, ZMQ_ROUTER);
	set_int(socket, ZMQ_ROUTER_HANDOVER, 1);
	if (zmq_bind(socket, endpoint) != 0) {
		waxwing_error_set(error, WAXWING_ERROR_SYSTEM, "InternalPorts",
				  "cannot take messages at %s: %s", options->address,
				  zmq_strerror(errno));
		zmq_close(socket);
		g_hash_table_destroy(link->outboxes);
		zmq_ctx_term(link->zmq);
		g_free(endpoint);
		g_free(link);
		return NULL;
	}
	link->inbox = open_pipe(link, socket, NULL);
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
	close_pipe(link->inbox);
	g_hash_table_destroy(link->outboxes);
	zmq_ctx_term(link->zmq);
	uv_close((uv_handle_t *)&link->again, link_closed);
}

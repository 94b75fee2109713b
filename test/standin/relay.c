/**
 * Stand-in of the network: a TCP relay that forwards bytes and injects link faults.
 *
 * Arguments are links NAME=LISTEN,TARGET, both IP:port. PUT /control/link?to=NAME&from=IP sets the
 * rule for connections from that address, or without "from" for those that no other rule matches.
 * mode=open forwards bytes, mode=hang keeps old and new connections open without forwarding until
 * the mode changes, mode=reset resets them. delay_ms=N delays each byte, bytes_per_s=N limits each
 * direction of a connection. close_every=N drops every Nth part that a target of the link sends, and
 * closes that connection close_after_ms=N later. Defaults are mode=open and none of these.
 */
#include "server.h"

#include <fcntl.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define CHUNK_BYTES 4096
/** Chunks buffered for one direction of a connection before reading pauses. */
#define MAX_CHUNKS     64
#define LISTEN_BACKLOG 128
#define MS_PER_S       1000

enum link_mode { LINK_OPEN, LINK_HANG, LINK_RESET };

struct link_rule {
	enum link_mode mode;
	int64_t delay_ms;
	int64_t bytes_per_s; /**< 0: unlimited */
	int64_t close_every; /**< 0: never */
	int64_t close_after_ms;
};

struct relay_link {
	char *name;
	struct sockaddr_in target;
	int listener;
	GHashTable *rules; /**< source IP, "" for the default, to struct link_rule */
	int64_t parts_sent; /**< by the target */
};

struct chunk {
	int64_t due_ms; /**< when it may be sent */
	size_t len;
	size_t sent; /**< bytes of data already sent */
	char data[CHUNK_BYTES];
};

/** One direction of a connection. */
struct flow {
	GQueue chunks;
	int64_t next_ms; /**< when bytes_per_s allows the next write */
	bool eof; /**< end of file was read */
};

struct relay_connection {
	struct relay_link *link;
	char source[INET_ADDRSTRLEN];
	int fds[2]; /**< sockets of client and target; the target's is -1 until connected */
	struct flow flows[2]; /**< by index of the socket that is read */
	int64_t closes_ms; /**< when it will be closed; 0: not planned */
	bool failed; /**< has to be closed */
};

struct relay {
	struct standin_server server; /* must be first */
	GPtrArray *links;
	GPtrArray *connections;
	int wake_fd; /* eventfd, interrupts poll() when a rule changes */
};

static const struct link_rule open_rule = { .mode = LINK_OPEN };

static bool parse_address(const char *text, struct sockaddr_in *address)
{
	char **parts = g_strsplit(text, ":", 2);
	bool valid = parts[0] && parts[1] && inet_pton(AF_INET, parts[0], &address->sin_addr) == 1;

	address->sin_family = AF_INET;
	if (valid)
		address->sin_port = htons((uint16_t)strtoul(parts[1], NULL, 10));
	g_strfreev(parts);
	return valid;
}

static int listen_at(const struct sockaddr_in *address)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (const struct sockaddr *)address, sizeof(*address)) == 0 &&
	    listen(fd, LISTEN_BACKLOG) == 0)
		return fd;
	perror("standin-relay: bind");
	close(fd);
	return -1;
}

/** Parses NAME=LISTEN,TARGET and starts to listen. */
static bool add_link(struct relay *relay, const char *text)
{
	char **parts = g_strsplit_set(text, "=,", 3);
	struct relay_link *link = g_new0(struct relay_link, 1);
	struct sockaddr_in address = { 0 };
	bool valid = g_strv_length(parts) == 3 && parse_address(parts[1], &address) &&
		     parse_address(parts[2], &link->target);

	link->listener = valid ? listen_at(&address) : -1;
	link->name = g_strdup(valid ? parts[0] : "");
	link->rules = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_ptr_array_add(relay->links, link);
	g_strfreev(parts);
	return link->listener >= 0;
}

static const struct link_rule *connection_rule(const struct relay_connection *connection)
{
	const struct link_rule *rule =
		g_hash_table_lookup(connection->link->rules, connection->source);

	if (!rule)
		rule = g_hash_table_lookup(connection->link->rules, "");
	return rule ? rule : &open_rule;
}

/* Control: runs on the server's threads with its lock held */

static enum server_result control_link(struct relay *relay, struct server_request *request)
{
	static const char *const modes[] = { "open", "hang", "reset" };
	const char *to = server_query_argument(request, "to");
	const char *source = server_query_argument(request, "from");
	const char *mode = server_query_argument(request, "mode");
	struct link_rule rule = { .delay_ms = server_query_number(request, "delay_ms", 0),
				  .bytes_per_s = server_query_number(request, "bytes_per_s", 0),
				  .close_every = server_query_number(request, "close_every", 0),
				  .close_after_ms =
					  server_query_number(request, "close_after_ms", 0) };
	unsigned int found = 0;

	for (unsigned int i = 0; mode && i < G_N_ELEMENTS(modes); i++)
		if (strcmp(mode, modes[i]) == 0)
			rule.mode = (enum link_mode)i;
	for (guint i = 0; i < relay->links->len; i++) {
		struct relay_link *link = g_ptr_array_index(relay->links, i);

		if (g_strcmp0(to, link->name) != 0)
			continue;
		g_hash_table_replace(link->rules, g_strdup(source ? source : ""),
				     g_memdup2(&rule, sizeof(rule)));
		found++;
	}
	eventfd_write(relay->wake_fd, 1);
	return server_answer_text(request, found ? MHD_HTTP_OK : MHD_HTTP_NOT_FOUND, "");
}

static enum server_result handle(struct standin_server *server, struct server_request *request)
{
	if (strcmp(request->path, "/control/link") == 0)
		return control_link((struct relay *)server, request);
	return server_answer_text(request, MHD_HTTP_NOT_FOUND, "no such path");
}

/* Forwarding: runs on the main thread */

static void connection_free(void *data)
{
	struct relay_connection *connection = data;

	for (int side = 0; side < 2; side++) {
		if (connection->fds[side] >= 0)
			close(connection->fds[side]);
		g_queue_clear_full(&connection->flows[side].chunks, g_free);
	}
	g_free(connection);
}

/** Marks a connection to be closed with RST. */
static void connection_reset(struct relay_connection *connection)
{
	const struct linger abort_on_close = { .l_onoff = 1, .l_linger = 0 };

	for (int side = 0; side < 2; side++)
		if (connection->fds[side] >= 0)
			setsockopt(connection->fds[side], SOL_SOCKET, SO_LINGER, &abort_on_close,
				   sizeof(abort_on_close));
	connection->failed = true;
}

static void accept_connection(struct relay *relay, struct relay_link *link)
{
	struct sockaddr_in source;
	socklen_t len = sizeof(source);
	int fd = accept4(link->listener, (struct sockaddr *)&source, &len,
			 SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct relay_connection *connection;

	if (fd < 0)
		return;
	connection = g_new0(struct relay_connection, 1);
	connection->link = link;
	connection->fds[0] = fd;
	connection->fds[1] = -1;
	inet_ntop(AF_INET, &source.sin_addr, connection->source, sizeof(connection->source));
	g_ptr_array_add(relay->connections, connection);
}

static void connect_target(struct relay_connection *connection)
{
	const struct sockaddr *target = (const struct sockaddr *)&connection->link->target;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	/* On loopback a blocking connect() returns at once. */
	if (connect(fd, target, sizeof(connection->link->target)) != 0) {
		close(fd);
		connection_reset(connection);
		return;
	}
	fcntl(fd, F_SETFL, O_NONBLOCK);
	connection->fds[1] = fd;
}

static void flow_read(struct relay_connection *connection, int side, const struct link_rule *rule,
		      int64_t now_ms)
{
	struct flow *flow = &connection->flows[side];
	struct chunk *chunk = g_new(struct chunk, 1);
	ssize_t len = read(connection->fds[side], chunk->data, sizeof(chunk->data));

	if (len > 0 && side == 1 && rule->close_every &&
	    ++connection->link->parts_sent % rule->close_every == 0)
		connection->closes_ms = now_ms + rule->close_after_ms;
	if (len > 0 && !connection->closes_ms) {
		chunk->len = (size_t)len;
		chunk->sent = 0;
		chunk->due_ms = now_ms + rule->delay_ms;
		g_queue_push_tail(&flow->chunks, chunk);
		return;
	}
	g_free(chunk);
	if (len == 0)
		flow->eof = true;
	else if (len < 0 && errno != EAGAIN)
		connection_reset(connection);
}

/** Sends what is due; returns when the next chunk is due, INT64_MAX if none is buffered. */
static int64_t flow_write(struct relay_connection *connection, int side,
			  const struct link_rule *rule, int64_t now_ms)
{
	struct flow *flow = &connection->flows[side];
	struct chunk *chunk;

	while ((chunk = g_queue_peek_head(&flow->chunks)) != NULL) {
		int64_t due_ms = MAX(chunk->due_ms, flow->next_ms);
		ssize_t len;

		if (due_ms > now_ms)
			return due_ms;
		len = send(connection->fds[!side], chunk->data + chunk->sent,
			   chunk->len - chunk->sent, MSG_NOSIGNAL);
		if (len < 0 && errno != EAGAIN)
			connection_reset(connection);
		if (len < 0)
			return now_ms + 1;
		chunk->sent += (size_t)len;
		if (rule->bytes_per_s)
			flow->next_ms = now_ms + len * MS_PER_S / rule->bytes_per_s;
		if (chunk->sent == chunk->len)
			g_free(g_queue_pop_head(&flow->chunks));
	}
	if (flow->eof)
		shutdown(connection->fds[!side], SHUT_WR);
	return INT64_MAX;
}

static bool is_finished(const struct relay_connection *connection)
{
	return connection->flows[0].eof && connection->flows[1].eof &&
	       !connection->flows[0].chunks.length && !connection->flows[1].chunks.length;
}

/** Reads and writes both directions of a connection; returns when the next write is due. */
static int64_t connection_run(struct relay_connection *connection, int64_t now_ms)
{
	const struct link_rule *rule = connection_rule(connection);
	int64_t next_ms = INT64_MAX;

	if (rule->mode == LINK_RESET)
		connection_reset(connection);
	if (rule->mode != LINK_OPEN)
		return INT64_MAX;
	if (connection->fds[1] < 0)
		connect_target(connection);
	for (int side = 0; side < 2 && !connection->failed; side++) {
		if (!connection->flows[side].eof &&
		    connection->flows[side].chunks.length < MAX_CHUNKS)
			flow_read(connection, side, rule, now_ms);
		next_ms = MIN(next_ms, flow_write(connection, side, rule, now_ms));
	}
	if (!connection->closes_ms)
		return next_ms;
	connection->failed |= now_ms >= connection->closes_ms;
	return MIN(next_ms, connection->closes_ms);
}

static int64_t run_connections(struct relay *relay, int64_t now_ms)
{
	int64_t next_ms = INT64_MAX;

	for (guint i = relay->connections->len; i-- > 0;) {
		struct relay_connection *connection = g_ptr_array_index(relay->connections, i);

		next_ms = MIN(next_ms, connection_run(connection, now_ms));
		if (connection->failed || is_finished(connection))
			g_ptr_array_remove_index_fast(relay->connections, i);
	}
	return next_ms;
}

static void add_poll_fd(GArray *items, int fd)
{
	const struct pollfd item = { .fd = fd, .events = POLLIN };

	g_array_append_val(items, item);
}

/** The descriptors to poll: wake_fd, the listeners, the sockets of connections that may be read. */
static GArray *create_poll_fds(struct relay *relay)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct pollfd));

	add_poll_fd(items, relay->wake_fd);
	for (guint i = 0; i < relay->links->len; i++)
		add_poll_fd(items,
			    ((struct relay_link *)g_ptr_array_index(relay->links, i))->listener);
	for (guint i = 0; i < relay->connections->len; i++) {
		const struct relay_connection *connection =
			g_ptr_array_index(relay->connections, i);

		for (int side = 0; side < 2 && connection_rule(connection)->mode == LINK_OPEN;
		     side++)
			if (!connection->flows[side].eof &&
			    connection->flows[side].chunks.length < MAX_CHUNKS)
				add_poll_fd(items, connection->fds[side]);
	}
	return items;
}

/**
 * Polls until @next_ms at the latest and forwards what is due; returns @next_ms of the next call.
 */
static int64_t poll_once(struct relay *relay, int64_t next_ms)
{
	struct pollfd *item;
	eventfd_t count;
	GArray *items;
	int64_t wait_ms = next_ms == INT64_MAX ? -1 : MAX(next_ms - server_now(), 0);

	pthread_mutex_lock(&relay->server.lock);
	items = create_poll_fds(relay);
	pthread_mutex_unlock(&relay->server.lock);
	poll((struct pollfd *)items->data, items->len, (int)wait_ms);
	pthread_mutex_lock(&relay->server.lock);
	item = (struct pollfd *)items->data;
	if (item->revents)
		eventfd_read(relay->wake_fd, &count);
	for (guint i = 0; i < relay->links->len; i++)
		if (item[i + 1].revents)
			accept_connection(relay, g_ptr_array_index(relay->links, i));
	next_ms = run_connections(relay, server_now());
	pthread_mutex_unlock(&relay->server.lock);
	g_array_free(items, TRUE);
	return next_ms;
}

int main(int argc, char **argv)
{
	struct relay relay = { .server = { .handle = handle } };
	int64_t next_ms = 0;
	uint16_t port;

	signal(SIGPIPE, SIG_IGN);
	relay.links = g_ptr_array_new();
	relay.connections = g_ptr_array_new_with_free_func(connection_free);
	relay.wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	for (int i = 1; i < argc; i++)
		if (!add_link(&relay, argv[i]))
			return EXIT_FAILURE;
	port = server_start(&relay.server, 0, LISTEN_BACKLOG);
	if (!port)
		return EXIT_FAILURE;
	printf("ready 127.0.0.1:%u\n", port);
	fflush(stdout);
	/* Runs until a signal ends the process; there is nothing to clean up. */
	while (true)
		next_ms = poll_once(&relay, next_ms);
}

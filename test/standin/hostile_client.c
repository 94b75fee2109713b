/**
 * Stand-in of clients that try to exhaust a server's memory or descriptors: opens a crowd of
 * connections that all misbehave in one form.
 *
 * usage: standin-hostile_client --form FORM [--count N] TARGET...
 *
 * TARGET is IP:port/path; the connections are spread evenly over the targets, and a path that ends
 * in "/" is followed by a job id of its own. Prints "ready" once every connection has sent what its
 * form sends, is blocked or closed, and then holds the connections until it is killed. Connections
 * that the server closes are not opened again.
 */
#include <argp.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

#define DEFAULT_COUNT 640
/* Just under the default body limit of 262,144 bytes. */
#define LEGAL_BODY_BYTES 262000
#define LARGE_BODY_BYTES (16 << 20)
/* Bytes of a body that are never sent. */
#define MISSING_BYTES 16
#define PIECE_BYTES   1000
#define WRITE_BYTES   65536
#define CHUNK_BYTES   4000
/* Fits into 16,384 bytes with the rest of the head. */
#define HEADER_FIELDS	   1500
#define PIPELINED_REQUESTS 2000
#define SLOW_INTERVAL_MS   250
/* Without progress on any connection for this long, all are blocked or have sent everything. */
#define QUIET_MS       1000
#define RECEIVE_BUFFER 4096
#define FIRST_JOB      0xb0000000

enum body_kind { BODY_NONE, BODY_PLAIN, BODY_CHUNKED, BODY_FIELDS };

struct form {
	const char *name;
	enum body_kind body;
	size_t body_bytes; /* declared, or sent in chunks */
	size_t missing; /* bytes at the end of the request that are not sent */
	size_t write_bytes; /* largest single write */
	unsigned int interval_ms; /* between two writes or reads of a connection; 0: none */
	unsigned int header_fields;
	unsigned int requests; /* sent one after the other */
	bool reads; /* reads the responses */
};

static const struct form forms[] = {
	{ "bodies-whole", BODY_PLAIN, LEGAL_BODY_BYTES, MISSING_BYTES, WRITE_BYTES, 0, 0, 1, true },
	{ "bodies-pieces", BODY_PLAIN, LEGAL_BODY_BYTES, MISSING_BYTES, PIECE_BYTES, 0, 0, 1,
	  true },
	{ "bodies-chunked", BODY_CHUNKED, LEGAL_BODY_BYTES, MISSING_BYTES, WRITE_BYTES, 0, 0, 1,
	  true },
	{ "large", BODY_PLAIN, LARGE_BODY_BYTES, 0, WRITE_BYTES, 0, 0, 1, false },
	{ "large-chunked", BODY_CHUNKED, LARGE_BODY_BYTES, 0, WRITE_BYTES, 0, 0, 1, false },
	{ "fields", BODY_FIELDS, LEGAL_BODY_BYTES, 0, WRITE_BYTES, 0, 0, 1, true },
	{ "header-fields", BODY_NONE, 0, 2, WRITE_BYTES, 0, HEADER_FIELDS, 1, true },
	{ "pipelined", BODY_NONE, 0, 0, WRITE_BYTES, 0, 0, PIPELINED_REQUESTS, false },
	{ "slow-send", BODY_NONE, 0, 0, 1, SLOW_INTERVAL_MS, HEADER_FIELDS, 1, true },
	{ "slow-read", BODY_NONE, 0, 0, WRITE_BYTES, SLOW_INTERVAL_MS, 0, PIPELINED_REQUESTS,
	  true },
	{ "half", BODY_NONE, 0, 20, WRITE_BYTES, 0, 0, 1, true },
};

struct connection {
	int fd; /* -1: closed */
	GString *request;
	size_t sent;
	size_t end; /* bytes of the request that are sent */
	gint64 next_ms;
};

struct crowd {
	const struct form *form;
	unsigned int count;
	char **targets;
	struct connection *connections;
};

static gint64 now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

static void append_chunked(GString *out, size_t len)
{
	for (size_t done = 0; done < len; done += CHUNK_BYTES) {
		g_string_append_printf(out, "%x\r\n", CHUNK_BYTES);
		g_string_set_size(out, out->len + CHUNK_BYTES);
		memset(out->str + out->len - CHUNK_BYTES, ' ', CHUNK_BYTES);
		g_string_append(out, "\r\n");
	}
	g_string_append(out, "0\r\n\r\n");
}

/* A valid job with as many unknown members as fit. */
static void append_fields(GString *out, size_t len)
{
	size_t end = out->len + len - 1;

	g_string_append(out, "{\"Spec\":\"sleep=20\",\"BestEffort\":true,"
			     "\"Steps\":[{\"Count\":1,\"Cpu\":1000,\"EstimatedMs\":20}]");
	for (unsigned int i = 0; out->len + 16 < end; i++)
		g_string_append_printf(out, ",\"%x\":0", i);
	while (out->len < end)
		g_string_append_c(out, ' ');
	g_string_append_c(out, '}');
}

static GString *build_request(const struct form *form, const char *host, const char *path,
			      unsigned int number)
{
	GString *out = g_string_new(NULL);

	for (unsigned int i = 0; i < form->requests; i++) {
		g_string_append_printf(out, "%s %s", form->body ? "POST" : "GET", path);
		if (g_str_has_suffix(path, "/"))
			g_string_append_printf(out, "%016x", FIRST_JOB + number);
		g_string_append_printf(out, " HTTP/1.1\r\nHost: %s\r\n", host);
		for (unsigned int field = 0; field < form->header_fields; field++)
			g_string_append_printf(out, "%x:0\r\n", field);
		if (form->body == BODY_CHUNKED)
			g_string_append(out, "Transfer-Encoding: chunked\r\n");
		else if (form->body)
			g_string_append_printf(out, "Content-Length: %zu\r\n", form->body_bytes);
		g_string_append(out, "\r\n");
	}
	if (form->body == BODY_CHUNKED) {
		append_chunked(out, form->body_bytes);
	} else if (form->body == BODY_FIELDS) {
		append_fields(out, form->body_bytes);
	} else if (form->body) {
		g_string_set_size(out, out->len + form->body_bytes);
		memset(out->str + out->len - form->body_bytes, ' ', form->body_bytes);
	}
	return out;
}

static int connect_to(const char *target)
{
	char *address = g_strndup(target, strcspn(target, "/"));
	char *colon = strrchr(address, ':');
	struct sockaddr_in server;
	int size = RECEIVE_BUFFER;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (!colon)
		g_error("%s is not IP:port/path", target);
	*colon = '\0';
	if (fd < 0 || uv_ip4_addr(address, atoi(colon + 1), &server) != 0)
		g_error("cannot connect to %s", target);
	g_free(address);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (connect(fd, (struct sockaddr *)&server, sizeof(server)) != 0) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static void connection_close(struct connection *connection)
{
	close(connection->fd);
	connection->fd = -1;
}

/* Sends and reads what the form allows now. Returns true if the connection made progress. */
static bool connection_step(const struct form *form, struct connection *connection)
{
	char buffer[WRITE_BYTES];
	size_t len = MIN(form->write_bytes, connection->end - connection->sent);
	bool progress = false;
	ssize_t result;

	if (connection->fd < 0 || now_ms() < connection->next_ms)
		return false;
	if (len) {
		result = send(connection->fd, connection->request->str + connection->sent, len,
			      MSG_NOSIGNAL);
		if (result > 0)
			connection->sent += (size_t)result;
		else if (errno != EAGAIN)
			connection_close(connection);
		progress = result > 0;
	}
	if (connection->fd >= 0 && form->reads) {
		result = recv(connection->fd, buffer, form->interval_ms ? 1 : sizeof(buffer), 0);
		if (result == 0 || (result < 0 && errno != EAGAIN))
			connection_close(connection);
	}
	connection->next_ms = now_ms() + form->interval_ms;
	return progress && !form->interval_ms;
}

/* Prepares a request of its own for each connection just before it is opened. */
static void connection_open(const struct crowd *crowd, unsigned int number)
{
	struct connection *connection = &crowd->connections[number];
	const char *target = crowd->targets[number % g_strv_length(crowd->targets)];

	connection->request =
		build_request(crowd->form, "orders.example", strchr(target, '/'), number);
	connection->end = connection->request->len - crowd->form->missing;
	connection->fd = connect_to(target);
}

static unsigned int count_open(const struct crowd *crowd)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < crowd->count; i++)
		count += crowd->connections[i].fd >= 0;
	return count;
}

static void run(struct crowd *crowd)
{
	gint64 progress_ms = now_ms();
	bool ready = false;

	for (unsigned int i = 0; i < crowd->count; i++) {
		connection_open(crowd, i);
		connection_step(crowd->form, &crowd->connections[i]);
	}
	for (;;) {
		bool progress = false;

		for (unsigned int i = 0; i < crowd->count; i++)
			progress |= connection_step(crowd->form, &crowd->connections[i]);
		if (progress)
			progress_ms = now_ms();
		if (!ready && now_ms() - progress_ms >= QUIET_MS) {
			ready = true;
			printf("ready %u\n", count_open(crowd));
			fflush(stdout);
		}
		if (!progress)
			poll(NULL, 0, 10);
	}
}

static error_t read_option(int key, char *value, struct argp_state *state)
{
	struct crowd *crowd = state->input;

	switch (key) {
	case 'f':
		for (size_t i = 0; i < G_N_ELEMENTS(forms); i++) {
			if (strcmp(forms[i].name, value) == 0)
				crowd->form = &forms[i];
		}
		return 0;
	case 'c':
		crowd->count = (unsigned int)atoi(value);
		return 0;
	case ARGP_KEY_ARGS:
		crowd->targets = state->argv + state->next;
		return 0;
	case ARGP_KEY_END:
		if (!crowd->form || !crowd->targets)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{ "form", 'f', "FORM", 0, "form of misbehaviour", 0 },
		{ "count", 'c', "N", 0, "number of connections", 0 },
		{ 0 },
	};
	static const struct argp argp = {
		.options = options,
		.parser = read_option,
		.args_doc = "TARGET...",
		.doc = "Opens a crowd of misbehaving connections.",
	};
	struct crowd crowd = { .count = DEFAULT_COUNT };

	argp_parse(&argp, argc, argv, 0, NULL, &crowd);
	signal(SIGPIPE, SIG_IGN);
	crowd.connections = g_new0(struct connection, crowd.count);
	run(&crowd);
}

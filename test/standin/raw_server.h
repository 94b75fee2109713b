/**
 * Server that reads a complete request, sends the configured bytes, well-formed or not, and closes
 * the connection. For responses that no HTTP library would send.
 */
#ifndef STANDIN_RAW_SERVER_H
#define STANDIN_RAW_SERVER_H

#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define RAW_MAX_REQUEST_BYTES 65536

struct raw_server {
	int listener;
	uint16_t port;
	pthread_mutex_t lock; /**< protects answer and requests */
	GBytes *answer;
	unsigned int requests; /**< complete requests received */
	pthread_t thread;
};

static inline size_t raw_body_length(const char *request)
{
	const char *header = strstr(request, "Content-Length: ");

	return header ? strtoul(header + strlen("Content-Length: "), NULL, 10) : 0;
}

static inline bool raw_request_complete(const char *request, size_t len)
{
	const char *end = strstr(request, "\r\n\r\n");

	return end && len - (size_t)(end + 4 - request) >= raw_body_length(request);
}

/** Sets the bytes that later requests are answered with. */
static inline void raw_server_set_answer(struct raw_server *server, const char *answer, size_t len)
{
	pthread_mutex_lock(&server->lock);
	g_clear_pointer(&server->answer, g_bytes_unref);
	server->answer = g_bytes_new(answer, len);
	pthread_mutex_unlock(&server->lock);
}

static inline unsigned int raw_server_request_count(struct raw_server *server)
{
	unsigned int requests;

	pthread_mutex_lock(&server->lock);
	requests = server->requests;
	pthread_mutex_unlock(&server->lock);
	return requests;
}

static inline void raw_send_answer(struct raw_server *server, int fd)
{
	const char *data;
	gsize len;

	pthread_mutex_lock(&server->lock);
	server->requests++;
	data = g_bytes_get_data(server->answer, &len);
	if (len)
		g_assert_cmpint(send(fd, data, len, MSG_NOSIGNAL), ==, (gssize)len);
	pthread_mutex_unlock(&server->lock);
}

static inline void raw_serve_connection(struct raw_server *server, int fd)
{
	static char request[RAW_MAX_REQUEST_BYTES];
	size_t len = 0;
	ssize_t received;

	memset(request, 0, sizeof(request));
	while (!raw_request_complete(request, len)) {
		received = read(fd, request + len, sizeof(request) - 1 - len);
		if (received <= 0)
			return;
		len += (size_t)received;
	}
	raw_send_answer(server, fd);
}

static inline void *raw_accept_loop(void *context)
{
	struct raw_server *server = context;
	int fd;

	while ((fd = accept(server->listener, NULL, NULL)) >= 0) {
		raw_serve_connection(server, fd);
		close(fd);
	}
	return NULL;
}

/** Starts a server on 127.0.0.1 at any free port. */
static inline void raw_server_start(struct raw_server *server)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(address);

	*server = (struct raw_server){ .listener = socket(AF_INET, SOCK_STREAM, 0),
				       .answer = g_bytes_new("", 0) };
	pthread_mutex_init(&server->lock, NULL);
	g_assert_cmpint(bind(server->listener, (struct sockaddr *)&address, len), ==, 0);
	g_assert_cmpint(listen(server->listener, 16), ==, 0);
	getsockname(server->listener, (struct sockaddr *)&address, &len);
	server->port = ntohs(address.sin_port);
	pthread_create(&server->thread, NULL, raw_accept_loop, server);
}

static inline void raw_server_stop(struct raw_server *server)
{
	shutdown(server->listener, SHUT_RDWR);
	pthread_join(server->thread, NULL);
	close(server->listener);
	pthread_mutex_destroy(&server->lock);
	g_bytes_unref(server->answer);
}

#endif

/* Tests the HTTP client's timeouts against a server on loopback that sends its response in parts. */
#include "http_calls.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define PARTS		 20
#define PART_INTERVAL_MS 100
#define TIMEOUT_MS	 1500
/*
 * Well above the interval between parts, also on a busy machine, and below the time that all parts
 * take.
 */
#define STALL_TIMEOUT_MS 1500

struct part_server {
	uv_loop_t loop;
	uv_tcp_t listener;
	uv_tcp_t connection;
	uv_timer_t timer;
	uv_write_t write;
	char address[32];
	char request[1024];
	int parts_sent;
	int parts_to_send; /* the server stalls after them */
	struct waxwing_http_call_result result; /* without the body */
	size_t response_bytes;
	bool done;
};

static void send_part(uv_timer_t *timer)
{
	static char head[] = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nx";
	static char rest[] = "x";
	struct part_server *server = timer->data;
	char *text = server->parts_sent ? rest : head;
	uv_buf_t buffer = uv_buf_init(text, (unsigned int)strlen(text));

	if (server->parts_sent >= server->parts_to_send)
		return;
	server->parts_sent++;
	g_assert_cmpint(
		uv_write(&server->write, (uv_stream_t *)&server->connection, &buffer, 1, NULL), ==,
		0);
}

static void provide_buffer(uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
	struct part_server *server = handle->data;

	(void)size;
	*buffer = uv_buf_init(server->request, sizeof(server->request));
}

static void request_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buffer)
{
	struct part_server *server = stream->data;

	(void)buffer;
	if (len > 0)
		uv_timer_start(&server->timer, send_part, PART_INTERVAL_MS, PART_INTERVAL_MS);
	else
		uv_timer_stop(&server->timer);
}

static void accept_connection(uv_stream_t *listener, int status)
{
	struct part_server *server = listener->data;

	g_assert_cmpint(status, ==, 0);
	g_assert_cmpint(uv_accept(listener, (uv_stream_t *)&server->connection), ==, 0);
	uv_read_start((uv_stream_t *)&server->connection, provide_buffer, request_read);
}

static void call_done(void *data, const struct waxwing_http_call_result *result)
{
	struct part_server *server = data;

	server->result = *result;
	server->response_bytes = result->body.len;
	server->done = true;
	uv_stop(&server->loop);
}

static void start_server(struct part_server *server)
{
	struct sockaddr_in address;
	int len = sizeof(address);

	g_assert_cmpint(uv_loop_init(&server->loop), ==, 0);
	uv_tcp_init(&server->loop, &server->listener);
	uv_tcp_init(&server->loop, &server->connection);
	uv_timer_init(&server->loop, &server->timer);
	server->listener.data = server;
	server->connection.data = server;
	server->timer.data = server;
	uv_ip4_addr("127.0.0.1", 0, &address);
	g_assert_cmpint(uv_tcp_bind(&server->listener, (struct sockaddr *)&address, 0), ==, 0);
	g_assert_cmpint(uv_listen((uv_stream_t *)&server->listener, 1, accept_connection), ==, 0);
	uv_tcp_getsockname(&server->listener, (struct sockaddr *)&address, &len);
	snprintf(server->address, sizeof(server->address), "127.0.0.1:%d", ntohs(address.sin_port));
}

/* Calls a server that sends @parts of its parts. */
static void run_call(struct part_server *server, int parts, uint32_t stall_timeout_ms)
{
	struct waxwing_http_calls *calls;
	struct waxwing_http_call_options options = {
		.method = "GET",
		.address = server->address,
		.target = "/",
		.connect_timeout_ms = TIMEOUT_MS,
		.timeout_ms = TIMEOUT_MS,
		.stall_timeout_ms = stall_timeout_ms,
		.done = call_done,
		.data = server,
	};

	*server = (struct part_server){ .parts_to_send = parts };
	start_server(server);
	calls = waxwing_http_calls_create(&server->loop, 1);
	waxwing_http_calls_send(calls, &options);
	while (!server->done)
		uv_run(&server->loop, UV_RUN_DEFAULT);
	waxwing_http_calls_destroy(calls);
	uv_close((uv_handle_t *)&server->listener, NULL);
	uv_close((uv_handle_t *)&server->connection, NULL);
	uv_close((uv_handle_t *)&server->timer, NULL);
	uv_run(&server->loop, UV_RUN_DEFAULT);
	g_assert_cmpint(uv_loop_close(&server->loop), ==, 0);
}

/* A response that takes longer than the timeout is complete as long as parts of it arrive. */
static void test_slow_response(void)
{
	struct part_server server;

	run_call(&server, PARTS, STALL_TIMEOUT_MS);
	g_assert_cmpint(server.result.end, ==, WAXWING_HTTP_COMPLETE);
	g_assert_cmpuint(server.response_bytes, ==, PARTS);
}

static void test_stalled_response(void)
{
	struct part_server server;

	run_call(&server, PARTS / 2, STALL_TIMEOUT_MS);
	g_assert_cmpint(server.result.end, ==, WAXWING_HTTP_TIMEOUT);
}

static void test_no_response(void)
{
	struct part_server server;

	run_call(&server, 0, STALL_TIMEOUT_MS);
	g_assert_cmpint(server.result.end, ==, WAXWING_HTTP_TIMEOUT);
}

static void test_timeout_of_whole_call(void)
{
	struct part_server server;

	run_call(&server, PARTS, 0);
	g_assert_cmpint(server.result.end, ==, WAXWING_HTTP_TIMEOUT);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http_calls/slow_response", test_slow_response);
	g_test_add_func("/http_calls/stalled_response", test_stalled_response);
	g_test_add_func("/http_calls/no_response", test_no_response);
	g_test_add_func("/http_calls/timeout_of_whole_call", test_timeout_of_whole_call);
	return g_test_run();
}

/*
 * Tests what the HTTP client does when a server closes an idle connection as a request arrives on
 * it, against a server on loopback.
 */
#include "http_calls.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define MAX_CONNECTIONS 8
#define TIMEOUT_MS	1500

/* What the server does with a request. */
enum action {
	ACTION_ANSWER,
	ACTION_REFUSE, /* answers 503 */
	ACTION_CLOSE, /* closes the connection instead of answering */
	ACTION_RESET, /* resets the connection instead of answering */
	ACTION_LEAVE, /* closes the connection and accepts no more */
};

struct server_connection {
	uv_tcp_t tcp;
	struct server *server;
	char input[1024];
	uv_write_t write;
};

struct server {
	uv_loop_t loop;
	uv_tcp_t listener;
	char address[32];
	struct waxwing_http_calls *calls;
	struct server_connection connections[MAX_CONNECTIONS];
	int accepted;
	const enum action *script; /* for each request in turn */
	int requests;
	struct waxwing_http_call_result result; /* of the last call, without the body */
	bool done;
};

static void provide_buffer(uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
	struct server_connection *connection = handle->data;

	(void)size;
	*buffer = uv_buf_init(connection->input, sizeof(connection->input));
}

static void answer(struct server_connection *connection, const char *text)
{
	uv_buf_t buffer = uv_buf_init((char *)text, (unsigned int)strlen(text));

	g_assert_cmpint(
		uv_write(&connection->write, (uv_stream_t *)&connection->tcp, &buffer, 1, NULL), ==,
		0);
}

/* Each request arrives in one piece. */
static void request_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buffer)
{
	struct server_connection *connection = stream->data;
	struct server *server = connection->server;

	(void)buffer;
	if (len <= 0) {
		uv_read_stop(stream);
		return;
	}
	switch (server->script[server->requests++]) {
	case ACTION_ANSWER:
		answer(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
		break;
	case ACTION_REFUSE:
		answer(connection, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
		break;
	case ACTION_LEAVE:
		uv_close((uv_handle_t *)&server->listener, NULL);
		uv_close((uv_handle_t *)stream, NULL);
		break;
	case ACTION_CLOSE:
		uv_close((uv_handle_t *)stream, NULL);
		break;
	case ACTION_RESET:
		uv_tcp_close_reset(&connection->tcp, NULL);
		break;
	}
}

static void accept_connection(uv_stream_t *listener, int status)
{
	struct server *server = listener->data;
	struct server_connection *connection = &server->connections[server->accepted++];

	g_assert_cmpint(status, ==, 0);
	g_assert_cmpint(server->accepted, <=, MAX_CONNECTIONS);
	connection->server = server;
	uv_tcp_init(&server->loop, &connection->tcp);
	connection->tcp.data = connection;
	g_assert_cmpint(uv_accept(listener, (uv_stream_t *)&connection->tcp), ==, 0);
	uv_read_start((uv_stream_t *)&connection->tcp, provide_buffer, request_read);
}

static void set_up(struct server *server, const enum action *script)
{
	struct sockaddr_in address;
	int len = sizeof(address);

	*server = (struct server){ .script = script };
	g_assert_cmpint(uv_loop_init(&server->loop), ==, 0);
	uv_tcp_init(&server->loop, &server->listener);
	server->listener.data = server;
	uv_ip4_addr("127.0.0.1", 0, &address);
	g_assert_cmpint(uv_tcp_bind(&server->listener, (struct sockaddr *)&address, 0), ==, 0);
	g_assert_cmpint(uv_listen((uv_stream_t *)&server->listener, 8, accept_connection), ==, 0);
	uv_tcp_getsockname(&server->listener, (struct sockaddr *)&address, &len);
	snprintf(server->address, sizeof(server->address), "127.0.0.1:%d", ntohs(address.sin_port));
	server->calls = waxwing_http_calls_create(&server->loop, 4);
}

static void tear_down(struct server *server)
{
	waxwing_http_calls_destroy(server->calls);
	if (!uv_is_closing((uv_handle_t *)&server->listener))
		uv_close((uv_handle_t *)&server->listener, NULL);
	for (int i = 0; i < server->accepted; i++)
		if (!uv_is_closing((uv_handle_t *)&server->connections[i].tcp))
			uv_close((uv_handle_t *)&server->connections[i].tcp, NULL);
	uv_run(&server->loop, UV_RUN_DEFAULT);
	g_assert_cmpint(uv_loop_close(&server->loop), ==, 0);
}

static void call_done(void *data, const struct waxwing_http_call_result *result)
{
	struct server *server = data;

	server->result = *result;
	server->done = true;
	uv_stop(&server->loop);
}

static void run_call(struct server *server, bool idempotent, bool new_connection)
{
	struct waxwing_http_call_options options = {
		.method = "POST",
		.address = server->address,
		.target = "/",
		.body = waxwing_str("{}"),
		.idempotent = idempotent,
		.new_connection = new_connection,
		.connect_timeout_ms = TIMEOUT_MS,
		.timeout_ms = TIMEOUT_MS,
		.done = call_done,
		.data = server,
	};

	server->done = false;
	waxwing_http_calls_send(server->calls, &options);
	while (!server->done)
		uv_run(&server->loop, UV_RUN_DEFAULT);
}

/* Makes one call that is answered, so that its connection is idle afterwards. */
static void keep_connection(struct server *server)
{
	run_call(server, false, false);
	g_assert_cmpint(server->result.end, ==, WAXWING_HTTP_COMPLETE);
	g_assert_cmpint(server->accepted, ==, 1);
}

/*
 * Guards against a request that is carried out twice: libcurl sent a POST again by itself when the
 * server had closed the connection.
 */
static void test_sent_once(gconstpointer data)
{
	enum action script[] = { ACTION_ANSWER, GPOINTER_TO_INT(data), ACTION_ANSWER };
	struct server server;

	set_up(&server, script);
	keep_connection(&server);
	run_call(&server, false, false);
	g_assert_cmpint(server.result.end, ==, WAXWING_HTTP_CLOSED);
	g_assert_false(server.result.resent);
	g_assert_cmpint(server.requests, ==, 2);
	/* there was no attempt to send it again */
	g_assert_cmpint(server.accepted, ==, 1);
	run_call(&server, false, false);
	g_assert_cmpint(server.result.end, ==, WAXWING_HTTP_COMPLETE);
	g_assert_cmpint(server.accepted, ==, 2);
	tear_down(&server);
}

/*
 * With a second idle connection, the request is not sent again on that one either, and the next call
 * uses it.
 */
static void test_sent_once_of_two(void)
{
	static const enum action script[] = { ACTION_ANSWER, ACTION_ANSWER, ACTION_CLOSE,
					      ACTION_ANSWER };
	struct server server;

	set_up(&server, script);
	keep_connection(&server);
	run_call(&server, false, true);
	g_assert_cmpint(server.accepted, ==, 2);
	run_call(&server, false, false);
	g_assert_cmpint(server.result.end, ==, WAXWING_HTTP_CLOSED);
	g_assert_cmpint(server.requests, ==, 3);
	run_call(&server, false, false);
	g_assert_cmpint(server.result.end, ==, WAXWING_HTTP_COMPLETE);
	g_assert_cmpint(server.accepted, ==, 2);
	tear_down(&server);
}

/* An idempotent request is sent again on a new connection, and the result says so. */
static void test_resent(void)
{
	static const enum action script[] = { ACTION_ANSWER, ACTION_CLOSE, ACTION_REFUSE };
	struct server server;

	set_up(&server, script);
	keep_connection(&server);
	run_call(&server, true, false);
	g_assert_cmpint(server.result.end, ==, WAXWING_HTTP_COMPLETE);
	g_assert_cmpuint(server.result.status, ==, 503);
	g_assert_true(server.result.resent);
	g_assert_cmpint(server.requests, ==, 3);
	tear_down(&server);
}

/*
 * Guards against a call that is taken for one that never left: the request was sent, and the server
 * could not be reached when it was to be sent again.
 */
static void test_gone_before_resend(void)
{
	static const enum action script[] = { ACTION_ANSWER, ACTION_LEAVE };
	struct server server;

	set_up(&server, script);
	keep_connection(&server);
	run_call(&server, true, false);
	g_assert_cmpint(server.result.end, !=, WAXWING_HTTP_COMPLETE);
	g_assert_cmpint(server.result.end, !=, WAXWING_HTTP_UNREACHABLE);
	tear_down(&server);
}

/* A connection that was not idle before has failed, which a repetition need not mend. */
static void test_new_connection_closed(void)
{
	static const enum action script[] = { ACTION_CLOSE };
	struct server server;

	set_up(&server, script);
	run_call(&server, false, false);
	g_assert_cmpint(server.result.end, ==, WAXWING_HTTP_BROKEN);
	g_assert_cmpint(server.requests, ==, 1);
	tear_down(&server);
}

/* Idle connections are used again; a new one is opened only if the call asks for it. */
static void test_reuse(void)
{
	static const enum action script[] = { ACTION_ANSWER, ACTION_ANSWER, ACTION_ANSWER };
	struct server server;

	set_up(&server, script);
	keep_connection(&server);
	run_call(&server, false, false);
	g_assert_cmpint(server.accepted, ==, 1);
	run_call(&server, false, true);
	g_assert_cmpint(server.accepted, ==, 2);
	g_assert_false(server.result.resent);
	tear_down(&server);
}

static void test_unreachable(void)
{
	struct server server;

	set_up(&server, NULL);
	uv_close((uv_handle_t *)&server.listener, NULL);
	uv_run(&server.loop, UV_RUN_NOWAIT);
	run_call(&server, false, false);
	g_assert_cmpint(server.result.end, ==, WAXWING_HTTP_UNREACHABLE);
	tear_down(&server);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func("/http_reuse/sent_once/closed", GINT_TO_POINTER(ACTION_CLOSE),
			     test_sent_once);
	g_test_add_data_func("/http_reuse/sent_once/reset", GINT_TO_POINTER(ACTION_RESET),
			     test_sent_once);
	g_test_add_func("/http_reuse/sent_once/two_connections", test_sent_once_of_two);
	g_test_add_func("/http_reuse/resent", test_resent);
	g_test_add_func("/http_reuse/gone_before_resend", test_gone_before_resend);
	g_test_add_func("/http_reuse/new_connection_closed", test_new_connection_closed);
	g_test_add_func("/http_reuse/reuse", test_reuse);
	g_test_add_func("/http_reuse/unreachable", test_unreachable);
	return g_test_run();
}

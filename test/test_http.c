/*
 * Tests of the HTTP server on real sockets against hostile callers: malformed requests, slow
 * senders and readers, and too many connections.
 */
#include "core.h"
#include "http.h"
#include "log.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#define HTTP_PORT	 8101
#define PEER_PORT	 9101
#define MUTATIONS	 600
#define OPEN_CONNECTIONS 16
#define UNREAD_ANSWERS	 5000
#define STEP_US		 20000
#define MAX_STEPS	 3000
#define BODY_BYTES	 4096

struct http_fixture {
	char address[32];
	struct waxwing_core *core;
	struct waxwing_http *http;
};

static void ignore_drain(void *context)
{
	(void)context;
}

static void apply_settings(struct http_fixture *fixture, uint64_t revision)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct waxwing_settings *settings = waxwing_settings_parse(
		waxwing_str("{\"limits\":{\"json_depth\":8},\"branches\":{\"m\":{}}}"), revision,
		&error);

	g_assert_nonnull(settings);
	waxwing_core_set_settings(fixture->core, settings);
}

static void open_server(struct http_fixture *fixture, struct waxwing_http_options options)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct waxwing_core_options core = {
		.dispatcher = { .name = waxwing_str("one"), .domain = waxwing_str("d") },
		.sender_threads = 1,
		.max_answer_bytes = BODY_BYTES,
	};
	char *peer;

	g_snprintf(fixture->address, sizeof(fixture->address), "127.%d.%d.2",
		   1 + getpid() / 250 % 250, 1 + getpid() % 250);
	peer = g_strdup_printf("%s:%d", fixture->address, PEER_PORT);
	core.dispatcher.http_address = core.dispatcher.peer_address = waxwing_str(peer);
	core.dispatcher.incarnation = 7;
	core.peer_address = peer;
	fixture->core = waxwing_core_open(&core, &error);
	g_assert_nonnull(fixture->core);
	apply_settings(fixture, 1);
	options.core = fixture->core;
	options.address = fixture->address;
	options.port = HTTP_PORT;
	options.threads = options.threads ? options.threads : 2;
	options.max_body_bytes = BODY_BYTES;
	options.drain = ignore_drain;
	fixture->http = waxwing_http_open(&options, &error);
	g_assert_nonnull(fixture->http);
	g_free(peer);
}

static void close_server(struct http_fixture *fixture)
{
	waxwing_http_close(fixture->http);
	waxwing_core_close(fixture->core);
}

static int connect_to(const struct http_fixture *fixture)
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons(HTTP_PORT) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, fixture->address, &address.sin_addr);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)), ==, 0);
	return fd;
}

static bool send_all(int fd, const char *data, size_t len)
{
	return send(fd, data, len, MSG_NOSIGNAL) == (ssize_t)len;
}

/* Reads until the server closes the connection or the text contains @until, which may be null. */
static GString *read_answer(int fd, const char *until)
{
	GString *text = g_string_new(NULL);
	char buffer[4096];
	ssize_t got;

	while (!(until && strstr(text->str, until)) &&
	       (got = recv(fd, buffer, sizeof(buffer), 0)) > 0)
		g_string_append_len(text, buffer, got);
	return text;
}

/* Sends a request with "Connection: close"; returns the status, or 0 without an answer. */
static int send_request(const struct http_fixture *fixture, const char *text, size_t len)
{
	int fd = connect_to(fixture);
	GString *answer;
	int status = 0;

	send_all(fd, text, len);
	answer = read_answer(fd, NULL);
	if (g_str_has_prefix(answer->str, "HTTP/1.1 "))
		status = atoi(answer->str + strlen("HTTP/1.1 "));
	g_string_free(answer, TRUE);
	close(fd);
	return status;
}

static int request_status(const struct http_fixture *fixture, const char *first_line,
			  const char *headers, const char *body)
{
	char *text = g_strdup_printf("%s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n%s"
				     "Content-Length: %zu\r\n\r\n%s",
				     first_line, headers, strlen(body), body);
	int status = send_request(fixture, text, strlen(text));

	g_free(text);
	return status;
}

static void test_limits(void)
{
	struct http_fixture fixture;
	char *long_text = g_strnfill(64 * 1024, 'a');
	char *long_header = g_strdup_printf("X: %s\r\n", long_text);
	char *long_body = g_strnfill(BODY_BYTES + 1, ' ');
	char *deep_body = g_strdup_printf("{\"id\":%.*s", 20, "[[[[[[[[[[[[[[[[[[[[");

	open_server(&fixture, (struct waxwing_http_options){ 0 });
	g_assert_cmpint(request_status(&fixture, "GET /live", "", ""), ==, 200);
	g_assert_cmpint(request_status(&fixture, "GET /nowhere", "", ""), ==, 404);
	g_assert_cmpint(request_status(&fixture, "PUT /v1/jobs", "", "{}"), ==, 405);
	g_assert_cmpint(request_status(&fixture, "POST /v1/jobs", "", long_body), ==, 413);
	g_assert_cmpint(request_status(&fixture, "POST /v1/jobs", "", deep_body), ==, 400);
	g_assert_cmpint(request_status(&fixture, "POST /v1/jobs", "", ""), ==, 400);
	g_assert_cmpint(request_status(&fixture, "DELETE /v1/jobs", "", ""), ==, 400);
	g_assert_cmpint(request_status(&fixture, "DELETE /v1/jobs?id=%00%ff/../x", "", ""), ==,
			400);
	g_assert_cmpint(request_status(&fixture, "GET /live", long_header, ""), ==, 431);
	g_assert_cmpint(request_status(&fixture, "GET /live", "", ""), ==, 200);
	close_server(&fixture);
	g_free(long_text);
	g_free(long_header);
	g_free(long_body);
	g_free(deep_body);
}

static void test_pipelined(void)
{
	static const char request[] = "GET /live HTTP/1.1\r\nHost: x\r\n\r\n";
	static const char last_request[] =
		"GET /nowhere HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
	struct http_fixture fixture;
	GString *text = g_string_new(NULL);
	GString *answer;
	char **parts;
	int fd;

	open_server(&fixture, (struct waxwing_http_options){ 0 });
	for (int i = 0; i < 50; i++)
		g_string_append(text, request);
	g_string_append(text, last_request);
	fd = connect_to(&fixture);
	g_assert_true(send_all(fd, text->str, text->len));
	answer = read_answer(fd, NULL);
	parts = g_strsplit(answer->str, "HTTP/1.1 200 ", -1);
	g_assert_cmpuint(g_strv_length(parts), ==, 51);
	g_assert_nonnull(strstr(answer->str, "HTTP/1.1 404 "));
	g_strfreev(parts);
	g_string_free(answer, TRUE);
	g_string_free(text, TRUE);
	close(fd);
	close_server(&fixture);
}

/*
 * Sends @start, then @byte repeatedly without completing the request; returns true if the server
 * closes the connection.
 */
static bool send_endlessly(const struct http_fixture *fixture, const char *start, char byte)
{
	int fd = connect_to(fixture);
	char buffer[16];
	int steps;

	send_all(fd, start, strlen(start));
	for (steps = 0; steps < MAX_STEPS; steps++) {
		if (!send_all(fd, &byte, 1) || recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT) == 0)
			break;
		g_usleep(STEP_US);
	}
	close(fd);
	return steps < MAX_STEPS;
}

static bool wait_timed_out(const struct http_fixture *fixture, uint64_t count)
{
	struct waxwing_http_connections_stats stats;
	int steps = 0;

	do {
		waxwing_http_get_stats(fixture->http, &stats);
		g_usleep(STEP_US);
	} while (stats.timed_out < count && steps++ < MAX_STEPS);
	return stats.timed_out == count;
}

/* Requests more than the socket buffers hold and reads no answer; returns the open socket. */
static int request_without_reading(const struct http_fixture *fixture)
{
	static const char request[] = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
	int fd = connect_to(fixture);
	int sent = 0;

	while (sent++ < UNREAD_ANSWERS &&
	       send(fd, request, strlen(request), MSG_NOSIGNAL | MSG_DONTWAIT) > 0)
		continue;
	return fd;
}

static void test_slow_reader(void)
{
	struct http_fixture fixture;
	int fd;

	open_server(&fixture, (struct waxwing_http_options){ .idle_timeout_s = 600,
							     .transfer_timeout_s = 1 });
	fd = request_without_reading(&fixture);
	g_assert_true(wait_timed_out(&fixture, 1));
	g_assert_cmpint(request_status(&fixture, "GET /live", "", ""), ==, 200);
	close(fd);
	close_server(&fixture);
}

static void test_slow_sender(void)
{
	struct http_fixture fixture;
	struct waxwing_http_connections_stats stats;

	open_server(&fixture, (struct waxwing_http_options){ .idle_timeout_s = 600,
							     .transfer_timeout_s = 1 });
	g_assert_true(send_endlessly(&fixture, "GET /live HTTP/1.1\r\nX: ", 'a'));
	g_assert_true(send_endlessly(
		&fixture, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 4000\r\n\r\n",
		' '));
	waxwing_http_get_stats(fixture.http, &stats);
	g_assert_cmpuint(stats.timed_out, ==, 2);
	g_assert_cmpint(request_status(&fixture, "GET /live", "", ""), ==, 200);
	close_server(&fixture);
}

static void test_limit_per_address(void)
{
	static const char request[] = "GET /live HTTP/1.1\r\nHost: x\r\n\r\n";
	struct http_fixture fixture;
	struct waxwing_http_connections_stats stats;
	int fds[3];
	int steps = 0;

	open_server(&fixture, (struct waxwing_http_options){ .threads = 1,
							     .max_connections_per_address = 3 });
	for (int i = 0; i < 3; i++) {
		fds[i] = connect_to(&fixture);
		send_all(fds[i], request, strlen(request));
		g_string_free(read_answer(fds[i], "live\n"), TRUE);
	}
	g_assert_cmpint(request_status(&fixture, "GET /live", "", ""), ==, 0);
	waxwing_http_get_stats(fixture.http, &stats);
	g_assert_cmpuint(stats.rejected, ==, 1);
	close(fds[0]);
	while (request_status(&fixture, "GET /live", "", "") != 200 && steps++ < MAX_STEPS)
		g_usleep(STEP_US);
	g_assert_cmpint(steps, <, MAX_STEPS);
	close(fds[1]);
	close(fds[2]);
	close_server(&fixture);
}

static const char *const seed_requests[] = {
	"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 122\r\n\r\n"
	"{\"id\":\"one.0000000000000007.0/k\",\"caller\":\"c\",\"branch\":\"none\",\"deadline_ms\":50,"
	"\"tasks\":[{\"body\":\"a\"},{\"body\":\"\\u00e9\"}]}  ",
	"POST /v1/requests HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
	"40\r\n{\"id\":\"one.0000000000000007.0/r\",\"caller\":\"c\",\"branch\":\"none\"}    \r\n0\r\n\r\n",
	"DELETE /v1/jobs?id=one.0000000000000007.0%2Fk HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /v1/state HTTP/1.1\r\nHost: x\r\n\r\nGET /v1/window HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
};

static void mutate(GString *text)
{
	for (int i = g_test_rand_int_range(0, 4); i > 0 && text->len > 1; i--) {
		int at = g_test_rand_int_range(0, (int)text->len);
		int len = g_test_rand_int_range(1, MIN(16, (int)text->len - at) + 1);

		switch (g_test_rand_int_range(0, 4)) {
		case 0:
			text->str[at] = (char)g_test_rand_int_range(0, 256);
			break;
		case 1:
			g_string_erase(text, at, len);
			break;
		case 2:
			g_string_insert_len(text, at, text->str + at, len);
			break;
		default:
			g_string_truncate(text, (gsize)at + 1);
		}
	}
}

static int send_mutated(const struct http_fixture *fixture)
{
	GString *text =
		g_string_new(seed_requests[g_test_rand_int_range(0, G_N_ELEMENTS(seed_requests))]);
	int fd = connect_to(fixture);

	mutate(text);
	send_all(fd, text->str, text->len);
	if (g_test_rand_int_range(0, 2))
		shutdown(fd, SHUT_WR);
	g_string_free(text, TRUE);
	return fd;
}

/*
 * Sends mutated requests while the settings change, over connections that are closed at random.
 * Checks that the server stays available and that no request remains active.
 */
static void test_mutated(void)
{
	struct http_fixture fixture;
	int fds[OPEN_CONNECTIONS];
	int steps = 0;

	open_server(&fixture,
		    (struct waxwing_http_options){ .transfer_timeout_s = 1,
						   .max_connections_per_address = MUTATIONS });
	for (int i = 0; i < OPEN_CONNECTIONS; i++)
		fds[i] = connect_to(&fixture);
	for (uint64_t i = 0; i < MUTATIONS; i++) {
		int index = g_test_rand_int_range(0, OPEN_CONNECTIONS);

		apply_settings(&fixture, i + 2);
		close(fds[index]);
		fds[index] = send_mutated(&fixture);
	}
	g_assert_cmpint(request_status(&fixture, "GET /live", "", ""), ==, 200);
	for (int i = 0; i < OPEN_CONNECTIONS; i++) {
		g_string_free(read_answer(fds[i], NULL), TRUE);
		close(fds[i]);
	}
	while (waxwing_http_active_requests(fixture.http) && steps++ < MAX_STEPS)
		g_usleep(STEP_US);
	g_assert_cmpuint(waxwing_http_active_requests(fixture.http), ==, 0);
	close_server(&fixture);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	waxwing_log_set_level(WAXWING_LOG_ERROR);
	g_test_add_func("/http/limits", test_limits);
	g_test_add_func("/http/pipelined", test_pipelined);
	g_test_add_func("/http/slow", test_slow_sender);
	g_test_add_func("/http/unread", test_slow_reader);
	g_test_add_func("/http/crowd", test_limit_per_address);
	g_test_add_func("/http/mutated", test_mutated);
	return g_test_run();
}

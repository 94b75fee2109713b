#include "sender.h"
#include "standin/raw_server.h"
#include "standin/server.h"

#include <unistd.h>

#define ANSWER_BYTES 64
#define TIMEOUT_MS   20000
#define SHORT_MS     100
#define SEND_COUNT   64

/** A sender and the results that it reported. */
struct sender_fixture {
	struct waxwing_sender *sender;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	GQueue ends;
};

struct reported_end {
	uint64_t job;
	uint32_t task;
	enum waxwing_slot_outcome outcome;
	char *upstream;
	char *body;
};

static void ended(void *context, const struct waxwing_send_result *sent)
{
	struct sender_fixture *fixture = context;
	struct reported_end *end = g_new0(struct reported_end, 1);

	end->job = sent->job;
	end->task = sent->task;
	end->outcome = sent->outcome;
	end->upstream = waxwing_str_dup(sent->upstream);
	end->body = waxwing_str_dup(sent->body);
	pthread_mutex_lock(&fixture->lock);
	g_queue_push_tail(&fixture->ends, end);
	pthread_cond_signal(&fixture->changed);
	pthread_mutex_unlock(&fixture->lock);
}

static struct reported_end *wait_for_end(struct sender_fixture *fixture)
{
	struct reported_end *end;

	pthread_mutex_lock(&fixture->lock);
	while (!(end = g_queue_pop_head(&fixture->ends)))
		pthread_cond_wait(&fixture->changed, &fixture->lock);
	pthread_mutex_unlock(&fixture->lock);
	return end;
}

static void end_free(struct reported_end *end)
{
	g_free(end->upstream);
	g_free(end->body);
	g_free(end);
}

static void fixture_open(struct sender_fixture *fixture, uint32_t threads)
{
	struct waxwing_error error;
	struct waxwing_sender_options options = {
		.max_threads = threads,
		.max_answer_bytes = ANSWER_BYTES,
		.on_result = ended,
		.context = fixture,
	};

	pthread_mutex_init(&fixture->lock, NULL);
	pthread_cond_init(&fixture->changed, NULL);
	g_queue_init(&fixture->ends);
	fixture->sender = waxwing_sender_create(&options, &error);
	g_assert_nonnull(fixture->sender);
}

static void fixture_close(struct sender_fixture *fixture)
{
	waxwing_sender_destroy(fixture->sender);
	g_assert_cmpuint(fixture->ends.length, ==, 0);
	pthread_cond_destroy(&fixture->changed);
	pthread_mutex_destroy(&fixture->lock);
}

static void send_to(struct sender_fixture *fixture, const char *address, const char *id,
		    uint32_t task, const char *body, uint32_t timeout_ms)
{
	struct waxwing_send_request send = {
		.job = 7,
		.task = task,
		.id = waxwing_str(id),
		.upstream = waxwing_str("u1"),
		.address = waxwing_str(address),
		.body = waxwing_str(body),
		.timeout_ms = timeout_ms,
	};

	waxwing_sender_send(fixture->sender, &send);
}

static char *address_of(uint16_t port)
{
	return g_strdup_printf("127.0.0.1:%u", port);
}

/** Sends one task and checks its result. */
static void check_outcome(struct sender_fixture *fixture, uint16_t port, uint32_t timeout_ms,
			  enum waxwing_slot_outcome outcome, const char *body)
{
	char *address = address_of(port);
	struct reported_end *end;

	send_to(fixture, address, "w/k", 3, "work", timeout_ms);
	end = wait_for_end(fixture);
	g_assert_cmpint(end->outcome, ==, outcome);
	g_assert_cmpstr(end->body, ==, body);
	g_assert_cmpuint(end->job, ==, 7);
	g_assert_cmpuint(end->task, ==, 3);
	g_assert_cmpstr(end->upstream, ==, "u1");
	end_free(end);
	g_free(address);
}

struct answer_case {
	const char *answer;
	enum waxwing_slot_outcome outcome;
	const char *body;
};

static const struct answer_case answer_cases[] = {
	{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", WAXWING_SLOT_DONE, "ok" },
	{ "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", WAXWING_SLOT_DONE, "" },
	{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	  WAXWING_SLOT_DONE, "ok" },
	{ "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	  WAXWING_SLOT_DONE, "ok" },
	{ "HTTP/1.1 500 No\r\nContent-Length: 3\r\n\r\nbad", WAXWING_SLOT_FAILED, "bad" },
	{ "HTTP/1.1 302 No\r\nLocation: /task\r\nContent-Length: 0\r\n\r\n", WAXWING_SLOT_FAILED,
	  "" },
	{ "HTTP/1.1 401 No\r\nWWW-Authenticate: Basic realm=\"x\"\r\nContent-Length: 0\r\n\r\n",
	  WAXWING_SLOT_FAILED, "" },
	{ "HTTP/1.1 503 No\r\nWaxwing-Upstream: busy\r\nContent-Length: 4\r\n\r\nbusy",
	  WAXWING_SLOT_BUSY, "" },
	{ "HTTP/1.1 503 No\r\nWaxwing-Upstream: leaving\r\nContent-Length: 0\r\n\r\n",
	  WAXWING_SLOT_LEAVING, "" },
	{ "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", WAXWING_SLOT_FAILED, "" },
	{ "HTTP/1.1 503 No\r\nWaxwing-Upstream: odd\r\nContent-Length: 0\r\n\r\n",
	  WAXWING_SLOT_FAILED, "" },
	{ "HTTP/1.1 500 No\r\nWaxwing-Upstream: busy\r\nContent-Length: 0\r\n\r\n",
	  WAXWING_SLOT_FAILED, "" },
	/* incomplete answers, and answers that cannot be told apart from incomplete ones */
	{ "", WAXWING_SLOT_UNKNOWN, "" },
	{ "HTTP/1.1 200 OK\r\nContent-Le", WAXWING_SLOT_UNKNOWN, "" },
	{ "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", WAXWING_SLOT_UNKNOWN, "" },
	{ "HTTP/1.1 500 No\r\nContent-Length: 3\r\n\r\nno", WAXWING_SLOT_UNKNOWN, "" },
	{ "HTTP/1.1 503 No\r\nWaxwing-Upstream: busy\r\nContent-Length: 4\r\n\r\nbu",
	  WAXWING_SLOT_UNKNOWN, "" },
	{ "HTTP/1.1 200 OK\r\n\r\nok", WAXWING_SLOT_UNKNOWN, "" },
	{ "HTTP/1.0 200 OK\r\n\r\nok", WAXWING_SLOT_UNKNOWN, "" },
	{ "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nok", WAXWING_SLOT_UNKNOWN, "" },
	{ "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n", WAXWING_SLOT_UNKNOWN, "" },
	{ "HTTP/1.1 200 OK\r\nContent-Length: 2x\r\n\r\nok", WAXWING_SLOT_UNKNOWN, "" },
	{ "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok",
	  WAXWING_SLOT_UNKNOWN, "" },
	{ "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nok", WAXWING_SLOT_UNKNOWN, "" },
	{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", WAXWING_SLOT_UNKNOWN,
	  "" },
	{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n",
	  WAXWING_SLOT_UNKNOWN, "" },
	{ "HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n"
	  "0123456789012345678901234567890123456789012345678901234567890123x",
	  WAXWING_SLOT_UNKNOWN, "" },
	{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "41\r\n0123456789012345678901234567890123456789012345678901234567890123x\r\n0\r\n\r\n",
	  WAXWING_SLOT_UNKNOWN, "" },
	{ "220 mail.example SMTP\r\n", WAXWING_SLOT_UNKNOWN, "" },
};

static void test_answers(void)
{
	struct raw_server server;
	struct sender_fixture fixture;

	raw_server_start(&server);
	fixture_open(&fixture, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(answer_cases); i++) {
		const struct answer_case *item = &answer_cases[i];

		g_test_message("answer %zu: %s", i, item->answer);
		raw_server_set_answer(&server, item->answer, strlen(item->answer));
		check_outcome(&fixture, server.port, TIMEOUT_MS, item->outcome, item->body);
		g_assert_cmpuint(raw_server_request_count(&server), ==, i + 1);
	}
	fixture_close(&fixture);
	raw_server_stop(&server);
}

/** An answer truncated at any byte is UNKNOWN, never another outcome. */
static void test_truncated_answer(void)
{
	static const char complete[] = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
	struct raw_server server;
	struct sender_fixture fixture;

	raw_server_start(&server);
	fixture_open(&fixture, 1);
	for (size_t len = 0; len < strlen(complete); len++) {
		raw_server_set_answer(&server, complete, len);
		check_outcome(&fixture, server.port, TIMEOUT_MS, WAXWING_SLOT_UNKNOWN, "");
	}
	raw_server_set_answer(&server, complete, strlen(complete));
	check_outcome(&fixture, server.port, TIMEOUT_MS, WAXWING_SLOT_DONE, "whole");
	g_assert_cmpuint(raw_server_request_count(&server), ==, strlen(complete) + 1);
	fixture_close(&fixture);
	raw_server_stop(&server);
}

/**
 * Whatever bytes are returned, a task is sent once and has one result, and a truncated answer is
 * never accepted.
 */
static void test_mutated_answers(void)
{
	static const char complete[] = "HTTP/1.1 200 OK\r\nWaxwing-Upstream: busy\r\n"
				       "Content-Length: 5\r\n\r\nwhole";
	struct raw_server server;
	struct sender_fixture fixture;
	char *address;

	raw_server_start(&server);
	address = address_of(server.port);
	fixture_open(&fixture, 1);
	for (unsigned int round = 0; round < 300; round++) {
		char bytes[sizeof(complete)];
		size_t len = (size_t)g_test_rand_int_range(0, sizeof(complete));
		struct reported_end *end;

		memcpy(bytes, complete, sizeof(complete));
		for (int i = g_test_rand_int_range(1, 4); i > 0; i--)
			bytes[g_test_rand_int_range(0, sizeof(complete) - 1)] =
				(char)g_test_rand_int_range(0, 256);
		raw_server_set_answer(&server, bytes, len);
		send_to(&fixture, address, "w/k", 0, "work", TIMEOUT_MS);
		end = wait_for_end(&fixture);
		g_assert_true(end->outcome <= WAXWING_SLOT_UNKNOWN ||
			      end->outcome == WAXWING_SLOT_BUSY);
		g_assert_true(end->outcome == WAXWING_SLOT_UNKNOWN || len >= sizeof(complete) - 6);
		g_assert_cmpuint(raw_server_request_count(&server), ==, round + 1);
		end_free(end);
	}
	fixture_close(&fixture);
	raw_server_stop(&server);
	g_free(address);
}

static void test_unreachable(void)
{
	struct raw_server server;
	struct sender_fixture fixture;
	struct reported_end *end;

	raw_server_start(&server);
	raw_server_stop(&server);
	fixture_open(&fixture, 1);
	check_outcome(&fixture, server.port, TIMEOUT_MS, WAXWING_SLOT_UNREACHABLE, "");
	send_to(&fixture, "no address", "w/k", 0, "work", TIMEOUT_MS);
	end = wait_for_end(&fixture);
	g_assert_cmpint(end->outcome, ==, WAXWING_SLOT_UNREACHABLE);
	end_free(end);
	fixture_close(&fixture);
}

/** An upstream in this process; the body of a request chooses how it behaves. */
struct test_upstream {
	struct standin_server server;
	uint16_t port;
	unsigned int posts;
	GPtrArray *stops;
	char *last_name;
	bool injected;
	bool held; /**< Requests with the body "hold" wait until this is false. */
};

static void record_headers(struct test_upstream *upstream, struct server_request *request)
{
	g_free(upstream->last_name);
	upstream->last_name = g_strdup(MHD_lookup_connection_value(
		request->connection, MHD_HEADER_KIND, WAXWING_UPSTREAM_TASK_HEADER));
	if (MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND, "Injected"))
		upstream->injected = true;
}

static enum server_result upstream_post(struct test_upstream *upstream,
					struct server_request *request)
{
	const GByteArray *body = request->body;

	if (!request->state) {
		request->state = g_malloc(1);
		upstream->posts++;
		record_headers(upstream, request);
	}
	if (body->len == 5 && memcmp(body->data, "close", 5) == 0)
		return SERVER_CLOSE;
	if (body->len == 4 && memcmp(body->data, "hold", 4) == 0 && upstream->held) {
		request->wake_ms = INT64_MAX;
		return SERVER_WAIT;
	}
	return server_answer(request, MHD_HTTP_OK, (const char *)body->data, body->len, NULL, NULL);
}

static enum server_result upstream_handle(struct standin_server *server,
					  struct server_request *request)
{
	struct test_upstream *upstream = (struct test_upstream *)server;

	if (strcmp(request->method, "POST") == 0)
		return upstream_post(upstream, request);
	g_assert_cmpstr(request->method, ==, "DELETE");
	g_ptr_array_add(upstream->stops, g_strdup(server_query_argument(request, "id")));
	return server_answer_text(request, MHD_HTTP_OK, "stopping");
}

static void upstream_open(struct test_upstream *upstream)
{
	*upstream = (struct test_upstream){ .server = { .handle = upstream_handle }, .held = true };
	upstream->stops = g_ptr_array_new_with_free_func(g_free);
	upstream->port = server_start(&upstream->server, 0, SEND_COUNT);
	g_assert_cmpuint(upstream->port, !=, 0);
}

static void upstream_close(struct test_upstream *upstream)
{
	server_stop(&upstream->server);
	g_ptr_array_free(upstream->stops, TRUE);
	g_free(upstream->last_name);
}

static unsigned int upstream_posts(struct test_upstream *upstream)
{
	unsigned int posts;

	pthread_mutex_lock(&upstream->server.lock);
	posts = upstream->posts;
	pthread_mutex_unlock(&upstream->server.lock);
	return posts;
}

static void upstream_release(struct test_upstream *upstream)
{
	pthread_mutex_lock(&upstream->server.lock);
	upstream->held = false;
	server_wake(&upstream->server);
	pthread_mutex_unlock(&upstream->server.lock);
}

static void expect_outcome(struct sender_fixture *fixture, enum waxwing_slot_outcome outcome)
{
	struct reported_end *end = wait_for_end(fixture);

	g_assert_cmpint(end->outcome, ==, outcome);
	end_free(end);
}

/**
 * The upstream closes the connection after it has read a request. An HTTP library that reuses
 * connections and resends requests would start the task twice.
 */
static void test_close_after_request(void)
{
	struct test_upstream upstream;
	struct sender_fixture fixture;
	char *address;

	upstream_open(&upstream);
	address = address_of(upstream.port);
	fixture_open(&fixture, 1);
	for (unsigned int i = 0; i < 4; i++) {
		send_to(&fixture, address, "w/k", 2 * i, "fine", TIMEOUT_MS);
		expect_outcome(&fixture, WAXWING_SLOT_DONE);
		send_to(&fixture, address, "w/k", 2 * i + 1, "close", TIMEOUT_MS);
		expect_outcome(&fixture, WAXWING_SLOT_UNKNOWN);
		g_assert_cmpuint(upstream_posts(&upstream), ==, 2 * i + 2);
	}
	fixture_close(&fixture);
	upstream_close(&upstream);
	g_free(address);
}

static void test_timeout(void)
{
	struct test_upstream upstream;
	struct sender_fixture fixture;
	char *address;

	upstream_open(&upstream);
	address = address_of(upstream.port);
	fixture_open(&fixture, 1);
	send_to(&fixture, address, "w/k", 0, "hold", SHORT_MS);
	expect_outcome(&fixture, WAXWING_SLOT_UNKNOWN);
	g_assert_cmpuint(upstream_posts(&upstream), ==, 1);
	fixture_close(&fixture);
	upstream_close(&upstream);
	g_free(address);
}

/**
 * A complete answer is UNKNOWN if it comes after the timeout, even within the whole second that
 * neon waits.
 */
static void test_complete_but_late(void)
{
	struct test_upstream upstream;
	struct sender_fixture fixture;
	char *address;

	upstream_open(&upstream);
	address = address_of(upstream.port);
	fixture_open(&fixture, 1);
	send_to(&fixture, address, "w/k", 0, "hold", 1);
	while (upstream_posts(&upstream) == 0)
		g_usleep(1000);
	g_usleep(10 * 1000);
	upstream_release(&upstream);
	expect_outcome(&fixture, WAXWING_SLOT_UNKNOWN);
	fixture_close(&fixture);
	upstream_close(&upstream);
	g_free(address);
}

/** Concurrent sends have one result each, with the answer to their own body. */
static void test_concurrent_answers(void)
{
	struct test_upstream upstream;
	struct sender_fixture fixture;
	bool seen[SEND_COUNT] = { false };
	char *address;

	upstream_open(&upstream);
	address = address_of(upstream.port);
	fixture_open(&fixture, 8);
	for (uint32_t i = 0; i < SEND_COUNT; i++) {
		char body[32];

		g_snprintf(body, sizeof(body), "body of %u", i);
		send_to(&fixture, address, "w/k", i, body, TIMEOUT_MS);
	}
	for (uint32_t i = 0; i < SEND_COUNT; i++) {
		struct reported_end *end = wait_for_end(&fixture);
		char body[32];

		g_snprintf(body, sizeof(body), "body of %u", end->task);
		g_assert_cmpint(end->outcome, ==, WAXWING_SLOT_DONE);
		g_assert_cmpstr(end->body, ==, body);
		g_assert_false(seen[end->task]);
		seen[end->task] = true;
		end_free(end);
	}
	g_assert_cmpuint(upstream_posts(&upstream), ==, SEND_COUNT);
	fixture_close(&fixture);
	upstream_close(&upstream);
	g_free(address);
}

/** A caller's key cannot inject a header. */
static void test_task_name_escaped(void)
{
	struct test_upstream upstream;
	struct sender_fixture fixture;
	char *address;

	upstream_open(&upstream);
	address = address_of(upstream.port);
	fixture_open(&fixture, 1);
	send_to(&fixture, address, "w.1.2/a b\r\nInjected: 1%#", 12, "fine", TIMEOUT_MS);
	expect_outcome(&fixture, WAXWING_SLOT_DONE);
	g_assert_cmpstr(upstream.last_name, ==, "w.1.2/a%20b%0D%0AInjected:%201%25##12");
	g_assert_false(upstream.injected);
	fixture_close(&fixture);
	upstream_close(&upstream);
	g_free(address);
}

static guint stops_seen(struct test_upstream *upstream)
{
	guint seen;

	pthread_mutex_lock(&upstream->server.lock);
	seen = upstream->stops->len;
	pthread_mutex_unlock(&upstream->server.lock);
	return seen;
}

/** A stop request names its task, and is sent even if every sender thread is busy. */
static void test_stop(void)
{
	struct test_upstream upstream;
	struct sender_fixture fixture;
	char *address;

	upstream_open(&upstream);
	address = address_of(upstream.port);
	fixture_open(&fixture, 1);
	send_to(&fixture, address, "w/k", 5, "hold", TIMEOUT_MS);
	waxwing_sender_stop(fixture.sender, waxwing_str(address), waxwing_str("w/k"), 5);
	while (stops_seen(&upstream) == 0)
		g_usleep(1000);
	g_assert_cmpstr(g_ptr_array_index(upstream.stops, 0), ==, "w/k#5");
	upstream_release(&upstream);
	expect_outcome(&fixture, WAXWING_SLOT_DONE);
	fixture_close(&fixture);
	upstream_close(&upstream);
	g_free(address);
}

/** Destroying the sender waits for queued and running sends. */
static void test_destroy_waits(void)
{
	struct test_upstream upstream;
	struct sender_fixture fixture;
	char *address;

	upstream_open(&upstream);
	address = address_of(upstream.port);
	fixture_open(&fixture, 2);
	for (uint32_t i = 0; i < SEND_COUNT; i++)
		send_to(&fixture, address, "w/k", i, "fine", TIMEOUT_MS);
	waxwing_sender_destroy(fixture.sender);
	g_assert_cmpuint(fixture.ends.length, ==, SEND_COUNT);
	for (uint32_t i = 0; i < SEND_COUNT; i++)
		expect_outcome(&fixture, WAXWING_SLOT_DONE);
	upstream_close(&upstream);
	g_free(address);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sender/answers", test_answers);
	g_test_add_func("/sender/cut_anywhere", test_truncated_answer);
	g_test_add_func("/sender/mutated_answers", test_mutated_answers);
	g_test_add_func("/sender/unreachable", test_unreachable);
	g_test_add_func("/sender/closed_after_read", test_close_after_request);
	g_test_add_func("/sender/timeout", test_timeout);
	g_test_add_func("/sender/whole_but_late", test_complete_but_late);
	g_test_add_func("/sender/own_answers", test_concurrent_answers);
	g_test_add_func("/sender/name_is_escaped", test_task_name_escaped);
	g_test_add_func("/sender/stop", test_stop);
	g_test_add_func("/sender/destroy_waits", test_destroy_waits);
	return g_test_run();
}

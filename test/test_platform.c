#include "platform.h"
#include "standin/platform_server.h"
#include "standin/raw_server.h"

#define TIMEOUT_MS 20000
#define SHORT_MS   100
#define WATCH_MS   20000

struct platform_fixture {
	struct standin_platform server;
	struct waxwing_platform *client;
};

static struct waxwing_platform *client_create(uint16_t port, uint32_t timeout_ms)
{
	char *address = g_strdup_printf("127.0.0.1:%u", port);
	struct waxwing_platform_consul_options options = { .address = address,
							   .timeout_ms = timeout_ms };
	struct waxwing_error error;
	struct waxwing_platform *client = waxwing_platform_consul_create(&options, &error);

	g_assert_nonnull(client);
	g_free(address);
	return client;
}

static void fixture_open(struct platform_fixture *fixture)
{
	fixture->server = (struct standin_platform){ 0 };
	fixture->server.port = platform_start(&fixture->server, 0);
	g_assert_cmpuint(fixture->server.port, !=, 0);
	fixture->client = client_create(fixture->server.port, TIMEOUT_MS);
}

static void fixture_close(struct platform_fixture *fixture)
{
	fixture->client->ops->destroy(fixture->client);
	platform_stop(&fixture->server);
}

static enum waxwing_error_code put(struct waxwing_platform *client, const char *key,
				   uint64_t revision, const char *text)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	enum waxwing_error_code code =
		client->ops->put(client, key, revision, waxwing_str(text), &error);

	g_assert_cmpint(code, ==, error.code);
	return code;
}

/** Checks the value of a key (null: absent) and returns its revision. */
static uint64_t check_value(struct waxwing_platform *client, const char *key, const char *text)
{
	struct waxwing_platform_value value;
	struct waxwing_error error = WAXWING_ERROR_INIT;
	uint64_t revision;

	g_assert_cmpint(client->ops->get(client, key, &value, &error), ==, WAXWING_OK);
	revision = value.revision;
	g_assert_true((revision != 0) == (text != NULL));
	if (text)
		g_assert_cmpmem(value.data, value.len, text, strlen(text));
	waxwing_platform_value_clear(&value);
	return revision;
}

static void test_compare_and_swap(void)
{
	struct platform_fixture fixture;
	uint64_t first;
	uint64_t second;

	fixture_open(&fixture);
	g_assert_cmpuint(check_value(fixture.client, "a/b c", NULL), ==, 0);
	g_assert_cmpint(put(fixture.client, "a/b c", 5, "x"), ==, WAXWING_ERROR_CONFLICT);
	g_assert_cmpint(put(fixture.client, "a/b c", 0, "one"), ==, WAXWING_OK);
	first = check_value(fixture.client, "a/b c", "one");
	g_assert_cmpint(put(fixture.client, "a/b c", 0, "x"), ==, WAXWING_ERROR_CONFLICT);
	g_assert_cmpint(put(fixture.client, "a/b c", first, ""), ==, WAXWING_OK);
	second = check_value(fixture.client, "a/b c", "");
	g_assert_cmpuint(second, >, first);
	g_assert_cmpint(put(fixture.client, "a/b c", first, "x"), ==, WAXWING_ERROR_CONFLICT);
	g_assert_cmpuint(fixture.client->calls, ==, 8);
	g_assert_cmpuint(fixture.client->failures, ==, 0);
	fixture_close(&fixture);
}

/** Values of any bytes and length are read back unchanged. */
static void test_any_bytes(void)
{
	struct platform_fixture fixture;
	uint64_t revision = 0;

	fixture_open(&fixture);
	for (unsigned int round = 0; round < 50; round++) {
		size_t len = (size_t)g_test_rand_int_range(0, 3000);
		char *data = g_malloc(len + 1);
		struct waxwing_platform_value value;
		struct waxwing_error error;

		for (size_t i = 0; i < len; i++)
			data[i] = (char)g_test_rand_int_range(0, 256);
		g_assert_cmpint(fixture.client->ops->put(fixture.client, "k", revision,
							 (struct waxwing_str){ len, data }, &error),
				==, WAXWING_OK);
		g_assert_cmpint(fixture.client->ops->get(fixture.client, "k", &value, &error), ==,
				WAXWING_OK);
		g_assert_cmpmem(value.data, value.len, data, len);
		revision = value.revision;
		waxwing_platform_value_clear(&value);
		g_free(data);
	}
	fixture_close(&fixture);
}

static void test_value_limit(void)
{
	struct platform_fixture fixture;
	char *text = g_strnfill(WAXWING_PLATFORM_VALUE_BYTES + 1, 'x');

	fixture_open(&fixture);
	g_assert_cmpint(put(fixture.client, "k", 0, text), ==, WAXWING_ERROR_TOO_LARGE);
	g_assert_cmpuint(fixture.client->calls, ==, 0);
	text[WAXWING_PLATFORM_VALUE_BYTES] = '\0';
	g_assert_cmpint(put(fixture.client, "k", 0, text), ==, WAXWING_OK);
	check_value(fixture.client, "k", text);
	g_free(text);
	fixture_close(&fixture);
}

struct pending_watch {
	struct waxwing_platform *client;
	uint64_t revision;
	enum waxwing_error_code code;
	struct waxwing_platform_value value;
};

static void *watch_thread(void *context)
{
	struct pending_watch *pending = context;
	struct waxwing_error error;

	pending->code = pending->client->ops->watch(pending->client, "k", pending->revision,
						    WATCH_MS, &pending->value, &error);
	return NULL;
}

static void wait_for_watches(struct standin_platform *server, uint64_t count)
{
	uint64_t seen;

	do {
		g_usleep(1000);
		pthread_mutex_lock(&server->server.lock);
		seen = server->calls[CALL_WATCH];
		pthread_mutex_unlock(&server->server.lock);
	} while (seen < count);
}

/** A watch returns when a key is created or changed. */
static void test_watch(void)
{
	struct platform_fixture fixture;
	struct pending_watch pending = { 0 };

	fixture_open(&fixture);
	pending.client = fixture.client;
	for (uint64_t round = 0; round < 3; round++) {
		pthread_t thread;

		pthread_create(&thread, NULL, watch_thread, &pending);
		wait_for_watches(&fixture.server, round + 1);
		g_assert_cmpint(put(fixture.client, "k", pending.revision, "new"), ==, WAXWING_OK);
		pthread_join(thread, NULL);
		g_assert_cmpint(pending.code, ==, WAXWING_OK);
		g_assert_cmpuint(pending.value.revision, >, pending.revision);
		pending.revision = pending.value.revision;
		waxwing_platform_value_clear(&pending.value);
	}
	fixture_close(&fixture);
}

static void test_watch_without_change(void)
{
	struct platform_fixture fixture;
	struct waxwing_platform_value value;
	struct waxwing_error error;
	uint64_t revision;

	fixture_open(&fixture);
	put(fixture.client, "k", 0, "x");
	revision = check_value(fixture.client, "k", "x");
	g_assert_cmpint(
		fixture.client->ops->watch(fixture.client, "k", revision, SHORT_MS, &value, &error),
		==, WAXWING_ERROR_TIMEOUT);
	g_assert_cmpint(
		fixture.client->ops->watch(fixture.client, "none", 0, SHORT_MS, &value, &error), ==,
		WAXWING_ERROR_TIMEOUT);
	g_assert_null(value.data);
	fixture_close(&fixture);
}

/**
 * A watch whose connection the platform closes fails with PLATFORM_DOWN instead of reporting no
 * change.
 */
static void test_watch_in_outage(void)
{
	struct platform_fixture fixture;
	struct pending_watch pending = { 0 };
	pthread_t thread;

	fixture_open(&fixture);
	pending.client = fixture.client;
	pthread_create(&thread, NULL, watch_thread, &pending);
	wait_for_watches(&fixture.server, 1);
	pthread_mutex_lock(&fixture.server.server.lock);
	fixture.server.down = true;
	server_wake(&fixture.server.server);
	pthread_mutex_unlock(&fixture.server.server.lock);
	pthread_join(thread, NULL);
	g_assert_cmpint(pending.code, ==, WAXWING_ERROR_PLATFORM_DOWN);
	g_assert_cmpuint(fixture.client->failures, ==, 1);
	fixture_close(&fixture);
}

/** A write whose response is lost fails with TIMEOUT, which means that it may have taken effect. */
static void test_lost_response(void)
{
	struct platform_fixture fixture;

	fixture_open(&fixture);
	fixture.server.lose_answers = 1;
	g_assert_cmpint(put(fixture.client, "k", 0, "x"), ==, WAXWING_ERROR_TIMEOUT);
	check_value(fixture.client, "k", "x");
	g_assert_cmpuint(fixture.server.calls[CALL_PUT], ==, 1);
	fixture_close(&fixture);
}

static void test_down(void)
{
	struct platform_fixture fixture;
	struct waxwing_platform_value value;
	struct waxwing_platform_list list;
	struct waxwing_error error;
	struct waxwing_platform *client;

	fixture_open(&fixture);
	fixture.server.down = true;
	g_assert_cmpint(fixture.client->ops->get(fixture.client, "k", &value, &error), ==,
			WAXWING_ERROR_PLATFORM_DOWN);
	g_assert_cmpint(fixture.client->ops->list(fixture.client, "s", NULL, 0, 0, &list, &error),
			==, WAXWING_ERROR_PLATFORM_DOWN);
	client = client_create(fixture.server.port, TIMEOUT_MS);
	fixture_close(&fixture);
	g_assert_cmpint(put(client, "k", 0, "x"), ==, WAXWING_ERROR_PLATFORM_DOWN);
	g_assert_cmpuint(client->failures, ==, 1);
	client->ops->destroy(client);
}

static void test_unresponsive(void)
{
	struct platform_fixture fixture;
	struct waxwing_platform *client;
	struct waxwing_platform_value value;
	struct waxwing_error error;

	fixture_open(&fixture);
	fixture.server.slow_ms = TIMEOUT_MS;
	client = client_create(fixture.server.port, SHORT_MS);
	g_assert_cmpint(client->ops->get(client, "k", &value, &error), ==, WAXWING_ERROR_TIMEOUT);
	g_assert_cmpint(put(client, "k", 0, "x"), ==, WAXWING_ERROR_TIMEOUT);
	g_assert_cmpint(client->ops->watch(client, "k", 0, SHORT_MS, &value, &error), ==,
			WAXWING_ERROR_PLATFORM_DOWN);
	client->ops->destroy(client);
	fixture_close(&fixture);
}

/* Instance lists */

static void add_instance(struct standin_platform *server, const char *name, const char *state)
{
	struct platform_instance *instance = g_new0(struct platform_instance, 1);

	instance->service = g_strdup("upstream");
	instance->name = g_strdup(name);
	instance->address = g_strdup("127.0.0.1:7001");
	instance->peer = g_strdup("");
	instance->domain = g_strdup("can-tho");
	instance->state = g_strdup(state);
	instance->slots = 8;
	pthread_mutex_lock(&server->server.lock);
	instance_apply(server, instance);
	pthread_mutex_unlock(&server->server.lock);
}

static void test_list(void)
{
	struct platform_fixture fixture;
	struct waxwing_platform_list list;
	struct waxwing_error error;
	uint64_t index;

	fixture_open(&fixture);
	/* Without an index the list is returned at once. */
	g_assert_cmpint(fixture.client->ops->list(fixture.client, "upstream", NULL, 0, WATCH_MS,
						  &list, &error),
			==, WAXWING_OK);
	g_assert_cmpuint(fixture.server.calls[CALL_LIST_WATCH], ==, 0);
	g_assert_cmpuint(list.count, ==, 0);
	g_assert_cmpuint(list.index, >, 0);
	index = list.index;
	waxwing_platform_list_clear(&list);
	add_instance(&fixture.server, "u1", "live");
	add_instance(&fixture.server, "u2", "leaving");
	g_assert_cmpint(fixture.client->ops->list(fixture.client, "upstream", NULL, index, WATCH_MS,
						  &list, &error),
			==, WAXWING_OK);
	g_assert_cmpuint(list.index, >, index);
	g_assert_cmpuint(list.count, ==, 2);
	g_assert_cmpstr(list.items[0].name, ==, "u1");
	g_assert_cmpstr(list.items[0].address, ==, "127.0.0.1:7001");
	g_assert_cmpstr(list.items[0].peer_address, ==, "");
	g_assert_cmpstr(list.items[0].domain, ==, "can-tho");
	g_assert_cmpuint(list.items[0].slots, ==, 8);
	g_assert_false(list.items[0].leaving);
	g_assert_true(list.items[1].leaving);
	waxwing_platform_list_clear(&list);
	add_instance(&fixture.server, "u1", "gone");
	g_assert_cmpint(
		fixture.client->ops->list(fixture.client, "upstream", NULL, 0, 0, &list, &error),
		==, WAXWING_OK);
	g_assert_cmpuint(list.count, ==, 1);
	waxwing_platform_list_clear(&list);
	fixture_close(&fixture);
}

static size_t count_filtered(const struct platform_fixture *fixture, const char *filter)
{
	struct waxwing_platform_list list;
	struct waxwing_error error;
	size_t count;

	g_assert_cmpint(fixture->client->ops->list(fixture->client, "upstream", filter, 0, 0, &list,
						   &error),
			==, WAXWING_OK);
	count = list.count;
	waxwing_platform_list_clear(&list);
	return count;
}

/**
 * Filters by domain, datacenter and name; spaces and quotes in an expression are escaped correctly.
 */
static void test_filter(void)
{
	struct platform_fixture fixture;

	fixture_open(&fixture);
	add_instance(&fixture.server, "u 1", "live");
	add_instance(&fixture.server, "u2", "live");
	g_assert_cmpuint(count_filtered(&fixture, NULL), ==, 2);
	g_assert_cmpuint(count_filtered(&fixture, "Service.Meta.domain == \"can-tho\""), ==, 2);
	g_assert_cmpuint(count_filtered(&fixture, "Service.Meta.domain == \"an-giang\""), ==, 0);
	g_assert_cmpuint(count_filtered(&fixture, "Service.ID == \"u 1\""), ==, 1);
	g_assert_cmpuint(count_filtered(&fixture, "Service.Meta.domain == \"an-giang\" or "
						  "Node.Datacenter == \"dc1\""),
			 ==, 2);
	fixture_close(&fixture);
}

/* Invalid responses */

static void set_answer(struct raw_server *server, GString *answer, const char *body)
{
	g_string_printf(answer, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", strlen(body),
			body);
	raw_server_set_answer(server, answer->str, answer->len);
}

static const char *const bad_values[] = {
	"",
	"nonsense",
	"{}",
	"[]",
	"[1]",
	"[null]",
	"[{\"ModifyIndex\":3}]",
	"[{\"Value\":\"eA==\"}]",
	"[{\"Value\":\"eA==\",\"ModifyIndex\":0}]",
	"[{\"Value\":\"eA==\",\"ModifyIndex\":-4}]",
	"[{\"Value\":\"eA==\",\"ModifyIndex\":\"4\"}]",
	"[{\"Value\":7,\"ModifyIndex\":3}]",
	"[{\"Value\":\"eA\",\"ModifyIndex\":3}]",
	"[{\"Value\":\"e!==\",\"ModifyIndex\":3}]",
	"[{\"Value\":\"====\",\"ModifyIndex\":3}]",
	"[{\"Value\":\"eA==\",\"ModifyIndex\":3}",
	"[{\"Value\":\"eA==\",\"ModifyIndex\":3}] x",
	"[{\"Value\":\"eA==\",\"ModifyIndex\":3},{\"Value\":\"eA==\",\"ModifyIndex\":4}]",
	"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]",
};

static void test_malformed_values(void)
{
	struct raw_server server;
	GString *answer = g_string_new(NULL);
	struct waxwing_platform *client;

	raw_server_start(&server);
	client = client_create(server.port, TIMEOUT_MS);
	for (size_t i = 0; i < G_N_ELEMENTS(bad_values); i++) {
		struct waxwing_platform_value value;
		struct waxwing_error error = WAXWING_ERROR_INIT;

		g_test_message("value %s", bad_values[i]);
		set_answer(&server, answer, bad_values[i]);
		g_assert_cmpint(client->ops->get(client, "k", &value, &error), ==,
				WAXWING_ERROR_PLATFORM_ANSWER);
		g_assert_cmpstr(error.path, ==, "/v1/kv/k");
		g_assert_null(value.data);
	}
	set_answer(&server, answer, "[{\"Value\":null,\"ModifyIndex\":3}]\n");
	g_assert_cmpuint(check_value(client, "k", ""), ==, 3);
	/* A write whose response can't be parsed may have taken effect. */
	g_assert_cmpint(put(client, "k", 0, "x"), ==, WAXWING_ERROR_TIMEOUT);
	client->ops->destroy(client);
	raw_server_stop(&server);
	g_string_free(answer, TRUE);
}

static const char *const bad_lists[] = {
	"{}",
	"[1]",
	"[{}]",
	"[{\"Service\":{\"ID\":\"u\",\"Address\":\"host\",\"Port\":1}}]",
	"[{\"Service\":{\"ID\":\"u\",\"Address\":\"127.0.0.1\",\"Port\":0}}]",
	"[{\"Service\":{\"ID\":\"u\",\"Address\":\"127.0.0.1\",\"Port\":65536}}]",
	"[{\"Service\":{\"ID\":\"\",\"Address\":\"127.0.0.1\",\"Port\":1}}]",
};

static const char good_list[] =
	"[{\"Node\":{\"Address\":\"10.0.0.1\",\"Datacenter\":\"dc\"},\"Service\":{\"ID\":\"u\","
	"\"Address\":\"\",\"Port\":80,\"Meta\":{\"peer_port\":\"81\"}},"
	"\"Checks\":[{\"Status\":\"passing\"},{\"Status\":\"critical\"}]}]";

static void test_malformed_lists(void)
{
	struct raw_server server;
	GString *answer = g_string_new(NULL);
	struct waxwing_platform *client;
	struct waxwing_platform_list list;
	struct waxwing_error error;

	raw_server_start(&server);
	client = client_create(server.port, TIMEOUT_MS);
	for (size_t i = 0; i < G_N_ELEMENTS(bad_lists); i++) {
		g_test_message("list %s", bad_lists[i]);
		set_answer(&server, answer, bad_lists[i]);
		g_assert_cmpint(client->ops->list(client, "s", NULL, 0, 0, &list, &error), ==,
				WAXWING_ERROR_PLATFORM_ANSWER);
		g_assert_cmpuint(list.count, ==, 0);
	}
	set_answer(&server, answer, good_list);
	g_assert_cmpint(client->ops->list(client, "s", NULL, 0, 0, &list, &error), ==, WAXWING_OK);
	g_assert_cmpstr(list.items[0].address, ==, "10.0.0.1:80");
	g_assert_cmpstr(list.items[0].peer_address, ==, "10.0.0.1:81");
	g_assert_cmpstr(list.items[0].domain, ==, "dc");
	g_assert_true(list.items[0].leaving);
	waxwing_platform_list_clear(&list);
	client->ops->destroy(client);
	raw_server_stop(&server);
	g_string_free(answer, TRUE);
}

/** Changes a few random bytes, and may truncate the text or insert a copy of the original. */
static GString *mutate(const char *text)
{
	GString *copy = g_string_new(text);
	guint changes = (guint)g_test_rand_int_range(1, 5);

	for (guint i = 0; i < changes; i++)
		copy->str[g_test_rand_int_range(0, (gint32)copy->len)] =
			(char)g_test_rand_int_range(1, 256);
	if (g_test_rand_bit())
		g_string_truncate(copy, (gsize)g_test_rand_int_range(0, (gint32)copy->len));
	else if (g_test_rand_bit())
		g_string_insert(copy, g_test_rand_int_range(0, (gint32)copy->len), text);
	return copy;
}

/** Randomly mutated lists and values are either accepted completely or rejected without leaks. */
static void test_mutated(void)
{
	struct raw_server server;
	GString *answer = g_string_new(NULL);
	struct waxwing_platform *client;

	raw_server_start(&server);
	client = client_create(server.port, TIMEOUT_MS);
	for (unsigned int round = 0; round < 300; round++) {
		GString *list_text = mutate(good_list);
		GString *value_text = mutate("[{\"Value\":\"eA==\",\"ModifyIndex\":3}]");
		struct waxwing_platform_value value;
		struct waxwing_platform_list list;
		struct waxwing_error error;
		enum waxwing_error_code code;

		set_answer(&server, answer, list_text->str);
		code = client->ops->list(client, "s", NULL, 0, 0, &list, &error);
		g_assert_true(code == WAXWING_OK || code == WAXWING_ERROR_PLATFORM_ANSWER);
		g_assert_true(code == WAXWING_OK || list.count == 0);
		waxwing_platform_list_clear(&list);
		set_answer(&server, answer, value_text->str);
		code = client->ops->get(client, "k", &value, &error);
		g_assert_true(code == WAXWING_OK || code == WAXWING_ERROR_PLATFORM_ANSWER);
		g_assert_true((code == WAXWING_OK) == (value.revision != 0));
		waxwing_platform_value_clear(&value);
		g_string_free(list_text, TRUE);
		g_string_free(value_text, TRUE);
	}
	client->ops->destroy(client);
	raw_server_stop(&server);
	g_string_free(answer, TRUE);
}

struct status_case {
	const char *answer;
	enum waxwing_error_code get;
	enum waxwing_error_code put;
};

static const struct status_case status_cases[] = {
	{ "HTTP/1.1 403 No\r\nContent-Length: 0\r\n\r\n", WAXWING_ERROR_PLATFORM_ANSWER,
	  WAXWING_ERROR_PLATFORM_ANSWER },
	{ "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", WAXWING_ERROR_PLATFORM_DOWN,
	  WAXWING_ERROR_TIMEOUT },
	{ "HTTP/1.1 413 No\r\nContent-Length: 0\r\n\r\n", WAXWING_ERROR_PLATFORM_ANSWER,
	  WAXWING_ERROR_TOO_LARGE },
	{ "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntru", WAXWING_ERROR_PLATFORM_DOWN,
	  WAXWING_ERROR_TIMEOUT },
	{ "HTTP/1.1 200 OK\r\n\r\ntrue", WAXWING_ERROR_PLATFORM_DOWN, WAXWING_ERROR_TIMEOUT },
};

static void test_statuses(void)
{
	struct raw_server server;
	struct waxwing_platform *client;

	raw_server_start(&server);
	client = client_create(server.port, TIMEOUT_MS);
	for (size_t i = 0; i < G_N_ELEMENTS(status_cases); i++) {
		struct waxwing_platform_value value;
		struct waxwing_error error;

		g_test_message("answer %s", status_cases[i].answer);
		raw_server_set_answer(&server, status_cases[i].answer,
				      strlen(status_cases[i].answer));
		g_assert_cmpint(client->ops->get(client, "k", &value, &error), ==,
				status_cases[i].get);
		g_assert_cmpint(put(client, "k", 1, "x"), ==, status_cases[i].put);
		g_assert_cmpuint(raw_server_request_count(&server), ==, 2 * (i + 1));
	}
	client->ops->destroy(client);
	raw_server_stop(&server);
}

static void test_address(void)
{
	static const char *const bad[] = { "",	      "1.2.3.4",     "1.2.3.4:",     "1.2.3.4:0",
					   "host:80", "1.2.3:80",    "[::1:80",	     "::1:80",
					   ":80",     "1.2.3.4:-80", "1.2.3.4:99999" };

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		struct waxwing_platform_consul_options options = { .address = bad[i] };
		struct waxwing_error error;

		g_assert_null(waxwing_platform_consul_create(&options, &error));
		g_assert_cmpint(error.code, ==, WAXWING_ERROR_RANGE);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/platform/compare_and_swap", test_compare_and_swap);
	g_test_add_func("/platform/any_bytes", test_any_bytes);
	g_test_add_func("/platform/value_limit", test_value_limit);
	g_test_add_func("/platform/watch", test_watch);
	g_test_add_func("/platform/watch_without_change", test_watch_without_change);
	g_test_add_func("/platform/watch_in_outage", test_watch_in_outage);
	g_test_add_func("/platform/lost_answer", test_lost_response);
	g_test_add_func("/platform/down", test_down);
	g_test_add_func("/platform/silent", test_unresponsive);
	g_test_add_func("/platform/list", test_list);
	g_test_add_func("/platform/filter", test_filter);
	g_test_add_func("/platform/malformed_values", test_malformed_values);
	g_test_add_func("/platform/malformed_lists", test_malformed_lists);
	g_test_add_func("/platform/mutated", test_mutated);
	g_test_add_func("/platform/statuses", test_statuses);
	g_test_add_func("/platform/address", test_address);
	return g_test_run();
}

#include "binding.h"
#include "generated/api.pb-c.h"
#include "standin/server.h"
#include "waxwingswitch/client.h"

#define INSTANCES  2
#define ROUNDS	   150
#define TASKS	   2
#define TIMEOUT_MS 5000

/** How the fake instances handle a submission. */
enum behaviour {
	RUN, /**< run the job once and answer */
	RUN_AND_CLOSE, /**< run the job and close the connection without an answer */
	CLOSE, /**< close the connection without running the job */
	LEAVING, /**< refuse the job unless it ran before */
	NOT_READY, /**< refuse without knowing whether the job ran elsewhere */
	UNKNOWN, /**< answer that the outcome is unknown */
	WRONG_ID, /**< answer with the id of another job */
	PARTIAL, /**< run the job and leave out the last task in the answer */
	MALFORMED, /**< answer with truncated JSON */
	BEHAVIOURS
};

struct client_fixture {
	struct standin_server servers[INSTANCES];
	char *addresses[INSTANCES];
	pthread_mutex_t lock; /**< protects the fields below */
	GHashTable *ran; /**< set of the ids that ran */
	unsigned int started; /**< number of ids that ran since the last take_started() */
	unsigned int windows; /**< number of windows issued */
	int behaviour; /**< enum behaviour; BEHAVIOURS: a random one for each submission */
};

static struct client_fixture fixture;

static char *print_answer(const char *id, const char *state, size_t tasks, const char *code)
{
	Waxwing__JobAnswer answer = WAXWING__JOB_ANSWER__INIT;
	Waxwing__Failure failure = WAXWING__FAILURE__INIT;
	Waxwing__TaskAnswer task_answers[TASKS] = { WAXWING__TASK_ANSWER__INIT,
						    WAXWING__TASK_ANSWER__INIT };
	Waxwing__TaskAnswer *task_pointers[TASKS] = { &task_answers[0], &task_answers[1] };
	char *text;

	task_answers[0].body = g_strdup_printf("%s 0", id);
	task_answers[1].body = g_strdup_printf("%s 1", id);
	failure.code = (char *)code;
	failure.message = "by the test";
	answer.id = (char *)id;
	answer.state = (char *)state;
	answer.n_tasks = tasks;
	answer.tasks = task_pointers;
	answer.failure = code ? &failure : NULL;
	text = waxwing_binding_print(&answer.base, false);
	g_free(task_answers[0].body);
	g_free(task_answers[1].body);
	return text;
}

static void run_once(const char *id)
{
	if (g_hash_table_add(fixture.ran, g_strdup(id)))
		fixture.started++;
}

/** Returns the text of the answer; null to close the connection. */
static char *respond(const char *id, enum behaviour behaviour)
{
	switch (behaviour) {
	case RUN:
		run_once(id);
		return print_answer(id, "complete", TASKS, NULL);
	case RUN_AND_CLOSE:
		run_once(id);
		return NULL;
	case LEAVING:
		if (g_hash_table_contains(fixture.ran, id))
			return print_answer(id, "complete", TASKS, NULL);
		return print_answer(id, "not_run", 0, "leaving");
	case NOT_READY:
		return print_answer("", "not_run", 0, "not_ready");
	case UNKNOWN:
		return print_answer(id, "unknown", 0, "outcome_unknown");
	case WRONG_ID:
		return print_answer("i.0000000000000001.1/other", "complete", TASKS, NULL);
	case PARTIAL:
		run_once(id);
		return print_answer(id, "complete", TASKS - 1, NULL);
	case MALFORMED:
		return g_strdup("{\"id\":");
	default:
		return NULL;
	}
}

static enum server_result answer_text(struct server_request *request, char *text)
{
	if (!text)
		return SERVER_CLOSE;
	server_answer_text(request, MHD_HTTP_OK, text);
	g_free(text);
	return SERVER_ANSWERED;
}

static enum server_result handle_post(struct server_request *request)
{
	struct waxwing_str text = { request->body->len, (const char *)request->body->data };
	ProtobufCMessage *message =
		waxwing_binding_parse(&waxwing__job_request__descriptor, text, NULL, NULL);
	int behaviour = fixture.behaviour == BEHAVIOURS ? g_test_rand_int_range(0, BEHAVIOURS) :
							  fixture.behaviour;
	char *answer;

	g_assert_nonnull(message);
	answer = respond(((Waxwing__JobRequest *)message)->id, (enum behaviour)behaviour);
	protobuf_c_message_free_unpacked(message, NULL);
	return answer_text(request, answer);
}

static enum server_result handle(struct standin_server *server, struct server_request *request)
{
	enum server_result result;

	(void)server;
	pthread_mutex_lock(&fixture.lock);
	if (strcmp(request->path, "/v1/window") == 0)
		result = answer_text(
			request, g_strdup_printf("{\"window\":\"i.%016x.1\"}", ++fixture.windows));
	else
		result = handle_post(request);
	pthread_mutex_unlock(&fixture.lock);
	return result;
}

static void fixture_open(int behaviour)
{
	fixture = (struct client_fixture){ .behaviour = behaviour };
	pthread_mutex_init(&fixture.lock, NULL);
	fixture.ran = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (int i = 0; i < INSTANCES; i++) {
		uint16_t port;

		fixture.servers[i].handle = handle;
		port = server_start(&fixture.servers[i], 0, 64);
		g_assert_cmpuint(port, !=, 0);
		fixture.addresses[i] = g_strdup_printf("127.0.0.1:%u", port);
	}
}

static void fixture_close(void)
{
	for (int i = 0; i < INSTANCES; i++) {
		server_stop(&fixture.servers[i]);
		g_free(fixture.addresses[i]);
	}
	g_hash_table_destroy(fixture.ran);
	pthread_mutex_destroy(&fixture.lock);
}

static void set_behaviour(int behaviour)
{
	pthread_mutex_lock(&fixture.lock);
	fixture.behaviour = behaviour;
	pthread_mutex_unlock(&fixture.lock);
}

/** Returns and resets the number of ids that ran. */
static unsigned int take_started(void)
{
	unsigned int started;

	pthread_mutex_lock(&fixture.lock);
	started = fixture.started;
	fixture.started = 0;
	pthread_mutex_unlock(&fixture.lock);
	return started;
}

static bool has_run(const char *id)
{
	bool ran;

	pthread_mutex_lock(&fixture.lock);
	ran = g_hash_table_contains(fixture.ran, id);
	pthread_mutex_unlock(&fixture.lock);
	return ran;
}

static struct waxwing_client *client_open(void)
{
	struct waxwing_client_options options = {
		.instances = (const char *const *)fixture.addresses,
		.instance_count = INSTANCES,
		.caller = "crew 7",
		.timeout_ms = TIMEOUT_MS,
		.attempts = 4,
		.pause_ms = 1,
	};
	struct waxwing_client *client = waxwing_client_create(&options, NULL);

	g_assert_nonnull(client);
	return client;
}

static enum waxwing_error_code submit(struct waxwing_client *client, const char *id,
				      struct waxwing_client_answer *answer)
{
	static const struct waxwing_client_task tasks[TASKS] = { { "rice", 4, 0 },
								 { "broth", 5, 20 } };
	struct waxwing_client_job job = {
		.id = id, .branch = "meals", .tasks = tasks, .task_count = TASKS
	};

	return waxwing_client_submit(client, &job, answer);
}

static void check_answer(const struct waxwing_client_answer *answer, bool ran_before)
{
	unsigned int started = take_started();

	g_assert_cmpuint(started, <=, 1);
	g_assert_cmpuint(answer->calls, <=, 4);
	g_assert_cmpint(answer->state == WAXWING_CLIENT_COMPLETE, ==,
			answer->error.code == WAXWING_OK);
	if (answer->state == WAXWING_CLIENT_NOT_RUN)
		g_assert_false(ran_before || started);
	if (answer->state != WAXWING_CLIENT_COMPLETE) {
		g_assert_cmpuint(answer->task_count, ==, 0);
		return;
	}
	g_assert_true(ran_before || started == 1);
	g_assert_cmpuint(answer->task_count, ==, TASKS);
	for (size_t i = 0; i < TASKS; i++) {
		char *expected = g_strdup_printf("%s %zu", answer->id, i);

		g_assert_cmpstr(answer->tasks[i].body, ==, expected);
		g_assert_cmpuint(answer->tasks[i].body_len, ==, strlen(expected));
		g_free(expected);
	}
}

/**
 * With random behaviour of the instances, a job starts at most once, a complete answer has all
 * tasks, and a job reported as not run did not run.
 */
static void test_properties(void)
{
	struct waxwing_client_answer answer;
	struct waxwing_client *client;
	unsigned int states[4] = { 0 };

	fixture_open(BEHAVIOURS);
	client = client_open();
	for (int i = 0; i < ROUNDS; i++) {
		submit(client, NULL, &answer);
		check_answer(&answer, false);
		states[answer.state]++;
		if (answer.state == WAXWING_CLIENT_UNKNOWN) {
			char *id = g_strdup(answer.id);
			bool ran = has_run(id);

			submit(client, id, &answer);
			g_assert_cmpstr(answer.id, ==, id);
			check_answer(&answer, ran);
			g_free(id);
		}
		waxwing_client_answer_clear(&answer);
	}
	g_test_message("complete %u, failed %u, not run %u, unknown %u", states[0], states[1],
		       states[2], states[3]);
	g_assert_cmpuint(states[WAXWING_CLIENT_COMPLETE], >, 0);
	waxwing_client_destroy(client);
	fixture_close();
}

static void test_outcomes(void)
{
	static const struct {
		enum behaviour behaviour;
		enum waxwing_client_state state;
		enum waxwing_error_code code;
	} cases[] = {
		{ RUN, WAXWING_CLIENT_COMPLETE, WAXWING_OK },
		{ RUN_AND_CLOSE, WAXWING_CLIENT_UNKNOWN, WAXWING_ERROR_OUTCOME_UNKNOWN },
		{ LEAVING, WAXWING_CLIENT_NOT_RUN, WAXWING_ERROR_LEAVING },
		{ NOT_READY, WAXWING_CLIENT_NOT_RUN, WAXWING_ERROR_NOT_READY },
		{ PARTIAL, WAXWING_CLIENT_UNKNOWN, WAXWING_ERROR_OUTCOME_UNKNOWN },
		{ WRONG_ID, WAXWING_CLIENT_UNKNOWN, WAXWING_ERROR_OUTCOME_UNKNOWN },
	};
	struct waxwing_client_answer answer;
	struct waxwing_client *client;

	fixture_open(RUN);
	client = client_open();
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		set_behaviour((int)cases[i].behaviour);
		g_assert_cmpint(submit(client, NULL, &answer), ==, cases[i].code);
		g_assert_cmpint(answer.state, ==, cases[i].state);
		check_answer(&answer, false);
		waxwing_client_answer_clear(&answer);
	}
	waxwing_client_destroy(client);
	fixture_close();
}

/**
 * Without a reachable instance, a job is reported as not run under a new id, and as unknown under
 * an id that the caller set, which may have been submitted before.
 */
static void test_unreachable(void)
{
	struct waxwing_client_answer answer;
	struct waxwing_client *client;
	char id[WAXWING_CLIENT_ID_BYTES];
	struct waxwing_error error;

	fixture_open(RUN);
	client = client_open();
	g_assert_cmpint(waxwing_client_new_id(client, id, &error), ==, WAXWING_OK);
	fixture_close();
	g_assert_cmpint(submit(client, NULL, &answer), ==, WAXWING_ERROR_UNREACHABLE);
	g_assert_cmpint(answer.state, ==, WAXWING_CLIENT_NOT_RUN);
	g_assert_cmpint(submit(client, id, &answer), ==, WAXWING_ERROR_UNREACHABLE);
	g_assert_cmpint(answer.state, ==, WAXWING_CLIENT_UNKNOWN);
	g_assert_cmpint(waxwing_client_refresh(client, &error), ==, WAXWING_ERROR_UNREACHABLE);
	waxwing_client_destroy(client);
}

static void test_bad_input(void)
{
	const char *const bad_address = "localhost:80";
	struct waxwing_client_options options = { .instances = &bad_address,
						  .instance_count = 1,
						  .caller = "crew 7" };
	struct waxwing_client_task task = { "a\0b", 3, 0 };
	struct waxwing_client_job job = { .branch = "meals", .tasks = &task, .task_count = 1 };
	const char *const address = "127.0.0.1:1";
	struct waxwing_client_answer answer;
	struct waxwing_client *client;
	struct waxwing_error error;

	g_assert_null(waxwing_client_create(&options, &error));
	g_assert_cmpint(error.code, ==, WAXWING_ERROR_RANGE);
	g_assert_cmpstr(error.path, ==, "instances[0]");
	options.instances = &address;
	client = waxwing_client_create(&options, &error);
	g_assert_cmpint(waxwing_client_submit(client, &job, &answer), ==, WAXWING_ERROR_TYPE);
	g_assert_cmpstr(answer.error.path, ==, "tasks[0].body");
	g_assert_cmpuint(answer.calls, ==, 0);
	job.task_count = 0;
	g_assert_cmpint(waxwing_client_submit(client, &job, &answer), ==, WAXWING_ERROR_MISSING);
	g_assert_cmpint(answer.state, ==, WAXWING_CLIENT_NOT_RUN);
	waxwing_client_destroy(client);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/client/outcomes", test_outcomes);
	g_test_add_func("/client/unreachable", test_unreachable);
	g_test_add_func("/client/bad_input", test_bad_input);
	g_test_add_func("/client/properties", test_properties);
	return g_test_run();
}

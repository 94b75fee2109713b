/**
 * Stand-in of an upstream with a number of slots, which logs every start and end of a task.
 *
 * POST /task runs a task. Words of its body control it: "sleep=MS", "fail=1", "size=BYTES" of the
 * response, "close=after-read" and "close=mid-answer"; the body is echoed in the response. DELETE
 * /task?id=ID stops a task, GET /health returns the state, PUT
 * /control?mode=live|leaving|fail&slow=FACTOR sets the mode and multiplies each sleep by FACTOR.
 */
#include "server.h"
#include "sender.h"

#include <argp.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdlib.h>
#include <unistd.h>

#define MS_PER_S	 1000
#define DRAIN_TIMEOUT_S	 5
#define MAX_ANSWER_BYTES (64U * 1024 * 1024)
#define POLL_INTERVAL_US 10000

/** How a task ends, as logged. */
enum task_end {
	TASK_DONE,
	TASK_FAILED,
	TASK_STOPPED,
	TASK_CLOSED, /**< connection closed without a response */
	TASK_TRUNCATED, /**< connection closed in the middle of the response */
	TASK_DISCONNECTED /**< the sender closed the connection first */
};

static const char *const end_names[] = { "done", "failed", "stopped", "closed", "cut", "unheard" };

/** A running task; server_request.state of its request. */
struct standin_task {
	char id[512];
	int64_t start_ms;
	int64_t end_ms;
	enum task_end end;
	size_t size; /**< bytes to pad or truncate the response to; 0: neither */
};

enum upstream_mode { MODE_LIVE, MODE_LEAVING, MODE_FAIL };

static const char *const mode_names[] = { "live", "leaving", "fail" };

struct standin_upstream {
	struct standin_server server; /**< must be first */
	const char *name;
	unsigned int slots;
	unsigned int max_connections;
	uint16_t port;
	double speed; /**< divides each sleep */
	double slowdown; /**< multiplies each sleep */
	const char *log_path;
	int log_fd; /**< -1: none */
	enum upstream_mode mode;
	GHashTable *running; /**< set of struct server_request, with a standin_task as state */
};

static void log_line(struct standin_upstream *upstream, const char *event, const char *id,
		     const char *detail)
{
	char *line = g_strdup_printf("%s %s%s%s\n", event, id, *detail ? " " : "", detail);

	if (upstream->log_fd >= 0 && write(upstream->log_fd, line, strlen(line)) < 0)
		perror("log");
	g_free(line);
}

/** Logs the end of a task with the start and end time of its run. */
static void log_end(struct standin_upstream *upstream, const struct standin_task *task,
		    enum task_end end)
{
	char *detail = g_strdup_printf("%s %" PRId64 " %" PRId64, end_names[end], task->start_ms,
				       server_now());

	log_line(upstream, "end", task->id, detail);
	g_free(detail);
}

static double word_number(const char *word, const char *key, double fallback)
{
	size_t len = strlen(key);

	return strncmp(word, key, len) == 0 ? g_ascii_strtod(word + len, NULL) : fallback;
}

/** Parses the words of a body; sets @sleep_ms to the run time before scaling. */
static void task_parse(struct standin_task *task, const GByteArray *body, double *sleep_ms)
{
	char *text = g_strndup(body->data ? (const char *)body->data : "", body->len);
	char **words = g_strsplit_set(text, " \n", -1);

	for (char **word = words; *word; word++) {
		*sleep_ms = word_number(*word, "sleep=", *sleep_ms);
		task->size = (size_t)word_number(*word, "size=", (double)task->size);
		if (strcmp(*word, "fail=1") == 0)
			task->end = TASK_FAILED;
		else if (strcmp(*word, "close=after-read") == 0)
			task->end = TASK_CLOSED;
		else if (strcmp(*word, "close=mid-answer") == 0)
			task->end = TASK_TRUNCATED;
	}
	task->size = MIN(task->size, MAX_ANSWER_BYTES);
	g_strfreev(words);
	g_free(text);
}

/** Sends half of the response, then closes the connection. */
static ssize_t read_half(void *context, uint64_t pos, char *buf, size_t max)
{
	GString *answer = context;
	size_t half = answer->len / 2;

	if (pos >= half)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	max = MIN(max, half - pos);
	memcpy(buf, answer->str + pos, max);
	return (ssize_t)max;
}

static void free_string(void *context)
{
	g_string_free(context, TRUE);
}

static enum server_result answer_half(struct server_request *request, GString *answer)
{
	struct MHD_Response *response = MHD_create_response_from_callback(
		answer->len, 1024, read_half, answer, free_string);

	MHD_queue_response(request->connection, MHD_HTTP_OK, response);
	MHD_destroy_response(response);
	return SERVER_ANSWERED;
}

static GString *task_answer(const struct standin_task *task, const GByteArray *body)
{
	GString *answer = g_string_new(task->end == TASK_FAILED ? "failed " : "ran ");

	g_string_append_len(answer, (const char *)body->data, body->len);
	if (task->size) {
		size_t len = answer->len;

		g_string_set_size(answer, task->size);
		if (task->size > len)
			memset(answer->str + len, '.', task->size - len);
	}
	return answer;
}

static enum server_result task_finish(struct standin_upstream *upstream,
				      struct server_request *request, struct standin_task *task)
{
	enum server_result result = SERVER_CLOSE;
	GString *answer;

	g_hash_table_remove(upstream->running, request);
	log_end(upstream, task, task->end);
	if (task->end == TASK_CLOSED)
		return SERVER_CLOSE;
	if (task->end == TASK_STOPPED)
		return server_answer_text(request, MHD_HTTP_INTERNAL_SERVER_ERROR, "stopped");
	answer = task_answer(task, request->body);
	if (task->end == TASK_TRUNCATED)
		return answer_half(request, answer);
	result = server_answer(
		request, task->end == TASK_DONE ? MHD_HTTP_OK : MHD_HTTP_INTERNAL_SERVER_ERROR,
		answer->str, answer->len, NULL, NULL);
	g_string_free(answer, TRUE);
	return result;
}

static enum server_result refuse_task(struct server_request *request, const char *state)
{
	return server_answer(request, MHD_HTTP_SERVICE_UNAVAILABLE, state, strlen(state),
			     WAXWING_UPSTREAM_STATE_HEADER, state);
}

static enum server_result task_start(struct standin_upstream *upstream,
				     struct server_request *request)
{
	const char *id = MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND,
						     WAXWING_UPSTREAM_TASK_HEADER);
	struct standin_task *task;
	double sleep_ms = 0;

	if (!id || strlen(id) >= sizeof(task->id))
		return server_answer_text(request, MHD_HTTP_BAD_REQUEST, "no task");
	if (upstream->mode == MODE_LEAVING)
		return refuse_task(request, "leaving");
	if (g_hash_table_size(upstream->running) >= upstream->slots)
		return refuse_task(request, "busy");
	task = g_new0(struct standin_task, 1);
	request->state = task;
	g_strlcpy(task->id, id, sizeof(task->id));
	task->end = upstream->mode == MODE_FAIL ? TASK_FAILED : TASK_DONE;
	task_parse(task, request->body, &sleep_ms);
	log_line(upstream, "start", task->id, "");
	if (upstream->mode == MODE_FAIL)
		sleep_ms = 0;
	task->start_ms = server_now();
	task->end_ms = task->start_ms + (int64_t)(sleep_ms * upstream->slowdown / upstream->speed);
	g_hash_table_add(upstream->running, request);
	request->wake_ms = task->end_ms;
	return sleep_ms > 0 ? SERVER_WAIT : task_finish(upstream, request, task);
}

static enum server_result task_post(struct standin_upstream *upstream,
				    struct server_request *request)
{
	struct standin_task *task = request->state;

	if (!task)
		return task_start(upstream, request);
	if (task->end != TASK_STOPPED && server_now() < task->end_ms) {
		request->wake_ms = task->end_ms;
		return SERVER_WAIT;
	}
	return task_finish(upstream, request, task);
}

static enum server_result task_stop(struct standin_upstream *upstream,
				    struct server_request *request)
{
	const char *id = server_query_argument(request, "id");
	bool found = false;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, upstream->running);
	while (id && g_hash_table_iter_next(&iter, &key, NULL)) {
		struct standin_task *task = ((struct server_request *)key)->state;

		if (strcmp(task->id, id) != 0)
			continue;
		task->end = TASK_STOPPED;
		found = true;
	}
	if (!found)
		return server_answer_text(request, MHD_HTTP_NOT_FOUND, "not running");
	server_wake(&upstream->server);
	return server_answer_text(request, MHD_HTTP_OK, "stopping");
}

static enum server_result handle_health(struct standin_upstream *upstream,
					struct server_request *request)
{
	char *text = g_strdup_printf(
		"{\"name\":\"%s\",\"slots\":%u,\"running\":%u,\"state\":\"%s\"}\n", upstream->name,
		upstream->slots, g_hash_table_size(upstream->running), mode_names[upstream->mode]);
	enum server_result result = server_answer_text(request, MHD_HTTP_OK, text);

	g_free(text);
	return result;
}

static enum server_result handle_control(struct standin_upstream *upstream,
					 struct server_request *request)
{
	const char *mode = server_query_argument(request, "mode");
	const char *slowdown = server_query_argument(request, "slow");

	for (unsigned int i = 0; mode && i < G_N_ELEMENTS(mode_names); i++)
		if (strcmp(mode, mode_names[i]) == 0)
			upstream->mode = (enum upstream_mode)i;
	if (slowdown)
		upstream->slowdown = g_ascii_strtod(slowdown, NULL);
	return handle_health(upstream, request);
}

static enum server_result handle(struct standin_server *server, struct server_request *request)
{
	struct standin_upstream *upstream = (struct standin_upstream *)server;
	bool task = strcmp(request->path, WAXWING_UPSTREAM_TASK_PATH) == 0;

	if (task && strcmp(request->method, "POST") == 0)
		return task_post(upstream, request);
	if (task && strcmp(request->method, "DELETE") == 0)
		return task_stop(upstream, request);
	if (strcmp(request->path, "/health") == 0)
		return handle_health(upstream, request);
	if (strcmp(request->path, "/control") == 0)
		return handle_control(upstream, request);
	return server_answer_text(request, MHD_HTTP_NOT_FOUND, "no such path");
}

/** Ends the task if the sender's connection was closed while it ran. */
static void request_completed(struct standin_server *server, struct server_request *request)
{
	struct standin_upstream *upstream = (struct standin_upstream *)server;

	if (!g_hash_table_remove(upstream->running, request))
		return;
	log_end(upstream, request->state, TASK_DISCONNECTED);
}

/** Refuses new tasks from now on; returns true if no task is running. */
static bool stop_accepting(struct standin_upstream *upstream)
{
	bool idle;

	pthread_mutex_lock(&upstream->server.lock);
	upstream->mode = MODE_LEAVING;
	idle = g_hash_table_size(upstream->running) == 0;
	pthread_mutex_unlock(&upstream->server.lock);
	return idle;
}

/** Refuses new tasks and waits for running ones, for DRAIN_TIMEOUT_S at most. */
static void drain(struct standin_upstream *upstream)
{
	int64_t until_ms = server_now() + (int64_t)DRAIN_TIMEOUT_S * MS_PER_S;

	while (!stop_accepting(upstream) && server_now() < until_ms)
		g_usleep(POLL_INTERVAL_US);
}

static const struct argp_option options[] = {
	{ "port", 'p', "PORT", 0, "port on 127.0.0.1 (0: any free port)", 0 },
	{ "name", 'n', "NAME", 0, "name in /health (upstream)", 0 },
	{ "slots", 's', "N", 0, "concurrent tasks (8)", 0 },
	{ "connections", 'c', "N", 0, "concurrent connections (60)", 0 },
	{ "speed", 'v', "FACTOR", 0, "divides each sleep (1.0)", 0 },
	{ "log", 'l', "FILE", 0, "file to append starts and ends to", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct standin_upstream *upstream = state->input;

	switch (key) {
	case 'p':
		upstream->port = (uint16_t)strtoul(arg, NULL, 10);
		return 0;
	case 'n':
		upstream->name = arg;
		return 0;
	case 's':
		upstream->slots = (unsigned int)strtoul(arg, NULL, 10);
		return 0;
	case 'c':
		upstream->max_connections = (unsigned int)strtoul(arg, NULL, 10);
		return 0;
	case 'v':
		upstream->speed = g_ascii_strtod(arg, NULL);
		return 0;
	case 'l':
		upstream->log_path = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	options, parse_option, NULL, "Stand-in of an upstream, for tests.", NULL, NULL, NULL
};

int main(int argc, char **argv)
{
	struct standin_upstream upstream = { .server = { .handle = handle,
							 .completed = request_completed },
					     .name = "upstream",
					     .slots = 8,
					     .max_connections = 60,
					     .speed = 1,
					     .slowdown = 1,
					     .log_fd = -1 };
	sigset_t signals;

	argp_parse(&argp, argc, argv, 0, NULL, &upstream);
	server_block_signals(&signals);
	upstream.running = g_hash_table_new(NULL, NULL);
	if (upstream.log_path)
		upstream.log_fd =
			open(upstream.log_path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
	upstream.port = server_start(&upstream.server, upstream.port, upstream.max_connections);
	if (!upstream.port) {
		perror("standin-upstream: bind");
		return EXIT_FAILURE;
	}
	printf("ready 127.0.0.1:%u\n", upstream.port);
	fflush(stdout);
	server_await_signal(&signals);
	drain(&upstream);
	server_stop(&upstream.server);
	g_hash_table_destroy(upstream.running);
	return EXIT_SUCCESS;
}

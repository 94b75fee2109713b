/**
 * Stand-in of an executor, which runs tasks under a lease and checks the fencing token of each
 * command: /run-start, /run-stop and /hold, which extends the lease, acknowledges ends of runs and
 * waits for the next end. A task runs for MS if its Spec has "sleep=MS", and fails if it has
 * "fail=1". Each start, end and acknowledged end is logged with its time in ms, such as "start TASK
 * RUN @MS".
 */
#include "server.h"

#include "executor_http.h"
#include "json.h"

#include <argp.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdlib.h>
#include <unistd.h>

#define MAX_LEASE_MS	 1000
#define POLL_INTERVAL_MS 5

struct standin_run {
	struct waxwing_run_id run_id;
	char task[64];
	int64_t ends_ms; /* when the run ends if nothing ends it earlier */
	int64_t stops_ms; /* when a stop takes effect; 0: not stopped */
	bool fails;
};

struct standin_end {
	uint64_t sequence; /* 0: the stop came before the start; not listed */
	struct waxwing_run_id run_id;
	char task[64];
	const char *outcome;
	int64_t ended_ms;
};

struct standin_executor {
	struct standin_server server; /* must be first */
	const char *incarnation; /* compared with the X-Expected-Instance header */
	uint16_t port;
	int log_fd; /* -1: none */
	GArray *runs;
	GArray *ends;
	uint64_t last_sequence;
	uint64_t acked_upto; /* last sequence that the owner acknowledged */
	uint64_t fencing_token; /* highest received */
	int64_t lease_until_ms;
	int64_t lease_began_ms; /* start of the current lease; a renewal does not change it */
};

static void log_line(struct standin_executor *executor, const char *event, const char *task,
		     uint32_t run, const char *outcome)
{
	char *line = g_strdup_printf("%s %s %u%s%s @%" PRId64 "\n", event, task, run,
				     *outcome ? " " : "", outcome, server_now());

	if (executor->log_fd >= 0 && write(executor->log_fd, line, strlen(line)) < 0)
		perror("log");
	g_free(line);
}

static void end_run(struct standin_executor *executor, guint index, const char *outcome)
{
	struct standin_run run = g_array_index(executor->runs, struct standin_run, index);
	struct standin_end end = { ++executor->last_sequence, run.run_id, "", outcome,
				   server_now() };

	g_strlcpy(end.task, run.task, sizeof(end.task));
	g_array_remove_index_fast(executor->runs, index);
	g_array_append_val(executor->ends, end);
	log_line(executor, "end", end.task, end.run_id.run, outcome);
	server_wake(&executor->server);
}

static int64_t end_due_runs(struct standin_server *server, int64_t now_ms)
{
	struct standin_executor *executor = (struct standin_executor *)server;

	for (guint i = executor->runs->len; i-- > 0;) {
		const struct standin_run *run =
			&g_array_index(executor->runs, struct standin_run, i);

		if (now_ms >= executor->lease_until_ms)
			end_run(executor, i, "lapsed");
		else if (run->stops_ms && now_ms >= run->stops_ms)
			end_run(executor, i, "stopped");
		else if (now_ms >= run->ends_ms)
			end_run(executor, i, run->fails ? "failed" : "done");
	}
	return executor->runs->len ? now_ms + POLL_INTERVAL_MS : INT64_MAX;
}

static enum server_result reject(struct server_request *request, const char *reason)
{
	char text[96];

	g_snprintf(text, sizeof(text), "{\"ClockMs\":%" PRId64 ",\"Reason\":\"%s\"}", server_now(),
		   reason);
	return server_answer_text(request, 409, text);
}

static enum server_result accept_request(struct server_request *request)
{
	char text[64];

	g_snprintf(text, sizeof(text), "{\"ClockMs\":%" PRId64 "}", server_now());
	return server_answer_text(request, 200, text);
}

static bool same_task(const struct waxwing_run_id *a, const struct waxwing_run_id *b)
{
	return a->job == b->job && a->occurrence == b->occurrence && a->step == b->step &&
	       a->index == b->index;
}

/* Returns true if this run of the task or a later one has ended. */
static bool has_ended(const struct standin_executor *executor, const struct waxwing_run_id *run_id)
{
	for (guint i = 0; i < executor->ends->len; i++) {
		const struct standin_end *end =
			&g_array_index(executor->ends, struct standin_end, i);

		if (same_task(&end->run_id, run_id) && end->run_id.run >= run_id->run)
			return true;
	}
	return false;
}

static void extend_lease(struct standin_executor *executor, int64_t until_ms)
{
	if (server_now() >= executor->lease_until_ms)
		executor->lease_began_ms = server_now();
	until_ms = MIN(until_ms, server_now() + MAX_LEASE_MS);
	executor->lease_until_ms = MAX(executor->lease_until_ms, until_ms);
}

/* The number after @name in a Spec; 0 if absent. */
static int64_t spec_number(const char *spec, const char *name)
{
	const char *match = strstr(spec, name);

	return match ? g_ascii_strtoll(match + strlen(name), NULL, 10) : 0;
}

static enum server_result start_run(struct standin_executor *executor,
				    struct server_request *request, struct json_object *object,
				    const struct waxwing_run_id *run_id)
{
	const char *spec = json_get_string(object, "Spec");
	struct standin_run run = { .run_id = *run_id };

	if ((int64_t)json_get_u64_or_0(object, "UntilMs") <= server_now())
		return reject(request, "late");
	for (guint i = 0; i < executor->runs->len; i++)
		if (same_task(&g_array_index(executor->runs, struct standin_run, i).run_id, run_id))
			return accept_request(request);
	if (has_ended(executor, run_id))
		return reject(request, "old");
	extend_lease(executor, (int64_t)json_get_u64_or_0(object, "UntilMs"));
	g_strlcpy(run.task, json_get_string(object, "Task"), sizeof(run.task));
	run.ends_ms = server_now() + spec_number(spec ? spec : "", "sleep=");
	run.fails = spec_number(spec ? spec : "", "fail=") != 0;
	g_array_append_val(executor->runs, run);
	log_line(executor, "start", run.task, run.run_id.run, "");
	pthread_cond_signal(&executor->server.changed);
	return accept_request(request);
}

static enum server_result stop_run(struct standin_executor *executor,
				   struct server_request *request,
				   const struct waxwing_run_id *run_id)
{
	struct standin_end end = { .run_id = *run_id, .outcome = "stopped" };

	for (guint i = 0; i < executor->runs->len; i++) {
		struct standin_run *run = &g_array_index(executor->runs, struct standin_run, i);

		if (!same_task(&run->run_id, run_id))
			continue;
		run->stops_ms = server_now() + POLL_INTERVAL_MS;
		return accept_request(request);
	}
	g_array_append_val(executor->ends, end);
	return accept_request(request);
}

static GString *format_lists(const struct standin_executor *executor)
{
	GString *text = g_string_new(NULL);
	int rows = 0;

	g_string_printf(text, "{\"ClockMs\":%" PRId64 ",\"Running\":[", server_now());
	for (guint i = 0; i < executor->runs->len; i++) {
		const struct standin_run *run =
			&g_array_index(executor->runs, struct standin_run, i);

		g_string_append_printf(text, "%s[\"%s\",%u,\"\",0,0]", i ? "," : "", run->task,
				       run->run_id.run);
	}
	g_string_append(text, "],\"Ended\":[");
	for (guint i = 0; i < executor->ends->len; i++) {
		const struct standin_end *end =
			&g_array_index(executor->ends, struct standin_end, i);

		if (end->sequence > executor->acked_upto)
			g_string_append_printf(text, "%s[%" PRIu64 ",\"%s\",%u,\"%s\",\"\"]",
					       rows++ ? "," : "", end->sequence, end->task,
					       end->run_id.run, end->outcome);
	}
	g_string_append(text, "]}");
	return text;
}

static void acknowledge_ends(struct standin_executor *executor, uint64_t upto)
{
	for (guint i = 0; i < executor->ends->len; i++) {
		const struct standin_end *end =
			&g_array_index(executor->ends, struct standin_end, i);

		/* No "noted" line is logged for runs that ended before the current lease began. */
		if (end->sequence > executor->acked_upto && end->sequence <= upto &&
		    end->ended_ms > executor->lease_began_ms)
			log_line(executor, "noted", end->task, end->run_id.run, end->outcome);
	}
	executor->acked_upto = MAX(executor->acked_upto, upto);
}

/* request->state is the time until which the request waits for a run to end. */
static enum server_result handle_hold(struct standin_executor *executor,
				      struct server_request *request, struct json_object *object)
{
	int64_t *until_ms = request->state;
	GString *text;

	if (!until_ms) {
		until_ms = g_new0(int64_t, 1);
		*until_ms = server_now() + (int64_t)json_get_u64_or_0(object, "WaitMs");
		request->state = until_ms;
		extend_lease(executor, (int64_t)json_get_u64_or_0(object, "UntilMs"));
		acknowledge_ends(executor, MIN(json_get_u64_or_0(object, "AckedUpto"),
					       executor->last_sequence));
	}
	if (executor->last_sequence <= executor->acked_upto && server_now() < *until_ms) {
		request->wake_ms = *until_ms;
		return SERVER_WAIT;
	}
	text = format_lists(executor);
	server_answer(request, 200, text->str, text->len, "Content-Type", "application/json");
	g_string_free(text, TRUE);
	return SERVER_ANSWERED;
}

static enum server_result handle_command(struct standin_executor *executor,
					 struct server_request *request, struct json_object *object)
{
	const char *task = json_get_string(object, "Task");
	struct waxwing_run_id run_id = { 0 };
	uint64_t fencing_token = json_get_u64_or_0(object, "FencingToken");

	if (fencing_token < executor->fencing_token)
		return reject(request, "fence");
	executor->fencing_token = fencing_token;
	if (strcmp(request->path, "/hold") == 0)
		return handle_hold(executor, request, object);
	if (!task || !task_name_parse(task, &run_id))
		return server_answer_text(request, 400, "{}");
	run_id.run = (uint32_t)json_get_u64_or_0(object, "Run");
	if (strcmp(request->path, "/run-start") == 0)
		return start_run(executor, request, object, &run_id);
	if (strcmp(request->path, "/run-stop") == 0)
		return stop_run(executor, request, &run_id);
	return server_answer_text(request, 404, "{}");
}

static enum server_result handle(struct standin_server *server, struct server_request *request)
{
	struct standin_executor *executor = (struct standin_executor *)server;
	const char *expected_incarnation = MHD_lookup_connection_value(
		request->connection, MHD_HEADER_KIND, "X-Expected-Instance");
	struct json_object *object;
	enum server_result result;

	if (expected_incarnation && strcmp(expected_incarnation, executor->incarnation) != 0)
		return server_answer_text(request, 421, "{}");
	object = json_parse(
		(struct waxwing_str){ request->body->len, (const char *)request->body->data });
	result = object ? handle_command(executor, request, object) :
			  server_answer_text(request, 400, "{}");
	json_object_put(object);
	return result;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct standin_executor *executor = state->input;

	switch (key) {
	case 'p':
		executor->port = (uint16_t)strtoul(arg, NULL, 10);
		return 0;
	case 'i':
		executor->incarnation = arg;
		return 0;
	case 'l':
		executor->log_fd = open(arg, O_WRONLY | O_CREAT | O_APPEND, 0644);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{ "port", 'p', "PORT", 0, "port on 127.0.0.1 (0: any free port)", 0 },
		{ "id", 'i', "ID", 0, "incarnation of this executor (i-1)", 0 },
		{ "log", 'l', "FILE", 0, "file to append starts and ends to", 0 },
		{ 0 },
	};
	static const struct argp argp = {
		options, parse_option, NULL, "Stand-in of an executor under leases, for tests.",
		NULL,	 NULL,	       NULL
	};
	struct standin_executor executor = {
		.server.handle = handle,
		.server.tick = end_due_runs,
		.incarnation = "i-1",
		.log_fd = -1,
	};
	sigset_t signals;

	argp_parse(&argp, argc, argv, 0, NULL, &executor);
	executor.runs = g_array_new(FALSE, FALSE, sizeof(struct standin_run));
	executor.ends = g_array_new(FALSE, FALSE, sizeof(struct standin_end));
	server_block_signals(&signals);
	executor.port = server_start(&executor.server, executor.port, 500);
	if (!executor.port) {
		perror("standin-executor: bind");
		return EXIT_FAILURE;
	}
	printf("ready 127.0.0.1:%u\n", executor.port);
	fflush(stdout);
	server_await_signal(&signals);
	server_stop(&executor.server);
	g_array_free(executor.runs, TRUE);
	g_array_free(executor.ends, TRUE);
	return EXIT_SUCCESS;
}

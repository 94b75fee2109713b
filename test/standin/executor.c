/**
 * Stand-in of the users' executors: tasks under leases and a fencing token, as /run-start, /run-stop and
 * /hold say. A task lasts as its Spec's "sleep=MS" says, and fails with "fail=1". Each start, end and
 * acknowledged end is a line of the log, with its time: "start TASK RUN @MS".
 */
#include "server.h"

#include "executor_http.h"
#include "json.h"

#include <argp.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdlib.h>
#include <unistd.h>

#define LEASE_MOST_MS 1000
#define POLL_MS	      5

struct run {
	struct waxwing_run_id name;
	char task[64];
	int64_t ends_ms;
	int64_t stops_ms; /* 0: it is not being stopped */
	bool fails;
};

struct end {
	uint64_t number; /* 0: a run that was stopped before it came */
	struct waxwing_run_id name;
	char task[64];
	const char *how;
	int64_t ended_ms;
};

struct executor {
	struct server server; /* first */
	const char *id;
	uint16_t port;
	int log;
	GArray *runs;
	GArray *ends;
	uint64_t last_end;
	uint64_t forgotten_upto; /* ends that were acknowledged */
	uint64_t token;
	int64_t lease_until_ms;
	int64_t lapsed_ms; /* its lease was over for the last time */
};

static void log_line(struct executor *executor, const char *what, const char *task, uint32_t run,
		     const char *how)
{
	char *line = g_strdup_printf("%s %s %u%s%s @%" PRId64 "\n", what, task, run,
				     *how ? " " : "", how, server_now());

	if (executor->log >= 0 && write(executor->log, line, strlen(line)) < 0)
		perror("log");
	g_free(line);
}

static void end_run(struct executor *executor, guint index, const char *how)
{
	struct run run = g_array_index(executor->runs, struct run, index);
	struct end end = { ++executor->last_end, run.name, "", how, server_now() };

	g_strlcpy(end.task, run.task, sizeof(end.task));
	g_array_remove_index_fast(executor->runs, index);
	g_array_append_val(executor->ends, end);
	log_line(executor, "end", end.task, end.name.run, how);
	server_wake(&executor->server);
}

static int64_t let_runs_end(struct server *server, int64_t now_ms)
{
	struct executor *executor = (struct executor *)server;

	for (guint i = executor->runs->len; i-- > 0;) {
		const struct run *run = &g_array_index(executor->runs, struct run, i);

		if (now_ms >= executor->lease_until_ms)
			end_run(executor, i, "lapsed");
		else if (run->stops_ms && now_ms >= run->stops_ms)
			end_run(executor, i, "stopped");
		else if (now_ms >= run->ends_ms)
			end_run(executor, i, run->fails ? "failed" : "done");
	}
	return executor->runs->len ? now_ms + POLL_MS : INT64_MAX;
}

static enum server_verdict reject(struct server_request *request, const char *reason)
{
	char text[96];

	g_snprintf(text, sizeof(text), "{\"ClockMs\":%" PRId64 ",\"Reason\":\"%s\"}", server_now(),
		   reason);
	return server_text(request, 409, text);
}

static enum server_verdict accept_order(struct server_request *request)
{
	char text[64];

	g_snprintf(text, sizeof(text), "{\"ClockMs\":%" PRId64 "}", server_now());
	return server_text(request, 200, text);
}

static bool same_task(const struct waxwing_run_id *a, const struct waxwing_run_id *b)
{
	return a->job == b->job && a->occurrence == b->occurrence && a->step == b->step &&
	       a->index == b->index;
}

static bool is_old(const struct executor *executor, const struct waxwing_run_id *name)
{
	for (guint i = 0; i < executor->ends->len; i++) {
		const struct end *end = &g_array_index(executor->ends, struct end, i);

		if (same_task(&end->name, name) && end->name.run >= name->run)
			return true;
	}
	return false;
}

static void extend(struct executor *executor, int64_t until_ms)
{
	if (server_now() >= executor->lease_until_ms)
		executor->lapsed_ms = server_now();
	until_ms = MIN(until_ms, server_now() + LEASE_MOST_MS);
	executor->lease_until_ms = MAX(executor->lease_until_ms, until_ms);
}

static int64_t word(const char *spec, const char *name)
{
	const char *at = strstr(spec, name);

	return at ? g_ascii_strtoll(at + strlen(name), NULL, 10) : 0;
}

static enum server_verdict start(struct executor *executor, struct server_request *request,
				 struct json_object *object, const struct waxwing_run_id *name)
{
	const char *spec = json_get_string(object, "Spec");
	struct run run = { .name = *name };

	if ((int64_t)json_get_u64_or_0(object, "UntilMs") <= server_now())
		return reject(request, "late");
	for (guint i = 0; i < executor->runs->len; i++)
		if (same_task(&g_array_index(executor->runs, struct run, i).name, name))
			return accept_order(request);
	if (is_old(executor, name))
		return reject(request, "old");
	extend(executor, (int64_t)json_get_u64_or_0(object, "UntilMs"));
	g_strlcpy(run.task, json_get_string(object, "Task"), sizeof(run.task));
	run.ends_ms = server_now() + word(spec ? spec : "", "sleep=");
	run.fails = word(spec ? spec : "", "fail=") != 0;
	g_array_append_val(executor->runs, run);
	log_line(executor, "start", run.task, run.name.run, "");
	pthread_cond_signal(&executor->server.changed);
	return accept_order(request);
}

static enum server_verdict stop(struct executor *executor, struct server_request *request,
				const struct waxwing_run_id *name)
{
	struct end end = { .name = *name, .how = "stopped" };

	for (guint i = 0; i < executor->runs->len; i++) {
		struct run *run = &g_array_index(executor->runs, struct run, i);

		if (!same_task(&run->name, name))
			continue;
		run->stops_ms = server_now() + POLL_MS;
		return accept_order(request);
	}
	g_array_append_val(executor->ends, end);
	return accept_order(request);
}

static GString *print_lists(const struct executor *executor)
{
	GString *text = g_string_new(NULL);
	int rows = 0;

	g_string_printf(text, "{\"ClockMs\":%" PRId64 ",\"Running\":[", server_now());
	for (guint i = 0; i < executor->runs->len; i++) {
		const struct run *run = &g_array_index(executor->runs, struct run, i);

		g_string_append_printf(text, "%s[\"%s\",%u,\"\",0,0]", i ? "," : "", run->task,
				       run->name.run);
	}
	g_string_append(text, "],\"Ended\":[");
	for (guint i = 0; i < executor->ends->len; i++) {
		const struct end *end = &g_array_index(executor->ends, struct end, i);

		if (end->number > executor->forgotten_upto)
			g_string_append_printf(text, "%s[%" PRIu64 ",\"%s\",%u,\"%s\",\"\"]",
					       rows++ ? "," : "", end->number, end->task,
					       end->name.run, end->how);
	}
	g_string_append(text, "]}");
	return text;
}

static void forget_ends(struct executor *executor, uint64_t upto)
{
	for (guint i = 0; i < executor->ends->len; i++) {
		const struct end *end = &g_array_index(executor->ends, struct end, i);

		/* an end before a lapse counts as not acknowledged */
		if (end->number > executor->forgotten_upto && end->number <= upto &&
		    end->ended_ms > executor->lapsed_ms)
			log_line(executor, "noted", end->task, end->name.run, end->how);
	}
	executor->forgotten_upto = MAX(executor->forgotten_upto, upto);
}

/* The state of a waiting hold is the time at which it is answered without an end. */
static enum server_verdict hold(struct executor *executor, struct server_request *request,
				struct json_object *object)
{
	int64_t *until_ms = request->state;
	GString *text;

	if (!until_ms) {
		until_ms = g_new0(int64_t, 1);
		*until_ms = server_now() + (int64_t)json_get_u64_or_0(object, "WaitMs");
		request->state = until_ms;
		extend(executor, (int64_t)json_get_u64_or_0(object, "UntilMs"));
		forget_ends(executor,
			    MIN(json_get_u64_or_0(object, "AckedUpto"), executor->last_end));
	}
	if (executor->last_end <= executor->forgotten_upto && server_now() < *until_ms) {
		request->wake_ms = *until_ms;
		return SERVER_WAIT;
	}
	text = print_lists(executor);
	server_answer(request, 200, text->str, text->len, "Content-Type", "application/json");
	g_string_free(text, TRUE);
	return SERVER_ANSWERED;
}

static enum server_verdict obey(struct executor *executor, struct server_request *request,
				struct json_object *object)
{
	const char *task = json_get_string(object, "Task");
	struct waxwing_run_id name = { 0 };
	uint64_t token = json_get_u64_or_0(object, "FencingToken");

	if (token < executor->token)
		return reject(request, "fence");
	executor->token = token;
	if (strcmp(request->path, "/hold") == 0)
		return hold(executor, request, object);
	if (!task || !task_name_parse(task, &name))
		return server_text(request, 400, "{}");
	name.run = (uint32_t)json_get_u64_or_0(object, "Run");
	if (strcmp(request->path, "/run-start") == 0)
		return start(executor, request, object, &name);
	if (strcmp(request->path, "/run-stop") == 0)
		return stop(executor, request, &name);
	return server_text(request, 404, "{}");
}

static enum server_verdict handle(struct server *server, struct server_request *request)
{
	struct executor *executor = (struct executor *)server;
	const char *life = MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND,
						       "X-Expected-Instance");
	struct json_object *object;
	enum server_verdict verdict;

	if (life && strcmp(life, executor->id) != 0)
		return server_text(request, 421, "{}");
	object = json_parse(
		(struct waxwing_str){ request->body->len, (const char *)request->body->data });
	verdict = object ? obey(executor, request, object) : server_text(request, 400, "{}");
	json_object_put(object);
	return verdict;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct executor *executor = state->input;

	switch (key) {
	case 'p':
		executor->port = (uint16_t)strtoul(arg, NULL, 10);
		return 0;
	case 'i':
		executor->id = arg;
		return 0;
	case 'l':
		executor->log = open(arg, O_WRONLY | O_CREAT | O_APPEND, 0644);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{ "port", 'p', "PORT", 0, "port on 127.0.0.1; 0: any", 0 },
		{ "id", 'i', "ID", 0, "of this life", 0 },
		{ "log", 'l', "FILE", 0, "starts and ends are appended to it", 0 },
		{ 0 },
	};
	static const struct argp argp = {
		options, parse_option, NULL, "Stand-in of an executor under leases, for tests.",
		NULL,	 NULL,	       NULL
	};
	struct executor executor = {
		.server.handle = handle,
		.server.tick = let_runs_end,
		.id = "i-1",
		.log = -1,
	};
	sigset_t signals;

	argp_parse(&argp, argc, argv, 0, NULL, &executor);
	executor.runs = g_array_new(FALSE, FALSE, sizeof(struct run));
	executor.ends = g_array_new(FALSE, FALSE, sizeof(struct end));
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

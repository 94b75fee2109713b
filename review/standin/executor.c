/**
 * Stand-in of an executor for the review's scripts, as PROTOCOL.md describes one that does not
 * guard its capacity. It registers itself in the store every HEARTBEAT_MS and keeps 500 ends a
 * list. A task works for the milliseconds that its Spec gives as "ms=N".
 *
 * SIGUSR1: from now on all runs that start fail. SIGUSR2: they no longer do. SIGHUP: the executor
 * is cut off from the store, so that it sends no heartbeats, until the next SIGHUP.
 *
 * Each start, end, stop order and acknowledged end is appended to the log as one line with the time
 * of the machine's monotonic clock in milliseconds.
 */
#include "../../test/standin/server.h"

#include "executor_http.h"
#include "json.h"

#include <argp.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MAX_LEASE_MS	 1000
#define STOP_MS		 20
#define HEARTBEAT_MS	 1500
#define MAX_LISTED_ENDS	 500
#define POLL_INTERVAL_MS 2
#define DEFAULT_RUN_MS	 50
#define MAX_CONNECTIONS	 600

struct run {
	struct waxwing_run_id run_id;
	char task[64];
	int64_t ends_ms;
	int64_t stops_ms; /* when a stop takes effect; 0: not stopped */
	bool fails;
};

struct end {
	uint64_t number;
	uint32_t run;
	char task[64];
	const char *how;
	bool lapsed_since; /* the lease has lapsed after the end */
};

struct executor {
	struct standin_server server; /* must be first */
	const char *id;
	const char *zone;
	const char *kind;
	const char *rack;
	const char *service;
	const char *store;
	uint32_t cpu_milli;
	uint16_t port;
	int log_fd;
	int64_t born_ms; /* Unix time */
	int64_t started_ms;
	GArray *runs;
	GArray *ends; /* struct end, not acknowledged */
	GHashTable *last_ended; /* task -> highest run that was stopped or has ended here */
	uint64_t last_number;
	uint64_t fencing_token;
	int64_t lease_until_ms;
};

static volatile sig_atomic_t fails_all;
static volatile sig_atomic_t cut_off;

static int64_t clock_ms(const struct executor *executor)
{
	return server_now() - executor->started_ms + 1000;
}

static void log_line(struct executor *executor, const char *event, const char *task, uint32_t run,
		     const char *how)
{
	char *line = g_strdup_printf("@%" PRId64 " %s %s %s %u%s%s\n", server_now(), executor->id,
				     event, task, run, *how ? " " : "", how);

	if (executor->log_fd >= 0 && write(executor->log_fd, line, strlen(line)) < 0)
		perror("log");
	g_free(line);
}

static uint32_t last_ended_run(const struct executor *executor, const char *task)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(executor->last_ended, task));
}

static void set_ended_run(struct executor *executor, const char *task, uint32_t run)
{
	if (run > last_ended_run(executor, task))
		g_hash_table_insert(executor->last_ended, g_strdup(task), GUINT_TO_POINTER(run));
}

static void end_run(struct executor *executor, guint index, const char *how)
{
	struct run run = g_array_index(executor->runs, struct run, index);
	struct end end = { ++executor->last_number, run.run_id.run, "", how, false };

	g_strlcpy(end.task, run.task, sizeof(end.task));
	g_array_remove_index_fast(executor->runs, index);
	g_array_append_val(executor->ends, end);
	set_ended_run(executor, run.task, run.run_id.run);
	log_line(executor, "end", run.task, run.run_id.run, how);
	server_wake(&executor->server);
}

static int64_t end_due_runs(struct standin_server *server, int64_t now_ms)
{
	struct executor *executor = (struct executor *)server;
	bool lapsed = clock_ms(executor) >= executor->lease_until_ms;

	for (guint i = 0; lapsed && i < executor->ends->len; i++)
		g_array_index(executor->ends, struct end, i).lapsed_since = true;
	for (guint i = executor->runs->len; i-- > 0;) {
		const struct run *run = &g_array_index(executor->runs, struct run, i);

		if (lapsed)
			end_run(executor, i, "lapsed");
		else if (run->stops_ms && now_ms >= run->stops_ms)
			end_run(executor, i, "stopped");
		else if (now_ms >= run->ends_ms)
			end_run(executor, i, run->fails ? "failed" : "done");
	}
	return now_ms + (executor->runs->len ? POLL_INTERVAL_MS : 20);
}

static enum server_result reject(struct executor *executor, struct server_request *request,
				 const char *reason)
{
	char text[96];

	g_snprintf(text, sizeof(text), "{\"ClockMs\":%" PRId64 ",\"Reason\":\"%s\"}",
		   clock_ms(executor), reason);
	return server_answer_text(request, 409, text);
}

static enum server_result accept_order(struct executor *executor, struct server_request *request)
{
	char text[64];

	g_snprintf(text, sizeof(text), "{\"ClockMs\":%" PRId64 "}", clock_ms(executor));
	return server_answer_text(request, 200, text);
}

static void extend_lease(struct executor *executor, int64_t until_ms)
{
	until_ms = MIN(until_ms, clock_ms(executor) + MAX_LEASE_MS);
	executor->lease_until_ms = MAX(executor->lease_until_ms, until_ms);
}

static int64_t spec_number(const char *spec, const char *name, int64_t fallback)
{
	const char *match = strstr(spec, name);

	return match ? g_ascii_strtoll(match + strlen(name), NULL, 10) : fallback;
}

static bool is_running(const struct executor *executor, const struct waxwing_run_id *run_id,
		       const char *task)
{
	for (guint i = 0; i < executor->runs->len; i++) {
		const struct run *run = &g_array_index(executor->runs, struct run, i);

		if (run->run_id.run == run_id->run && strcmp(run->task, task) == 0)
			return true;
	}
	return false;
}

static enum server_result start_run(struct executor *executor, struct server_request *request,
				    struct json_object *object, const struct waxwing_run_id *run_id)
{
	const char *spec = json_get_string(object, "Spec");
	const char *task = json_get_string(object, "Task");
	int64_t until_ms = (int64_t)json_get_u64_or_0(object, "UntilMs");
	struct run run = { .run_id = *run_id };

	if (until_ms <= clock_ms(executor))
		return reject(executor, request, "late");
	extend_lease(executor, until_ms);
	if (is_running(executor, run_id, task))
		return accept_order(executor, request);
	if (last_ended_run(executor, task) >= run_id->run)
		return reject(executor, request, "old");
	g_strlcpy(run.task, task, sizeof(run.task));
	run.fails = fails_all;
	run.ends_ms = server_now() +
		      (run.fails ? 10 : spec_number(spec ? spec : "", "ms=", DEFAULT_RUN_MS));
	g_array_append_val(executor->runs, run);
	log_line(executor, "start", task, run_id->run, "");
	pthread_cond_signal(&executor->server.changed);
	return accept_order(executor, request);
}

static enum server_result stop_run(struct executor *executor, struct server_request *request,
				   const struct waxwing_run_id *run_id, const char *task)
{
	log_line(executor, "stop-order", task, run_id->run, "");
	for (guint i = 0; i < executor->runs->len; i++) {
		struct run *run = &g_array_index(executor->runs, struct run, i);

		if (run->run_id.run == run_id->run && strcmp(run->task, task) == 0 &&
		    !run->stops_ms)
			run->stops_ms = server_now() + STOP_MS;
	}
	if (!is_running(executor, run_id, task))
		set_ended_run(executor, task, run_id->run);
	pthread_cond_signal(&executor->server.changed);
	return accept_order(executor, request);
}

static GString *format_lists(const struct executor *executor)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "{\"born\":%" PRId64 ",\"ClockMs\":%" PRId64 ",\"Running\":[",
			executor->born_ms, clock_ms(executor));
	for (guint i = 0; i < executor->runs->len; i++) {
		const struct run *run = &g_array_index(executor->runs, struct run, i);

		g_string_append_printf(text, "%s[\"%s\",%u,\"\",100,0]", i ? "," : "", run->task,
				       run->run_id.run);
	}
	g_string_append(text, "],\"Ended\":[");
	for (guint i = 0; i < executor->ends->len && i < MAX_LISTED_ENDS; i++) {
		const struct end *end = &g_array_index(executor->ends, struct end, i);

		g_string_append_printf(text, "%s[%" PRIu64 ",\"%s\",%u,\"%s\",\"\"]", i ? "," : "",
				       end->number, end->task, end->run, end->how);
	}
	g_string_append(text, "]}");
	return text;
}

static void acknowledge_ends(struct executor *executor, uint64_t upto)
{
	while (executor->ends->len) {
		const struct end *end = &g_array_index(executor->ends, struct end, 0);

		if (end->number > upto)
			return;
		log_line(executor, end->lapsed_since ? "noted-after-lapse" : "noted", end->task,
			 end->run, end->how);
		g_array_remove_index(executor->ends, 0);
	}
}

/* request->state is the time until which the request waits for an end. */
static enum server_result handle_hold(struct executor *executor, struct server_request *request,
				      struct json_object *object)
{
	int64_t *until_ms = request->state;
	GString *text;

	if (!until_ms) {
		until_ms = g_new0(int64_t, 1);
		*until_ms = server_now() + (int64_t)json_get_u64_or_0(object, "WaitMs");
		request->state = until_ms;
		extend_lease(executor, (int64_t)json_get_u64_or_0(object, "UntilMs"));
		acknowledge_ends(executor, json_get_u64_or_0(object, "AckedUpto"));
	}
	if (!executor->ends->len && server_now() < *until_ms) {
		request->wake_ms = *until_ms;
		return SERVER_WAIT;
	}
	text = format_lists(executor);
	server_answer(request, 200, text->str, text->len, "Content-Type", "application/json");
	g_string_free(text, TRUE);
	return SERVER_ANSWERED;
}

static enum server_result handle_order(struct executor *executor, struct server_request *request,
				       struct json_object *object)
{
	const char *task = json_get_string(object, "Task");
	struct waxwing_run_id run_id = { 0 };
	uint64_t fencing_token = json_get_u64_or_0(object, "FencingToken");

	if (fencing_token < executor->fencing_token)
		return reject(executor, request, "fence");
	executor->fencing_token = fencing_token;
	if (strcmp(request->path, "/hold") == 0)
		return handle_hold(executor, request, object);
	if (!task || !task_name_parse(task, &run_id))
		return server_answer_text(request, 400, "{}");
	run_id.run = (uint32_t)json_get_u64_or_0(object, "Run");
	if (strcmp(request->path, "/run-start") == 0)
		return start_run(executor, request, object, &run_id);
	if (strcmp(request->path, "/run-stop") == 0)
		return stop_run(executor, request, &run_id, task);
	return server_answer_text(request, 404, "{}");
}

static enum server_result handle(struct standin_server *server, struct server_request *request)
{
	struct executor *executor = (struct executor *)server;
	const char *expected = MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND,
							   "X-Expected-Instance");
	struct json_object *object;
	enum server_result result;

	if (expected && strcmp(expected, executor->id) != 0)
		return server_answer_text(request, 421, "{}");
	object = json_parse(
		(struct waxwing_str){ request->body->len, (const char *)request->body->data });
	result = object ? handle_order(executor, request, object) :
			  server_answer_text(request, 400, "{}");
	json_object_put(object);
	return result;
}

/* Writes this executor's entry to the store, as the platform does for each heartbeat. */
static void register_self(const struct executor *executor, uint64_t sequence)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	struct timeval timeout = { 1, 0 };
	char **parts = g_strsplit(executor->store, ":", 2);
	char *body = g_strdup_printf(
		"{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"%s\",\"Version\":\"1\","
		"\"Slots\":8,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":%" PRIu64
		",\"born\":%" PRId64 ",\"Capacity\":{\"Cpu\":%u,\"MemMb\":65536,\"Gpu\":0},"
		"\"Labels\":[\"%s\",\"%s\"]}",
		executor->service, executor->port, executor->zone, sequence, executor->born_ms,
		executor->cpu_milli, executor->kind, executor->rack);
	char *text = g_strdup_printf("PUT /control/key?Key=servers/%s HTTP/1.1\r\nHost: store\r\n"
				     "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
				     executor->id, strlen(body), body);
	char answer[512];
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	address.sin_port = htons((uint16_t)strtoul(parts[1], NULL, 10));
	inet_pton(AF_INET, parts[0], &address.sin_addr);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
	    send(fd, text, strlen(text), MSG_NOSIGNAL) > 0)
		while (recv(fd, answer, sizeof(answer), 0) > 0)
			;
	close(fd);
	g_free(text);
	g_free(body);
	g_strfreev(parts);
}

static void *heartbeat_thread(void *data)
{
	const struct executor *executor = data;

	for (uint64_t sequence = 1;; sequence++) {
		if (!cut_off)
			register_self(executor, sequence);
		g_usleep(HEARTBEAT_MS * 1000);
	}
	return NULL;
}

static void set_faulty(int number)
{
	fails_all = number == SIGUSR1;
}

static void toggle_cut(int number)
{
	(void)number;
	cut_off = !cut_off;
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
	case 'z':
		executor->zone = arg;
		return 0;
	case 'k':
		executor->kind = arg;
		return 0;
	case 'r':
		executor->rack = arg;
		return 0;
	case 'S':
		executor->service = arg;
		return 0;
	case 's':
		executor->store = arg;
		return 0;
	case 'c':
		executor->cpu_milli = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case 'l':
		executor->log_fd = open(arg, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{ "port", 'p', "PORT", 0, "port on 127.0.0.1 (0: any free port)", 0 },
		{ "id", 'i', "ID", 0, "id of this executor", 0 },
		{ "zone", 'z', "ZONE", 0, "failure domain", 0 },
		{ "kind", 'k', "KIND", 0, "first label", 0 },
		{ "rack", 'r', "RACK", 0, "second label", 0 },
		{ "service", 'S', "NAME", 0, "service", 0 },
		{ "store", 's', "ADDRESS", 0, "IP:port of the store", 0 },
		{ "cpu", 'c', "MILLI", 0, "capacity in thousandths of a core", 0 },
		{ "log", 'l', "FILE", 0, "file to append events to", 0 },
		{ 0 },
	};
	static const struct argp argp = { options, parse_option, NULL, "Stand-in of an executor.",
					  NULL,	   NULL,	 NULL };
	struct executor executor = {
		.server.handle = handle,
		.server.tick = end_due_runs,
		.id = "e-1",
		.zone = "east",
		.kind = "a",
		.rack = "r1",
		.service = "s",
		.store = "127.0.0.1:1",
		.cpu_milli = 32000,
		.log_fd = -1,
	};
	struct sigaction faulty = { .sa_handler = set_faulty };
	struct sigaction cut = { .sa_handler = toggle_cut };
	struct timespec wall;
	pthread_t heartbeats;
	sigset_t signals;

	argp_parse(&argp, argc, argv, 0, NULL, &executor);
	sigaction(SIGUSR1, &faulty, NULL);
	sigaction(SIGUSR2, &faulty, NULL);
	sigaction(SIGHUP, &cut, NULL);
	clock_gettime(CLOCK_REALTIME, &wall);
	executor.born_ms = (int64_t)wall.tv_sec * 1000 + wall.tv_nsec / 1000000;
	executor.started_ms = server_now();
	executor.runs = g_array_new(FALSE, FALSE, sizeof(struct run));
	executor.ends = g_array_new(FALSE, FALSE, sizeof(struct end));
	executor.last_ended = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	server_block_signals(&signals);
	executor.port = server_start(&executor.server, executor.port, MAX_CONNECTIONS);
	if (!executor.port) {
		perror("executor: bind");
		return EXIT_FAILURE;
	}
	pthread_create(&heartbeats, NULL, heartbeat_thread, &executor);
	printf("ready 127.0.0.1:%u\n", executor.port);
	fflush(stdout);
	server_await_signal(&signals);
	_exit(EXIT_SUCCESS);
}

/*
 * Stand-in of an executor, from the users' pages (PROTOCOL.md, "Running tasks" and "Service discovery"): /run-start,
 * /run-stop and /hold on one address, fencing, one lease for all that runs, numbered ends, and its entry in the store,
 * which it writes every 1.5 s. A task runs for MS if its Spec has "sleep=MS", else for 20 ms, and fails if it has "fail=1".
 *
 * Log, with times in ms of the machine's steady clock: "TIME ID start TASK RUN", "TIME ID end N TASK RUN HOW",
 * "TIME ID noted N TASK RUN HOW LAPSED" (the end was acknowledged; LAPSED is 1 if the lease ran out in between),
 * "TIME ID rejected TASK RUN REASON".
 */
#include <arpa/inet.h>
#include <errno.h>
#include <json-c/json.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HOLD_MAX_MS 1000
#define STOP_MS 20
#define HEARTBEAT_MS 1500
#define MAX_RUNS 512
#define MAX_ENDS 20000
#define MAX_LISTED 500
#define CLOCK_START_MS 100000

struct run {
	char task[64];
	long number;
	int64_t ends_ms, stops_ms;
	bool fails;
};

struct end {
	long n, number;
	char task[64];
	const char *how;
	int64_t at_ms;
	bool noted;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed;
static struct run runs[MAX_RUNS];
static int run_count;
static struct end ends[MAX_ENDS];
static int end_count;
static struct {
	char task[64];
	long number;
} barred[MAX_ENDS]; /* highest run of a task that was stopped or ended here */
static int barred_count;
static long last_n, acked_upto;
static uint64_t fence;
static int64_t lease_ms, lapsed_ms, started_ms, born_ms;
static const char *id = "e1", *address = "127.0.0.1:9000", *zone = "east", *service = "s", *store, *kind = "a",
		  *rack = "r1", *silent = "";
static long cpu = 16000, mem = 32768, return_ms, born_offset_ms;
static FILE *log_file;

static int64_t steady_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

static int64_t executor_clock(void) { return steady_ms() - started_ms + CLOCK_START_MS; }

static void bar(const char *task, long number)
{
	for (int i = 0; i < barred_count; i++)
		if (strcmp(barred[i].task, task) == 0) {
			if (barred[i].number < number)
				barred[i].number = number;
			return;
		}
	if (barred_count == MAX_ENDS)
		abort();
	snprintf(barred[barred_count].task, sizeof(barred[0].task), "%s", task);
	barred[barred_count++].number = number;
}

static bool is_barred(const char *task, long number)
{
	for (int i = 0; i < barred_count; i++)
		if (strcmp(barred[i].task, task) == 0)
			return number <= barred[i].number;
	return false;
}

static void end_run(int index, const char *how)
{
	struct run run = runs[index];
	struct end *end = &ends[end_count++];

	if (end_count == MAX_ENDS)
		abort();
	*end = (struct end){ .n = ++last_n, .number = run.number, .how = how, .at_ms = steady_ms() };
	snprintf(end->task, sizeof(end->task), "%s", run.task);
	runs[index] = runs[--run_count];
	bar(end->task, end->number);
	fprintf(log_file, "%lld %s end %ld %s %ld %s\n", (long long)steady_ms(), id, end->n, end->task, end->number, how);
	fflush(log_file);
	pthread_cond_broadcast(&changed);
}

static void *tick(void *unused)
{
	(void)unused;
	for (;;) {
		int64_t now = steady_ms();

		pthread_mutex_lock(&lock);
		if (run_count && now >= lease_ms)
			lapsed_ms = now;
		for (int i = run_count; i-- > 0;) {
			if (now >= lease_ms)
				end_run(i, "lapsed");
			else if (runs[i].stops_ms && now >= runs[i].stops_ms)
				end_run(i, "stopped");
			else if (now >= runs[i].ends_ms)
				end_run(i, runs[i].fails ? "failed" : "done");
		}
		pthread_mutex_unlock(&lock);
		usleep(2000);
	}
	return NULL;
}

/* UntilMs is a time on this executor's clock; a lease is never shortened and lasts HOLD_MAX_MS at most. */
static void extend_lease(int64_t until_ms)
{
	int64_t until = until_ms - CLOCK_START_MS + started_ms;

	if (until > steady_ms() + HOLD_MAX_MS)
		until = steady_ms() + HOLD_MAX_MS;
	if (until > lease_ms) {
		if (steady_ms() >= lease_ms)
			lapsed_ms = steady_ms();
		lease_ms = until;
	}
}

static int64_t number_of(json_object *body, const char *name)
{
	json_object *value;

	return json_object_object_get_ex(body, name, &value) ? json_object_get_int64(value) : 0;
}

static const char *string_of(json_object *body, const char *name)
{
	json_object *value;

	return json_object_object_get_ex(body, name, &value) ? json_object_get_string(value) : "";
}

struct answer {
	int status;
	char *text; /* of malloc() */
};

static struct answer answer_with(int status, const char *reason)
{
	char text[128];

	if (reason)
		snprintf(text, sizeof(text), "{\"ClockMs\":%lld,\"Reason\":\"%s\",\"born\":%lld}",
			 (long long)executor_clock(), reason, (long long)born_ms);
	else
		snprintf(text, sizeof(text), "{\"ClockMs\":%lld,\"born\":%lld}", (long long)executor_clock(),
			 (long long)born_ms);
	return (struct answer){ status, strdup(text) };
}

static long spec_number(const char *spec, const char *name, long other)
{
	const char *at = strstr(spec, name);

	return at ? atol(at + strlen(name)) : other;
}

static struct answer start(json_object *body)
{
	const char *task = string_of(body, "Task");
	const char *spec = string_of(body, "Spec");
	long number = number_of(body, "Run");
	const char *reason = NULL;
	struct answer answer;

	for (int i = 0; i < run_count; i++)
		if (strcmp(runs[i].task, task) == 0 && runs[i].number == number) {
			extend_lease(number_of(body, "UntilMs"));
			return answer_with(200, NULL);
		}
	if (is_barred(task, number))
		reason = "old";
	else if (number_of(body, "UntilMs") <= executor_clock())
		reason = "late";
	if (!reason || strcmp(reason, "old") == 0)
		extend_lease(number_of(body, "UntilMs"));
	if (reason) {
		fprintf(log_file, "%lld %s rejected %s %ld %s\n", (long long)steady_ms(), id, task, number, reason);
		fflush(log_file);
		return answer_with(409, reason);
	}
	if (run_count == MAX_RUNS)
		abort();
	runs[run_count] = (struct run){ .number = number,
					.ends_ms = steady_ms() + spec_number(spec, "sleep=", 20),
					.fails = spec_number(spec, "fail=", 0) };
	snprintf(runs[run_count++].task, sizeof(runs[0].task), "%s", task);
	fprintf(log_file, "%lld %s start %s %ld %s\n", (long long)steady_ms(), id, task, number, spec);
	answer = answer_with(200, NULL);
	fflush(log_file);
	return answer;
}

static struct answer stop(json_object *body)
{
	const char *task = string_of(body, "Task");
	long number = number_of(body, "Run");

	for (int i = 0; i < run_count; i++)
		if (strcmp(runs[i].task, task) == 0 && runs[i].number <= number && !runs[i].stops_ms)
			runs[i].stops_ms = steady_ms() + STOP_MS;
	bar(task, number);
	return answer_with(200, NULL);
}

static struct answer list(void)
{
	size_t size = 256 + (size_t)run_count * 96 + MAX_LISTED * 112, used;
	char *text = malloc(size);
	int listed = 0;

	used = (size_t)snprintf(text, size, "{\"ClockMs\":%lld,\"born\":%lld,\"Running\":[", (long long)executor_clock(),
				(long long)born_ms);
	for (int i = 0; i < run_count; i++)
		used += (size_t)snprintf(text + used, size - used, "%s[\"%s\",%ld,\"\",0]", i ? "," : "", runs[i].task,
					 runs[i].number);
	used += (size_t)snprintf(text + used, size - used, "],\"Ended\":[");
	for (int i = 0; i < end_count && listed < MAX_LISTED; i++)
		if (ends[i].n > acked_upto)
			used += (size_t)snprintf(text + used, size - used, "%s[%ld,\"%s\",%ld,\"%s\",\"\"]",
						 listed++ ? "," : "", ends[i].n, ends[i].task, ends[i].number, ends[i].how);
	snprintf(text + used, size - used, "]}");
	return (struct answer){ 200, text };
}

static struct answer hold(json_object *body)
{
	int64_t until = steady_ms() + number_of(body, "WaitMs");
	long upto = number_of(body, "AckedUpto");

	if (number_of(body, "UntilMs"))
		extend_lease(number_of(body, "UntilMs"));
	if (upto > last_n)
		upto = last_n;
	if (upto > acked_upto)
		acked_upto = upto;
	for (int i = 0; i < end_count; i++)
		if (ends[i].n <= acked_upto && !ends[i].noted) {
			ends[i].noted = true;
			fprintf(log_file, "%lld %s noted %ld %s %ld %s %d\n", (long long)steady_ms(), id, ends[i].n,
				ends[i].task, ends[i].number, ends[i].how, lapsed_ms >= ends[i].at_ms);
			fflush(log_file);
		}
	while (steady_ms() < until && last_n <= acked_upto) {
		struct timespec at = { until / 1000, until % 1000 * 1000000 };

		pthread_cond_timedwait(&changed, &lock, &at);
	}
	return list();
}

static struct answer handle(const char *path, const char *instance, const char *body)
{
	json_object *object = json_tokener_parse(body);
	struct answer answer;

	if (*instance && strcmp(instance, id) != 0)
		answer = (struct answer){ 421, strdup("{}") };
	else if (!object)
		answer = answer_with(400, NULL);
	else if ((uint64_t)number_of(object, "FencingToken") < fence)
		answer = answer_with(409, "fence");
	else {
		fence = (uint64_t)number_of(object, "FencingToken");
		if (strcmp(path, "/run-start") == 0)
			answer = start(object);
		else if (strcmp(path, "/run-stop") == 0)
			answer = stop(object);
		else if (strcmp(path, "/hold") == 0)
			answer = hold(object);
		else
			answer = (struct answer){ 404, strdup("{}") };
	}
	json_object_put(object);
	return answer;
}

/* Reads one request; returns false when the connection has ended. */
static bool read_request(int fd, char *buffer, size_t size, size_t *used, char *path, char *instance, char **body)
{
	for (;;) {
		char *head_end = memmem(buffer, *used, "\r\n\r\n", 4);
		ssize_t got;

		if (head_end) {
			char *line = buffer, *field;
			size_t length = 0, head = (size_t)(head_end - buffer) + 4;

			*head_end = '\0';
			*instance = '\0';
			sscanf(line, "%*s %63s", path);
			for (field = strstr(line, "\r\n"); field; field = strstr(field + 2, "\r\n")) {
				if (strncasecmp(field + 2, "Content-Length:", 15) == 0)
					length = strtoul(field + 17, NULL, 10);
				if (strncasecmp(field + 2, "X-Expected-Instance:", 20) == 0)
					sscanf(field + 22, " %63[^\r]", instance);
			}
			while (*used < head + length) {
				got = read(fd, buffer + *used, size - *used - 1);
				if (got <= 0)
					return false;
				*used += (size_t)got;
			}
			*body = strndup(buffer + head, length);
			*used -= head + length;
			memmove(buffer, buffer + head + length, *used);
			return true;
		}
		if (*used + 1 >= size)
			return false;
		got = read(fd, buffer + *used, size - *used - 1);
		if (got <= 0)
			return false;
		*used += (size_t)got;
	}
}

static bool write_all(int fd, const char *data, size_t len)
{
	while (len) {
		ssize_t put = write(fd, data, len);

		if (put <= 0)
			return false;
		data += put;
		len -= (size_t)put;
	}
	return true;
}

static void *serve(void *data)
{
	int fd = (int)(intptr_t)data, on = 1;
	size_t size = 1 << 20, used = 0;
	char *buffer = calloc(1, size);
	char path[64], instance[64], head[160];
	char *body;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	while (read_request(fd, buffer, size, &used, path, instance, &body)) {
		struct answer answer;
		bool sent;

		pthread_mutex_lock(&lock);
		answer = handle(path, instance, body);
		pthread_mutex_unlock(&lock);
		free(body);
		snprintf(head, sizeof(head),
			 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n", answer.status,
			 strlen(answer.text));
		sent = write_all(fd, head, strlen(head)) && write_all(fd, answer.text, strlen(answer.text));
		free(answer.text);
		if (!sent)
			break;
	}
	close(fd);
	free(buffer);
	return NULL;
}

static struct sockaddr_in parse_address(const char *text)
{
	struct sockaddr_in result = { .sin_family = AF_INET };
	char ip[32];
	int port = 0;

	if (sscanf(text, "%31[^:]:%d", ip, &port) != 2 || inet_pton(AF_INET, ip, &result.sin_addr) != 1) {
		fprintf(stderr, "bad address %s\n", text);
		exit(2);
	}
	result.sin_port = htons((uint16_t)port);
	return result;
}

static bool is_silent(void) { return *silent && access(silent, F_OK) == 0; }

/*
 * Writes this executor's entry into the store, about every HEARTBEAT_MS; while the file named by --silent exists, its calls
 * don't reach the store, and the next one does --return-ms after that.
 */
static void *heartbeat(void *unused)
{
	struct sockaddr_in to = parse_address(store);
	char entry[512], request[1024], reply[512];

	(void)unused;
	for (long sequence = 1;; sequence++) {
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		struct timeval limit = { 1, 0 };

		snprintf(entry, sizeof(entry),
			 "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"%s\",\"Version\":\"1\",\"Slots\":8,"
			 "\"State\":\"ready\",\"ColdRemainingMs\":0,\"Capacity\":{\"Cpu\":%ld,\"MemMb\":%ld,\"Gpu\":0},"
			 "\"Labels\":[\"%s\",\"%s\"],\"Sequence\":%ld,\"born\":%lld}",
			 service, address, zone, cpu, mem, kind, rack, sequence, (long long)born_ms);
		snprintf(request, sizeof(request),
			 "PUT /control/key?Key=servers/%s HTTP/1.1\r\nHost: store\r\nConnection: close\r\n"
			 "Content-Length: %zu\r\n\r\n%s",
			 id, strlen(entry), entry);
		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		if (connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0 && write_all(fd, request, strlen(request)))
			while (read(fd, reply, sizeof(reply)) > 0)
				;
		close(fd);
		for (int waited = 0; waited < HEARTBEAT_MS && !is_silent(); waited += 10)
			usleep(10000);
		if (is_silent()) {
			while (is_silent())
				usleep(5000);
			usleep((useconds_t)return_ms * 1000);
		}
	}
	return NULL;
}

int main(int argc, char **argv)
{
	struct sockaddr_in at;
	pthread_condattr_t monotonic;
	struct timespec day;
	pthread_t thread;
	int fd, on = 1;

	for (int i = 1; i + 1 < argc; i += 2) {
		const char *name = argv[i], *value = argv[i + 1];

		if (!strcmp(name, "--id")) id = value;
		else if (!strcmp(name, "--address")) address = value;
		else if (!strcmp(name, "--zone")) zone = value;
		else if (!strcmp(name, "--service")) service = value;
		else if (!strcmp(name, "--store")) store = value;
		else if (!strcmp(name, "--kind")) kind = value;
		else if (!strcmp(name, "--rack")) rack = value;
		else if (!strcmp(name, "--cpu")) cpu = atol(value);
		else if (!strcmp(name, "--mem")) mem = atol(value);
		else if (!strcmp(name, "--log")) log_file = fopen(value, "a");
		else if (!strcmp(name, "--silent")) silent = value;
		else if (!strcmp(name, "--return-ms")) return_ms = atol(value);
		else if (!strcmp(name, "--born-offset")) born_offset_ms = atol(value);
		else return 2;
	}
	if (!log_file)
		log_file = stderr;
	signal(SIGPIPE, SIG_IGN);
	started_ms = steady_ms();
	clock_gettime(CLOCK_REALTIME, &day);
	born_ms = day.tv_sec * 1000LL + day.tv_nsec / 1000000 + born_offset_ms;
	pthread_condattr_init(&monotonic);
	pthread_condattr_setclock(&monotonic, CLOCK_MONOTONIC);
	pthread_cond_init(&changed, &monotonic);
	at = parse_address(address);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) || listen(fd, 256)) {
		perror(address);
		return 2;
	}
	pthread_create(&thread, NULL, tick, NULL);
	if (store)
		pthread_create(&thread, NULL, heartbeat, NULL);
	printf("ready %s\n", address);
	fflush(stdout);
	for (;;) {
		int client = accept(fd, NULL, NULL);

		if (client >= 0 && pthread_create(&thread, NULL, serve, (void *)(intptr_t)client) == 0)
			pthread_detach(thread);
	}
}

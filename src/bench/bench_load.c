#include "bench_load.h"

#include "bench_starts.h"
#include "binding.h"
#include "generated/api.pb-c.h"
#include "http_client.h"

#include <pthread.h>
#include <stdatomic.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_THREADS	    768
#define WINDOW_HEADER	    "Waxwing-Window"
#define MAX_ANSWER_BYTES    (16U << 20)
#define DEFAULT_DEADLINE_MS 300000 /* deadline sent for jobs without one */
#define ANSWER_GRACE_MS	    5000 /* how long to wait for an answer after the deadline */
#define WINDOW_TIMEOUT_MS   5000
#define US_PER_S	    1e6
#define PROGRESS_EVERY	    500

/** The first submission of a job, or its resubmission. */
struct scheduled_send {
	int64_t at_us; /**< intended send time, since the start of the run */
	uint32_t job;
	bool is_resubmission;
};

struct job_outcome {
	enum waxwing_bench_job_state state;
	bool known; /**< the answer has a valid state other than "unknown" */
	bool answered;
	int64_t response_us;
	char *id; /**< submission id; null until first sent */
	char *answer; /**< first answer: its body if "complete" or invalid, else its state */
};

struct load_run {
	const struct waxwing_bench_load_options *options;
	struct waxwing_bench_load_result *result;
	uint32_t addresses;
	int64_t start_us; /**< monotonic time */
	GArray *sends; /**< of struct scheduled_send, ordered by time */
	atomic_uint next_send; /**< index of the first send not taken by a thread */
	GArray *delays_ms; /**< of double; actual minus intended send time */
	pthread_mutex_t lock; /**< protects the fields below, result and delays_ms */
	pthread_cond_t id_assigned; /**< signals that a job's id was set in outcomes */
	char **windows; /**< latest submission window of each instance, by address index */
	struct job_outcome *outcomes;
	uint32_t answered_jobs;
};

static int64_t now_us(const struct load_run *load)
{
	return g_get_monotonic_time() - load->start_us;
}

static void store_window(struct load_run *load, uint32_t address, const char *window)
{
	if (!window)
		return;
	pthread_mutex_lock(&load->lock);
	g_free(load->windows[address]);
	load->windows[address] = g_strdup(window);
	pthread_mutex_unlock(&load->lock);
}

static enum waxwing_error_code fetch_window(struct load_run *load, uint32_t address,
					    struct waxwing_error *error)
{
	struct waxwing_http_call call = {
		.method = "GET",
		.address = load->options->addresses[address],
		.target = "/v1/window",
		.answer_header = WINDOW_HEADER,
		.max_answer_bytes = MAX_ANSWER_BYTES,
		.timeout_ms = WINDOW_TIMEOUT_MS,
	};
	struct waxwing_http_answer answer;
	enum waxwing_http_result end = waxwing_http_call(&call, &answer);
	bool got = end == WAXWING_HTTP_COMPLETE && answer.header;

	if (got)
		store_window(load, address, answer.header);
	waxwing_http_answer_clear(&answer);
	if (got)
		return WAXWING_OK;
	return waxwing_error_set(error, WAXWING_ERROR_UNREACHABLE, call.address,
				 "the instance returned no submission window");
}

static uint32_t address_index(const struct load_run *load, const struct scheduled_send *send)
{
	const struct waxwing_bench_workload *workload = load->options->workload;
	const struct waxwing_bench_job *job = &workload->jobs[send->job];
	uint32_t issuer = job->domain * workload->instances + job->issuer;

	return send->is_resubmission ? (issuer + 1) % load->addresses : issuer;
}

/* Returns the body of a task, which sets its run time on the upstream and identifies it. */
static char *task_body(const struct waxwing_bench_workload *workload, uint32_t job, uint32_t task)
{
	int64_t work_us = workload->tasks[workload->jobs[job].first_task + task].work_us;

	return g_strdup_printf("sleep=%" PRId64 " n=%u/%u", work_us / WAXWING_BENCH_US_PER_MS, job,
			       task);
}

static char *job_body(const struct load_run *load, uint32_t number, char *id)
{
	const struct waxwing_bench_workload *workload = load->options->workload;
	const struct waxwing_bench_job *job = &workload->jobs[number];
	Waxwing__JobRequest request = WAXWING__JOB_REQUEST__INIT;
	Waxwing__TaskRequest *tasks = g_new(Waxwing__TaskRequest, job->task_count);
	Waxwing__TaskRequest **pointers = g_new(Waxwing__TaskRequest *, job->task_count);
	char *text;

	for (uint32_t i = 0; i < job->task_count; i++) {
		waxwing__task_request__init(&tasks[i]);
		tasks[i].body = task_body(workload, number, i);
		tasks[i].has_declared_ms = true;
		tasks[i].declared_ms = workload->tasks[job->first_task + i].declared_ms;
		pointers[i] = &tasks[i];
	}
	request.id = id;
	request.caller = (char *)"bench";
	request.branch = (char *)workload->profile->branches[job->branch].name;
	request.has_deadline_ms = true;
	request.deadline_ms = workload->deadlines ?
				      (uint32_t)(job->deadline_us / WAXWING_BENCH_US_PER_MS) :
				      DEFAULT_DEADLINE_MS;
	request.n_tasks = job->task_count;
	request.tasks = pointers;
	text = waxwing_binding_print(&request.base, false);
	for (uint32_t i = 0; i < job->task_count; i++)
		g_free(tasks[i].body);
	g_free(tasks);
	g_free(pointers);
	return text;
}

/* Returns true if the answer has all tasks in order and each returned its own body. */
static bool has_all_tasks(const struct load_run *load, uint32_t number,
			  const Waxwing__JobAnswer *answer)
{
	const struct waxwing_bench_workload *workload = load->options->workload;
	bool complete = answer->n_tasks == workload->jobs[number].task_count;

	for (uint32_t i = 0; complete && i < answer->n_tasks; i++) {
		char *body = task_body(workload, number, i);
		const char *returned = answer->tasks[i]->body;

		complete = returned && g_str_has_suffix(returned, body);
		g_free(body);
	}
	return complete;
}

static enum waxwing_bench_job_state answer_state(const Waxwing__JobAnswer *answer, bool *known)
{
	*known = true;
	if (strcmp(answer->state, "complete") == 0)
		return WAXWING_BENCH_JOB_COMPLETE;
	if (strcmp(answer->state, "not_run") == 0) {
		bool dropped =
			answer->failure && strcmp(answer->failure->code,
						  waxwing_error_name(WAXWING_ERROR_DEADLINE)) == 0;

		return dropped ? WAXWING_BENCH_JOB_DROPPED : WAXWING_BENCH_JOB_REFUSED;
	}
	if (strcmp(answer->state, "failed") == 0) {
		bool task_failed = answer->failure &&
				   strcmp(answer->failure->code,
					  waxwing_error_name(WAXWING_ERROR_TASK_FAILED)) == 0;

		return task_failed ? WAXWING_BENCH_JOB_FAILED : WAXWING_BENCH_JOB_LATE;
	}
	*known = false;
	return WAXWING_BENCH_JOB_LATE;
}

static void record_outcome(struct load_run *load, const struct scheduled_send *send,
			   const Waxwing__JobAnswer *answer)
{
	struct job_outcome *outcome = &load->outcomes[send->job];

	outcome->state = WAXWING_BENCH_JOB_LATE;
	if (!answer)
		return;
	outcome->state = answer_state(answer, &outcome->known);
	if (outcome->state == WAXWING_BENCH_JOB_COMPLETE && !has_all_tasks(load, send->job, answer))
		load->result->wrong_answers++;
	if (answer->failure) {
		enum waxwing_error_code code = waxwing_error_from_name(answer->failure->code);

		if (code < WAXWING_ERROR_COUNT)
			load->result->error_counts[code]++;
	}
}

/*
 * Compares the bodies of complete answers, but only the state of others: the answer to a
 * resubmission may carry less detail of a refusal.
 */
static void compare_answers(struct load_run *load, struct job_outcome *outcome, const GString *body,
			    const Waxwing__JobAnswer *answer)
{
	bool complete = answer && strcmp(answer->state, "complete") == 0;
	char *text = g_strdup(complete || !answer ? body->str : answer->state);

	if (outcome->answer && strcmp(outcome->answer, text) != 0)
		load->result->differing_repeats++;
	if (outcome->answer)
		g_free(text);
	else
		outcome->answer = text;
}

/*
 * A job's submission and resubmission may be answered in either order; the later answer is compared
 * to the earlier one.
 */
static void handle_answer(struct load_run *load, const struct scheduled_send *send,
			  const GString *body)
{
	struct job_outcome *outcome = &load->outcomes[send->job];
	int64_t intended_us = load->options->workload->jobs[send->job].intended_us;
	struct waxwing_str text = { body->len, body->str };
	struct waxwing_error error = WAXWING_ERROR_INIT;
	Waxwing__JobAnswer *answer = (Waxwing__JobAnswer *)waxwing_binding_parse(
		&waxwing__job_answer__descriptor, text, NULL, &error);

	pthread_mutex_lock(&load->lock);
	if (!send->is_resubmission) {
		record_outcome(load, send, answer);
		outcome->response_us = now_us(load) - intended_us;
		outcome->answered = true;
		load->answered_jobs++;
		if (load->options->progress && load->answered_jobs % PROGRESS_EVERY == 0)
			fprintf(stderr, "  %u of %u jobs answered\n", load->answered_jobs,
				load->options->workload->job_count);
	}
	load->result->repeats += send->is_resubmission;
	compare_answers(load, outcome, body, answer);
	pthread_mutex_unlock(&load->lock);
	if (answer)
		protobuf_c_message_free_unpacked(&answer->base, NULL);
}

/*
 * Returns a copy of the job's id, which its first send assigns. The thread that resubmits the job
 * may call this sooner and then waits for the id. It cannot wait forever, since another thread has
 * always taken the first send before.
 */
static char *job_id(struct load_run *load, const struct scheduled_send *send)
{
	struct job_outcome *outcome = &load->outcomes[send->job];
	char *id;

	pthread_mutex_lock(&load->lock);
	if (!send->is_resubmission) {
		outcome->id = g_strdup_printf("%s/%u", load->windows[address_index(load, send)],
					      send->job);
		pthread_cond_broadcast(&load->id_assigned);
	}
	while (!outcome->id)
		pthread_cond_wait(&load->id_assigned, &load->lock);
	id = g_strdup(outcome->id);
	pthread_mutex_unlock(&load->lock);
	return id;
}

static uint32_t timeout_ms(const struct load_run *load, uint32_t job)
{
	const struct waxwing_bench_workload *workload = load->options->workload;

	if (!workload->deadlines)
		return DEFAULT_DEADLINE_MS + ANSWER_GRACE_MS;
	return (uint32_t)(workload->jobs[job].deadline_us / WAXWING_BENCH_US_PER_MS) +
	       ANSWER_GRACE_MS;
}

static void send_job(struct load_run *load, const struct scheduled_send *send)
{
	uint32_t address = address_index(load, send);
	char *id = job_id(load, send);
	char *body = job_body(load, send->job, id);
	struct waxwing_http_call call = {
		.method = "POST",
		.address = load->options->addresses[address],
		.target = "/v1/jobs",
		.body = waxwing_str(body),
		.answer_header = WINDOW_HEADER,
		.max_answer_bytes = MAX_ANSWER_BYTES,
		.timeout_ms = timeout_ms(load, send->job),
	};
	struct waxwing_http_answer answer;
	double delay_ms = (double)(now_us(load) - send->at_us) / WAXWING_BENCH_US_PER_MS;

	pthread_mutex_lock(&load->lock);
	g_array_append_val(load->delays_ms, delay_ms);
	pthread_mutex_unlock(&load->lock);
	waxwing_http_call(&call, &answer);
	handle_answer(load, send, answer.body);
	store_window(load, address, answer.header);
	waxwing_http_answer_clear(&answer);
	g_free(body);
	g_free(id);
}

static gint compare_sends(gconstpointer left, gconstpointer right)
{
	const struct scheduled_send *a = left;
	const struct scheduled_send *b = right;

	return (a->at_us > b->at_us) - (a->at_us < b->at_us);
}

static void schedule_sends(struct load_run *load)
{
	const struct waxwing_bench_workload *workload = load->options->workload;

	for (uint32_t i = 0; i < workload->job_count; i++) {
		const struct waxwing_bench_job *job = &workload->jobs[i];
		struct scheduled_send send = { .at_us = job->intended_us, .job = i };

		g_array_append_val(load->sends, send);
		send.at_us += job->resubmit_us;
		send.is_resubmission = true;
		if (job->resubmit_us)
			g_array_append_val(load->sends, send);
	}
	g_array_sort(load->sends, compare_sends);
}

/* Takes sends in order and makes each at its time, until none is left. */
static void *send_thread(void *argument)
{
	struct load_run *load = argument;
	guint index;

	while ((index = atomic_fetch_add(&load->next_send, 1)) < load->sends->len) {
		const struct scheduled_send *send =
			&g_array_index(load->sends, struct scheduled_send, index);
		int64_t wait_us = send->at_us - now_us(load);

		if (wait_us > 0)
			g_usleep((gulong)wait_us);
		send_job(load, send);
	}
	return NULL;
}

static void send_all(struct load_run *load)
{
	uint32_t max = load->options->threads ? load->options->threads : DEFAULT_THREADS;
	uint32_t count = MIN(max, load->sends->len);
	pthread_t *threads = g_new(pthread_t, count);
	uint32_t started = 0;

	while (started < count && pthread_create(&threads[started], NULL, send_thread, load) == 0)
		started++;
	for (uint32_t i = 0; i < started; i++)
		pthread_join(threads[i], NULL);
	g_free(threads);
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static struct waxwing_bench_percentiles percentiles(GArray *samples)
{
	const double *sorted = (const double *)(const void *)samples->data;

	g_array_sort(samples, compare_doubles);
	return (struct waxwing_bench_percentiles){
		.p50 = waxwing_bench_percentile(sorted, samples->len, 0.5),
		.p99 = waxwing_bench_percentile(sorted, samples->len, 0.99),
		.p999 = waxwing_bench_percentile(sorted, samples->len, 0.999),
	};
}

/* Work of a task that was done within the measurement window, in microseconds at speed 1. */
static double work_in_window(const struct load_run *load, const struct waxwing_bench_task *task,
			     const struct waxwing_bench_task_log *start)
{
	int64_t from_ms = (load->start_us + load->options->from_us) / WAXWING_BENCH_US_PER_MS;
	int64_t until_ms = (load->start_us + load->options->until_us) / WAXWING_BENCH_US_PER_MS;
	int64_t within_ms = MIN(start->end_ms, until_ms) - MAX(start->start_ms, from_ms);

	if (within_ms <= 0)
		return 0;
	return (double)task->work_us * (double)within_ms /
	       (double)(start->end_ms - start->start_ms);
}

static bool is_not_run(enum waxwing_bench_job_state state)
{
	return state == WAXWING_BENCH_JOB_REFUSED || state == WAXWING_BENCH_JOB_DROPPED;
}

/* Adds a job's task starts to the summary; returns its work done in the measurement window. */
static double count_starts(struct load_run *load, uint32_t number,
			   const struct waxwing_bench_task_log *starts)
{
	const struct waxwing_bench_workload *workload = load->options->workload;
	const struct waxwing_bench_job *job = &workload->jobs[number];
	struct waxwing_bench_summary *summary = &load->result->summary;
	uint64_t before = summary->starts;
	double work_us = 0;

	for (uint32_t i = job->first_task; i < job->first_task + job->task_count; i++) {
		summary->starts += starts[i].start_count;
		summary->double_starts += starts[i].start_count > 1;
		work_us += work_in_window(load, &workload->tasks[i], &starts[i]);
	}
	if (is_not_run(load->outcomes[number].state) && summary->starts > before)
		summary->false_not_run++;
	return work_us;
}

static void summarize_starts(struct load_run *load, const struct waxwing_bench_task_log *starts)
{
	const struct waxwing_bench_load_options *options = load->options;
	const struct waxwing_bench_workload *workload = options->workload;
	struct waxwing_bench_summary *summary = &load->result->summary;
	double capacity_us = workload->capacity * (double)(options->until_us - options->from_us);
	double offered_us = 0;
	double good_us = 0;
	uint64_t not_run = 0;

	for (uint32_t i = 0; i < workload->job_count; i++) {
		const struct waxwing_bench_job *job = &workload->jobs[i];
		double work_us = count_starts(load, i, starts);

		if (load->outcomes[i].state == WAXWING_BENCH_JOB_COMPLETE)
			good_us += work_us;
		not_run += is_not_run(load->outcomes[i].state);
		if (job->intended_us >= options->from_us && job->intended_us < options->until_us)
			offered_us += (double)job->work_us;
	}
	summary->offered = offered_us / capacity_us;
	summary->goodput = good_us / capacity_us;
	summary->true_refusals = not_run ? 1 - (double)summary->false_not_run / (double)not_run : 1;
}

static enum waxwing_error_code read_logs(struct load_run *load, struct waxwing_error *error)
{
	uint32_t jobs = load->options->workload->job_count;
	struct waxwing_bench_task_log *starts;
	char **ids;

	if (!load->options->log_folder)
		return WAXWING_OK;
	ids = g_new0(char *, jobs);
	for (uint32_t i = 0; i < jobs; i++)
		ids[i] = load->outcomes[i].id;
	starts = waxwing_bench_starts_read(load->options->log_folder, load->options->workload, ids,
					   error);
	g_free(ids);
	if (!starts)
		return error->code;
	summarize_starts(load, starts);
	load->result->has_logs = true;
	g_free(starts);
	return WAXWING_OK;
}

static void summarize(struct load_run *load)
{
	const struct waxwing_bench_workload *workload = load->options->workload;
	struct waxwing_bench_measure *measure = waxwing_bench_measure_create();

	for (uint32_t i = 0; i < workload->job_count; i++) {
		const struct job_outcome *outcome = &load->outcomes[i];
		int64_t intended_us = workload->jobs[i].intended_us;

		if (intended_us < load->options->from_us || intended_us >= load->options->until_us)
			continue;
		waxwing_bench_measure_add_job(measure, &workload->jobs[i], outcome->state,
					      outcome->response_us);
		load->result->unknown += !outcome->known;
	}
	load->result->summary = waxwing_bench_measure_summary(measure);
	load->result->send_delay_ms = percentiles(load->delays_ms);
	load->result->duration_s = (double)now_us(load) / US_PER_S;
	waxwing_bench_measure_destroy(measure);
}

static enum waxwing_error_code check_addresses(const struct load_run *load,
					       struct waxwing_error *error)
{
	const struct waxwing_bench_workload *workload = load->options->workload;
	uint32_t wanted = workload->profile->domains * workload->instances;

	if (load->addresses >= wanted)
		return WAXWING_OK;
	return waxwing_error_set(error, WAXWING_ERROR_MISSING, "addresses",
				 "%u of %u entry instances given", load->addresses, wanted);
}

static enum waxwing_error_code run_load(struct load_run *load, struct waxwing_error *error)
{
	enum waxwing_error_code code = check_addresses(load, error);

	for (uint32_t i = 0; code == WAXWING_OK && i < load->addresses; i++)
		code = fetch_window(load, i, error);
	if (code != WAXWING_OK)
		return code;
	schedule_sends(load);
	load->start_us = g_get_monotonic_time();
	send_all(load);
	summarize(load);
	return read_logs(load, error);
}

enum waxwing_error_code waxwing_bench_load_run(const struct waxwing_bench_load_options *options,
					       struct waxwing_bench_load_result *result,
					       struct waxwing_error *error)
{
	uint32_t jobs = options->workload->job_count;
	struct load_run load = {
		.options = options,
		.result = result,
		.addresses = g_strv_length(options->addresses),
		.sends = g_array_new(FALSE, FALSE, sizeof(struct scheduled_send)),
		.delays_ms = g_array_new(FALSE, FALSE, sizeof(double)),
		.windows = g_new0(char *, g_strv_length(options->addresses)),
		.outcomes = g_new0(struct job_outcome, jobs),
	};
	enum waxwing_error_code code;

	*result = (struct waxwing_bench_load_result){ 0 };
	pthread_mutex_init(&load.lock, NULL);
	pthread_cond_init(&load.id_assigned, NULL);
	code = run_load(&load, error);
	pthread_cond_destroy(&load.id_assigned);
	pthread_mutex_destroy(&load.lock);
	for (uint32_t i = 0; i < jobs; i++) {
		g_free(load.outcomes[i].id);
		g_free(load.outcomes[i].answer);
	}
	for (uint32_t i = 0; i < load.addresses; i++)
		g_free(load.windows[i]);
	g_free(load.windows);
	g_free(load.outcomes);
	g_array_free(load.sends, TRUE);
	g_array_free(load.delays_ms, TRUE);
	return code;
}

/*
 * Processor time and memory of the submission table and the settings tree, by size.
 */
#include "bench_scale.h"
#include "settings.h"
#include "submission.h"

#include <stdio.h>

#define TASKS_PER_JOB  8
#define BODY	       "field=17;crew=42;meal=rice-and-broth;count=31;note=drop at plot 9"
#define ANSWER	       "booked=1"
#define WINDOW_LIFE_MS 60000
#define FIRST_MS       1000
#define DEADLINE_MS    60000
#define ID_BYTES       160
#define NS_PER_MS      1e6

struct submission_fixture {
	struct waxwing_submissions *table;
	uint64_t *numbers; /**< numbers of the jobs, in order of submission */
	uint32_t jobs;
};

static void submit_jobs(struct submission_fixture *fixture)
{
	static Waxwing__TaskRequest task = WAXWING__TASK_REQUEST__INIT;
	Waxwing__TaskRequest *tasks[TASKS_PER_JOB];
	Waxwing__JobRequest request = WAXWING__JOB_REQUEST__INIT;
	char *window = waxwing_str_dup(waxwing_submissions_window(fixture->table, FIRST_MS));
	char id[ID_BYTES];

	task.body = (char *)BODY;
	for (int i = 0; i < TASKS_PER_JOB; i++)
		tasks[i] = &task;
	request.id = id;
	request.caller = (char *)"crew-7";
	request.branch = (char *)"meals/booking";
	request.n_tasks = TASKS_PER_JOB;
	request.tasks = tasks;
	for (uint32_t i = 0; i < fixture->jobs; i++) {
		struct waxwing_job job;
		struct waxwing_error error = WAXWING_ERROR_INIT;
		struct waxwing_waiter waiter = { i };

		snprintf(id, sizeof(id), "%s/booking-%u", window, i);
		if (waxwing_submissions_submit(fixture->table, FIRST_MS, &request,
					       FIRST_MS + DEADLINE_MS, waiter, &job,
					       &error) != WAXWING_SUBMIT_NEW)
			g_error("scale: submission refused: %s", error.detail);
		fixture->numbers[i] = job.number;
	}
	g_free(window);
}

static void run_jobs(struct submission_fixture *fixture)
{
	struct waxwing_delivery delivery;
	uint32_t answers = 0;

	for (uint32_t i = 0; i < fixture->jobs; i++) {
		for (uint32_t task = 0; task < TASKS_PER_JOB; task++) {
			struct waxwing_task_start start;
			bool late;

			if (!waxwing_submissions_commit(fixture->table, FIRST_MS,
							fixture->numbers[i], task, &start))
				g_error("scale: cannot commit task");
			waxwing_submissions_end_task(fixture->table, FIRST_MS, fixture->numbers[i],
						     task, WAXWING_SLOT_DONE, waxwing_str(ANSWER),
						     &late);
		}
		while (waxwing_submissions_next_answer(fixture->table, &delivery))
			answers++;
	}
	g_assert(answers == fixture->jobs);
}

static void add_result(GArray *results, const char *metric, const char *unit, uint32_t jobs,
		       double value)
{
	struct waxwing_bench_scale_result result = { "submissions", metric,	   unit,
						     jobs,	    TASKS_PER_JOB, value };

	waxwing_bench_scale_add(results, &result);
}

static void measure_table(GArray *results, uint32_t jobs)
{
	struct waxwing_submissions_options options = {
		.instance = waxwing_str("can-tho-1"),
		.incarnation = 1,
		.window_life_ms = WINDOW_LIFE_MS,
		.window_grace_ms = WINDOW_LIFE_MS,
	};
	struct submission_fixture fixture = { .jobs = jobs, .numbers = g_new(uint64_t, jobs) };
	uint64_t empty_bytes;
	int64_t from_ns;

	fixture.table = waxwing_submissions_create(&options, FIRST_MS);
	empty_bytes = waxwing_bench_scale_heap_bytes();
	from_ns = waxwing_bench_scale_cpu_ns();
	submit_jobs(&fixture);
	add_result(results, "submit of a job", "ns", jobs,
		   (double)(waxwing_bench_scale_cpu_ns() - from_ns) / jobs);
	add_result(results, "memory of a waiting job", "bytes", jobs,
		   (double)(waxwing_bench_scale_heap_bytes() - empty_bytes) / jobs);
	from_ns = waxwing_bench_scale_cpu_ns();
	run_jobs(&fixture);
	add_result(results, "commits, ends and answer of a job", "ns", jobs,
		   (double)(waxwing_bench_scale_cpu_ns() - from_ns) / jobs);
	add_result(results, "memory of a finished job", "bytes", jobs,
		   (double)(waxwing_bench_scale_heap_bytes() - empty_bytes) / jobs);
	waxwing_submissions_destroy(fixture.table);
	g_free(fixture.numbers);
}

void waxwing_bench_scale_submissions(GArray *results)
{
	static const uint32_t jobs[] = { 1000, 10000, 100000 };

	for (size_t i = 0; i < G_N_ELEMENTS(jobs); i++)
		measure_table(results, jobs[i]);
}

static GString *settings_document(uint32_t branches)
{
	GString *text = g_string_new("{ \"branches\": { \"meals\": { \"branches\": {\n");

	for (uint32_t i = 0; i < branches; i++)
		g_string_append_printf(text,
				       "%s\"branch-%u\": { \"values\": { \"weight\": %u, "
				       "\"deadline_ms\": 3000, \"declared_ms\": 180 } }\n",
				       i ? "," : "", i, i % 10 + 1);
	g_string_append(text, "} } } }\n");
	return text;
}

static void measure_settings(GArray *results, uint32_t branches)
{
	GString *text = settings_document(branches);
	struct waxwing_error error = WAXWING_ERROR_INIT;
	uint64_t heap_bytes = waxwing_bench_scale_heap_bytes();
	int64_t from_ns = waxwing_bench_scale_cpu_ns();
	struct waxwing_settings *settings =
		waxwing_settings_parse((struct waxwing_str){ text->len, text->str }, 1, &error);
	int64_t cpu_ns = waxwing_bench_scale_cpu_ns() - from_ns;
	struct waxwing_bench_scale_result rows[] = {
		{ "settings", "document", "bytes a branch", branches, 0,
		  (double)text->len / branches },
		{ "settings", "memory of a snapshot", "bytes a branch", branches, 0,
		  (double)(waxwing_bench_scale_heap_bytes() - heap_bytes) / branches },
		{ "settings", "parse", "ms", branches, 0, (double)cpu_ns / NS_PER_MS },
	};

	if (!settings)
		g_error("scale: settings refused: %s: %s", error.path, error.detail);
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		waxwing_bench_scale_add(results, &rows[i]);
	waxwing_settings_free(settings);
	g_string_free(text, TRUE);
}

void waxwing_bench_scale_settings(GArray *results)
{
	static const uint32_t branches[] = { 10, 100, 1000, 5000 };

	for (size_t i = 0; i < G_N_ELEMENTS(branches); i++)
		measure_settings(results, branches[i]);
}

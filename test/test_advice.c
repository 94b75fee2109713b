/* Checks that an issuer refuses locally only what the scheduler would have refused as well. */
#include "admission_hints.h"
#include "scheduler.h"

#include <glib.h>

#define SCHEDULER	      7
#define ISSUER		      9
#define UPSTREAMS	      4
#define SLOTS		      8
#define ADVERTISE_INTERVAL_MS 5 /* time between two advertised waits */
#define DEADLINE_MS	      4000
#define RUN_MS		      30000
#define BRANCHES	      2
#define MAX_TASKS	      40

static const char *const branches[BRANCHES] = { "small", "large" };

struct overload_simulation {
	struct waxwing_scheduler *scheduler;
	struct waxwing_admission_hints *hints;
	struct waxwing_advertised_wait advertised;
	GArray *running; /* of struct running_task */
	int64_t now_ms;
	uint64_t next_job;
	uint32_t refused;
	uint32_t early; /* number of refused jobs that the hints refused as well */
	/* number of jobs refused by the hints, but admitted by the scheduler */
	uint32_t false_early;
};

struct running_task {
	int64_t ends_at_ms;
	struct waxwing_job_key key;
	uint32_t task;
	uint32_t run_ms;
	char upstream[4];
};

static struct overload_simulation *simulation_new(void)
{
	const struct waxwing_scheduler_options options = { .seed = 1 };
	struct overload_simulation *sim = g_new0(struct overload_simulation, 1);

	sim->now_ms = 1000;
	sim->scheduler = waxwing_scheduler_create(&options);
	sim->hints = waxwing_admission_hints_create();
	sim->advertised.scheduler = SCHEDULER;
	sim->running = g_array_new(FALSE, FALSE, sizeof(struct running_task));
	for (int i = 0; i < BRANCHES; i++) {
		const struct waxwing_branch_policy policy = {
			.branch = waxwing_str(branches[i]),
			.team = waxwing_str(""),
			.weight = 1,
			.declared_ms = 100,
		};

		waxwing_scheduler_set_branch(sim->scheduler, sim->now_ms, &policy);
	}
	for (int i = 0; i < UPSTREAMS; i++) {
		char name[4];

		g_snprintf(name, sizeof(name), "u%d", i);
		waxwing_scheduler_set_upstream(sim->scheduler, sim->now_ms, waxwing_str(name),
					       SLOTS, WAXWING_UPSTREAM_LIVE);
	}
	return sim;
}

static void simulation_free(struct overload_simulation *sim)
{
	waxwing_scheduler_destroy(sim->scheduler);
	waxwing_admission_hints_destroy(sim->hints);
	g_array_free(sim->running, TRUE);
	g_free(sim);
}

static void advertise(struct overload_simulation *sim)
{
	sim->advertised.wait_ms = waxwing_scheduler_expected_wait(sim->scheduler);
	sim->advertised.received_ms = sim->now_ms;
}

/* Asks the hints first, but offers the job to the scheduler in any case. */
static void offer_one(struct overload_simulation *sim)
{
	bool large = !g_test_rand_int_range(0, 4);
	uint32_t tasks = (uint32_t)g_test_rand_int_range(1, large ? MAX_TASKS : 3);
	int64_t remaining_ms = g_test_rand_int_range(DEADLINE_MS / 2, DEADLINE_MS);
	const struct waxwing_job_demand job = {
		.branch = waxwing_str(branches[large]),
		.tasks = tasks,
		.remaining_ms = remaining_ms,
	};
	const struct waxwing_offer offer = {
		.key = { ISSUER, ++sim->next_job },
		.branch = job.branch,
		.task_count = tasks,
		.admitted_ms = sim->now_ms,
		.deadline_ms = sim->now_ms + remaining_ms,
		.bytes = 1,
	};
	struct waxwing_error error = WAXWING_ERROR_INIT;
	uint32_t retry_after_ms = 0;
	bool early = waxwing_admission_hints_would_refuse(sim->hints, sim->now_ms, &sim->advertised,
							  &job, &retry_after_ms);
	bool refused =
		waxwing_scheduler_offer(sim->scheduler, sim->now_ms, &offer, &error) != WAXWING_OK;

	sim->refused += refused;
	sim->early += early && refused;
	sim->false_early += early && !refused;
	if (early)
		g_assert_cmpuint(retry_after_ms, >, 0);
	if (refused && !early && error.code == WAXWING_ERROR_OVERLOAD) {
		advertise(sim);
		waxwing_admission_hints_add_refusal(sim->hints, sim->now_ms, &sim->advertised, &job,
						    error.retry_after_ms);
	}
}

static void end_tasks(struct overload_simulation *sim)
{
	for (guint i = 0; i < sim->running->len;) {
		struct running_task task = g_array_index(sim->running, struct running_task, i);

		if (task.ends_at_ms > sim->now_ms) {
			i++;
			continue;
		}
		g_array_remove_index_fast(sim->running, i);
		waxwing_scheduler_slot_ended(sim->scheduler, sim->now_ms, task.key, task.task,
					     waxwing_str(task.upstream), WAXWING_SLOT_DONE,
					     task.run_ms);
	}
}

static void take_grants(struct overload_simulation *sim)
{
	struct waxwing_action action;

	while (waxwing_scheduler_next_action(sim->scheduler, sim->now_ms, &action)) {
		struct running_task task = { .key = action.key, .task = action.task };

		if (action.kind != WAXWING_ACTION_GRANT)
			continue;
		task.run_ms = (uint32_t)g_test_rand_int_range(20, 300);
		task.ends_at_ms = sim->now_ms + task.run_ms;
		g_snprintf(task.upstream, sizeof(task.upstream), "%.*s",
			   WAXWING_STR_ARG(action.upstream));
		g_array_append_val(sim->running, task);
	}
}

/*
 * Offers 20 jobs in 100 ms, of about 6 tasks of 160 ms each, to 32 slots: six times the capacity.
 */
static void run_simulation(struct overload_simulation *sim)
{
	for (int64_t passed = 0; passed < RUN_MS; passed++) {
		sim->now_ms++;
		end_tasks(sim);
		if (passed % ADVERTISE_INTERVAL_MS == 0)
			advertise(sim);
		if (g_test_rand_int_range(0, 100) < 20)
			offer_one(sim);
		take_grants(sim);
	}
}

static void test_overload(void)
{
	struct overload_simulation *sim = simulation_new();

	run_simulation(sim);
	g_test_message("%" G_GUINT64_FORMAT " jobs, %u refused, %u of these also by the hints; "
		       "%u refused by the hints alone",
		       sim->next_job, sim->refused, sim->early, sim->false_early);
	g_assert_cmpuint(sim->refused, >, 1000);
	g_assert_cmpuint(2 * sim->early, >, sim->refused);
	/*
	 * The hints may wrongly refuse one job in a thousand: a job that is offered in the very
	 * millisecond in which the wait drops.
	 */
	g_assert_cmpuint(1000 * sim->false_early, <=, sim->next_job - sim->refused);
	simulation_free(sim);
}

static bool would_refuse(struct waxwing_admission_hints *hints, int64_t now_ms, uint32_t wait_ms,
			 int64_t received_ms, uint64_t scheduler, uint32_t tasks,
			 int64_t remaining_ms)
{
	const struct waxwing_advertised_wait advertised = { scheduler, wait_ms, received_ms };
	const struct waxwing_job_demand job = { waxwing_str("b"), tasks, remaining_ms };
	uint32_t retry_after_ms;

	return waxwing_admission_hints_would_refuse(hints, now_ms, &advertised, &job,
						    &retry_after_ms);
}

/*
 * A refusal does not apply to smaller jobs, later deadlines, a shorter wait or another scheduler,
 * nor once the refusal or the advertised wait is too old.
 */
static void test_thresholds(void)
{
	struct waxwing_admission_hints *hints = waxwing_admission_hints_create();
	const struct waxwing_advertised_wait advertised = { SCHEDULER, 1000, 100 };
	const struct waxwing_job_demand job = { waxwing_str("b"), 4, 3000 };

	g_assert_false(would_refuse(hints, 100, 1000, 100, SCHEDULER, 4, 2000));
	waxwing_admission_hints_add_refusal(hints, 100, &advertised, &job, 400);
	g_assert_true(would_refuse(hints, 100, 1000, 100, SCHEDULER, 4, 3000));
	g_assert_true(would_refuse(hints, 100, 1000, 100, SCHEDULER, 9, 3000));
	g_assert_true(would_refuse(hints, 100, 1000, 100, SCHEDULER, 4, 3399));
	g_assert_false(would_refuse(hints, 100, 1000, 100, SCHEDULER, 4, 3400));
	g_assert_false(would_refuse(hints, 100, 1000, 100, SCHEDULER, 3, 3000));
	g_assert_false(would_refuse(hints, 100, 800, 100, SCHEDULER, 4, 3000));
	g_assert_false(would_refuse(hints, 100, 1000, 100, SCHEDULER + 1, 4, 3000));
	g_assert_true(would_refuse(hints, 140, 1000, 140, SCHEDULER, 4, 3000));
	g_assert_false(would_refuse(hints, 150, 1000, 150, SCHEDULER, 4, 3000));
	g_assert_false(would_refuse(hints, 250, 1000, 100, SCHEDULER, 4, 1000));
	waxwing_admission_hints_add_refusal(hints, 100, &advertised, &job, 30000);
	g_assert_true(would_refuse(hints, 600, 1000, 600, SCHEDULER, 4, 3000));
	g_assert_false(would_refuse(hints, 601, 1000, 601, SCHEDULER, 4, 3000));
	waxwing_admission_hints_destroy(hints);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/advice/overload", test_overload);
	g_test_add_func("/advice/margins", test_thresholds);
	return g_test_run();
}

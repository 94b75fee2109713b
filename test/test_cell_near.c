/* Tests of a single cell: tasks that wait for a place on the rack of their data. */
#include "cell_fixture.h"
#include "event_log.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define SLOT	1000
#define NEAR_MS 100
#define FACTOR	2
/* Expected duration near, by the initial distribution of run times: its mean is above its median. */
#define EXPECTED_MS 145
/* The longest wait of a task: what running far costs it, and the interval of placements. */
#define MAX_WAIT_MS (EXPECTED_MS * (FACTOR - 1) + 10)

static void offer_for(struct fixture *fixture, uint64_t id, const char *rack)
{
	step_template.affinity = (char *)rack;
	offer(fixture, id, 1, SLOT, NEAR_MS, false);
	step_template.affinity = NULL;
}

static uint64_t ready_on_rack(struct fixture *fixture, const char *id, const char *rack,
			      uint32_t cpu_milli)
{
	uint64_t handle;

	next_rack = rack;
	handle = ready_executor(fixture, id, cpu_milli);
	next_rack = "rack";
	return handle;
}

/* One executor on the rack "hot", which has just started job 1, and one elsewhere. */
static uint64_t set_up_rack(struct fixture *fixture, bool took_over, uint32_t cpu_milli)
{
	uint64_t handle;

	next_data_factor = FACTOR;
	set_up(fixture, took_over);
	next_data_factor = 1;
	handle = ready_on_rack(fixture, "near", "hot", cpu_milli);
	advance(fixture, 10);
	offer_for(fixture, 1, "hot");
	advance(fixture, 5);
	g_assert_cmpstr(start_at(fixture, 0)->executor, ==, "near");
	answer_started(fixture, 0);
	ready_on_rack(fixture, "far", "cold", SLOT);
	advance(fixture, 60);
	return handle;
}

static uint64_t set_up_busy_rack(struct fixture *fixture, bool took_over)
{
	return set_up_rack(fixture, took_over, SLOT);
}

static void end_job_1(struct fixture *fixture, uint64_t handle)
{
	struct waxwing_ended_run ended = { .number = 1, .end = WAXWING_RUN_DONE };

	ended.run_id = start_at(fixture, 0)->run_id;
	answer_hold(fixture, handle, NULL, 0, &ended, 1);
}

static struct waxwing_cell_stats stats_of(struct fixture *fixture)
{
	struct waxwing_cell_stats stats;

	waxwing_cell_get_stats(fixture->cell, fixture->now_ms, &stats);
	return stats;
}

static void assert_starts(struct fixture *fixture, guint index, uint64_t job, const char *executor)
{
	g_assert_cmpuint(start_at(fixture, index)->run_id.job, ==, job);
	g_assert_cmpstr(start_at(fixture, index)->executor, ==, executor);
}

/* Guards against running far just before the place on the rack becomes free. */
static void test_waits(gconstpointer took_over)
{
	struct fixture fixture;
	uint64_t handle = set_up_busy_rack(&fixture, GPOINTER_TO_INT(took_over));

	offer_for(&fixture, 2, "hot");
	advance(&fixture, 20);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	end_job_1(&fixture, handle);
	advance(&fixture, 5);
	assert_starts(&fixture, 1, 2, "near");
	g_assert_cmpuint(stats_of(&fixture).near_waits, ==, 1);
	g_assert_cmpuint(stats_of(&fixture).near_waits_near, ==, 1);
	g_assert_cmpuint(stats_of(&fixture).near_waits_far, ==, 0);
	g_assert_cmpuint(stats_of(&fixture).near_waited_ms, ==, 20);
	g_assert_cmpuint(stats_of(&fixture).near_saved_ms, >, 50);
	g_assert_cmpuint(stats_of(&fixture).near_lost_ms, ==, 0);
	tear_down(&fixture);
}

/* The same for a group: its second task waits for the rack where the first has started. */
static void test_same_rack(void)
{
	struct fixture fixture;
	uint64_t handle;

	handle = set_up_rack(&fixture, false, 2 * SLOT);
	step_template.has_same_rack = step_template.same_rack = true;
	offer(&fixture, 2, 2, SLOT, NEAR_MS, false);
	step_template.has_same_rack = step_template.same_rack = false;
	advance(&fixture, 10);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	assert_starts(&fixture, 1, 2, "near");
	end_job_1(&fixture, handle);
	advance(&fixture, 5);
	assert_starts(&fixture, 2, 2, "near");
	tear_down(&fixture);
}

/* Load: a run on the rack takes far longer than estimated. Guards against waits without a bound. */
static void test_wrong_estimate(void)
{
	struct fixture fixture;
	int64_t offered_ms;

	set_up_busy_rack(&fixture, false);
	offer_for(&fixture, 2, "hot");
	offered_ms = fixture.now_ms;
	while (fixture.recorder.starts->len < 2 && fixture.now_ms < offered_ms + 1000)
		advance(&fixture, 5);
	assert_starts(&fixture, 1, 2, "far");
	g_assert_cmpint(fixture.now_ms - offered_ms, >, 20);
	g_assert_cmpint(fixture.now_ms - offered_ms, <=, MAX_WAIT_MS);
	g_assert_cmpuint(stats_of(&fixture).near_waits_far, ==, 1);
	g_assert_cmpuint(stats_of(&fixture).near_lost_ms, >, 0);
	tear_down(&fixture);
}

static void drain(struct fixture *fixture)
{
	static const char *const labels[] = { "kind", "hot", NULL };
	struct waxwing_executor_entry entry = {
		.id = "near",
		.address = "10.0.0.1:80",
		.service = "service",
		.zone = "zone",
		.kind = "kind",
		.rack = "hot",
		.labels = labels,
		.capacity = { SLOT, 65536, 0 },
		.draining = true,
	};

	waxwing_cell_set_executor(fixture->cell, fixture->now_ms, &entry);
}

/* Guards against waiting for a rack that takes no more tasks, also if it leaves meanwhile. */
static void test_rack_unusable(gconstpointer data)
{
	bool silent = GPOINTER_TO_INT(data);
	struct waxwing_hold_answer silence = { .result = WAXWING_HOLD_NO_ANSWER };
	struct fixture fixture;
	uint64_t handle = set_up_busy_rack(&fixture, false);

	offer_for(&fixture, 2, "hot");
	advance(&fixture, 5);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	if (silent)
		waxwing_cell_hold_answered(fixture.cell, fixture.now_ms, handle, &silence);
	else
		drain(&fixture);
	advance(&fixture, 5);
	assert_starts(&fixture, 1, 2, "far");
	tear_down(&fixture);
}

/* A rack of which the cell has no executor is far everywhere: nothing waits. */
static void test_unknown_rack(void)
{
	struct fixture fixture;

	set_up_busy_rack(&fixture, false);
	offer_for(&fixture, 2, "elsewhere");
	advance(&fixture, 5);
	assert_starts(&fixture, 1, 2, "far");
	g_assert_cmpuint(stats_of(&fixture).near_waits, ==, 0);
	g_assert_cmpuint(stats_of(&fixture).near_visits, ==, 0);
	tear_down(&fixture);
}

/*
 * Load: a less urgent task waits for the rack. Guards against keeping places from more urgent
 * tasks: one without a rack starts at once, and one that wants the rack gets its place first.
 */
static void test_urgent_first(void)
{
	struct fixture fixture;
	uint64_t handle = set_up_busy_rack(&fixture, false);

	next_priority = 2;
	offer_for(&fixture, 2, "hot");
	advance(&fixture, 5);
	g_assert_cmpuint(stats_of(&fixture).near_waits, ==, 1);
	next_priority = 0;
	offer(&fixture, 3, 1, SLOT, NEAR_MS, false);
	advance(&fixture, 5);
	assert_starts(&fixture, 1, 3, "far");
	offer_for(&fixture, 4, "hot");
	advance(&fixture, 5);
	end_job_1(&fixture, handle);
	advance(&fixture, 5);
	assert_starts(&fixture, 2, 4, "near");
	tear_down(&fixture);
}

/* Guards against several tasks that wait for the same place: the second expects the next one. */
static void test_one_behind_the_other(void)
{
	struct fixture fixture;

	set_up_busy_rack(&fixture, false);
	offer_for(&fixture, 2, "hot");
	offer_for(&fixture, 3, "hot");
	advance(&fixture, 5);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	assert_starts(&fixture, 1, 3, "far");
	g_assert_cmpuint(stats_of(&fixture).near_waits, ==, 1);
	tear_down(&fixture);
}

/* Returns how often @text contains @part. */
static guint count_parts(const char *text, const char *part)
{
	guint count = 0;

	for (const char *at = strstr(text, part); at; at = strstr(at + 1, part))
		count++;
	return count;
}

/* Guards against waits that are never accounted for: the caller goes while its task waits. */
static void test_withdrawn(void)
{
	struct fixture fixture;

	set_up_busy_rack(&fixture, false);
	offer_for(&fixture, 2, "hot");
	advance(&fixture, 20);
	waxwing_cell_withdraw(fixture.cell, fixture.now_ms, WAXWING_ISSUER_SELF, 2);
	advance(&fixture, 5);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	g_assert_cmpuint(stats_of(&fixture).near_waits, ==, 1);
	g_assert_cmpuint(stats_of(&fixture).near_waits_dropped, ==, 1);
	g_assert_cmpuint(stats_of(&fixture).near_waits_far, ==, 0);
	tear_down(&fixture);
}

/* Guards against a log line at each placement while a task waits. Opens the log: runs last. */
static void test_one_event(void)
{
	struct fixture fixture;
	uint64_t handle = set_up_busy_rack(&fixture, false);
	int saved_stdout;
	int ends[2];
	char text[8192];
	ssize_t len;

	g_assert_cmpint(pipe(ends), ==, 0);
	fflush(stdout);
	saved_stdout = dup(STDOUT_FILENO);
	dup2(ends[1], STDOUT_FILENO);
	waxwing_event_log_open("node", "zone");
	offer_for(&fixture, 2, "hot");
	advance(&fixture, 20);
	end_job_1(&fixture, handle);
	advance(&fixture, 5);
	dup2(saved_stdout, STDOUT_FILENO);
	close(saved_stdout);
	close(ends[1]);
	len = read(ends[0], text, sizeof(text) - 1);
	close(ends[0]);
	g_assert_cmpint(len, >, 0);
	text[len] = '\0';
	assert_starts(&fixture, 1, 2, "near");
	g_assert_cmpuint(count_parts(text, "\"event\":\"near_wait\""), ==, 1);
	g_assert_cmpuint(count_parts(text, "\"how\":\"near\""), ==, 1);
	g_assert_cmpuint(count_parts(text, "\"waited_ms\":20"), ==, 1);
	tear_down(&fixture);
}

/* Fills all @rack_size places on the rack, and returns the executors that one decision examines. */
static uint64_t visits_of_decision(guint executors, guint rack_size)
{
	struct fixture fixture;
	uint64_t visits;

	next_data_factor = FACTOR;
	set_up(&fixture, false);
	next_data_factor = 1;
	for (guint i = 0; i < executors; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "x%u", i);
		next_rack = i % (executors / rack_size) ? "cold" : "hot";
		add_executor(&fixture, id, SLOT, 0);
	}
	next_rack = "rack";
	waxwing_cell_advance(fixture.cell, fixture.now_ms);
	for (uint64_t handle = 1; handle <= executors; handle++)
		answer_hold(&fixture, handle, NULL, 0, NULL, 0);
	for (guint i = 0; i < rack_size; i++)
		offer_for(&fixture, i + 1, "hot");
	waxwing_cell_advance(fixture.cell, fixture.now_ms);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, rack_size);
	offer_for(&fixture, rack_size + 1, "hot");
	visits = stats_of(&fixture).near_visits;
	waxwing_cell_advance(fixture.cell, fixture.now_ms);
	visits = stats_of(&fixture).near_visits - visits;
	tear_down(&fixture);
	return visits;
}

/* Guards against a decision whose cost grows with the executors outside the rack. */
static void test_cost(void)
{
	static const guint sizes[] = { 350, 3500, 21000 };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		uint64_t visits = visits_of_decision(sizes[i], 10);

		g_test_message("%u executors: %u visited", sizes[i], (unsigned int)visits);
		g_assert_cmpuint(visits, ==, 10);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func("/cell_near/waits", GINT_TO_POINTER(false), test_waits);
	g_test_add_data_func("/cell_near/waits_after_takeover", GINT_TO_POINTER(true), test_waits);
	g_test_add_func("/cell_near/same_rack", test_same_rack);
	g_test_add_func("/cell_near/wrong_estimate", test_wrong_estimate);
	g_test_add_data_func("/cell_near/draining", GINT_TO_POINTER(false), test_rack_unusable);
	g_test_add_data_func("/cell_near/silent", GINT_TO_POINTER(true), test_rack_unusable);
	g_test_add_func("/cell_near/unknown_rack", test_unknown_rack);
	g_test_add_func("/cell_near/urgent_first", test_urgent_first);
	g_test_add_func("/cell_near/one_behind_the_other", test_one_behind_the_other);
	g_test_add_func("/cell_near/cost", test_cost);
	g_test_add_func("/cell_near/withdrawn", test_withdrawn);
	g_test_add_func("/cell_near/one_event", test_one_event);
	return g_test_run();
}

/* Tests of executors that are slow for a while after their start (cold). */
#include "cell_fixture.h"

#define EXECUTORS      4
#define EXECUTOR_CPU   64000
#define TASK_CPU       1000
#define FIRST_STARTED  5000 /* start of the first incarnation */
#define SECOND_STARTED 9000

struct zone {
	struct fixture fixture;
	uint64_t handles[EXECUTORS];
	uint64_t ends[EXECUTORS]; /* number of the last end */
	guint answered; /* starts that were answered */
};

/* Writes the entry of executor @index, as its incarnation @started_ms. */
static void write_entry(struct zone *zone, uint32_t index, int64_t started_ms, uint32_t cold_ms)
{
	static const char *const labels[] = { "kind", "rack", NULL };
	char id[8];
	struct waxwing_executor_entry entry = {
		.id = id,
		.address = "10.0.0.1:80",
		.service = "service",
		.zone = "zone",
		.kind = "kind",
		.rack = "rack",
		.labels = labels,
		.capacity = { EXECUTOR_CPU, 65536, 0 },
		.started_ms = started_ms,
		.cold_remaining_ms = cold_ms,
	};

	g_snprintf(id, sizeof(id), "e%u", index);
	waxwing_cell_set_executor(zone->fixture.cell, zone->fixture.now_ms, &entry);
}

static void add_executors(struct zone *zone, uint32_t cold_ms)
{
	zone->fixture.started_ms = FIRST_STARTED;
	for (uint32_t i = 0; i < EXECUTORS; i++) {
		write_entry(zone, i, FIRST_STARTED, cold_ms);
		waxwing_cell_advance(zone->fixture.cell, zone->fixture.now_ms);
		zone->handles[i] = zone->fixture.recorder.handle;
		answer_hold(&zone->fixture, zone->handles[i], NULL, 0, NULL, 0);
	}
}

/* Version of the configuration of jobs that are offered next. */
static uint64_t next_routing_version;

static void offer_tasks(struct zone *zone, uint64_t id, uint32_t count, uint32_t milli_rate)
{
	Waxwing__JobOffer *offer = make_offer(id, count, TASK_CPU, 100, false, false);

	offer->job->has_cold_start_ms = offer->job->has_cold_milli_starts_per_s = true;
	offer->job->cold_start_ms = 4000;
	offer->job->routing_version = next_routing_version;
	offer->job->cold_milli_starts_per_s = milli_rate;
	offer->job->allowance_ms = 60000;
	offer->job->patience_ms = 60000;
	waxwing_cell_offer(zone->fixture.cell, zone->fixture.now_ms, WAXWING_ISSUER_SELF, offer);
}

/* Returns the number of starts on executor @index since start @from. */
static uint32_t starts_on(struct zone *zone, uint32_t index, guint from)
{
	uint32_t count = 0;

	for (guint i = from; i < zone->fixture.recorder.starts->len; i++)
		count += start_at(&zone->fixture, i)->handle == zone->handles[index];
	return count;
}

static uint32_t index_of(const struct zone *zone, uint64_t handle)
{
	for (uint32_t i = 0; i < EXECUTORS; i++)
		if (zone->handles[i] == handle)
			return i;
	g_assert_not_reached();
}

/* Answers all starts, then ends their runs. */
static void end_all(struct zone *zone, enum waxwing_run_end end)
{
	guint len = zone->fixture.recorder.starts->len;

	for (guint i = zone->answered; i < len; i++)
		answer_started(&zone->fixture, i);
	for (; zone->answered < len; zone->answered++) {
		const struct start *start = start_at(&zone->fixture, zone->answered);
		struct waxwing_ended_run ended = {
			.number = ++zone->ends[index_of(zone, start->handle)],
			.run_id = start->run_id,
			.end = end,
		};
		struct waxwing_hold_answer answer = {
			.result = WAXWING_HOLD_ANSWERED,
			.clock_ms = CLOCK_OFFSET_MS + zone->fixture.now_ms,
			.started_ms = zone->fixture.started_ms,
			.ended = &ended,
			.ended_count = 1,
			.ends_truncated = true, /* other runs go on */
		};

		waxwing_cell_hold_answered(zone->fixture.cell, zone->fixture.now_ms, start->handle,
					   &answer);
	}
}

/*
 * Guards against a thundering herd: all executors of a zone come back cold while a queue waits. Each
 * gets one first task, and twice as many with each round that ends well.
 */
static void test_zone_comes_back(void)
{
	struct zone zone = { 0 };
	struct waxwing_cell_stats stats;
	guint from = 0;

	set_up(&zone.fixture, false);
	add_executors(&zone, 10000);
	offer_tasks(&zone, 1, 200, 0);
	for (uint32_t expected = 1; expected <= 8; expected *= 2) {
		advance(&zone.fixture, 50);
		for (uint32_t i = 0; i < EXECUTORS; i++)
			g_assert_cmpuint(starts_on(&zone, i, from), ==, expected);
		from = zone.fixture.recorder.starts->len;
		waxwing_cell_get_stats(zone.fixture.cell, zone.fixture.now_ms, &stats);
		g_assert_cmpuint(stats.cold, ==, EXECUTORS);
		g_assert_cmpuint(stats.free_milli, ==, 0);
		end_all(&zone, WAXWING_RUN_DONE);
	}
	g_assert_cmpuint(stats.cold_phases, ==, EXECUTORS);
	g_assert_cmpuint(stats.cold_starts, ==, from);
	tear_down(&zone.fixture);
}

/* An executor whose runs fail while it is cold gets no more of them at a time. */
static void test_failures_do_not_widen(void)
{
	struct zone zone = { 0 };

	set_up(&zone.fixture, false);
	add_executors(&zone, 10000);
	offer_tasks(&zone, 1, 200, 0);
	advance(&zone.fixture, 50);
	end_all(&zone, WAXWING_RUN_FAILED);
	advance(&zone.fixture, 50);
	for (uint32_t i = 0; i < EXECUTORS; i++)
		g_assert_cmpuint(starts_on(&zone, i, EXECUTORS), <=, 1);
	tear_down(&zone.fixture);
}

/* Guards against limits on warm executors: those beside a cold one take the whole queue at once. */
static void test_warm_not_affected(void)
{
	struct zone zone = { 0 };

	set_up(&zone.fixture, false);
	add_executors(&zone, 0);
	write_entry(&zone, 0, FIRST_STARTED, 10000);
	offer_tasks(&zone, 1, 100, 2000);
	advance(&zone.fixture, 5);
	g_assert_cmpuint(zone.fixture.recorder.starts->len, ==, 100);
	g_assert_cmpuint(starts_on(&zone, 0, 0), <=, 1);
	tear_down(&zone.fixture);
}

/*
 * With a rate, starts on each executor are 1 / rate apart, wherever the span begins, also if short
 * runs end at once.
 */
static void test_rate(void)
{
	struct zone zone = { 0 };
	int64_t last_ms[EXECUTORS] = { 0 };
	guint seen = 0;

	set_up(&zone.fixture, false);
	add_executors(&zone, 10000);
	offer_tasks(&zone, 1, 200, 4000);
	for (int i = 0; i < 800; i++) {
		if (i % 10 == 0)
			end_all(&zone, WAXWING_RUN_DONE);
		advance(&zone.fixture, 5);
		for (; seen < zone.fixture.recorder.starts->len; seen++) {
			uint32_t on = index_of(&zone, start_at(&zone.fixture, seen)->handle);

			if (last_ms[on])
				g_assert_cmpint(zone.fixture.now_ms - last_ms[on], >=, 250);
			last_ms[on] = zone.fixture.now_ms;
		}
	}
	g_assert_cmpuint(seen, >, EXECUTORS * 8);
	tear_down(&zone.fixture);
}

/*
 * Guards against a gang that does not fit yet and uses up the allowance of the executors, because it
 * is tried again and again without a start.
 */
static void test_gang_attempts(void)
{
	struct zone zone = { 0 };

	set_up(&zone.fixture, false);
	add_executors(&zone, 10000);
	step_template.has_gang = step_template.gang = true;
	offer_tasks(&zone, 1, EXECUTORS * 2, 20000);
	step_template.has_gang = step_template.gang = false;
	offer_tasks(&zone, 2, 100, 20000);
	for (int i = 0; i < 4; i++) {
		advance(&zone.fixture, 60);
		end_all(&zone, WAXWING_RUN_DONE);
	}
	for (uint32_t i = 0; i < EXECUTORS; i++)
		g_assert_cmpuint(starts_on(&zone, i, 0), >=, 3);
	tear_down(&zone.fixture);
}

/*
 * Issuers have different configurations for a while, and those of the previous release do not send
 * the fields. Guards against a rate that their jobs set back or lift.
 */
static void test_newest_rate_counts(void)
{
	struct zone zone = { 0 };

	set_up(&zone.fixture, false);
	add_executors(&zone, 10000);
	next_routing_version = 8;
	offer_tasks(&zone, 1, 100, 1000);
	next_routing_version = 7;
	offer_tasks(&zone, 2, 100, 500000);
	next_routing_version = 0;
	offer(&zone.fixture, 3, 1, TASK_CPU, 100, false);
	for (int i = 0; i < 19; i++) {
		advance(&zone.fixture, 50);
		end_all(&zone, WAXWING_RUN_DONE);
	}
	g_assert_cmpuint(zone.fixture.recorder.starts->len, ==, EXECUTORS);
	tear_down(&zone.fixture);
}

/*
 * A new owner does not know what its predecessor started, so it first lets one interval pass, and
 * then has one run in flight.
 */
static void test_takeover(void)
{
	struct zone zone = { 0 };

	set_up(&zone.fixture, true);
	add_executors(&zone, 10000);
	offer_tasks(&zone, 1, 100, 2000);
	advance(&zone.fixture, 480);
	g_assert_cmpuint(zone.fixture.recorder.starts->len, ==, 0);
	advance(&zone.fixture, 1000);
	for (uint32_t i = 0; i < EXECUTORS; i++)
		g_assert_cmpuint(starts_on(&zone, i, 0), ==, 1);
	tear_down(&zone.fixture);
}

/* A cold executor whose entry later says 0 is warm at once. */
static void test_becomes_warm(void)
{
	struct zone zone = { 0 };
	struct waxwing_cell_stats stats;

	set_up(&zone.fixture, false);
	add_executors(&zone, 10000);
	offer_tasks(&zone, 1, 100, 1000);
	advance(&zone.fixture, 50);
	g_assert_cmpuint(zone.fixture.recorder.starts->len, ==, EXECUTORS);
	write_entry(&zone, 2, FIRST_STARTED, 0);
	advance(&zone.fixture, 50);
	g_assert_cmpuint(starts_on(&zone, 2, 0), ==, 64);
	g_assert_cmpuint(zone.fixture.recorder.starts->len, ==, EXECUTORS - 1 + 64);
	waxwing_cell_get_stats(zone.fixture.cell, zone.fixture.now_ms, &stats);
	g_assert_cmpuint(stats.cold, ==, EXECUTORS - 1);
	tear_down(&zone.fixture);
}

/*
 * A new incarnation starts anew, whether its entry is read before or after its first answer. Guards
 * against the last entry of the former incarnation, which was warm, read after the restart.
 */
static void test_new_incarnation(gconstpointer entry_first)
{
	struct zone zone = { 0 };

	set_up(&zone.fixture, false);
	add_executors(&zone, 0);
	offer_tasks(&zone, 1, 1, 0);
	advance(&zone.fixture, 5);
	end_all(&zone, WAXWING_RUN_DONE);
	advance(&zone.fixture, 5);
	if (entry_first)
		write_entry(&zone, 0, SECOND_STARTED, 3000);
	zone.fixture.started_ms = SECOND_STARTED;
	for (uint32_t i = 0; i < EXECUTORS; i++) {
		answer_hold(&zone.fixture, zone.handles[i], NULL, 0, NULL, 0);
		write_entry(&zone, i, FIRST_STARTED, 0);
	}
	offer_tasks(&zone, 2, 100, 0);
	advance(&zone.fixture, 50);
	g_assert_cmpuint(zone.fixture.recorder.starts->len, ==, 1 + EXECUTORS);
	write_entry(&zone, 1, SECOND_STARTED, 0);
	advance(&zone.fixture, 50);
	g_assert_cmpuint(starts_on(&zone, 1, 1), ==, 64);
	tear_down(&zone.fixture);
}

/* Runs @rounds single tasks, each for @run_ms on the executor that the cell picks. */
static void run_tasks(struct zone *zone, uint64_t first_id, uint32_t rounds, int64_t run_ms)
{
	for (uint32_t i = 0; i < rounds; i++) {
		offer_tasks(zone, first_id + i, 1, 0);
		advance(&zone->fixture, 5);
		answer_started(&zone->fixture, zone->answered);
		zone->fixture.now_ms += run_ms;
		end_all(zone, WAXWING_RUN_DONE);
	}
}

/* Sets how much longer all executors are cold, in their present incarnation. */
static void write_entries(struct zone *zone, uint32_t cold_ms)
{
	for (uint32_t i = 0; i < EXECUTORS; i++)
		write_entry(zone, i, FIRST_STARTED, cold_ms);
}

/*
 * Guards against executors that count as slow after they have become warm, and against tasks that
 * go to a cold executor beside a warm one. The speeds are read from the free CPU that the cell
 * reports, and do not change with cold runs of 5 times the length.
 */
static void test_cold_runs_teach_no_speed(void)
{
	struct zone zone = { 0 };
	struct waxwing_cell_stats before;
	struct waxwing_cell_stats after;
	guint from;

	set_up(&zone.fixture, false);
	add_executors(&zone, 0);
	run_tasks(&zone, 100, 30, 100);
	waxwing_cell_get_stats(zone.fixture.cell, zone.fixture.now_ms, &before);
	write_entries(&zone, 600000);
	run_tasks(&zone, 200, 30, 500);
	write_entries(&zone, 0);
	waxwing_cell_get_stats(zone.fixture.cell, zone.fixture.now_ms, &after);
	g_assert_cmpuint(after.cold_starts, ==, 30);
	g_assert_cmpuint(after.free_milli, ==, before.free_milli);
	from = zone.fixture.recorder.starts->len;
	for (uint32_t i = 0; i < EXECUTORS - 1; i++)
		write_entry(&zone, i, FIRST_STARTED, 600000);
	run_tasks(&zone, 300, 10, 100);
	g_assert_cmpuint(starts_on(&zone, EXECUTORS - 1, from), ==, 10);
	tear_down(&zone.fixture);
}

/* A service that states a rate limits nothing while its executors' entries say that they are warm. */
static void test_nothing_changes(void)
{
	struct zone zone = { 0 };
	struct waxwing_cell_stats stats;

	set_up(&zone.fixture, false);
	add_executors(&zone, 0);
	offer_tasks(&zone, 1, 256, 1000);
	advance(&zone.fixture, 5);
	g_assert_cmpuint(zone.fixture.recorder.starts->len, ==, 256);
	waxwing_cell_get_stats(zone.fixture.cell, zone.fixture.now_ms, &stats);
	g_assert_cmpuint(stats.cold + stats.cold_phases + stats.cold_starts, ==, 0);
	tear_down(&zone.fixture);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell_cold/zone_comes_back", test_zone_comes_back);
	g_test_add_func("/cell_cold/failures_do_not_widen", test_failures_do_not_widen);
	g_test_add_func("/cell_cold/warm_not_affected", test_warm_not_affected);
	g_test_add_func("/cell_cold/rate", test_rate);
	g_test_add_func("/cell_cold/gang_attempts", test_gang_attempts);
	g_test_add_func("/cell_cold/newest_rate_counts", test_newest_rate_counts);
	g_test_add_func("/cell_cold/takeover", test_takeover);
	g_test_add_func("/cell_cold/becomes_warm", test_becomes_warm);
	g_test_add_data_func("/cell_cold/entry_before_answer", GINT_TO_POINTER(1),
			     test_new_incarnation);
	g_test_add_data_func("/cell_cold/entry_after_answer", NULL, test_new_incarnation);
	g_test_add_func("/cell_cold/cold_runs_teach_no_speed", test_cold_runs_teach_no_speed);
	g_test_add_func("/cell_cold/nothing_changes", test_nothing_changes);
	return g_test_run();
}

#include "fake_store.h"
#include "schedule.h"
#include "schedule_claim.h"

#define START_MS    1700000000000
#define STEP_MS	    50
#define SPAN_MS	    5000
#define LATENESS_MS 2000
#define INSTANCES   4

static const char document[] =
	"{\"branches\": {\"meals\": {\"jobs\": {"
	"\"remind\": {\"domain\": \"can-tho\", \"period_ms\": 1500, \"offset_ms\": 70},"
	"\"report\": {\"domain\": \"can-tho\", \"period_ms\": 7000},"
	"\"other\": {\"domain\": \"an-giang\", \"period_ms\": 1000},"
	"\"never\": {\"domain\": \"can-tho\"}}},"
	"\"harvest\": {\"values\": {\"retired\": true}, \"jobs\": {"
	"\"old\": {\"domain\": \"can-tho\", \"period_ms\": 1000}}}}}";

static const char run_on_outage_document[] =
	"{\"values\": {\"on_outage\": \"run\"}, \"branches\": {\"meals\": {\"jobs\": {"
	"\"remind\": {\"domain\": \"can-tho\", \"period_ms\": 1500, \"offset_ms\": 70}}}}}";

/* An instance and its pending platform call. */
struct sim_instance {
	struct waxwing_schedule *schedule;
	uint64_t incarnation; /* 0: not running */
	int64_t clock_offset_ms; /* offset of its clock from the true time */
	int64_t paused_until_ms;
	enum waxwing_schedule_action_kind call;
	int64_t effect_ms; /* when the call takes effect; 0: no call, or it has taken effect */
	int64_t answer_ms; /* when the answer arrives; 0: none pending */
	enum waxwing_error_code code;
	struct waxwing_platform_value value;
	char *text;
	uint64_t revision;
	bool leaving;
};

/*
 * How often an occurrence was fired or reported; the key in the table of outcomes is
 * "branch/job@time".
 */
struct occurrence_outcome {
	int fired;
	int missed; /* reported as late or unclaimed, which means not started */
	int uncertain; /* reported as possibly started */
};

static struct simulation {
	struct fake_store store;
	struct sim_instance instances[INSTANCES];
	GHashTable *outcomes;
	struct waxwing_settings *settings;
	int64_t now_ms;
	uint64_t next_incarnation;
	int latency_ms;
} sim;

static bool instance_alive(void *context, uint64_t incarnation)
{
	(void)context;
	for (int i = 0; i < INSTANCES; i++)
		if (sim.instances[i].incarnation == incarnation)
			return !sim.instances[i].leaving;
	return false;
}

static void instance_start(struct sim_instance *instance)
{
	struct waxwing_schedule_options options = {
		.domain = waxwing_str("can-tho"),
		.span_ms = SPAN_MS,
		.lateness_ms = LATENESS_MS,
		.alive = instance_alive,
	};

	*instance = (struct sim_instance){ .clock_offset_ms = instance->clock_offset_ms };
	instance->incarnation = ++sim.next_incarnation;
	options.incarnation = instance->incarnation;
	options.seed = instance->incarnation;
	instance->schedule =
		waxwing_schedule_create(&options, sim.now_ms + instance->clock_offset_ms);
	waxwing_schedule_set_settings(instance->schedule, sim.settings,
				      sim.now_ms + instance->clock_offset_ms);
}

static void instance_stop(struct sim_instance *instance)
{
	/* A write that was already sent still takes effect. */
	if (instance->effect_ms && instance->call == WAXWING_SCHEDULE_WRITE)
		fake_put(&sim.store.base, "key", instance->revision, waxwing_str(instance->text),
			 NULL);
	waxwing_schedule_destroy(instance->schedule);
	g_free(instance->text);
	g_free(instance->value.data);
	*instance = (struct sim_instance){ .clock_offset_ms = instance->clock_offset_ms };
}

static struct occurrence_outcome *outcome_of(const struct waxwing_schedule_action *action,
					     int64_t occurrence_ms)
{
	char *key = g_strdup_printf("%.*s/%.*s@%" G_GINT64_FORMAT, WAXWING_STR_ARG(action->branch),
				    WAXWING_STR_ARG(action->job), occurrence_ms);
	struct occurrence_outcome *outcome = g_hash_table_lookup(sim.outcomes, key);

	if (!outcome) {
		outcome = g_new0(struct occurrence_outcome, 1);
		g_hash_table_insert(sim.outcomes, g_strdup(key), outcome);
	}
	g_free(key);
	return outcome;
}

static void record_missed(const struct waxwing_schedule_action *action)
{
	int64_t period_ms = waxwing_str_equal(action->job, waxwing_str("remind")) ? 1500 : 7000;

	for (uint64_t i = 0; i < action->count; i++) {
		struct occurrence_outcome *outcome =
			outcome_of(action, action->occurrence_ms + (int64_t)i * period_ms);

		if (action->reason == WAXWING_MISSED_UNCERTAIN)
			outcome->uncertain++;
		else
			outcome->missed++;
	}
}

static void start_call(struct sim_instance *instance, const struct waxwing_schedule_action *action)
{
	g_assert_cmpint(instance->answer_ms, ==, 0);
	instance->call = action->kind;
	instance->effect_ms = sim.now_ms + g_test_rand_int_range(1, sim.latency_ms + 1);
	instance->answer_ms = instance->effect_ms + g_test_rand_int_range(1, sim.latency_ms + 1);
	instance->revision = action->revision;
	g_free(instance->text);
	instance->text = waxwing_str_dup(action->text);
}

static void instance_take_actions(struct sim_instance *instance)
{
	struct waxwing_schedule_action action;
	int64_t local_ms = sim.now_ms + instance->clock_offset_ms;

	while (waxwing_schedule_next_action(instance->schedule, &action)) {
		switch (action.kind) {
		case WAXWING_SCHEDULE_FIRE:
			g_assert_cmpint(action.occurrence_ms, <=, local_ms);
			g_assert_cmpint(action.occurrence_ms, >=, local_ms - LATENESS_MS);
			g_assert_true(waxwing_str_equal(action.branch, waxwing_str("meals")));
			outcome_of(&action, action.occurrence_ms)->fired++;
			break;
		case WAXWING_SCHEDULE_MISSED:
			record_missed(&action);
			break;
		default:
			start_call(instance, &action);
		}
	}
}

static void instance_perform_call(struct sim_instance *instance)
{
	if (instance->effect_ms && sim.now_ms >= instance->effect_ms) {
		instance->effect_ms = 0;
		if (instance->call == WAXWING_SCHEDULE_READ)
			instance->code = fake_get(&sim.store.base, "key", &instance->value, NULL);
		else
			instance->code = fake_put(&sim.store.base, "key", instance->revision,
						  waxwing_str(instance->text), NULL);
	}
}

static void instance_receive_answer(struct sim_instance *instance)
{
	int64_t local_ms = sim.now_ms + instance->clock_offset_ms;
	struct waxwing_platform_value value = instance->value;

	if (instance->effect_ms || !instance->answer_ms || sim.now_ms < instance->answer_ms)
		return;
	instance->answer_ms = 0;
	instance->value.data = NULL;
	if (instance->call == WAXWING_SCHEDULE_READ)
		waxwing_schedule_read_done(
			instance->schedule, local_ms, instance->code, value.revision,
			(struct waxwing_str){ value.data ? value.len : 0, value.data });
	else
		waxwing_schedule_write_done(instance->schedule, local_ms, instance->code);
	g_free(value.data);
}

static void step(void)
{
	sim.now_ms += STEP_MS;
	for (int i = 0; i < INSTANCES; i++) {
		struct sim_instance *instance = &sim.instances[i];

		if (!instance->incarnation)
			continue;
		instance_perform_call(instance);
		if (sim.now_ms < instance->paused_until_ms)
			continue;
		instance_receive_answer(instance);
		waxwing_schedule_tick(instance->schedule, sim.now_ms + instance->clock_offset_ms);
		instance_take_actions(instance);
	}
}

static void run_for(int64_t duration_ms)
{
	int64_t end_ms = sim.now_ms + duration_ms;

	while (sim.now_ms < end_ms)
		step();
}

static void sim_open(const char *text, int instances)
{
	sim = (struct simulation){ .now_ms = START_MS, .latency_ms = 40 };
	sim.settings = waxwing_settings_parse(waxwing_str(text), 1, NULL);
	sim.outcomes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_assert_nonnull(sim.settings);
	fake_store_init(&sim.store, NULL);
	for (int i = 0; i < instances; i++)
		instance_start(&sim.instances[i]);
}

static void sim_close(void)
{
	for (int i = 0; i < INSTANCES; i++)
		if (sim.instances[i].incarnation)
			instance_stop(&sim.instances[i]);
	g_hash_table_destroy(sim.outcomes);
	waxwing_settings_free(sim.settings);
	fake_store_clear(&sim.store);
}

/* Totals of a job's occurrences in [from_ms, until_ms). */
struct totals {
	int occurrences;
	int fired;
	int unaccounted; /* neither fired nor reported */
	int fired_twice; /* fired more than once */
	int false_reports; /* reported as not started although fired, or reported more than once */
};

static struct totals count_outcomes(const char *job, int64_t period_ms, int64_t offset_ms,
				    int64_t from_ms, int64_t until_ms)
{
	struct totals totals = { 0 };
	int64_t occurrence_ms = from_ms - from_ms % period_ms + offset_ms;

	for (; occurrence_ms < until_ms; occurrence_ms += period_ms) {
		char *key = g_strdup_printf("meals/%s@%" G_GINT64_FORMAT, job, occurrence_ms);
		const struct occurrence_outcome *outcome = g_hash_table_lookup(sim.outcomes, key);

		g_free(key);
		if (occurrence_ms < from_ms)
			continue;
		totals.occurrences++;
		totals.unaccounted += !outcome;
		if (!outcome)
			continue;
		totals.fired += outcome->fired;
		totals.fired_twice += outcome->fired > 1;
		totals.false_reports += outcome->missed && outcome->fired;
		totals.false_reports += outcome->missed > 1;
	}
	return totals;
}

static void test_without_faults(void)
{
	int64_t minute_ms = 60000;
	struct totals totals;

	sim_open(document, INSTANCES);
	run_for(minute_ms);
	totals = count_outcomes("remind", 1500, 70, START_MS + 1000, sim.now_ms - 1000);
	g_assert_cmpint(totals.fired, ==, totals.occurrences);
	g_assert_cmpint(totals.fired_twice, ==, 0);
	totals = count_outcomes("report", 7000, 0, START_MS + 1000, sim.now_ms - 1000);
	g_assert_cmpint(totals.occurrences, >=, 8);
	g_assert_cmpint(totals.fired, ==, totals.occurrences);
	/* One write per span, plus conflicting writes at the start. */
	g_assert_cmpuint(sim.store.writes, <=, minute_ms / SPAN_MS + 2);
	g_test_message("writes in %d spans: %d", (int)(minute_ms / SPAN_MS), (int)sim.store.writes);
	sim_close();
}

/* The number of platform calls does not depend on the number of jobs. */
static void test_cost(void)
{
	GString *text = g_string_new("{\"branches\": {\"meals\": {\"jobs\": {");
	struct waxwing_schedule_view view;
	uint64_t fired = 0;
	uint64_t reads = 0;

	for (int i = 0; i < 500; i++)
		g_string_append_printf(text,
				       "%s\"j%d\": {\"domain\": \"can-tho\", \"period_ms\": %d}",
				       i ? "," : "", i, 1000 + i);
	g_string_append(text, "}}}}");
	sim_open(text->str, INSTANCES);
	run_for(12 * SPAN_MS);
	for (int i = 0; i < INSTANCES; i++) {
		waxwing_schedule_view(sim.instances[i].schedule, &view);
		fired += view.fired;
		reads += view.reads;
	}
	g_test_message("12 spans, 500 jobs: %d fired, %d writes, %d reads", (int)fired,
		       (int)sim.store.writes, (int)reads);
	g_assert_cmpuint(fired, >, 20000);
	g_assert_cmpuint(sim.store.writes, <=, 12 + 2);
	g_assert_cmpuint(reads, <=, (12 + 3) * INSTANCES);
	sim_close();
	g_string_free(text, TRUE);
}

/* Injects a random fault. */
static void inject_fault(void)
{
	struct sim_instance *instance = &sim.instances[g_test_rand_int_range(0, INSTANCES)];

	switch (g_test_rand_int_range(0, 6)) {
	case 0:
		instance->paused_until_ms = sim.now_ms + g_test_rand_int_range(500, 15000);
		break;
	case 1:
		sim.store.down_percent = sim.store.down_percent ? 0 : 100;
		break;
	case 2:
		sim.store.response_lost_percent = g_test_rand_int_range(0, 60);
		sim.store.request_lost_percent = g_test_rand_int_range(0, 40);
		sim.store.delayed_percent = g_test_rand_int_range(0, 40);
		break;
	case 3:
		sim.store.stale_percent = g_test_rand_int_range(0, 60);
		break;
	case 4:
		sim.latency_ms = g_test_rand_int_range(1, 3000);
		break;
	default:
		instance->clock_offset_ms = g_test_rand_int_range(-4000, 4000);
	}
}

static void clear_faults(void)
{
	sim.store.down_percent = 0;
	sim.store.response_lost_percent = 0;
	sim.store.request_lost_percent = 0;
	sim.store.delayed_percent = 0;
	sim.store.stale_percent = 0;
	sim.latency_ms = 40;
	for (int i = 0; i < INSTANCES; i++)
		sim.instances[i].paused_until_ms = 0;
}

static void check_totals(const char *job, int64_t period_ms, int64_t offset_ms,
			 bool require_complete)
{
	struct totals totals =
		count_outcomes(job, period_ms, offset_ms, START_MS + 20000, sim.now_ms - 20000);

	g_assert_cmpint(totals.fired_twice, ==, 0);
	g_assert_cmpint(totals.false_reports, ==, 0);
	if (require_complete)
		g_assert_cmpint(totals.unaccounted, ==, 0);
}

/*
 * Under pauses, outages, lost, late and stale answers and clock steps, no occurrence is fired
 * twice and each one is fired or reported.
 */
static void test_faults(void)
{
	for (int round = 0; round < 150; round++) {
		sim_open(document, INSTANCES);
		run_for(20000);
		for (int i = 0; i < 12; i++) {
			inject_fault();
			run_for(g_test_rand_int_range(200, 8000));
		}
		clear_faults();
		run_for(60000);
		check_totals("remind", 1500, 70, true);
		check_totals("report", 7000, 0, true);
		sim_close();
	}
}

/*
 * Instances crash at random times and others take over. Occurrences that a crashed instance may
 * have fired are reported as uncertain.
 */
static void test_crashes(void)
{
	for (int round = 0; round < 100; round++) {
		sim_open(document, INSTANCES);
		sim.store.response_lost_percent = g_test_rand_int_range(0, 30);
		run_for(20000);
		for (int i = 0; i < 5; i++) {
			struct sim_instance *instance =
				&sim.instances[g_test_rand_int_range(0, INSTANCES)];

			instance_stop(instance);
			run_for(g_test_rand_int_range(2 * SPAN_MS, 4 * SPAN_MS));
			instance_start(instance);
		}
		run_for(60000);
		check_totals("remind", 1500, 70, true);
		check_totals("report", 7000, 0, true);
		sim_close();
	}
}

/* A claimant that leaves releases its span, and another claims it without missing an occurrence. */
static void test_leave(void)
{
	struct totals totals;

	sim_open(document, INSTANCES);
	for (int i = 0; i < INSTANCES - 1; i++) {
		run_for(20000 + g_test_rand_int_range(0, 5000));
		for (int j = 0; j < INSTANCES; j++) {
			struct waxwing_schedule_view view;

			if (!sim.instances[j].incarnation)
				continue;
			waxwing_schedule_view(sim.instances[j].schedule, &view);
			if (!view.claimed_until_ms)
				continue;
			sim.instances[j].leaving = true;
			waxwing_schedule_leave(sim.instances[j].schedule, sim.now_ms);
			instance_take_actions(&sim.instances[j]);
			while (!waxwing_schedule_has_left(sim.instances[j].schedule))
				step();
			instance_stop(&sim.instances[j]);
			break;
		}
	}
	run_for(20000);
	totals = count_outcomes("remind", 1500, 70, START_MS + 1000, sim.now_ms - 1000);
	g_assert_cmpint(totals.fired, ==, totals.occurrences);
	g_assert_cmpint(totals.fired_twice, ==, 0);
	sim_close();
}

/*
 * In an outage, the last claimant goes on firing after its span, but only the jobs of branches that
 * are configured to run on outage.
 */
static void check_outage(const char *text, bool runs)
{
	struct totals totals;
	int64_t start_ms;

	sim_open(text, INSTANCES);
	run_for(20000);
	sim.store.down_percent = 100;
	start_ms = sim.now_ms;
	run_for(60000);
	totals = count_outcomes("remind", 1500, 70, start_ms, sim.now_ms - 1000);
	g_assert_cmpint(totals.fired_twice, ==, 0);
	if (runs)
		g_assert_cmpint(totals.fired, ==, totals.occurrences);
	else
		g_assert_cmpint(totals.fired, <=, 2 * SPAN_MS / 1500);
	clear_faults();
	run_for(20000);
	totals = count_outcomes("remind", 1500, 70, START_MS + 1000, sim.now_ms - 5000);
	g_assert_cmpint(totals.unaccounted, ==, 0);
	g_assert_cmpint(totals.fired_twice, ==, 0);
	g_assert_cmpint(totals.false_reports, ==, 0);
	sim_close();
}

static void test_outage(void)
{
	for (int round = 0; round < 20; round++) {
		check_outage(document, false);
		check_outage(run_on_outage_document, true);
	}
}

/*
 * The platform is restored from a copy that is at least two writes old. No occurrence is fired
 * twice, each is fired or reported, and firing resumes.
 */
static void test_restored(void)
{
	for (int round = 0; round < 50; round++) {
		uint64_t lost_writes = (uint64_t)g_test_rand_int_range(2, 12);
		struct totals totals;
		int64_t from_ms;

		sim_open(document, INSTANCES);
		run_for(70000 + g_test_rand_int_range(0, SPAN_MS));
		sim.store.revision -= lost_writes;
		g_free(sim.store.data);
		sim.store.data = g_strdup(sim.store.history[sim.store.revision % FAKE_HISTORY]);
		from_ms = sim.now_ms + 5 * SPAN_MS;
		run_for(60000);
		totals = count_outcomes("remind", 1500, 70, from_ms, sim.now_ms - 1000);
		g_assert_cmpint(totals.fired, ==, totals.occurrences);
		totals = count_outcomes("remind", 1500, 70, START_MS + 1000, sim.now_ms - 1000);
		g_assert_cmpint(totals.fired_twice, ==, 0);
		g_assert_cmpint(totals.false_reports, ==, 0);
		g_assert_cmpint(totals.unaccounted, ==, 0);
		sim_close();
	}
}

static void test_retired(void)
{
	char *retired = g_strdup_printf("{\"values\": {\"retired\": true}, %s", document + 1);
	struct waxwing_settings *settings = waxwing_settings_parse(waxwing_str(retired), 2, NULL);
	uint64_t writes;
	int64_t from_ms;

	sim_open(document, INSTANCES);
	run_for(20000);
	for (int i = 0; i < INSTANCES; i++)
		waxwing_schedule_set_settings(sim.instances[i].schedule, settings, sim.now_ms);
	from_ms = sim.now_ms;
	writes = sim.store.writes;
	run_for(30000);
	g_assert_cmpint(count_outcomes("remind", 1500, 70, from_ms, sim.now_ms).fired, ==, 0);
	g_assert_cmpuint(sim.store.writes, <=, writes + 1);
	sim_close();
	waxwing_settings_free(settings);
	g_free(retired);
}

static void test_claim(void)
{
	const struct waxwing_schedule_claim claim = { UINT64_MAX - 1, START_MS, START_MS + 1,
						      START_MS - 1 };
	char *text = waxwing_schedule_claim_print(&claim);
	struct waxwing_schedule_claim read;

	g_assert_true(waxwing_schedule_claim_parse(waxwing_str(text), &read));
	g_assert_cmpmem(&claim, sizeof(claim), &read, sizeof(read));
	g_assert_false(waxwing_schedule_claim_parse(waxwing_str("{\"from_ms\": 1}"), &read));
	g_assert_cmpuint(read.incarnation, ==, 0);
	g_assert_false(waxwing_schedule_claim_parse(waxwing_str("claimed"), &read));
	g_assert_true(waxwing_schedule_claim_parse(waxwing_str(""), &read));
	g_assert_cmpuint(read.incarnation, ==, 0);
	g_free(text);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/schedule/claim", test_claim);
	g_test_add_func("/schedule/quiet", test_without_faults);
	g_test_add_func("/schedule/cost", test_cost);
	g_test_add_func("/schedule/disturbed", test_faults);
	g_test_add_func("/schedule/deaths", test_crashes);
	g_test_add_func("/schedule/leave", test_leave);
	g_test_add_func("/schedule/outage", test_outage);
	g_test_add_func("/schedule/restored", test_restored);
	g_test_add_func("/schedule/retired", test_retired);
	return g_test_run();
}

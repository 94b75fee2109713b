/**
 * Fixture for tests of a single cell: records the cell's orders, which the test answers one by one.
 * Included once by each test file.
 */
#ifndef WAXWING_TEST_CELL_FIXTURE_H
#define WAXWING_TEST_CELL_FIXTURE_H

#include "cell.h"

#include <glib.h>

#define MAX_LEASE_MS 1000
#define STOP_MS	     50
/* Clock of the executors, minus the owner's. */
#define CLOCK_OFFSET_MS 500000

struct recorder {
	GArray *starts; /* struct start */
	GArray *stops; /* struct waxwing_run_id */
	GArray *verdicts; /* struct verdict */
	uint64_t handle; /* of the executor that got the last hold */
	uint32_t holds;
	uint64_t last_call; /* number of the last hold */
	uint32_t last_wait_ms;
	bool last_hold_extends; /* the last hold extended leases */
	int64_t last_until_ms; /* to when, on the executor's clock; 0: not */
	bool last_hold_connects; /* the last hold was sent on a new connection */
	uint64_t acked_upto;
	uint32_t fenced;
	uint64_t recorded; /* number of journal records */
	uint32_t forgotten_jobs;
	GArray *states; /* enum waxwing_job_state: answers to state queries */
	uint32_t permit_queries;
	struct waxwing_permit_query
		last_query; /* its executors and handles are in the next two fields */
	char query_ids[8][16];
	uint64_t query_handles[8];
};

struct start {
	struct waxwing_run_id run_id;
	uint64_t handle;
	int64_t lease_expiry_ms;
	char executor[16];
	char checkpoint[16];
	char ticket[16];
	bool new_connection;
};

struct verdict {
	uint64_t job;
	uint32_t outcome;
	uint32_t reason;
	uint32_t retry_after_ms;
};

static void record_start(void *data, const struct waxwing_order_target *target,
			 const struct waxwing_run_order *order)
{
	struct recorder *recorder = data;
	struct start start = { .run_id = order->run_id,
			       .handle = target->handle,
			       .lease_expiry_ms = order->lease_expiry_ms,
			       .new_connection = target->new_connection };

	if (order->checkpoint)
		g_strlcpy(start.checkpoint, order->checkpoint, sizeof(start.checkpoint));
	if (order->ticket)
		g_strlcpy(start.ticket, order->ticket, sizeof(start.ticket));
	g_strlcpy(start.executor, target->id, sizeof(start.executor));
	g_array_append_val(recorder->starts, start);
}

static void record_stop(void *data, const struct waxwing_order_target *target,
			const struct waxwing_run_id *run_id)
{
	(void)target;
	g_array_append_val(((struct recorder *)data)->stops, *run_id);
}

static void record_hold(void *data, const struct waxwing_order_target *target, uint64_t call,
			int64_t until_ms, uint64_t acked_upto, uint32_t wait_ms)
{
	struct recorder *recorder = data;

	recorder->last_call = call;
	recorder->last_wait_ms = wait_ms;
	recorder->handle = target->handle;
	recorder->holds++;
	recorder->last_hold_extends = until_ms != 0;
	recorder->last_until_ms = until_ms;
	recorder->last_hold_connects = target->new_connection;
	recorder->acked_upto = acked_upto;
}

static void record_verdict(void *data, uint64_t issuer, const Waxwing__JobVerdict *verdict)
{
	struct verdict row = { verdict->job, verdict->outcome, verdict->reason,
			       verdict->retry_after_ms };

	(void)issuer;
	g_array_append_val(((struct recorder *)data)->verdicts, row);
}

static uint64_t count_record(void *data, const Waxwing__JournalRecord *record)
{
	(void)record;
	return ++((struct recorder *)data)->recorded;
}

static void record_forget(void *data, uint64_t job)
{
	(void)job;
	((struct recorder *)data)->forgotten_jobs++;
}

static void record_state(void *data, uint64_t asker, const Waxwing__JobTold *answer)
{
	(void)asker;
	g_array_append_val(((struct recorder *)data)->states, answer->state);
}

static void record_permit_query(void *data, const struct waxwing_permit_query *query)
{
	struct recorder *recorder = data;

	recorder->permit_queries++;
	recorder->last_query = *query;
	g_assert_cmpuint(query->count, <=, G_N_ELEMENTS(recorder->query_ids));
	for (size_t i = 0; i < query->count; i++) {
		g_strlcpy(recorder->query_ids[i], query->executors[i],
			  sizeof(recorder->query_ids[i]));
		recorder->query_handles[i] = query->handles[i];
	}
}

static void record_fenced(void *data, const char *executor)
{
	(void)executor;
	((struct recorder *)data)->fenced++;
}

static const struct waxwing_cell_ops recording_ops = {
	.start = record_start,
	.stop = record_stop,
	.hold = record_hold,
	.send_verdict = record_verdict,
	.append_record = count_record,
	.job_forgotten = record_forget,
	.send_state = record_state,
	.query_permits = record_permit_query,
	.fenced = record_fenced,
};

struct fixture {
	struct recorder recorder;
	struct waxwing_cell *cell;
	int64_t now_ms;
	int64_t started_ms; /* reported in answers to holds; 0: unknown */
};

/* Duration far from the data divided by that near, of cells that are set up next. */
static double next_data_factor = 1;

static void set_up_cell_with(struct fixture *fixture, const struct waxwing_cell_ops *cell_ops,
			     bool took_over, bool recovering)
{
	struct waxwing_cell_options options = {
		.ops = cell_ops,
		.data = &fixture->recorder,
		.name = "cell",
		.fencing_token = 7,
		.max_lease_ms = MAX_LEASE_MS,
		.stop_ms = STOP_MS,
		.remote_data_factor = next_data_factor,
		.took_over = took_over,
		.recovering = recovering,
		.list_incomplete = recovering,
		.orderly_since = recovering ? 3 : 0,
		.status_ms = 120000,
		.permits_available = true,
	};

	*fixture = (struct fixture){ .now_ms = 1000 };
	fixture->recorder.starts = g_array_new(FALSE, FALSE, sizeof(struct start));
	fixture->recorder.stops = g_array_new(FALSE, FALSE, sizeof(struct waxwing_run_id));
	fixture->recorder.verdicts = g_array_new(FALSE, FALSE, sizeof(struct verdict));
	fixture->recorder.states = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	fixture->cell = waxwing_cell_create(fixture->now_ms, &options);
}

static void set_up_cell(struct fixture *fixture, bool took_over, bool recovering)
{
	set_up_cell_with(fixture, &recording_ops, took_over, recovering);
}

static G_GNUC_UNUSED void set_up_with_ops(struct fixture *fixture,
					  const struct waxwing_cell_ops *cell_ops)
{
	set_up_cell_with(fixture, cell_ops, false, false);
}

static G_GNUC_UNUSED void set_up(struct fixture *fixture, bool took_over)
{
	set_up_cell(fixture, took_over, false);
}

static G_GNUC_UNUSED void tear_down(struct fixture *fixture)
{
	waxwing_cell_destroy(fixture->cell);
	g_array_free(fixture->recorder.starts, TRUE);
	g_array_free(fixture->recorder.stops, TRUE);
	g_array_free(fixture->recorder.verdicts, TRUE);
	g_array_free(fixture->recorder.states, TRUE);
}

static G_GNUC_UNUSED void advance(struct fixture *fixture, int64_t ms)
{
	for (int64_t passed = 0; passed < ms; passed += 5) {
		fixture->now_ms += 5;
		waxwing_cell_advance(fixture->cell, fixture->now_ms);
	}
}

/* Rack of the executors that are added next. */
static const char *next_rack = "rack";

static void add_executor(struct fixture *fixture, const char *id, uint32_t cpu_milli,
			 int64_t started_ms)
{
	static const char *const labels[] = { "kind", "rack", NULL };
	struct waxwing_executor_entry entry = {
		.id = id,
		.address = "10.0.0.1:80",
		.service = "service",
		.zone = "zone",
		.kind = "kind",
		.rack = next_rack,
		.labels = labels,
		.capacity = { cpu_milli, 65536, 0 },
		.started_ms = started_ms,
	};

	waxwing_cell_set_executor(fixture->cell, fixture->now_ms, &entry);
}

/* Answers a hold with the runs that are running and have ended on the executor. */
static void answer_hold(struct fixture *fixture, uint64_t handle,
			const struct waxwing_running_run *running, size_t running_count,
			const struct waxwing_ended_run *ended, size_t ended_count)
{
	struct waxwing_hold_answer answer = {
		.result = WAXWING_HOLD_ANSWERED,
		.clock_ms = CLOCK_OFFSET_MS + fixture->now_ms,
		.started_ms = fixture->started_ms,
		.running = running,
		.running_count = running_count,
		.ended = ended,
		.ended_count = ended_count,
	};

	waxwing_cell_hold_answered(fixture->cell, fixture->now_ms, handle, &answer);
}

/* Answers the last hold, which was sent to @handle: nothing is running, and nothing has ended. */
static G_GNUC_UNUSED void answer_last_hold(struct fixture *fixture, uint64_t handle)
{
	struct waxwing_hold_answer answer = {
		.result = WAXWING_HOLD_ANSWERED,
		.call = fixture->recorder.last_call,
		.clock_ms = CLOCK_OFFSET_MS + fixture->now_ms,
	};

	g_assert_cmpuint(fixture->recorder.handle, ==, handle);
	waxwing_cell_hold_answered(fixture->cell, fixture->now_ms, handle, &answer);
}

/* Adds an executor that has answered a hold; returns its handle. */
static G_GNUC_UNUSED uint64_t ready_executor(struct fixture *fixture, const char *id,
					     uint32_t cpu_milli)
{
	uint64_t handle;

	add_executor(fixture, id, cpu_milli, 0);
	waxwing_cell_advance(fixture->cell, fixture->now_ms);
	handle = fixture->recorder.handle;
	answer_hold(fixture, handle, NULL, 0, NULL, 0);
	return handle;
}

/* Template of the steps of jobs that are offered next. */
static Waxwing__JobStep step_template = WAXWING__JOB_STEP__INIT;

/* Priority of jobs that are offered next. */
static uint32_t next_priority;

/* Age of jobs that are offered next. */
static uint32_t next_age_ms;

/* Adds a second step, which depends on the first and has as many tasks, to jobs offered next. */
static bool offer_two_steps;

static Waxwing__JobOffer *make_offer(uint64_t id, uint32_t count, uint32_t cpu_milli,
				     uint32_t estimated_ms, bool running_before, bool durable)
{
	Waxwing__Job job = WAXWING__JOB__INIT;
	Waxwing__JobStep step = step_template;
	Waxwing__JobStep second;
	Waxwing__JobStep *steps[] = { &step, &second };
	uint32_t first = 0;
	Waxwing__JobOffer offer = WAXWING__JOB_OFFER__INIT;
	uint8_t packed[256];
	size_t len;

	job.id = id;
	job.queue = "queue";
	job.service = "service";
	job.spec = "spec";
	job.n_steps = offer_two_steps ? 2 : 1;
	job.steps = steps;
	job.max_attempts = 3;
	job.stretch_milli = 1600;
	job.allowance_ms = 60;
	job.patience_ms = 5000;
	job.priority = next_priority;
	job.has_kept = durable;
	job.kept = durable;
	step.count = count;
	step.has_cpu_milli = true;
	step.cpu_milli = cpu_milli;
	step.has_estimated_ms = true;
	step.estimated_ms = estimated_ms;
	second = step;
	second.n_after = 1;
	second.after = &first;
	offer.job = &job;
	offer.age_ms = next_age_ms;
	offer.has_running_before = true;
	offer.running_before = running_before;
	len = waxwing__job_offer__pack(&offer, packed);
	return waxwing__job_offer__unpack(NULL, len, packed);
}

static void offer_job(struct fixture *fixture, uint64_t id, uint32_t count, uint32_t cpu_milli,
		      uint32_t estimated_ms, bool running_before, bool durable)
{
	waxwing_cell_offer(fixture->cell, fixture->now_ms, WAXWING_ISSUER_SELF,
			   make_offer(id, count, cpu_milli, estimated_ms, running_before, durable));
}

static G_GNUC_UNUSED void offer(struct fixture *fixture, uint64_t id, uint32_t count,
				uint32_t cpu_milli, uint32_t estimated_ms, bool running_before)
{
	offer_job(fixture, id, count, cpu_milli, estimated_ms, running_before, false);
}

static struct start *start_at(struct fixture *fixture, guint index)
{
	g_assert_cmpuint(index, <, fixture->recorder.starts->len);
	return &g_array_index(fixture->recorder.starts, struct start, index);
}

static G_GNUC_UNUSED void query_state(struct fixture *fixture, uint64_t job, bool cancel)
{
	Waxwing__JobAsk ask = WAXWING__JOB_ASK__INIT;

	ask.job = job;
	ask.cancel = cancel;
	waxwing_cell_query_state(fixture->cell, fixture->now_ms, WAXWING_ISSUER_SELF, &ask);
}

static G_GNUC_UNUSED void store_all_records(struct fixture *fixture)
{
	waxwing_cell_records_stored(fixture->cell, fixture->now_ms, fixture->recorder.recorded);
}

static G_GNUC_UNUSED uint32_t last_state(const struct fixture *fixture)
{
	const GArray *states = fixture->recorder.states;

	g_assert_cmpuint(states->len, >, 0);
	return g_array_index(states, uint32_t, states->len - 1);
}

static G_GNUC_UNUSED struct verdict *verdict_at(struct fixture *fixture, guint index)
{
	g_assert_cmpuint(index, <, fixture->recorder.verdicts->len);
	return &g_array_index(fixture->recorder.verdicts, struct verdict, index);
}

static G_GNUC_UNUSED void answer_started(struct fixture *fixture, guint index)
{
	struct start *start = start_at(fixture, index);

	waxwing_cell_start_answered(fixture->cell, fixture->now_ms, start->handle, &start->run_id,
				    WAXWING_START_RUNNING, 0);
}

#endif

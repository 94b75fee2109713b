/**
 * One cell, whose orders are recorded and answered one by one.
 *
 * For a test file that includes it once.
 */
#ifndef WAXWING_TEST_CELL_FIXTURE_H
#define WAXWING_TEST_CELL_FIXTURE_H

#include "cell.h"

#include <glib.h>

#define LEASE_MOST_MS 1000
#define STOP_MS	      50

struct recorder {
	GArray *starts; /* struct start */
	GArray *stops; /* struct waxwing_run_name */
	GArray *verdicts; /* struct verdict */
	uint64_t life; /* of the executor that was held last */
	uint32_t holds;
	bool extends; /* the last hold did */
	uint64_t acked_upto;
	uint32_t fenced;
	uint64_t recorded;
	uint32_t forgotten; /* jobs whose state is told no more */
	GArray *tolds; /* enum waxwing_job_state */
	uint32_t questions; /* for permits */
	struct waxwing_permit_question asked; /* the last, with the ids in asked_ids */
	char asked_ids[8][16];
	uint64_t asked_lives[8];
};

struct start {
	struct waxwing_run_name name;
	uint64_t life;
	char executor[16];
	char checkpoint[16];
	char ticket[16];
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
	struct start start = { order->name, target->life, "", "", "" };

	if (order->checkpoint)
		g_strlcpy(start.checkpoint, order->checkpoint, sizeof(start.checkpoint));
	if (order->ticket)
		g_strlcpy(start.ticket, order->ticket, sizeof(start.ticket));
	g_strlcpy(start.executor, target->id, sizeof(start.executor));
	g_array_append_val(recorder->starts, start);
}

static void record_stop(void *data, const struct waxwing_order_target *target,
			const struct waxwing_run_name *name)
{
	(void)target;
	g_array_append_val(((struct recorder *)data)->stops, *name);
}

static void record_hold(void *data, const struct waxwing_order_target *target, int64_t until_ms,
			uint64_t acked_upto, uint32_t wait_ms)
{
	struct recorder *recorder = data;

	(void)wait_ms;
	recorder->life = target->life;
	recorder->holds++;
	recorder->extends = until_ms != 0;
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
	((struct recorder *)data)->forgotten++;
}

static void record_told(void *data, uint64_t asker, const Waxwing__JobTold *told)
{
	(void)asker;
	g_array_append_val(((struct recorder *)data)->tolds, told->state);
}

static void record_question(void *data, const struct waxwing_permit_question *question)
{
	struct recorder *recorder = data;

	recorder->questions++;
	recorder->asked = *question;
	g_assert_cmpuint(question->count, <=, G_N_ELEMENTS(recorder->asked_ids));
	for (size_t i = 0; i < question->count; i++) {
		g_strlcpy(recorder->asked_ids[i], question->executors[i],
			  sizeof(recorder->asked_ids[i]));
		recorder->asked_lives[i] = question->lives[i];
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
	.verdict = record_verdict,
	.record = count_record,
	.forget = record_forget,
	.told = record_told,
	.ask_permits = record_question,
	.fenced = record_fenced,
};

struct fixture {
	struct recorder recorder;
	struct waxwing_cell *cell;
	int64_t now_ms;
	int64_t born_ms; /* told by holds */
};

static void set_up_recovering(struct fixture *fixture, bool took_over, bool recovering)
{
	struct waxwing_cell_options options = {
		.ops = &recording_ops,
		.data = &fixture->recorder,
		.name = "cell",
		.fencing_token = 7,
		.lease_most_ms = LEASE_MOST_MS,
		.stop_ms = STOP_MS,
		.far_factor = 1,
		.took_over = took_over,
		.recovering = recovering,
		.list_incomplete = recovering,
		.status_ms = 120000,
		.permits = true,
	};

	*fixture = (struct fixture){ .now_ms = 1000 };
	fixture->recorder.starts = g_array_new(FALSE, FALSE, sizeof(struct start));
	fixture->recorder.stops = g_array_new(FALSE, FALSE, sizeof(struct waxwing_run_name));
	fixture->recorder.verdicts = g_array_new(FALSE, FALSE, sizeof(struct verdict));
	fixture->recorder.tolds = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	fixture->cell = waxwing_cell_create(fixture->now_ms, &options);
}

static void set_up(struct fixture *fixture, bool took_over)
{
	set_up_recovering(fixture, took_over, false);
}

static void tear_down(struct fixture *fixture)
{
	waxwing_cell_destroy(fixture->cell);
	g_array_free(fixture->recorder.starts, TRUE);
	g_array_free(fixture->recorder.stops, TRUE);
	g_array_free(fixture->recorder.verdicts, TRUE);
	g_array_free(fixture->recorder.tolds, TRUE);
}

static void run(struct fixture *fixture, int64_t ms)
{
	for (int64_t passed = 0; passed < ms; passed += 5) {
		fixture->now_ms += 5;
		waxwing_cell_run(fixture->cell, fixture->now_ms);
	}
}

/* Of the executors that are added next. */
static const char *rack = "rack";

static void add_executor(struct fixture *fixture, const char *id, uint32_t cpu_milli, int64_t born)
{
	static const char *const labels[] = { "kind", "rack", NULL };
	struct waxwing_executor_entry entry = {
		.id = id,
		.address = "10.0.0.1:80",
		.service = "service",
		.zone = "zone",
		.kind = "kind",
		.rack = rack,
		.labels = labels,
		.capacity = { cpu_milli, 65536, 0 },
		.born_ms = born,
	};

	waxwing_cell_set_executor(fixture->cell, fixture->now_ms, &entry);
}

/* Answers the hold of an executor with what runs and what has ended there. */
static void answer_hold(struct fixture *fixture, uint64_t life,
			const struct waxwing_running_row *running, size_t running_count,
			const struct waxwing_ended_row *ended, size_t ended_count)
{
	struct waxwing_hold_answer answer = {
		.end = WAXWING_HOLD_ANSWERED,
		.clock_ms = 500000 + fixture->now_ms,
		.born_ms = fixture->born_ms,
		.running = running,
		.running_count = running_count,
		.ended = ended,
		.ended_count = ended_count,
	};

	waxwing_cell_hold_answered(fixture->cell, fixture->now_ms, life, &answer);
}

/* An executor that has answered under the owner's token. */
static uint64_t ready_executor(struct fixture *fixture, const char *id, uint32_t cpu_milli)
{
	uint64_t life;

	add_executor(fixture, id, cpu_milli, 0);
	waxwing_cell_run(fixture->cell, fixture->now_ms);
	life = fixture->recorder.life;
	answer_hold(fixture, life, NULL, 0, NULL, 0);
	return life;
}

/* What the steps of the jobs that are offered next are. */
static Waxwing__JobStep model = WAXWING__JOB_STEP__INIT;

/* Jobs that are offered next have a second step after the first, with as many tasks. */
static bool two_steps;

static Waxwing__JobOffer *make_offer(uint64_t id, uint32_t count, uint32_t cpu_milli,
				     uint32_t estimated_ms, bool running_before, bool kept)
{
	Waxwing__Job job = WAXWING__JOB__INIT;
	Waxwing__JobStep step = model;
	Waxwing__JobStep second;
	Waxwing__JobStep *steps[] = { &step, &second };
	uint32_t first = 0;
	Waxwing__JobOffer made = WAXWING__JOB_OFFER__INIT;
	uint8_t packed[256];
	size_t len;

	job.id = id;
	job.queue = "queue";
	job.service = "service";
	job.spec = "spec";
	job.n_steps = two_steps ? 2 : 1;
	job.steps = steps;
	job.max_attempts = 3;
	job.stretch_milli = 1600;
	job.allowance_ms = 60;
	job.patience_ms = 5000;
	job.has_kept = kept;
	job.kept = kept;
	step.count = count;
	step.has_cpu_milli = true;
	step.cpu_milli = cpu_milli;
	step.has_estimated_ms = true;
	step.estimated_ms = estimated_ms;
	second = step;
	second.n_after = 1;
	second.after = &first;
	made.job = &job;
	made.has_running_before = true;
	made.running_before = running_before;
	len = waxwing__job_offer__pack(&made, packed);
	return waxwing__job_offer__unpack(NULL, len, packed);
}

static void offer_job(struct fixture *fixture, uint64_t id, uint32_t count, uint32_t cpu_milli,
		      uint32_t estimated_ms, bool running_before, bool kept)
{
	waxwing_cell_offer(fixture->cell, fixture->now_ms, WAXWING_ISSUER_SELF,
			   make_offer(id, count, cpu_milli, estimated_ms, running_before, kept));
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

static G_GNUC_UNUSED void ask(struct fixture *fixture, uint64_t job, bool cancel)
{
	Waxwing__JobAsk ask = WAXWING__JOB_ASK__INIT;

	ask.job = job;
	ask.cancel = cancel;
	waxwing_cell_ask(fixture->cell, fixture->now_ms, WAXWING_ISSUER_SELF, &ask);
}

static G_GNUC_UNUSED void store_all(struct fixture *fixture)
{
	waxwing_cell_stored(fixture->cell, fixture->now_ms, fixture->recorder.recorded);
}

static G_GNUC_UNUSED uint32_t last_told(const struct fixture *fixture)
{
	const GArray *tolds = fixture->recorder.tolds;

	g_assert_cmpuint(tolds->len, >, 0);
	return g_array_index(tolds, uint32_t, tolds->len - 1);
}

static G_GNUC_UNUSED struct verdict *verdict_at(struct fixture *fixture, guint index)
{
	g_assert_cmpuint(index, <, fixture->recorder.verdicts->len);
	return &g_array_index(fixture->recorder.verdicts, struct verdict, index);
}

static void started(struct fixture *fixture, guint index)
{
	struct start *start = start_at(fixture, index);

	waxwing_cell_start_answered(fixture->cell, fixture->now_ms, start->life, &start->name,
				    WAXWING_START_RUNS, 0);
}

#endif

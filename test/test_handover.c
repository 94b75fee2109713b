#include "handover.h"

#define INSTANCES	    8
#define STEP_MS		    20
#define RUN_MS		    200000
#define REPLACE_INTERVAL_MS 8000 /* time between the replacements of two instances */
#define DRAIN_MS	    1500
#define LIFE_MS		    60000
#define GRACE_MS	    60000
#define MAX_LOSS_PERCENT    30 /* upper bound of the share of lost parts and acknowledgements */

struct restart_job {
	char *id;
	uint64_t issuer;
	uint64_t number;
	int64_t ends_ms;
	int64_t resubmit_ms; /**< INT64_MAX if the caller does not resubmit. */
	bool refused; /**< The issuer refused the job, so it was not run. */
	char state[16]; /**< State of the issuer's answer. */
};

struct restart_instance {
	uint64_t incarnation;
	struct waxwing_submissions *table;
	struct waxwing_inherited_windows *inheritance;
	struct waxwing_handover *handover; /**< Outgoing hand-over; null unless leaving. */
	size_t successor;
	int64_t leave_ms; /**< When the instance began to leave; INT64_MAX if not leaving. */
};

struct restart_simulation {
	struct restart_instance instances[INSTANCES];
	GHashTable *successors; /**< Incarnation that left -> index of its successor. */
	GArray *jobs;
	int64_t now_ms;
	bool with_handover;
	int killed_percent; /**< Chance per step that an instance is killed during its hand-over. */
	uint64_t incarnations;
	unsigned int answered_by_issuer; /**< Resubmissions answered by the issuer itself. */
	unsigned int answered_by_successor; /**< Resubmissions answered by a successor. */
	unsigned int not_run;
	unsigned int unknown;
};

static void instance_start(struct restart_simulation *sim, struct restart_instance *instance)
{
	struct waxwing_submissions_options options = {
		.instance = waxwing_str("i"),
		.incarnation = ++sim->incarnations,
		.window_life_ms = LIFE_MS,
		.window_grace_ms = GRACE_MS,
	};

	instance->incarnation = options.incarnation;
	instance->table = waxwing_submissions_create(&options, sim->now_ms);
	instance->inheritance = waxwing_inherited_windows_create();
	instance->handover = NULL;
	instance->leave_ms = INT64_MAX;
}

static void instance_stop(struct restart_instance *instance)
{
	waxwing_submissions_destroy(instance->table);
	waxwing_inherited_windows_destroy(instance->inheritance);
	waxwing_handover_destroy(instance->handover);
}

static bool message_lost(void)
{
	return g_test_rand_int_range(0, 100) < g_test_rand_int_range(0, MAX_LOSS_PERCENT);
}

static enum waxwing_submit_result submit(struct restart_simulation *sim,
					 struct restart_instance *instance, char *id,
					 struct waxwing_job *job, struct waxwing_error *error)
{
	Waxwing__TaskRequest task = WAXWING__TASK_REQUEST__INIT;
	Waxwing__TaskRequest *tasks = &task;
	Waxwing__JobRequest request = WAXWING__JOB_REQUEST__INIT;
	const Waxwing__JobAnswer *answer;

	request.id = id;
	request.caller = "clinic";
	request.branch = "orders";
	request.n_tasks = 1;
	request.tasks = &tasks;
	if (job)
		return waxwing_submissions_submit(instance->table, sim->now_ms, &request,
						  sim->now_ms + 60000, (struct waxwing_waiter){ 0 },
						  job, error);
	switch (waxwing_inherited_windows_lookup(instance->inheritance, sim->now_ms, &request,
						 &answer, error)) {
	case WAXWING_INHERITED_FINISHED:
		waxwing_error_set(error, WAXWING_OK, answer->state, "%s", "");
		g_assert_cmpstr(answer->id, ==, id);
		return WAXWING_SUBMIT_FINISHED;
	case WAXWING_INHERITED_REFUSED:
		return WAXWING_SUBMIT_REFUSED;
	default:
		return WAXWING_SUBMIT_FOREIGN_WINDOW;
	}
}

static struct restart_instance *random_instance(struct restart_simulation *sim)
{
	return &sim->instances[g_test_rand_int_range(0, INSTANCES)];
}

static void submit_new(struct restart_simulation *sim)
{
	struct restart_instance *instance = random_instance(sim);
	struct waxwing_str window = waxwing_submissions_window(instance->table, sim->now_ms);
	struct restart_job job = { .issuer = instance->incarnation, .resubmit_ms = INT64_MAX };
	struct waxwing_job submitted;
	struct waxwing_task_start start;
	struct waxwing_error error;

	job.id = g_strdup_printf("%.*s/%u", WAXWING_STR_ARG(window), sim->jobs->len);
	if (g_test_rand_int_range(0, 10) < 3)
		job.resubmit_ms = sim->now_ms + g_test_rand_int_range(100, 30000);
	job.refused = submit(sim, instance, job.id, &submitted, &error) == WAXWING_SUBMIT_REFUSED;
	if (!job.refused) {
		job.number = submitted.number;
		job.ends_ms = sim->now_ms + g_test_rand_int_range(50, 1000);
		g_assert_true(waxwing_submissions_commit(instance->table, sim->now_ms,
							 submitted.number, 0, &start));
	}
	g_array_append_val(sim->jobs, job);
}

static struct restart_instance *find_instance(struct restart_simulation *sim, uint64_t incarnation)
{
	for (size_t i = 0; i < INSTANCES; i++)
		if (sim->instances[i].incarnation == incarnation)
			return &sim->instances[i];
	return NULL;
}

static void end_job(struct restart_simulation *sim, struct restart_job *job)
{
	struct restart_instance *issuer = find_instance(sim, job->issuer);
	bool fails = g_test_rand_int_range(0, 10) == 0;
	struct waxwing_delivery delivery;
	bool late;

	job->ends_ms = 0;
	g_assert_nonnull(issuer);
	waxwing_submissions_end_task(issuer->table, sim->now_ms, job->number, 0,
				     fails ? WAXWING_SLOT_FAILED : WAXWING_SLOT_DONE,
				     waxwing_str("ok"), &late);
	while (waxwing_submissions_next_answer(issuer->table, &delivery))
		g_strlcpy(job->state, delivery.answer->state, sizeof(job->state));
}

/** Resubmits a job to its issuer or, once that has left, to its successor. */
static void resubmit(struct restart_simulation *sim, struct restart_job *job)
{
	struct restart_instance *instance = find_instance(sim, job->issuer);
	uint64_t *successor_index = g_hash_table_lookup(sim->successors, &job->issuer);
	struct waxwing_error error;

	job->resubmit_ms = INT64_MAX;
	if (instance) {
		sim->answered_by_issuer++;
		return;
	}
	if (!successor_index) {
		sim->unknown++;
		return;
	}
	switch (submit(sim, &sim->instances[*successor_index], job->id, NULL, &error)) {
	case WAXWING_SUBMIT_FINISHED:
		g_assert_cmpstr(error.path, ==, job->state);
		sim->answered_by_successor++;
		break;
	case WAXWING_SUBMIT_REFUSED:
		if (error.code == WAXWING_ERROR_LEAVING) {
			g_assert_true(job->refused);
			sim->not_run++;
			break;
		}
		g_assert_cmpint(error.code, ==, WAXWING_ERROR_OUTCOME_UNKNOWN);
		/* fall through */
	default:
		sim->unknown++;
	}
}

static void redirect_to_successor(struct restart_simulation *sim, size_t from, size_t to)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sim->successors);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (*(uint64_t *)value == from)
			*(uint64_t *)value = to;
	g_hash_table_insert(sim->successors,
			    g_memdup2(&sim->instances[from].incarnation, sizeof(uint64_t)),
			    g_memdup2(&to, sizeof(uint64_t)));
}

static void hand_over(struct restart_simulation *sim, struct restart_instance *leaving)
{
	struct restart_instance *successor = &sim->instances[leaving->successor];
	const Waxwing__Handover *part;
	Waxwing__HandoverAck ack;

	while ((part = waxwing_handover_next_part(leaving->handover, sim->now_ms))) {
		if (message_lost())
			continue;
		waxwing_inherited_windows_receive_part(successor->inheritance, sim->now_ms,
						       leaving->incarnation, part, &ack);
		if (!message_lost())
			waxwing_handover_receive_ack(leaving->handover, &ack);
	}
}

static void replace_instance(struct restart_simulation *sim, struct restart_instance *leaving,
			     bool killed)
{
	size_t index = (size_t)(leaving - sim->instances);

	if (sim->with_handover)
		redirect_to_successor(sim, index, leaving->successor);
	if (!killed && leaving->handover)
		g_assert_true(waxwing_handover_is_complete(leaving->handover));
	instance_stop(leaving);
	instance_start(sim, leaving);
}

static void advance_leaving(struct restart_simulation *sim, struct restart_instance *leaving)
{
	struct waxwing_handover_options options = { .incarnation = leaving->incarnation,
						    .part_bytes = 2048 };

	if (sim->now_ms - leaving->leave_ms < DRAIN_MS)
		return;
	if (!sim->with_handover) {
		replace_instance(sim, leaving, false);
		return;
	}
	if (!leaving->handover) {
		g_assert_cmpuint(waxwing_submissions_running(leaving->table), ==, 0);
		leaving->handover = waxwing_handover_create(&options, leaving->table,
							    leaving->inheritance, sim->now_ms);
	}
	hand_over(sim, leaving);
	if (waxwing_handover_is_complete(leaving->handover))
		replace_instance(sim, leaving, false);
	else if (g_test_rand_int_range(0, 1000) < 10 * sim->killed_percent)
		replace_instance(sim, leaving, true);
}

static void step(struct restart_simulation *sim)
{
	size_t next = (size_t)(sim->now_ms / REPLACE_INTERVAL_MS) % INSTANCES;

	sim->now_ms += STEP_MS;
	if (sim->now_ms % REPLACE_INTERVAL_MS == 0) {
		struct restart_instance *leaving = &sim->instances[next];

		leaving->leave_ms = sim->now_ms;
		leaving->successor = (next + INSTANCES - 1) % INSTANCES;
		waxwing_submissions_freeze(leaving->table);
	}
	submit_new(sim);
	for (guint i = sim->jobs->len > 2000 ? sim->jobs->len - 2000 : 0; i < sim->jobs->len; i++) {
		struct restart_job *job = &g_array_index(sim->jobs, struct restart_job, i);

		if (job->ends_ms && job->ends_ms <= sim->now_ms)
			end_job(sim, job);
		if (job->resubmit_ms <= sim->now_ms)
			resubmit(sim, job);
	}
	for (size_t i = 0; i < INSTANCES; i++)
		if (sim->instances[i].leave_ms != INT64_MAX)
			advance_leaving(sim, &sim->instances[i]);
}

static struct restart_simulation rolling_restart(bool with_handover, int killed_percent)
{
	struct restart_simulation sim = { .with_handover = with_handover,
					  .killed_percent = killed_percent };

	sim.successors = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	sim.jobs = g_array_new(false, true, sizeof(struct restart_job));
	for (size_t i = 0; i < INSTANCES; i++)
		instance_start(&sim, &sim.instances[i]);
	while (sim.now_ms < RUN_MS)
		step(&sim);
	for (size_t i = 0; i < INSTANCES; i++)
		instance_stop(&sim.instances[i]);
	for (guint i = 0; i < sim.jobs->len; i++)
		g_free(g_array_index(sim.jobs, struct restart_job, i).id);
	g_array_free(sim.jobs, true);
	g_hash_table_destroy(sim.successors);
	g_test_message("%s, %d%% killed per step: resubmissions answered by the issuer %u, by a "
		       "successor %u, not run %u, outcome unknown %u",
		       with_handover ? "hand-over" : "no hand-over", killed_percent,
		       sim.answered_by_issuer, sim.answered_by_successor, sim.not_run, sim.unknown);
	return sim;
}

static void test_rolling_restart(void)
{
	struct restart_simulation without = rolling_restart(false, 0);
	struct restart_simulation with = rolling_restart(true, 0);
	struct restart_simulation killed = rolling_restart(true, 10);

	g_assert_cmpuint(without.unknown, >, 0);
	g_assert_cmpuint(with.unknown, ==, 0);
	g_assert_cmpuint(with.answered_by_successor, >, 0);
	g_assert_cmpuint(killed.answered_by_successor, >, 0);
}

/**
 * Parts of two senders, which may have split the ids differently, must not be combined into one
 * complete hand-over.
 */
static void test_mixed_senders(void)
{
	struct waxwing_inherited_windows *inheritance = waxwing_inherited_windows_create();
	Waxwing__Handover part = WAXWING__HANDOVER__INIT;
	Waxwing__JobRequest request = WAXWING__JOB_REQUEST__INIT;
	const Waxwing__JobAnswer *answer;
	Waxwing__HandoverAck ack;
	struct waxwing_error error;

	request.id = "i.0000000000000007.1/k";
	request.caller = "clinic";
	request.branch = "orders";
	part.incarnation = 7;
	part.oldest_epoch = 1;
	part.newest_epoch = 1;
	part.expires_in_ms = 1000;
	waxwing_inherited_windows_receive_part(inheritance, 0, 7, &part, &ack);
	part.part = 1;
	part.last = true;
	waxwing_inherited_windows_receive_part(inheritance, 0, 8, &part, &ack);
	g_assert_cmpuint(ack.part, ==, 1);
	g_assert_cmpint(waxwing_inherited_windows_lookup(inheritance, 1, &request, &answer, &error),
			==, WAXWING_INHERITED_REFUSED);
	g_assert_cmpint(error.code, ==, WAXWING_ERROR_OUTCOME_UNKNOWN);
	waxwing_inherited_windows_receive_part(inheritance, 0, 7, &part, &ack);
	waxwing_inherited_windows_lookup(inheritance, 1, &request, &answer, &error);
	g_assert_cmpint(error.code, ==, WAXWING_ERROR_LEAVING);
	waxwing_inherited_windows_lookup(inheritance, 1000, &request, &answer, &error);
	g_assert_cmpint(error.code, ==, WAXWING_ERROR_EXPIRED_ID);
	waxwing_inherited_windows_destroy(inheritance);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/handover/mixed_senders", test_mixed_senders);
	g_test_add_func("/handover/rolling_restart", test_rolling_restart);
	return g_test_run();
}

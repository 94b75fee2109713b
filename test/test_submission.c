#include "submission.h"

#define INCARNATION 0x7f3a90c2u
#define LIFE_MS	    1000
#define GRACE_MS    500
#define MAX_TASKS   6
#define RECENT_JOBS 12
#define STEPS	    4000

static void test_id(void)
{
	static const char *const malformed[] = {
		"",
		"x",
		"can-tho-1.000000007f3a90c2.1",
		"can-tho-1.000000007f3a90c2.1/",
		"can-tho-1.7f3a90c2.1/k",
		"can-tho-1.000000007f3a90c2.-1/k",
		".000000007f3a90c2.1/k",
		"can-tho-1.000000007f3a90c2.1/a b",
		"can-tho-1.000000007f3a90c2.1/a\r\nX: y",
		"can-tho-1.000000007f3a90c2.99999999999999999999/k",
	};
	struct waxwing_submission_id id;
	struct waxwing_error error;

	g_assert_cmpint(waxwing_submission_id_parse(waxwing_str("a.b.000000007f3a90c2.41/k/2#x"),
						    &id, &error),
			==, WAXWING_OK);
	g_assert_true(waxwing_str_equal(id.window.instance, waxwing_str("a.b")));
	g_assert_cmpuint(id.window.incarnation, ==, INCARNATION);
	g_assert_cmpuint(id.window.epoch, ==, 41);
	g_assert_true(waxwing_str_equal(id.key, waxwing_str("k/2#x")));
	for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
		g_assert_cmpint(waxwing_submission_id_parse(waxwing_str(malformed[i]), &id, &error),
				==, WAXWING_ERROR_BAD_ID);
		g_assert_cmpstr(error.path, ==, "id");
	}
}

/** A mutated id is rejected, or prints as the same text: no id has two spellings. */
static void test_mutated_id(void)
{
	static const char valid[] = "can-tho-1.000000007f3a90c2.41/k-7";
	struct waxwing_submission_id id;

	for (int i = 0; i < 100000; i++) {
		char text[sizeof(valid)];
		size_t len = (size_t)g_test_rand_int_range(0, sizeof(valid));
		struct waxwing_str mutated = { g_test_rand_int_range(0, 2) ? len : strlen(valid),
					       text };
		char *window;
		char *printed;

		memcpy(text, valid, sizeof(valid));
		for (int j = g_test_rand_int_range(0, 3); j > 0; j--)
			text[g_test_rand_int_range(0, sizeof(valid) - 1)] =
				g_test_rand_int_range(0, 2) ? "./0Aa"[g_test_rand_int_range(0, 5)] :
							      (char)g_test_rand_int_range(0, 256);
		if (waxwing_submission_id_parse(mutated, &id, NULL))
			continue;
		window = waxwing_window_print(&id.window);
		printed = g_strdup_printf("%s/%.*s", window, WAXWING_STR_ARG(id.key));
		g_assert_true(waxwing_str_equal(waxwing_str(printed), mutated));
		g_free(printed);
		g_free(window);
	}
}

/** Keys chosen to collide under a fixed hash do not collide under the table's seeded hash. */
static void test_hash_collisions(void)
{
	GHashTable *fixed = g_hash_table_new(NULL, NULL);
	GHashTable *seeded = g_hash_table_new(NULL, NULL);

	for (unsigned int i = 0; i < 256; i++) {
		GString *id = g_string_new("can-tho-1.000000007f3a90c2.1/");

		for (unsigned int bit = 0; bit < 8; bit++)
			g_string_append(id, i >> bit & 1 ? "Ez" : "FY");
		g_hash_table_add(fixed, GUINT_TO_POINTER(g_str_hash(id->str)));
		g_hash_table_add(seeded, GUINT_TO_POINTER(waxwing_submission_id_hash(id->str)));
		g_string_free(id, TRUE);
	}
	g_assert_cmpuint(g_hash_table_size(fixed), ==, 1);
	g_assert_cmpuint(g_hash_table_size(seeded), >, 250);
	g_hash_table_destroy(fixed);
	g_hash_table_destroy(seeded);
}

/** Expected state of a task. */
struct model_task {
	bool committed;
	bool may_have_run; /**< A result was reported that means that the task may have run. */
};

struct model_job {
	char *id;
	uint64_t number;
	uint32_t task_count;
	int64_t created_ms;
	bool ever_committed;
	bool answered;
	struct model_task tasks[MAX_TASKS];
};

struct model_waiter {
	size_t job;
	unsigned int answers;
};

struct table_model {
	struct waxwing_submissions *table;
	int64_t now_ms;
	GArray *jobs;
	GArray *waiters;
	unsigned int committed;
	unsigned int answer_counts[3]; /**< Number of answers: complete, failed, not_run. */
	bool frozen;
};

static struct waxwing_submissions *table_create(int64_t now_ms)
{
	struct waxwing_submissions_options options = {
		.instance = waxwing_str("can-tho-1"),
		.incarnation = INCARNATION,
		.window_life_ms = LIFE_MS,
		.window_grace_ms = GRACE_MS,
	};

	return waxwing_submissions_create(&options, now_ms);
}

static enum waxwing_submit_result submit(struct table_model *model, const char *id,
					 const char *caller, uint32_t task_count, uint64_t waiter,
					 uint64_t *number, struct waxwing_error *error)
{
	Waxwing__TaskRequest tasks[MAX_TASKS];
	Waxwing__TaskRequest *pointers[MAX_TASKS];
	Waxwing__JobRequest request = WAXWING__JOB_REQUEST__INIT;
	struct waxwing_job job = { 0 };
	enum waxwing_submit_result result;

	for (uint32_t i = 0; i < task_count; i++) {
		waxwing__task_request__init(&tasks[i]);
		tasks[i].body = "rice";
		pointers[i] = &tasks[i];
	}
	request.id = (char *)id;
	request.caller = (char *)caller;
	request.branch = "meals";
	request.n_tasks = task_count;
	request.tasks = pointers;
	result = waxwing_submissions_submit(model->table, model->now_ms, &request,
					    model->now_ms + g_test_rand_int_range(1, LIFE_MS),
					    (struct waxwing_waiter){ waiter }, &job, error);
	*number = job.number;
	return result;
}

static struct model_job *job_at(struct table_model *model, size_t index)
{
	return &g_array_index(model->jobs, struct model_job, index);
}

static struct model_job *random_recent_job(struct table_model *model)
{
	guint recent = MIN(model->jobs->len, RECENT_JOBS);

	return recent ? job_at(model,
			       model->jobs->len - 1 - g_test_rand_int_range(0, (gint32)recent)) :
			NULL;
}

static void check_answer(struct table_model *model, const struct model_job *job,
			 const Waxwing__JobAnswer *answer)
{
	g_assert_nonnull(answer);
	g_assert_cmpstr(answer->id, ==, job->id);
	if (strcmp(answer->state, "complete") == 0) {
		g_assert_cmpuint(answer->n_tasks, ==, job->task_count);
		g_assert_null(answer->failure);
		for (uint32_t i = 0; i < job->task_count; i++) {
			char *expected = g_strdup_printf("%s#%u", job->id, i);

			g_assert_cmpstr(answer->tasks[i]->body, ==, expected);
			g_free(expected);
		}
		model->answer_counts[0]++;
		return;
	}
	g_assert_cmpuint(answer->n_tasks, ==, 0);
	g_assert_nonnull(answer->failure);
	if (strcmp(answer->state, "not_run") == 0) {
		for (uint32_t i = 0; i < job->task_count; i++)
			g_assert_false(job->tasks[i].committed || job->tasks[i].may_have_run);
		model->answer_counts[2]++;
		return;
	}
	g_assert_cmpstr(answer->state, ==, "failed");
	g_assert_true(job->ever_committed);
	g_assert_false(waxwing_error_is_not_run(waxwing_error_from_name(answer->failure->code)));
	model->answer_counts[1]++;
}

static void take_results(struct table_model *model)
{
	struct waxwing_delivery delivery;
	uint64_t number;

	while (waxwing_submissions_next_answer(model->table, &delivery)) {
		struct model_waiter *waiter =
			&g_array_index(model->waiters, struct model_waiter, delivery.waiter.number);
		struct model_job *job = job_at(model, waiter->job);

		g_assert_cmpuint(waiter->answers++, ==, 0);
		job->answered = true;
		check_answer(model, job, delivery.answer);
	}
	while (waxwing_submissions_next_withdrawal(model->table, &number))
		g_assert_cmpuint(number, >, 0);
}

static void submit_new(struct table_model *model)
{
	struct model_waiter waiter = { .job = model->jobs->len };
	struct model_job job = { .task_count = (uint32_t)g_test_rand_int_range(1, MAX_TASKS + 1) };
	struct waxwing_str window = waxwing_submissions_window(model->table, model->now_ms);
	enum waxwing_submit_result result;
	struct waxwing_error error;

	job.id = g_strdup_printf("%.*s/%u", WAXWING_STR_ARG(window), model->jobs->len);
	job.created_ms = model->now_ms;
	result = submit(model, job.id, "crew", job.task_count, model->waiters->len, &job.number,
			&error);
	g_assert_cmpint(result, ==, model->frozen ? WAXWING_SUBMIT_REFUSED : WAXWING_SUBMIT_NEW);
	if (model->frozen) {
		g_assert_cmpint(error.code, ==, WAXWING_ERROR_LEAVING);
		g_free(job.id);
		return;
	}
	g_array_append_val(model->jobs, job);
	g_array_append_val(model->waiters, waiter);
}

static void resubmit(struct table_model *model, struct model_job *job)
{
	struct model_waiter waiter = { .job = (size_t)(job - job_at(model, 0)) };
	bool same = g_test_rand_int_range(0, 4) > 0;
	struct waxwing_error error;
	uint64_t number;

	switch (submit(model, job->id, same ? "crew" : "other", job->task_count,
		       model->waiters->len, &number, &error)) {
	case WAXWING_SUBMIT_ATTACHED:
		g_assert_true(same);
		g_assert_cmpuint(number, ==, job->number);
		g_array_append_val(model->waiters, waiter);
		break;
	case WAXWING_SUBMIT_FINISHED:
		g_assert_true(same);
		check_answer(model, job,
			     waxwing_submissions_answer(model->table, model->now_ms,
							waxwing_str(job->id)));
		break;
	case WAXWING_SUBMIT_REFUSED:
		if (error.code == WAXWING_ERROR_EXPIRED_ID) {
			g_assert_cmpint(model->now_ms, >=, job->created_ms + GRACE_MS);
			break;
		}
		g_assert_cmpint(error.code, ==, WAXWING_ERROR_ID_REUSED);
		g_assert_false(same);
		break;
	default:
		g_assert_not_reached();
	}
}

static void grant_task(struct table_model *model, struct model_job *job)
{
	uint32_t index = (uint32_t)g_test_rand_int_range(0, (gint32)job->task_count + 1);
	struct waxwing_task_start start;

	if (!waxwing_submissions_commit(model->table, model->now_ms, job->number, index, &start))
		return;
	g_assert_cmpuint(index, <, job->task_count);
	g_assert_false(job->tasks[index].committed);
	g_assert_false(job->tasks[index].may_have_run);
	g_assert_false(job->answered);
	g_assert_true(waxwing_str_equal(start.id, waxwing_str(job->id)));
	job->tasks[index].committed = true;
	job->ever_committed = true;
	model->committed++;
}

/** Reports a random result of a task. If the task is not committed, this must change nothing. */
static void end_task(struct table_model *model, struct model_job *job, uint32_t index)
{
	struct model_task *task = &job->tasks[index];
	int choice = g_test_rand_int_range(0, 100);
	enum waxwing_slot_outcome outcome =
		choice < 70 ? WAXWING_SLOT_DONE : (enum waxwing_slot_outcome)(choice % 6);
	bool started = outcome <= WAXWING_SLOT_UNKNOWN;
	char *body = g_strdup_printf("%s#%u", job->id, index);
	bool must_place;
	bool late;

	must_place = waxwing_submissions_end_task(model->table, model->now_ms, job->number, index,
						  outcome, waxwing_str(body), &late);
	g_free(body);
	take_results(model);
	g_assert_false(must_place && (started || !task->committed || job->answered));
	g_assert_false(late && (!started || !task->committed || !job->answered));
	if (!task->committed)
		return;
	model->committed--;
	task->committed = false;
	task->may_have_run = started;
}

static void cancel(struct table_model *model, const struct model_job *job)
{
	struct waxwing_error error;

	if (waxwing_submissions_cancel(model->table, model->now_ms, waxwing_str(job->id), &error)) {
		g_assert_false(job->answered);
		return;
	}
	take_results(model);
	if (error.code != WAXWING_ERROR_EXPIRED_ID) {
		g_assert_cmpint(error.code, ==, WAXWING_ERROR_NOT_FOUND);
		g_assert_true(job->answered);
	}
}

static void step(struct table_model *model)
{
	int choice = g_test_rand_int_range(0, 100);
	struct model_job *job = random_recent_job(model);
	struct waxwing_error reason;

	if (choice < 12 || !job)
		submit_new(model);
	else if (choice < 22)
		resubmit(model, job);
	else if (choice < 60)
		grant_task(model, job);
	else if (choice < 88)
		end_task(model, job, (uint32_t)g_test_rand_int_range(0, (gint32)job->task_count));
	else if (choice < 89)
		cancel(model, job);
	else if (choice < 90) {
		waxwing_error_set(&reason, WAXWING_ERROR_OVERLOAD, NULL, "by the test");
		waxwing_submissions_refuse(model->table, model->now_ms, job->number, &reason);
	} else {
		model->now_ms += g_test_rand_int_range(0, 60);
		waxwing_submissions_tick(model->table, model->now_ms);
	}
	take_results(model);
}

static void finish(struct table_model *model)
{
	struct waxwing_submissions_view view;

	for (guint i = 0; i < model->jobs->len; i++)
		for (uint32_t j = 0; j < job_at(model, i)->task_count; j++)
			if (job_at(model, i)->tasks[j].committed)
				end_task(model, job_at(model, i), j);
	model->now_ms += LIFE_MS;
	waxwing_submissions_tick(model->table, model->now_ms);
	take_results(model);
	model->now_ms += LIFE_MS + GRACE_MS;
	for (int i = 0; i < 10; i++)
		waxwing_submissions_tick(model->table, model->now_ms);
	for (guint i = 0; i < model->waiters->len; i++)
		g_assert_cmpuint(g_array_index(model->waiters, struct model_waiter, i).answers, ==,
				 1);
	waxwing_submissions_view(model->table, &view);
	g_assert_cmpuint(view.running_jobs + view.queued_tasks + view.committed_tasks, ==, 0);
	g_assert_cmpuint(view.finished_ids, ==, 0);
	g_assert_cmpuint(view.bytes, ==, 0);
	g_assert_cmpuint(view.epochs, <=, 2);
}

static void test_properties(void)
{
	struct table_model model = {
		.table = table_create(0),
		.jobs = g_array_new(false, false, sizeof(struct model_job)),
		.waiters = g_array_new(false, false, sizeof(struct model_waiter)),
	};
	struct waxwing_submissions_view view;

	for (int i = 0; i < STEPS; i++) {
		if (i == STEPS - STEPS / 10) {
			waxwing_submissions_freeze(model.table);
			model.frozen = true;
		}
		step(&model);
		waxwing_submissions_view(model.table, &view);
		g_assert_cmpuint(view.committed_tasks, ==, model.committed);
		g_assert_cmpuint(view.epochs, <=, 1 + (LIFE_MS + GRACE_MS) / LIFE_MS);
	}
	finish(&model);
	g_test_message("complete %u, failed %u, not run %u", model.answer_counts[0],
		       model.answer_counts[1], model.answer_counts[2]);
	for (int i = 0; i < 3; i++)
		g_assert_cmpuint(model.answer_counts[i], >, 0);
	for (guint i = 0; i < model.jobs->len; i++)
		g_free(job_at(&model, i)->id);
	g_array_free(model.jobs, true);
	g_array_free(model.waiters, true);
	waxwing_submissions_destroy(model.table);
}

static void test_windows(void)
{
	struct table_model model = { .table = table_create(0) };
	struct waxwing_error error;
	uint64_t number;
	char *id = g_strdup("can-tho-1.000000007f3a90c2.1/k");

	g_assert_cmpint(
		submit(&model, "can-tho-1.000000007f3a90c2.2/k", "c", 1, 0, &number, &error), ==,
		WAXWING_SUBMIT_REFUSED);
	g_assert_cmpint(error.code, ==, WAXWING_ERROR_BAD_ID);
	g_assert_cmpint(
		submit(&model, "can-tho-1.000000007f3a90c3.1/k", "c", 1, 0, &number, &error), ==,
		WAXWING_SUBMIT_FOREIGN_WINDOW);
	model.now_ms = LIFE_MS + GRACE_MS - 1;
	g_assert_cmpint(submit(&model, id, "c", 1, 0, &number, &error), ==, WAXWING_SUBMIT_NEW);
	model.now_ms++;
	g_assert_cmpint(submit(&model, id, "c", 1, 0, &number, &error), ==, WAXWING_SUBMIT_REFUSED);
	g_assert_cmpint(error.code, ==, WAXWING_ERROR_EXPIRED_ID);
	g_assert_cmpuint(waxwing_submissions_running(model.table), ==, 1);
	waxwing_submissions_destroy(model.table);
	g_free(id);
}

/** The ids of an expired epoch are refused at once, but freed over several calls. */
static void test_expiry(void)
{
	const uint64_t max_per_call = 768;
	struct table_model model = { .table = table_create(0) };
	struct waxwing_submissions_view view;
	struct waxwing_error error = { .code = WAXWING_ERROR_OVERLOAD };
	uint64_t before = 6000;
	uint64_t number;
	unsigned int calls = 0;

	for (unsigned int i = 0; i < before; i++) {
		char *id = g_strdup_printf("can-tho-1.000000007f3a90c2.1/%u", i);

		submit(&model, id, "c", 1, i, &number, &error);
		error.code = i % 2 ? WAXWING_ERROR_OVERLOAD : WAXWING_ERROR_QUOTA;
		waxwing_submissions_refuse(model.table, 0, number, &error);
		g_free(id);
	}
	model.now_ms = LIFE_MS + GRACE_MS;
	for (; before; calls++) {
		g_assert_cmpint(submit(&model, "can-tho-1.000000007f3a90c2.1/7", "c", 1, 0, &number,
				       &error),
				==, WAXWING_SUBMIT_REFUSED);
		g_assert_cmpint(error.code, ==, WAXWING_ERROR_EXPIRED_ID);
		waxwing_submissions_view(model.table, &view);
		g_assert_cmpuint(before - view.finished_ids, <=, max_per_call);
		g_assert_cmpuint(view.finished_ids, <, before);
		before = view.finished_ids;
	}
	g_assert_cmpuint(calls, >, 1);
	waxwing_submissions_destroy(model.table);
}

/** A body that JSON text cannot represent fails its job; it is never truncated. */
static void test_binary_body(void)
{
	struct table_model model = { .table = table_create(0) };
	struct waxwing_str body = { 3, "a\0b" };
	struct waxwing_delivery delivery;
	struct waxwing_task_start start;
	struct waxwing_error error;
	uint64_t number;
	bool late;

	submit(&model, "can-tho-1.000000007f3a90c2.1/k", "c", 1, 7, &number, &error);
	g_assert_true(waxwing_submissions_commit(model.table, 0, number, 0, &start));
	waxwing_submissions_end_task(model.table, 0, number, 0, WAXWING_SLOT_DONE, body, &late);
	g_assert_true(waxwing_submissions_next_answer(model.table, &delivery));
	g_assert_cmpuint(delivery.waiter.number, ==, 7);
	g_assert_cmpstr(delivery.answer->state, ==, "failed");
	g_assert_cmpstr(delivery.answer->failure->code, ==, "task_failed");
	waxwing_submissions_destroy(model.table);
}

/** A retry queues a committed task again once, and not after the deadline. */
static void test_retry(void)
{
	struct table_model model = { .table = table_create(0) };
	struct waxwing_task_start start;
	struct waxwing_error error;
	uint64_t number;

	submit(&model, "can-tho-1.000000007f3a90c2.1/k", "c", 1, 7, &number, &error);
	g_assert_false(waxwing_submissions_retry(model.table, 0, number, 0));
	g_assert_true(waxwing_submissions_commit(model.table, 0, number, 0, &start));
	g_assert_true(waxwing_submissions_retry(model.table, 0, number, 0));
	g_assert_false(waxwing_submissions_retry(model.table, 0, number, 0));
	g_assert_true(waxwing_submissions_commit(model.table, 0, number, 0, &start));
	g_assert_false(waxwing_submissions_retry(model.table, LIFE_MS, number, 0));
	waxwing_submissions_destroy(model.table);
}

/*
 * If a task was queued again with proof that it never started, a refusal of its job is answered
 * "not_run".
 */
static void test_requeue_then_refuse(void)
{
	static const enum waxwing_slot_outcome not_started[] = { WAXWING_SLOT_BUSY,
								 WAXWING_SLOT_UNREACHABLE,
								 WAXWING_SLOT_LEAVING };
	struct table_model model = { .table = table_create(0) };
	struct waxwing_error reason = { .code = WAXWING_ERROR_OVERLOAD };

	for (guint i = 0; i < G_N_ELEMENTS(not_started); i++) {
		char *id = g_strdup_printf("can-tho-1.000000007f3a90c2.1/k%u", i);
		struct waxwing_task_start start;
		struct waxwing_delivery delivery;
		struct waxwing_error error;
		uint64_t number;
		bool late;

		submit(&model, id, "c", 1, i, &number, &error);
		g_assert_true(waxwing_submissions_commit(model.table, 0, number, 0, &start));
		g_assert_true(waxwing_submissions_end_task(model.table, 0, number, 0,
							   not_started[i], waxwing_str(""), &late));
		waxwing_submissions_refuse(model.table, 0, number, &reason);
		g_assert_true(waxwing_submissions_next_answer(model.table, &delivery));
		g_assert_cmpstr(delivery.answer->state, ==, "not_run");
		g_free(id);
	}
	waxwing_submissions_destroy(model.table);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/submission/id", test_id);
	g_test_add_func("/submission/mutated_id", test_mutated_id);
	g_test_add_func("/submission/hostile_keys", test_hash_collisions);
	g_test_add_func("/submission/windows", test_windows);
	g_test_add_func("/submission/expiry", test_expiry);
	g_test_add_func("/submission/binary_body", test_binary_body);
	g_test_add_func("/submission/retry", test_retry);
	g_test_add_func("/submission/properties", test_properties);
	g_test_add_func("/submission/back_with_proof", test_requeue_then_refuse);
	return g_test_run();
}

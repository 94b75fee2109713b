/*
 * Invariants of several dispatchers under faults: no task starts twice, each waiter gets one
 * answer, and "not run" is answered only if it is true.
 */
#include "edit.h"
#include "edit_store.h"
#include "fake_store.h"
#include "settings_log.h"
#include "world.h"

static void test_no_faults(void)
{
	struct world *world = world_new(0);

	advance_world(world, 1000);
	run_with_load(world, 3000);
	advance_world(world, DEADLINE_MS + 3000);
	check_invariants(world, 0);
	g_assert_cmpuint(count_answered(world, "not_run"), ==, 0);
	g_assert_cmpuint(count_answered(world, "unknown"), ==, 0);
	g_assert_cmpuint(world->busy, ==, 0);
	world_free(world);
}

/* Lost batches delay jobs but lose no answer: all jobs end well before their deadline. */
static void test_batch_loss(void)
{
	struct world *world = world_new(10);

	advance_world(world, 1000);
	run_with_load(world, 3000);
	advance_world(world, DEADLINE_MS / 2);
	for (int i = 0; i < INSTANCES; i++) {
		struct json_object *dump =
			waxwing_dispatcher_dump(world->instances[i].dispatcher, world->now_ms);
		struct json_object *part = json_object_object_get(dump, "submissions");

		g_assert_cmpint(json_object_get_int(json_object_object_get(part, "running_jobs")),
				==, 0);
		json_object_put(dump);
	}
	world->loss_percent = 0;
	advance_world(world, DEADLINE_MS);
	check_invariants(world, 0);
	world_free(world);
}

static void set_partition(struct world *world, int index, bool partitioned)
{
	for (int i = 0; i < INSTANCES; i++)
		if (i != index)
			world->partitioned[index][i] = world->partitioned[i][index] = partitioned;
}

/*
 * During a partition each side has its own scheduler. Upstreams may answer busy, but no task starts
 * twice and no answer is lost.
 */
static void test_partition(void)
{
	struct world *world = world_new(0);
	int index = g_test_rand_int_range(0, INSTANCES);

	advance_world(world, 1000);
	run_with_load(world, 1000);
	set_partition(world, index, true);
	run_with_load(world, 4000);
	set_partition(world, index, false);
	run_with_load(world, 1000);
	advance_world(world, 2 * DEADLINE_MS);
	check_invariants(world, 0);

	g_assert_cmpuint(count_answered(world, "not_run"), ==, 0);
	world_free(world);
}

/* An instance crashes and restarts under a new incarnation. No job of another instance is lost. */
static void test_instance_crash(void)
{
	struct world *world = world_new(0);
	uint64_t lost = 0;

	advance_world(world, 1000);
	for (int round = 0; round < 4; round++) {
		int index = g_test_rand_int_range(0, INSTANCES);

		run_with_load(world, 1500);
		lost += count_unanswered(world);
		stop_instance(world, index);
		run_with_load(world, 500);
		start_instance(world, index);
		run_with_load(world, 1500);
	}
	advance_world(world, 2 * DEADLINE_MS);
	check_invariants(world, lost);
	g_assert_cmpuint(count_answered(world, "complete"), >, 0);
	world_free(world);
}

/* A paused instance resumes after other instances have taken over its scheduling. */
static void test_instance_pause(void)
{
	struct world *world = world_new(0);

	advance_world(world, 1000);
	for (int round = 0; round < 4; round++) {
		int index = g_test_rand_int_range(0, INSTANCES);

		run_with_load(world, 1000);
		world->instances[index].paused = true;
		run_with_load(world, 4000);
		world->instances[index].paused = false;
		run_with_load(world, 1000);
	}
	advance_world(world, 2 * DEADLINE_MS);
	check_invariants(world, 0);
	world_free(world);
}

static void drain_and_replace(struct world *world, int index)
{
	struct waxwing_dispatcher *dispatcher = world->instances[index].dispatcher;

	waxwing_dispatcher_drain(dispatcher, world->now_ms);
	for (int i = 0; i < 30000 && !waxwing_dispatcher_is_drained(dispatcher); i++) {
		/* the load balancer soon notices that the instance is not ready */
		world->instances[index].out_of_rotation = i * STEP_MS > 300;
		if (!g_test_rand_int_range(0, 10))
			resubmit(world);
		step(world);
	}
	world->instances[index].out_of_rotation = false;
	g_assert_true(waxwing_dispatcher_is_drained(dispatcher));
	stop_instance(world, index);
	advance_world(world, 200);
	start_instance(world, index);
}

/* Returns the state of the last waiter's answer, or null. */
static const char *last_answer(struct world *world)
{
	return g_hash_table_lookup(world->answers, &world->next_waiter);
}

/*
 * All instances are replaced in turn under load. Their successors must know the true answer of
 * every id.
 */
static void test_rolling_replacement(void)
{
	struct world *world = world_new(2);
	uint32_t unknown = 0;

	advance_world(world, 1000);
	run_with_load(world, 1000);
	for (int i = 0; i < INSTANCES; i++)
		drain_and_replace(world, i);
	world->loss_percent = 0;
	advance_world(world, DEADLINE_MS);
	check_invariants(world, 0);
	for (guint i = 0; i < world->ids->len; i++) {
		const char *id = g_ptr_array_index(world->ids, i);
		const char *state;

		submit_id(world, random_live_instance(world), id, id_task_count(id));
		advance_world(world, 50);
		state = last_answer(world);
		g_assert_nonnull(state);
		unknown += g_str_equal(state, "unknown");
		if (g_hash_table_contains(world->started_ids, id))
			g_assert_cmpstr(state, !=, "not_run");
	}
	g_test_message("%u of %u ids unknown after the replacement", unknown, world->ids->len);
	g_assert_cmpuint(unknown, ==, 0);
	check_invariants(world, 0);
	world_free(world);
}

/*
 * Guards against "outcome unknown" for ids whose answer a peer has: an instance that has just started
 * was asked before it had heard who inherited them (script_rolling_replacement, script_cut_pairs).
 */
static void test_asked_after_start(void)
{
	struct world *world = world_new(0);
	uint32_t unknown = 0;

	advance_world(world, 1000);
	run_with_load(world, 300);
	for (int i = 0; i < INSTANCES; i++)
		drain_and_replace(world, i);
	for (guint i = 0; i < world->ids->len; i++) {
		const char *id = g_ptr_array_index(world->ids, i);

		submit_id(world, INSTANCES - 1, id, id_task_count(id));
	}
	advance_world(world, 3000);
	for (uint64_t waiter = world->next_waiter - world->ids->len + 1;
	     waiter <= world->next_waiter; waiter++) {
		const char *state = g_hash_table_lookup(world->answers, &waiter);

		g_assert_nonnull(state);
		unknown += g_str_equal(state, "unknown");
	}
	g_test_message("%u of %u ids unknown", unknown, world->ids->len);
	g_assert_cmpuint(unknown, ==, 0);
	world_free(world);
}

static uint32_t count_starts(struct world *world)
{
	return g_hash_table_size(world->starts) + (uint32_t)world->double_starts;
}

/* Idempotent requests are retried, but no more often than the retry budget allows. */
static void test_retry(void)
{
	struct world *world = world_new(0);
	const uint32_t requests = 400;
	uint32_t allowed;

	world->fail_percent = 100;
	advance_world(world, 1000);
	for (uint32_t i = 0; i < requests; i++) {
		int index = random_live_instance(world);
		struct waxwing_str window = waxwing_dispatcher_window(
			world->instances[index].dispatcher, world->now_ms);
		char *id = g_strdup_printf("%.*s/r%u", WAXWING_STR_ARG(window), i);

		submit_kind(world, index, id, 1, "i", WAXWING_SUBMIT_SINGLE);
		g_free(id);
		advance_world(world, 10);
	}
	advance_world(world, 2 * DEADLINE_MS);
	g_assert_cmpuint(g_hash_table_size(world->answers), ==, requests);
	g_assert_cmpuint(count_answered(world, "complete"), ==, 0);
	g_test_message("%u starts for %u requests that all fail", count_starts(world), requests);
	g_assert_cmpuint(count_starts(world), >, requests);
	/* 10 saved retries at each instance, and the default 10 percent of the first attempts */
	allowed = requests + INSTANCES * 10 + requests * 10 / 100;
	g_assert_cmpuint(count_starts(world), <=, allowed);
	world_free(world);
}

/* A failed task is not retried in a job, nor in a single request of a non-idempotent branch. */
static void test_no_retry(void)
{
	struct world *world = world_new(0);

	world->fail_percent = 100;
	advance_world(world, 1000);
	for (uint32_t i = 0; i < 50; i++) {
		struct waxwing_str window =
			waxwing_dispatcher_window(world->instances[0].dispatcher, world->now_ms);
		char *id = g_strdup_printf("%.*s/r%u", WAXWING_STR_ARG(window), i);

		submit_kind(world, 0, id, 1, i % 2 ? "b" : "i",
			    i % 2 ? WAXWING_SUBMIT_SINGLE : WAXWING_SUBMIT_JOB);
		g_free(id);
		advance_world(world, 10);
	}
	advance_world(world, DEADLINE_MS);
	check_invariants(world, 0);
	g_assert_cmpuint(count_starts(world), ==, 50);
	world_free(world);
}

/* A job of an unknown branch is refused with unknown_branch, even if it has no deadline. */
static void test_unknown_branch(void)
{
	struct world *world = world_new(0);
	Waxwing__JobRequest request = WAXWING__JOB_REQUEST__INIT;
	Waxwing__TaskRequest task = WAXWING__TASK_REQUEST__INIT;
	Waxwing__TaskRequest *tasks[] = { &task };
	struct waxwing_waiter waiter = { .number = ++world->next_waiter };
	struct waxwing_str window =
		waxwing_dispatcher_window(world->instances[0].dispatcher, world->now_ms);

	request.id = g_strdup_printf("%.*s/k", WAXWING_STR_ARG(window));
	request.caller = "c";
	request.branch = "none";
	request.n_tasks = 1;
	request.tasks = tasks;
	waxwing_dispatcher_submit(world->instances[0].dispatcher, world->now_ms, &request,
				  WAXWING_SUBMIT_JOB, waiter);
	g_assert_cmpstr(world->last_code, ==, "unknown_branch");
	g_assert_cmpuint(count_answered(world, "not_run"), ==, 1);
	g_free(request.id);
	world_free(world);
}

/* The limits of the settings take effect: queue size and lifetime of windows. */
static void test_limits(void)
{
	struct world *world = world_new(0);
	struct world_instance *instance = &world->instances[0];
	char *window;
	char *id;

	for (int i = 0; i < INSTANCES; i++)
		set_document(world, &world->instances[i],
			     "{\"limits\":{\"queue_tasks\":2,\"window_life_ms\":1000,"
			     "\"window_grace_ms\":1000},\"branches\":{\"b\":{}}}",
			     2);
	advance_world(world, 1500);
	window = waxwing_str_dup(waxwing_dispatcher_window(instance->dispatcher, world->now_ms));
	id = g_strdup_printf("%s/large", window);
	submit_id(world, 0, id, 3);
	advance_world(world, 50);
	g_assert_cmpstr(world->last_code, ==, "never_fits");
	g_free(id);
	id = g_strdup_printf("%s/small", window);
	submit_id(world, 0, id, 1);
	advance_world(world, 500);
	g_assert_cmpuint(count_answered(world, "complete") + count_answered(world, "failed"), ==,
			 1);
	advance_world(world, 2000);
	submit_id(world, 0, id, 1);
	g_assert_cmpstr(world->last_code, ==, "expired_id");
	g_free(id);
	g_free(window);
	world_free(world);
}

/* Edits a large settings document on a platform that only instance 0 can reach. */
struct editor {
	struct fake_store store;
	uint32_t edits;
};

static char *fetch_base(void *context, const char *key, struct waxwing_error *error)
{
	const struct fake_store *store = context;

	(void)error;
	return g_strdup(g_hash_table_lookup(store->write_once, key));
}

static void edit_weight(struct editor *editor)
{
	char *value = g_strdup_printf("%u", ++editor->edits);
	char *change = g_strdup_printf("c%u", editor->edits);
	const struct waxwing_edit_options options = { .platform = &editor->store.base,
						      .key = "settings",
						      .change = change,
						      .max_log_edits = 2 };
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct waxwing_edit edit;

	waxwing_edit_set(&edit, "b", "weight", value, false, &error);
	g_assert_cmpint(waxwing_edit_run(&edit, &options, NULL, &error), ==, WAXWING_OK);
	waxwing_edit_clear(&edit);
	g_free(value);
	g_free(change);
}

/* Loads the platform's current settings into instance 0. */
static void load_from_platform(struct world *world, const struct editor *editor)
{
	const struct waxwing_base_reader fetch = { fetch_base, (void *)&editor->store };
	struct waxwing_str head = waxwing_str(editor->store.data);
	char *text = waxwing_settings_resolve(head, waxwing_str(""), &fetch, NULL);
	struct waxwing_settings *settings =
		waxwing_settings_parse(waxwing_str(text), 10 + editor->store.revision, NULL);

	waxwing_settings_set_head(settings, head);
	waxwing_dispatcher_set_settings(world->instances[0].dispatcher, world->now_ms, settings);
	g_free(text);
}

/* Checks that all running instances have the weight of the last edit, at its revision. */
static void check_settings(struct world *world, const struct editor *editor)
{
	for (int i = 0; i < INSTANCES; i++) {
		const struct waxwing_settings *settings =
			waxwing_dispatcher_settings_store(world->instances[i].dispatcher)->current;

		if (world->instances[i].paused)
			continue;
		g_assert_cmpuint(waxwing_settings_revision(settings), ==,
				 10 + editor->store.revision);
		g_assert_cmpuint(waxwing_settings_branch(settings, waxwing_str("b"))->weight, ==,
				 editor->edits);
	}
}

/*
 * Peers pass on edits. An instance that was paused while the log of edits was merged into the
 * document gets the whole document.
 */
static void test_settings_from_peers(void)
{
	char *padding = g_strnfill(WAXWING_PLAIN_MAX_BYTES, 'x');
	char *large = g_strdup_printf("{ // %s\n\"branches\": {\"b\": {}} }", padding);
	struct world *world = world_new(2);
	struct editor editor = { .edits = 0 };

	fake_store_init(&editor.store, large);
	edit_weight(&editor);
	load_from_platform(world, &editor);
	advance_world(world, 5000);
	check_settings(world, &editor);
	g_assert_cmpuint(world->largest_batch, >, WAXWING_PLAIN_MAX_BYTES);
	world->largest_batch = 0;
	for (int i = 0; i < 4; i++) {
		world->instances[2].paused = i > 0;
		edit_weight(&editor);
		load_from_platform(world, &editor);
		advance_world(world, 3000);
		check_settings(world, &editor);
		g_assert_cmpuint(world->largest_batch, <, 4096);
	}
	world->instances[2].paused = false;
	advance_world(world, 5000);
	check_settings(world, &editor);
	g_assert_cmpuint(world->largest_batch, >, WAXWING_PLAIN_MAX_BYTES);
	world_free(world);
	fake_store_clear(&editor.store);
	g_free(padding);
	g_free(large);
}

static void cancel(struct world *world, int index, const char *id)
{
	struct waxwing_waiter waiter = { .number = ++world->next_waiter };

	waxwing_dispatcher_cancel(world->instances[index].dispatcher, world->now_ms, id, waiter);
	advance_world(world, 20);
}

/* A job is cancelled by its issuer, whichever instance is asked, even if batches are lost. */
static void test_cancel(void)
{
	struct world *world = world_new(0);
	struct waxwing_str window;
	uint64_t submitted;
	char *id;

	advance_world(world, 1000);
	window = waxwing_dispatcher_window(world->instances[0].dispatcher, world->now_ms);
	id = g_strdup_printf("%.*s/k", WAXWING_STR_ARG(window));
	cancel(world, 1, id);
	g_assert_cmpstr(world->last_state, ==, "not_cancelled");
	g_assert_cmpstr(world->last_code, ==, "not_found");
	submit_id(world, 0, id, 6);
	submitted = world->next_waiter;
	cancel(world, 1, id);
	g_assert_cmpstr(world->last_state, ==, "cancelled");
	advance_world(world, 1000);
	g_assert_cmpuint(g_hash_table_size(world->answers), ==, world->next_waiter);
	g_assert_cmpstr(g_hash_table_lookup(world->answers, &submitted), !=, "complete");
	world->loss_percent = 30;
	cancel(world, 2, id);
	advance_world(world, 5000);
	world->loss_percent = 0;
	advance_world(world, 5000);
	g_assert_cmpuint(g_hash_table_size(world->answers), ==, world->next_waiter);
	g_assert_cmpstr(world->last_code, ==, "not_found");
	cancel(world, 2, "nonsense");
	g_assert_cmpstr(world->last_code, ==, "bad_id");
	stop_instance(world, 0);
	advance_world(world, 3000);
	cancel(world, 1, id);
	g_assert_cmpstr(world->last_code, ==, "outcome_unknown");
	g_assert_cmpuint(world->double_answers, ==, 0);
	g_free(id);
	world_free(world);
}

static double upstream_speed(struct world *world, int index, const char *name)
{
	struct json_object *state =
		waxwing_dispatcher_dump(world->instances[index].dispatcher, world->now_ms);
	struct json_object *upstreams = json_object_object_get(state, "upstreams");
	double speed = 0;

	for (size_t i = 0; i < json_object_array_length(upstreams); i++) {
		struct json_object *upstream = json_object_array_get_idx(upstreams, i);
		const char *found =
			json_object_get_string(json_object_object_get(upstream, "name"));

		if (g_str_equal(found, name))
			speed = json_object_get_double(json_object_object_get(upstream, "speed"));
	}
	json_object_put(state);
	return speed;
}

/* Instances that are not the scheduler learn from their own tasks which upstream is slow. */
static void test_speed_without_scheduling(void)
{
	struct world *world = world_new(0);

	world->u0_slowdown = 5;
	advance_world(world, 1000);
	run_with_load(world, 20000);
	for (int i = 0; i < INSTANCES; i++) {
		g_test_message("instance %d: speed of u0 %.2f, of u1 %.2f", i,
			       upstream_speed(world, i, "u0"), upstream_speed(world, i, "u1"));
		g_assert_cmpfloat(4 * upstream_speed(world, i, "u0"), <,
				  3 * upstream_speed(world, i, "u1"));
	}
	world_free(world);
}

static int find_scheduler(struct world *world)
{
	int found = -1;

	for (int i = 0; i < INSTANCES; i++) {
		struct json_object *state =
			waxwing_dispatcher_dump(world->instances[i].dispatcher, world->now_ms);
		struct json_object *cells = json_object_object_get(state, "cells");

		if (json_object_get_boolean(
			    json_object_object_get(json_object_array_get_idx(cells, 0), "here")))
			found = i;
		json_object_put(state);
	}
	return found;
}

/*
 * A new scheduler takes over the tasks that still run at a removed upstream, and drops the upstream
 * when they have ended.
 */
static void test_removed_upstream(void)
{
	struct world *world = world_new(0);
	int scheduler;

	world->u0_slowdown = 100;
	advance_world(world, 1000);
	run_with_load(world, 500);
	g_assert_cmpuint(world->used_slots[0], >, 0);
	world->u0_unlisted = true;
	for (int i = 0; i < INSTANCES; i++)
		set_platform_lists(world, &world->instances[i]);
	scheduler = find_scheduler(world);
	g_assert_cmpint(scheduler, >=, 0);
	stop_instance(world, scheduler);
	advance_world(world, DEADLINE_MS + 5000);
	for (int i = 0; i < INSTANCES; i++)
		if (i != scheduler)
			g_assert_cmpfloat(upstream_speed(world, i, "u0"), ==, 0);
	world_free(world);
}

/* The first window, opened before the settings arrived, has the settings' default lifetime. */
static void test_first_window(void)
{
	struct world *world = world_new(0);
	struct waxwing_dispatcher *dispatcher = world->instances[0].dispatcher;
	char *first = waxwing_str_dup(waxwing_dispatcher_window(dispatcher, world->now_ms));

	advance_world(world, WAXWING_DEFAULT_WINDOW_LIFE_MS - 1000);
	g_assert_true(waxwing_str_equal(waxwing_dispatcher_window(dispatcher, world->now_ms),
					waxwing_str(first)));
	advance_world(world, 2000);
	g_assert_false(waxwing_str_equal(waxwing_dispatcher_window(dispatcher, world->now_ms),
					 waxwing_str(first)));
	g_free(first);
	world_free(world);
}

/*
 * The connections to a dead instance that is no longer listed are closed, and opened again when a
 * new instance appears at its address.
 */
static void test_disconnect_peer(void)
{
	struct world *world = world_new(0);

	advance_world(world, 1000);
	waxwing_dispatcher_drain(world->instances[2].dispatcher, world->now_ms);
	advance_world(world, 4000);
	g_assert_true(waxwing_dispatcher_is_drained(world->instances[2].dispatcher));
	stop_instance(world, 2);
	advance_world(world, 3000);
	g_assert_cmpuint(g_hash_table_size(world->instances[0].connections), ==, 2);
	world->instance_unlisted[2] = true;
	for (int i = 0; i < 2; i++)
		set_platform_lists(world, &world->instances[i]);
	advance_world(world, 3000);
	for (int i = 0; i < 2; i++)
		g_assert_cmpuint(g_hash_table_size(world->instances[i].connections), ==, 1);
	world->instance_unlisted[2] = false;
	start_instance(world, 2);
	advance_world(world, 3000);
	for (int i = 0; i < INSTANCES; i++)
		g_assert_cmpuint(g_hash_table_size(world->instances[i].connections), ==, 2);
	world_free(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	waxwing_log_set_level(WAXWING_LOG_ERROR);
	g_test_add_func("/dispatcher/quiet", test_no_faults);
	g_test_add_func("/dispatcher/lossy", test_batch_loss);
	g_test_add_func("/dispatcher/cut", test_partition);
	g_test_add_func("/dispatcher/death", test_instance_crash);
	g_test_add_func("/dispatcher/pause", test_instance_pause);
	g_test_add_func("/dispatcher/replacement", test_rolling_replacement);
	g_test_add_func("/dispatcher/asked_after_start", test_asked_after_start);
	g_test_add_func("/dispatcher/retry", test_retry);
	g_test_add_func("/dispatcher/no_retry", test_no_retry);
	g_test_add_func("/dispatcher/unknown_branch", test_unknown_branch);
	g_test_add_func("/dispatcher/limits", test_limits);
	g_test_add_func("/dispatcher/settings_of_peers", test_settings_from_peers);
	g_test_add_func("/dispatcher/cancel", test_cancel);
	g_test_add_func("/dispatcher/first_window", test_first_window);
	g_test_add_func("/dispatcher/gone_upstream", test_removed_upstream);
	g_test_add_func("/dispatcher/learns_beside", test_speed_without_scheduling);
	g_test_add_func("/dispatcher/forget_peer", test_disconnect_peer);
	return g_test_run();
}

/*
 * Waits for a place on a task's rack: tasks run faster on the rack of their data, or of their
 * group. The executors are indexed by rack, so that a decision visits only those of the rack.
 *
 * A waiting task reserves nothing: the tasks behind it start as if it were not there. Tasks that
 * want the same rack are served in the order of service; a task expects the place that is left
 * after those ahead of it.
 */
#include "cell_private.h"

#define LOG_COMPONENT "cell"
#include "event_log.h"
#include "log.h"

#include <math.h>

/* Time constant of the CPU that tasks which want a rack would use there. */
#define OFFERED_MS 2000.0

/* While too few far runs were measured, one in so many tasks that would wait runs far. */
#define PROBE_INTERVAL 8

/* A place on an executor that becomes free when runs end there. */
struct place {
	double free_ms; /* time until then */
	double speed; /* of the task there */
	guint count; /* places that the rack has */
};

/* An expected end of a run. */
struct expected_end {
	double after_ms;
	const struct cell_run *run;
};

static void free_rack(gpointer value)
{
	struct rack *rack = value;

	g_ptr_array_free(rack->executors, TRUE);
	g_free(rack->name);
	g_free(rack);
}

static void free_load(gpointer value)
{
	struct service_load *load = value;

	g_free(load->name);
	g_free(load);
}

void near_init(struct waxwing_cell *cell)
{
	cell->racks = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_rack);
	cell->loads = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_load);
}

void near_destroy(struct waxwing_cell *cell)
{
	g_hash_table_destroy(cell->racks);
	g_hash_table_destroy(cell->loads);
}

static struct rack *find_rack(struct waxwing_cell *cell, const char *name)
{
	struct rack *rack = g_hash_table_lookup(cell->racks, name);

	if (!rack) {
		rack = g_new0(struct rack, 1);
		rack->name = g_strdup(name);
		rack->executors = g_ptr_array_new();
		g_hash_table_insert(cell->racks, rack->name, rack);
	}
	return rack;
}

static struct service_load *find_load(struct waxwing_cell *cell, const char *service)
{
	struct service_load *load = g_hash_table_lookup(cell->loads, service);

	if (!load) {
		load = g_new0(struct service_load, 1);
		load->name = g_strdup(service);
		g_hash_table_insert(cell->loads, load->name, load);
	}
	return load;
}

uint64_t waxwing_rack_hash(const char *rack)
{
	return waxwing_str_hash((struct waxwing_str){ strlen(rack), rack }, 0);
}

uint64_t waxwing_cell_racks_version(const struct waxwing_cell *cell)
{
	return cell->racks_sum;
}

void waxwing_cell_foreach_rack(const struct waxwing_cell *cell,
			       void (*each)(void *data, uint64_t rack_hash), void *data)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, cell->racks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rack *rack = value;

		if (rack->listed)
			each(data, waxwing_rack_hash(rack->name));
	}
}

/* The sum does not depend on the order of changes: two owners have the same for equal sets. */
static void set_listed(struct waxwing_cell *cell, struct executor *executor, bool listed)
{
	struct rack *rack = executor->rack_entry;

	if (listed == executor->rack_listed)
		return;
	executor->rack_listed = listed;
	if (listed && !rack->listed++)
		cell->racks_sum += waxwing_rack_hash(rack->name);
	if (!listed && !--rack->listed)
		cell->racks_sum -= waxwing_rack_hash(rack->name);
}

static void leave_rack(struct waxwing_cell *cell, struct executor *executor)
{
	struct rack *rack = executor->rack_entry;

	if (!rack)
		return;
	set_listed(cell, executor, false);
	executor->rack_entry = NULL;
	g_ptr_array_remove_fast(rack->executors, executor);
	if (!rack->executors->len)
		g_hash_table_remove(cell->racks, rack->name);
}

static void leave_load(struct executor *executor)
{
	if (!executor->load)
		return;
	executor->load->capacity_milli -= executor->load_milli;
	executor->load->allocated_milli -= executor->allocated.cpu_milli;
	executor->load = NULL;
}

/* Called when an executor's entry was added or has changed. */
void near_index_executor(struct waxwing_cell *cell, struct executor *executor)
{
	if (!executor->rack_entry || strcmp(executor->rack_entry->name, executor->rack) != 0) {
		leave_rack(cell, executor);
		executor->rack_entry = find_rack(cell, executor->rack);
		g_ptr_array_add(executor->rack_entry->executors, executor);
	}
	set_listed(cell, executor, !executor->draining);
	leave_load(executor);
	executor->load = find_load(cell, executor->service);
	executor->load_milli = executor->draining ? 0 : executor->capacity.cpu_milli;
	executor->load->capacity_milli += executor->load_milli;
	executor->load->allocated_milli += executor->allocated.cpu_milli;
}

void near_unindex_executor(struct waxwing_cell *cell, struct executor *executor)
{
	leave_rack(cell, executor);
	leave_load(executor);
}

/* Returns the rack where the step's tasks run faster: that of their data, or of their group. */
const char *step_wanted_rack(const struct cell_step *step)
{
	const char *data = step->spec->affinity;

	return data && data[0] ? data : step->rack;
}

/* Returns the expected duration of a task on the executor, relative to that on the wanted rack. */
double step_far_factor(const struct waxwing_cell *cell, const struct executor *executor,
		       const struct cell_job *job, uint32_t step)
{
	const struct cell_step *cell_step = &job->steps[step];
	const char *data = cell_step->spec->affinity;
	double factor = 1;
	double each;

	if (!step_wanted_rack(cell_step))
		return 1;
	each = waxwing_near_ratio_factor(&job->queue->near_ratio, cell->options.remote_data_factor);
	if (data && data[0] && strcmp(data, executor->rack) != 0)
		factor *= each;
	if (cell_step->rack && strcmp(cell_step->rack, executor->rack) != 0)
		factor *= each;
	return factor;
}

/*
 * Learns from a run of a task that wants a rack, and reduces *@ran_ms to the time that it would
 * have taken there. Returns false if that is not known well enough to learn the executor's speed
 * from it: with a wrong declared factor, that speed would be wrong, and the ratio with it.
 */
bool near_learn(const struct waxwing_cell *cell, const struct cell_run *run, double *ran_ms)
{
	const struct cell_step *step = &run->job->steps[run->id.step];
	struct waxwing_near_ratio *ratio = &run->job->queue->near_ratio;
	const char *rack = step_wanted_rack(step);
	bool wants_two = rack && step->rack && strcmp(rack, step->rack) != 0;
	double relative = *ran_ms / step_estimate_ms(step->spec) * run->executor->speed.value;
	bool near;
	bool learn;

	if (!rack)
		return true;
	near = strcmp(rack, run->executor->rack) == 0;
	learn = near || !waxwing_near_ratio_lacks_far(ratio);
	*ran_ms /= step_far_factor(cell, run->executor, run->job, run->id.step);
	if (!wants_two)
		waxwing_near_ratio_learn(ratio, near, relative);
	return learn || wants_two;
}

static gint compare_ends(gconstpointer a, gconstpointer b)
{
	double left = ((const struct expected_end *)a)->after_ms;
	double right = ((const struct expected_end *)b)->after_ms;

	return left < right ? -1 : left > right;
}

static gint compare_places(gconstpointer a, gconstpointer b)
{
	double left = ((const struct place *)a)->free_ms;
	double right = ((const struct place *)b)->free_ms;

	return left < right ? -1 : left > right;
}

static GArray *list_expected_ends(const struct executor *executor, int64_t now_ms)
{
	GArray *ends = g_array_new(FALSE, FALSE, sizeof(struct expected_end));

	for (guint i = 0; i < executor->runs->len; i++) {
		const struct cell_run *run = executor->runs->pdata[i];
		struct expected_end end = { 0, run };

		if (run->job && !run->job->ended && run_is_long_running(run))
			continue;
		if (run->job && !run->job->ended)
			end.after_ms = run_remaining_ms(run, now_ms);
		g_array_append_val(ends, end);
	}
	g_array_sort(ends, compare_ends);
	return ends;
}

/* Adds the places for a task with these needs that become free as the executor's runs end. */
static void add_places(const struct executor *executor, const struct waxwing_capacity *needs,
		       double speed, int64_t now_ms, GArray *places)
{
	GArray *ends = list_expected_ends(executor, now_ms);
	int64_t cpu = (int64_t)executor->capacity.cpu_milli - executor->allocated.cpu_milli;
	int64_t mem = (int64_t)executor->capacity.mem_mb - executor->allocated.mem_mb;
	int64_t gpu = (int64_t)executor->capacity.gpu - executor->allocated.gpu;

	for (guint i = 0; i < ends->len; i++) {
		const struct expected_end *end = &g_array_index(ends, struct expected_end, i);
		struct place place = { end->after_ms, speed, 0 };

		cpu += end->run->needs.cpu_milli;
		mem += end->run->needs.mem_mb;
		gpu += end->run->needs.gpu;
		while (cpu >= MAX(needs->cpu_milli, 1) && mem >= needs->mem_mb &&
		       gpu >= needs->gpu) {
			cpu -= MAX(needs->cpu_milli, 1);
			mem -= needs->mem_mb;
			gpu -= needs->gpu;
			g_array_append_val(places, place);
			if (!needs->cpu_milli)
				break; /* one for each end */
		}
	}
	g_array_free(ends, TRUE);
}

static bool may_take(struct waxwing_cell *cell, struct executor *executor,
		     const struct cell_job *job, uint32_t step, const struct task *task,
		     int64_t now_ms)
{
	bool avoided = task->last_failed_on && strcmp(task->last_failed_on, executor->id) == 0;

	return executor_usable(executor, now_ms) && executor_allowed(executor, job, step) &&
	       executor_lease_suits(cell, executor, job, now_ms) &&
	       executor_may_start(cell, executor, job, now_ms) &&
	       cold_may_start(executor, now_ms) && !avoided;
}

static struct rack *rack_of_step(struct waxwing_cell *cell, const struct cell_step *step)
{
	struct rack *rack = g_hash_table_lookup(cell->racks, step_wanted_rack(step));

	if (rack && rack->placement != cell->placement) {
		rack->placement = cell->placement;
		rack->ahead_milli = 0;
	}
	return rack;
}

/* Notes ready tasks that want a place on the rack before those that are served later. */
void near_add_ahead(struct waxwing_cell *cell, const struct cell_step *step, uint32_t tasks)
{
	struct rack *rack = step_wanted_rack(step) ? rack_of_step(cell, step) : NULL;

	if (rack)
		rack->ahead_milli += (uint64_t)step_needs(step->spec).cpu_milli * tasks;
}

/*
 * Finds the place on the rack that is left for the task by those ahead of it. Executors with room
 * for it now are no reason to wait: another was preferred. Returns false if there is none.
 */
static bool find_place(struct waxwing_cell *cell, const struct cell_job *job, uint32_t step,
		       const struct task *task, const struct rack *rack, int64_t now_ms,
		       struct place *found)
{
	struct waxwing_capacity needs = step_needs(job->steps[step].spec);
	GArray *places = g_array_new(FALSE, FALSE, sizeof(struct place));
	uint64_t ahead;
	bool any;

	for (guint i = 0; i < rack->executors->len; i++) {
		struct executor *executor = rack->executors->pdata[i];

		cell->near_visits++;
		if (!executor_fits(executor, &needs) &&
		    may_take(cell, executor, job, step, task, now_ms))
			add_places(executor, &needs, speed_for(cell, executor, job, step), now_ms,
				   places);
	}
	g_array_sort(places, compare_places);
	if (places->len) {
		uint64_t milli = MAX(needs.cpu_milli, 1);
		uint64_t rounds;

		ahead = (rack->ahead_milli + milli - 1) / milli;
		rounds = ahead / places->len;
		*found = g_array_index(places, struct place, ahead % places->len);
		found->count = places->len;
		/* tasks ahead that take the first places have to end, too */
		found->free_ms +=
			(double)rounds * step_work_ms(job, job->steps[step].spec) / found->speed;
	}
	any = places->len > 0;
	g_array_free(places, TRUE);
	return any;
}

static double load_of(const struct service_load *load)
{
	return load->capacity_milli ?
		       MIN((double)load->allocated_milli / (double)load->capacity_milli, 1) :
		       1;
}

static void decay_offered(struct rack *rack, int64_t now_ms)
{
	rack->offered_milli *= exp(-(double)(now_ms - rack->offered_ms) / OFFERED_MS);
	rack->offered_ms = now_ms;
}

/* Counts a task that starts, here or elsewhere, and wants the rack. */
static void add_offered(struct waxwing_cell *cell, const struct cell_job *job, uint32_t step,
			int64_t now_ms)
{
	const struct cell_step *cell_step = &job->steps[step];
	struct rack *rack = step_wanted_rack(cell_step) ? rack_of_step(cell, cell_step) : NULL;

	if (!rack || cell_step->spec->long_running)
		return;
	decay_offered(rack, now_ms);
	rack->offered_milli += step_needs(cell_step->spec).cpu_milli *
			       step_work_ms(job, cell_step->spec) / OFFERED_MS;
}

static double limit_ms(struct rack *rack, const struct cell_step *step, const struct place *place,
		       const struct waxwing_near_wait_input *input)
{
	decay_offered(rack, input->now_ms);
	return waxwing_near_wait_limit_ms(rack->offered_milli /
						  MAX(step_needs(step->spec).cpu_milli, 1),
					  place->count, input->near_ms, input->far_ms);
}

static double waited_ms(const struct task *task, int64_t now_ms)
{
	int64_t current_ms = task->near_wait ? now_ms - task->near_wait->since_ms : 0;

	return (double)(task->near_waited_ms + current_ms);
}

static void begin_wait(struct waxwing_cell *cell, struct task *task,
		       const struct waxwing_near_wait_input *input,
		       enum waxwing_near_wait_reason reason)
{
	if (task->near_wait)
		return;
	task->near_wait = g_new0(struct near_wait, 1);
	*task->near_wait = (struct near_wait){
		.since_ms = input->now_ms,
		.near_ms = input->near_ms,
		.far_ms = input->far_ms,
		.near_free_ms = input->near_free_ms,
		.reason = reason,
	};
	cell->near_waits++;
}

/*
 * Returns true if a task that would wait runs far instead, so that the far duration is measured: if
 * all waited because of a wrong declared factor, it would never be.
 */
static bool must_probe(const struct waxwing_cell *cell, struct queue *queue)
{
	return cell->options.near_wait == WAXWING_NEAR_WAIT_AUTO &&
	       waxwing_near_ratio_lacks_far(&queue->near_ratio) &&
	       ++queue->near_candidates % PROBE_INTERVAL == 0;
}

/*
 * Returns true if a ready task that wants a rack waits for a place there, although @far, the best
 * executor with room now, could run it at @far_speed. Called at each placement.
 */
bool near_should_wait(struct waxwing_cell *cell, struct cell_job *job, uint32_t step,
		      uint32_t index, const struct executor *far, double far_speed, int64_t now_ms)
{
	struct cell_step *cell_step = &job->steps[step];
	struct task *task = &cell_step->tasks[index];
	double work = step_work_ms(job, cell_step->spec);
	struct waxwing_near_wait_input input = {
		.policy = cell->options.near_wait,
		.now_ms = now_ms,
		.due_ms = job->due_ms,
		.give_up_ms = job_give_up_ms(job),
		.late = job->late,
		.far_ms = work / far_speed,
		.near_free_ms = -1,
		.waited_ms = waited_ms(task, now_ms),
		.learned = waxwing_near_ratio_known(&job->queue->near_ratio),
		.load = load_of(far->load),
	};
	struct waxwing_near_wait_decision decision;
	struct rack *rack = rack_of_step(cell, cell_step);
	struct place place;

	if (!rack || cell_step->spec->long_running || rack == far->rack_entry)
		return false;
	if (find_place(cell, job, step, task, rack, now_ms, &place)) {
		input.near_free_ms = place.free_ms;
		input.near_ms = work / place.speed;
		input.limit_ms = limit_ms(rack, cell_step, &place, &input);
	}
	decision = waxwing_near_wait_decide(&input);
	if (!decision.wait || (!task->near_wait && must_probe(cell, job->queue)))
		return false;
	begin_wait(cell, task, &input, decision.reason);
	near_add_ahead(cell, cell_step, 1);
	return true;
}

/* Logs the end of a task's wait; @executor is null if the task is not run. */
static void log_wait(const struct cell_job *job, uint32_t step, uint32_t index,
		     const struct executor *executor, const char *how, int64_t ms, int64_t gain_ms)
{
	const struct near_wait *wait = job->steps[step].tasks[index].near_wait;
	const char *rack = step_wanted_rack(&job->steps[step]);

	waxwing_event(
		"near_wait",
		"job=%016llx step=%u index=%u rack=%s executor=%s how=%s why=%s waited_ms=%lld "
		"expected_ms=%d near_ms=%d far_ms=%d inputs_age_ms=%lld gain_ms=%lld",
		(unsigned long long)job->id, step, index, rack ? rack : "",
		executor ? executor->id : "", how, waxwing_near_wait_reason_name(wait->reason),
		(long long)ms, (int)wait->near_free_ms, (int)wait->near_ms, (int)wait->far_ms,
		(long long)ms, (long long)gain_ms);
}

static void free_wait(struct waxwing_cell *cell, struct task *task, int64_t ms)
{
	cell->near_waited_ms += (uint64_t)ms;
	task->near_waited_ms += ms;
	g_free(task->near_wait);
	task->near_wait = NULL;
}

/* Called when a task is about to start on @executor. Counts and logs its wait, if it has waited. */
void near_wait_ended(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, uint32_t index,
		     const struct executor *executor, int64_t now_ms)
{
	struct task *task = &job->steps[step].tasks[index];
	const struct near_wait *wait = task->near_wait;
	const char *rack = step_wanted_rack(&job->steps[step]);
	bool near = rack && strcmp(executor->rack, rack) == 0;
	int64_t ms;
	int64_t gain_ms;

	add_offered(cell, job, step, now_ms);
	if (!wait)
		return;
	ms = now_ms - wait->since_ms;
	gain_ms = (near ? (int64_t)(wait->far_ms - wait->near_ms) : 0) - ms;
	cell->near_waits_near += near;
	cell->near_waits_far += !near;
	cell->near_saved_ms += (uint64_t)MAX(gain_ms, 0);
	cell->near_lost_ms += (uint64_t)MAX(-gain_ms, 0);
	log_wait(job, step, index, executor, near ? "near" : "far", ms, gain_ms);
	free_wait(cell, task, ms);
}

/* Ends the waits of a job of which no more tasks start. */
void near_waits_drop(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms)
{
	for (uint32_t step = 0; step < job->step_count; step++) {
		struct cell_step *cell_step = &job->steps[step];

		if (!step_wanted_rack(cell_step))
			continue;
		for (uint32_t index = 0; index < cell_step->spec->count; index++) {
			struct task *task = &cell_step->tasks[index];
			int64_t ms;

			if (!task->near_wait)
				continue;
			ms = now_ms - task->near_wait->since_ms;
			cell->near_waits_dropped++;
			log_wait(job, step, index, NULL, "dropped", ms, -ms);
			free_wait(cell, task, ms);
		}
	}
}

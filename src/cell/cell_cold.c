/*
 * Executors that are slow for a while after their start. Their entries tell how much longer. The
 * entry of a new incarnation may be read before or after the executor first answers for it; until
 * it is read, the executor counts as cold for as long as its service is after a start.
 */
#include "cell_private.h"

#define LOG_COMPONENT "cell"
#include "event_log.h"

#include <math.h>

/*
 * Each cold run moves the logarithm of its kind's factor by this towards what it measured, whatever
 * the distance. This converges to the median: a few very long runs do not move it far. A factor of 5
 * takes 16 runs.
 */
#define FACTOR_STEP 0.1
/* A higher factor says that the runs are stuck, not slow. */
#define MAX_FACTOR 50.0
/* Before a queue has this many measured runs, its expected run times are only declared ones. */
#define MIN_WARM_SAMPLES 5.0

void cold_service_free(gpointer service)
{
	g_free(((struct cold_service *)service)->name);
	g_free(service);
}

static struct cold_service *find_service(struct waxwing_cell *cell, const char *name)
{
	struct cold_service *service = g_hash_table_lookup(cell->cold_services, name);

	if (!service) {
		service = g_new0(struct cold_service, 1);
		service->name = g_strdup(name);
		g_hash_table_insert(cell->cold_services, service->name, service);
	}
	return service;
}

/* Jobs from issuers of the previous release do not have the fields, and change nothing. */
void cold_learn_service(struct waxwing_cell *cell, const Waxwing__Job *spec)
{
	struct cold_service *service;

	if (!spec->has_cold_start_ms)
		return;
	service = find_service(cell, spec->service);
	if (spec->routing_version < service->routing_version)
		return;
	service->routing_version = spec->routing_version;
	service->cold_start_ms = spec->cold_start_ms;
	service->milli_starts_per_s = spec->cold_milli_starts_per_s;
}

/* Called when the executor becomes cold, or may have become warm. */
void cold_update(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms)
{
	bool cold = waxwing_warmup_is_cold(&executor->warmup, now_ms);

	if (cold == executor->cold)
		return;
	executor->cold = cold;
	if (!cold) {
		waxwing_event("executor_warm", "executor=%s starts=%llu limit=%u in_flight=%u",
			      executor->id, (unsigned long long)executor->cold_starts,
			      executor->warmup.limit, executor->warmup.in_flight);
		return;
	}
	cell->cold_phases++;
	executor->cold_starts = 0;
	waxwing_event("executor_cold",
		      "executor=%s remaining_ms=%lld in_flight=%u milli_starts_per_s=%u",
		      executor->id, (long long)(executor->warmup.cold_until_ms - now_ms),
		      executor->warmup.in_flight, executor->cold_service->milli_starts_per_s);
}

void cold_executor_added(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms)
{
	waxwing_warmup_init(&executor->warmup);
	executor->warmup_started_ms = executor->started_ms;
	/* a former owner may just have started a run there */
	if (cell->options.took_over &&
	    now_ms - cell->created_ms < waxwing_cell_orders_expire_ms(cell->options.max_lease_ms))
		waxwing_warmup_assume_start(&executor->warmup, now_ms);
}

/* Forgets the warm-up of the former incarnation, which may have been cold, too. */
static void begin_incarnation(struct waxwing_cell *cell, struct executor *executor,
			      int64_t started_ms, int64_t now_ms)
{
	waxwing_warmup_restarted(&executor->warmup);
	executor->warmup_started_ms = started_ms;
	cold_update(cell, executor, now_ms);
}

void cold_entry_read(struct waxwing_cell *cell, struct executor *executor,
		     const struct waxwing_executor_entry *entry, int64_t now_ms)
{
	if (!executor->cold_service || strcmp(executor->cold_service->name, entry->service) != 0)
		executor->cold_service = find_service(cell, entry->service);
	if (!executor->warmup_started_ms)
		executor->warmup_started_ms = entry->started_ms;
	/* an entry that the former incarnation wrote says nothing about this one */
	if (entry->started_ms && entry->started_ms < executor->warmup_started_ms)
		return;
	if (entry->started_ms > executor->warmup_started_ms)
		begin_incarnation(cell, executor, entry->started_ms, now_ms);
	waxwing_warmup_set_cold(&executor->warmup, now_ms, now_ms + entry->cold_remaining_ms);
	cold_update(cell, executor, now_ms);
}

/* Called when the executor first answers for a new incarnation. */
void cold_executor_restarted(struct waxwing_cell *cell, struct executor *executor,
			     int64_t started_ms, int64_t now_ms)
{
	if (!executor->warmup_started_ms)
		executor->warmup_started_ms = started_ms;
	if (started_ms == executor->warmup_started_ms)
		return; /* its entry was read before */
	begin_incarnation(cell, executor, started_ms, now_ms);
	waxwing_warmup_set_cold(&executor->warmup, now_ms,
				now_ms + executor->cold_service->cold_start_ms);
	cold_update(cell, executor, now_ms);
}

bool cold_may_start(struct executor *executor, int64_t now_ms)
{
	if (!waxwing_warmup_is_cold(&executor->warmup, now_ms))
		return true;
	waxwing_warmup_set_rate(&executor->warmup, executor->cold_service->milli_starts_per_s);
	return waxwing_warmup_may_start(&executor->warmup, now_ms);
}

/* Called for each run that this owner starts or finds on the executor. */
void cold_run_added(struct waxwing_cell *cell, struct cell_run *run, int64_t now_ms)
{
	struct executor *executor = run->executor;

	waxwing_warmup_started(&executor->warmup, now_ms);
	run->cold = waxwing_warmup_is_cold(&executor->warmup, now_ms);
	executor->cold_starts += run->cold;
	cell->cold_starts += run->cold;
}

/* Called before a run is freed whose start order was not sent. */
void cold_run_withdrawn(struct waxwing_cell *cell, const struct cell_run *run)
{
	waxwing_warmup_withdrawn(&run->executor->warmup);
	run->executor->cold_starts -= run->cold;
	cell->cold_starts -= run->cold;
}

/* Compares a cold run with the run time that its executor is expected to need when it is warm. */
void cold_learn_factor(const struct cell_run *run, int64_t now_ms)
{
	const struct waxwing_work_estimate *ratio = &run->job->queue->ratio;
	struct hardware_kind *kind = run->executor->kind;
	double ran_ms = (double)MAX(now_ms - run->started_ms, 1);
	double warm_ms = step_work_ms(run->job, run->job->steps[run->id.step].spec) *
			 run->far_factor / run->executor->speed.value;

	if (ratio->samples < MIN_WARM_SAMPLES)
		return;
	kind->cold_log_factor +=
		log(ran_ms / warm_ms) > kind->cold_log_factor ? FACTOR_STEP : -FACTOR_STEP;
	kind->cold_log_factor = CLAMP(kind->cold_log_factor, 0, log(MAX_FACTOR));
}

/* Returns the executor's speed if it is, or was, @cold. */
double cold_speed(const struct executor *executor, bool cold)
{
	return cold ? executor->speed.value / exp(executor->kind->cold_log_factor) :
		      executor->speed.value;
}

#include "cell_private.h"

#define LOG_COMPONENT "cell"
#include "event_log.h"
#include "log.h"

/*
 * While all issuers of an executor's runs were heard within this time, leases there are extended by
 * their full length. After that they are not extended any further. Longer than the interval of an
 * issuer's pings.
 */
#define FULL_LEASE_MS 250
/*
 * While the ownership is not confirmed, a task starts on an executor only this long after a hold was
 * sent there that it accepted. Longer than an executor waits before it answers.
 */
#define ACCEPTED_RECENTLY_MS 500
/* No task starts on an executor whose leases may only be extended by less than this. */
#define MIN_START_LEASE_MS 300

/*
 * An executor with this many ends whose records are not stored gets no more runs. It lists 500 ends
 * at a time; the rest is for runs that are in progress.
 */
#define MAX_PENDING_ENDS 400

/* A call that is lost within this time after another one on the same executor counts as repeated. */
#define LOST_REPEAT_MS 1000
/* Weights of lost calls in the circuit breaker, relative to a failed task. */
#define SINGLE_LOSS_WEIGHT   0.25
#define REPEATED_LOSS_WEIGHT 1.0

void executor_free(struct executor *executor)
{
	g_ptr_array_free(executor->runs, TRUE);
	g_array_free(executor->pending_acks, TRUE);
	g_strfreev(executor->labels);
	g_free(executor->id);
	g_free(executor->address);
	g_free(executor->service);
	g_free(executor->rack);
	g_free(executor);
}

struct executor *cell_find_executor(struct waxwing_cell *cell, uint64_t handle)
{
	return g_hash_table_lookup(cell->executors_by_handle, &handle);
}

bool executor_has_label(const struct executor *executor, const char *label)
{
	return g_strv_contains((const gchar *const *)executor->labels, label);
}

bool executor_usable(const struct executor *executor, int64_t now_ms)
{
	if (executor->draining || executor->removed || !executor->answered ||
	    executor->unresponsive)
		return false;
	if (executor->pending_acks->len >= MAX_PENDING_ENDS)
		return false;
	if (executor->unknown_runs || executor->backoff_until_ms > now_ms ||
	    executor->lease_ms < MIN_START_LEASE_MS)
		return false;
	if (executor->breaker.state == WAXWING_BREAKER_HALF_OPEN)
		return waxwing_breaker_may_probe(&executor->breaker);
	return executor->breaker.state == WAXWING_BREAKER_CLOSED;
}

/* Returns true if the executor accepted this owner's token a short time ago. */
bool executor_accepted_recently(const struct executor *executor, int64_t now_ms)
{
	return executor->answered && now_ms - executor->accepted_ms < ACCEPTED_RECENTLY_MS;
}

/*
 * Returns true if a task of the job may start on the executor. If a successor may own the cell, the
 * executor must still accept this owner's token. An executor that has restarted accepts any token
 * until the successor has called it, so durable tasks wait as long as that call can take.
 */
bool executor_may_start(const struct waxwing_cell *cell, const struct executor *executor,
			const struct cell_job *job, int64_t now_ms)
{
	if (cell_is_owned(cell, now_ms))
		return true;
	if (!executor_accepted_recently(executor, now_ms))
		return false;
	return !job->durable || executor->appeared_ms < cell->owned_until_ms ||
	       now_ms - executor->appeared_ms >= EXECUTOR_ENTRIES_WAIT_MS;
}

void executor_target(const struct waxwing_cell *cell, const struct executor *executor,
		     struct waxwing_order_target *target)
{
	*target = (struct waxwing_order_target){
		.id = executor->id,
		.address = executor->address,
		.handle = executor->handle,
		.fencing_token = cell->options.fencing_token,
	};
}

static int64_t lease_expires_after_ms(uint32_t max_lease_ms)
{
	return (int64_t)(max_lease_ms / MIN_CLOCK_RATE) + REMOTE_TIME_MARGIN_MS;
}

/*
 * The executor's clock is estimated at its lowest rate, so that the estimate is never ahead of it:
 * the order may arrive late, and the executor then grants all that it asks for.
 */
static int64_t estimate_clock(const struct executor *executor, int64_t now_ms)
{
	int64_t passed_ms = (int64_t)((double)(now_ms - executor->clock_read_ms) * MIN_CLOCK_RATE);

	return executor->clock_ms + passed_ms;
}

/*
 * Returns since when a job's runs may no longer be wanted: its issuer may have been lost, or its
 * caller has gone. The job may be submitted again soon after, and run in another cell.
 */
static int64_t last_wanted_ms(const struct waxwing_cell *cell, const struct cell_job *job,
			      int64_t now_ms)
{
	const int64_t *heard_ms = g_hash_table_lookup(cell->issuers_heard, &job->issuer);
	int64_t wanted_ms = heard_ms ? *heard_ms : now_ms;

	return job->ended ? MIN(wanted_ms, job->closed_ms) : wanted_ms;
}

/* Returns how long the lease of a run may last from now on; at most 0: it is not extended. */
static int64_t run_lease_ms(const struct waxwing_cell *cell, const struct cell_run *run,
			    int64_t now_ms)
{
	int64_t max_lease_ms = cell->options.max_lease_ms;
	int64_t unwanted_ms;

	/* a former owner started it; nobody has offered its job yet */
	if (!run->job && run->first_seen_ms)
		return 0;
	if (!run->job || run->job->durable)
		return max_lease_ms;
	unwanted_ms = now_ms - last_wanted_ms(cell, run->job, now_ms);
	return max_lease_ms - MAX(unwanted_ms - FULL_LEASE_MS, 0);
}

/*
 * Returns true if the leases that the executor has been granted do not outlast those that a run of
 * the job may get: a lease is never shortened, and applies to runs that start later.
 */
bool executor_lease_suits(const struct waxwing_cell *cell, const struct executor *executor,
			  const struct cell_job *job, int64_t now_ms)
{
	return job->durable ||
	       executor->leases_expire_ms <= last_wanted_ms(cell, job, now_ms) + FULL_LEASE_MS +
						     cell_lease_expires_after_ms(cell);
}

static int64_t executor_lease_ms(const struct waxwing_cell *cell, const struct executor *executor,
				 int64_t now_ms)
{
	int64_t lease_ms = cell->options.max_lease_ms;

	for (guint i = 0; i < executor->runs->len; i++)
		lease_ms = MIN(lease_ms, run_lease_ms(cell, executor->runs->pdata[i], now_ms));
	return lease_ms;
}

/*
 * Returns the time on the executor's clock until which its leases are to be extended, and records
 * it; 0: they are not extended. One time applies to all runs of an executor.
 */
int64_t executor_extend_lease(const struct waxwing_cell *cell, struct executor *executor,
			      int64_t now_ms)
{
	int64_t lease_ms = executor_lease_ms(cell, executor, now_ms);

	executor->lease_ms = lease_ms;
	if (lease_ms <= 0)
		return 0;
	executor->leases_expire_ms = MAX(executor->leases_expire_ms,
					 now_ms + lease_expires_after_ms((uint32_t)lease_ms));
	return estimate_clock(executor, now_ms) + lease_ms;
}

/*
 * Records the clock that an executor reported, from which its later time is estimated. The estimate
 * lags by the answer's transit time.
 */
void executor_set_clock(struct executor *executor, int64_t now_ms, int64_t clock_ms)
{
	if (clock_ms <= 0)
		return;
	executor->clock_ms = clock_ms;
	executor->clock_read_ms = now_ms;
}

int64_t cell_lease_expires_after_ms(const struct waxwing_cell *cell)
{
	return lease_expires_after_ms(cell->options.max_lease_ms);
}

int64_t waxwing_cell_lease_expires_ms(uint32_t max_lease_ms)
{
	return lease_expires_after_ms(max_lease_ms);
}

int64_t waxwing_cell_orders_expire_ms(uint32_t max_lease_ms)
{
	return WAXWING_PEER_TIMEOUT_MS + lease_expires_after_ms(max_lease_ms);
}

static size_t count_ejected(const struct waxwing_cell *cell)
{
	size_t count = 0;

	for (guint i = 0; i < cell->executors->len; i++) {
		const struct executor *executor = cell->executors->pdata[i];

		count += executor->breaker.state != WAXWING_BREAKER_CLOSED;
	}
	return count;
}

static double failure_share_except(const struct waxwing_cell *cell, const struct executor *except)
{
	double failed = 0;
	double total = 0;

	for (guint i = 0; i < cell->executors->len; i++) {
		const struct executor *executor = cell->executors->pdata[i];

		if (executor == except)
			continue;
		failed += executor->breaker.failed;
		total += executor->breaker.total;
	}
	return total > 0 ? failed / total : 0;
}

void executor_add_failure(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms,
			  double weight)
{
	enum waxwing_breaker_state before = executor->breaker.state;

	waxwing_breaker_record_failure(
		&executor->breaker, now_ms, weight, failure_share_except(cell, executor),
		waxwing_breaker_may_eject(count_ejected(cell), cell->executors->len));
	if (executor->breaker.state != before)
		waxwing_event("executor_breaker", "executor=%s state=%s pause_ms=%u", executor->id,
			      waxwing_breaker_state_name(executor->breaker.state),
			      executor->breaker.ejection_ms);
}

/*
 * Records that a call was not answered although the executor answers others. A single loss says
 * little about the executor; repeated ones count as much as failed tasks.
 */
void executor_call_lost(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms)
{
	bool repeated = executor->last_lost_ms && now_ms - executor->last_lost_ms < LOST_REPEAT_MS;

	executor->last_lost_ms = now_ms;
	cell->last_lost_ms = now_ms;
	executor_add_failure(cell, executor, now_ms,
			     repeated ? REPEATED_LOSS_WEIGHT : SINGLE_LOSS_WEIGHT);
}

/*
 * Called when the executor has restarted: it numbers ends from 1 again, and its clock differs. Runs
 * of the previous incarnation are missing from the next list of runs, and are then treated as
 * ended; runs started since the restart are listed.
 */
void executor_reset(struct executor *executor, int64_t now_ms)
{
	waxwing_event("executor_restarted", "executor=%s runs=%u", executor->id,
		      executor->runs->len);
	executor->processed_upto = 0;
	executor->ackable_upto = 0;
	g_array_set_size(executor->pending_acks, 0);
	executor->acked_upto = 0;
	executor->calls[0].acking_upto = 0;
	executor->calls[1].acking_upto = 0;
	executor->backoff_until_ms = 0;
	executor->appeared_ms = now_ms;
	waxwing_breaker_init(&executor->breaker);
}

static struct hardware_kind *find_kind(struct waxwing_cell *cell, const char *name)
{
	struct hardware_kind *kind = g_hash_table_lookup(cell->kinds, name);

	if (!kind) {
		kind = g_new0(struct hardware_kind, 1);
		kind->name = g_strdup(name);
		waxwing_speed_init(&kind->speed, 1);
		g_hash_table_insert(cell->kinds, kind->name, kind);
	}
	return kind;
}

static struct executor *add_executor(struct waxwing_cell *cell, int64_t now_ms,
				     const struct waxwing_executor_entry *entry)
{
	struct executor *executor = g_new0(struct executor, 1);

	executor->id = g_strdup(entry->id);
	executor->runs = g_ptr_array_new();
	executor->pending_acks = g_array_new(FALSE, FALSE, sizeof(struct pending_ack));
	executor->handle = cell->next_handle++;
	executor->started_ms = entry->started_ms;
	executor->hold_requested = true;
	executor->next_hold_ms = now_ms;
	executor->appeared_ms = now_ms;
	executor->kind = find_kind(cell, entry->kind);
	executor->lease_ms = cell->options.max_lease_ms;
	/* a former owner may just have granted leases of the maximum duration */
	if (cell->options.took_over)
		executor->leases_expire_ms = cell->created_ms + cell_lease_expires_after_ms(cell);
	waxwing_speed_init(&executor->speed, executor->kind->speed.value);
	waxwing_breaker_init(&executor->breaker);
	cold_executor_added(cell, executor, now_ms);
	g_hash_table_insert(cell->executors_by_id, executor->id, executor);
	g_hash_table_insert(cell->executors_by_handle, &executor->handle, executor);
	g_ptr_array_add(cell->executors, executor);
	return executor;
}

static void replace_string(char **field, const char *text)
{
	if (g_strcmp0(*field, text) == 0)
		return;
	g_free(*field);
	*field = g_strdup(text);
}

void waxwing_cell_set_executor(struct waxwing_cell *cell, int64_t now_ms,
			       const struct waxwing_executor_entry *entry)
{
	struct executor *executor = g_hash_table_lookup(cell->executors_by_id, entry->id);
	bool was_draining = executor && executor->draining;

	if (!executor) {
		executor = add_executor(cell, now_ms, entry);
		if (now_ms > cell->created_ms)
			cell->last_appeared_ms = now_ms;
	}
	if (!executor->started_ms)
		executor->started_ms = entry->started_ms;
	else if (entry->started_ms && entry->started_ms != executor->started_ms)
		executor->hold_requested =
			true; /* the answer lists the runs of the new incarnation */
	replace_string(&executor->address, entry->address);
	replace_string(&executor->service, entry->service);
	replace_string(&executor->rack, entry->rack);
	g_strfreev(executor->labels);
	executor->labels = g_strdupv((gchar **)entry->labels);
	executor->capacity = entry->capacity;
	cold_entry_read(cell, executor, entry, now_ms);
	executor->draining = entry->draining;
	near_index_executor(cell, executor);
	executor->unlisted_since_ms = 0;
	executor->removed = false;
	if (entry->draining && !was_draining)
		waxwing_event("executor_draining", "executor=%s runs=%u", executor->id,
			      executor->runs->len);
}

void waxwing_cell_add_unlisted_executor(struct waxwing_cell *cell, int64_t now_ms,
					const struct waxwing_executor_entry *entry)
{
	struct executor *executor;

	if (g_hash_table_contains(cell->executors_by_id, entry->id))
		return;
	waxwing_cell_set_executor(cell, now_ms, entry);
	executor = g_hash_table_lookup(cell->executors_by_id, entry->id);
	executor->unlisted_since_ms = now_ms;
	executor->removed = true;
}

/* Returns true if a successor must hear from the executor before it starts recovered tasks. */
static bool matters_to_successor(const struct executor *executor, int64_t now_ms)
{
	/* ends whose records may not be stored are listed again until they are acknowledged */
	if (executor->runs->len || executor->processed_upto > executor->acked_upto)
		return true;
	/* former owners' runs and ends are not known before it has listed them */
	return !executor->runs_listed && now_ms < executor->leases_expire_ms;
}

void waxwing_cell_foreach_leased_executor(const struct waxwing_cell *cell, int64_t now_ms,
					  void (*each)(void *data,
						       const struct waxwing_executor_entry *entry,
						       bool unlisted),
					  void *data)
{
	for (guint i = 0; i < cell->executors->len; i++) {
		const struct executor *executor = cell->executors->pdata[i];
		struct waxwing_executor_entry entry = {
			.id = executor->id,
			.address = executor->address,
			.service = executor->service,
			.zone = cell->options.name,
			.kind = executor->kind->name,
			.rack = executor->rack,
			.labels = (const char *const *)executor->labels,
			.capacity = executor->capacity,
			.started_ms = executor->started_ms,
			.draining = executor->draining,
		};

		if (matters_to_successor(executor, now_ms))
			each(data, &entry, executor->unlisted_since_ms != 0);
	}
}

void waxwing_cell_unlist_executor(struct waxwing_cell *cell, int64_t now_ms, const char *id)
{
	struct executor *executor = g_hash_table_lookup(cell->executors_by_id, id);

	if (executor && !executor->unlisted_since_ms) {
		executor->unlisted_since_ms = now_ms;
		waxwing_event("executor_unlisted", "executor=%s runs=%u", id, executor->runs->len);
	}
}

static void remove_executor(struct waxwing_cell *cell, struct executor *executor)
{
	g_hash_table_remove(cell->executors_by_id, executor->id);
	g_hash_table_remove(cell->executors_by_handle, &executor->handle);
	g_ptr_array_remove_fast(cell->executors, executor);
	near_unindex_executor(cell, executor);
	executor_free(executor);
}

/* Ends the runs on an unresponsive executor once all leases granted there must have expired. */
static void expire_leases(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms)
{
	if (!executor->unresponsive || now_ms < executor->leases_expire_ms || !executor->runs->len)
		return;
	waxwing_event("leases_out", "executor=%s runs=%u silent_ms=%lld", executor->id,
		      executor->runs->len, (long long)(now_ms - executor->last_answer_ms));
	while (executor->runs->len)
		run_ended(cell, executor->runs->pdata[0], WAXWING_RUN_LAPSED, now_ms);
}

void cell_scan_executors(struct waxwing_cell *cell, int64_t now_ms)
{
	for (guint i = cell->executors->len; i-- > 0;) {
		struct executor *executor = cell->executors->pdata[i];

		waxwing_breaker_tick(&executor->breaker, now_ms);
		cold_update(cell, executor, now_ms);
		expire_leases(cell, executor, now_ms);
		if (executor->unlisted_since_ms &&
		    now_ms - executor->unlisted_since_ms >= UNLISTED_GRACE_MS)
			executor->removed = true;
		if (executor->removed && !executor->runs->len &&
		    !executor_hold_in_flight(executor) && now_ms >= executor->leases_expire_ms)
			remove_executor(cell, executor);
	}
}

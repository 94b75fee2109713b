#include "cell_private.h"

#define LOG_PART "cell"
#include "event_log.h"
#include "log.h"

void executor_free(struct executor *executor)
{
	g_ptr_array_free(executor->runs, TRUE);
	g_array_free(executor->ack_waits, TRUE);
	g_strfreev(executor->labels);
	g_free(executor->id);
	g_free(executor->address);
	g_free(executor->service);
	g_free(executor->rack);
	g_free(executor);
}

struct executor *cell_executor(struct waxwing_cell *cell, uint64_t life)
{
	return g_hash_table_lookup(cell->lives, &life);
}

bool executor_has_label(const struct executor *executor, const char *label)
{
	return g_strv_contains((const gchar *const *)executor->labels, label);
}

bool executor_usable(const struct executor *executor, int64_t now_ms)
{
	if (executor->draining || executor->removed || !executor->answered || executor->silent)
		return false;
	if (executor->foreign || executor->full_until_ms > now_ms)
		return false;
	if (executor->breaker.state == WAXWING_BREAKER_HALF_OPEN)
		return waxwing_breaker_may_try(&executor->breaker);
	return executor->breaker.state == WAXWING_BREAKER_CLOSED;
}

void executor_target(const struct waxwing_cell *cell, const struct executor *executor,
		     struct waxwing_order_target *target)
{
	*target = (struct waxwing_order_target){
		.id = executor->id,
		.address = executor->address,
		.life = executor->life,
		.fencing_token = cell->options.fencing_token,
	};
}

int64_t executor_until(const struct waxwing_cell *cell, const struct executor *executor,
		       int64_t now_ms)
{
	return executor->clock_ms + (now_ms - executor->clock_at_ms) + cell->options.lease_most_ms;
}

void executor_lease_given(const struct waxwing_cell *cell, struct executor *executor,
			  int64_t now_ms)
{
	executor->leased_until_ms = now_ms + cell_lease_ms(cell);
}

/*
 * The answer was on its way for a while, so the estimate is behind the executor's clock, but for the
 * drift of a slow one. A lease that is asked for beyond the longest is shortened to that.
 */
void executor_take_clock(struct executor *executor, int64_t now_ms, int64_t clock_ms)
{
	if (clock_ms <= 0)
		return;
	executor->clock_ms = clock_ms;
	executor->clock_at_ms = now_ms;
}

static int64_t longest_lease_ms(uint32_t lease_most_ms)
{
	return (int64_t)(lease_most_ms / SLOWEST_CLOCK) + CERTAINTY_MS;
}

int64_t cell_lease_ms(const struct waxwing_cell *cell)
{
	return longest_lease_ms(cell->options.lease_most_ms);
}

int64_t waxwing_cell_orders_last_ms(uint32_t lease_most_ms)
{
	return WAXWING_SILENT_MS + longest_lease_ms(lease_most_ms);
}

static size_t ejected(const struct waxwing_cell *cell)
{
	size_t count = 0;

	for (guint i = 0; i < cell->list->len; i++) {
		const struct executor *executor = cell->list->pdata[i];

		count += executor->breaker.state != WAXWING_BREAKER_CLOSED;
	}
	return count;
}

static double peers_share(const struct waxwing_cell *cell, const struct executor *but)
{
	double failed = 0;
	double total = 0;

	for (guint i = 0; i < cell->list->len; i++) {
		const struct executor *executor = cell->list->pdata[i];

		if (executor == but)
			continue;
		failed += executor->breaker.failed;
		total += executor->breaker.total;
	}
	return total > 0 ? failed / total : 0;
}

void executor_failed(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms,
		     double weight)
{
	enum waxwing_breaker_state before = executor->breaker.state;

	waxwing_breaker_failed(&executor->breaker, now_ms, weight, peers_share(cell, executor),
			       waxwing_breaker_may_eject(ejected(cell), cell->list->len));
	if (executor->breaker.state != before)
		waxwing_event("executor_breaker", "executor=%s state=%s pause_ms=%u", executor->id,
			      waxwing_breaker_state_name(executor->breaker.state),
			      executor->breaker.pause_ms);
}

/*
 * Ends are numbered anew, by another clock. What ran on the former life is missed by the list of runs;
 * what was started since then, before this was known, is on it.
 */
void executor_new_life(struct executor *executor)
{
	waxwing_event("executor_restarted", "executor=%s runs=%u", executor->id,
		      executor->runs->len);
	executor->ended_upto = 0;
	executor->noted_upto = 0;
	g_array_set_size(executor->ack_waits, 0);
	executor->acked_upto = 0;
	executor->acking = 0;
	executor->full_until_ms = 0;
	waxwing_breaker_init(&executor->breaker);
}

static struct kind *find_kind(struct waxwing_cell *cell, const char *name)
{
	struct kind *kind = g_hash_table_lookup(cell->kinds, name);

	if (!kind) {
		kind = g_new0(struct kind, 1);
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
	executor->ack_waits = g_array_new(FALSE, FALSE, sizeof(struct ack_wait));
	executor->life = cell->next_life++;
	executor->born_ms = entry->born_ms;
	executor->hold_wanted = true;
	executor->hold_next_ms = now_ms;
	executor->kind = find_kind(cell, entry->kind);
	/* what a former owner gave may last as long as any lease */
	if (cell->options.took_over)
		executor->leased_until_ms = cell->created_ms + cell_lease_ms(cell);
	waxwing_speed_init(&executor->speed, executor->kind->speed.value);
	waxwing_breaker_init(&executor->breaker);
	g_hash_table_insert(cell->executors, executor->id, executor);
	g_hash_table_insert(cell->lives, &executor->life, executor);
	g_ptr_array_add(cell->list, executor);
	return executor;
}

static void take_text(char **field, const char *text)
{
	if (g_strcmp0(*field, text) == 0)
		return;
	g_free(*field);
	*field = g_strdup(text);
}

void waxwing_cell_set_executor(struct waxwing_cell *cell, int64_t now_ms,
			       const struct waxwing_executor_entry *entry)
{
	struct executor *executor = g_hash_table_lookup(cell->executors, entry->id);
	bool was_draining = executor && executor->draining;

	if (!executor) {
		executor = add_executor(cell, now_ms, entry);
		if (now_ms > cell->created_ms)
			cell->appeared_ms = now_ms;
	}
	if (!executor->born_ms)
		executor->born_ms = entry->born_ms;
	else if (entry->born_ms > executor->born_ms)
		executor->hold_wanted = true; /* its list tells what runs on the new life */
	take_text(&executor->address, entry->address);
	take_text(&executor->service, entry->service);
	take_text(&executor->rack, entry->rack);
	g_strfreev(executor->labels);
	executor->labels = g_strdupv((gchar **)entry->labels);
	executor->capacity = entry->capacity;
	executor->draining = entry->draining;
	executor->missing_since_ms = 0;
	executor->removed = false;
	if (entry->draining && !was_draining)
		waxwing_event("executor_draining", "executor=%s runs=%u", executor->id,
			      executor->runs->len);
}

void waxwing_cell_lose_executor(struct waxwing_cell *cell, int64_t now_ms, const char *id)
{
	struct executor *executor = g_hash_table_lookup(cell->executors, id);

	if (executor && !executor->missing_since_ms) {
		executor->missing_since_ms = now_ms;
		waxwing_event("executor_unlisted", "executor=%s runs=%u", id, executor->runs->len);
	}
}

static void remove_executor(struct waxwing_cell *cell, struct executor *executor)
{
	g_hash_table_remove(cell->executors, executor->id);
	g_hash_table_remove(cell->lives, &executor->life);
	g_ptr_array_remove_fast(cell->list, executor);
	executor_free(executor);
}

/* A silent executor's runs have ended once every lease given there must have run out. */
static void let_leases_run_out(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms)
{
	if (!executor->silent || now_ms < executor->leased_until_ms || !executor->runs->len)
		return;
	waxwing_event("leases_out", "executor=%s runs=%u silent_ms=%lld", executor->id,
		      executor->runs->len, (long long)(now_ms - executor->hold_sent_ms));
	while (executor->runs->len)
		run_ended(cell, executor->runs->pdata[0], WAXWING_RUN_LAPSED, now_ms);
}

void cell_sweep_executors(struct waxwing_cell *cell, int64_t now_ms)
{
	for (guint i = cell->list->len; i-- > 0;) {
		struct executor *executor = cell->list->pdata[i];

		waxwing_breaker_tick(&executor->breaker, now_ms);
		let_leases_run_out(cell, executor, now_ms);
		if (executor->missing_since_ms &&
		    now_ms - executor->missing_since_ms >= MISSING_USED_MS)
			executor->removed = true;
		if (executor->removed && !executor->runs->len && !executor->hold_out &&
		    now_ms >= executor->leased_until_ms)
			remove_executor(cell, executor);
	}
}

#include "node_private.h"

#define LOG_COMPONENT "node"
#include "event_log.h"
#include "log.h"

#include <glib.h>

/*
 * Minimum interval between calls that watch the executors' entries. The entries change with each
 * heartbeat, and the rate of calls to the store is limited and shared by all nodes. An owner must
 * learn of a draining executor well within the time that the executor is given to drain.
 */
#define ENTRIES_INTERVAL_MS 400

/* How long after a durable job further durable jobs are expected. */
#define DURABLE_JOBS_RECENT_MS 10000

/*
 * How long watch calls wait at the store. The wait plus the response timeout is well below the 3 s
 * after which a node counts as connected again, so an unresponsive connection is detected before
 * that.
 */
#define WATCH_WAIT_MS	      1200
#define ENTRIES_WATCH_WAIT_MS 800

/*
 * Minimum interval between watch calls of the configuration and the evacuations. Other keys below
 * their common prefix may change often and must not add calls to the store.
 */
#define OPERATOR_INTERVAL_MS 200

/* A loop iteration of this duration is logged: the machine was suspended or short of CPU time. */
#define STALL_MS 250

static void store_reached(void *data, bool reached)
{
	struct waxwing_node *node = data;
	int64_t now_ms = node_now(node);

	if (reached) {
		node->store_reached_ms = now_ms;
		if (node->store_lost_ms) {
			waxwing_event("store_regained", "lost_ms=%lld",
				      (long long)(now_ms - node->store_lost_ms));
			node->store_lost_ms = 0;
			waxwing_store_watch_restart(node->routing_watch);
			waxwing_store_watch_restart(node->owner_watch);
		}
		return;
	}
	if (!node->store_lost_ms) {
		node->store_lost_ms = now_ms;
		waxwing_event("store_lost", "reached_ms_ago=%lld",
			      (long long)(now_ms - node->store_reached_ms));
	}
}

static void operator_entry_changed(void *data, const struct waxwing_store_item *item)
{
	if (!node_evacuation_changed(data, item))
		node_routing_changed(data, item);
}

static void owner_entry_changed(void *data, const struct waxwing_store_item *item)
{
	struct waxwing_node *node = data;
	char *key = waxwing_str_dup(item->key);
	struct node_cell *cell = node_cell_find(node, key + strlen(WAXWING_CELL_OWNER_PREFIX));

	if (cell)
		waxwing_cell_claim_update(cell->claim, item);
	g_free(key);
}

static void owner_history_lost(void *data, bool lost)
{
	struct waxwing_node *node = data;

	for (guint i = 0; i < node->cells->len; i++) {
		struct waxwing_cell_claim *claim =
			((struct node_cell *)node->cells->pdata[i])->claim;

		if (lost)
			waxwing_cell_claim_set_history_lost(claim);
		else
			waxwing_cell_claim_set_history_read(
				claim, waxwing_store_watch_revision(node->owner_watch));
	}
}

static struct waxwing_store_watch *
create_watch(struct waxwing_node *node, const char *prefix, uint32_t wait_ms,
	     void (*changed)(void *data, const struct waxwing_store_item *item),
	     void (*history_lost)(void *data, bool lost))
{
	struct waxwing_store_watch_options options = {
		.store = node->options.store,
		.clock = node->clock,
		.prefix = prefix,
		.wait_ms = wait_ms,
		/* only evacuations have a bound that lost answers must not extend */
		.poll_after_failure = node->options.evacuation_prefix != NULL &&
				      changed == operator_entry_changed,
		.changed = changed,
		.reached = store_reached,
		.history_lost = history_lost,
		.data = node,
	};

	return waxwing_store_watch_create(&options);
}

/* Runs the cells that had events, then delivers verdicts and answers to callers. */
void waxwing_node_process_events(struct waxwing_node *node)
{
	int64_t now_ms = node_now(node);

	/* after a pause, events may come before waxwing_node_run(), which does this first, too */
	if (node->last_run_ms && now_ms - node->last_run_ms >= STALL_MS)
		node_jobs_run(node, now_ms);
	if (node->has_events) {
		node->has_events = false;
		for (guint i = 0; i < node->cells->len; i++)
			node_owner_run(node->cells->pdata[i], now_ms);
	}
	node_jobs_process_verdicts(node);
	node_queries_process_answers(node);
}

void waxwing_node_run(struct waxwing_node *node)
{
	int64_t now_ms = node_now(node);

	if (node->last_run_ms && now_ms - node->last_run_ms >= STALL_MS)
		waxwing_event("stalled", "stood_ms=%lld", (long long)(now_ms - node->last_run_ms));
	node->last_run_ms = now_ms;
	waxwing_store_watch_run(node->routing_watch);
	waxwing_store_watch_run(node->owner_watch);
	waxwing_store_watch_run(node->executor_watch);
	node_entries_run(node, now_ms);
	if (waxwing_store_watch_synced(node->owner_watch))
		for (guint i = 0; i < node->cells->len; i++)
			waxwing_cell_claim_set_synced(
				((struct node_cell *)node->cells->pdata[i])->claim,
				waxwing_store_watch_revision(node->owner_watch));
	node_routing_run(node, now_ms);
	/* first, so that after a pause no cell starts tasks for callers that have stopped waiting */
	node_jobs_run(node, now_ms);
	node_cells_run(node, now_ms);
	node_withdrawals_run(node, now_ms);
	node_queries_run(node, now_ms);
	waxwing_node_process_events(node);
}

struct waxwing_node *waxwing_node_create(const struct waxwing_node_options *options)
{
	struct waxwing_node *node = g_new0(struct waxwing_node, 1);
	char *routing_prefix = node_evacuation_watch_prefix(options);

	node->options = *options;
	node->clock = options->clock;
	node->incarnation = options->incarnation;
	node->link = options->link;
	node->next_ownership_id = 1;
	node->cells = g_ptr_array_new();
	node->queries = g_ptr_array_new_with_free_func(g_free);
	node_entries_create(node);
	node_withdrawals_create(node);
	node->routing_waiters = g_ptr_array_new();
	node->query_answers = g_ptr_array_new_with_free_func(g_free);
	node->verdicts = g_ptr_array_new_with_free_func(g_free);
	node->pending_jobs =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, node_pending_job_free);
	node_cells_create(node);
	node->routing_watch =
		create_watch(node, routing_prefix, WATCH_WAIT_MS, operator_entry_changed, NULL);
	if (options->evacuation_prefix)
		waxwing_store_watch_set_interval(node->routing_watch, OPERATOR_INTERVAL_MS);
	g_free(routing_prefix);
	node->owner_watch = create_watch(node, WAXWING_CELL_OWNER_PREFIX, WATCH_WAIT_MS,
					 owner_entry_changed, owner_history_lost);
	node->executor_watch = create_watch(node, options->executor_prefix, ENTRIES_WATCH_WAIT_MS,
					    node_entries_changed, NULL);
	waxwing_store_watch_set_interval(node->executor_watch, ENTRIES_INTERVAL_MS);
	return node;
}

void waxwing_node_destroy(struct waxwing_node *node)
{
	if (!node)
		return;
	waxwing_store_watch_destroy(node->routing_watch);
	waxwing_store_watch_destroy(node->owner_watch);
	waxwing_store_watch_destroy(node->executor_watch);
	node_cells_destroy(node);
	waxwing_routing_destroy(node->routing);
	g_ptr_array_free(node->routing_waiters, TRUE);
	g_hash_table_destroy(node->pending_jobs);
	node_withdrawals_destroy(node);
	g_ptr_array_free(node->verdicts, TRUE);
	g_ptr_array_free(node->queries, TRUE);
	g_ptr_array_free(node->query_answers, TRUE);
	node_entries_destroy(node);
	g_free(node);
}

uint32_t waxwing_node_reachable_cells(const struct waxwing_node *node)
{
	int64_t now_ms = node_now(node);
	uint32_t count = 0;

	for (guint i = 0; i < node->cells->len; i++)
		count += node_cell_reachable(node->cells->pdata[i], now_ms);
	return count;
}

static bool can_accept_durable_jobs(const struct waxwing_node *node)
{
	for (guint i = 0; i < node->cells->len; i++) {
		const struct node_cell *cell = node->cells->pdata[i];

		if (!cell->rejects_durable_jobs && node_cell_reachable(cell, node_now(node)))
			return true;
	}
	return false;
}

/*
 * If this node recently had durable jobs but no cell accepts any, it reports not ready, so that
 * their callers go to another node.
 */
bool waxwing_node_ready(const struct waxwing_node *node)
{
	bool durable_jobs_recent =
		node->last_durable_job_ms &&
		node_now(node) - node->last_durable_job_ms < DURABLE_JOBS_RECENT_MS;

	return node->routing && !node->leaving && waxwing_node_reachable_cells(node) > 0 &&
	       (!durable_jobs_recent || can_accept_durable_jobs(node));
}

void waxwing_node_leave(struct waxwing_node *node, uint32_t time_left_ms)
{
	node->leaving = true;
	node->leave_by_ms = node_now(node) + time_left_ms;
	for (guint i = 0; i < node->cells->len; i++)
		waxwing_cell_claim_release(((struct node_cell *)node->cells->pdata[i])->claim);
}

bool waxwing_node_idle(const struct waxwing_node *node)
{
	if (g_hash_table_size(node->pending_jobs) || g_hash_table_size(node->withdrawals) ||
	    node->queries->len || node->routing_waiters->len)
		return false;
	for (guint i = 0; i < node->cells->len; i++)
		if (waxwing_cell_claim_is_releasing(
			    ((struct node_cell *)node->cells->pdata[i])->claim))
			return false;
	return true;
}

static void print_answer_metrics(const struct waxwing_node *node, GString *text)
{
	static const char *const outcomes[] = { "completed", "failed", "refused", "given_up",
						"stored" };

	for (size_t i = 0; i < G_N_ELEMENTS(outcomes); i++) {
		char *labels = g_strdup_printf("outcome=\"%s\",", outcomes[i]);

		waxwing_histogram_print(&node->answer_ms[i], text, "waxwing_node_answer_ms",
					labels);
		g_free(labels);
	}
	for (int reason = 0; reason < WAXWING_ERROR_COUNT; reason++)
		if (node->not_completed_by_reason[reason])
			g_string_append_printf(
				text,
				"waxwing_node_not_completed_by_reason_total{reason=\"%s\"} %llu\n",
				waxwing_error_name(reason),
				(unsigned long long)node->not_completed_by_reason[reason]);
}

static void print_near_waits(const char *cell, const struct waxwing_cell_stats *stats,
			     GString *text)
{
	const struct {
		const char *name;
		uint64_t value;
	} counters[] = {
		{ "waits", stats->near_waits },
		{ "waits_ended_near", stats->near_waits_near },
		{ "waits_ended_far", stats->near_waits_far },
		{ "waits_dropped", stats->near_waits_dropped },
		{ "waited_ms", stats->near_waited_ms },
		{ "saved_ms", stats->near_saved_ms },
		{ "lost_ms", stats->near_lost_ms },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(counters); i++)
		g_string_append_printf(text, "waxwing_cell_near_%s_total{cell=\"%s\"} %llu\n",
				       counters[i].name, cell,
				       (unsigned long long)counters[i].value);
}

/*
 * Prints how long the jobs of an owned cell waited for their first start, and the delay of its
 * journal.
 */
static void print_owned_cell(const struct node_cell *cell, GString *text)
{
	char *labels = g_strdup_printf("cell=\"%s\",", cell->name);

	waxwing_histogram_print(waxwing_cell_start_wait_histogram(cell->owned), text,
				"waxwing_cell_start_wait_ms", labels);
	g_string_append_printf(text, "waxwing_journal_delay_ms{cell=\"%s\"} %lld\n", cell->name,
			       (long long)waxwing_journal_delay_ms(cell->journal));
	g_free(labels);
}

char *waxwing_node_metrics(struct waxwing_node *node)
{
	GString *text = g_string_new(NULL);
	int64_t now_ms = node_now(node);

	g_string_append_printf(
		text,
		"waxwing_node_submitted_total %llu\n"
		"waxwing_node_completed_total %llu\n"
		"waxwing_node_not_completed_total %llu\n"
		"waxwing_node_pending %u\n"
		"waxwing_node_takeovers_total %llu\n"
		"waxwing_node_withdrawals_unconfirmed_total %llu\n"
		"waxwing_node_messages_dropped_total %llu\n"
		"waxwing_node_log_lines_dropped_total %llu\n"
		"waxwing_node_routing_version %llu\n"
		"waxwing_node_routing_age_ms %lld\n"
		"waxwing_node_store_lost_ms %lld\n",
		(unsigned long long)node->submitted, (unsigned long long)node->completed,
		(unsigned long long)node->not_completed, g_hash_table_size(node->pending_jobs),
		(unsigned long long)node->takeovers,
		(unsigned long long)node->withdrawals_unconfirmed,
		(unsigned long long)node->link->ops->dropped(node->link),
		(unsigned long long)waxwing_event_log_dropped(),
		(unsigned long long)(node->routing ? node->routing->version : 0),
		(long long)(node->routing ? now_ms - node->routing_since_ms : 0),
		(long long)(node->store_lost_ms ? now_ms - node->store_lost_ms : 0));
	print_answer_metrics(node, text);
	node_evacuation_print(node, text, now_ms);
	for (guint i = 0; i < node->cells->len; i++) {
		struct node_cell *cell = node->cells->pdata[i];
		struct waxwing_cell_stats stats;

		if (!cell->owned)
			continue;
		print_owned_cell(cell, text);
		waxwing_cell_get_stats(cell->owned, now_ms, &stats);
		g_string_append_printf(text,
				       "waxwing_cell_executors{cell=\"%s\"} %u\n"
				       "waxwing_cell_usable{cell=\"%s\"} %u\n"
				       "waxwing_cell_jobs{cell=\"%s\"} %u\n"
				       "waxwing_cell_waiting_tasks{cell=\"%s\"} %u\n"
				       "waxwing_cell_runs{cell=\"%s\"} %u\n"
				       "waxwing_cell_starts_total{cell=\"%s\"} %llu\n"
				       "waxwing_cell_starts_unanswered_total{cell=\"%s\"} %llu\n"
				       "waxwing_cell_starts_resent_total{cell=\"%s\"} %llu\n"
				       "waxwing_cell_holds_hedged_total{cell=\"%s\"} %llu\n"
				       "waxwing_cell_hedges_answered_total{cell=\"%s\"} %llu\n"
				       "waxwing_cell_starts_confirmed_total{cell=\"%s\"} %llu\n"
				       "waxwing_cell_done_total{cell=\"%s\"} %llu\n"
				       "waxwing_cell_failed_total{cell=\"%s\"} %llu\n"
				       "waxwing_cell_lapsed_total{cell=\"%s\"} %llu\n"
				       "waxwing_cell_refused_total{cell=\"%s\"} %llu\n"
				       "waxwing_cell_cold{cell=\"%s\"} %u\n"
				       "waxwing_cell_cold_phases_total{cell=\"%s\"} %llu\n"
				       "waxwing_cell_cold_starts_total{cell=\"%s\"} %llu\n",
				       cell->name, stats.executors, cell->name, stats.usable,
				       cell->name, stats.jobs, cell->name, stats.waiting_tasks,
				       cell->name, stats.runs, cell->name,
				       (unsigned long long)stats.starts, cell->name,
				       (unsigned long long)stats.starts_unanswered, cell->name,
				       (unsigned long long)stats.starts_resent, cell->name,
				       (unsigned long long)stats.holds_hedged, cell->name,
				       (unsigned long long)stats.hedges_answered, cell->name,
				       (unsigned long long)stats.starts_confirmed, cell->name,
				       (unsigned long long)stats.done, cell->name,
				       (unsigned long long)stats.failed, cell->name,
				       (unsigned long long)stats.lapsed, cell->name,
				       (unsigned long long)stats.refused, cell->name, stats.cold,
				       cell->name, (unsigned long long)stats.cold_phases,
				       cell->name, (unsigned long long)stats.cold_starts);
		print_near_waits(cell->name, &stats, text);
	}
	return g_string_free(text, FALSE);
}

#include "node_private.h"

#define LOG_COMPONENT "asks"
#include "event_log.h"
#include "log.h"

/* Delay before an unanswered query is sent again. */
#define QUERY_RETRY_MS 120

/*
 * A caller's pending query. It goes to the owners of all cells, since any of them may have accepted
 * the job.
 */
struct pending_query {
	struct waxwing_job_query *query;
	uint32_t cells_without_job; /* bit i is set if the cell with index i lacks the job */
	int64_t started_ms;
	int64_t sent_ms;
};

/* An owner's answer, queued until the cells have run. */
struct query_answer {
	struct node_cell *cell;
	Waxwing__JobTold told;
};

static void query_cell(const struct pending_query *pending, struct node_cell *cell, int64_t now_ms)
{
	Waxwing__NodeMessage message = WAXWING__NODE_MESSAGE__INIT;
	Waxwing__JobAsk ask = WAXWING__JOB_ASK__INIT;

	if (pending->cells_without_job & node_cell_bit(cell) || !node_cell_reachable(cell, now_ms))
		return;
	ask.job = pending->query->job;
	ask.cancel = pending->query->cancel;
	if (cell->owned) {
		waxwing_cell_query_state(cell->owned, now_ms, WAXWING_ISSUER_SELF, &ask);
		cell->node->has_events = true;
		return;
	}
	message.ask = &ask;
	node_send(cell, &message);
}

static void send_query(struct waxwing_node *node, struct pending_query *pending, int64_t now_ms)
{
	pending->sent_ms = now_ms;
	for (guint i = 0; i < node->cells->len; i++)
		query_cell(pending, node->cells->pdata[i], now_ms);
}

void waxwing_node_query_job(struct waxwing_node *node, struct waxwing_job_query *query)
{
	struct pending_query *pending = g_new0(struct pending_query, 1);
	int64_t now_ms = node_now(node);

	pending->query = query;
	pending->started_ms = now_ms;
	g_ptr_array_add(node->queries, pending);
	send_query(node, pending, now_ms);
}

void waxwing_node_cancel_query(struct waxwing_node *node, struct waxwing_job_query *query)
{
	for (guint i = 0; i < node->queries->len; i++) {
		if (((struct pending_query *)node->queries->pdata[i])->query != query)
			continue;
		g_ptr_array_remove_index_fast(node->queries, i);
		return;
	}
}

/* @cell is the one whose owner knows the job; null: no cell has the job, or none could answer. */
static void answer_query(struct waxwing_node *node, guint index, const struct node_cell *cell,
			 bool answered, enum waxwing_job_state state)
{
	struct pending_query *pending = node->queries->pdata[index];
	struct waxwing_job_query *query = pending->query;

	waxwing_event("ask_answered",
		      "job=%016llx cell=%s cancel=%d answered=%d state=%d "
		      "age_ms=%lld",
		      (unsigned long long)query->job, cell ? cell->name : "none", query->cancel,
		      answered, state, (long long)(node_now(node) - pending->started_ms));
	g_ptr_array_remove_index_fast(node->queries, index);
	query->answer(query, answered, state);
}

void node_queries_run(struct waxwing_node *node, int64_t now_ms)
{
	for (guint i = node->queries->len; i-- > 0;) {
		struct pending_query *pending = node->queries->pdata[i];

		if (now_ms - pending->started_ms >= pending->query->timeout_ms)
			answer_query(node, i, NULL, false, WAXWING_STATE_NONE);
		else if (now_ms - pending->sent_ms >= QUERY_RETRY_MS)
			send_query(node, pending, now_ms);
	}
}

/* Answers all queries that wait, without a state. */
void node_queries_abort(struct waxwing_node *node)
{
	while (node->queries->len)
		answer_query(node, node->queries->len - 1, NULL, false, WAXWING_STATE_NONE);
}

void node_queries_add_answer(struct node_cell *cell, const Waxwing__JobTold *told)
{
	struct query_answer *queued = g_new0(struct query_answer, 1);

	queued->cell = cell;
	queued->told = *told;
	g_ptr_array_add(cell->node->query_answers, queued);
}

static bool no_cell_has_job(const struct waxwing_node *node, const struct pending_query *pending)
{
	for (guint i = 0; i < node->cells->len; i++)
		if (!(pending->cells_without_job & node_cell_bit(node->cells->pdata[i])))
			return false;
	return true;
}

static void handle_query_answer(struct waxwing_node *node, const struct query_answer *queued)
{
	enum waxwing_job_state state = (enum waxwing_job_state)queued->told.state;

	for (guint i = node->queries->len; i-- > 0;) {
		struct pending_query *pending = node->queries->pdata[i];

		if (pending->query->job != queued->told.job ||
		    pending->query->cancel != queued->told.cancel)
			continue;
		if (state == WAXWING_STATE_NONE)
			pending->cells_without_job |= node_cell_bit(queued->cell);
		if (state != WAXWING_STATE_NONE)
			answer_query(node, i, queued->cell, true, state);
		else if (no_cell_has_job(node, pending))
			answer_query(node, i, NULL, true, state);
	}
}

void node_queries_process_answers(struct waxwing_node *node)
{
	GPtrArray *answers = node->query_answers;

	if (!answers->len)
		return;
	node->query_answers = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < answers->len; i++)
		handle_query_answer(node, answers->pdata[i]);
	g_ptr_array_free(answers, TRUE);
}

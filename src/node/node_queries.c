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
struct job_query {
	struct waxwing_job_query *ticket;
	uint32_t cells_without_job; /* bit set, by index, of cells that do not have the job */
	int64_t started_ms;
	int64_t sent_ms;
};

/* An owner's answer, queued until the cells have run. */
struct query_answer {
	struct node_cell *cell;
	Waxwing__JobTold told;
};

static void query_cell(const struct job_query *query, struct node_cell *cell, int64_t now_ms)
{
	Waxwing__NodeMessage message = WAXWING__NODE_MESSAGE__INIT;
	Waxwing__JobAsk ask = WAXWING__JOB_ASK__INIT;

	if (query->cells_without_job & node_cell_bit(cell) || !node_cell_reachable(cell, now_ms))
		return;
	ask.job = query->ticket->job;
	ask.cancel = query->ticket->cancel;
	if (cell->owned) {
		waxwing_cell_query_state(cell->owned, now_ms, WAXWING_ISSUER_SELF, &ask);
		cell->node->has_events = true;
		return;
	}
	message.ask = &ask;
	node_send(cell, &message);
}

static void send_query(struct waxwing_node *node, struct job_query *query, int64_t now_ms)
{
	query->sent_ms = now_ms;
	for (guint i = 0; i < node->cells->len; i++)
		query_cell(query, node->cells->pdata[i], now_ms);
}

void waxwing_node_query_job(struct waxwing_node *node, struct waxwing_job_query *ticket)
{
	struct job_query *query = g_new0(struct job_query, 1);
	int64_t now_ms = node_now(node);

	query->ticket = ticket;
	query->started_ms = now_ms;
	g_ptr_array_add(node->queries, query);
	send_query(node, query, now_ms);
}

void waxwing_node_cancel_query(struct waxwing_node *node, struct waxwing_job_query *ticket)
{
	for (guint i = 0; i < node->queries->len; i++) {
		if (((struct job_query *)node->queries->pdata[i])->ticket != ticket)
			continue;
		g_ptr_array_remove_index_fast(node->queries, i);
		return;
	}
}

/* @cell is the one whose owner knows the job; null: no cell has the job, or none could answer. */
static void answer_query(struct waxwing_node *node, guint index, const struct node_cell *cell,
			 bool answered, enum waxwing_job_state state)
{
	struct job_query *query = node->queries->pdata[index];
	struct waxwing_job_query *ticket = query->ticket;

	waxwing_event("ask_answered",
		      "job=%016llx cell=%s cancel=%d answered=%d state=%d "
		      "age_ms=%lld",
		      (unsigned long long)ticket->job, cell ? cell->name : "none", ticket->cancel,
		      answered, state, (long long)(node_now(node) - query->started_ms));
	g_ptr_array_remove_index_fast(node->queries, index);
	ticket->answer(ticket, answered, state);
}

void node_queries_run(struct waxwing_node *node, int64_t now_ms)
{
	for (guint i = node->queries->len; i-- > 0;) {
		struct job_query *query = node->queries->pdata[i];

		if (now_ms - query->started_ms >= query->ticket->timeout_ms)
			answer_query(node, i, NULL, false, WAXWING_STATE_NONE);
		else if (now_ms - query->sent_ms >= QUERY_RETRY_MS)
			send_query(node, query, now_ms);
	}
}

void node_queries_add_answer(struct node_cell *cell, const Waxwing__JobTold *told)
{
	struct query_answer *copy = g_new0(struct query_answer, 1);

	copy->cell = cell;
	copy->told = *told;
	g_ptr_array_add(cell->node->query_answers, copy);
}

static bool no_cell_has_job(const struct waxwing_node *node, const struct job_query *query)
{
	for (guint i = 0; i < node->cells->len; i++)
		if (!(query->cells_without_job & node_cell_bit(node->cells->pdata[i])))
			return false;
	return true;
}

static void handle_query_answer(struct waxwing_node *node, const struct query_answer *copy)
{
	enum waxwing_job_state state = (enum waxwing_job_state)copy->told.state;

	for (guint i = node->queries->len; i-- > 0;) {
		struct job_query *query = node->queries->pdata[i];

		if (query->ticket->job != copy->told.job ||
		    query->ticket->cancel != copy->told.cancel)
			continue;
		if (state == WAXWING_STATE_NONE)
			query->cells_without_job |= node_cell_bit(copy->cell);
		if (state != WAXWING_STATE_NONE)
			answer_query(node, i, copy->cell, true, state);
		else if (no_cell_has_job(node, query))
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

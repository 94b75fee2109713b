#include "node_private.h"

#define LOG_PART "asks"
#include "event_log.h"
#include "log.h"

/* A question without an answer is sent again after this. */
#define ASK_AGAIN_MS 120

/* A caller's question that is out: to the owners of all cells, for any may have accepted the job. */
struct asking {
	struct waxwing_ask_ticket *ticket;
	uint32_t without; /* bits of the cells, by index, that have no such job */
	int64_t began_ms;
	int64_t sent_ms;
};

/* What an owner has told, kept until the cells have done their work. */
struct told_copy {
	struct node_cell *at;
	Waxwing__JobTold told;
};

static void ask_cell(const struct asking *asking, struct node_cell *at, int64_t now_ms)
{
	Waxwing__NodeMessage message = WAXWING__NODE_MESSAGE__INIT;
	Waxwing__JobAsk ask = WAXWING__JOB_ASK__INIT;

	if (asking->without & node_cell_bit(at) || !node_cell_reachable(at, now_ms))
		return;
	ask.job = asking->ticket->job;
	ask.cancel = asking->ticket->cancel;
	if (at->cell) {
		waxwing_cell_ask(at->cell, now_ms, WAXWING_ISSUER_SELF, &ask);
		at->node->touched = true;
		return;
	}
	message.ask = &ask;
	node_send(at, &message);
}

static void send_ask(struct waxwing_node *node, struct asking *asking, int64_t now_ms)
{
	asking->sent_ms = now_ms;
	for (guint i = 0; i < node->cells->len; i++)
		ask_cell(asking, node->cells->pdata[i], now_ms);
}

void waxwing_node_ask(struct waxwing_node *node, struct waxwing_ask_ticket *ticket)
{
	struct asking *asking = g_new0(struct asking, 1);
	int64_t now_ms = node_now(node);

	asking->ticket = ticket;
	asking->began_ms = now_ms;
	g_ptr_array_add(node->asks, asking);
	send_ask(node, asking, now_ms);
}

void waxwing_node_stop_asking(struct waxwing_node *node, struct waxwing_ask_ticket *ticket)
{
	for (guint i = 0; i < node->asks->len; i++) {
		if (((struct asking *)node->asks->pdata[i])->ticket != ticket)
			continue;
		g_ptr_array_remove_index_fast(node->asks, i);
		return;
	}
}

/* @cell: whose owner knows the job; null: none does, or could say. */
static void answer(struct waxwing_node *node, guint index, const struct node_cell *cell,
		   bool answered, enum waxwing_job_state state)
{
	struct asking *asking = node->asks->pdata[index];
	struct waxwing_ask_ticket *ticket = asking->ticket;

	waxwing_event("ask_answered",
		      "job=%016llx cell=%s cancel=%d answered=%d state=%d "
		      "age_ms=%lld",
		      (unsigned long long)ticket->job, cell ? cell->name : "none", ticket->cancel,
		      answered, state, (long long)(node_now(node) - asking->began_ms));
	g_ptr_array_remove_index_fast(node->asks, index);
	ticket->answer(ticket, answered, state);
}

void node_asks_run(struct waxwing_node *node, int64_t now_ms)
{
	for (guint i = node->asks->len; i-- > 0;) {
		struct asking *asking = node->asks->pdata[i];

		if (now_ms - asking->began_ms >= asking->ticket->patience_ms)
			answer(node, i, NULL, false, WAXWING_STATE_NONE);
		else if (now_ms - asking->sent_ms >= ASK_AGAIN_MS)
			send_ask(node, asking, now_ms);
	}
}

void node_asks_told(struct node_cell *at, const Waxwing__JobTold *told)
{
	struct told_copy *copy = g_new0(struct told_copy, 1);

	copy->at = at;
	copy->told = *told;
	g_ptr_array_add(at->node->tolds, copy);
}

static bool no_cell_has_it(const struct waxwing_node *node, const struct asking *asking)
{
	for (guint i = 0; i < node->cells->len; i++)
		if (!(asking->without & node_cell_bit(node->cells->pdata[i])))
			return false;
	return true;
}

static void take_told(struct waxwing_node *node, const struct told_copy *copy)
{
	enum waxwing_job_state state = (enum waxwing_job_state)copy->told.state;

	for (guint i = node->asks->len; i-- > 0;) {
		struct asking *asking = node->asks->pdata[i];

		if (asking->ticket->job != copy->told.job ||
		    asking->ticket->cancel != copy->told.cancel)
			continue;
		if (state == WAXWING_STATE_NONE)
			asking->without |= node_cell_bit(copy->at);
		if (state != WAXWING_STATE_NONE)
			answer(node, i, copy->at, true, state);
		else if (no_cell_has_it(node, asking))
			answer(node, i, NULL, true, state);
	}
}

void node_asks_tell(struct waxwing_node *node)
{
	GPtrArray *tolds = node->tolds;

	if (!tolds->len)
		return;
	node->tolds = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < tolds->len; i++)
		take_told(node, tolds->pdata[i]);
	g_ptr_array_free(tolds, TRUE);
}

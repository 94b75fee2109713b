#include "node_private.h"

#define LOG_PART "asks"
#include "event_log.h"
#include "log.h"

/* A question without an answer is sent again after this. */
#define ASK_AGAIN_MS 120

/* A caller's question that is out. */
struct asking {
	struct waxwing_ask_ticket *ticket;
	struct node_cell *cell;
	int64_t began_ms;
	int64_t sent_ms; /* 0: not yet */
};

static void send_ask(struct asking *asking, int64_t now_ms)
{
	struct node_cell *at = asking->cell;
	Waxwing__NodeMessage message = WAXWING__NODE_MESSAGE__INIT;
	Waxwing__JobAsk ask = WAXWING__JOB_ASK__INIT;

	if (!node_cell_reachable(at, now_ms))
		return;
	asking->sent_ms = now_ms;
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

void waxwing_node_ask(struct waxwing_node *node, struct waxwing_ask_ticket *ticket)
{
	struct asking *asking = g_new0(struct asking, 1);
	int64_t now_ms = node_now(node);

	asking->ticket = ticket;
	asking->cell = node_home_cell(node, ticket->job);
	asking->began_ms = now_ms;
	g_ptr_array_add(node->asks, asking);
	send_ask(asking, now_ms);
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

static void answer(struct waxwing_node *node, guint index, bool answered,
		   enum waxwing_job_state state)
{
	struct asking *asking = node->asks->pdata[index];
	struct waxwing_ask_ticket *ticket = asking->ticket;

	waxwing_event("ask_answered",
		      "job=%016llx cell=%s cancel=%d answered=%d state=%d "
		      "age_ms=%lld",
		      (unsigned long long)ticket->job, asking->cell->name, ticket->cancel, answered,
		      state, (long long)(node_now(node) - asking->began_ms));
	g_ptr_array_remove_index_fast(node->asks, index);
	ticket->answer(ticket, answered, state);
}

void node_asks_run(struct waxwing_node *node, int64_t now_ms)
{
	for (guint i = node->asks->len; i-- > 0;) {
		struct asking *asking = node->asks->pdata[i];

		if (now_ms - asking->began_ms >= asking->ticket->patience_ms)
			answer(node, i, false, WAXWING_STATE_NONE);
		else if (now_ms - asking->sent_ms >= ASK_AGAIN_MS)
			send_ask(asking, now_ms);
	}
}

void node_asks_told(struct waxwing_node *node, const Waxwing__JobTold *told)
{
	g_ptr_array_add(node->tolds, g_memdup2(told, sizeof(*told)));
}

static void take_told(struct waxwing_node *node, const Waxwing__JobTold *told)
{
	for (guint i = node->asks->len; i-- > 0;) {
		const struct asking *asking = node->asks->pdata[i];

		if (asking->ticket->job == told->job && asking->ticket->cancel == told->cancel)
			answer(node, i, true, (enum waxwing_job_state)told->state);
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

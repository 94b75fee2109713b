/*
 * Jobs whose callers have gone. A job may be submitted again elsewhere soon after, so its cell's
 * owner is told to stop it until the owner has confirmed that, or has stopped it by itself.
 */
#include "node_private.h"

#define LOG_COMPONENT "withdrawals"
#include "event_log.h"
#include "log.h"

#define WITHDRAW_RETRY_MS 100
/* Owners of the previous release do not confirm withdrawals. */
#define WITHDRAW_TIMEOUT_MS 3000

struct withdrawal {
	uint64_t job;
	struct node_cell *cell;
	uint64_t owner; /* incarnation of the owner; its token changes if it claims the cell anew */
	int64_t since_ms;
	int64_t next_send_ms;
};

void node_withdrawals_create(struct waxwing_node *node)
{
	node->withdrawals = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void node_withdrawals_destroy(struct waxwing_node *node)
{
	g_hash_table_destroy(node->withdrawals);
}

static void send_withdrawal(struct withdrawal *withdrawal, int64_t now_ms)
{
	Waxwing__NodeMessage message = WAXWING__NODE_MESSAGE__INIT;

	withdrawal->next_send_ms = now_ms + WITHDRAW_RETRY_MS;
	message.has_withdraw = true;
	message.withdraw = withdrawal->job;
	node_send(withdrawal->cell, &message);
}

/*
 * Returns true if the owner needs no telling: it was replaced, or has heard nothing from this node
 * for so long that it has stopped the jobs that this node offered.
 */
static bool is_over(const struct withdrawal *withdrawal, int64_t now_ms)
{
	const struct node_cell *cell = withdrawal->cell;

	return waxwing_cell_claim_owner(cell->claim)->incarnation != withdrawal->owner ||
	       now_ms >= cell->orders_expire_ms ||
	       now_ms - withdrawal->since_ms >= WITHDRAW_TIMEOUT_MS;
}

void node_withdrawals_add(struct node_cell *cell, uint64_t job)
{
	int64_t now_ms = node_now(cell->node);
	struct withdrawal *withdrawal = g_new0(struct withdrawal, 1);

	withdrawal->job = job;
	withdrawal->cell = cell;
	withdrawal->owner = waxwing_cell_claim_owner(cell->claim)->incarnation;
	withdrawal->since_ms = now_ms;
	if (is_over(withdrawal, now_ms)) {
		g_free(withdrawal);
		return;
	}
	g_hash_table_replace(cell->node->withdrawals, &withdrawal->job, withdrawal);
	send_withdrawal(withdrawal, now_ms);
}

/*
 * Called when the owner has confirmed the withdrawal, or is offered the job again: withdrawals sent
 * before arrive before the offer.
 */
void node_withdrawals_remove(struct node_cell *cell, uint64_t job)
{
	const struct withdrawal *withdrawal = g_hash_table_lookup(cell->node->withdrawals, &job);

	if (withdrawal && withdrawal->cell == cell)
		g_hash_table_remove(cell->node->withdrawals, &job);
}

/*
 * Returns the reachable cell that the job is being withdrawn from, and which may still run it; null
 * if there is none.
 */
struct node_cell *node_withdrawals_find(struct waxwing_node *node, uint64_t job, int64_t now_ms)
{
	const struct withdrawal *withdrawal = g_hash_table_lookup(node->withdrawals, &job);

	if (!withdrawal || is_over(withdrawal, now_ms) ||
	    !node_cell_reachable(withdrawal->cell, now_ms))
		return NULL;
	return withdrawal->cell;
}

void node_withdrawals_run(struct waxwing_node *node, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->withdrawals);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct withdrawal *withdrawal = value;

		if (is_over(withdrawal, now_ms)) {
			node->withdrawals_unconfirmed++;
			waxwing_event("withdrawal_unconfirmed", "job=%016llx cell=%s age_ms=%lld",
				      (unsigned long long)withdrawal->job, withdrawal->cell->name,
				      (long long)(now_ms - withdrawal->since_ms));
			g_hash_table_iter_remove(&iter);
		} else if (now_ms >= withdrawal->next_send_ms) {
			send_withdrawal(withdrawal, now_ms);
		}
	}
}

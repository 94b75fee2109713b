#ifndef WAXWING_NODE_PRIVATE_H
#define WAXWING_NODE_PRIVATE_H

#include "claim.h"
#include "journal.h"
#include "clock.h"
#include "day_clock.h"
#include "histogram.h"
#include "link.h"
#include "node.h"
#include "store_watch.h"

#include <glib.h>

/* Pings to the owner of each cell; nodes in many share the owners' time. */
#define PING_MS 100

/* Cells of which pings tell what is known. */
#define CELLS_TOLD_MOST 16

/* A cell, as this node sees it. */
struct node_cell {
	struct waxwing_node *node;
	uint32_t index; /* among the node's cells */
	char *name; /* the failure domain's */
	struct waxwing_claim *claim;
	/* as its owner tells */
	int64_t heard_ms; /* 0: not since the owner changed */
	uint64_t heard_token; /* of the owner that is heard */
	int64_t owner_clock_ms; /* owner's clock at heard_ms */
	uint64_t echo_ms; /* owner's clock when it sent what was heard last */
	int64_t ping_next_ms;
	int64_t orders_until_ms; /* former orders for this node's jobs may have their effect until then */
	uint32_t free_milli;
	uint32_t wait_ms;
	bool keeps_none; /* it accepts no jobs that must be kept */
	GHashTable *waiting; /* queue -> jobs */
	/* as its owner */
	struct waxwing_cell *cell; /* null: not the owner */
	struct waxwing_journal *journal; /* of the owned cell */
	char *claim_key;
	uint64_t ownership; /* tells answers to orders of an earlier one */
	GHashTable *issuers; /* sender -> struct issuer */
	bool list_checked; /* the list of executors is known to be complete */
	uint64_t fenced_token; /* of the ownership that an executor has ended */
};

/* A node that offers jobs to an owned cell. */
struct issuer {
	uint64_t sender;
	int64_t echo_ms; /* when the owner sent what the issuer is known to have heard */
	bool gone; /* its jobs were stopped */
};

/* A caller's job. */
struct pending {
	uint64_t id;
	Waxwing__Job *job;
	struct waxwing_ticket *tickets;
	struct node_cell *cell; /* null: waits for one */
	uint64_t token; /* of the ownership that it was offered to */
	int64_t arrived_ms;
	int64_t offered_ms;
	bool accepted;
	bool offered_before; /* an earlier owner of the cell may have started it */
	bool may_have_run; /* an owner that has not answered for it had it */
	bool refused_once; /* one cell has refused it */
	uint32_t
		refusals; /* bits of the cells, by index, that have refused a job that must be kept */
	bool may_be_stored; /* a cell whose verdict has not come may store it yet */
};

struct waxwing_node {
	struct waxwing_node_options options;
	const struct waxwing_clock *clock;
	struct waxwing_day_clock day;
	struct waxwing_link *link;
	struct waxwing_store_watch *routing_watch;
	struct waxwing_store_watch *owner_watch;
	struct waxwing_store_watch *executor_watch;
	struct waxwing_routing *routing;
	GPtrArray *cells; /* struct node_cell */
	GHashTable *pendings; /* id -> pending */
	GPtrArray *asks; /* struct asking */
	GPtrArray *tolds; /* struct told_copy: to be told once the cells have done their work */
	GHashTable
		*entries; /* key -> struct waxwing_store_item: the executors, to tell new cells */
	uint64_t incarnation;
	uint64_t next_ownership;
	int64_t last_turn_ms;
	int64_t list_sure_ms; /* entries that lapsed in an outage of the store are back by then */
	int64_t store_reached_ms;
	int64_t store_lost_ms; /* 0: it answers */
	GPtrArray
		*verdicts; /* struct verdict_copy: to be told once the cells have done their work */
	int64_t kept_ms; /* when a job that must be kept came last; 0: none has */
	bool leaving;
	bool touched; /* a cell has had events since it last ran */
	struct waxwing_histogram
		answer_ms[WAXWING_JOB_STORED + 1]; /* from arrival to answer, by outcome */
	uint64_t not_completed_for[WAXWING_ERROR_COUNT]; /* jobs, by reason */
	int64_t routing_since_ms;
	uint64_t submitted;
	uint64_t completed;
	uint64_t not_completed;
	uint64_t takeovers;
};

/* node_cells.c */
void node_cells_create(struct waxwing_node *node);
void node_cells_destroy(struct waxwing_node *node);
void node_cells_run(struct waxwing_node *node, int64_t now_ms);
bool node_cell_reachable(const struct node_cell *at, int64_t now_ms);
void node_send(struct node_cell *at, Waxwing__NodeMessage *message);
struct node_cell *node_cell_find(struct waxwing_node *node, const char *name);

/* node_owner.c */
void node_owner_begin(struct node_cell *at, uint64_t token);
void node_owner_end(struct node_cell *at);
void node_owner_run(struct node_cell *at, int64_t now_ms);
void node_owner_offer(struct node_cell *at, uint64_t sender, Waxwing__JobOffer *offer);
void node_owner_message(struct node_cell *at, uint64_t sender, Waxwing__NodeMessage *message);
bool node_owner_keeps_none(const struct node_cell *at);
void node_entry_free(gpointer value);
void node_executors_changed(struct waxwing_node *node, const struct waxwing_store_item *item);

/* node_jobs.c */
void node_jobs_run(struct waxwing_node *node, int64_t now_ms);
void node_jobs_verdict(struct node_cell *at, const Waxwing__JobVerdict *verdict);
void node_jobs_tell(struct waxwing_node *node);
void node_jobs_accepted(struct node_cell *at, uint64_t job);
void node_pending_free(gpointer value);

/* node_asks.c */
void node_asks_run(struct waxwing_node *node, int64_t now_ms);
void node_asks_told(struct node_cell *at, const Waxwing__JobTold *told);
void node_asks_tell(struct waxwing_node *node);

/* Stands for a cell in a set of cells. */
static inline uint32_t node_cell_bit(const struct node_cell *at)
{
	return 1U << at->index;
}

/* The time of day less the node's clock. */
static inline int64_t node_day_offset(struct waxwing_node *node)
{
	return waxwing_day_clock_read(&node->day, waxwing_clock_now(node->clock),
				      waxwing_clock_now(node->options.day));
}

static inline int64_t node_now(const struct waxwing_node *node)
{
	return waxwing_clock_now(node->clock);
}

#endif

#ifndef WAXWING_NODE_PRIVATE_H
#define WAXWING_NODE_PRIVATE_H

#include "cell_claim.h"
#include "journal.h"
#include "clock.h"
#include "wall_offset.h"
#include "histogram.h"
#include "link.h"
#include "node.h"
#include "store_watch.h"

#include <glib.h>

/*
 * Interval of pings to the owner of each cell; with many nodes, pings take a share of the owners'
 * time.
 */
#define PING_INTERVAL_MS 100

/* Maximum number of cells whose known tokens a ping contains. */
#define MAX_PING_CELLS 16

/* State of a cell at this node. */
struct node_cell {
	struct waxwing_node *node;
	uint32_t index; /* index in the node's array of cells */
	char *name; /* name of the failure domain */
	struct waxwing_cell_claim *claim;
	uint32_t claim_delay_ms; /* this node's delay before it claims the cell */
	/* state that the cell's owner has reported: */
	int64_t last_pong_ms; /* time of the last pong; 0: none since the owner changed */
	uint64_t owner_token; /* token of the owner that sends pongs */
	int64_t owner_clock_ms; /* the owner's clock at last_pong_ms */
	uint64_t echo_ms; /* the owner's clock when it sent the last pong received */
	int64_t next_ping_ms;
	/* time until which earlier orders for this node's jobs may still take effect */
	int64_t orders_expire_ms;
	uint32_t free_milli; /* free CPU in thousandths of a core */
	uint32_t wait_ms;
	bool rejects_durable_jobs; /* the owner currently refuses durable jobs */
	bool is_standby; /* the last owner chose this node to replace it */
	GHashTable *waiting_jobs; /* queue -> number of waiting jobs */
	/* evacuation of the failure domain, see node_evacuation.c: */
	bool evacuated;
	uint64_t evacuation_revision; /* of the last change; 0: there was none */
	int64_t evacuation_changed_ms; /* when the last change was read */
	int64_t start_until_ms; /* if evacuated: until when an owner may start tasks */
	/* racks of its executors, see node_racks.c; also set for an owned cell */
	GHashTable *racks; /* set of hashes */
	uint64_t racks_version; /* of the set; 0: unknown */
	uint64_t racks_token; /* of the owner whose pong was used last */
	int64_t racks_owner_ms; /* that pong's time */
	/* used while this node owns the cell: */
	struct waxwing_cell *owned; /* null: this node is not the owner */
	struct waxwing_journal *journal; /* null: this node is not the owner */
	char *owner_key;
	int64_t no_local_ms; /* when the cell's own domain last had no node that could own it */
	uint64_t first_token; /* fencing token with which this node took the cell over */
	uint64_t held_token; /* fencing token of this node's ownership */
	uint64_t ownership_id; /* distinguishes answers to orders of an earlier ownership */
	GHashTable *issuers; /* sender -> struct issuer */
	int64_t taken_ms; /* when this node took the cell over */
	/* token since which each owner has released the cell; 0: the former owner did not */
	uint64_t orderly_since;
	/*
	 * hashes of the ids of executors that are not known but where former owners' leases may
	 * last, or ends are not recorded; null: there are none, or the former owner did not name them
	 */
	GHashTable *unknown_leased;
	int64_t unknown_leases_expire_ms;
	uint64_t fenced_token; /* token that an executor or the journal has reported as outdated */
};

/* A node that offers jobs to an owned cell. */
struct issuer {
	uint64_t sender;
	/* the owner's clock when it sent the last message that the issuer has received */
	int64_t echo_ms;
	/* the issuer no longer receives the owner's messages; its jobs were stopped */
	bool is_unresponsive;
	uint32_t claim_delay_ms; /* how long it would wait before it claims the cell */
	uint64_t racks_version; /* version of the racks in the last pong sent to it */
	int64_t racks_sent_ms; /* when a pong with that version was first sent */
};

/* A caller's job that has not been answered. */
struct pending_job {
	uint64_t id;
	Waxwing__Job *job;
	struct waxwing_job_waiter *waiters; /* linked by next */
	struct node_cell *cell; /* null: no cell is chosen yet */
	uint64_t offered_token; /* the owner's token at the last offer */
	uint64_t former_token; /* the owner's token at the first offer to the cell */
	int64_t arrived_ms;
	int64_t offered_ms;
	bool accepted;
	bool offered_to_former_owner; /* an earlier owner of the cell may have started the job */
	bool may_have_run; /* the job was offered to an owner that gave no verdict */
	bool moved_after_refusal; /* the job was moved once after a refusal for load */
	/* bit i is set if the cell with index i refused the job */
	uint32_t refused_cells;
	bool too_late; /* this node leaves before the job could end; nothing was offered */
	bool may_be_stored; /* durable job: a cell that gave no verdict may still store it */
};

struct waxwing_node {
	struct waxwing_node_options options;
	const struct waxwing_clock *clock;
	struct waxwing_wall_offset day;
	struct waxwing_link *link;
	struct waxwing_store_watch *routing_watch;
	struct waxwing_store_watch *owner_watch;
	struct waxwing_store_watch *executor_watch;
	struct waxwing_routing *routing;
	GPtrArray *cells; /* struct node_cell */
	GHashTable *pending_jobs; /* id -> struct pending_job */
	GPtrArray *routing_waiters; /* struct waxwing_routing_waiter */
	GHashTable *withdrawals; /* job id -> struct withdrawal */
	GPtrArray *queries; /* struct pending_query */
	GPtrArray *query_answers; /* struct query_answer, processed after the cells have run */
	/* key -> struct waxwing_store_item, passed to newly owned cells; see node_entries.c */
	GHashTable *executor_entries;
	int64_t entries_wanted_ms; /* when this node last needed the executors' entries */
	uint64_t incarnation;
	uint64_t next_ownership_id;
	int64_t last_run_ms;
	int64_t store_reached_ms;
	int64_t store_lost_ms; /* start of the store's outage; 0: the store answers */
	GPtrArray *verdicts; /* struct queued_verdict, processed after the cells have run */
	int64_t last_durable_job_ms; /* arrival of the last durable job; 0: none */
	bool leaving;
	int64_t leave_by_ms; /* if leaving: when the process exits */
	bool has_events; /* a cell has had events since it last ran */
	struct waxwing_histogram
		answer_ms[WAXWING_JOB_STORED + 1]; /* time from arrival to answer, by outcome */
	uint64_t not_completed_by_reason[WAXWING_ERROR_COUNT]; /* number of jobs */
	int64_t routing_since_ms;
	uint64_t submitted;
	uint64_t completed;
	uint64_t not_completed;
	uint64_t takeovers;
	uint64_t withdrawals_unconfirmed;
	uint64_t evacuations_refused; /* changes that named an unknown failure domain */
	uint64_t refused_evacuated; /* jobs refused because all failure domains were evacuated */
};

/* node_cells.c */
void node_cells_create(struct waxwing_node *node);
void node_cells_destroy(struct waxwing_node *node);
void node_cells_run(struct waxwing_node *node, int64_t now_ms);
bool node_cell_reachable(const struct node_cell *cell, int64_t now_ms);
void node_send(struct node_cell *cell, Waxwing__NodeMessage *message);
struct node_cell *node_cell_find(struct waxwing_node *node, const char *name);

/* node_racks.c: which racks the executors of each cell have */
void node_racks_create(struct node_cell *cell);
void node_racks_destroy(struct node_cell *cell);
/* Sets the pong's fields; the caller frees the returned array after the pong was sent. */
GArray *node_racks_describe(const struct node_cell *cell, struct issuer *issuer,
			    Waxwing__CellPong *pong, int64_t now_ms);
void node_racks_handle_pong(struct node_cell *cell, const Waxwing__CellPong *pong);
void node_racks_refresh_owned(struct node_cell *cell);
double node_racks_far_cost_ms(const struct node_cell *cell, const Waxwing__Job *job);

/* node_owner.c */
void node_owner_begin(struct node_cell *cell, uint64_t token);
void node_owner_end(struct node_cell *cell);
void node_owner_run(struct node_cell *cell, int64_t now_ms);
void node_owner_offer(struct node_cell *cell, uint64_t sender, Waxwing__JobOffer *offer);
void node_owner_message(struct node_cell *cell, uint64_t sender, Waxwing__NodeMessage *message);
bool node_owner_rejects_durable_jobs(const struct node_cell *cell);

/* node_release.c: what an owner that releases its cell tells its successor */
void node_release_describe(void *data, Waxwing__CellOwner *release);
void node_release_adopt(struct node_cell *cell, const Waxwing__CellOwner *release);
void node_release_executor_found(struct node_cell *cell, const char *executor_id);
void node_release_run(struct node_cell *cell, int64_t now_ms);
void node_release_forget(struct node_cell *cell);

/* node_routing.c */
void node_routing_changed(void *data, const struct waxwing_store_item *item);
void node_routing_run(struct waxwing_node *node, int64_t now_ms);

/* node_evacuation.c: failure domains that the operator has evacuated */
char *node_evacuation_watch_prefix(const struct waxwing_node_options *options);
bool node_evacuation_changed(struct waxwing_node *node, const struct waxwing_store_item *item);
bool node_evacuation_of_all(const struct waxwing_node *node);
void node_evacuation_apply(struct node_cell *cell, int64_t now_ms);
void node_evacuation_print(const struct waxwing_node *node, GString *text, int64_t now_ms);

/* node_entries.c: the executors' entries, which only owners and their standbys follow */
void node_entries_create(struct waxwing_node *node);
void node_entries_destroy(struct waxwing_node *node);
void node_entries_run(struct waxwing_node *node, int64_t now_ms);
bool node_entries_known(const struct waxwing_node *node);
void node_entries_use(struct waxwing_node *node);
bool node_entries_is_standby(const struct node_cell *cell, const struct issuer *issuer);
void node_entries_changed(void *data, const struct waxwing_store_item *item);

/* node_withdrawals.c */
void node_withdrawals_create(struct waxwing_node *node);
void node_withdrawals_destroy(struct waxwing_node *node);
void node_withdrawals_add(struct node_cell *cell, uint64_t job);
void node_withdrawals_remove(struct node_cell *cell, uint64_t job);
struct node_cell *node_withdrawals_find(struct waxwing_node *node, uint64_t job, int64_t now_ms);
void node_withdrawals_run(struct waxwing_node *node, int64_t now_ms);

/* node_jobs.c */
void node_jobs_run(struct waxwing_node *node, int64_t now_ms);
void node_jobs_add_verdict(struct node_cell *cell, const Waxwing__JobVerdict *verdict);
void node_jobs_process_verdicts(struct waxwing_node *node);
void node_jobs_set_accepted(struct node_cell *cell, uint64_t job);
void node_pending_job_free(gpointer value);

/* node_queries.c */
void node_queries_run(struct waxwing_node *node, int64_t now_ms);
void node_queries_abort(struct waxwing_node *node);
void node_queries_add_answer(struct node_cell *cell, const Waxwing__JobTold *told);
void node_queries_process_answers(struct waxwing_node *node);

/* Returns the cell's bit in a bit set of cells. */
static inline uint32_t node_cell_bit(const struct node_cell *cell)
{
	return 1U << cell->index;
}

/* Returns the time of day minus the node's clock, in ms. */
static inline int64_t node_day_offset(struct waxwing_node *node)
{
	return waxwing_wall_offset_update(&node->day, waxwing_clock_now(node->clock),
					  waxwing_clock_now(node->options.day_clock));
}

static inline int64_t node_now(const struct waxwing_node *node)
{
	return waxwing_clock_now(node->clock);
}

#endif

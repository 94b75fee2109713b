/**
 * Weighted fair queueing: shares are served in proportion to their weights while they have work.
 *
 * Each share has a virtual time, the service it received divided by its weight; the share with the
 * lowest virtual time is served first. A share that becomes active is raised to the lowest virtual
 * time of the active ones, so that it gains no credit while idle. Shares are embedded in a struct
 * of the caller, which owns them. Not thread-safe.
 */
#ifndef WAXWING_FAIR_H
#define WAXWING_FAIR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct waxwing_share {
	double virtual_time; /**< service received divided by the weight */
	uint32_t weight; /**< at least 1 */
	bool active; /**< has work */
	uint64_t number; /**< order of creation, which breaks ties */
};

struct waxwing_fair_queue {
	GTree *active; /**< struct waxwing_share, by virtual time */
	uint64_t active_weight; /**< sum of the weights of the active shares */
	double min_virtual_time; /**< lowest virtual time of the active shares; never decreases */
	uint64_t last_number;
};

void waxwing_fair_init(struct waxwing_fair_queue *queue);
void waxwing_fair_clear(struct waxwing_fair_queue *queue);

void waxwing_share_init(struct waxwing_fair_queue *queue, struct waxwing_share *share,
			uint32_t weight);

void waxwing_fair_set_weight(struct waxwing_fair_queue *queue, struct waxwing_share *share,
			     uint32_t weight);

/** Mark a share as having work, or as having none. */
void waxwing_fair_activate(struct waxwing_fair_queue *queue, struct waxwing_share *share);
void waxwing_fair_deactivate(struct waxwing_fair_queue *queue, struct waxwing_share *share);

/**
 * Adds @amount to the service that a share received; a negative amount corrects an overestimate.
 */
void waxwing_fair_charge(struct waxwing_fair_queue *queue, struct waxwing_share *share,
			 double amount);

/** Returns the node of the active share with the lowest virtual time; null when there is none. */
static inline GTreeNode *waxwing_fair_first(const struct waxwing_fair_queue *queue)
{
	return g_tree_node_first(queue->active);
}

#endif

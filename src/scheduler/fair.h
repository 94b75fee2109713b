/**
 * Weighted fair choice: shares are served in proportion to their weights while they have work.
 *
 * Each share counts what it was served, divided by its weight; the one with the least comes first. A
 * share that was idle starts level with the least served of the busy ones, so it neither owes nor saves.
 * Shares are embedded in their owner's struct, which owns them. No clock; not thread-safe.
 */
#ifndef WAXWING_FAIR_H
#define WAXWING_FAIR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct waxwing_share {
	double served; /**< over its weight */
	uint32_t weight; /**< at least 1 */
	bool active;
	uint64_t number; /**< breaks ties */
};

struct waxwing_fair {
	GTree *active; /**< struct waxwing_share, the least served first */
	uint64_t weights; /**< of the active */
	double floor; /**< what the least served has had; never falls */
	uint64_t last_number;
};

void waxwing_fair_init(struct waxwing_fair *fair);
void waxwing_fair_clear(struct waxwing_fair *fair);

void waxwing_share_init(struct waxwing_fair *fair, struct waxwing_share *share, uint32_t weight);

void waxwing_fair_set_weight(struct waxwing_fair *fair, struct waxwing_share *share,
			     uint32_t weight);

/** Says that a share has work, or that it has none. */
void waxwing_fair_activate(struct waxwing_fair *fair, struct waxwing_share *share);
void waxwing_fair_deactivate(struct waxwing_fair *fair, struct waxwing_share *share);

/** Counts service, or takes back (@amount below zero) what was counted too much. */
void waxwing_fair_charge(struct waxwing_fair *fair, struct waxwing_share *share, double amount);

/** The node of the least served share with work; null when there is none. */
static inline GTreeNode *waxwing_fair_first(const struct waxwing_fair *fair)
{
	return g_tree_node_first(fair->active);
}

#endif

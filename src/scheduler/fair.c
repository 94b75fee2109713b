#include "fair.h"

static int compare_served(const void *a, const void *b, void *data)
{
	const struct waxwing_share *left = a;
	const struct waxwing_share *right = b;

	(void)data;
	if (left->served != right->served)
		return left->served < right->served ? -1 : 1;
	return (left->number > right->number) - (left->number < right->number);
}

void waxwing_fair_init(struct waxwing_fair *fair)
{
	fair->active = g_tree_new_full(compare_served, NULL, NULL, NULL);
	fair->weights = 0;
	fair->floor = 0;
	fair->last_number = 0;
}

void waxwing_fair_clear(struct waxwing_fair *fair)
{
	g_tree_destroy(fair->active);
}

void waxwing_share_init(struct waxwing_fair *fair, struct waxwing_share *share, uint32_t weight)
{
	*share = (struct waxwing_share){
		.served = fair->floor,
		.weight = MAX(weight, 1),
		.number = ++fair->last_number,
	};
}

void waxwing_fair_set_weight(struct waxwing_fair *fair, struct waxwing_share *share,
			     uint32_t weight)
{
	weight = MAX(weight, 1);
	if (share->active)
		fair->weights += (uint64_t)weight - share->weight;
	share->weight = weight;
}

static void raise_floor(struct waxwing_fair *fair)
{
	GTreeNode *first = g_tree_node_first(fair->active);
	const struct waxwing_share *share = first ? g_tree_node_value(first) : NULL;

	if (share)
		fair->floor = MAX(fair->floor, share->served);
}

void waxwing_fair_activate(struct waxwing_fair *fair, struct waxwing_share *share)
{
	if (share->active)
		return;
	share->served = MAX(share->served, fair->floor);
	share->active = true;
	fair->weights += share->weight;
	g_tree_insert(fair->active, share, share);
}

void waxwing_fair_deactivate(struct waxwing_fair *fair, struct waxwing_share *share)
{
	if (!share->active)
		return;
	g_tree_remove(fair->active, share);
	share->active = false;
	fair->weights -= share->weight;
	raise_floor(fair);
}

void waxwing_fair_charge(struct waxwing_fair *fair, struct waxwing_share *share, double amount)
{
	if (share->active)
		g_tree_remove(fair->active, share);
	share->served += amount / share->weight;
	if (share->active)
		g_tree_insert(fair->active, share, share);
	raise_floor(fair);
}

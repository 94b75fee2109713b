#include "fair.h"

static int compare_virtual_time(const void *a, const void *b, void *data)
{
	const struct waxwing_share *left = a;
	const struct waxwing_share *right = b;

	(void)data;
	if (left->virtual_time != right->virtual_time)
		return left->virtual_time < right->virtual_time ? -1 : 1;
	return (left->number > right->number) - (left->number < right->number);
}

void waxwing_fair_init(struct waxwing_fair_queue *queue)
{
	queue->active = g_tree_new_full(compare_virtual_time, NULL, NULL, NULL);
	queue->active_weight = 0;
	queue->min_virtual_time = 0;
	queue->last_number = 0;
}

void waxwing_fair_clear(struct waxwing_fair_queue *queue)
{
	g_tree_destroy(queue->active);
}

void waxwing_share_init(struct waxwing_fair_queue *queue, struct waxwing_share *share,
			uint32_t weight)
{
	*share = (struct waxwing_share){
		.virtual_time = queue->min_virtual_time,
		.weight = MAX(weight, 1),
		.number = ++queue->last_number,
	};
}

void waxwing_fair_set_weight(struct waxwing_fair_queue *queue, struct waxwing_share *share,
			     uint32_t weight)
{
	weight = MAX(weight, 1);
	if (share->active)
		queue->active_weight += (uint64_t)weight - share->weight;
	share->weight = weight;
}

static void update_min_virtual_time(struct waxwing_fair_queue *queue)
{
	GTreeNode *first = g_tree_node_first(queue->active);
	const struct waxwing_share *share = first ? g_tree_node_value(first) : NULL;

	if (share)
		queue->min_virtual_time = MAX(queue->min_virtual_time, share->virtual_time);
}

void waxwing_fair_activate(struct waxwing_fair_queue *queue, struct waxwing_share *share)
{
	if (share->active)
		return;
	share->virtual_time = MAX(share->virtual_time, queue->min_virtual_time);
	share->active = true;
	queue->active_weight += share->weight;
	g_tree_insert(queue->active, share, share);
}

void waxwing_fair_deactivate(struct waxwing_fair_queue *queue, struct waxwing_share *share)
{
	if (!share->active)
		return;
	g_tree_remove(queue->active, share);
	share->active = false;
	queue->active_weight -= share->weight;
	update_min_virtual_time(queue);
}

void waxwing_fair_charge(struct waxwing_fair_queue *queue, struct waxwing_share *share,
			 double amount)
{
	if (share->active)
		g_tree_remove(queue->active, share);
	share->virtual_time += amount / share->weight;
	if (share->active)
		g_tree_insert(queue->active, share, share);
	update_min_virtual_time(queue);
}

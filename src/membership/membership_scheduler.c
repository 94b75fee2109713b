/*
 * Which instance schedules each cell: by the highest hash, among those that can be reached.
 */
#include "membership_state.h"

static uint64_t weight_of(const struct waxwing_membership *membership, uint32_t cell,
			  uint64_t incarnation)
{
	struct waxwing_str bytes = { sizeof(incarnation), (const char *)&incarnation };

	return waxwing_str_hash(bytes, waxwing_str_hash(waxwing_str(membership->domain), cell));
}

/** Whether a member may schedule: alive, staying, and heard from itself, so that it can be reached. */
static bool may_schedule(const struct waxwing_member_record *member, int64_t now_ms,
			 int64_t direct_ms)
{
	return member->own_domain && member->alive && !member->leaving &&
	       member->direct_ms != INT64_MIN && now_ms - member->direct_ms < direct_ms;
}

/** A scheduler that was in touch and fell silent must be heard from itself before it counts again. */
static void drop_silent_scheduler(struct waxwing_membership *membership, int64_t now_ms,
				  uint32_t cell)
{
	struct waxwing_member_record *member =
		waxwing_member_find(membership, membership->schedulers[cell]);

	if (!member || member->contact_ms == INT64_MIN ||
	    now_ms - MAX(member->contact_ms, member->direct_ms) < membership->dead_after_ms)
		return;
	member->contact_ms = INT64_MIN;
	member->direct_ms = INT64_MIN;
}

/** A new scheduler is in touch from its next batch on. */
static void scheduler_changed(struct waxwing_membership *membership, uint32_t cell,
			      uint64_t scheduler)
{
	struct waxwing_member_record *member = waxwing_member_find(membership, scheduler);

	if (member)
		member->contact_ms = INT64_MIN;
	membership->schedulers[cell] = scheduler;
	membership->changed = true;
}

static void choose_scheduler(struct waxwing_membership *membership, int64_t now_ms, uint32_t cell,
			     int64_t direct_ms)
{
	uint64_t best = membership->leaving ? 0 : membership->incarnation;
	uint64_t best_weight = weight_of(membership, cell, best);

	for (guint i = 0; i < membership->members->len; i++) {
		const struct waxwing_member_record *member = waxwing_member_at(membership, i);
		uint64_t weight = weight_of(membership, cell, member->incarnation);

		if (!may_schedule(member, now_ms, direct_ms) || (best && weight <= best_weight))
			continue;
		best = member->incarnation;
		best_weight = weight;
	}
	if (!best)
		best = membership->incarnation;
	if (best != membership->schedulers[cell])
		scheduler_changed(membership, cell, best);
}

void waxwing_membership_choose_schedulers(struct waxwing_membership *membership, int64_t now_ms,
					  int64_t direct_ms)
{
	for (uint32_t cell = 0; cell < membership->cells; cell++) {
		drop_silent_scheduler(membership, now_ms, cell);
		choose_scheduler(membership, now_ms, cell, direct_ms);
	}
}

uint64_t waxwing_membership_scheduler(const struct waxwing_membership *membership, uint32_t cell)
{
	return membership->schedulers[cell];
}

void waxwing_membership_set_cells(struct waxwing_membership *membership, uint32_t cells)
{
	membership->schedulers = g_renew(uint64_t, membership->schedulers, cells);
	for (uint32_t cell = membership->cells; cell < cells; cell++)
		membership->schedulers[cell] = membership->incarnation;
	membership->cells = cells;
}

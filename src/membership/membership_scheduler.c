/*
 * Selects the instance that schedules each cell by rendezvous hashing: the reachable instance with
 * the highest hash of domain, cell and incarnation.
 */
#include "membership_state.h"

static uint64_t scheduler_weight(const struct waxwing_membership *membership, uint32_t cell,
				 uint64_t incarnation)
{
	struct waxwing_str bytes = { sizeof(incarnation), (const char *)&incarnation };

	return waxwing_str_hash(bytes, waxwing_str_hash(waxwing_str(membership->domain), cell));
}

/**
 * Whether a member may schedule: it is alive, not leaving, and was heard from directly, so it is
 * reachable.
 */
static bool may_schedule(const struct waxwing_member_record *member, int64_t now_ms,
			 int64_t direct_ms)
{
	return member->own_domain && member->alive && !member->leaving &&
	       member->direct_ms != INT64_MIN && now_ms - member->direct_ms < direct_ms;
}

/**
 * Makes a scheduler that had sent batches and then became unresponsive ineligible until it is heard
 * from directly. Its batch_ms is reset too, so that it isn't checked again until its next batch.
 */
static void drop_unresponsive_scheduler(struct waxwing_membership *membership, int64_t now_ms,
					uint32_t cell)
{
	struct waxwing_member_record *member =
		waxwing_member_find(membership, membership->schedulers[cell]);

	if (!member || member->batch_ms == INT64_MIN ||
	    now_ms - MAX(member->batch_ms, member->direct_ms) < membership->dead_after_ms)
		return;
	member->batch_ms = INT64_MIN;
	member->direct_ms = INT64_MIN;
}

/**
 * Sets a cell's scheduler. Resets its batch_ms, since a new scheduler is checked only after its
 * first batch.
 */
static void set_scheduler(struct waxwing_membership *membership, uint32_t cell, uint64_t scheduler)
{
	struct waxwing_member_record *member = waxwing_member_find(membership, scheduler);

	if (member)
		member->batch_ms = INT64_MIN;
	membership->schedulers[cell] = scheduler;
	membership->changed = true;
}

static void choose_scheduler(struct waxwing_membership *membership, int64_t now_ms, uint32_t cell,
			     int64_t direct_ms)
{
	uint64_t best = membership->leaving ? 0 : membership->incarnation;
	uint64_t best_weight = scheduler_weight(membership, cell, best);

	for (guint i = 0; i < membership->members->len; i++) {
		const struct waxwing_member_record *member = waxwing_member_at(membership, i);
		uint64_t weight = scheduler_weight(membership, cell, member->incarnation);

		if (!may_schedule(member, now_ms, direct_ms) || (best && weight <= best_weight))
			continue;
		best = member->incarnation;
		best_weight = weight;
	}
	if (!best)
		best = membership->incarnation;
	if (best != membership->schedulers[cell])
		set_scheduler(membership, cell, best);
}

void waxwing_membership_choose_schedulers(struct waxwing_membership *membership, int64_t now_ms,
					  int64_t direct_ms)
{
	for (uint32_t cell = 0; cell < membership->cells; cell++) {
		drop_unresponsive_scheduler(membership, now_ms, cell);
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

/*
 * Failure detection by watchers. Each member sends all its heartbeats to a few watchers in its
 * domain, which are selected by rendezvous hashing. A watcher that no longer hears from the member
 * reports it unresponsive in the watcher's heartbeats. A member that receives reports of
 * WAXWING_DEAD_REPORTS watchers considers the reported member dead.
 *
 * A report carries the sequence of the last heartbeat known. It is ignored by a receiver that knows
 * of a heartbeat too much later to have been in transit, and after the member has been heard from
 * again. Reports whose sequences are far apart are about different failures and aren't added up.
 */
#include "membership_state.h"

/** Number of heartbeats by which sequences may differ because heartbeats are in transit. */
#define SEQUENCE_SLACK 6
/** Number of heartbeats sent to a former watcher, so that it learns that it was deselected. */
#define UNWATCH_ROUNDS 4
/** Number of heartbeats that carry news of an unresponsive member before other news. */
#define UNRESPONSIVE_NEWS_ROUNDS 12

/** Folds an incarnation to the 32 bits that identify a watcher in a report. */
static uint32_t fold_incarnation(uint64_t incarnation)
{
	return (uint32_t)(incarnation ^ incarnation >> 32);
}

static uint64_t watcher_weight(const struct waxwing_membership *membership,
			       const struct waxwing_member_record *member)
{
	struct waxwing_str bytes = { sizeof(member->incarnation),
				     (const char *)&member->incarnation };

	return waxwing_str_hash(bytes, membership->incarnation);
}

static bool may_watch(const struct waxwing_membership *membership,
		      const struct waxwing_member_record *member)
{
	return member->own_domain && member->alive && !member->leaving &&
	       strcmp(member->peer_address, membership->peer_address) != 0;
}

/** Returns the eligible member with the highest weight below @below; null if there is none. */
static struct waxwing_member_record *next_watcher(const struct waxwing_membership *membership,
						  uint64_t below)
{
	struct waxwing_member_record *best = NULL;
	uint64_t best_weight = 0;

	for (guint i = 0; i < membership->members->len; i++) {
		struct waxwing_member_record *member = waxwing_member_at(membership, i);
		uint64_t weight = watcher_weight(membership, member);

		if (!may_watch(membership, member) || weight >= below || weight < best_weight)
			continue;
		best = member;
		best_weight = weight;
	}
	return best;
}

void waxwing_watch_choose(struct waxwing_membership *membership)
{
	struct waxwing_member_record *chosen[WAXWING_WATCHERS];
	uint64_t below = UINT64_MAX;
	size_t count = 0;

	while (count < WAXWING_WATCHERS &&
	       (chosen[count] = next_watcher(membership, below)) != NULL)
		below = watcher_weight(membership, chosen[count++]);
	for (guint i = 0; i < membership->members->len; i++) {
		struct waxwing_member_record *member = waxwing_member_at(membership, i);

		if (member->is_watcher)
			member->unwatch_rounds = UNWATCH_ROUNDS;
		member->is_watcher = false;
	}
	for (size_t i = 0; i < count; i++) {
		chosen[i]->is_watcher = true;
		chosen[i]->unwatch_rounds = 0;
	}
}

void waxwing_watch_check(struct waxwing_membership *membership,
			 struct waxwing_member_record *member, int64_t now_ms)
{
	/*
	 * An instance that has never heard from the member directly can't tell that it became
	 * unresponsive.
	 */
	if (!member->watched || !member->alive || member->direct_ms == INT64_MIN ||
	    member->sequence >= member->direct_sequence + SEQUENCE_SLACK ||
	    now_ms - member->direct_ms < (int64_t)membership->dead_after_ms)
		return;
	waxwing_watch_add_report(membership, member, member->sequence,
				 fold_incarnation(membership->incarnation));
}

static bool has_reported(const struct waxwing_unresponsive_reports *reports, uint32_t reporter)
{
	for (size_t i = 0; i < reports->count; i++)
		if (reports->reporters[i] == reporter)
			return true;
	return false;
}

void waxwing_watch_add_report(struct waxwing_membership *membership,
			      struct waxwing_member_record *member, uint64_t sequence,
			      uint32_t reporter)
{
	struct waxwing_unresponsive_reports *reports = &member->unresponsive_reports;

	if (sequence < reports->refuted || member->sequence >= sequence + SEQUENCE_SLACK ||
	    sequence + 2 * SEQUENCE_SLACK <= reports->sequence)
		return;
	if (sequence >= reports->sequence + 2 * SEQUENCE_SLACK)
		reports->count = 0;
	if (reports->count == WAXWING_DEAD_REPORTS || has_reported(reports, reporter))
		return;
	reports->reporters[reports->count++] = reporter;
	reports->sequence = MAX(reports->sequence, sequence);
	member->news_rounds = UNRESPONSIVE_NEWS_ROUNDS;
	if (reports->count == WAXWING_DEAD_REPORTS)
		waxwing_member_set_alive(membership, member, false);
}

bool waxwing_watch_is_stale(const struct waxwing_member_record *member, uint64_t sequence)
{
	return member->unresponsive_reports.count == WAXWING_DEAD_REPORTS &&
	       sequence < member->unresponsive_reports.sequence + SEQUENCE_SLACK;
}

void waxwing_watch_refute(struct waxwing_member_record *member, uint64_t sequence)
{
	if (member->unresponsive_reports.count < WAXWING_DEAD_REPORTS)
		return;
	member->unresponsive_reports.count = 0;
	member->unresponsive_reports.refuted =
		MAX(sequence, member->unresponsive_reports.sequence + 1);
}

void waxwing_watch_fill_news(struct waxwing_member_record *member, Waxwing__MemberNews *news)
{
	struct waxwing_unresponsive_reports *reports = &member->unresponsive_reports;

	if (!reports->count || member->sequence >= reports->sequence + SEQUENCE_SLACK)
		return;
	news->sequence = reports->sequence;
	news->n_silent_to = reports->count;
	news->silent_to = reports->reporters;
}

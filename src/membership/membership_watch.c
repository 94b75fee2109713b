/*
 * Fixed watchers: each member sends every heartbeat to the few of its domain that its incarnation and
 * theirs draw, and these tell of its silence. Two of them make it dead for whoever hears of it.
 *
 * A word names the last sequence heard. It counts for nobody who knows of a later heartbeat than could have
 * been under way, nor once the member was heard again; words far apart are about different silences.
 */
#include "membership_state.h"

/** Heartbeats by which a living member may be ahead of a watcher that calls it silent. */
#define SLACK 6
/** Heartbeats that still go to a former watcher, so that it knows. */
#define RELEASE_ROUNDS 4
/** Heartbeats that name a silent member before any other. */
#define TELL_SILENT 12

static uint32_t fold(uint64_t incarnation)
{
	return (uint32_t)(incarnation ^ incarnation >> 32);
}

static uint64_t weight_of(const struct waxwing_membership *membership,
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

/** The heaviest member that may watch and is lighter than the one before; null when there is none. */
static struct waxwing_member_record *next_watcher(const struct waxwing_membership *membership,
						  uint64_t below)
{
	struct waxwing_member_record *best = NULL;
	uint64_t best_weight = 0;

	for (guint i = 0; i < membership->members->len; i++) {
		struct waxwing_member_record *member = waxwing_member_at(membership, i);
		uint64_t weight = weight_of(membership, member);

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
		below = weight_of(membership, chosen[count++]);
	for (guint i = 0; i < membership->members->len; i++) {
		struct waxwing_member_record *member = waxwing_member_at(membership, i);

		if (member->watches)
			member->release_rounds = RELEASE_ROUNDS;
		member->watches = false;
	}
	for (size_t i = 0; i < count; i++) {
		chosen[i]->watches = true;
		chosen[i]->release_rounds = 0;
	}
}

void waxwing_watch_review(struct waxwing_membership *membership,
			  struct waxwing_member_record *member, int64_t now_ms)
{
	/* who has never heard it is no witness of its silence */
	if (!member->watched || !member->alive || member->direct_ms == INT64_MIN ||
	    member->sequence >= member->direct_sequence + SLACK ||
	    now_ms - member->direct_ms < (int64_t)membership->dead_after_ms)
		return;
	waxwing_watch_silent(membership, member, member->sequence, fold(membership->incarnation));
}

static bool is_witness(const struct waxwing_silence *silence, uint32_t witness)
{
	for (size_t i = 0; i < silence->count; i++)
		if (silence->witnesses[i] == witness)
			return true;
	return false;
}

void waxwing_watch_silent(struct waxwing_membership *membership,
			  struct waxwing_member_record *member, uint64_t sequence, uint32_t witness)
{
	struct waxwing_silence *silence = &member->silence;

	if (sequence < silence->refuted || member->sequence >= sequence + SLACK ||
	    sequence + 2 * SLACK <= silence->sequence)
		return;
	if (sequence >= silence->sequence + 2 * SLACK)
		silence->count = 0;
	if (silence->count == WAXWING_WITNESSES || is_witness(silence, witness))
		return;
	silence->witnesses[silence->count++] = witness;
	silence->sequence = MAX(silence->sequence, sequence);
	member->tell_rounds = TELL_SILENT;
	if (silence->count == WAXWING_WITNESSES)
		waxwing_member_set_alive(membership, member, false);
}

bool waxwing_watch_stale(const struct waxwing_member_record *member, uint64_t sequence)
{
	return member->silence.count == WAXWING_WITNESSES &&
	       sequence < member->silence.sequence + SLACK;
}

void waxwing_watch_refute(struct waxwing_member_record *member, uint64_t sequence)
{
	if (member->silence.count < WAXWING_WITNESSES)
		return;
	member->silence.count = 0;
	member->silence.refuted = MAX(sequence, member->silence.sequence + 1);
}

void waxwing_watch_tell(struct waxwing_member_record *member, Waxwing__MemberNews *news)
{
	struct waxwing_silence *silence = &member->silence;

	if (!silence->count || member->sequence >= silence->sequence + SLACK)
		return;
	news->sequence = silence->sequence;
	news->n_silent_to = silence->count;
	news->silent_to = silence->witnesses;
}

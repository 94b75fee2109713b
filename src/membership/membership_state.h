/**
 * Internal state of the membership, shared by the membership_*.c files: membership.c maintains it,
 * the others build heartbeats, detect failures, select schedulers and release unused peer
 * addresses.
 */
#ifndef WAXWING_MEMBERSHIP_STATE_H
#define WAXWING_MEMBERSHIP_STATE_H

#include "membership.h"
#include "membership_upstream.h"

#include <glib.h>

/** Maximum numbers of members, leaving upstreams and inherited incarnations in one heartbeat. */
#define WAXWING_NEWS_MAX		2
#define WAXWING_LEAVING_MAX		16
#define WAXWING_HEARTBEAT_INHERITED_MAX 4
/**
 * How long heartbeats are still sent to an unresponsive member that is no longer listed, and how
 * long a successor claim that isn't repeated is kept.
 */
#define WAXWING_PROBE_MS (10 * 60 * 1000)
/** Number of watchers of a member: members of its domain that get each of its heartbeats. */
#define WAXWING_WATCHERS 3
/** Number of watchers that must report a member unresponsive before it is considered dead. */
#define WAXWING_DEAD_REPORTS 2

/**
 * Watchers' reports that a member is unresponsive. Each carries the sequence of the last heartbeat
 * known to the watcher.
 */
struct waxwing_unresponsive_reports {
	uint64_t sequence; /**< highest sequence among the reports */
	uint64_t refuted; /**< reports of a lower sequence are ignored */
	/** folded incarnations of the reporting watchers */
	uint32_t reporters[WAXWING_DEAD_REPORTS];
	size_t count;
};

struct waxwing_member_record {
	char *name;
	char *domain;
	char *peer_address;
	char *http_address;
	uint64_t incarnation; /**< 0 if known from the platform's list only */
	uint64_t sequence; /**< highest heartbeat sequence known, directly or through gossip */
	uint64_t direct_sequence; /**< highest heartbeat sequence received directly */
	uint64_t settings_revision;
	uint64_t successor; /**< incarnation of the successor; 0 if unknown */
	int64_t heard_ms; /**< time of the last sign of life, direct or through gossip */
	/**
	 * Time of the last direct message; INT64_MIN if there was none since the member was
	 * added or dropped as an unresponsive scheduler.
	 */
	int64_t direct_ms;
	/**
	 * Time of the last batch other than a heartbeat; INT64_MIN if there was none since the
	 * member was selected as a scheduler or dropped as unresponsive.
	 */
	int64_t batch_ms;
	struct waxwing_unresponsive_reports unresponsive_reports;
	uint32_t unwatch_rounds; /**< number of heartbeats still to send to a former watcher */
	/** number of heartbeats still to carry news of it before other news */
	uint32_t news_rounds;
	bool own_domain;
	bool is_watcher; /**< selected as a watcher of this instance */
	bool watched; /**< selected this instance as a watcher, according to its last heartbeat */
	bool listed;
	bool leaving;
	bool alive;
	bool superseded; /**< another incarnation has been heard from at its address */
	bool address_released; /**< its address was queued in released_addresses */
};

/** A member's statement that it has inherited an incarnation that left. */
struct waxwing_successor_claim {
	uint64_t incarnation; /**< incarnation that left */
	uint64_t successor; /**< incarnation of the member that inherited it */
	int64_t heard_ms;
};

struct waxwing_membership {
	char *name;
	char *domain;
	char *http_address;
	char *peer_address;
	uint64_t incarnation;
	uint32_t heartbeat_ms;
	uint32_t dead_after_ms;
	uint32_t fan_out;
	GRand *random;
	GPtrArray *members; /**< struct waxwing_member_record */
	GHashTable *by_incarnation;
	GPtrArray
		*released_addresses; /**< char *, for waxwing_membership_take_released_address() */
	struct waxwing_upstreams *upstreams;
	/** incarnation that left -> struct waxwing_successor_claim */
	GHashTable *successor_claims;
	uint64_t inherited[WAXWING_MEMBERSHIP_INHERITED_MAX];
	size_t inherited_count;
	size_t next_inherited;
	bool leaving;
	bool changed;
	uint64_t successor;
	uint64_t settings_revision;
	uint64_t sequence;
	uint64_t *schedulers; /**< incarnation of each cell's scheduler, by cell index */
	uint32_t cells;
	int64_t tick_ms;
	int64_t next_heartbeat_ms;
	/** Indexes in @members at which the searches for the next target of each kind start. */
	guint next_own_domain;
	guint next_other_domain;
	guint next_unresponsive;
	guint next_changed; /**< index in @members at which the search for news starts */
	/* Storage that the last heartbeat points to. */
	Waxwing__MemberNews news[WAXWING_NEWS_MAX];
	Waxwing__MemberNews *news_pointers[WAXWING_NEWS_MAX];
	char *leaving_names[WAXWING_LEAVING_MAX];
	uint64_t heartbeat_inherited[WAXWING_HEARTBEAT_INHERITED_MAX];
};

static inline struct waxwing_member_record *
waxwing_member_at(const struct waxwing_membership *membership, guint index)
{
	return g_ptr_array_index(membership->members, index);
}

/** Finds a member by incarnation; returns null if it is unknown. */
static inline struct waxwing_member_record *
waxwing_member_find(const struct waxwing_membership *membership, uint64_t incarnation)
{
	return g_hash_table_lookup(membership->by_incarnation, &incarnation);
}

/**
 * Whether heartbeats are still sent to an unresponsive member: it is listed, or it was last heard
 * from less than WAXWING_PROBE_MS ago and wasn't leaving.
 */
static inline bool waxwing_member_probed(const struct waxwing_member_record *member, int64_t now_ms)
{
	return !member->superseded &&
	       (member->listed ||
		(!member->leaving && now_ms - member->heard_ms < WAXWING_PROBE_MS));
}

void waxwing_member_set_alive(struct waxwing_membership *membership,
			      struct waxwing_member_record *member, bool alive);

/** Selects the watchers of this instance among the members that are alive now. */
void waxwing_watch_choose(struct waxwing_membership *membership);
/**
 * Reports a member unresponsive if this instance watches it and hasn't heard from it for
 * dead_after_ms, unless this instance knows of much later heartbeats from gossip.
 */
void waxwing_watch_check(struct waxwing_membership *membership,
			 struct waxwing_member_record *member, int64_t now_ms);
/**
 * Adds a watcher's report that a member has been unresponsive since its heartbeat @sequence.
 * @reporter is the watcher's folded incarnation. The member is considered dead after
 * WAXWING_DEAD_REPORTS reports.
 */
void waxwing_watch_add_report(struct waxwing_membership *membership,
			      struct waxwing_member_record *member, uint64_t sequence,
			      uint32_t reporter);
/**
 * Whether a sequence from gossip is no sign of life, because it may predate the reports that a
 * member is unresponsive.
 */
bool waxwing_watch_is_stale(const struct waxwing_member_record *member, uint64_t sequence);
/** Discards the reports that a member is unresponsive after a sign of life at @sequence. */
void waxwing_watch_refute(struct waxwing_member_record *member, uint64_t sequence);
/**
 * Adds the reports that a member is unresponsive to its news, unless a later heartbeat has outdated
 * them.
 */
void waxwing_watch_fill_news(struct waxwing_member_record *member, Waxwing__MemberNews *news);

/**
 * Selects the scheduler of each cell among the members heard from directly in the last @direct_ms.
 */
void waxwing_membership_choose_schedulers(struct waxwing_membership *membership, int64_t now_ms,
					  int64_t direct_ms);

/** Queues a member's address for waxwing_membership_take_released_address(). */
void waxwing_member_release_address(struct waxwing_membership *membership,
				    const struct waxwing_member_record *member);
/** Queues a member's address once it is neither alive nor probed any more. */
void waxwing_member_update_released(struct waxwing_membership *membership,
				    struct waxwing_member_record *member, int64_t now_ms);

#endif

/**
 * What a membership holds. Private to membership.c, which keeps it, and the other membership_*.c,
 * which tell the peers of it, watch, choose schedulers and find who left for good.
 */
#ifndef WAXWING_MEMBERSHIP_STATE_H
#define WAXWING_MEMBERSHIP_STATE_H

#include "membership.h"
#include "membership_upstream.h"

#include <glib.h>

/** Most other members and leaving upstreams named in one heartbeat. */
#define WAXWING_NEWS_MOST    2
#define WAXWING_LEAVING_MOST 16
/** Inherited incarnations named in one heartbeat. */
#define WAXWING_ANSWERS_FOR_TOLD 4
/** How long an unlisted silent member is still tried. */
#define WAXWING_TRY_MS (10 * 60 * 1000)
/** Members of its domain that watch a member: they get each of its heartbeats. */
#define WAXWING_WATCHERS 3
/** Watchers whose word of its silence makes a member dead. */
#define WAXWING_WITNESSES 2

/** What watchers say of a member's silence. */
struct waxwing_silence {
	uint64_t sequence; /**< the last that was heard */
	uint64_t refuted; /**< sequence below which no word counts any more */
	uint32_t witnesses[WAXWING_WITNESSES]; /**< folds of their incarnations */
	size_t count;
};

struct waxwing_member_record {
	char *name;
	char *domain;
	char *peer_address;
	char *http_address;
	uint64_t incarnation; /**< 0: known from the list only */
	uint64_t sequence; /**< highest heard of */
	uint64_t direct_sequence; /**< highest heard from itself */
	uint64_t settings_revision;
	uint64_t successor;
	int64_t heard_ms; /**< when the highest sequence came in, by whatever way */
	int64_t direct_ms; /**< when it was heard from itself; INT64_MIN: never */
	int64_t contact_ms; /**< last batch but heartbeats; INT64_MIN: none since it was last silent */
	struct waxwing_silence silence;
	uint32_t
		release_rounds; /**< heartbeats that tell it first that it is no watcher any more */
	uint32_t tell_rounds; /**< heartbeats that still name it first */
	bool own_domain;
	bool watches; /**< this instance, by its own choice */
	bool watched; /**< by this instance, as its last heartbeat asked */
	bool listed;
	bool leaving;
	bool alive;
	bool superseded; /**< another incarnation was heard at its address */
	bool gone; /**< left for good, its address put up for the taking */
};

/** Who says that it answers for an incarnation that left. */
struct waxwing_heir {
	uint64_t incarnation; /**< that left */
	uint64_t heir;
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
	GPtrArray *members; /**< of struct waxwing_member_record */
	GHashTable *by_incarnation;
	GPtrArray *gone; /**< addresses of members that left for good; owned */
	struct waxwing_upstreams *upstreams;
	GHashTable *heirs; /**< incarnation to struct waxwing_heir */
	uint64_t answers_for[WAXWING_ANSWERS_FOR_MOST];
	size_t answers_for_count;
	size_t next_answer_for;
	bool leaving;
	bool changed;
	uint64_t successor;
	uint64_t settings_revision;
	uint64_t sequence;
	uint64_t *schedulers; /**< of each cell; owned */
	uint32_t cells;
	int64_t tick_ms;
	int64_t next_heartbeat_ms;
	guint next_own; /**< places in the members, each kind of target in its turn */
	guint next_other;
	guint next_silent;
	guint next_change;
	Waxwing__MemberNews news[WAXWING_NEWS_MOST];
	Waxwing__MemberNews *news_pointers[WAXWING_NEWS_MOST];
	char *leaving_names[WAXWING_LEAVING_MOST];
	uint64_t told_answers_for[WAXWING_ANSWERS_FOR_TOLD];
};

static inline struct waxwing_member_record *
waxwing_member_at(const struct waxwing_membership *membership, guint index)
{
	return g_ptr_array_index(membership->members, index);
}

/** The member with an incarnation; null when unknown. */
static inline struct waxwing_member_record *
waxwing_member_find(const struct waxwing_membership *membership, uint64_t incarnation)
{
	return g_hash_table_lookup(membership->by_incarnation, &incarnation);
}

/** Whether a silent member is tried still: the list names it, or it fell silent without leaving. */
static inline bool waxwing_member_tried(const struct waxwing_member_record *member, int64_t now_ms)
{
	return !member->superseded &&
	       (member->listed || (!member->leaving && now_ms - member->heard_ms < WAXWING_TRY_MS));
}

void waxwing_member_set_alive(struct waxwing_membership *membership,
			      struct waxwing_member_record *member, bool alive);

/** Chooses the watchers of this instance anew. */
void waxwing_watch_choose(struct waxwing_membership *membership);
/** Notes the silence of a member that this instance watches. */
void waxwing_watch_review(struct waxwing_membership *membership,
			  struct waxwing_member_record *member, int64_t now_ms);
/** Takes a watcher's word of a member's silence since a sequence; @witness is the fold of its incarnation. */
void waxwing_watch_silent(struct waxwing_membership *membership,
			  struct waxwing_member_record *member, uint64_t sequence,
			  uint32_t witness);
/** Whether a sequence told by others is no sign of life, since it may be as old as the silence. */
bool waxwing_watch_stale(const struct waxwing_member_record *member, uint64_t sequence);
/** A member that watchers called silent showed itself alive at a sequence. */
void waxwing_watch_refute(struct waxwing_member_record *member, uint64_t sequence);
/** Names the witnesses of a member's silence in its news, when there are any that count. */
void waxwing_watch_tell(struct waxwing_member_record *member, Waxwing__MemberNews *news);

/** Chooses who schedules each cell; a member must have been heard from itself in the last @direct_ms. */
void waxwing_membership_choose_schedulers(struct waxwing_membership *membership, int64_t now_ms,
					  int64_t direct_ms);

/** Notes that nothing is to be sent to a member's address any more. */
void waxwing_member_gone(struct waxwing_membership *membership,
			 const struct waxwing_member_record *member);
/** Notes a member that has just left for good. */
void waxwing_member_review_gone(struct waxwing_membership *membership,
				struct waxwing_member_record *member, int64_t now_ms);

#endif

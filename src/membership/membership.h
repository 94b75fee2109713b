/**
 * Who else is here: entry instances by list and heartbeat, upstreams by list, news and own answers.
 *
 * The latest news wins: a heartbeat outweighs the list for entry instances; "leaving" from any source
 * holds until a later sign of life under a new incarnation (instances) or a list entry that went
 * leaving and came back (upstreams). Also chooses which instance schedules the domain's cell.
 *
 * No sockets, threads or clock. Not thread-safe.
 */
#ifndef WAXWING_MEMBERSHIP_H
#define WAXWING_MEMBERSHIP_H

#include "generated/peer.pb-c.h"
#include "platform.h"
#include "scheduler.h"
#include "str.h"

#include <stdbool.h>
#include <stdint.h>

struct waxwing_membership;

struct waxwing_membership_options {
	struct waxwing_str name; /**< own name; copied, as the others */
	struct waxwing_str domain;
	struct waxwing_str http_address;
	struct waxwing_str peer_address;
	uint64_t incarnation;
	uint64_t seed;
	uint32_t heartbeat_ms; /**< 0: 250 */
	uint32_t dead_after_ms; /**< silence after which a peer counts as dead; 0: 1500 */
	uint32_t fan_out; /**< peers a heartbeat goes to each round; 0: 8 */
};

struct waxwing_membership *
waxwing_membership_create(const struct waxwing_membership_options *options, int64_t now_ms);
void waxwing_membership_destroy(struct waxwing_membership *membership);

/** The platform's list of entry instances or of upstreams of the own domain. */
void waxwing_membership_list_instances(struct waxwing_membership *membership, int64_t now_ms,
				       const struct waxwing_platform_list *list);
void waxwing_membership_list_upstreams(struct waxwing_membership *membership, int64_t now_ms,
				       const struct waxwing_platform_list *list);

/** A peer's heartbeat came in. */
void waxwing_membership_heard(struct waxwing_membership *membership, int64_t now_ms,
			      const Waxwing__Heartbeat *heartbeat);

/**
 * Any other batch came in from a peer itself: it is alive and reachable. The scheduler sends its issuers
 * batches far more often than heartbeats of a large domain come, so its silence is noticed at any size:
 * after the dead_after_ms of the options it is not chosen until it is heard from itself again.
 */
void waxwing_membership_contact(struct waxwing_membership *membership, int64_t now_ms,
				uint64_t incarnation);

/** An upstream said by itself that it is leaving. */
void waxwing_membership_upstream_leaving(struct waxwing_membership *membership, int64_t now_ms,
					 struct waxwing_str upstream);

/** This instance is leaving; its successor's incarnation, 0 for none. */
void waxwing_membership_leave(struct waxwing_membership *membership, int64_t now_ms,
			      uint64_t successor);

/**
 * Sets the incarnations whose windows this instance answers for, copied; at most WAXWING_ANSWERS_FOR_MOST
 * are kept. Each heartbeat names a few, in turn.
 */
void waxwing_membership_set_answers_for(struct waxwing_membership *membership,
					const uint64_t *incarnations, size_t count);
#define WAXWING_ANSWERS_FOR_MOST 64

/** Sets the own settings revision that heartbeats carry. */
void waxwing_membership_set_revision(struct waxwing_membership *membership, uint64_t revision);

struct waxwing_member {
	struct waxwing_str name; /**< valid until the next call */
	uint64_t incarnation; /**< 0: known from the list only */
	struct waxwing_str domain;
	struct waxwing_str peer_address;
	struct waxwing_str http_address;
	bool leaving;
	bool alive; /**< heard in time */
	uint64_t settings_revision;
	uint64_t successor;
	int64_t heard_ms;
};

struct waxwing_upstream {
	struct waxwing_str name; /**< valid until the next call */
	struct waxwing_str address;
	struct waxwing_str domain;
	uint32_t slots;
	enum waxwing_upstream_state state;
	uint64_t version; /**< of the table at the last change of this one, or of its own word */
};

/** Visits by index; false past the end. */
bool waxwing_membership_member(const struct waxwing_membership *membership, size_t index,
			       struct waxwing_member *member);
bool waxwing_membership_upstream(const struct waxwing_membership *membership, size_t index,
				 struct waxwing_upstream *upstream);
/** An upstream by name; false when unknown. */
bool waxwing_membership_find_upstream(const struct waxwing_membership *membership,
				      struct waxwing_str name, struct waxwing_upstream *upstream);
/** Grows with every change of any upstream; 0 before the first. */
uint64_t waxwing_membership_upstreams_version(const struct waxwing_membership *membership);

/** The peer with this incarnation; false when unknown. */
bool waxwing_membership_find(const struct waxwing_membership *membership, uint64_t incarnation,
			     struct waxwing_member *member);

/**
 * A finished incarnation's successor, followed to the end of the chain; 0 when none is known. Whoever
 * says by itself that it answers for an incarnation goes before what was heard of successors.
 */
uint64_t waxwing_membership_successor(const struct waxwing_membership *membership,
				      uint64_t incarnation);

/**
 * Advances time. True when who is alive, leaving or scheduling has changed since the last call.
 * A gap between calls far above the heartbeat counts as an own pause: peers get the time to be heard
 * again before they are taken for dead.
 */
bool waxwing_membership_tick(struct waxwing_membership *membership, int64_t now_ms);

/**
 * An address to which nothing is sent any more: its member has left the list and is dead, and was leaving or
 * has been tried for long enough. Null when there is none; g_free(). An address may come more than once.
 */
char *waxwing_membership_take_gone(struct waxwing_membership *membership, int64_t now_ms);

/** The incarnation that schedules a cell of the own domain; the own one when alone. */
uint64_t waxwing_membership_scheduler(const struct waxwing_membership *membership, uint32_t cell);

/** Sets the number of cells, 1 at first; new ones are the own instance's until the next tick. */
void waxwing_membership_set_cells(struct waxwing_membership *membership, uint32_t cells);

/**
 * The next heartbeat to send when one is due: fills @heartbeat (pointers owned by the membership,
 * valid until the next call) and up to @max peer addresses; returns their number, 0 when none is due. To the
 * first @watchers of them it goes with "watched" set.
 */
size_t waxwing_membership_heartbeat(struct waxwing_membership *membership, int64_t now_ms,
				    Waxwing__Heartbeat *heartbeat, struct waxwing_str *addresses,
				    size_t max, size_t *watchers);

#endif

/**
 * Membership: tracks the entry instances and the upstreams of the instance's own domain.
 *
 * Entry instances are known from the platform's instance list, their heartbeats and gossip in other
 * members' heartbeats. For an incarnation that has been heard of, heartbeats override the list.
 * Upstreams are known from the platform's list, their own answers and gossip. "Leaving" from any
 * source is final for an incarnation of an instance; for an upstream it holds as
 * membership_upstream.h describes. Also selects the instance that schedules each cell of the
 * domain.
 *
 * Has no sockets, threads or clock of its own. Not thread-safe.
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
	struct waxwing_str name; /**< name of this instance; all strings are copied */
	struct waxwing_str domain;
	struct waxwing_str http_address;
	struct waxwing_str peer_address;
	uint64_t incarnation;
	uint64_t seed;
	uint32_t heartbeat_ms; /**< interval between heartbeats; 0 means 250 */
	/** minimum time without a sign of life before a peer is considered dead; 0 means 1500 */
	uint32_t dead_after_ms;
	uint32_t fan_out; /**< maximum number of peers that get each heartbeat; 0 means 8 */
};

struct waxwing_membership *
waxwing_membership_create(const struct waxwing_membership_options *options, int64_t now_ms);
void waxwing_membership_destroy(struct waxwing_membership *membership);

/** Applies the platform's current list of entry instances. */
void waxwing_membership_set_instances(struct waxwing_membership *membership, int64_t now_ms,
				      const struct waxwing_platform_list *list);
/** Applies the platform's current list of upstreams; those of other domains are ignored. */
void waxwing_membership_set_upstreams(struct waxwing_membership *membership, int64_t now_ms,
				      const struct waxwing_platform_list *list);

/** Processes a heartbeat received from a peer. */
void waxwing_membership_receive_heartbeat(struct waxwing_membership *membership, int64_t now_ms,
					  const Waxwing__Heartbeat *heartbeat);

/**
 * Records any other batch received directly from a peer, which shows that it is alive and
 * reachable.
 *
 * The scheduler of a cell sends batches to its issuers far more often than heartbeats arrive in a
 * large domain, so its failure is detected quickly at any domain size: once it has been
 * unresponsive for dead_after_ms, it isn't selected again until it is heard from directly.
 */
void waxwing_membership_receive_batch(struct waxwing_membership *membership, int64_t now_ms,
				      uint64_t incarnation);

/** Records that an upstream itself told this instance that it is leaving. */
void waxwing_membership_mark_upstream_leaving(struct waxwing_membership *membership, int64_t now_ms,
					      struct waxwing_str upstream);

/**
 * Marks this instance as leaving. @successor is its successor's incarnation, or 0 if there is none.
 */
void waxwing_membership_leave(struct waxwing_membership *membership, int64_t now_ms,
			      uint64_t successor);

/**
 * Sets the incarnations whose windows this instance has inherited. They are copied, and at most
 * WAXWING_MEMBERSHIP_INHERITED_MAX are kept. Each heartbeat carries a few of them in rotation.
 */
void waxwing_membership_set_inherited(struct waxwing_membership *membership,
				      const uint64_t *incarnations, size_t count);
#define WAXWING_MEMBERSHIP_INHERITED_MAX 64

/** Sets the revision of this instance's settings, which its heartbeats carry. */
void waxwing_membership_set_settings_revision(struct waxwing_membership *membership,
					      uint64_t revision);

struct waxwing_member {
	struct waxwing_str name; /**< valid until the next call on the membership */
	uint64_t incarnation; /**< 0 if known from the platform's list only */
	struct waxwing_str domain;
	struct waxwing_str peer_address;
	struct waxwing_str http_address; /**< empty if unknown */
	bool leaving;
	bool alive;
	uint64_t settings_revision; /**< from its last heartbeat; 0 if none was received */
	uint64_t successor; /**< incarnation of the successor; 0 if unknown */
	int64_t heard_ms; /**< time of the last sign of life, direct or through gossip; 0 if none */
};

struct waxwing_upstream {
	struct waxwing_str name; /**< valid until the next call on the membership */
	struct waxwing_str address;
	struct waxwing_str domain;
	uint32_t slots;
	enum waxwing_upstream_state state;
	/** version of the upstreams at this one's last change or leaving answer */
	uint64_t version;
};

/** Gets a member or an upstream by index; returns false past the end. */
bool waxwing_membership_member_at(const struct waxwing_membership *membership, size_t index,
				  struct waxwing_member *member);
bool waxwing_membership_upstream_at(const struct waxwing_membership *membership, size_t index,
				    struct waxwing_upstream *upstream);
/** Finds an upstream by name; returns false if it is unknown. */
bool waxwing_membership_find_upstream(const struct waxwing_membership *membership,
				      struct waxwing_str name, struct waxwing_upstream *upstream);
/** Returns a version that increases with every change to any upstream; 0 before the first. */
uint64_t waxwing_membership_upstreams_version(const struct waxwing_membership *membership);

/** Finds a peer by incarnation; returns false if it is unknown. */
bool waxwing_membership_find_member(const struct waxwing_membership *membership,
				    uint64_t incarnation, struct waxwing_member *member);

/**
 * Returns the last known successor in the chain that starts at @incarnation, or 0 if there is none.
 * A member that says it has inherited an incarnation takes precedence over the successor that the
 * leaving instance announced, while that member is alive or no successor was announced.
 */
uint64_t waxwing_membership_last_successor(const struct waxwing_membership *membership,
					   uint64_t incarnation);

/**
 * Advances time. Returns true if any member's liveness or leaving state, any upstream, or the
 * scheduler of any cell has changed since the last call.
 *
 * A gap between calls of several heartbeat intervals means that this process was paused. The
 * time of the gap isn't counted against peers, so that they aren't considered dead before they can
 * be heard from again.
 */
bool waxwing_membership_tick(struct waxwing_membership *membership, int64_t now_ms);

/**
 * Takes a peer address to which nothing is sent any more, so that its connection can be closed. Its
 * member is dead, and either another incarnation superseded it, or it is no longer listed and was
 * leaving or was probed for WAXWING_PROBE_MS. Returns null if there is none; free with g_free().
 * The same address may be returned more than once.
 */
char *waxwing_membership_take_released_address(struct waxwing_membership *membership,
					       int64_t now_ms);

/**
 * Returns the incarnation that schedules a cell of this domain; this instance's own if it is alone.
 */
uint64_t waxwing_membership_scheduler(const struct waxwing_membership *membership, uint32_t cell);

/** Sets the number of cells, initially 1. This instance schedules new cells until the next tick. */
void waxwing_membership_set_cells(struct waxwing_membership *membership, uint32_t cells);

/**
 * Prepares the next heartbeat if one is due. Fills @heartbeat, whose pointers are owned by the
 * membership and valid until the next call, and up to @max peer addresses. Returns the number of
 * addresses; 0 if no heartbeat is due. The caller sets "watched" in the copies for the first
 * *@watchers addresses only.
 */
size_t waxwing_membership_next_heartbeat(struct waxwing_membership *membership, int64_t now_ms,
					 Waxwing__Heartbeat *heartbeat,
					 struct waxwing_str *addresses, size_t max,
					 size_t *watchers);

#endif

/**
 * Upstreams of the instance's own domain, from the platform's list and leaving reports. Private to
 * the membership.
 *
 * A leaving report is the upstream's own answer to this instance, or gossip from a peer. It marks
 * an upstream as leaving even while the list still shows it as live. The mark is removed when the
 * list has shown the upstream as leaving or absent and then as live again, or when the list shows
 * it as live and the last report is WAXWING_LEAVING_HOLD_MS old; gossip doesn't extend an existing
 * mark. Reports are gossiped only briefly, and gossip is ignored for a while after the mark was
 * removed, so that outdated reports don't circulate for ever.
 *
 * Not thread-safe.
 */
#ifndef WAXWING_MEMBERSHIP_UPSTREAM_H
#define WAXWING_MEMBERSHIP_UPSTREAM_H

#include "membership.h"

#define WAXWING_LEAVING_HOLD_MS 60000

struct waxwing_upstreams;

/** @domain is copied. */
struct waxwing_upstreams *waxwing_upstreams_create(struct waxwing_str domain);
void waxwing_upstreams_destroy(struct waxwing_upstreams *upstreams);

/** Applies the platform's current list of upstreams. */
void waxwing_upstreams_update(struct waxwing_upstreams *upstreams, int64_t now_ms,
			      const struct waxwing_platform_list *list);

/**
 * Applies a leaving report. @direct: the report is the upstream's own answer, not gossip.
 */
void waxwing_upstreams_mark_leaving(struct waxwing_upstreams *upstreams, int64_t now_ms,
				    struct waxwing_str name, bool direct);

/**
 * Frees the records of upstreams that were removed from the list long ago. Returns true if any
 * upstream changed since the last call.
 */
bool waxwing_upstreams_tick(struct waxwing_upstreams *upstreams, int64_t now_ms);

/** Gets up to @max names of leaving upstreams for a heartbeat, in rotation if there are more. */
size_t waxwing_upstreams_leaving_names(struct waxwing_upstreams *upstreams, int64_t now_ms,
				       char **names, size_t max);

/** Returns a version that increases with every change to any upstream; 0 before the first. */
uint64_t waxwing_upstreams_version(const struct waxwing_upstreams *upstreams);

/** Finds an upstream by name; returns false if it is unknown. */
bool waxwing_upstreams_find(const struct waxwing_upstreams *upstreams, struct waxwing_str name,
			    struct waxwing_upstream *upstream);
/** Gets an upstream by index; returns false past the end. */
bool waxwing_upstreams_at(const struct waxwing_upstreams *upstreams, size_t index,
			  struct waxwing_upstream *upstream);

#endif

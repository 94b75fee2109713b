/**
 * Upstreams of the own domain, by the list and by signs that they are leaving. Private to the membership.
 *
 * A sign (the upstream's own answer, or a peer's word) marks an upstream as leaving though the list
 * still says live. The mark goes once the list has said leaving or absent and then live again, or has
 * kept saying live for WAXWING_LEAVING_HOLD_MS after the last sign of its own. Peers' word travels for
 * a short time only, and is not taken for a while after the mark went, so that it can't echo.
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

/** The platform's list. */
void waxwing_upstreams_list(struct waxwing_upstreams *upstreams, int64_t now_ms,
			    const struct waxwing_platform_list *list);

/** A sign that an upstream is leaving; @own when it was this instance that got the upstream's word. */
void waxwing_upstreams_leaving(struct waxwing_upstreams *upstreams, int64_t now_ms,
			       struct waxwing_str name, bool own);

/** Forgets those gone long ago. True when a state changed since the last call. */
bool waxwing_upstreams_tick(struct waxwing_upstreams *upstreams, int64_t now_ms);

/** Names to pass on in a heartbeat, up to @max, in turn when there are more. */
size_t waxwing_upstreams_tell(struct waxwing_upstreams *upstreams, int64_t now_ms, char **names,
			      size_t max);

/** Grows with every change of any upstream. */
uint64_t waxwing_upstreams_version(const struct waxwing_upstreams *upstreams);

/** By name; false when unknown. */
bool waxwing_upstreams_find(const struct waxwing_upstreams *upstreams, struct waxwing_str name,
			    struct waxwing_upstream *upstream);
/** Visits by index; false past the end. */
bool waxwing_upstreams_at(const struct waxwing_upstreams *upstreams, size_t index,
			  struct waxwing_upstream *upstream);

#endif

/**
 * Claims of time spans, as stored in the platform's key-value service. Times are ms since 1970.
 */
#ifndef WAXWING_SCHEDULE_CLAIM_H
#define WAXWING_SCHEDULE_CLAIM_H

#include "str.h"

/** A claim of the span [from_ms, until_ms); the spans of two claims never overlap. */
struct waxwing_schedule_claim {
	uint64_t incarnation; /**< 0: no claim */
	int64_t from_ms;
	int64_t until_ms;
	int64_t done_ms; /**< the occurrences before this time were fired or reported */
};

/** Returns the value to store for a claim; to be freed with g_free(). */
char *waxwing_schedule_claim_print(const struct waxwing_schedule_claim *claim);
/**
 * Parses a stored value; an empty one is no claim. Returns false and clears @claim if the value is
 * malformed.
 */
bool waxwing_schedule_claim_parse(struct waxwing_str text, struct waxwing_schedule_claim *claim);

/** Bounds of the spans in writes that timed out, any of which may have taken effect. */
struct waxwing_unconfirmed_spans {
	bool any; /**< whether a write timed out; if not, the bounds are unset */
	int64_t from_ms; /**< earliest start of a span */
	int64_t until_ms; /**< latest end of a span */
	int64_t max_from_ms; /**< latest start of a span */
	int64_t min_until_ms; /**< earliest end of a span */
};

/** Adds a claim whose write timed out. */
void waxwing_unconfirmed_spans_add(struct waxwing_unconfirmed_spans *unconfirmed,
				   const struct waxwing_schedule_claim *claim);
/**
 * Returns whether @other, a claim of another incarnation, proves that none of the writes took
 * effect.
 */
bool waxwing_unconfirmed_spans_disproved(const struct waxwing_unconfirmed_spans *unconfirmed,
					 const struct waxwing_schedule_claim *other);

#endif

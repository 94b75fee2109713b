/**
 * Claims of spans of time, as the platform keeps them. Times are ms since 1970.
 */
#ifndef WAXWING_SCHEDULE_CLAIM_H
#define WAXWING_SCHEDULE_CLAIM_H

#include "str.h"

/** A claim; spans of two claims never overlap. */
struct waxwing_claim {
	uint64_t incarnation; /**< 0: no claim */
	int64_t from_ms;
	int64_t until_ms; /**< the span's end, excluded */
	int64_t done_ms; /**< what comes after it may be neither run nor reported yet */
};

/** The value of the platform's key, freed with g_free(). */
char *waxwing_claim_print(const struct waxwing_claim *claim);
/** Reads a value; an empty one is no claim. False, and no claim, when it is malformed. */
bool waxwing_claim_parse(struct waxwing_str text, struct waxwing_claim *claim);

/** The spans of writes whose answers were lost. */
struct waxwing_unsettled {
	bool any;
	int64_t from_ms; /**< first start */
	int64_t until_ms; /**< last end */
	int64_t last_from_ms;
	int64_t first_until_ms;
};

/** Adds a claim that may be at the platform. */
void waxwing_unsettled_add(struct waxwing_unsettled *unsettled, const struct waxwing_claim *claim);
/** True when @other, of another incarnation, shows that none of the spans was claimed. */
bool waxwing_unsettled_refuted(const struct waxwing_unsettled *unsettled,
			       const struct waxwing_claim *other);

#endif

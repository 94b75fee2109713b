/**
 * Ranges of the bodies that callers send.
 */
#ifndef WAXWING_API_RANGES_H
#define WAXWING_API_RANGES_H

#include "binding.h"

/** Longest deadline and declared run time taken from a caller, in ms. */
#define WAXWING_LONGEST_MS 3600000

/** For waxwing_binding_parse(); ends with a null message. */
extern const struct waxwing_field_range waxwing_api_ranges[];

#endif

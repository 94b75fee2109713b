/**
 * Value ranges of the request bodies that callers send.
 */
#ifndef WAXWING_API_RANGES_H
#define WAXWING_API_RANGES_H

#include "binding.h"

/** Largest deadline and declared run time accepted from a caller, in milliseconds. */
#define WAXWING_MAX_DURATION_MS 3600000

/** Ranges for waxwing_binding_parse(), terminated by an entry with a null message. */
extern const struct waxwing_field_range waxwing_api_ranges[];

#endif

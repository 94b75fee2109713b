/** Wraps a store and records the number of calls by kind and result, and their durations. */
#ifndef WAXWING_STORE_METER_H
#define WAXWING_STORE_METER_H

#include "clock.h"
#include "store.h"

#include <glib.h>

/** Creates a store that forwards all calls to @inner, which must outlive it. */
struct waxwing_store *waxwing_store_meter_create(struct waxwing_store *inner,
						 const struct waxwing_clock *clock);

/** Frees the meter, but not the wrapped store. No call may be pending. */
void waxwing_store_meter_destroy(struct waxwing_store *store);

/** Appends the metrics in the Prometheus text format. */
void waxwing_store_meter_print(const struct waxwing_store *store, GString *text);

#endif

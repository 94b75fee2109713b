/**
 * A store that counts the calls to another one, by kind and end, and their times.
 */
#ifndef WAXWING_STORE_METER_H
#define WAXWING_STORE_METER_H

#include "clock.h"
#include "store.h"

#include <glib.h>

/** Calls of the returned store go to @inner, which has to outlive it. */
struct waxwing_store *waxwing_store_meter_create(struct waxwing_store *inner,
						 const struct waxwing_clock *clock);

/** No call may be out. */
void waxwing_store_meter_destroy(struct waxwing_store *store);

/** Appends the counts in the Prometheus text format. */
void waxwing_store_meter_print(const struct waxwing_store *store, GString *text);

#endif

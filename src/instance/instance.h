/**
 * One entry instance, put together from its settings file: core, platform watches, HTTP.
 */
#ifndef WAXWING_INSTANCE_H
#define WAXWING_INSTANCE_H

#include "generated/settings.pb-c.h"
#include "waxwingswitch/error.h"

struct waxwing_instance;

/** Starts everything. Null with @error; @drain asks the caller to end the instance, on any thread. */
struct waxwing_instance *waxwing_instance_open(const Waxwing__InstanceFile *file,
					       void (*drain)(void *context), void *context,
					       struct waxwing_error *error);

/**
 * Shuts down without cutting off a request: unready, no new ids, running jobs to their end (at most
 * drain_ms of the settings file), answers sent, then the threads from the outside in.
 */
void waxwing_instance_close(struct waxwing_instance *instance);

/** Logs the state. Any thread but the core's. */
void waxwing_instance_log_state(struct waxwing_instance *instance);

#endif

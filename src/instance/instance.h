/**
 * An entry instance: the core, platform watches, job schedules and HTTP server, set up from an
 * instance settings file.
 */
#ifndef WAXWING_INSTANCE_H
#define WAXWING_INSTANCE_H

#include "generated/settings.pb-c.h"
#include "waxwingswitch/error.h"

struct waxwing_instance;

/**
 * Starts an instance. Null with @error. @drain is called, on any thread, when an operator requests
 * a shutdown; the caller should then close the instance.
 */
struct waxwing_instance *waxwing_instance_open(const Waxwing__InstanceFile *file,
					       void (*drain)(void *context), void *context,
					       struct waxwing_error *error);

/**
 * Shuts down gracefully: starts no more occurrences, reports not ready, refuses new ids, waits for
 * running jobs (at most drain_ms of the settings file) and for their answers to be sent, then stops
 * the HTTP server, the schedules, the watches and the core.
 */
void waxwing_instance_close(struct waxwing_instance *instance);

/** Logs the state dump. Any thread except the core thread. */
void waxwing_instance_log_state(struct waxwing_instance *instance);

#endif

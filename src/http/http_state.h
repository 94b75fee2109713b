/**
 * What an instance tells of itself over HTTP and in its log: the core's state, and the connections.
 */
#ifndef WAXWING_HTTP_STATE_H
#define WAXWING_HTTP_STATE_H

#include "http.h"

/** The core's dump @state with the connections in it; freed with g_free(). Any thread. */
char *waxwing_http_state_print(const struct waxwing_http *http, const char *state);

/**
 * The counters, and gauges drawn from the core's dump @state, in the Prometheus text format; freed with
 * g_free(). Any thread.
 */
char *waxwing_http_metrics_print(const struct waxwing_http *http, const char *state);

#endif

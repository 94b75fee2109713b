/**
 * The state dump and metrics of an instance: the core's state, its connections and its peer
 * traffic.
 */
#ifndef WAXWING_HTTP_STATE_H
#define WAXWING_HTTP_STATE_H

#include "http.h"

/**
 * Returns the core's JSON dump @state, extended by the connections, peer traffic and further state
 * of the instance; free with g_free(). Any thread.
 */
char *waxwing_http_state_print(const struct waxwing_http *http, const char *state);

/**
 * Returns the counters, and the gauges computed from the core's JSON dump @state, in the Prometheus
 * text format; free with g_free(). Any thread.
 */
char *waxwing_http_metrics_print(const struct waxwing_http *http, const char *state);

#endif

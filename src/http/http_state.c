#include "http_state.h"

#include "counters.h"
#include "http_request.h"

#include <glib.h>
#include <inttypes.h>
#include <json-c/json.h>

static uint64_t get_uint64(struct json_object *object, const char *key)
{
	return json_object_get_uint64(json_object_object_get(object, key));
}

static void add_peer_traffic(const struct waxwing_http *http, struct json_object *state)
{
	struct json_object *object = json_object_new_object();
	struct waxwing_peer_view view;

	waxwing_core_peer_view(waxwing_http_core(http), &view);
	json_object_object_add(object, "sockets", json_object_new_uint64(view.sockets));
	json_object_object_add(object, "sent_batches", json_object_new_uint64(view.sent_batches));
	json_object_object_add(object, "sent_bytes", json_object_new_uint64(view.sent_bytes));
	json_object_object_add(object, "received_batches",
			       json_object_new_uint64(view.received_batches));
	json_object_object_add(object, "received_bytes",
			       json_object_new_uint64(view.received_bytes));
	json_object_object_add(object, "dropped", json_object_new_uint64(view.dropped));
	json_object_object_add(object, "malformed", json_object_new_uint64(view.malformed));
	json_object_object_add(state, "peer_traffic", object);
}

char *waxwing_http_state_print(const struct waxwing_http *http, const char *state)
{
	struct json_object *object = json_tokener_parse(state);
	struct json_object *connections = json_object_new_object();
	struct waxwing_http_connections_stats stats;
	char *text;

	waxwing_http_get_stats(http, &stats);
	json_object_object_add(connections, "connections", json_object_new_uint64(stats.open));
	json_object_object_add(connections, "slow", json_object_new_uint64(stats.timed_out));
	json_object_object_add(connections, "crowded", json_object_new_uint64(stats.rejected));
	json_object_object_add(object, "http", connections);
	add_peer_traffic(http, object);
	waxwing_http_describe(http, object);
	text = g_strdup(json_object_to_json_string_ext(object, JSON_C_TO_STRING_PRETTY));
	json_object_put(object);
	return text;
}

static void add_metric(GString *out, const char *name, const char *type, const char *help,
		       uint64_t value)
{
	g_string_append_printf(out, "# HELP waxwing_%s %s\n# TYPE waxwing_%s %s\n", name, help,
			       name, type);
	g_string_append_printf(out, "waxwing_%s %" PRIu64 "\n", name, value);
}

/* Returns the sum of a field over the cells scheduled by this instance. */
static uint64_t sum_scheduled(struct json_object *state, const char *key)
{
	struct json_object *cells = json_object_object_get(state, "cells");
	uint64_t sum = 0;

	for (size_t i = 0; i < json_object_array_length(cells); i++) {
		struct json_object *cell = json_object_array_get_idx(cells, i);

		if (json_object_get_boolean(json_object_object_get(cell, "here")))
			sum += get_uint64(cell, key);
	}
	return sum;
}

static void add_job_metrics(GString *out, struct json_object *state)
{
	struct json_object *submissions = json_object_object_get(state, "submissions");

	add_metric(out, "ready", "gauge", "1: callers can be served",
		   (uint64_t)json_object_get_boolean(json_object_object_get(state, "ready")));
	add_metric(out, "settings_revision", "gauge", "revision of the settings in force",
		   get_uint64(state, "settings_revision"));
	add_metric(out, "running_jobs", "gauge", "jobs of this instance without an answer",
		   get_uint64(submissions, "running_jobs"));
	add_metric(out, "queued_tasks", "gauge", "tasks of this instance's jobs not yet started",
		   get_uint64(submissions, "queued_tasks"));
	add_metric(out, "tasks_in_flight", "gauge", "tasks sent to an upstream and not ended",
		   get_uint64(state, "in_flight"));
}

static void add_cell_metrics(GString *out, struct json_object *state)
{
	add_metric(out, "scheduled_queued_tasks", "gauge",
		   "queued tasks, of any instance, in the cells scheduled here",
		   sum_scheduled(state, "queued_tasks"));
	add_metric(out, "scheduled_slots", "gauge", "slots of the cells scheduled here",
		   sum_scheduled(state, "slots"));
	add_metric(out, "scheduled_used_slots", "gauge", "slots in use of the cells scheduled here",
		   sum_scheduled(state, "used_slots"));
}

static void add_connection_metrics(GString *out, const struct waxwing_http *http)
{
	struct waxwing_http_connections_stats stats;

	waxwing_http_get_stats(http, &stats);
	add_metric(out, "http_connections", "gauge", "open connections of callers", stats.open);
	add_metric(out, "http_slow_total", "counter",
		   "connections ended for taking too long to send or to read", stats.timed_out);
	add_metric(out, "http_crowded_total", "counter",
		   "connections refused, their address having enough", stats.rejected);
}

char *waxwing_http_metrics_print(const struct waxwing_http *http, const char *state)
{
	struct json_object *object = json_tokener_parse(state);
	char *counters = waxwing_counters_print();
	GString *out = g_string_new(counters);

	add_job_metrics(out, object);
	add_cell_metrics(out, object);
	add_connection_metrics(out, http);
	json_object_put(object);
	g_free(counters);
	return g_string_free(out, FALSE);
}

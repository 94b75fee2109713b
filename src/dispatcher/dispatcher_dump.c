/* The state of a dispatcher as JSON, for operators and waxwingctl. */
#include "dispatcher_private.h"

#include <inttypes.h>

static const char *state_name(enum waxwing_upstream_state state)
{
	switch (state) {
	case WAXWING_UPSTREAM_LIVE:
		return "live";
	case WAXWING_UPSTREAM_LEAVING:
		return "leaving";
	case WAXWING_UPSTREAM_REMOVED:
		return "gone";
	}
	return "unknown";
}

static void add_text(struct json_object *object, const char *key, struct waxwing_str text)
{
	json_object_object_add(object, key, json_object_new_string_len(text.data, (int)text.len));
}

static void add_number(struct json_object *object, const char *key, uint64_t number)
{
	json_object_object_add(object, key, json_object_new_uint64(number));
}

static void add_incarnation(struct json_object *object, const char *key, uint64_t incarnation)
{
	char text[17];

	g_snprintf(text, sizeof(text), "%016" PRIx64, incarnation);
	add_text(object, key, waxwing_str(text));
}

static struct json_object *dump_submissions(const struct waxwing_dispatcher *d)
{
	struct json_object *object = json_object_new_object();
	struct waxwing_submissions_view view;

	waxwing_submissions_view(d->submissions, &view);
	add_number(object, "running_jobs", view.running_jobs);
	add_number(object, "finished_ids", view.finished_ids);
	add_number(object, "queued_tasks", view.queued_tasks);
	add_number(object, "committed_tasks", view.committed_tasks);
	add_number(object, "bytes", view.bytes);
	add_number(object, "epochs", view.epochs);
	return object;
}

static struct json_object *dump_cell(const struct waxwing_dispatcher *d,
				     const struct waxwing_upstream_cell *cell)
{
	struct json_object *object = json_object_new_object();
	struct waxwing_scheduler_view view;

	waxwing_scheduler_view(cell->scheduler, &view);
	add_incarnation(object, "scheduler", cell->scheduler_incarnation);
	json_object_object_add(object, "here",
			       json_object_new_boolean(waxwing_dispatcher_is_scheduler(d, cell)));
	add_number(object, "queued_jobs", view.queued_jobs);
	add_number(object, "queued_tasks", view.queued_tasks);
	add_number(object, "queued_bytes", view.queued_bytes);
	add_number(object, "slots", view.slots);
	add_number(object, "used_slots", view.used_slots);
	add_number(object, "grants", view.grants);
	add_number(object, "refusals", view.refusals);
	add_number(object, "busy_answers", view.busy_answers);
	add_number(object, "expected_wait_ms", waxwing_scheduler_expected_wait(cell->scheduler));
	return object;
}

static void dump_upstreams(const struct waxwing_upstream_cell *cell, struct json_object *array)
{
	struct waxwing_upstream_view view;

	for (size_t i = 0; waxwing_scheduler_upstream_view(cell->scheduler, i, &view); i++) {
		struct json_object *object = json_object_new_object();

		add_text(object, "name", view.name);
		add_number(object, "cell", cell->index);
		add_text(object, "state", waxwing_str(state_name(view.state)));
		add_number(object, "slots", view.slots);
		add_number(object, "used_slots", view.used_slots);
		json_object_object_add(object, "speed", json_object_new_double(view.speed));
		add_text(object, "breaker", waxwing_str(view.breaker));
		json_object_array_add(array, object);
	}
}

static void dump_cells(const struct waxwing_dispatcher *d, struct json_object *object)
{
	struct json_object *cells = json_object_new_array();
	struct json_object *upstreams = json_object_new_array();

	for (uint32_t i = 0; i < d->cells->len; i++) {
		json_object_array_add(cells, dump_cell(d, waxwing_dispatcher_find_cell(d, i)));
		dump_upstreams(waxwing_dispatcher_find_cell(d, i), upstreams);
	}
	json_object_object_add(object, "cells", cells);
	json_object_object_add(object, "upstreams", upstreams);
}

static struct json_object *dump_members(const struct waxwing_dispatcher *d)
{
	struct json_object *array = json_object_new_array();
	struct waxwing_member member;

	for (size_t i = 0; waxwing_membership_member_at(d->membership, i, &member); i++) {
		struct json_object *object = json_object_new_object();

		add_text(object, "name", member.name);
		add_incarnation(object, "incarnation", member.incarnation);
		add_text(object, "domain", member.domain);
		add_text(object, "http_address", member.http_address);
		add_text(object, "peer_address", member.peer_address);
		json_object_object_add(object, "alive", json_object_new_boolean(member.alive));
		json_object_object_add(object, "leaving", json_object_new_boolean(member.leaving));
		add_number(object, "settings_revision", member.settings_revision);
		json_object_array_add(array, object);
	}
	return array;
}

struct json_object *waxwing_dispatcher_dump(struct waxwing_dispatcher *d, int64_t now_ms)
{
	struct json_object *object = json_object_new_object();

	add_incarnation(object, "incarnation", d->incarnation);
	add_text(object, "domain", waxwing_str(d->domain));
	json_object_object_add(object, "ready",
			       json_object_new_boolean(waxwing_dispatcher_is_ready(d, now_ms)));
	json_object_object_add(object, "draining",
			       json_object_new_boolean(d->drain != WAXWING_DRAIN_SERVING));
	add_number(object, "settings_revision",
		   d->settings_store.current ?
			   waxwing_settings_revision(d->settings_store.current) :
			   0);
	add_number(object, "in_flight", d->in_flight_count);
	add_number(object, "forwards", g_hash_table_size(d->forwards));
	json_object_object_add(object, "submissions", dump_submissions(d));
	dump_cells(d, object);
	json_object_object_add(object, "members", dump_members(d));
	return object;
}

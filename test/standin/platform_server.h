/**
 * Stand-in of the platform, with Consul's HTTP API for the key-value store, sessions and health.
 *
 * PUT /control/instance adds or changes an instance, which appears in the list after lag_ms. PUT
 * /control/mode sets faults: down=1 closes every connection, slow_ms=N delays each call,
 * lose_answers=N closes the connection instead of answering the next N writes, which take effect,
 * lag_ms=N delays changes of the list. GET /control/calls returns the number of calls and of
 * response body bytes by kind of call, and the number of instances in responses to list calls.
 */
#ifndef STANDIN_PLATFORM_SERVER_H
#define STANDIN_PLATFORM_SERVER_H

#include "platform_kv.h"

#define MAX_CONNECTIONS 2000
#define DATACENTER	"dc1"
#define HEALTH_PREFIX	"/v1/health/service/"

/* Instance list */

static inline uint64_t service_index(struct standin_platform *platform, const char *service)
{
	guint64 *index = g_hash_table_lookup(platform->service_index, service);

	return index ? *index : 1;
}

static inline struct json_object *instance_meta(const struct platform_instance *instance)
{
	struct json_object *meta = json_object_new_object();
	char slots[32];

	g_snprintf(slots, sizeof(slots), "%" G_GINT64_FORMAT, instance->slots);
	json_object_object_add(meta, "domain", json_object_new_string(instance->domain));
	json_object_object_add(meta, "slots", json_object_new_string(slots));
	json_object_object_add(meta, "state", json_object_new_string(instance->state));
	if (*instance->peer)
		json_object_object_add(meta, "peer_address",
				       json_object_new_string(instance->peer));
	return meta;
}

static inline struct json_object *instance_json(const struct platform_instance *instance)
{
	struct json_object *json = json_object_new_object();
	struct json_object *node = json_object_new_object();
	struct json_object *service = json_object_new_object();
	const char *colon = strrchr(instance->address, ':');
	size_t host_len = colon ? (size_t)(colon - instance->address) : strlen(instance->address);
	int port = colon ? (int)strtol(colon + 1, NULL, 10) : 0;

	json_object_object_add(node, "Node", json_object_new_string(instance->name));
	json_object_object_add(node, "Address",
			       json_object_new_string_len(instance->address, (int)host_len));
	json_object_object_add(node, "Datacenter", json_object_new_string(DATACENTER));
	json_object_object_add(node, "Meta", json_object_new_object());
	json_object_object_add(service, "ID", json_object_new_string(instance->name));
	json_object_object_add(service, "Service", json_object_new_string(instance->service));
	json_object_object_add(service, "Address",
			       json_object_new_string_len(instance->address, (int)host_len));
	json_object_object_add(service, "Port", json_object_new_int(port));
	json_object_object_add(service, "Meta", instance_meta(instance));
	json_object_object_add(json, "Node", node);
	json_object_object_add(json, "Service", service);
	json_object_object_add(json, "Checks", json_object_new_array());
	return json;
}

/** Returns true if the field named by @selector, as in Consul's filters, equals @value. */
static inline bool instance_matches(const struct platform_instance *instance, const char *selector,
				    const char *value)
{
	if (strcmp(selector, "Service.ID") == 0)
		return strcmp(instance->name, value) == 0;
	if (strcmp(selector, "Service.Meta.domain") == 0)
		return strcmp(instance->domain, value) == 0;
	return strcmp(selector, "Node.Datacenter") == 0 && strcmp(value, DATACENTER) == 0;
}

/** Supports terms SELECTOR == "VALUE" with "or" between them; a null filter matches all. */
static inline bool filter_matches(const struct platform_instance *instance, const char *filter)
{
	char **terms = g_strsplit(filter ? filter : "", " or ", -1);
	bool matches = !filter;

	for (size_t i = 0; terms[i] && !matches; i++) {
		char **sides = g_strsplit(terms[i], " == ", 2);
		size_t len = sides[0] && sides[1] ? strlen(sides[1]) : 0;

		if (len >= 2 && sides[1][0] == '"' && sides[1][len - 1] == '"') {
			sides[1][len - 1] = '\0';
			matches = instance_matches(instance, sides[0], sides[1] + 1);
		}
		g_strfreev(sides);
	}
	g_strfreev(terms);
	return matches;
}

static inline enum server_result handle_list(struct standin_platform *platform,
					     struct server_request *request)
{
	const char *service = request->path + strlen(HEALTH_PREFIX);
	uint64_t index = service_index(platform, service);
	struct json_object *array;

	if (must_wait(request, index))
		return SERVER_WAIT;
	array = json_object_new_array();
	for (guint i = 0; i < platform->instances->len; i++) {
		struct platform_instance *instance = g_ptr_array_index(platform->instances, i);

		if (strcmp(instance->service, service) == 0 &&
		    filter_matches(instance, server_query_argument(request, "filter")))
			json_object_array_add(array, instance_json(instance));
	}
	platform->listed_instances += json_object_array_length(array);
	return answer_json(request, MHD_HTTP_OK, array, index);
}

/** Applies a change to the list; takes ownership of @instance. */
static inline void instance_apply(struct standin_platform *platform,
				  struct platform_instance *instance)
{
	guint64 *index = g_new(guint64, 1);

	for (guint i = 0; i < platform->instances->len; i++) {
		struct platform_instance *old = g_ptr_array_index(platform->instances, i);

		if (strcmp(old->service, instance->service) == 0 &&
		    strcmp(old->name, instance->name) == 0) {
			g_ptr_array_remove_index(platform->instances, i);
			break;
		}
	}
	*index = MAX(advance_index(platform), 2);
	platform->index = *index;
	g_hash_table_replace(platform->service_index, g_strdup(instance->service), index);
	if (strcmp(instance->state, "gone") == 0)
		instance_free(instance);
	else
		g_ptr_array_add(platform->instances, instance);
}

/** Applies the changes that are due; returns when the next is due, INT64_MAX if none is pending. */
static inline int64_t apply_due_instances(struct standin_platform *platform, int64_t now_ms)
{
	struct platform_instance *instance;

	while ((instance = g_queue_peek_head(&platform->pending))) {
		if (instance->apply_ms > now_ms)
			return instance->apply_ms;
		g_queue_pop_head(&platform->pending);
		instance_apply(platform, instance);
	}
	return INT64_MAX;
}

static inline int64_t platform_tick(struct standin_server *server, int64_t now_ms)
{
	struct standin_platform *platform = (struct standin_platform *)server;
	int64_t sessions_ms = expire_sessions(platform, now_ms);

	return MIN(sessions_ms, apply_due_instances(platform, now_ms));
}

/* Control */

static inline char *argument_dup(struct server_request *request, const char *name,
				 const char *fallback)
{
	const char *text = server_query_argument(request, name);

	return g_strdup(text ? text : fallback);
}

static inline enum server_result control_instance(struct standin_platform *platform,
						  struct server_request *request)
{
	struct platform_instance *instance = g_new0(struct platform_instance, 1);

	instance->service = argument_dup(request, "service", "upstream");
	instance->name = argument_dup(request, "name", "");
	instance->address = argument_dup(request, "address", "");
	instance->peer = argument_dup(request, "peer", "");
	instance->domain = argument_dup(request, "domain", "");
	instance->state = argument_dup(request, "state", "live");
	instance->slots = server_query_number(request, "slots", 0);
	instance->apply_ms = server_now() + platform->lag_ms;
	if (platform->lag_ms > 0)
		g_queue_push_tail(&platform->pending, instance);
	else
		instance_apply(platform, instance);
	pthread_cond_signal(&platform->server.changed);
	return server_answer_text(request, MHD_HTTP_OK, "true");
}

static inline enum server_result control_mode(struct standin_platform *platform,
					      struct server_request *request)
{
	platform->down = server_query_number(request, "down", platform->down) != 0;
	platform->slow_ms = server_query_number(request, "slow_ms", platform->slow_ms);
	platform->lag_ms = server_query_number(request, "lag_ms", platform->lag_ms);
	platform->lose_answers =
		server_query_number(request, "lose_answers", platform->lose_answers);
	server_wake(&platform->server);
	return server_answer_text(request, MHD_HTTP_OK, "true");
}

static inline enum server_result control_calls(struct standin_platform *platform,
					       struct server_request *request)
{
	struct json_object *json = json_object_new_object();
	uint64_t total = 0;

	for (unsigned int i = 0; i < CALL_KINDS; i++) {
		total += platform->calls[i];
		json_object_object_add(json, call_names[i],
				       json_object_new_int64((int64_t)platform->calls[i]));
	}
	for (unsigned int i = 0; i < CALL_KINDS; i++) {
		char *name = g_strdup_printf("%s_bytes", call_names[i]);

		json_object_object_add(json, name,
				       json_object_new_int64((int64_t)platform->bytes[i]));
		g_free(name);
	}
	json_object_object_add(json, "listed",
			       json_object_new_int64((int64_t)platform->listed_instances));
	json_object_object_add(json, "total", json_object_new_int64((int64_t)total));
	return answer_json(request, MHD_HTTP_OK, json, platform->index);
}

static inline enum server_result handle_control(struct standin_platform *platform,
						struct server_request *request)
{
	if (strcmp(request->path, "/control/instance") == 0)
		return control_instance(platform, request);
	if (strcmp(request->path, "/control/mode") == 0)
		return control_mode(platform, request);
	if (strcmp(request->path, "/control/calls") == 0)
		return control_calls(platform, request);
	return server_answer_text(request, MHD_HTTP_NOT_FOUND, "no such path");
}

/* Dispatch */

static inline enum platform_call call_kind(struct server_request *request)
{
	bool blocking = server_query_number(request, "index", 0) != 0;

	if (g_str_has_prefix(request->path, HEALTH_PREFIX))
		return blocking ? CALL_LIST_WATCH : CALL_LIST;
	if (!g_str_has_prefix(request->path, KV_PREFIX))
		return CALL_SESSION;
	if (strcmp(request->method, "PUT") == 0)
		return CALL_PUT;
	if (strcmp(request->method, "DELETE") == 0)
		return CALL_DELETE;
	return blocking ? CALL_WATCH : CALL_GET;
}

/** Counts a call once and starts its delay. */
static inline struct call_state *call_begin(struct standin_platform *platform,
					    struct server_request *request)
{
	struct call_state *state = request->state;

	if (state)
		return state;
	state = g_new0(struct call_state, 1);
	state->delay_until_ms = server_now() + platform->slow_ms;
	request->state = state;
	state->bytes = &platform->bytes[call_kind(request)];
	platform->calls[call_kind(request)]++;
	return state;
}

static inline enum server_result platform_handle(struct standin_server *server,
						 struct server_request *request)
{
	struct standin_platform *platform = (struct standin_platform *)server;
	struct call_state *state;

	if (g_str_has_prefix(request->path, "/control/"))
		return handle_control(platform, request);
	state = call_begin(platform, request);
	if (platform->down)
		return SERVER_CLOSE;
	if (server_now() < state->delay_until_ms) {
		request->wake_ms = state->delay_until_ms;
		return SERVER_WAIT;
	}
	if (g_str_has_prefix(request->path, KV_PREFIX))
		return handle_kv(platform, request);
	if (g_str_has_prefix(request->path, HEALTH_PREFIX))
		return handle_list(platform, request);
	if (g_str_has_prefix(request->path, SESSION_PREFIX))
		return handle_session(platform, request);
	return server_answer_text(request, MHD_HTTP_NOT_FOUND, "no such path");
}

/** Starts an empty platform on 127.0.0.1:@port (0: any free port); returns the port or 0. */
static inline uint16_t platform_start(struct standin_platform *platform, uint16_t port)
{
	platform->server.handle = platform_handle;
	platform->server.tick = platform_tick;
	platform->index = 1;
	platform->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, entry_free);
	platform->sessions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	platform->service_index = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	platform->instances = g_ptr_array_new_with_free_func(instance_free);
	g_queue_init(&platform->pending);
	return server_start(&platform->server, port, MAX_CONNECTIONS);
}

static inline void platform_stop(struct standin_platform *platform)
{
	server_stop(&platform->server);
	g_hash_table_destroy(platform->entries);
	g_hash_table_destroy(platform->sessions);
	g_hash_table_destroy(platform->service_index);
	g_ptr_array_free(platform->instances, TRUE);
	g_queue_clear_full(&platform->pending, instance_free);
}

#endif

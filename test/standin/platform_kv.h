/**
 * State of the stand-in of the platform, with its key-value store and sessions.
 */
#ifndef STANDIN_PLATFORM_KV_H
#define STANDIN_PLATFORM_KV_H

#include "server.h"

#include <json-c/json.h>
#include <stdlib.h>

#define KV_MAX_VALUE_BYTES (1024U * 1024)
#define MS_PER_S	   1000
#define MS_PER_MIN	   60000
#define KV_DEFAULT_WAIT_MS 300000
#define KV_PREFIX	   "/v1/kv/"
#define SESSION_PREFIX	   "/v1/session/"

enum platform_call {
	CALL_GET,
	CALL_WATCH,
	CALL_PUT,
	CALL_DELETE,
	CALL_SESSION,
	CALL_LIST,
	CALL_LIST_WATCH
};

/** Keys in the answer to GET /control/calls, indexed by enum platform_call. */
static const char *const call_names[] = { "kv_get",  "kv_watch", "kv_put",    "kv_delete",
					  "session", "list",	 "list_watch" };

#define CALL_KINDS G_N_ELEMENTS(call_names)

struct kv_entry {
	GBytes *value; /**< null: deleted */
	uint64_t created; /**< index of the write that created it */
	uint64_t modified; /**< index of the last write or delete */
	char *session; /**< id of the session that holds the lock; null: none */
};

struct session {
	int64_t ttl_ms; /**< 0: does not expire */
	int64_t expires_ms;
};

struct platform_instance {
	char *service;
	char *name;
	char *address; /**< IP:port */
	char *peer; /**< IP:port for calls from other instances; empty: none */
	char *domain;
	char *state; /**< "live", "leaving", or "gone", which removes it from the list */
	int64_t slots;
	int64_t apply_ms; /**< when the change appears in the list */
};

/** State of a request. */
struct call_state {
	uint64_t *bytes; /**< counter to which the response body's bytes are added */
	int64_t until_ms; /**< end of a blocking query; 0: not waiting yet */
	int64_t delay_until_ms; /**< end of the delay by slow_ms */
	bool counted;
};

struct standin_platform {
	struct standin_server server; /**< must be first */
	uint16_t port;
	uint64_t index; /**< of the last change, as in X-Consul-Index */
	GHashTable *entries; /**< key to struct kv_entry */
	GHashTable *sessions; /**< id to struct session */
	uint64_t session_count; /**< sessions created so far */
	GPtrArray *instances;
	uint64_t listed_instances; /**< instances in all responses to list calls so far */
	GQueue pending; /**< changes that are not in the list yet, in order of arrival */
	GHashTable *service_index; /**< service to guint64 index of its last change */
	uint64_t calls[CALL_KINDS];
	uint64_t bytes[CALL_KINDS]; /**< sent in response bodies */
	bool down; /**< closes all connections without a response */
	int64_t slow_ms; /**< delay of each call */
	int64_t lag_ms; /**< delay until a change of an instance appears in the list */
	int64_t lose_answers; /**< number of writes still to be left unanswered */
};

static inline void entry_free(void *data)
{
	struct kv_entry *entry = data;

	if (entry->value)
		g_bytes_unref(entry->value);
	g_free(entry->session);
	g_free(entry);
}

static inline void instance_free(void *data)
{
	struct platform_instance *instance = data;

	g_free(instance->service);
	g_free(instance->name);
	g_free(instance->address);
	g_free(instance->peer);
	g_free(instance->domain);
	g_free(instance->state);
	g_free(instance);
}

/** Increments the index for a change and wakes all waiting queries; returns the index. */
static inline uint64_t advance_index(struct standin_platform *platform)
{
	server_wake(&platform->server);
	return ++platform->index;
}

static inline enum server_result answer_json(struct server_request *request, unsigned int status,
					     struct json_object *json, uint64_t index)
{
	const char *text = json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN);
	char number[32];
	enum server_result result;

	if (request->state)
		*((struct call_state *)request->state)->bytes += strlen(text);
	g_snprintf(number, sizeof(number), "%" G_GUINT64_FORMAT, index);
	result = server_answer(request, status, text, strlen(text), "X-Consul-Index", number);
	json_object_put(json);
	return result;
}

/** Answers whether a write took effect, or closes the connection if the answer is to be lost. */
static inline enum server_result answer_write(struct standin_platform *platform,
					      struct server_request *request, bool done)
{
	if (platform->lose_answers > 0) {
		platform->lose_answers--;
		return SERVER_CLOSE;
	}
	return server_answer_text(request, MHD_HTTP_OK, done ? "true" : "false");
}

/* Blocking queries */

/** Returns the "wait" argument in ms; as in Consul, it may be in ms, s or m. */
static inline int64_t parse_wait_ms(struct server_request *request)
{
	const char *text = server_query_argument(request, "wait");
	char *unit = NULL;
	double number;

	if (!text)
		return KV_DEFAULT_WAIT_MS;
	number = g_ascii_strtod(text, &unit);
	if (strcmp(unit, "ms") == 0)
		return (int64_t)number;
	return (int64_t)(number * (strcmp(unit, "m") == 0 ? MS_PER_MIN : MS_PER_S));
}

/**
 * Returns true if a blocking query has to wait: it has an "index", @current is not above that, and
 * its "wait" time is not over.
 */
static inline bool must_wait(struct server_request *request, uint64_t current)
{
	struct call_state *state = request->state;
	uint64_t index = (uint64_t)server_query_number(request, "index", 0);

	if (index == 0 || current > index)
		return false;
	if (!state->until_ms)
		state->until_ms = server_now() + parse_wait_ms(request);
	request->wake_ms = state->until_ms;
	return server_now() < state->until_ms;
}

/* Key-value store */

/** Finds the entry of a key; null if it is absent or deleted. */
static inline struct kv_entry *entry_find(struct standin_platform *platform, const char *key)
{
	struct kv_entry *entry = g_hash_table_lookup(platform->entries, key);

	return entry && entry->value ? entry : NULL;
}

static inline struct json_object *entry_json(const char *key, const struct kv_entry *entry)
{
	struct json_object *json = json_object_new_object();
	gsize len;
	const guchar *data = g_bytes_get_data(entry->value, &len);
	char *text = g_base64_encode(data, len);

	json_object_object_add(json, "LockIndex", json_object_new_int64(0));
	json_object_object_add(json, "Key", json_object_new_string(key));
	json_object_object_add(json, "Flags", json_object_new_int64(0));
	json_object_object_add(json, "Value", len ? json_object_new_string(text) : NULL);
	json_object_object_add(json, "CreateIndex", json_object_new_int64((int64_t)entry->created));
	json_object_object_add(json, "ModifyIndex",
			       json_object_new_int64((int64_t)entry->modified));
	if (entry->session)
		json_object_object_add(json, "Session", json_object_new_string(entry->session));
	g_free(text);
	return json;
}

/** Answers a query with "?keys": the keys that begin with @prefix. */
static inline enum server_result kv_keys(struct standin_platform *platform,
					 struct server_request *request, const char *prefix)
{
	struct json_object *array = json_object_new_array();
	uint64_t index = 0;
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, platform->entries);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct kv_entry *entry = value;

		if (!g_str_has_prefix(key, prefix))
			continue;
		index = MAX(index, entry->modified);
		if (entry->value)
			json_object_array_add(array, json_object_new_string(key));
	}
	if (must_wait(request, index)) {
		json_object_put(array);
		return SERVER_WAIT;
	}
	return answer_json(request,
			   json_object_array_length(array) ? MHD_HTTP_OK : MHD_HTTP_NOT_FOUND,
			   array, index ? index : platform->index);
}

static inline enum server_result kv_get(struct standin_platform *platform,
					struct server_request *request, const char *key)
{
	struct kv_entry *stored = g_hash_table_lookup(platform->entries, key);
	struct kv_entry *entry = entry_find(platform, key);
	uint64_t index = entry ? entry->modified : platform->index;
	struct json_object *array;

	if (server_has_query_argument(request, "keys"))
		return kv_keys(platform, request, key);
	if (must_wait(request, stored ? stored->modified : 0))
		return SERVER_WAIT;
	if (!entry) {
		char number[32];

		g_snprintf(number, sizeof(number), "%" G_GUINT64_FORMAT, index);
		return server_answer(request, MHD_HTTP_NOT_FOUND, "", 0, "X-Consul-Index", number);
	}
	if (server_has_query_argument(request, "raw")) {
		gsize len;
		const char *data = g_bytes_get_data(entry->value, &len);

		return server_answer(request, MHD_HTTP_OK, data, len, NULL, NULL);
	}
	array = json_object_new_array();
	json_object_array_add(array, entry_json(key, entry));
	return answer_json(request, MHD_HTTP_OK, array, index);
}

static inline void entry_store(struct standin_platform *platform, const char *key,
			       const GByteArray *body, const char *session)
{
	struct kv_entry *old = entry_find(platform, key);
	struct kv_entry *entry = g_new0(struct kv_entry, 1);

	entry->value = g_bytes_new(body->data, body->len);
	entry->modified = advance_index(platform);
	entry->created = old ? old->created : entry->modified;
	entry->session = g_strdup(session ? session : old ? old->session : NULL);
	g_hash_table_replace(platform->entries, g_strdup(key), entry);
}

static inline bool kv_acquire(struct standin_platform *platform, struct server_request *request,
			      const char *key, const char *session)
{
	struct kv_entry *entry = entry_find(platform, key);

	if (!g_hash_table_contains(platform->sessions, session))
		return false;
	if (entry && entry->session && strcmp(entry->session, session) != 0)
		return false;
	entry_store(platform, key, request->body, session);
	return true;
}

static inline bool kv_release(struct standin_platform *platform, const char *key,
			      const char *session)
{
	struct kv_entry *entry = entry_find(platform, key);

	if (!entry || !entry->session || strcmp(entry->session, session) != 0)
		return false;
	g_clear_pointer(&entry->session, g_free);
	entry->modified = advance_index(platform);
	return true;
}

static inline bool cas_matches(struct standin_platform *platform, struct server_request *request,
			       const char *key)
{
	const char *cas = server_query_argument(request, "cas");
	struct kv_entry *entry = entry_find(platform, key);

	return !cas || g_ascii_strtoull(cas, NULL, 10) == (entry ? entry->modified : 0);
}

static inline enum server_result kv_put(struct standin_platform *platform,
					struct server_request *request, const char *key)
{
	const char *acquire = server_query_argument(request, "acquire");
	const char *release = server_query_argument(request, "release");
	bool done = cas_matches(platform, request, key);

	if (request->body->len > KV_MAX_VALUE_BYTES)
		return server_answer_text(request, MHD_HTTP_CONTENT_TOO_LARGE, "value too large");
	if (acquire)
		done = kv_acquire(platform, request, key, acquire);
	else if (release)
		done = kv_release(platform, key, release);
	else if (done)
		entry_store(platform, key, request->body, NULL);
	return answer_write(platform, request, done);
}

static inline enum server_result kv_delete(struct standin_platform *platform,
					   struct server_request *request, const char *key)
{
	bool done = cas_matches(platform, request, key);
	struct kv_entry *entry = entry_find(platform, key);

	if (done && entry) {
		g_clear_pointer(&entry->value, g_bytes_unref);
		g_clear_pointer(&entry->session, g_free);
		entry->modified = advance_index(platform);
	}
	return answer_write(platform, request, done);
}

static inline enum server_result handle_kv(struct standin_platform *platform,
					   struct server_request *request)
{
	const char *key = request->path + strlen(KV_PREFIX);

	if (strcmp(request->method, "PUT") == 0)
		return kv_put(platform, request, key);
	if (strcmp(request->method, "DELETE") == 0)
		return kv_delete(platform, request, key);
	return kv_get(platform, request, key);
}

/* Sessions */

static inline void release_locks(struct standin_platform *platform, const char *session)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, platform->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct kv_entry *entry = value;

		if (!entry->session || strcmp(entry->session, session) != 0)
			continue;
		g_clear_pointer(&entry->session, g_free);
		entry->modified = advance_index(platform);
	}
}

static inline int64_t session_ttl_ms(const GByteArray *body)
{
	char *text = g_strndup((const char *)body->data, body->len);
	struct json_object *json = json_tokener_parse(text);
	struct json_object *ttl = NULL;
	int64_t ttl_ms = 0;

	if (json_object_object_get_ex(json, "TTL", &ttl))
		ttl_ms = (int64_t)(g_ascii_strtod(json_object_get_string(ttl), NULL) * MS_PER_S);
	json_object_put(json);
	g_free(text);
	return ttl_ms;
}

static inline enum server_result session_create(struct standin_platform *platform,
						struct server_request *request)
{
	struct session *session = g_new0(struct session, 1);
	char *id = g_strdup_printf("00000000-0000-4000-8000-%012" G_GINT64_MODIFIER "x",
				   ++platform->session_count);
	struct json_object *json = json_object_new_object();

	session->ttl_ms = session_ttl_ms(request->body);
	session->expires_ms = session->ttl_ms ? server_now() + session->ttl_ms : INT64_MAX;
	g_hash_table_insert(platform->sessions, id, session);
	pthread_cond_signal(&platform->server.changed);
	json_object_object_add(json, "ID", json_object_new_string(id));
	return answer_json(request, MHD_HTTP_OK, json, platform->index);
}

static inline enum server_result session_renew(struct standin_platform *platform,
					       struct server_request *request, const char *id)
{
	struct session *session = g_hash_table_lookup(platform->sessions, id);

	if (!session)
		return server_answer_text(request, MHD_HTTP_NOT_FOUND, "no such session");
	if (session->ttl_ms)
		session->expires_ms = server_now() + session->ttl_ms;
	return server_answer_text(request, MHD_HTTP_OK, "[]");
}

static inline enum server_result handle_session(struct standin_platform *platform,
						struct server_request *request)
{
	const char *verb = request->path + strlen(SESSION_PREFIX);
	const char *id = strrchr(verb, '/');

	if (strcmp(verb, "create") == 0)
		return session_create(platform, request);
	if (id && g_str_has_prefix(verb, "renew/"))
		return session_renew(platform, request, id + 1);
	if (id && g_str_has_prefix(verb, "destroy/")) {
		release_locks(platform, id + 1);
		g_hash_table_remove(platform->sessions, id + 1);
		return answer_write(platform, request, true);
	}
	return server_answer_text(request, MHD_HTTP_NOT_FOUND, "no such path");
}

/** Removes expired sessions; returns the earliest expiry of the rest, INT64_MAX if none is left. */
static inline int64_t expire_sessions(struct standin_platform *platform, int64_t now_ms)
{
	int64_t next_ms = INT64_MAX;
	GHashTableIter iter;
	gpointer id;
	gpointer value;

	g_hash_table_iter_init(&iter, platform->sessions);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		struct session *session = value;

		if (session->expires_ms <= now_ms) {
			release_locks(platform, id);
			g_hash_table_iter_remove(&iter);
		} else {
			next_ms = MIN(next_ms, session->expires_ms);
		}
	}
	return next_ms;
}

#endif

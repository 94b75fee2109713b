/*
 * Platform back end for Consul's HTTP API: /v1/kv with ?cas= on the modify index, blocking queries
 * with ?index= and ?wait=, and /v1/health/service for the instance lists.
 */
#include "clock.h"
#include "http_client.h"
#include "platform.h"

#include <json-c/json.h>

#define HTTP_OK		   200
#define HTTP_NOT_FOUND	   404
#define HTTP_TOO_LARGE	   413
#define HTTP_SERVER_ERROR  500
#define INDEX_HEADER	   "X-Consul-Index"
#define TARGET_BYTES	   512
#define JSON_DEPTH	   16
#define MAX_RESPONSE_BYTES (32U * 1024 * 1024)
/**
 * Maximum number of queries in one watch; limits the load on a server that responds without
 * waiting.
 */
#define MAX_WATCH_QUERIES 8

struct consul {
	struct waxwing_platform base;
	char *address;
	uint32_t timeout_ms;
};

/* Calls */

static enum waxwing_http_result send_request(struct consul *consul, const char *method,
					     const char *target, struct waxwing_str body,
					     uint32_t wait_ms, struct waxwing_http_answer *answer)
{
	struct waxwing_http_call call = {
		.method = method,
		.address = consul->address,
		.target = target,
		.body = body,
		.answer_header = INDEX_HEADER,
		.max_answer_bytes = MAX_RESPONSE_BYTES,
		.timeout_ms = consul->timeout_ms + wait_ms,
	};
	enum waxwing_http_result end = waxwing_http_call(&call, answer);

	__atomic_fetch_add(&consul->base.calls, 1, __ATOMIC_RELAXED);
	if (end != WAXWING_HTTP_COMPLETE)
		__atomic_fetch_add(&consul->base.failures, 1, __ATOMIC_RELAXED);
	return end;
}

/** Sets the error for a read without a complete response. */
static enum waxwing_error_code read_failure(enum waxwing_http_result end, const char *target,
					    struct waxwing_error *error)
{
	switch (end) {
	case WAXWING_HTTP_TIMEOUT:
		return waxwing_error_set(error, WAXWING_ERROR_TIMEOUT, target,
					 "no response within the timeout");
	case WAXWING_HTTP_TOO_LARGE:
		return waxwing_error_set(error, WAXWING_ERROR_PLATFORM_ANSWER, target,
					 "response exceeds %u bytes", MAX_RESPONSE_BYTES);
	default:
		return waxwing_error_set(error, WAXWING_ERROR_PLATFORM_DOWN, target,
					 "no whole answer");
	}
}

/** Sets the error for a read whose response has an unexpected status. */
static enum waxwing_error_code read_status(unsigned int status, const char *target,
					   struct waxwing_error *error)
{
	enum waxwing_error_code code = status >= HTTP_SERVER_ERROR ? WAXWING_ERROR_PLATFORM_DOWN :
								     WAXWING_ERROR_PLATFORM_ANSWER;

	return waxwing_error_set(error, code, target, "status %u", status);
}

static enum waxwing_error_code set_malformed(const char *target, const char *part,
					     struct waxwing_error *error)
{
	return waxwing_error_set(error, WAXWING_ERROR_PLATFORM_ANSWER, target, "malformed %s",
				 part);
}

static uint64_t answer_index(const struct waxwing_http_answer *answer)
{
	uint64_t index = 0;

	waxwing_str_to_u64(waxwing_str(answer->header), 10, &index);
	return index;
}

/* JSON */

/** Parses a JSON array; returns null if @text is anything else or has trailing characters. */
static struct json_object *parse_array(const GString *text)
{
	struct json_tokener *tokener = json_tokener_new_ex(JSON_DEPTH);
	struct json_object *json = json_tokener_parse_ex(tokener, text->str, (int)text->len);
	size_t end = json_tokener_get_parse_end(tokener);
	bool whole = json_tokener_get_error(tokener) == json_tokener_success;

	json_tokener_free(tokener);
	while (end < text->len && g_ascii_isspace(text->str[end]))
		end++;
	if (whole && end == text->len && json_object_is_type(json, json_type_array))
		return json;
	json_object_put(json);
	return NULL;
}

/** Returns a string member, valid as long as @json; empty if it is absent or no string. */
static struct waxwing_str string_member(struct json_object *json, const char *key)
{
	struct json_object *value = NULL;

	if (!json_object_object_get_ex(json, key, &value) ||
	    !json_object_is_type(value, json_type_string))
		return waxwing_str("");
	return (struct waxwing_str){ (size_t)json_object_get_string_len(value),
				     json_object_get_string(value) };
}

/** Returns an integer member; 0 if it is absent or no integer. */
static uint64_t number_member(struct json_object *json, const char *key)
{
	struct json_object *value = NULL;

	if (!json_object_object_get_ex(json, key, &value) ||
	    !json_object_is_type(value, json_type_int))
		return 0;
	return json_object_get_uint64(value);
}

/** Decodes base64. Returns false if it is malformed, which g_base64_decode() doesn't detect. */
static bool decode_base64(struct waxwing_str text, char **data, size_t *len)
{
	size_t body = text.len;
	gsize decoded = 0;

	while (body > 0 && text.len - body < 2 && text.data[body - 1] == '=')
		body--;
	for (size_t i = 0; i < body; i++)
		if (!g_ascii_isalnum(text.data[i]) && text.data[i] != '+' && text.data[i] != '/')
			return false;
	if (text.len % 4 != 0)
		return false;
	*data = text.len ? (char *)g_base64_decode(text.data, &decoded) : g_strdup("");
	*len = decoded;
	return true;
}

/* Key-value store */

static char *kv_target(const char *key, const char *query)
{
	char *escaped = g_uri_escape_string(key, "/", FALSE);
	char *target = g_strdup_printf("/v1/kv/%s%s", escaped, query);

	g_free(escaped);
	return target;
}

static bool parse_entry(struct json_object *entry, struct waxwing_platform_value *value)
{
	struct json_object *text = NULL;

	value->revision = number_member(entry, "ModifyIndex");
	if (!value->revision || !json_object_object_get_ex(entry, "Value", &text))
		return false;
	if (text && !json_object_is_type(text, json_type_string))
		return false;
	return decode_base64(string_member(entry, "Value"), &value->data, &value->len);
}

static enum waxwing_error_code parse_value(const GString *text, const char *target,
					   struct waxwing_platform_value *value,
					   struct waxwing_error *error)
{
	struct json_object *array = parse_array(text);
	struct json_object *entry = array && json_object_array_length(array) == 1 ?
					    json_object_array_get_idx(array, 0) :
					    NULL;
	bool valid = json_object_is_type(entry, json_type_object) && parse_entry(entry, value);

	json_object_put(array);
	if (valid)
		return WAXWING_OK;
	waxwing_platform_value_clear(value);
	return set_malformed(target, "value", error);
}

/** Reads a key once. Sets *@index to the index in the response. */
static enum waxwing_error_code read_value(struct consul *consul, const char *target,
					  uint32_t wait_ms, struct waxwing_platform_value *value,
					  uint64_t *index, struct waxwing_error *error)
{
	struct waxwing_http_answer answer;
	enum waxwing_http_result end =
		send_request(consul, "GET", target, waxwing_str(""), wait_ms, &answer);
	enum waxwing_error_code code = WAXWING_OK;

	*value = (struct waxwing_platform_value){ 0 };
	*index = answer_index(&answer);
	if (end != WAXWING_HTTP_COMPLETE)
		code = read_failure(end, target, error);
	else if (answer.status == HTTP_OK)
		code = parse_value(answer.body, target, value, error);
	else if (answer.status != HTTP_NOT_FOUND)
		code = read_status(answer.status, target, error);
	waxwing_http_answer_clear(&answer);
	return code;
}

static enum waxwing_error_code consul_get(struct waxwing_platform *platform, const char *key,
					  struct waxwing_platform_value *value,
					  struct waxwing_error *error)
{
	char *target = kv_target(key, "");
	uint64_t index;
	enum waxwing_error_code code =
		read_value((struct consul *)platform, target, 0, value, &index, error);

	g_free(target);
	return code;
}

/*
 * Makes one blocking query, for the key's name only: a query for the value would transfer it
 * again even if it didn't change. Updates *@index, and sets *@changed if the key exists and the
 * index has changed. A missing response is PLATFORM_DOWN. Returns WAXWING_OK without a change too.
 */
static enum waxwing_error_code wait_for_change(struct consul *consul, const char *key,
					       uint64_t *index, uint32_t wait_ms, bool *changed,
					       struct waxwing_error *error)
{
	struct waxwing_http_answer answer;
	enum waxwing_error_code code = WAXWING_OK;
	enum waxwing_http_result end;
	char query[TARGET_BYTES];
	char *target;
	uint64_t seen;

	g_snprintf(query, sizeof(query), "?keys&index=%" G_GUINT64_FORMAT "&wait=%ums", *index,
		   wait_ms);
	target = kv_target(key, query);
	end = send_request(consul, "GET", target, waxwing_str(""), wait_ms, &answer);
	seen = answer_index(&answer);
	if (end == WAXWING_HTTP_TIMEOUT)
		code = waxwing_error_set(error, WAXWING_ERROR_PLATFORM_DOWN, target,
					 "no response to a blocking query");
	else if (end != WAXWING_HTTP_COMPLETE)
		code = read_failure(end, target, error);
	else if (answer.status != HTTP_OK && answer.status != HTTP_NOT_FOUND)
		code = read_status(answer.status, target, error);
	*changed = seen != *index && answer.status == HTTP_OK;
	/* A lower index means that the platform was restored: start over. */
	*index = seen < *index ? 1 : seen;
	waxwing_http_answer_clear(&answer);
	g_free(target);
	return code;
}

/* Reads a key. *@value has revision 0 if the key is still at @revision. */
static enum waxwing_error_code read_changed(struct waxwing_platform *platform, const char *key,
					    uint64_t revision, struct waxwing_platform_value *value,
					    struct waxwing_error *error)
{
	enum waxwing_error_code code = consul_get(platform, key, value, error);

	if (code == WAXWING_ERROR_TIMEOUT)
		code = waxwing_error_set(error, WAXWING_ERROR_PLATFORM_DOWN, key, "no response");
	if (code != WAXWING_OK || value->revision != revision)
		return code;
	waxwing_platform_value_clear(value);
	return code;
}

static enum waxwing_error_code consul_watch(struct waxwing_platform *platform, const char *key,
					    uint64_t revision, uint32_t wait_ms,
					    struct waxwing_platform_value *value,
					    struct waxwing_error *error)
{
	int64_t end_ms = waxwing_clock_now(waxwing_clock_monotonic()) + wait_ms;
	int64_t left_ms = wait_ms;
	uint64_t index = MAX(revision, 1);

	*value = (struct waxwing_platform_value){ 0 };
	for (unsigned int i = 0; i < MAX_WATCH_QUERIES && left_ms > 0; i++) {
		bool changed;
		enum waxwing_error_code code = wait_for_change(
			(struct consul *)platform, key, &index, (uint32_t)left_ms, &changed, error);

		if (code == WAXWING_OK && changed)
			code = read_changed(platform, key, revision, value, error);
		if (code != WAXWING_OK || value->revision)
			return code;
		left_ms = end_ms - waxwing_clock_now(waxwing_clock_monotonic());
	}
	return waxwing_error_set(error, WAXWING_ERROR_TIMEOUT, key, "no change");
}

static enum waxwing_error_code put_status(const struct waxwing_http_answer *answer, const char *key,
					  struct waxwing_error *error)
{
	struct waxwing_str text = waxwing_str(g_strstrip(answer->body->str));

	if (answer->status == HTTP_OK && waxwing_str_equal(text, waxwing_str("true")))
		return WAXWING_OK;
	if (answer->status == HTTP_OK && waxwing_str_equal(text, waxwing_str("false")))
		return waxwing_error_set(error, WAXWING_ERROR_CONFLICT, key,
					 "key was changed concurrently");
	if (answer->status == HTTP_TOO_LARGE)
		return waxwing_error_set(error, WAXWING_ERROR_TOO_LARGE, key, "status %u",
					 answer->status);
	if (answer->status != HTTP_OK && answer->status < HTTP_SERVER_ERROR)
		return waxwing_error_set(error, WAXWING_ERROR_PLATFORM_ANSWER, key, "status %u",
					 answer->status);
	return waxwing_error_set(error, WAXWING_ERROR_TIMEOUT, key, "status %u, outcome unknown",
				 answer->status);
}

static enum waxwing_error_code put_result(enum waxwing_http_result end,
					  const struct waxwing_http_answer *answer, const char *key,
					  struct waxwing_error *error)
{
	if (end == WAXWING_HTTP_COMPLETE)
		return put_status(answer, key, error);
	if (end == WAXWING_HTTP_UNREACHABLE)
		return waxwing_error_set(error, WAXWING_ERROR_PLATFORM_DOWN, key,
					 "connection failed");
	return waxwing_error_set(error, WAXWING_ERROR_TIMEOUT, key,
				 "no complete response to a write");
}

static enum waxwing_error_code consul_put(struct waxwing_platform *platform, const char *key,
					  uint64_t revision, struct waxwing_str data,
					  struct waxwing_error *error)
{
	struct waxwing_http_answer answer;
	enum waxwing_error_code code;
	enum waxwing_http_result end;
	char query[TARGET_BYTES];
	char *target;

	if (data.len > WAXWING_PLATFORM_VALUE_BYTES)
		return waxwing_error_set(error, WAXWING_ERROR_TOO_LARGE, key,
					 "value of %zu bytes exceeds %u bytes", data.len,
					 WAXWING_PLATFORM_VALUE_BYTES);
	g_snprintf(query, sizeof(query), "?cas=%" G_GUINT64_FORMAT, revision);
	target = kv_target(key, query);
	end = send_request((struct consul *)platform, "PUT", target, data, 0, &answer);
	code = put_result(end, &answer, key, error);
	waxwing_http_answer_clear(&answer);
	g_free(target);
	return code;
}

static enum waxwing_error_code consul_remove(struct waxwing_platform *platform, const char *key,
					     struct waxwing_error *error)
{
	struct waxwing_http_answer answer;
	char *target = kv_target(key, "");
	enum waxwing_http_result end = send_request((struct consul *)platform, "DELETE", target,
						    waxwing_str(""), 0, &answer);
	enum waxwing_error_code code = WAXWING_OK;

	if (end != WAXWING_HTTP_COMPLETE)
		code = read_failure(end, target, error);
	else if (answer.status != HTTP_OK)
		code = read_status(answer.status, target, error);
	waxwing_http_answer_clear(&answer);
	g_free(target);
	return code;
}

/* Instance list */

static struct json_object *object_member(struct json_object *json, const char *key)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(json, key, &value);
	return json_object_is_type(value, json_type_object) ? value : NULL;
}

/**
 * Whether a health check is critical. Such an instance counts as leaving, so that it gets no new
 * work.
 */
static bool is_critical(struct json_object *entry)
{
	struct json_object *checks = NULL;

	if (!json_object_object_get_ex(entry, "Checks", &checks) ||
	    !json_object_is_type(checks, json_type_array))
		return false;
	for (size_t i = 0; i < json_object_array_length(checks); i++) {
		struct json_object *check = json_object_array_get_idx(checks, i);

		if (waxwing_str_equal(string_member(check, "Status"), waxwing_str("critical")))
			return true;
	}
	return false;
}

static char *format_peer_address(struct json_object *meta, struct waxwing_str host)
{
	struct waxwing_str address = string_member(meta, "peer_address");
	struct waxwing_str port = string_member(meta, "peer_port");

	if (address.len)
		return waxwing_str_dup(address);
	if (!port.len)
		return g_strdup("");
	return g_strdup_printf("%.*s:%.*s", WAXWING_STR_ARG(host), WAXWING_STR_ARG(port));
}

static char *format_http_address(struct waxwing_str host, uint64_t port)
{
	bool ipv6 = memchr(host.data, ':', host.len) != NULL;

	return g_strdup_printf("%s%.*s%s:%" G_GUINT64_FORMAT, ipv6 ? "[" : "",
			       WAXWING_STR_ARG(host), ipv6 ? "]" : "", port);
}

static uint32_t parse_slots(struct json_object *meta)
{
	uint64_t slots = 0;

	waxwing_str_to_u64(string_member(meta, "slots"), 10, &slots);
	return (uint32_t)MIN(slots, UINT32_MAX);
}

static bool parse_instance(struct json_object *entry, struct waxwing_platform_instance *instance)
{
	struct json_object *node = object_member(entry, "Node");
	struct json_object *service = object_member(entry, "Service");
	struct json_object *meta = object_member(service, "Meta");
	struct waxwing_str host = string_member(service, "Address");
	struct waxwing_str name = string_member(service, "ID");
	struct waxwing_str domain = string_member(meta, "domain");

	if (!host.len)
		host = string_member(node, "Address");
	if (!domain.len)
		domain = string_member(node, "Datacenter");
	instance->name = waxwing_str_dup(name);
	instance->address = format_http_address(host, number_member(service, "Port"));
	instance->peer_address = format_peer_address(meta, host);
	instance->domain = waxwing_str_dup(domain);
	instance->slots = parse_slots(meta);
	instance->leaving =
		waxwing_str_equal(string_member(meta, "state"), waxwing_str("leaving")) ||
		is_critical(entry);
	return name.len && waxwing_http_address_valid(instance->address);
}

static enum waxwing_error_code parse_list(const GString *text, const char *target,
					  struct waxwing_platform_list *list,
					  struct waxwing_error *error)
{
	struct json_object *array = parse_array(text);
	size_t count = array ? json_object_array_length(array) : 0;
	bool valid = array != NULL;

	list->items = g_new0(struct waxwing_platform_instance, count);
	for (size_t i = 0; i < count && valid; i++) {
		valid = parse_instance(json_object_array_get_idx(array, i), &list->items[i]);
		list->count = i + 1;
	}
	json_object_put(array);
	if (valid)
		return WAXWING_OK;
	waxwing_platform_list_clear(list);
	return set_malformed(target, "instance list", error);
}

static char *list_target(const char *service, const char *filter, uint64_t index, uint32_t wait_ms)
{
	char *name = g_uri_escape_string(service, NULL, FALSE);
	char *expression = filter ? g_uri_escape_string(filter, NULL, FALSE) : NULL;
	GString *target = g_string_new("/v1/health/service/");

	g_string_append(target, name);
	if (wait_ms)
		g_string_append_printf(target, "?index=%" G_GUINT64_FORMAT "&wait=%ums", index,
				       wait_ms);
	if (expression)
		g_string_append_printf(target, "%cfilter=%s", wait_ms ? '&' : '?', expression);
	g_free(expression);
	g_free(name);
	return g_string_free(target, FALSE);
}

static enum waxwing_error_code consul_list(struct waxwing_platform *platform, const char *service,
					   const char *filter, uint64_t index, uint32_t wait_ms,
					   struct waxwing_platform_list *list,
					   struct waxwing_error *error)
{
	struct consul *consul = (struct consul *)platform;
	char *target = list_target(service, filter, index, wait_ms);
	struct waxwing_http_answer answer;
	enum waxwing_http_result end =
		send_request(consul, "GET", target, waxwing_str(""), wait_ms, &answer);
	enum waxwing_error_code code;

	*list = (struct waxwing_platform_list){ .index = MAX(answer_index(&answer), 1) };
	if (end != WAXWING_HTTP_COMPLETE)
		code = read_failure(end, target, error);
	else if (answer.status != HTTP_OK)
		code = read_status(answer.status, target, error);
	else
		code = parse_list(answer.body, target, list, error);
	waxwing_http_answer_clear(&answer);
	g_free(target);
	return code;
}

static void consul_destroy(struct waxwing_platform *platform)
{
	struct consul *consul = (struct consul *)platform;

	g_free(consul->address);
	g_free(consul);
}

static const struct waxwing_platform_ops consul_ops = {
	.get = consul_get,
	.watch = consul_watch,
	.put = consul_put,
	.remove = consul_remove,
	.list = consul_list,
	.destroy = consul_destroy,
};

struct waxwing_platform *
waxwing_platform_consul_create(const struct waxwing_platform_consul_options *options,
			       struct waxwing_error *error)
{
	struct consul *consul;

	if (!waxwing_http_address_valid(options->address)) {
		waxwing_error_set(error, WAXWING_ERROR_RANGE, "platform",
				  "\"%s\" is not an IP:port address", options->address);
		return NULL;
	}
	consul = g_new0(struct consul, 1);
	consul->base.ops = &consul_ops;
	consul->address = g_strdup(options->address);
	consul->timeout_ms = options->timeout_ms;
	return &consul->base;
}

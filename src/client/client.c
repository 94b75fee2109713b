#include "client_private.h"
#include "clock.h"
#include "window.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <sys/random.h>

#define DEFAULT_TIMEOUT_MS    30000
#define DEFAULT_ATTEMPTS      6
#define DEFAULT_PAUSE_MS      200
#define DEFAULT_WINDOW_AGE_MS 20000
#define DEFAULT_ANSWER_BYTES  (64 * 1024 * 1024)
#define WINDOW_HEADER	      "Waxwing-Window"
#define WINDOW_TARGET	      "/v1/window"

static enum waxwing_error_code check_options(const struct waxwing_client_options *options,
					     struct waxwing_error *error)
{
	char path[32];

	if (!options->instance_count)
		return waxwing_error_set(error, WAXWING_ERROR_MISSING, "instances",
					 "no instance is given");
	if (!options->caller || !*options->caller)
		return waxwing_error_set(error, WAXWING_ERROR_MISSING, "caller",
					 "no caller name is given");
	for (size_t i = 0; i < options->instance_count; i++) {
		if (waxwing_http_address_valid(options->instances[i]))
			continue;
		g_snprintf(path, sizeof(path), "instances[%zu]", i);
		return waxwing_error_set(error, WAXWING_ERROR_RANGE, path,
					 "not an IP:port address");
	}
	return WAXWING_OK;
}

struct waxwing_client *waxwing_client_create(const struct waxwing_client_options *options,
					     struct waxwing_error *error)
{
	struct waxwing_client *client;
	uint64_t nonce;

	if (check_options(options, error))
		return NULL;
	if (getrandom(&nonce, sizeof(nonce), 0) != sizeof(nonce)) {
		waxwing_error_set(error, WAXWING_ERROR_SYSTEM, NULL, "cannot get random numbers");
		return NULL;
	}
	client = g_new0(struct waxwing_client, 1);
	client->nonce = nonce;
	client->instance_count = options->instance_count;
	client->instances = g_new0(char *, options->instance_count);
	for (size_t i = 0; i < options->instance_count; i++)
		client->instances[i] = g_strdup(options->instances[i]);
	client->caller = g_strdup(options->caller);
	client->timeout_ms = options->timeout_ms ? options->timeout_ms : DEFAULT_TIMEOUT_MS;
	client->attempts = options->attempts ? options->attempts : DEFAULT_ATTEMPTS;
	client->pause_ms = options->pause_ms ? options->pause_ms : DEFAULT_PAUSE_MS;
	client->window_age_ms =
		options->window_age_ms ? options->window_age_ms : DEFAULT_WINDOW_AGE_MS;
	client->answer_bytes = options->answer_bytes ? options->answer_bytes : DEFAULT_ANSWER_BYTES;
	client->next_instance = nonce % options->instance_count;
	pthread_mutex_init(&client->lock, NULL);
	return client;
}

void waxwing_client_destroy(struct waxwing_client *client)
{
	if (!client)
		return;
	for (size_t i = 0; i < client->instance_count; i++)
		g_free(client->instances[i]);
	pthread_mutex_destroy(&client->lock);
	g_free(client->instances);
	g_free(client->caller);
	g_free(client->window);
	g_free(client);
}

const char *waxwing_client_next_instance(struct waxwing_client *client)
{
	const char *instance;

	pthread_mutex_lock(&client->lock);
	instance = client->instances[client->next_instance++ % client->instance_count];
	pthread_mutex_unlock(&client->lock);
	return instance;
}

void waxwing_client_set_window(struct waxwing_client *client, const char *window)
{
	struct waxwing_window parsed;

	if (window && waxwing_window_parse(waxwing_str(window), &parsed, NULL))
		return;
	pthread_mutex_lock(&client->lock);
	g_free(client->window);
	client->window = g_strdup(window);
	client->window_received_ms = waxwing_clock_now(waxwing_clock_monotonic());
	pthread_mutex_unlock(&client->lock);
}

enum waxwing_http_result waxwing_client_call(struct waxwing_client *client, const char *instance,
					     const char *method, const char *target,
					     struct waxwing_str body,
					     struct waxwing_http_answer *answer)
{
	struct waxwing_http_call call = {
		.method = method,
		.address = instance,
		.target = target,
		.body = body,
		.answer_header = WINDOW_HEADER,
		.max_answer_bytes = client->answer_bytes,
		.timeout_ms = client->timeout_ms,
	};

	return waxwing_http_call(&call, answer);
}

/** Parses {"window":"..."}; null if @body has another form. Free the result with g_free(). */
static char *parse_window(const GString *body)
{
	struct json_object *root = json_tokener_parse(body->str);
	struct json_object *value;
	char *window = NULL;

	if (json_object_is_type(root, json_type_object) &&
	    json_object_object_get_ex(root, "window", &value) &&
	    json_object_is_type(value, json_type_string))
		window = g_strdup(json_object_get_string(value));
	json_object_put(root);
	return window;
}

static enum waxwing_error_code fetch_window(struct waxwing_client *client, const char *instance,
					    struct waxwing_error *error)
{
	struct waxwing_http_answer answer;
	enum waxwing_http_result result = waxwing_client_call(
		client, instance, "GET", WINDOW_TARGET, waxwing_str(""), &answer);
	enum waxwing_error_code code = WAXWING_OK;
	struct waxwing_window parsed;
	char *window = NULL;

	if (result == WAXWING_HTTP_UNREACHABLE)
		code = WAXWING_ERROR_UNREACHABLE;
	else if (result != WAXWING_HTTP_COMPLETE)
		code = WAXWING_ERROR_TIMEOUT;
	else
		window = parse_window(answer.body);
	if (!code && (!window || waxwing_window_parse(waxwing_str(window), &parsed, NULL)))
		code = WAXWING_ERROR_SYNTAX;
	if (code)
		waxwing_error_set(error, code, instance, "no valid window received");
	else
		waxwing_client_set_window(client, window);
	g_free(window);
	waxwing_http_answer_clear(&answer);
	return code;
}

enum waxwing_error_code waxwing_client_refresh(struct waxwing_client *client,
					       struct waxwing_error *error)
{
	enum waxwing_error_code code = WAXWING_ERROR_UNREACHABLE;

	for (size_t i = 0; i < client->instance_count; i++) {
		code = fetch_window(client, waxwing_client_next_instance(client), error);
		if (!code)
			break;
	}
	return code;
}

/**
 * Generates an id within the current window. False without a window, or if it is too old and
 * @any_age is false.
 */
static bool generate_id(struct waxwing_client *client, bool any_age, char *id)
{
	int64_t now_ms = waxwing_clock_now(waxwing_clock_monotonic());
	bool usable;

	pthread_mutex_lock(&client->lock);
	usable = client->window &&
		 (any_age || now_ms - client->window_received_ms < client->window_age_ms);
	if (usable)
		g_snprintf(id, WAXWING_CLIENT_ID_BYTES, "%s/%016" PRIx64 "-%" PRIu64,
			   client->window, client->nonce, ++client->last_id_number);
	pthread_mutex_unlock(&client->lock);
	return usable;
}

enum waxwing_error_code waxwing_client_new_id(struct waxwing_client *client, char *id,
					      struct waxwing_error *error)
{
	enum waxwing_error_code code;

	if (generate_id(client, false, id))
		return WAXWING_OK;
	do {
		code = waxwing_client_refresh(client, error);
		if (code)
			return code;
	} while (!generate_id(client, true, id));
	return WAXWING_OK;
}

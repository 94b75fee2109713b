#include "platform_watch.h"

#define LOG_COMPONENT "platform"
#include "log.h"

#include "counters.h"
#include "platform.h"
#include "settings_log.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <unistd.h>
#include <urcu.h>

#define INSTANCE_SERVICE "waxwing"
#define UPSTREAM_SERVICE "upstream"
/* How long a query blocks on the platform. Closing the watches takes up to this time. */
#define WATCH_MS	2000
#define CALL_TIMEOUT_MS 2000
/* Filter expression that matches no instance. */
#define MATCH_NONE_FILTER "Service.ID == \"\""
/* Number of waits after which a list is read even if its index hasn't changed. */
#define LIST_REFRESH_WAITS 300
#define BACKOFF_MIN_MS	   100
#define BACKOFF_MAX_MS	   3000
/* Interval at which a back-off checks whether the watches are being closed. */
#define BACKOFF_STEP_MS 50
#define US_PER_MS	1000

/* A watch with its thread. */
struct platform_watcher {
	struct waxwing_platform_watch *watch;
	const char *subject; /* for logs and counters; static string */
	enum waxwing_error_code (*poll)(struct platform_watcher *watcher,
					struct waxwing_error *error);
	struct waxwing_platform *platform;
	pthread_t thread;
	bool started;
	uint64_t index; /* revision or list index last read; 0 before the first read */
	struct waxwing_platform_list list; /* last list read */
	uint32_t waits; /* number of waits for a change of the list */
	bool failing;
};

struct waxwing_platform_watch {
	struct waxwing_core *core;
	char *settings_key;
	char *upstream_filter; /* filter expression for this domain; null: all upstreams */
	atomic_bool closing;
	struct platform_watcher watchers[3];
};

static void set_settings_revision(struct platform_watcher *watcher, uint64_t revision)
{
	if (revision < watcher->index) {
		waxwing_counter_increment(settings_went_back);
		log_warning("settings revision on the platform went back from %" PRIu64
			    " to %" PRIu64 "; after a restore, raise limits.generation",
			    watcher->index, revision);
	}
	watcher->index = revision;
}

static char *fetch_base(void *context, const char *key, struct waxwing_error *error)
{
	struct waxwing_platform *platform = context;
	struct waxwing_platform_value value = { 0 };
	enum waxwing_error_code code = platform->ops->get(platform, key, &value, error);

	if (code == WAXWING_OK && value.revision)
		return value.data;
	waxwing_platform_value_clear(&value);
	/* PLATFORM_DOWN, so that the watch retries: the head may then refer to another base. */
	waxwing_error_set(error, WAXWING_ERROR_PLATFORM_DOWN, key, "cannot read the base document");
	return NULL;
}

/* Returns a copy of the current settings document; free with g_free(). */
static char *current_document(struct waxwing_core *core)
{
	struct waxwing_settings_store *store = waxwing_core_settings_store(core);
	const struct waxwing_settings *settings = waxwing_settings_read_begin(store);
	char *document =
		settings ? waxwing_str_dup(waxwing_settings_document(settings)) : g_strdup("");

	waxwing_settings_read_end(store);
	return document;
}

/*
 * Parses the settings in a value, fetching its base if needed; returns null and sets @error on
 * failure.
 */
static struct waxwing_settings *parse_settings_value(const struct platform_watcher *watcher,
						     const struct waxwing_platform_value *value,
						     struct waxwing_error *error)
{
	const struct waxwing_base_reader fetch = { fetch_base, watcher->platform };
	struct waxwing_str head = { value->len, value->data };
	struct waxwing_settings *settings = NULL;
	char *current = NULL;
	char *document;

	if (!waxwing_settings_is_head(head))
		return waxwing_settings_parse(head, value->revision, error);
	current = current_document(watcher->watch->core);
	document = waxwing_settings_resolve(head, waxwing_str(current), &fetch, error);
	if (document)
		settings = waxwing_settings_parse(waxwing_str(document), value->revision, error);
	if (settings)
		waxwing_settings_set_head(settings, head);
	g_free(document);
	g_free(current);
	return settings;
}

static enum waxwing_error_code poll_settings(struct platform_watcher *watcher,
					     struct waxwing_error *error)
{
	struct waxwing_platform *platform = watcher->platform;
	struct waxwing_platform_value value = { 0 };
	struct waxwing_settings *settings;
	enum waxwing_error_code code;

	code = platform->ops->watch(platform, watcher->watch->settings_key, watcher->index,
				    WATCH_MS, &value, error);
	if (code != WAXWING_OK)
		return code;
	settings = parse_settings_value(watcher, &value, error);
	if (!settings && error->code == WAXWING_ERROR_PLATFORM_DOWN) {
		waxwing_platform_value_clear(&value);
		return error->code;
	}
	set_settings_revision(watcher, value.revision);
	if (settings) {
		waxwing_core_set_settings(watcher->watch->core, settings);
	} else {
		waxwing_counter_increment(settings_refused);
		log_error("settings revision %" PRIu64 " refused: %s at %s, line %u",
			  value.revision, waxwing_error_name(error->code), error->path,
			  error->line);
	}
	waxwing_platform_value_clear(&value);
	return WAXWING_OK;
}

/*
 * Waits for a change with a filter that matches nothing, because the whole list would otherwise be
 * transferred after each wait. Every LIST_REFRESH_WAITS waits the list is considered changed
 * anyway, since a restored platform may have the same index for a different list.
 */
static enum waxwing_error_code wait_list_change(struct platform_watcher *watcher,
						const char *service, bool *changed,
						struct waxwing_error *error)
{
	struct waxwing_platform *platform = watcher->platform;
	struct waxwing_platform_list none = { 0 };
	enum waxwing_error_code code;

	*changed = true;
	if (!watcher->index || ++watcher->waits % LIST_REFRESH_WAITS == 0)
		return WAXWING_OK;
	code = platform->ops->list(platform, service, MATCH_NONE_FILTER, watcher->index, WATCH_MS,
				   &none, error);
	*changed = none.index != watcher->index;
	waxwing_platform_list_clear(&none);
	return code;
}

static enum waxwing_error_code read_list(struct platform_watcher *watcher, const char *service,
					 const char *filter, struct waxwing_error *error)
{
	struct waxwing_platform *platform = watcher->platform;
	struct waxwing_platform_list list = { 0 };
	enum waxwing_error_code code =
		platform->ops->list(platform, service, filter, 0, 0, &list, error);

	if (code != WAXWING_OK)
		return code;
	waxwing_platform_list_clear(&watcher->list);
	watcher->list = list;
	watcher->index = list.index;
	return WAXWING_OK;
}

/*
 * Waits for a change and passes the list to the core. An unchanged list is passed too: receivers
 * need to know that it is still current.
 */
static enum waxwing_error_code
poll_list(struct platform_watcher *watcher, const char *service, const char *filter,
	  void (*publish)(struct waxwing_core *core, struct waxwing_platform_list *list),
	  struct waxwing_error *error)
{
	struct waxwing_platform_list list;
	bool changed;
	enum waxwing_error_code code = wait_list_change(watcher, service, &changed, error);

	if (code == WAXWING_OK && changed)
		code = read_list(watcher, service, filter, error);
	if (code != WAXWING_OK)
		return code;
	waxwing_platform_list_copy(&list, &watcher->list);
	publish(watcher->watch->core, &list);
	return WAXWING_OK;
}

static enum waxwing_error_code poll_instances(struct platform_watcher *watcher,
					      struct waxwing_error *error)
{
	return poll_list(watcher, INSTANCE_SERVICE, NULL, waxwing_core_set_instances, error);
}

static enum waxwing_error_code poll_upstreams(struct platform_watcher *watcher,
					      struct waxwing_error *error)
{
	return poll_list(watcher, UPSTREAM_SERVICE, watcher->watch->upstream_filter,
			 waxwing_core_set_upstreams, error);
}

static void sleep_backoff(struct platform_watcher *watcher, uint32_t delay_ms)
{
	uint32_t jittered = delay_ms / 2 + g_random_int() % (delay_ms / 2 + 1);

	for (uint32_t slept = 0; slept < jittered; slept += BACKOFF_STEP_MS) {
		if (atomic_load(&watcher->watch->closing))
			return;
		usleep(BACKOFF_STEP_MS * US_PER_MS);
	}
}

static void log_state_change(struct platform_watcher *watcher, const struct waxwing_error *error)
{
	bool failing = error->code != WAXWING_OK;

	if (failing && !watcher->failing)
		log_warning("watch of %s failed: %s", watcher->subject,
			    waxwing_strerror(error->code));
	else if (!failing && watcher->failing)
		log_notice("watch of %s recovered", watcher->subject);
	watcher->failing = failing;
}

static void *watcher_thread(void *argument)
{
	struct platform_watcher *watcher = argument;
	uint32_t delay_ms = BACKOFF_MIN_MS;

	rcu_register_thread();
	while (!atomic_load(&watcher->watch->closing)) {
		struct waxwing_error error = WAXWING_ERROR_INIT;
		enum waxwing_error_code code = watcher->poll(watcher, &error);

		if (code == WAXWING_OK || (code == WAXWING_ERROR_TIMEOUT && watcher->index)) {
			error.code = WAXWING_OK;
			delay_ms = BACKOFF_MIN_MS;
			log_state_change(watcher, &error);
			continue;
		}
		log_state_change(watcher, &error);
		sleep_backoff(watcher, delay_ms);
		delay_ms = MIN(2 * delay_ms, BACKOFF_MAX_MS);
	}
	rcu_unregister_thread();
	return NULL;
}

static bool start_watcher(struct platform_watcher *watcher, const char *address,
			  struct waxwing_error *error)
{
	const struct waxwing_platform_consul_options options = {
		.address = address,
		.timeout_ms = CALL_TIMEOUT_MS,
	};

	watcher->platform = waxwing_platform_consul_create(&options, error);
	if (!watcher->platform)
		return false;
	watcher->started = pthread_create(&watcher->thread, NULL, watcher_thread, watcher) == 0;
	if (!watcher->started)
		waxwing_error_set(error, WAXWING_ERROR_SYSTEM, "", "cannot start a watch thread");
	return watcher->started;
}

/*
 * Returns a filter for the upstreams of a failure domain. It matches the datacenter too, whose name
 * is the domain of an upstream that registered none. Returns null, which matches all upstreams, if
 * @domain has a quote or backslash and so can't be quoted.
 */
static char *domain_filter(const char *domain)
{
	if (strpbrk(domain, "\"\\"))
		return NULL;
	return g_strdup_printf("Service.Meta.domain == \"%s\" or Node.Datacenter == \"%s\"", domain,
			       domain);
}

struct waxwing_platform_watch *
waxwing_platform_watch_open(const struct waxwing_platform_watch_options *options,
			    struct waxwing_error *error)
{
	struct waxwing_platform_watch *watch = g_new0(struct waxwing_platform_watch, 1);
	const struct platform_watcher templates[] = {
		{ .subject = "the settings", .poll = poll_settings },
		{ .subject = "the entry instances", .poll = poll_instances },
		{ .subject = "the upstreams", .poll = poll_upstreams },
	};

	watch->core = options->core;
	watch->settings_key = g_strdup(options->settings_key);
	watch->upstream_filter = domain_filter(options->domain);
	for (size_t i = 0; i < G_N_ELEMENTS(templates); i++) {
		watch->watchers[i] = templates[i];
		watch->watchers[i].watch = watch;
		if (!start_watcher(&watch->watchers[i], options->platform, error)) {
			waxwing_platform_watch_close(watch);
			return NULL;
		}
	}
	return watch;
}

bool waxwing_platform_watch_view(const struct waxwing_platform_watch *watch, size_t index,
				 struct waxwing_platform_watch_view *view)
{
	const struct platform_watcher *watcher;

	if (index >= G_N_ELEMENTS(watch->watchers))
		return false;
	watcher = &watch->watchers[index];
	view->subject = watcher->subject;
	view->calls = __atomic_load_n(&watcher->platform->calls, __ATOMIC_RELAXED);
	view->failures = __atomic_load_n(&watcher->platform->failures, __ATOMIC_RELAXED);
	return true;
}

void waxwing_platform_watch_close(struct waxwing_platform_watch *watch)
{
	atomic_store(&watch->closing, true);
	for (size_t i = 0; i < G_N_ELEMENTS(watch->watchers); i++) {
		struct platform_watcher *watcher = &watch->watchers[i];

		if (watcher->started)
			pthread_join(watcher->thread, NULL);
		if (watcher->platform)
			watcher->platform->ops->destroy(watcher->platform);
		waxwing_platform_list_clear(&watcher->list);
	}
	g_free(watch->settings_key);
	g_free(watch->upstream_filter);
	g_free(watch);
}

#include "platform_watch.h"

#define LOG_PART "platform"
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
/* A watch waits this long at the platform; closing waits for it. */
#define WATCH_MS	2000
#define CALL_TIMEOUT_MS 2000
/* Filter that no instance passes, and waits after which a list is read though its index is the same. */
#define NO_INSTANCE	    "Service.ID == \"\""
#define WAITS_A_LIST	    300
#define BACK_OFF_FIRST_MS   100
#define BACK_OFF_LONGEST_MS 3000
/* Step in which a back-off looks whether it is to end. */
#define BACK_OFF_STEP_MS 50
#define US_PER_MS	 1000

/* One of the three watches. */
struct watcher {
	struct waxwing_platform_watch *watch;
	const char *what;
	enum waxwing_error_code (*look)(struct watcher *watcher, struct waxwing_error *error);
	struct waxwing_platform *platform;
	pthread_t thread;
	bool started;
	uint64_t index;
	struct waxwing_platform_list list; /* last read */
	uint32_t waits; /* for a change of it */
	bool down;
};

struct waxwing_platform_watch {
	struct waxwing_core *core;
	char *settings_key;
	char *own_upstreams; /* filter; null: all */
	atomic_bool closing;
	struct watcher watchers[3];
};

static void note_revision(struct watcher *watcher, uint64_t revision)
{
	if (revision < watcher->index) {
		waxwing_count(settings_went_back);
		log_warning("the platform went back from settings revision %" PRIu64 " to %" PRIu64
			    "; after a restore, raise limits.generation",
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
	/* the watch looks again: the head may name another base by now */
	waxwing_error_set(error, WAXWING_ERROR_PLATFORM_DOWN, key, "the base could not be read");
	return NULL;
}

/* The document that is in force, freed with g_free(). */
static char *document_in_force(struct waxwing_core *core)
{
	struct waxwing_settings_store *store = waxwing_core_store(core);
	const struct waxwing_settings *settings = waxwing_settings_read_begin(store);
	char *document =
		settings ? waxwing_str_dup(waxwing_settings_document(settings)) : g_strdup("");

	waxwing_settings_read_end(store);
	return document;
}

/* The settings of a value; null with @error. */
static struct waxwing_settings *read_value(const struct watcher *watcher,
					   const struct waxwing_platform_value *value,
					   struct waxwing_error *error)
{
	const struct waxwing_settings_fetch fetch = { fetch_base, watcher->platform };
	struct waxwing_str head = { value->len, value->data };
	struct waxwing_settings *settings = NULL;
	char *have = NULL;
	char *document;

	if (!waxwing_settings_is_head(head))
		return waxwing_settings_parse(head, value->revision, error);
	have = document_in_force(watcher->watch->core);
	document = waxwing_settings_resolve(head, waxwing_str(have), &fetch, error);
	if (document)
		settings = waxwing_settings_parse(waxwing_str(document), value->revision, error);
	if (settings)
		waxwing_settings_set_head(settings, head);
	g_free(document);
	g_free(have);
	return settings;
}

static enum waxwing_error_code look_settings(struct watcher *watcher, struct waxwing_error *error)
{
	struct waxwing_platform *platform = watcher->platform;
	struct waxwing_platform_value value = { 0 };
	struct waxwing_settings *settings;
	enum waxwing_error_code code;

	code = platform->ops->watch(platform, watcher->watch->settings_key, watcher->index,
				    WATCH_MS, &value, error);
	if (code != WAXWING_OK)
		return code;
	settings = read_value(watcher, &value, error);
	if (!settings && error->code == WAXWING_ERROR_PLATFORM_DOWN) {
		waxwing_platform_value_clear(&value);
		return error->code;
	}
	note_revision(watcher, value.revision);
	if (settings) {
		waxwing_core_settings(watcher->watch->core, settings);
	} else {
		waxwing_count(settings_refused);
		log_error("settings revision %" PRIu64 " refused: %s at %s, line %u",
			  value.revision, waxwing_error_name(error->code), error->path,
			  error->line);
	}
	waxwing_platform_value_clear(&value);
	return WAXWING_OK;
}

/*
 * Waits for a change without taking the list along, which would come whole after each wait. Now and then the
 * list counts as changed in any case: a restored platform may have the same index for another list.
 */
static enum waxwing_error_code wait_change(struct watcher *watcher, const char *service,
					   bool *changed, struct waxwing_error *error)
{
	struct waxwing_platform *platform = watcher->platform;
	struct waxwing_platform_list none = { 0 };
	enum waxwing_error_code code;

	*changed = true;
	if (!watcher->index || ++watcher->waits % WAITS_A_LIST == 0)
		return WAXWING_OK;
	code = platform->ops->list(platform, service, NO_INSTANCE, watcher->index, WATCH_MS, &none,
				   error);
	*changed = none.index != watcher->index;
	waxwing_platform_list_clear(&none);
	return code;
}

static enum waxwing_error_code read_list(struct watcher *watcher, const char *service,
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

/* The list is given after each wait, changed or not: that it still says the same is news as well. */
static enum waxwing_error_code
look_list(struct watcher *watcher, const char *service, const char *filter,
	  void (*give)(struct waxwing_core *core, struct waxwing_platform_list *list),
	  struct waxwing_error *error)
{
	struct waxwing_platform_list list;
	bool changed;
	enum waxwing_error_code code = wait_change(watcher, service, &changed, error);

	if (code == WAXWING_OK && changed)
		code = read_list(watcher, service, filter, error);
	if (code != WAXWING_OK)
		return code;
	waxwing_platform_list_copy(&list, &watcher->list);
	give(watcher->watch->core, &list);
	return WAXWING_OK;
}

static enum waxwing_error_code look_instances(struct watcher *watcher, struct waxwing_error *error)
{
	return look_list(watcher, INSTANCE_SERVICE, NULL, waxwing_core_instances, error);
}

static enum waxwing_error_code look_upstreams(struct watcher *watcher, struct waxwing_error *error)
{
	return look_list(watcher, UPSTREAM_SERVICE, watcher->watch->own_upstreams,
			 waxwing_core_upstreams, error);
}

static void back_off(struct watcher *watcher, uint32_t delay_ms)
{
	uint32_t jittered = delay_ms / 2 + g_random_int() % (delay_ms / 2 + 1);

	for (uint32_t slept = 0; slept < jittered; slept += BACK_OFF_STEP_MS) {
		if (atomic_load(&watcher->watch->closing))
			return;
		usleep(BACK_OFF_STEP_MS * US_PER_MS);
	}
}

static void note_state(struct watcher *watcher, const struct waxwing_error *error)
{
	bool down = error->code != WAXWING_OK;

	if (down && !watcher->down)
		log_warning("the watch of %s fails: %s", watcher->what,
			    waxwing_strerror(error->code));
	else if (!down && watcher->down)
		log_notice("the watch of %s works again", watcher->what);
	watcher->down = down;
}

static void *watcher_thread(void *argument)
{
	struct watcher *watcher = argument;
	uint32_t delay_ms = BACK_OFF_FIRST_MS;

	rcu_register_thread();
	while (!atomic_load(&watcher->watch->closing)) {
		struct waxwing_error error = WAXWING_ERROR_INIT;
		enum waxwing_error_code code = watcher->look(watcher, &error);

		if (code == WAXWING_OK || (code == WAXWING_ERROR_TIMEOUT && watcher->index)) {
			error.code = WAXWING_OK;
			delay_ms = BACK_OFF_FIRST_MS;
			note_state(watcher, &error);
			continue;
		}
		note_state(watcher, &error);
		back_off(watcher, delay_ms);
		delay_ms = MIN(2 * delay_ms, BACK_OFF_LONGEST_MS);
	}
	rcu_unregister_thread();
	return NULL;
}

static bool start(struct watcher *watcher, const char *address, struct waxwing_error *error)
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

/* An upstream without a domain of its own is in its datacenter's. A name that can't be quoted filters nothing. */
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
	const struct watcher kinds[] = {
		{ .what = "the settings", .look = look_settings },
		{ .what = "the entry instances", .look = look_instances },
		{ .what = "the upstreams", .look = look_upstreams },
	};

	watch->core = options->core;
	watch->settings_key = g_strdup(options->settings_key);
	watch->own_upstreams = domain_filter(options->domain);
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		watch->watchers[i] = kinds[i];
		watch->watchers[i].watch = watch;
		if (!start(&watch->watchers[i], options->platform, error)) {
			waxwing_platform_watch_close(watch);
			return NULL;
		}
	}
	return watch;
}

bool waxwing_platform_watch_view(const struct waxwing_platform_watch *watch, size_t index,
				 struct waxwing_platform_watch_view *view)
{
	const struct watcher *watcher;

	if (index >= G_N_ELEMENTS(watch->watchers))
		return false;
	watcher = &watch->watchers[index];
	view->what = watcher->what;
	view->calls = __atomic_load_n(&watcher->platform->calls, __ATOMIC_RELAXED);
	view->failures = __atomic_load_n(&watcher->platform->failures, __ATOMIC_RELAXED);
	return true;
}

void waxwing_platform_watch_close(struct waxwing_platform_watch *watch)
{
	atomic_store(&watch->closing, true);
	for (size_t i = 0; i < G_N_ELEMENTS(watch->watchers); i++) {
		struct watcher *watcher = &watch->watchers[i];

		if (watcher->started)
			pthread_join(watcher->thread, NULL);
		if (watcher->platform)
			watcher->platform->ops->destroy(watcher->platform);
		waxwing_platform_list_clear(&watcher->list);
	}
	g_free(watch->settings_key);
	g_free(watch->own_upstreams);
	g_free(watch);
}

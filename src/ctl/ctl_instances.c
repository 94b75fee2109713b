#include "ctl.h"

#include "clock.h"
#include "ctl_table.h"
#include "http_client.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <unistd.h>

#define INSTANCE_SERVICE   "waxwing"
#define CALL_TIMEOUT_MS	   2000
#define MAX_RESPONSE_BYTES (16 * 1024 * 1024)
#define POLL_INTERVAL_US   100000

/* An instance that a command calls. */
struct target {
	char *name; /* from the platform's list; the address if the operator named that */
	char *address; /* IP:port */
	bool leaving; /* the platform lists it as leaving */
};

static void target_free(void *data)
{
	struct target *target = data;

	g_free(target->name);
	g_free(target->address);
	g_free(target);
}

static void add_target(GPtrArray *targets, const char *name, const char *address, bool leaving)
{
	struct target *target = g_new(struct target, 1);

	*target = (struct target){ g_strdup(name), g_strdup(address), leaving };
	g_ptr_array_add(targets, target);
}

static void add_addresses(GPtrArray *targets, const char *list)
{
	char **addresses = g_strsplit(list, ",", -1);

	for (size_t i = 0; addresses[i]; i++)
		if (*addresses[i])
			add_target(targets, addresses[i], addresses[i], false);
	g_strfreev(addresses);
}

static bool add_listed_instances(struct waxwing_ctl *ctl, GPtrArray *targets)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct waxwing_platform *platform = waxwing_ctl_platform(ctl);
	struct waxwing_platform_list list = { .items = NULL };

	if (!platform)
		return false;
	if (platform->ops->list(platform, INSTANCE_SERVICE, NULL, 0, 0, &list, &error) !=
	    WAXWING_OK) {
		waxwing_ctl_report_error(ctl->platform_address, &error);
		return false;
	}
	for (size_t i = 0; i < list.count; i++)
		add_target(targets, list.items[i].name, list.items[i].address,
			   list.items[i].leaving);
	waxwing_platform_list_clear(&list);
	return true;
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	const struct target *const *left = a;
	const struct target *const *right = b;

	return strcmp((*left)->name, (*right)->name);
}

/* Instances in --instances or the platform's list. On failure prints the error, returns null. */
static GPtrArray *list_targets(struct waxwing_ctl *ctl)
{
	GPtrArray *targets = g_ptr_array_new_with_free_func(target_free);

	if (ctl->instances) {
		add_addresses(targets, ctl->instances);
	} else if (!add_listed_instances(ctl, targets)) {
		g_ptr_array_free(targets, TRUE);
		return NULL;
	}
	g_ptr_array_sort(targets, compare_names);
	return targets;
}

static const char *call_failure_text(enum waxwing_http_result result)
{
	switch (result) {
	case WAXWING_HTTP_UNREACHABLE:
		return "no connection could be made";
	case WAXWING_HTTP_TIMEOUT:
		return "no answer came in time";
	default:
		return "no complete response was received";
	}
}

/*
 * Calls an instance and parses its response. On failure returns null and sets @cause, to be freed
 * with g_free().
 */
static json_object *call_instance(const struct target *target, const char *method, const char *path,
				  char **cause)
{
	const struct waxwing_http_call request = {
		.method = method,
		.address = target->address,
		.target = path,
		.max_answer_bytes = MAX_RESPONSE_BYTES,
		.timeout_ms = CALL_TIMEOUT_MS,
	};
	struct waxwing_http_answer answer;
	enum waxwing_http_result result = waxwing_http_call(&request, &answer);
	json_object *json = NULL;

	if (result != WAXWING_HTTP_COMPLETE)
		*cause = g_strdup(call_failure_text(result));
	else if (answer.status != 200)
		*cause = g_strdup_printf("status %u: %.200s", answer.status, answer.body->str);
	else if (!(json = json_tokener_parse(answer.body->str)))
		*cause = g_strdup("the response is not valid JSON");
	waxwing_http_answer_clear(&answer);
	return json;
}

static void print_failure(const struct target *target, const char *cause)
{
	fflush(stdout);
	if (strcmp(target->name, target->address) == 0)
		fprintf(stderr, "waxwingctl: %s: %s\n", target->address, cause);
	else
		fprintf(stderr, "waxwingctl: %s at %s: %s\n", target->name, target->address, cause);
}

/* Returns the number @key of @json, or of its member @object if not null; 0 if absent. */
static uint64_t get_uint64(json_object *json, const char *object, const char *key)
{
	json_object *value = object ? json_object_object_get(json, object) : json;

	value = json_object_object_get(value, key);
	return value ? json_object_get_uint64(value) : 0;
}

/* Waiting for a revision */

struct progress {
	uint64_t revision; /* in force at the instance when it last responded */
	char *cause; /* why the awaited revision is not in force; null if it is */
};

static bool in_force(const struct target *target, uint64_t revision, struct progress *progress)
{
	json_object *json;

	if (progress->revision >= revision)
		return true;
	g_clear_pointer(&progress->cause, g_free);
	json = call_instance(target, "GET", "/v1/settings", &progress->cause);
	if (!json)
		return false;
	progress->revision = get_uint64(json, NULL, "settings_revision");
	json_object_put(json);
	if (progress->revision >= revision)
		return true;
	progress->cause = g_strdup_printf("still at revision %" PRIu64, progress->revision);
	return false;
}

static size_t count_in_force(const GPtrArray *targets, uint64_t revision, struct progress *progress)
{
	size_t count = 0;

	for (guint i = 0; i < targets->len; i++)
		count += in_force(g_ptr_array_index(targets, i), revision, &progress[i]);
	return count;
}

/*
 * Returns the highest of @revision and the instances' revisions. If an instance is past @revision,
 * the result is limited to the platform's revision, if that can be read: either a later edit was
 * made, or the platform was restored from an older copy. Only reading the platform after the
 * instances responded can tell these apart.
 */
static uint64_t find_platform_revision(struct waxwing_ctl *ctl, const struct progress *progress,
				       guint count, uint64_t revision)
{
	uint64_t highest = revision;
	enum waxwing_ctl_exit code;
	struct waxwing_settings *settings;

	for (guint i = 0; i < count; i++)
		highest = MAX(highest, progress[i].revision);
	if (highest == revision)
		return highest;
	settings = waxwing_ctl_read_settings(ctl, &code);
	if (!settings)
		return highest;
	highest = MIN(highest, waxwing_settings_revision(settings));
	waxwing_settings_free(settings);
	return highest;
}

/*
 * Prints the instances whose revision is below @revision or above the platform's; returns the
 * number of all others.
 */
static size_t report_progress(struct waxwing_ctl *ctl, const GPtrArray *targets,
			      struct progress *progress, uint64_t revision)
{
	uint64_t platform_revision = find_platform_revision(ctl, progress, targets->len, revision);
	size_t count = 0;
	uint64_t highest_ahead = 0;

	for (guint i = 0; i < targets->len; i++)
		count += progress[i].revision >= revision &&
			 progress[i].revision <= platform_revision;
	printf("in force at %zu of %u instances\n", count, targets->len);
	for (guint i = 0; i < targets->len; i++) {
		if (progress[i].revision > platform_revision) {
			highest_ahead = MAX(highest_ahead, progress[i].revision);
			progress[i].cause = g_strdup_printf("keeps revision %" PRIu64
							    ", which the platform has gone behind",
							    progress[i].revision);
		}
		if (progress[i].cause)
			print_failure(g_ptr_array_index(targets, i), progress[i].cause);
		g_free(progress[i].cause);
	}
	if (highest_ahead)
		fprintf(stderr,
			"waxwingctl: %s: restored from an older copy? \"settings set @limits "
			"generation=%" PRIu64 "\" puts its tree in force\n",
			ctl->platform_address, (highest_ahead >> WAXWING_REVISION_BITS) + 1);
	return count;
}

enum waxwing_ctl_exit waxwing_ctl_wait(struct waxwing_ctl *ctl, uint64_t revision)
{
	const struct waxwing_clock *clock = waxwing_clock_monotonic();
	int64_t deadline_ms = waxwing_clock_now(clock) + ctl->wait_ms;
	GPtrArray *targets = list_targets(ctl);
	struct progress *progress;
	size_t count;
	guint total;

	if (!targets)
		return WAXWING_CTL_PARTIAL;
	total = targets->len;
	progress = g_new0(struct progress, total + 1);
	count = count_in_force(targets, revision, progress);
	while (count < total && waxwing_clock_now(clock) < deadline_ms) {
		usleep(POLL_INTERVAL_US);
		count = count_in_force(targets, revision, progress);
	}
	count = report_progress(ctl, targets, progress, revision);
	g_free(progress);
	g_ptr_array_free(targets, TRUE);
	return count == total && total ? WAXWING_CTL_DONE : WAXWING_CTL_PARTIAL;
}

/* State and drain */

static const struct target *find_target(const GPtrArray *targets, const char *name)
{
	for (guint i = 0; i < targets->len; i++) {
		const struct target *target = g_ptr_array_index(targets, i);

		if (strcmp(target->name, name) == 0 || strcmp(target->address, name) == 0)
			return target;
	}
	return NULL;
}

/*
 * Returns the instances in @names. An IP:port is used as is; other names are looked up in the list
 * of instances. On failure prints the error and returns null.
 */
static GPtrArray *select_targets(struct waxwing_ctl *ctl, char *const *names, size_t count)
{
	GPtrArray *selected = g_ptr_array_new_with_free_func(target_free);
	GPtrArray *all = NULL;

	for (size_t i = 0; i < count; i++) {
		const struct target *target;

		if (waxwing_http_address_valid(names[i])) {
			add_target(selected, names[i], names[i], false);
			continue;
		}
		if (!all && !(all = list_targets(ctl)))
			break;
		target = find_target(all, names[i]);
		if (!target) {
			fprintf(stderr, "waxwingctl: %s: no such instance in the list\n", names[i]);
			break;
		}
		add_target(selected, target->name, target->address, target->leaving);
	}
	if (all)
		g_ptr_array_free(all, TRUE);
	if (selected->len == count)
		return selected;
	g_ptr_array_free(selected, TRUE);
	return NULL;
}

static void add_state_row(struct waxwing_table *table, const struct target *target,
			  json_object *state)
{
	json_object *ready = json_object_object_get(state, "ready");
	json_object *draining = json_object_object_get(state, "draining");

	waxwing_table_add_cell(table, "%s", target->name);
	waxwing_table_add_cell(table, "%s",
			       json_object_get_boolean(draining) || target->leaving ? "leaving" :
			       json_object_get_boolean(ready)			    ? "ready" :
										      "not ready");
	waxwing_table_add_cell(table, "%" PRIu64, get_uint64(state, NULL, "settings_revision"));
	waxwing_table_add_cell(table, "%" PRIu64, get_uint64(state, "submissions", "running_jobs"));
	waxwing_table_add_cell(table, "%" PRIu64, get_uint64(state, "submissions", "queued_tasks"));
	waxwing_table_add_cell(table, "%" PRIu64, get_uint64(state, NULL, "in_flight"));
}

static struct waxwing_table *create_state_table(void)
{
	static const char *const heading[] = { "INSTANCE", "STATE",	   "REVISION",
					       "JOBS",	   "QUEUED TASKS", "IN FLIGHT" };

	return waxwing_table_create(G_N_ELEMENTS(heading), heading);
}

/* Prints the state of the instances that respond; returns their number. */
static guint print_states(const struct waxwing_ctl *ctl, const GPtrArray *targets)
{
	json_object *all = json_object_new_object();
	struct waxwing_table *table = create_state_table();
	guint responded = 0;

	for (guint i = 0; i < targets->len; i++) {
		const struct target *target = g_ptr_array_index(targets, i);
		char *cause = NULL;
		json_object *state = call_instance(target, "GET", "/v1/state", &cause);

		if (state) {
			responded++;
			add_state_row(table, target, state);
			json_object_object_add(all, target->name, state);
		} else {
			print_failure(target, cause);
		}
		g_free(cause);
	}
	if (ctl->json) {
		printf("%s\n", json_object_to_json_string_ext(all, JSON_C_TO_STRING_PRETTY));
		waxwing_table_destroy(table);
	} else {
		waxwing_table_print(table);
	}
	json_object_put(all);
	return responded;
}

enum waxwing_ctl_exit waxwing_ctl_state(struct waxwing_ctl *ctl, char *const *names, size_t count)
{
	GPtrArray *targets = count ? select_targets(ctl, names, count) : list_targets(ctl);
	enum waxwing_ctl_exit code = WAXWING_CTL_UNREACHABLE;
	guint responded;

	if (!targets)
		return code;
	responded = print_states(ctl, targets);
	if (responded == targets->len)
		code = WAXWING_CTL_DONE;
	else if (responded)
		code = WAXWING_CTL_PARTIAL;
	g_ptr_array_free(targets, TRUE);
	return code;
}

enum waxwing_ctl_exit waxwing_ctl_drain(struct waxwing_ctl *ctl, const char *name)
{
	char *const names[] = { (char *)name };
	GPtrArray *targets = select_targets(ctl, names, 1);
	const struct target *target;
	char *cause = NULL;
	json_object *json;

	if (!targets)
		return WAXWING_CTL_REFUSED;
	target = g_ptr_array_index(targets, 0);
	json = call_instance(target, "POST", "/v1/drain", &cause);
	if (json)
		printf("%s is draining\n", target->name);
	else
		print_failure(target, cause);
	g_free(cause);
	g_ptr_array_free(targets, TRUE);
	if (!json)
		return WAXWING_CTL_UNREACHABLE;
	json_object_put(json);
	return WAXWING_CTL_DONE;
}

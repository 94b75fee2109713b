#include "instance.h"

#define LOG_COMPONENT "instance"
#include "log.h"

#include "clock.h"
#include "core.h"
#include "http.h"
#include "http_state.h"
#include "platform_watch.h"
#include "schedule_thread.h"

#include <inttypes.h>
#include <pthread.h>
#include <sys/random.h>
#include <unistd.h>

#define DEFAULT_SENDER_THREADS 512
#define DEFAULT_DRAIN_MS       30000
#define DEFAULT_SETTINGS_KEY   "waxwing/settings"
#define MAX_ANSWER_BYTES       (4 * 1024 * 1024)
/* Delay that lets answers be sent and the load balancer notice that the instance is not ready. */
#define READINESS_DELAY_MS 300
/* Longest wait for callers that read their answers slowly. */
#define ANSWERS_TIMEOUT_MS 5000
/* Interval of polling during shutdown. */
#define POLL_INTERVAL_MS 10
/* Longest wait for the release of the schedule claim at the platform. */
#define CLAIM_RELEASE_TIMEOUT_MS 1000
#define US_PER_MS		 1000

struct waxwing_instance {
	struct waxwing_core *core;
	struct waxwing_platform_watch *watch;
	struct waxwing_schedule_thread *schedule;
	uint64_t incarnation;
	struct waxwing_http *http;
	uint32_t drain_ms;
};

static uint64_t random_nonzero(void)
{
	uint64_t number = 0;

	while (number == 0)
		if (getrandom(&number, sizeof(number), 0) != sizeof(number))
			number = 0;
	return number;
}

static struct waxwing_core *open_core(const Waxwing__InstanceFile *file, uint64_t incarnation,
				      struct waxwing_error *error)
{
	char *http = g_strdup_printf("%s:%u", file->address, file->http_port);
	char *peer = g_strdup_printf("%s:%u", file->address, file->peer_port);
	char *listen_address = g_strdup_printf(
		"%s:%u", file->peer_listen ? file->peer_listen : file->address, file->peer_port);
	const struct waxwing_core_options options = {
		.dispatcher = {
			.name = waxwing_str(file->name),
			.domain = waxwing_str(file->domain),
			.http_address = waxwing_str(http),
			.peer_address = waxwing_str(peer),
			.incarnation = incarnation,
			.seed = random_nonzero(),
		},
		.sender_threads = file->has_senders ? file->senders : DEFAULT_SENDER_THREADS,
		.max_answer_bytes = MAX_ANSWER_BYTES,
		.peer_address = listen_address,
		.peer_source = file->peer_listen,
	};
	struct waxwing_core *core = waxwing_core_open(&options, error);

	if (core)
		log_notice("%s starts in %s as %016" PRIx64, file->name, file->domain,
			   options.dispatcher.incarnation);
	g_free(http);
	g_free(peer);
	g_free(listen_address);
	return core;
}

/* The peers of the settings file serve as the instance list until the platform provides one. */
static void set_static_peers(struct waxwing_instance *instance, const Waxwing__InstanceFile *file)
{
	struct waxwing_platform_list list = { .count = file->n_peers };

	if (!list.count)
		return;
	list.items = g_new0(struct waxwing_platform_instance, list.count);
	for (size_t i = 0; i < list.count; i++) {
		list.items[i].name = g_strdup(file->peers[i]);
		list.items[i].address = g_strdup("");
		list.items[i].peer_address = g_strdup(file->peers[i]);
		list.items[i].domain = g_strdup(file->domain);
	}
	waxwing_core_set_instances(instance->core, &list);
}

static void add_watch_state(const struct waxwing_instance *instance, struct json_object *state)
{
	struct json_object *array = json_object_new_array();
	struct waxwing_platform_watch_view view;

	for (size_t i = 0; waxwing_platform_watch_view(instance->watch, i, &view); i++) {
		struct json_object *object = json_object_new_object();

		json_object_object_add(object, "watch_of", json_object_new_string(view.subject));
		json_object_object_add(object, "calls", json_object_new_uint64(view.calls));
		json_object_object_add(object, "failures", json_object_new_uint64(view.failures));
		json_object_array_add(array, object);
	}
	json_object_object_add(state, "platform", array);
}

static void add_schedule_state(const struct waxwing_instance *instance, struct json_object *state)
{
	struct json_object *object = json_object_new_object();
	struct waxwing_schedule_view view;

	waxwing_schedule_thread_view(instance->schedule, &view);
	json_object_object_add(object, "jobs", json_object_new_uint64(view.jobs));
	json_object_object_add(object, "fired", json_object_new_uint64(view.fired));
	json_object_object_add(object, "missed_late",
			       json_object_new_uint64(view.missed[WAXWING_MISSED_LATE]));
	json_object_object_add(object, "missed_unclaimed",
			       json_object_new_uint64(view.missed[WAXWING_MISSED_UNCLAIMED]));
	json_object_object_add(object, "missed_uncertain",
			       json_object_new_uint64(view.missed[WAXWING_MISSED_UNCERTAIN]));
	json_object_object_add(object, "reads", json_object_new_uint64(view.reads));
	json_object_object_add(object, "writes", json_object_new_uint64(view.writes));
	json_object_object_add(object, "claimed_until_ms",
			       json_object_new_int64(view.claimed_until_ms));
	json_object_object_add(object, "outage", json_object_new_boolean(view.outage));
	json_object_object_add(state, "schedule", object);
}

/*
 * Called only while the HTTP server exists. The watches and the schedule are opened before it and
 * closed after it.
 */
static void add_state(void *context, struct json_object *state)
{
	add_watch_state(context, state);
	add_schedule_state(context, state);
}

static bool open_services(struct waxwing_instance *instance, const Waxwing__InstanceFile *file,
			  void (*drain)(void *context), void *context, struct waxwing_error *error)
{
	const struct waxwing_platform_watch_options watch = {
		.core = instance->core,
		.platform = file->platform,
		.settings_key = file->settings_key ? file->settings_key : DEFAULT_SETTINGS_KEY,
		.domain = file->domain,
	};
	const struct waxwing_schedule_thread_options schedule = {
		.core = instance->core,
		.platform = file->platform,
		.domain = waxwing_str(file->domain),
		.incarnation = instance->incarnation,
	};
	const struct waxwing_http_options http = {
		.core = instance->core,
		.address = file->address,
		.port = (uint16_t)file->http_port,
		.threads = file->http_threads,
		.describe = add_state,
		.describe_context = instance,
		.drain = drain,
		.drain_context = context,
	};

	set_static_peers(instance, file);
	instance->watch = waxwing_platform_watch_open(&watch, error);
	if (!instance->watch)
		return false;
	instance->schedule = waxwing_schedule_thread_open(&schedule, error);
	if (!instance->schedule)
		return false;
	instance->http = waxwing_http_open(&http, error);
	return instance->http != NULL;
}

static void release(struct waxwing_instance *instance)
{
	if (instance->http)
		waxwing_http_close(instance->http);
	if (instance->schedule)
		waxwing_schedule_thread_close(instance->schedule);
	if (instance->watch)
		waxwing_platform_watch_close(instance->watch);
	waxwing_core_close(instance->core);
	g_free(instance);
}

struct waxwing_instance *waxwing_instance_open(const Waxwing__InstanceFile *file,
					       void (*drain)(void *context), void *context,
					       struct waxwing_error *error)
{
	struct waxwing_instance *instance = g_new0(struct waxwing_instance, 1);

	instance->drain_ms = file->has_drain_ms ? file->drain_ms : DEFAULT_DRAIN_MS;
	instance->incarnation = random_nonzero();
	instance->core = open_core(file, instance->incarnation, error);
	if (!instance->core) {
		g_free(instance);
		return NULL;
	}
	if (!open_services(instance, file, drain, context, error)) {
		release(instance);
		return NULL;
	}
	return instance;
}

static int64_t now(void)
{
	return waxwing_clock_now(waxwing_clock_monotonic());
}

static void sleep_ms(uint32_t ms)
{
	usleep(ms * US_PER_MS);
}

static void wait_drained(struct waxwing_instance *instance)
{
	int64_t end_ms = now() + instance->drain_ms;

	while (!waxwing_core_drained(instance->core) && now() < end_ms)
		sleep_ms(POLL_INTERVAL_MS);
	if (!waxwing_core_drained(instance->core))
		log_warning("jobs still running after %u ms; their callers get no answer",
			    instance->drain_ms);
}

static void wait_answers(struct waxwing_instance *instance)
{
	int64_t end_ms = now() + ANSWERS_TIMEOUT_MS;

	while (waxwing_http_active_requests(instance->http) && now() < end_ms)
		sleep_ms(POLL_INTERVAL_MS);
}

void waxwing_instance_close(struct waxwing_instance *instance)
{
	log_notice("draining");
	waxwing_schedule_thread_leave(instance->schedule, CLAIM_RELEASE_TIMEOUT_MS);
	waxwing_core_drain(instance->core);
	sleep_ms(READINESS_DELAY_MS);
	wait_drained(instance);
	waxwing_http_quiesce(instance->http);
	wait_answers(instance);
	release(instance);
	log_notice("ended");
}

/* A reply that passes a state dump to the thread waiting for it. */
struct dump_reply {
	struct waxwing_reply reply;
	pthread_mutex_t lock;
	pthread_cond_t done;
	char *text;
};

static void receive_dump(struct waxwing_reply *reply, const struct waxwing_error *error,
			 struct waxwing_str text)
{
	struct dump_reply *dump = (struct dump_reply *)reply;

	(void)error;
	pthread_mutex_lock(&dump->lock);
	dump->text = waxwing_str_dup(text);
	pthread_cond_signal(&dump->done);
	pthread_mutex_unlock(&dump->lock);
}

void waxwing_instance_log_state(struct waxwing_instance *instance)
{
	static const struct waxwing_reply_ops ops = { .text = receive_dump };
	struct dump_reply dump = { .reply = { .ops = &ops } };
	char **lines;
	char *text;

	pthread_mutex_init(&dump.lock, NULL);
	pthread_cond_init(&dump.done, NULL);
	waxwing_core_dump_state(instance->core, &dump.reply);
	pthread_mutex_lock(&dump.lock);
	while (!dump.text)
		pthread_cond_wait(&dump.done, &dump.lock);
	pthread_mutex_unlock(&dump.lock);
	text = waxwing_http_state_print(instance->http, dump.text);
	lines = g_strsplit(text, "\n", -1);
	for (char **line = lines; *line; line++)
		log_notice("state: %s", *line);
	g_strfreev(lines);
	g_free(text);
	g_free(dump.text);
	pthread_cond_destroy(&dump.done);
	pthread_mutex_destroy(&dump.lock);
}

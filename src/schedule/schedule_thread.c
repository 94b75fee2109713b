#include "schedule_thread.h"

#define LOG_COMPONENT "schedule"
#include "log.h"

#include "clock.h"
#include "counters.h"
#include "schedule.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <unistd.h>
#include <urcu.h>

#define CALL_TIMEOUT_MS 2000
/* Longest sleep of the thread, which bounds its reaction time to a request to leave or close. */
#define MAX_SLEEP_MS 50
#define US_PER_MS    1000

struct waxwing_schedule_thread {
	struct waxwing_core *core;
	struct waxwing_schedule *schedule;
	struct waxwing_platform *platform;
	pthread_t thread;
	pthread_mutex_t lock; /* protects view */
	struct waxwing_schedule_view view;
	uint64_t revision; /* of the settings applied last */
	atomic_bool leaving;
	atomic_bool left;
	atomic_bool closing;
};

static int64_t wall_clock_ms(void)
{
	return waxwing_clock_now(waxwing_clock_wall());
}

static bool is_alive(void *context, uint64_t incarnation)
{
	const struct waxwing_schedule_thread *thread = context;

	return waxwing_core_instance_alive(thread->core, incarnation);
}

static void update_settings(struct waxwing_schedule_thread *thread)
{
	struct waxwing_settings_store *store = waxwing_core_settings_store(thread->core);
	const struct waxwing_settings *settings;

	settings = waxwing_settings_read_begin(store);
	if (settings && waxwing_settings_revision(settings) != thread->revision) {
		thread->revision = waxwing_settings_revision(settings);
		waxwing_schedule_set_settings(thread->schedule, settings, wall_clock_ms());
	}
	waxwing_settings_read_end(store);
}

static void read_claim(struct waxwing_schedule_thread *thread)
{
	struct waxwing_platform *platform = thread->platform;
	struct waxwing_platform_value value = { 0 };
	struct waxwing_error error = WAXWING_ERROR_INIT;
	enum waxwing_error_code code = platform->ops->get(
		platform, waxwing_schedule_key(thread->schedule), &value, &error);

	waxwing_schedule_read_done(thread->schedule, wall_clock_ms(), code, value.revision,
				   (struct waxwing_str){ value.len, value.data });
	waxwing_platform_value_clear(&value);
}

static void write_claim(struct waxwing_schedule_thread *thread,
			const struct waxwing_schedule_action *action)
{
	struct waxwing_platform *platform = thread->platform;
	struct waxwing_error error = WAXWING_ERROR_INIT;
	char *text = waxwing_str_dup(action->text);
	enum waxwing_error_code code =
		platform->ops->put(platform, waxwing_schedule_key(thread->schedule),
				   action->revision, waxwing_str(text), &error);

	g_free(text);
	waxwing_schedule_write_done(thread->schedule, wall_clock_ms(), code);
}

static void report_missed(const struct waxwing_schedule_action *action)
{
	static const char *const reasons[] = {
		[WAXWING_MISSED_LATE] = "the claimant was late",
		[WAXWING_MISSED_UNCLAIMED] = "nobody had claimed the time",
		[WAXWING_MISSED_UNCERTAIN] = "the claimant died, it may have run",
	};

	atomic_fetch_add(&waxwing_counters.schedule_missed, action->count);
	log_warning("%" PRIu64 " occurrences of %.*s of branch %.*s missed from %" PRId64 ": %s",
		    action->count, WAXWING_STR_ARG(action->job), WAXWING_STR_ARG(action->branch),
		    action->occurrence_ms, reasons[action->reason]);
}

static void run_action(struct waxwing_schedule_thread *thread,
		       const struct waxwing_schedule_action *action)
{
	switch (action->kind) {
	case WAXWING_SCHEDULE_READ:
		read_claim(thread);
		break;
	case WAXWING_SCHEDULE_WRITE:
		write_claim(thread, action);
		break;
	case WAXWING_SCHEDULE_FIRE:
		waxwing_counter_increment(schedule_fired);
		waxwing_core_start_occurrence(thread->core, action->branch, action->job,
					      action->occurrence_ms);
		break;
	case WAXWING_SCHEDULE_MISSED:
		report_missed(action);
		break;
	}
}

static void update_view(struct waxwing_schedule_thread *thread)
{
	pthread_mutex_lock(&thread->lock);
	waxwing_schedule_view(thread->schedule, &thread->view);
	pthread_mutex_unlock(&thread->lock);
}

static void sleep_until_due(struct waxwing_schedule_thread *thread)
{
	int64_t now_ms = wall_clock_ms();
	int64_t ms = waxwing_schedule_next_tick_ms(thread->schedule, now_ms) - now_ms;

	if (ms > 0)
		usleep((useconds_t)MIN(ms, MAX_SLEEP_MS) * US_PER_MS);
}

static void *schedule_thread(void *data)
{
	struct waxwing_schedule_thread *thread = data;
	struct waxwing_schedule_action action;
	bool leave_requested = false;

	rcu_register_thread();
	while (!atomic_load(&thread->closing)) {
		update_settings(thread);
		if (atomic_load(&thread->leaving) && !leave_requested) {
			waxwing_schedule_leave(thread->schedule, wall_clock_ms());
			leave_requested = true;
		}
		waxwing_schedule_tick(thread->schedule, wall_clock_ms());
		while (waxwing_schedule_next_action(thread->schedule, &action))
			run_action(thread, &action);
		if (leave_requested && waxwing_schedule_has_left(thread->schedule))
			atomic_store(&thread->left, true);
		update_view(thread);
		sleep_until_due(thread);
	}
	rcu_unregister_thread();
	return NULL;
}

static void thread_free(struct waxwing_schedule_thread *thread)
{
	if (thread->platform)
		thread->platform->ops->destroy(thread->platform);
	waxwing_schedule_destroy(thread->schedule);
	pthread_mutex_destroy(&thread->lock);
	g_free(thread);
}

struct waxwing_schedule_thread *
waxwing_schedule_thread_open(const struct waxwing_schedule_thread_options *options,
			     struct waxwing_error *error)
{
	struct waxwing_schedule_thread *thread = g_new0(struct waxwing_schedule_thread, 1);
	const struct waxwing_schedule_options schedule = {
		.domain = options->domain,
		.incarnation = options->incarnation,
		.seed = options->incarnation,
		.alive = is_alive,
		.context = thread,
	};
	const struct waxwing_platform_consul_options platform = {
		.address = options->platform,
		.timeout_ms = CALL_TIMEOUT_MS,
	};

	pthread_mutex_init(&thread->lock, NULL);
	thread->core = options->core;
	thread->schedule = waxwing_schedule_create(&schedule, wall_clock_ms());
	thread->platform = waxwing_platform_consul_create(&platform, error);
	if (thread->platform && pthread_create(&thread->thread, NULL, schedule_thread, thread) == 0)
		return thread;
	if (thread->platform)
		waxwing_error_set(error, WAXWING_ERROR_SYSTEM, "", "cannot start a thread");
	thread_free(thread);
	return NULL;
}

void waxwing_schedule_thread_leave(struct waxwing_schedule_thread *thread, uint32_t wait_ms)
{
	int64_t end_ms = waxwing_clock_now(waxwing_clock_monotonic()) + wait_ms;

	atomic_store(&thread->leaving, true);
	while (!atomic_load(&thread->left) && waxwing_clock_now(waxwing_clock_monotonic()) < end_ms)
		usleep(MAX_SLEEP_MS * US_PER_MS);
}

void waxwing_schedule_thread_view(struct waxwing_schedule_thread *thread,
				  struct waxwing_schedule_view *view)
{
	pthread_mutex_lock(&thread->lock);
	*view = thread->view;
	pthread_mutex_unlock(&thread->lock);
}

void waxwing_schedule_thread_close(struct waxwing_schedule_thread *thread)
{
	atomic_store(&thread->closing, true);
	pthread_join(thread->thread, NULL);
	thread_free(thread);
}

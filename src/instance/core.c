#include "core.h"

#define LOG_COMPONENT "core"
#include "log.h"

#include "clock.h"
#include "inbox.h"

#include <inttypes.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <urcu.h>

enum event_kind {
	EVENT_SUBMIT,
	EVENT_CANCEL,
	EVENT_WINDOW,
	EVENT_DUMP,
	EVENT_START_OCCURRENCE,
	EVENT_ALIVE_QUERY,
	EVENT_TASK_ENDED,
	EVENT_BATCH,
	EVENT_INSTANCES,
	EVENT_UPSTREAMS,
	EVENT_SETTINGS,
	EVENT_DRAIN,
	EVENT_CLOSE,
};

/* An occurrence of a declared job; owns its strings. */
struct occurrence {
	char *branch;
	char *job;
	int64_t at_ms;
};

/* Asks the core thread whether an incarnation is alive; the caller waits until done is set. */
struct alive_query {
	pthread_mutex_t lock;
	pthread_cond_t answered;
	uint64_t incarnation;
	bool done;
	bool alive;
};

/* A reply that logs the outcome of an occurrence. */
struct occurrence_reply {
	struct waxwing_reply reply;
	struct occurrence occurrence;
};

struct core_event {
	struct waxwing_inbox_node node; /* must be first */
	enum event_kind kind;
	struct waxwing_reply *reply;
	union {
		struct {
			Waxwing__JobRequest *request;
			enum waxwing_submit_kind submit_kind;
		};
		char *id;
		struct occurrence occurrence;
		struct alive_query *query;
		struct waxwing_send_result send_result; /* owns its strings */
		Waxwing__Batch *batch;
		struct waxwing_platform_list list;
		struct waxwing_settings *settings;
	};
};

struct waxwing_core {
	struct waxwing_dispatcher *dispatcher;
	struct waxwing_sender *sender;
	struct waxwing_peer *peer;
	struct waxwing_inbox inbox;
	pthread_t thread;
	GHashTable *replies; /* waiter number -> struct waxwing_reply; core thread only */
	uint64_t next_waiter;
	int64_t last_tick_ms;
	atomic_bool ready;
	atomic_bool drained;
};

static int64_t now(void)
{
	return waxwing_clock_now(waxwing_clock_monotonic());
}

static void post(struct waxwing_core *core, struct core_event *event)
{
	waxwing_inbox_post(&core->inbox, &event->node);
}

static struct core_event *event_new(enum event_kind kind, struct waxwing_reply *reply)
{
	struct core_event *event = g_new0(struct core_event, 1);

	event->kind = kind;
	event->reply = reply;
	return event;
}

/* Callbacks of the dispatcher, on the core thread. */

static void send_batch(void *context, struct waxwing_str address, const Waxwing__Batch *batch)
{
	struct waxwing_core *core = context;

	waxwing_peer_send(core->peer, address, batch);
}

static void disconnect_peer(void *context, struct waxwing_str address)
{
	struct waxwing_core *core = context;

	waxwing_peer_disconnect(core->peer, address);
}

static void start_task(void *context, const struct waxwing_send_request *send)
{
	struct waxwing_core *core = context;

	waxwing_sender_send(core->sender, send);
}

static void stop_task(void *context, struct waxwing_str address, struct waxwing_str id,
		      uint32_t task)
{
	struct waxwing_core *core = context;

	waxwing_sender_stop(core->sender, address, id, task);
}

static void answer_waiter(void *context, struct waxwing_waiter waiter,
			  const Waxwing__JobAnswer *message)
{
	struct waxwing_core *core = context;
	struct waxwing_reply *reply = g_hash_table_lookup(core->replies, &waiter.number);

	if (!reply)
		return;
	g_hash_table_remove(core->replies, &waiter.number);
	reply->ops->job(reply, message, waxwing_dispatcher_window(core->dispatcher, now()));
}

static const struct waxwing_dispatcher_ops dispatcher_ops = {
	.send_batch = send_batch,
	.disconnect_peer = disconnect_peer,
	.start_task = start_task,
	.stop_task = stop_task,
	.answer = answer_waiter,
};

/* Callbacks on the sender and peer threads. */

static void task_ended(void *context, const struct waxwing_send_result *result)
{
	struct core_event *event = event_new(EVENT_TASK_ENDED, NULL);

	event->send_result = *result;
	event->send_result.upstream.data = waxwing_str_dup(result->upstream);
	event->send_result.body.data = waxwing_str_dup(result->body);
	post(context, event);
}

static void batch_received(void *context, Waxwing__Batch *batch, size_t bytes)
{
	struct core_event *event = event_new(EVENT_BATCH, NULL);

	(void)bytes;
	event->batch = batch;
	post(context, event);
}

/* Event handlers, on the core thread. */

static void handle_dump(struct waxwing_core *core, struct core_event *event)
{
	const struct waxwing_error error = WAXWING_ERROR_INIT;
	struct json_object *state = waxwing_dispatcher_dump(core->dispatcher, now());
	const char *text = json_object_to_json_string_ext(state, JSON_C_TO_STRING_PRETTY);

	event->reply->ops->text(event->reply, &error, waxwing_str(text));
	json_object_put(state);
}

static void free_occurrence(struct occurrence_reply *reply)
{
	g_free(reply->occurrence.branch);
	g_free(reply->occurrence.job);
	g_free(reply);
}

static void occurrence_ended(struct waxwing_reply *reply, const Waxwing__JobAnswer *message,
			     struct waxwing_str window)
{
	struct occurrence_reply *occurrence_reply = (struct occurrence_reply *)reply;

	(void)window;
	if (message->failure)
		log_warning("%s of branch %s, due at %" PRId64 ": %s, %s",
			    occurrence_reply->occurrence.job, occurrence_reply->occurrence.branch,
			    occurrence_reply->occurrence.at_ms, message->state,
			    message->failure->code);
	else
		log_info("%s of branch %s, due at %" PRId64 ": complete",
			 occurrence_reply->occurrence.job, occurrence_reply->occurrence.branch,
			 occurrence_reply->occurrence.at_ms);
	free_occurrence(occurrence_reply);
}

static const struct waxwing_reply_ops occurrence_ops = { .job = occurrence_ended };

static struct waxwing_waiter add_waiter(struct waxwing_core *core, struct waxwing_reply *reply)
{
	struct waxwing_waiter waiter = { .number = ++core->next_waiter };

	g_hash_table_insert(core->replies, g_memdup2(&waiter.number, sizeof(waiter.number)), reply);
	return waiter;
}

static void handle_submit(struct waxwing_core *core, const struct core_event *event)
{
	struct waxwing_waiter waiter = add_waiter(core, event->reply);

	waxwing_dispatcher_submit(core->dispatcher, now(), event->request, event->submit_kind,
				  waiter);
	waxwing__job_request__free_unpacked(event->request, NULL);
}

static void handle_cancel(struct waxwing_core *core, struct core_event *event)
{
	struct waxwing_waiter waiter = add_waiter(core, event->reply);

	waxwing_dispatcher_cancel(core->dispatcher, now(), event->id, waiter);
	g_free(event->id);
}

static void handle_start_occurrence(struct waxwing_core *core, const struct core_event *event)
{
	struct occurrence_reply *reply = g_new(struct occurrence_reply, 1);
	struct waxwing_waiter waiter;

	reply->reply.ops = &occurrence_ops;
	reply->occurrence = event->occurrence;
	waiter = add_waiter(core, &reply->reply);
	if (waxwing_dispatcher_submit_occurrence(core->dispatcher, now(),
						 waxwing_str(event->occurrence.branch),
						 waxwing_str(event->occurrence.job),
						 event->occurrence.at_ms, waiter) == WAXWING_OK)
		return;
	log_notice("%s of branch %s is no longer declared", reply->occurrence.job,
		   reply->occurrence.branch);
	g_hash_table_remove(core->replies, &waiter.number);
	free_occurrence(reply);
}

static void handle_alive_query(struct waxwing_core *core, struct core_event *event)
{
	struct alive_query *query = event->query;

	pthread_mutex_lock(&query->lock);
	query->alive = waxwing_dispatcher_is_alive(core->dispatcher, query->incarnation);
	query->done = true;
	pthread_cond_signal(&query->answered);
	pthread_mutex_unlock(&query->lock);
}

static void handle_task_ended(struct waxwing_core *core, struct core_event *event)
{
	waxwing_dispatcher_task_ended(core->dispatcher, now(), &event->send_result);
	g_free((char *)event->send_result.upstream.data);
	g_free((char *)event->send_result.body.data);
}

static void handle_list(struct waxwing_core *core, struct core_event *event)
{
	if (event->kind == EVENT_INSTANCES)
		waxwing_dispatcher_set_instances(core->dispatcher, now(), &event->list);
	else
		waxwing_dispatcher_set_upstreams(core->dispatcher, now(), &event->list);
	waxwing_platform_list_clear(&event->list);
}

static void handle_window(struct waxwing_core *core, struct core_event *event)
{
	const struct waxwing_error error = WAXWING_ERROR_INIT;

	event->reply->ops->text(event->reply, &error,
				waxwing_dispatcher_window(core->dispatcher, now()));
}

static void handle_batch(struct waxwing_core *core, struct core_event *event)
{
	waxwing_dispatcher_receive_batch(core->dispatcher, now(), event->batch);
	waxwing__batch__free_unpacked(event->batch, NULL);
}

/* Returns false if the thread must end. */
static bool handle_event(struct waxwing_core *core, struct core_event *event)
{
	switch (event->kind) {
	case EVENT_SUBMIT:
		handle_submit(core, event);
		break;
	case EVENT_CANCEL:
		handle_cancel(core, event);
		break;
	case EVENT_WINDOW:
		handle_window(core, event);
		break;
	case EVENT_DUMP:
		handle_dump(core, event);
		break;
	case EVENT_START_OCCURRENCE:
		handle_start_occurrence(core, event);
		break;
	case EVENT_ALIVE_QUERY:
		handle_alive_query(core, event);
		break;
	case EVENT_TASK_ENDED:
		handle_task_ended(core, event);
		break;
	case EVENT_BATCH:
		handle_batch(core, event);
		break;
	case EVENT_INSTANCES:
	case EVENT_UPSTREAMS:
		handle_list(core, event);
		break;
	case EVENT_SETTINGS:
		waxwing_dispatcher_set_settings(core->dispatcher, now(), event->settings);
		break;
	case EVENT_DRAIN:
		waxwing_dispatcher_drain(core->dispatcher, now());
		break;
	case EVENT_CLOSE:
		return false;
	}
	return true;
}

static bool handle_events(struct waxwing_core *core)
{
	struct core_event *event;
	bool open = true;

	while (open && (event = (struct core_event *)waxwing_inbox_take(&core->inbox)) != NULL) {
		open = handle_event(core, event);
		g_free(event);
	}
	return open;
}

static void tick(struct waxwing_core *core)
{
	int64_t now_ms = now();

	if (now_ms - core->last_tick_ms >= WAXWING_DISPATCHER_TICK_MS ||
	    now_ms >= waxwing_dispatcher_next_wake(core->dispatcher)) {
		core->last_tick_ms = now_ms;
		waxwing_dispatcher_tick(core->dispatcher, now_ms);
	}
	waxwing_dispatcher_flush(core->dispatcher, now_ms);
	atomic_store(&core->ready, waxwing_dispatcher_is_ready(core->dispatcher, now_ms));
	atomic_store(&core->drained, waxwing_dispatcher_is_drained(core->dispatcher));
}

static void sleep_until_event(struct waxwing_core *core)
{
	struct pollfd poll_fd = { .fd = core->inbox.wake_fd, .events = POLLIN };
	int64_t now_ms = now();
	int64_t next_ms = MIN(core->last_tick_ms + WAXWING_DISPATCHER_TICK_MS,
			      waxwing_dispatcher_next_wake(core->dispatcher));

	if (next_ms <= now_ms)
		return;
	if (waxwing_inbox_prepare_wait(&core->inbox))
		poll(&poll_fd, 1, (int)(next_ms - now_ms));
	waxwing_inbox_finish_wait(&core->inbox);
}

static void *core_thread(void *argument)
{
	struct waxwing_core *core = argument;

	rcu_register_thread();
	while (handle_events(core)) {
		tick(core);
		sleep_until_event(core);
	}
	rcu_unregister_thread();
	return NULL;
}

static bool start_threads(struct waxwing_core *core, const struct waxwing_core_options *options,
			  struct waxwing_error *error)
{
	const struct waxwing_sender_options sender = {
		.max_threads = options->sender_threads,
		.max_answer_bytes = options->max_answer_bytes,
		.on_result = task_ended,
		.context = core,
	};
	const struct waxwing_peer_options peer = {
		.address = options->peer_address,
		.source = options->peer_source,
		.incarnation = options->dispatcher.incarnation,
		.received = batch_received,
		.context = core,
	};

	core->peer = waxwing_peer_open(&peer, error);
	if (!core->peer)
		return false;
	core->sender = waxwing_sender_create(&sender, error);
	if (!core->sender)
		return false;
	if (pthread_create(&core->thread, NULL, core_thread, core) == 0)
		return true;
	waxwing_error_set(error, WAXWING_ERROR_SYSTEM, "", "cannot start the core thread");
	return false;
}

static void release(struct waxwing_core *core)
{
	if (core->sender)
		waxwing_sender_destroy(core->sender);
	if (core->peer)
		waxwing_peer_close(core->peer);
	waxwing_dispatcher_destroy(core->dispatcher);
	g_hash_table_destroy(core->replies);
	waxwing_inbox_destroy(&core->inbox);
	g_free(core);
}

struct waxwing_core *waxwing_core_open(const struct waxwing_core_options *options,
				       struct waxwing_error *error)
{
	struct waxwing_core *core = g_new0(struct waxwing_core, 1);
	struct waxwing_dispatcher_options dispatcher = options->dispatcher;

	dispatcher.ops = &dispatcher_ops;
	dispatcher.context = core;
	core->dispatcher = waxwing_dispatcher_create(&dispatcher, now());
	core->replies = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	if (!waxwing_inbox_init(&core->inbox) || !start_threads(core, options, error)) {
		release(core);
		return NULL;
	}
	return core;
}

static void free_event(struct core_event *event)
{
	if (event->kind == EVENT_TASK_ENDED) {
		g_free((char *)event->send_result.upstream.data);
		g_free((char *)event->send_result.body.data);
	} else if (event->kind == EVENT_BATCH) {
		waxwing__batch__free_unpacked(event->batch, NULL);
	}
	g_free(event);
}

void waxwing_core_close(struct waxwing_core *core)
{
	struct core_event *event;

	post(core, event_new(EVENT_CLOSE, NULL));
	pthread_join(core->thread, NULL);
	waxwing_sender_destroy(core->sender);
	core->sender = NULL;
	waxwing_peer_close(core->peer);
	core->peer = NULL;
	while ((event = (struct core_event *)waxwing_inbox_take(&core->inbox)) != NULL)
		free_event(event);
	release(core);
}

void waxwing_core_submit(struct waxwing_core *core, Waxwing__JobRequest *request,
			 enum waxwing_submit_kind kind, struct waxwing_reply *reply)
{
	struct core_event *event = event_new(EVENT_SUBMIT, reply);

	event->request = request;
	event->submit_kind = kind;
	post(core, event);
}

void waxwing_core_cancel(struct waxwing_core *core, struct waxwing_str id,
			 struct waxwing_reply *reply)
{
	struct core_event *event = event_new(EVENT_CANCEL, reply);

	event->id = waxwing_str_dup(id);
	post(core, event);
}

void waxwing_core_start_occurrence(struct waxwing_core *core, struct waxwing_str branch,
				   struct waxwing_str job, int64_t occurrence_ms)
{
	struct core_event *event = event_new(EVENT_START_OCCURRENCE, NULL);

	event->occurrence = (struct occurrence){ .branch = waxwing_str_dup(branch),
						 .job = waxwing_str_dup(job),
						 .at_ms = occurrence_ms };
	post(core, event);
}

bool waxwing_core_instance_alive(struct waxwing_core *core, uint64_t incarnation)
{
	struct alive_query query = { .incarnation = incarnation };
	struct core_event *event = event_new(EVENT_ALIVE_QUERY, NULL);

	pthread_mutex_init(&query.lock, NULL);
	pthread_cond_init(&query.answered, NULL);
	event->query = &query;
	post(core, event);
	pthread_mutex_lock(&query.lock);
	while (!query.done)
		pthread_cond_wait(&query.answered, &query.lock);
	pthread_mutex_unlock(&query.lock);
	pthread_cond_destroy(&query.answered);
	pthread_mutex_destroy(&query.lock);
	return query.alive;
}

void waxwing_core_get_window(struct waxwing_core *core, struct waxwing_reply *reply)
{
	post(core, event_new(EVENT_WINDOW, reply));
}

void waxwing_core_dump_state(struct waxwing_core *core, struct waxwing_reply *reply)
{
	post(core, event_new(EVENT_DUMP, reply));
}

static void post_list(struct waxwing_core *core, enum event_kind kind,
		      struct waxwing_platform_list *list)
{
	struct core_event *event = event_new(kind, NULL);

	event->list = *list;
	*list = (struct waxwing_platform_list){ 0 };
	post(core, event);
}

void waxwing_core_set_instances(struct waxwing_core *core, struct waxwing_platform_list *list)
{
	post_list(core, EVENT_INSTANCES, list);
}

void waxwing_core_set_upstreams(struct waxwing_core *core, struct waxwing_platform_list *list)
{
	post_list(core, EVENT_UPSTREAMS, list);
}

void waxwing_core_set_settings(struct waxwing_core *core, struct waxwing_settings *settings)
{
	struct core_event *event = event_new(EVENT_SETTINGS, NULL);

	event->settings = settings;
	post(core, event);
}

void waxwing_core_drain(struct waxwing_core *core)
{
	post(core, event_new(EVENT_DRAIN, NULL));
}

bool waxwing_core_ready(const struct waxwing_core *core)
{
	return atomic_load(&core->ready);
}

bool waxwing_core_drained(const struct waxwing_core *core)
{
	return atomic_load(&core->drained);
}

void waxwing_core_peer_view(const struct waxwing_core *core, struct waxwing_peer_view *view)
{
	waxwing_peer_view(core->peer, view);
}

struct waxwing_settings_store *waxwing_core_settings_store(struct waxwing_core *core)
{
	return waxwing_dispatcher_settings_store(core->dispatcher);
}

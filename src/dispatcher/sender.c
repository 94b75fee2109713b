#include "sender.h"
#include "http_client.h"

#include <pthread.h>
#include <string.h>
#include <unistd.h>

#define HTTP_OK			 200
#define HTTP_SERVICE_UNAVAILABLE 503
#define STOP_TIMEOUT_MS		 1000
#define STOP_ANSWER_BYTES	 4096
#define STOP_INTERVAL_US	 1000
#define STOPS_QUEUED_MAX	 4096
/** Reserved characters that are not escaped in the task header. Other bytes are percent-encoded. */
#define TASK_HEADER_UNESCAPED "!\"#$&'()*+,/:;<=>?@[\\]^`{|}"

/** A queued send, with its own copies of the strings. */
struct queued_send {
	uint64_t job;
	uint32_t task;
	uint32_t timeout_ms;
	char *name; /**< Value of the task header. */
	char *upstream;
	char *address;
	GBytes *body;
};

/** A queued stop request. */
struct queued_stop {
	char *address;
	char *target;
	char *key; /**< Address and request target, concatenated. */
};

struct waxwing_sender {
	struct waxwing_sender_options options;
	pthread_mutex_t lock; /**< Protects the fields below. */
	pthread_cond_t send_queued;
	pthread_cond_t stop_queued;
	GQueue sends;
	GQueue stops;
	GHashTable *stop_keys; /**< Keys of the queued stops, so that each is queued once. */
	bool closing;
	pthread_t *threads;
	uint32_t thread_count;
	uint32_t idle_threads; /**< Threads that wait for a send. */
	pthread_t stopper;
	bool has_stopper;
};

static void queued_send_free(struct queued_send *queued)
{
	g_free(queued->name);
	g_free(queued->upstream);
	g_free(queued->address);
	g_bytes_unref(queued->body);
	g_free(queued);
}

static void queued_stop_free(struct queued_stop *stop)
{
	g_free(stop->address);
	g_free(stop->target);
	g_free(stop->key);
	g_free(stop);
}

/**
 * Returns "<submission id>#<task>", with '%', spaces and bytes outside printable ASCII
 * percent-encoded; freed with g_free().
 */
static char *task_name(struct waxwing_str id, uint32_t task)
{
	char *text = waxwing_str_dup(id);
	char *plain = g_uri_escape_string(text, TASK_HEADER_UNESCAPED, FALSE);
	char *name = g_strdup_printf("%s#%u", plain, task);

	g_free(plain);
	g_free(text);
	return name;
}

static enum waxwing_slot_outcome complete_outcome(const struct waxwing_http_answer *answer)
{
	if (answer->status == HTTP_OK)
		return WAXWING_SLOT_DONE;
	if (answer->status == HTTP_SERVICE_UNAVAILABLE && answer->header) {
		if (strcmp(answer->header, "busy") == 0)
			return WAXWING_SLOT_BUSY;
		if (strcmp(answer->header, "leaving") == 0)
			return WAXWING_SLOT_LEAVING;
	}
	return WAXWING_SLOT_FAILED;
}

static enum waxwing_slot_outcome slot_outcome(enum waxwing_http_result end,
					      const struct waxwing_http_answer *answer)
{
	if (end == WAXWING_HTTP_COMPLETE)
		return complete_outcome(answer);
	if (end == WAXWING_HTTP_UNREACHABLE)
		return WAXWING_SLOT_UNREACHABLE;
	return WAXWING_SLOT_UNKNOWN;
}

static void run_send(struct waxwing_sender *sender, const struct queued_send *queued)
{
	gsize len;
	const char *body = g_bytes_get_data(queued->body, &len);
	struct waxwing_http_call call = {
		.method = "POST",
		.address = queued->address,
		.target = WAXWING_UPSTREAM_TASK_PATH,
		.header = WAXWING_UPSTREAM_TASK_HEADER,
		.header_value = queued->name,
		.body = { len, body },
		.answer_header = WAXWING_UPSTREAM_STATE_HEADER,
		.max_answer_bytes = sender->options.max_answer_bytes,
		.timeout_ms = queued->timeout_ms,
	};
	struct waxwing_http_answer answer;
	enum waxwing_http_result end = waxwing_http_call(&call, &answer);
	struct waxwing_send_result sent = {
		.job = queued->job,
		.task = queued->task,
		.upstream = waxwing_str(queued->upstream),
		.outcome = slot_outcome(end, &answer),
		.run_ms = answer.elapsed_ms,
		.body = waxwing_str(""),
	};

	if (sent.outcome == WAXWING_SLOT_DONE || sent.outcome == WAXWING_SLOT_FAILED)
		sent.body = (struct waxwing_str){ answer.body->len, answer.body->str };
	sender->options.on_result(sender->options.context, &sent);
	waxwing_http_answer_clear(&answer);
}

/** Waits for the next send; returns null when the sender closes and none is left. */
static struct queued_send *wait_for_send(struct waxwing_sender *sender)
{
	struct queued_send *queued;

	pthread_mutex_lock(&sender->lock);
	sender->idle_threads++;
	while (!sender->closing && g_queue_is_empty(&sender->sends))
		pthread_cond_wait(&sender->send_queued, &sender->lock);
	sender->idle_threads--;
	queued = g_queue_pop_head(&sender->sends);
	pthread_mutex_unlock(&sender->lock);
	return queued;
}

static void *send_loop(void *context)
{
	struct waxwing_sender *sender = context;
	struct queued_send *queued;

	while ((queued = wait_for_send(sender))) {
		run_send(sender, queued);
		queued_send_free(queued);
	}
	return NULL;
}

static void run_stop(const struct queued_stop *stop)
{
	struct waxwing_http_call call = {
		.method = "DELETE",
		.address = stop->address,
		.target = stop->target,
		.max_answer_bytes = STOP_ANSWER_BYTES,
		.timeout_ms = STOP_TIMEOUT_MS,
	};
	struct waxwing_http_answer answer;

	waxwing_http_call(&call, &answer);
	waxwing_http_answer_clear(&answer);
}

/** Waits for the next stop; returns null when the sender closes. */
static struct queued_stop *wait_for_stop(struct waxwing_sender *sender)
{
	struct queued_stop *stop = NULL;

	pthread_mutex_lock(&sender->lock);
	while (!sender->closing && g_queue_is_empty(&sender->stops))
		pthread_cond_wait(&sender->stop_queued, &sender->lock);
	if (!sender->closing) {
		stop = g_queue_pop_head(&sender->stops);
		g_hash_table_remove(sender->stop_keys, stop->key);
	}
	pthread_mutex_unlock(&sender->lock);
	return stop;
}

static void *stop_loop(void *context)
{
	struct waxwing_sender *sender = context;
	struct queued_stop *stop;

	while ((stop = wait_for_stop(sender))) {
		run_stop(stop);
		queued_stop_free(stop);
		usleep(STOP_INTERVAL_US);
	}
	return NULL;
}

static bool start_thread(struct waxwing_sender *sender, pthread_t *thread, void *(*loop)(void *),
			 struct waxwing_error *error)
{
	int code = pthread_create(thread, NULL, loop, sender);

	if (code == 0)
		return true;
	waxwing_error_set(error, WAXWING_ERROR_SYSTEM, "senders", "thread: errno %d", code);
	return false;
}

/* Starts another thread unless max_threads are running. Call with the lock held. */
static bool add_thread(struct waxwing_sender *sender, struct waxwing_error *error)
{
	if (sender->thread_count == sender->options.max_threads)
		return true;
	if (!start_thread(sender, &sender->threads[sender->thread_count], send_loop, error))
		return false;
	sender->thread_count++;
	return true;
}

static bool start_threads(struct waxwing_sender *sender, struct waxwing_error *error)
{
	bool added;

	sender->has_stopper = start_thread(sender, &sender->stopper, stop_loop, error);
	if (!sender->has_stopper)
		return false;
	pthread_mutex_lock(&sender->lock);
	added = add_thread(sender, error);
	pthread_mutex_unlock(&sender->lock);
	return added;
}

struct waxwing_sender *waxwing_sender_create(const struct waxwing_sender_options *options,
					     struct waxwing_error *error)
{
	struct waxwing_sender *sender = g_new0(struct waxwing_sender, 1);

	sender->options = *options;
	sender->options.max_threads = MAX(options->max_threads, 1);
	sender->threads = g_new0(pthread_t, sender->options.max_threads);
	sender->stop_keys = g_hash_table_new(g_str_hash, g_str_equal);
	pthread_mutex_init(&sender->lock, NULL);
	pthread_cond_init(&sender->send_queued, NULL);
	pthread_cond_init(&sender->stop_queued, NULL);
	if (start_threads(sender, error))
		return sender;
	waxwing_sender_destroy(sender);
	return NULL;
}

static void join_threads(struct waxwing_sender *sender)
{
	pthread_mutex_lock(&sender->lock);
	sender->closing = true;
	pthread_cond_broadcast(&sender->send_queued);
	pthread_cond_broadcast(&sender->stop_queued);
	pthread_mutex_unlock(&sender->lock);
	for (uint32_t i = 0; i < sender->thread_count; i++)
		pthread_join(sender->threads[i], NULL);
	if (sender->has_stopper)
		pthread_join(sender->stopper, NULL);
}

void waxwing_sender_destroy(struct waxwing_sender *sender)
{
	struct queued_stop *stop;

	join_threads(sender);
	while ((stop = g_queue_pop_head(&sender->stops)))
		queued_stop_free(stop);
	g_hash_table_destroy(sender->stop_keys);
	pthread_cond_destroy(&sender->stop_queued);
	pthread_cond_destroy(&sender->send_queued);
	pthread_mutex_destroy(&sender->lock);
	g_free(sender->threads);
	g_free(sender);
}

static struct queued_send *queued_send_create(const struct waxwing_send_request *send)
{
	struct queued_send *queued = g_new0(struct queued_send, 1);

	queued->job = send->job;
	queued->task = send->task;
	queued->timeout_ms = send->timeout_ms;
	queued->name = task_name(send->id, send->task);
	queued->upstream = waxwing_str_dup(send->upstream);
	queued->address = waxwing_str_dup(send->address);
	queued->body = g_bytes_new(send->body.data, send->body.len);
	return queued;
}

void waxwing_sender_send(struct waxwing_sender *sender, const struct waxwing_send_request *send)
{
	struct queued_send *queued = queued_send_create(send);

	pthread_mutex_lock(&sender->lock);
	g_queue_push_tail(&sender->sends, queued);
	if (sender->sends.length > sender->idle_threads)
		add_thread(sender, NULL);
	pthread_cond_signal(&sender->send_queued);
	pthread_mutex_unlock(&sender->lock);
}

static struct queued_stop *queued_stop_create(struct waxwing_str address, struct waxwing_str id,
					      uint32_t task)
{
	struct queued_stop *stop = g_new0(struct queued_stop, 1);
	char *name = task_name(id, task);
	char *escaped = g_uri_escape_string(name, NULL, FALSE);

	stop->address = waxwing_str_dup(address);
	stop->target = g_strdup_printf("%s?id=%s", WAXWING_UPSTREAM_TASK_PATH, escaped);
	stop->key = g_strconcat(stop->address, stop->target, NULL);
	g_free(escaped);
	g_free(name);
	return stop;
}

void waxwing_sender_stop(struct waxwing_sender *sender, struct waxwing_str address,
			 struct waxwing_str id, uint32_t task)
{
	struct queued_stop *stop = queued_stop_create(address, id, task);
	bool added = false;

	pthread_mutex_lock(&sender->lock);
	if (sender->stops.length < STOPS_QUEUED_MAX &&
	    !g_hash_table_contains(sender->stop_keys, stop->key)) {
		g_hash_table_add(sender->stop_keys, stop->key);
		g_queue_push_tail(&sender->stops, stop);
		pthread_cond_signal(&sender->stop_queued);
		added = true;
	}
	pthread_mutex_unlock(&sender->lock);
	if (!added)
		queued_stop_free(stop);
}

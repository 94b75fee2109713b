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
/** Left as they are in the task header; other bytes are percent-encoded. */
#define TASK_HEADER_PLAIN "!\"#$&'()*+,/:;<=>?@[\\]^`{|}"

/** A queued send with its own copies. */
struct job {
	uint64_t job;
	uint32_t task;
	uint32_t timeout_ms;
	char *name; /**< value of the task header */
	char *upstream;
	char *address;
	GBytes *body;
};

/** A queued stop. */
struct stop {
	char *address;
	char *target;
	char *key; /**< address and target */
};

struct waxwing_sender {
	struct waxwing_sender_options options;
	pthread_mutex_t lock; /**< of what follows */
	pthread_cond_t job_queued;
	pthread_cond_t stop_queued;
	GQueue jobs;
	GQueue stops;
	GHashTable *stop_keys; /**< of queued stops, so that each is queued once */
	bool closing;
	pthread_t *threads;
	uint32_t thread_count;
	uint32_t idle; /**< threads without a send */
	pthread_t stopper;
	bool has_stopper;
};

static void job_free(struct job *job)
{
	g_free(job->name);
	g_free(job->upstream);
	g_free(job->address);
	g_bytes_unref(job->body);
	g_free(job);
}

static void stop_free(struct stop *stop)
{
	g_free(stop->address);
	g_free(stop->target);
	g_free(stop->key);
	g_free(stop);
}

/** "<submission id>#<task>" with control bytes and the like escaped. */
static char *task_name(struct waxwing_str id, uint32_t task)
{
	char *text = waxwing_str_dup(id);
	char *plain = g_uri_escape_string(text, TASK_HEADER_PLAIN, FALSE);
	char *name = g_strdup_printf("%s#%u", plain, task);

	g_free(plain);
	g_free(text);
	return name;
}

static enum waxwing_slot_outcome whole_outcome(const struct waxwing_http_answer *answer)
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

static enum waxwing_slot_outcome slot_outcome(enum waxwing_http_end end,
					      const struct waxwing_http_answer *answer)
{
	if (end == WAXWING_HTTP_WHOLE)
		return whole_outcome(answer);
	if (end == WAXWING_HTTP_UNREACHABLE)
		return WAXWING_SLOT_UNREACHABLE;
	return WAXWING_SLOT_UNKNOWN;
}

static void job_run(struct waxwing_sender *sender, const struct job *job)
{
	gsize len;
	const char *body = g_bytes_get_data(job->body, &len);
	struct waxwing_http_call call = {
		.method = "POST",
		.address = job->address,
		.target = WAXWING_UPSTREAM_TASK_PATH,
		.header = WAXWING_UPSTREAM_TASK_HEADER,
		.header_value = job->name,
		.body = { len, body },
		.answer_header = WAXWING_UPSTREAM_STATE_HEADER,
		.answer_bytes = sender->options.answer_bytes,
		.timeout_ms = job->timeout_ms,
	};
	struct waxwing_http_answer answer;
	enum waxwing_http_end end = waxwing_http_call(&call, &answer);
	struct waxwing_sent sent = {
		.job = job->job,
		.task = job->task,
		.upstream = waxwing_str(job->upstream),
		.outcome = slot_outcome(end, &answer),
		.run_ms = answer.run_ms,
		.body = waxwing_str(""),
	};

	if (sent.outcome == WAXWING_SLOT_DONE || sent.outcome == WAXWING_SLOT_FAILED)
		sent.body = (struct waxwing_str){ answer.body->len, answer.body->str };
	sender->options.ended(sender->options.context, &sent);
	waxwing_http_answer_clear(&answer);
}

/** Waits for the next send; null when the sender closes and none is left. */
static struct job *job_take(struct waxwing_sender *sender)
{
	struct job *job;

	pthread_mutex_lock(&sender->lock);
	sender->idle++;
	while (!sender->closing && g_queue_is_empty(&sender->jobs))
		pthread_cond_wait(&sender->job_queued, &sender->lock);
	sender->idle--;
	job = g_queue_pop_head(&sender->jobs);
	pthread_mutex_unlock(&sender->lock);
	return job;
}

static void *send_loop(void *context)
{
	struct waxwing_sender *sender = context;
	struct job *job;

	while ((job = job_take(sender))) {
		job_run(sender, job);
		job_free(job);
	}
	return NULL;
}

static void stop_run(const struct stop *stop)
{
	struct waxwing_http_call call = {
		.method = "DELETE",
		.address = stop->address,
		.target = stop->target,
		.answer_bytes = STOP_ANSWER_BYTES,
		.timeout_ms = STOP_TIMEOUT_MS,
	};
	struct waxwing_http_answer answer;

	waxwing_http_call(&call, &answer);
	waxwing_http_answer_clear(&answer);
}

/** Waits for the next stop; null when the sender closes. */
static struct stop *stop_take(struct waxwing_sender *sender)
{
	struct stop *stop = NULL;

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
	struct stop *stop;

	while ((stop = stop_take(sender))) {
		stop_run(stop);
		stop_free(stop);
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

/* One more thread when each has a send and more are waiting. Under the lock. */
static bool grow(struct waxwing_sender *sender, struct waxwing_error *error)
{
	if (sender->thread_count == sender->options.threads)
		return true;
	if (!start_thread(sender, &sender->threads[sender->thread_count], send_loop, error))
		return false;
	sender->thread_count++;
	return true;
}

static bool start_threads(struct waxwing_sender *sender, struct waxwing_error *error)
{
	bool grown;

	sender->has_stopper = start_thread(sender, &sender->stopper, stop_loop, error);
	if (!sender->has_stopper)
		return false;
	pthread_mutex_lock(&sender->lock);
	grown = grow(sender, error);
	pthread_mutex_unlock(&sender->lock);
	return grown;
}

struct waxwing_sender *waxwing_sender_create(const struct waxwing_sender_options *options,
					     struct waxwing_error *error)
{
	struct waxwing_sender *sender = g_new0(struct waxwing_sender, 1);

	sender->options = *options;
	sender->options.threads = MAX(options->threads, 1);
	sender->threads = g_new0(pthread_t, sender->options.threads);
	sender->stop_keys = g_hash_table_new(g_str_hash, g_str_equal);
	pthread_mutex_init(&sender->lock, NULL);
	pthread_cond_init(&sender->job_queued, NULL);
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
	pthread_cond_broadcast(&sender->job_queued);
	pthread_cond_broadcast(&sender->stop_queued);
	pthread_mutex_unlock(&sender->lock);
	for (uint32_t i = 0; i < sender->thread_count; i++)
		pthread_join(sender->threads[i], NULL);
	if (sender->has_stopper)
		pthread_join(sender->stopper, NULL);
}

void waxwing_sender_destroy(struct waxwing_sender *sender)
{
	struct stop *stop;

	join_threads(sender);
	while ((stop = g_queue_pop_head(&sender->stops)))
		stop_free(stop);
	g_hash_table_destroy(sender->stop_keys);
	pthread_cond_destroy(&sender->stop_queued);
	pthread_cond_destroy(&sender->job_queued);
	pthread_mutex_destroy(&sender->lock);
	g_free(sender->threads);
	g_free(sender);
}

static struct job *job_create(const struct waxwing_send *send)
{
	struct job *job = g_new0(struct job, 1);

	job->job = send->job;
	job->task = send->task;
	job->timeout_ms = send->timeout_ms;
	job->name = task_name(send->id, send->task);
	job->upstream = waxwing_str_dup(send->upstream);
	job->address = waxwing_str_dup(send->address);
	job->body = g_bytes_new(send->body.data, send->body.len);
	return job;
}

void waxwing_sender_send(struct waxwing_sender *sender, const struct waxwing_send *send)
{
	struct job *job = job_create(send);

	pthread_mutex_lock(&sender->lock);
	g_queue_push_tail(&sender->jobs, job);
	if (sender->jobs.length > sender->idle)
		grow(sender, NULL);
	pthread_cond_signal(&sender->job_queued);
	pthread_mutex_unlock(&sender->lock);
}

static struct stop *stop_create(struct waxwing_str address, struct waxwing_str id, uint32_t task)
{
	struct stop *stop = g_new0(struct stop, 1);
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
	struct stop *stop = stop_create(address, id, task);
	bool taken = false;

	pthread_mutex_lock(&sender->lock);
	if (sender->stops.length < STOPS_QUEUED_MAX &&
	    !g_hash_table_contains(sender->stop_keys, stop->key)) {
		g_hash_table_add(sender->stop_keys, stop->key);
		g_queue_push_tail(&sender->stops, stop);
		pthread_cond_signal(&sender->stop_queued);
		taken = true;
	}
	pthread_mutex_unlock(&sender->lock);
	if (!taken)
		stop_free(stop);
}

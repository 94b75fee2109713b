/**
 * Sends committed tasks to upstreams over HTTP and reports their results.
 *
 * The HTTP library, neon, blocks, so a pool of threads does the sending, one task per thread at a
 * time. A task is sent once: neither this module nor neon resends it.
 */
#ifndef WAXWING_SENDER_H
#define WAXWING_SENDER_H

#include "scheduler.h"
#include "str.h"
#include "waxwingswitch/error.h"

#include <stdint.h>

struct waxwing_sender;

/** HTTP path of tasks at an upstream. */
#define WAXWING_UPSTREAM_TASK_PATH "/task"
/**
 * Request header that names the task: "<submission id>#<task>", with '%', spaces and bytes outside
 * printable ASCII percent-encoded.
 */
#define WAXWING_UPSTREAM_TASK_HEADER "Waxwing-Task"
/** Response header of a 503: "busy" or "leaving". Either means that nothing was started. */
#define WAXWING_UPSTREAM_STATE_HEADER "Waxwing-Upstream"

/** A task to send. Strings are copied by waxwing_sender_send(). */
struct waxwing_send_request {
	uint64_t job;
	uint32_t task;
	struct waxwing_str id; /**< Submission id. */
	struct waxwing_str upstream; /**< Name of the upstream. */
	struct waxwing_str address; /**< IP:port of the upstream. */
	struct waxwing_str body;
	/**
	 * Time limit for the complete answer, counted from when a thread takes the task. An answer
	 * that is incomplete by then is UNKNOWN. The result may be reported up to a second later,
	 * since neon counts whole seconds.
	 */
	uint32_t timeout_ms;
};

/** Result of a send. Owned by the sender during the callback. */
struct waxwing_send_result {
	uint64_t job;
	uint32_t task;
	struct waxwing_str upstream;
	enum waxwing_slot_outcome outcome;
	uint32_t run_ms; /**< Duration of the HTTP call. */
	struct waxwing_str body; /**< Body of a DONE or FAILED answer; empty otherwise. */
};

struct waxwing_sender_options {
	uint32_t max_threads;
	uint32_t max_answer_bytes; /**< Maximum length of an answer; a longer one is UNKNOWN. */
	/** Called on a sender thread, once for each send. */
	void (*on_result)(void *context, const struct waxwing_send_result *sent);
	void *context;
};

/** Returns null with @error (WAXWING_ERROR_SYSTEM) if threads cannot be created. */
struct waxwing_sender *waxwing_sender_create(const struct waxwing_sender_options *options,
					     struct waxwing_error *error);
/** Waits for queued and running sends to end, then frees the sender. */
void waxwing_sender_destroy(struct waxwing_sender *sender);

/** Queues a task for sending. Thread-safe. */
void waxwing_sender_send(struct waxwing_sender *sender, const struct waxwing_send_request *send);

/**
 * Asks an upstream to stop a task. The outcome is not reported. One thread sends all stop requests,
 * at a limited rate. A request is dropped if an identical one is queued or the queue is full.
 * Thread-safe.
 */
void waxwing_sender_stop(struct waxwing_sender *sender, struct waxwing_str address,
			 struct waxwing_str id, uint32_t task);

#endif

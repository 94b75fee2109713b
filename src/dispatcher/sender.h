/**
 * Sends committed tasks to upstreams over HTTP and reports how each ended.
 *
 * neon blocks, so a pool of threads does the sending, one task a thread. A task is sent once: nothing
 * here or in the library below resends it.
 */
#ifndef WAXWING_SENDER_H
#define WAXWING_SENDER_H

#include "scheduler.h"
#include "str.h"
#include "waxwingswitch/error.h"

#include <stdint.h>

struct waxwing_sender;

/** Protocol towards upstreams. */
#define WAXWING_UPSTREAM_TASK_PATH "/task"
/**
 * Request header naming the task: "<submission id>#<task>", with '%', blanks and bytes outside
 * printable ASCII percent-encoded.
 */
#define WAXWING_UPSTREAM_TASK_HEADER "Waxwing-Task"
/** Answer header of a 503: "busy" or "leaving", either of which means that nothing started. */
#define WAXWING_UPSTREAM_STATE_HEADER "Waxwing-Upstream"

/** A task to send. Strings are copied by waxwing_sender_send(). */
struct waxwing_send {
	uint64_t job;
	uint32_t task;
	struct waxwing_str id; /**< the submission's */
	struct waxwing_str upstream; /**< name */
	struct waxwing_str address; /**< IP:port */
	struct waxwing_str body;
	/**
	 * For the whole answer, from when a thread takes the task. An answer that isn't whole by then is
	 * UNKNOWN; the end may be reported up to a second later, since neon counts in whole seconds.
	 */
	uint32_t timeout_ms;
};

/** How a send ended. Owned by the sender during the callback. */
struct waxwing_sent {
	uint64_t job;
	uint32_t task;
	struct waxwing_str upstream;
	enum waxwing_slot_outcome outcome;
	uint32_t run_ms; /**< from first byte to last */
	struct waxwing_str body; /**< of a DONE or FAILED answer */
};

struct waxwing_sender_options {
	uint32_t threads;
	uint32_t answer_bytes; /**< longest answer taken; a longer one is UNKNOWN */
	/** Called on a sender thread, once for each send. */
	void (*ended)(void *context, const struct waxwing_sent *sent);
	void *context;
};

/** Null with @error (WAXWING_ERROR_SYSTEM) when threads can't be had. */
struct waxwing_sender *waxwing_sender_create(const struct waxwing_sender_options *options,
					     struct waxwing_error *error);
/** Waits for sends under way, then frees. */
void waxwing_sender_destroy(struct waxwing_sender *sender);

/** Queues a send. Any thread. */
void waxwing_sender_send(struct waxwing_sender *sender, const struct waxwing_send *send);

/**
 * Asks the upstream to stop a task; bounded in rate, no outcome of its own. One thread sends all
 * stops; a stop that is queued already, or is one too many, is dropped. Any thread.
 */
void waxwing_sender_stop(struct waxwing_sender *sender, struct waxwing_str address,
			 struct waxwing_str id, uint32_t task);

#endif

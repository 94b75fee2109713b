/**
 * Core logic of one entry instance, without sockets: submissions, the schedulers of the cells
 * assigned to it, membership, and the messages exchanged with peers.
 *
 * The caller passes in events with the current time; outputs go to struct waxwing_dispatcher_ops.
 * Not thread-safe: the core thread owns the dispatcher. Only the settings store is shared; other
 * threads read it under RCU.
 */
#ifndef WAXWING_DISPATCHER_H
#define WAXWING_DISPATCHER_H

#include "generated/api.pb-c.h"
#include "generated/peer.pb-c.h"
#include "membership.h"
#include "platform.h"
#include "scheduler.h"
#include "sender.h"
#include "settings.h"
#include "submission.h"

#include <json-c/json.h>

struct waxwing_dispatcher;

/**
 * Output callbacks. They run inside calls to the dispatcher; pointers are valid during the callback
 * only.
 */
struct waxwing_dispatcher_ops {
	/** Queues a batch for a peer's address (IP:port). */
	void (*send_batch)(void *context, struct waxwing_str address, const Waxwing__Batch *batch);
	/**
	 * The connection to a peer's address may be closed; a later send_batch() to it opens a new
	 * one.
	 */
	void (*disconnect_peer)(void *context, struct waxwing_str address);
	/** Sends a committed task; its result must be reported with waxwing_dispatcher_task_ended(). */
	void (*start_task)(void *context, const struct waxwing_send_request *send);
	/** Asks an upstream to stop a running task. */
	void (*stop_task)(void *context, struct waxwing_str address, struct waxwing_str id,
			  uint32_t task);
	/** Delivers the answer to a waiter. Called exactly once per waiter. */
	void (*answer)(void *context, struct waxwing_waiter waiter,
		       const Waxwing__JobAnswer *answer);
};

/** Largest waiter number that callers may use; the dispatcher uses higher ones internally. */
#define WAXWING_WAITER_MAX (UINT64_MAX / 2)

struct waxwing_dispatcher_options {
	const struct waxwing_dispatcher_ops *ops;
	void *context;
	struct waxwing_str name; /**< Name of the instance. All strings are copied. */
	struct waxwing_str domain;
	struct waxwing_str http_address;
	struct waxwing_str peer_address;
	uint64_t incarnation;
	uint64_t seed;
};

struct waxwing_dispatcher *
waxwing_dispatcher_create(const struct waxwing_dispatcher_options *options, int64_t now_ms);
void waxwing_dispatcher_destroy(struct waxwing_dispatcher *dispatcher);

/** Kinds of submissions. The values are part of the peer protocol. */
enum waxwing_submit_kind {
	WAXWING_SUBMIT_JOB = 0, /**< A job; each of its tasks starts at most once. */
	WAXWING_SUBMIT_SINGLE = 1, /**< A single request; retried if its branch is idempotent. */
	WAXWING_SUBMIT_CANCEL = 2, /**< A request to cancel the job with the given id. */
};

/** Submits a job. The waiter is answered exactly once. */
void waxwing_dispatcher_submit(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
			       const Waxwing__JobRequest *request, enum waxwing_submit_kind kind,
			       struct waxwing_waiter waiter);

/**
 * Cancels a job, here or at its issuer.
 *
 * The waiter is answered exactly once: with state "cancelled"; with "not_cancelled" and a failure
 * bad_id, not_found (the id was never seen, or the job is already answered) or expired_id; or with
 * "unknown" if the issuer cannot be reached.
 */
void waxwing_dispatcher_cancel(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
			       const char *id, struct waxwing_waiter waiter);

/**
 * Submits one occurrence of a declared job under this instance's window. Returns
 * WAXWING_ERROR_NOT_FOUND, without answering the waiter, if the settings have no such job.
 */
enum waxwing_error_code
waxwing_dispatcher_submit_occurrence(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				     struct waxwing_str branch, struct waxwing_str job,
				     int64_t occurrence_ms, struct waxwing_waiter waiter);

/** Returns true if an incarnation, this one or a peer's, is alive and not leaving. */
bool waxwing_dispatcher_is_alive(const struct waxwing_dispatcher *dispatcher, uint64_t incarnation);

/** Returns the window for new submission ids; valid until the next call. */
struct waxwing_str waxwing_dispatcher_window(struct waxwing_dispatcher *dispatcher, int64_t now_ms);

/** Reports the result of a task passed to start_task(). */
void waxwing_dispatcher_task_ended(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				   const struct waxwing_send_result *sent);

/** Processes a batch received from a peer. */
void waxwing_dispatcher_receive_batch(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				      const Waxwing__Batch *batch);

/** Update the entry instances and the upstreams from the platform's lists. */
void waxwing_dispatcher_set_instances(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				      const struct waxwing_platform_list *list);
void waxwing_dispatcher_set_upstreams(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				      const struct waxwing_platform_list *list);

/** Takes ownership of settings from the platform or a peer, and applies them if they are newer. */
void waxwing_dispatcher_set_settings(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				     struct waxwing_settings *settings);

/**
 * Returns the settings store, which other threads read under RCU. Lives as long as the dispatcher.
 */
struct waxwing_settings_store *
waxwing_dispatcher_settings_store(struct waxwing_dispatcher *dispatcher);

/** Runs time-driven work. Call at least every WAXWING_DISPATCHER_TICK_MS. */
void waxwing_dispatcher_tick(struct waxwing_dispatcher *dispatcher, int64_t now_ms);
#define WAXWING_DISPATCHER_TICK_MS 20

/**
 * Returns the time at which a scheduler needs a tick, which may be before the next regular one;
 * INT64_MAX if none needs it.
 */
int64_t waxwing_dispatcher_next_wake(const struct waxwing_dispatcher *dispatcher);

/** Sends the messages queued for peers since the last flush. */
void waxwing_dispatcher_flush(struct waxwing_dispatcher *dispatcher, int64_t now_ms);

/**
 * Returns true if callers can be served: settings and upstreams are known, peers have had time to
 * send heartbeats, and the instance is not draining.
 */
bool waxwing_dispatcher_is_ready(const struct waxwing_dispatcher *dispatcher, int64_t now_ms);

/** Begins a graceful shutdown: refuses new ids and tells peers that this instance is leaving. */
void waxwing_dispatcher_drain(struct waxwing_dispatcher *dispatcher, int64_t now_ms);

/**
 * Returns true once a draining dispatcher has answered all its submissions and handed over its ids,
 * if there was a successor.
 */
bool waxwing_dispatcher_is_drained(const struct waxwing_dispatcher *dispatcher);

/** Returns the state for inspection; release it with json_object_put(). */
struct json_object *waxwing_dispatcher_dump(struct waxwing_dispatcher *dispatcher, int64_t now_ms);

#endif

/**
 * One entry instance without its sockets: submissions, the scheduler of its cell when it is its turn,
 * membership, and the messages between them.
 *
 * Events and a time go in, outputs come out through struct waxwing_dispatcher_ops. Not thread-safe: the
 * core thread owns a dispatcher. Only the settings store is shared, with readers under RCU.
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

/** Where outputs go. Called during the dispatcher's own calls; pointers are valid for the call only. */
struct waxwing_dispatcher_ops {
	/** Queues a batch to a peer's address (IP:port). */
	void (*send_batch)(void *context, struct waxwing_str address, const Waxwing__Batch *batch);
	/** Nothing more goes to a peer's address unless a batch is sent to it again. */
	void (*forget_peer)(void *context, struct waxwing_str address);
	/** Starts a committed task; its end comes back through waxwing_dispatcher_sent(). */
	void (*start_task)(void *context, const struct waxwing_send *send);
	/** Asks an upstream to stop a running task. */
	void (*stop_task)(void *context, struct waxwing_str address, struct waxwing_str id,
			  uint32_t task);
	/** The one answer of a waiter. */
	void (*answer)(void *context, struct waxwing_waiter waiter,
		       const Waxwing__JobAnswer *answer);
};

/** Largest number that a caller may give a waiter; higher ones are the dispatcher's own. */
#define WAXWING_WAITER_LARGEST (UINT64_MAX / 2)

struct waxwing_dispatcher_options {
	const struct waxwing_dispatcher_ops *ops;
	void *context;
	struct waxwing_str name; /**< of the instance; copied, as the others */
	struct waxwing_str domain;
	struct waxwing_str http_address;
	struct waxwing_str peer_address;
	uint64_t incarnation;
	uint64_t seed;
};

struct waxwing_dispatcher *
waxwing_dispatcher_create(const struct waxwing_dispatcher_options *options, int64_t now_ms);
void waxwing_dispatcher_destroy(struct waxwing_dispatcher *dispatcher);

/** What is submitted. Numbers are part of the peer protocol. */
enum waxwing_submit_kind {
	WAXWING_SUBMIT_JOB = 0, /**< every task at most once */
	WAXWING_SUBMIT_SINGLE = 1, /**< one request, tried again if its branch is idempotent */
	WAXWING_SUBMIT_CANCEL = 2, /**< no job, but the end of the one with the id */
};

/** A caller's job. The waiter is answered exactly once. */
void waxwing_dispatcher_submit(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
			       const Waxwing__JobRequest *request, enum waxwing_submit_kind kind,
			       struct waxwing_waiter waiter);

/**
 * Cancels a job, here or at its issuer. The waiter is answered exactly once: with the state "cancelled", or
 * "not_cancelled" and a failure: bad_id, not_found (never seen, or it has its answer), expired_id; "unknown"
 * when the issuer cannot be reached.
 */
void waxwing_dispatcher_cancel(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
			       const char *id, struct waxwing_waiter waiter);

/**
 * Submits an occurrence of a declared job under the own window. The waiter is answered unless the
 * settings have no such job: then WAXWING_ERROR_NOT_FOUND is returned.
 */
enum waxwing_error_code waxwing_dispatcher_fire(struct waxwing_dispatcher *dispatcher,
						int64_t now_ms, struct waxwing_str branch,
						struct waxwing_str job, int64_t occurrence_ms,
						struct waxwing_waiter waiter);

/** True while an incarnation, perhaps the own one, is heard and not leaving. */
bool waxwing_dispatcher_alive(const struct waxwing_dispatcher *dispatcher, uint64_t incarnation);

/** The window to mint ids under; valid until the next call. */
struct waxwing_str waxwing_dispatcher_window(struct waxwing_dispatcher *dispatcher, int64_t now_ms);

/** A started task ended. */
void waxwing_dispatcher_sent(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
			     const struct waxwing_sent *sent);

/** A batch came from a peer. */
void waxwing_dispatcher_batch(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
			      const Waxwing__Batch *batch);

/** The platform's lists of entry instances and of upstreams. */
void waxwing_dispatcher_instances(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				  const struct waxwing_platform_list *list);
void waxwing_dispatcher_upstreams(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				  const struct waxwing_platform_list *list);

/** Settings from the platform or a peer; taken over, and put in force when newer. */
void waxwing_dispatcher_settings(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				 struct waxwing_settings *settings);

/** The store that readers on other threads use, under RCU. Lives as long as the dispatcher. */
struct waxwing_settings_store *waxwing_dispatcher_store(struct waxwing_dispatcher *dispatcher);

/** Time passed. Call at least every WAXWING_DISPATCHER_TICK_MS. */
void waxwing_dispatcher_tick(struct waxwing_dispatcher *dispatcher, int64_t now_ms);
#define WAXWING_DISPATCHER_TICK_MS 20

/** When a tick is due earlier than the usual one; INT64_MAX: never. */
int64_t waxwing_dispatcher_next_wake(const struct waxwing_dispatcher *dispatcher);

/** Sends what the calls since the last flush have put up for the peers. */
void waxwing_dispatcher_flush(struct waxwing_dispatcher *dispatcher, int64_t now_ms);

/** True when callers can be served: settings and upstreams known, peers heard or given up on. */
bool waxwing_dispatcher_ready(const struct waxwing_dispatcher *dispatcher, int64_t now_ms);

/** Begins a graceful shutdown: no new ids, peers told. */
void waxwing_dispatcher_drain(struct waxwing_dispatcher *dispatcher, int64_t now_ms);

/** True when a draining dispatcher has answered everything it took. */
bool waxwing_dispatcher_drained(const struct waxwing_dispatcher *dispatcher);

/** The state for people; the caller puts it with json_object_put(). */
struct json_object *waxwing_dispatcher_dump(struct waxwing_dispatcher *dispatcher, int64_t now_ms);

#endif

/**
 * The core thread, an event loop that owns the dispatcher. It receives events from all other
 * threads through a lock-free queue and passes the dispatcher's output to the peer and sender
 * threads.
 */
#ifndef WAXWING_CORE_H
#define WAXWING_CORE_H

#include "dispatcher.h"
#include "peer.h"
#include "sender.h"

struct waxwing_core;
struct waxwing_reply;

/** Callbacks that deliver an answer. Exactly one is called, once, on the core thread. */
struct waxwing_reply_ops {
	/**
	 * Delivers a job's answer; @window is for new ids. The pointers are valid during the call
	 * only.
	 */
	void (*job)(struct waxwing_reply *reply, const Waxwing__JobAnswer *answer,
		    struct waxwing_str window);
	/** Delivers any other answer. The pointers are valid during the call only. */
	void (*text)(struct waxwing_reply *reply, const struct waxwing_error *error,
		     struct waxwing_str text);
};

/** Must be the first member of the struct that waits for an answer. */
struct waxwing_reply {
	const struct waxwing_reply_ops *ops;
};

struct waxwing_core_options {
	struct waxwing_dispatcher_options dispatcher; /**< ops and context are set by the core */
	uint32_t sender_threads; /**< number of threads that send tasks to upstreams */
	uint32_t max_answer_bytes; /**< longest accepted answer of a task */
	const char *peer_address; /**< IP:port to bind */
	const char *peer_source; /**< source address of connections to peers; null: any */
};

/** Starts the core, sender and peer threads. Null with @error (WAXWING_ERROR_SYSTEM). */
struct waxwing_core *waxwing_core_open(const struct waxwing_core_options *options,
				       struct waxwing_error *error);
/** Stops the core thread, then the sender threads once their sends end, then the peer thread. */
void waxwing_core_close(struct waxwing_core *core);

/*
 * The functions below may be called from any thread. They do not block, except
 * waxwing_core_instance_alive().
 */

/** Submits a job; takes ownership of @request. */
void waxwing_core_submit(struct waxwing_core *core, Waxwing__JobRequest *request,
			 enum waxwing_submit_kind kind, struct waxwing_reply *reply);
/** Cancels a job by id; replies with a job's answer, see waxwing_dispatcher_cancel(). */
void waxwing_core_cancel(struct waxwing_core *core, struct waxwing_str id,
			 struct waxwing_reply *reply);
/** Replies with the current window for new ids. */
void waxwing_core_get_window(struct waxwing_core *core, struct waxwing_reply *reply);
/** Replies with the state as JSON. */
void waxwing_core_dump_state(struct waxwing_core *core, struct waxwing_reply *reply);
/** Starts an occurrence of a declared job; its outcome is logged. */
void waxwing_core_start_occurrence(struct waxwing_core *core, struct waxwing_str branch,
				   struct waxwing_str job, int64_t occurrence_ms);
/**
 * Returns true if an incarnation was reachable and not leaving at the last tick. Blocks until the
 * core answers.
 */
bool waxwing_core_instance_alive(struct waxwing_core *core, uint64_t incarnation);
/* Updates from the platform; the core takes ownership of the lists and settings. */
void waxwing_core_set_instances(struct waxwing_core *core, struct waxwing_platform_list *list);
void waxwing_core_set_upstreams(struct waxwing_core *core, struct waxwing_platform_list *list);
void waxwing_core_set_settings(struct waxwing_core *core, struct waxwing_settings *settings);
/** Starts a graceful shutdown. */
void waxwing_core_drain(struct waxwing_core *core);

/** Returns true if callers can be served, as of the last tick. */
bool waxwing_core_ready(const struct waxwing_core *core);
/** Returns true once a graceful shutdown has answered all accepted jobs, as of the last tick. */
bool waxwing_core_drained(const struct waxwing_core *core);
/** Gets statistics of the traffic with other instances. */
void waxwing_core_peer_view(const struct waxwing_core *core, struct waxwing_peer_view *view);
/** Returns the store of the current settings, which are read under RCU. */
struct waxwing_settings_store *waxwing_core_settings_store(struct waxwing_core *core);

#endif

/**
 * The core thread: it owns the dispatcher, takes events from every other thread through a lock-free
 * queue, and hands the outputs to the peer and sender threads.
 */
#ifndef WAXWING_CORE_H
#define WAXWING_CORE_H

#include "dispatcher.h"
#include "peer.h"
#include "sender.h"

struct waxwing_core;
struct waxwing_reply;

/** How an answer reaches whoever waits. Called once, on the core thread. */
struct waxwing_reply_ops {
	/** A job's answer; @window is the one to mint new ids under. Pointers end with the call. */
	void (*job)(struct waxwing_reply *reply, const Waxwing__JobAnswer *answer,
		    struct waxwing_str window);
	/** Any other answer. */
	void (*text)(struct waxwing_reply *reply, const struct waxwing_error *error,
		     struct waxwing_str text);
};

/** First member of whatever waits for an answer. */
struct waxwing_reply {
	const struct waxwing_reply_ops *ops;
};

struct waxwing_core_options {
	struct waxwing_dispatcher_options dispatcher; /**< ops and context are filled in */
	uint32_t senders; /**< threads that talk to upstreams */
	uint32_t answer_bytes; /**< longest answer of a task */
	const char *peer_address; /**< IP:port to bind */
	const char *peer_source; /**< IP number to connect to peers from; null: any */
};

/** Starts the core, sender and peer threads. Null with @error (WAXWING_ERROR_SYSTEM). */
struct waxwing_core *waxwing_core_open(const struct waxwing_core_options *options,
				       struct waxwing_error *error);
/** Ends the threads: the core's, then the senders' once their sends end, then the peer's. */
void waxwing_core_close(struct waxwing_core *core);

/* Any thread, from here on; none of these block. */

/** Submits a job; the request becomes the core's. */
void waxwing_core_submit(struct waxwing_core *core, Waxwing__JobRequest *request,
			 enum waxwing_submit_kind kind, struct waxwing_reply *reply);
/** Cancels a job by id; answers as a job does, see waxwing_dispatcher_cancel(). */
void waxwing_core_cancel(struct waxwing_core *core, struct waxwing_str id,
			 struct waxwing_reply *reply);
/** Answers with the window. */
void waxwing_core_window(struct waxwing_core *core, struct waxwing_reply *reply);
/** Answers with the state as JSON. */
void waxwing_core_dump(struct waxwing_core *core, struct waxwing_reply *reply);
/** Submits an occurrence of a declared job; its end is logged. */
void waxwing_core_fire(struct waxwing_core *core, struct waxwing_str branch, struct waxwing_str job,
		       int64_t occurrence_ms);
/** True while an incarnation is heard and not leaving, as of the last tick; waits for the core. */
bool waxwing_core_alive(struct waxwing_core *core, uint64_t incarnation);
/** Platform news; the lists and settings become the core's. */
void waxwing_core_instances(struct waxwing_core *core, struct waxwing_platform_list *list);
void waxwing_core_upstreams(struct waxwing_core *core, struct waxwing_platform_list *list);
void waxwing_core_settings(struct waxwing_core *core, struct waxwing_settings *settings);
/** Begins a graceful shutdown. */
void waxwing_core_drain(struct waxwing_core *core);

bool waxwing_core_ready(const struct waxwing_core *core);
bool waxwing_core_drained(const struct waxwing_core *core);
/** Traffic with the other instances. */
void waxwing_core_peer_view(const struct waxwing_core *core, struct waxwing_peer_view *view);
/** The settings in force, for readers under RCU. */
struct waxwing_settings_store *waxwing_core_store(struct waxwing_core *core);

#endif

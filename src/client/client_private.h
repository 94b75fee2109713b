/**
 * Internals of a client. Private to client.c, which manages windows and ids, and client_submit.c.
 */
#ifndef WAXWING_CLIENT_PRIVATE_H
#define WAXWING_CLIENT_PRIVATE_H

#include "http_client.h"
#include "waxwingswitch/client.h"

#include <glib.h>
#include <pthread.h>

struct waxwing_client {
	char **instances;
	size_t instance_count;
	char *caller;
	uint32_t timeout_ms;
	uint32_t attempts;
	uint32_t pause_ms;
	uint32_t window_age_ms;
	size_t answer_bytes;
	uint64_t nonce; /**< random; part of every id, so that ids of different clients differ */
	pthread_mutex_t lock; /**< protects the fields below */
	char *window; /**< window for new ids; null: none */
	int64_t window_received_ms; /**< when the window was received */
	uint64_t last_id_number; /**< number of the last generated id */
	size_t next_instance; /**< index of the next instance, modulo instance_count */
};

/** Makes a call to an instance. @answer must be cleared in any case. */
enum waxwing_http_result waxwing_client_call(struct waxwing_client *client, const char *instance,
					     const char *method, const char *target,
					     struct waxwing_str body,
					     struct waxwing_http_answer *answer);

/** Selects the next instance in round-robin order. */
const char *waxwing_client_next_instance(struct waxwing_client *client);

/**
 * Replaces the window by a copy of @window unless @window is invalid; null discards the window.
 */
void waxwing_client_set_window(struct waxwing_client *client, const char *window);

#endif

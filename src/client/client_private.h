/**
 * What a client holds. Private to client.c, which keeps windows and ids, and client_submit.c.
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
	uint64_t nonce; /**< part of every key, so that no two clients mint the same */
	pthread_mutex_t lock; /**< of what follows */
	char *window; /**< null: none yet */
	int64_t window_ms; /**< when it was given */
	uint64_t last_key;
	size_t next_instance;
};

/** One call to an instance; @answer must be cleared in any case. */
enum waxwing_http_end waxwing_client_call(struct waxwing_client *client, const char *instance,
					  const char *method, const char *target,
					  struct waxwing_str body,
					  struct waxwing_http_answer *answer);

/** The instance whose turn it is. */
const char *waxwing_client_next_instance(struct waxwing_client *client);

/** Takes over a window, copied, that came with an answer; drops the present one when it is null. */
void waxwing_client_set_window(struct waxwing_client *client, const char *window);

#endif

/**
 * Multi-producer, single-consumer queue with lock-free posting and an eventfd to wait on.
 *
 * Any thread posts; only the owning thread takes and waits. Posting writes to the eventfd only
 * while the owner waits.
 */
#ifndef WAXWING_INBOX_H
#define WAXWING_INBOX_H

#include <stdatomic.h>
#include <stdbool.h>
#include <urcu/wfcqueue.h>

/** Link to embed in each posted item. */
struct waxwing_inbox_node {
	struct cds_wfcq_node node;
};

struct waxwing_inbox {
	struct cds_wfcq_head head;
	struct cds_wfcq_tail tail;
	atomic_bool owner_waiting; /**< the owner waits; the next post must wake it */
	int wake_fd; /**< eventfd, readable after a wake-up */
};

/** Initialises an inbox, which must not be moved afterwards. False if no eventfd can be created. */
bool waxwing_inbox_init(struct waxwing_inbox *inbox);
/** Destroys an inbox; the caller must have taken all nodes. */
void waxwing_inbox_destroy(struct waxwing_inbox *inbox);

/** Appends a node. Any thread. */
void waxwing_inbox_post(struct waxwing_inbox *inbox, struct waxwing_inbox_node *node);

/** Removes and returns the oldest node; null if the inbox is empty. Owner only. */
struct waxwing_inbox_node *waxwing_inbox_take(struct waxwing_inbox *inbox);

/**
 * Announces that the owner is about to poll inbox->wake_fd. Returns false if a node is available;
 * the owner must not wait in that case. Owner only.
 */
bool waxwing_inbox_prepare_wait(struct waxwing_inbox *inbox);
/** Ends a wait and clears the eventfd; call it after waxwing_inbox_prepare_wait(). Owner only. */
void waxwing_inbox_finish_wait(struct waxwing_inbox *inbox);

#endif

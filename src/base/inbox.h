/**
 * A queue from many threads to one: lock-free to put into, with a descriptor to sleep on.
 *
 * The owner alone takes and waits; any thread posts. Posting wakes the owner only when it sleeps.
 */
#ifndef WAXWING_INBOX_H
#define WAXWING_INBOX_H

#include <stdatomic.h>
#include <stdbool.h>
#include <urcu/wfcqueue.h>

/** Part of whatever is posted. */
struct waxwing_inbox_node {
	struct cds_wfcq_node node;
};

struct waxwing_inbox {
	struct cds_wfcq_head head;
	struct cds_wfcq_tail tail;
	atomic_bool asleep; /**< the next post has to wake the owner */
	int wake; /**< eventfd */
};

/** Sets an inbox up; it may not be moved. False when the system has no descriptor left. */
bool waxwing_inbox_init(struct waxwing_inbox *inbox);
/** Closes it; what is still inside is the caller's to take first. */
void waxwing_inbox_destroy(struct waxwing_inbox *inbox);

/** Puts a node in. Any thread. */
void waxwing_inbox_post(struct waxwing_inbox *inbox, struct waxwing_inbox_node *node);

/** Takes the oldest node, null when there is none. Owner only. */
struct waxwing_inbox_node *waxwing_inbox_take(struct waxwing_inbox *inbox);

/**
 * Says that the owner is about to sleep; returns false when there is something to take instead. After
 * sleeping the owner calls waxwing_inbox_awake(). The descriptor to sleep on is inbox->wake.
 */
bool waxwing_inbox_may_sleep(struct waxwing_inbox *inbox);
void waxwing_inbox_awake(struct waxwing_inbox *inbox);

#endif

#include "inbox.h"

#define LOG_COMPONENT "inbox"
#include "log.h"
#include "tsan.h"

#include <errno.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

bool waxwing_inbox_init(struct waxwing_inbox *inbox)
{
	cds_wfcq_init(&inbox->head, &inbox->tail);
	atomic_init(&inbox->owner_waiting, false);
	inbox->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	return inbox->wake_fd >= 0;
}

void waxwing_inbox_destroy(struct waxwing_inbox *inbox)
{
	cds_wfcq_destroy(&inbox->head, &inbox->tail);
	close(inbox->wake_fd);
}

void waxwing_inbox_post(struct waxwing_inbox *inbox, struct waxwing_inbox_node *node)
{
	const uint64_t one = 1;

	cds_wfcq_node_init(&node->node);
	waxwing_tsan_release(inbox);
	cds_wfcq_enqueue(&inbox->head, &inbox->tail, &node->node);
	if (atomic_exchange(&inbox->owner_waiting, false) &&
	    write(inbox->wake_fd, &one, sizeof(one)) < 0)
		log_error("cannot write to the eventfd to wake a thread: %s", strerror(errno));
}

struct waxwing_inbox_node *waxwing_inbox_take(struct waxwing_inbox *inbox)
{
	struct cds_wfcq_node *node = __cds_wfcq_dequeue_blocking(&inbox->head, &inbox->tail);

	waxwing_tsan_acquire(inbox);
	return node ? caa_container_of(node, struct waxwing_inbox_node, node) : NULL;
}

bool waxwing_inbox_prepare_wait(struct waxwing_inbox *inbox)
{
	atomic_store(&inbox->owner_waiting, true);
	if (cds_wfcq_empty(&inbox->head, &inbox->tail))
		return true;
	atomic_store(&inbox->owner_waiting, false);
	return false;
}

void waxwing_inbox_finish_wait(struct waxwing_inbox *inbox)
{
	uint64_t count;

	atomic_store(&inbox->owner_waiting, false);
	if (read(inbox->wake_fd, &count, sizeof(count)) < 0 && errno != EAGAIN)
		log_error("cannot read the eventfd: %s", strerror(errno));
}

#include "bench_event.h"

void waxwing_bench_event_queue_init(struct waxwing_bench_event_queue *queue)
{
	queue->heap = g_array_new(FALSE, FALSE, sizeof(struct waxwing_bench_event));
	queue->next_sequence = 0;
}

void waxwing_bench_event_queue_clear(struct waxwing_bench_event_queue *queue)
{
	g_array_free(queue->heap, TRUE);
	queue->heap = NULL;
}

static bool is_earlier(const struct waxwing_bench_event *a, const struct waxwing_bench_event *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->sequence < b->sequence;
}

void waxwing_bench_event_queue_push(struct waxwing_bench_event_queue *queue, int64_t at_us,
				    enum waxwing_bench_event_kind kind,
				    const struct waxwing_bench_message *message)
{
	struct waxwing_bench_event event = { at_us, queue->next_sequence++, kind, *message };
	struct waxwing_bench_event *heap;
	guint at = queue->heap->len;

	g_array_append_val(queue->heap, event);
	heap = (struct waxwing_bench_event *)(void *)queue->heap->data;
	while (at > 0 && is_earlier(&event, &heap[(at - 1) / 2])) {
		heap[at] = heap[(at - 1) / 2];
		at = (at - 1) / 2;
	}
	heap[at] = event;
}

/* Moves @event down from the root of a heap of @len entries. */
static void sift_down(struct waxwing_bench_event *heap, guint len,
		      const struct waxwing_bench_event *event)
{
	guint at = 0;

	for (;;) {
		guint child = 2 * at + 1;

		if (child + 1 < len && is_earlier(&heap[child + 1], &heap[child]))
			child++;
		if (child >= len || !is_earlier(&heap[child], event))
			break;
		heap[at] = heap[child];
		at = child;
	}
	heap[at] = *event;
}

bool waxwing_bench_event_queue_pop(struct waxwing_bench_event_queue *queue,
				   struct waxwing_bench_event *event)
{
	struct waxwing_bench_event *heap;
	struct waxwing_bench_event last;
	guint len = queue->heap->len;

	if (!len)
		return false;
	heap = (struct waxwing_bench_event *)(void *)queue->heap->data;
	*event = heap[0];
	last = heap[len - 1];
	g_array_set_size(queue->heap, len - 1);
	if (len > 1)
		sift_down(heap, len - 1, &last);
	return true;
}

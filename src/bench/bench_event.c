#include "bench_event.h"

void waxwing_bench_events_init(struct waxwing_bench_events *events)
{
	events->heap = g_array_new(FALSE, FALSE, sizeof(struct waxwing_bench_event));
	events->order = 0;
}

void waxwing_bench_events_clear(struct waxwing_bench_events *events)
{
	g_array_free(events->heap, TRUE);
	events->heap = NULL;
}

static bool earlier(const struct waxwing_bench_event *a, const struct waxwing_bench_event *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->order < b->order;
}

void waxwing_bench_events_push(struct waxwing_bench_events *events, int64_t at_us,
			       enum waxwing_bench_event_kind kind,
			       const struct waxwing_bench_message *message)
{
	struct waxwing_bench_event event = { at_us, events->order++, kind, *message };
	struct waxwing_bench_event *heap;
	guint at = events->heap->len;

	g_array_append_val(events->heap, event);
	heap = (struct waxwing_bench_event *)(void *)events->heap->data;
	while (at > 0 && earlier(&event, &heap[(at - 1) / 2])) {
		heap[at] = heap[(at - 1) / 2];
		at = (at - 1) / 2;
	}
	heap[at] = event;
}

/* Puts @event into the hole at the top of a heap of @len. */
static void sift_down(struct waxwing_bench_event *heap, guint len,
		      const struct waxwing_bench_event *event)
{
	guint at = 0;

	for (;;) {
		guint child = 2 * at + 1;

		if (child + 1 < len && earlier(&heap[child + 1], &heap[child]))
			child++;
		if (child >= len || !earlier(&heap[child], event))
			break;
		heap[at] = heap[child];
		at = child;
	}
	heap[at] = *event;
}

bool waxwing_bench_events_pop(struct waxwing_bench_events *events,
			      struct waxwing_bench_event *event)
{
	struct waxwing_bench_event *heap;
	struct waxwing_bench_event last;
	guint len = events->heap->len;

	if (!len)
		return false;
	heap = (struct waxwing_bench_event *)(void *)events->heap->data;
	*event = heap[0];
	last = heap[len - 1];
	g_array_set_size(events->heap, len - 1);
	if (len > 1)
		sift_down(heap, len - 1, &last);
	return true;
}

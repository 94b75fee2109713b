/* Output of the submission table: answers by id, pending deliveries, and withdrawals. */
#include "submission_private.h"

void waxwing_submissions_clear_answer(struct waxwing_submissions *table)
{
	if (table->last_answer)
		waxwing__job_answer__free_unpacked(table->last_answer, NULL);
	table->last_answer = NULL;
}

static const Waxwing__JobAnswer *unpack(struct waxwing_submissions *table, const uint8_t *packed,
					size_t len)
{
	waxwing_submissions_clear_answer(table);
	table->last_answer = waxwing__job_answer__unpack(NULL, len, packed);
	return table->last_answer;
}

static const Waxwing__JobAnswer *tombstone_answer(struct waxwing_submissions *table, const char *id,
						  const struct waxwing_tombstone *tombstone)
{
	const Waxwing__JobAnswer *answer;
	struct waxwing_error error;
	uint8_t *packed;
	size_t len;

	waxwing_error_set(&error, tombstone->code, NULL, "%s", "");
	packed = waxwing_failure_pack(id, "not_run", &error, &len);
	answer = unpack(table, packed, len);
	g_free(packed);
	return answer;
}

static const Waxwing__JobAnswer *find_answer(struct waxwing_submissions *table, const char *id)
{
	const struct waxwing_submission *submission;
	const struct waxwing_tombstone *tombstone;
	const struct waxwing_epoch *epoch = waxwing_windows_find_epoch(table, id, NULL);

	if (!epoch)
		return NULL;
	submission = waxwing_epoch_find(epoch, id);
	if (submission && submission->answer)
		return unpack(table, submission->answer, submission->answer_len);
	tombstone = waxwing_tombstone_find(epoch, id);
	return tombstone ? tombstone_answer(table, id, tombstone) : NULL;
}

const Waxwing__JobAnswer *waxwing_submissions_answer(struct waxwing_submissions *table,
						     int64_t now_ms, struct waxwing_str id)
{
	const Waxwing__JobAnswer *answer;
	char *text = waxwing_str_dup(id);

	waxwing_submissions_tick(table, now_ms);
	answer = find_answer(table, text);
	g_free(text);
	return answer;
}

bool waxwing_submissions_next_answer(struct waxwing_submissions *table,
				     struct waxwing_delivery *delivery)
{
	struct waxwing_pending_delivery *next;

	if (table->deliveries_taken == table->deliveries->len) {
		g_array_set_size(table->deliveries, 0);
		table->deliveries_taken = 0;
		return false;
	}
	next = &g_array_index(table->deliveries, struct waxwing_pending_delivery,
			      table->deliveries_taken++);
	delivery->waiter = next->waiter;
	delivery->answer = unpack(table, next->submission->answer, next->submission->answer_len);
	waxwing_submissions_unref(table, next->submission);
	return true;
}

bool waxwing_submissions_next_withdrawal(struct waxwing_submissions *table, uint64_t *job)
{
	guint last = table->withdrawals->len;

	if (!last)
		return false;
	*job = g_array_index(table->withdrawals, uint64_t, last - 1);
	g_array_set_size(table->withdrawals, last - 1);
	return true;
}

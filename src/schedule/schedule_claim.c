#include "schedule_claim.h"

#include "binding.h"
#include "generated/settings.pb-c.h"

char *waxwing_schedule_claim_print(const struct waxwing_schedule_claim *claim)
{
	Waxwing__ScheduleClaim message = WAXWING__SCHEDULE_CLAIM__INIT;

	message.incarnation = claim->incarnation;
	message.from_ms = (uint64_t)claim->from_ms;
	message.until_ms = (uint64_t)claim->until_ms;
	message.done_ms = (uint64_t)claim->done_ms;
	return waxwing_binding_print(&message.base, false);
}

bool waxwing_schedule_claim_parse(struct waxwing_str text, struct waxwing_schedule_claim *claim)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	Waxwing__ScheduleClaim *message;

	*claim = (struct waxwing_schedule_claim){ 0 };
	if (!text.len)
		return true;
	message = (Waxwing__ScheduleClaim *)waxwing_binding_parse(
		&waxwing__schedule_claim__descriptor, text, NULL, &error);
	if (!message)
		return false;
	*claim = (struct waxwing_schedule_claim){ message->incarnation, (int64_t)message->from_ms,
						  (int64_t)message->until_ms,
						  (int64_t)message->done_ms };
	protobuf_c_message_free_unpacked(&message->base, NULL);
	return true;
}

void waxwing_unconfirmed_spans_add(struct waxwing_unconfirmed_spans *unconfirmed,
				   const struct waxwing_schedule_claim *claim)
{
	if (!unconfirmed->any)
		*unconfirmed =
			(struct waxwing_unconfirmed_spans){ true, claim->from_ms, claim->until_ms,
							    claim->from_ms, claim->until_ms };
	unconfirmed->from_ms = MIN(unconfirmed->from_ms, claim->from_ms);
	unconfirmed->until_ms = MAX(unconfirmed->until_ms, claim->until_ms);
	unconfirmed->max_from_ms = MAX(unconfirmed->max_from_ms, claim->from_ms);
	unconfirmed->min_until_ms = MIN(unconfirmed->min_until_ms, claim->until_ms);
}

bool waxwing_unconfirmed_spans_disproved(const struct waxwing_unconfirmed_spans *unconfirmed,
					 const struct waxwing_schedule_claim *other)
{
	/*
	 * Spans never overlap, so a claim that overlaps all unconfirmed spans proves that none of
	 * them was stored.
	 */
	return other->from_ms < unconfirmed->min_until_ms &&
	       other->until_ms > unconfirmed->max_from_ms;
}

#include "schedule_claim.h"

#include "binding.h"
#include "generated/settings.pb-c.h"

char *waxwing_claim_print(const struct waxwing_claim *claim)
{
	Waxwing__ScheduleClaim message = WAXWING__SCHEDULE_CLAIM__INIT;

	message.incarnation = claim->incarnation;
	message.from_ms = (uint64_t)claim->from_ms;
	message.until_ms = (uint64_t)claim->until_ms;
	message.done_ms = (uint64_t)claim->done_ms;
	return waxwing_binding_print(&message.base, false);
}

bool waxwing_claim_parse(struct waxwing_str text, struct waxwing_claim *claim)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	Waxwing__ScheduleClaim *message;

	*claim = (struct waxwing_claim){ 0 };
	if (!text.len)
		return true;
	message = (Waxwing__ScheduleClaim *)waxwing_binding_parse(
		&waxwing__schedule_claim__descriptor, text, NULL, &error);
	if (!message)
		return false;
	*claim = (struct waxwing_claim){ message->incarnation, (int64_t)message->from_ms,
					 (int64_t)message->until_ms, (int64_t)message->done_ms };
	protobuf_c_message_free_unpacked(&message->base, NULL);
	return true;
}

void waxwing_unsettled_add(struct waxwing_unsettled *unsettled, const struct waxwing_claim *claim)
{
	if (!unsettled->any)
		*unsettled = (struct waxwing_unsettled){ true, claim->from_ms, claim->until_ms,
							 claim->from_ms, claim->until_ms };
	unsettled->from_ms = MIN(unsettled->from_ms, claim->from_ms);
	unsettled->until_ms = MAX(unsettled->until_ms, claim->until_ms);
	unsettled->last_from_ms = MAX(unsettled->last_from_ms, claim->from_ms);
	unsettled->first_until_ms = MIN(unsettled->first_until_ms, claim->until_ms);
}

bool waxwing_unsettled_refuted(const struct waxwing_unsettled *unsettled,
			       const struct waxwing_claim *other)
{
	/* Spans never overlap: one that meets all of these shows that none was claimed. */
	return other->from_ms < unsettled->first_until_ms &&
	       other->until_ms > unsettled->last_from_ms;
}

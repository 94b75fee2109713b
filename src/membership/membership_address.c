#include "membership_state.h"

void waxwing_member_release_address(struct waxwing_membership *membership,
				    const struct waxwing_member_record *member)
{
	g_ptr_array_add(membership->released_addresses, g_strdup(member->peer_address));
}

static bool in_use(const struct waxwing_member_record *member, int64_t now_ms)
{
	return member->alive || waxwing_member_probed(member, now_ms);
}

void waxwing_member_update_released(struct waxwing_membership *membership,
				    struct waxwing_member_record *member, int64_t now_ms)
{
	bool unused = !in_use(member, now_ms);

	if (unused && !member->address_released)
		waxwing_member_release_address(membership, member);
	member->address_released = unused;
}

/** Whether this instance or a member that is alive or probed has the address. */
static bool address_in_use(const struct waxwing_membership *membership, int64_t now_ms,
			   const char *address)
{
	if (strcmp(address, membership->peer_address) == 0)
		return true;
	for (guint i = 0; i < membership->members->len; i++) {
		const struct waxwing_member_record *member = waxwing_member_at(membership, i);

		if (strcmp(member->peer_address, address) == 0 && in_use(member, now_ms))
			return true;
	}
	return false;
}

char *waxwing_membership_take_released_address(struct waxwing_membership *membership,
					       int64_t now_ms)
{
	while (membership->released_addresses->len) {
		char *address = g_ptr_array_steal_index_fast(
			membership->released_addresses, membership->released_addresses->len - 1);

		if (!address_in_use(membership, now_ms, address))
			return address;
		g_free(address);
	}
	return NULL;
}

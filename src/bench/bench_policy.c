#include "bench_policy.h"

#include <glib.h>
#include <string.h>

static const struct waxwing_bench_policy_ops *const policies[] = {
	&waxwing_bench_policy_cell,	   &waxwing_bench_policy_central,
	&waxwing_bench_policy_clairvoyant, &waxwing_bench_policy_due,
	&waxwing_bench_policy_fastest,	   &waxwing_bench_policy_fifo,
	&waxwing_bench_policy_fair,	   &waxwing_bench_policy_shares,
	&waxwing_bench_policy_two_choices, &waxwing_bench_policy_pull,
};

const struct waxwing_bench_policy_ops *waxwing_bench_policy_at(size_t index)
{
	return index < G_N_ELEMENTS(policies) ? policies[index] : NULL;
}

const struct waxwing_bench_policy_ops *waxwing_bench_policy_find(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		if (strcmp(policies[i]->name, name) == 0)
			return policies[i];
	}
	return NULL;
}

#include "platform.h"

void waxwing_platform_value_clear(struct waxwing_platform_value *value)
{
	g_free(value->data);
	*value = (struct waxwing_platform_value){ 0 };
}

static void instance_clear(struct waxwing_platform_instance *instance)
{
	g_free(instance->name);
	g_free(instance->address);
	g_free(instance->peer_address);
	g_free(instance->domain);
}

void waxwing_platform_list_clear(struct waxwing_platform_list *list)
{
	for (size_t i = 0; i < list->count; i++)
		instance_clear(&list->items[i]);
	g_free(list->items);
	*list = (struct waxwing_platform_list){ 0 };
}

void waxwing_platform_list_copy(struct waxwing_platform_list *copy,
				const struct waxwing_platform_list *list)
{
	*copy = (struct waxwing_platform_list){ .count = list->count, .index = list->index };
	copy->items = g_new0(struct waxwing_platform_instance, list->count);
	for (size_t i = 0; i < list->count; i++) {
		const struct waxwing_platform_instance *item = &list->items[i];

		copy->items[i] = *item;
		copy->items[i].name = g_strdup(item->name);
		copy->items[i].address = g_strdup(item->address);
		copy->items[i].peer_address = g_strdup(item->peer_address);
		copy->items[i].domain = g_strdup(item->domain);
	}
}

#include "ctl_table.h"

#include <glib.h>
#include <stdio.h>

#define COLUMN_GAP 2

struct waxwing_table {
	size_t columns;
	GPtrArray *cells;
};

struct waxwing_table *waxwing_table_create(size_t columns, const char *const *heading)
{
	struct waxwing_table *table = g_new(struct waxwing_table, 1);

	table->columns = columns;
	table->cells = g_ptr_array_new_with_free_func(g_free);
	for (size_t i = 0; i < columns; i++)
		g_ptr_array_add(table->cells, g_strdup(heading[i]));
	return table;
}

void waxwing_table_add_cell(struct waxwing_table *table, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	g_ptr_array_add(table->cells, g_strdup_vprintf(format, args));
	va_end(args);
}

static int column_width(const struct waxwing_table *table, size_t column)
{
	glong width = 0;

	for (size_t i = column; i < table->cells->len; i += table->columns)
		width = MAX(width, g_utf8_strlen(g_ptr_array_index(table->cells, i), -1));
	return (int)width;
}

static void print_cell(const struct waxwing_table *table, size_t index)
{
	const char *cell = g_ptr_array_index(table->cells, index);
	size_t column = index % table->columns;
	int padding = column_width(table, column) - (int)g_utf8_strlen(cell, -1) + COLUMN_GAP;

	if (column + 1 == table->columns)
		printf("%s\n", cell);
	else
		printf("%s%*s", cell, padding, "");
}

void waxwing_table_print(struct waxwing_table *table)
{
	for (size_t i = 0; i < table->cells->len; i++)
		print_cell(table, i);
	waxwing_table_destroy(table);
}

void waxwing_table_destroy(struct waxwing_table *table)
{
	g_ptr_array_free(table->cells, TRUE);
	g_free(table);
}

/**
 * Prints tables to standard output, each column as wide as its widest cell.
 */
#ifndef WAXWING_CTL_TABLE_H
#define WAXWING_CTL_TABLE_H

#include <stddef.h>

struct waxwing_table;

/** Creates a table; @heading has @columns cells, which are copied. */
struct waxwing_table *waxwing_table_create(size_t columns, const char *const *heading);
/** Adds a cell to the current row, or to a new row if the current one is full. */
void waxwing_table_add_cell(struct waxwing_table *table, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
/** Prints and destroys the table. */
void waxwing_table_print(struct waxwing_table *table);
/** Destroys the table without printing it. */
void waxwing_table_destroy(struct waxwing_table *table);

#endif

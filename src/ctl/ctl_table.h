/**
 * Tables on standard output, columns as wide as their widest cell.
 */
#ifndef WAXWING_CTL_TABLE_H
#define WAXWING_CTL_TABLE_H

#include <stddef.h>

struct waxwing_table;

/** Creates a table with a heading of @columns cells. */
struct waxwing_table *waxwing_table_create(size_t columns, const char *const *heading);
/** Adds the next cell, row by row; copied. */
void waxwing_table_cell(struct waxwing_table *table, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
/** Prints and destroys. */
void waxwing_table_print(struct waxwing_table *table);
/** Destroys without printing. */
void waxwing_table_destroy(struct waxwing_table *table);

#endif

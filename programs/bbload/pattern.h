/*
 * pattern - request and response bodies derived from the id of their call
 *
 * A body repeats the id of its call, each followed by a newline, so that a
 * truncated or damaged body and that of another call differ from the expected
 * one.
 */
#ifndef BBLOAD_PATTERN_H
#define BBLOAD_PATTERN_H

#include <stddef.h>
#include <stdint.h>

/* Writes size bytes of the body of call id, starting at offset. */
void Pattern_Fill(char *out, size_t size, uint64_t offset, const char *id);

/* Returns 1 when data is that part of the body of call id. */
int Pattern_Matches(const char *data, size_t size, uint64_t offset,
                    const char *id);

#endif

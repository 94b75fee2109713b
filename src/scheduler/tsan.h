/**
 * Annotations for ThreadSanitizer of synchronization that it cannot see, such as that of liburcu.
 * They expand to nothing in other builds.
 */
#ifndef WAXWING_TSAN_H
#define WAXWING_TSAN_H

#ifdef __SANITIZE_THREAD__
void __tsan_acquire(void *address);
void __tsan_release(void *address);
/**
 * Everything before a release happens before everything after a later acquire of the same address.
 */
#define waxwing_tsan_release(address) __tsan_release(address)
#define waxwing_tsan_acquire(address) __tsan_acquire(address)
#else
#define waxwing_tsan_release(address) ((void)(address))
#define waxwing_tsan_acquire(address) ((void)(address))
#endif

#endif

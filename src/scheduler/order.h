/**
 * Tells ThreadSanitizer of an order between threads that it does not see, such as liburcu's. Nothing in other
 * builds.
 */
#ifndef WAXWING_ORDER_H
#define WAXWING_ORDER_H

#ifdef __SANITIZE_THREAD__
void __tsan_acquire(void *address);
void __tsan_release(void *address);
/** What this thread did so far comes before what another does after acquiring the same address. */
#define waxwing_order_release(address) __tsan_release(address)
#define waxwing_order_acquire(address) __tsan_acquire(address)
#else
#define waxwing_order_release(address) ((void)(address))
#define waxwing_order_acquire(address) ((void)(address))
#endif

#endif

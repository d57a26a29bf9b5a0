"""Makes the system's allocator give memory back that many threads have used."""

import ctypes

# Parameters of glibc's mallopt.
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
# Blocks from this size on are given back to the system when they are freed. By default,
# glibc raises this size to that of the largest block freed so far, and keeps the bodies
# that each thread has freed.
MMAP_THRESHOLD_BYTES = 64 * 1024
# Heaps for small blocks. By default there are eight for each processor.
ARENAS = 2


def limit_allocator() -> None:
    """Sets the limits, where the C library has them; call before threads start."""
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
        mallopt(M_ARENA_MAX, ARENAS)

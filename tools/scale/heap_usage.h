// Bytes in use on the heap of this process, by the allocator's own statistics.
#pragma once

#include <malloc.h>

#include <cstddef>
#include <cstdint>

#ifdef __SANITIZE_ADDRESS__
// As in sanitizer/allocator_interface.h, which Debian's g++ does not install.
extern "C" size_t
__sanitizer_get_current_allocated_bytes();  // NOLINT(bugprone-reserved-identifier)
#endif

namespace runshelf::scale {

// AddressSanitizer has an allocator of its own, of which the C library's statistics know nothing.
inline int64_t HeapBytesInUse() {
#ifdef __SANITIZE_ADDRESS__
  return static_cast<int64_t>(__sanitizer_get_current_allocated_bytes());
#else
  const struct mallinfo2 statistics = mallinfo2();
  return static_cast<int64_t>(statistics.uordblks + statistics.hblkhd);
#endif
}

}  // namespace runshelf::scale

// Bytes in use on the heap of this process, by the allocator's own statistics.
#pragma once

#include <malloc.h>

#include <cstdint>

namespace runshelf::scale {

inline int64_t HeapBytesInUse() {
  const struct mallinfo2 statistics = mallinfo2();
  return static_cast<int64_t>(statistics.uordblks + statistics.hblkhd);
}

}  // namespace runshelf::scale

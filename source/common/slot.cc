#include "runshelf/common/slot.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace runshelf {

SlotNumber SlotOfKey(std::string_view key, uint32_t slot_count) {
  return static_cast<SlotNumber>(XXH3_64bits(key.data(), key.size()) % slot_count);
}

std::vector<SlotRange> ToRanges(std::vector<SlotNumber> slots) {
  std::sort(slots.begin(), slots.end());
  std::vector<SlotRange> ranges;
  for (const SlotNumber slot : slots) {
    if (!ranges.empty() && slot <= ranges.back().last + 1) {
      ranges.back().last = slot;
    } else {
      ranges.push_back({slot, slot});
    }
  }
  return ranges;
}

std::vector<SlotNumber> FromRanges(const std::vector<SlotRange>& ranges) {
  std::vector<SlotNumber> slots;
  for (const SlotRange& range : ranges) {
    for (SlotNumber slot = range.first; slot <= range.last; ++slot) slots.push_back(slot);
  }
  return slots;
}

bool Contains(const std::vector<SlotRange>& ranges, SlotNumber slot) {
  const auto after = std::upper_bound(
      ranges.begin(), ranges.end(), slot,
      [](SlotNumber value, const SlotRange& range) { return value < range.first; });
  return after != ranges.begin() && slot <= std::prev(after)->last;
}

std::string FencingToken::ToString() const {
  return fmt::format("{}.{}.{}", generation, term, sequence);
}

bool FencingToken::Parse(std::string_view text, FencingToken& token) {
  std::array<uint64_t, 3> parts{};
  const char* position = text.data();
  const char* const end = text.data() + text.size();
  for (size_t part = 0; part < parts.size(); ++part) {
    if (part > 0) {
      if (position == end || *position != '.') return false;
      ++position;
    }
    const auto [next, error] = std::from_chars(position, end, parts[part]);
    if (error != std::errc()) return false;
    position = next;
  }
  if (position != end) return false;
  token = {parts[0], parts[1], parts[2]};
  return true;
}

}  // namespace runshelf

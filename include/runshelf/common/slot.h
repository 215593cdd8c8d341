// Keys are owned by slot: a fixed number of slots for each service, and a stable hash from key to
// slot. State and messages grow with slots and nodes, never with keys.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace runshelf {

using SlotNumber = uint32_t;

// Returns the slot of `key` among `slot_count` slots (XXH3; the same on every machine and version).
SlotNumber SlotOfKey(std::string_view key, uint32_t slot_count);

// A run of slots, both ends included.
struct SlotRange {
  SlotNumber first = 0;
  SlotNumber last = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm of clang-tidy 14 on `= default`.
  auto operator<=>(const SlotRange&) const = default;
};

// Merges slots into the fewest ranges, ascending. `slots` need not be sorted; duplicates collapse.
std::vector<SlotRange> ToRanges(std::vector<SlotNumber> slots);

// Expands ranges to single slots, in the order given.
std::vector<SlotNumber> FromRanges(const std::vector<SlotRange>& ranges);

// Whether `slot` lies in one of `ranges`, which must be ascending as ToRanges returns them.
bool Contains(const std::vector<SlotRange>& ranges, SlotNumber slot);

// Orders grants. A server refuses a token lower than the highest that it has accepted.
struct FencingToken {
  uint64_t generation = 0;  // Of the replica group; raised by each recovery through the platform.
  uint64_t term = 0;        // Of the leader that issued the grant.
  uint64_t sequence = 0;    // Orders the grants of one term: the log index of the last assignment
                            // that the grant reflects, then changes made by the holder itself.

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm of clang-tidy 14 on `= default`.
  auto operator<=>(const FencingToken&) const = default;

  // "generation.term.sequence", the value of the request header Runshelf-Fencing-Token.
  std::string ToString() const;

  // Parses the form that ToString returns; false when `text` has another form.
  static bool Parse(std::string_view text, FencingToken& token);
};

}  // namespace runshelf

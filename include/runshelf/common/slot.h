// Slots and fencing tokens. Keys are owned by slot: each service has a fixed number of slots, and a
// stable hash maps keys to slots. The size of state and messages thus depends on the number of
// slots and nodes, not on the number of keys.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace runshelf {

using SlotNumber = uint32_t;

// Returns the slot of `key` among `slot_count` slots, which must not be zero. Uses XXH3, so the
// result is the same on every machine and in every version.
SlotNumber SlotOfKey(std::string_view key, uint32_t slot_count);

// A range of consecutive slots; both ends are inclusive.
struct SlotRange {
  SlotNumber first = 0;
  SlotNumber last = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm of clang-tidy 14 on `= default`.
  auto operator<=>(const SlotRange&) const = default;
};

// Merges slots into the fewest ranges, ascending. `slots` need not be sorted or unique.
std::vector<SlotRange> ToRanges(std::vector<SlotNumber> slots);

// Expands ranges to individual slots, in the order given.
std::vector<SlotNumber> FromRanges(const std::vector<SlotRange>& ranges);

// Whether one of `ranges` contains `slot`. The ranges must be ascending, as ToRanges returns them.
bool Contains(const std::vector<SlotRange>& ranges, SlotNumber slot);

// Orders grants. A server refuses requests whose token is lower than the highest it has accepted.
struct FencingToken {
  uint64_t generation = 0;  // Of the replica group; incremented by each recovery via the platform.
  uint64_t term = 0;        // Of the leader that issued the grant.
  uint64_t sequence = 0;    // Orders the grants of one term: first by the index of the last
                            // assignment that the grant reflects in the log, then by changes that
                            // the holder made itself.

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm of clang-tidy 14 on `= default`.
  auto operator<=>(const FencingToken&) const = default;

  // "generation.term.sequence", the value of the request header Runshelf-Fencing-Token.
  std::string ToString() const;

  // Parses the form that ToString returns; false when `text` has another form.
  static bool Parse(std::string_view text, FencingToken& token);
};

}  // namespace runshelf

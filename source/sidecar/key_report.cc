#include "source/sidecar/key_report.h"

#include <algorithm>
#include <cstdint>

namespace runshelf::sidecar {
namespace {

// The number of keys from `first` to `last` that the row contains.
template <typename Row>
uint32_t Overlap(const Row& row, sharding::ShardKey first, sharding::ShardKey last) {
  const sharding::ShardKey from = std::max(row.first, first);
  const sharding::ShardKey to = std::min(row.last, last);
  return from > to ? 0 : to - from + 1;
}

}  // namespace

bool HoldsAll(const KeyReport& report, sharding::ShardKey first, sharding::ShardKey last,
              sharding::FencingToken token) {
  std::vector<HeldKeys> rows;
  std::copy_if(report.held.begin(), report.held.end(), std::back_inserter(rows),
               [token](const HeldKeys& row) { return row.token == token; });
  std::sort(rows.begin(), rows.end(),
            [](const HeldKeys& left, const HeldKeys& right) { return left.first < right.first; });
  sharding::ShardKey next = first;
  for (const HeldKeys& row : rows) {
    if (row.last < next) continue;
    if (row.first > next) return false;
    if (row.last >= last) return true;
    next = row.last + 1;
  }
  return false;
}

bool HoldsAny(const KeyReport& report, sharding::ShardKey first, sharding::ShardKey last) {
  return std::any_of(report.held.begin(), report.held.end(),
                     [&](const HeldKeys& row) { return Overlap(row, first, last) > 0; });
}

sharding::FencingToken HighestToken(const KeyReport& report, sharding::ShardKey first,
                                    sharding::ShardKey last) {
  sharding::FencingToken highest = 0;
  for (const HeldKeys& row : report.held) {
    if (Overlap(row, first, last) > 0) highest = std::max(highest, row.token);
  }
  return highest;
}

std::string HandoverOf(const KeyReport& report, sharding::ShardKey first, sharding::ShardKey last) {
  uint32_t most = 0;
  std::string handover;
  for (const ReleasedKeys& row : report.released) {
    const uint32_t overlap = Overlap(row, first, last);
    if (overlap <= most) continue;
    most = overlap;
    handover = row.handover;
  }
  return handover;
}

std::vector<LeasedKeys> JoinNeighbours(const std::vector<LeasedKeys>& rows) {
  std::vector<LeasedKeys> joined;
  for (const LeasedKeys& row : rows) {
    LeasedKeys* previous = joined.empty() ? nullptr : &joined.back();
    if (previous != nullptr && previous->last + 1 == row.first && previous->token == row.token &&
        previous->handover == row.handover) {
      previous->last = row.last;
    } else {
      joined.push_back(row);
    }
  }
  return joined;
}

}  // namespace runshelf::sidecar

// Majorities of a set of voters.
#pragma once

#include <algorithm>
#include <functional>
#include <set>
#include <vector>

#include "runshelf/common/instance_id.h"

namespace runshelf::consensus {

constexpr size_t MajorityOf(size_t voter_count) { return voter_count / 2 + 1; }

bool IsMember(const std::vector<InstanceId>& voters, const InstanceId& replica);

// Whether more than half of `voters` are in `replicas`. False for no voters.
bool HasMajority(const std::vector<InstanceId>& voters, const std::set<InstanceId>& replicas);

// The number of replicas that are in exactly one of the two sets.
size_t DifferenceCount(const std::vector<InstanceId>& a, const std::vector<InstanceId>& b);

// The greatest value that a majority has reached, given one value for each voter (at least one).
template <typename Value>
Value MajorityValue(std::vector<Value> values) {
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[MajorityOf(values.size()) - 1];
}

}  // namespace runshelf::consensus

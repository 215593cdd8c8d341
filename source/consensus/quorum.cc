#include "source/consensus/quorum.h"

#include <iterator>

namespace runshelf::consensus {

bool IsMember(const std::vector<InstanceId>& voters, const InstanceId& replica) {
  return std::find(voters.begin(), voters.end(), replica) != voters.end();
}

bool HasMajority(const std::vector<InstanceId>& voters, const std::set<InstanceId>& replicas) {
  const auto count = std::count_if(voters.begin(), voters.end(), [&](const InstanceId& voter) {
    return replicas.count(voter) > 0;
  });
  return static_cast<size_t>(count) >= MajorityOf(voters.size());
}

size_t DifferenceCount(const std::vector<InstanceId>& a, const std::vector<InstanceId>& b) {
  const std::set<InstanceId> set_a(a.begin(), a.end());
  const std::set<InstanceId> set_b(b.begin(), b.end());
  std::vector<InstanceId> difference;
  std::set_symmetric_difference(set_a.begin(), set_a.end(), set_b.begin(), set_b.end(),
                                std::back_inserter(difference));
  return difference.size();
}

}  // namespace runshelf::consensus

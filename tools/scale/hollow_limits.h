// Limit shares of a hollow node: a fixed number of cells with demand, each granted in full. Carries
// the messages of limit sharing; the allocation itself is not the production one.
#pragma once

#include <string>
#include <vector>

#include "runshelf/coordination/node.h"

namespace runshelf::scale {

class HollowLimits : public coordination::LimitShares {
 public:
  explicit HollowLimits(size_t cells) {
    for (size_t i = 0; i < cells; ++i) {
      demands_.push_back(
          {"service-" + std::to_string(i % 16), "class-" + std::to_string(i), 123.5});
    }
  }

  std::vector<coordination::CellRate> Demands(Instant) override { return demands_; }
  void OnShares(Instant, Duration, const std::vector<coordination::CellRate>&) override {}
  void OnLeadership(Instant) override {}
  std::vector<coordination::CellRate> Allocate(Instant, const InstanceId&,
                                               const std::vector<coordination::CellRate>& demands,
                                               Duration) override {
    return demands;
  }

 private:
  std::vector<coordination::CellRate> demands_;
};

}  // namespace runshelf::scale

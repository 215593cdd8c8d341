// How long the callers of a route are usually willing to wait, learnt from the deadlines they send.
#pragma once

#include "runshelf/common/clock.h"

namespace runshelf::sidecar {

// A caller that was refused comes back with what is left of its time, so that a deadline well below
// the usual one tells a second attempt, or a caller for whom a refusal is as good as final.
class PatienceMeter {
 public:
  // Notes the deadline of a request. Returns true when it is well below the usual one.
  bool IsShort(Duration deadline) {
    usual_ = deadline >= usual_ ? deadline : usual_ - (usual_ - deadline) / kForgetOver;
    return deadline < usual_ * kShortPercent / 100;
  }

 private:
  // Requests after which a usual deadline that nobody sends any more is forgotten.
  static constexpr int kForgetOver = 200;
  // First attempts lose little of their time on the way; a refusal and its wait take more.
  static constexpr int kShortPercent = 85;
  Duration usual_{0};
};

}  // namespace runshelf::sidecar

#include "source/sidecar/refusal_meter.h"

#include <algorithm>
#include <cmath>

namespace runshelf::sidecar {
namespace {

// Weight of one answer in the smoothed share.
constexpr double kSmoothing = 1.0 / 32;
// The worker begins to refuse a share above the first of these, and ceases to below the second.
constexpr double kBeginShare = 0.15;
constexpr double kCeaseShare = 0.05;
constexpr double kPercent = 100;

}  // namespace

bool RefusalMeter::OnAnswer(bool refused_with_room) {
  share_ += ((refused_with_room ? 1.0 : 0.0) - share_) * kSmoothing;
  const bool refuses = share_ > (refuses_share_ ? kCeaseShare : kBeginShare);
  const bool changed = refuses != refuses_share_;
  refuses_share_ = refuses;
  return changed;
}

uint32_t RefusalMeter::percent() const {
  if (!refuses_share_) return 0;
  return std::max(1U, static_cast<uint32_t>(std::lround(share_ * kPercent)));
}

}  // namespace runshelf::sidecar

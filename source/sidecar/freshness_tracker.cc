#include "source/sidecar/freshness_tracker.h"

#include <algorithm>

namespace runshelf::sidecar {
namespace {

constexpr Duration kAnnouncementLifetime = std::chrono::seconds(5);

}  // namespace

void FreshnessTracker::OnAnnounced(Instant now, store::Revision announced) {
  if (announced >= announced_ || now - announced_at_ > kAnnouncementLifetime) {
    announced_ = announced;
    announced_at_ = now;
  }
  if (announced_ <= known_) behind_since_.reset();
  if (announced_ > known_ && !behind_since_.has_value()) behind_since_ = now;
}

std::optional<Duration> FreshnessTracker::OnKnown(Instant now, store::Revision known) {
  known_ = std::max(known_, known);
  if (!behind_since_.has_value() || known_ < announced_) return std::nullopt;
  const Duration behind_for = now - *behind_since_;
  behind_since_.reset();
  return behind_for;
}

Freshness FreshnessTracker::At(Instant now) const {
  Freshness freshness;
  freshness.known = known_;
  freshness.announced = announced_;
  if (behind_since_.has_value()) freshness.behind_for = now - *behind_since_;
  return freshness;
}

}  // namespace runshelf::sidecar

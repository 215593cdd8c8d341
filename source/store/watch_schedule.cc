#include "source/store/watch_schedule.h"

namespace runshelf::store {

void WatchSchedule::SetConfirming(bool confirming) {
  confirming_ = confirming;
  Restart();
}

std::optional<WatchTimes> WatchSchedule::NextTimes() const {
  if (!confirming_ || without_changes_ >= kWaits.size()) return std::nullopt;
  const bool first = without_changes_ == 0 && !unanswered_;
  return WatchTimes{kWaits[without_changes_], first ? kShortGrace : kGrace};
}

void WatchSchedule::Restart() { without_changes_ = 0; }

void WatchSchedule::OnNoChanges() {
  if (without_changes_ < kWaits.size()) ++without_changes_;
}

bool WatchSchedule::OnUnanswered() {
  const bool ask_again = NextTimes().has_value() && !unanswered_;
  unanswered_ = ask_again;
  Restart();
  return ask_again;
}

}  // namespace runshelf::store

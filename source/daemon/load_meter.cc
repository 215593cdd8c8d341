#include "source/daemon/load_meter.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace runshelf::daemon {
namespace {

constexpr size_t kHottestSlots = 16;

}  // namespace

void LoadMeter::OnRequest(std::optional<SlotNumber> slot) {
  const std::lock_guard lock(mutex_);
  ++requests_;
  if (slot.has_value()) {
    ++requests_by_slot_[*slot];
  }
}

coordination::LoadReport LoadMeter::TakeReport(Instant now) {
  const std::lock_guard lock(mutex_);
  const double seconds = std::chrono::duration<double>(now - period_start_).count();
  coordination::LoadReport report;
  if (seconds <= 0) {
    return report;
  }
  report.requests_per_second = static_cast<double>(requests_) / seconds;
  for (const auto& [slot, count] : requests_by_slot_) {
    report.hottest_slots.push_back({slot, static_cast<double>(count) / seconds});
  }
  std::sort(report.hottest_slots.begin(), report.hottest_slots.end(),
            [](const coordination::SlotLoad& left, const coordination::SlotLoad& right) {
              return left.requests_per_second != right.requests_per_second
                         ? left.requests_per_second > right.requests_per_second
                         : left.slot < right.slot;
            });
  if (report.hottest_slots.size() > kHottestSlots) {
    report.hottest_slots.resize(kHottestSlots);
  }
  period_start_ = now;
  requests_ = 0;
  requests_by_slot_.clear();
  return report;
}

}  // namespace runshelf::daemon

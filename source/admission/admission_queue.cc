#include "runshelf/admission/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace runshelf::admission {

// Classes that hold all slots that they may wait for their own; all others wait for any slot.
struct AdmissionQueue::Outlook {
  struct ClassOutlook {
    uint32_t cap = 1;
    bool at_cap = false;
    double service_time_us = 0;
    double margin_us = 0;  // Beyond the mean service time; see service_time_deviations.
    size_t ahead = 0;      // Waiting requests of this class that were looked at, when at its cap.
  };

  double WaitUs(const ClassOutlook& expected) const {
    if (expected.at_cap) {
      return expected.service_time_us * static_cast<double>(expected.ahead + 1) / expected.cap;
    }
    if (ahead < free || completions_per_us <= 0) return 0;
    return static_cast<double>(ahead + 1 - free) / completions_per_us;
  }

  void CountAhead(ClassOutlook& expected) { ++(expected.at_cap ? expected.ahead : ahead); }

  std::map<std::string, ClassOutlook> classes;
  size_t ahead = 0;  // Waiting requests of all classes that are not at their cap.
  size_t free = 0;   // Slots.
  double completions_per_us = 0;
};

const char* RefusalName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kQueueFull:
    case RefusalReason::kDisplaced:
      return "overloaded";
    case RefusalReason::kDeadline:
      return "deadline";
    case RefusalReason::kDraining:
      return "leaving";
  }
  return "overloaded";
}

bool AdmissionQueue::Order::operator()(const AdmissionRequest& left,
                                       const AdmissionRequest& right) const {
  return std::tie(right.weight, left.deadline, left.id) <
         std::tie(left.weight, right.deadline, right.id);
}

AdmissionQueue::AdmissionQueue(const AdmissionConfig& config)
    : config_(config), slots_(config.slots), shed_limit_(config.slots) {}

AdmissionChanges AdmissionQueue::Offer(Instant now, const AdmissionRequest& request) {
  AdmissionChanges changes;
  if (draining_) {
    changes.refused.push_back(MakeRefusal(now, request.id, RefusalReason::kDraining));
    return changes;
  }
  NoteClass(now, request);
  const auto position = waiting_.insert(request).first;
  waiting_by_id_.emplace(request.id, position);
  StartAllowed(now, changes);
  RefuseLate(now, changes);
  if (waiting_.size() > config_.queue_max) RefuseOneOfTooMany(now, request, changes);
  return changes;
}

AdmissionChanges AdmissionQueue::OnCompleted(Instant now, uint64_t id, Completion completion,
                                             Duration service_time) {
  AdmissionChanges changes;
  const auto running = running_.find(id);
  if (running == running_.end()) return changes;
  ClassState& state = classes_[running->second];
  --state.running;
  running_.erase(running);
  if (completion == Completion::kServed) OnServed(state, service_time);
  if (completion == Completion::kShed) OnShed(now);
  RefuseLate(now, changes);
  StartAllowed(now, changes);
  return changes;
}

AdmissionChanges AdmissionQueue::Tick(Instant now) {
  AdmissionChanges changes;
  RefuseLate(now, changes);
  StartAllowed(now, changes);
  return changes;
}

bool AdmissionQueue::Cancel(uint64_t id) {
  const auto position = waiting_by_id_.find(id);
  if (position == waiting_by_id_.end()) return false;
  Erase(position->second);
  return true;
}

AdmissionChanges AdmissionQueue::SetCapacity(Instant now, uint32_t slots) {
  const bool was_shedding = shed_limit_ < slots_;
  slots_ = slots;
  shed_limit_ = was_shedding ? std::min<double>(shed_limit_, slots) : slots;
  return Tick(now);
}

void AdmissionQueue::SetCold(Instant now) {
  const bool ramping = cold_since_.has_value() && now - *cold_since_ < config_.cold_ramp;
  if (!ramping) cold_since_ = now;
}

uint32_t AdmissionQueue::ConcurrencyLimit(Instant now) const {
  if (slots_ == 0) return 0;
  double limit = std::min<double>(slots_, shed_limit_);
  if (cold_since_.has_value() && now - *cold_since_ < config_.cold_ramp) {
    const double progress = static_cast<double>((now - *cold_since_).count()) /
                            static_cast<double>(config_.cold_ramp.count());
    limit = std::min(limit, slots_ * (config_.cold_share + (1 - config_.cold_share) * progress));
  }
  return std::max(1U, static_cast<uint32_t>(limit));
}

Duration AdmissionQueue::ServiceTime() const {
  return Duration(static_cast<int64_t>(service_time_us_));
}

void AdmissionQueue::Start(const AdmissionRequest& request, AdmissionChanges& changes) {
  changes.started.push_back(request.id);
  running_.emplace(request.id, request.caller_class);
  ++classes_[request.caller_class].running;
}

void AdmissionQueue::StartAllowed(Instant now, AdmissionChanges& changes) {
  const uint32_t limit = ConcurrencyLimit(now);
  auto position = waiting_.begin();
  while (position != waiting_.end() && running_.size() < limit) {
    const auto next = std::next(position);
    const std::string& caller_class = position->caller_class;
    if (position->deadline <= now) {
      changes.refused.push_back(MakeRefusal(now, position->id, RefusalReason::kDeadline));
      Erase(position);
    } else if (classes_[caller_class].running < ClassCap(now, caller_class)) {
      Start(*position, changes);
      Erase(position);
    }
    position = next;
  }
}

void AdmissionQueue::RefuseLate(Instant now, AdmissionChanges& changes) {
  if (waiting_.empty()) return;
  Outlook outlook = MakeOutlook(now);
  auto position = waiting_.begin();
  while (position != waiting_.end()) {
    const auto next = std::next(position);
    Outlook::ClassOutlook& expected = outlook.classes.at(position->caller_class);
    const double needed_us =
        outlook.WaitUs(expected) + expected.service_time_us + expected.margin_us;
    const Instant answered_at = now + Duration(static_cast<int64_t>(needed_us));
    if (position->deadline <= now || answered_at > position->deadline) {
      changes.refused.push_back(MakeRefusal(now, position->id, RefusalReason::kDeadline));
      Erase(position);
    } else {
      outlook.CountAhead(expected);
    }
    position = next;
  }
}

void AdmissionQueue::RefuseOneOfTooMany(Instant now, const AdmissionRequest& newcomer,
                                        AdmissionChanges& changes) {
  auto refused = std::prev(waiting_.end());
  RefusalReason reason = RefusalReason::kDisplaced;
  if (refused->weight >= newcomer.weight) {
    refused = waiting_by_id_.at(newcomer.id);
    reason = RefusalReason::kQueueFull;
  }
  changes.refused.push_back(MakeRefusal(now, refused->id, reason));
  Erase(refused);
}

void AdmissionQueue::Erase(Waiting::iterator position) {
  waiting_by_id_.erase(position->id);
  waiting_.erase(position);
}

void AdmissionQueue::NoteClass(Instant now, const AdmissionRequest& request) {
  ClassState& state = classes_[request.caller_class];
  state.weight = request.weight;
  state.last_offer = now;
  state.offered = true;
}

uint32_t AdmissionQueue::ClassCap(Instant now, const std::string& caller_class) const {
  const uint32_t own_weight = classes_.at(caller_class).weight;
  double share = 1;
  for (const auto& [name, state] : classes_) {
    const bool active = state.offered && now - state.last_offer < config_.class_active_time;
    if (!active || name == caller_class) continue;
    const double allowed = state.weight > own_weight ? config_.share_below_higher_weight
                                                     : config_.share_of_highest_weight;
    share = std::min(share, allowed);
  }
  return std::max(1U, static_cast<uint32_t>(ConcurrencyLimit(now) * share));
}

AdmissionQueue::Outlook AdmissionQueue::MakeOutlook(Instant now) const {
  Outlook outlook;
  const size_t limit = ConcurrencyLimit(now);
  outlook.free = limit > running_.size() ? limit - running_.size() : 0;
  outlook.completions_per_us = CompletionsPerMicrosecond();
  // Free slots are about to be taken by those that wait ahead.
  const auto free = static_cast<double>(outlook.free);
  if (service_time_us_ > 0) outlook.completions_per_us += free / service_time_us_;
  for (const auto& [name, state] : classes_) {
    const uint32_t cap = ClassCap(now, name);
    const bool at_cap = cap < limit && state.running >= cap;
    outlook.classes.emplace(
        name, Outlook::ClassOutlook{cap, at_cap, ServiceTimeOf(state), MarginOf(state), 0});
  }
  return outlook;
}

double AdmissionQueue::ServiceTimeOf(const ClassState& state) const {
  return state.service_time_us > 0 ? state.service_time_us : service_time_us_;
}

double AdmissionQueue::MarginOf(const ClassState& state) const {
  return state.deviation_us * config_.service_time_deviations;
}

// Zero when nothing runs or nothing was measured yet.
double AdmissionQueue::CompletionsPerMicrosecond() const {
  double completions = 0;
  for (const auto& [name, state] : classes_) {
    const double service_time_us = ServiceTimeOf(state);
    if (service_time_us > 0) completions += state.running / service_time_us;
  }
  return completions;
}

Duration AdmissionQueue::WaitBehind(size_t requests) const {
  const double completions = CompletionsPerMicrosecond();
  if (completions <= 0) return Duration::zero();
  return Duration(static_cast<int64_t>(static_cast<double>(requests) / completions));
}

Refusal AdmissionQueue::MakeRefusal(Instant now, uint64_t id, RefusalReason reason) {
  if (reason == RefusalReason::kDraining) return {id, reason, config_.retry_after_draining};
  const double periods = static_cast<double>((now - refused_at_).count()) /
                         static_cast<double>(config_.refusal_memory.count());
  refused_lately_ = refused_lately_ * std::exp(-periods) + 1;
  refused_at_ = now;
  const Duration wait = WaitBehind(waiting_.size() + static_cast<size_t>(refused_lately_));
  return {id, reason, std::max(wait, config_.retry_after_min)};
}

void AdmissionQueue::OnShed(Instant now) {
  if (last_shed_.has_value() && now - *last_shed_ < config_.shed_interval) return;
  last_shed_ = now;
  // The request that was shed counts: the server refused with that many.
  const auto reached = static_cast<double>(running_.size() + 1);
  shed_limit_ = std::max(1.0, std::min(shed_limit_, reached) * config_.shed_factor);
}

void AdmissionQueue::OnServed(ClassState& state, Duration service_time) {
  const auto measured = static_cast<double>(service_time.count());
  if (state.service_time_us > 0) {
    const double distance = std::abs(measured - state.service_time_us);
    state.deviation_us += (distance - state.deviation_us) * config_.service_time_smoothing;
  }
  for (double* smoothed : {&service_time_us_, &state.service_time_us}) {
    const double weight = *smoothed == 0 ? 1 : config_.service_time_smoothing;
    *smoothed += (measured - *smoothed) * weight;
  }
  shed_limit_ = std::min<double>(slots_, shed_limit_ + 1 / std::max(1.0, shed_limit_));
}

}  // namespace runshelf::admission

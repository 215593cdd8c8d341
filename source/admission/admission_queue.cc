#include "runshelf/admission/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace runshelf::admission {

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
  --classes_[running->second].running;
  running_.erase(running);
  if (completion == Completion::kServed) OnServed(service_time);
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
  size_t ahead = 0;
  auto position = waiting_.begin();
  while (position != waiting_.end()) {
    const auto next = std::next(position);
    const Instant answered_at = now + ExpectedWait(now, ahead) + ServiceTime();
    if (position->deadline <= now || answered_at > position->deadline) {
      changes.refused.push_back(MakeRefusal(now, position->id, RefusalReason::kDeadline));
      Erase(position);
    } else {
      ++ahead;
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

Duration AdmissionQueue::ExpectedWait(Instant now, size_t ahead) const {
  const size_t limit = std::max(1U, ConcurrencyLimit(now));
  const size_t free = limit > running_.size() ? limit - running_.size() : 0;
  if (ahead < free) return Duration::zero();
  const double turns = static_cast<double>(ahead + 1 - free) / static_cast<double>(limit);
  return Duration(static_cast<int64_t>(service_time_us_ * turns));
}

Refusal AdmissionQueue::MakeRefusal(Instant now, uint64_t id, RefusalReason reason) const {
  if (reason == RefusalReason::kDraining) return {id, reason, config_.retry_after_draining};
  const Duration wait = ExpectedWait(now, waiting_.size());
  return {id, reason, std::max(wait, config_.retry_after_min)};
}

void AdmissionQueue::OnShed(Instant now) {
  if (last_shed_.has_value() && now - *last_shed_ < config_.shed_interval) return;
  last_shed_ = now;
  // The request that was shed counts: the server refused with that many.
  const auto reached = static_cast<double>(running_.size() + 1);
  shed_limit_ = std::max(1.0, std::min(shed_limit_, reached) * config_.shed_factor);
}

void AdmissionQueue::OnServed(Duration service_time) {
  const auto measured = static_cast<double>(service_time.count());
  const double weight = service_time_us_ == 0 ? 1 : config_.service_time_smoothing;
  service_time_us_ += (measured - service_time_us_) * weight;
  shed_limit_ = std::min<double>(slots_, shed_limit_ + 1 / std::max(1.0, shed_limit_));
}

}  // namespace runshelf::admission

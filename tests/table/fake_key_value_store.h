// A KeyValueStore in memory with injected faults and interleavings, for tests.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "runshelf/infrastructure/key_value_store.h"

namespace runshelf::table {

enum class Operation { kRange, kCommit, kLease };

enum class Fault {
  kNone,
  kUnavailable,
  kRateLimited,
  kAnswerLostApplied,
  kAnswerLostNotApplied,
  kAnswerLostDelayed,  // Applied when the test calls ApplyDelayed.
};

class FakeKeyValueStore : public infrastructure::KeyValueStore {
 public:
  struct Transaction {
    std::vector<infrastructure::Condition> conditions;
    std::vector<infrastructure::Write> writes;
    int64_t revision = 0;
  };

  std::function<Fault(Operation)> fault = [](Operation) { return Fault::kNone; };
  std::function<void(Operation)> before_call = [](Operation) {};
  std::function<void()> watch_idle = [] {};
  int64_t compacted_revision = 0;
  std::vector<Transaction> log;  // Everything that took effect.
  std::vector<Transaction> delayed;
  std::set<int64_t> leases;
  std::map<std::string, infrastructure::KeyValue> data;
  int64_t revision = 1;
  int range_calls = 0;

  absl::StatusOr<infrastructure::RangeResult> Range(const std::string& prefix) override {
    before_call(Operation::kRange);
    ++range_calls;
    const absl::Status status = ToStatus(fault(Operation::kRange));
    if (!status.ok()) return status;
    infrastructure::RangeResult result{revision, {}};
    for (const auto& [key, key_value] : data) {
      if (key.starts_with(prefix)) result.key_values.push_back(key_value);
    }
    return result;
  }

  absl::StatusOr<infrastructure::CommitResult> Commit(
      const std::vector<infrastructure::Condition>& conditions,
      const std::vector<infrastructure::Write>& writes) override {
    before_call(Operation::kCommit);
    if (conditions.size() > 128 || writes.size() > 128) {
      return absl::InvalidArgumentError("too many operations");
    }
    const Fault injected = fault(Operation::kCommit);
    if (injected == Fault::kAnswerLostDelayed) delayed.push_back({conditions, writes});
    if (injected == Fault::kAnswerLostApplied) Apply({conditions, writes}).IgnoreError();
    const absl::Status status = ToStatus(injected);
    if (!status.ok()) return status;
    const int64_t revision_before = revision;
    const absl::Status applied = Apply({conditions, writes});
    if (absl::IsNotFound(applied)) return applied;
    return infrastructure::CommitResult{revision > revision_before, revision};
  }

  absl::StatusOr<int64_t> GrantLease(Duration) override {
    before_call(Operation::kLease);
    const absl::Status status = ToStatus(fault(Operation::kLease));
    if (!status.ok()) return status;
    leases.insert(++last_lease_);
    return last_lease_;
  }

  absl::Status KeepLeaseAlive(int64_t) override { return absl::OkStatus(); }

  absl::Status RevokeLease(int64_t lease) override {
    leases.erase(lease);
    return absl::OkStatus();
  }

  absl::Status Watch(
      const std::string& prefix, int64_t start_revision,
      const std::function<void(int64_t, const std::vector<infrastructure::WatchEvent>&)>& on_events,
      const std::function<bool()>& stop) override {
    const absl::Status status = ToStatus(fault(Operation::kRange));
    if (!status.ok()) return status;
    if (start_revision <= compacted_revision) return absl::OutOfRangeError("compacted");
    while (!stop()) {
      for (size_t i = 0; i < log.size(); ++i) {
        if (log[i].revision < start_revision) continue;
        const std::vector<infrastructure::WatchEvent> events = EventsOf(log[i], prefix);
        if (!events.empty()) on_events(revision, events);
        start_revision = log[i].revision + 1;
      }
      watch_idle();
    }
    return absl::OkStatus();
  }

  // Lets the oldest delayed transaction arrive.
  void ApplyDelayed() {
    if (delayed.empty()) return;
    const Transaction transaction = delayed.front();
    delayed.erase(delayed.begin());
    Apply(transaction).IgnoreError();
  }

  // Writes one key without conditions, as a foreign writer would.
  void Put(const std::string& key, const std::string& value) {
    Apply({{}, {{key, value, 0}}}).IgnoreError();
  }

 private:
  static absl::Status ToStatus(Fault injected) {
    switch (injected) {
      case Fault::kNone:
        return absl::OkStatus();
      case Fault::kUnavailable:
        return absl::UnavailableError("away");
      case Fault::kRateLimited:
        return absl::ResourceExhaustedError("rate limit");
      default:
        return absl::UnknownError("answer lost");
    }
  }

  bool Holds(const infrastructure::Condition& condition) const {
    const auto found = data.find(condition.key);
    return condition.mod_revision == (found == data.end() ? 0 : found->second.mod_revision);
  }

  absl::Status Apply(Transaction transaction) {
    const auto& conditions = transaction.conditions;
    if (!std::all_of(conditions.begin(), conditions.end(),
                     [this](const auto& condition) { return Holds(condition); })) {
      return absl::FailedPreconditionError("conditions");
    }
    for (const infrastructure::Write& write : transaction.writes) {
      if (write.lease != 0 && !leases.contains(write.lease)) return absl::NotFoundError("lease");
    }
    transaction.revision = ++revision;
    for (const infrastructure::Write& write : transaction.writes) {
      if (write.value.has_value()) {
        data[write.key] = {write.key, *write.value, revision, revision, write.lease};
      } else {
        data.erase(write.key);
      }
    }
    log.push_back(std::move(transaction));
    return absl::OkStatus();
  }

  static std::vector<infrastructure::WatchEvent> EventsOf(const Transaction& transaction,
                                                          const std::string& prefix) {
    std::vector<infrastructure::WatchEvent> events;
    for (const infrastructure::Write& write : transaction.writes) {
      if (!write.key.starts_with(prefix)) continue;
      infrastructure::KeyValue key_value{write.key, write.value.value_or(""), 0,
                                         transaction.revision, 0};
      events.push_back({!write.value.has_value(), key_value});
    }
    return events;
  }

  int64_t last_lease_ = 0;
};

}  // namespace runshelf::table

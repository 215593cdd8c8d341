#include "tools/platform_standin/revision_store.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

#include "tests/infrastructure/platform_test_support.h"
#include "tools/platform_standin/fault_injector.h"
#include "tools/platform_standin/in_memory_key_value_store.h"

using runshelf::Instant;
using runshelf::infrastructure::Condition;
using runshelf::infrastructure::KeyValue;
using runshelf::infrastructure::RangeResult;
using runshelf::infrastructure::WatchEvent;
using runshelf::infrastructure::Write;
using runshelf::platform_standin::FaultInjector;
using runshelf::platform_standin::FaultSettings;
using runshelf::platform_standin::InMemoryKeyValueStore;
using runshelf::platform_standin::PutOperation;
using runshelf::platform_standin::RevisionStore;
using runshelf::platform_standin::SynchronizedStore;
using runshelf::platform_test::CheckCode;
using runshelf::platform_test::ManualClock;

namespace {

// One step of a random history: a commit of one or two writes, under a condition or not, or time
// that passes. Keys overlap as prefixes on purpose.
struct Step {
  unsigned key = 0;
  unsigned second_key = 0;
  unsigned kind = 0;
};

enum StepKind { kPut, kPutIfAbsent, kPutIfUnchanged, kPutIfStale, kDelete, kPutLeased, kPass };
constexpr unsigned kStepKinds = 7;

const std::vector<std::string> kKeys = {"a", "a/", "a/b", "b", "\xff", "\xff\xff"};
constexpr std::chrono::seconds kLeaseTime{3};

// The naive version: a plain map, every change ever made, and leases by scanning.
class NaiveStore {
 public:
  bool Commit(const std::vector<Condition>& conditions, const std::vector<Write>& writes) {
    for (const Condition& condition : conditions) {
      if (ModRevision(condition.key) != condition.mod_revision) return false;
    }
    bool changed = false;
    for (const Write& write : writes) changed = Apply(write) || changed;
    if (changed) ++revision_;
    return true;
  }

  int64_t GrantLease(Instant expires_at) {
    const auto lease = static_cast<int64_t>(1000 + expiry_.size());
    expiry_[lease] = expires_at;
    return lease;
  }

  // Each lease that lapsed is a change of its own, in the order of lease ids.
  void Expire(Instant now) {
    for (auto& [lease, expires_at] : expiry_) {
      if (expires_at > now) continue;
      std::vector<Write> writes;
      for (const auto& [key, key_value] : values_) {
        if (key_value.lease == lease) writes.push_back({key, std::nullopt, 0});
      }
      Commit({}, writes);
      expires_at = Instant::max();
    }
  }

  int64_t ModRevision(const std::string& key) const {
    const auto entry = values_.find(key);
    return entry == values_.end() ? 0 : entry->second.mod_revision;
  }

  int64_t revision() const { return revision_; }
  const std::map<std::string, KeyValue>& values() const { return values_; }
  const std::vector<WatchEvent>& changes() const { return changes_; }

 private:
  bool Apply(const Write& write) {
    const bool exists = values_.count(write.key) != 0;
    if (!write.value.has_value()) {
      if (!exists) return false;
      values_.erase(write.key);
      changes_.push_back({true, {write.key, "", 0, revision_ + 1, 0}});
      return true;
    }
    KeyValue& key_value = values_[write.key];
    const int64_t created = exists ? key_value.create_revision : revision_ + 1;
    key_value = {write.key, *write.value, created, revision_ + 1, write.lease};
    changes_.push_back({false, key_value});
    return true;
  }

  int64_t revision_ = 1;
  std::map<std::string, KeyValue> values_;
  std::map<int64_t, Instant> expiry_;
  std::vector<WatchEvent> changes_;
};

std::string Describe(const KeyValue& item) {
  return item.key + "=" + item.value + "@" + std::to_string(item.create_revision) + "/" +
         std::to_string(item.mod_revision) + "/" + std::to_string(item.lease);
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

void RequireSameRange(const NaiveStore& naive, InMemoryKeyValueStore& store,
                      const std::string& prefix) {
  const RangeResult range = *store.Range(prefix);
  RC_ASSERT(range.revision == naive.revision());
  std::vector<std::string> expected;
  for (const auto& [key, key_value] : naive.values()) {
    if (StartsWith(key, prefix)) expected.push_back(Describe(key_value));
  }
  std::vector<std::string> actual;
  for (const KeyValue& key_value : range.key_values) actual.push_back(Describe(key_value));
  RC_ASSERT(actual == expected);
}

void RequireSameChanges(const NaiveStore& naive, InMemoryKeyValueStore& store,
                        const std::string& prefix, int64_t start_revision) {
  std::vector<std::string> expected;
  for (const WatchEvent& change : naive.changes()) {
    const KeyValue& item = change.key_value;
    if (!StartsWith(item.key, prefix) || item.mod_revision < start_revision) continue;
    expected.push_back((change.deleted ? "-" : "+") + Describe(item));
  }
  std::vector<std::string> actual;
  const absl::Status status = store.Watch(
      prefix, start_revision,
      [&](int64_t, const std::vector<WatchEvent>& events) {
        for (const WatchEvent& event : events) {
          actual.push_back((event.deleted ? "-" : "+") + Describe(event.key_value));
        }
      },
      [] { return true; });
  RC_ASSERT(status.ok());
  RC_ASSERT(actual == expected);
}

// Runs the same steps on both stores.
struct Differential {
  ManualClock clock;
  SynchronizedStore shared{clock};
  InMemoryKeyValueStore store{shared, clock, nullptr};
  NaiveStore naive;
  int step_number = 0;

  void Run(const Step& step) {
    ++step_number;
    if (step.kind == kPass) {
      clock.Advance(std::chrono::seconds(1));
      naive.Expire(clock.Now());
      return;
    }
    const std::string& key = kKeys[step.key];
    const std::string value = std::to_string(step_number);
    std::vector<Condition> conditions;
    std::vector<Write> writes;
    if (step.kind == kDelete) {
      writes.push_back({key, std::nullopt, 0});
    } else {
      writes.push_back({key, value, step.kind == kPutLeased ? Lease() : 0});
    }
    if (step.second_key != step.key) writes.push_back({kKeys[step.second_key], value, 0});
    if (step.kind == kPutIfAbsent) conditions.push_back({key, 0});
    if (step.kind == kPutIfUnchanged) conditions.push_back({key, naive.ModRevision(key)});
    if (step.kind == kPutIfStale) conditions.push_back({key, naive.revision() - 1});
    const auto result = store.Commit(conditions, writes);
    RC_ASSERT(result.ok());
    RC_ASSERT(result->succeeded == naive.Commit(conditions, writes));
    RC_ASSERT(result->revision == naive.revision());
  }

  int64_t Lease() {
    const int64_t lease = *store.GrantLease(kLeaseTime);
    RC_ASSERT(lease == naive.GrantLease(clock.Now() + kLeaseTime));
    return lease;
  }
};

rc::Gen<Step> StepGenerator() {
  const auto key = rc::gen::inRange<unsigned>(0, static_cast<unsigned>(kKeys.size()));
  return rc::gen::build<Step>(rc::gen::set(&Step::key, key), rc::gen::set(&Step::second_key, key),
                              rc::gen::set(&Step::kind, rc::gen::inRange<unsigned>(0, kStepKinds)));
}

void PutValue(RevisionStore& store, const std::string& key) {
  CHECK_TRUE(store.Commit({{}, {PutOperation{key, "v", 0}}, {}}).ok());
}

}  // namespace

TEST_GROUP(RevisionStore){};

TEST(RevisionStore, AgreesWithANaiveMapOnEveryHistory) {
  CHECK_TRUE(rc::check("agrees with a naive map", [] {
    const auto steps = *rc::gen::container<std::vector<Step>>(StepGenerator());
    Differential differential;
    for (const Step& step : steps) differential.Run(step);
    for (const char* prefix : {"", "a", "a/", "b", "\xff", "\xff\xff", "c"}) {
      RequireSameRange(differential.naive, differential.store, prefix);
      for (const int64_t start : {int64_t{1}, differential.naive.revision() / 2 + 1}) {
        RequireSameChanges(differential.naive, differential.store, prefix, start);
      }
    }
  }));
}

TEST(RevisionStore, ALimitedBatchEndsWithAWholeRevision) {
  RevisionStore store;
  CHECK_TRUE(store.Commit({{}, {PutOperation{"a", "1", 0}, PutOperation{"b", "1", 0}}, {}}).ok());
  PutValue(store, "c");
  const auto first = store.Events({"a", "z"}, 1, 1);
  CHECK_EQUAL(2U, first->events.size());
  CHECK_EQUAL(2, first->revision);
  const auto second = store.Events({"a", "z"}, first->revision + 1, 1);
  CHECK_EQUAL(1U, second->events.size());
  CHECK_EQUAL(3, second->revision);
}

TEST(RevisionStore, DropsTheOldestChangesBeyondItsLimit) {
  RevisionStore store(/*history_limit=*/3);
  for (const char* key : {"a", "b", "c", "d"}) PutValue(store, key);
  CHECK_EQUAL(2, store.compacted_revision());
  CheckCode(absl::StatusCode::kOutOfRange, store.Events({"a", "z"}, 2, 10).status());
  CHECK_EQUAL(3U, store.Events({"a", "z"}, 3, 10)->events.size());
  CheckCode(absl::StatusCode::kOutOfRange, store.Compact(2));
  CheckCode(absl::StatusCode::kOutOfRange, store.Compact(99));
}

TEST_GROUP(FaultInjector){};

TEST(FaultInjector, TheSameSeedLosesTheSameAnswers) {
  ManualClock clock;
  FaultSettings settings;
  settings.lose_answer_probability = 0.3;
  std::vector<std::string> outcomes;
  for (const uint64_t seed : {uint64_t{7}, uint64_t{7}, uint64_t{8}}) {
    SynchronizedStore shared(clock);
    FaultInjector faults(seed);
    faults.Set(clock.Now(), settings);
    InMemoryKeyValueStore store(shared, clock, &faults);
    std::string outcome;
    for (int number = 0; number < 200; ++number) {
      const absl::Status status = store.Commit({}, {Write{"a", "v", 0}}).status();
      outcome += status.ok() ? '+' : '-';
      if (!status.ok()) CheckCode(absl::StatusCode::kUnknown, status);
    }
    CHECK_EQUAL(201, shared.revision());  // Every write took effect, also those without answer.
    outcomes.push_back(outcome);
  }
  CHECK_TRUE(outcomes[0] == outcomes[1]);
  CHECK_FALSE(outcomes[0] == outcomes[2]);
  CHECK_TRUE(outcomes[0].find('-') != std::string::npos);
  CHECK_TRUE(outcomes[0].find('+') != std::string::npos);
}

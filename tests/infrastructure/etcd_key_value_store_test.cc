// The client against the stand-in, in one process.
#include "runshelf/infrastructure/etcd_key_value_store.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <thread>
#include <vector>

#include "tests/infrastructure/platform_test_support.h"

using runshelf::Duration;
using runshelf::infrastructure::Condition;
using runshelf::infrastructure::KeyValueStore;
using runshelf::infrastructure::MakeEtcdKeyValueStore;
using runshelf::infrastructure::WatchEvent;
using runshelf::infrastructure::Write;
using runshelf::platform_standin::FaultSettings;
using runshelf::platform_standin::OutageMode;
using runshelf::platform_test::CheckCode;
using runshelf::platform_test::kCallTimeout;
using runshelf::platform_test::StandIn;

namespace {

// Writes without a condition; returns the revision.
int64_t Put(KeyValueStore& store, const std::string& key, const std::string& value) {
  const auto result = store.Commit({}, {Write{key, value, 0}});
  CHECK_TRUE(result.ok());
  CHECK_TRUE(result->succeeded);
  return result->revision;
}

std::string ValueOf(KeyValueStore& store, const std::string& key) {
  const auto range = store.Range(key);
  CHECK_TRUE(range.ok());
  for (const auto& key_value : range->key_values) {
    if (key_value.key == key) return key_value.value;
  }
  return "(absent)";
}

struct ReceivedEvents {
  std::vector<std::string> changes;  // "key=value", or "key" when deleted.
  int64_t last_revision = 0;
};

// Watches until `count` changes have arrived.
ReceivedEvents WatchFor(KeyValueStore& store, const std::string& prefix, int64_t start_revision,
                        size_t count) {
  ReceivedEvents received;
  const absl::Status status = store.Watch(
      prefix, start_revision,
      [&](int64_t revision, const std::vector<WatchEvent>& events) {
        CHECK_TRUE(revision > received.last_revision);
        received.last_revision = revision;
        for (const WatchEvent& event : events) {
          const std::string suffix = event.deleted ? "" : "=" + event.key_value.value;
          received.changes.push_back(event.key_value.key + suffix);
        }
      },
      [&] { return received.changes.size() >= count; });
  CheckCode(absl::StatusCode::kOk, status);
  return received;
}

}  // namespace

TEST_GROUP(EtcdKeyValueStore) {
  StandIn stand_in;
  KeyValueStore& store = *stand_in.store;
};

TEST(EtcdKeyValueStore, ReadsBackWhatWasWrittenByPrefixInOrder) {
  const std::string binary("\x00\xff\n\"", 4);
  Put(store, "/a/2", binary);
  Put(store, "/a/1", "");
  const int64_t revision = Put(store, "/b", "other");
  const auto range = store.Range("/a/");
  CHECK_TRUE(range.ok());
  CHECK_EQUAL(revision, range->revision);
  CHECK_EQUAL(2U, range->key_values.size());
  CHECK_TRUE(range->key_values[0].key == "/a/1");
  CHECK_TRUE(range->key_values[0].value.empty());
  CHECK_TRUE(range->key_values[1].value == binary);
  CHECK_EQUAL(3U, store.Range("")->key_values.size());
}

TEST(EtcdKeyValueStore, CommitWritesNothingUnlessEveryConditionHolds) {
  const int64_t first = Put(store, "a", "1");
  const auto conflict = store.Commit({Condition{"a", first}, Condition{"b", first}},
                                     {Write{"a", "2", 0}, Write{"b", "2", 0}});
  CHECK_TRUE(conflict.ok());
  CHECK_FALSE(conflict->succeeded);
  CHECK_EQUAL(first, conflict->revision);
  STRCMP_EQUAL("1", ValueOf(store, "a").c_str());
  const auto success = store.Commit({Condition{"a", first}, Condition{"b", 0}},
                                    {Write{"a", std::nullopt, 0}, Write{"b", "2", 0}});
  CHECK_TRUE(success->succeeded);
  STRCMP_EQUAL("(absent)", ValueOf(store, "a").c_str());
  STRCMP_EQUAL("2", ValueOf(store, "b").c_str());
  CHECK_FALSE(store.Commit({Condition{"b", 0}}, {Write{"b", "3", 0}})->succeeded);
}

TEST(EtcdKeyValueStore, AWriteWhoseAnswerIsLostIsUnknownAndInForceOnce) {
  FaultSettings faults;
  faults.lose_next_answers = 1;
  stand_in.SetFaults(faults);
  const int64_t before = stand_in.state().store.revision();
  CheckCode(absl::StatusCode::kUnknown, store.Commit({}, {Write{"a", "1", 0}}).status());
  STRCMP_EQUAL("1", ValueOf(store, "a").c_str());
  CHECK_EQUAL(before + 1, stand_in.state().store.revision());
}

TEST(EtcdKeyValueStore, AnOutageThatRefusesIsUnavailableAndWritesNothing) {
  FaultSettings faults;
  faults.outage = true;
  stand_in.SetFaults(faults);
  CheckCode(absl::StatusCode::kUnavailable, store.Commit({}, {Write{"a", "1", 0}}).status());
  CheckCode(absl::StatusCode::kUnavailable, store.Range("a").status());
  CheckCode(absl::StatusCode::kUnavailable, store.GrantLease(std::chrono::seconds(1)).status());
  CheckCode(absl::StatusCode::kUnavailable,
            store.Watch(
                "a", 1, [](int64_t, const std::vector<WatchEvent>&) {}, [] { return false; }));
  stand_in.SetFaults({});
  STRCMP_EQUAL("(absent)", ValueOf(store, "a").c_str());
}

TEST(EtcdKeyValueStore, AnOutageThatClosesConnectionsLeavesAWriteUnknown) {
  FaultSettings faults;
  faults.outage = true;
  faults.outage_mode = OutageMode::kClose;
  stand_in.SetFaults(faults);
  CheckCode(absl::StatusCode::kUnknown, store.Commit({}, {Write{"a", "1", 0}}).status());
  stand_in.SetFaults({});
  STRCMP_EQUAL("(absent)", ValueOf(store, "a").c_str());
}

TEST(EtcdKeyValueStore, CallsBeyondTheRateLimitAreRefused) {
  FaultSettings faults;
  faults.rate_limit_per_second = 2;
  stand_in.SetFaults(faults);
  Put(store, "a", "1");
  Put(store, "a", "2");
  CheckCode(absl::StatusCode::kResourceExhausted, store.Commit({}, {Write{"a", "3", 0}}).status());
  stand_in.clock.Advance(std::chrono::milliseconds(500));
  STRCMP_EQUAL("2", ValueOf(store, "a").c_str());
  CheckCode(absl::StatusCode::kResourceExhausted, store.Range("a").status());
}

TEST(EtcdKeyValueStore, ASlowAnswerIsUnknownForAWriteThatTakesEffectLater) {
  const auto hasty = *MakeEtcdKeyValueStore(stand_in.server->address(), Duration(50'000));
  FaultSettings faults;
  faults.delay = std::chrono::milliseconds(500);
  stand_in.SetFaults(faults);
  CheckCode(absl::StatusCode::kUnknown, hasty->Commit({}, {Write{"a", "1", 0}}).status());
  stand_in.SetFaults({});
  CHECK_EQUAL(1U, WatchFor(store, "a", 1, 1).changes.size());
}

TEST(EtcdKeyValueStore, ALapsedLeaseDeletesItsKeys) {
  const auto lease = store.GrantLease(std::chrono::milliseconds(1500));  // Rounded up to 2 s.
  CHECK_TRUE(lease.ok());
  CHECK_TRUE(store.Commit({}, {Write{"bound", "1", *lease}, Write{"free", "1", 0}}).ok());
  CHECK_EQUAL(*lease, store.Range("bound")->key_values.at(0).lease);
  stand_in.clock.Advance(std::chrono::milliseconds(1900));
  CheckCode(absl::StatusCode::kOk, store.KeepLeaseAlive(*lease));
  stand_in.clock.Advance(std::chrono::milliseconds(1900));
  STRCMP_EQUAL("1", ValueOf(store, "bound").c_str());
  stand_in.clock.Advance(std::chrono::milliseconds(100));
  STRCMP_EQUAL("(absent)", ValueOf(store, "bound").c_str());
  STRCMP_EQUAL("1", ValueOf(store, "free").c_str());
  CheckCode(absl::StatusCode::kNotFound, store.KeepLeaseAlive(*lease));
  CheckCode(absl::StatusCode::kNotFound, store.RevokeLease(*lease));
  CheckCode(absl::StatusCode::kNotFound, store.Commit({}, {Write{"bound", "2", *lease}}).status());
}

TEST(EtcdKeyValueStore, ARevokedLeaseDeletesItsKeys) {
  const auto lease = store.GrantLease(std::chrono::seconds(60));
  CHECK_TRUE(store.Commit({}, {Write{"bound", "1", *lease}}).ok());
  CheckCode(absl::StatusCode::kOk, store.RevokeLease(*lease));
  STRCMP_EQUAL("(absent)", ValueOf(store, "bound").c_str());
}

TEST(EtcdKeyValueStore, AWatchDeliversInOrderAndResumes) {
  const int64_t start = Put(store, "/w/a", "1");
  Put(store, "/other", "x");
  ReceivedEvents received;
  std::thread writer([&] {
    Put(store, "/w/b", "2");
    (void)store.Commit({}, {Write{"/w/a", std::nullopt, 0}, Write{"/w/b", "3", 0}});
  });
  received = WatchFor(store, "/w/", start, 4);
  writer.join();
  const std::vector<std::string> expected = {"/w/a=1", "/w/b=2", "/w/a", "/w/b=3"};
  CHECK_TRUE(received.changes == expected);
  Put(store, "/w/c", "4");
  const ReceivedEvents resumed = WatchFor(store, "/w/", received.last_revision + 1, 1);
  CHECK_EQUAL(1U, resumed.changes.size());
  STRCMP_EQUAL("/w/c=4", resumed.changes[0].c_str());
}

TEST(EtcdKeyValueStore, AWatchThatIsFarBehindMissesNothing) {
  constexpr int kChanges = 2500;  // More than the stand-in sends in one line.
  for (int number = 0; number < kChanges; ++number) {
    const auto key = "/w/" + std::to_string(number);
    CHECK_TRUE(stand_in.state()
                   .store.Commit({{}, {runshelf::platform_standin::PutOperation{key, "v", 0}}, {}})
                   .ok());
  }
  const ReceivedEvents received = WatchFor(store, "/w/", 1, kChanges);
  CHECK_EQUAL(static_cast<size_t>(kChanges), received.changes.size());
  STRCMP_EQUAL("/w/2499=v", received.changes.back().c_str());
  CHECK_EQUAL(stand_in.state().store.revision(), received.last_revision);
}

TEST(EtcdKeyValueStore, AWatchOfCompactedRevisionsIsOutOfRange) {
  Put(store, "a", "1");
  const int64_t revision = Put(store, "a", "2");
  CHECK_TRUE(stand_in.state().store.Compact(revision).ok());
  const auto ignore = [](int64_t, const std::vector<WatchEvent>&) {};
  CheckCode(absl::StatusCode::kOutOfRange,
            store.Watch("a", revision, ignore, [] { return false; }));
  Put(store, "a", "3");
  CHECK_EQUAL(1U, WatchFor(store, "a", revision + 1, 1).changes.size());
}

TEST(EtcdKeyValueStore, AWatchStopsWhileNothingChangesAndBreaksInAnOutage) {
  int asked = 0;
  const auto ignore = [](int64_t, const std::vector<WatchEvent>&) {};
  CheckCode(absl::StatusCode::kOk, store.Watch("a", 0, ignore, [&] { return ++asked > 5; }));
  const auto begin_outage = [&] {
    if (++asked == 10) {
      FaultSettings faults;
      faults.outage = true;
      stand_in.SetFaults(faults);
    }
    return false;
  };
  CheckCode(absl::StatusCode::kUnavailable, store.Watch("a", 0, ignore, begin_outage));
}

TEST(EtcdKeyValueStore, RefusesTooManyWritesAndKeysWrittenTwice) {
  std::vector<Write> writes;
  for (int number = 0; number < 129; ++number) writes.push_back({std::to_string(number), "v", 0});
  CheckCode(absl::StatusCode::kInvalidArgument, store.Commit({}, writes).status());
  writes.resize(128);
  CHECK_TRUE(store.Commit({}, writes).ok());
  CheckCode(absl::StatusCode::kInvalidArgument,
            store.Commit({}, {Write{"a", "1", 0}, Write{"a", "2", 0}}).status());
  CheckCode(absl::StatusCode::kInvalidArgument, store.Commit({}, {Write{"", "1", 0}}).status());
}

TEST(EtcdKeyValueStore, RefusesMalformedAddresses) {
  for (const char* address : {"", "localhost:1", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536",
                              "127.0.0.1:x", "127.0.0.1:80:90"}) {
    CheckCode(absl::StatusCode::kInvalidArgument,
              MakeEtcdKeyValueStore(address, kCallTimeout).status());
  }
  CheckCode(absl::StatusCode::kInvalidArgument,
            MakeEtcdKeyValueStore("127.0.0.1:80", Duration(0)).status());
}

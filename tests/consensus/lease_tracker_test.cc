#include "source/consensus/lease_tracker.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf::consensus;
using namespace std::chrono_literals;
using runshelf::InstanceId;
using runshelf::Instant;

namespace {

const InstanceId kSelf{"a", 1};
const InstanceId kSecond{"b", 2};
const InstanceId kThird{"c", 3};
const std::vector<InstanceId> kVoters = {kSelf, kSecond, kThird};
const Instant kStart = Instant(1h);

}  // namespace

TEST_GROUP(LeaseTracker) {
  ReplicaConfig config;
  LeaseTracker tracker{config, ReplicaDefects()};
};

TEST(LeaseTracker, TheLeaseIsShorterThanTheElectionTimeoutByMoreThanTheMargin) {
  const double longest_safe =
      static_cast<double>(config.election_timeout_min.count()) / (1 + config.clock_rate_margin);
  CHECK(static_cast<double>(SafeLeaseDuration(config).count()) <= longest_safe);
  config.lease_duration = 10 * config.election_timeout_min;
  CHECK(static_cast<double>(SafeLeaseDuration(config).count()) <= longest_safe);
}

TEST(LeaseTracker, TheLeaseCountsFromTheSendingOfAnAnsweredRequest) {
  const uint64_t round = tracker.StartRound(kStart);
  CHECK(tracker.LeaseEnd(kVoters, kSelf, kStart) == Instant());
  tracker.RecordAnswer(kThird, round, kStart + 200ms);
  CHECK(tracker.LeaseEnd(kVoters, kSelf, kStart + 200ms) == kStart + SafeLeaseDuration(config));
  CHECK(tracker.LastContact(kThird) == kStart + 200ms);
  CHECK(tracker.LastContact(kSecond) == Instant());
}

TEST(LeaseTracker, AnswersToAnEarlierLeadershipDoNotCount) {
  const uint64_t round = tracker.StartRound(kStart);
  tracker.Reset();
  tracker.StartRound(kStart + 1s);
  tracker.RecordAnswer(kSecond, round, kStart + 1s);
  CHECK(tracker.LeaseEnd(kVoters, kSelf, kStart + 1s) == Instant());
}

TEST(LeaseTracker, AnswersToRoundsNeverSentDoNotCount) {
  tracker.StartRound(kStart);
  for (const uint64_t round : {uint64_t{0}, uint64_t{2}, UINT64_MAX}) {
    tracker.RecordAnswer(kSecond, round, kStart);
  }
  CHECK(tracker.LeaseEnd(kVoters, kSelf, kStart) == Instant());
}

TEST(LeaseTracker, AnswersOfOthersThanVotersDoNotCount) {
  tracker.RecordAnswer(kThird, tracker.StartRound(kStart), kStart);
  CHECK(tracker.LeaseEnd({kSelf, kSecond}, kSelf, kStart) == Instant());
  CHECK(tracker.LeaseEnd({kSecond, kThird}, kSelf, kStart) == Instant());
}

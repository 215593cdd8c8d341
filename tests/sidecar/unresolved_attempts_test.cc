// The load that UnresolvedAttempts answers: a node is killed in the moment in which its worker
// ends, so that some dozens of attempts of other nodes break off and nobody beside the worker tells
// why.
#include "source/sidecar/unresolved_attempts.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace runshelf;
using namespace runshelf::sidecar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant kStart = Instant{} + seconds(100);

// Identities are a name and, where it is known, an incarnation: "w@2".
std::string NameOf(const std::string& worker_id) {
  return worker_id.substr(0, worker_id.find('@'));
}

bool MayBeSame(const std::string& worker_id, const std::string& other) {
  return worker_id == other || worker_id == NameOf(other) || other == NameOf(worker_id);
}

RequestFingerprint MakeFingerprint(const std::string& name) {
  http::Request request;
  request.head.target = "/" + name;
  return FingerprintOf(request, std::nullopt);
}

}  // namespace

TEST_GROUP(UnresolvedAttempts) {
  UnresolvedAttempts attempts{MayBeSame};

  void AddBrokenAttempt(const std::string& worker_id, Duration at = Duration(0)) {
    attempts.Add(kStart + at, {"n1", worker_id, MakeFingerprint("guilty")});
  }
};

TEST(UnresolvedAttempts, AnotherIncarnationTellsThatTheFormerEnded) {
  AddBrokenAttempt("w@1");
  attempts.OnWorkerAt(kStart + seconds(2), "n1", "w@2");
  const auto ended = attempts.TakeEnded(kStart + seconds(3));
  CHECK_EQUAL(1U, ended.size());
  CHECK(ended[0].request == MakeFingerprint("guilty"));
  CHECK(attempts.empty());
}

TEST(UnresolvedAttempts, TheNodeBesideTheWorkerHasItsTimeToTell) {
  AddBrokenAttempt("w@1");
  attempts.OnWorkerAt(kStart + seconds(2), "n1", "w@2");
  CHECK_EQUAL(0U, attempts.TakeEnded(kStart + milliseconds(2900)).size());
  CHECK(!attempts.empty());
}

TEST(UnresolvedAttempts, TheSameWorkerLivesOn) {
  AddBrokenAttempt("w@1");
  attempts.OnWorkerAt(kStart + seconds(1), "n1", "w@1");
  CHECK_EQUAL(0U, attempts.TakeEnded(kStart + seconds(5)).size());
}

// A node that was started again finds its worker before it knows the incarnation.
TEST(UnresolvedAttempts, AnIdentityThatIsKnownInPartTellsNothing) {
  AddBrokenAttempt("w@1");
  attempts.OnWorkerAt(kStart + seconds(1), "n1", "");
  attempts.OnWorkerAt(kStart + seconds(1), "n1", "w");
  CHECK_EQUAL(0U, attempts.TakeEnded(kStart + seconds(5)).size());
  attempts.OnWorkerAt(kStart + seconds(5), "n1", "w@2");
  CHECK_EQUAL(1U, attempts.TakeEnded(kStart + seconds(6)).size());
}

TEST(UnresolvedAttempts, WorkersBesideOtherNodesTellNothing) {
  AddBrokenAttempt("w@1");
  attempts.OnWorkerAt(kStart + seconds(1), "n2", "w@2");
  CHECK_EQUAL(0U, attempts.TakeEnded(kStart + seconds(5)).size());
}

TEST(UnresolvedAttempts, WhatEndsMuchLaterHadOtherReasons) {
  AddBrokenAttempt("w@1");
  CHECK_EQUAL(0U, attempts.TakeEnded(kStart + seconds(11)).size());
  CHECK(attempts.empty());
}

TEST(UnresolvedAttempts, AFloodIsBounded) {
  for (int index = 0; index < 10000; ++index) AddBrokenAttempt("w@1", milliseconds(index / 10));
  attempts.OnWorkerAt(kStart + seconds(2), "n1", "w@2");
  CHECK_COMPARE(attempts.TakeEnded(kStart + seconds(3)).size(), <=, 256U);
}

// A request ended every worker that ran it, and came again and again: twelve workers and more of a
// fleet of four ended one after the other, and over a tenth of the other requests of the service
// were not served for minutes.
//
// It reached the next worker by every way there is. The node that had taken it sent it on after the
// broken connection, as it may with any request that can be repeated; its caller sent it again, at
// any machine; keys of the ended worker went to the others, and the request after them. To each
// node the end of its worker was a fact about the worker. That the same request had been at work in
// the last one, and in the one before, was known to nobody.
//
// What proved it: of all requests that the logs name, one was at work under each of six ends, some
// 80 ms after it had been sent, and every other one under one or two.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

#include "source/sidecar/crash_items.h"
#include "source/sidecar/request_fingerprint.h"
#include "tests/platform_adapter/crashing_workers.h"
#include "tests/platform_adapter/fleet.h"

using namespace runshelf;
using namespace runshelf::platform_adapter;
using event::RunFor;
using event::RunUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Users allow three more runs, later than this after the third end.
constexpr Duration kTimeToLearn = seconds(3);
constexpr size_t kAllowedLater = 3;
// The first three ends, and those more.
constexpr size_t kAllowedInAll = 6;
constexpr Duration kCallerInterval = milliseconds(250);
constexpr Duration kWatched = seconds(11);

http::Headers KeyHeader(uint32_t key) {
  http::Headers headers;
  headers.Add("Shard-Key", std::to_string(key));
  return headers;
}

// On a machine that was busy or stood still two runs may meet in the first worker: before it ends
// nothing is known of them.
void CheckThatFewWorkersEnded(CrashingWorkers& workers, const std::string& target) {
  CHECK_COMPARE(workers.ends(), <=, kAllowedInAll);
  CHECK_EQUAL(workers.Begun(target).size(), workers.ends() + workers.BegunBesideFirst(target));
}

// The request comes at nodes 0 and 1 in turn; returns once all are answered.
void SendRepeatedly(Fleet& fleet, const RepeatingCaller::Message& message,
                    Duration time = kWatched) {
  RepeatingCaller caller(fleet, {0, 1}, message, kCallerInterval);
  RunFor(fleet.loop, time);
  caller.Finish();
}

// The fatal request comes at nodes 0 and 1 in turn, beside proper reads that go on at node 0.
void CheckThatItReachesFewWorkers(Fleet& fleet, const RepeatingCaller::Message& fatal,
                                  const RepeatingCaller::Message& proper) {
  fleet.Start();
  CrashingWorkers workers(fleet);
  RepeatingCaller fatal_caller(fleet, {0, 1}, fatal, kCallerInterval);
  RepeatingCaller proper_caller(fleet, {0}, proper, milliseconds(40));
  RunFor(fleet.loop, kWatched);
  fatal_caller.Finish();
  proper_caller.Finish();
  CHECK_COMPARE(workers.Begun(fatal.target).size(), >=, 1U);
  CHECK_COMPARE(workers.BegunAfterThird(fatal.target, kTimeToLearn), <=, kAllowedLater);
  CheckThatFewWorkersEnded(workers, fatal.target);
  // Its end is told by no proxy either: nothing was served that its workers did not answer.
  CHECK_EQUAL(0U, fatal_caller.Count(200));
  // Once it is known, nobody pays for it any more.
  RepeatingCaller afterwards(fleet, {0, 1}, proper, milliseconds(25));
  RepeatingCaller fatal_again(fleet, {1, 0}, fatal, kCallerInterval);
  RunFor(fleet.loop, seconds(2));
  afterwards.Finish();
  fatal_again.Finish();
  CHECK_EQUAL(afterwards.sent(), afterwards.Count(200));
}

const std::vector<std::string> kPlainFleet{"other", "other", "plain", "plain",
                                           "plain", "plain", "plain", "plain"};
const std::vector<std::string> kKeyedFleet{"other", "other", "keyed", "keyed", "keyed", "keyed"};

// The proper request that many ask for is at work in two workers that end for reasons of their own.
void CheckThatItIsServedAtOnce(Fleet& fleet, size_t node) {
  size_t served = 0;
  for (size_t index = 0; index < 10; ++index) {
    const auto answer = fleet.Request(node, "GET", "/keyed/1", "", KeyHeader(7));
    if (answer.has_value() && answer->status == 200) ++served;
  }
  CHECK_EQUAL(10U, served);
}

// One request, once; whether it was served.
bool Served(Fleet& fleet, size_t node, const std::string& target, const std::string& body = "",
            const http::Headers& headers = {}) {
  const auto answer = fleet.Request(node, "GET", target, body, headers);
  return answer.has_value() && answer->status == 200;
}

// Refusals before a request is taken that has just had a good run at another node: the news of it
// is on its way for some milliseconds, and a caller comes back later than that.
constexpr size_t kRefusalsBetween = 1;
constexpr Duration kComesBackAfter = milliseconds(150);

// A run of the request by some worker, which goes on.
std::unique_ptr<Fleet::PendingRequest> BeginRun(Fleet& fleet, CrashingWorkers& workers, size_t node,
                                                const std::string& target) {
  const size_t begun = workers.Begun(target).size();
  for (size_t refusals = 0;; ++refusals) {
    auto pending = fleet.Begin(node, "POST", target, "order 7");
    CHECK(RunUntil(fleet.loop,
                   [&] { return pending->over || workers.Begun(target).size() > begun; }));
    if (workers.Begun(target).size() > begun) return pending;
    CHECK_EQUAL(503, pending->answer->status);
    CHECK_COMPARE(refusals, <, kRefusalsBetween);
    RunFor(fleet.loop, kComesBackAfter);
  }
}

// Workers end for reasons of their own, each time while the request is at work in one.
void EndUnder(Fleet& fleet, CrashingWorkers& workers, const std::string& target, size_t times,
              bool good_run_between) {
  for (size_t end = 0; end < times; ++end) {
    const auto pending = BeginRun(fleet, workers, end % 2, target);
    workers.End(workers.LastNode(target));
    CHECK(RunUntil(fleet.loop, [&] { return pending->over; }));
    // All workers up and known again.
    CHECK(RunUntil(fleet.loop, [&] { return workers.AllUp(); }));
    RunFor(fleet.loop, milliseconds(1200));
    if (!good_run_between) continue;
    const auto answer = fleet.Request(end % 2, "POST", target, "order 7");
    CHECK(answer.has_value());
    CHECK_EQUAL(200, answer->status);
  }
}

size_t ServedOfTen(Fleet& fleet, const std::string& target) {
  size_t served = 0;
  for (size_t index = 0; index < 10; ++index) {
    const auto answer = fleet.Request(0, "POST", target, "order 7");
    if (answer.has_value() && answer->status == 200) ++served;
  }
  return served;
}

}  // namespace

TEST_GROUP(CrashingRequests){};

TEST(CrashingRequests, ARequestThatMayBeRepeatedReachesFewWorkers) {
  Fleet fleet(kPlainFleet);
  CheckThatItReachesFewWorkers(fleet, {"GET", "/read/fatal", "", {}}, {"GET", "/read/1", "", {}});
}

TEST(CrashingRequests, ARequestThatMustNotBeRepeatedReachesFewWorkers) {
  Fleet fleet(kPlainFleet);
  CheckThatItReachesFewWorkers(fleet, {"POST", "/send/fatal", "order 666", {}},
                               {"GET", "/read/1", "", {}});
}

TEST(CrashingRequests, ARequestOfOneKeyReachesFewWorkers) {
  Fleet fleet(kKeyedFleet);
  CheckThatItReachesFewWorkers(fleet, {"GET", "/keyed/fatal", "", KeyHeader(51364)},
                               {"GET", "/keyed/1", "", KeyHeader(7)});
}

TEST(CrashingRequests, ANodeThatStartedSinceKnowsOfIt) {
  Fleet fleet(kPlainFleet);
  fleet.Start();
  CrashingWorkers workers(fleet);
  SendRepeatedly(fleet, {"GET", "/read/fatal", "", {}});
  const size_t begun = workers.Begun("/read/fatal").size();
  fleet.Kill(0);
  RunFor(fleet.loop, milliseconds(200));
  fleet.Restart(0);
  CHECK(RunUntil(fleet.loop, [&] { return fleet.nodes[0].sidecar->ready(); }));
  RunFor(fleet.loop, milliseconds(500));
  RepeatingCaller again(fleet, {0}, {"GET", "/read/fatal", "", {}}, kCallerInterval);
  RunFor(fleet.loop, seconds(4));
  again.Finish();
  CHECK_EQUAL(begun, workers.Begun("/read/fatal").size());
}

TEST(CrashingRequests, ARequestThatWasThereByChanceIsServed) {
  for (const bool good_run_between : {true, false}) {
    Fleet fleet(kPlainFleet);
    fleet.Start();
    CrashingWorkers workers(fleet);
    workers.set_run_time(milliseconds(60));
    EndUnder(fleet, workers, "/send/order", 5, good_run_between);
    CHECK_EQUAL(10U, ServedOfTen(fleet, "/send/order"));
  }
}

// Workers end together, as with a loss of power, while each runs the request.
TEST(CrashingRequests, ARequestAtWorkInAllWorkersThatEndTogetherIsServed) {
  Fleet fleet(kPlainFleet);
  fleet.Start();
  CrashingWorkers workers(fleet);
  workers.set_run_time(milliseconds(250));
  std::vector<std::unique_ptr<Fleet::PendingRequest>> pending;
  for (size_t index = 0; index < 24; ++index) {
    pending.push_back(fleet.Begin(index % 2, "POST", "/send/order", "order 7"));
  }
  RunFor(fleet.loop, milliseconds(100));
  for (size_t node = 2; node < fleet.nodes.size(); ++node) workers.End(node);
  CHECK(RunUntil(fleet.loop, [&] {
    return std::all_of(pending.begin(), pending.end(),
                       [](const auto& request) { return request->over; });
  }));
  CHECK(RunUntil(fleet.loop, [&] { return workers.AllUp(); }));
  RunFor(fleet.loop, milliseconds(1500));
  workers.set_run_time(milliseconds(20));
  CHECK_EQUAL(10U, ServedOfTen(fleet, "/send/order"));
}

// Another body, another caller or another path makes another request.
TEST(CrashingRequests, RequestsThatDifferAreServed) {
  Fleet fleet(kPlainFleet);
  fleet.Start();
  CrashingWorkers workers(fleet);
  SendRepeatedly(fleet, {"GET", "/read/fatal?of=1", "", {}}, seconds(8));
  CHECK(RunUntil(fleet.loop, [&] { return workers.AllUp(); }));
  RunFor(fleet.loop, milliseconds(1500));
  CHECK(Served(fleet, 0, "/read/1?of=1"));
  CHECK(Served(fleet, 1, "/read/1"));
  const size_t ends = workers.ends();
  fleet.Request(0, "GET", "/read/fatal?of=2", "");
  CHECK_COMPARE(workers.ends(), >, ends);
}

// The record survives what other writers put beside it.
TEST(CrashingRequests, BrokenItemsOfOtherWritersChangeNothing) {
  Fleet fleet(kPlainFleet);
  fleet.Start();
  CrashingWorkers workers(fleet);
  fleet.store.Put("runshelf/worker-ends/w2", "\xff{");
  fleet.store.Put("runshelf/worker-ends/", R"({"worker":"","node":"","requests":[]})");
  fleet.store.Put("runshelf/quarantine/x", R"({"released":false})");
  fleet.store.Put("runshelf/quarantine/0123456789abcdef0123456789abcdef", "[[[[");
  RunFor(fleet.loop, milliseconds(300));
  CHECK(Served(fleet, 0, "/read/1"));
  STRCMP_CONTAINS("event=state_item_refused key=runshelf/quarantine/x", fleet.Log().c_str());
  SendRepeatedly(fleet, {"GET", "/read/fatal", "", {}});
  CheckThatFewWorkersEnded(workers, "/read/fatal");
}

// An operator who has mended the worker lets the request run again.
TEST(CrashingRequests, AReleasedRequestRuns) {
  Fleet fleet(kPlainFleet);
  fleet.Start();
  CrashingWorkers workers(fleet);
  SendRepeatedly(fleet, {"GET", "/read/fatal", "", {}});
  CHECK(RunUntil(fleet.loop, [&] { return workers.AllUp(); }));
  http::Request request;
  request.head.method = "GET";
  request.head.target = "/read/fatal";
  request.head.headers.Add("Host", "h.example");
  const std::string key =
      "runshelf/quarantine/" + sidecar::FingerprintOf(request, std::nullopt).ToString();
  const std::string* item = fleet.store.Find(key);
  CHECK(item != nullptr);
  auto quarantine = sidecar::QuarantineItem::Parse(*item);
  CHECK(quarantine.has_value());
  const size_t begun = workers.Begun("/read/fatal").size();
  // All but the first two runs were counted before they were sent, or were begun beside these.
  CHECK_EQUAL(kAllowedInAll, begun);
  CHECK_COMPARE(quarantine->trials, >=, 3U);
  fleet.Request(0, "GET", "/read/fatal", "");
  CHECK_EQUAL(begun, workers.Begun("/read/fatal").size());
  quarantine->released = true;
  fleet.store.Put(key, quarantine->Serialize());
  RunFor(fleet.loop, milliseconds(500));
  fleet.Request(0, "GET", "/read/fatal", "");
  CHECK_COMPARE(workers.Begun("/read/fatal").size(), >, begun);
}

// The store is away when a worker ends, and the node beside it is gone before it is back: the other
// nodes were told.
TEST(CrashingRequests, AnEndIsKnownThoughTheStoreWasAwayAndTheNodeBesideIsGone) {
  Fleet fleet({"other", "other", "plain", "plain"});
  fleet.Start();
  CrashingWorkers workers(fleet);
  fleet.store.set_fault(FakeStore::Fault::kRefuse);
  fleet.Request(0, "POST", "/send/fatal", "order 666");
  RunFor(fleet.loop, milliseconds(300));
  const size_t beside = workers.LastNode("/send/fatal");
  fleet.Kill(beside);
  fleet.store.set_fault(FakeStore::Fault::kNone);
  // Its worker is back before its process.
  CHECK(RunUntil(fleet.loop, [&] { return workers.AllUp(); }));
  fleet.Restart(beside);
  RunFor(fleet.loop, milliseconds(1500));
  SendRepeatedly(fleet, {"POST", "/send/fatal", "order 666", {}});
  CHECK_EQUAL(kAllowedInAll, workers.Begun("/send/fatal").size());
}

// What nodes were told while the store was away goes to the store once it is back: the node beside
// the worker and most of those that were told are gone by then.
TEST(CrashingRequests, AnEndThatNodesWereToldOfOutlivesThem) {
  Fleet fleet({"other", "other", "other", "plain", "plain"});
  fleet.Start();
  CrashingWorkers workers(fleet);
  fleet.store.set_fault(FakeStore::Fault::kRefuse);
  fleet.Request(0, "POST", "/send/fatal", "order 666");
  RunFor(fleet.loop, milliseconds(600));
  const size_t beside = workers.LastNode("/send/fatal");
  fleet.Kill(beside);
  fleet.Kill(0);
  fleet.Kill(1);
  fleet.store.set_fault(FakeStore::Fault::kNone);
  CHECK(RunUntil(fleet.loop, [&] { return workers.AllUp(); }));
  for (const size_t node : {beside, size_t{0}, size_t{1}}) fleet.Restart(node);
  RunFor(fleet.loop, milliseconds(3500));
  SendRepeatedly(fleet, {"POST", "/send/fatal", "order 666", {}});
  CHECK_COMPARE(workers.Begun("/send/fatal").size(), <=, kAllowedInAll);
}

// The machine of the third worker is lost with it, so that nobody counts that end.
TEST(CrashingRequests, AnEndThatNobodyCountsCostsNoFurtherRun) {
  Fleet fleet(kPlainFleet);
  fleet.Start();
  CrashingWorkers workers(fleet);
  for (size_t run = 1; run <= 3; ++run) {
    const auto pending = fleet.Begin(run % 2, "POST", "/send/fatal", "order 666");
    CHECK(RunUntil(fleet.loop, [&] { return workers.Begun("/send/fatal").size() == run; }));
    if (run == 3) fleet.Kill(workers.LastNode("/send/fatal"));
    CHECK(RunUntil(fleet.loop, [&] { return pending->over; }));
    CHECK(RunUntil(fleet.loop, [&] { return workers.AllUp(); }));
    RunFor(fleet.loop, milliseconds(1200));
  }
  fleet.Restart(workers.LastNode("/send/fatal"));
  RunFor(fleet.loop, milliseconds(2000));
  SendRepeatedly(fleet, {"POST", "/send/fatal", "order 666", {}});
  CHECK_COMPARE(workers.BegunAfterThird("/send/fatal", kTimeToLearn), <=, kAllowedLater);
  CHECK_COMPARE(workers.Begun("/send/fatal").size(), <=, kAllowedInAll);
}

// Requests that wait for the owner of their key come to it together.
TEST(CrashingRequests, RunsAtOneWorkerComeOneAfterTheOther) {
  Fleet fleet(kKeyedFleet);
  fleet.Start();
  CrashingWorkers workers(fleet);
  workers.set_run_time(milliseconds(150));
  RepeatingCaller first(fleet, {0}, {"GET", "/keyed/fatal", "", KeyHeader(51364)},
                        milliseconds(60));
  RepeatingCaller second(fleet, {1}, {"GET", "/keyed/fatal", "", KeyHeader(51364)},
                         milliseconds(60));
  CHECK(RunUntil(fleet.loop, [&] { return workers.ends() == 1; }));
  const size_t at_first = workers.Begun("/keyed/fatal").size();
  RunFor(fleet.loop, kWatched);
  first.Finish();
  second.Finish();
  // Nothing is known of it before the first end.
  CHECK_COMPARE(workers.Begun("/keyed/fatal").size() - at_first, <=, kAllowedInAll - 1);
}

// Good runs are known to the node that takes the requests; the ones beside the workers where the
// key is next have seen none.
TEST(CrashingRequests, AMuchAskedForRequestIsServedAfterEachEnd) {
  Fleet fleet(kKeyedFleet);
  fleet.Start();
  CrashingWorkers workers(fleet);
  workers.set_run_time(milliseconds(60));
  for (size_t end = 0; end < 3; ++end) {
    const size_t begun = workers.Begun("/keyed/1").size();
    const auto pending = fleet.Begin(0, "GET", "/keyed/1", "", KeyHeader(7));
    CHECK(RunUntil(fleet.loop, [&] { return workers.Begun("/keyed/1").size() > begun; }));
    workers.End(workers.LastNode("/keyed/1"));
    CHECK(RunUntil(fleet.loop, [&] { return pending->over; }));
    CHECK(RunUntil(fleet.loop, [&] { return workers.AllUp(); }));
    RunFor(fleet.loop, milliseconds(1500));
    CheckThatItIsServedAtOnce(fleet, 0);
  }
  RunFor(fleet.loop, milliseconds(500));
  CheckThatItIsServedAtOnce(fleet, 1);
}

// The store has fallen silent: whether a trial may begin cannot be known for seconds.
TEST(CrashingRequests, ARequestIsRefusedAtOnceWhenItsTrialCannotBeCounted) {
  Fleet fleet(kPlainFleet);
  fleet.Start();
  CrashingWorkers workers(fleet);
  for (size_t run = 1; run <= 2; ++run) {
    fleet.Request(run % 2, "POST", "/send/fatal", "order 666");
    CHECK(RunUntil(fleet.loop, [&] { return workers.AllUp(); }));
    RunFor(fleet.loop, milliseconds(1200));
  }
  fleet.store.set_fault(FakeStore::Fault::kSilent);
  for (size_t time = 0; time < 6; ++time) {
    const Instant sent = fleet.loop.Now();
    const auto answer = fleet.Request(0, "POST", "/send/fatal", "order 666");
    CHECK(answer.has_value());
    CHECK_EQUAL(503, answer->status);
    CHECK_COMPARE(ToMilliseconds(fleet.loop.Now() - sent), <, 600);
    const std::string* retry_after = answer->headers.Find("Retry-After");
    CHECK(retry_after != nullptr);
    CHECK_COMPARE(std::stod(*retry_after), >=, 0.9);
    RunFor(fleet.loop, milliseconds(500));
  }
  CHECK_EQUAL(2U, workers.Begun("/send/fatal").size());
}

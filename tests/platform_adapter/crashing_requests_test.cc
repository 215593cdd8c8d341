// Quarantine of requests that crash their workers.
//
// Guards against a request that crashes every worker that runs it and is sent repeatedly. In a
// fleet of four workers, twelve and more crashed one after the other, and over a tenth of the other
// requests of the service failed for minutes. The request reached further workers by retries of the
// receiving node after the broken connection, by retries of its caller at any node, and by the
// reassignment of the crashed worker's keys. No node recorded which request each crashed worker had
// been running: the logs show one request running at each of six crashes, about 80 ms after it was
// sent, and every other request at one or two of them.

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

// Requirement: at most three further runs later than this after the third crash.
constexpr Duration kQuarantineDelay = seconds(3);
constexpr size_t kMaxLaterRuns = 3;
// The first three crashes and the further runs.
constexpr size_t kMaxTotalRuns = 6;
constexpr Duration kCallerInterval = milliseconds(250);
constexpr Duration kObservationTime = seconds(11);

http::Headers KeyHeader(uint32_t key) {
  http::Headers headers;
  headers.Add("Shard-Key", std::to_string(key));
  return headers;
}

// On a machine that is busy or was suspended, two runs may overlap in the first worker: nothing is
// known about the request before that worker crashes.
void CheckFewWorkersCrashed(CrashingWorkers& workers, const std::string& target) {
  CHECK_COMPARE(workers.ends(), <=, kMaxTotalRuns);
  CHECK_EQUAL(workers.Begun(target).size(), workers.ends() + workers.BegunBesideFirst(target));
}

// Sends the request to nodes 0 and 1 alternately; returns once all attempts are answered.
void SendRepeatedly(Fleet& fleet, const RepeatingCaller::Message& message,
                    Duration time = kObservationTime) {
  RepeatingCaller caller(fleet, {0, 1}, message, kCallerInterval);
  RunFor(fleet.loop, time);
  caller.Finish();
}

// Sends the crashing request to nodes 0 and 1 alternately, and harmless reads to node 0 meanwhile.
void CheckReachesFewWorkers(Fleet& fleet, const RepeatingCaller::Message& fatal,
                            const RepeatingCaller::Message& harmless) {
  fleet.Start();
  CrashingWorkers workers(fleet);
  RepeatingCaller fatal_caller(fleet, {0, 1}, fatal, kCallerInterval);
  RepeatingCaller harmless_caller(fleet, {0}, harmless, milliseconds(40));
  RunFor(fleet.loop, kObservationTime);
  fatal_caller.Finish();
  harmless_caller.Finish();
  CHECK_COMPARE(workers.Begun(fatal.target).size(), >=, 1U);
  CHECK_COMPARE(workers.BegunAfterThird(fatal.target, kQuarantineDelay), <=, kMaxLaterRuns);
  CheckFewWorkersCrashed(workers, fatal.target);
  // No proxy reports success for a request that no worker answered.
  CHECK_EQUAL(0U, fatal_caller.Count(200));
  // Once the request is quarantined, other requests are no longer affected.
  RepeatingCaller afterwards(fleet, {0, 1}, harmless, milliseconds(25));
  RepeatingCaller fatal_again(fleet, {1, 0}, fatal, kCallerInterval);
  RunFor(fleet.loop, seconds(2));
  afterwards.Finish();
  fatal_again.Finish();
  CHECK_EQUAL(afterwards.sent(), afterwards.Count(200));
}

const std::vector<std::string> kPlainFleet{"other", "other", "plain", "plain",
                                           "plain", "plain", "plain", "plain"};
const std::vector<std::string> kKeyedFleet{"other", "other", "keyed", "keyed", "keyed", "keyed"};

// Checks that all of ten harmless requests for key 7 sent to `node` are served.
void CheckTenRequestsServed(Fleet& fleet, size_t node) {
  size_t served = 0;
  for (size_t index = 0; index < 10; ++index) {
    const auto answer = fleet.Request(node, "GET", "/keyed/1", "", KeyHeader(7));
    if (answer.has_value() && answer->status == 200) ++served;
  }
  CHECK_EQUAL(10U, served);
}

// Sends one request and returns whether it was served with status 200.
bool Served(Fleet& fleet, size_t node, const std::string& target, const std::string& body = "",
            const http::Headers& headers = {}) {
  const auto answer = fleet.Request(node, "GET", target, body, headers);
  return answer.has_value() && answer->status == 200;
}

// A request that has just completed successfully at another node may be refused once: the update
// takes some milliseconds to arrive, and a caller retries later than that.
constexpr size_t kMaxRefusals = 1;
constexpr Duration kRetryDelay = milliseconds(150);

// Starts the request at `node` and returns once a worker is running it.
std::unique_ptr<Fleet::PendingRequest> BeginRun(Fleet& fleet, CrashingWorkers& workers, size_t node,
                                                const std::string& target) {
  const size_t begun = workers.Begun(target).size();
  for (size_t refusals = 0;; ++refusals) {
    auto pending = fleet.Begin(node, "POST", target, "order 7");
    CHECK(RunUntil(fleet.loop,
                   [&] { return pending->over || workers.Begun(target).size() > begun; }));
    if (workers.Begun(target).size() > begun) return pending;
    CHECK_EQUAL(503, pending->answer->status);
    CHECK_COMPARE(refusals, <, kMaxRefusals);
    RunFor(fleet.loop, kRetryDelay);
  }
}

// Stops a worker `times` times, for reasons unrelated to the request, while it runs the request.
void StopWorkersDuring(Fleet& fleet, CrashingWorkers& workers, const std::string& target,
                       size_t times, bool successful_run_between) {
  for (size_t end = 0; end < times; ++end) {
    const auto pending = BeginRun(fleet, workers, end % 2, target);
    workers.End(workers.LastNode(target));
    CHECK(RunUntil(fleet.loop, [&] { return pending->over; }));
    // All workers are up and known to their nodes again.
    CHECK(RunUntil(fleet.loop, [&] { return workers.AllUp(); }));
    RunFor(fleet.loop, milliseconds(1200));
    if (!successful_run_between) continue;
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

TEST(CrashingRequests, RepeatableCrashingRequestReachesFewWorkers) {
  Fleet fleet(kPlainFleet);
  CheckReachesFewWorkers(fleet, {"GET", "/read/fatal", "", {}}, {"GET", "/read/1", "", {}});
}

TEST(CrashingRequests, NonRepeatableCrashingRequestReachesFewWorkers) {
  Fleet fleet(kPlainFleet);
  CheckReachesFewWorkers(fleet, {"POST", "/send/fatal", "order 666", {}},
                         {"GET", "/read/1", "", {}});
}

TEST(CrashingRequests, KeyedCrashingRequestReachesFewWorkers) {
  Fleet fleet(kKeyedFleet);
  CheckReachesFewWorkers(fleet, {"GET", "/keyed/fatal", "", KeyHeader(51364)},
                         {"GET", "/keyed/1", "", KeyHeader(7)});
}

TEST(CrashingRequests, RestartedNodeKnowsQuarantinedRequest) {
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

TEST(CrashingRequests, RequestRunningDuringUnrelatedCrashesIsServed) {
  for (const bool successful_run_between : {true, false}) {
    Fleet fleet(kPlainFleet);
    fleet.Start();
    CrashingWorkers workers(fleet);
    workers.set_run_time(milliseconds(60));
    StopWorkersDuring(fleet, workers, "/send/order", 5, successful_run_between);
    CHECK_EQUAL(10U, ServedOfTen(fleet, "/send/order"));
  }
}

// All workers stop at the same time, as after a power failure, while each runs the request.
TEST(CrashingRequests, RequestRunningInAllWorkersThatStopTogetherIsServed) {
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

// Requests that differ in body, caller or path are different requests.
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

// Malformed items of other writers in the same key ranges do not affect the crash records.
TEST(CrashingRequests, MalformedItemsAreIgnored) {
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
  CheckFewWorkersCrashed(workers, "/read/fatal");
}

// An operator who has fixed the worker releases the request from quarantine.
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
  // All runs but the first two were counted before they were sent, or ran concurrently with these.
  CHECK_EQUAL(kMaxTotalRuns, begun);
  CHECK_COMPARE(quarantine->trials, >=, 3U);
  fleet.Request(0, "GET", "/read/fatal", "");
  CHECK_EQUAL(begun, workers.Begun("/read/fatal").size());
  quarantine->released = true;
  fleet.store.Put(key, quarantine->Serialize());
  RunFor(fleet.loop, milliseconds(500));
  fleet.Request(0, "GET", "/read/fatal", "");
  CHECK_COMPARE(workers.Begun("/read/fatal").size(), >, begun);
}

// The store is unavailable when a worker crashes, and the worker's node is killed before the store
// is back: the other nodes have been notified directly.
TEST(CrashingRequests, CrashIsKnownAfterStoreOutageAndLossOfWorkersNode) {
  Fleet fleet({"other", "other", "plain", "plain"});
  fleet.Start();
  CrashingWorkers workers(fleet);
  fleet.store.set_fault(FakeStore::Fault::kRefuse);
  fleet.Request(0, "POST", "/send/fatal", "order 666");
  RunFor(fleet.loop, milliseconds(300));
  const size_t worker_node = workers.LastNode("/send/fatal");
  fleet.Kill(worker_node);
  fleet.store.set_fault(FakeStore::Fault::kNone);
  // The worker is up again before the process of its node.
  CHECK(RunUntil(fleet.loop, [&] { return workers.AllUp(); }));
  fleet.Restart(worker_node);
  RunFor(fleet.loop, milliseconds(1500));
  SendRepeatedly(fleet, {"POST", "/send/fatal", "order 666", {}});
  CHECK_EQUAL(kMaxTotalRuns, workers.Begun("/send/fatal").size());
}

// Nodes that were notified while the store was unavailable write the crash to the store once it is
// back: the worker's node and most of the notified nodes have been killed by then.
TEST(CrashingRequests, NotifiedNodesWriteCrashToStore) {
  Fleet fleet({"other", "other", "other", "plain", "plain"});
  fleet.Start();
  CrashingWorkers workers(fleet);
  fleet.store.set_fault(FakeStore::Fault::kRefuse);
  fleet.Request(0, "POST", "/send/fatal", "order 666");
  RunFor(fleet.loop, milliseconds(600));
  const size_t worker_node = workers.LastNode("/send/fatal");
  fleet.Kill(worker_node);
  fleet.Kill(0);
  fleet.Kill(1);
  fleet.store.set_fault(FakeStore::Fault::kNone);
  CHECK(RunUntil(fleet.loop, [&] { return workers.AllUp(); }));
  for (const size_t node : {worker_node, size_t{0}, size_t{1}}) fleet.Restart(node);
  RunFor(fleet.loop, milliseconds(3500));
  SendRepeatedly(fleet, {"POST", "/send/fatal", "order 666", {}});
  CHECK_COMPARE(workers.Begun("/send/fatal").size(), <=, kMaxTotalRuns);
}

// The machine of the third worker is lost with it, so that no node counts that crash.
TEST(CrashingRequests, UncountedCrashCausesNoFurtherRun) {
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
  CHECK_COMPARE(workers.BegunAfterThird("/send/fatal", kQuarantineDelay), <=, kMaxLaterRuns);
  CHECK_COMPARE(workers.Begun("/send/fatal").size(), <=, kMaxTotalRuns);
}

// Requests that wait for the owner of their key are forwarded to it at the same time.
TEST(CrashingRequests, RunsOfSuspectRequestAreSerializedPerWorker) {
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
  RunFor(fleet.loop, kObservationTime);
  first.Finish();
  second.Finish();
  // Nothing is known about the request before the first crash.
  CHECK_COMPARE(workers.Begun("/keyed/fatal").size() - at_first, <=, kMaxTotalRuns - 1);
}

// The receiving node knows of successful runs of the request; the nodes of the workers that get the
// key next have seen none.
TEST(CrashingRequests, FrequentRequestIsServedAfterEachCrash) {
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
    CheckTenRequestsServed(fleet, 0);
  }
  RunFor(fleet.loop, milliseconds(500));
  CheckTenRequestsServed(fleet, 1);
}

// The store does not answer: for seconds a node cannot find out whether a trial run may begin.
TEST(CrashingRequests, RequestIsRefusedAtOnceWhenItsTrialCannotBeCounted) {
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

// Workers that state in their responses how many requests per second they accept.

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <vector>

#include "tests/common/most_within.h"
#include "tests/event/loop_runner.h"
#include "tests/platform_adapter/fleet.h"

using namespace runshelf;
using namespace runshelf::platform_adapter;
using event::RunFor;
using event::RunUntil;

namespace {

constexpr double kLimit = 20;
constexpr Duration kSecond = std::chrono::seconds(1);
// Between two requests of the test.
constexpr Duration kRequestInterval = std::chrono::milliseconds(4);
// Callers may exceed a stated limit by half, and by five requests, within each period.
constexpr double kToleratedFactor = 1.5;
constexpr double kToleratedRequests = 5;

}  // namespace

TEST_GROUP(WorkerLimit) {
  std::unique_ptr<Fleet> fleet;
  std::vector<Instant> arrivals;     // At the worker of the first node.
  std::optional<std::string> limit;  // Stated by that worker.
  std::vector<std::unique_ptr<Fleet::PendingRequest>> requests;

  void Start(const std::vector<std::string>& services) {
    fleet = std::make_unique<Fleet>(services);
    for (Fleet::Node& node : fleet->nodes) node.worker->set_slots(100);
    fleet->Start();
    StateLimits();
  }
  // Lets the worker of the first node record arrivals and state the limit in its responses.
  void StateLimits() {
    fleet->nodes[0].worker->set_slots(100);
    fleet->nodes[0].worker->set_behaviour([this](const http::ExchangePtr& exchange) {
      arrivals.push_back(fleet->loop.Now());
      http::Headers headers = RunHeaders(exchange);
      if (limit.has_value()) headers.Add("Server-Limit", *limit);
      exchange->Respond(200, headers, "");
    });
  }
  // Sends requests through all nodes in turn, without waiting for their answers.
  void SendFor(Duration time, const std::string& target = "/read/x") {
    const Instant end = fleet->loop.Now() + time;
    while (fleet->loop.Now() < end) {
      http::Headers headers;
      headers.Add("Shard-Key", std::to_string(requests.size() * 4096 % 65536));
      requests.push_back(
          fleet->Begin(requests.size() % fleet->nodes.size(), "GET", target, "", headers));
      const Instant next = fleet->loop.Now() + kRequestInterval;
      RunUntil(fleet->loop, [&] { return fleet->loop.Now() >= next; });
    }
    RunFor(fleet->loop, std::chrono::milliseconds(100));
  }
  // Number of requests since `first` that were answered with `status`.
  size_t Answered(int status, size_t first = 0) const {
    return static_cast<size_t>(std::count_if(requests.begin() + static_cast<std::ptrdiff_t>(first),
                                             requests.end(), [&](const auto& request) {
                                               return request->answer.has_value() &&
                                                      request->answer->status == status;
                                             }));
  }
  void CheckWithinLimit() {
    const auto tolerated = static_cast<size_t>(kLimit * kToleratedFactor + kToleratedRequests);
    const size_t most = MostWithin(kSecond, arrivals);
    CHECK_TEXT(most <= tolerated, fmt::format("{} requests in a second", most).c_str());
    CHECK(most >= static_cast<size_t>(kLimit / 2));
  }
  void teardown() override {
    requests.clear();
    fleet.reset();
  }
};

// Guards against a worker that gets several times the requests that it says it takes.
TEST(WorkerLimit, AWorkerGetsNoMoreRequestsThanItStates) {
  Start({"plain", "other"});
  SendFor(std::chrono::milliseconds(300));
  limit = fmt::format("{:.1f}", kLimit);
  SendFor(std::chrono::milliseconds(500));
  arrivals.clear();
  const size_t first = requests.size();
  SendFor(std::chrono::milliseconds(2500));
  CheckWithinLimit();
  // What the worker does not take is refused at once, with a time to come back.
  CHECK_EQUAL(requests.size() - first, Answered(200, first) + Answered(503, first));
  CHECK(Answered(503, first) > 0);
  for (const auto& request : requests) {
    const auto& answer = request->answer;
    CHECK(!answer.has_value() || answer->status != 503 || answer->headers.Has("Retry-After"));
  }
}

// Guards against the same where only one worker may run a request, as it holds the key.
TEST(WorkerLimit, AWorkerThatHoldsKeysGetsNoMoreRequestsThanItStates) {
  Start({"keyed", "other"});
  limit = fmt::format("{:.1f}", kLimit);
  SendFor(std::chrono::milliseconds(500), "/keyed/1");
  arrivals.clear();
  SendFor(std::chrono::milliseconds(2500), "/keyed/1");
  CheckWithinLimit();
}

// Guards against callers that are refused because of one worker while another has room.
TEST(WorkerLimit, AnotherWorkerServesWhatTheLimitedOneDoesNotTake) {
  Start({"plain", "plain"});
  limit = fmt::format("{:.1f}", kLimit);
  SendFor(std::chrono::milliseconds(500));
  arrivals.clear();
  const size_t first = requests.size();
  SendFor(std::chrono::seconds(2));
  CHECK(MostWithin(kSecond, arrivals) <=
        static_cast<size_t>(kLimit * kToleratedFactor + kToleratedRequests));
  CHECK_EQUAL(requests.size() - first, Answered(200, first));
}

// Guards against a limit that stays in force after the worker has stopped stating it.
TEST(WorkerLimit, TheLimitEndsWithTheFirstAnswersThatDoNotStateIt) {
  Start({"plain", "other"});
  limit = fmt::format("{:.1f}", kLimit);
  SendFor(std::chrono::milliseconds(800));
  limit.reset();
  SendFor(std::chrono::milliseconds(300));
  arrivals.clear();
  const size_t first = requests.size();
  SendFor(std::chrono::milliseconds(500));
  CHECK_EQUAL(requests.size() - first, Answered(200, first));
}

// Guards against a worker that never gets a request again, and so can never raise its limit.
TEST(WorkerLimit, AWorkerThatTakesNothingIsAskedNowAndThen) {
  Start({"plain", "other"});
  limit = "0";
  SendFor(std::chrono::milliseconds(500));
  arrivals.clear();
  SendFor(std::chrono::milliseconds(2500));
  CHECK(!arrivals.empty());
  CHECK(arrivals.size() <= static_cast<size_t>(kToleratedRequests));
}

// Guards against a restarted node that sends as much as it can until the first answers arrive.
TEST(WorkerLimit, ARestartedNodeLearnsTheLimitFromAHealthCheck) {
  Start({"plain", "other"});
  limit = fmt::format("{:.1f}", kLimit);
  FakeWorker& worker = *fleet->nodes[0].worker;
  worker.set_health_limit(*limit);
  worker.set_heartbeats_cut(true);
  std::vector<http::ExchangePtr> running;
  worker.set_behaviour([&](const http::ExchangePtr& exchange) {
    arrivals.push_back(fleet->loop.Now());
    running.push_back(exchange);
  });
  fleet->Restart(0);
  CHECK(RunUntil(fleet->loop, [&] { return fleet->nodes[0].sidecar->ready(); }));
  RunFor(fleet->loop, std::chrono::milliseconds(300));
  // Until the first heartbeat, one request at a time is sent.
  worker.set_heartbeats_cut(false);
  RunFor(fleet->loop, std::chrono::milliseconds(300));
  SendFor(std::chrono::seconds(1));
  CHECK(!arrivals.empty());
  CHECK(arrivals.size() <= static_cast<size_t>(kLimit * kToleratedFactor + kToleratedRequests));
}

// Guards against a limit of a former worker that binds the next one at its address.
TEST(WorkerLimit, TheNextWorkerAtTheAddressIsNotLimited) {
  Start({"plain", "other"});
  limit = fmt::format("{:.1f}", kLimit);
  SendFor(std::chrono::milliseconds(800));
  fleet->ReplaceWorker(0, "next");
  limit.reset();
  StateLimits();
  int status = 0;
  for (int request = 0; status != 200 && request < 100; ++request) {
    const auto answer = fleet->Request(0, "GET", "/read/x", "");
    status = answer.has_value() ? answer->status : 0;
    RunFor(fleet->loop, std::chrono::milliseconds(20));
  }
  LONGS_EQUAL(200, status);
  RunFor(fleet->loop, std::chrono::milliseconds(200));
  const size_t first = requests.size();
  SendFor(std::chrono::milliseconds(400));
  CHECK_EQUAL(requests.size() - first, Answered(200, first));
}

// Guards against malformed limits that stop a worker or release it.
TEST(WorkerLimit, AMalformedLimitChangesNothing) {
  Start({"plain", "other"});
  for (const char* text : {"", "many", "-3", "nan", "inf", "1e9x", "20,5"}) {
    limit = text;
    const size_t first = requests.size();
    SendFor(std::chrono::milliseconds(100));
    CHECK_EQUAL(requests.size() - first, Answered(200, first));
  }
}

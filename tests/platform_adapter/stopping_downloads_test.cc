// Large answers that are on their way to a client while the node that the client is connected to is
// stopped.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "tests/event/loop_runner.h"
#include "tests/http/raw_client.h"
#include "tests/platform_adapter/fleet.h"

using namespace runshelf;
using namespace runshelf::platform_adapter;
using event::RunFor;
using event::RunUntil;
using http::RawClient;

namespace {

constexpr size_t kWorkerNode = 0;
constexpr size_t kStoppingNode = 1;
constexpr size_t kBusyNode = 2;
constexpr double kLinkBytesPerSecond = 1.25e6;
constexpr Duration kDeadline = std::chrono::seconds(6);
constexpr int kSlots = 30;

// Answers requests for "/pull/BYTES/MILLISECONDS" with that many bytes after that time.
class DownloadWorker {
 public:
  DownloadWorker(event::EventLoop& loop, FakeWorker& worker) : loop_(loop) {
    worker.set_slots(kSlots);
    worker.set_behaviour([this](const http::ExchangePtr& exchange) { Run(exchange); });
  }

  static std::string Target(size_t bytes, int milliseconds) {
    return "/pull/" + std::to_string(bytes) + "/" + std::to_string(milliseconds);
  }

 private:
  void Run(const http::ExchangePtr& exchange) {
    const std::string& target = exchange->request().head.target;
    const size_t bytes = std::stoul(target.substr(std::string("/pull/").size()));
    const int milliseconds = std::stoi(target.substr(target.rfind('/') + 1));
    timers_.push_back(std::make_unique<event::Timer>(
        loop_, [exchange, bytes] { AnswerRun(exchange, 200, std::string(bytes, 'x')); }));
    timers_.back()->Start(std::chrono::milliseconds(milliseconds));
  }

  event::EventLoop& loop_;
  std::vector<std::unique_ptr<event::Timer>> timers_;
};

std::unique_ptr<Fleet::PendingRequest> BeginDownload(Fleet& fleet, size_t node, size_t bytes,
                                                     int run_milliseconds,
                                                     Duration deadline = kDeadline) {
  http::Headers headers;
  headers.Add("Deadline-Ms", std::to_string(ToMilliseconds(deadline)));
  return fleet.Begin(node, "GET", DownloadWorker::Target(bytes, run_milliseconds), "", headers,
                     deadline + std::chrono::milliseconds(500));
}

// Clients of one node that ask for more than the link of the worker's node carries. What cannot be
// answered in time is refused, so that all that is admitted can meet its target.
class SteadyDownloads {
 public:
  SteadyDownloads(Fleet& fleet, size_t node)
      : fleet_(fleet), timer_(fleet.loop, [this, node] {
          requests_.push_back(BeginDownload(fleet_, node, kBytes, kRunMilliseconds));
        }) {
    timer_.Start(kInterval, /*repeating=*/true);
  }

  size_t completed() const {
    return std::count_if(requests_.begin(), requests_.end(), [](const auto& request) {
      return request->answer.has_value() && request->answer->status == 200;
    });
  }

 private:
  static constexpr size_t kBytes = 100000;
  static constexpr int kRunMilliseconds = 100;
  static constexpr Duration kInterval = std::chrono::milliseconds(50);

  Fleet& fleet_;
  event::Timer timer_;
  std::vector<std::unique_ptr<Fleet::PendingRequest>> requests_;
};

// Value of a metric without labels; zero when the page has none of this name.
double MetricValue(const std::string& page, const std::string& name) {
  const size_t line = page.find("\n" + name + " ");
  return line == std::string::npos ? 0 : std::stod(page.substr(line + name.size() + 2));
}

}  // namespace

TEST_GROUP(StoppingDownloads) {
  std::unique_ptr<Fleet> fleet;
  std::unique_ptr<DownloadWorker> worker;
  bool stopped = false;

  void setup() override {
    fleet = std::make_unique<Fleet>(std::vector<std::string>{"plain", "other", "other"});
    fleet->nodes[kWorkerNode].settings.link_bytes_per_second = kLinkBytesPerSecond;
    worker = std::make_unique<DownloadWorker>(fleet->loop, *fleet->nodes[kWorkerNode].worker);
    fleet->Start();
  }
  void teardown() override {
    // Its timers belong to the loop of the fleet.
    worker.reset();
    fleet.reset();
  }

  void Stop(size_t node) {
    fleet->nodes[node].sidecar->Stop([this] { stopped = true; });
  }
  static void ExpectComplete(const Fleet::PendingRequest& download, size_t bytes) {
    CHECK(download.over);
    CHECK(download.answer.has_value());
    CHECK_EQUAL(200, download.answer->status);
    CHECK_EQUAL(bytes, download.answer->body.size());
  }
  // The process ends as soon as it is ready to.
  void WaitUntilEnded(size_t node) {
    CHECK(RunUntil(
        fleet->loop, [&] { return stopped; }, std::chrono::seconds(7)));
    fleet->Kill(node);
  }
};

// Guards against an accepted download that is cut at the end of a stop: the worker had run it, but
// the worker's node wrote nothing of an answer that had missed its target, for as long as newer
// answers kept the link full.
TEST(StoppingDownloads, LateAnswerIsCompletedBeforeTheStoppingNodeEnds) {
  Stop(kStoppingNode);
  RunFor(fleet->loop, std::chrono::milliseconds(1500));
  const auto download = BeginDownload(*fleet, kStoppingNode, 200000, /*run_milliseconds=*/900);
  RunFor(fleet->loop, std::chrono::milliseconds(100));
  const SteadyDownloads others(*fleet, kBusyNode);
  WaitUntilEnded(kStoppingNode);
  RunFor(fleet->loop, std::chrono::milliseconds(100));
  ExpectComplete(*download, 200000);
  // The test is meaningful only if the link was full.
  CHECK(others.completed() > 10);
}

// As above, for an answer that was partly written before newer ones took the link.
TEST(StoppingDownloads, BegunAnswerIsCompletedBeforeTheStoppingNodeEnds) {
  Stop(kStoppingNode);
  RunFor(fleet->loop, std::chrono::milliseconds(1000));
  const auto download = BeginDownload(*fleet, kStoppingNode, 1000000, /*run_milliseconds=*/100);
  RunFor(fleet->loop, std::chrono::milliseconds(300));
  const SteadyDownloads others(*fleet, kBusyNode);
  WaitUntilEnded(kStoppingNode);
  RunFor(fleet->loop, std::chrono::milliseconds(100));
  ExpectComplete(*download, 1000000);
  CHECK(others.completed() > 10);
}

// Guards against an answer that is in no hurry at the worker's node, since the deadline of its
// request is later than the end of the node that the client is connected to.
TEST(StoppingDownloads, AnswerToRequestAcceptedLastIsCompletedBeforeTheStoppingNodeEnds) {
  Stop(kStoppingNode);
  RunFor(fleet->loop, std::chrono::milliseconds(2150));
  const auto download = BeginDownload(*fleet, kStoppingNode, 500000, /*run_milliseconds=*/900);
  RunFor(fleet->loop, std::chrono::milliseconds(100));
  const SteadyDownloads others(*fleet, kBusyNode);
  WaitUntilEnded(kStoppingNode);
  RunFor(fleet->loop, std::chrono::milliseconds(100));
  ExpectComplete(*download, 500000);
  CHECK(others.completed() > 10);
}

// Guards against an answer that waits for the link longer than its client's node lives, because the
// node was asked to stop only after it had sent the request with a deadline far in the future.
TEST(StoppingDownloads, AnswerWithDistantDeadlineIsCompletedWhenTheStopBeginsLater) {
  const auto download = BeginDownload(*fleet, kStoppingNode, 200000, /*run_milliseconds=*/900,
                                      std::chrono::seconds(20));
  RunFor(fleet->loop, std::chrono::milliseconds(100));
  Stop(kStoppingNode);
  const SteadyDownloads others(*fleet, kBusyNode);
  WaitUntilEnded(kStoppingNode);
  RunFor(fleet->loop, std::chrono::milliseconds(100));
  ExpectComplete(*download, 200000);
  CHECK(others.completed() > 10);
}

// Guards against accepting a download, on a route with a target of many seconds, that the link
// cannot carry before the client's node ends if it is asked to stop.
TEST(StoppingDownloads, DownloadThatWouldOutlastAStopIsRefused) {
  constexpr size_t kEarlierDownloads = 20;
  constexpr size_t kBytes = 500000;
  std::string configuration = TestConfiguration(2, "plain");
  const std::string target_latency = "\"download\",20000,1000,";
  const size_t found = configuration.find(target_latency);
  CHECK(found != std::string::npos);
  configuration.replace(found, target_latency.size(), "\"download\",20000,10000,");
  fleet->store.Put("op/config", configuration);
  RunFor(fleet->loop, std::chrono::milliseconds(300));
  constexpr Duration kDistantDeadline = std::chrono::seconds(20);
  std::vector<std::unique_ptr<Fleet::PendingRequest>> earlier;
  for (size_t count = 0; count < kEarlierDownloads; ++count) {
    earlier.push_back(BeginDownload(*fleet, kBusyNode, kBytes, 100, kDistantDeadline));
  }
  RunFor(fleet->loop, std::chrono::milliseconds(500));
  const auto download = BeginDownload(*fleet, kStoppingNode, kBytes, 100, kDistantDeadline);
  RunFor(fleet->loop, std::chrono::milliseconds(50));
  Stop(kStoppingNode);
  WaitUntilEnded(kStoppingNode);
  CHECK(download->over);
  CHECK(download->answer.has_value());
  CHECK_EQUAL(503, download->answer->status);
}

TEST_GROUP(StoppingSlowReaders){};

// Guards against an answer that a stopping node has taken from the worker and that its client has
// not read to the end when the process exits: the client gets part of it and a closed connection.
TEST(StoppingSlowReaders, StoppingNodeSendsWhatItsClientsHaveNotReadYet) {
  constexpr size_t kPieceBytes = size_t{64} * 1024;
  constexpr double kUnsentBytes = 100e3;
  constexpr Duration kReaderPause = std::chrono::seconds(3);
  Fleet fleet({"plain", "other"});
  fleet.nodes[1].settings.metrics = event::Endpoint{fleet.nodes[1].settings.ip_address, 29465};
  fleet.Start();
  std::vector<http::ExchangePtr> held;
  fleet.nodes[0].worker->set_behaviour([&](const http::ExchangePtr& exchange) {
    exchange->Start(200, RunHeaders(exchange), std::nullopt);
    held.push_back(exchange);
  });
  RawClient client(*fleet.nodes[1].settings.outbound);
  client.Send(
      "GET /pull/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 6000\r\n\r\n");
  CHECK(RunUntil(fleet.loop, [&] { return held.size() == 1; }));
  // The operating system takes an unknown part of the answer for a client that does not read.
  size_t written = 0;
  while (MetricValue(fleet.Metrics(1), "runshelf_unsent_answer_bytes") < kUnsentBytes) {
    held[0]->WriteBody(std::string(kPieceBytes, 'x'));
    written += kPieceBytes;
    CHECK(written < 100 * kPieceBytes);
  }
  held[0]->Finish();
  RunFor(fleet.loop, std::chrono::milliseconds(50));
  bool stopped = false;
  fleet.nodes[1].sidecar->Stop([&] { stopped = true; });
  const Instant reads_from = fleet.loop.Now() + kReaderPause;
  std::string text;
  bool ended = false;
  RunUntil(fleet.loop, [&] {
    if (stopped && fleet.nodes[1].sidecar != nullptr) fleet.Kill(1);
    if (fleet.loop.Now() >= reads_from) text += client.Receive(&ended);
    return ended || text.ends_with("\r\n0\r\n\r\n");
  });
  CHECK_TEXT(text.ends_with("\r\n0\r\n\r\n"), fleet.Log().c_str());
  CHECK(text.size() > written);
  CHECK(RunUntil(fleet.loop, [&] { return stopped; }));
}

// Clients that send further requests to a node before the first has been answered.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
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

std::string Request(const std::string& method, const std::string& target, const std::string& id,
                    int deadline_ms = 1500) {
  return method + " " + target + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id +
         "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\nContent-Length: 0\r\n\r\n";
}

}  // namespace

// The worker of the first node holds its requests until a test answers them.
TEST_GROUP(NodePipelining) {
  std::unique_ptr<Fleet> fleet;
  std::vector<http::ExchangePtr> held;
  size_t cancelled = 0;

  void setup() override {
    fleet = std::make_unique<Fleet>(std::vector<std::string>{"plain", "other"});
    fleet->Start();
    fleet->nodes[0].worker->set_behaviour([this](const http::ExchangePtr& exchange) {
      exchange->set_on_client_gone([this] { ++cancelled; });
      held.push_back(exchange);
    });
  }
  void teardown() override {
    held.clear();
    fleet.reset();
  }

  RawClient Connect(size_t node) { return RawClient(*fleet->nodes[node].settings.outbound); }

  // Waits for `count` requests at the worker, and a moment longer for any that should not begin.
  void ExpectAtWorker(size_t count) {
    CHECK(RunUntil(fleet->loop, [&] { return held.size() >= count; }));
    RunFor(fleet->loop, std::chrono::milliseconds(30));
    CHECK_EQUAL(count, held.size());
  }
  void AnswerPath(const std::string& path) {
    const auto found = std::find_if(
        held.begin(), held.end(),
        [&](const http::ExchangePtr& exchange) { return exchange->request().head.target == path; });
    CHECK(found != held.end());
    AnswerRun(*found, 200, path);
  }
  std::string ReadUntil(RawClient * client, const std::string& end) {
    std::string text;
    bool ended = false;
    RunUntil(fleet->loop, [&] {
      text += client->Receive(&ended);
      return ended || text.find(end) != std::string::npos;
    });
    return text;
  }
};

// Guards against lookups that wait on their connection while workers are free, and against a
// request that must not run twice beside others of its connection.
TEST(NodePipelining, RepeatableRequestsRunTogetherAndOthersAlone) {
  RawClient client = Connect(1);
  client.Send(Request("GET", "/read/1", "a1") + Request("GET", "/read/2", "a2") +
              Request("POST", "/send/3", "a3") + Request("GET", "/read/4", "a4"));
  ExpectAtWorker(2);
  AnswerPath("/read/2");
  RunFor(fleet->loop, std::chrono::milliseconds(30));
  AnswerPath("/read/1");
  const std::string text = ReadUntil(&client, "\r\n\r\n/read/2");
  CHECK(text.find("\r\n\r\n/read/1") < text.find("\r\n\r\n/read/2"));
  ExpectAtWorker(3);
  STRCMP_EQUAL("/send/3", held[2]->request().head.target.c_str());
  AnswerPath("/send/3");
  ExpectAtWorker(4);
}

// Guards against a run for a caller whose deadline passed while its request waited on its
// connection.
TEST(NodePipelining, TheDeadlineOfARequestThatWaitsRunsFromItsArrival) {
  RawClient client = Connect(1);
  client.Send(Request("POST", "/send/1", "a1") + Request("GET", "/read/2", "a2", 100));
  ExpectAtWorker(1);
  RunFor(fleet->loop, std::chrono::milliseconds(150));
  AnswerPath("/send/1");
  CHECK(ReadUntil(&client, " 503 ").find(" 503 ") != std::string::npos);
  CHECK_EQUAL(1, held.size());
}

// Guards against late answers that neither the log nor the metrics of the node know of.
TEST(NodePipelining, AnAnswerThatIsLateBehindASlowOneIsLogged) {
  RawClient client = Connect(1);
  client.Send(Request("GET", "/read/1", "slow") + Request("GET", "/read/2", "behind"));
  ExpectAtWorker(2);
  AnswerPath("/read/2");
  RunFor(fleet->loop, std::chrono::milliseconds(1050));
  AnswerPath("/read/1");
  ReadUntil(&client, "\r\n\r\n/read/2");
  const std::string log = fleet->Log();
  const size_t line = log.find("event=request_served_late request=behind");
  CHECK(line != std::string::npos);
  CHECK(log.find("reason=behind-slow-answer", line) < log.find('\n', line));
}

// Guards against work for a client that has left.
TEST(NodePipelining, AClientThatLeavesCancelsAllItsRequestsAtTheWorkers) {
  RawClient client = Connect(1);
  client.Send(Request("GET", "/read/1", "a1") + Request("GET", "/read/2", "a2") +
              Request("GET", "/read/3", "a3"));
  ExpectAtWorker(3);
  client.Close();
  CHECK(RunUntil(
      fleet->loop, [&] { return cancelled == 3; }, std::chrono::milliseconds(400)));
}

// Guards against a planned stop that cuts requests in progress.
TEST(NodePipelining, AStoppingNodeAnswersAllRequestsInProgress) {
  RawClient client = Connect(1);
  client.Send(Request("GET", "/read/1", "a1") + Request("GET", "/read/2", "a2"));
  ExpectAtWorker(2);
  bool stopped = false;
  fleet->nodes[1].sidecar->Stop([&] { stopped = true; });
  RunFor(fleet->loop, std::chrono::milliseconds(100));
  AnswerPath("/read/2");
  AnswerPath("/read/1");
  const std::string text = ReadUntil(&client, "\r\n\r\n/read/2");
  CHECK(text.find("\r\n\r\n/read/1") < text.find("\r\n\r\n/read/2"));
  CHECK_EQUAL(0, cancelled);
}

// Guards against a worker's calls that occupy other workers all at once.
TEST(NodePipelining, CallsOfAWorkerDoNotOverlap) {
  RawClient client = Connect(0);
  const auto parent = fleet->Begin(0, "GET", "/read/parent", "", [] {
    http::Headers headers;
    headers.Add("Attempt-Id", "parent");
    return headers;
  }());
  ExpectAtWorker(1);
  client.Send(Request("GET", "/read/1", "parent.1") + Request("GET", "/read/2", "parent.2"));
  ExpectAtWorker(2);
  AnswerPath("/read/1");
  ExpectAtWorker(3);
}

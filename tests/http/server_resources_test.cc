// Servers whose clients take more memory or connections than there are.

#include "source/http/server_resources.h"

#include <CppUTest/TestHarness.h>

#include <list>
#include <optional>

#include "source/http/receive_progress.h"
#include "source/http/server.h"
#include "tests/event/loop_runner.h"
#include "tests/http/raw_client.h"

using namespace runshelf;
using namespace runshelf::http;
using event::RunFor;
using event::RunUntil;
using std::chrono::milliseconds;

namespace {

constexpr size_t kKilobyte = 1024;

std::string Post(size_t length, size_t sent) {
  return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" +
         std::string(sent, 'x');
}

}  // namespace

TEST_GROUP(ServerResources) {
  event::EventLoop loop;
  std::optional<ServerResources> resources;
  std::vector<ExchangePtr> exchanges;
  std::optional<Server> server;
  std::list<RawClient> clients;

  void Start(const ResourceLimits& limits) {
    resources.emplace(loop, limits);
    server.emplace(loop, [this](const ExchangePtr& exchange) { exchanges.push_back(exchange); });
    server->set_resources(&*resources);
    server->set_refusal_headers([](int status) {
      Headers headers;
      if (status == 503) headers.Add("Retry-After", "1");
      return headers;
    });
    CHECK_EQUAL(0, server->Listen({"127.0.0.1", 0}));
  }

  void teardown() override {
    exchanges.clear();
    clients.clear();
  }

  RawClient& Connect(const std::string& bytes) {
    RawClient& client = clients.emplace_back(server->bound_port());
    client.Send(bytes);
    RunFor(loop, milliseconds(20));
    return client;
  }

  // Everything that the server sends until it closes the connection.
  std::string ReadAll(RawClient & client) {
    std::string text;
    bool ended = false;
    CHECK(RunUntil(loop, [&] {
      text += client.Receive(&ended);
      return ended;
    }));
    return text;
  }

  bool Closed(RawClient & client) {
    bool ended = false;
    client.Receive(&ended);
    return ended;
  }
};

// Guards against a client that is told nothing, or to stay away, for want of memory.
TEST(ServerResources, ABodyThatDoesNotFitIsRefusedWithItsHead) {
  Start({1024 * kKilobyte, 0});
  Connect(Post(500 * kKilobyte, 100));
  RawClient& second = Connect(Post(500 * kKilobyte, 100));
  const std::string answer = ReadAll(second);
  CHECK(answer.find("HTTP/1.1 503 ") == 0);
  CHECK(answer.find("Retry-After: 1\r\n") != std::string::npos);
  CHECK(answer.find("Connection: close\r\n") != std::string::npos);
  CHECK_EQUAL(1, resources->counts().requests_refused);
  Connect(Post(100, 100));
  CHECK_EQUAL(1, exchanges.size());
}

// Guards against clients that stop before the end of their bodies and keep others out.
TEST(ServerResources, AStalledRequestMakesRoom) {
  Start({1024 * kKilobyte, 0});
  RawClient& stalled = Connect(Post(500 * kKilobyte, 400 * kKilobyte));
  RunFor(loop, ReceiveProgress::kMaxDetectionTime);
  Connect(Post(500 * kKilobyte, 0));
  CHECK(ReadAll(stalled).find("HTTP/1.1 408 ") == 0);
  CHECK_EQUAL(1, resources->counts().requests_dropped);
  CHECK_EQUAL(0, resources->counts().requests_refused);
  CHECK(resources->memory()->used() < 510 * kKilobyte);
}

// Guards against memory of requests at work that counts as free.
TEST(ServerResources, ARequestIsChargedUntilItIsDone) {
  Start({1024 * kKilobyte, 0});
  Connect(Post(200 * kKilobyte, 200 * kKilobyte));
  CHECK(RunUntil(loop, [&] { return exchanges.size() == 1; }));
  CHECK(resources->memory()->used() >= 200 * kKilobyte);
  exchanges[0]->Respond(200, {}, "");
  exchanges.clear();
  CHECK_EQUAL(0, resources->memory()->used());
}

// Guards against a refusal that overtakes the answers to earlier requests of the connection.
TEST(ServerResources, AnswersBeforeARefusalAreSent) {
  Start({1024 * kKilobyte, 0});
  Connect(Post(600 * kKilobyte, 0));
  RawClient& client = Connect(Post(3, 3) + Post(500 * kKilobyte, 10));
  CHECK_EQUAL(1, exchanges.size());
  exchanges[0]->Respond(200, {}, "first");
  const std::string answers = ReadAll(client);
  CHECK(answers.find("HTTP/1.1 200 OK\r\n") == 0);
  CHECK(answers.find("first") < answers.find("HTTP/1.1 503 "));
  CHECK(answers.find("HTTP/1.1 503 ") != std::string::npos);
}

// Guards against silent connections that keep others out.
TEST(ServerResources, TheOldestUnusedConnectionMakesRoom) {
  Start({0, 3});
  RawClient& first = Connect("");
  RawClient& second = Connect("GET / HT");
  RawClient& third = Connect("");
  RawClient& fourth = Connect("GET / HTTP/1.1\r\n\r\n");
  CHECK(Closed(first));
  CHECK_FALSE(Closed(second));
  CHECK_FALSE(Closed(third));
  CHECK_FALSE(Closed(fourth));
  CHECK_EQUAL(1, exchanges.size());
  CHECK_EQUAL(3, resources->connections());
  CHECK_EQUAL(1, resources->counts().connections_closed);
}

// Guards against requests at work that are cut to make room for connections.
TEST(ServerResources, ConnectionsAtWorkAndThenIdleOnesGoLast) {
  Start({0, 3});
  RawClient& working = Connect("GET /1 HTTP/1.1\r\n\r\n");
  RawClient& idle = Connect("GET /2 HTTP/1.1\r\n\r\n");
  exchanges[1]->Respond(200, {}, "");
  RawClient& unused = Connect("");
  Connect("");
  CHECK(Closed(unused));
  RunFor(loop, milliseconds(10));
  Connect("GET /3 HTTP/1.1\r\n\r\n");
  Connect("GET /4 HTTP/1.1\r\n\r\n");
  std::string text = ReadAll(idle);
  CHECK(text.find("HTTP/1.1 200 OK\r\n") == 0);
  RawClient& refused = Connect("GET /5 HTTP/1.1\r\n\r\n");
  CHECK(Closed(refused));
  CHECK_FALSE(Closed(working));
  CHECK_EQUAL(4, exchanges.size());
}

// Guards against requests of other nodes, which may not be sent again, that cross such a close.
TEST(ServerResources, IdleConnectionsStayWhereTheServerSaysSo) {
  Start({0, 1});
  server->limits().closes_idle = false;
  RawClient& idle = Connect("GET /1 HTTP/1.1\r\n\r\n");
  exchanges[0]->Respond(200, {}, "");
  RawClient& refused = Connect("");
  CHECK(Closed(refused));
  CHECK_FALSE(Closed(idle));
}

// Guards against descriptors that connections hold after their last answer.
TEST(ServerResources, ClosingConnectionsGoFirst) {
  Start({0, 2});
  RawClient& unused = Connect("");
  RawClient& refused = Connect("nonsense\r\n\r\n");
  Connect("GET / HTTP/1.1\r\n\r\n");
  CHECK(ReadAll(refused).find("HTTP/1.1 400 ") == 0);
  CHECK_FALSE(Closed(unused));
  CHECK_EQUAL(1, exchanges.size());
}

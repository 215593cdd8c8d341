#include "source/http/server.h"

#include <CppUTest/TestHarness.h>

#include <thread>

#include "tests/event/loop_runner.h"
#include "tests/http/raw_client.h"

using namespace runshelf;
using namespace runshelf::http;
using event::EventLoop;
using event::RunUntil;

TEST_GROUP(Server) {
  EventLoop loop;
  std::vector<ExchangePtr> exchanges;
  Server server{loop, [this](const ExchangePtr& exchange) { exchanges.push_back(exchange); }};

  void setup() override { CHECK_EQUAL(0, server.Listen({"127.0.0.1", 0})); }
  void teardown() override { exchanges.clear(); }

  std::string ReadUntil(RawClient * client, const std::string& end) {
    std::string text;
    bool ended = false;
    RunUntil(loop, [&] {
      text += client->Receive(&ended);
      return ended || text.find(end) != std::string::npos;
    });
    return text;
  }
};

TEST(Server, ACompleteRequestIsDispatchedAndAnswered) {
  RawClient client(server.bound_port());
  client.Send("POST /a?b=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab");
  event::RunFor(loop, std::chrono::milliseconds(20));
  CHECK(exchanges.empty());
  client.Send("c");
  CHECK(RunUntil(loop, [&] { return exchanges.size() == 1; }));
  const Request& request = exchanges[0]->request();
  STRCMP_EQUAL("POST", request.head.method.c_str());
  STRCMP_EQUAL("/a?b=1", request.head.target.c_str());
  STRCMP_EQUAL("abc", request.body.c_str());
  Headers headers;
  headers.Add("X", "y");
  exchanges[0]->Respond(200, headers, "ok");
  STRCMP_EQUAL("HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 2\r\n\r\nok",
               ReadUntil(&client, "\r\n\r\nok").c_str());
  CHECK_EQUAL(0, server.open_exchanges());
}

TEST(Server, AChunkedRequestIsJoined) {
  RawClient client(server.bound_port());
  client.Send(
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
  CHECK(RunUntil(loop, [&] { return exchanges.size() == 1; }));
  STRCMP_EQUAL("abc", exchanges[0]->request().body.c_str());
}

TEST(Server, TheNextRequestWaitsForTheAnswer) {
  RawClient client(server.bound_port());
  client.Send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  CHECK(RunUntil(loop, [&] { return exchanges.size() == 1; }));
  event::RunFor(loop, std::chrono::milliseconds(20));
  CHECK_EQUAL(1, exchanges.size());
  exchanges[0]->Respond(200, {}, "");
  CHECK(RunUntil(loop, [&] { return exchanges.size() == 2; }));
  STRCMP_EQUAL("/2", exchanges[1]->request().head.target.c_str());
}

TEST(Server, AStreamedAnswerWithoutALengthIsChunked) {
  RawClient client(server.bound_port());
  client.Send("GET / HTTP/1.1\r\n\r\n");
  CHECK(RunUntil(loop, [&] { return exchanges.size() == 1; }));
  exchanges[0]->Start(200, {}, std::nullopt);
  exchanges[0]->WriteBody("abc");
  exchanges[0]->Finish();
  STRCMP_EQUAL("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
               ReadUntil(&client, "0\r\n\r\n").c_str());
}

TEST(Server, AnAbortedAnswerDoesNotLookComplete) {
  RawClient client(server.bound_port());
  client.Send("GET / HTTP/1.1\r\n\r\n");
  CHECK(RunUntil(loop, [&] { return exchanges.size() == 1; }));
  exchanges[0]->Start(200, {}, std::nullopt);
  exchanges[0]->WriteBody("abc");
  exchanges[0]->Abort();
  const std::string text = ReadUntil(&client, "0\r\n\r\n");
  CHECK(text.find("0\r\n\r\n") == std::string::npos);
}

TEST(Server, AClientThatDisconnectsIsReported) {
  bool gone = false;
  RawClient client(server.bound_port());
  client.Send("GET / HTTP/1.1\r\n\r\n");
  CHECK(RunUntil(loop, [&] { return exchanges.size() == 1; }));
  exchanges[0]->set_on_client_gone([&] { gone = true; });
  client.Close();
  CHECK(RunUntil(loop, [&] { return gone; }));
  CHECK_FALSE(exchanges[0]->open());
  exchanges[0]->Respond(200, {}, "late");
  CHECK_EQUAL(0, server.open_exchanges());
  CHECK_EQUAL(0, server.connections());
}

TEST(Server, ADisconnectedClientIsSeenBeforeTheLoopProcessesTheEvent) {
  RawClient client(server.bound_port());
  client.Send("GET / HTTP/1.1\r\n\r\n");
  CHECK(RunUntil(loop, [&] { return exchanges.size() == 1; }));
  CHECK_FALSE(exchanges[0]->client_gone());
  client.Close();
  const Instant limit = loop.Now() + std::chrono::seconds(2);
  while (!exchanges[0]->client_gone() && loop.Now() < limit) std::this_thread::yield();
  CHECK(exchanges[0]->client_gone());
  CHECK(exchanges[0]->open());  // The event loop has not run.
}

TEST(Server, RequestsThatExceedALimitOrAreMalformedAreRefused) {
  server.limits().max_head_bytes = 200;
  server.limits().max_body_bytes = 4;
  server.limits().request_timeout = std::chrono::milliseconds(50);
  const std::pair<const char*, std::string> cases[] = {
      {"HTTP/1.1 431 ", "GET / HTTP/1.1\r\nX: " + std::string(300, 'x') + "\r\n\r\n"},
      {"HTTP/1.1 413 ", "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde"},
      {"HTTP/1.1 408 ", "GET / HTTP/1.1\r\nX: "},
      {"HTTP/1.1 400 ", "nonsense\r\n\r\n"},
      {"HTTP/1.1 400 ",
       "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
  };
  for (const auto& [expected, text] : cases) {
    RawClient client(server.bound_port());
    client.Send(text);
    const std::string answer = ReadUntil(&client, "\r\n\r\n");
    STRNCMP_EQUAL(expected, answer.c_str(), std::string(expected).size());
    CHECK(answer.find("Connection: close") != std::string::npos);
  }
  CHECK(exchanges.empty());
}

TEST(Server, AClosingServerAnswersWithConnectionClose) {
  RawClient client(server.bound_port());
  client.Send("GET / HTTP/1.1\r\n\r\n");
  CHECK(RunUntil(loop, [&] { return exchanges.size() == 1; }));
  exchanges[0]->Respond(200, {}, "");
  ReadUntil(&client, "\r\n\r\n");
  server.StartClosing();
  client.Send("GET / HTTP/1.1\r\n\r\n");
  CHECK(RunUntil(loop, [&] { return exchanges.size() == 2; }));
  exchanges[1]->Respond(200, {}, "");
  CHECK(ReadUntil(&client, "\r\n\r\n").find("Connection: close") != std::string::npos);
  bool ended = false;
  CHECK(RunUntil(loop, [&] {
    client.Receive(&ended);
    return ended;
  }));
}

TEST(Server, AnIdleConnectionIsClosed) {
  server.limits().idle_timeout = std::chrono::milliseconds(30);
  RawClient client(server.bound_port());
  bool ended = false;
  CHECK(RunUntil(loop, [&] {
    client.Receive(&ended);
    return ended;
  }));
}

TEST(Server, AnAnswerToHeadHasNoBody) {
  RawClient client(server.bound_port());
  client.Send("HEAD / HTTP/1.1\r\n\r\n");
  CHECK(RunUntil(loop, [&] { return exchanges.size() == 1; }));
  exchanges[0]->Respond(200, {}, "abc");
  STRCMP_EQUAL("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n",
               ReadUntil(&client, "\r\n\r\n").c_str());
}

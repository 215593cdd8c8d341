// Clients that send further requests before the first has been answered.

#include <CppUTest/TestHarness.h>

#include "source/http/server.h"
#include "tests/event/loop_runner.h"
#include "tests/http/raw_client.h"

using namespace runshelf;
using namespace runshelf::http;
using event::EventLoop;
using event::RunFor;
using event::RunUntil;

namespace {

std::string Get(const std::string& path) { return "GET " + path + " HTTP/1.1\r\n\r\n"; }

std::string Post(const std::string& path) {
  return "POST " + path + " HTTP/1.1\r\nContent-Length: 2\r\n\r\nab";
}

std::string Answer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

// GET requests may overlap.
TEST_GROUP(Pipelining) {
  EventLoop loop;
  std::vector<ExchangePtr> exchanges;
  std::vector<std::string> gone;  // Paths.
  Server server{loop, [this](const ExchangePtr& exchange) { OnRequest(exchange); }};

  void setup() override {
    CHECK_EQUAL(0, server.Listen({"127.0.0.1", 0}));
    server.set_may_overlap([](const RequestHead& head) { return head.method == "GET"; });
  }
  void teardown() override { exchanges.clear(); }

  void OnRequest(const ExchangePtr& exchange) {
    const RequestHead& head = exchange->request().head;
    if (head.method == "GET") exchange->AllowOverlap();
    exchange->set_on_client_gone([this, path = head.target] { gone.push_back(path); });
    exchanges.push_back(exchange);
  }

  const char* PathOf(size_t index) { return exchanges[index]->request().head.target.c_str(); }
  void Answer200(size_t index, const std::string& body) {
    exchanges[index]->Respond(200, {}, body);
  }

  // Waits for `count` requests, and a moment longer for any that should not begin.
  void ExpectBegun(size_t count) {
    CHECK(RunUntil(loop, [&] { return exchanges.size() >= count; }));
    RunFor(loop, std::chrono::milliseconds(20));
    CHECK_EQUAL(count, exchanges.size());
  }

  std::string ReadUntil(RawClient * client, const std::string& end) {
    std::string text;
    bool ended = false;
    RunUntil(loop, [&] {
      text += client->Receive(&ended);
      return ended || (!end.empty() && text.ends_with(end));
    });
    return text;
  }
  std::string ReadToEnd(RawClient * client) { return ReadUntil(client, ""); }
};

// Guards against requests that wait on their connection while workers are free.
TEST(Pipelining, RepeatableRequestsOverlapAndAreAnsweredInTheirOrder) {
  RawClient client(server.bound_port());
  client.Send(Get("/1") + Get("/2") + Get("/3"));
  ExpectBegun(3);
  CHECK_FALSE(exchanges[0]->waits_for_turn());
  CHECK(exchanges[1]->waits_for_turn());
  Answer200(2, "c");
  Answer200(1, "b");
  RunFor(loop, std::chrono::milliseconds(20));
  bool ended = false;
  STRCMP_EQUAL("", client.Receive(&ended).c_str());
  CHECK_EQUAL(3, server.open_exchanges());
  bool sent = false;
  exchanges[2]->set_on_sent([&] { sent = true; });
  Answer200(0, "a");
  CHECK(sent);
  STRCMP_EQUAL((Answer("a") + Answer("b") + Answer("c")).c_str(),
               ReadUntil(&client, "\r\n\r\nc").c_str());
  CHECK_EQUAL(0, server.open_exchanges());
  CHECK_EQUAL(2, server.overlap_counts().requests);
  CHECK_EQUAL(2, server.overlap_counts().held_answers);
  CHECK(exchanges[2]->held_for() >= std::chrono::milliseconds(20));
  CHECK(gone.empty());
}

// Guards against a deposit that runs beside, or before, the lookups sent ahead of it.
TEST(Pipelining, ARequestThatMustNotRunTwiceWaitsAndIsWaitedFor) {
  RawClient client(server.bound_port());
  client.Send(Get("/1") + Post("/2") + Get("/3"));
  ExpectBegun(1);
  Answer200(0, "");
  ExpectBegun(2);
  STRCMP_EQUAL("/2", PathOf(1));
  STRCMP_EQUAL("ab", exchanges[1]->request().body.c_str());
  Answer200(1, "");
  ExpectBegun(3);
  STRCMP_EQUAL("/3", PathOf(2));
}

// Guards against deadlines that forget the time a request has waited behind others.
TEST(Pipelining, ARequestThatWaitsWasReceivedWhenItArrived) {
  RawClient client(server.bound_port());
  client.Send(Post("/1") + Post("/2"));
  ExpectBegun(1);
  const Instant arrived_before = loop.Now();
  RunFor(loop, std::chrono::milliseconds(30));
  Answer200(0, "");
  ExpectBegun(2);
  CHECK(exchanges[1]->received() <= arrived_before);
}

// Guards against a client that sends without end while nothing is answered.
TEST(Pipelining, RequestsBeyondTheBoundsBeginOnceThereIsRoom) {
  constexpr size_t kRequests = 500;
  const std::string body(1000, 'x');
  RawClient client(server.bound_port());
  for (size_t count = 0; count < kRequests; ++count) {
    client.Send("GET /" + std::to_string(count) + " HTTP/1.1\r\nContent-Length: 1000\r\n\r\n" +
                body);
  }
  ExpectBegun(kMaxOverlappingRequests);
  for (size_t count = 0; count < kRequests; ++count) {
    CHECK(RunUntil(loop, [&] { return exchanges.size() > count; }));
    STRCMP_EQUAL(("/" + std::to_string(count)).c_str(), PathOf(count));
    Answer200(count, "");
  }
  CHECK_EQUAL(0, server.open_exchanges());
}

// Guards against a large answer that fills the memory of the node behind a slow one.
TEST(Pipelining, ALargeAnswerBehindAnotherIsUnsentUntilItsTurn) {
  RawClient client(server.bound_port());
  client.Send(Get("/1") + Get("/2") + Get("/3"));
  ExpectBegun(3);
  bool drained = false;
  exchanges[1]->set_on_drained([&] { drained = true; });
  exchanges[1]->Start(200, {}, 5);
  exchanges[1]->WriteBody("abc");
  CHECK(exchanges[1]->unsent_bytes() > 3);
  CHECK(exchanges[2]->unsent_bytes() > 3);
  CHECK_EQUAL(0, exchanges[0]->unsent_bytes());
  RunFor(loop, std::chrono::milliseconds(20));
  CHECK_FALSE(drained);
  Answer200(0, "");
  CHECK(RunUntil(loop, [&] { return drained; }));
  CHECK_EQUAL(0, exchanges[1]->unsent_bytes());
  exchanges[1]->WriteBody("de");
  exchanges[1]->Finish();
  STRCMP_EQUAL((Answer("") + Answer("abcde")).c_str(), ReadUntil(&client, "abcde").c_str());
}

// Guards against work for clients that have left.
TEST(Pipelining, AClientThatLeavesEndsAllItsRequestsOnce) {
  RawClient client(server.bound_port());
  client.Send(Get("/1") + Get("/2") + Get("/3") + Post("/4"));
  ExpectBegun(3);
  Answer200(2, "held");
  client.Close();
  CHECK(RunUntil(loop, [&] { return server.connections() == 0; }));
  CHECK_EQUAL(2, gone.size());
  for (const ExchangePtr& exchange : exchanges) {
    CHECK(exchange->client_gone());
    CHECK_FALSE(exchange->open());
  }
  CHECK_EQUAL(0, server.open_exchanges());
  CHECK_EQUAL(3, exchanges.size());
}

// Guards against a run for a request that the client sends again since its connection closes.
TEST(Pipelining, RequestsBehindAnAnswerThatClosesAreWithdrawn) {
  RawClient client(server.bound_port());
  client.Send(Get("/1") + Get("/2") + Get("/3") + Post("/4"));
  ExpectBegun(3);
  Answer200(2, "held");
  exchanges[0]->set_close_after(true);
  exchanges[0]->Start(200, {}, 1);
  CHECK_EQUAL(1, gone.size());
  STRCMP_EQUAL("/2", gone[0].c_str());
  CHECK(exchanges[1]->client_gone());
  CHECK_FALSE(exchanges[0]->client_gone());
  exchanges[0]->WriteBody("a");
  exchanges[0]->Finish();
  STRCMP_EQUAL("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\na",
               ReadToEnd(&client).c_str());
  CHECK_EQUAL(3, exchanges.size());
  CHECK_EQUAL(0, server.open_exchanges());
}

// Guards against the loss of complete answers before one that breaks off.
TEST(Pipelining, AnAnswerThatBreaksOffClosesTheConnectionAtItsTurn) {
  RawClient client(server.bound_port());
  client.Send(Get("/1") + Get("/2") + Get("/3"));
  ExpectBegun(3);
  exchanges[1]->Start(200, {}, 9);
  exchanges[1]->Abort();
  CHECK_EQUAL(1, gone.size());
  STRCMP_EQUAL("/3", gone[0].c_str());
  const std::string large(size_t{4} << 20U, 'x');  // More than the socket buffers take.
  Answer200(0, large);
  CHECK(Answer(large) == ReadToEnd(&client));
  CHECK_EQUAL(0, server.open_exchanges());
}

// Guards against answers in progress that are cut by a request which cannot be read.
TEST(Pipelining, ARequestThatCannotBeReadIsRefusedInItsTurn) {
  server.limits().max_head_bytes = 200;
  server.limits().max_body_bytes = 4;
  server.limits().request_timeout = std::chrono::milliseconds(50);
  const std::pair<const char*, std::string> cases[] = {
      {"HTTP/1.1 400 ", "nonsense\r\n\r\n" + Get("/3")},
      {"HTTP/1.1 408 ", "GET / HTTP/1.1\r\nX: "},
      {"HTTP/1.1 413 ", "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde" + Get("/3")},
      {"HTTP/1.1 431 ", "GET / HTTP/1.1\r\nX: " + std::string(300, 'x') + "\r\n\r\n" + Get("/3")},
  };
  for (const auto& [expected, text] : cases) {
    exchanges.clear();
    RawClient client(server.bound_port());
    client.Send(Get("/1") + Post("/2") + text);
    ExpectBegun(1);
    RunFor(loop, std::chrono::milliseconds(80));
    Answer200(0, "a");
    ExpectBegun(2);
    Answer200(1, "b");
    const std::string answers = ReadToEnd(&client);
    const std::string served = Answer("a") + Answer("b");
    STRNCMP_EQUAL((served + expected).c_str(), answers.c_str(),
                  served.size() + std::string(expected).size());
    CHECK(answers.find("Connection: close") != std::string::npos);
    CHECK_EQUAL(2, exchanges.size());
  }
  CHECK(gone.empty());
}

TEST(Pipelining, ChunkedBodiesAndAnswersToHeadKeepTheirPlace) {
  server.set_may_overlap([](const RequestHead&) { return true; });
  RawClient client(server.bound_port());
  client.Send(Get("/1") +
              "GET /2 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
              "HEAD /3 HTTP/1.1\r\n\r\n");
  ExpectBegun(3);
  STRCMP_EQUAL("abc", exchanges[1]->request().body.c_str());
  Answer200(2, "no body");
  exchanges[1]->Start(200, {}, std::nullopt);
  exchanges[1]->WriteBody("b");
  exchanges[1]->Finish();
  Answer200(0, "a");
  STRCMP_EQUAL(
      (Answer("a") + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n"
                     "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n")
          .c_str(),
      ReadUntil(&client, "7\r\n\r\n").c_str());
}

// Guards against an interim response that the client takes for a part of an earlier answer.
TEST(Pipelining, AnInterimResponseWaitsForTheAnswersBefore) {
  server.limits().request_timeout = std::chrono::milliseconds(50);
  RawClient client(server.bound_port());
  client.Send(Get("/1") + "POST /2 HTTP/1.1\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n");
  ExpectBegun(1);
  exchanges[0]->Start(200, {}, 2);
  exchanges[0]->WriteBody("a");
  RunFor(loop, std::chrono::milliseconds(80));
  exchanges[0]->WriteBody("b");
  exchanges[0]->Finish();
  STRCMP_EQUAL((Answer("ab") + "HTTP/1.1 100 Continue\r\n\r\n").c_str(),
               ReadUntil(&client, "Continue\r\n\r\n").c_str());
  client.Send("x");
  ExpectBegun(2);
  STRCMP_EQUAL("x", exchanges[1]->request().body.c_str());
}

// Guards against a planned stop that cuts requests in progress, or takes more than it can answer.
TEST(Pipelining, AClosingServerAnswersWhatIsInProgressAndReadsOneMore) {
  RawClient client(server.bound_port());
  client.Send(Get("/1") + Get("/2"));
  ExpectBegun(2);
  server.StartClosing();
  client.Send(Get("/3") + Get("/4") + Post("/5"));
  ExpectBegun(3);
  Answer200(2, "c");
  Answer200(1, "b");
  CHECK(gone.empty());
  Answer200(0, "a");
  STRCMP_EQUAL((Answer("a") + Answer("b") +
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\nc")
                   .c_str(),
               ReadToEnd(&client).c_str());
  CHECK(gone.empty());
  CHECK_EQUAL(3, exchanges.size());
}

TEST(Pipelining, NothingIsReadBehindARequestThatClosesTheConnection) {
  RawClient client(server.bound_port());
  client.Send(Get("/1") + "GET /2 HTTP/1.1\r\nConnection: close\r\n\r\n" + Get("/3"));
  ExpectBegun(2);
  Answer200(1, "b");
  Answer200(0, "a");
  const std::string answers = ReadToEnd(&client);
  CHECK(answers.starts_with(Answer("a")));
  CHECK(answers.ends_with("Connection: close\r\n\r\nb"));
  CHECK_EQUAL(2, exchanges.size());
}

// Guards against calls on a server that was destroyed by one of them.
TEST(Pipelining, TheServerMayBeDestroyedWhileRequestsEnd) {
  auto doomed =
      std::make_unique<Server>(loop, [this](const ExchangePtr& exchange) { OnRequest(exchange); });
  doomed->set_may_overlap([](const RequestHead&) { return true; });
  CHECK_EQUAL(0, doomed->Listen({"127.0.0.1", 0}));
  RawClient client(doomed->bound_port());
  client.Send(Get("/1") + Get("/2") + Get("/3"));
  ExpectBegun(3);
  exchanges[1]->set_on_client_gone([&] { doomed.reset(); });
  exchanges[0]->set_close_after(true);
  Answer200(0, "");
  CHECK(doomed == nullptr);
  CHECK_FALSE(exchanges[2]->open());
}

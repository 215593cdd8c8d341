#include "source/http/client.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <thread>
#include <vector>

#include "source/http/server.h"
#include "tests/event/loop_runner.h"
#include "tests/http/raw_server.h"

using namespace runshelf;
using namespace runshelf::http;
using event::EventLoop;
using event::RunUntil;

namespace {

// Records the events of one answer.
class Collector : public ResponseObserver {
 public:
  void OnResponseHead(ResponseHead&& received) override { head = std::move(received); }
  void OnResponseBody(std::string_view data) override { body.append(data); }
  void OnResponseComplete() override { complete = true; }
  void OnClientFailure(ClientFailure reason) override { failure = reason; }

  bool over() const { return complete || failure.has_value(); }

  ResponseHead head;
  std::string body;
  bool complete = false;
  std::optional<ClientFailure> failure;
};

constexpr std::string_view kRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

CallOptions WithId(const std::string& id) {
  return CallOptions(AnswerMatch::EchoedHeader("Request-Id", id), "test");
}

CallOptions InOrder() { return CallOptions(AnswerMatch::InOrder(), "test"); }

std::string Answer(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

TEST_GROUP(Client) {
  EventLoop loop;
  ConnectionPool pool{loop};

  void Expect(const event::Endpoint& endpoint, const CallOptions& options, Collector* collector) {
    const auto call = pool.Send(endpoint, kRequest, options, collector);
    CHECK(RunUntil(loop, [&] { return collector->over(); }));
  }
};

// Guards against a copy of each large body that is sent, which stays until its connection closes.
TEST(Client, ALargeBodyIsSentWithoutACopyAndThenReleased) {
  std::vector<ExchangePtr> exchanges;
  Server server(loop, [&](const ExchangePtr& exchange) { exchanges.push_back(exchange); });
  CHECK_EQUAL(0, server.Listen({"127.0.0.1", 0}));
  auto request = std::make_shared<Request>();
  request->head.method = "POST";
  request->head.target = "/";
  for (size_t index = 0; index < size_t{20} * 1024 * 1024; ++index) {
    request->body.push_back(static_cast<char>('a' + index % 23));
  }
  const SerializedRequest serialized = SerializeSharedRequest(request->head, request);
  CHECK(serialized.bytes.size() < 1000);
  CHECK_EQUAL(serialized.bytes.size() + request->body.size(), serialized.size());
  CHECK_EQUAL(2, request.use_count());
  Collector collector;
  const auto call =
      pool.Send({"127.0.0.1", server.bound_port()}, serialized, InOrder(), &collector);
  CHECK_EQUAL(3, request.use_count());
  CHECK(RunUntil(loop, [&] { return exchanges.size() == 1; }));
  CHECK(exchanges[0]->request().body == request->body);
  exchanges[0]->Respond(200, {}, "");
  CHECK(RunUntil(loop, [&] { return collector.complete; }));
  CHECK_EQUAL(2, request.use_count());
}

TEST(Client, AnAnswerWithALengthIsCompleteAndItsConnectionIsUsedAgain) {
  RawServer server([](int connection) {
    for (int round = 0; !RawServer::ReadHead(connection).empty(); ++round)
      RawServer::Send(connection, Answer(std::to_string(round), "abc"));
  });
  for (int round = 0; round < 3; ++round) {
    Collector collector;
    Expect(server.endpoint(), WithId(std::to_string(round)), &collector);
    CHECK(collector.complete);
    STRCMP_EQUAL("abc", collector.body.c_str());
  }
  CHECK_EQUAL(1, server.connections());
  pool.CloseIdle(server.endpoint());
  event::RunFor(loop, std::chrono::milliseconds(20));
}

TEST(Client, AChunkedAnswerIsComplete) {
  RawServer server([](int connection) {
    RawServer::ReadHead(connection);
    RawServer::Send(connection,
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
  });
  Collector collector;
  Expect(server.endpoint(), InOrder(), &collector);
  CHECK(collector.complete);
  STRCMP_EQUAL("abc", collector.body.c_str());
}

TEST(Client, AnAnswerWithoutALengthEndsWithItsConnection) {
  RawServer server([](int connection) {
    RawServer::ReadHead(connection);
    RawServer::Send(connection, "HTTP/1.1 200 OK\r\n\r\nabc");
  });
  Collector collector;
  Expect(server.endpoint(), InOrder(), &collector);
  CHECK(collector.complete);
  STRCMP_EQUAL("abc", collector.body.c_str());
}

// libuv reports an orderly close when a reset follows a short read.
TEST(Client, AnAnswerWithoutALengthThatIsResetIsIncomplete) {
  RawServer server([](int connection) {
    RawServer::ReadHead(connection);
    RawServer::Send(connection, "HTTP/1.1 200 OK\r\n\r\nabc");
    RawServer::Reset(connection);
  });
  for (int round = 0; round < 20; ++round) {
    Collector collector;
    Expect(server.endpoint(), InOrder(), &collector);
    CHECK_FALSE(collector.complete);
    CHECK(collector.failure.has_value());
  }
}

TEST(Client, AnAnswerThatBreaksOffIsIncomplete) {
  for (const char* text : {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                           "HTTP/1.1 200 OK\r\nContent-Le"}) {
    RawServer server([text](int connection) {
      RawServer::ReadHead(connection);
      RawServer::Send(connection, text);
    });
    Collector collector;
    Expect(server.endpoint(), InOrder(), &collector);
    CHECK_FALSE_TEXT(collector.complete, text);
    CHECK_TEXT(collector.failure.has_value(), text);
  }
}

TEST(Client, BytesThatAreNoAnswerAreAFailure) {
  RawServer server([](int connection) {
    RawServer::ReadHead(connection);
    RawServer::Send(connection, "garbage\r\n\r\n");
  });
  Collector collector;
  Expect(server.endpoint(), InOrder(), &collector);
  CHECK(collector.failure == ClientFailure::kIncomplete);
}

TEST(Client, AConnectionClosedBeforeTheAnswerMayHaveSentTheRequest) {
  RawServer server([](int connection) { RawServer::ReadHead(connection); });
  Collector collector;
  Expect(server.endpoint(), InOrder(), &collector);
  CHECK(collector.failure == ClientFailure::kBroken);
}

TEST(Client, ARefusedConnectionCertainlySentNothing) {
  event::Endpoint nobody;
  {
    RawServer server([](int) {});
    nobody = server.endpoint();
  }
  Collector collector;
  Expect(nobody, InOrder(), &collector);
  CHECK(collector.failure == ClientFailure::kRefused);
}

TEST(Client, AnExtraAnswerOfAnEarlierRequestIsSkipped) {
  RawServer server([](int connection) {
    RawServer::ReadHead(connection);
    RawServer::Send(connection, Answer("1", "first"));
    RawServer::ReadHead(connection);
    RawServer::Send(connection, Answer("1", "again") + Answer("2", "second"));
    RawServer::ReadHead(connection);
  });
  Collector first;
  Expect(server.endpoint(), WithId("1"), &first);
  STRCMP_EQUAL("first", first.body.c_str());
  Collector second;
  Expect(server.endpoint(), WithId("2"), &second);
  CHECK(second.complete);
  STRCMP_EQUAL("second", second.body.c_str());
  // Further unexpected answers may follow, so the connection is not reused.
  CHECK_EQUAL(1, server.connections());
  Collector third;
  const auto call = pool.Send(server.endpoint(), kRequest, WithId("3"), &third);
  CHECK(RunUntil(loop, [&] { return server.connections() == 2; }));
}

// Guards against a request that receives an answer without an identifier, such as a duplicate
// answer to a health check.
TEST(Client, AnAnswerWithoutTheHeaderIsSkippedOnceOthersWentBefore) {
  RawServer server([](int connection) {
    RawServer::ReadHead(connection);
    RawServer::Send(connection, Answer("1", "first"));
    RawServer::ReadHead(connection);
    RawServer::Send(connection,
                    "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nnobody" + Answer("2", "second"));
  });
  Collector first;
  Expect(server.endpoint(), WithId("1"), &first);
  Collector second;
  Expect(server.endpoint(), WithId("2"), &second);
  CHECK(second.complete);
  STRCMP_EQUAL("second", second.body.c_str());
  CHECK_EQUAL(1, server.connections());
}

TEST(Client, TheFirstAnswerOfAConnectionMayLackTheHeader) {
  RawServer server([](int connection) {
    RawServer::ReadHead(connection);
    RawServer::Send(connection, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
  });
  Collector collector;
  Expect(server.endpoint(), WithId("1"), &collector);
  CHECK(collector.complete);
  CHECK_EQUAL(503, collector.head.status);
}

// Guards against a duplicate refusal that is taken for the answer to the retry of that request,
// while the retry is executed.
TEST(Client, ARequestThatIsSentAgainTakesAnotherConnection) {
  std::atomic<int> requests{0};
  RawServer server([&](int connection) {
    RawServer::ReadHead(connection);
    if (++requests == 2) {
      RawServer::Send(connection, Answer("1", "ran"));
      return;
    }
    RawServer::Send(connection, Answer("1", "refused"));
    RawServer::ReadHead(connection);
    RawServer::Send(connection, Answer("1", "refused") + Answer("1", "ran"));
  });
  Collector first;
  Expect(server.endpoint(), WithId("1"), &first);
  STRCMP_EQUAL("refused", first.body.c_str());
  Collector second;
  const auto call = pool.Send(server.endpoint(), kRequest, WithId("1"), &second);
  pool.CloseIdle(server.endpoint());
  CHECK(RunUntil(loop, [&] { return second.over(); }));
  STRCMP_EQUAL("ran", second.body.c_str());
  CHECK_EQUAL(2, server.connections());
}

TEST(Client, RequestsOfOtherLanesTakeOtherConnections) {
  std::atomic<int> served{0};
  RawServer server([&](int connection) {
    while (!RawServer::ReadHead(connection).empty()) {
      ++served;
      RawServer::Send(connection, Answer("1", "abc"));
      if (served == 1 || served == 3) return;
    }
  });
  const auto in_lane = [](const char* lane) {
    return CallOptions(AnswerMatch::Lane(lane), "test");
  };
  // The server handles one connection at a time.
  for (const char* lane : {"a", "b", "b"}) {
    Collector collector;
    Expect(server.endpoint(), in_lane(lane), &collector);
    CHECK(collector.complete);
  }
  CHECK_EQUAL(2, server.connections());
}

// Guards against a duplicate answer for which it is unknown whether it has a body.
TEST(Client, ARequestWithTheMethodHeadHasItsOwnConnection) {
  RawServer server([](int connection) {
    RawServer::ReadHead(connection);
    RawServer::Send(connection, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 3\r\n\r\n");
    RawServer::ReadHead(connection);
  });
  for (const char* id : {"1", "1"}) {
    CallOptions options = WithId(id);
    options.head_request = true;
    Collector collector;
    Expect(server.endpoint(), options, &collector);
    CHECK(collector.complete);
    CHECK_FALSE(pool.HasOpenConnection(server.endpoint()));
  }
}

// Guards against a request that waits until its deadline after an answer without the header.
TEST(Client, AnAnswerWithoutTheHeaderIsNotWaitedOut) {
  RawServer server([](int connection) {
    RawServer::ReadHead(connection);
    RawServer::Send(connection, Answer("1", "first"));
    RawServer::ReadHead(connection);
    RawServer::Send(connection, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
    RawServer::ReadHead(connection);
  });
  Collector first;
  Expect(server.endpoint(), WithId("1"), &first);
  Collector second;
  const Instant begun = loop.Now();
  Expect(server.endpoint(), WithId("2"), &second);
  CHECK(second.failure == ClientFailure::kIncomplete);
  CHECK(loop.Now() - begun < std::chrono::milliseconds(500));
}

// Guards against accepting the answer to an earlier request of the lane as the marked answer.
TEST(Client, OnlyAMarkedAnswerIsTakenOnAConnectionThatIsShared) {
  RawServer server([](int connection) {
    RawServer::ReadHead(connection);
    RawServer::Send(connection, Answer("1", "grant"));
    RawServer::ReadHead(connection);
    RawServer::Send(connection, Answer("1", "grant") +
                                    "HTTP/1.1 200 OK\r\nMark: x\r\nContent-Length: 4\r\n\r\nmine");
    RawServer::ReadHead(connection);
  });
  Collector first;
  Expect(server.endpoint(), CallOptions(AnswerMatch::Lane("a"), "test"), &first);
  Collector second;
  Expect(server.endpoint(), CallOptions(AnswerMatch::MarkedAnswer("Mark", "a"), "test"), &second);
  STRCMP_EQUAL("mine", second.body.c_str());
  CHECK_EQUAL(1, server.connections());
  CHECK_FALSE(pool.HasOpenConnection(server.endpoint()));
}

TEST(Client, AnOwnConnectionCarriesNoOtherRequest) {
  RawServer server([](int connection) {
    RawServer::ReadHead(connection);
    RawServer::Send(connection, Answer("1", "abc"));
    RawServer::ReadHead(connection);
  });
  for (int round = 0; round < 3; ++round) {
    Collector collector;
    Expect(server.endpoint(), CallOptions(AnswerMatch::OwnConnection(), "test"), &collector);
    CHECK(collector.complete);
    CHECK_FALSE(pool.HasOpenConnection(server.endpoint()));
  }
  CHECK_EQUAL(3, server.connections());
}

// Guards against an answer that arrived while the process was suspended and is taken for the answer
// to the next request.
TEST(Client, AConnectionWithUnreadBytesCarriesNoRequest) {
  std::atomic<bool> sent{false};
  RawServer server([&](int connection) {
    RawServer::ReadHead(connection);
    RawServer::Send(connection, Answer("1", "abc"));
    if (sent) return;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    RawServer::Send(connection, Answer("1", "abc"));
    sent = true;
  });
  Collector first;
  Expect(server.endpoint(), InOrder(), &first);
  CHECK(first.complete);
  // The event loop does not run in between.
  while (!sent) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  Collector second;
  Expect(server.endpoint(), InOrder(), &second);
  CHECK(second.complete);
  CHECK_EQUAL(2, server.connections());
}

// Operators need to see what was received instead of an answer, and on which connection.
TEST(Client, UnexpectedAnswersAreReported) {
  RawServer server([](int connection) {
    RawServer::ReadHead(connection);
    RawServer::Send(connection, Answer("1", "first"));
    RawServer::ReadHead(connection);
    RawServer::Send(connection, Answer("1", "again") + Answer("2", "second") + Answer("2", "more"));
  });
  std::vector<UnexpectedAnswer> reported;
  pool.set_on_unexpected_answer(
      [&](const UnexpectedAnswer& answer) { reported.push_back(answer); });
  Collector first;
  CallOptions options = WithId("1");
  options.purpose = "first";
  Expect(server.endpoint(), options, &first);
  Collector second;
  options = WithId("2");
  options.purpose = "second";
  Expect(server.endpoint(), options, &second);
  CHECK_EQUAL(2, reported.size());
  CHECK(reported[0].kind == UnexpectedAnswer::Kind::kSkipped);
  CHECK(reported[0].endpoint == server.endpoint());
  CHECK_EQUAL(2, reported[0].requests);
  CHECK(reported[0].purpose == "second");
  CHECK(reported[0].purpose_before == "first");
  STRCMP_EQUAL("2", reported[0].expected_id.c_str());
  STRCMP_EQUAL("1", reported[0].found_id.c_str());
  CHECK(reported[1].kind == UnexpectedAnswer::Kind::kTrailing);
}

TEST(Client, BytesOnAnIdleConnectionAreReportedAndEndIt) {
  std::atomic<bool> answered{false};
  RawServer server([&](int connection) {
    RawServer::ReadHead(connection);
    RawServer::Send(connection, Answer("1", "first"));
    while (!answered) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    RawServer::Send(connection, Answer("1", "again"));
    RawServer::ReadHead(connection);
  });
  std::vector<UnexpectedAnswer> reported;
  pool.set_on_unexpected_answer(
      [&](const UnexpectedAnswer& answer) { reported.push_back(answer); });
  Collector first;
  Expect(server.endpoint(), WithId("1"), &first);
  answered = true;
  CHECK(RunUntil(loop, [&] { return !reported.empty(); }));
  CHECK(reported[0].kind == UnexpectedAnswer::Kind::kIdle);
  CHECK_FALSE(pool.HasOpenConnection(server.endpoint()));
}

TEST(Client, BytesAfterAWholeAnswerEndTheConnection) {
  RawServer server([](int connection) {
    RawServer::ReadHead(connection);
    RawServer::Send(connection, Answer("1", "abc") + "HTTP/1.1 200 OK\r\n");
    RawServer::ReadHead(connection);
  });
  Collector first;
  Expect(server.endpoint(), WithId("1"), &first);
  CHECK(first.complete);
  Collector second;
  const auto call = pool.Send(server.endpoint(), kRequest, WithId("2"), &second);
  CHECK(RunUntil(loop, [&] { return server.connections() == 2; }));
}

TEST(Client, ACancelledCallClosesItsConnection) {
  std::atomic<bool> closed{false};
  RawServer server([&](int connection) {
    RawServer::ReadHead(connection);
    char byte = 0;
    closed = recv(connection, &byte, 1, 0) <= 0;
  });
  Collector collector;
  auto call = pool.Send(server.endpoint(), kRequest, InOrder(), &collector);
  event::RunFor(loop, std::chrono::milliseconds(20));
  call.reset();
  CHECK(RunUntil(loop, [&] { return closed.load(); }));
  CHECK_FALSE(collector.over());
}

TEST(Client, AConnectionIsNotUsedUntilTheEndOfItsKeepAliveTime) {
  RawServer server([](int connection) {
    while (!RawServer::ReadHead(connection).empty()) {
      RawServer::Send(connection,
                      "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n");
    }
  });
  for (int round = 0; round < 2; ++round) {
    Collector collector;
    Expect(server.endpoint(), InOrder(), &collector);
    CHECK(collector.complete);
  }
  CHECK_EQUAL(2, server.connections());
}

// Guards against arithmetic on a time that a server states, beyond the range of a duration.
TEST(Client, AKeepAliveTimeOfAnySizeKeepsTheConnection) {
  for (const char* seconds : {"9223372036854775807", "9223372036855", "99999999999999999999"}) {
    const std::string answer = std::string("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=") + seconds +
                               "\r\nContent-Length: 0\r\n\r\n";
    RawServer server([answer](int connection) {
      while (!RawServer::ReadHead(connection).empty()) RawServer::Send(connection, answer);
    });
    for (int round = 0; round < 2; ++round) {
      Collector collector;
      Expect(server.endpoint(), InOrder(), &collector);
      CHECK(collector.complete);
    }
    CHECK_EQUAL_TEXT(1, server.connections(), seconds);
    pool.CloseIdle(server.endpoint());
  }
}

TEST(Client, ASimpleCallEndsAfterItsTimeout) {
  RawServer server([](int connection) {
    RawServer::ReadHead(connection);
    char byte = 0;
    recv(connection, &byte, 1, 0);
  });
  bool over = false;
  bool answered = true;
  SimpleCall call(loop, pool, server.endpoint(), kRequest, InOrder(), std::chrono::milliseconds(30),
                  [&](const std::optional<Response>& response, ClientFailure) {
                    over = true;
                    answered = response.has_value();
                  });
  CHECK(RunUntil(loop, [&] { return over; }));
  CHECK_FALSE(answered);
}

// Guards against an answer that takes longer than the timeout on a slow link and is requested from
// the start again and again.
TEST(Client, ACallThatWaitsWhileItsAnswerArrivesGetsASlowOne) {
  for (const bool waits : {false, true}) {
    RawServer server([](int connection) {
      RawServer::ReadHead(connection);
      RawServer::Send(connection, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n");
      for (int part = 0; part < 8; ++part) {
        std::this_thread::sleep_for(std::chrono::milliseconds(40));
        RawServer::Send(connection, "x");
      }
    });
    ConnectionPool own_pool(loop);
    CallOptions options = InOrder();
    options.wait_while_answer_arrives = waits;
    std::optional<std::string> body;
    bool over = false;
    SimpleCall call(loop, pool, server.endpoint(), kRequest, options,
                    std::chrono::milliseconds(150),
                    [&](const std::optional<Response>& response, ClientFailure) {
                      over = true;
                      if (response.has_value()) body = response->body;
                    });
    CHECK(RunUntil(loop, [&] { return over; }));
    CHECK_EQUAL(waits, body.has_value());
  }
}

// Guards against a call that never ends because its answer keeps trickling in.
TEST(Client, ACallThatWaitsWhileItsAnswerArrivesHasAMaximumDuration) {
  std::atomic<bool> ended = false;
  RawServer server([&](int connection) {
    RawServer::ReadHead(connection);
    RawServer::Send(connection, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
    while (!ended) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      RawServer::Send(connection, "x");
    }
  });
  CallOptions options = InOrder();
  options.wait_while_answer_arrives = true;
  bool over = false;
  bool answered = true;
  SimpleCall call(loop, pool, server.endpoint(), kRequest, options, std::chrono::milliseconds(30),
                  [&](const std::optional<Response>& response, ClientFailure) {
                    over = true;
                    answered = response.has_value();
                  });
  CHECK(RunUntil(
      loop, [&] { return over; }, std::chrono::seconds(2)));
  CHECK_FALSE(answered);
  ended = true;
}

// A server at its connection limit resets connections, but it is running.
TEST(Client, AConnectionThatIsResetIsNotARefusedOne) {
  RawServer server([](int connection) { RawServer::Reset(connection); });
  Collector collector;
  const auto call = pool.Send(server.endpoint(), kRequest, InOrder(), &collector);
  // The server resets the connection before the event loop runs.
  while (server.connections() == 0) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  CHECK(RunUntil(loop, [&] { return collector.over(); }));
  CHECK(collector.failure.has_value());
  CHECK(collector.failure != ClientFailure::kRefused);
}

TEST(Client, AnOpenConnectionIsKnownUntilItsServerClosesIt) {
  std::atomic<bool> close_it = false;
  RawServer server([&](int connection) {
    RawServer::ReadHead(connection);
    RawServer::Send(connection, Answer("1", "abc"));
    while (!close_it) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  });
  CHECK_FALSE(pool.HasOpenConnection(server.endpoint()));
  const Instant before = loop.Now();
  event::RunFor(loop, std::chrono::milliseconds(5));
  Collector collector;
  Expect(server.endpoint(), WithId("1"), &collector);
  CHECK(pool.HasOpenConnection(server.endpoint()));
  CHECK(pool.HasLiveConnection(server.endpoint(), loop.Now(), before));
  CHECK_FALSE(pool.HasLiveConnection(server.endpoint(), before, before));
  event::RunFor(loop, std::chrono::milliseconds(5));
  CHECK_FALSE(pool.HasLiveConnection(server.endpoint(), loop.Now(), loop.Now()));
  close_it = true;
  // The event loop has not run since.
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  CHECK_FALSE(pool.HasOpenConnection(server.endpoint()));
  CHECK(pool.LostAt(server.endpoint()) == Instant{});
  const Instant closed_by = loop.Now();
  CHECK(RunUntil(loop, [&] { return pool.LostAt(server.endpoint()) >= closed_by; }));
}

TEST(Client, AConnectionClosedLocallyIsNotOpen) {
  RawServer server([](int connection) {
    while (!RawServer::ReadHead(connection).empty()) {
      RawServer::Send(connection, Answer("1", "abc"));
    }
  });
  Collector collector;
  Expect(server.endpoint(), WithId("1"), &collector);
  CHECK(pool.HasOpenConnection(server.endpoint()));
  pool.CloseIdle(server.endpoint());
  CHECK_FALSE(pool.HasOpenConnection(server.endpoint()));
  event::RunFor(loop, std::chrono::milliseconds(20));
  CHECK(pool.LostAt(server.endpoint()) == Instant{});
}

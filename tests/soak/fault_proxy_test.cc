#include "tests/soak/fault_proxy.h"

#include <CppUTest/TestHarness.h>

#include <utility>

#include "source/http/client.h"
#include "source/http/server.h"
#include "tests/event/loop_runner.h"

using namespace runshelf;
using namespace runshelf::soak;
using event::RunUntil;

TEST_GROUP(FaultProxy) {
  event::EventLoop loop;
  http::ConnectionPool pool{loop};
  int received = 0;
  http::Server server{loop, [this](const http::ExchangePtr& exchange) {
                        ++received;
                        exchange->Respond(200, {}, "answer");
                      }};
  std::unique_ptr<FaultProxy> proxy;

  void setup() override {
    server.Listen({"127.0.0.1", 0});
    proxy = std::make_unique<FaultProxy>(loop, event::Endpoint{"127.0.0.1", server.bound_port()});
    CHECK_EQUAL(0, proxy->Listen("127.0.0.1"));
  }

  // Sends a request through the proxy and returns whether a response arrived within `limit`.
  bool Ask(Duration limit) {
    bool over = false;
    bool answered = false;
    http::SimpleCall call(loop, pool, proxy->endpoint(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                          {http::AnswerMatch::InOrder(), "test"}, limit,
                          [&](const std::optional<http::Response>& response, http::ClientFailure) {
                            over = true;
                            answered = response.has_value();
                          });
    RunUntil(loop, [&] { return over; });
    return answered;
  }
};

TEST(FaultProxy, PassesBothWays) {
  CHECK(Ask(std::chrono::seconds(1)));
  CHECK(Ask(std::chrono::seconds(1)));
  CHECK_EQUAL(2, received);
}

TEST(FaultProxy, DelaysBothWays) {
  proxy->SetMode(FaultProxy::Mode::kDelay, std::chrono::milliseconds(60));
  const Instant start = loop.Now();
  CHECK(Ask(std::chrono::seconds(1)));
  CHECK(loop.Now() - start >= std::chrono::milliseconds(110));
}

TEST(FaultProxy, EndOfSilenceClosesStalledConnections) {
  proxy->SetMode(FaultProxy::Mode::kSilent);
  CHECK_FALSE(Ask(std::chrono::milliseconds(60)));
  CHECK_EQUAL(0, received);
  proxy->SetMode(FaultProxy::Mode::kPass);
  CHECK(Ask(std::chrono::seconds(1)));
}

TEST(FaultProxy, ForwardOnlyDeliversRequestsWithoutResponses) {
  proxy->SetMode(FaultProxy::Mode::kForwardOnly);
  CHECK_FALSE(Ask(std::chrono::milliseconds(60)));
  CHECK_EQUAL(1, received);
  proxy->SetMode(FaultProxy::Mode::kBackwardOnly);
  CHECK_FALSE(Ask(std::chrono::milliseconds(60)));
  CHECK_EQUAL(1, received);
}

TEST(FaultProxy, ResetClosesOpenAndNewConnections) {
  CHECK(Ask(std::chrono::seconds(1)));
  proxy->SetMode(FaultProxy::Mode::kReset);
  CHECK_EQUAL(0, proxy->connections());
  CHECK_FALSE(Ask(std::chrono::milliseconds(200)));
  proxy->SetMode(FaultProxy::Mode::kPass);
  CHECK(Ask(std::chrono::seconds(1)));
}

TEST(FaultProxy, AModeOfOneSourceDoesNotAffectOthers) {
  int source = 1;
  proxy->set_identification({[&] { return static_cast<uint16_t>(source); },
                             [](uint16_t port) { return static_cast<int>(port); }});
  proxy->SetModeFrom(1, FaultProxy::Mode::kSilent);
  CHECK_FALSE(Ask(std::chrono::milliseconds(60)));
  source = 2;
  CHECK(Ask(std::chrono::seconds(1)));
  proxy->SetModeFrom(1, FaultProxy::Mode::kPass);
  source = 1;
  CHECK(Ask(std::chrono::seconds(1)));
}

TEST(FaultProxy, OpenConnectionsStallForGoodAndNewOnesWork) {
  CHECK(Ask(std::chrono::seconds(1)));
  proxy->SilenceOpenConnections();
  CHECK_FALSE(Ask(std::chrono::milliseconds(60)));  // On the keep-alive connection.
  CHECK_EQUAL(1, received);
  CHECK(Ask(std::chrono::seconds(1)));
  proxy->SetMode(FaultProxy::Mode::kPass);
  CHECK_EQUAL(2, proxy->connections());
}

// A caller that records all data received on one connection.
TEST_GROUP(FaultProxyRepetitions) {
  using Repetition = FaultProxy::Repetition;
  struct Caller : public event::StreamObserver {
    void OnConnected() override { stream->StartReading(); }
    void OnData(std::string_view data) override { received.append(data); }
    void OnEnd(event::StreamEnd) override {}

    std::unique_ptr<event::TcpStream> stream;
    std::string received;
  };
  // Echoes each request in brackets.
  struct Target : public event::StreamObserver {
    void OnData(std::string_view data) override { stream->Write("[" + std::string(data) + "]"); }
    void OnEnd(event::StreamEnd) override {}

    std::unique_ptr<event::TcpStream> stream;
  };

  event::EventLoop loop;
  Target target;
  event::TcpListener listener{loop, [this](std::unique_ptr<event::TcpStream> stream) {
                                target.stream = std::move(stream);
                                target.stream->set_observer(&target);
                                target.stream->StartReading();
                              }};
  std::unique_ptr<FaultProxy> proxy;
  Caller caller;

  void setup() override {
    listener.Listen({"127.0.0.1", 0});
    proxy = std::make_unique<FaultProxy>(loop, event::Endpoint{"127.0.0.1", listener.bound_port()});
    CHECK_EQUAL(0, proxy->Listen("127.0.0.1"));
    caller.stream = event::TcpStream::Connect(loop, proxy->endpoint(), &caller);
    RunUntil(loop, [&] { return target.stream != nullptr; });
  }
  void teardown() override {
    caller.stream.reset();
    target.stream.reset();
  }

  static Repetition After(Duration after) {
    Repetition repetition;
    repetition.after = after;
    return repetition;
  }
  static Repetition WithNextRequest(Duration after) {
    Repetition repetition = After(after);
    repetition.from_next_request = true;
    return repetition;
  }
  void RepeatFirstAnswer(const Repetition& repetition) {
    proxy->set_repetitions([repetition, first = true]() mutable -> std::optional<Repetition> {
      if (!std::exchange(first, false)) return std::nullopt;
      return repetition;
    });
  }
  void Ask(const std::string& request) {
    const size_t length = caller.received.size();
    caller.stream->Write(request);
    RunUntil(loop, [&] { return caller.received.size() > length; });
  }
  void ExpectReceived(const std::string& expected) {
    RunUntil(loop, [&] { return caller.received.size() >= expected.size(); });
    STRCMP_EQUAL(expected.c_str(), caller.received.c_str());
  }
};

TEST(FaultProxyRepetitions, ARepeatedResponsePrecedesTheNextOne) {
  RepeatFirstAnswer(WithNextRequest(Duration(0)));
  Ask("a");
  Ask("b");
  ExpectReceived("[a][a][b]");
  CHECK_EQUAL(1, proxy->repeated());
}

TEST(FaultProxyRepetitions, AResponseIsRepeatedOnAnIdleConnection) {
  RepeatFirstAnswer(After(std::chrono::milliseconds(5)));
  Ask("a");
  ExpectReceived("[a][a]");
  Ask("b");
  ExpectReceived("[a][a][b]");
}

TEST(FaultProxyRepetitions, ALateRepetitionFollowsTheNextResponse) {
  RepeatFirstAnswer(WithNextRequest(std::chrono::milliseconds(30)));
  Ask("a");
  Ask("b");
  ExpectReceived("[a][b][a]");
}

TEST(FaultProxyRepetitions, NothingIsSentBetweenThePieces) {
  Repetition repetition = WithNextRequest(Duration(0));
  repetition.first_piece = 2;
  repetition.between_pieces = std::chrono::milliseconds(20);
  repetition.followed_by = "?";
  RepeatFirstAnswer(repetition);
  Ask("a");
  Ask("b");
  CHECK_EQUAL(std::string("[a][a"), caller.received);
  ExpectReceived("[a][a]?[b]");
}

TEST(FaultProxyRepetitions, TurningRepetitionsOffCancelsPendingOnes) {
  RepeatFirstAnswer(After(std::chrono::milliseconds(20)));
  Ask("a");
  proxy->set_repetitions(nullptr);
  event::Timer pause(loop, [] {});
  pause.Start(std::chrono::milliseconds(40));
  RunUntil(loop, [&] { return !pause.active(); });
  Ask("b");
  ExpectReceived("[a][b]");
  CHECK_EQUAL(0, proxy->repeated());
}

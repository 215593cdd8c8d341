#include "tests/soak/fault_proxy.h"

#include <CppUTest/TestHarness.h>

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

  // Returns whether an answer came within `limit`.
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

TEST(FaultProxy, SilenceEndsWithABrokenConnection) {
  proxy->SetMode(FaultProxy::Mode::kSilent);
  CHECK_FALSE(Ask(std::chrono::milliseconds(60)));
  CHECK_EQUAL(0, received);
  proxy->SetMode(FaultProxy::Mode::kPass);
  CHECK(Ask(std::chrono::seconds(1)));
}

TEST(FaultProxy, OneWayLetsARequestRunWithoutAnAnswer) {
  proxy->SetMode(FaultProxy::Mode::kForwardOnly);
  CHECK_FALSE(Ask(std::chrono::milliseconds(60)));
  CHECK_EQUAL(1, received);
  proxy->SetMode(FaultProxy::Mode::kBackwardOnly);
  CHECK_FALSE(Ask(std::chrono::milliseconds(60)));
  CHECK_EQUAL(1, received);
}

TEST(FaultProxy, ResetBreaksNewAndOldConnections) {
  CHECK(Ask(std::chrono::seconds(1)));
  proxy->SetMode(FaultProxy::Mode::kReset);
  CHECK_EQUAL(0, proxy->connections());
  CHECK_FALSE(Ask(std::chrono::milliseconds(200)));
  proxy->SetMode(FaultProxy::Mode::kPass);
  CHECK(Ask(std::chrono::seconds(1)));
}

TEST(FaultProxy, OneSourceIsHitAndOthersAreNot) {
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

TEST(FaultProxy, OpenConnectionsFallSilentForGoodAndNewOnesPass) {
  CHECK(Ask(std::chrono::seconds(1)));
  proxy->SilenceOpenConnections();
  CHECK_FALSE(Ask(std::chrono::milliseconds(60)));  // On the kept connection.
  CHECK_EQUAL(1, received);
  CHECK(Ask(std::chrono::seconds(1)));
  proxy->SetMode(FaultProxy::Mode::kPass);
  CHECK_EQUAL(2, proxy->connections());
}

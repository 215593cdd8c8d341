#include "tests/soak/caller_connection.h"

#include <CppUTest/TestHarness.h>

#include <optional>

#include "source/http/server.h"
#include "tests/event/loop_runner.h"

using namespace runshelf;
using namespace runshelf::soak;
using event::RunUntil;

// Covers each CallerConnection::End.
TEST_GROUP(CallerConnection) {
  event::EventLoop loop;
  std::vector<http::ExchangePtr> held;
  bool answering = true;
  std::unique_ptr<http::Server> server;
  std::unique_ptr<CallerConnection> connection;
  std::optional<CallerConnection::End> end;
  std::string body;

  void setup() override {
    server = std::make_unique<http::Server>(loop, [this](const http::ExchangePtr& exchange) {
      held.push_back(exchange);
      if (answering) exchange->Respond(200, {}, "answer");
    });
    server->Listen({"127.0.0.1", 0});
    connection = std::make_unique<CallerConnection>(
        loop, event::Endpoint{"127.0.0.1", server->bound_port()});
  }
  void teardown() override {
    connection.reset();
    held.clear();
    server.reset();
  }

  void Send() {
    end.reset();
    connection->Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                     [this](CallerConnection::End how, http::Response&& response) {
                       end = how;
                       body = response.body;
                     });
  }
  void Expect(CallerConnection::End expected) {
    CHECK(RunUntil(loop, [&] { return end.has_value(); }));
    CHECK(expected == *end);
  }
};

TEST(CallerConnection, SendsSequentialRequestsOnOneConnection) {
  for (int count = 1; count <= 3; ++count) {
    Send();
    Expect(CallerConnection::End::kAnswered);
    CHECK_EQUAL(std::string("answer"), body);
    CHECK(connection->usable());
    CHECK_EQUAL(count, connection->requests());
  }
  CHECK_EQUAL(1, server->connections());
}

TEST(CallerConnection, ARequestThatWasReadAndNotAnsweredEndsWithAClose) {
  answering = false;
  Send();
  CHECK(RunUntil(loop, [&] { return !held.empty(); }));
  held.front()->Abort();
  Expect(CallerConnection::End::kClosed);
  CHECK_FALSE(connection->usable());
}

TEST(CallerConnection, ARequestThatWasNotReadEndsWithAReset) {
  // The listener belongs to a loop that does not run, so it accepts no connection.
  event::EventLoop idle;
  auto listener = std::make_unique<event::TcpListener>(idle, nullptr);
  CHECK_EQUAL(0, listener->Listen({"127.0.0.1", 0}));
  connection = std::make_unique<CallerConnection>(
      loop, event::Endpoint{"127.0.0.1", listener->bound_port()});
  Send();
  event::RunFor(loop, std::chrono::milliseconds(20));
  CHECK_FALSE(end.has_value());
  listener.reset();
  event::RunFor(idle, std::chrono::milliseconds(1));
  Expect(CallerConnection::End::kReset);
}

TEST(CallerConnection, WithoutAListenerNothingIsSent) {
  server.reset();
  Send();
  Expect(CallerConnection::End::kNotSent);
}

TEST(CallerConnection, AfterTheLastAnswerItIsNotUsable) {
  server->StartClosing();
  Send();
  Expect(CallerConnection::End::kAnswered);
  CHECK_FALSE(connection->usable());
}

#include "runshelf/transport/http_server.h"

#include <CppUTest/TestHarness.h>
#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "runshelf/transport/http_connection_pool.h"
#include "tests/transport/scripted_peer.h"

namespace runshelf::transport {
namespace {

constexpr Duration kAmple = std::chrono::seconds(20);

// Answers with method, target and body.
class EchoHandler : public HttpHandler {
 public:
  HttpResponse Handle(HttpRequest request, PeerWatch caller) override {
    ++handled;
    if (request.target == "/wait-for-close") {
      while (!caller.Closed()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
      }
      ++closed;
    }
    if (request.target == "/slow") {
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    HttpResponse response;
    response.status = request.body_too_large ? 413 : 200;
    response.body = request.method + " " + request.target + " " + request.body;
    return response;
  }

  std::atomic<int> handled{0};
  std::atomic<int> closed{0};
};

std::string ReadToEnd(Poco::Net::StreamSocket& socket) {
  std::string received;
  std::array<char, 4096> buffer{};
  try {
    while (true) {
      const int count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      if (count <= 0) {
        return received;
      }
      received.append(buffer.data(), static_cast<size_t>(count));
    }
  } catch (const Poco::Exception&) {
    return received + " (reset)";
  }
}

}  // namespace

TEST_GROUP(HttpServer) {
  SystemClock clock;
  EchoHandler handler;
  std::unique_ptr<HttpServer> server;
  HttpConnectionPool pool{clock, HttpConnectionPoolOptions{}};

  void Start(HttpServerOptions options = {}) {
    auto started = HttpServer::Start(clock, "127.0.0.1:0", options, handler);
    CHECK(started.ok());
    server = std::move(*started);
  }

  void StartWithShortDrain() {
    HttpServerOptions options;
    options.drain_quiet_time = std::chrono::milliseconds(20);
    options.drain_longest_wait = std::chrono::milliseconds(40);
    options.drain_idle_time = std::chrono::milliseconds(20);
    Start(options);
  }

  HttpResult Call(const std::string& method, const std::string& target, const std::string& body) {
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    return pool.Call(server->address(), request, AnswerMatch::InOrder(), clock.Now() + kAmple);
  }

  // Sends raw bytes on a new connection and returns everything received until the server closes.
  std::string Raw(const std::string& bytes, bool half_close = false) {
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(server->address())};
    socket.setReceiveTimeout(Poco::Timespan(20, 0));
    SendAll(socket, bytes);
    if (half_close) {
      socket.shutdownSend();
    }
    return ReadToEnd(socket);
  }
};

TEST(HttpServer, PassesRequestsAndAnswers) {
  Start();
  const HttpResult result = Call("PUT", "/a/b?c=d", "body");
  CHECK(result.outcome == HttpOutcome::kAnswered);
  STRCMP_EQUAL("PUT /a/b?c=d body", result.response.body.c_str());
  CHECK_EQUAL(200, Call("HEAD", "/", "").response.status);
}

TEST(HttpServer, BodyOverTheLimitIsMarkedAndNotHandedOver) {
  HttpServerOptions options;
  options.max_body_bytes = 10;
  Start(options);
  CHECK_EQUAL(200, Call("POST", "/", std::string(10, 'x')).response.status);
  const HttpResult result = Call("POST", "/", std::string(100'000, 'x'));
  CHECK_EQUAL(413, result.response.status);
  STRCMP_EQUAL("POST / ", result.response.body.c_str());
}

TEST(HttpServer, CutRequestsAreNotHandedOver) {
  Start();
  Raw("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc", true);
  Raw("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", true);
  Raw("POST / HTTP/1.1\r\nContent-Length: 0\r\nX-A: b", true);
  Raw("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", true);
  CHECK_EQUAL(0, handler.handled);
  const std::string whole =
      Raw("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
  CHECK(whole.ends_with("POST / abc"));
}

TEST(HttpServer, SlowSenderIsCutOff) {
  HttpServerOptions options;
  options.read_allowance = std::chrono::milliseconds(200);
  Start(options);
  Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(server->address())};
  SendAll(socket, "GET / HTTP/1.1\r\nX: ");
  bool cut = false;
  for (int i = 0; i < 4000 && !cut; ++i) {  // One byte each 5 ms never pauses for 200 ms.
    try {
      SendAll(socket, "x");
    } catch (const Poco::Exception&) {
      cut = true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  CHECK(cut);
  CHECK_EQUAL(0, handler.handled);
  CHECK_EQUAL(200, Call("GET", "/", "").response.status);
}

TEST(HttpServer, HandlerSeesThatTheCallerWentAway) {
  Start();
  {
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(server->address())};
    SendAll(socket, "GET /wait-for-close HTTP/1.1\r\n\r\n");
    while (handler.handled == 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }
  server->Stop();
  CHECK_EQUAL(1, handler.closed);
}

TEST(HttpServer, StopLetsRequestsInProgressFinish) {
  Start();
  HttpResult result;
  std::thread caller([&] { result = Call("GET", "/slow", ""); });
  while (handler.handled == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  server->Stop();
  caller.join();
  CHECK(result.outcome == HttpOutcome::kAnswered);
}

TEST(HttpServer, DrainCutsNoRequestOfCallersThatKeepComing) {
  for (int round = 0; round < 5; ++round) {
    StartWithShortDrain();
    const int begun = handler.handled;
    std::atomic<int> answered{0};
    std::atomic<int> cut{0};
    std::vector<std::thread> callers;
    callers.reserve(4);
    for (int i = 0; i < 4; ++i) {
      callers.emplace_back([&] {
        HttpOutcome outcome = HttpOutcome::kAnswered;
        while (outcome == HttpOutcome::kAnswered) {
          outcome = Call("GET", "/", "").outcome;
          answered += outcome == HttpOutcome::kAnswered ? 1 : 0;
        }
        cut += outcome == HttpOutcome::kConnectFailed ? 0 : 1;
      });
    }
    while (handler.handled < begun + 20) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    CHECK(server->Drain(clock.Now() + kAmple));
    server->Stop();
    for (std::thread& caller : callers) {
      caller.join();
    }
    CHECK_EQUAL(0, cut);
    CHECK_EQUAL(answered, handler.handled - begun);
  }
}

TEST(HttpServer, DrainAnswersConnectionsThatWaitForAThread) {
  HttpServerOptions options;
  options.max_threads = 2;
  options.drain_quiet_time = std::chrono::milliseconds(1);
  Start(options);
  std::atomic<int> answered{0};
  std::vector<std::thread> callers;
  callers.reserve(10);
  for (int i = 0; i < 10; ++i) {
    callers.emplace_back([&] {
      HttpConnectionPool own(clock, HttpConnectionPoolOptions{});
      HttpRequest request;
      request.method = "GET";
      request.target = "/slow";
      const HttpResult result =
          own.Call(server->address(), request, AnswerMatch::InOrder(), clock.Now() + kAmple);
      answered += result.outcome == HttpOutcome::kAnswered ? 1 : 0;
    });
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(100));  // All have connected.
  CHECK(server->Drain(clock.Now() + kAmple));
  server->Stop();
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK_EQUAL(10, answered);
}

TEST(HttpServer, DrainTellsIdleCallersThatNothingRan) {
  StartWithShortDrain();
  Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(server->address())};
  socket.setReceiveTimeout(Poco::Timespan(20, 0));
  SendAll(socket, "GET / HTTP/1.1\r\n\r\n");
  while (handler.handled == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  CHECK(server->Drain(clock.Now() + kAmple));
  const std::string received = ReadToEnd(socket);
  STRCMP_CONTAINS("HTTP/1.1 200", received.c_str());
  STRCMP_CONTAINS("HTTP/1.1 408", received.c_str());
  STRCMP_CONTAINS("Runshelf-Verdict: not-run", received.c_str());
}

TEST(HttpServer, DrainGivesUpAtItsDeadline) {
  StartWithShortDrain();
  Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(server->address())};
  SendAll(socket, "GET /wait-for-close HTTP/1.1\r\n\r\n");
  while (handler.handled == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  CHECK_FALSE(server->Drain(clock.Now() + std::chrono::milliseconds(200)));
  socket.close();
}

TEST(HttpServer, StoppedServerRefusesConnections) {
  Start();
  server->Stop();
  CHECK_THROWS(Poco::Net::ConnectionRefusedException,
               Poco::Net::StreamSocket(Poco::Net::SocketAddress(server->address())));
}

TEST(HttpServer, AddressInUseIsReported) {
  Start();
  const auto second = HttpServer::Start(clock, server->address(), {}, handler);
  CHECK_FALSE(second.ok());
}

}  // namespace runshelf::transport

// The whole path of a request: ingress, egress and a server, over real sockets.
#include <CppUTest/TestHarness.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/daemon/fake_server.h"
#include "tests/daemon/test_fleet.h"
#include "tests/transport/scripted_peer.h"

namespace runshelf::daemon {
namespace {

using transport::HttpOutcome;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::HttpResult;

constexpr auto kPause = std::chrono::milliseconds(2);
constexpr int kAmplePauses = 10'000;

bool Eventually(const std::function<bool()>& condition) {
  for (int i = 0; i < kAmplePauses && !condition(); ++i) {
    std::this_thread::sleep_for(kPause);
  }
  return condition();
}

std::string HeaderOf(const HttpResult& result, const char* name) {
  return result.response.headers.Find(name).value_or("(none)");
}

void CheckError(const HttpResult& result, int status, const std::string& identifier,
                const std::string& verdict) {
  CHECK(result.outcome == HttpOutcome::kAnswered);
  CHECK_EQUAL(status, result.response.status);
  STRCMP_EQUAL(verdict.c_str(), HeaderOf(result, "Runshelf-Verdict").c_str());
  STRCMP_EQUAL("application/json", HeaderOf(result, "Content-Type").c_str());
  CHECK(result.response.headers.Has("Runshelf-Request-Id"));
  const auto body = nlohmann::json::parse(result.response.body, nullptr, false);
  CHECK(body.is_object());
  STRCMP_EQUAL(identifier.c_str(), body.value("error", "").c_str());
  STRCMP_EQUAL(verdict.c_str(), body.value("verdict", "").c_str());
}

}  // namespace

TEST_GROUP(RequestPath) {
  SystemClock clock;
  // For handlers of `server`, which may still run when the body of a test has ended.
  std::atomic<bool> started{false};
  std::atomic<bool> finish{false};
  FakeServer server{clock};
  TestFleet fleet{server.address()};

  HttpResult CallWith(const std::string& header, const std::string& value) {
    HttpRequest request = Request("POST", "/feedread/x", "body");
    request.headers.Set(header, value);
    return fleet.Call(request);
  }
};

TEST(RequestPath, AnswerComesThroughWhole) {
  HttpRequest request = Request("PUT", "/feedread/a/b?c=d&e", "payload");
  request.headers.Set("X-Own", "value");
  request.headers.Set("Runshelf-Fencing-Token", "9.9.9");
  const HttpResult result = fleet.Call(request);
  CHECK_EQUAL(200, result.response.status);
  STRCMP_EQUAL("PUT /a/b?c=d&e payload", result.response.body.c_str());
  STRCMP_EQUAL("ran", HeaderOf(result, "Runshelf-Verdict").c_str());
  CHECK_FALSE(result.response.headers.Has("Runshelf-Load"));

  const HttpRequest seen = server.last_request();
  STRCMP_EQUAL("value", seen.headers.Find("X-Own").value_or("").c_str());
  STRCMP_EQUAL("1.2.3", seen.headers.Find("Runshelf-Fencing-Token").value_or("").c_str());
  STRCMP_EQUAL("key", seen.headers.Find("Runshelf-Key").value_or("").c_str());
  STRCMP_EQUAL(HeaderOf(result, "Runshelf-Request-Id").c_str(),
               seen.headers.Find("Runshelf-Request-Id").value_or("").c_str());
  CHECK(seen.headers.Has("Runshelf-Slot"));
  CHECK(seen.headers.Has("Runshelf-Deadline-Ms"));
  CHECK(Eventually([&] { return fleet.gate.entered == 0; }));
}

TEST(RequestPath, ServerErrorsArePassedThroughAsRan) {
  server.Behave([](const HttpRequest&) {
    HttpResponse response;
    response.status = 500;
    response.body = "broken";
    return response;
  });
  const HttpResult result = fleet.Call(Request("GET", "/feedread/x"));
  CHECK_EQUAL(500, result.response.status);
  STRCMP_EQUAL("broken", result.response.body.c_str());
  STRCMP_EQUAL("ran", HeaderOf(result, "Runshelf-Verdict").c_str());
}

TEST(RequestPath, WrongRequestsAreRefusedAsNotRun) {
  HttpRequest no_class = Request("GET", "/feedread/x");
  no_class.headers.Remove("Runshelf-Class");
  CheckError(fleet.Call(no_class), 400, "missing_class", "not-run");
  HttpRequest no_key = Request("GET", "/feedread/x");
  no_key.headers.Remove("Runshelf-Key");
  CheckError(fleet.Call(no_key), 400, "missing_key", "not-run");
  CheckError(fleet.Call(Request("GET", "/nowhere/x")), 404, "unknown_service", "not-run");
  CheckError(CallWith("Runshelf-Class", "stranger"), 403, "unknown_class", "not-run");
  for (const char* wrong : {"0", "60001", "-1", "1.5", "x", "", "99999999999"}) {
    CheckError(CallWith("Runshelf-Deadline-Ms", wrong), 400, "bad_header", "not-run");
  }
  CheckError(CallWith("Runshelf-Repeatable", "yes"), 400, "bad_header", "not-run");
  CheckError(CallWith("Runshelf-Attempt", "x"), 400, "bad_header", "may-have-run");
  CheckError(CallWith("Idempotency-Key", std::string(1025, 'k')), 400, "bad_header", "not-run");
  CheckError(fleet.Call(Request("POST", "/feedread/x", std::string(1001, 'x'))), 413,
             "body_too_large", "not-run");
  CHECK(server.executed().empty());
  STRCMP_EQUAL("POST /x body", CallWith("X", "y").response.body.c_str());
}

TEST(RequestPath, LimitIsAGiveUpWithRetryAfter) {
  HttpRequest request = Request("GET", "/dispatch/x");
  request.headers.Set("Runshelf-Class", "capped");
  const HttpResult result = fleet.Call(request);
  CheckError(result, 429, "limit_exceeded", "not-run");
  CHECK(result.response.headers.Has("Retry-After"));
  CHECK(result.response.headers.Has("Runshelf-Retry-After-Ms"));
}

TEST(RequestPath, WithoutTargetsOrTableTheRequestIsRefused) {
  const HttpResult no_target = fleet.Call(Request("GET", "/dispatch/x"));
  CheckError(no_target, 503, "no_target", "not-run");
  CHECK(no_target.response.headers.Has("Retry-After"));
  fleet.table.Publish(std::make_shared<const table::Table>());
  CheckError(fleet.Call(Request("GET", "/feedread/x")), 503, "no_table", "not-run");
}

TEST(RequestPath, NotTheOwnerIsAskedAgainUntilTheDeadline) {
  fleet.gate.owner = false;
  HttpRequest request = Request("POST", "/feedread/x", "once");
  request.headers.Set("Runshelf-Deadline-Ms", "100");
  const HttpResult result = fleet.Call(request);
  CHECK(result.response.status == 503 || result.response.status == 504);
  STRCMP_EQUAL("not-run", HeaderOf(result, "Runshelf-Verdict").c_str());
  CHECK(server.executed().empty());

  std::thread owner([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    fleet.gate.owner = true;
  });
  request.headers.Set("Runshelf-Deadline-Ms", "30000");
  CHECK_EQUAL(200, fleet.Call(request).response.status);
  owner.join();
  CHECK_EQUAL(1U, server.executed().size());
}

TEST(RequestPath, RefusalsOfTheServerAreNotRun) {
  for (const char* reason : {"not-owner", "overloaded", "deadline", "draining"}) {
    server.Behave([&](const HttpRequest&) { return FakeServer::Refusal(reason); });
    HttpRequest request = Request("POST", "/feedread/x", "once");
    request.headers.Set("Runshelf-Deadline-Ms", "100");
    const HttpResult result = fleet.Call(request);
    CHECK(result.response.status == 503 || result.response.status == 504);
    STRCMP_EQUAL("not-run", HeaderOf(result, "Runshelf-Verdict").c_str());
  }
  server.Behave([&](const HttpRequest&) { return FakeServer::Refusal("unheard-of"); });
  const HttpResult unknown = fleet.Call(Request("POST", "/feedread/x", "once"));
  STRCMP_EQUAL("may-have-run", HeaderOf(unknown, "Runshelf-Verdict").c_str());
}

TEST(RequestPath, ParallelCallersEachGetTheirOwnAnswerInWhateverOrder) {
  server.Behave([](const HttpRequest& request) {
    // Later requests are answered earlier.
    const int number = std::stoi(request.body);
    std::this_thread::sleep_for(std::chrono::milliseconds((40 - number % 40) / 4));
    HttpResponse response;
    response.body = "answer " + request.body;
    return response;
  });
  std::atomic<int> wrong{0};
  std::vector<std::thread> callers;
  callers.reserve(16);
  for (int caller = 0; caller < 16; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = 0; i < 20; ++i) {
        const std::string number = std::to_string(caller * 1000 + i);
        HttpRequest request = Request("POST", "/feedread/x", number);
        request.headers.Set("Runshelf-Key", number);
        request.headers.Set("Runshelf-Deadline-Ms", "30000");
        wrong += fleet.Call(request).response.body == "answer " + number ? 0 : 1;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK_EQUAL(0, wrong);
  CHECK_EQUAL(320U, server.executed().size());
}

TEST(RequestPath, TimeoutIsMayHaveRunAndCancelsAtTheServer) {
  server.Behave([&](const HttpRequest&) {
    while (!finish) {
      std::this_thread::sleep_for(kPause);
    }
    return HttpResponse{};
  });
  HttpRequest request = Request("POST", "/feedread/x", "slow");
  request.headers.Set("Runshelf-Deadline-Ms", "150");
  const HttpResult result = fleet.Call(request);
  CheckError(result, 504, "deadline_exceeded", "may-have-run");
  CHECK(Eventually([&] { return server.cancelled().size() == 1; }));
  STRCMP_EQUAL(("/requests/" + HeaderOf(result, "Runshelf-Request-Id")).c_str(),
               server.cancelled().at(0).c_str());
  finish = true;
  CHECK(Eventually([&] { return fleet.gate.entered == 0 && fleet.admission.Idle(); }));
  // The server's thread reads `finish` until then.
  CHECK(Eventually([&] { return server.executed().size() == 1; }));
}

TEST(RequestPath, CallerThatGoesAwayCancelsAtTheServer) {
  server.Behave([&](const HttpRequest&) {
    started = true;
    while (!finish) {
      std::this_thread::sleep_for(kPause);
    }
    return HttpResponse{};
  });
  {
    Poco::Net::StreamSocket caller{Poco::Net::SocketAddress(fleet.ingress_address())};
    transport::SendAll(caller,
                       "POST /feedread/x HTTP/1.1\r\nRunshelf-Class: desk\r\nRunshelf-Key: k\r\n"
                       "Runshelf-Deadline-Ms: 60000\r\nContent-Length: 1\r\n\r\nx");
    CHECK(Eventually([&] { return started.load(); }));
  }
  CHECK(Eventually([&] { return server.cancelled().size() == 1; }));
  CHECK(Eventually([&] { return fleet.gate.entered == 0 && fleet.admission.Idle(); }));
  finish = true;
  CHECK(Eventually([&] { return server.executed().size() == 1; }));
}

TEST(RequestPath, CallerThatGoesAwayLeavesTheQueue) {
  server.Behave([&](const HttpRequest&) {
    while (!finish) {
      std::this_thread::sleep_for(kPause);
    }
    return HttpResponse{};
  });
  admission::AdmissionConfig one_slot;
  one_slot.slots = 1;
  TestFleet narrow(server.address(), one_slot);
  HttpRequest request = Request("POST", "/feedread/x", "first");
  request.headers.Set("Runshelf-Deadline-Ms", "60000");
  std::thread first([&] { narrow.Call(request); });
  CHECK(Eventually([&] { return narrow.admission.Load().running == 1; }));
  {
    Poco::Net::StreamSocket caller{Poco::Net::SocketAddress(narrow.ingress_address())};
    transport::SendAll(caller,
                       "POST /feedread/x HTTP/1.1\r\nRunshelf-Class: desk\r\nRunshelf-Key: k\r\n"
                       "Runshelf-Deadline-Ms: 60000\r\nContent-Length: 6\r\n\r\nsecond");
    CHECK(Eventually([&] { return narrow.admission.Load().queued == 1; }));
  }
  CHECK(Eventually([&] { return narrow.admission.Load().queued == 0; }));
  finish = true;
  first.join();
  CHECK_EQUAL(1U, server.executed().size());
}

TEST(RequestPath, HigherWeightIsServedFirst) {
  server.Behave([&](const HttpRequest&) {
    while (!finish) {
      std::this_thread::sleep_for(kPause);
    }
    return HttpResponse{};
  });
  admission::AdmissionConfig one_slot;
  one_slot.slots = 1;
  TestFleet narrow(server.address(), one_slot);
  std::vector<std::thread> callers;
  const auto send = [&](const char* caller_class, const char* body) {
    HttpRequest request = Request("POST", "/feedread/x", body);
    request.headers.Set("Runshelf-Class", caller_class);
    request.headers.Set("Runshelf-Deadline-Ms", "60000");
    callers.emplace_back([&narrow, request] { narrow.Call(request); });
  };
  send("free", "running");
  CHECK(Eventually([&] { return narrow.admission.Load().running == 1; }));
  send("free", "low");
  CHECK(Eventually([&] { return narrow.admission.Load().queued == 1; }));
  send("desk", "high");
  CHECK(Eventually([&] { return narrow.admission.Load().queued == 2; }));
  finish = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  const std::vector<std::string> expected = {"running", "high", "low"};
  CHECK(expected == server.executed());
}

TEST(RequestPath, RepeatGetsTheFirstAnswerAndRunsOnce) {
  HttpRequest request = Request("POST", "/feedread/x", "pay");
  request.headers.Set("Idempotency-Key", "invoice-1");
  const HttpResult first = fleet.Call(request);
  request.headers.Set("Runshelf-Attempt", "2");
  const HttpResult second = fleet.Call(request);
  STRCMP_EQUAL(first.response.body.c_str(), second.response.body.c_str());
  STRCMP_EQUAL("ran", HeaderOf(second, "Runshelf-Verdict").c_str());
  CHECK(HeaderOf(first, "Runshelf-Request-Id") != HeaderOf(second, "Runshelf-Request-Id"));
  CHECK_EQUAL(1U, server.executed().size());
  request.body = "pay something else";
  const HttpResult other = fleet.Call(request);
  CHECK_EQUAL(422, other.response.status);
  STRCMP_EQUAL("not-run", HeaderOf(other, "Runshelf-Verdict").c_str());
  CHECK_EQUAL(1U, server.executed().size());
}

TEST(RequestPath, RepeatDuringTheFirstSendingWaitsForItsAnswer) {
  server.Behave([&](const HttpRequest&) {
    while (!finish) {
      std::this_thread::sleep_for(kPause);
    }
    HttpResponse response;
    response.body = "the only answer";
    return response;
  });
  HttpRequest request = Request("POST", "/feedread/x", "pay");
  request.headers.Set("Idempotency-Key", "invoice-2");
  request.headers.Set("Runshelf-Deadline-Ms", "60000");
  std::vector<HttpResult> results(4);
  std::vector<std::thread> callers;
  callers.reserve(results.size());
  for (HttpResult& result : results) {
    callers.emplace_back([&] { result = fleet.Call(request); });
  }
  CHECK(Eventually([&] { return fleet.gate.entered == 4; }));
  finish = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const HttpResult& result : results) {
    STRCMP_EQUAL("the only answer", result.response.body.c_str());
  }
  CHECK_EQUAL(1U, server.executed().size());
}

TEST(RequestPath, UnreadableRequestIsRefusedWithAVerdict) {
  Poco::Net::StreamSocket caller{Poco::Net::SocketAddress(fleet.ingress_address())};
  const std::string garbage = std::string(200, 'A') + "\r\n\r\n";
  caller.sendBytes(garbage.data(), static_cast<int>(garbage.size()));
  caller.shutdownSend();
  std::string answer;
  char buffer[1024];
  for (int read = 1; read > 0;) {
    read = caller.receiveBytes(buffer, sizeof(buffer));
    answer.append(buffer, static_cast<size_t>(read));
  }
  STRCMP_CONTAINS(" 400 ", answer.c_str());
  // Whether it repeats an earlier sending is not known, so that it did not run is not said.
  STRCMP_CONTAINS("Runshelf-Verdict: may-have-run", answer.c_str());
  CHECK_EQUAL(0U, server.executed().size());
}

TEST(RequestPath, OwnPages) {
  CHECK_EQUAL(200, fleet.Call(Request("GET", "/feedread/x")).response.status);
  CHECK_EQUAL(200, fleet.Call(Request("GET", "/healthz")).response.status);
  STRCMP_EQUAL("{}", fleet.Call(Request("GET", "/status")).response.body.c_str());
  const std::string metrics = fleet.Call(Request("GET", "/metrics")).response.body;
  STRCMP_CONTAINS("runshelf_requests_total", metrics.c_str());
  STRCMP_CONTAINS("service=\"feedread\"", metrics.c_str());
}

TEST_GROUP(BrokenServer) {
  SystemClock clock;

  // Sends one request past a server that answers with `bytes` and closes; returns how often the
  // server received it.
  int SendsTo(const std::string& bytes, const HttpRequest& request, const char* verdict) {
    transport::ScriptedPeer server([&](auto& socket, const auto&, int, int) {
      transport::SendAll(socket, bytes);
      return false;
    });
    TestFleet fleet(server.address());
    const HttpResult result = fleet.Call(request);
    STRCMP_EQUAL(verdict, HeaderOf(result, "Runshelf-Verdict").c_str());
    return server.requests();
  }
};

TEST(BrokenServer, KilledInTheMiddleOfAnAnswerIsMayHaveRunAndNeverSentAgain) {
  const HttpRequest request = Request("POST", "/feedread/x", "send once");
  CHECK_EQUAL(1, SendsTo("", request, "may-have-run"));
  CHECK_EQUAL(1,
              SendsTo("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", request, "may-have-run"));
  CHECK_EQUAL(1, SendsTo("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                         request, "may-have-run"));
}

TEST(BrokenServer, KilledInTheMiddleOfAnAnswerRepeatableIsSentAgain) {
  HttpRequest request = Request("GET", "/feedread/x");
  request.headers.Set("Runshelf-Deadline-Ms", "1000");
  CHECK(SendsTo("", request, "may-have-run") > 1);
}

TEST(BrokenServer, RefusedConnectionIsNotRun) {
  std::string address;
  {
    FakeServer server(clock);
    address = server.address();
  }
  TestFleet fleet(address);
  HttpRequest request = Request("POST", "/feedread/x", "once");
  request.headers.Set("Runshelf-Deadline-Ms", "100");
  STRCMP_EQUAL("not-run", HeaderOf(fleet.Call(request), "Runshelf-Verdict").c_str());
}

// An egress that answers with the answer of another request must not be believed.
TEST(BrokenServer, AnswerOfAnotherRequestIsNotDelivered) {
  transport::ScriptedPeer egress([](auto& socket, const auto&, int, int) {
    transport::SendAll(socket,
                       "HTTP/1.1 200 OK\r\nRunshelf-Request-Id: other\r\n"
                       "Content-Length: 5\r\n\r\nwrong");
    return true;
  });
  FakeServer server(clock);
  TestFleet fleet(server.address());
  fleet.PublishRoutes(egress.address());
  const HttpResult result = fleet.Call(Request("POST", "/feedread/x", "once"));
  CheckError(result, 502, "connection_lost", "may-have-run");
  CHECK_EQUAL(1, egress.requests());
}

// A caller got the second answer to the request before its own.
TEST(BrokenServer, SecondAnswerIsNotDeliveredToTheNextCaller) {
  std::mutex mutex;
  std::string latest;
  transport::ScriptedPeer server([&](auto& socket, const std::string& request, int, int number) {
    const std::lock_guard lock(mutex);
    if (number > 1) {
      transport::SendAll(socket, latest);
    }
    const std::string name = "Runshelf-Request-Id: ";
    const size_t start = request.find(name);
    const std::string id = request.substr(start, request.find("\r\n", start) - start);
    latest = "HTTP/1.1 200 OK\r\n" + id + "\r\nContent-Length: 1\r\n\r\n" + request.back();
    transport::SendAll(socket, latest);
    return true;
  });
  TestFleet fleet(server.address());
  STRCMP_EQUAL("1", fleet.Call(Request("POST", "/feedread/x", "1")).response.body.c_str());
  CheckError(fleet.Call(Request("POST", "/feedread/x", "2")), 502, "connection_lost",
             "may-have-run");
  STRCMP_EQUAL("3", fleet.Call(Request("POST", "/feedread/x", "3")).response.body.c_str());
}

TEST(BrokenServer, EgressThatIsGoneIsNotRun) {
  FakeServer server(clock);
  TestFleet fleet(server.address());
  fleet.PublishRoutes("127.0.0.1:1");
  HttpRequest request = Request("POST", "/feedread/x", "once");
  request.headers.Set("Runshelf-Deadline-Ms", "100");
  STRCMP_EQUAL("not-run", HeaderOf(fleet.Call(request), "Runshelf-Verdict").c_str());
}

}  // namespace runshelf::daemon

// Servers that answer twice, the second time where the next answer on the connection is expected.
#include "source/daemon/server_client.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>

#include "tests/transport/scripted_peer.h"

namespace runshelf::daemon {
namespace {

using transport::HttpOutcome;
using transport::HttpRequest;
using transport::HttpResult;
using transport::ScriptedPeer;
using transport::SendAll;

constexpr Duration kAmple = std::chrono::seconds(20);

std::string Answer(const std::string& status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string IdHeader(const std::string& id) { return "Runshelf-Request-Id: " + id + "\r\n"; }

std::string IdOf(const std::string& request) {
  const std::string name = "Runshelf-Request-Id: ";
  const size_t start = request.find(name) + name.size();
  return request.substr(start, request.find("\r\n", start) - start);
}

std::string BodyOf(const std::string& request) {
  return request.substr(request.find("\r\n\r\n") + 4);
}

}  // namespace

TEST_GROUP(ServerThatAnswersTwice) {
  SystemClock clock;

  ServerResult Send(ServerClient & client, const std::string& id, const std::string& body) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/work";
    request.body = body;
    const ServerRequestContext context{id, clock.Now() + kAmple, std::nullopt, std::nullopt};
    return client.Call(request, context, transport::PeerWatch());
  }

  HttpResult Control(ServerClient & client, const std::string& method, const std::string& target) {
    return client.Control(method, target, "", clock.Now() + kAmple);
  }

  // Sends three requests; each gets its own answer or a failure that leaves a doubt, and only the
  // one after the first answer may fail. `again` makes
  // of the latest answer what the server says before the next.
  void CheckOwnAnswersOnly(const std::function<std::string(const std::string& latest)>& again,
                           bool with_ids) {
    std::mutex mutex;
    std::string latest;
    ScriptedPeer server([&](auto& socket, const std::string& request, int, int request_number) {
      const std::lock_guard lock(mutex);
      if (request_number > 1) {
        SendAll(socket, again(latest));
      }
      latest = Answer("200 OK", with_ids ? IdHeader(IdOf(request)) : "", BodyOf(request));
      SendAll(socket, latest);
      return true;
    });
    ServerClient client(clock, server.address());
    for (const std::string id : {"1", "2", "3"}) {
      const ServerResult result = Send(client, id, "body " + id);
      if (result.outcome == ServerOutcome::kAnswered || id != "2") {
        CHECK(result.outcome == ServerOutcome::kAnswered);
        STRCMP_EQUAL(("body " + id).c_str(), result.response.body.c_str());
      } else {
        CHECK(result.outcome == ServerOutcome::kLost);
      }
    }
    CHECK_EQUAL(3, server.requests());
  }
};

// Guards against the second answer to a request that the next request gets.
TEST(ServerThatAnswersTwice, ARequestDoesNotGetTheSecondAnswerToAnother) {
  CheckOwnAnswersOnly([](const std::string& latest) { return latest; }, true);
}

// Guards against an answer of nobody that a request gets.
TEST(ServerThatAnswersTwice, ARequestDoesNotGetAnAnswerWithoutId) {
  CheckOwnAnswersOnly([](const std::string&) { return Answer("200 OK", "", "nobody"); }, true);
}

// Guards against the same where the server names the id in none of its answers.
TEST(ServerThatAnswersTwice, ARequestDoesNotGetTheSecondAnswerOfAServerWithoutIds) {
  CheckOwnAnswersOnly([](const std::string& latest) { return latest; }, false);
}

// Guards against a refusal that comes twice and is taken for the answer to the same request, sent
// again, which runs.
TEST(ServerThatAnswersTwice, ARequestThatIsSentAgainDoesNotGetTheRefusalOfItsFirstSending) {
  std::atomic<int> requests{0};
  const std::string refusal =
      Answer("503 Service Unavailable", IdHeader("1") + "Runshelf-Refused: overloaded\r\n", "");
  ScriptedPeer server([&](auto& socket, const std::string&, int, int request_number) {
    if (++requests == 1) {
      SendAll(socket, refusal);
      return true;
    }
    SendAll(socket, request_number > 1 ? refusal : Answer("200 OK", IdHeader("1"), "ran"));
    return true;
  });
  ServerClient client(clock, server.address());
  CHECK(Send(client, "1", "once").outcome == ServerOutcome::kOverloaded);
  const ServerResult second = Send(client, "1", "once");
  CHECK(second.outcome == ServerOutcome::kAnswered);
  STRCMP_EQUAL("ran", second.response.body.c_str());
}

// Guards against a grant that counts as accepted by the second answer to a health check or to an
// earlier grant, while the server still acts on the earlier one.
TEST(ServerThatAnswersTwice, AGrantDoesNotGetTheSecondAnswerToAnotherCall) {
  for (const char* before : {"GET /health", "PUT /grants", "DELETE /requests/1"}) {
    std::atomic<int> requests{0};
    ScriptedPeer server([&](auto& socket, const std::string&, int, int request_number) {
      if (request_number > 1) {
        SendAll(socket, Answer("200 OK", "", "{}"));
      }
      SendAll(socket, Answer(++requests == 1 ? "200 OK" : "409 Conflict", "", "{}"));
      return true;
    });
    ServerClient client(clock, server.address());
    const std::string call = before;
    const size_t space = call.find(' ');
    const HttpResult first = Control(client, call.substr(0, space), call.substr(space + 1));
    CHECK_EQUAL(200, first.response.status);
    const int status = Control(client, "PUT", "/grants").response.status;
    CHECK_EQUAL_TEXT(409, status, before);
  }
}

// A refused connection means that no process holds a grant: health checks must not meet a server
// that finishes its work with its listener closed as one that is gone.
TEST(ServerThatAnswersTwice, HealthChecksShareTheirConnectionWithNoOtherCall) {
  ScriptedPeer server([](auto& socket, const std::string&, int, int) {
    SendAll(socket, Answer("200 OK", "", "{}"));
    return true;
  });
  ServerClient client(clock, server.address());
  CHECK(Control(client, "GET", "/health").outcome == HttpOutcome::kAnswered);
  CHECK(Control(client, "PUT", "/grants").outcome == HttpOutcome::kAnswered);
  CHECK(Control(client, "GET", "/health").outcome == HttpOutcome::kAnswered);
  CHECK_EQUAL(2, server.connections());
}

}  // namespace runshelf::daemon

// Tests with workers that send a response twice, the copy arriving where the next response on the
// connection is expected. Such a copy must not be attributed to any request.

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/platform_adapter/fleet.h"
#include "tests/platform_adapter/repeating_relay.h"

using namespace runshelf;
using namespace runshelf::platform_adapter;
using event::RunFor;
using event::RunUntil;
using Exchange = RepeatingRelay::Exchange;

namespace {

// Duplicates the response to an exchange of kind `former` where that to one of kind `next` is
// expected.
RepeatingRelay::Policy Repeat(Exchange former, Exchange next) {
  return [former, next](Exchange answered,
                        Exchange expected) -> std::optional<RepeatingRelay::Repetition> {
    if (answered != former || expected != next) return std::nullopt;
    return RepeatingRelay::Repetition{};
  };
}

// Routes the node's traffic to its worker through the relay.
void RouteThroughRelay(Fleet& fleet, size_t node, const RepeatingRelay& relay) {
  fleet.nodes[node].settings.worker = relay.endpoint();
}

}  // namespace

TEST_GROUP(SecondAnswers) {
  // Number of requests that did not get the complete response of the fleet's only worker.
  int wrong_answers = 0;

  void SendRequest(Fleet & fleet, const std::string& body) {
    const auto answer = fleet.Request(0, "GET", "/read/1", body);
    CHECK(answer.has_value());
    const bool own = answer->headers.Has("Server-Stamp") && answer->body == "w0:" + body;
    if (answer->status != 200 || !own) ++wrong_answers;
  }

  // Waits for the next health check; a worker without heartbeats gets them periodically.
  void AwaitHealthCheck(Fleet & fleet, const RepeatingRelay& relay) {
    const size_t before = relay.Sent(Exchange::kHealthCheck);
    CHECK(RunUntil(fleet.loop, [&] { return relay.Sent(Exchange::kHealthCheck) > before; }));
  }
};

// Guards against a duplicate health check response passed to a client as the success of its
// request.
TEST(SecondAnswers, OfAHealthCheckReachNoCaller) {
  Fleet fleet({"plain"});
  RepeatingRelay relay(fleet.loop, fleet.nodes[0].worker->endpoint());
  relay.set_policy(Repeat(Exchange::kHealthCheck, Exchange::kRequest));
  RouteThroughRelay(fleet, 0, relay);
  fleet.Start();
  fleet.nodes[0].worker->set_heartbeats_cut(true);
  for (int round = 0; round < 6; ++round) {
    AwaitHealthCheck(fleet, relay);
    RunFor(fleet.loop, std::chrono::milliseconds(20));
    SendRequest(fleet, std::to_string(round));
  }
  CHECK_EQUAL(0, wrong_answers);
  // Requests and health checks share no connection, so no response is duplicated.
  CHECK_EQUAL(0, relay.repeated());
  CHECK(fleet.Log().find("event=health_check_answer_names_request") == std::string::npos);
}

// Guards against a health check that consumes the duplicate response to a request, so that its own
// response is taken for that to the next request.
TEST(SecondAnswers, OfARequestAreNotTakenForThatToAHealthCheck) {
  Fleet fleet({"plain"});
  RepeatingRelay relay(fleet.loop, fleet.nodes[0].worker->endpoint());
  relay.set_policy(Repeat(Exchange::kRequest, Exchange::kHealthCheck));
  RouteThroughRelay(fleet, 0, relay);
  // Delays health check responses, as if they waited for a slot.
  fleet.nodes[0].worker->set_health_delay([] { return std::chrono::milliseconds(200); });
  fleet.Start();
  fleet.nodes[0].worker->set_heartbeats_cut(true);
  // Responds slowly, so that the health check response arrives first.
  fleet.nodes[0].worker->set_behaviour([&fleet](const http::ExchangePtr& exchange) {
    auto timer = std::make_shared<std::unique_ptr<event::Timer>>();
    *timer = std::make_unique<event::Timer>(fleet.loop, [exchange, timer] {
      AnswerRun(exchange, 200, "w0:" + exchange->request().body);
      const auto last = std::move(*timer);
    });
    (*timer)->Start(std::chrono::milliseconds(300));
  });
  for (int round = 0; round < 6; ++round) {
    SendRequest(fleet, std::to_string(round));
    AwaitHealthCheck(fleet, relay);
    RunFor(fleet.loop, std::chrono::milliseconds(20));
  }
  CHECK_EQUAL(0, wrong_answers);
  // Requests and health checks share no connection, so no response is duplicated.
  CHECK_EQUAL(0, relay.repeated());
  CHECK(fleet.Log().find("event=health_check_answer_names_request") == std::string::npos);
}

// Guards against keys that are granted to another worker while requests still run on them, because
// the duplicate response to a grant was taken for that to a release.
TEST(SecondAnswers, OfAGrantAreNotTakenForThatToARelease) {
  Fleet fleet({"keyed", "keyed", "plain"});
  RepeatingRelay relay(fleet.loop, fleet.nodes[0].worker->endpoint());
  relay.set_policy(Repeat(Exchange::kGrant, Exchange::kRelease));
  RouteThroughRelay(fleet, 0, relay);
  fleet.Start();
  // Requests run on all of the worker's keys for longer than its grants last, and no release is
  // acknowledged before they end.
  bool busy = true;
  std::vector<FakeWorker::Grant> of_busy_worker;
  size_t taken = 0;
  size_t taken_early = 0;
  fleet.nodes[0].worker->set_busy_keys([&](uint32_t, uint32_t) { return busy; });
  fleet.nodes[0].worker->set_on_granted(
      [&](const FakeWorker::Grant& grant, bool) { of_busy_worker.push_back(grant); });
  RunFor(fleet.loop, std::chrono::milliseconds(1500));
  fleet.nodes[1].worker->set_on_granted([&](const FakeWorker::Grant& grant, bool) {
    for (const FakeWorker::Grant& former : of_busy_worker) {
      if (former.last < grant.first || grant.last < former.first) continue;
      ++taken;
      if (fleet.loop.Now() < former.until) ++taken_early;
    }
  });
  fleet.nodes[0].worker->set_draining(true);
  RunFor(fleet.loop, std::chrono::milliseconds(4500));
  busy = false;
  RunFor(fleet.loop, std::chrono::milliseconds(2500));
  CHECK(relay.Sent(Exchange::kRelease) > 0);
  CHECK(taken > 0);
  CHECK_EQUAL(0, taken_early);
}

// Guards against attributing the response to the grant of one shard, acceptance or refusal, to
// another shard.
TEST(SecondAnswers, OfAGrantAreNotTakenForThatToAnotherGrant) {
  Fleet fleet({"keyed", "plain"});
  RepeatingRelay relay(fleet.loop, fleet.nodes[0].worker->endpoint());
  RouteThroughRelay(fleet, 0, relay);
  fleet.Start();
  relay.set_policy(Repeat(Exchange::kGrant, Exchange::kGrant));
  // Gives the worker a higher fencing token for one key, so that it refuses the next grant.
  fleet.LateOrder(0, "/runshelf/release", R"({"from_revision":0,"target_version":0,"fence":900})");
  RunFor(fleet.loop, std::chrono::milliseconds(2500));
  const std::string log = fleet.Log();
  size_t refusals = 0;
  size_t of_other_shards = 0;
  for (size_t at = log.find("event=grant_refused"); at != std::string::npos;
       at = log.find("event=grant_refused", at + 1)) {
    ++refusals;
    if (log.compare(at, 28, "event=grant_refused first=0 ") != 0) ++of_other_shards;
  }
  CHECK(refusals > 0);
  CHECK_EQUAL(0, of_other_shards);
}

// Guards against passing on a success without the worker's Server-Stamp, whatever its origin.
TEST(SecondAnswers, ASuccessWithoutAServerStampIsAnsweredWith502) {
  Fleet fleet({"plain"});
  fleet.Start();
  fleet.nodes[0].worker->set_behaviour([](const http::ExchangePtr& exchange) {
    http::Headers headers;
    headers.Add("Attempt-Id", *exchange->request().head.headers.Find("Attempt-Id"));
    exchange->Respond(200, headers, "of nobody");
  });
  const auto answer = fleet.Request(0, "POST", "/send/1", "x");
  CHECK(answer.has_value());
  CHECK_EQUAL(502, answer->status);
}

// Guards against grants of many shards using up the connections that the worker accepts, so that
// requests no longer reach it.
TEST(SecondAnswers, GrantsOfManyShardsLeaveConnectionsToRequests) {
  Fleet fleet({"keyed", "keyed", "plain"});
  RepeatingRelay relay(fleet.loop, fleet.nodes[0].worker->endpoint());
  relay.set_connection_limit(12);
  RouteThroughRelay(fleet, 0, relay);
  fleet.Start();
  RunFor(fleet.loop, std::chrono::milliseconds(1000));
  for (int round = 0; round < 20; ++round) {
    for (uint32_t key = 100; key < 65536; key += 8192) {
      if (fleet.HolderOf(key) != 0) continue;
      const auto answer = fleet.Keyed(2, key);
      CHECK(answer.has_value());
      CHECK_EQUAL(200, answer->status);
    }
    RunFor(fleet.loop, std::chrono::milliseconds(50));
  }
}

// Guards against keys left without a holder because their release needs a new connection, which the
// draining worker no longer accepts.
TEST(SecondAnswers, AWorkerThatRefusesNewConnectionsHandsItsKeysOver) {
  Fleet fleet({"keyed", "keyed", "plain"});
  fleet.Start();
  RunFor(fleet.loop, std::chrono::milliseconds(1500));
  size_t released = 0;
  fleet.nodes[0].worker->set_on_released([&](uint32_t, uint32_t) { ++released; });
  fleet.nodes[0].worker->StopListening();
  fleet.nodes[0].worker->set_draining(true);
  const auto moved = [&fleet] {
    for (uint32_t key = 0; key < 65536; key += 512) {
      if (fleet.nodes[1].worker->Holds(key) == nullptr) return false;
    }
    return true;
  };
  // Grants last 3 s, a release times out after 2 s, and the shard map changes more than once.
  CHECK(RunUntil(fleet.loop, moved, std::chrono::seconds(8)));
  CHECK(released > 0);
}

// Guards against a grant retried in a busy loop when it is unclear whether it was refused and each
// connection for the retry is reset at once.
TEST(SecondAnswers, AnUncertainRefusalIsNotRetriedInABusyLoop) {
  Fleet fleet({"keyed", "plain"});
  RepeatingRelay relay(fleet.loop, fleet.nodes[0].worker->endpoint());
  RouteThroughRelay(fleet, 0, relay);
  fleet.Start();
  RunFor(fleet.loop, std::chrono::milliseconds(1200));
  relay.set_connection_limit(0);
  // Targets a shard whose grants share connections with those of other shards.
  fleet.LateOrder(0, "/runshelf/release",
                  R"({"from_revision":60000,"target_version":60000,"fence":900})");
  RunFor(fleet.loop, std::chrono::milliseconds(2000));
  CHECK(relay.rejected_connections() > 0);
  CHECK(relay.rejected_connections() < 200);
}

// Guards against a request that waits until its deadline after a refusal without an Attempt-Id.
TEST(SecondAnswers, ARefusalWithoutAnAttemptIdEndsTheRequestAtOnce) {
  Fleet fleet({"plain"});
  fleet.Start();
  CHECK_EQUAL(200, fleet.Request(0, "POST", "/send/1", "x")->status);
  fleet.nodes[0].worker->set_behaviour([](const http::ExchangePtr& exchange) {
    http::Headers headers;
    headers.Add("Not-Executed", "1");
    exchange->Respond(503, headers, "");
  });
  const Instant begun = fleet.loop.Now();
  const auto answer = fleet.Request(0, "POST", "/send/1", "x");
  CHECK(answer.has_value());
  CHECK(answer->status == 502 || answer->status == 503);
  CHECK(fleet.loop.Now() - begun < std::chrono::milliseconds(500));
}

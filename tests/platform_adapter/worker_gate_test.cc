#include "source/sidecar/worker_gate.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "platform/wire_format.h"
#include "tests/event/loop_runner.h"
#include "tests/platform_adapter/fake_worker.h"

using namespace runshelf;
using namespace runshelf::platform_adapter;
using namespace runshelf::sidecar;
using event::RunUntil;

namespace {

// Records how an attempt ended.
class Outcome : public AttemptObserver {
 public:
  void OnAnswerHead(http::ResponseHead&& head) override { status = head.status; }
  void OnAnswerBody(std::string_view) override {}
  void OnAnswerComplete() override { complete = true; }
  void OnAttemptFailure(const AttemptFailure& result) override { failure = result; }
  bool CallerGone() const override { return caller_gone; }

  int status = 0;
  bool complete = false;
  bool caller_gone = false;
  std::optional<AttemptFailure> failure;
};

// Gives the same answer for every key, and counts the calls.
class FakeKeyAuthority : public KeyAuthority {
 public:
  std::optional<bool> Sharded() const override { return sharded; }
  bool MaySend(Instant, sharding::ShardKey) const override { return owned; }
  void OnKeyOffered(sharding::ShardKey) override { ++offered; }
  void OnKeyRefused(sharding::ShardKey) override { ++refused; }

  std::optional<bool> sharded = true;
  bool owned = true;
  int offered = 0;
  int refused = 0;
};

}  // namespace

TEST_GROUP(WorkerGate) {
  event::EventLoop loop;
  http::ConnectionPool pool{loop};
  PlatformWireFormat wire;
  FakeWorker worker{loop, "w", "shop"};
  std::vector<http::ExchangePtr> held;
  std::unique_ptr<WorkerGate> gate;
  FakeKeyAuthority authority;

  void setup() override {
    worker.Listen();
    worker.set_behaviour([this](const http::ExchangePtr& exchange) { held.push_back(exchange); });
    gate = std::make_unique<WorkerGate>(loop, pool, wire, worker.endpoint());
    gate->set_key_authority(&authority);
    gate->SetWorker("w", "shop", 2);
  }

  void teardown() override { held.clear(); }

  AttemptRequest Request(uint32_t weight = 1, Duration answer_within = std::chrono::seconds(1))
      const {
    auto request = std::make_shared<http::Request>();
    request->head.method = "GET";
    request->head.target = "/" + std::to_string(weight);
    AttemptRequest attempt;
    attempt.request = request;
    attempt.service = "shop";
    attempt.weight = weight;
    attempt.caller_class = "weight-" + std::to_string(weight);
    attempt.deadline = loop.Now() + std::chrono::seconds(2);
    attempt.answer_by = loop.Now() + answer_within;
    attempt.key = 7;
    return attempt;
  }
};

// A restarted node may know its worker before it has a configuration. In the recorded fault inc2,
// each request then reached the worker five times and was answered 421.
TEST(WorkerGate, WithoutAConfigurationRequestsWithKeysDoNotReachTheWorker) {
  authority.sharded = std::nullopt;
  Outcome refused;
  const auto attempt = gate->Submit(Request(), &refused);
  attempt->Begin();
  CHECK(refused.failure.has_value());
  CHECK(refused.failure->verdict == Verdict::kNotRun);
  CHECK(refused.failure->reason == FailureReason::kNoWorker);
  // A request without a key needs no configuration.
  Outcome served;
  AttemptRequest without_key = Request();
  without_key.key.reset();
  const auto second = gate->Submit(without_key, &served);
  second->Begin();
  CHECK(RunUntil(loop, [&] { return held.size() == 1; }));
}

TEST(WorkerGate, ARequestWhoseCallerLeftWhileItWaitedIsNotSent) {
  Outcome outcomes[4];
  std::vector<std::unique_ptr<Attempt>> attempts;
  for (Outcome& outcome : outcomes) {
    attempts.push_back(gate->Submit(Request(), &outcome));
    attempts.back()->Begin();
  }
  CHECK(RunUntil(loop, [&] { return held.size() == 2; }));
  outcomes[2].caller_gone = true;
  AnswerRun(held[0], 200);
  // The slot goes to the next queued request.
  CHECK(RunUntil(loop, [&] { return held.size() == 3; }));
  CHECK(outcomes[2].failure.has_value());
  CHECK(outcomes[2].failure->reason == FailureReason::kCallerGone);
  CHECK(outcomes[2].failure->verdict == Verdict::kNotRun);
  AnswerRun(held[1], 200);
  AnswerRun(held[2], 200);
  CHECK(RunUntil(loop, [&] { return outcomes[3].complete; }));
  CHECK_EQUAL(3, held.size());
}

TEST(WorkerGate, NoMoreRequestsRunThanTheWorkerHasSlots) {
  Outcome outcomes[3];
  std::vector<std::unique_ptr<Attempt>> attempts;
  for (Outcome& outcome : outcomes) {
    attempts.push_back(gate->Submit(Request(), &outcome));
    attempts.back()->Begin();
  }
  CHECK(RunUntil(loop, [&] { return held.size() == 2; }));
  event::RunFor(loop, std::chrono::milliseconds(30));
  CHECK_EQUAL(2, held.size());
  CHECK_EQUAL(1, gate->load().queued);
  AnswerRun(held[0], 200);
  CHECK(RunUntil(loop, [&] { return held.size() == 3; }));
  CHECK(outcomes[0].complete);
}

TEST(WorkerGate, HigherWeightsAreServedFirst) {
  Outcome outcomes[4];
  std::vector<std::unique_ptr<Attempt>> attempts;
  const uint32_t weights[] = {1, 1, 1, 9};
  for (size_t index = 0; index < 4; ++index) {
    attempts.push_back(gate->Submit(Request(weights[index]), &outcomes[index]));
    attempts.back()->Begin();
  }
  CHECK(RunUntil(loop, [&] { return held.size() == 2; }));
  AnswerRun(held[0], 200);
  CHECK(RunUntil(loop, [&] { return held.size() == 3; }));
  STRCMP_EQUAL("/9", held[2]->request().head.target.c_str());
}

// Refused requests must count as load; otherwise an overloaded worker shows too little load and no
// key is moved away from it.
TEST(WorkerGate, RequestsThatAreRefusedCountAsLoadOfTheirKey) {
  worker.set_behaviour([this](const http::ExchangePtr& exchange) {
    held.push_back(exchange);
    if (held.size() <= 4) AnswerRun(exchange, 200);
  });
  Outcome outcomes[40];
  std::vector<std::unique_ptr<Attempt>> attempts;
  for (size_t index = 0; index < 40; ++index) {
    attempts.push_back(gate->Submit(Request(1, std::chrono::milliseconds(20)), &outcomes[index]));
    attempts.back()->Begin();
  }
  CHECK(RunUntil(loop, [&] {
    return std::count_if(std::begin(outcomes), std::end(outcomes),
                         [](const Outcome& outcome) { return outcome.failure.has_value(); }) >= 20;
  }));
  CHECK_EQUAL(40, authority.offered);
}

TEST(WorkerGate, ARequestForAKeyThatIsNotHeldIsRefusedAsNotRun) {
  authority.owned = false;
  Outcome outcome;
  const auto attempt = gate->Submit(Request(), &outcome);
  attempt->Begin();
  CHECK(outcome.failure.has_value());
  CHECK(outcome.failure->verdict == Verdict::kNotRun);
  CHECK(outcome.failure->reason == FailureReason::kNotOwner);
  CHECK_FALSE(outcome.failure->reached_worker);
}

TEST(WorkerGate, ARequestWhoseKeyIsLostWhileItWaitsIsNotSent) {
  Outcome outcomes[3];
  std::vector<std::unique_ptr<Attempt>> attempts;
  for (Outcome& outcome : outcomes) {
    attempts.push_back(gate->Submit(Request(), &outcome));
    attempts.back()->Begin();
  }
  CHECK(RunUntil(loop, [&] { return held.size() == 2; }));
  authority.owned = false;
  AnswerRun(held[0], 200);
  CHECK(RunUntil(loop, [&] { return outcomes[2].failure.has_value(); }));
  CHECK(outcomes[2].failure->reason == FailureReason::kNotOwner);
  CHECK_EQUAL(2, held.size());
}

TEST(WorkerGate, AnotherWorkerAtTheAddressRunsNothing) {
  gate->SetWorker("former", "shop", 2);
  Outcome outcome;
  const auto attempt = gate->Submit(Request(), &outcome);
  attempt->Begin();
  CHECK(RunUntil(loop, [&] { return outcome.failure.has_value(); }));
  CHECK(outcome.failure->verdict == Verdict::kNotRun);
  CHECK(outcome.failure->reason == FailureReason::kWrongWorker);
  CHECK(held.empty());
}

TEST(WorkerGate, AClosedGateRefusesQueuedAndNewRequests) {
  Outcome outcomes[4];
  std::vector<std::unique_ptr<Attempt>> attempts;
  const auto submit = [&](Outcome* outcome) {
    attempts.push_back(gate->Submit(Request(), outcome));
    attempts.back()->Begin();
  };
  for (size_t index = 0; index < 3; ++index) submit(&outcomes[index]);
  CHECK(RunUntil(loop, [&] { return held.size() == 2; }));
  gate->Close();
  submit(&outcomes[3]);
  for (const size_t index : {2U, 3U}) {
    CHECK(outcomes[index].failure.has_value());
    CHECK(outcomes[index].failure->reason == FailureReason::kStopping);
    CHECK(outcomes[index].failure->verdict == Verdict::kNotRun);
  }
  // Requests that were sent are completed.
  for (const auto& exchange : held) AnswerRun(exchange, 200);
  CHECK(RunUntil(loop, [&] { return outcomes[0].complete && outcomes[1].complete; }));
  CHECK_EQUAL(2, held.size());
}

// Guards against a worker that is overrun when it has just come back: slots alone do not bound how
// many requests reach it.
TEST(WorkerGate, AColdWorkerIsSentNoMoreThanItsLimitAndTheRestIsRefusedAtOnce) {
  gate->SetWorker("w", "shop", 50);
  gate->SetColdStartLimits({20, 8});
  gate->SetColdUntil(loop.Now() + std::chrono::seconds(3));
  std::vector<std::unique_ptr<Outcome>> outcomes;
  std::vector<std::unique_ptr<Attempt>> attempts;
  const auto offer = [&](size_t count) {
    for (size_t index = 0; index < count; ++index) {
      outcomes.push_back(std::make_unique<Outcome>());
      attempts.push_back(gate->Submit(Request(), outcomes.back().get()));
      attempts.back()->Begin();
    }
  };
  offer(10);
  for (const auto& outcome : outcomes) {
    CHECK(outcome->failure.has_value());
    CHECK(outcome->failure->verdict == Verdict::kNotRun);
    CHECK(outcome->failure->reason == FailureReason::kWarmingUp);
    CHECK_FALSE(outcome->failure->reached_worker);
    CHECK(outcome->failure->retry_after > Duration(0));
  }
  const Instant later = loop.Now() + std::chrono::milliseconds(600);
  RunUntil(loop, [&] { return loop.Now() >= later; });
  offer(30);
  CHECK(RunUntil(loop, [&] { return !held.empty(); }));
  CHECK(held.size() <= 8);
  CHECK(gate->load().cold);
}

// Requests that wait for a slot while their worker turns cold are given back when there is no room
// for them.
TEST(WorkerGate, QueuedRequestsOfAWorkerThatTurnsColdAreNotSentAtOnce) {
  gate->SetColdStartLimits({20, 8});
  Outcome outcomes[5];
  std::vector<std::unique_ptr<Attempt>> attempts;
  for (Outcome& outcome : outcomes) {
    attempts.push_back(gate->Submit(Request(), &outcome));
    attempts.back()->Begin();
  }
  CHECK(RunUntil(loop, [&] { return held.size() == 2; }));
  gate->SetColdUntil(Instant::max());
  AnswerRun(held[0], 200);
  CHECK(RunUntil(loop, [&] { return outcomes[4].failure.has_value(); }));
  for (size_t index = 2; index < 5; ++index) {
    CHECK(outcomes[index].failure->verdict == Verdict::kNotRun);
    CHECK(outcomes[index].failure->reason == FailureReason::kWarmingUp);
  }
  UNSIGNED_LONGS_EQUAL(2, held.size());
  // An unknown state is not reported as cold to other nodes, which would avoid the worker for long.
  CHECK_FALSE(gate->load().cold);
}

// A node that has just started knows neither the limits of a cold worker nor whether its zone may
// be used.
TEST(WorkerGate, WithoutAConfigurationNothingIsSent) {
  gate->SetConfigured(false);
  Outcome refused;
  AttemptRequest without_key = Request();
  without_key.key.reset();
  const auto attempt = gate->Submit(without_key, &refused);
  attempt->Begin();
  CHECK(refused.failure.has_value());
  CHECK(refused.failure->verdict == Verdict::kNotRun);
  CHECK(refused.failure->reason == FailureReason::kNoWorker);
}

// Guards against senders that are not told that a worker refuses requests with slots free, or that
// take a full worker for such a one.
TEST(WorkerGate, TheLoadTellsTheShareThatAWorkerRefusesWithFreeSlots) {
  const auto refused_percent_after = [&](const std::string& load) {
    worker.set_behaviour([load](const http::ExchangePtr& exchange) {
      http::Headers headers = RunHeaders(exchange);
      headers.Add("Not-Executed", "1");
      headers.Add("Server-Load", load);
      exchange->Respond(503, headers, "");
    });
    for (int round = 0; round < 10; ++round) {
      Outcome outcome;
      const auto attempt = gate->Submit(Request(), &outcome);
      attempt->Begin();
      CHECK(RunUntil(loop, [&] { return outcome.failure.has_value(); }));
    }
    return gate->load().refused_percent;
  };
  UNSIGNED_LONGS_EQUAL(0, refused_percent_after("2,3,2,100"));
  CHECK(refused_percent_after("1,0,2,100") > 20);
  gate->SetWorker("next", "shop", 2);
  UNSIGNED_LONGS_EQUAL(0, gate->load().refused_percent);
}

// Guards against an idle worker that refuses part of its requests for another reason: each refusal
// took slots from it, until it was sent one request at a time.
TEST(WorkerGate, AWorkerThatRefusesWithFreeSlotsKeepsThem) {
  gate->SetWorker("w", "shop", 8);
  const auto refuse = [&](const std::string& load) {
    for (int round = 0; round < 6; ++round) {
      Outcome outcome;
      const auto attempt = gate->Submit(Request(), &outcome);
      attempt->Begin();
      CHECK(RunUntil(loop, [&] { return held.size() == 1; }));
      http::Headers headers = RunHeaders(held[0]);
      headers.Add("Not-Executed", "1");
      headers.Add("Server-Load", load);
      held[0]->Respond(503, headers, "");
      held.clear();
      CHECK(RunUntil(loop, [&] { return outcome.failure.has_value(); }));
      CHECK(outcome.failure->reason == FailureReason::kWorkerRefused);
      event::RunFor(loop, std::chrono::milliseconds(110));
    }
  };
  const auto sent_at_once = [&] {
    std::vector<std::unique_ptr<Outcome>> outcomes;
    std::vector<std::unique_ptr<Attempt>> attempts;
    for (int count = 0; count < 8; ++count) {
      outcomes.push_back(std::make_unique<Outcome>());
      attempts.push_back(gate->Submit(Request(), outcomes.back().get()));
      attempts.back()->Begin();
    }
    event::RunFor(loop, std::chrono::milliseconds(50));
    const size_t sent = held.size();
    held.clear();
    return sent;
  };
  refuse("1,0,8,100");
  UNSIGNED_LONGS_EQUAL(8, sent_at_once());
  refuse("8,3,8,100");
  CHECK(sent_at_once() < 8);
}

#include "runshelf/routing/request_router.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>

using runshelf::Duration;
using runshelf::Instant;
using runshelf::SeededRandom;
using runshelf::SlotOfKey;
using runshelf::Verdict;
using namespace runshelf::routing;  // NOLINT(google-build-using-namespace): the part under test.

namespace {

const Instant kStart(std::chrono::seconds(100));
constexpr uint32_t kSlots = 8;

RoutingSnapshot MakeSnapshot(uint64_t version, size_t targets, uint32_t owner) {
  RoutingSnapshot snapshot;
  snapshot.version = version;
  ServiceRoutes& routes = snapshot.services["dispatch"];
  routes.slot_count = kSlots;
  routes.slot_owners.assign(kSlots, owner);
  for (size_t index = 0; index < targets; ++index) {
    RouteTarget target;
    target.instance = {"node-" + std::to_string(index), index + 1};
    target.zone = "a";
    routes.targets.push_back(target);
  }
  return snapshot;
}

RequestInfo MakeInfo(bool keyed) {
  RequestInfo info;
  info.service = "dispatch";
  info.caller_class = "desk";
  if (keyed) info.key = "release-1";
  info.deadline = kStart + std::chrono::seconds(2);
  return info;
}

// Retries on any error, at once, at any target: what must not be done.
class NaiveRouter {
 public:
  NaiveRouter(RequestInfo, const RouterConfig&, RouterState&, SeededRandom&) {}
  Step Start(Instant now, const RoutingSnapshot& snapshot) { return OnWaitOver(now, snapshot); }
  Step OnWaitOver(Instant now, const RoutingSnapshot& snapshot) {
    if (++attempts_ > 4) return GiveUpStep{503, Verdict::kNotRun, "failed", Duration(1)};
    const auto& targets = snapshot.services.at("dispatch").targets;
    return ForwardStep{targets[attempts_ % targets.size()], std::nullopt, now};
  }
  Step OnAttemptResult(Instant now, const RoutingSnapshot& snapshot, const AttemptResult& result) {
    if (result.outcome == AttemptOutcome::kAnswered) return DeliverStep{};
    return OnWaitOver(now, snapshot);
  }

 private:
  size_t attempts_ = 0;
};

struct RunRecord {
  int runs = 0;
  bool delivered = false;
  std::optional<GiveUpStep> give_up;
  Instant finished_at;
};

// Drives one request through random outcomes and moving ownership, and records when it truly ran.
template <typename Router>
RunRecord Drive(uint64_t seed, const RequestInfo& info, RouterState& state) {
  SeededRandom random(seed);
  const RouterConfig config;
  Router router(info, config, state, random);
  RoutingSnapshot snapshot = MakeSnapshot(seed * 1000, 4, 0);
  Instant now = kStart;
  RunRecord record;
  Step step = router.Start(now, snapshot);
  while (true) {
    if (random.Below(3) == 0) {
      const auto owner = static_cast<uint32_t>(random.Below(5));
      snapshot = MakeSnapshot(snapshot.version + 1, 4, owner == 4 ? kNoOwner : owner);
    }
    if (std::holds_alternative<DeliverStep>(step)) record.delivered = true;
    if (auto* give_up = std::get_if<GiveUpStep>(&step)) record.give_up = *give_up;
    if (record.delivered || record.give_up.has_value()) break;
    if (const auto* wait = std::get_if<WaitStep>(&step)) {
      now = random.Below(2) == 0 ? wait->until : std::min(wait->until, now + Duration(500));
      step = router.OnWaitOver(now, snapshot);
      continue;
    }
    AttemptResult result;
    result.outcome = static_cast<AttemptOutcome>(random.Below(8));
    const Verdict verdict = VerdictOf(result.outcome);
    const bool unclear_but_ran = verdict == Verdict::kMayHaveRun && random.Below(2) == 0;
    if (verdict == Verdict::kRan || unclear_but_ran) ++record.runs;
    now += random.Between(Duration(100), std::chrono::milliseconds(30));
    step = router.OnAttemptResult(now, snapshot, result);
  }
  record.finished_at = now;
  return record;
}

}  // namespace

TEST_GROUP(RequestRouter) {
  RouterConfig config;
  RouterState state{RouterStateConfig{}};
  SeededRandom random{5};

  GiveUpStep GiveUpOf(const Step& step) {
    CHECK(std::holds_alternative<GiveUpStep>(step));
    return std::get<GiveUpStep>(step);
  }
  ForwardStep ForwardOf(const Step& step) {
    CHECK(std::holds_alternative<ForwardStep>(step));
    return std::get<ForwardStep>(step);
  }
};

TEST(RequestRouter, RunsAtMostOnceAndNeverSaysNotRunFalsely) {
  RouterState shared{RouterStateConfig{}};
  int may_have_run_answers = 0;
  for (uint64_t seed = 1; seed <= 20'000; ++seed) {
    RequestInfo info = MakeInfo(seed % 2 == 0);
    info.repeatable = seed % 5 == 0;
    const RunRecord record = Drive<RequestRouter>(seed, info, shared);
    if (!info.repeatable) CHECK(record.runs <= 1);
    if (record.delivered) CHECK(record.runs >= 1);
    if (record.give_up.has_value()) {
      if (record.give_up->verdict == Verdict::kNotRun) LONGS_EQUAL(0, record.runs);
      if (record.give_up->verdict == Verdict::kMayHaveRun) ++may_have_run_answers;
      CHECK(record.give_up->retry_after > Duration::zero());
    }
    CHECK(record.finished_at <= info.deadline + std::chrono::milliseconds(30));
  }
  CHECK(may_have_run_answers > 1000);
}

TEST(RequestRouter, NaiveRetryOnAnyErrorRepeatsARun) {
  int repeated = 0;
  int false_not_run = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    const RunRecord record = Drive<NaiveRouter>(seed, MakeInfo(false), state);
    if (record.runs > 1) ++repeated;
    if (record.give_up.has_value() && record.runs > 0) ++false_not_run;
  }
  CHECK(repeated > 0);
  CHECK(false_not_run > 0);
}

TEST(RequestRouter, WaitsForAnOwnerAndGoesWhenItIsKnown) {
  RequestRouter router(MakeInfo(true), config, state, random);
  const Step first = router.Start(kStart, MakeSnapshot(1, 2, kNoOwner));
  CHECK(std::get<WaitStep>(first).until == kStart + config.backoff_min);
  const Step second = router.OnWaitOver(kStart + Duration(100), MakeSnapshot(2, 2, 1));
  STRCMP_EQUAL("node-1", ForwardOf(second).target.instance.node.c_str());
  UNSIGNED_LONGS_EQUAL(SlotOfKey("release-1", kSlots), *ForwardOf(second).slot);
}

TEST(RequestRouter, WithoutAnOwnerAnswersBeforeTheDeadline) {
  const RequestInfo info = MakeInfo(true);
  RequestRouter router(info, config, state, random);
  const RoutingSnapshot snapshot = MakeSnapshot(1, 2, kNoOwner);
  Instant now = kStart;
  Step step = router.Start(now, snapshot);
  while (const auto* wait = std::get_if<WaitStep>(&step)) {
    CHECK(wait->until <= now + config.backoff_max);
    now = wait->until;
    step = router.OnWaitOver(now, snapshot);
  }
  CHECK(now < info.deadline);
  STRCMP_EQUAL("no_owner", GiveUpOf(step).reason.c_str());
  CHECK(GiveUpOf(step).verdict == Verdict::kNotRun);
}

TEST(RequestRouter, ADeadlineThatCannotBeMetGivesUpAtOnce) {
  RequestInfo info = MakeInfo(false);
  info.deadline = kStart + Duration(100);
  RequestRouter router(info, config, state, random);
  LONGS_EQUAL(504, GiveUpOf(router.Start(kStart, MakeSnapshot(1, 2, 0))).http_status);
}

TEST(RequestRouter, AnIdempotencyKeyAloneGoesToTheOwnerOfItsSlot) {
  RequestInfo info = MakeInfo(false);
  info.idempotency_key = "order-17";
  RequestRouter router(info, config, state, random);
  const ForwardStep step = ForwardOf(router.Start(kStart, MakeSnapshot(1, 4, 2)));
  STRCMP_EQUAL("node-2", step.target.instance.node.c_str());
  UNSIGNED_LONGS_EQUAL(SlotOfKey("order-17", kSlots), *step.slot);
}

TEST(RequestRouter, OverloadGoesToAnotherTargetByLoadButNotByOwnership) {
  const RoutingSnapshot snapshot = MakeSnapshot(1, 2, 0);
  const AttemptResult overloaded{AttemptOutcome::kOverloaded, std::chrono::milliseconds(300), {}};
  RequestRouter by_load(MakeInfo(false), config, state, random);
  const auto first = ForwardOf(by_load.Start(kStart, snapshot)).target.instance;
  CHECK(ForwardOf(by_load.OnAttemptResult(kStart, snapshot, overloaded)).target.instance != first);
  const GiveUpStep none_left = GiveUpOf(by_load.OnAttemptResult(kStart, snapshot, overloaded));
  STRCMP_EQUAL("overloaded", none_left.reason.c_str());
  RequestRouter by_owner(MakeInfo(true), config, state, random);
  ForwardOf(by_owner.Start(kStart, snapshot));
  const GiveUpStep give_up = GiveUpOf(by_owner.OnAttemptResult(kStart, snapshot, overloaded));
  CHECK(give_up.retry_after == std::chrono::milliseconds(300));
}

TEST(RequestRouter, ACallersRepeatIsNeverToldThatItDidNotRun) {
  RequestInfo info = MakeInfo(true);
  info.attempt = 2;
  RequestRouter router(info, config, state, random);
  const RoutingSnapshot snapshot = MakeSnapshot(1, 2, 0);
  ForwardOf(router.Start(kStart, snapshot));
  const Step step = router.OnAttemptResult(kStart, snapshot, {AttemptOutcome::kOverloaded, {}, {}});
  CHECK(GiveUpOf(step).verdict == Verdict::kMayHaveRun);
}

TEST(RequestRouter, RetriesStopWhenTheBudgetIsUsedUp) {
  const RoutingSnapshot snapshot = MakeSnapshot(1, 4, 0);
  int forwards = 0;
  int exhausted = 0;
  for (int request = 0; request < 1000; ++request) {
    RequestRouter router(MakeInfo(false), config, state, random);
    Step step = router.Start(kStart, snapshot);
    while (std::holds_alternative<ForwardStep>(step)) {
      ++forwards;
      step = router.OnAttemptResult(kStart, snapshot, {AttemptOutcome::kOverloaded, {}, {}});
    }
    if (GiveUpOf(step).reason == "retry_budget_exhausted") ++exhausted;
  }
  LONGS_EQUAL(1000 + 200 + 10, forwards);
  CHECK(exhausted > 700);
}

TEST(RequestRouter, ARequestThatIsGivenUpReleasesItsTarget) {
  const RoutingSnapshot snapshot = MakeSnapshot(1, 1, 0);
  {
    RequestRouter router(MakeInfo(false), config, state, random);
    router.Start(kStart, snapshot);
    LONGS_EQUAL(1, state.load_balancer.Outstanding({"node-0", 1}));
  }
  LONGS_EQUAL(0, state.load_balancer.Outstanding({"node-0", 1}));
}

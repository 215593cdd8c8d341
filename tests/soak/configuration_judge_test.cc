#include "tests/soak/configuration_judge.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using namespace runshelf::soak;

// The first configuration, acknowledged at 100 s, routes "read" to "plain". The second one,
// acknowledged at 110 s, routes it to "other" and adds the route "new".
TEST_GROUP(ConfigurationJudge) {
  ConfigurationJudge judge{ConfigurationBounds{}};

  void setup() override {
    judge.OnConfiguration(At(100), {{"read", {"plain"}}});
    judge.OnConfiguration(At(110), {{"read", {"other"}}, {"new", {"plain"}}});
  }

  static Instant At(double seconds) {
    return Instant(Duration(static_cast<int64_t>(seconds * 1'000'000)));
  }
  void Handle(double sent, const std::string& route, std::optional<std::string> service,
              int life = 1, bool in_touch = true) {
    HandledRequest request;
    request.id = "a1";
    request.life = life;
    request.sent_at = At(sent);
    request.seen_at = At(sent + 0.01);
    request.route = route;
    request.service = std::move(service);
    request.in_touch = in_touch;
    judge.OnHandled(request);
  }
};

TEST(ConfigurationJudge, OldAndNewConfigurationMayApplyWithinTheBound) {
  Handle(109, "read", "plain");
  Handle(111, "read", "plain");
  Handle(111.5, "read", "other");
  Handle(109, "new", std::nullopt, 2);
  CHECK(judge.violations().empty());
}

TEST(ConfigurationJudge, OnlyTheNewConfigurationMayApplyAfterTheBound) {
  Handle(112.5, "read", "plain", 1, /*in_touch=*/false);
  CHECK(judge.violations().empty());
  Handle(112.5, "read", "plain");
  CHECK_EQUAL(1, judge.violations().size());
  Handle(112.5, "new", std::nullopt);
  CHECK_EQUAL(2, judge.violations().size());
}

TEST(ConfigurationJudge, AProcessNeverRevertsToAnOlderConfiguration) {
  Handle(110.5, "read", "other", 1, /*in_touch=*/false);
  Handle(110.6, "read", "plain", 1, /*in_touch=*/false);  // Sent within the rollback slack.
  Handle(111, "read", "plain", 2, /*in_touch=*/false);    // Another process incarnation.
  CHECK(judge.violations().empty());
  Handle(111, "read", "plain", 1, /*in_touch=*/false);
  CHECK_EQUAL(1, judge.violations().size());
}

TEST(ConfigurationJudge, ARevertIsDetectedAfterARouteIsRemovedAgain) {
  judge.OnConfiguration(At(120), {{"read", {"other"}}});
  Handle(120.5, "new", std::nullopt, 1, /*in_touch=*/false);
  CHECK(judge.violations().empty());  // Also consistent with the first configuration.
  Handle(119, "read", "other", 1, /*in_touch=*/false);
  Handle(121, "read", "plain", 1, /*in_touch=*/false);
  CHECK_EQUAL(1, judge.violations().size());
}

TEST(ConfigurationJudge, AServiceThatNoConfigurationAllowsIsAViolation) {
  Handle(111, "read", "keyed");
  CHECK_EQUAL(1, judge.violations().size());
}

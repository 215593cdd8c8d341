#include "tools/load/call_generator.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace runshelf::load;  // NOLINT(google-build-using-namespace)

TEST_GROUP(CallGenerator) {
  GeneratorConfig config;

  void setup() override {
    config.services = {{"feedread", true, 0.0, 3.0}, {"dispatch", false, 1.0, 1.0}};
    config.classes = {{"newsroom", 1.0}, {"clerk", 1.0}};
    config.seed = 20261202;
  }
};

TEST(CallGenerator, SameSeedYieldsTheSameCalls) {
  CallGenerator first(config);
  CallGenerator second(config);
  for (int index = 0; index < 500; ++index) {
    const PlannedCall left = first.Next();
    const PlannedCall right = second.Next();
    CHECK(left.due == right.due);
    STRCMP_EQUAL(left.call.c_str(), right.call.c_str());
    STRCMP_EQUAL(left.key.c_str(), right.key.c_str());
    STRCMP_EQUAL(left.caller_class.c_str(), right.caller_class.c_str());
  }
}

TEST(CallGenerator, SharesAndRateAreKept) {
  CallGenerator generator(config);
  std::map<std::string, int> calls;
  PlannedCall call;
  for (int index = 0; index < 10'000; ++index) {
    call = generator.Next();
    ++calls[call.service];
    CHECK_EQUAL(call.service == "feedread", !call.key.empty());
    CHECK_EQUAL(call.service == "dispatch", call.write);
  }
  DOUBLES_EQUAL(0.75, calls["feedread"] / 10'000.0, 0.03);
  DOUBLES_EQUAL(100.0, static_cast<double>(call.due.count()) / 1e6, 5.0);
}

TEST(CallGenerator, ZipfHasAHotKeyThatChanges) {
  config.services = {{"feedread", true, 0.0, 1.0}};
  config.key_distribution = KeyDistribution::kZipf;
  config.hot_set_period = std::chrono::seconds(10);
  CallGenerator generator(config);
  std::map<int64_t, std::map<std::string, int>> counts;  // By period and key.
  for (int index = 0; index < 2'000; ++index) {
    const PlannedCall call = generator.Next();
    ++counts[call.due / config.hot_set_period][call.key];
  }
  CHECK(counts[0]["feedread-key-0"] > 80);
  CHECK(counts[1]["feedread-key-0"] < 20);
}

// Whole scenarios with fixed seeds: repeatable to the byte, and without violations.

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <string>

#include "tools/sim/simulation.h"

using runshelf::sim::FaultName;
using runshelf::sim::FindDeployment;
using runshelf::sim::FormatReport;
using runshelf::sim::ParseFaults;
using runshelf::sim::Report;
using runshelf::sim::RunSimulation;
using runshelf::sim::SimulationConfig;

TEST_GROUP(Seeds) {
  SimulationConfig config;

  void setup() override { config.steps = 1000; }

  void CheckClean(const std::string& deployment, uint64_t seed, const std::string& faults) {
    config.deployment = *FindDeployment(deployment);
    config.seed = seed;
    config.faults = *ParseFaults(faults);
    const Report report = RunSimulation(config);
    const std::string name =
        fmt::format("{} seed {} faults {}\n{}", deployment, seed, faults, FormatReport(report));
    UNSIGNED_LONGS_EQUAL_TEXT(0, report.violations.total(), name.c_str());
    CHECK_TEXT(report.requests.ran > 1000, name.c_str());
  }

  void CheckBoth(const std::string& faults) {
    CheckClean("himalwire", 1, faults);
    CheckClean("lagesse", 2, faults);
  }
};

TEST(Seeds, SameSeedSameReport) {
  config.deployment = *FindDeployment("lagesse");
  config.seed = 5;
  const std::string first = FormatReport(RunSimulation(config));
  STRCMP_EQUAL(first.c_str(), FormatReport(RunSimulation(config)).c_str());
  config.seed = 6;
  CHECK(first != FormatReport(RunSimulation(config)));
}

TEST(Seeds, WithoutFaultsNothingMovesAndNothingIsUnavailable) {
  config.deployment = *FindDeployment("himalwire");
  config.no_faults = true;
  const Report report = RunSimulation(config);
  UNSIGNED_LONGS_EQUAL(0, report.violations.total());
  LONGS_EQUAL(0, report.unavailable.largest.count());
  UNSIGNED_LONGS_EQUAL(0, report.requests.not_run + report.requests.may_have_run);
}

TEST(Seeds, CrashedMachines) { CheckBoth("crash_machine"); }
TEST(Seeds, CrashedServersAndDaemons) { CheckBoth("crash_server,crash_daemon"); }
TEST(Seeds, PausedMachines) { CheckBoth("pause_machine"); }
TEST(Seeds, PausedServersAndDaemons) { CheckBoth("pause_server,pause_daemon"); }
TEST(Seeds, PlannedLeaves) { CheckBoth("planned_leave,unlisted_leave"); }
TEST(Seeds, Joins) { CheckBoth("join"); }
TEST(Seeds, LossyNetwork) { CheckBoth("lossy_network"); }
TEST(Seeds, PlatformAwayWhileMachinesCrash) { CheckBoth("platform_outage,crash_machine"); }
TEST(Seeds, PlatformLosesAnswers) { CheckBoth("platform_lost_answers,platform_slow"); }
TEST(Seeds, ServersLoseAnswers) { CheckBoth("lost_answers,slow_server"); }

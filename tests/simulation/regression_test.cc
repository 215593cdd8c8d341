// Scenarios that once showed a violation or a slot unserved for too long; each names what was
// wrong.

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <string>

#include "tools/sim/simulation.h"

using runshelf::sim::FindDeployment;
using runshelf::sim::FormatReport;
using runshelf::sim::ParseFaults;
using runshelf::sim::Report;
using runshelf::sim::RunSimulation;
using runshelf::sim::SimulationConfig;

namespace {

// Within this time a slot of a lost server has to be served again.
constexpr runshelf::Duration kServedAgain = std::chrono::seconds(2);

}  // namespace

TEST_GROUP(Regression){Report Run(const std::string& deployment, uint64_t seed,
                                  const std::string& faults){SimulationConfig config;
config.deployment = *FindDeployment(deployment);
config.seed = seed;
config.steps = 3000;
if (!faults.empty()) config.faults = *ParseFaults(faults);
return RunSimulation(config);
}

void CheckClean(const std::string& deployment, uint64_t seed, const std::string& faults = "") {
  const Report report = Run(deployment, seed, faults);
  UNSIGNED_LONGS_EQUAL_TEXT(0, report.violations.total(), FormatReport(report).c_str());
}

void CheckServedAgain(uint64_t seed, const std::string& faults) {
  const Report report = Run("himalwire", seed, faults);
  UNSIGNED_LONGS_EQUAL_TEXT(0, report.violations.total(), FormatReport(report).c_str());
  CHECK_TEXT(report.unavailable.largest < kServedAgain, FormatReport(report).c_str());
}
}
;

// A leader that regained its lease in the same term forgot a proposed handover: two owners.
TEST(Regression, LeaseRegainedInTheSameTerm) { CheckClean("lagesse", 5); }

// A daemon that was merely cut off gave up its generation for long.
TEST(Regression, CutOffDaemonIsNotSealed) { CheckClean("himalwire", 3); }

// Only SIGTERM, not the machine list, closed a daemon to new work.
TEST(Regression, ListedLeaveClosesTheDaemon) { CheckClean("himalwire", 30); }

// The platform was cut off from all voters, but not from others.
TEST(Regression, EditSpreadsThoughNoVoterReachesThePlatform) { CheckClean("himalwire", 38); }

// A new process on a machine that was leaving already took work.
TEST(Regression, NewProcessOnALeavingMachineStaysOut) { CheckClean("lagesse", 22); }

// A slot that a frozen server was handing over was nobody's for seconds.
TEST(Regression, HandoverByAFrozenServer) { CheckServedAgain(118, "pause_server"); }

// A leader was lost just before it would have moved the slots of a lost server.
TEST(Regression, LeaderLostAfterAServer) { CheckServedAgain(134, "crash_machine"); }

// Slots went to a machine that had been lost a moment before.
TEST(Regression, TakerLostAMomentBefore) { CheckServedAgain(137, "crash_machine"); }

// A server that was restarted quickly took a grant of its former process, whose slots others had.
TEST(Regression, GrantOfAFormerProcess) {
  CheckClean("himalwire", 13, "crash_server");
  CheckClean("lagesse", 12, "crash_server");
}

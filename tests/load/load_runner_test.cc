// The load tool against a stand-in server, end to end.

#include "tools/load/load_runner.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <sstream>

#include "tools/load/judge.h"
#include "tools/server_standin/http_server.h"

using namespace runshelf::load;  // NOLINT(google-build-using-namespace)
using runshelf::server_standin::HttpServer;
using runshelf::server_standin::RequestExecutor;

TEST_GROUP(LoadRunner) {
  runshelf::SystemClock clock;
  runshelf::server_standin::ServerConfig server_config;
  LoadConfig config;
  std::atomic<bool> stop = false;
  Evidence evidence;

  void setup() override {
    server_config.service = "dispatch";
    server_config.server = "dispatch-1";
    server_config.service_time = runshelf::Duration(0);
    config.generator.services = {{"dispatch", false, 0.5, 1.0}};
    config.generator.classes = {{"newsroom", 1.0}};
    config.generator.calls_per_second = 400;
    config.direct = true;
    config.length = std::chrono::milliseconds(500);
    config.threads = 8;
  }

  void Run(RequestExecutor & executor) {
    const auto server = HttpServer::Start("127.0.0.1:0", executor);
    CHECK(server.ok());
    config.endpoints = {{"127.0.0.1:" + std::to_string((*server)->port()), "dispatch"}};
    evidence.attempts = RunLoad(config, clock, stop);
    std::istringstream lines(executor.RecordLines(0));
    for (std::string line; std::getline(lines, line);) {
      const auto entry = runshelf::server_standin::ParseRecordLine(line);
      CHECK(entry.ok());
      evidence.executions.push_back(std::get<Execution>(*entry));
    }
    SortByTime(evidence);
  }
};

TEST(LoadRunner, EveryCallIsAnsweredAndExecutedOnce) {
  RequestExecutor executor(server_config, clock);
  Run(executor);
  CHECK(evidence.attempts.size() > 100);
  UNSIGNED_LONGS_EQUAL(evidence.attempts.size(), evidence.executions.size());
  for (const AttemptRecord& attempt : evidence.attempts) CHECK(attempt.Succeeded());
  CHECK(Judge(evidence).empty());
}

TEST(LoadRunner, AStoppedLoadSendsNothing) {
  RequestExecutor executor(server_config, clock);
  stop = true;
  Run(executor);
  CHECK(evidence.attempts.empty());
  CHECK(evidence.executions.empty());
}

TEST(LoadRunner, LostAnswersAreRepeatedUnderTheirKeyAndTheJudgeSeesIt) {
  RequestExecutor executor(server_config, clock);
  runshelf::server_standin::Faults faults;
  faults.lose_answers = 20;
  executor.Inject(faults);
  config.generator.services[0].write_share = 1.0;
  config.generator.idempotent_share = 1.0;
  Run(executor);
  size_t repeated = 0;
  size_t cut = 0;
  for (const Finding& finding : Judge(evidence)) {
    CHECK(finding.violation == Violation::kRepeatedRun ||
          finding.violation == Violation::kCutRequest);
    if (finding.violation == Violation::kRepeatedRun) ++repeated;
    if (finding.violation == Violation::kCutRequest) ++cut;
  }
  CHECK(repeated > 0);
  UNSIGNED_LONGS_EQUAL(20, cut);
}

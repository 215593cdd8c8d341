#include "tools/server_standin/request_executor.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <future>
#include <thread>

using runshelf::Duration;
using runshelf::Instant;
using runshelf::server_standin::ExecutionResult;
using runshelf::server_standin::Refusal;
using runshelf::server_standin::RequestExecutor;
using runshelf::server_standin::ServerConfig;
using runshelf::server_standin::ServerRequest;
using runshelf::server_standin::ServerState;

namespace {

using std::chrono::milliseconds;

class ManualClock : public runshelf::Clock {
 public:
  Instant Now() const override { return runshelf::InstantFromMicroseconds(now_.load()); }
  void Advance(Duration duration) { now_ += duration.count(); }

 private:
  std::atomic<int64_t> now_{1'000'000};
};

ServerConfig Config(Duration service_time) {
  ServerConfig config;
  config.service = "feedread";
  config.server = "feedread-1";
  config.slots = 1;
  config.queue_limit = 1;
  config.service_time = service_time;
  return config;
}

ServerRequest Request(const std::string& id) {
  ServerRequest request;
  request.request_id = id;
  request.time_left = milliseconds(1000);
  return request;
}

ServerRequest OwnedRequest(const std::string& id) {
  ServerRequest request = Request(id);
  request.slot = 1;
  request.token = {1, 1, 1};
  return request;
}

}  // namespace

TEST_GROUP(RequestExecutor) {
  ManualClock clock;

  std::future<ExecutionResult> Start(RequestExecutor & executor, const ServerRequest& request) {
    return std::async(std::launch::async,
                      [&executor, request] { return executor.Execute(request); });
  }

  void AwaitRunning(RequestExecutor & executor, uint32_t running, uint32_t queued) {
    while (executor.Health().running != running || executor.Health().queued != queued) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }
};

TEST(RequestExecutor, ExecutesAndRecords) {
  RequestExecutor executor(Config(Duration(0)), clock);
  CHECK_FALSE(executor.Execute(Request("a")).refusal.has_value());
  CHECK(executor.RecordLines(0).find("\"request_id\":\"a\"") != std::string::npos);
  CHECK_FALSE(executor.Cancel("a"));
}

TEST(RequestExecutor, GrantIsCheckedAtTheInstantOfExecution) {
  RequestExecutor executor(Config(milliseconds(20)), clock);
  CHECK(executor.InstallGrant({{1, 1, 1}, clock.Now() + milliseconds(10), {{0, 3}}}));
  const size_t recorded = 1;  // The grant.
  auto lapsing = Start(executor, OwnedRequest("lapsing"));
  AwaitRunning(executor, 1, 0);
  clock.Advance(milliseconds(30));
  CHECK(lapsing.get().refusal == Refusal::kNotOwner);
  CHECK(executor.RecordLines(recorded).empty());

  CHECK(executor.InstallGrant({{1, 1, 1}, clock.Now() + milliseconds(1000), {{0, 3}}}));
  auto moved = Start(executor, OwnedRequest("moved"));
  AwaitRunning(executor, 1, 0);
  CHECK(executor.InstallGrant({{1, 1, 2}, clock.Now() + milliseconds(1000), {{0, 0}}}));
  clock.Advance(milliseconds(30));
  CHECK(moved.get().refusal == Refusal::kNotOwner);
  CHECK_FALSE(executor.InstallGrant({{1, 1, 1}, clock.Now() + milliseconds(1000), {{0, 3}}}));
}

TEST(RequestExecutor, FullQueueShedsAndCancelledRequestsNeverExecute) {
  RequestExecutor executor(Config(milliseconds(20)), clock);
  auto running = Start(executor, Request("running"));
  AwaitRunning(executor, 1, 0);
  auto queued = Start(executor, Request("queued"));
  AwaitRunning(executor, 1, 1);
  CHECK(executor.Execute(Request("shed")).refusal == Refusal::kOverloaded);
  CHECK(executor.Cancel("queued"));
  CHECK(executor.Cancel("running"));
  CHECK(queued.get().refusal == Refusal::kCancelled);
  CHECK(running.get().refusal == Refusal::kCancelled);
  CHECK(executor.Cancel("later"));
  CHECK(executor.Execute(Request("later")).refusal == Refusal::kCancelled);
  CHECK(executor.RecordLines(0).empty());
  UNSIGNED_LONGS_EQUAL(0, executor.Health().running);
}

TEST(RequestExecutor, DeadlineIsCheckedAtTheInstantOfExecution) {
  RequestExecutor executor(Config(milliseconds(20)), clock);
  auto late = Start(executor, Request("late"));
  AwaitRunning(executor, 1, 0);
  clock.Advance(milliseconds(1001));
  CHECK(late.get().refusal == Refusal::kDeadline);
  CHECK(executor.RecordLines(0).empty());
}

TEST(RequestExecutor, DrainRefusesNewRequestsAndFinishesTheOthers) {
  RequestExecutor executor(Config(milliseconds(20)), clock);
  auto running = Start(executor, Request("running"));
  AwaitRunning(executor, 1, 0);
  executor.Drain();
  CHECK(executor.Execute(Request("new")).refusal == Refusal::kDraining);
  clock.Advance(milliseconds(30));
  CHECK_FALSE(running.get().refusal.has_value());
}

TEST(RequestExecutor, HealthReportsTheStateOfEarlier) {
  ServerConfig config = Config(Duration(0));
  config.load_report_lag = milliseconds(100);
  RequestExecutor executor(config, clock);
  CHECK(executor.Health().state == ServerState::kServing);
  executor.Drain();
  clock.Advance(milliseconds(50));
  CHECK(executor.Health().state == ServerState::kServing);
  clock.Advance(milliseconds(100));
  CHECK(executor.Health().state == ServerState::kDraining);
}

#include "tests/daemon/fake_server_control.h"

#include <chrono>

namespace runshelf::daemon {
namespace {

using transport::HttpOutcome;
using transport::HttpResult;

constexpr int kStatusOk = 200;

// Only ends a test that hangs.
constexpr auto kLimit = std::chrono::seconds(60);

}  // namespace

void FakeServerControl::EndProcess() {
  const std::lock_guard lock(mutex_);
  running_ = false;
}

void FakeServerControl::StartProcess() {
  const std::lock_guard lock(mutex_);
  running_ = true;
  accepted_ = 0;
}

void FakeServerControl::HoldGrants() {
  const std::lock_guard lock(mutex_);
  hold_grants_ = true;
}

void FakeServerControl::LetGrantsGo() {
  const std::lock_guard lock(mutex_);
  hold_grants_ = false;
  changed_.notify_all();
}

bool FakeServerControl::AwaitHeldGrant() {
  std::unique_lock lock(mutex_);
  return changed_.wait_for(lock, kLimit, [this] { return held_grants_ > 0; });
}

void FakeServerControl::LoseNextGrant() {
  const std::lock_guard lock(mutex_);
  lose_next_grant_ = true;
}

bool FakeServerControl::AwaitHealthChecks(int count) {
  std::unique_lock lock(mutex_);
  const int awaited = health_checks_ + count;
  return changed_.wait_for(lock, kLimit, [&] { return health_checks_ >= awaited; });
}

int FakeServerControl::accepted() const {
  const std::lock_guard lock(mutex_);
  return accepted_;
}

HttpResult FakeServerControl::Control(const std::string& method, const std::string&,
                                      const std::string&, Instant) {
  if (method == "PUT") {
    return TakeGrant();
  }
  const std::lock_guard lock(mutex_);
  ++health_checks_;
  changed_.notify_all();
  return ExchangeLocked();
}

HttpResult FakeServerControl::TakeGrant() {
  std::unique_lock lock(mutex_);
  ++held_grants_;
  changed_.notify_all();
  changed_.wait(lock, [this] { return !hold_grants_; });
  --held_grants_;
  if (lose_next_grant_) {
    lose_next_grant_ = false;
    return {HttpOutcome::kConnectionLost, {}, false, "lost"};
  }
  accepted_ += running_ ? 1 : 0;
  return ExchangeLocked();
}

HttpResult FakeServerControl::ExchangeLocked() const {
  HttpResult result;
  result.refused = !running_;
  if (running_) {
    result.outcome = HttpOutcome::kAnswered;
    result.response.status = kStatusOk;
    result.response.body = R"({"state":"serving"})";
  }
  return result;
}

}  // namespace runshelf::daemon

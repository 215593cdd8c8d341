// What the tests of the platform part share.
#pragma once

#include <CppUTest/TestHarness.h>
#include <absl/status/status.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>

#include "runshelf/common/clock.h"
#include "runshelf/infrastructure/etcd_key_value_store.h"
#include "tools/platform_standin/platform_server.h"

namespace runshelf::platform_test {

// Ample for any call that is expected to succeed on a busy machine.
inline constexpr Duration kCallTimeout = std::chrono::seconds(30);

// A clock that stands still until it is told to advance.
class ManualClock : public Clock {
 public:
  Instant Now() const override { return InstantFromMicroseconds(now_us_.load()); }
  void Advance(Duration duration) { now_us_ += duration.count(); }

 private:
  std::atomic<int64_t> now_us_{1'000'000};
};

// A stand-in platform on a free port, and a client of it.
struct StandIn {
  StandIn() {
    auto started = platform_standin::PlatformServer::Start({}, clock);
    CHECK_TRUE(started.ok());
    server = *std::move(started);
    auto made = infrastructure::MakeEtcdKeyValueStore(server->address(), kCallTimeout);
    CHECK_TRUE(made.ok());
    store = *std::move(made);
  }

  platform_standin::PlatformState& state() { return server->state(); }

  void SetFaults(const platform_standin::FaultSettings& settings) {
    state().faults.Set(clock.Now(), settings);
  }

  ManualClock clock;
  std::unique_ptr<platform_standin::PlatformServer> server;
  std::unique_ptr<infrastructure::KeyValueStore> store;
};

inline void CheckCode(absl::StatusCode expected, const absl::Status& status) {
  STRCMP_EQUAL(absl::StatusCodeToString(expected).c_str(),
               absl::StatusCodeToString(status.code()).c_str());
}

}  // namespace runshelf::platform_test

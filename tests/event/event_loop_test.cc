#include "source/event/event_loop.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <memory>
#include <optional>

#include "source/event/loop_monitor.h"
#include "source/event/tcp_stream.h"
#include "source/event/udp_socket.h"
#include "tests/event/loop_runner.h"

using namespace runshelf;
using namespace runshelf::event;

TEST_GROUP(EventLoop) { EventLoop loop; };

TEST(EventLoop, TimerFiresOnceOrRepeatedly) {
  int once = 0;
  int often = 0;
  Timer single(loop, [&] { ++once; });
  Timer repeated(loop, [&] { ++often; });
  single.Start(std::chrono::milliseconds(1));
  repeated.Start(std::chrono::milliseconds(1), /*repeating=*/true);
  CHECK(RunUntil(loop, [&] { return often >= 5; }));
  CHECK_EQUAL(1, once);
  CHECK_FALSE(single.active());
  CHECK(repeated.active());
}

TEST(EventLoop, TimerMayBeDestroyedInItsCallback) {
  std::unique_ptr<Timer> timer;
  bool fired = false;
  timer = std::make_unique<Timer>(loop, [&] {
    fired = true;
    timer.reset();
  });
  timer->Start(Duration(0));
  CHECK(RunUntil(loop, [&] { return fired; }));
}

// On a machine that has been suspended since boot, CLOCK_MONOTONIC lags behind CLOCK_BOOTTIME.
TEST(EventLoop, ClockIncludesSuspendedTime) {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  const Instant since_start(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec)));
  CHECK(loop.Now() >= since_start);
  CHECK(loop.Now() < since_start + std::chrono::seconds(1));
}

// Guards against calls that time out immediately because the loop iteration that made them had
// already lasted longer than their time-out.
TEST(EventLoop, TimerStartedInLongIterationRunsFullDelay) {
  Instant started{};
  std::optional<Duration> ran;
  Timer inner(loop, [&] { ran = loop.Now() - started; });
  Timer outer(loop, [&] {
    const Instant end = loop.Now() + std::chrono::milliseconds(150);
    while (loop.Now() < end) {
    }
    started = loop.Now();
    inner.Start(std::chrono::milliseconds(100));
  });
  outer.Start(Duration(0));
  CHECK(RunUntil(loop, [&] { return ran.has_value(); }));
  CHECK(*ran >= std::chrono::milliseconds(99));
}

// Guards against an event that blocks the loop for a long time without being reported.
TEST(EventLoop, MonitorMeasuresBusyTimeOnly) {
  Duration longest{0};
  LoopMonitor monitor(loop, [&](Duration busy_time) { longest = std::max(longest, busy_time); });
  RunFor(loop, std::chrono::milliseconds(60));
  const Duration longest_without_work = longest;
  Timer busy(loop, [&] {
    const Instant end = loop.Now() + std::chrono::milliseconds(200);
    while (loop.Now() < end) {
    }
  });
  busy.Start(Duration(0));
  RunFor(loop, std::chrono::milliseconds(300));
  CHECK(longest >= std::chrono::milliseconds(200));
  CHECK(longest_without_work < std::chrono::milliseconds(50));
}

TEST(EventLoop, SignalIsDelivered) {
  int count = 0;
  SignalWatcher watcher(loop, SIGUSR1, [&] { ++count; });
  std::raise(SIGUSR1);
  CHECK(RunUntil(loop, [&] { return count == 1; }));
}

TEST(EventLoop, EndpointParsesAddressAndPort) {
  Endpoint endpoint;
  CHECK(Endpoint::Parse("10.1.0.8:8300", &endpoint));
  STRCMP_EQUAL("10.1.0.8", endpoint.ip.c_str());
  CHECK_EQUAL(8300, endpoint.port);
  STRCMP_EQUAL("10.1.0.8:8300", endpoint.ToString().c_str());
  for (const char* broken : {"", ":", "10.1.0.8", "10.1.0.8:", "10.1.0.8:x", "10.1.0.8:70000",
                             "name:80", "10.1.0:80", ":80"}) {
    CHECK_FALSE_TEXT(Endpoint::Parse(broken, &endpoint), broken);
  }
}

TEST(EventLoop, DatagramsAreDelivered) {
  std::string received;
  UdpSocket receiver(loop, [&](std::string_view data) { received = data; });
  UdpSocket sender(loop, nullptr);
  // Any free port will do. A fixed port below the ephemeral range may be in use, so several are
  // tried.
  Endpoint endpoint{"127.0.0.1", 21870};
  while (receiver.Bind(endpoint) != 0 && endpoint.port < 21900) ++endpoint.port;
  CHECK_EQUAL(0, sender.Bind({"127.0.0.1", 0}));
  sender.Send(endpoint, "report");
  CHECK(RunUntil(loop, [&] { return received == "report"; }));
}

// Entry point shared by all test programs.
//
// CppUTest's leak detector reports false leaks with RapidCheck and Abseil, whose allocations
// outlive a test, so it is turned off here; the AddressSanitizer build finds real leaks instead.

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakDetector.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestPlugin.h>
#include <CppUTest/TestRegistry.h>

#include <array>
#include <cstdlib>
#include <ctime>

namespace {

// Says when the clocks of the machine ran apart during a test: then it was suspended or stood
// still, or its time of day was set. A test in real time may fail by that.
class ClockWatch : public TestPlugin {
 public:
  ClockWatch() : TestPlugin("ClockWatch") {}

  void preTestAction(UtestShell& /*test*/, TestResult& /*result*/) override { Read(&began_); }

  void postTestAction(UtestShell& /*test*/, TestResult& result) override {
    Readings ended{};
    Read(&ended);
    const long steady = ended[0] - began_[0];
    const long with_suspension = ended[1] - began_[1] - steady;
    const long time_of_day = ended[2] - began_[2] - steady;
    if (std::abs(with_suspension) < kNoticedMs && std::abs(time_of_day) < kNoticedMs) return;
    result.print(StringFromFormat("\nclocks apart: steady %ld ms, with suspension %+ld ms, "
                                  "time of day %+ld ms\n",
                                  steady, with_suspension, time_of_day)
                     .asCharString());
  }

 private:
  // Milliseconds of the steady clock, of the one that also counts suspensions, of the time of day.
  using Readings = std::array<long, 3>;
  static constexpr std::array<clockid_t, 3> kClocks = {CLOCK_MONOTONIC, CLOCK_BOOTTIME,
                                                       CLOCK_REALTIME};
  // More than reading them one after the other takes on a busy machine.
  static constexpr long kNoticedMs = 100;

  static void Read(Readings* readings) {
    for (size_t index = 0; index < kClocks.size(); ++index) {
      timespec time{};
      clock_gettime(kClocks[index], &time);
      (*readings)[index] = time.tv_sec * 1000 + time.tv_nsec / 1000000;
    }
  }

  Readings began_{};
};

}  // namespace

int main(int argc, char** argv) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  // Allocations of static initializers were recorded inside their own blocks: when such a block is
  // freed later, the detector would walk over freed memory.
  MemoryLeakWarningPlugin::getGlobalDetector()->clearAllAccounting(mem_leak_period_all);
  ClockWatch clock_watch;
  TestRegistry::getCurrentRegistry()->installPlugin(&clock_watch);
  return CommandLineTestRunner::RunAllTests(argc, argv);
}

// Entry point shared by all test programs.
//
// CppUTest's leak detector reports false leaks with RapidCheck and Abseil, whose allocations
// outlive a test, so it is turned off here; the AddressSanitizer build finds real leaks instead.

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakDetector.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char** argv) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  // Allocations of static initializers were recorded inside their own blocks: when such a block is
  // freed later, the detector would walk over freed memory.
  MemoryLeakWarningPlugin::getGlobalDetector()->clearAllAccounting(mem_leak_period_all);
  return CommandLineTestRunner::RunAllTests(argc, argv);
}

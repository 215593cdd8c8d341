// Entry point shared by all test programs.
//
// CppUTest's leak detector reports false leaks with RapidCheck and Abseil, whose allocations
// outlive a test, so it is turned off here; the AddressSanitizer build finds real leaks instead.

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char** argv) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}

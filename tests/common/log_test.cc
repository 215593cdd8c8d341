#include "runshelf/common/log.h"

#include <CppUTest/TestHarness.h>

using runshelf::FormatLogLine;
using runshelf::LogLevel;

TEST_GROUP(Log){};

TEST(Log, PlainValuesStayBare) {
  STRCMP_EQUAL(
      "level=info event=started node=a-1 port=7101",
      FormatLogLine(LogLevel::kInfo, "started", {{"node", "a-1"}, {"port", 7101}}).c_str());
}

TEST(Log, ValuesThatCouldForgeALineAreQuotedAndEscaped) {
  STRCMP_EQUAL(
      "level=error event=bad key=\"x\\x0alevel=info event=\\\"fine\\\"\"",
      FormatLogLine(LogLevel::kError, "bad", {{"key", "x\nlevel=info event=\"fine\""}}).c_str());
  STRCMP_EQUAL("level=error event=bad key=\"\"",
               FormatLogLine(LogLevel::kError, "bad", {{"key", ""}}).c_str());
}

#include "tools/load/attempt_record.h"

#include <CppUTest/TestHarness.h>

#include "tests/load/evidence_builder.h"

using runshelf::Verdict;
using runshelf::load::AttemptRecord;
using runshelf::load::ParseAttemptLine;

TEST_GROUP(AttemptRecord){};

TEST(AttemptRecord, LinesAreParsedBack) {
  AttemptRecord record = runshelf::load::Attempt("call \"1\"", Verdict::kMayHaveRun, "r");
  record.attempt = 3;
  record.idempotency_key = "i";
  record.direct = true;
  record.done_at = runshelf::load::At(77);
  const auto parsed = ParseAttemptLine(ToJsonLine(record));
  CHECK(parsed.ok());
  CHECK(*parsed == record);
  record.verdict.reset();
  CHECK(*ParseAttemptLine(ToJsonLine(record)) == record);
}

TEST(AttemptRecord, OtherTextIsRefused) {
  for (const char* line : {"", "[]", "{}", R"({"call":1})"}) {
    CHECK_FALSE(ParseAttemptLine(line).ok());
  }
}

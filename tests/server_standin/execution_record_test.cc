#include "tools/server_standin/execution_record.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

using runshelf::InstantFromMicroseconds;
using runshelf::server_standin::AcceptedGrant;
using runshelf::server_standin::Execution;
using runshelf::server_standin::ParseRecordLine;
using runshelf::server_standin::ParseSlotRanges;
using runshelf::server_standin::RecordEntry;

TEST_GROUP(ExecutionRecord){};

TEST(ExecutionRecord, LinesAreParsedBack) {
  Execution owned;
  owned.service = "feedread";
  owned.server = "feedread-1";
  owned.request_id = "r \"1\"";
  owned.idempotency_key = "i";
  owned.key = "k";
  owned.method = "POST";
  owned.path = "/k?call=run-1";
  owned.slot = 7;
  owned.token = runshelf::FencingToken{1, 2, 3};
  owned.at = InstantFromMicroseconds(123456);
  Execution unowned = owned;
  unowned.slot.reset();
  unowned.token.reset();
  const AcceptedGrant grant{"feedread",
                            "feedread-1",
                            {1, 2, 3},
                            {{0, 3}, {9, 9}},
                            InstantFromMicroseconds(5),
                            InstantFromMicroseconds(9)};
  for (const RecordEntry& entry : {RecordEntry(owned), RecordEntry(unowned), RecordEntry(grant)}) {
    const auto parsed = ParseRecordLine(ToJsonLine(entry));
    CHECK(parsed.ok());
    CHECK(*parsed == entry);
  }
}

TEST(ExecutionRecord, OtherTextIsRefused) {
  for (const char* line :
       {"", "[]", "{}", R"({"kind":"other"})", R"({"kind":"grant"})",
        R"({"kind":"execution","slot":-1,"token":"1.1.1"})", R"({"kind":"execution","slot":1})"}) {
    CHECK_FALSE(ParseRecordLine(line).ok());
  }
}

TEST(ExecutionRecord, SlotRangesMustAscend) {
  const auto valid = [](const char* text) {
    return ParseSlotRanges(nlohmann::json::parse(text)).has_value();
  };
  CHECK(valid("[]"));
  CHECK(valid("[[0,3],[5,5]]"));
  for (const char* text : {"{}", "[1]", "[[1]]", "[[3,1]]", "[[0,3],[3,4]]", "[[-1,2]]",
                           "[[0,4294967296]]", "[[0,\"1\"]]"}) {
    CHECK_FALSE(valid(text));
  }
}

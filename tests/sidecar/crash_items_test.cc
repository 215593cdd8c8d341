#include "source/sidecar/crash_items.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace runshelf::sidecar;

namespace {

const char kFingerprint[] = "0123456789abcdef0123456789abcdef";

}  // namespace

TEST_GROUP(CrashItems){};

TEST(CrashItems, WorkerEndRoundTrips) {
  const WorkerEnd end{"i-1@17", "n1", {*RequestFingerprint::Parse(kFingerprint)}};
  const auto read = WorkerEnd::Parse(end.Serialize());
  CHECK(read.has_value());
  STRCMP_EQUAL("i-1@17", read->worker_id.c_str());
  STRCMP_EQUAL("n1", read->node.c_str());
  CHECK(read->requests == end.requests);
}

TEST(CrashItems, QuarantineItemRoundTrips) {
  QuarantineItem item;
  item.trials = 2;
  item.worker_ids = {"a", "b"};
  item.description = "GET h/\xff";
  const auto read = QuarantineItem::Parse(item.Serialize());
  CHECK(read.has_value());
  CHECK(!read->released);
  CHECK_EQUAL(2U, read->trials);
  CHECK(read->worker_ids == item.worker_ids);
}

// Other clients of the store may write arbitrary data to these keys.
TEST(CrashItems, RejectsInvalidItems) {
  const std::string fingerprint = std::string("\"") + kFingerprint + "\"";
  for (const std::string& text :
       {std::string(), std::string("\xff\xfe"), std::string("[]"), std::string("7"),
        std::string(R"({"worker":"w","node":"n"})"),
        std::string(R"({"worker":"","node":"n","requests":[]})"),
        std::string(R"({"worker":7,"node":"n","requests":[]})"),
        std::string(R"({"worker":"w","node":"n","requests":"x"})"),
        std::string(R"({"worker":"w","node":"n","requests":["x"]})"),
        std::string(R"({"worker":"w","node":"n","requests":[)") + fingerprint + ",7]}",
        std::string(5000, '[')}) {
    CHECK_TEXT(!WorkerEnd::Parse(text).has_value(), text.c_str());
  }
  for (const std::string& text :
       {std::string("null"), std::string(R"({"released":false,"trials":1,"workers":[]})"),
        std::string(R"({"released":0,"trials":1,"workers":[],"asks":""})"),
        std::string(R"({"released":false,"trials":-1,"workers":[],"asks":""})"),
        std::string(R"({"released":false,"trials":1.5,"workers":[],"asks":""})"),
        std::string(R"({"released":false,"trials":99999999999,"workers":[],"asks":""})"),
        std::string(R"({"released":false,"trials":1,"workers":[7],"asks":""})"),
        std::string(R"({"released":false,"trials":1,"workers":{},"asks":""})")}) {
    CHECK_TEXT(!QuarantineItem::Parse(text).has_value(), text.c_str());
  }
}

#include "runshelf/consensus/message_json.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <string>
#include <utility>
#include <vector>

using namespace runshelf::consensus;
using nlohmann::json;
using runshelf::InstanceId;

namespace rc {

template <>
struct Arbitrary<InstanceId> {
  static Gen<InstanceId> arbitrary() {
    return gen::map<std::pair<uint8_t, uint64_t>>([](const std::pair<uint8_t, uint64_t>& parts) {
      return InstanceId{"n/" + std::to_string(parts.first), parts.second};
    });
  }
};

template <>
struct Arbitrary<LogEntry> {
  static Gen<LogEntry> arbitrary() {
    return gen::map(
        gen::tuple(gen::arbitrary<uint64_t>(), gen::arbitrary<uint64_t>(), gen::inRange(0, 3),
                   gen::arbitrary<std::string>(), gen::arbitrary<std::vector<InstanceId>>()),
        [](const auto& parts) {
          LogEntry entry;
          entry.index = std::get<0>(parts);
          entry.term = std::get<1>(parts);
          entry.kind = static_cast<EntryKind>(std::get<2>(parts));
          if (entry.kind == EntryKind::kCommand) entry.command = std::get<3>(parts);
          if (entry.kind == EntryKind::kVoters) entry.voters = std::get<4>(parts);
          return entry;
        });
  }
};

}  // namespace rc

namespace {

// Through text, as the messages travel.
void CheckRoundTrip(const Message& message) {
  const json decoded = json::parse(ToJson(message).dump(), nullptr, false);
  const auto again = MessageFromJson(decoded);
  RC_ASSERT(again.ok());
  RC_ASSERT(*again == message);
}

std::vector<Message> Samples() {
  const InstanceId voter{"n", 1};
  LogEntry entry;
  entry.index = 8;
  entry.kind = EntryKind::kVoters;
  entry.voters = {voter};
  AppendRequest append;
  append.entries = {entry};
  SnapshotRequest snapshot;
  snapshot.snapshot.voters = {voter};
  snapshot.snapshot.state = "\xff";
  return {VoteRequest(), VoteResponse(), append, AppendResponse(), snapshot};
}

}  // namespace

TEST_GROUP(MessageJson){};

TEST(MessageJson, MessagesAreDecodedAsTheyWereEncoded) {
  CHECK(rc::check([](uint64_t a, uint64_t b, uint64_t c, uint64_t d, uint64_t e, bool f, bool g) {
    CheckRoundTrip(VoteRequest{a, f, b, c});
    CheckRoundTrip(VoteResponse{a, f, g});
    CheckRoundTrip(AppendResponse{a, f, b, c});
    CheckRoundTrip(AppendRequest{a, b, c, d, e, *rc::gen::arbitrary<std::vector<LogEntry>>()});
    const Snapshot snapshot{a, b, *rc::gen::arbitrary<std::vector<InstanceId>>(),
                            *rc::gen::arbitrary<std::string>()};
    CheckRoundTrip(SnapshotRequest{c, d, snapshot});
  }));
}

TEST(MessageJson, OtherValuesAreRefused) {
  for (const char* text :
       {"null", "1", "[]", "{}", "\"vote\"", R"({"m":1})", R"({"m":"other"})", R"({"m":"vote"})",
        R"({"m":"vote","t":-1,"p":false,"i":1,"it":1})",
        R"({"m":"vote","t":1.5,"p":false,"i":1,"it":1})",
        R"({"m":"vote","t":1,"p":0,"i":1,"it":1})",
        R"({"m":"append","t":1,"i":1,"it":1,"c":1,"r":1,"e":{}})",
        R"({"m":"append","t":1,"i":1,"it":1,"c":1,"r":1,"e":[1]})",
        R"({"m":"append","t":1,"i":1,"it":1,"c":1,"r":1,"e":[{"i":1,"t":1,"k":3}]})",
        R"({"m":"append","t":1,"i":1,"it":1,"c":1,"r":1,"e":[{"i":1,"t":1,"k":1,"b":"*"}]})",
        R"({"m":"snapshot","t":1,"r":1,"s":{"i":1,"t":1,"v":["x"]}})",
        R"({"m":"snapshot","t":1,"r":1,"s":{"i":1,"t":1,"v":[""]}})",
        R"({"m":"snapshot","t":1,"r":1,"s":[]})"}) {
    const auto message = MessageFromJson(json::parse(text, nullptr, false));
    CHECK_TEXT(absl::IsInvalidArgument(message.status()), text);
  }
}

// Every field of every message, left out or given another type.
TEST(MessageJson, AnyBrokenFieldIsRefused) {
  const json wrong_values[] = {nullptr, -1, 0.5, json::array({json::object()}),
                               json::object({{"i", json::array()}})};
  for (const Message& sample : Samples()) {
    const json whole = ToJson(sample);
    for (const auto& [name, value] : whole.items()) {
      json without = whole;
      without.erase(name);
      CHECK_TEXT(!MessageFromJson(without).ok(), name.c_str());
      for (const json& wrong : wrong_values) {
        json broken = whole;
        broken[name] = wrong;
        CHECK_TEXT(!MessageFromJson(broken).ok(), name.c_str());
      }
    }
  }
}

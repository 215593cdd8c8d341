#include "source/sidecar/state_feed.h"

#include <CppUTest/TestHarness.h>

#include "source/sidecar/text_patch.h"

using namespace runshelf;
using namespace runshelf::sidecar;

TEST_GROUP(StateFeedForms){};

TEST(StateFeedForms, AChangeSetIsUnchangedBySerialization) {
  store::ChangeSet changes;
  changes.from = 5;
  changes.to = 9;
  store::WatchEvent written;
  written.item = {"key", std::string("\x00\xff\"bytes", 8), 8, 77};
  store::WatchEvent removed;
  removed.item.key = "other";
  removed.item.revision = 9;
  removed.removed = true;
  changes.events = {written, removed};
  std::string prefix;
  ForwardedChanges read;
  CHECK(ParseChanges(SerializeChanges("p/", WithFullValues(changes)), &prefix, &read));
  STRCMP_EQUAL("p/", prefix.c_str());
  CHECK_EQUAL(5, read.from);
  CHECK_EQUAL(9, read.to);
  CHECK_EQUAL(2, read.events.size());
  CHECK(read.events[0].event.item.value == written.item.value);
  CHECK_EQUAL(77, read.events[0].event.item.lease);
  CHECK(read.events[1].event.removed);
}

TEST(StateFeedForms, APatchNeedsItsBaseRevision) {
  ForwardedChanges changes;
  changes.from = 5;
  changes.to = 8;
  ForwardedEvent patched;
  patched.event.item = {"map", MakeTextPatch("[1],[2]", "[1],[3]"), 8, 0};
  patched.base_revision = 5;
  changes.events = {patched};
  std::map<std::string, store::Item> items;
  CHECK_FALSE(ApplyPatches(changes, items).has_value());
  items["map"] = {"map", "[1],[2]", 5, 0};
  STRCMP_EQUAL("[1],[3]", ApplyPatches(changes, items)->events[0].item.value.c_str());
  items["map"].revision = 4;
  CHECK_FALSE(ApplyPatches(changes, items).has_value());
  // The receiver has a newer revision, so it keeps its own value.
  items["map"] = {"map", "[9]", 9, 0};
  STRCMP_EQUAL("[9]", ApplyPatches(changes, items)->events[0].item.value.c_str());
  items["map"] = {"map", "", 5, 0};
  CHECK_FALSE(ApplyPatches(changes, items).has_value());
}

TEST(StateFeedForms, OnlyTheLatestChangeOfAnItemIsForwarded) {
  store::ChangeSet changes;
  changes.from = 5;
  changes.to = 8;
  changes.events = {
      {{"map", "[1]", 6, 0}, false}, {{"other", "x", 7, 0}, false}, {{"map", "[2]", 8, 0}, false}};
  const store::ChangeSet latest = LatestOfEachItem(changes);
  CHECK_EQUAL(2, latest.events.size());
  STRCMP_EQUAL("other", latest.events[0].item.key.c_str());
  STRCMP_EQUAL("[2]", latest.events[1].item.value.c_str());
  CHECK_EQUAL(8, latest.to);
}

TEST(StateFeedForms, MalformedChangeSetsAreRefused) {
  std::string prefix;
  ForwardedChanges changes;
  const std::string whole = SerializeChanges("p/", {false, 1, 2, {ForwardedEvent{}}});
  for (size_t size = 0; size < whole.size(); ++size) {
    CHECK_FALSE(ParseChanges(whole.substr(0, size), &prefix, &changes));
  }
  CHECK_FALSE(ParseChanges(whole + "x", &prefix, &changes));
  CHECK_FALSE(ParseChanges("{}", &prefix, &changes));
}

TEST(StateFeedForms, ABeaconIsUnchangedBySerializationAndMalformedOnesAreRefused) {
  StateBeacon beacon;
  beacon.node = "n";
  beacon.revisions["p/"] = 12;
  const auto read = StateBeacon::Parse(beacon.Serialize());
  CHECK(read.has_value());
  STRCMP_EQUAL("n", read->node.c_str());
  CHECK_EQUAL(12, read->revisions.at("p/"));
  for (const char* broken : {"", "[]", "{}", R"({"node":"n"})", R"({"node":1,"revisions":{}})",
                             R"({"node":"n","revisions":{"p/":"x"}})"}) {
    CHECK_FALSE_TEXT(StateBeacon::Parse(broken).has_value(), broken);
  }
}

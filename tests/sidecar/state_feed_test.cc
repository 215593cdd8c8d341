#include "source/sidecar/state_feed.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using namespace runshelf::sidecar;

TEST_GROUP(StateFeedForms){};

TEST(StateFeedForms, AChangeSetSurvivesItsWay) {
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
  store::ChangeSet read;
  CHECK(ParseChanges(SerializeChanges("p/", changes), &prefix, &read));
  STRCMP_EQUAL("p/", prefix.c_str());
  CHECK_EQUAL(5, read.from);
  CHECK_EQUAL(9, read.to);
  CHECK_EQUAL(2, read.events.size());
  CHECK(read.events[0].item.value == written.item.value);
  CHECK_EQUAL(77, read.events[0].item.lease);
  CHECK(read.events[1].removed);
}

TEST(StateFeedForms, BytesThatAreNoChangeSetAreRefused) {
  std::string prefix;
  store::ChangeSet changes;
  const std::string whole = SerializeChanges("p/", {false, 1, 2, {store::WatchEvent{}}});
  for (size_t size = 0; size < whole.size(); ++size) {
    CHECK_FALSE(ParseChanges(whole.substr(0, size), &prefix, &changes));
  }
  CHECK_FALSE(ParseChanges(whole + "x", &prefix, &changes));
  CHECK_FALSE(ParseChanges("{}", &prefix, &changes));
}

TEST(StateFeedForms, ABeaconSurvivesItsWayAndBrokenOnesAreRefused) {
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

#include "source/sidecar/peer_directory.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using namespace runshelf::sidecar;

namespace {

const std::string kService = "shop";
constexpr Duration kTakesRequests = std::chrono::milliseconds(1400);
constexpr Duration kEnds = std::chrono::milliseconds(5000);

NodeRecord Record(const std::string& node, const std::string& zone = "z1") {
  NodeRecord record;
  record.node = node;
  record.inbound = {"10.0.0.1", 80};
  record.zone = zone;
  record.service = kService;
  record.worker_id = node;
  record.slots = 18;
  record.worker_state = WorkerState::kReady;
  return record;
}

}  // namespace

TEST_GROUP(PeerDirectory) {
  Instant now = InstantFromMicroseconds(100000000);
  SeededRandom random{3};
  PeerDirectory directory{"own", "z1"};

  std::string Choose(const std::vector<std::string>& excluded = {}) {
    return directory.Choose(now, {kService, excluded, {}}, random).value_or("none");
  }

  // A node announces its stop with an answer, a second after it was told to stop.
  void AnswerStopping(const std::string& node) {
    directory.OnAnswer(now, node, StopNotice{kTakesRequests, kEnds});
  }
};

TEST(PeerDirectory, OnlyAcceptingWorkersOfTheServiceAreChosen) {
  NodeRecord draining = Record("b");
  draining.worker_state = WorkerState::kDraining;
  NodeRecord stopping = Record("c");
  stopping.stopping = true;
  directory.OnRecord(draining);
  directory.OnRecord(stopping);
  STRCMP_EQUAL("none", Choose().c_str());
  directory.OnRecord(Record("a"));
  STRCMP_EQUAL("a", Choose().c_str());
  STRCMP_EQUAL("none", Choose({"a"}).c_str());
  CHECK_FALSE(directory.Choose(now, {"other", {}, {}}, random).has_value());
}

TEST(PeerDirectory, ANodeThatFailedIsAvoidedUnlessItIsTheOnlyOne) {
  directory.OnRecord(Record("a"));
  directory.OnRecord(Record("b"));
  for (int count = 0; count < 3; ++count) directory.OnFailure(now, "a");
  for (int count = 0; count < 20; ++count) STRCMP_EQUAL("b", Choose().c_str());
  STRCMP_EQUAL("a", Choose({"b"}).c_str());
}

// Leases expire while the store is unavailable: a node that answers is alive even without an item.
TEST(PeerDirectory, ANodeWithoutAnItemIsKeptWhileItAnswers) {
  directory.OnRecord(Record("a"));
  directory.OnRemoved(now, "a");
  for (int second = 0; second < 10; ++second) {
    now += std::chrono::seconds(1);
    directory.OnAnswer(now, "a");
    directory.Sweep(now);
    STRCMP_EQUAL("a", Choose().c_str());
  }
  CHECK(directory.Departed(now, "a", std::chrono::seconds(5)));
  now += std::chrono::seconds(5);
  directory.Sweep(now);
  STRCMP_EQUAL("none", Choose().c_str());
}

TEST(PeerDirectory, AStoppingNodeIsRemovedWithItsItem) {
  NodeRecord record = Record("a");
  record.stopping = true;
  directory.OnRecord(record);
  directory.OnRemoved(now, "a");
  POINTERS_EQUAL(nullptr, directory.Find("a"));
}

TEST(PeerDirectory, TheOwnZoneIsPreferredUntilItIsClearlyBusier) {
  directory.OnRecord(Record("near"));
  directory.OnRecord(Record("far", "z2"));
  for (int count = 0; count < 20; ++count) STRCMP_EQUAL("near", Choose().c_str());
  directory.OnLoad(now, "near", {18, 10, 18, false});
  directory.OnLoad(now, "far", {1, 0, 18, false});
  STRCMP_EQUAL("far", Choose().c_str());
}

TEST(PeerDirectory, ARelayIsAnotherNodeThatAnsweredLately) {
  directory.OnRecord(Record("own"));
  CHECK_FALSE(directory.ChooseRelay(now, random).has_value());
  directory.OnRecord(Record("a"));
  CHECK(directory.ChooseRelay(now, random).has_value());
}

// While the store is unavailable, the node's item does not show the stop yet.
TEST(PeerDirectory, ANodeThatAnnouncedItsStopIsUsedOnlyWhenThereIsNoOther) {
  directory.OnRecord(Record("a"));
  directory.OnRecord(Record("b"));
  AnswerStopping("a");
  for (int count = 0; count < 20; ++count) STRCMP_EQUAL("b", Choose().c_str());
  STRCMP_EQUAL("a", Choose({"b"}).c_str());
  STRCMP_EQUAL("none", Choose({"a", "b"}).c_str());
  CHECK_EQUAL(1, directory.ServingNodes(now, kService));
  // From now on the node refuses requests.
  now += kTakesRequests;
  STRCMP_EQUAL("none", Choose({"b"}).c_str());
}

TEST(PeerDirectory, AStopEndsWithANewProcessAnAnswerWithoutNoticeOrItsEndTime) {
  NodeRecord record = Record("a");
  record.incarnation = 1;
  directory.OnRecord(record);
  AnswerStopping("a");
  // An older item of the same process arrives late.
  directory.OnRecord(record);
  CHECK(directory.Find("a")->stopping());
  record.incarnation = 2;
  directory.OnRecord(record);
  CHECK_FALSE(directory.Find("a")->stopping());
  AnswerStopping("a");
  directory.OnAnswer(now, "a");
  CHECK_FALSE(directory.Find("a")->stopping());
  AnswerStopping("a");
  now += kEnds;
  directory.Sweep(now);
  CHECK_FALSE(directory.Find("a")->stopping());
  STRCMP_EQUAL("a", Choose().c_str());
}

TEST(PeerDirectory, ANodeThatAnnouncedItsStopIsNoRelayAndIsRemovedWithItsItem) {
  directory.OnRecord(Record("a"));
  std::vector<std::string> told;
  directory.set_on_stop_notice([&](const std::string& node) { told.push_back(node); });
  AnswerStopping("a");
  AnswerStopping("a");
  CHECK_EQUAL(1, told.size());
  CHECK_FALSE(directory.ChooseRelay(now, random).has_value());
  directory.OnRemoved(now, "a");
  POINTERS_EQUAL(nullptr, directory.Find("a"));
}

// Guards against requests that leave the regions which their route allows.
TEST(PeerDirectory, OnlyWorkersInAllowedRegionsAreChosen) {
  PeerDirectory regional{"own", "z1", {{"z1", "east"}, {"z2", "west"}}};
  regional.OnRecord(Record("near", "z1"));
  regional.OnRecord(Record("far", "z2"));
  regional.OnRecord(Record("unknown", "z3"));
  const auto choose = [&](const std::vector<std::string>& excluded,
                          const std::vector<std::string>& regions) {
    return regional.Choose(now, {kService, excluded, regions}, random).value_or("none");
  };
  for (int count = 0; count < 20; ++count) {
    STRCMP_EQUAL("far", choose({}, {"west"}).c_str());
    STRCMP_EQUAL("near", choose({}, {"east", "north"}).c_str());
  }
  STRCMP_EQUAL("none", choose({"far"}, {"west"}).c_str());
  STRCMP_EQUAL("none", choose({}, {"north"}).c_str());
  // Nor when the only allowed one failed lately, or stops.
  for (int count = 0; count < 5; ++count) regional.OnFailure(now, "far");
  STRCMP_EQUAL("far", choose({}, {"west"}).c_str());
  regional.OnAnswer(now, "near", StopNotice{kTakesRequests, kEnds});
  STRCMP_EQUAL("far", choose({}, {"west"}).c_str());
  CHECK(regional.IsInRegions("near", {"east"}));
  CHECK_FALSE(regional.IsInRegions("near", {"west"}));
  CHECK_FALSE(regional.IsInRegions("unknown", {"west"}));
  CHECK(regional.IsInRegions("unknown", {}));
}

// Guards against requests to a zone that operators have evacuated.
TEST(PeerDirectory, WorkersOfAnEvacuatedZoneAreNotChosen) {
  directory.OnRecord(Record("near"));
  directory.OnRecord(Record("far", "z2"));
  directory.SetEvacuated("z1", true);
  for (int count = 0; count < 20; ++count) STRCMP_EQUAL("far", Choose().c_str());
  STRCMP_EQUAL("none", Choose({"far"}).c_str());
  CHECK_FALSE(directory.IsServiceEvacuated(now, kService));
  directory.SetEvacuated("z2", true);
  CHECK(directory.IsServiceEvacuated(now, kService));
  AnswerStopping("near");
  STRCMP_EQUAL("none", Choose().c_str());
  directory.SetEvacuated("z1", false);
  directory.OnStopNotice(now, "near", std::nullopt);
  STRCMP_EQUAL("near", Choose().c_str());
}

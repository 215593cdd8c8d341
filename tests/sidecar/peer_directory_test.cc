#include "source/sidecar/peer_directory.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using namespace runshelf::sidecar;

namespace {

const std::string kService = "shop";

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
    return directory.Choose(now, kService, excluded, random).value_or("none");
  }
};

TEST(PeerDirectory, OnlyAcceptingWorkersOfTheServiceAreChosen) {
  NodeRecord draining = Record("b");
  draining.worker_state = WorkerState::kDraining;
  NodeRecord stopping = Record("c");
  stopping.stopping = true;
  directory.OnRecord(now, draining);
  directory.OnRecord(now, stopping);
  STRCMP_EQUAL("none", Choose().c_str());
  directory.OnRecord(now, Record("a"));
  STRCMP_EQUAL("a", Choose().c_str());
  STRCMP_EQUAL("none", Choose({"a"}).c_str());
  CHECK_FALSE(directory.Choose(now, "other", {}, random).has_value());
}

TEST(PeerDirectory, ANodeThatFailedIsAvoidedUnlessItIsTheOnlyOne) {
  directory.OnRecord(now, Record("a"));
  directory.OnRecord(now, Record("b"));
  for (int count = 0; count < 3; ++count) directory.OnFailure(now, "a");
  for (int count = 0; count < 20; ++count) STRCMP_EQUAL("b", Choose().c_str());
  STRCMP_EQUAL("a", Choose({"b"}).c_str());
}

// Leases run out while the store is away: a node that answers is alive whatever its item says.
TEST(PeerDirectory, ANodeWithoutAnItemIsKeptWhileItAnswers) {
  directory.OnRecord(now, Record("a"));
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

TEST(PeerDirectory, ANodeThatSaidItStopsGoesWithItsItem) {
  NodeRecord record = Record("a");
  record.stopping = true;
  directory.OnRecord(now, record);
  directory.OnRemoved(now, "a");
  POINTERS_EQUAL(nullptr, directory.Find("a"));
}

TEST(PeerDirectory, TheOwnZoneIsPreferredUntilItIsClearlyBusier) {
  directory.OnRecord(now, Record("near"));
  directory.OnRecord(now, Record("far", "z2"));
  for (int count = 0; count < 20; ++count) STRCMP_EQUAL("near", Choose().c_str());
  directory.OnLoad(now, "near", {18, 10, 18, false});
  directory.OnLoad(now, "far", {1, 0, 18, false});
  STRCMP_EQUAL("far", Choose().c_str());
}

TEST(PeerDirectory, ARelayIsAnotherNodeThatAnsweredLately) {
  directory.OnRecord(now, Record("own"));
  CHECK_FALSE(directory.ChooseRelay(now, random).has_value());
  directory.OnRecord(now, Record("a"));
  CHECK(directory.ChooseRelay(now, random).has_value());
}

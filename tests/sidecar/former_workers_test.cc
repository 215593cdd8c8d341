#include "source/sidecar/former_workers.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace runshelf;
using namespace runshelf::sidecar;

TEST_GROUP(FormerWorkers) {
  static constexpr Duration kInterval = std::chrono::seconds(1);
  FormerWorkers workers;
  Instant now{std::chrono::seconds(100)};

  bool Returned(int64_t sequence) {
    return workers.OnHeartbeat(now, "former", sequence, kInterval) ==
           FormerWorkers::Finding::kReturned;
  }
};

// Guards against a late heartbeat of a worker that ended being taken for its return.
TEST(FormerWorkers, HeartbeatsThatArriveTogetherAreLate) {
  workers.Add("former");
  CHECK_FALSE(Returned(7));
  now += kInterval / 2;
  CHECK_FALSE(Returned(8));
  now += kInterval;
  CHECK_FALSE(Returned(7));
  CHECK(workers.Contains("former"));
}

// Guards against a running worker being ignored because a late message named another one.
TEST(FormerWorkers, AWorkerThatGoesOnSendingHeartbeatsHasReturned) {
  workers.Add("former");
  CHECK_FALSE(Returned(7));
  now += kInterval;
  CHECK(Returned(8));
  CHECK_FALSE(workers.Contains("former"));
}

// Guards against two workers that are both heard being exchanged for one another.
TEST(FormerWorkers, HeartbeatsOfThePresentWorkerStartTheCountAgain) {
  workers.Add("former");
  CHECK_FALSE(Returned(7));
  workers.OnPresentWorkerHeard();
  now += kInterval;
  CHECK_FALSE(Returned(8));
}

// Guards against memory that grows with every message of another writer.
TEST(FormerWorkers, OnlyTheLatestWorkersAreKept) {
  for (int number = 0; number < 1000; ++number) {
    const std::string id = "w" + std::to_string(number);
    workers.OnHeartbeat(now, id, 1, kInterval);
  }
  CHECK(workers.Contains("w999"));
  CHECK_FALSE(workers.Contains("w0"));
}

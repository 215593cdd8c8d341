#include "source/sidecar/service_members.h"

#include <CppUTest/TestHarness.h>

using namespace runshelf;
using namespace runshelf::sidecar;
using std::chrono::milliseconds;

namespace {

constexpr Instant kStart = InstantFromMicroseconds(60'000'000);
constexpr Duration kReuseAfter = milliseconds(2000);

}  // namespace

TEST_GROUP(ServiceMembers) { ServiceMembers members{kReuseAfter}; };

TEST(ServiceMembers, WorkerNamedWithTheServiceBelongsToIt) {
  members.Add("w1");
  CHECK(members.Include("w1", kStart));
  CHECK_FALSE(members.Include("w2", kStart));
}

// Guards against a worker of another service that is taken for one of this node's.
TEST(ServiceMembers, UnknownWorkerBelongsToTheServiceOnlyUntilTheAddressMayBeReused) {
  CHECK_FALSE(members.Include("w2", kStart));
  members.OnRunning(kStart);
  CHECK(members.Include("w2", kStart + kReuseAfter - milliseconds(1)));
  CHECK_FALSE(members.Include("w2", kStart + kReuseAfter));
  members.OnRunning(kStart - milliseconds(500));
  CHECK(members.Include("w2", kStart + milliseconds(1900)));
}

TEST(ServiceMembers, WithoutAReuseTimeOnlyNamedWorkersBelongToTheService) {
  members.set_reuse_after(Duration(0));
  members.OnRunning(kStart);
  CHECK_FALSE(members.Include("w2", kStart));
}

// Guards against memory that grows with every message of another writer.
TEST(ServiceMembers, OnlyTheLatestIdentitiesAreKept) {
  for (int number = 0; number < 1000; ++number) members.Add("w" + std::to_string(number));
  CHECK(members.Include("w999", kStart));
  CHECK_FALSE(members.Include("w0", kStart));
}

TEST(ServiceMembers, NothingIsKnownOfAnotherService) {
  members.Add("w1");
  members.OnRunning(kStart);
  members.Clear();
  CHECK_FALSE(members.Include("w1", kStart));
}

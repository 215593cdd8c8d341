// Tests of the shared fixtures: a port conflict would make arbitrary sidecar tests fail.

#include "tests/platform_adapter/fixtures.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace runshelf;
using namespace runshelf::platform_adapter;

TEST_GROUP(Fixtures){};

// Guards against duplicate ports for one node, which occur when each port is released before the
// next one is chosen: about one node in a thousand, so with some 160 nodes one test run in six.
TEST(Fixtures, AddressesOfOneNodeDiffer) {
  constexpr size_t kRounds = 10000;
  constexpr size_t kPorts = 4;
  for (size_t round = 0; round < kRounds; ++round) {
    std::set<uint16_t> ports;
    for (const event::Endpoint& endpoint : FreeEndpoints("127.0.0.1", kPorts)) {
      ports.insert(endpoint.port);
    }
    CHECK_EQUAL(kPorts, ports.size());
  }
}

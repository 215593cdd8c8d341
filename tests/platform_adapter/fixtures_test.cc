// What the tests stand on: a node that cannot listen makes any test fail for no fault of the code.

#include "tests/platform_adapter/fixtures.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace runshelf;
using namespace runshelf::platform_adapter;

TEST_GROUP(Fixtures){};

// One in a thousand nodes got two equal ports while each port was given back before the next was
// chosen; with some 160 nodes in a run of these tests, that was every sixth run.
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

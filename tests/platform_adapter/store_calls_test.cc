// Bounds the number of calls to the store that a fleet makes.

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <string>
#include <vector>

#include "tests/platform_adapter/fleet.h"

using namespace runshelf;
using namespace runshelf::platform_adapter;

TEST_GROUP(StoreCalls){};

// Guards against a read for each prefix of the operators' items at the start of each node.
TEST(StoreCalls, ANodeStartsWithTwoReads) {
  constexpr size_t kNodes = 2;  // So few that the state fits a page.
  Fleet fleet(std::vector<std::string>(kNodes, "other"));
  fleet.Start();
  const uint64_t reads = fleet.store.calls("/runshelf/kv-range");
  CHECK_TEXT(reads <= 2 * kNodes, fmt::format("{} reads", reads).c_str());
}

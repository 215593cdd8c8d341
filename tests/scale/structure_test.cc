#include <CppUTest/TestHarness.h>

#include "tools/scale/structure_run.h"

using namespace runshelf::scale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(StructureRun){};

TEST(StructureRun, GrowsWithItsSize) {
  const AssignmentFigures small = MeasureAssignment(20, 2, 64);
  const AssignmentFigures large = MeasureAssignment(200, 2, 640);
  UNSIGNED_LONGS_EQUAL(1280, large.slots);
  CHECK(small.memory_bytes > 0);
  CHECK(large.memory_bytes > small.memory_bytes);
  CHECK(large.encoded_bytes > small.encoded_bytes);
  CHECK(small.move_update_bytes > 0);
  CHECK(MeasureTable(500).memory_bytes > MeasureTable(50).memory_bytes);
  CHECK(MeasureRequests(16).by_owner_microseconds > 0);
}

TEST(StructureRun, SlicesOfARingLoadEveryServerAlike) {
  for (const uint64_t clients : {7, 100, 333}) {
    const SubsetFigures figures = MeasureSubsets(clients, 100, 10, 1);
    CHECK(figures.random_imbalance >= 1);
    CHECK(figures.deterministic_imbalance < figures.random_imbalance);
  }
  // Clients times subset is a multiple of the servers: the slices overlap everywhere alike.
  DOUBLES_EQUAL(1, MeasureSubsets(100, 100, 10, 1).deterministic_imbalance, 1e-9);
  DOUBLES_EQUAL(1, MeasureSubsets(40, 100, 10, 1).deterministic_imbalance, 1e-9);
}

TEST(StructureRun, SlicesTakePartsOfServers) {
  // By hand: slices [0, 2), [4/3, 10/3) and [8/3, 14/3) of four servers load them by 5/6, 5/6, 2/3
  // and 2/3, of a mean of 3/4.
  DOUBLES_EQUAL(10.0 / 9, MeasureSubsets(3, 4, 2, 1).deterministic_imbalance, 1e-9);
}

TEST(StructureRun, SubsetOfAllServersIsEven) {
  const SubsetFigures figures = MeasureSubsets(5, 8, 8, 1);
  DOUBLES_EQUAL(1, figures.random_imbalance, 1e-9);
  DOUBLES_EQUAL(1, figures.deterministic_imbalance, 1e-9);
}

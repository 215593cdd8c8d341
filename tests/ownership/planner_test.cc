#include "runshelf/ownership/planner.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <string>

using runshelf::Duration;
using runshelf::InstanceId;
using runshelf::Instant;
using runshelf::SlotNumber;
using runshelf::ownership::AssignmentCommand;
using runshelf::ownership::AssignmentState;
using runshelf::ownership::NodeRecord;
using runshelf::ownership::Plan;
using runshelf::ownership::PlanInput;
using runshelf::ownership::PlanMoves;
using runshelf::ownership::PlannerConfig;
using runshelf::ownership::SlotMove;

namespace {

constexpr uint32_t kSlots = 64;
constexpr Instant kNow = Instant(std::chrono::hours(1));

InstanceId Instance(int number) { return {"n" + std::to_string(number), 1}; }

// A service whose slots are carried from plan to plan.
class Fleet {
 public:
  void Join(int number, bool leaving = false) {
    AssignmentCommand command;
    command.registered.push_back({Instance(number), "z", "feedread", "a", "b", kSlots, leaving});
    state.Apply(++version, command);
    input.conditions[Instance(number)].can_own = true;
  }

  void Lose(int number) {
    AssignmentCommand command;
    command.removed.push_back(Instance(number));
    state.Apply(++version, command);
    input.conditions.erase(Instance(number));
  }

  // Plans once and carries all of it out; returns the number of slots that changed owner.
  size_t PlanOnce() {
    input.state = &state;
    const Plan plan = PlanMoves(kNow, config, input);
    AssignmentCommand command;
    command.moves = plan.takeovers;
    command.moves.insert(command.moves.end(), plan.handovers.begin(), plan.handovers.end());
    const auto before = Owners();
    state.Apply(++version, command);
    const auto after = Owners();
    size_t changed = 0;
    for (size_t slot = 0; slot < before.size(); ++slot) changed += before[slot] != after[slot];
    return changed;
  }

  size_t Settle() {
    size_t changed = 0;
    for (int round = 0; round < 50; ++round) {
      const size_t now_changed = PlanOnce();
      changed += now_changed;
      if (now_changed == 0) return changed;
    }
    FAIL("the planner does not come to rest");
    return changed;
  }

  std::vector<InstanceId> Owners() const {
    const auto found = state.services().find("feedread");
    return found == state.services().end() ? std::vector<InstanceId>{} : found->second.owners;
  }

  double LoadOf(int number) const {
    double load = 0;
    const auto owners = Owners();
    for (SlotNumber slot = 0; slot < owners.size(); ++slot) {
      if (owners[slot] == Instance(number)) load += input.loads.at("feedread").Of(slot);
    }
    return load;
  }

  size_t SlotsOf(int number) const {
    const auto owners = Owners();
    return static_cast<size_t>(std::count(owners.begin(), owners.end(), Instance(number)));
  }

  AssignmentState state;
  PlannerConfig config;
  PlanInput input;
  uint64_t version = 0;
};

// The naive planner: slot modulo the number of servers.
std::vector<int> ModuloOwners(const std::set<int>& servers) {
  std::vector<int> owners;
  for (SlotNumber slot = 0; slot < kSlots; ++slot) {
    owners.push_back(*std::next(servers.begin(), static_cast<long>(slot % servers.size())));
  }
  return owners;
}

}  // namespace

TEST_GROUP(Planner){};

TEST(Planner, OnlySlotsOfTheLostServerMoveWhereModuloMovesMost) {
  Fleet fleet;
  for (int i = 0; i < 5; ++i) fleet.Join(i);
  fleet.Settle();
  const size_t of_lost = fleet.SlotsOf(4);
  fleet.Lose(4);
  UNSIGNED_LONGS_EQUAL(of_lost, fleet.Settle());

  const auto before = ModuloOwners({0, 1, 2, 3, 4});
  const auto after = ModuloOwners({0, 1, 2, 3});
  size_t naive_moves = 0;
  for (size_t slot = 0; slot < kSlots; ++slot) naive_moves += before[slot] != after[slot];
  CHECK(naive_moves > 2 * of_lost);
}

TEST(Planner, ComesToRestEvenAndWithoutALeavingOwner) {
  CHECK(rc::check("any mix of joins, losses and leaves settles", [] {
    Fleet fleet;
    std::set<int> serving;
    std::set<int> leaving;
    const int events = *rc::gen::inRange(1, 10);
    for (int i = 0; i < events; ++i) {
      const int number = *rc::gen::inRange(0, 6);
      switch (*rc::gen::inRange(0, 3)) {
        case 0:
          fleet.Join(number);
          serving.insert(number);
          leaving.erase(number);
          break;
        case 1:
          fleet.Lose(number);
          serving.erase(number);
          leaving.erase(number);
          break;
        default:
          if (serving.erase(number) == 0) break;
          fleet.Join(number, true);
          leaving.insert(number);
      }
      fleet.Settle();
    }
    if (serving.empty()) return;
    size_t owned = 0;
    const double share = static_cast<double>(kSlots) / static_cast<double>(serving.size());
    for (const int number : serving) {
      owned += fleet.SlotsOf(number);
      RC_ASSERT(static_cast<double>(fleet.SlotsOf(number)) <= share * 1.2 + 1);
    }
    RC_ASSERT(owned == kSlots);
    for (const int number : leaving) RC_ASSERT(fleet.SlotsOf(number) == 0U);
  }));
}

TEST(Planner, NeighboursOfAHotSlotMoveAwayAndItStays) {
  Fleet fleet;
  for (int i = 0; i < 4; ++i) fleet.Join(i);
  fleet.Settle();
  const InstanceId owner_of_hot = fleet.Owners()[0];
  fleet.input.loads["feedread"].measured[0] = 64;  // As much as all others together.
  fleet.Settle();
  CHECK(fleet.Owners()[0] == owner_of_hot);
  const int number = owner_of_hot.node[1] - '0';
  UNSIGNED_LONGS_EQUAL(1, fleet.SlotsOf(number));
}

TEST(Planner, NothingMovesBackAndForthUnderOneLoad) {
  CHECK(rc::check("settling under random loads takes no slot twice", [] {
    Fleet fleet;
    for (int i = 0; i < 4; ++i) fleet.Join(i);
    fleet.Settle();
    for (SlotNumber slot = 0; slot < kSlots; ++slot) {
      fleet.input.loads["feedread"].measured[slot] = *rc::gen::inRange(1, 100);
    }
    RC_ASSERT(fleet.Settle() <= kSlots);
    RC_ASSERT(fleet.PlanOnce() == 0U);
  }));
}

TEST(Planner, PlannedMovesArePaced) {
  Fleet fleet;
  fleet.config.max_moving_slots = 5;
  fleet.Join(0);
  fleet.Settle();
  fleet.Join(1);
  UNSIGNED_LONGS_EQUAL(5, fleet.PlanOnce());
}

TEST(Planner, SlotsMovedLatelyStay) {
  Fleet fleet;
  fleet.Join(0);
  fleet.Settle();
  fleet.Join(1);
  for (SlotNumber slot = 0; slot < kSlots; ++slot) {
    fleet.input.last_moved["feedread"][slot] = kNow - Duration(std::chrono::seconds(1));
  }
  UNSIGNED_LONGS_EQUAL(0, fleet.PlanOnce());
}

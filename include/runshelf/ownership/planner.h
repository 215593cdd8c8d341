// Decides which slots should change owner.
//
// Three needs, in this order: slots without an owner get one at once; slots of a leaving instance
// are handed over; load is evened out by as few moves as will do, paced, and never back and forth.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/common/instance_id.h"
#include "runshelf/ownership/assignment.h"

namespace runshelf::ownership {

struct PlannerConfig {
  double rebalance_threshold = 0.2;  // Largest deviation from the mean load, as a fraction of it.
  uint32_t max_moving_slots = 32;    // Slots of planned moves under way at a time.
  Duration slot_move_cooldown = std::chrono::seconds(30);
};

// What the planner may know of an instance beyond its record.
struct InstanceCondition {
  bool can_own = false;  // Renews its grant, and the server beside it serves.
};

// Requests per second of single slots, as measured. Slots that are not listed share
// `rest_per_slot`, so that an idle service is balanced by number of slots.
struct ServiceLoad {
  std::map<SlotNumber, double> measured;
  double rest_per_slot = 1.0;

  double Of(SlotNumber slot) const;
};

struct PlanInput {
  const AssignmentState* state = nullptr;
  std::map<InstanceId, InstanceCondition> conditions;  // Instances not listed cannot own.
  std::map<std::string, ServiceLoad> loads;            // By service.
  // When a slot was last moved; not moved again within the cooldown, except from the leaving.
  std::map<std::string, std::map<SlotNumber, Instant>> last_moved;
  // Whether load may be evened out now; takeovers and handovers from the leaving are always
  // planned.
  bool may_rebalance = true;
  // Slots whose move is under way; left alone.
  std::map<std::string, std::vector<SlotRange>> moving;
};

struct Plan {
  std::vector<SlotMove> takeovers;  // From nobody: applied at once.
  std::vector<SlotMove> handovers;  // From a living owner, which has to release first.
};

// `input.state` must not be null. Deterministic.
Plan PlanMoves(Instant now, const PlannerConfig& config, const PlanInput& input);

}  // namespace runshelf::ownership

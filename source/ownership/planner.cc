#include "runshelf/ownership/planner.h"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>

namespace runshelf::ownership {
namespace {

// Moves of one service collected slot by slot, then merged into ranges.
class MoveCollector {
 public:
  void Add(const InstanceId& from, const InstanceId& to, SlotNumber slot) {
    slots_[{from, to}].push_back(slot);
  }

  void AppendTo(const std::string& service, std::vector<SlotMove>& moves) {
    for (auto& [ends, slots] : slots_) {
      moves.push_back({service, ToRanges(std::move(slots)), ends.first, ends.second});
    }
  }

 private:
  std::map<std::pair<InstanceId, InstanceId>, std::vector<SlotNumber>> slots_;
};

// Plans the moves of one service.
class ServicePlanner {
 public:
  ServicePlanner(Instant now, const PlannerConfig& config, const PlanInput& input,
                 const std::string& service, const ServiceAssignment& assignment)
      : now_(now), config_(config), input_(input), service_(service), owners_(assignment.owners) {
    const auto load = input.loads.find(service);
    if (load != input.loads.end()) load_ = load->second;
    for (const auto& [name, record] : input.state->nodes()) {
      if (record.service == service && CanReceive(record)) load_of_[record.instance] = 0;
    }
    const auto moving = input.moving.find(service);
    if (moving != input.moving.end()) moving_ = moving->second;
    for (SlotNumber slot = 0; slot < owners_.size(); ++slot) {
      const auto owner = load_of_.find(owners_[slot]);
      if (owner != load_of_.end()) owner->second += load_.Of(slot);
    }
  }

  void Plan(ownership::Plan& plan) {
    if (load_of_.empty()) return;
    MoveCollector takeovers;
    MoveCollector handovers;
    AssignOwnerless(takeovers);
    budget_ = config_.max_moving_slots - std::min(config_.max_moving_slots, CountMoving());
    HandOverFromLeaving(handovers);
    if (input_.may_rebalance) Rebalance(handovers);
    takeovers.AppendTo(service_, plan.takeovers);
    handovers.AppendTo(service_, plan.handovers);
  }

 private:
  bool CanReceive(const NodeRecord& record) const {
    const auto condition = input_.conditions.find(record.instance);
    return !record.leaving && condition != input_.conditions.end() && condition->second.can_own;
  }

  uint32_t CountMoving() const {
    uint32_t count = 0;
    for (const SlotRange& range : moving_) count += range.last - range.first + 1;
    return count;
  }

  InstanceId LeastLoaded() const {
    const auto least = std::min_element(
        load_of_.begin(), load_of_.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    return least->first;
  }

  // Heaviest slots first: a later, lighter slot can still even out what an earlier one left uneven.
  std::vector<SlotNumber> HeaviestFirst(std::vector<SlotNumber> slots) const {
    std::stable_sort(slots.begin(), slots.end(), [this](SlotNumber left, SlotNumber right) {
      return load_.Of(left) > load_.Of(right);
    });
    return slots;
  }

  void AssignOwnerless(MoveCollector& takeovers) {
    std::vector<SlotNumber> ownerless;
    for (SlotNumber slot = 0; slot < owners_.size(); ++slot) {
      if (owners_[slot].empty() && !Contains(moving_, slot)) ownerless.push_back(slot);
    }
    for (const SlotNumber slot : HeaviestFirst(std::move(ownerless))) {
      const InstanceId to = LeastLoaded();
      takeovers.Add({}, to, slot);
      load_of_[to] += load_.Of(slot);
    }
  }

  void HandOverFromLeaving(MoveCollector& handovers) {
    for (SlotNumber slot = 0; slot < owners_.size() && budget_ > 0; ++slot) {
      const NodeRecord* owner = input_.state->FindNode(owners_[slot]);
      if (owner == nullptr || !owner->leaving || Contains(moving_, slot)) continue;
      const InstanceId to = LeastLoaded();
      handovers.Add(owners_[slot], to, slot);
      load_of_[to] += load_.Of(slot);
      --budget_;
    }
  }

  bool IsCoolingDown(SlotNumber slot) const {
    const auto service = input_.last_moved.find(service_);
    if (service == input_.last_moved.end()) return false;
    const auto moved = service->second.find(slot);
    return moved != service->second.end() && now_ - moved->second < config_.slot_move_cooldown;
  }

  // The slot of `from` whose move to `to` evens the two out best; none if no move helps.
  std::optional<SlotNumber> BestSlot(const InstanceId& from, const InstanceId& to) const {
    const double gap = load_of_.at(from) - load_of_.at(to);
    std::optional<SlotNumber> best;
    double best_remaining = gap;
    for (SlotNumber slot = 0; slot < owners_.size(); ++slot) {
      if (owners_[slot] != from || moved_.contains(slot)) continue;
      if (Contains(moving_, slot) || IsCoolingDown(slot)) continue;
      const double remaining = std::abs(gap - 2 * load_.Of(slot));
      if (remaining < best_remaining) {
        best_remaining = remaining;
        best = slot;
      }
    }
    return best;
  }

  void Rebalance(MoveCollector& handovers) {
    double total = 0;
    for (const auto& [instance, load] : load_of_) total += load;
    const double mean = total / static_cast<double>(load_of_.size());
    while (budget_ > 0) {
      const auto [least, most] = std::minmax_element(
          load_of_.begin(), load_of_.end(),
          [](const auto& left, const auto& right) { return left.second < right.second; });
      const bool even = most->second <= mean * (1 + config_.rebalance_threshold) &&
                        least->second >= mean * (1 - config_.rebalance_threshold);
      if (even) return;
      const std::optional<SlotNumber> slot = BestSlot(most->first, least->first);
      if (!slot) return;
      handovers.Add(most->first, least->first, *slot);
      const double weight = load_.Of(*slot);
      most->second -= weight;
      least->second += weight;
      moved_.insert(*slot);
      --budget_;
    }
  }

  const Instant now_;
  const PlannerConfig& config_;
  const PlanInput& input_;
  const std::string& service_;
  const std::vector<InstanceId>& owners_;
  ServiceLoad load_;
  std::vector<SlotRange> moving_;
  std::map<InstanceId, double> load_of_;  // Of instances that may receive slots.
  std::set<SlotNumber> moved_;
  uint32_t budget_ = 0;
};

}  // namespace

double ServiceLoad::Of(SlotNumber slot) const {
  const auto found = measured.find(slot);
  return found == measured.end() ? rest_per_slot : std::max(found->second, rest_per_slot);
}

Plan PlanMoves(Instant now, const PlannerConfig& config, const PlanInput& input) {
  Plan plan;
  for (const auto& [name, assignment] : input.state->services()) {
    ServicePlanner(now, config, input, name, assignment).Plan(plan);
  }
  return plan;
}

}  // namespace runshelf::ownership

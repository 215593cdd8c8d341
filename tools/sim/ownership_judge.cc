#include "tools/sim/ownership_judge.h"

#include <fmt/format.h>

#include <algorithm>

#include "tools/sim/trace.h"

namespace runshelf::sim {
namespace {

// A slot that has just lost its owner, for example by a move, is not lost yet.
constexpr Duration kMoveAllowance = std::chrono::seconds(2);

// Shorter gaps are not worth a line of the trace.
constexpr Duration kTracedGap = std::chrono::milliseconds(1200);

std::vector<SlotRange> Intersect(const std::vector<SlotRange>& left,
                                 const std::vector<SlotRange>& right) {
  std::vector<SlotRange> common;
  size_t i = 0;
  size_t j = 0;
  while (i < left.size() && j < right.size()) {
    const SlotNumber first = std::max(left[i].first, right[j].first);
    const SlotNumber last = std::min(left[i].last, right[j].last);
    if (first <= last) {
      common.push_back(SlotRange{first, last});
    }
    if (left[i].last < right[j].last) {
      ++i;
    } else {
      ++j;
    }
  }
  return common;
}

}  // namespace

void OwnershipJudge::OnServerStarted(ServerRun server, const std::string& service,
                                     const std::string& name) {
  Server& started = servers_[server];
  started.service = service;
  started.name = name;
}

void OwnershipJudge::OnServerStopped(TrueTime at, ServerRun server) {
  Server& stopped = servers_[server];
  Uncover(at, stopped, {});
  stopped.alive = false;
  stopped.serving = false;
  stopped.slots.clear();
  stopped.until = at;
}

void OwnershipJudge::OnGrant(const GrantRecord& accepted) {
  GrantRecord grant = accepted;
  if (grant.until <= grant.at) {
    grant.slots.clear();  // Expired on arrival: the server that accepted it holds nothing.
  }
  Server& server = servers_[grant.server];
  CheckOverlap(grant);
  CheckTokens(grant, server.service);
  CountMoves(grant, server.service);
  Uncover(grant.at, server, grant.slots);
  server.slots = grant.slots;
  server.token = grant.token;
  server.until = grant.until;
  if (server.serving) {
    CoverAll(grant.at, server);
  }
}

void OwnershipJudge::CheckOverlap(const GrantRecord& grant) {
  const std::string& service = servers_[grant.server].service;
  for (const auto& [other_run, other] : servers_) {
    const bool holds = other.alive && other.until > grant.at && other.service == service;
    if (!holds || other_run == grant.server) {
      continue;
    }
    for (const SlotNumber slot : FromRanges(Intersect(grant.slots, other.slots))) {
      if (!overlaps_.emplace(grant.server, other_run, slot).second) {
        continue;
      }
      violations_.Add(
          ViolationKind::kDoubleOwner, grant.at,
          fmt::format("service={} slot={} granted_to={} token={} held_by={} token={} "
                      "until_us={}",
                      service, slot, servers_[grant.server].name, grant.token.ToString(),
                      other.name, other.token.ToString(), ToMicroseconds(other.until)));
    }
  }
}

void OwnershipJudge::CheckTokens(const GrantRecord& grant, const std::string& service) {
  std::vector<Slot>& slots = SlotsOf(service);
  for (const SlotNumber number : FromRanges(grant.slots)) {
    Slot& slot = slots.at(number);
    if (slot.granted_token && grant.token < *slot.granted_token) {
      violations_.Add(ViolationKind::kLostAssignment, grant.at,
                      fmt::format("service={} slot={} server={} token={} below={}", service, number,
                                  servers_[grant.server].name, grant.token.ToString(),
                                  slot.granted_token->ToString()));
    } else {
      slot.granted_token = grant.token;
    }
  }
}

void OwnershipJudge::CountMoves(const GrantRecord& grant, const std::string& service) {
  std::vector<Slot>& slots = SlotsOf(service);
  for (const SlotNumber number : FromRanges(grant.slots)) {
    Slot& slot = slots.at(number);
    if (slot.last_owner && *slot.last_owner != grant.server) {
      ++churn_.moved_slots;
    }
    slot.last_owner = grant.server;
  }
}

void OwnershipJudge::OnExecution(const ExecutionRecord& execution) {
  if (!execution.slot || !execution.token) {
    return;
  }
  const Server& server = servers_[execution.server];
  Slot& slot = SlotsOf(server.service).at(*execution.slot);
  const bool stale = slot.executed_token && *execution.token < *slot.executed_token;
  if (stale && slot.executed_by != execution.server) {
    violations_.Add(
        ViolationKind::kDoubleOwner, execution.at,
        fmt::format("service={} slot={} executed_by={} token={} after={} token={}", server.service,
                    *execution.slot, server.name, execution.token->ToString(),
                    servers_[slot.executed_by].name, slot.executed_token->ToString()));
    return;
  }
  if (!stale) {
    slot.executed_token = execution.token;
    slot.executed_by = execution.server;
  }
}

void OwnershipJudge::OnServingChanged(TrueTime at, ServerRun server, bool serving) {
  Server& changed = servers_[server];
  if (!changed.alive || changed.serving == serving) {
    return;
  }
  if (!serving) {
    Uncover(at, changed, {});
  }
  changed.serving = serving;
  if (serving) {
    CoverAll(at, changed);
  }
}

uint64_t OwnershipJudge::SlotsLastOwnedBy(ServerRun server) {
  uint64_t owned = 0;
  for (const Slot& slot : SlotsOf(servers_[server].service)) {
    owned += slot.last_owner == server ? 1U : 0U;
  }
  return owned;
}

void OwnershipJudge::OnJoined(ServerRun server) {
  const uint64_t living = LivingServers(servers_[server].service);
  churn_.least_necessary += slots_per_service_ / std::max<uint64_t>(living, 1);
}

void OwnershipJudge::JudgeEnd(TrueTime at) {
  for (const auto& [service, slots] : slots_) {
    if (LivingServers(service) == 0) {
      continue;
    }
    for (SlotNumber number = 0; number < slots.size(); ++number) {
      if (slots[number].covered_until + kMoveAllowance > at) {
        continue;
      }
      violations_.Add(ViolationKind::kLostAssignment, at,
                      fmt::format("service={} slot={} owner=none since_us={}", service, number,
                                  ToMicroseconds(slots[number].covered_until)));
    }
  }
}

bool OwnershipJudge::AllServed(TrueTime at) const {
  for (const auto& [service, slots] : slots_) {
    for (const Slot& slot : slots) {
      if (slot.covered_until <= at) {
        return false;
      }
    }
  }
  return true;
}

UnavailableTime OwnershipJudge::Unavailable(TrueTime end) const {
  UnavailableTime result = unavailable_;
  for (const auto& [service, slots] : slots_) {
    for (const Slot& slot : slots) {
      if (slot.ever_served && slot.covered_until < end) {
        const Duration gap = end - slot.covered_until;
        result.sum += gap;
        result.largest = std::max(result.largest, gap);
      }
    }
  }
  return result;
}

std::vector<OwnershipJudge::Slot>& OwnershipJudge::SlotsOf(const std::string& service) {
  std::vector<Slot>& slots = slots_[service];
  if (slots.empty()) {
    slots.resize(slots_per_service_);
  }
  return slots;
}

Duration OwnershipJudge::Cover(TrueTime from, TrueTime until, Slot& slot) {
  Duration gap{0};
  if (slot.ever_served && slot.covered_until < from) {
    gap = from - slot.covered_until;
    unavailable_.sum += gap;
    unavailable_.largest = std::max(unavailable_.largest, gap);
  }
  slot.ever_served = true;
  slot.covered_until = std::max(slot.covered_until, until);
  return gap;
}

void OwnershipJudge::CoverAll(TrueTime from, const Server& server) {
  if (server.until <= from) {
    return;
  }
  std::vector<Slot>& slots = SlotsOf(server.service);
  Duration largest_gap{0};
  SlotNumber slot_of_gap = 0;
  for (const SlotNumber number : FromRanges(server.slots)) {
    const Duration gap = Cover(from, server.until, slots.at(number));
    if (gap > largest_gap) {
      largest_gap = gap;
      slot_of_gap = number;
    }
  }
  if (largest_gap > kTracedGap) {
    Trace("served_again", fmt::format("server={} slot={} gap_us={}", server.name, slot_of_gap,
                                      largest_gap.count()));
  }
}

void OwnershipJudge::Uncover(TrueTime at, const Server& server,
                             const std::vector<SlotRange>& kept) {
  if (!server.serving) {
    return;
  }
  std::vector<Slot>& slots = SlotsOf(server.service);
  for (const SlotNumber number : FromRanges(server.slots)) {
    Slot& slot = slots.at(number);
    if (!Contains(kept, number) && slot.covered_until == server.until) {
      slot.covered_until = std::min(slot.covered_until, at);
    }
  }
}

uint64_t OwnershipJudge::LivingServers(const std::string& service) const {
  uint64_t living = 0;
  for (const auto& [run, server] : servers_) {
    living += server.alive && server.service == service ? 1U : 0U;
  }
  return living;
}

}  // namespace runshelf::sim

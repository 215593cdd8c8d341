// Divides the limits of the table among the instances. Runs at the leader; keeps nothing that a
// new leader would need to read.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "runshelf/admission/limit_shares.h"
#include "runshelf/common/clock.h"
#include "runshelf/common/instance_id.h"

namespace runshelf::admission {

// Returns the limit of a cell in requests per second; nullopt when it has none or does not exist.
using LimitLookup = std::function<std::optional<double>(const std::string& service,
                                                        const std::string& caller_class)>;

// What one instance may hold of one amount: the largest of the grants that may still be in force
// there, since a newer grant may be lost on the way.
class OutstandingGrants {
 public:
  void Add(uint64_t sequence, double amount, Instant expires_at);
  void DropBefore(uint64_t sequence);  // The instance applied `sequence` or a later one.
  void DropExpired(Instant now);
  double Largest() const;
  bool empty() const { return grants_.empty(); }

 private:
  struct Grant {
    uint64_t sequence = 0;
    double amount = 0;
    Instant expires_at;
  };
  std::vector<Grant> grants_;
};

// Invariant: the rates that all instances hold of a cell never sum to more than its limit, at any
// moment, whatever is lost, late or paused, and across a change of leader (after a lowered limit:
// once the shares of the higher one have lapsed).
// Broken by: a leader that allocates without holding its lease, or clocks that differ in rate by
// more than clock_rate_margin.
//
// A new leader does not know what its predecessor gave. Until that has lapsed, it gives each
// instance no more than the instance reports to hold, in a report addressed to this leader's term:
// such a report was sent after the predecessor's last grant. Deterministic; not thread-safe.
class LimitAllocator {
 public:
  // Takes office at `now` as the leader of `term`. `has_predecessor` is false only for the first
  // leader that a fleet ever had: first generation, and an empty log when it was elected.
  LimitAllocator(const ShareConfig& config, uint64_t term, Instant now, bool has_predecessor = true)
      : config_(config), term_(term), took_office_(now), has_predecessor_(has_predecessor) {}

  // Answers a report; nullopt: it is for another leader or not newer than one answered before.
  // `known_instances` is the number of instances in the fleet, the reporting one included.
  // To be called, and its answer sent, only while the leader's lease is held.
  std::optional<ShareGrant> OnReport(Instant now, const ShareReport& report, size_t known_instances,
                                     const LimitLookup& limit_of);

  // Drops what has lapsed; call about every second.
  void Tick(Instant now);

 private:
  using CellKey = std::pair<std::string, std::string>;
  struct CellHolder {
    OutstandingGrants grants;
    double demand = 0;
    Instant reported_at{};
  };
  using Cell = std::map<InstanceId, CellHolder>;
  struct FloorHolder {
    OutstandingGrants grants;
    uint64_t last_sequence = 0;
  };

  double FloorFor(Instant now, const ShareReport& report, size_t known_instances);
  double ShareFor(Instant now, const ShareReport& report, const CellDemand& demand, double limit,
                  size_t known_instances);
  Duration WithMargin(Duration duration) const;
  bool PredecessorLapsed(Instant now, Duration valid_for) const;

  ShareConfig config_;
  uint64_t term_;
  Instant took_office_;
  bool has_predecessor_;
  std::map<InstanceId, FloorHolder> floors_;
  std::map<CellKey, Cell> cells_;
};

}  // namespace runshelf::admission

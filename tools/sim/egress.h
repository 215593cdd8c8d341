// The part of a simulated daemon that takes forwarded requests for the server beside it: slot gate,
// memory of repeats, admission queue, server, in this order, as source/daemon does.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "runshelf/admission/admission_queue.h"
#include "runshelf/coordination/node.h"
#include "runshelf/routing/idempotency_cache.h"
#include "runshelf/table/table_mirror.h"
#include "tools/sim/request.h"
#include "tools/sim/server.h"

namespace runshelf::sim {

// All must outlive the egress, except that the server process may end and start again.
struct EgressParts {
  EventQueue& queue;
  Process& process;  // Of the daemon.
  const DriftingClock& clock;
  std::shared_ptr<coordination::Node>& node;  // Replaced when the instance restarts.
  table::TableMirror& table;
  Server& server;
};

class Egress {
 public:
  Egress(const EgressParts& parts, bool remembers_repeats);

  void Handle(const ForwardedRequest& request, ForwardAnswerHandler reply);
  // The ingress has closed the connection.
  void Cancel(uint64_t request_id);
  void Tick();
  void BeginLeave() { leaving_ = true; }
  void SetCold() { admission_.SetCold(Now()); }

  size_t in_progress() const { return pending_.size(); }
  uint64_t TakeServedCount();
  std::map<SlotNumber, uint64_t> TakeSlotCounts();

 private:
  struct Pending {
    ForwardedRequest request;
    ForwardAnswerHandler reply;
    Instant deadline{};
    std::optional<FencingToken> token;  // Present while the slot is entered.
    std::shared_ptr<coordination::Node> entered_at;
    bool runs_under_key = false;  // The cache's Complete is due.
    bool started = false;         // Admission's OnCompleted is due.
    Instant started_at{};
  };
  using PendingMap = std::map<uint64_t, Pending>;

  bool EnterSlot(Pending& pending);
  // True when the request goes on; false: it was answered or is attached to an earlier one.
  bool BeginUnderKey(uint64_t id);
  void Admit(uint64_t id);
  void Apply(const admission::AdmissionChanges& changes);
  void Submit(uint64_t id);
  void OnServerAnswer(uint64_t id, const ServerAnswer& answer);
  void OnServerTimeout(uint64_t id);
  // Ends the request: memory, slot, reply, in this order.
  void End(uint64_t id, routing::AttemptOutcome outcome, std::optional<uint64_t> answered,
           Duration retry_after = Duration(0));
  std::string CacheKey(const ForwardedRequest& request) const;
  Instant Now() const { return parts_.clock.At(parts_.queue.Now()); }
  uint32_t WeightOf(const CallerRequest& request) const;
  routing::TargetLoad Load() const;

  EgressParts parts_;
  bool remembers_repeats_;
  bool leaving_ = false;
  admission::AdmissionQueue admission_;
  routing::IdempotencyCache cache_;
  PendingMap pending_;
  uint64_t served_ = 0;
  std::map<SlotNumber, uint64_t> slot_counts_;
};

}  // namespace runshelf::sim

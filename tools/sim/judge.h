// The judge of a simulation: three parts, one for each kind of record, on the true timeline.
//
// It sees only what servers executed and accepted, what callers were told, and accepted edits;
// never what the router believes.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "tools/sim/event_queue.h"
#include "tools/sim/ownership_judge.h"
#include "tools/sim/request_judge.h"
#include "tools/sim/table_judge.h"

namespace runshelf::sim {

class Judge {
 public:
  Judge(const EventQueue& queue, uint32_t slots_per_service)
      : queue_(queue),
        ownership_(violations_, slots_per_service),
        requests_(violations_),
        table_(violations_) {}

  // Records of servers.
  ServerRun NewServerRun(const std::string& service, const std::string& name);
  void OnServerStopped(ServerRun server);
  void OnGrant(ServerRun server, const FencingToken& token, const std::vector<SlotRange>& slots,
               TrueTime until);
  void OnExecution(ServerRun server, uint64_t operation, uint32_t sending,
                   std::optional<SlotNumber> slot, std::optional<FencingToken> token);
  void OnArrival(ServerRun server, uint64_t operation) {
    requests_.OnArrival(queue_.Now(), server, operation);
  }

  OwnershipJudge& ownership() { return ownership_; }
  RequestJudge& requests() { return requests_; }
  TableJudge& table() { return table_; }
  const ViolationLog& violations() const { return violations_; }

  // Judges what can only be judged at the end, and sums up.
  Report Finish();

 private:
  const EventQueue& queue_;
  ViolationLog violations_;
  OwnershipJudge ownership_;
  RequestJudge requests_;
  TableJudge table_;
  ServerRun last_run_ = 0;
};

}  // namespace runshelf::sim

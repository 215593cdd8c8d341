// Judges ownership from the servers' own records: the grants that they accepted and the requests
// that they executed, on the one true timeline.
//
// double_owner: two servers of a service whose grant check would succeed for one slot at the same
// moment, or an execution under a token lower than one that another server executed under before.
// lost_assignment: a slot granted under a lower token than it was granted under before, or a slot
// that nobody has held for 2 s at the end although servers of its service live.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "runshelf/common/slot.h"
#include "tools/sim/report.h"

namespace runshelf::sim {

// One run of one server process; never reused.
using ServerRun = uint64_t;

struct GrantRecord {
  TrueTime at{};
  TrueTime until{};  // When the server's clock shows the grant's expiry.
  ServerRun server = 0;
  FencingToken token;
  std::vector<SlotRange> slots;
};

struct ExecutionRecord {
  TrueTime at{};
  ServerRun server = 0;
  uint64_t operation = 0;  // What the caller wants done once.
  uint32_t sending = 0;    // The caller's first sending of it is 1.
  std::optional<SlotNumber> slot;
  std::optional<FencingToken> token;
};

class OwnershipJudge {
 public:
  OwnershipJudge(ViolationLog& violations, uint32_t slots_per_service)
      : violations_(violations), slots_per_service_(slots_per_service) {}

  void OnServerStarted(ServerRun server, const std::string& service, const std::string& name);
  void OnServerStopped(TrueTime at, ServerRun server);
  void OnGrant(const GrantRecord& grant);
  void OnExecution(const ExecutionRecord& execution);

  // Whether the server can answer callers now: it runs, and so does the daemon beside it, and they
  // are not cut off. Only the measures depend on it.
  void OnServingChanged(TrueTime at, ServerRun server, bool serving);

  // Slots that were granted to the server last; they have to move when it is lost or leaves.
  uint64_t SlotsLastOwnedBy(ServerRun server);
  // That many slots have to move, because their server is gone, gives them up, or cannot serve for
  // longer than a grant lasts.
  void OnMustMove(uint64_t slots) { churn_.least_necessary += slots; }
  // The server is there, or there again, and should take its share.
  void OnJoined(ServerRun server);

  // Counts slots that nobody has held for 2 s at `at`, of services with a living server.
  void JudgeEnd(TrueTime at);

  // Whether each slot of each service is held by a serving server at `at`.
  bool AllServed(TrueTime at) const;

  UnavailableTime Unavailable(TrueTime end) const;
  const Churn& churn() const { return churn_; }

 private:
  struct Server {
    std::string service;
    std::string name;
    bool alive = true;
    bool serving = true;
    TrueTime until{};
    FencingToken token;
    std::vector<SlotRange> slots;
  };
  struct Slot {
    std::optional<FencingToken> granted_token;  // Highest ever.
    std::optional<ServerRun> last_owner;
    std::optional<FencingToken> executed_token;  // Highest ever, with the server.
    ServerRun executed_by = 0;
    bool ever_served = false;
    TrueTime covered_until{};  // A serving server holds the slot until then.
  };

  std::vector<Slot>& SlotsOf(const std::string& service);
  void CheckOverlap(const GrantRecord& grant);
  void CheckTokens(const GrantRecord& grant, const std::string& service);
  void CountMoves(const GrantRecord& grant, const std::string& service);
  // Returns the gap in which nobody could serve the slot before.
  Duration Cover(TrueTime from, TrueTime until, Slot& slot);
  void CoverAll(TrueTime from, const Server& server);
  void Uncover(TrueTime at, const Server& server, const std::vector<SlotRange>& kept);
  uint64_t LivingServers(const std::string& service) const;

  ViolationLog& violations_;
  uint32_t slots_per_service_;
  std::map<ServerRun, Server> servers_;
  std::map<std::string, std::vector<Slot>> slots_;
  std::set<std::tuple<ServerRun, ServerRun, SlotNumber>> overlaps_;  // Counted already.
  UnavailableTime unavailable_;                                      // Of gaps that have ended.
  Churn churn_;
};

}  // namespace runshelf::sim

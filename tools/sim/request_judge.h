// Judges requests by comparing what the servers executed with what callers were told.
//
// false_not_run: a caller was told "not run", and its request had run or ran later; under an
// idempotency key this covers the earlier sendings too.
// repeated_run: a request that must not be repeated ran more than once.
// wrong_answer: an answer that is not the whole answer to the caller's own request, or "ran" for a
// request that no server executed.
// work_after_leave: a request reached a server later than 3 s after the notice that it leaves.
// cut_request: a planned stop ended a request in progress.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "runshelf/common/verdict.h"
#include "tools/sim/ownership_judge.h"
#include "tools/sim/report.h"

namespace runshelf::sim {

// What a caller was told about one sending of an operation.
struct ToldRecord {
  TrueTime at{};
  uint64_t operation = 0;
  uint32_t sending = 0;
  Verdict verdict = Verdict::kNotRun;
  std::optional<uint64_t> answered_operation;  // Echoed by the server's answer, with kRan.
  bool complete = true;                        // The answer's body was whole, with kRan.
};

class RequestJudge {
 public:
  explicit RequestJudge(ViolationLog& violations) : violations_(violations) {}

  void OnServerStarted(ServerRun server, const std::string& service);
  void OnServerStopped(ServerRun server) { serving_.erase(server); }

  // `keyed`: all sendings carry one idempotency key, so that an answer speaks for all of them.
  void OnOperation(uint64_t operation, bool repeatable, bool keyed);
  void OnSent(uint64_t operation);
  void OnExecution(const ExecutionRecord& execution);
  void OnTold(const ToldRecord& told);

  // The machine of `server` is leaving, and somebody was told so.
  void OnLeaveNotice(TrueTime at, ServerRun server);
  // The daemon that had been told ended, and the next one knows nothing of it.
  void OnLeaveForgotten(ServerRun server) { leave_notices_.erase(server); }
  void OnArrival(TrueTime at, ServerRun server, uint64_t operation);
  void OnPlannedStopCut(TrueTime at, ServerRun server, uint64_t requests);

  void JudgeEnd(TrueTime at);

  RequestCounts Counts() const { return counts_; }
  Imbalance ComputeImbalance() const;

 private:
  struct Operation {
    bool repeatable = false;
    uint32_t executions = 0;
    bool keyed = false;
    std::set<uint32_t> executed_sendings;
    std::set<uint32_t> not_run_sendings;  // The caller was told so.
  };
  struct Window {
    std::map<ServerRun, uint64_t> executions;
    std::set<ServerRun> serving;  // Servers that existed in the window.
  };
  static bool WasToldFalsely(const Operation& operation);
  using WindowKey = std::pair<std::string, int64_t>;

  void CountForImbalance(const ExecutionRecord& execution);

  ViolationLog& violations_;
  std::map<uint64_t, Operation> operations_;
  std::map<ServerRun, std::string> serving_;
  std::map<ServerRun, TrueTime> leave_notices_;
  std::map<WindowKey, Window> windows_;
  RequestCounts counts_;
};

}  // namespace runshelf::sim

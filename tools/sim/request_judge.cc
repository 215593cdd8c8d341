#include "tools/sim/request_judge.h"

#include <fmt/format.h>

#include <algorithm>

namespace runshelf::sim {
namespace {

constexpr Duration kLeaveAllowance = std::chrono::seconds(3);
constexpr Duration kImbalanceWindow = std::chrono::seconds(1);
// Windows with fewer executions for each server say more about chance than about balance.
constexpr uint64_t kExecutionsForEachServer = 20;

}  // namespace

void RequestJudge::OnServerStarted(ServerRun server, const std::string& service) {
  serving_[server] = service;
}

void RequestJudge::OnOperation(uint64_t operation, bool repeatable) {
  operations_[operation].repeatable = repeatable;
}

void RequestJudge::OnSent(uint64_t operation) {
  ++counts_.sent;
  ++counts_.unanswered;
  operations_.try_emplace(operation);
}

void RequestJudge::OnExecution(const ExecutionRecord& execution) {
  ++counts_.executions;
  Operation& operation = operations_[execution.operation];
  ++operation.executions;
  operation.first_executed_sending = std::min(operation.first_executed_sending, execution.sending);
  if (operation.executions == 2 && !operation.repeatable) {
    violations_.Add(ViolationKind::kRepeatedRun, execution.at,
                    fmt::format("operation={} sending={}", execution.operation, execution.sending));
  }
  CountForImbalance(execution);
}

void RequestJudge::CountForImbalance(const ExecutionRecord& execution) {
  const auto server = serving_.find(execution.server);
  if (server == serving_.end()) {
    return;
  }
  const int64_t number = execution.at.time_since_epoch() / kImbalanceWindow;
  Window& window = windows_[WindowKey(server->second, number)];
  ++window.executions[execution.server];
  if (window.serving.empty()) {
    for (const auto& [run, service] : serving_) {
      if (service == server->second) {
        window.serving.insert(run);
      }
    }
  }
}

void RequestJudge::OnTold(const ToldRecord& told) {
  --counts_.unanswered;
  Operation& operation = operations_[told.operation];
  switch (told.verdict) {
    case Verdict::kNotRun:
      ++counts_.not_run;
      operation.last_not_run_sending = std::max(operation.last_not_run_sending, told.sending);
      return;
    case Verdict::kMayHaveRun:
      ++counts_.may_have_run;
      return;
    case Verdict::kRan:
      ++counts_.ran;
      break;
  }
  const bool own = told.answered_operation == told.operation;
  if (!own || !told.complete || operation.executions == 0) {
    violations_.Add(ViolationKind::kWrongAnswer, told.at,
                    fmt::format("operation={} sending={} answer_to={} complete={} executions={}",
                                told.operation, told.sending, told.answered_operation.value_or(0),
                                told.complete, operation.executions));
  }
}

void RequestJudge::OnLeaveNotice(TrueTime at, ServerRun server) {
  leave_notices_.try_emplace(server, at);
}

void RequestJudge::OnArrival(TrueTime at, ServerRun server, uint64_t operation) {
  const auto notice = leave_notices_.find(server);
  if (notice == leave_notices_.end() || at <= notice->second + kLeaveAllowance) {
    return;
  }
  violations_.Add(ViolationKind::kWorkAfterLeave, at,
                  fmt::format("server={} operation={} notice_us={}", server, operation,
                              ToMicroseconds(notice->second)));
}

void RequestJudge::OnPlannedStopCut(TrueTime at, ServerRun server, uint64_t requests) {
  for (uint64_t request = 0; request < requests; ++request) {
    violations_.Add(ViolationKind::kCutRequest, at, fmt::format("server={}", server));
  }
}

void RequestJudge::JudgeEnd(TrueTime at) {
  for (const auto& [id, operation] : operations_) {
    if (operation.first_executed_sending <= operation.last_not_run_sending) {
      violations_.Add(
          ViolationKind::kFalseNotRun, at,
          fmt::format("operation={} executed_sending={} told_not_run_sending={}", id,
                      operation.first_executed_sending, operation.last_not_run_sending));
    }
  }
}

Imbalance RequestJudge::ComputeImbalance() const {
  Imbalance imbalance;
  double sum = 0;
  uint64_t windows = 0;
  for (const auto& [key, window] : windows_) {
    uint64_t total = 0;
    uint64_t largest = 0;
    for (const auto& [server, executions] : window.executions) {
      total += executions;
      largest = std::max(largest, executions);
    }
    const uint64_t servers = window.serving.size();
    if (servers == 0 || total < servers * kExecutionsForEachServer) {
      continue;
    }
    const double mean = static_cast<double>(total) / static_cast<double>(servers);
    const double ratio = static_cast<double>(largest) / mean;
    sum += ratio;
    ++windows;
    imbalance.largest = std::max(imbalance.largest, ratio);
  }
  if (windows > 0) {
    imbalance.mean = sum / static_cast<double>(windows);
  }
  return imbalance;
}

}  // namespace runshelf::sim
